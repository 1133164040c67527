/*!
Crashes of endpoints, and the tasks that may have caused them.

A task may crash every endpoint that starts it, and each crash ends all other runs on the host. The agent names the runs
that had just started; the leader counts a crash against each of their tasks and stores the counts with the job. A task
with a count is on trial whenever it starts again: its host has started nothing else for [`QUIET_MS`] and starts nothing
else for [`TRIAL_MS`], so that the order of the starts shows which task is the cause of a crash. The module `trials` finds
the host.
*/

use super::{Moment, RunOutcome, Scheduler};
use crate::jobs::{
    hosts::{HostName, Link, UNKNOWN_INCARNATION},
    progress::{Phase, TaskState},
    spec::TaskRef,
};

/// A run that had started at most this long before its endpoint crashed may be the cause, in milliseconds.
pub const SUSPECT_AGE_MS: u64 = 500;
/// How long a host starts nothing else after the start of a run on trial, in milliseconds. Such a task crashes its endpoint
/// about 10 ms after its start; the rest is for the record of the assignment and the order.
pub const TRIAL_MS: u64 = 200;
/// How long before the start of a run on trial its host has started nothing else, in milliseconds. Orders that are sent
/// this far apart are carried out in their order, and the earlier run crashes its endpoint before the later one starts.
pub const QUIET_MS: u64 = 100;
/// The number of crashes at which a task is given up if it is conclusively the cause of the latest one. The first crash may
/// be due to a task beside it; the second follows a start on trial.
const MAX_CONCLUSIVE_CRASHES: u32 = 2;
/// The number of crashes at which a task is given up in any case. The platform allows five starts of such a task, and the
/// crash after one of them may go uncounted.
const MAX_CRASHES: u32 = 4;
plain! {
    /// A crash that was counted against a task.
    pub struct CountedCrash {
        /// The task that had just started on the endpoint.
        pub task: TaskRef,
        /// The number of the run that had started.
        pub run: u32,
        /// The number of crashes counted against the task, with this one.
        pub crashes: u32,
        /// Whether the task is given up, which ends its job.
        pub given_up: bool,
    }
}

impl Scheduler {
    /// Handles the loss of all runs on an incarnation of a host's endpoint, which may be [`UNKNOWN_INCARNATION`].
    /// `suspects` are the runs that had started at most [`SUSPECT_AGE_MS`] before, in the order of their starts; none if
    /// the endpoint did not crash. Counts the crash against their tasks and gives up those that are the cause. Idempotent:
    /// runs of later incarnations and runs that have ended are not affected.
    pub fn host_crashed(
        &mut self,
        name: &HostName,
        incarnation: u64,
        suspects: &[(TaskRef, u32)],
        now: Moment,
    ) -> Vec<CountedCrash> {
        self.host_restarted(name, incarnation, suspects, &[], now)
    }

    /// Handles a crash as [`Self::host_crashed`] does, after which the next incarnation runs or may run what
    /// `taken_over` lists. The tasks of these runs stay assigned until the next incarnation has reported its runs.
    pub fn host_restarted(
        &mut self,
        name: &HostName,
        incarnation: u64,
        suspects: &[(TaskRef, u32)],
        taken_over: &[(TaskRef, u32)],
        now: Moment,
    ) -> Vec<CountedCrash> {
        let Some(host) = self.hosts.get(name) else { return Vec::new() };
        let incarnation = match incarnation {
            UNKNOWN_INCARNATION => host.incarnation.unwrap_or(UNKNOWN_INCARNATION),
            known => known,
        };
        let survived: Vec<_> =
            (1..).zip(suspects).map(|(next, (task, _))| self.survived_trial(task, &suspects[next..])).collect();
        let mut counted = Vec::new();
        for (nth, (task, run)) in suspects.iter().enumerate().filter(|(nth, _)| !survived[*nth]) {
            let conclusive = nth + 1 == suspects.len();
            counted.extend(self.count_crash(name, incarnation, task, *run, conclusive));
        }
        if !suspects.is_empty() {
            self.forget_suspicion(name);
        }
        self.end_runs(name, |task, run, on| on > incarnation || taken_over.contains(&(*task, run)), now);
        // Runs on other hosts are stopped; those on this host have ended above.
        for crash in counted.iter().filter(|crash| crash.given_up) {
            if self.jobs.get(&crash.task.job).is_some_and(|job| job.progress.phase == Phase::Active) {
                self.end_job(crash.task.job, Phase::Failed, now);
            }
        }
        counted
    }

    /// Whether a run on trial was followed by another start on the endpoint, which lies at least [`TRIAL_MS`] later. The
    /// members of a gang start together.
    fn survived_trial(&self, task: &TaskRef, later: &[(TaskRef, u32)]) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let gang = job.spec.steps.get(task.step as usize).is_some_and(|step| step.gang);
        let starts_together = |other: &TaskRef| gang && TaskRef { index: task.index, ..*other } == *task;
        job.progress.has_counted_crash(task, gang) && later.iter().any(|(other, _)| !starts_together(other))
    }

    /// Counts a crash against the task of a run; `None` if the run was not one of this incarnation or its job has ended.
    /// `conclusive` is whether no other run had started on the endpoint between this one and the crash. A task that has a later
    /// run by now is given up only if that one is suspected of a crash as well.
    fn count_crash(
        &mut self,
        name: &HostName,
        incarnation: u64,
        task: &TaskRef,
        run: u32,
        conclusive: bool,
    ) -> Option<CountedCrash> {
        if !self.may_have_crashed(name, incarnation, task, run) {
            return None;
        }
        let is_suspected_elsewhere = self.is_suspected_elsewhere(name, task);
        let job = self.jobs.get_mut(&task.job).filter(|job| job.progress.phase == Phase::Active)?;
        let may_be_deadly = is_suspected_elsewhere || job.progress.task(task)?.run == run;
        job.failed_on.entry(*task).or_default().insert(name.clone());
        let crashes = job.progress.crashes.entry(*task).or_default();
        *crashes += 1;
        let crashes = *crashes;
        let given_up = may_be_deadly && (crashes >= MAX_CRASHES || (conclusive && crashes >= MAX_CONCLUSIVE_CRASHES));
        self.changed.insert(task.job);
        Some(CountedCrash { task: *task, run, crashes, given_up })
    }

    /// Treats all runs on a host as interrupted, so that their tasks can be assigned again.
    pub(super) fn host_lost(&mut self, name: &HostName, now: Moment) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        if host.link != Link::Connected {
            host.link = Link::Lost;
        }
        self.end_runs(name, |_, _, _| false, now);
    }

    /// Treats the runs on a host as interrupted, except those that survive by task, number and incarnation.
    pub(super) fn end_runs(&mut self, name: &HostName, survives: impl Fn(&TaskRef, u32, u64) -> bool, now: Moment) {
        let Some(host) = self.hosts.get(name) else { return };
        let is_lost = |task: &TaskRef| {
            let progress = self.jobs.get(&task.job).and_then(|job| job.progress.task(task));
            progress.is_none_or(|progress| match &progress.state {
                TaskState::Assigned { incarnation, .. } => !survives(task, progress.run, *incarnation),
                _ => true,
            })
        };
        let ended: Vec<_> = host.tasks.keys().copied().filter(is_lost).collect();
        for task in ended {
            self.run_gone(name, &task, RunOutcome::Interrupted, None, now);
        }
    }

    /// Assigns the runs that an incarnation of a host lists to this incarnation, if they are assigned to another one of the
    /// host: starting their tasks again would run them twice.
    pub(super) fn take_over_runs(&mut self, name: &HostName, on_incarnation: u64, listed: &[(TaskRef, u32)]) {
        for (task, run) in listed {
            let Some(job) = self.jobs.get_mut(&task.job) else { continue };
            let Some(progress) = job.progress.task_mut(task).filter(|progress| progress.run == *run) else { continue };
            if let TaskState::Assigned { host, incarnation } = &mut progress.state
                && host == name
                && *incarnation != on_incarnation
            {
                *incarnation = on_incarnation;
                self.changed.insert(task.job);
            }
        }
    }
}
