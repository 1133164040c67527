//! Placement of waiting tasks on hosts.

use std::{collections::BTreeSet, sync::Arc};

use super::{
    Effect, Moment, ReadyKey, Scheduler, StepRef,
    reservations::{Backfill, Turn, Turns, committed},
    trials::holder,
};
use crate::{
    interference::ClassId,
    jobs::{
        hosts::{BackgroundFit, HostName},
        image_interference::ImageInterference,
        progress::TaskState,
        spec::{JobSpec, StepSpec, TaskRef},
    },
    units::{Resources, TimeMs},
};

/// How often waiting steps are matched against all hosts, in milliseconds. Hosts become eligible without an event of
/// their own, as the time for which they are avoided ends or as pairs of images are learned.
const FULL_PLACEMENT_MS: u64 = 250;
/// A job without runs for this long may start a background task even on a host without free processors, in
/// milliseconds: for its clients, slow progress is better than none.
const MAX_IDLE_MS: u64 = 1_000;

/// Subtracted from the score of a host on which the task has failed or met a crash. Outweighs all other terms except the
/// one for hosts to be avoided.
const FAILED_HERE_PENALTY: i64 = 5_000;
/// A background task waits until a host offers at least this speed, in percent.
const MIN_SPEED_PERCENT: u32 = 75;

/// The requirements of the tasks of a step on a host.
#[derive(Debug, Clone, Copy)]
pub(super) struct Requirements<'s> {
    pub step: &'s StepSpec,
    image: Option<ClassId>,
    pub service: &'s str,
    label: Option<&'s str>,
    /// The minimum expected speed of a background task, in percent.
    min_speed_percent: u32,
    /// A host that is not eligible.
    excluded: Option<&'s HostName>,
    /// What decides on the hosts on which room is reserved for other steps; `None` if there are none.
    backfill: Option<Backfill>,
    /// The hosts set aside for trials that are eligible; none otherwise.
    reserved_for: Option<TaskRef>,
    /// Whether only hosts set aside for `reserved_for` are eligible.
    only_reserved: bool,
    /// Whether a host is eligible for a task on trial before the trial may begin there.
    before_quiet: bool,
}

impl<'s> Requirements<'s> {
    /// Requires a host of `service` with enough free resources for a task of `step`.
    pub fn new(step: &'s StepSpec, service: &'s str, interference: &mut ImageInterference) -> Self {
        let image = step.image.as_deref().map(|image| interference.image_id(image));
        Self {
            step,
            image,
            service,
            label: None,
            min_speed_percent: MIN_SPEED_PERCENT,
            excluded: None,
            backfill: None,
            reserved_for: None,
            only_reserved: false,
            before_quiet: false,
        }
    }

    /// Additionally requires this label, if there is one.
    pub fn with_label(self, label: Option<&'s str>) -> Self {
        Self { label, ..self }
    }

    /// Excludes a host.
    pub fn with_excluded(self, host: &'s HostName) -> Self {
        Self { excluded: Some(host), ..self }
    }

    /// Allows hosts on which room is reserved for another step if that step is not delayed.
    pub fn with_backfill(self, backfill: Option<Backfill>) -> Self {
        Self { backfill, ..self }
    }

    /// Also allows the hosts that are set aside for this task on trial.
    pub fn with_reserved_for(self, holder: TaskRef) -> Self {
        Self { reserved_for: Some(holder), ..self }
    }

    /// Allows no other hosts than those of [`Self::with_reserved_for`].
    pub fn with_only_reserved(self) -> Self {
        Self { only_reserved: true, ..self }
    }

    /// Also allows hosts on which a trial may begin later, once nothing has started there for long enough.
    pub fn with_hosts_before_quiet(self) -> Self {
        Self { before_quiet: true, ..self }
    }

    fn allows_reservation(&self, reserved_for: Option<TaskRef>) -> bool {
        match reserved_for {
            Some(_) => reserved_for == self.reserved_for,
            None => !self.only_reserved,
        }
    }

    /// Requires at least this speed for a background task, in percent.
    pub fn with_min_speed(self, min_speed_percent: u32) -> Self {
        Self { min_speed_percent, ..self }
    }
}

/// A host that can run a task.
#[derive(Debug)]
pub(super) struct Candidate {
    pub host: HostName,
    score: i64,
    /// Subtracted from the score for a task on trial.
    trial_penalty: i64,
    /// Whether a run on trial may start on the host.
    quiet: bool,
}

impl Candidate {
    /// Whether the host may start the task now.
    pub fn accepts(&self, history: History<'_>) -> bool {
        self.quiet || !history.on_trial
    }

    /// The score for a task with earlier runs.
    pub fn score(&self, history: History<'_>) -> i64 {
        let failed_here = history.failed_on.is_some_and(|hosts| hosts.contains(&self.host));
        let failed_penalty = if failed_here { FAILED_HERE_PENALTY } else { 0 };
        self.score - failed_penalty - if history.on_trial { self.trial_penalty } else { 0 }
    }
}

/// What the earlier runs of a task mean for the choice of a host.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct History<'a> {
    /// The hosts on which runs have failed or met a crash.
    failed_on: Option<&'a BTreeSet<HostName>>,
    /// Whether the next run is on trial because endpoints have crashed right after earlier starts.
    pub on_trial: bool,
}

impl Scheduler {
    /// Assigns waiting tasks to hosts, the most urgent first. A step that does not fit does not delay the steps after
    /// it. Linear in the number of waiting steps times the number of changed hosts, or of all hosts every
    /// [`FULL_PLACEMENT_MS`].
    pub(super) fn place(&mut self, now: Moment) {
        let full = now.at >= self.full_placement_at;
        if !std::mem::take(&mut self.placement_needed) && !full {
            return;
        }
        if full {
            self.full_placement_at = now.at.plus_ms(FULL_PLACEMENT_MS);
            self.matched_steps.clear();
        }
        let changed = std::mem::take(&mut self.changed_hosts);
        let mut keys: Vec<_> = self.ready.iter().copied().collect();
        keys.sort_by_key(|key| key.scheduling_key(now));
        let mut turns = Turns::default();
        for key in keys {
            if let Some(turn) = self.place_step(&key, &changed, now) {
                self.note_turn(&mut turns, turn);
            }
        }
        self.finish_turns(&turns, full, now.at);
    }

    /// Assigns what it can of a step. Returns what became of the step; `None` if it does not exist.
    fn place_step(&mut self, key: &ReadyKey, changed: &BTreeSet<HostName>, now: Moment) -> Option<Turn> {
        let StepRef { job: id, occurrence, step: step_index } = key.step;
        let job = self.jobs.get(&id)?;
        let spec = job.spec.clone();
        let step = spec.steps.get(step_index as usize)?;
        let service = self.settings(&spec).service.clone();
        let tasks = &job.progress.occurrences[occurrence as usize][step_index as usize];
        let task_ref = |index: usize| TaskRef { job: id, occurrence, step: step_index, index: index as u32 };
        let waiting: Vec<_> = tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.state == TaskState::Waiting)
            .map(|(index, task)| (task_ref(index), task.run))
            .collect();
        let assigned = job.assigned;
        let idle = job.idle_since.is_some_and(|since| now.at.since_ms(since) >= MAX_IDLE_MS);
        let tasks = tasks.len();
        let changed = (!self.matched_steps.insert(key.step)).then_some(changed);
        let backfill = self.backfill(key.step);
        let requirements = Requirements::new(step, &service, &mut self.interference).with_backfill(backfill);
        if step.gang {
            self.place_gang(&spec, &requirements, &waiting, tasks, now.at);
        } else {
            self.place_tasks(&spec, &requirements, &waiting, changed, idle, now.at);
        }
        let has_waiting = self.jobs[&id].progress.occurrences[occurrence as usize][step_index as usize]
            .iter()
            .any(|task| task.state == TaskState::Waiting);
        let has_assigned = self.jobs[&id].assigned > assigned;
        if !has_waiting {
            self.ready.remove(key);
            self.matched_steps.remove(&key.step);
        } else if has_assigned {
            // The rest of a job that has begun is more urgent than before.
            self.refresh_job(id, now);
        }
        let (background, priority) = (step.background, self.settings(&spec).priority);
        let needed = committed(step.resources, background);
        let is_constrained = step.gang || step.label.is_some() || step.per_host.is_some();
        let step = key.step;
        Some(Turn { step, service, priority, background, needed, is_constrained, has_assigned, has_waiting })
    }

    /// Assigns the tasks of a step one by one, each to the best of the `changed` hosts, or of all hosts if that is
    /// `None`. Linear in the number of these hosts, and in the number of tasks times the number of candidates.
    fn place_tasks(
        &mut self,
        spec: &Arc<JobSpec>,
        requirements: &Requirements<'_>,
        waiting: &[(TaskRef, u32)],
        changed: Option<&BTreeSet<HostName>>,
        idle: bool,
        now: TimeMs,
    ) {
        let Some((first, _)) = waiting.first() else { return };
        let candidate = |name| self.candidate(name, first, requirements, now);
        let mut candidates: Vec<_> = match changed {
            Some(changed) => changed.iter().filter_map(candidate).collect(),
            None => self.hosts.keys().filter_map(candidate).collect(),
        };
        // Trials come first: their reserved hosts do not depend on whether the other tasks find one.
        let (trials, others): (Vec<_>, Vec<_>) =
            waiting.iter().partition(|(task, _)| self.history(task, requirements.step).on_trial);
        let is_first = |nth: usize| idle && nth == 0;
        for (nth, waiting) in trials.iter().enumerate() {
            let fallback = changed.is_none().then_some(is_first(nth));
            if let Some(closed) = self.place_on_trial(spec, requirements, waiting, &candidates, fallback, now) {
                candidates.retain(|candidate| candidate.host != closed);
            }
        }
        for (nth, (task, run)) in others.iter().enumerate() {
            let history = self.history(task, requirements.step);
            let best = candidates.iter().enumerate().max_by_key(|(_, candidate)| candidate.score(history));
            let best = best.map(|(index, candidate)| (Some(index), candidate.host.clone()));
            let (index, host) = match best {
                Some(best) => best,
                None if changed.is_some() => break,
                None => match self.fallback_host(task, requirements, is_first(trials.len() + nth), now) {
                    Some(host) => (None, host),
                    None => break,
                },
            };
            self.assign(task, run + 1, host.clone(), spec, now);
            if let Some(index) = index {
                match self.candidate(&host, task, requirements, now) {
                    Some(candidate) => candidates[index] = candidate,
                    None => _ = candidates.remove(index),
                }
            }
        }
    }

    /// The best host for a background task that no host can run at the minimum speed. Only for the first task of an
    /// idle job, or while most of the service is uncommitted.
    pub(super) fn fallback_host(
        &self,
        task: &TaskRef,
        requirements: &Requirements<'_>,
        starts_idle_job: bool,
        now: TimeMs,
    ) -> Option<HostName> {
        if !requirements.step.background {
            return None;
        }
        if !starts_idle_job && !self.is_mostly_uncommitted(requirements.service) {
            return None;
        }
        let host = self.best_host(task, &requirements.with_min_speed(0), now)?;
        (starts_idle_job || self.hosts[&host].has_uncommitted_cpu(requirements.step)).then_some(host)
    }

    /// The host with its score, or `None` if it cannot run the task.
    pub(super) fn candidate(
        &self,
        name: &HostName,
        task: &TaskRef,
        requirements: &Requirements<'_>,
        now: TimeMs,
    ) -> Option<Candidate> {
        let host = self.hosts.get(name)?;
        if host.has_trial(now) && !requirements.before_quiet {
            return None;
        }
        if !requirements.allows_reservation(host.reserved_for)
            || !host.can_run(task, requirements.step, requirements.service, &self.zones_out)
        {
            return None;
        }
        let Requirements { step, image, .. } = *requirements;
        if let Some(reservation) = &host.reservation
            && !reservation.allows(requirements.backfill, &committed(step.resources, step.background), now)
        {
            return None;
        }
        let mut fit = BackgroundFit::default();
        if step.background {
            fit = host.background_fit(step, image, &self.interference);
            if fit.speed_percent < requirements.min_speed_percent {
                return None;
            }
        }
        let score = host.score(step, image, fit, &self.interference, now);
        let quiet = host.is_quiet(now) && !host.has_trial(now);
        Some(Candidate { host: name.clone(), score, trial_penalty: host.trial_penalty(), quiet })
    }

    pub(super) fn history(&self, task: &TaskRef, step: &StepSpec) -> History<'_> {
        self.jobs.get(&task.job).map_or_else(History::default, |job| History {
            failed_on: job.failed_on.get(task),
            on_trial: self.is_on_trial(task, step.gang),
        })
    }

    /// Whether less than half of the processors and less than half of the memory of a service are committed. Linear in
    /// the number of hosts.
    fn is_mostly_uncommitted(&self, service: &str) -> bool {
        let (mut used, mut total) = (Resources::ZERO, Resources::ZERO);
        for host in self.hosts.values() {
            if let Some(info) = host.info.as_ref().filter(|info| info.service == service) {
                used = used.plus(&host.used());
                total = total.plus(&info.capacity);
            }
        }
        used.cpu_milli < total.cpu_milli / 2 && used.memory_mib < total.memory_mib / 2
    }

    /// Assigns all tasks of a gang or none. Their runs have the same number.
    fn place_gang(
        &mut self,
        spec: &Arc<JobSpec>,
        requirements: &Requirements<'_>,
        waiting: &[(TaskRef, u32)],
        tasks: usize,
        now: TimeMs,
    ) {
        let step = requirements.step;
        // Some members of the previous run may not have ended yet.
        if waiting.len() < tasks {
            return;
        }
        let run = waiting.iter().map(|(_, run)| run).max().map_or(1, |run| run + 1);
        let on_trial = waiting.iter().any(|(task, _)| self.history(task, step).on_trial);
        let chosen = if on_trial {
            self.gang_trial_hosts(waiting, requirements, now)
        } else {
            self.gang_hosts(waiting, requirements, now)
        };
        let Some(chosen) = chosen else { return };
        self.share_checkpoint(waiting);
        for (task, host) in chosen {
            self.assign(&task, run, host, spec, now);
        }
    }

    /// Gives all members of a gang the same checkpoint, if any of them has one. A stored record may lack some of them, and earlier
    /// versions stored one of its own for each.
    fn share_checkpoint(&mut self, members: &[(TaskRef, u32)]) {
        let Some((first, _)) = members.first() else { return };
        let Some(job) = self.jobs.get_mut(&first.job) else { return };
        let checkpoint = members.iter().find_map(|(task, _)| job.progress.task(task)?.checkpoint.clone());
        if let Some(checkpoint) = checkpoint {
            job.progress.keep_checkpoint(first, true, &checkpoint);
        }
    }

    /// A host for each member of a gang; `None` if not all members find one. Linear in the number of members times the
    /// number of hosts, and in the number of racks if the members need the same one.
    pub(super) fn gang_hosts(
        &mut self,
        waiting: &[(TaskRef, u32)],
        requirements: &Requirements<'_>,
        now: TimeMs,
    ) -> Option<Vec<(TaskRef, HostName)>> {
        let step = requirements.step;
        let mut racks: Vec<Option<String>> = vec![None];
        if step.same_rack {
            let labels: BTreeSet<_> = self
                .hosts
                .values()
                .filter_map(|host| host.info.as_ref())
                .flat_map(|info| info.labels.iter().cloned())
                .collect();
            racks = labels.into_iter().map(Some).chain([None]).collect();
        }
        for rack in racks {
            let mut chosen = Vec::new();
            for (task, run) in waiting {
                let Some(host) = self.best_host(task, &requirements.with_label(rack.as_deref()), now) else {
                    break;
                };
                if let Some(host) = self.hosts.get_mut(&host) {
                    host.add(*task, run + 1, step, requirements.image);
                }
                chosen.push((*task, host));
            }
            for (task, host) in &chosen {
                if let Some(host) = self.hosts.get_mut(host) {
                    host.remove(task);
                }
            }
            if chosen.len() == waiting.len() {
                return Some(chosen);
            }
        }
        None
    }

    /// The host with the highest score among those that can run a task. Linear in the number of hosts.
    pub(super) fn best_host(&self, task: &TaskRef, requirements: &Requirements<'_>, now: TimeMs) -> Option<HostName> {
        let history = self.history(task, requirements.step);
        self.hosts
            .iter()
            .filter(|(name, _)| requirements.excluded != Some(*name))
            .filter(|(_, host)| {
                requirements
                    .label
                    .is_none_or(|label| host.info.as_ref().is_some_and(|info| info.labels.contains(label)))
            })
            .filter_map(|(name, _)| self.candidate(name, task, requirements, now))
            .filter(|candidate| requirements.before_quiet || candidate.accepts(history))
            .max_by_key(|candidate| candidate.score(history))
            .map(|candidate| candidate.host)
    }

    pub(super) fn assign(&mut self, task: &TaskRef, run: u32, name: HostName, spec: &Arc<JobSpec>, now: TimeMs) {
        let Some(step) = spec.steps.get(task.step as usize) else { return };
        let on_trial = self.is_on_trial(task, step.gang);
        let Some(host) = self.hosts.get_mut(&name) else { return };
        let Some(incarnation) = host.incarnation else { return };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(progress) = job.progress.task_mut(task) else { return };
        let image = step.image.as_deref().map(|image| self.interference.image_id(image));
        host.add(*task, run, step, image);
        if let Some(placed) = host.tasks.get_mut(task) {
            placed.assigned_at = Some(now);
        }
        progress.run = run;
        job.assigned += 1;
        job.idle_since = None;
        progress.state = TaskState::Assigned { host: name.clone(), incarnation };
        let checkpoint = progress.checkpoint.clone();
        host.record_assignment(on_trial, now);
        self.record_run(task, run, &name, false, now);
        self.use_reserved_room(task, step, &name, now);
        self.changed.insert(task.job);
        if on_trial {
            let holder = holder(task, step);
            self.trial_waits.remove(&holder);
            self.release_hosts(&holder, &BTreeSet::new());
        }
        let (spec, reported) = (spec.clone(), false);
        self.effects.push(Effect::Start { host: name, incarnation, task: *task, run, spec, checkpoint, reported });
    }
}
