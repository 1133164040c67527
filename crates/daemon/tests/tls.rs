//! The listeners over TLS, against a client on plain sockets.

#[path = "support/certificate.rs"]
mod certificate;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use certificate::Pair;
use fescueleadd::{
    api,
    http::{Body, BodyError, full},
    metrics::HandshakeLabels,
    server::{ServerOptions, serve},
    settings::Settings,
    tls::{self, Handshaker},
};
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, Response, body::Frame, body::Incoming};
use prometheus_client::metrics::{counter::Counter, family::Family, gauge::Gauge};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::{JoinHandle, JoinSet},
};
use tokio_rustls::client::TlsStream;
use tokio_util::sync::{CancellationToken, DropGuard};

/// More than one TLS record, and more than the buffers of hyper and rustls hold.
const ANSWER_BYTES: usize = 1_000_000;

type Failures = Family<HandshakeLabels, Counter>;

/// A request listener over TLS.
struct Server {
    address: SocketAddr,
    pair: Pair,
    failures: Failures,
    stop: CancellationToken,
    ended: JoinHandle<usize>,
    /// One permit lets one request for `/held` be answered.
    release: Arc<Semaphore>,
    /// Has as many permits as requests for `/held` have arrived.
    arrived: Arc<Semaphore>,
    _reload: DropGuard,
}

impl Server {
    async fn start(name: &str, max_connections: usize) -> Self {
        let pair = Pair::new(name);
        let certificate = tls::certificate(&pair.cert_file, &pair.key_file).expect("a good pair");
        let reload = CancellationToken::new();
        tokio::spawn(certificate.clone().keep_current(reload.clone()));
        let failures = Failures::default();
        let handshaker = Handshaker::new(certificate, "request", failures.clone());
        let options = ServerOptions::new(max_connections, 30_000, Gauge::default()).with_tls(Some(handshaker));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
        let address = listener.local_addr().expect("it is bound");
        let stop = CancellationToken::new();
        let (release, arrived) = (Arc::new(Semaphore::new(0)), Arc::new(Semaphore::new(0)));
        let held = (Arc::clone(&release), Arc::clone(&arrived));
        let ended =
            tokio::spawn(serve(listener, options, stop.clone(), move |request, _| answer(request, held.clone())));
        Self { address, pair, failures, stop, ended, release, arrived, _reload: reload.drop_guard() }
    }

    fn failures(&self, reason: &'static str) -> u64 {
        self.failures.get_or_create(&HandshakeLabels { listener: "request", reason }).get()
    }

    async fn connect(&self) -> io::Result<TlsStream<TcpStream>> {
        self.pair.connect(self.address).await
    }
}

async fn answer(request: Request<Incoming>, (release, arrived): (Arc<Semaphore>, Arc<Semaphore>)) -> Response<Body> {
    match request.uri().path() {
        "/broken" => {
            let broken = Err(BodyError::new(&"broken on purpose"));
            let frames = [Ok(Frame::data(Bytes::from_static(b"the first part"))), broken];
            // The pause lets the first part reach the caller.
            let frames = stream::iter(frames).then(|frame| async {
                tokio::time::sleep(Duration::from_millis(10)).await;
                frame
            });
            Response::new(BodyExt::boxed(StreamBody::new(frames)))
        }
        path => {
            if path == "/held" {
                arrived.add_permits(1);
                release.acquire().await.expect("not closed").forget();
            }
            Response::new(full(vec![b'x'; ANSWER_BYTES]))
        }
    }
}

/// Sends a request and reads its answer, whose length is known.
async fn ask(stream: &mut TlsStream<TcpStream>, path: &str) -> io::Result<Vec<u8>> {
    send(stream, path).await?;
    read_answer(stream).await
}

async fn send(stream: &mut TlsStream<TcpStream>, path: &str) -> io::Result<()> {
    stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: localhost\r\n\r\n").as_bytes()).await?;
    stream.flush().await
}

async fn read_answer(stream: &mut TlsStream<TcpStream>) -> io::Result<Vec<u8>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8(head).expect("a head is text").to_ascii_lowercase();
    assert!(head.starts_with("http/1.1 200"), "{head}");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).expect("a length");
    let mut body = vec![0; length.parse().expect("a number")];
    stream.read_exact(&mut body).await?;
    Ok(body)
}

/// Guards against an answer over TLS that is cut short, and against a version or protocol that was not agreed.
#[tokio::test]
async fn a_request_gets_its_whole_answer() {
    let server = Server::start("whole", 8).await;
    let mut stream = server.connect().await.expect("a handshake");
    assert_eq!(stream.get_ref().1.alpn_protocol(), Some(&b"http/1.1"[..]));
    for _ in 0..3 {
        assert_eq!(ask(&mut stream, "/").await.expect("an answer"), vec![b'x'; ANSWER_BYTES]);
    }
}

/// Guards against an answer that breaks off and reads like a whole one: to a caller of HTTP/1.0 the end of the connection
/// is the end of the answer, unless TLS tells that the connection was not closed in order.
#[tokio::test]
async fn an_answer_that_breaks_off_is_told_from_a_whole_one() {
    let server = Server::start("broken", 8).await;
    let mut whole = server.connect().await.expect("a handshake");
    whole.write_all(b"GET / HTTP/1.0\r\n\r\n").await.expect("sent");
    whole.read_to_end(&mut Vec::new()).await.expect("a whole answer ends in order");
    let mut broken = server.connect().await.expect("a handshake");
    broken.write_all(b"GET /broken HTTP/1.0\r\n\r\n").await.expect("sent");
    let mut part = Vec::new();
    let error = broken.read_to_end(&mut part).await.expect_err("the answer broke off");
    assert_eq!(error.kind(), io::ErrorKind::UnexpectedEof);
    assert!(part.ends_with(b"the first part"), "{}", String::from_utf8_lossy(&part));
}

/// Guards against a mistake in the files that ends the service, and against a new certificate that is not served until a
/// restart.
#[tokio::test(start_paused = true)]
async fn a_wrong_pair_changes_nothing_and_a_new_one_is_served() {
    let server = Server::start("reload", 8).await;
    let mut standing = server.connect().await.expect("a handshake");
    let other = Pair::new("reload-other");
    let served = async || {
        let stream = server.connect().await.ok()?;
        stream.get_ref().1.peer_certificates().map(|chain| chain[0].as_ref().to_vec())
    };
    // The key of one pair, the certificate of another; then no key at all.
    for key in [other.key_pem(), "no key".to_owned()] {
        server.pair.write_key(&key);
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(served().await.as_ref(), Some(&server.pair.der));
        assert_eq!(ask(&mut standing, "/").await.expect("an answer").len(), ANSWER_BYTES);
    }
    server.pair.write_cert(&other.cert_pem());
    server.pair.write_key(&other.key_pem());
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(server.connect().await.is_err(), "the old certificate is not served any more");
    let stream = other.connect(server.address).await.expect("the new certificate is served");
    assert_eq!(stream.get_ref().1.peer_certificates().map(|chain| chain[0].as_ref()), Some(&other.der[..]));
    assert_eq!(ask(&mut standing, "/").await.expect("an answer").len(), ANSWER_BYTES);
}

/// Guards against peers that never finish the handshake and keep others out: by holding up the accept loop, or by holding
/// all connections for longer than the deadline.
#[tokio::test(start_paused = true)]
async fn an_unfinished_handshake_does_not_keep_others_out() {
    let server = Server::start("stalled", 2).await;
    let first = TcpStream::connect(server.address).await.expect("a connection");
    let mut stream = server.connect().await.expect("a handshake beside the unfinished one");
    ask(&mut stream, "/").await.expect("an answer");
    assert_eq!(server.failures("timeout"), 0);
    let second = TcpStream::connect(server.address).await.expect("a connection in the listen queue");
    drop(stream);
    // Both connections are taken now, so that this handshake waits for a deadline.
    let mut stream = server.connect().await.expect("a handshake after the deadline of another");
    ask(&mut stream, "/").await.expect("an answer");
    assert!(server.failures("timeout") >= 1);
    drop((first, second));
}

/// Guards against failed handshakes that nobody sees.
#[tokio::test]
async fn failed_handshakes_are_counted() {
    let server = Server::start("failed", 8).await;
    let stranger = Pair::new("failed-stranger");
    stranger.connect(server.address).await.expect_err("an unknown certificate");
    let mut plain = TcpStream::connect(server.address).await.expect("a connection");
    plain.write_all(b"GET / HTTP/1.1\r\nhost: localhost\r\n\r\n").await.expect("sent");
    // Ends once the server has closed, which is after it has counted.
    drop(plain.read_to_end(&mut Vec::new()).await);
    drop(TcpStream::connect(server.address).await.expect("a connection"));
    while server.failures("protocol") < 2 || server.failures("closed") < 1 {
        tokio::task::yield_now().await;
    }
}

/// Guards against a planned stop that cuts off a request in flight over TLS.
#[tokio::test]
async fn a_stop_finishes_the_request_in_flight() {
    let server = Server::start("stop", 8).await;
    let mut stream = server.connect().await.expect("a handshake");
    send(&mut stream, "/held").await.expect("sent");
    server.arrived.acquire().await.expect("not closed").forget();
    server.stop.cancel();
    while TcpStream::connect(server.address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!server.ended.is_finished());
    server.release.add_permits(1);
    assert_eq!(read_answer(&mut stream).await.expect("an answer").len(), ANSWER_BYTES);
    stream.read_to_end(&mut Vec::new()).await.expect("the connection is closed in order");
    assert_eq!(server.ended.await.expect("no panic"), 0, "no connection was cut off");
}

/// Guards against an API listener that serves plain HTTP, waits for an unfinished handshake, or does not count failures.
#[tokio::test(start_paused = true)]
async fn the_api_is_served_over_tls() {
    let pair = Pair::new("api");
    let certificate = tls::certificate(&pair.cert_file, &pair.key_file).expect("a good pair");
    let failures = Failures::default();
    let handshaker = Handshaker::new(certificate, "api", failures.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("it is bound");
    let (mut tasks, stop) = (JoinSet::new(), CancellationToken::new());
    api::serve(&mut tasks, listener, Some(handshaker), api::common_routes(), 1, stop.clone()).expect("it serves");
    let stalled = TcpStream::connect(address).await.expect("a connection");
    let mut stream = pair.connect(address).await.expect("a handshake after the deadline of the other");
    assert_eq!(ask(&mut stream, "/healthz").await.expect("an answer"), b"alive\n");
    assert_eq!(failures.get_or_create(&HandshakeLabels { listener: "api", reason: "timeout" }).get(), 1);
    drop((stalled, stream));
    stop.cancel();
    tasks.join_all().await;
}

/// Guards against an entry that starts without a certificate although one is named, or does not say which file is wrong.
#[rstest::rstest]
#[case::no_key(&["--tls-cert-file", "CERT"], "--tls-key-file: --tls-cert-file is given without it")]
#[case::no_certificate(&["--tls-key-file", "KEY"], "--tls-cert-file: --tls-key-file is given without it")]
#[case::missing(&["--tls-cert-file", "/nonexistent/cert", "--tls-key-file", "KEY"], "--tls-cert-file: the file cannot be read")]
#[case::swapped(&["--tls-cert-file", "KEY", "--tls-key-file", "CERT"], "--tls-cert-file: the file is wrong; give the certificate")]
#[case::not_a_key(&["--tls-cert-file", "CERT", "--tls-key-file", "CERT"], "--tls-key-file: the file is wrong; give the private key")]
#[case::mismatch(&["--tls-cert-file", "CERT", "--tls-key-file", "OTHER-KEY"], "--tls-key-file: the file is wrong; the key does not")]
fn a_wrong_pair_stops_the_start(#[case] flags: &[&str], #[case] message: &str) {
    let name = format!("settings-{:?}", std::thread::current().id());
    let (pair, other) = (Pair::new(&name), Pair::new(&format!("{name}-other")));
    let file = |flag: &&str| match *flag {
        "CERT" => pair.cert_file.to_string_lossy().into_owned(),
        "KEY" => pair.key_file.to_string_lossy().into_owned(),
        "OTHER-KEY" => other.key_file.to_string_lossy().into_owned(),
        flag => flag.to_owned(),
    };
    let base = ["fescueleadd", "--role", "entry", "--name", "entry-a", "--availability-zone", "az-1"];
    let more = ["--log-address", "127.0.0.1:1", "--operator-token", "some-operator-token"];
    let keys = ["--peer-keys", "k1:000102030405060708090a0b0c0d0e0f"];
    let given = [&base[..], &more, &keys].concat().into_iter().map(str::to_owned);
    let error = Settings::parse_from(given.clone().chain(flags.iter().map(file))).expect_err("a wrong pair");
    assert!(error.to_string().starts_with(message), "{error}");
    let good = ["--tls-cert-file", "CERT", "--tls-key-file", "KEY"];
    Settings::parse_from(given.chain(good.iter().map(file))).expect("a good pair");
}
