//! Where waiting tasks go.

use std::{collections::BTreeSet, sync::Arc};

use super::{Effect, Moment, ReadyKey, Scheduler};
use crate::{
    interference::ClassId,
    jobs::{
        hosts::HostName,
        image_interference::ImageInterference,
        progress::TaskState,
        spec::{JobSpec, StepSpec, TaskRef},
    },
    units::{Resources, TimeMs},
};

/// How often waiting steps are compared with all hosts, in milliseconds: suspicions end in time, and pairs of images are learned.
const PLACE_MS: u64 = 250;
/// A job of which nothing runs for this long starts a background task even where no processors are left for it, in
/// milliseconds. Slow progress shows its clients more than none.
const IDLE_MS: u64 = 1_000;

/// Subtracted from the score of a host on which the task has failed: more than all but avoidance.
const FAILED_HERE_PENALTY: i64 = 5_000;
/// A background task waits for a host that lets it run at this speed at least, in percent.
const LEAST_SPEED_PERCENT: u32 = 75;

/// What the tasks of a step want of a host.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wanted<'s> {
    step: &'s StepSpec,
    image: Option<ClassId>,
    service: &'s str,
    label: Option<&'s str>,
    /// The least speed of a background task, in percent.
    least_speed_percent: u32,
}

impl<'s> Wanted<'s> {
    /// A host of `service` with room for a task of `step`.
    pub fn new(step: &'s StepSpec, service: &'s str, disturbances: &mut ImageInterference) -> Self {
        let image = step.image.as_deref().map(|image| disturbances.image_id(image));
        Self { step, image, service, label: None, least_speed_percent: LEAST_SPEED_PERCENT }
    }

    /// The host has to have this label.
    pub fn with_label(self, label: Option<&'s str>) -> Self {
        Self { label, ..self }
    }

    /// The host has to let a background task run at this speed, in percent.
    pub fn with_least_speed(self, least_speed_percent: u32) -> Self {
        Self { least_speed_percent, ..self }
    }
}

/// A host that can take a task.
#[derive(Debug)]
struct Candidate {
    host: HostName,
    score: i64,
}

impl Candidate {
    /// The score for a task that has failed on these hosts.
    fn score(&self, failed_on: Option<&BTreeSet<HostName>>) -> i64 {
        let failed_here = failed_on.is_some_and(|hosts| hosts.contains(&self.host));
        self.score - if failed_here { FAILED_HERE_PENALTY } else { 0 }
    }
}

impl Scheduler {
    /// Places waiting tasks, the most urgent first. A step that does not fit does not hold up the ones behind it. Linear in the
    /// waiting steps times the hosts that have changed, and now and then times all hosts.
    pub(super) fn place(&mut self, now: Moment) {
        let all = now.at >= self.place_at;
        if !std::mem::take(&mut self.place_again) && !all {
            return;
        }
        if all {
            self.place_at = now.at.plus_ms(PLACE_MS);
            self.compared.clear();
        }
        let changed = std::mem::take(&mut self.changed_hosts);
        let mut keys: Vec<_> = self.ready.iter().copied().collect();
        keys.sort_by_key(|key| key.rank(now));
        for key in keys {
            self.place_step(&key, &changed, now.at);
        }
    }

    fn place_step(&mut self, key: &ReadyKey, changed: &BTreeSet<HostName>, now: TimeMs) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let spec = job.spec.clone();
        let Some(step) = spec.steps.get(key.step as usize) else { return };
        let service = self.settings(&spec).service.clone();
        let tasks = &job.progress.occurrences[key.occurrence as usize][key.step as usize];
        let task_ref =
            |index: usize| TaskRef { job: key.job, occurrence: key.occurrence, step: key.step, index: index as u32 };
        let waiting: Vec<_> = tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.state == TaskState::Waiting)
            .map(|(index, task)| (task_ref(index), task.run))
            .collect();
        let idle = job.idle_since.is_some_and(|since| now.since_ms(since) >= IDLE_MS);
        let tasks = tasks.len();
        let changed = (!self.compared.insert(*key)).then_some(changed);
        let wanted = Wanted::new(step, &service, &mut self.disturbances);
        if step.gang {
            self.place_gang(&spec, &wanted, &waiting, tasks, now);
        } else {
            self.place_tasks(&spec, &wanted, &waiting, changed, idle, now);
        }
        let still_waits = self.jobs[&key.job].progress.occurrences[key.occurrence as usize][key.step as usize]
            .iter()
            .any(|task| task.state == TaskState::Waiting);
        if !still_waits {
            self.ready.remove(key);
            self.compared.remove(key);
        }
    }

    /// Places the tasks of a step one by one, each on the best host: of those that have `changed`, or of all. Linear in these, and
    /// in the tasks times the hosts that can take one.
    fn place_tasks(
        &mut self,
        spec: &Arc<JobSpec>,
        wanted: &Wanted<'_>,
        waiting: &[(TaskRef, u32)],
        changed: Option<&BTreeSet<HostName>>,
        idle: bool,
        now: TimeMs,
    ) {
        let Some((first, _)) = waiting.first() else { return };
        let candidate = |name| self.candidate(name, first, wanted, now);
        let mut candidates: Vec<_> = match changed {
            Some(changed) => changed.iter().filter_map(candidate).collect(),
            None => self.hosts.keys().filter_map(candidate).collect(),
        };
        for (nth, (task, run)) in waiting.iter().enumerate() {
            let failed_on = self.jobs.get(&task.job).and_then(|job| job.failed_on.get(task));
            let best = candidates.iter().enumerate().max_by_key(|(_, candidate)| candidate.score(failed_on));
            let best = best.map(|(index, candidate)| (Some(index), candidate.host.clone()));
            let (index, host) = match best {
                Some(best) => best,
                None if changed.is_some() => break,
                None => match self.slow_host(task, wanted, idle, nth == 0, now) {
                    Some(host) => (None, host),
                    None => break,
                },
            };
            self.assign(task, run + 1, host.clone(), spec);
            if let Some(index) = index {
                match self.candidate(&host, task, wanted, now) {
                    Some(candidate) => candidates[index] = candidate,
                    None => _ = candidates.remove(index),
                }
            }
        }
    }

    /// A host for a background task that no host lets run at the least speed: for the first task of a job of which nothing runs,
    /// or while most of the service is free.
    fn slow_host(&self, task: &TaskRef, wanted: &Wanted<'_>, idle: bool, first: bool, now: TimeMs) -> Option<HostName> {
        if !wanted.step.background {
            return None;
        }
        let starts_idle_job = idle && first;
        if !starts_idle_job && !self.is_mostly_free(wanted.service) {
            return None;
        }
        let host = self.best_host(task, &wanted.with_least_speed(0), now)?;
        (starts_idle_job || self.hosts[&host].has_uncommitted(wanted.step)).then_some(host)
    }

    /// A host that can take a task, and how good it is.
    fn candidate(&self, name: &HostName, task: &TaskRef, wanted: &Wanted<'_>, now: TimeMs) -> Option<Candidate> {
        let host = self.hosts.get(name)?;
        if !host.can_take(task, wanted.step, wanted.service, &self.zones_out) {
            return None;
        }
        let mut speed_percent = 100;
        if wanted.step.background {
            speed_percent = host.background_speed_percent(wanted.step, wanted.image, &self.disturbances);
            if speed_percent < wanted.least_speed_percent {
                return None;
            }
        }
        Some(Candidate { host: name.clone(), score: host.score(wanted.step, speed_percent, now) })
    }

    /// Whether less than half of the processors and of the memory of a service is committed. Linear in the number of hosts.
    fn is_mostly_free(&self, service: &str) -> bool {
        let (mut used, mut total) = (Resources::ZERO, Resources::ZERO);
        for host in self.hosts.values() {
            if let Some(info) = host.info.as_ref().filter(|info| info.service == service) {
                used = used.plus(&host.used());
                total = total.plus(&info.capacity);
            }
        }
        used.cpu_milli < total.cpu_milli / 2 && used.memory_mib < total.memory_mib / 2
    }

    /// Places all tasks of a gang at once or none. They share the number of the run.
    fn place_gang(
        &mut self,
        spec: &Arc<JobSpec>,
        wanted: &Wanted<'_>,
        waiting: &[(TaskRef, u32)],
        tasks: usize,
        now: TimeMs,
    ) {
        let step = wanted.step;
        // Members of the last run may still be ending.
        if waiting.len() < tasks {
            return;
        }
        let run = waiting.iter().map(|(_, run)| run).max().map_or(1, |run| run + 1);
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
            for (task, _) in waiting {
                let Some(host) = self.best_host(task, &wanted.with_label(rack.as_deref()), now) else {
                    break;
                };
                if let Some(host) = self.hosts.get_mut(&host) {
                    host.add(*task, run, step, wanted.image);
                }
                chosen.push((*task, host));
            }
            for (task, host) in &chosen {
                if let Some(host) = self.hosts.get_mut(host) {
                    host.remove(task);
                }
            }
            if chosen.len() == waiting.len() {
                for (task, host) in chosen {
                    self.assign(&task, run, host, spec);
                }
                return;
            }
        }
    }

    /// The best host that can take a task; linear in the number of hosts.
    pub(super) fn best_host(&self, task: &TaskRef, wanted: &Wanted<'_>, now: TimeMs) -> Option<HostName> {
        let failed_on = self.jobs.get(&task.job).and_then(|job| job.failed_on.get(task));
        self.hosts
            .iter()
            .filter(|(_, host)| {
                wanted.label.is_none_or(|label| host.info.as_ref().is_some_and(|info| info.labels.contains(label)))
            })
            .filter_map(|(name, _)| self.candidate(name, task, wanted, now))
            .max_by_key(|candidate| candidate.score(failed_on))
            .map(|candidate| candidate.host)
    }

    fn assign(&mut self, task: &TaskRef, run: u32, name: HostName, spec: &Arc<JobSpec>) {
        let Some(host) = self.hosts.get_mut(&name) else { return };
        let Some(incarnation) = host.incarnation else { return };
        let Some(step) = spec.steps.get(task.step as usize) else { return };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(progress) = job.progress.task_mut(task) else { return };
        let image = step.image.as_deref().map(|image| self.disturbances.image_id(image));
        host.add(*task, run, step, image);
        progress.run = run;
        job.assigned += 1;
        job.idle_since = None;
        progress.state = TaskState::Assigned { host: name.clone(), incarnation };
        let checkpoint = progress.checkpoint.clone();
        job.progress.begun = true;
        self.changed.insert(task.job);
        self.effects.push(Effect::Start { host: name, incarnation, task: *task, run, spec: spec.clone(), checkpoint });
    }
}
