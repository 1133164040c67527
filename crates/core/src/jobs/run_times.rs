/*!
What runs took, and when those under way are expected to end.

A step ends with its slowest task, and clients' estimates are off by up to 90 percent on the loads `arbok-hysing-grown` and
`flwa-floodwatch-grown` (docs/hard-load.md), where 3 tasks in 100 take seven times as long as the others. What is closest to a
run says most about it, so that an expectation is taken from the first of these that is known:

1. its own progress, at the speed that it gets,
2. the tasks of its step that are done,
3. the runs of its image, or of its queue if it names no image, where these have predicted better than the estimates did,
4. the estimate.

Medians of a bounded number of the latest values are kept instead of means or histograms: one task that takes seven times as
long moves a mean of ten by 60 percent and their median hardly, and old values say little about images that change.

Nothing is stored. A new leader relearns progress from the agents' reports within about a second, and the rest from the
runs that end. A wrong value changes an order or a choice, and never whether a run may start or has ended.
*/

use std::collections::BTreeMap;

use super::{
    hosts::HostName,
    spec::{JobId, JobSpec, StepSpec, TaskRef},
};
use crate::units::TimeMs;

/// How many of the latest values a sample keeps.
const SAMPLE_LEN: usize = 31;
/// The maximum number of images and of queues whose run times are kept. The one without an end for the longest time gives way.
const MAX_CLASSES: usize = 512;
/// The tasks of a step that must be done before they say how long the others take.
const MIN_SIBLINGS: usize = 3;
/// The runs of an image that must have been predicted before they say how long others take, and the runs on a host before they
/// say how fast it is.
const MIN_RUNS: usize = 5;
/// A run that takes longer than this many medians of its step is slow.
const SLOW_MEDIANS: u64 = 3;
/// The time over which the speed of a run is measured, in milliseconds. Paces of background tasks change every 500 ms, and a
/// percentage is coarse.
const SPEED_WINDOW_MS: f32 = 4_000.0;
/// A run without a report for longer than this has a progress that stands still, in milliseconds: twice the interval of reports.
const MAX_SILENCE_MS: u64 = 2_000;
/// An estimate that is off by at most this counts as good, in percent of the smaller of the estimate and the duration.
const MAX_TRUSTED_ERROR_PERCENT: u64 = 50;
/// Errors of predictions are capped at this, in percent.
const MAX_ERROR_PERCENT: u64 = 10_000;

plain! {
    /// An agent's report of how far a run has come.
    #[derive(Copy)]
    pub struct RunProgress {
        /// The task that runs.
        pub task: TaskRef,
        /// The number of the run.
        pub run: u32,
        /// The work done, in percent of the task's work, including what was done before a checkpoint.
        pub percent: u8,
        /// The time from the start of the run to the reading of `percent`, in milliseconds.
        pub elapsed_ms: u64,
    }
}

/// What an expectation is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// The progress of the run itself.
    Progress,
    /// The tasks of the same step that are done.
    Siblings,
    /// The latest runs of the same image.
    Image,
    /// The latest runs of the same queue, as the step names no image.
    Queue,
    /// The client's estimate.
    Estimate,
}

/// When a run is expected to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedEnd {
    /// The expected end; never in the past.
    pub at: TimeMs,
    /// What it is based on.
    pub basis: Basis,
}

/// How long a task is expected to run from its beginning to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedDuration {
    /// The expected duration in milliseconds.
    pub duration_ms: u64,
    /// What it is based on; never [`Basis::Progress`].
    pub basis: Basis,
}

/// A run that is slow for its step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlowRun {
    /// The task that runs.
    pub task: TaskRef,
    /// The number of the run.
    pub run: u32,
    /// The host of the run.
    pub host: HostName,
    /// For how long it has run, in milliseconds.
    pub elapsed_ms: u64,
    /// The latest reported progress in percent; `None` if none was reported.
    pub percent: Option<u8>,
    /// The median duration of the tasks of the step that are done, in milliseconds.
    pub median_ms: u64,
}

/// What a task has in common with others whose run times are like its own.
#[derive(Debug, Clone, Copy)]
pub struct Shape<'s> {
    image: Option<&'s str>,
    queue: &'s str,
    estimate_ms: u64,
    background: bool,
}

impl<'s> Shape<'s> {
    /// The shape of the tasks of a step of a job.
    pub fn new(spec: &'s JobSpec, step: &'s StepSpec) -> Self {
        Self {
            image: step.image.as_deref(),
            queue: &spec.queue,
            estimate_ms: step.estimate_ms,
            background: step.background,
        }
    }
}

/// The latest values of a quantity and their median. Takes constant space.
#[derive(Debug, Clone)]
struct Sample {
    values: [u32; SAMPLE_LEN],
    len: usize,
    next: usize,
    median: u32,
}

impl Default for Sample {
    fn default() -> Self {
        Self { values: [0; SAMPLE_LEN], len: 0, next: 0, median: 0 }
    }
}

impl Sample {
    fn add(&mut self, value: u64) {
        self.values[self.next] = u32::try_from(value).unwrap_or(u32::MAX);
        self.next = (self.next + 1) % SAMPLE_LEN;
        self.len = (self.len + 1).min(SAMPLE_LEN);
        let mut sorted = self.values;
        let (_, median, _) = sorted[..self.len].select_nth_unstable(self.len / 2);
        self.median = *median;
    }

    /// The median, if there are at least `min_len` values.
    fn median(&self, min_len: usize) -> Option<u64> {
        (self.len >= min_len.max(1)).then_some(u64::from(self.median))
    }
}

/// The run times of an image or of a queue.
#[derive(Debug, Clone, Default)]
struct ClassTimes {
    full_ms: Sample,
    /// The errors of the clients' estimates, in percent.
    estimate_errors: Sample,
    /// The errors of the median as a prediction of the next run, in percent.
    median_errors: Sample,
    /// The number of the end that was recorded last.
    used: u64,
}

impl ClassTimes {
    /// The median run time in milliseconds, if it has predicted better than the estimates.
    fn prediction_ms(&self) -> Option<u64> {
        let median_error = self.median_errors.median(MIN_RUNS)?;
        let estimate_error = self.estimate_errors.median(MIN_RUNS)?;
        self.full_ms.median(MIN_RUNS).filter(|_| median_error < estimate_error)
    }
}

/// The progress of a run in its latest report.
#[derive(Debug, Clone, Copy)]
struct Progress {
    percent: u8,
    elapsed_ms: u64,
    /// The work done within `span_ms`, in percent. Their ratio is the speed of the run.
    gained_percent: f32,
    span_ms: f32,
}

impl Progress {
    /// The time from the reading to the expected end, in milliseconds, if nothing was reported for the last `silent_ms`; `None`
    /// while the speed is unknown.
    fn left_ms(&self, silent_ms: u64) -> Option<u64> {
        if self.gained_percent <= 0.0 {
            return None;
        }
        let stalled_ms = silent_ms.saturating_sub(MAX_SILENCE_MS);
        let span_ms = self.span_ms + stalled_ms as f32;
        Some(stalled_ms + (f32::from(100 - self.percent) * span_ms / self.gained_percent) as u64)
    }
}

/// A run that may exist.
#[derive(Debug, Clone)]
struct Run {
    run: u32,
    host: HostName,
    /// When this leader assigned the run, before which it cannot have started; `None` for a run of an earlier leader.
    assigned_at: Option<TimeMs>,
    /// The latest time at which it may have started.
    started_at: TimeMs,
    /// Whether it started from the beginning.
    whole: bool,
    /// The expected duration at its start, in milliseconds.
    expected_ms: u64,
    progress: Option<Progress>,
    reported_slow: bool,
}

/// A step of an occurrence of a job.
type StepKey = (JobId, u32, u32);

fn step_key(task: &TaskRef) -> StepKey {
    (task.job, task.occurrence, task.step)
}

/// By how much the larger of two durations exceeds the smaller, in percent of the smaller.
fn error_percent(predicted_ms: u64, took_ms: u64) -> u64 {
    let (low, high) = (predicted_ms.min(took_ms).max(1), predicted_ms.max(took_ms).max(1));
    (high.saturating_mul(100) / low - 100).min(MAX_ERROR_PERCENT)
}

/// The run times of tasks that end, and the progress of those that run. Long-running tasks have none.
///
/// Takes constant space for each run that may exist, for each step with a task that is done and one that is not, for each
/// host, and for at most `MAX_CLASSES` images and as many queues.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    images: BTreeMap<String, ClassTimes>,
    queues: BTreeMap<String, ClassTimes>,
    steps: BTreeMap<StepKey, Sample>,
    runs: BTreeMap<TaskRef, Run>,
    /// The speeds of the latest runs on each host, in percent of the median of their class.
    hosts: BTreeMap<HostName, Sample>,
    /// The errors of the durations that were expected when the latest runs started, in percent.
    errors: Sample,
    /// The errors of the estimates of the same runs, in percent.
    estimate_errors: Sample,
    /// The number of recorded ends.
    ends: u64,
}

impl RunTimes {
    /// Records that a run was assigned to a host. `whole` says whether it starts from the beginning. Logarithmic time.
    pub fn assigned(&mut self, task: &TaskRef, run: u32, host: &HostName, whole: bool, shape: Shape<'_>, now: TimeMs) {
        let expected_ms = self.expected_duration(task, shape).duration_ms;
        let run = Run {
            run,
            host: host.clone(),
            assigned_at: Some(now),
            started_at: now,
            whole,
            expected_ms,
            progress: None,
            reported_slow: false,
        };
        self.runs.insert(*task, run);
    }

    /// Records a run of an earlier leader, whose start is unknown until its agent reports progress.
    pub fn inherited(&mut self, task: &TaskRef, run: u32, host: &HostName, whole: bool, shape: Shape<'_>, now: TimeMs) {
        self.assigned(task, run, host, whole, shape, now);
        if let Some(run) = self.runs.get_mut(task) {
            run.assigned_at = None;
        }
    }

    /// Records reported progress. Ignored if the run is not the latest one of its task. Logarithmic time.
    pub fn progressed(&mut self, report: &RunProgress, now: TimeMs) {
        let RunProgress { task, run, percent, elapsed_ms } = *report;
        let Some(run) = self.runs.get_mut(&task).filter(|known| known.run == run) else { return };
        let percent = percent.min(100);
        let started_at = TimeMs(now.0.saturating_sub(elapsed_ms));
        // A report may be late, and the earliest start that follows from any report is closest to the start.
        run.started_at = match run.progress {
            Some(_) => run.started_at.min(started_at),
            None => started_at,
        };
        run.started_at = run.started_at.max(run.assigned_at.unwrap_or_default());
        let progress = match run.progress {
            None if run.whole => {
                Progress { percent, elapsed_ms, gained_percent: f32::from(percent), span_ms: elapsed_ms as f32 }
            }
            None => Progress { percent, elapsed_ms, gained_percent: 0.0, span_ms: 0.0 },
            Some(before) if elapsed_ms <= before.elapsed_ms => return,
            Some(before) => {
                let kept = (SPEED_WINDOW_MS / before.span_ms.max(1.0)).min(1.0);
                Progress {
                    percent,
                    elapsed_ms,
                    gained_percent: before.gained_percent * kept + f32::from(percent.saturating_sub(before.percent)),
                    span_ms: before.span_ms * kept + (elapsed_ms - before.elapsed_ms) as f32,
                }
            }
        };
        run.progress = Some(progress);
    }

    /// Records that a run has succeeded. Its run time counts if it was observed from the beginning. Logarithmic time.
    pub fn succeeded(&mut self, task: &TaskRef, shape: Shape<'_>, now: TimeMs) {
        let Some(run) = self.runs.remove(task) else { return };
        if !run.whole || (run.assigned_at.is_none() && run.progress.is_none()) {
            return;
        }
        let took_ms = now.since_ms(run.started_at).max(1);
        self.ends += 1;
        self.errors.add(error_percent(run.expected_ms, took_ms));
        self.estimate_errors.add(error_percent(shape.estimate_ms, took_ms));
        self.steps.entry(step_key(task)).or_default().add(took_ms);
        let ends = self.ends;
        let class = self.class_mut(shape);
        class.used = ends;
        let median_ms = class.full_ms.median(MIN_RUNS);
        if let Some(median_ms) = median_ms {
            class.median_errors.add(error_percent(median_ms, took_ms));
        }
        class.estimate_errors.add(error_percent(shape.estimate_ms, took_ms));
        class.full_ms.add(took_ms);
        // Background tasks are throttled, which says nothing about their host.
        if let Some(median_ms) = median_ms.filter(|_| !shape.background) {
            self.hosts.entry(run.host).or_default().add(median_ms.saturating_mul(100) / took_ms);
        }
    }

    /// Forgets a run that has ended without success or never existed.
    pub fn forget_run(&mut self, task: &TaskRef) {
        self.runs.remove(task);
    }

    /// Forgets the run times of a step, all tasks of which are done.
    pub fn forget_step(&mut self, task: &TaskRef) {
        self.steps.remove(&step_key(task));
    }

    /// Forgets the steps and runs of a job that has ended.
    pub fn forget_job(&mut self, job: JobId) {
        let first = TaskRef { job, occurrence: 0, step: 0, index: 0 };
        let last = TaskRef { job, occurrence: u32::MAX, step: u32::MAX, index: u32::MAX };
        self.steps.extract_if(step_key(&first)..=step_key(&last), |_, _| true).for_each(drop);
        self.runs.extract_if(first..=last, |_, _| true).for_each(drop);
    }

    /// Forgets how fast a host is, for example because its endpoint has restarted and may be on another machine.
    pub fn forget_host(&mut self, host: &HostName) {
        self.hosts.remove(host);
    }

    /// How long the task is expected to run from the beginning. Logarithmic time.
    pub fn expected_duration(&self, task: &TaskRef, shape: Shape<'_>) -> ExpectedDuration {
        if let Some(duration_ms) = self.steps.get(&step_key(task)).and_then(|times| times.median(MIN_SIBLINGS)) {
            return ExpectedDuration { duration_ms, basis: Basis::Siblings };
        }
        let (class, basis) = match shape.image {
            Some(image) => (self.images.get(image), Basis::Image),
            None => (self.queues.get(shape.queue), Basis::Queue),
        };
        match class.and_then(ClassTimes::prediction_ms) {
            Some(duration_ms) => ExpectedDuration { duration_ms, basis },
            None => ExpectedDuration { duration_ms: shape.estimate_ms, basis: Basis::Estimate },
        }
    }

    /// The estimate, or the expected duration if it differs from that by more than `MAX_TRUSTED_ERROR_PERCENT`. For decisions
    /// that should not change where estimates are good. Logarithmic time.
    pub fn corrected_estimate_ms(&self, task: &TaskRef, shape: Shape<'_>) -> u64 {
        let expected_ms = self.expected_duration(task, shape).duration_ms;
        if error_percent(shape.estimate_ms, expected_ms) > MAX_TRUSTED_ERROR_PERCENT {
            expected_ms
        } else {
            shape.estimate_ms
        }
    }

    /// When the run of a task is expected to end; `None` if the task has no run. A run that has outlasted its expectation is
    /// expected to take as long again as it is late. Logarithmic time.
    pub fn expected_end(&self, task: &TaskRef, shape: Shape<'_>, now: TimeMs) -> Option<ExpectedEnd> {
        let run = self.runs.get(task)?;
        if let Some(progress) = &run.progress {
            let read_at = run.started_at.plus_ms(progress.elapsed_ms);
            if let Some(left_ms) = progress.left_ms(now.since_ms(read_at)) {
                return Some(ExpectedEnd { at: read_at.plus_ms(left_ms).max(now), basis: Basis::Progress });
            }
        }
        let ExpectedDuration { duration_ms, basis } = self.expected_duration(task, shape);
        let end = run.started_at.plus_ms(duration_ms);
        let at = if end < now { now.plus_ms(now.since_ms(end)) } else { end };
        Some(ExpectedEnd { at, basis })
    }

    /// Whether the run of a task is slow for its step: it has taken as long as the median of the tasks of its step that are
    /// done, and by its progress will take more than `SLOW_MEDIANS` of it; or it has taken that long already. Returns what
    /// shows it. Logarithmic time.
    pub fn slow_run(&self, task: &TaskRef, now: TimeMs) -> Option<SlowRun> {
        let run = self.runs.get(task)?;
        let median_ms = self.steps.get(&step_key(task))?.median(MIN_SIBLINGS)?;
        let elapsed_ms = now.since_ms(run.started_at);
        let by_progress = run.progress.filter(|_| run.whole).and_then(|progress| {
            let silent_ms = elapsed_ms.saturating_sub(progress.elapsed_ms);
            Some(progress.elapsed_ms + progress.left_ms(silent_ms)?)
        });
        let full_ms = by_progress.unwrap_or(elapsed_ms).max(elapsed_ms);
        let is_slow = elapsed_ms >= median_ms && full_ms > median_ms.saturating_mul(SLOW_MEDIANS);
        let percent = run.progress.map(|progress| progress.percent);
        is_slow.then(|| SlowRun { task: *task, run: run.run, host: run.host.clone(), elapsed_ms, percent, median_ms })
    }

    /// All runs that are slow for their steps, each with whether an earlier call has returned it. Linear in the number of runs,
    /// with a logarithmic factor.
    pub fn slow_runs(&mut self, now: TimeMs) -> Vec<(SlowRun, bool)> {
        let slow: Vec<_> = self.runs.keys().filter_map(|task| self.slow_run(task, now)).collect();
        let known = |slow: SlowRun| {
            let run = self.runs.get_mut(&slow.task);
            let known = run.is_some_and(|run| std::mem::replace(&mut run.reported_slow, true));
            (slow, known)
        };
        slow.into_iter().map(known).collect()
    }

    /// The speed of a host in percent of the usual speed of the same images (or queues) on all hosts; `None` if too few
    /// runs on it have ended. Runs of background tasks do not count. Logarithmic time.
    pub fn host_speed_percent(&self, host: &HostName) -> Option<u64> {
        self.hosts.get(host)?.median(MIN_RUNS)
    }

    /// The median error of the expected durations of the latest runs, and that of the estimates of the same runs, in percent of
    /// the smaller of the expected and the actual duration; `None` before the first end.
    pub fn errors_percent(&self) -> Option<(u64, u64)> {
        Some((self.errors.median(1)?, self.estimate_errors.median(1)?))
    }

    fn class_mut(&mut self, shape: Shape<'_>) -> &mut ClassTimes {
        let (classes, name) = match shape.image {
            Some(image) => (&mut self.images, image),
            None => (&mut self.queues, shape.queue),
        };
        if classes.len() >= MAX_CLASSES && !classes.contains_key(name) {
            let oldest = classes.iter().min_by_key(|(_, class)| class.used).map(|(name, _)| name.clone());
            oldest.and_then(|name| classes.remove(&name));
        }
        classes.entry(name.to_owned()).or_default()
    }
}
