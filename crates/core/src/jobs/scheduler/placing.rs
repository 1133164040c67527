//! Where waiting tasks go.

use std::{collections::BTreeSet, sync::Arc};

use super::{Effect, Moment, ReadyKey, Scheduler};
use crate::{
    jobs::{
        hosts::HostName,
        progress::TaskState,
        spec::{JobSpec, StepSpec, TaskRef},
    },
    units::{Resources, TimeMs},
};

/// How often waiting tasks are looked at again when nothing has happened, in milliseconds: suspicions end in time.
const PLACE_MS: u64 = 250;
/// A job of which nothing runs for this long starts a background task even where no processors are left for it, in
/// milliseconds. Slow progress shows its clients more than none.
const IDLE_MS: u64 = 1_000;

/// A background task waits for a host that lets it run at this speed at least, in percent.
const LEAST_SPEED_PERCENT: u32 = 50;

impl Scheduler {
    /// Places waiting tasks, the most urgent first. A step that does not fit does not hold up the ones behind it.
    pub(super) fn place(&mut self, now: Moment) {
        if !std::mem::take(&mut self.place_again) && now.at < self.place_at {
            return;
        }
        self.place_at = now.at.plus_ms(PLACE_MS);
        let mut keys: Vec<_> = self.ready.iter().copied().collect();
        keys.sort_by_key(|key| key.rank(now));
        for key in keys {
            self.place_step(&key, now.at);
        }
    }

    fn place_step(&mut self, key: &ReadyKey, now: TimeMs) {
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
        if step.gang {
            self.place_gang(&spec, step, &service, &waiting, tasks.len(), now);
        } else {
            let idle = job.idle_since.is_some_and(|since| now.since_ms(since) >= IDLE_MS);
            let mostly_free = step.background && self.is_mostly_free(&service);
            let mut first = true;
            for (task, run) in &waiting {
                let mut host = self.best_host(task, step, &service, None, LEAST_SPEED_PERCENT, now);
                if host.is_none() && step.background && (mostly_free || (idle && first)) {
                    host = self.best_host(task, step, &service, None, 0, now);
                    if !idle || !first {
                        host = host.filter(|host| self.hosts[host].has_uncommitted(step));
                    }
                }
                first = false;
                let Some(host) = host else { break };
                self.assign(task, run + 1, host, &spec);
            }
        }
        let still_waits = self.jobs[&key.job].progress.occurrences[key.occurrence as usize][key.step as usize]
            .iter()
            .any(|task| task.state == TaskState::Waiting);
        if !still_waits {
            self.ready.remove(key);
        }
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
        step: &StepSpec,
        service: &str,
        waiting: &[(TaskRef, u32)],
        tasks: usize,
        now: TimeMs,
    ) {
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
                let Some(host) = self.best_host(task, step, service, rack.as_deref(), LEAST_SPEED_PERCENT, now) else {
                    break;
                };
                if let Some(host) = self.hosts.get_mut(&host) {
                    host.add(*task, run, step);
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
    fn best_host(
        &self,
        task: &TaskRef,
        step: &StepSpec,
        service: &str,
        label: Option<&str>,
        least_speed_percent: u32,
        now: TimeMs,
    ) -> Option<HostName> {
        let failed_on = self.jobs.get(&task.job).and_then(|job| job.failed_on.get(task));
        self.hosts
            .iter()
            .filter(|(_, host)| host.can_take(task, step, service, &self.zones_out))
            .filter(|(_, host)| {
                !step.background || host.background_speed_percent(step, &self.disturbances, now) >= least_speed_percent
            })
            .filter(|(_, host)| {
                label.is_none_or(|label| host.info.as_ref().is_some_and(|info| info.labels.contains(label)))
            })
            .max_by_key(|(name, host)| {
                let failed_here = failed_on.is_some_and(|hosts| hosts.contains(*name));
                host.score(step, &self.disturbances, now) - if failed_here { 5_000 } else { 0 }
            })
            .map(|(name, _)| name.clone())
    }

    fn assign(&mut self, task: &TaskRef, run: u32, name: HostName, spec: &Arc<JobSpec>) {
        let Some(host) = self.hosts.get_mut(&name) else { return };
        let Some(incarnation) = host.incarnation else { return };
        let Some(step) = spec.steps.get(task.step as usize) else { return };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(progress) = job.progress.task_mut(task) else { return };
        host.add(*task, run, step);
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
