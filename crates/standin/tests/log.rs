//! The log service under every fault switch, in memory on paused time and over HTTP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use fescuelead_platform::log::{
    AppendError, LogService, SharedLog, TookEffect,
    http::{HttpLog, HttpLogConfig},
};
use fescuelead_standin::log::{LogFaults, LogStandin, Retention};
use rstest::rstest;
use tokio::time::Instant;
use tokio_util::sync::{CancellationToken, DropGuard};

const STREAM: &str = "cell-0";
// When client one gives up. No test expects an answer within this time on a real clock.
const ONE_TIMEOUT_MS: u64 = 2_000;
const TWO_TIMEOUT_MS: u64 = 600_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Transport {
    Memory,
    Http,
}

/// A log service with two clients of the names `one` and `two`.
struct Rig {
    log: LogStandin,
    one: SharedLog,
    two: SharedLog,
    _stop: DropGuard,
}

impl Rig {
    async fn new(transport: Transport, log: LogStandin) -> Self {
        let token = CancellationToken::new();
        let timeouts = [("one", ONE_TIMEOUT_MS), ("two", TWO_TIMEOUT_MS)];
        let [one, two]: [SharedLog; 2] = match transport {
            Transport::Memory => timeouts.map(|(name, timeout_ms)| {
                Arc::new(log.clone().with_client_timeout_ms(timeout_ms).client(name)) as SharedLog
            }),
            Transport::Http => {
                let address = log.serve(loopback(), token.clone()).await.expect("loopback can be bound");
                timeouts.map(|(name, timeout_ms)| Arc::new(client(address, name, timeout_ms)) as SharedLog)
            }
        };
        Self { log, one, two, _stop: token.drop_guard() }
    }

    async fn append(&self, text: &'static str) -> Result<u64, AppendError> {
        self.two.append(STREAM, Bytes::from_static(text.as_bytes())).await
    }

    fn texts(&self) -> Vec<String> {
        let records = self.log.page(STREAM).records;
        records.iter().map(|record| String::from_utf8_lossy(&record.bytes).into_owned()).collect()
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn client(address: SocketAddr, name: &str, timeout_ms: u64) -> HttpLog {
    let config = HttpLogConfig::new(address)
        .with_client_name(name)
        .with_append_timeout_ms(timeout_ms)
        .with_read_timeout_ms(timeout_ms);
    HttpLog::new(config)
}

fn effect(result: Result<u64, AppendError>) -> Result<u64, TookEffect> {
    result.map_err(|error| error.took_effect())
}

// Sockets and paused time do not go together: tokio would advance the time while bytes are under way.
fn pause(transport: Transport) {
    if transport == Transport::Memory {
        tokio::time::pause();
    }
}

/// Guards against records or offsets that differ between the two ways to the service.
#[rstest]
#[tokio::test]
async fn reads_return_what_was_appended(#[values(Transport::Memory, Transport::Http)] transport: Transport) {
    pause(transport);
    let rig = Rig::new(transport, LogStandin::new()).await;
    assert_eq!(rig.append("a").await, Ok(0));
    assert_eq!(rig.append("b").await, Ok(1));
    let page = rig.two.read(STREAM, 1, 1024, 0).await.expect("the log is up");
    assert_eq!((page.first_offset, page.tail_offset), (0, 2));
    assert_eq!(page.records.iter().map(|record| record.offset).collect::<Vec<_>>(), [1]);
    let small = rig.two.read(STREAM, 0, 1, 0).await.expect("the log is up");
    assert_eq!(small.records.len(), 1, "a read returns at least one record");
    let empty = rig.two.read("config", 0, 1024, 0).await.expect("the log is up");
    assert_eq!((empty.records.len(), empty.tail_offset), (0, 0));
}

/// Guards against an error that says the wrong thing about the effect of an append. `effective` is what the log holds.
#[rstest]
#[case::down_in_memory(Transport::Memory, LogFaults { down: true, ..LogFaults::default() }, Err(TookEffect::No), false)]
#[case::down(Transport::Http, LogFaults { down: true, ..LogFaults::default() }, Err(TookEffect::Unknown), false)]
#[case::lost(Transport::Memory, LogFaults { lose_answers: 1, ..LogFaults::default() }, Err(TookEffect::Unknown), true)]
#[case::lost(Transport::Http, LogFaults { lose_answers: 1, ..LogFaults::default() }, Err(TookEffect::Unknown), true)]
#[case::slow(Transport::Memory, LogFaults { delay_ms: 100, ..LogFaults::default() }, Ok(0), true)]
#[case::slow(Transport::Http, LogFaults { delay_ms: 20, ..LogFaults::default() }, Ok(0), true)]
#[case::answer_too_late(
    Transport::Memory, LogFaults { answer_delay_ms: 60_000, ..LogFaults::default() }, Err(TookEffect::Unknown), true
)]
#[case::answer_too_late(
    Transport::Http, LogFaults { answer_delay_ms: 60_000, ..LogFaults::default() }, Err(TookEffect::Unknown), true
)]
#[case::rate(
    Transport::Memory, LogFaults { max_appends_per_s: Some(0), ..LogFaults::default() }, Err(TookEffect::No), false
)]
#[case::rate(
    Transport::Http, LogFaults { max_appends_per_s: Some(0), ..LogFaults::default() }, Err(TookEffect::No), false
)]
#[case::cut_off(
    Transport::Memory, LogFaults { cut_off: ["one".to_owned()].into(), ..LogFaults::default() },
    Err(TookEffect::Unknown), false
)]
#[case::cut_off(
    Transport::Http, LogFaults { cut_off: ["one".to_owned()].into(), ..LogFaults::default() },
    Err(TookEffect::Unknown), false
)]
#[tokio::test]
async fn append_errors_tell_the_effect(
    #[case] transport: Transport,
    #[case] faults: LogFaults,
    #[case] expected: Result<u64, TookEffect>,
    #[case] effective: bool,
) {
    pause(transport);
    let rig = Rig::new(transport, LogStandin::new()).await;
    let gives_up = faults.answer_delay_ms > 0 || !faults.cut_off.is_empty();
    rig.log.faults().set(faults);
    let client = if gives_up { &rig.one } else { &rig.two };
    assert_eq!(effect(client.append(STREAM, Bytes::from_static(b"a")).await), expected);
    assert_eq!(!rig.texts().is_empty(), effective);
    rig.log.faults().clear();
    assert_eq!(rig.append("b").await, Ok(u64::from(effective)), "the service is whole again");
}

/// Guards against an append that is taken for one without effect because its client gave up first.
#[tokio::test(start_paused = true)]
async fn a_slow_append_takes_effect_after_its_client_gave_up() {
    let rig = Rig::new(Transport::Memory, LogStandin::new()).await;
    rig.log.faults().update(|faults| faults.delay_ms = ONE_TIMEOUT_MS + 500);
    let result = rig.one.append(STREAM, Bytes::from_static(b"late")).await;
    assert_eq!(effect(result), Err(TookEffect::Unknown));
    assert!(rig.texts().is_empty());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(rig.texts(), ["late"]);
}

/// Guards against a refused connect being taken for an append that may be in the log.
#[tokio::test]
async fn a_refused_connect_has_no_effect() {
    let listener = tokio::net::TcpListener::bind(loopback()).await.expect("loopback can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    drop(listener);
    let result = client(address, "one", TWO_TIMEOUT_MS).append(STREAM, Bytes::from_static(b"a")).await;
    assert_eq!(effect(result), Err(TookEffect::No));
}

/// Guards against an append refused by the client itself being shown as possibly effective, and against names that break
/// the path.
#[rstest]
#[case::too_large(STREAM, 2 * 1024 * 1024)]
#[case::bad_name("a/b", 1)]
#[case::dots("..", 1)]
#[tokio::test]
async fn appends_that_cannot_be_sent_are_refused(#[case] stream: &str, #[case] length: usize) {
    let rig = Rig::new(Transport::Http, LogStandin::new()).await;
    let result = rig.one.append(stream, Bytes::from(vec![0; length])).await;
    assert_eq!(effect(result), Err(TookEffect::No));
    assert_eq!(rig.log.counts().appends, 0);
}

/// Guards against a cut that hits other clients, or spares reads.
#[rstest]
#[tokio::test]
async fn only_the_named_client_is_cut_off(#[values(Transport::Memory, Transport::Http)] transport: Transport) {
    pause(transport);
    let rig = Rig::new(transport, LogStandin::new()).await;
    rig.log.faults().update(|faults| faults.cut_off.extend(["one".to_owned()]));
    assert!(rig.one.read(STREAM, 0, 1024, 0).await.is_err());
    assert_eq!(rig.two.append(STREAM, Bytes::from_static(b"b")).await, Ok(0));
    assert!(rig.two.read(STREAM, 0, 1024, 0).await.is_ok());
}

/// Guards against reads that succeed while the log is down, and against a long poll that outlives it.
#[rstest]
#[tokio::test]
async fn an_outage_ends_reads_in_progress(#[values(Transport::Memory, Transport::Http)] transport: Transport) {
    pause(transport);
    let rig = Rig::new(transport, LogStandin::new()).await;
    let reader = rig.two.clone();
    let poll = tokio::spawn(async move { reader.read(STREAM, 0, 1024, 600_000).await });
    while rig.log.counts().waiting_reads == 0 {
        tokio::task::yield_now().await;
    }
    rig.log.faults().update(|faults| faults.down = true);
    assert!(poll.await.expect("the poll does not panic").is_err());
    assert!(rig.two.read(STREAM, 0, 1024, 0).await.is_err());
}

/// Guards against a long poll that misses the append it waits for.
#[rstest]
#[tokio::test]
async fn a_long_poll_returns_with_the_next_append(#[values(Transport::Memory, Transport::Http)] transport: Transport) {
    pause(transport);
    let rig = Rig::new(transport, LogStandin::new()).await;
    let reader = rig.two.clone();
    let poll = tokio::spawn(async move { reader.read(STREAM, 0, 1024, 600_000).await });
    while rig.log.counts().waiting_reads == 0 {
        tokio::task::yield_now().await;
    }
    let appended = Instant::now();
    assert_eq!(rig.append("a").await, Ok(0));
    let page = poll.await.expect("the poll does not panic").expect("the log is up");
    assert_eq!((page.records.len(), page.tail_offset), (1, 1));
    if transport == Transport::Memory {
        assert_eq!(appended.elapsed(), Duration::ZERO, "paused time passes only if the poll runs into its deadline");
    }
}

/// Guards against a read that shows a later tail than the one it was served with.
#[tokio::test(start_paused = true)]
async fn a_read_answered_late_holds_the_old_tail() {
    let rig = Rig::new(Transport::Memory, LogStandin::new()).await;
    assert_eq!(rig.append("a").await, Ok(0));
    rig.log.faults().update(|faults| faults.answer_delay_ms = 200);
    let reader = rig.two.clone();
    let read = tokio::spawn(async move { reader.read(STREAM, 0, 1024, 0).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    rig.log.faults().clear();
    assert_eq!(rig.append("b").await, Ok(1));
    let page = read.await.expect("the read does not panic").expect("the log is up");
    assert_eq!(page.tail_offset, 1);
}

/// Guards against retention that moves offsets or hides that records are missing.
#[rstest]
#[case::by_count(Retention::new().with_count(2), 0)]
#[case::by_age(Retention::new().with_age_ms(100), 60)]
#[tokio::test(start_paused = true)]
async fn retention_moves_the_first_offset(#[case] retention: Retention, #[case] pause_ms: u64) {
    let rig = Rig::new(Transport::Memory, LogStandin::new().with_retention(retention)).await;
    for text in ["a", "b", "c"] {
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        rig.append(text).await.expect("the log is up");
    }
    let page = rig.one.read(STREAM, 0, 1024, 0).await.expect("the log is up");
    assert_eq!((page.first_offset, page.tail_offset), (1, 3));
    assert_eq!(page.records.first().map(|record| record.offset), Some(1));
}

/// Guards against a limit that lets a writer through forever, or never again.
#[tokio::test(start_paused = true)]
async fn the_append_rate_is_limited_and_recovers() {
    let rig = Rig::new(Transport::Memory, LogStandin::new()).await;
    rig.log.faults().update(|faults| faults.max_appends_per_s = Some(10));
    let mut accepted = 0;
    for _ in 0..20 {
        accepted += u64::from(rig.append("a").await.is_ok());
    }
    assert_eq!((accepted, rig.log.counts().rate_refusals), (10, 10));
    tokio::time::sleep(Duration::from_millis(500)).await;
    for _ in 0..20 {
        accepted += u64::from(rig.append("a").await.is_ok());
    }
    assert_eq!(accepted, 15);
}
