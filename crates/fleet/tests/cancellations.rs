//! Tests of cancellations of jobs that the entry does not know: their submission may take effect later.

mod support;

use std::{rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{JobId, JobSpec, JobStatus, Phase, QueueSettings, StepSpec, lease::LeasePlan},
    units::TimeMs,
};
use fescuelead_fleet::{
    clock::Clock,
    entry::{Entry, EntryConfig, RequestError},
    metrics::EntryMetrics,
    routing::{OperatorChange, RoutingConfig},
    store::{JobRecord, Record, Stream},
};
use rstest::rstest;
use support::MemoryStore;
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

const JOB: JobId = JobId(7);
/// How late the store carries out a submission, in milliseconds.
const LATE_MS: u64 = 5_500;
/// How long the record of a cancellation that nothing was submitted for is kept at least, in milliseconds: five times
/// the longest delay that the platform states.
const KEPT_MS: u64 = 60_000;

/// Entries of one cell on a shared store.
struct Cell {
    store: MemoryStore,
    started: Instant,
    entries: Vec<Rc<Entry>>,
}

impl Cell {
    async fn start() -> Self {
        let store = MemoryStore::default();
        store.put(Stream::Operator, Record::new("config", vec![1]));
        let mut cell = Self { store, started: Instant::now(), entries: Vec::new() };
        cell.add_entry("a");
        cell.add_entry("b");
        wait(3_000).await;
        cell
    }

    fn add_entry(&mut self, name: &str) -> Rc<Entry> {
        let config = EntryConfig {
            name: name.to_owned(),
            plan: LeasePlan::new(6_000),
            clock: Clock::Runtime { start: self.started, unix_ms: 1_700_000_000_000 },
            decode_operator_record: |_| Ok(OperatorChange::Configured(RoutingConfig::new(1, []))),
            metrics: EntryMetrics::default(),
        };
        let entry = Entry::new(config, Box::new(self.store.clone()));
        spawn_local(entry.clone().run(CancellationToken::new()));
        self.entries.push(entry.clone());
        entry
    }

    fn deadline(&self, ms: u64) -> TimeMs {
        TimeMs(1_000_000 + self.started.elapsed().as_millis() as u64 + ms)
    }

    /// Submits [`JOB`] at the first entry. The store carries the submission out after [`LATE_MS`].
    async fn submit_late(&self) {
        self.store.queue_ms.set(LATE_MS);
        let submitted = self.entries[0].submit(JOB, spec(), self.deadline(1_000)).await;
        assert!(matches!(submitted, Err(RequestError::Unknown(_))), "{submitted:?}");
        self.store.queue_ms.set(0);
    }

    async fn cancel(&self, entry: usize, job: JobId) -> Result<bool, RequestError> {
        self.entries[entry].cancel(job, self.deadline(1_000)).await
    }

    /// The number of records in the store that cancel a job.
    fn cancellations(&self) -> usize {
        let records = self.store.records(Stream::Jobs);
        records.iter().filter(|record| matches!(JobRecord::decode(record), Ok(JobRecord::Cancelled(_)))).count()
    }

    async fn assert_status(&self, expected: Option<JobStatus>) {
        for entry in &self.entries {
            assert_eq!(entry.status(JOB).await, Ok(expected), "entry {}", entry.name());
        }
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
        payload: String::new(),
        steps: vec![StepSpec { tasks: 2, estimate_ms: 500, ..StepSpec::default() }],
        repeat: None,
    }
}

/// Guards against a job that runs although its cancellation was acknowledged: its submission takes effect later, and
/// neither the entry that is asked nor the leader knew of it.
#[rstest]
#[case::at_the_entry_of_the_submission(0)]
#[case::at_another_entry(1)]
#[tokio::test(start_paused = true)]
async fn a_job_that_is_submitted_after_its_cancellation_never_runs(#[case] cancelled_at: usize) {
    run_local(async {
        let cell = Cell::start().await;
        cell.submit_late().await;
        assert_eq!(cell.cancel(cancelled_at, JOB).await, Ok(false));
        cell.assert_status(None).await;
        wait(LATE_MS).await;
        cell.assert_status(Some(JobStatus::Cancelled)).await;
    })
    .await;
}

/// Guards against a job that runs although its cancellation was acknowledged, by an entry that was started after that.
#[tokio::test(start_paused = true)]
async fn a_new_entry_knows_of_a_cancellation_before_the_submission() {
    run_local(async {
        let mut cell = Cell::start().await;
        cell.submit_late().await;
        assert_eq!(cell.cancel(1, JOB).await, Ok(false));
        cell.add_entry("c");
        wait(LATE_MS).await;
        cell.assert_status(Some(JobStatus::Cancelled)).await;
    })
    .await;
}

/// Guards against a job that runs although its cancellation was acknowledged: the client's submission arrives once more.
#[tokio::test(start_paused = true)]
async fn a_submission_that_is_repeated_after_its_cancellation_stays_cancelled() {
    run_local(async {
        let cell = Cell::start().await;
        assert_eq!(cell.cancel(1, JOB).await, Ok(false));
        assert_eq!(cell.entries[0].submit(JOB, spec(), cell.deadline(1_000)).await, Ok(()));
        wait(1_000).await;
        cell.assert_status(Some(JobStatus::Cancelled)).await;
    })
    .await;
}

/// Guards against the answer that a job does not exist while its cancellation is not known to be stored.
#[tokio::test(start_paused = true)]
async fn a_cancellation_that_may_not_be_stored_is_not_answered_as_absent() {
    run_local(async {
        let cell = Cell::start().await;
        cell.store.queue_ms.set(LATE_MS);
        let unanswered = cell.cancel(0, JOB).await;
        assert!(matches!(unanswered, Err(RequestError::Unknown(_))), "{unanswered:?}");
        cell.store.queue_ms.set(0);
        cell.store.down.set(true);
        let refused = cell.cancel(1, JOB).await;
        assert!(matches!(refused, Err(RequestError::NotDone(_))), "{refused:?}");
    })
    .await;
}

/// Guards against a store that grows with each cancellation of a job that was never submitted.
#[tokio::test(start_paused = true)]
async fn the_cancellation_of_a_job_that_was_never_submitted_is_removed() {
    run_local(async {
        let cell = Cell::start().await;
        assert_eq!(cell.cancel(0, JOB).await, Ok(false));
        assert_eq!(cell.cancel(0, JOB).await, Ok(false));
        wait(1_000).await;
        assert_eq!(cell.cancel(1, JOB).await, Ok(false));
        assert_eq!(cell.cancellations(), 1, "a repeated cancellation is stored again");
        let removals = || cell.store.records(Stream::Jobs).iter().filter(|record| record.value.is_none()).count();
        wait(KEPT_MS - 5_000).await;
        assert_eq!(removals(), 0);
        wait(10_000).await;
        assert_eq!(removals(), 1);
        wait(10_000).await;
        assert_eq!(removals(), 1, "a removal is repeated");
        assert_eq!(cell.entries[0].metrics().early_cancellations.get(), 0);
        assert_eq!(cell.entries[1].metrics().early_cancellations.get(), 0);
    })
    .await;
}

/// Guards against memory that an entry never frees: it has missed the removal because the records were not kept.
#[tokio::test(start_paused = true)]
async fn an_entry_that_has_missed_a_removal_forgets_the_cancellation() {
    run_local(async {
        let cell = Cell::start().await;
        assert_eq!(cell.cancel(0, JOB).await, Ok(false));
        wait(1_000).await;
        cell.store.put(Stream::Jobs, JobRecord::cancellation_removed(JOB));
        cell.store.expire.set(Some(Stream::Jobs));
        wait(KEPT_MS + 5_000).await;
        for entry in &cell.entries {
            assert_eq!(entry.metrics().early_cancellations.get(), 0, "entry {}", entry.name());
        }
    })
    .await;
}

/// Guards against the removal of a cancellation that has taken effect while its job could still start: it is removed only after
/// the end of the job is stored and the submission was removed.
#[tokio::test(start_paused = true)]
async fn the_cancellation_of_a_job_that_was_submitted_later_is_kept() {
    run_local(async {
        let cell = Cell::start().await;
        cell.submit_late().await;
        assert_eq!(cell.cancel(1, JOB).await, Ok(false));
        wait(2 * KEPT_MS).await;
        let jobs = cell.store.records(Stream::Jobs);
        let removal = |removed: Record| jobs.iter().position(|record| *record == removed);
        if let Some(cancellation) = removal(JobRecord::cancellation_removed(JOB)) {
            let submission = removal(JobRecord::submission_removed(JOB)).expect("the submission is removed as well");
            assert!(submission < cancellation);
        }
        let ended = cell.store.records(Stream::Progress).iter().any(|record| {
            matches!(JobRecord::decode(record), Ok(JobRecord::Progressed(JOB, progress)) if progress.phase == Phase::Cancelled)
        });
        assert!(ended, "the end of the job is not stored");
        cell.assert_status(Some(JobStatus::Cancelled)).await;
    })
    .await;
}

/// Guards against a job that runs although its cancellation was acknowledged: it was submitted late, and a leader that could not read
/// that removed the record of the cancellation, so that an entry that was started later did not know of it.
#[tokio::test(start_paused = true)]
async fn a_leader_that_cannot_read_removes_no_cancellation() {
    run_local(async {
        let mut cell = Cell::start().await;
        assert_eq!(cell.cancel(1, JOB).await, Ok(false));
        wait(KEPT_MS - 1_000).await;
        cell.store.unreadable.set(true);
        cell.store.put(Stream::Jobs, JobRecord::submitted(JOB, &spec()).expect("a record"));
        wait(4_000).await;
        cell.store.unreadable.set(false);
        cell.add_entry("c");
        wait(100).await;
        assert_eq!(cell.entries[2].status(JOB).await, Ok(Some(JobStatus::Cancelled)));
    })
    .await;
}

/// Guards against memory that grows with the cancellations of jobs that were never submitted: beyond a limit they are
/// refused as not carried out until earlier ones are removed.
#[tokio::test(start_paused = true)]
async fn cancellations_of_unknown_jobs_are_limited() {
    run_local(async {
        let cell = Cell::start().await;
        for job in 100..100 + 4_096 {
            cell.store.put(Stream::Jobs, JobRecord::cancelled(JobId(job)));
        }
        wait(1_000).await;
        let refused = cell.cancel(0, JOB).await;
        assert!(matches!(refused, Err(RequestError::NotDone(_))), "{refused:?}");
        wait(KEPT_MS + 5_000).await;
        assert_eq!(cell.cancel(0, JOB).await, Ok(false));
    })
    .await;
}
