//! What the scheduler records of the durations of runs, and what it expects of those that run or wait.

use super::{Moment, Scheduler};
use crate::{
    jobs::{
        hosts::HostName,
        progress::Phase,
        run_times::{ExpectedDuration, ExpectedEnd, RunProgress, RunTimes, Shape, SlowRun},
        spec::TaskRef,
    },
    units::TimeMs,
};

/// How often the leader searches for slow runs, in milliseconds: as often as agents report the progress of a run.
const SLOW_RUNS_INTERVAL_MS: u64 = 1_000;

impl Scheduler {
    /// Handles a host's report of the progress of its runs. Runs that are not assigned to the host are ignored.
    pub fn run_progressed(&mut self, name: &HostName, reports: &[RunProgress], now: Moment) {
        let Self { hosts, run_times, .. } = self;
        let Some(host) = hosts.get(name) else { return };
        for report in reports {
            if host.tasks.get(&report.task).is_some_and(|placed| placed.run == report.run) {
                run_times.progressed(report, now.at);
            }
        }
    }

    /// When the run of a task is expected to end; `None` if the task has no run or is long-running. Logarithmic time.
    pub fn expected_end(&self, task: &TaskRef, now: TimeMs) -> Option<ExpectedEnd> {
        let spec = &self.jobs.get(&task.job)?.spec;
        let step = spec.steps.get(task.step as usize)?;
        self.run_times.expected_end(task, Shape::new(spec, step), now)
    }

    /// How long a task is expected to run from the beginning; `None` if there is no such task or it is long-running. Logarithmic
    /// time.
    pub fn expected_duration(&self, task: &TaskRef) -> Option<ExpectedDuration> {
        let spec = &self.jobs.get(&task.job)?.spec;
        let step = spec.steps.get(task.step as usize).filter(|step| !step.long_running)?;
        Some(self.run_times.expected_duration(task, Shape::new(spec, step)))
    }

    /// Whether the run of a task is slow for its step; see [`RunTimes::slow_run`]. Logarithmic time.
    pub fn is_slow(&self, task: &TaskRef, now: TimeMs) -> bool {
        self.run_times.slow_run(task, now).is_some()
    }

    /// The durations of runs by image, step and host.
    pub fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// All runs that are slow for their steps, each with whether an earlier call has returned it; `None` if the last search
    /// was less than `SLOW_RUNS_INTERVAL_MS` ago. Linear in the number of runs, with a logarithmic factor.
    pub fn take_slow_runs(&mut self, now: Moment) -> Option<Vec<(SlowRun, bool)>> {
        if now.at < self.slow_runs_at {
            return None;
        }
        self.slow_runs_at = now.at.plus_ms(SLOW_RUNS_INTERVAL_MS);
        Some(self.run_times.slow_runs(now.at))
    }

    /// Records that a run of a task was assigned to a host: now, or by an earlier leader if `inherited`.
    pub(super) fn record_run(&mut self, task: &TaskRef, run: u32, host: &HostName, inherited: bool, now: TimeMs) {
        let Self { jobs, run_times, .. } = self;
        let Some(job) = jobs.get(&task.job).filter(|job| job.progress.phase == Phase::Active) else { return };
        let Some(step) = job.spec.steps.get(task.step as usize).filter(|step| !step.long_running) else { return };
        let whole = job.progress.task(task).is_some_and(|progress| progress.checkpoint.is_none());
        let shape = Shape::new(&job.spec, step);
        if inherited {
            run_times.inherited(task, run, host, whole, shape, now);
        } else {
            run_times.assigned(task, run, host, whole, shape, now);
        }
    }

    /// Records the end of the run of a task, whose time counts if it succeeded.
    pub(super) fn record_run_time(&mut self, task: &TaskRef, succeeded: bool, now: TimeMs) {
        let Self { jobs, run_times, .. } = self;
        let job = jobs.get(&task.job).filter(|job| succeeded && job.progress.phase == Phase::Active);
        match job.and_then(|job| Some((&job.spec, job.spec.steps.get(task.step as usize)?))) {
            Some((spec, step)) => run_times.succeeded(task, Shape::new(spec, step), now),
            None => run_times.forget_run(task),
        }
    }
}
