/*!
The hosts of tasks on trial.

A trial begins on a host on which nothing has started for [`QUIET_MS`]. Under load every host may start something within
that time for good, so that a task that has found no such host for [`MAX_QUIET_WAIT_MS`] gets one set aside: nothing else
starts there until the trial has begun. The reservation is made when the task has its turn and a host has room for it, so
that the wait is bounded from then on. It is not stored, is checked in each tick, and is released as soon as the task cannot
run there any more.
*/

use std::{collections::BTreeSet, sync::Arc};

use super::{
    QUIET_MS, Scheduler, StepRef,
    placing::{Candidate, Requirements},
};
use crate::{
    jobs::{
        hosts::{HostName, Link},
        progress::TaskState,
        spec::{JobSpec, StepSpec, TaskRef},
    },
    units::TimeMs,
};

/// The maximum share of the hosts of a service that are closed to other tasks by trials, in percent.
const MAX_TRIAL_HOSTS_PERCENT: usize = 75;

/// How long a task on trial waits for a host that is quiet by itself, in milliseconds. A host that is set aside is closed to
/// others for longer. The users allow 3 s without a run, which leaves room for several rounds of trials.
const MAX_QUIET_WAIT_MS: u64 = 1_000;

/// The task for which hosts are set aside: the first member stands for its gang.
pub(super) fn holder(task: &TaskRef, step: &StepSpec) -> TaskRef {
    TaskRef { index: if step.gang { 0 } else { task.index }, ..*task }
}

impl Scheduler {
    /// Starts a task on trial on one of the `candidates` or on the host that is set aside for it. Sets a host aside if
    /// none of them may start it yet. `fallback` is `None` if only some hosts were considered, otherwise whether the task
    /// starts an idle job; see [`Self::fallback_host`]. Returns the host that is now closed to others. Linear in the
    /// number of hosts.
    pub(super) fn place_on_trial(
        &mut self,
        spec: &Arc<JobSpec>,
        requirements: &Requirements<'_>,
        (task, run): &(TaskRef, u32),
        candidates: &[Candidate],
        fallback: Option<bool>,
        now: TimeMs,
    ) -> Option<HostName> {
        let has_waited = self.has_waited(task, now);
        let reserved = self.reserved_hosts(task).into_iter().next();
        if reserved.is_none() && !self.may_begin_trial(requirements.service, now) {
            return None;
        }
        let ready = reserved.clone().filter(|host| self.can_begin_trial(host, now));
        let ready = ready.or_else(|| self.best_candidate(task, requirements, candidates, true));
        let host = match (ready, reserved) {
            (Some(host), _) => host,
            (None, Some(_)) => return None,
            (None, None) if !has_waited => {
                self.match_when_quiet(now);
                return None;
            }
            (None, None) => self.host_to_reserve(task, requirements, candidates, fallback, now)?,
        };
        if self.can_begin_trial(&host, now) {
            self.assign(task, run + 1, host.clone(), spec, now);
        } else {
            self.reserve_hosts(task, &BTreeSet::from([host.clone()]));
        }
        Some(host)
    }

    /// The best host on which a trial may begin soon. Hosts without a trial come first.
    fn host_to_reserve(
        &self,
        task: &TaskRef,
        requirements: &Requirements<'_>,
        candidates: &[Candidate],
        fallback: Option<bool>,
        now: TimeMs,
    ) -> Option<HostName> {
        let best = self.best_candidate(task, requirements, candidates, false);
        best.or_else(|| {
            let starts_idle_job = fallback?;
            let later = requirements.with_hosts_before_quiet();
            let quiet = self.fallback_host(task, requirements, starts_idle_job, now);
            let best = quiet.or_else(|| self.best_host(task, &later, now));
            best.or_else(|| self.fallback_host(task, &later, starts_idle_job, now))
        })
    }

    /// The best of the candidates for a task, only among those that may start it now if `now_only`.
    fn best_candidate(
        &self,
        task: &TaskRef,
        requirements: &Requirements<'_>,
        candidates: &[Candidate],
        now_only: bool,
    ) -> Option<HostName> {
        let history = self.history(task, requirements.step);
        let eligible = candidates.iter().filter(|candidate| !now_only || candidate.accepts(history));
        eligible.max_by_key(|candidate| candidate.score(history)).map(|candidate| candidate.host.clone())
    }

    /// A host for each member of a gang on trial; `None` if the trial cannot begin yet. Then hosts for all members are set
    /// aside or for none, so that two gangs never wait for each other.
    pub(super) fn gang_trial_hosts(
        &mut self,
        waiting: &[(TaskRef, u32)],
        requirements: &Requirements<'_>,
        now: TimeMs,
    ) -> Option<Vec<(TaskRef, HostName)>> {
        let holder = holder(&waiting.first()?.0, requirements.step);
        let has_waited = self.has_waited(&holder, now);
        let has_reservation = !self.reserved_hosts(&holder).is_empty();
        if !has_reservation && !self.may_begin_trial(requirements.service, now) {
            return None;
        }
        let allowed = requirements.with_reserved_for(holder);
        if let Some(chosen) = self.gang_hosts(waiting, &allowed, now) {
            return Some(chosen);
        }
        if !has_waited {
            self.match_when_quiet(now);
            return None;
        }
        let later = allowed.with_hosts_before_quiet();
        if has_reservation && self.gang_hosts(waiting, &later.with_only_reserved(), now).is_some() {
            return None;
        }
        let chosen = self.gang_hosts(waiting, &later, now).unwrap_or_default();
        self.reserve_hosts(&holder, &chosen.into_iter().map(|(_, host)| host).collect());
        None
    }

    /// Whether a task on trial has waited for a quiet host for so long that one is set aside. The wait begins with the first
    /// call.
    fn has_waited(&mut self, holder: &TaskRef, now: TimeMs) -> bool {
        let since = *self.trial_waits.entry(*holder).or_insert(now);
        now.since_ms(since) >= MAX_QUIET_WAIT_MS
    }

    /// Matches waiting steps against all hosts again soon: a host becomes quiet without an event of its own.
    fn match_when_quiet(&mut self, now: TimeMs) {
        self.full_placement_at = self.full_placement_at.min(now.plus_ms(QUIET_MS));
    }

    /// Whether a run on trial may start on the host now.
    fn can_begin_trial(&self, host: &HostName, now: TimeMs) -> bool {
        self.hosts.get(host).is_some_and(|host| host.is_quiet(now) && !host.has_trial(now))
    }

    /// Whether a further trial may close a host of a service. Linear in the number of hosts.
    fn may_begin_trial(&self, service: &str, now: TimeMs) -> bool {
        let (mut hosts, mut closed) = (0, 0);
        for host in self.hosts.values().filter(|host| host.link == Link::Connected) {
            if host.info.as_ref().is_some_and(|info| info.service == service) {
                hosts += 1;
                closed += usize::from(host.is_closed(now));
            }
        }
        closed < (hosts * MAX_TRIAL_HOSTS_PERCENT / 100).max(1)
    }

    /// Opens hosts to further runs whose trials have ended.
    pub(super) fn end_trials(&mut self, now: TimeMs) {
        let ended = self.hosts.iter().filter(|(_, host)| host.trial_until.is_some() && !host.has_trial(now));
        let ended: Vec<_> = ended.map(|(name, _)| name.clone()).collect();
        for name in ended {
            if let Some(host) = self.hosts.get_mut(&name) {
                host.trial_until = None;
            }
            self.host_changed(&name);
        }
    }

    /// Releases the hosts that are set aside for tasks that do not wait for them any more, and matches those again on
    /// which a trial may begin now. Linear in the number of hosts and in that of waiting tasks on trial.
    pub(super) fn check_trial_hosts(&mut self, now: TimeMs) {
        let mut waits = std::mem::take(&mut self.trial_waits);
        waits.retain(|task, _| self.has_turn(task));
        self.trial_waits = waits;
        let reserved: Vec<_> =
            self.hosts.iter().filter_map(|(name, host)| Some((name.clone(), host.reserved_for?))).collect();
        for (name, task) in reserved {
            if !self.awaits_host(&task, &name) {
                self.release_hosts(&task, &BTreeSet::new());
                self.matched_steps.remove(&StepRef { job: task.job, occurrence: task.occurrence, step: task.step });
            } else if self.can_begin_trial(&name, now) {
                self.host_changed(&name);
            }
        }
    }

    /// Whether a task waits and its step is ready.
    fn has_turn(&self, task: &TaskRef) -> bool {
        let step = StepRef { job: task.job, occurrence: task.occurrence, step: task.step };
        self.jobs.get(&task.job).is_some_and(|job| {
            let is_waiting = job.progress.task(task).is_some_and(|task| task.state == TaskState::Waiting);
            is_waiting && job.ready.iter().any(|key| key.step == step)
        })
    }

    /// Whether a task on trial waits and could run on a host that is set aside for it.
    fn awaits_host(&self, task: &TaskRef, name: &HostName) -> bool {
        let Some(job) = self.jobs.get(&task.job).filter(|_| self.has_turn(task)) else { return false };
        let Some(step) = job.spec.steps.get(task.step as usize) else { return false };
        let service = &self.settings(&job.spec).service;
        self.hosts.get(name).is_some_and(|host| host.can_run(task, step, service, &self.zones_out))
    }

    /// The hosts that are set aside for a task or for its gang. Linear in the number of hosts.
    fn reserved_hosts(&self, holder: &TaskRef) -> BTreeSet<HostName> {
        let reserved = self.hosts.iter().filter(|(_, host)| host.reserved_for == Some(*holder));
        reserved.map(|(name, _)| name.clone()).collect()
    }

    /// Sets exactly these hosts aside for a task or for its gang.
    fn reserve_hosts(&mut self, holder: &TaskRef, names: &BTreeSet<HostName>) {
        self.release_hosts(holder, names);
        for name in names {
            if let Some(host) = self.hosts.get_mut(name) {
                host.reserved_for = Some(*holder);
            }
        }
    }

    /// Releases the hosts that are set aside for a task or for its gang, except the `kept` ones. Linear in the number of
    /// hosts.
    pub(super) fn release_hosts(&mut self, holder: &TaskRef, kept: &BTreeSet<HostName>) {
        for name in self.reserved_hosts(holder).difference(kept) {
            if let Some(host) = self.hosts.get_mut(name) {
                host.reserved_for = None;
            }
            self.host_changed(name);
        }
    }
}
