//! The count of waiting jobs that entries give to clients.

mod support;

use std::{rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{HostInfo, JobId, JobSpec, QueueSettings, StepSpec, lease::LeasePlan},
    units::{Resources, TimeMs},
};
use fescuelead_fleet::{
    agent::Agent,
    clock::Clock,
    entry::{Entry, EntryConfig, MAX_COUNT_AGE_MS, RequestError},
    metrics::{AgentMetrics, EntryMetrics},
    routing::{OperatorChange, RoutingConfig},
    store::{Record, Stream},
};
use rstest::rstest;
use support::{MemoryEndpoint, MemoryStore};
use tokio::{
    net::TcpListener,
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

const QUEUE: &str = "previews";
/// Longer than an entry takes to lead and to connect to an agent, in milliseconds.
const TAKEOVER_MS: u64 = 3_000;
/// After this time the platform counts jobs as waiting, in milliseconds.
const VISIBLE_MS: u64 = 5_000;

fn decode_operator_record(_: &Record) -> Result<OperatorChange, String> {
    Ok(OperatorChange::Configured(RoutingConfig::new(1, [])))
}

fn spec() -> JobSpec {
    JobSpec {
        queue: QUEUE.to_owned(),
        settings: QueueSettings {
            service: "desk".to_owned(),
            priority: 0,
            max_failures: 3,
            stretch_percent: 150,
            latency_ms: 250,
        },
        accepted_unix_ms: 0,
        payload: String::new(),
        steps: vec![StepSpec { tasks: 1, long_running: true, ..StepSpec::default() }],
        repeat: None,
    }
}

async fn wait(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// An entry with a view of the store of its own, and the clock of all processes.
struct Fleet {
    entry: Rc<Entry>,
    store: MemoryStore,
    clock: Clock,
}

impl Fleet {
    fn start() -> Self {
        let store = MemoryStore::default();
        store.put(Stream::Operator, Record::new("config", vec![1]));
        let clock = Clock::Runtime { start: Instant::now(), unix_ms: 1_700_000_000_000 };
        let entry = start_entry("entry-a", &store, clock);
        Self { entry, store, clock }
    }

    async fn start_agent(&self, endpoint: &MemoryEndpoint) -> Rc<Agent> {
        let (plan, metrics) = (LeasePlan::new(6_000), AgentMetrics::default());
        let agent = Agent::new("host-a".to_owned(), Box::new(endpoint.clone()), plan, self.clock, metrics);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string().into_bytes();
        spawn_local(agent.clone().run(listener, CancellationToken::new()));
        let info =
            HostInfo { service: "desk".to_owned(), capacity: Resources::new(4_000, 1_000), ..HostInfo::default() };
        agent.handle_announcement(Some(1), info);
        self.store.put(Stream::Hosts, Record::new("host-a", address));
        wait(TAKEOVER_MS).await;
        agent
    }

    async fn submit(&self, job: JobId) {
        let deadline = TimeMs(self.clock.now().0 + 3_000);
        self.entry.submit(job, spec(), deadline).await.expect("the job is accepted");
    }
}

fn start_entry(name: &str, store: &MemoryStore, clock: Clock) -> Rc<Entry> {
    let config = EntryConfig {
        name: name.to_owned(),
        plan: LeasePlan::new(6_000),
        clock,
        decode_operator_record,
        metrics: EntryMetrics::default(),
    };
    let entry = Entry::new(config, Box::new(store.clone()));
    spawn_local(entry.clone().run(CancellationToken::new()));
    entry
}

/// Guards against a job that is left out of the count of waiting jobs because its task was assigned, though the order never had
/// an effect: MIXED on a day on which hosts were cut off.
#[rstest]
#[case::the_endpoint_answers_nothing(true, 1)]
#[case::the_endpoint_starts_the_task(false, 0)]
#[tokio::test]
async fn a_job_waits_until_a_task_has_started(#[case] silent: bool, #[case] expected: usize) {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start();
            let endpoint = MemoryEndpoint::default();
            let _agent = fleet.start_agent(&endpoint).await;
            endpoint.silent.set(silent);
            fleet.submit(JobId(7)).await;
            wait(VISIBLE_MS).await;
            assert_eq!(endpoint.started.borrow().len(), usize::from(!silent));
            assert_eq!(fleet.entry.pending(QUEUE).await, Ok(expected));
        })
        .await;
}

/// Guards against a job that waits again, as far as clients are told, because the leader has changed before it has stored the
/// start.
#[tokio::test]
async fn a_new_leader_hears_of_tasks_that_have_started() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start();
            let endpoint = MemoryEndpoint::default();
            let _agent = fleet.start_agent(&endpoint).await;
            fleet.submit(JobId(7)).await;
            while endpoint.started.borrow().is_empty() {
                wait(1).await;
            }
            // The first leader can store nothing any more, and the second one knows only what agents tell it.
            let store = fleet.store.with_separate_faults();
            fleet.store.down.set(true);
            let second = start_entry("entry-b", &store, fleet.clock);
            wait(TAKEOVER_MS + VISIBLE_MS).await;
            assert_eq!(second.pending(QUEUE).await, Ok(0));
        })
        .await;
}

/// Guards against a count from a copy that lacks the jobs of the last seconds, and against a refusal while the copy is recent
/// enough.
#[rstest]
#[case::at_the_bound(MAX_COUNT_AGE_MS - 100, true)]
#[case::beyond_the_bound(MAX_COUNT_AGE_MS + 2_000, false)]
#[tokio::test(start_paused = true)]
async fn a_count_is_refused_once_the_copy_is_too_old(#[case] cut_off_ms: u64, #[case] is_counted: bool) {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start();
            wait(TAKEOVER_MS).await;
            fleet.submit(JobId(7)).await;
            let store = fleet.store.with_separate_faults();
            let follower = start_entry("entry-b", &store, fleet.clock);
            while !follower.is_ready() {
                wait(1).await;
            }
            store.down.set(true);
            wait(cut_off_ms).await;
            let asked_at = Instant::now();
            let counted = follower.pending(QUEUE).await;
            if is_counted {
                assert_eq!(counted, Ok(1));
            } else {
                assert!(matches!(counted, Err(RequestError::NotDone(_))), "{counted:?}");
                assert!(asked_at.elapsed().is_zero(), "refused after {:?}", asked_at.elapsed());
            }
        })
        .await;
}

/// Guards against the count of an entry that has just started and not read any job.
#[tokio::test(start_paused = true)]
async fn an_entry_that_has_read_nothing_reads_the_store_before_it_counts() {
    LocalSet::new()
        .run_until(async {
            let fleet = Fleet::start();
            wait(TAKEOVER_MS).await;
            fleet.submit(JobId(7)).await;
            let started = start_entry("entry-b", &fleet.store.with_separate_faults(), fleet.clock);
            assert_eq!(started.pending(QUEUE).await, Ok(1));
        })
        .await;
}
