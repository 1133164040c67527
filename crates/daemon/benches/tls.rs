//! What TLS costs the request listener: requests a second per core of the server, and memory per idle connection, plain
//! and over TLS. The server is a process of its own and answers by itself, without an agent. Run
//! `cargo bench -p fescueleadd --bench tls`.

#[path = "../tests/support/certificate.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod certificate;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use certificate::Pair;
use fescueleadd::{
    http::full,
    server::{ServerOptions, bind, serve},
    tls::{self, Handshaker},
};
use hyper::Response;
use prometheus_client::metrics::{family::Family, gauge::Gauge};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::TcpStream,
};
use tokio_util::sync::CancellationToken;

const CONNECTIONS: usize = 16;
const IDLE_CONNECTIONS: usize = 1_000;
const LOAD_S: u64 = 5;
const REQUEST: &[u8] = b"GET /s/previews/x HTTP/1.1\r\nhost: bench\r\n\r\n";

trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}
impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).filter(|argument| argument != "--bench").collect();
    match arguments.as_slice() {
        [role, files @ ..] if role == "server" => run_server(files),
        _ => compare(),
    }
}

#[tokio::main]
async fn run_server(files: &[String]) {
    let handshaker = match files {
        [cert_file, key_file] => {
            let certificate = tls::certificate(Path::new(cert_file), Path::new(key_file)).expect("a good pair");
            Some(Handshaker::new(certificate, "request", Family::default()))
        }
        _ => None,
    };
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)), "loopback").await.expect("loopback can be bound");
    println!("{}", listener.local_addr().expect("it is bound"));
    let options = ServerOptions::new(2 * IDLE_CONNECTIONS, 0, Gauge::default()).with_tls(handshaker);
    serve(listener, options, CancellationToken::new(), |_, _| async { Response::new(full("a small answer")) }).await;
}

struct Server {
    child: Child,
    address: SocketAddr,
}

impl Server {
    fn start(files: &[&Path]) -> Self {
        let mut child = Command::new(std::env::current_exe().expect("a path"))
            .arg("server")
            .args(files)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the server starts");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped output")).read_line(&mut line).expect("a line");
        Self { child, address: line.trim().parse().expect("an address") }
    }

    /// User and system time, from /proc/PID/stat (fields 14 and 15, in ticks of 10 ms).
    fn cpu_s(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("a process");
        let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ').skip(11);
        fields.take(2).map(|ticks| ticks.parse::<f64>().expect("ticks") / 100.0).sum()
    }

    fn rss_bytes(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("VmRSS");
        line.trim().trim_end_matches(" kB").parse::<f64>().expect("kB") * 1_024.0
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

#[tokio::main]
async fn compare() {
    let pair = Pair::new("bench");
    let server = Server::start(&[]);
    measure("plain", &server, async || open(TcpStream::connect(server.address).await.expect("a connection"))).await;
    let server = Server::start(&[&pair.cert_file, &pair.key_file]);
    measure("tls", &server, async || open(pair.connect(server.address).await.expect("a handshake"))).await;
}

fn open(stream: impl Stream + 'static) -> Box<dyn Stream> {
    Box::new(stream)
}

async fn measure(kind: &str, server: &Server, connect: impl AsyncFn() -> Box<dyn Stream>) {
    let before_bytes = server.rss_bytes();
    let mut idle = Vec::new();
    let start = Instant::now();
    for _ in 0..IDLE_CONNECTIONS {
        let mut stream = connect().await;
        ask(&mut stream).await;
        idle.push(stream);
    }
    let connected_s = start.elapsed().as_secs_f64();
    let idle_bytes = (server.rss_bytes() - before_bytes) / IDLE_CONNECTIONS as f64;
    println!("tls kind={kind} memory_per_idle_connection_bytes={idle_bytes:.0}");
    println!("tls kind={kind} connections_one_by_one_s={:.0}", IDLE_CONNECTIONS as f64 / connected_s);
    drop(idle);

    let before_s = server.cpu_s();
    let end = Instant::now() + Duration::from_secs(LOAD_S);
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..CONNECTIONS {
        let mut stream = connect().await;
        callers.spawn(async move {
            let mut answers = 0_u64;
            while Instant::now() < end {
                ask(&mut stream).await;
                answers += 1;
            }
            answers
        });
    }
    let answers = callers.join_all().await.iter().sum::<u64>() as f64;
    let per_core = answers / (server.cpu_s() - before_s).max(0.01);
    println!("tls kind={kind} requests_s={:.0} requests_per_server_core_s={per_core:.0}", answers / LOAD_S as f64);
}

/// Sends a request and reads its small answer.
async fn ask(stream: &mut (impl AsyncRead + AsyncWrite + Unpin)) {
    stream.write_all(REQUEST).await.expect("sent");
    stream.flush().await.expect("sent");
    let mut buffer = [0; 1_024];
    let mut filled = 0;
    while !buffer[..filled].ends_with(b"a small answer") {
        let read = stream.read(&mut buffer[filled..]).await.expect("an answer");
        assert!(read > 0, "the answer ended early");
        filled += read;
    }
}
