//! Records in the store that another writer has left there: each is skipped, and the records around it count.

mod support;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fescuelead_core::jobs::{JobId, JobProgress, JobSpec, QueueSettings, StepSpec, lease::LeasePlan};
use fescuelead_fleet::{
    clock::Clock,
    entry::{Entry, EntryConfig},
    message::{self, ToAgent},
    metrics::EntryMetrics,
    routing::{OperatorChange, RoutingConfig},
    store::{DEFAULT_MAX_RECORD_BYTES, JobRecord, LeaderRecord, Record, Stream, host_address},
};
use support::MemoryStore;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
    time::{Instant, timeout},
};
use tokio_util::sync::CancellationToken;

const JOB: JobId = JobId(9);

fn spec(tasks: u32) -> JobSpec {
    JobSpec {
        queue: "previews".to_owned(),
        settings: QueueSettings {
            service: "desk".to_owned(),
            priority: 0,
            max_failures: 3,
            stretch_percent: 150,
            latency_ms: 250,
        },
        accepted_unix_ms: 0,
        payload: String::new(),
        steps: vec![StepSpec { tasks, ..StepSpec::default() }],
        repeat: None,
    }
}

/// A host record with one of these values was dialled as a name, or replaced the last good address of its host.
#[rstest::rstest]
#[case::not_an_address(b"executor.example:7720".to_vec())]
#[case::port_out_of_range(b"10.0.0.1:70000".to_vec())]
#[case::port_zero(b"10.0.0.1:0".to_vec())]
#[case::number_too_large(b"99999999999999999999999999".to_vec())]
#[case::nested(b"[".repeat(100_000))]
#[case::no_text(vec![0xff, 0xfe])]
#[case::long(vec![b'1'; 200_000])]
fn a_host_record_without_an_address_is_refused(#[case] value: Vec<u8>) {
    assert!(host_address(&Record::new("host-a", value)).is_err());
}

#[test]
fn the_address_of_a_host_is_decoded() {
    let address: SocketAddr = "10.0.0.1:7720".parse().expect("an address");
    assert_eq!(host_address(&Record::new("host-a", b"10.0.0.1:7720".to_vec())), Ok(Some(address)));
    assert_eq!(host_address(&Record { key: "host-a".to_owned(), value: None }), Ok(None));
}

/// State is allocated for each task that a submission states, so that four billion of them ended the process.
#[test]
fn a_submission_with_too_many_tasks_is_refused() {
    let record = JobRecord::submitted(JOB, &spec(u32::MAX)).expect("a record");
    assert!(JobRecord::decode(&record).is_err());
}

/// The next run has the number after the last one, and the next leader the epoch after the last one.
#[test]
fn numbers_without_a_successor_are_refused() {
    let mut progress = JobProgress::new(&spec(1));
    progress.occurrences[0][0][0].run = u32::MAX;
    let record = JobRecord::progressed(JOB, &progress, DEFAULT_MAX_RECORD_BYTES).expect("a record");
    assert!(JobRecord::decode(&record).is_err());
    let leader = LeaderRecord { epoch: u64::MAX, name: "a".to_owned(), resigned: false };
    assert!(JobRecord::decode(&JobRecord::leader(&leader).expect("a record")).is_err());
}

/// Records that claim a length of four billion entries, and ones that end early.
#[rstest::rstest]
#[case::long_list(vec![0xff, 0xff, 0xff, 0xff, 0x0f])]
#[case::endless_number(vec![0xff; 64])]
#[case::empty(Vec::new())]
fn bytes_that_are_no_record_are_refused(#[case] value: Vec<u8>) {
    for key in ["submitted:00000000000000ff", "leader", "00000000000000ff", "submitted:no id", "", "unknown"] {
        assert!(JobRecord::decode(&Record::new(key, value.clone())).is_err(), "{key:?}");
    }
}

/// Accepts the leader's connection and reads its first message.
async fn accept(listener: &TcpListener) -> TcpStream {
    let connected = timeout(Duration::from_secs(10), listener.accept()).await;
    let (mut stream, _) = connected.expect("a connection in time").expect("a connection");
    let hello = message::read::<ToAgent>(&mut stream).await.expect("a message");
    assert!(matches!(hello, ToAgent::Hello { .. }), "{hello:?}");
    stream
}

fn decode_operator_record(_: &Record) -> Result<OperatorChange, String> {
    Ok(OperatorChange::Configured(RoutingConfig::new(1, [])))
}

/// An entry must go on following a stream after odd records in it, and must keep the last good address of a host.
#[tokio::test]
async fn the_leader_connects_to_hosts_beside_odd_records() {
    LocalSet::new()
        .run_until(async {
            let store = MemoryStore::default();
            store.put(Stream::Operator, Record::new("config", vec![1]));
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address").to_string();
            store.put(Stream::Hosts, Record::new("", address.clone().into_bytes()));
            store.put(Stream::Hosts, Record::new("host-b", b"[".repeat(100_000)));
            store.put(Stream::Hosts, Record::new("host-a", address.into_bytes()));
            store.put(Stream::Jobs, JobRecord::submitted(JOB, &spec(u32::MAX)).expect("a record"));
            store.put(Stream::Progress, Record::new("leader", vec![0xff; 64]));
            let metrics = EntryMetrics::default();
            let config = EntryConfig {
                name: "a".to_owned(),
                plan: LeasePlan::new(6_000),
                clock: Clock::Runtime { start: Instant::now(), unix_ms: 1_700_000_000_000 },
                decode_operator_record,
                metrics: metrics.clone(),
            };
            let entry: Rc<Entry> = Entry::new(config, Box::new(store.clone()));
            let stop = CancellationToken::new();
            spawn_local(entry.clone().run(stop.clone()));
            let mut first = accept(&listener).await;
            // Two hosts, a job and a heartbeat.
            assert_eq!(metrics.records_skipped.get(), 4);
            store.put(Stream::Hosts, Record::new("host-a", b"10.0.0.1:70000".to_vec()));
            let second = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = second.local_addr().expect("an address").to_string();
            store.put(Stream::Hosts, Record::new("host-c", address.into_bytes()));
            accept(&second).await;
            assert_eq!(metrics.records_skipped.get(), 5);
            // The session with the host is still open: nothing arrives, and it is not closed.
            let next = timeout(Duration::from_millis(200), message::read::<ToAgent>(&mut first)).await;
            assert!(next.is_err(), "{next:?}");
            stop.cancel();
        })
        .await;
}

/// Guards against reads without a pause while a record cannot be read: each of them is a call that the platform limits.
#[tokio::test(start_paused = true)]
async fn a_record_that_cannot_be_read_is_asked_for_now_and_then() {
    LocalSet::new()
        .run_until(async {
            let store = MemoryStore::default();
            store.put(Stream::Operator, Record::new("config", vec![1]));
            store.stuck.set(Some(Stream::Jobs));
            let config = EntryConfig {
                name: "a".to_owned(),
                plan: LeasePlan::new(6_000),
                clock: Clock::Runtime { start: Instant::now(), unix_ms: 1_700_000_000_000 },
                decode_operator_record,
                metrics: EntryMetrics::default(),
            };
            let entry: Rc<Entry> = Entry::new(config, Box::new(store.clone()));
            spawn_local(entry.run(CancellationToken::new()));
            tokio::time::sleep(Duration::from_secs(10)).await;
            let reads = store.stuck_reads.get();
            // The platform allows 2,000 reads a second for all processes together.
            assert!((1..=500).contains(&reads), "{reads} reads in 10 s");
        })
        .await;
}
