//! The endpoint under every fault switch, its announcements, and the control listener.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use fescuelead_core::ids::ServiceName;
use fescuelead_platform::{
    announce::{Announcement, EndpointState},
    http::{Answer, Call, HttpClient, HttpError},
};
use fescuelead_standin::{
    control::Control,
    endpoint::{EndpointFaults, EndpointStandin, answer_body},
    log::LogStandin,
    worker::WorkerStandin,
};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::{net::TcpListener, sync::Notify};
use tokio_util::sync::{CancellationToken, DropGuard};

const LENGTH: usize = 4_096;
const TIMEOUT_MS: u64 = 600_000;

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn endpoint() -> EndpointStandin {
    EndpointStandin::new(ServiceName::new("previews").expect("valid name")).with_answer_bytes(LENGTH)
}

struct Rig {
    endpoint: EndpointStandin,
    client: HttpClient,
    _stop: DropGuard,
}

impl Rig {
    async fn new(endpoint: EndpointStandin) -> Self {
        let token = CancellationToken::new();
        let address = endpoint.serve(loopback(), token.clone()).await.expect("loopback can be bound");
        Self { endpoint, client: HttpClient::new(address, TIMEOUT_MS), _stop: token.drop_guard() }
    }

    async fn ask(&self, id: &str) -> Result<Answer, HttpError> {
        let call = Call::new(Method::POST, format!("/render/{id}?q=1"))
            .with_header("x-request-id", id)
            .with_header("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
            .with_header("idempotency-key", format!("key-{id}"))
            .with_body(id.to_owned())
            .with_timeout_ms(TIMEOUT_MS);
        self.client.send(call).await
    }
}

fn own_answer(id: &str) -> Bytes {
    answer_body(id, "POST", &format!("/render/{id}?q=1"), id.as_bytes(), LENGTH)
}

fn header<'a>(answer: &'a Answer, name: &str) -> Option<&'a str> {
    answer.headers.get(name).and_then(|value| value.to_str().ok())
}

/// Guards against answers that a caller cannot tell from those of others, and against lost trace headers.
#[tokio::test]
async fn answers_belong_to_their_requests() {
    let rig = Rig::new(endpoint()).await;
    for id in ["a", "b"] {
        let answer = rig.ask(id).await.expect("the endpoint is up");
        assert_eq!((header(&answer, "x-request-id"), &answer.body), (Some(id), &own_answer(id)));
        assert!(header(&answer, "traceparent").is_some_and(|value| value.starts_with("00-0af7")));
    }
    assert_ne!(own_answer("a"), own_answer("b"));
    assert_eq!(rig.endpoint.counts().by_key.get("key-a"), Some(&1));
}

/// Guards against a broken answer that passes for whole.
#[rstest]
#[case::reset(EndpointFaults { reset: 1, ..EndpointFaults::default() })]
#[case::short(EndpointFaults { short: 1, ..EndpointFaults::default() })]
#[case::broken_chunk(EndpointFaults { broken_chunk: 1, ..EndpointFaults::default() })]
#[case::down(EndpointFaults { down: true, ..EndpointFaults::default() })]
#[tokio::test]
async fn broken_answers_are_never_whole(#[case] faults: EndpointFaults) {
    let rig = Rig::new(endpoint()).await;
    rig.endpoint.faults().set(faults.clone());
    assert!(matches!(rig.ask("a").await, Err(HttpError::AnswerLost(_))));
    let worked = if faults.down { None } else { Some(&1) };
    assert_eq!(rig.endpoint.counts().by_key.get("key-a"), worked);
    rig.endpoint.faults().clear();
    assert_eq!(rig.ask("b").await.map(|answer| answer.body), Ok(own_answer("b")));
}

/// Guards against a half answer that does not reach the caller at all, so that nothing is there to be told from a whole.
#[rstest]
#[case::short(EndpointFaults { short: 1, ..EndpointFaults::default() })]
#[case::broken_chunk(EndpointFaults { broken_chunk: 1, ..EndpointFaults::default() })]
#[tokio::test]
async fn half_answers_begin_like_whole_ones(#[case] faults: EndpointFaults) {
    let endpoint = endpoint();
    endpoint.faults().set(faults);
    let request = Request::post("/render/a?q=1").header("x-request-id", "a").body(Full::new(Bytes::from("a")));
    let response = endpoint.handle(request.expect("valid request")).await.expect("an answer begins");
    let mut body = response.into_body();
    let first = body.frame().await.and_then(Result::ok).and_then(|frame| frame.into_data().ok());
    assert_eq!(first, Some(own_answer("a").slice(..LENGTH / 2)));
}

/// Guards against a crossed answer that by chance is the caller's own.
#[tokio::test]
async fn crossed_answers_belong_to_another_request() {
    let rig = Rig::new(endpoint()).await;
    rig.ask("a").await.expect("the endpoint is up");
    rig.endpoint.faults().update(|faults| faults.crossed = 3);
    for (id, other) in [("b", "a"), ("c", "b")] {
        let answer = rig.ask(id).await.expect("the endpoint is up");
        assert_eq!((header(&answer, "x-request-id"), &answer.body), (Some(other), &own_answer(other)));
    }
    let lone = Rig::new(endpoint()).await;
    lone.endpoint.faults().update(|faults| faults.crossed = 1);
    let answer = lone.ask("a").await.expect("the endpoint is up");
    assert_ne!(header(&answer, "x-request-id"), Some("a"));
    assert_ne!(answer.body, own_answer("a"));
}

/// Guards against work that is done for a request that is refused.
#[rstest]
#[case(0, 500)]
#[case(503, 503)]
#[tokio::test]
async fn errors_are_answered_without_work(#[case] error_status: u16, #[case] expected: u16) {
    let rig = Rig::new(endpoint()).await;
    rig.endpoint.faults().update(|faults| {
        faults.errors = 1;
        faults.error_status = error_status;
    });
    assert_eq!(rig.ask("a").await.map(|answer| answer.status.as_u16()), Ok(expected));
    assert!(rig.endpoint.counts().by_key.is_empty());
    assert!(rig.ask("b").await.is_ok_and(|answer| answer.status.is_success()));
}

/// Guards against excess of slots that goes unnoticed, and against a drain that ends before the work.
#[rstest]
#[case::delay(EndpointFaults { delay_ms: 1_000, ..EndpointFaults::default() })]
#[case::late(EndpointFaults { late: 2, late_ms: 1_000, ..EndpointFaults::default() })]
#[tokio::test(start_paused = true)]
async fn requests_in_flight_are_counted_and_waited_for(#[case] faults: EndpointFaults) {
    let endpoint = endpoint().with_slots(1);
    endpoint.faults().set(faults);
    let ask = |id: &'static str| {
        let endpoint = endpoint.clone();
        tokio::spawn(async move {
            let request = Request::post(format!("/render/{id}?q=1")).header("x-request-id", id);
            let request = request.body(Full::new(Bytes::from(id))).expect("valid request");
            let answer = endpoint.handle(request).await.expect("it answers").into_body().collect().await;
            answer.expect("the answer is whole").to_bytes()
        })
    };
    let (first, second) = (ask("a"), ask("b"));
    while endpoint.counts().in_flight < 2 {
        tokio::task::yield_now().await;
    }
    endpoint.leave();
    endpoint.drained().await;
    let counts = endpoint.counts();
    assert_eq!((counts.answered, counts.slot_excess, counts.max_in_flight), (2, 1, 2));
    assert_eq!(first.await.expect("no panic"), own_answer("a"));
    assert_eq!(second.await.expect("no panic"), own_answer("b"));
}

/// Guards against more connections than the endpoint allows going unnoticed.
#[tokio::test]
async fn excess_connections_are_counted() {
    let token = CancellationToken::new();
    let _stop = token.clone().drop_guard();
    let endpoint = endpoint().with_connections(1);
    let address = endpoint.serve(loopback(), token).await.expect("loopback can be bound");
    let _one = tokio::net::TcpStream::connect(address).await.expect("it listens");
    let _two = tokio::net::TcpStream::connect(address).await.expect("it listens");
    while endpoint.counts().connections < 2 {
        tokio::task::yield_now().await;
    }
    assert_eq!(endpoint.counts().connection_excess, 1);
}

/// An agent that only collects announcements.
async fn agent(heard: Arc<Mutex<Vec<Announcement>>>, news: Arc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.expect("loopback can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (heard, news) = (heard.clone(), news.clone());
            let service = service_fn(move |request: Request<Incoming>| {
                let (heard, news) = (heard.clone(), news.clone());
                async move {
                    assert_eq!(request.uri().path(), "/v1/announce");
                    let body = request.into_body().collect().await?.to_bytes();
                    heard.lock().expect("no panic").push(serde_json::from_slice(&body).expect("an announcement"));
                    news.notify_one();
                    Ok::<_, hyper::Error>(Response::new(Full::new(Bytes::new())))
                }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// Guards against an agent that learns only with the next heartbeat that its endpoint leaves, and against a heartbeat
/// that is sent only once.
#[tokio::test]
async fn an_endpoint_announces_itself_again_and_again_and_its_leaving_at_once() {
    let token = CancellationToken::new();
    let _stop = token.clone().drop_guard();
    let (heard, news) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Notify::new()));
    let agent = agent(heard.clone(), news.clone()).await;
    let address = loopback();
    let often = endpoint().with_heartbeat_ms(1);
    often.announce(address, agent, token.clone());
    while heard.lock().expect("no panic").len() < 3 {
        news.notified().await;
    }
    token.cancel();
    let seldom = endpoint().with_heartbeat_ms(TIMEOUT_MS).with_incarnation(2);
    seldom.announce(address, agent, CancellationToken::new());
    let last = |state| {
        let heard = heard.lock().expect("no panic");
        heard.iter().any(|announced: &Announcement| announced.incarnation == 2 && announced.state == state)
    };
    while !last(EndpointState::Up) {
        news.notified().await;
    }
    seldom.leave();
    while !last(EndpointState::Leaving) {
        news.notified().await;
    }
}

/// Guards against switches that are lost on their way over the control listener, or reach the wrong stand-in.
#[tokio::test]
async fn faults_are_set_over_http() {
    let token = CancellationToken::new();
    let _stop = token.clone().drop_guard();
    let (log, one, two) = (LogStandin::new(), WorkerStandin::new("one"), WorkerStandin::new("two"));
    let endpoint = endpoint();
    let control = Control::new().with_log(&log).with_worker(&one).with_worker(&two).with_endpoint(&endpoint);
    let address = control.serve(loopback(), token).await.expect("loopback can be bound");
    let client = HttpClient::new(address, TIMEOUT_MS);
    let call = async |method: Method, path: &str, body: &'static str| {
        let answer = client.send(Call::new(method, path).with_body(body).with_timeout_ms(TIMEOUT_MS)).await;
        answer.expect("the control listener is up").status.as_u16()
    };
    assert_eq!(call(Method::POST, "/faults", r#"{"down": true}"#).await, 200);
    assert!(log.faults().get().down && one.faults().get().down && endpoint.faults().get().down);
    assert_eq!(call(Method::DELETE, "/faults", "").await, 200);
    assert!(!log.faults().get().down && !two.faults().get().down);
    assert_eq!(call(Method::POST, "/faults/2", r#"{"fail_starts": true}"#).await, 200);
    assert!(two.faults().get().fail_starts && !one.faults().get().fail_starts);
    assert_eq!(call(Method::POST, "/faults/2", r#"{"lose_answers": 2}"#).await, 200);
    assert!(two.faults().get().fail_starts, "the other fields stay");
    assert_eq!(call(Method::POST, "/faults/0", r#"{"fail_starts": true}"#).await, 400);
    assert_eq!(call(Method::POST, "/faults/9", "{}").await, 404);
    assert_eq!(call(Method::POST, "/actions/3/leave", "").await, 200);
    assert_eq!(endpoint.announcement(address).state, EndpointState::Leaving);
    assert_eq!(call(Method::GET, "/counts", "").await, 200);
}
