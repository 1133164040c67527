//! The count of waiting jobs that entries give to clients.

mod support;

use std::{rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{JobId, JobSpec, QueueSettings, StepSpec, lease::LeasePlan},
    units::TimeMs,
};
use fescuelead_fleet::{
    clock::Clock,
    entry::{Entry, EntryConfig, MAX_COUNT_AGE_MS, RequestError},
    metrics::EntryMetrics,
    routing::{OperatorChange, RoutingConfig},
    store::{Record, Stream},
};
use rstest::rstest;
use support::MemoryStore;
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

const QUEUE: &str = "previews";
/// Longer than an entry takes to lead and to connect to an agent, in milliseconds.
const TAKEOVER_MS: u64 = 3_000;

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
