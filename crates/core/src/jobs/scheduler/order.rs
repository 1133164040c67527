/*!
The order in which waiting steps receive hosts.

Beyond capacity, the earliest objective first makes all jobs late: work goes to many jobs and finishes few. Within a
priority, jobs that can still be in time therefore come first: those that have begun, and those whose longest chain of
steps would end before the objective if it began now. Among these the job with the least work waiting for its value is
first, so that a job that is nearly complete is completed. The value of a job grows with its work, which keeps small jobs
from starving large ones.

Work and chains that are left are judged by what tasks of the step or of the image have taken, where clients' estimates are off by
more than half. What a job is worth, and whether it has begun, depends on the estimates alone.
*/

use std::collections::BTreeMap;

use super::Moment;
use crate::jobs::{
    progress::{TaskState, Tasks},
    run_times::{RunTimes, Shape},
    spec::{JobId, JobSpec, QueueSettings, StepSpec, TaskRef},
};

/// The part of the mean value of a queue's jobs that each of its jobs has regardless of its work, in percent. The users
/// value a job by this part and by its work.
const FIXED_VALUE_PERCENT: u64 = 30;
/// The highest value of a job, in means of its queue.
const MAX_VALUE_MEANS: u64 = 4;
/// The time that a job which has not begun must have beyond its longest chain of steps to be begun in time, in percent
/// of that chain. Its tasks receive hosts one after the other.
const START_MARGIN_PERCENT: u64 = 25;
/// A job that takes this many times the time until its objective has no value for its users any more.
const USEFUL_SPANS: u64 = 3;

/// A step of an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepRef {
    /// The job.
    pub job: JobId,
    /// The occurrence of a repeated job, counted from 0.
    pub occurrence: u32,
    /// The index of the step in [`JobSpec::steps`].
    pub step: u32,
}

/// A step of an occurrence that has waiting tasks and whose dependencies have succeeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyKey {
    pub urgency: Urgency,
    /// The sequence number of the job in this scheduler.
    pub accepted: u64,
    pub step: StepRef,
}

/// What the order of an occurrence depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    priority: u8,
    /// The work of the waiting tasks per value of the job, in thousandths.
    work_per_value_milli: u64,
    /// The latest time at which work on the occurrence is worthwhile if it is to meet its objective.
    latest_start_unix_ms: u64,
    /// When the occurrence has no value any more.
    worthless_unix_ms: u64,
}

impl Urgency {
    /// The urgency of an occurrence with the given progress of its steps. Linear in the number of tasks, and in that of steps
    /// with a logarithmic factor.
    pub fn new(
        spec: &JobSpec,
        settings: &QueueSettings,
        occurrence: u32,
        steps: &[Tasks],
        mean_work: &MeanWork,
        durations: &Durations<'_>,
    ) -> Self {
        let objective_unix_ms = spec.objective_unix_ms(occurrence, settings);
        let start_unix_ms = spec.due_unix_ms(occurrence).unwrap_or(spec.accepted_unix_ms);
        let span_ms = objective_unix_ms.saturating_sub(start_unix_ms);
        let (mut work_left, mut estimated_work_left) = (0_u64, 0_u64);
        let mut steps_left = Vec::with_capacity(spec.steps.len());
        for ((index, step), tasks) in (0..).zip(&spec.steps).zip(steps) {
            let waiting = tasks.iter().filter(|task| task.state == TaskState::Waiting).count() as u64;
            let is_done = tasks.iter().all(|task| task.state == TaskState::Done);
            let duration_ms = if is_done { 0 } else { durations.corrected_ms(spec, step, occurrence, index) };
            work_left = work_left.saturating_add(step.work_of(duration_ms).saturating_mul(waiting));
            estimated_work_left = estimated_work_left.saturating_add(step.task_work().saturating_mul(waiting));
            steps_left.push(if is_done { None } else { Some(duration_ms) });
        }
        // A job without runs starts a single task on any host after a while, which is no beginning.
        let begun = estimated_work_left.saturating_mul(2) < spec.work();
        let path_left_ms = critical_path_left_ms(spec, &steps_left);
        let needed_ms = if begun { 0 } else { path_left_ms.saturating_mul(100 + START_MARGIN_PERCENT) / 100 };
        Self {
            priority: settings.priority,
            work_per_value_milli: work_left.saturating_mul(1_000) / mean_work.value(spec).max(1),
            latest_start_unix_ms: objective_unix_ms.saturating_sub(needed_ms),
            worthless_unix_ms: start_unix_ms.saturating_add(span_ms.saturating_mul(USEFUL_SPANS)),
        }
    }
}

/// What the tasks of a job are expected to take.
pub(super) struct Durations<'a> {
    pub job: JobId,
    pub run_times: &'a RunTimes,
}

impl Durations<'_> {
    fn corrected_ms(&self, spec: &JobSpec, step: &StepSpec, occurrence: u32, index: u32) -> u64 {
        if step.long_running {
            return step.estimate_ms;
        }
        let task = TaskRef { job: self.job, occurrence, step: index, index: 0 };
        self.run_times.corrected_estimate_ms(&task, Shape::new(spec, step))
    }
}

/// The expected duration of the longest chain of steps that are not done, in milliseconds. `steps_left` holds the duration of a
/// usual task of each step, `None` for a step that is done.
fn critical_path_left_ms(spec: &JobSpec, steps_left: &[Option<u64>]) -> u64 {
    let mut end_ms: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (step, duration_ms) in spec.steps.iter().zip(steps_left) {
        let start_ms = step.after.iter().filter_map(|&on| end_ms.get(on as usize)).max().copied().unwrap_or(0);
        end_ms.push(duration_ms.map_or(0, |duration_ms| start_ms.saturating_add(step.slowest_of_ms(duration_ms))));
    }
    end_ms.into_iter().max().unwrap_or(0)
}

impl ReadyKey {
    /// The key by which steps are scheduled.
    pub fn scheduling_key(&self, now: Moment) -> impl Ord + use<> {
        let Urgency { priority, latest_start_unix_ms, worthless_unix_ms, .. } = self.urgency;
        let is_late = latest_start_unix_ms < now.unix_ms;
        let is_worthless = worthless_unix_ms < now.unix_ms;
        (priority, is_late, is_worthless, *self)
    }
}

/// The mean work of the jobs of each queue, in the unit of [`JobSpec::work`].
#[derive(Debug, Clone, Default)]
pub(in crate::jobs) struct MeanWork {
    /// The sum of the work of a queue's jobs and their number.
    queues: BTreeMap<String, (u64, u64)>,
}

impl MeanWork {
    pub fn add(&mut self, spec: &JobSpec) {
        let (sum, jobs) = self.queues.entry(spec.queue.clone()).or_default();
        *sum = sum.saturating_add(spec.work());
        *jobs += 1;
    }

    /// The value of an occurrence of a job, in the unit of its work.
    fn value(&self, spec: &JobSpec) -> u64 {
        let work = spec.work();
        let mean = self.queues.get(&spec.queue).map_or(work, |(sum, jobs)| sum / jobs.max(&1));
        let fixed = mean.saturating_mul(FIXED_VALUE_PERCENT);
        let by_work = work.saturating_mul(100 - FIXED_VALUE_PERCENT);
        (fixed.saturating_add(by_work) / 100).min(mean.saturating_mul(MAX_VALUE_MEANS))
    }
}
