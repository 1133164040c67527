//! A site whose entries and agents are processes of their own. All are killed when their handles are dropped.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, http::request::Builder};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// The token of operators.
const OPERATOR_TOKEN: &str = "processes-operator-token";
/// The keys of the processes.
pub const PEER_KEYS: &str = "k1:000102030405060708090a0b0c0d0e0f";

/// A process with the addresses that it printed on its standard output.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// Requests.
    pub request: SocketAddr,
    /// API and probes.
    pub api: SocketAddr,
    /// Agents; an agent has none.
    pub peer: Option<SocketAddr>,
}

impl Daemon {
    /// Starts an entry on a log service.
    pub fn entry(name: &str, zone: &str, log: SocketAddr, more: &[&str]) -> Self {
        let log = log.to_string();
        let own = ["--log-address", &log, "--operator-token", OPERATOR_TOKEN];
        Self::start("entry", name, zone, &[&own, more].concat())
    }

    /// Starts the agent of a worker.
    pub fn agent(name: &str, zone: &str, worker: SocketAddr, entries: &[&Self], more: &[&str]) -> Self {
        let peers: Vec<String> = entries.iter().filter_map(|entry| entry.peer).map(|peer| peer.to_string()).collect();
        let (worker, peers) = (worker.to_string(), peers.join(","));
        let own = ["--worker-address", &worker, "--entries", &peers, "--heartbeat-ms", "200"];
        Self::start("agent", name, zone, &[&own, more].concat())
    }

    fn start(role: &str, name: &str, zone: &str, more: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_fescueleadd"))
            .args(["--role", role, "--name", name, "--availability-zone", zone, "--peer-keys", PEER_KEYS])
            .args(more)
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "error".to_owned()))
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut lines = BufReader::new(child.stdout.take().expect("piped output"));
        let mut words = String::new();
        for _ in 0..if role == "entry" { 2 } else { 1 } {
            lines.read_line(&mut words).expect("the daemon prints its addresses");
        }
        let address = |name: &str| {
            let mut found = words.split_whitespace().filter_map(|word| word.strip_prefix(name));
            found.next().map(|text| text.parse().expect("an address"))
        };
        let (request, api) = (address("request="), address("api="));
        Self { child, request: request.expect("request="), api: api.expect("api="), peer: address("peer=") }
    }

    /// The process id.
    #[allow(dead_code, reason = "only the bench reads /proc")]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Asks the process to stop gracefully.
    #[allow(dead_code, reason = "the bench stops nothing gracefully")]
    pub fn terminate(&self) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("the process exists");
    }

    /// Waits until the process has ended by itself.
    #[allow(dead_code, reason = "the bench stops nothing gracefully")]
    pub async fn ended(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Calls entries.
#[derive(Debug, Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// A caller without connections.
    pub fn new() -> Self {
        Self { http: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a request, and reads the head of its answer.
    pub async fn send(&self, request: Builder, body: impl Into<Bytes>) -> Result<Response<Incoming>, String> {
        let request = request.body(Full::new(body.into())).expect("a valid request");
        self.http.request(request).await.map_err(|error| format!("{error:?}"))
    }

    /// Whether a probe of `address` is green; an error if nothing answers.
    pub async fn is_ready(&self, address: SocketAddr) -> Result<bool, String> {
        let request = Request::get(format!("http://{address}/readyz"));
        self.send(request, "").await.map(|response| response.status().is_success())
    }

    /// Publishes the first profile set.
    pub async fn publish(&self, api: SocketAddr, profiles: &str) {
        let request = Request::builder()
            .method(Method::PUT)
            .uri(format!("http://{api}/v1/config"))
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .header("if-match", "\"0\"");
        let body = serde_json::json!({ "text": profiles }).to_string();
        let response = self.send(request, body).await.expect("an answer");
        let status = response.status();
        let body = response.into_body().collect().await.expect("a whole answer").to_bytes();
        assert!(status.is_success(), "{status} {body:?}");
    }
}

/// Tries before a test is given up as hopeless: five minutes of pauses, so that a host that takes processor time away cannot
/// decide the result.
const MAX_TRIES: u32 = 6_000;

/// Tries until `probe` is true. The bound is far above what is expected and only ends a hopeless run.
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut probe: impl FnMut() -> F) {
    for _ in 0..MAX_TRIES {
        if probe().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{what} did not happen");
}
