/*!
Moves work away from hosts whose endpoints end as planned.

Load: a tenth of the endpoints is removed at a time while serving tasks occupy four fifths of the processors. What runs on such an
endpoint ends with it. A run that is stopped while the endpoint still answers costs a stop and one report, and keeps its newest
checkpoint; one that ends with its endpoint may have to wait for the end of a lease.

Long-running tasks never end on their own and are moved at once, before any other work is placed. Tasks that save checkpoints are
moved after it, if they are expected to outlive the endpoint. All others are left to finish. A run is stopped only if another host
can take its task now. That host holds the room until the end of the run is reported, so that neither a second move nor other work
takes it, and the task is placed there. A hold ends after [`HOLD_MS`], so that a lost stop delays other work for no longer; the
task is then placed like any other. There are at most as many holds as runs on hosts that drain. Holds are not stored: a new leader
decides anew.

Gangs are not moved: all members would have to find hosts at the same time. Their runs are stopped by the agent at last.
*/

use std::cmp::Reverse;

use super::{Effect, Moment, MoveReason, Scheduler, placing::Requirements};
use crate::{
    jobs::{
        hosts::{Hold, HostName, Link},
        progress::{Phase, TaskState},
        spec::{StepSpec, TaskRef},
    },
    units::TimeMs,
};

/// How long a host holds room for a task that is stopped elsewhere, in milliseconds: a stop takes up to 900 ms, and the report of
/// the end and its record take one second at most in regular operation.
const HOLD_MS: u64 = 2_000;
/// How often hosts are searched for tasks that found none, in milliseconds.
const SEARCH_INTERVAL_MS: u64 = 100;
/// Subtracted from the score of a host for each hold of the same step. Outweighs the preference of serving tasks for hosts that run
/// others and their own image, but not the avoidance of a host on which runs fail.
const SAME_STEP_PENALTY: i64 = 2_500;
/// Subtracted from the score of a host for each hold of another step.
const OTHER_STEP_PENALTY: i64 = 500;

/// What is moved, in the order of urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DepartingWork {
    /// Tasks that never end on their own.
    LongRunning,
    /// Tasks that save checkpoints and are expected to outlive their endpoint.
    Checkpointing,
}

/// A run on a host whose endpoint ends as planned.
#[derive(Debug)]
struct DepartingRun {
    from: HostName,
    task: TaskRef,
    run: u32,
}

/// When a run of a task of `step` is expected to end on its own, if it was assigned at `assigned_at`. The whole estimate is left of a
/// run that an earlier leader has assigned, and nothing of one that has outlasted its estimate.
fn expected_end(step: &StepSpec, assigned_at: Option<TimeMs>, now: TimeMs) -> TimeMs {
    assigned_at.unwrap_or(now).plus_ms(step.estimate_ms).max(now)
}

impl Scheduler {
    /// Handles the announcement of a draining endpoint that it continues until `ends_at` at least; `None` if it does not state
    /// it, or is not draining. Follows each [`Self::host_info_changed`]. Only tasks on hosts of which the end is known are moved
    /// because of it.
    pub fn host_departure_announced(&mut self, name: &HostName, ends_at: Option<TimeMs>) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        if host.ends_at.is_none() && ends_at.is_some() {
            self.search_targets_at = TimeMs::default();
        }
        host.ends_at = ends_at;
    }

    /// The number of hosts whose endpoints end as planned and still run tasks. Linear in the number of hosts.
    pub fn departing_hosts(&self) -> usize {
        self.hosts.values().filter(|host| host.ends_at.is_some() && !host.tasks.is_empty()).count()
    }

    /// Places tasks that were stopped to be moved on the hosts that hold room for them, and ends holds that serve no purpose any
    /// more. Linear in the number of hosts and of holds.
    pub(super) fn place_moved(&mut self, now: Moment) {
        let held = self.hosts.iter().filter(|(_, host)| host.has_holds());
        let held: Vec<_> =
            held.flat_map(|(name, host)| host.holds().map(|(task, hold)| (name.clone(), *task, *hold))).collect();
        for (name, task, hold) in held {
            let job = self.jobs.get(&task.job).filter(|job| job.progress.phase == Phase::Active);
            let Some((spec, progress)) =
                job.and_then(|job| Some((job.spec.clone(), job.progress.task(&task)?.clone())))
            else {
                self.release_hold(&name, &task);
                continue;
            };
            let is_stopping = matches!(&progress.state, TaskState::Assigned { .. }) && progress.run == hold.run;
            if is_stopping && now.at < hold.until {
                continue;
            }
            let step = spec.steps.get(task.step as usize);
            if let Some(step) = step.filter(|_| progress.state == TaskState::Waiting && progress.run == hold.run) {
                let service = self.settings(&spec).service.clone();
                let requirements = Requirements::new(step, &service, &mut self.interference);
                let history = self.history(&task, step);
                let candidate = self.candidate(&name, &task, &requirements, now.at);
                if candidate.is_some_and(|candidate| candidate.accepts(history)) {
                    self.assign(&task, progress.run + 1, name.clone(), &spec, now.at);
                    self.refresh_job(task.job, now);
                }
            }
            self.release_hold(&name, &task);
        }
    }

    fn release_hold(&mut self, name: &HostName, task: &TaskRef) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.release_hold(task);
        }
        self.host_changed(name);
    }

    /// Stops runs on hosts whose endpoints end as planned, if other hosts can take their tasks. Linear in the number of hosts, and
    /// in the number of runs to move times the number of hosts once in [`SEARCH_INTERVAL_MS`].
    pub(super) fn move_departing(&mut self, work: DepartingWork, now: TimeMs) {
        if now < self.search_targets_at {
            return;
        }
        if work == DepartingWork::Checkpointing {
            // The last kind that is searched for.
            self.search_targets_at = now.plus_ms(SEARCH_INTERVAL_MS);
        }
        for departing in self.departing_runs(work, now) {
            let DepartingRun { from, task, run } = departing;
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let spec = job.spec.clone();
            let Some(step) = spec.steps.get(task.step as usize) else { continue };
            let service = self.settings(&spec).service.clone();
            let requirements = Requirements::new(step, &service, &mut self.interference);
            let Some(target) = self.spread_target(&task, &requirements, now) else { continue };
            if let Some(placed) = self.hosts.get_mut(&from).and_then(|host| host.tasks.get_mut(&task)) {
                placed.moving = true;
            }
            if let Some(host) = self.hosts.get_mut(&target) {
                host.hold(task, Hold::new(run, step, now.plus_ms(HOLD_MS)));
            }
            self.effects.push(Effect::Move { host: from, task, run, reason: MoveReason::Departure });
        }
    }

    /// The runs to move, those of the hosts that end first before the others.
    fn departing_runs(&self, work: DepartingWork, now: TimeMs) -> Vec<DepartingRun> {
        let leaving = |host: &super::Host| {
            let is_reached = host.link == Link::Connected && host.reconciled;
            host.ends_at.filter(|_| is_reached && host.info.as_ref().is_some_and(|info| info.draining))
        };
        let mut hosts: Vec<_> =
            self.hosts.iter().filter_map(|(name, host)| Some((leaving(host)?, name, host))).collect();
        hosts.sort_by_key(|(ends_at, ..)| *ends_at);
        let mut found = Vec::new();
        for (ends_at, name, host) in hosts {
            for (task, placed) in host.tasks.iter().filter(|(_, placed)| !placed.moving) {
                let job = self.jobs.get(&task.job).filter(|job| job.progress.phase == Phase::Active);
                let Some(step) = job.and_then(|job| job.spec.steps.get(task.step as usize)) else { continue };
                let outlives = || expected_end(step, placed.assigned_at, now) > ends_at.max(now);
                let is_moved = match work {
                    DepartingWork::LongRunning => step.long_running,
                    DepartingWork::Checkpointing => step.checkpoints && !step.long_running && outlives(),
                };
                if is_moved && !step.gang {
                    found.push(DepartingRun { from: name.clone(), task: *task, run: placed.run });
                }
            }
        }
        found
    }

    /// The best host for a task, with a preference for hosts that hold room for few others.
    fn spread_target(&self, task: &TaskRef, requirements: &Requirements<'_>, now: TimeMs) -> Option<HostName> {
        let history = self.history(task, requirements.step);
        let candidates = self.hosts.iter().filter_map(|(name, host)| {
            let candidate = self.candidate(name, task, requirements, now)?;
            let (same_step, others) = host.count_holds(task);
            let penalty = SAME_STEP_PENALTY * same_step as i64 + OTHER_STEP_PENALTY * others as i64;
            candidate.accepts(history).then(|| (candidate.score(history) - penalty, Reverse(name)))
        });
        // Of equal hosts the first by name, so that the choice does not depend on the order of a map.
        candidates.max().map(|(_, Reverse(name))| name.clone())
    }
}
