//! Tests of what the leader expects of the durations of runs, on the loads of docs/hard-load.md.

use std::sync::Arc;

use fescuelead_core::{
    jobs::{
        Effect, HostInfo, JobId, JobSpec, Moment, QueueSettings, Replica, RunEnd, RunOutcome, RunProgress, Scheduler,
        StepSpec, TaskRef,
        lease::LeasePlan,
        run_times::{Basis, RunTimes, Shape},
    },
    units::{Resources, TimeMs},
};
use rstest::rstest;

const UNIX_MS: u64 = 1_700_000_000_000;
const HOST: &str = "host-a";
const RUN_MS: u64 = 2_000;

fn spec(estimate_ms: u64, image: Option<&str>) -> JobSpec {
    let settings =
        QueueSettings { service: "desk".to_owned(), priority: 2, max_failures: 3, stretch_percent: 150, latency_ms: 0 };
    let step = StepSpec {
        tasks: 20,
        estimate_ms,
        image: image.map(str::to_owned),
        resources: Resources::new(1_000, 100),
        ..StepSpec::default()
    };
    JobSpec {
        queue: "renders".to_owned(),
        settings,
        accepted_unix_ms: UNIX_MS,
        payload: String::new(),
        steps: vec![step],
        repeat: None,
    }
}

fn task(job: u64, index: u32) -> TaskRef {
    TaskRef { job: JobId(job), occurrence: 0, step: 0, index }
}

fn progress(task: TaskRef, percent: u8, elapsed_ms: u64) -> RunProgress {
    RunProgress { task, run: 1, percent, elapsed_ms }
}

/// Runs tasks of a job one after the other on a host, each for `took_ms`.
fn finish(times: &mut RunTimes, host: &str, job: u64, spec: &JobSpec, tasks: u32, took_ms: u64) {
    let shape = Shape::new(spec, &spec.steps[0]);
    for index in 0..tasks {
        times.assigned(&task(job, index), 1, &host.to_owned(), true, shape, TimeMs(0));
        times.succeeded(&task(job, index), shape, TimeMs(took_ms));
    }
}

/// Guards against believing estimates that are off by 90 percent when better is known, and against giving up good ones for the
/// run times of jobs of another size.
#[rstest]
#[case::siblings(1, 3, 200, Some("render"), Basis::Siblings)]
#[case::too_few_siblings(1, 2, 200, Some("render"), Basis::Estimate)]
#[case::image(2, 12, 200, Some("render"), Basis::Image)]
#[case::queue(2, 12, 3_800, None, Basis::Queue)]
#[case::good_estimates(2, 12, 2_000, Some("render"), Basis::Estimate)]
fn a_waiting_task_is_expected_to_take_as_long_as_what_is_closest_to_it(
    #[case] asked_job: u64,
    #[case] finished: u32,
    #[case] estimate_ms: u64,
    #[case] image: Option<&str>,
    #[case] basis: Basis,
) {
    let (mut times, spec) = (RunTimes::default(), spec(estimate_ms, image));
    finish(&mut times, HOST, 1, &spec, finished, RUN_MS);
    let expected = times.expected_duration(&task(asked_job, 19), Shape::new(&spec, &spec.steps[0]));
    assert_eq!(expected.basis, basis);
    let duration_ms = if basis == Basis::Estimate { estimate_ms } else { RUN_MS };
    assert_eq!(expected.duration_ms, duration_ms);
}

/// Guards against an expected end that follows the estimate although the run itself shows its speed.
#[test]
fn a_run_is_expected_to_end_by_its_own_progress() {
    let (mut times, spec) = (RunTimes::default(), spec(200, Some("render")));
    let shape = Shape::new(&spec, &spec.steps[0]);
    let run = task(1, 0);
    times.assigned(&run, 1, &HOST.to_owned(), true, shape, TimeMs(0));
    let overdue = times.expected_end(&run, shape, TimeMs(1_000)).expect("a run");
    assert_eq!((overdue.at, overdue.basis), (TimeMs(1_800), Basis::Estimate), "as long again as it is late");
    times.progressed(&progress(run, 25, 1_200), TimeMs(1_250));
    let expected = times.expected_end(&run, shape, TimeMs(1_250)).expect("a run");
    assert_eq!((expected.at, expected.basis), (TimeMs(4_850), Basis::Progress));
    // The run is throttled to a quarter of its speed.
    for step in 1..=8_u64 {
        times.progressed(&progress(run, 25 + 5 * step as u8, 1_200 + 1_000 * step), TimeMs(1_250 + 1_000 * step));
    }
    let throttled = times.expected_end(&run, shape, TimeMs(9_250)).expect("a run");
    assert!((TimeMs(14_000)..TimeMs(18_000)).contains(&throttled.at), "{throttled:?}");
    // Then it stands still.
    let stalled = times.expected_end(&run, shape, TimeMs(30_000)).expect("a run");
    assert!(stalled.at > TimeMs(35_000), "{stalled:?}");
}

/// Guards against a straggler that is found only when it ends: 3 tasks in 100 take seven times as long.
#[rstest]
#[case::usual_speed(50, 1_000, false)]
#[case::with_progress(15, 2_100, true)]
#[case::twice_as_long(50, 2_000, false)]
fn a_task_that_takes_seven_times_as_long_is_recognised_while_it_runs(
    #[case] percent: u8,
    #[case] elapsed_ms: u64,
    #[case] slow: bool,
) {
    let (mut times, spec) = (RunTimes::default(), spec(200, Some("render")));
    let shape = Shape::new(&spec, &spec.steps[0]);
    finish(&mut times, HOST, 1, &spec, 3, RUN_MS);
    let run = task(1, 19);
    times.assigned(&run, 1, &HOST.to_owned(), true, shape, TimeMs(0));
    times.progressed(&progress(run, percent, elapsed_ms), TimeMs(elapsed_ms));
    assert_eq!(times.slow_run(&run, TimeMs(elapsed_ms)).is_some(), slow);
    assert_eq!(times.slow_runs(TimeMs(elapsed_ms)).len(), usize::from(slow));
    // Without further progress it is slow once three medians have passed.
    assert!(times.slow_run(&run, TimeMs(3 * RUN_MS + 1)).is_some());
}

/// Guards against a slow host that looks like any other because its runs are compared with estimates, or with runs of other
/// images.
#[test]
fn a_host_at_a_third_of_the_speed_is_recognised() {
    let mut times = RunTimes::default();
    let (short, long) = (spec(200, Some("short")), spec(200, Some("long")));
    for job in 0..4 {
        finish(&mut times, HOST, job, &short, 10, 1_000);
        finish(&mut times, HOST, 10 + job, &long, 10, 9_000);
    }
    finish(&mut times, "host-b", 20, &short, 4, 3_000);
    assert_eq!(times.host_speed_percent(&"host-b".to_owned()), None, "too few runs");
    finish(&mut times, "host-b", 21, &long, 3, 27_000);
    assert_eq!(times.host_speed_percent(&"host-b".to_owned()), Some(33));
    assert_eq!(times.host_speed_percent(&HOST.to_owned()), Some(100));
    times.forget_host(&"host-b".to_owned());
    assert_eq!(times.host_speed_percent(&"host-b".to_owned()), None);
}

/// Guards against state that grows with the number of images that jobs have named.
#[test]
fn the_number_of_images_is_bounded_and_the_oldest_give_way() {
    let mut times = RunTimes::default();
    for job in 0..600 {
        finish(&mut times, HOST, job, &spec(200, Some(&format!("image-{job}"))), 12, RUN_MS);
        times.forget_job(JobId(job));
    }
    let basis = |job: u64| {
        let spec = spec(200, Some(&format!("image-{job}")));
        times.expected_duration(&task(10_000, 0), Shape::new(&spec, &spec.steps[0])).basis
    };
    assert_eq!(basis(0), Basis::Estimate);
    assert_eq!(basis(599), Basis::Image);
}

fn moment(at: u64) -> Moment {
    Moment { at: TimeMs(at), unix_ms: UNIX_MS + at }
}

/// A scheduler with one host, restored from the stored records.
fn leader(stored: &Replica, at: u64, running: &[(TaskRef, u32)]) -> Scheduler {
    let host = HOST.to_owned();
    let mut scheduler = Scheduler::new(LeasePlan::new(6_000), stored, [host.clone()], moment(at));
    scheduler.host_connected(&host);
    let capacity = Resources::new(64_000, 64_000);
    let info = HostInfo { service: "desk".to_owned(), capacity, ..HostInfo::default() };
    scheduler.host_info_changed(&host, Some(info));
    scheduler.reconcile_host(&host, UNIX_MS, running, moment(at));
    scheduler
}

/// Decides, stores the records, and returns the runs that are started.
fn step(scheduler: &mut Scheduler, stored: &mut Replica, at: u64) -> Vec<(TaskRef, u32)> {
    scheduler.tick(moment(at));
    let batch = scheduler.take_batch();
    batch.records.into_iter().for_each(|(job, progress)| stored.apply_progress(job, progress));
    let starts = batch.effects.into_iter().filter_map(|effect| match effect {
        Effect::Start { task, run, .. } => Some((task, run)),
        _ => None,
    });
    starts.collect()
}

/// Guards against a new leader that takes the runs of the earlier one for new ones, and against state that outlives its job.
#[test]
fn a_new_leader_relearns_the_ends_of_runs_from_reported_progress() {
    let mut stored = Replica::new();
    let mut first = leader(&stored, 1_000_000, &[]);
    let job = spec(200, Some("render"));
    stored.apply_submission(JobId(1), job.clone());
    first.job_submitted(JobId(1), Arc::new(job), moment(1_000_000));
    let running = step(&mut first, &mut stored, 1_000_000);
    assert_eq!(running.len(), 20);

    let mut next = leader(&stored, 1_003_000, &running);
    let (run, host, now) = (task(1, 0), HOST.to_owned(), moment(1_003_500));
    assert_eq!(next.expected_end(&run, now.at).map(|end| end.basis), Some(Basis::Estimate));
    next.run_progressed(&"host-b".to_owned(), &[progress(run, 90, 3_500)], now);
    assert_eq!(next.expected_end(&run, now.at).map(|end| end.basis), Some(Basis::Estimate), "of another host");
    next.run_progressed(&host, &[progress(run, 70, 3_500)], now);
    let expected = next.expected_end(&run, now.at).expect("a run");
    assert_eq!((expected.at, expected.basis), (TimeMs(1_005_000), Basis::Progress));

    for index in 0..3 {
        next.run_progressed(&host, &[progress(task(1, index), 99, 4_900)], moment(1_004_900));
        let ended =
            RunEnd { number: u64::from(index), task: task(1, index), run: 1, end: RunOutcome::Done, checkpoint: None };
        next.run_ended(&host, UNIX_MS, &ended, moment(1_005_000));
    }
    let expected = next.expected_duration(&task(1, 19)).expect("a task");
    assert_eq!((expected.duration_ms, expected.basis), (5_000, Basis::Siblings));
    assert_eq!(next.expected_end(&run, now.at), None, "the run has ended");
    assert!(!next.is_slow(&task(1, 19), TimeMs(1_007_000)));
    assert!(next.is_slow(&task(1, 19), TimeMs(1_019_000)));
    next.job_cancelled(JobId(1), moment(1_019_000));
    assert_eq!(next.expected_end(&task(1, 19), TimeMs(1_019_000)), None);
}

/// Guards against an order of waiting jobs that follows estimates which are off by 90 percent, and against one that changes
/// where they are good. Both jobs have the same estimates, and the second one runs an image whose tasks took `second_ms`.
#[rstest]
#[case::good_estimates(RUN_MS, 1_500, 1)]
#[case::off_by_90_percent(RUN_MS, 200, 2)]
#[case::both_off(19_000, 20_000, 1)]
fn jobs_wait_in_the_order_of_what_their_tasks_take(
    #[case] first_ms: u64,
    #[case] second_ms: u64,
    #[case] started_first: u64,
) {
    let mut stored = Replica::new();
    let mut scheduler = leader(&stored, 1_000_000, &[]);
    let mut at = 1_000_000;
    for (job, image, took_ms) in [(1, "first", first_ms), (2, "second", second_ms)] {
        scheduler.job_submitted(JobId(job), Arc::new(spec(RUN_MS, Some(image))), moment(at));
        let running = step(&mut scheduler, &mut stored, at);
        at += took_ms;
        for (number, (task, run)) in (100 * job..).zip(running) {
            let ended = RunEnd { number, task, run, end: RunOutcome::Done, checkpoint: None };
            scheduler.run_ended(&HOST.to_owned(), UNIX_MS, &ended, moment(at));
        }
    }
    let waiting_spec = |image| {
        let mut spec = spec(RUN_MS, Some(image));
        // A queue whose jobs have the same mean work when either is accepted.
        spec.queue = "waiting".to_owned();
        spec.accepted_unix_ms = UNIX_MS + at;
        spec.settings.latency_ms = 1_000_000;
        spec.steps[0].resources = Resources::new(64_000, 100);
        Arc::new(spec)
    };
    scheduler.job_submitted(JobId(3), waiting_spec("first"), moment(at));
    scheduler.job_submitted(JobId(4), waiting_spec("second"), moment(at));
    let started: Vec<_> = step(&mut scheduler, &mut stored, at).iter().map(|(task, _)| task.job).collect();
    assert_eq!(started, [JobId(2 + started_first)]);
}
