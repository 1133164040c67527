//! Tests of a leader whose copy of the store is out of date, because it could not read for some seconds.

mod support;

use std::time::Duration;

use fescuelead_core::{
    jobs::{JobId, JobStatus, RunOutcome, TaskRef, lease::LeasePlan, progress::TaskState},
    units::TimeMs,
};
use fescuelead_fleet::{
    clock::Clock,
    store::{JobRecord, Record, Stream},
};
use rstest::rstest;
use support::{
    MemoryStore,
    session::run_local,
    site::{Host, Process, two_step_job, wait, zone_record},
};
use tokio::time::{Instant, sleep_until};

const JOB: JobId = JobId(7);
const FIRST_TASK: TaskRef = TaskRef { job: JOB, occurrence: 0, step: 0, index: 0 };
const SECOND_TASK: TaskRef = TaskRef { step: 1, ..FIRST_TASK };
const ZONE: &str = "zone-a";
/// How long a condition is waited for, in milliseconds.
const WAIT_MS: u64 = 10_000;
/// The bound of the platform for starts after an acknowledged cancellation, in milliseconds.
const CANCEL_MS: u64 = 3_000;
/// How long a start is watched for that must not happen, in milliseconds: longer than a leader takes to send it.
const WATCH_MS: u64 = 1_500;

/// What forbids the start of [`SECOND_TASK`] while the leader cannot read the store.
#[derive(Debug, Clone, Copy)]
enum Change {
    Cancelled,
    ZoneOut,
}

/// Two entries, of which the first leads, and an agent.
struct Fleet {
    leader: Process,
    other: Process,
    shared: MemoryStore,
    clock: Clock,
    host: Host,
}

impl Fleet {
    async fn start() -> Self {
        let shared = MemoryStore::default();
        shared.put(Stream::Operator, Record::new("config", vec![1]));
        let clock = Clock::Runtime { start: Instant::now(), unix_ms: 1_700_000_000_000 };
        let host = Host::start("host-a", ZONE, &shared, clock).await;
        let leader = Process::start("a", &shared, clock, LeasePlan::new(6_000));
        wait_until("the host is connected", || leader.entry.metrics().hosts_connected.get() == 1).await;
        let other = Process::start("b", &shared, clock, LeasePlan::new(6_000));
        wait_until("the other entry is ready", || other.entry.is_ready()).await;
        Self { leader, other, shared, clock, host }
    }

    fn deadline(&self) -> TimeMs {
        self.clock.now().plus_ms(3_000)
    }

    async fn submit(&self, job: JobId) {
        self.leader.entry.submit(job, two_step_job(1), self.deadline()).await.expect("the job is accepted");
    }

    fn has_started(&self, task: TaskRef) -> bool {
        self.host.endpoint.started.borrow().iter().any(|(started, _)| *started == task)
    }

    /// Lets the leader lose the store, then makes a change that the other entry confirms, then lets that one lose the store
    /// as well, before it takes over.
    async fn change_unseen(&self, change: Change) {
        self.leader.store.down.set(true);
        wait(100).await;
        match change {
            Change::Cancelled => {
                assert_eq!(self.other.entry.cancel(JOB, self.deadline()).await, Ok(true));
            }
            Change::ZoneOut => self.shared.put(Stream::Operator, zone_record(ZONE, true)),
        }
        wait(100).await;
        self.other.store.down.set(true);
    }

    /// Whether the store holds the assignment of a task of [`JOB`].
    fn is_assignment_stored(&self, task: TaskRef) -> bool {
        self.shared.records(Stream::Progress).iter().any(|record| match JobRecord::decode(record) {
            Ok(JobRecord::Progressed(JOB, progress)) => {
                progress.task(&task).is_some_and(|task| matches!(task.state, TaskState::Assigned { .. }))
            }
            _ => false,
        })
    }

    /// Checks that the leader still serves: a job that is submitted now starts.
    async fn assert_serves(&self) {
        let later = JobId(8);
        self.submit(later).await;
        wait_until("a later job starts", || self.has_started(TaskRef { job: later, ..FIRST_TASK })).await;
    }
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_millis(WAIT_MS);
    while !condition() {
        assert!(Instant::now() < until, "not within {WAIT_MS} ms: {what}");
        wait(5).await;
    }
}

/// Guards against starts of tasks whose job was cancelled, or in an availability zone that was taken out, seconds before: the
/// leader could not read that, and stored and sent what it had decided as soon as its appends succeeded again.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_leader_that_has_missed_a_change_starts_nothing_before_it_has_read_it(
    #[values(Change::Cancelled, Change::ZoneOut)] change: Change,
) {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.submit(JOB).await;
        wait_until("the first step starts", || fleet.has_started(FIRST_TASK)).await;
        fleet.change_unseen(change).await;
        fleet.host.endpoint.end(FIRST_TASK, RunOutcome::Done);
        wait(CANCEL_MS + 500).await;
        fleet.leader.store.unreadable.set(true);
        fleet.leader.store.down.set(false);
        wait_until("the assignment is stored", || fleet.is_assignment_stored(SECOND_TASK)).await;
        wait(WATCH_MS).await;
        assert!(!fleet.has_started(SECOND_TASK), "started before the store was read");
        fleet.leader.store.unreadable.set(false);
        fleet.other.store.down.set(false);
        wait(WATCH_MS).await;
        assert!(!fleet.has_started(SECOND_TASK), "started after the store was read");
        if let Change::Cancelled = change {
            assert_eq!(fleet.leader.entry.status(JOB).await, Ok(Some(JobStatus::Cancelled)));
            fleet.assert_serves().await;
        }
    })
    .await;
}

/// Guards against the same start on another path: the order was lost with the session of its host, and the leader repeated it in
/// the next session without a call to the store.
#[tokio::test(start_paused = true)]
async fn a_lost_order_is_not_repeated_by_a_leader_that_cannot_read() {
    run_local(async {
        let mut fleet = Fleet::start().await;
        fleet.shared.slow_ms.set(300);
        fleet.submit(JOB).await;
        // While the assignment is being stored.
        wait(100).await;
        fleet.host.proxy.cut().await;
        wait_until("the assignment is stored", || fleet.is_assignment_stored(FIRST_TASK)).await;
        fleet.shared.slow_ms.set(0);
        wait(500).await;
        assert!(!fleet.has_started(FIRST_TASK), "the order was not lost");
        fleet.change_unseen(Change::Cancelled).await;
        wait(CANCEL_MS).await;
        fleet.leader.store.unreadable.set(true);
        fleet.leader.store.down.set(false);
        fleet.host.proxy.restore().await;
        wait_until("the host is connected", || fleet.leader.entry.metrics().hosts_connected.get() == 1).await;
        wait(WATCH_MS).await;
        assert!(!fleet.has_started(FIRST_TASK), "started before the store was read");
        fleet.leader.store.unreadable.set(false);
        fleet.other.store.down.set(false);
        wait(WATCH_MS).await;
        assert!(!fleet.has_started(FIRST_TASK), "started after the store was read");
        assert_eq!(fleet.leader.entry.status(JOB).await, Ok(Some(JobStatus::Cancelled)));
        fleet.assert_serves().await;
    })
    .await;
}

/// Guards against a start long after the cancellation of its job was acknowledged, though no process decided late: the leader sent
/// the order shortly after its latest read, and the agent repeated it while the endpoint could not carry it out.
#[tokio::test(start_paused = true)]
async fn an_order_expires_with_the_copies_that_it_is_based_on() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.submit(JOB).await;
        wait_until("the first step starts", || fleet.has_started(FIRST_TASK)).await;
        // The leader reads the operators' records when there is one and again when it has waited in vain, and the jobs when it is
        // asked for one that it does not know.
        fleet.shared.put(Stream::Operator, Record::new("config", vec![1]));
        wait(1_600).await;
        assert_eq!(fleet.leader.entry.status(JobId(99)).await, Ok(None));
        let read_at = Instant::now();
        fleet.leader.store.unreadable.set(true);
        assert_eq!(fleet.other.entry.cancel(JOB, fleet.deadline()).await, Ok(true));
        let cancelled_at = Instant::now();
        fleet.host.endpoint.misdirect_starts.set(u32::MAX);
        sleep_until(read_at + Duration::from_millis(800)).await;
        fleet.host.endpoint.end(FIRST_TASK, RunOutcome::Done);
        wait_until("the order reaches the endpoint", || fleet.host.endpoint.misdirect_starts.get() < u32::MAX).await;
        sleep_until(cancelled_at + Duration::from_millis(CANCEL_MS + 50)).await;
        fleet.host.endpoint.misdirect_starts.set(0);
        wait(WATCH_MS).await;
        assert!(!fleet.has_started(SECOND_TASK), "started over {CANCEL_MS} ms after the cancellation");
        fleet.leader.store.unreadable.set(false);
        fleet.assert_serves().await;
    })
    .await;
}

/// Guards against starts that wait for a copy that never becomes recent: the store answers slowly, but it does answer.
#[tokio::test(start_paused = true)]
async fn a_leader_of_a_slow_store_starts_tasks() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.shared.slow_ms.set(450);
        fleet.submit(JOB).await;
        wait_until("the first step starts", || fleet.has_started(FIRST_TASK)).await;
    })
    .await;
}
