//! Tests of the budget for what clients submit.

mod support;

use std::{rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{JobId, JobSpec, JobStatus, QueueSettings, StepSpec, lease::LeasePlan},
    units::TimeMs,
};
use fescuelead_fleet::{
    clock::Clock,
    entry::{DEFAULT_STATUS_MS, Entry, EntryConfig, JobLimits, MIN_JOB_BUDGET_BYTES, RequestError},
    metrics::EntryMetrics,
    routing::{OperatorChange, RoutingConfig},
    store::{Record, Stream},
};
use support::MemoryStore;
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

const LARGE_BYTES: usize = 200_000;
/// How long an entry may take to apply what another has stored, in milliseconds.
const LAG_MS: u64 = 3_000;
/// Large jobs that exceed any budget of a test.
const MANY: u64 = 200;

/// Entries on a shared store, without hosts.
struct Site {
    store: MemoryStore,
    started: Instant,
    entries: Vec<Rc<Entry>>,
}

impl Site {
    async fn start(entries: usize) -> Self {
        let store = MemoryStore::default();
        store.put(Stream::Operator, Record::new("config", vec![1]));
        let mut site = Self { store, started: Instant::now(), entries: Vec::new() };
        for number in 0..entries {
            site.add_entry(&format!("entry-{number}"));
        }
        wait(LAG_MS).await;
        site
    }

    fn add_entry(&mut self, name: &str) {
        let config = EntryConfig {
            name: name.to_owned(),
            plan: LeasePlan::new(6_000),
            clock: Clock::Runtime { start: self.started, unix_ms: 1_700_000_000_000 },
            decode_operator_record: |_| Ok(OperatorChange::Configured(RoutingConfig::new(1, []))),
            metrics: EntryMetrics::default(),
        };
        let limits = JobLimits::new(DEFAULT_STATUS_MS).with_budget_bytes(MIN_JOB_BUDGET_BYTES);
        let entry = Entry::with_job_limits(config, Box::new(self.store.clone()), limits);
        spawn_local(entry.clone().run(CancellationToken::new()));
        self.entries.push(entry);
    }

    fn deadline(&self) -> TimeMs {
        TimeMs(1_000_000 + self.started.elapsed().as_millis() as u64 + 1_000)
    }

    async fn submit(&self, entry: usize, job: u64, payload_bytes: usize) -> Result<(), RequestError> {
        self.entries[entry].submit(JobId(job), spec(payload_bytes), self.deadline()).await
    }

    /// Submits large jobs at one entry until one is refused, with pauses of a second. Returns how many were accepted.
    async fn fill(&self, entry: usize, first: u64) -> u64 {
        for job in first..first + MANY {
            if self.submit(entry, job, LARGE_BYTES).await.is_err() {
                return job - first;
            }
            wait(1_000).await;
        }
        MANY
    }

    /// The bytes of the submissions in the store.
    fn submitted_bytes(&self) -> usize {
        self.store.records(Stream::Jobs).iter().map(Record::size_bytes).sum()
    }
}

async fn wait(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

async fn run_local<F: Future<Output = ()>>(test: F) {
    LocalSet::new().run_until(test).await;
}

fn spec(payload_bytes: usize) -> JobSpec {
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
        payload: "x".repeat(payload_bytes),
        steps: vec![StepSpec { tasks: 1, estimate_ms: 500, ..StepSpec::default() }],
        repeat: None,
    }
}

fn is_no_room(outcome: &Result<(), RequestError>) -> bool {
    matches!(outcome, Err(RequestError::NoRoom { .. }))
}

/// Guards against accepting more than there is memory for, against refusals after a part was stored, and against small jobs that
/// are locked out by large ones.
#[tokio::test(start_paused = true)]
async fn large_jobs_leave_room_for_small_ones() {
    run_local(async {
        let site = Site::start(1).await;
        let accepted = site.fill(0, 1).await;
        assert!(accepted > 0 && accepted < MANY, "{accepted} accepted");
        let stored_bytes = site.submitted_bytes();
        assert!(stored_bytes < MIN_JOB_BUDGET_BYTES);
        let refused = site.submit(0, 5_000, LARGE_BYTES).await;
        assert!(is_no_room(&refused), "{refused:?}");
        assert_eq!(site.submitted_bytes(), stored_bytes, "a refused job is stored");
        assert_eq!(site.entries[0].status(JobId(5_000)).await, Ok(None));
        assert_eq!(site.submit(0, 6_000, 1_000).await, Ok(()));
        // An accepted job can be repeated and read without room.
        assert_eq!(site.submit(0, 1, LARGE_BYTES).await, Ok(()));
        assert_eq!(site.entries[0].status(JobId(1)).await, Ok(Some(JobStatus::Queued)));
    })
    .await;
}

/// Guards against room that is not given back.
#[tokio::test(start_paused = true)]
async fn a_cancelled_job_makes_room() {
    run_local(async {
        let site = Site::start(2).await;
        site.fill(0, 1).await;
        let refused = site.submit(1, 5_000, LARGE_BYTES).await;
        assert!(is_no_room(&refused), "{refused:?}");
        assert_eq!(site.entries[1].cancel(JobId(1), site.deadline()).await, Ok(true));
        wait(LAG_MS).await;
        assert_eq!(site.submit(0, 5_000, LARGE_BYTES).await, Ok(()));
    })
    .await;
}

/// Guards against entries that each accept a whole budget at the same moment, before they have read of the others.
#[tokio::test(start_paused = true)]
async fn entries_that_accept_at_the_same_moment_stay_near_the_budget() {
    run_local(async {
        let site = Rc::new(Site::start(3).await);
        let submissions: Vec<_> = (0..3 * MANY)
            .map(|number| {
                let site = site.clone();
                spawn_local(async move { site.submit((number % 3) as usize, number, LARGE_BYTES).await })
            })
            .collect();
        let mut outcomes = Vec::new();
        for submission in submissions {
            outcomes.push(submission.await.expect("an outcome"));
        }
        assert!(outcomes.iter().all(|outcome| outcome.is_ok() || is_no_room(outcome)), "{outcomes:?}");
        // Each of the others may add what an entry accepts until they read it: the largest job, a quarter of the budget.
        assert!(site.submitted_bytes() <= MIN_JOB_BUDGET_BYTES * 3 / 2, "{}", site.submitted_bytes());
        assert!(outcomes.iter().any(Result::is_ok));
    })
    .await;
}

/// Guards against memory that is not reserved while a submission is under way or has no answer, as it may take effect later.
#[tokio::test(start_paused = true)]
async fn submissions_without_an_answer_keep_their_room() {
    run_local(async {
        let site = Site::start(1).await;
        site.store.silent.set(true);
        let mut unknown = 0;
        for job in 0..MANY {
            match site.submit(0, job, LARGE_BYTES).await {
                Err(RequestError::Unknown(_)) => unknown += 1,
                Err(RequestError::NoRoom { .. } | RequestError::NotDone(_)) => {}
                Ok(()) => panic!("a silent store has stored job {job}"),
            }
        }
        assert!(unknown * LARGE_BYTES <= MIN_JOB_BUDGET_BYTES, "{unknown} submissions under way");
    })
    .await;
}

/// Guards against a large job that takes the room of a small one with the same id, whose submission is under way.
#[tokio::test(start_paused = true)]
async fn a_larger_submission_of_the_same_job_needs_more_room() {
    run_local(async {
        let site = Site::start(1).await;
        site.fill(0, 1_000).await;
        site.store.silent.set(true);
        let small = site.submit(0, 1, 100).await;
        assert!(matches!(small, Err(RequestError::Unknown(_))), "{small:?}");
        site.store.silent.set(false);
        wait(LAG_MS).await;
        let stored_bytes = site.submitted_bytes();
        let large = site.submit(0, 1, LARGE_BYTES).await;
        // Its earlier submission may take effect, so that it is not certain that the job does not run.
        assert!(matches!(large, Err(RequestError::Unknown(_))), "{large:?}");
        assert_eq!(site.submitted_bytes(), stored_bytes, "the large job is stored");
    })
    .await;
}
