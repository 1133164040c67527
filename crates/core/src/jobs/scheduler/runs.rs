//! What the end, the rejection or a checkpoint of a run means for its task.

use super::{Effect, Moment, Rejection, RunEnd, RunOutcome, Scheduler};
use crate::jobs::{
    hosts::HostName,
    progress::{Phase, TaskState},
    spec::TaskRef,
};

impl Scheduler {
    /// Handles a host's report of the end of a run, and acknowledges the report. A run that is not the latest one of
    /// its task is ignored; a run that is assigned to an earlier incarnation of the host has ended on this one. Returns whether
    /// the end counts.
    pub fn run_ended(&mut self, name: &HostName, incarnation: u64, ended: &RunEnd, now: Moment) -> bool {
        let counts = self.end_counts(name, incarnation, ended);
        if counts {
            self.record_begun(&ended.task.job);
            if ended.end != RunOutcome::Interrupted
                && let Some(host) = self.hosts.get_mut(name)
            {
                host.record_end(ended.end == RunOutcome::Failed, now.at);
            }
            self.run_gone(name, &ended.task, ended.end, ended.checkpoint.clone(), now);
        }
        self.effects.push(Effect::Forget { host: name.clone(), incarnation, up_to: ended.number });
        counts
    }

    /// Whether the end of a run changes its task: the run is the assigned one, or it has succeeded after its task was given
    /// back and before that was assigned again. Starting the task once more would run it twice.
    fn end_counts(&self, name: &HostName, incarnation: u64, ended: &RunEnd) -> bool {
        let Some(job) = self.jobs.get(&ended.task.job) else { return false };
        let Some(progress) = job.progress.task(&ended.task) else { return false };
        if progress.may_run_on(name, incarnation, ended.run) {
            return true;
        }
        let ends_for_good = job.spec.steps.get(ended.task.step as usize).is_some_and(|step| !step.long_running);
        let is_latest = progress.state == TaskState::Waiting && progress.run == ended.run;
        let is_active = job.progress.phase == Phase::Active;
        is_latest && is_active && ends_for_good && ended.end == RunOutcome::Done
    }

    /// Handles a host's rejection of a run. A run that is not the assigned one is ignored.
    pub fn run_rejected(
        &mut self,
        name: &HostName,
        incarnation: u64,
        task: &TaskRef,
        run: u32,
        reason: Rejection,
        now: Moment,
    ) {
        if !self.is_assigned(name, incarnation, task, run) {
            return;
        }
        if reason != Rejection::Outdated
            && let Some(host) = self.hosts.get_mut(name)
        {
            host.record_rejection(now.at);
        }
        let end = if reason == Rejection::Malformed { RunOutcome::Failed } else { RunOutcome::Interrupted };
        self.run_gone(name, task, end, None, now);
    }

    /// Handles a checkpoint of a run that is still executing.
    pub fn checkpoint_saved(
        &mut self,
        name: &HostName,
        incarnation: u64,
        task: &TaskRef,
        run: u32,
        checkpoint: String,
    ) {
        let progress = self.jobs.get(&task.job).and_then(|job| job.progress.task(task));
        if progress.is_some_and(|progress| progress.may_run_on(name, incarnation, run)) {
            // Not stored before the next change of the job: until then only this leader and the host know it.
            self.keep_checkpoint(task, checkpoint);
        }
    }

    /// Keeps the latest checkpoint of a task. That of any member of a gang is kept for all: they resume together, and only from
    /// the same one.
    fn keep_checkpoint(&mut self, task: &TaskRef, checkpoint: String) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let gang = job.spec.steps.get(task.step as usize).is_some_and(|step| step.gang);
        job.progress.keep_checkpoint(task, gang, &checkpoint);
    }

    /// Handles the end of the run of `task` on a host: releases its resources, and marks the task as waiting or done.
    pub(super) fn run_gone(
        &mut self,
        name: &HostName,
        task: &TaskRef,
        end: RunOutcome,
        checkpoint: Option<String>,
        now: Moment,
    ) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.remove(task);
        }
        self.record_run_time(task, end == RunOutcome::Done, now.at);
        self.host_changed(name);
        let max_failures = self.max_failures(&task.job);
        if let Some(checkpoint) = checkpoint {
            self.keep_checkpoint(task, checkpoint);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(step) = job.spec.steps.get(task.step as usize).cloned() else { return };
        let Some(progress) = job.progress.task_mut(task) else { return };
        let run = progress.run;
        if matches!(progress.state, TaskState::Assigned { .. }) {
            job.assigned -= 1;
        }
        progress.state = TaskState::Waiting;
        let mut failed = false;
        match end {
            RunOutcome::Done if !step.long_running => {
                progress.state = TaskState::Done;
                progress.checkpoint = None;
            }
            RunOutcome::Failed => {
                progress.failures += 1;
                failed = !step.long_running && progress.failures >= max_failures;
                job.failed_on.entry(*task).or_default().insert(name.clone());
            }
            RunOutcome::Done | RunOutcome::Interrupted => {}
        }
        let state = progress.state.clone();
        self.changed.insert(task.job);
        if end == RunOutcome::Done && step.gang {
            self.gang_done(task, run, &state);
        }
        let job = &self.jobs[&task.job];
        if state == TaskState::Done && job.progress.step_done(task.occurrence, task.step) {
            self.run_times.forget_step(task);
        }
        if job.progress.phase == Phase::Active {
            if failed {
                self.end_job(task.job, Phase::Failed, now);
            } else if job.progress.all_done() {
                self.end_job(task.job, Phase::Completed, now);
            } else {
                self.refresh_job(task.job, now);
            }
        }
    }

    /// Gives all members of a gang the state of the one that ended as done: if one member of a run succeeded, all members
    /// of that run did.
    fn gang_done(&mut self, task: &TaskRef, run: u32, state: &TaskState) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let tasks = &mut job.progress.occurrences[task.occurrence as usize][task.step as usize];
        for (index, progress) in tasks.iter_mut().enumerate().filter(|(_, progress)| progress.run == run) {
            if let TaskState::Assigned { host, .. } = &progress.state {
                job.assigned -= 1;
                let member = TaskRef { index: index as u32, ..*task };
                if let Some(host) = self.hosts.get_mut(host) {
                    host.remove(&member);
                }
                self.run_times.forget_run(&member);
                self.changed_hosts.insert(host.clone());
            }
            progress.state = state.clone();
            if progress.state == TaskState::Done {
                progress.checkpoint = None;
            }
        }
    }
}
