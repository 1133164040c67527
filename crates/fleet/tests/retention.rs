//! Tests of what is kept of jobs that have ended, and for how long.

mod support;

use std::{rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{JobId, JobSpec, JobStatus, QueueSettings, StepSpec, lease::LeasePlan},
    units::TimeMs,
};
use fescuelead_fleet::{
    clock::Clock,
    entry::{Entry, EntryConfig, JobLimits},
    metrics::EntryMetrics,
    routing::{OperatorChange, RoutingConfig},
    store::{JobRecord, Record, Stream},
};
use support::MemoryStore;
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

const JOB: JobId = JobId(7);
/// How long the state of a job is reported after its end, in milliseconds.
const STATUS_MS: u64 = 30_000;
/// How long after that a repeated submission may arrive, in milliseconds.
const REPEATED_MS: u64 = 60_000;
/// How long an entry may take to apply what another has stored, in milliseconds.
const LAG_MS: u64 = 3_000;

/// Entries on a shared store, without hosts.
struct Site {
    store: MemoryStore,
    started: Instant,
    entries: Vec<Rc<Entry>>,
}

impl Site {
    async fn start() -> Self {
        let store = MemoryStore::default();
        store.put(Stream::Operator, Record::new("config", vec![1]));
        let mut site = Self { store, started: Instant::now(), entries: Vec::new() };
        site.add_entry("a").await;
        site.add_entry("b").await;
        site
    }

    async fn add_entry(&mut self, name: &str) {
        let config = EntryConfig {
            name: name.to_owned(),
            plan: LeasePlan::new(6_000),
            clock: Clock::Runtime { start: self.started, unix_ms: 1_700_000_000_000 },
            decode_operator_record: |_| Ok(OperatorChange::Configured(RoutingConfig::new(1, []))),
            metrics: EntryMetrics::default(),
        };
        let entry = Entry::with_job_limits(config, Box::new(self.store.clone()), JobLimits::new(STATUS_MS));
        spawn_local(entry.clone().run(CancellationToken::new()));
        self.entries.push(entry);
        wait(LAG_MS).await;
    }

    fn deadline(&self) -> TimeMs {
        TimeMs(1_000_000 + self.started.elapsed().as_millis() as u64 + 1_000)
    }

    /// Submits [`JOB`] at one entry and cancels it at the other.
    async fn end_job(&self) {
        assert_eq!(self.entries[0].submit(JOB, spec(), self.deadline()).await, Ok(()));
        wait(LAG_MS).await;
        assert_eq!(self.entries[1].cancel(JOB, self.deadline()).await, Ok(true));
        wait(LAG_MS).await;
    }

    async fn assert_status(&self, expected: Option<JobStatus>) {
        for entry in &self.entries {
            assert_eq!(entry.status(JOB).await, Ok(expected), "entry {}", entry.name());
        }
    }

    /// The keys of [`JOB`] that have a value in the store.
    fn stored_keys(&self) -> Vec<String> {
        let mut keys = Vec::new();
        for stream in [Stream::Jobs, Stream::Progress] {
            let records = self.store.records(stream);
            let newest: std::collections::BTreeMap<_, _> =
                records.into_iter().map(|record| (record.key, record.value)).collect();
            let of_job = newest.into_iter().filter(|(key, value)| value.is_some() && key.contains(&JOB.to_string()));
            keys.extend(of_job.map(|(key, _)| key));
        }
        keys
    }

    fn ended_jobs(&self) -> Vec<i64> {
        self.entries.iter().map(|entry| entry.metrics().ended_jobs.get()).collect()
    }
}

async fn wait(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

async fn run_local<F: Future<Output = ()>>(test: F) {
    LocalSet::new().run_until(test).await;
}

fn spec() -> JobSpec {
    let settings = QueueSettings {
        service: "desk".to_owned(),
        priority: 0,
        max_failures: 3,
        stretch_percent: 150,
        latency_ms: 250,
    };
    JobSpec {
        queue: "queue-1".to_owned(),
        settings,
        accepted_unix_ms: 0,
        payload: "payload".to_owned(),
        steps: vec![StepSpec { tasks: 1, estimate_ms: 500, ..StepSpec::default() }],
        repeat: None,
    }
}

/// Guards against a status that is forgotten too early, at an entry that has seen the job or at one that has started since, and
/// against records that stay in the store for ever.
#[tokio::test(start_paused = true)]
async fn an_ended_job_is_known_for_a_time_and_then_removed() {
    run_local(async {
        let mut site = Site::start().await;
        site.end_job().await;
        assert_eq!(site.stored_keys(), [JOB.to_string()], "only the end stays in the store");
        site.add_entry("c").await;
        site.assert_status(Some(JobStatus::Cancelled)).await;
        wait(STATUS_MS).await;
        site.assert_status(Some(JobStatus::Cancelled)).await;
        wait(REPEATED_MS).await;
        site.assert_status(None).await;
        assert!(site.stored_keys().is_empty(), "{:?}", site.stored_keys());
        wait(LAG_MS).await;
        assert_eq!(site.ended_jobs(), [0, 0, 0]);
    })
    .await;
}

/// Guards against a job that runs again because a late repetition of its submission is stored after its end.
#[tokio::test(start_paused = true)]
async fn a_submission_that_is_repeated_after_the_end_is_removed() {
    run_local(async {
        let site = Site::start().await;
        site.end_job().await;
        assert_eq!(site.entries[1].submit(JOB, spec(), site.deadline()).await, Ok(()));
        site.store.put(Stream::Jobs, JobRecord::submitted(JOB, &spec()).expect("a record"));
        wait(LAG_MS).await;
        site.assert_status(Some(JobStatus::Cancelled)).await;
        assert_eq!(site.stored_keys(), [JOB.to_string()]);
    })
    .await;
}

/// Guards against memory that an entry never frees: it has missed the removals because the records were not kept.
#[tokio::test(start_paused = true)]
async fn an_entry_that_has_missed_the_removals_forgets_the_job() {
    run_local(async {
        let site = Site::start().await;
        site.end_job().await;
        wait(STATUS_MS + REPEATED_MS - 2 * LAG_MS).await;
        // The next reader of the stream is told that its records are not kept, at about the time of the removal.
        site.store.expire.set(Some(Stream::Progress));
        wait(4 * LAG_MS).await;
        site.assert_status(None).await;
        assert_eq!(site.ended_jobs(), [0, 0]);
    })
    .await;
}
