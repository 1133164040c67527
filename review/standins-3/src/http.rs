//! A blocking HTTP/1.1 server with one thread a connection, and a client that opens a connection for each call.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// A request with its complete body.
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

/// A response.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, body: body.into() }
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('=')).map(|(k, v)| (decoded(k), decoded(v)));
    let body = read_body(reader, &headers)?;
    Some(Request { path: path.to_owned(), query: query.collect(), headers, body })
}

/// A running server.
pub struct Server {
    stop: Arc<AtomicBool>,
    connections: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    address: SocketAddr,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Serves `handler`, which returns `None` to close the connection without an answer.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&Request) -> Option<Response> + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let stop = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(BTreeMap::new()));
        let (stopped, open, handler) = (stop.clone(), connections.clone(), Arc::new(handler));
        let thread = thread::spawn(move || {
            let next = AtomicU64::new(0);
            for stream in listener.incoming() {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let id = next.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().insert(id, copy);
                }
                let (handler, open) = (handler.clone(), open.clone());
                thread::spawn(move || {
                    serve_connection(stream, &*handler);
                    open.lock().unwrap().remove(&id);
                });
            }
        });
        Ok(Self { stop, connections, address, thread: Some(thread) })
    }

    /// Closes the listener and all connections, as the end of the process would.
    pub fn end(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        drop(TcpStream::connect_timeout(&self.address, Duration::from_millis(500)));
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
        for stream in self.connections.lock().unwrap().values() {
            drop(stream.shutdown(Shutdown::Both));
        }
    }
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(&Request) -> Option<Response>) {
    drop(stream.set_nodelay(true));
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some(response) = handler(&request) else { break };
        let mut bytes = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&response.body);
        if writer.write_all(&bytes).is_err() {
            break;
        }
    }
    drop(writer.shutdown(Shutdown::Both));
}

/// Sends one request on a new connection. `None` if there is no complete answer within `timeout_ms`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout_ms: u64,
) -> Option<(u16, String)> {
    let timeout = Duration::from_millis(timeout_ms);
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\nConnection: close\r\n");
    text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    let mut writer = stream.try_clone().ok()?;
    writer.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
