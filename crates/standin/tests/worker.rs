//! The worker: leases, incarnations, usage and every fault switch, in memory on paused time and over HTTP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fescuelead_core::{
    ids::{AttemptRef, TaskId},
    units::Resources,
};
use fescuelead_platform::worker::{
    SharedWorker, StartTask, WorkerError, WorkerTask, WorkerTaskState,
    http::{HttpWorker, HttpWorkerConfig},
};
use fescuelead_standin::{
    ledger::Ledger,
    worker::{Payload, SlowdownTable, WorkerFaults, WorkerStandin},
};
use rstest::rstest;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

const LEASE_MS: u64 = 10_000;
// No call over HTTP may run into its deadline.
const HTTP_TIMEOUT_MS: u64 = 600_000;

fn attempt(name: &str, number: u32) -> AttemptRef {
    AttemptRef::new(TaskId::new(format!("c0-{name}")).expect("valid id"), number)
}

fn start(name: &str, payload: &Payload) -> StartTask {
    StartTask {
        attempt: attempt(name, 1),
        service: "masters".to_owned(),
        profile: name.to_owned(),
        resources: Resources::new(1_000, 512),
        payload: payload.to_bytes(),
        checkpoint: None,
        lease_until_ms: LEASE_MS,
    }
}

async fn pass_ms(span_ms: u64) {
    sleep(Duration::from_millis(span_ms)).await;
}

async fn only_task(worker: &SharedWorker) -> WorkerTask {
    worker.report().await.expect("the worker is up").tasks.remove(0)
}

/// A worker that incarnation 1 has claimed.
async fn claimed(worker: WorkerStandin) -> SharedWorker {
    let worker: SharedWorker = Arc::new(worker);
    worker.claim().await.expect("the worker is up");
    worker
}

async fn over_http(worker: &WorkerStandin, token: &CancellationToken) -> SharedWorker {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = worker.serve(loopback, token.clone()).await.expect("loopback can be bound");
    Arc::new(HttpWorker::new(HttpWorkerConfig::new(address).with_call_timeout_ms(HTTP_TIMEOUT_MS)))
}

#[derive(Debug, PartialEq)]
enum Kind {
    NotConnected,
    Unreachable,
    Superseded,
    UnknownTask,
    Refused,
}

fn kind(error: &WorkerError) -> Kind {
    match error {
        error if error.is_not_connected() => Kind::NotConnected,
        error if error.is_unreachable() => Kind::Unreachable,
        error if error.is_superseded() => Kind::Superseded,
        error if error.is_unknown_task() => Kind::UnknownTask,
        _ => Kind::Refused,
    }
}

/// Guards against a call that means something else over HTTP than in memory.
#[rstest]
#[tokio::test]
async fn every_call_does_what_the_trait_says(#[values(false, true)] http: bool) {
    let token = CancellationToken::new();
    let _stop = token.clone().drop_guard();
    let ledger = Ledger::new();
    let standin = WorkerStandin::new("host").with_ledger(&ledger).with_capacity(Resources::new(1_500, 1_024));
    let worker: SharedWorker = if http { over_http(&standin, &token).await } else { Arc::new(standin) };
    let first = worker.claim().await.expect("up").incarnation;
    let owner = worker.claim().await.expect("up").incarnation;
    assert!(owner > first);
    let task = start("long", &Payload::new(600_000));
    assert_eq!(worker.start(first, &task).await.map_err(|error| kind(&error)), Err(Kind::Superseded));
    worker.start(owner, &task).await.expect("there is room");
    worker.start(owner, &task).await.expect("a repeated start does nothing");
    let other = start("other", &Payload::new(1));
    assert_eq!(worker.start(owner, &other).await.map_err(|error| kind(&error)), Err(Kind::Refused));
    worker.renew(owner, &[task.attempt.clone(), other.attempt], LEASE_MS).await.expect("unknown ones are passed over");
    worker.throttle(owner, &task.attempt, 0).await.expect("up");
    assert_eq!(only_task(&worker).await.throttle_percent, 0);
    assert_eq!(worker.forget(owner, &task.attempt).await.map_err(|error| kind(&error)), Err(Kind::Refused));
    let checkpoint = worker.checkpoint(owner, &task.attempt).await.expect("it runs");
    let stopped = WorkerTaskState::Stopped { checkpoint: Some(checkpoint) };
    assert_eq!(worker.stop(owner, &task.attempt).await, Ok(stopped.clone()));
    assert_eq!(worker.stop(owner, &task.attempt).await, Ok(stopped), "a repeated stop gives the same answer");
    worker.forget(owner, &task.attempt).await.expect("it has ended");
    assert!(worker.report().await.expect("up").tasks.is_empty());
    assert_eq!(worker.start(owner, &task).await.map_err(|error| kind(&error)), Err(Kind::Refused));
    assert_eq!(worker.stop(owner, &attempt("never", 1)).await.map_err(|error| kind(&error)), Err(Kind::UnknownTask));
    assert!(worker.usage().await.is_ok());
    let counts = ledger.attempt(&task.attempt);
    assert_eq!((counts.starts, counts.stops, counts.ends()), (1, 1, 1));
}

/// Guards against an error that hides whether a start took effect.
#[rstest]
#[case::down_in_memory(false, WorkerFaults { down: true, ..WorkerFaults::default() }, Err(Kind::NotConnected), 0)]
#[case::down(true, WorkerFaults { down: true, ..WorkerFaults::default() }, Err(Kind::Unreachable), 0)]
#[case::lost_in_memory(false, WorkerFaults { lose_answers: 1, ..WorkerFaults::default() }, Err(Kind::Unreachable), 1)]
#[case::lost(true, WorkerFaults { lose_answers: 1, ..WorkerFaults::default() }, Err(Kind::Unreachable), 1)]
#[case::slow(true, WorkerFaults { delay_ms: 20, ..WorkerFaults::default() }, Ok(()), 1)]
#[tokio::test]
async fn a_start_without_an_answer_is_told_apart(
    #[case] http: bool,
    #[case] faults: WorkerFaults,
    #[case] expected: Result<(), Kind>,
    #[case] starts: u64,
) {
    let token = CancellationToken::new();
    let _stop = token.clone().drop_guard();
    let standin = WorkerStandin::new("host");
    let worker: SharedWorker = if http { over_http(&standin, &token).await } else { Arc::new(standin.clone()) };
    worker.claim().await.expect("up");
    standin.faults().set(faults);
    let task = start("master", &Payload::new(600_000));
    assert_eq!(worker.start(1, &task).await.map_err(|error| kind(&error)), expected);
    assert_eq!(standin.ledger().attempt(&task.attempt).starts, starts);
    standin.faults().clear();
    worker.start(1, &task).await.expect("the worker is whole again");
    assert_eq!(standin.ledger().attempt(&task.attempt).starts, 1);
}

/// Guards against a refused connect being taken for a call that may have taken effect.
#[tokio::test]
async fn a_refused_connect_is_told_apart() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    drop(listener);
    let result = HttpWorker::new(HttpWorkerConfig::new(address));
    let result = fescuelead_platform::worker::WorkerApi::claim(&result).await;
    assert_eq!(result.map_err(|error| kind(&error)), Err(Kind::NotConnected));
}

/// Guards against a slow start that runs after its attempt was stopped, or after its lease.
#[rstest]
#[case::stopped(3_000, LEASE_MS, true)]
#[case::lapsed(12_000, LEASE_MS, false)]
#[tokio::test(start_paused = true)]
async fn a_slow_start_does_not_outlive_its_permission(
    #[case] delay_ms: u64,
    #[case] lease_until_ms: u64,
    #[case] stopped: bool,
) {
    let standin = WorkerStandin::new("host");
    let worker = claimed(standin.clone()).await;
    let task = StartTask { lease_until_ms, ..start("master", &Payload::new(50)) };
    standin.faults().update(|faults| faults.delay_ms = delay_ms);
    assert_eq!(worker.start(1, &task).await.map_err(|error| kind(&error)), Err(Kind::Unreachable));
    standin.faults().clear();
    if stopped {
        let result = worker.stop(1, &task.attempt).await;
        assert_eq!(result.map_err(|error| kind(&error)), Err(Kind::UnknownTask));
    }
    pass_ms(60_000).await;
    assert_eq!(standin.ledger().attempt(&task.attempt).starts, 0);
}

/// Guards against a task that runs on without a lease, and against a lease that cannot be taken up again.
#[tokio::test(start_paused = true)]
async fn a_task_whose_lease_runs_out_is_frozen_until_it_is_renewed() {
    let standin = WorkerStandin::new("host");
    let worker = claimed(standin.clone()).await;
    let task = start("watch", &Payload::new(15_000));
    worker.start(1, &task).await.expect("there is room");
    pass_ms(30_000).await;
    let frozen = only_task(&worker).await;
    assert_eq!((frozen.throttle_percent, frozen.progress), (0, 10_000));
    worker.renew(1, std::slice::from_ref(&task.attempt), 30_000 + LEASE_MS).await.expect("up");
    pass_ms(5_000).await;
    assert_eq!(only_task(&worker).await.state, WorkerTaskState::Succeeded);
    let spans: Vec<_> = standin.ledger().intervals(&task.attempt.task);
    let spans: Vec<_> = spans.iter().map(|i| (i.from_ms.round(), i.to_ms.map(f64::round))).collect();
    assert_eq!(spans, [(0.0, Some(10_000.0)), (30_000.0, Some(35_000.0))]);
    assert_eq!(standin.counts().lapsed_leases, 1);
}

/// Guards against a ledger that misses a task in two places, or blames one that moved in time.
#[rstest]
#[case::after_the_lease(LEASE_MS, 0)]
#[case::too_early(LEASE_MS - 1, 1)]
#[tokio::test(start_paused = true)]
async fn the_ledger_finds_tasks_that_run_twice_at_once(#[case] wait_ms: u64, #[case] overlaps: usize) {
    let ledger = Ledger::new();
    let one = claimed(WorkerStandin::new("one").with_ledger(&ledger)).await;
    let two = claimed(WorkerStandin::new("two").with_ledger(&ledger)).await;
    let first = start("master", &Payload::new(30_000));
    one.start(1, &first).await.expect("there is room");
    pass_ms(wait_ms).await;
    let second = StartTask { attempt: attempt("master", 2), lease_until_ms: wait_ms + LEASE_MS, ..first };
    two.start(1, &second).await.expect("there is room");
    pass_ms(1_000).await;
    assert_eq!(ledger.overlaps().len(), overlaps);
}

/// Guards against work that is done twice without being noticed.
#[tokio::test(start_paused = true)]
async fn the_ledger_finds_work_that_is_done_twice() {
    let standin = WorkerStandin::new("host");
    let worker = claimed(standin.clone()).await;
    for number in [1, 2] {
        let task = StartTask { attempt: attempt("master", number), ..start("master", &Payload::new(10)) };
        worker.start(1, &task).await.expect("there is room");
        pass_ms(20).await;
    }
    assert_eq!(standin.ledger().repeated_successes(), [attempt("master", 1).task]);
    assert!(standin.ledger().overlaps().is_empty());
}

/// Guards against a success that the crash of its host hides, taken for work done twice, and against one that was
/// forgotten in good order and is then taken for lost.
#[tokio::test(start_paused = true)]
async fn a_result_that_is_lost_with_its_host_is_told_apart() {
    let standin = WorkerStandin::new("host");
    let worker = claimed(standin.clone()).await;
    for number in [1, 2] {
        let task = StartTask { attempt: attempt("master", number), ..start("master", &Payload::new(10)) };
        worker.start(1, &task).await.expect("there is room");
        pass_ms(20).await;
        if number == 2 {
            worker.forget(1, &task.attempt).await.expect("it has ended");
        }
        standin.crash();
    }
    assert_eq!(standin.ledger().lost_results(), [attempt("master", 1)]);
    assert!(standin.ledger().repeated_successes().is_empty());
}

/// Guards against tasks that end in another way than their payload and the worker's faults say.
#[rstest]
#[case::success(Payload::new(50), false, Some(true))]
#[case::failure(Payload::new(50).with_failure(), false, Some(false))]
#[case::stall(Payload::new(50).with_stall_after_ms(20), false, None)]
#[case::failing_worker(Payload::new(50).with_stall_after_ms(20), true, Some(false))]
#[tokio::test(start_paused = true)]
async fn tasks_end_as_they_are_told(#[case] payload: Payload, #[case] fail_starts: bool, #[case] ends: Option<bool>) {
    let standin = WorkerStandin::new("host");
    let worker = claimed(standin.clone()).await;
    standin.faults().update(|faults| faults.fail_starts = fail_starts);
    worker.start(1, &start("master", &payload)).await.expect("there is room");
    pass_ms(100).await;
    let state = only_task(&worker).await.state;
    let ended = match state {
        WorkerTaskState::Succeeded => Some(true),
        WorkerTaskState::Failed { .. } => Some(false),
        _ => None,
    };
    assert_eq!(ended, ends);
}

/// Guards against work that is lost or done again between a checkpoint and the next attempt.
#[tokio::test(start_paused = true)]
async fn a_task_resumes_from_its_checkpoint() {
    let one = claimed(WorkerStandin::new("one")).await;
    let two = claimed(WorkerStandin::new("two")).await;
    let first = start("master", &Payload::new(1_000));
    one.start(1, &first).await.expect("there is room");
    pass_ms(700).await;
    let checkpoint = one.checkpoint(1, &first.attempt).await.expect("it runs");
    let second = StartTask { attempt: attempt("master", 2), checkpoint: Some(checkpoint), ..first };
    two.start(1, &second).await.expect("there is room");
    pass_ms(299).await;
    assert_eq!(only_task(&two).await.state, WorkerTaskState::Running);
    pass_ms(1).await;
    assert_eq!(only_task(&two).await.state, WorkerTaskState::Succeeded);
}

/// Guards against usage that is known too early, and against slowdowns that do not follow the table and the throttle.
#[tokio::test(start_paused = true)]
async fn usage_comes_late_and_shows_the_slowdown() {
    let table = SlowdownTable::new().with_factor("preview", "master", 1.5);
    let standin = WorkerStandin::new("host").with_usage_ms(1_000, 5_000).with_slowdown(table);
    let worker = claimed(standin).await;
    worker.start(1, &start("preview", &Payload::new(600_000).with_usage(700, 300))).await.expect("there is room");
    worker.start(1, &start("master", &Payload::new(600_000))).await.expect("there is room");
    pass_ms(1_000).await;
    worker.throttle(1, &attempt("master", 1), 50).await.expect("up");
    pass_ms(4_990).await;
    assert!(worker.usage().await.expect("up").is_empty());
    pass_ms(1_010).await;
    let samples = worker.usage().await.expect("up");
    let shown: Vec<_> = samples.iter().map(|s| (s.profile.as_str(), s.slowdown, s.cpu_milli, s.age_ms)).collect();
    let expected = [
        ("preview", 1.5, 700, 6_000),
        ("master", 1.0, 1_000, 6_000),
        ("preview", 1.25, 700, 5_000),
        ("master", 1.0, 500, 5_000),
    ];
    assert_eq!(shown.len(), expected.len());
    for (shown, expected) in shown.iter().zip(expected) {
        assert_eq!((shown.0, shown.2, shown.3), (expected.0, expected.2, expected.3));
        assert!((shown.1 - expected.1).abs() < 1e-6, "{shown:?} is not {expected:?}");
    }
}

/// Guards against tasks that survive the death of their host.
#[tokio::test(start_paused = true)]
async fn a_crash_takes_all_tasks_along() {
    let standin = WorkerStandin::new("host");
    let worker = claimed(standin.clone()).await;
    let task = start("master", &Payload::new(1_000));
    worker.start(1, &task).await.expect("there is room");
    pass_ms(100).await;
    standin.crash();
    assert!(worker.report().await.expect("up").tasks.is_empty());
    pass_ms(5_000).await;
    let counts = standin.ledger().attempt(&task.attempt);
    assert_eq!((counts.crashes, counts.ends()), (1, 1));
    assert_eq!(worker.claim().await.expect("up").incarnation, 2, "incarnations go on growing");
}
