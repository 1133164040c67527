/*!
Waiting tasks and the workers that they are placed on.

The decisions are the core's; this module feeds them with heartbeats and folded events.

BREADCRUMBS: `placing` carries the decisions out, and `remedies` looks after what runs.
*/

use std::collections::{BTreeMap, HashMap, HashSet};

use fescuelead_core::{
    cell::{CellEvent, CellState, Task, TaskPhase},
    config::ConfigState,
    estimate::Estimates,
    ids::{AgentId, AttemptRef, EntryRef, ProfileName, TaskId, TeamId},
    interference::{Classes, Interference, InterferenceSettings},
    placement::{Decision, Demand, NeverReason, Placer, Quotas, Resident, View, WorkerKey, WorkerTable, WorkerUpdate},
    profile::{Kind, ProfileSet, Spread},
    queue::{Next, Queue, QueuedTask, WaitingKey},
    runner::Command,
    suspect::{SuspectSettings, Suspicions, TrustLevel},
    units::{Resources, TimeMs},
};
use fescuelead_wire::messages::{AgentHello, Heartbeat};

use crate::entry::control::{
    activity::Activity,
    remedies::{Neighbour, RemedyState},
};

/// The time between two looks for workers that have been proven healthy.
const PROOFS_MS: u64 = 1_000;
/// How long a task waits before another worker is tried.
pub(super) const PARK_MS: u64 = 100;
/// An entry that ranks lower for a task leaves it this long, for each place in the ranking, to those before it.
const RANK_DELAY_MS: u64 = 2_000;
/// How long an entry must have known its workers before it says that a task can never run.
pub(super) const KNOWLEDGE_MS: u64 = 10_000;

/// The quantile of the estimates that rank workers.
const RANK_QUANTILE: f64 = 0.9;
/// A service that is slowed down by less is not counted as disturbed.
const NOTICEABLE_SLOWDOWN: f32 = 0.05;

pub(super) struct Scheduler {
    me: EntryRef,
    started_at: TimeMs,
    pub(super) queue: Queue,
    pub(super) due: BTreeMap<(TimeMs, TaskId), ()>,
    pub(super) placing: HashMap<AttemptRef, WorkerKey>,
    pub(super) orders: HashMap<AgentId, Vec<Command>>,
    pub(super) reasons: HashMap<TaskId, String>,
    failed_on: HashMap<TaskId, Vec<WorkerKey>>,
    pub(super) profiles: std::sync::Arc<ProfileSet>,
    placer: Placer,
    pub(super) table: WorkerTable,
    pub(super) classes: Classes,
    pub(super) interference: Interference,
    suspicions: Suspicions,
    /// Workers that tasks run on, as far as they may prove them healthy.
    trials: HashMap<TaskId, WorkerKey>,
    proofs_at: TimeMs,
    estimates: Estimates,
    quotas: Quotas,
    /// Tasks whose share of their team's quota is counted, fenced ones included.
    holding: HashSet<TaskId>,
    pub(super) remedies: RemedyState,
    activity: Activity,
}

impl Scheduler {
    pub(super) fn new(me: EntryRef, now: TimeMs) -> Self {
        Self {
            placer: Placer::new(me.incarnation),
            me,
            started_at: now,
            queue: Queue::new(),
            due: BTreeMap::new(),
            placing: HashMap::new(),
            orders: HashMap::new(),
            reasons: HashMap::new(),
            failed_on: HashMap::new(),
            profiles: std::sync::Arc::default(),
            table: WorkerTable::new(),
            classes: Classes::new(),
            interference: Interference::new(InterferenceSettings::default()),
            suspicions: Suspicions::new(SuspectSettings::default()),
            trials: HashMap::new(),
            proofs_at: now,
            estimates: Estimates::new(),
            quotas: Quotas::new(),
            holding: HashSet::new(),
            remedies: RemedyState::new(now),
            activity: Activity::default(),
        }
    }

    pub(super) fn set_config(&mut self, config: &ConfigState, quotas: BTreeMap<TeamId, Resources>, now: TimeMs) {
        self.profiles = std::sync::Arc::clone(config.set());
        self.quotas.set_quotas(quotas);
        for zone in config.zones_out() {
            self.table.set_zone_out(zone, true, now);
        }
        for item in config.history() {
            if let fescuelead_core::config::Change::Zone { availability_zone, .. } = &item.change {
                self.table.set_zone_out(availability_zone, config.is_out(availability_zone), now);
            }
        }
        self.queue.unpark_all();
    }

    /// Orders for an agent beside those that the log implies.
    pub(super) fn take_orders(&mut self, agent: &AgentId) -> Vec<Command> {
        self.orders.remove(agent).unwrap_or_default()
    }

    /// Why a task waits, in words.
    pub(super) fn reason(&self, task: &TaskId) -> Option<&str> {
        self.reasons.get(task).map(String::as_str)
    }

    /// Whether the worker of an agent takes nothing because of what failed there.
    pub(super) fn is_suspected(&self, agent: &AgentId, now: TimeMs) -> bool {
        let worker = self.table.key(agent);
        worker.is_some_and(|worker| {
            matches!(self.suspicions.trust_level(worker, now), TrustLevel::Suspected { .. } | TrustLevel::ProbeDue)
        })
    }

    /// The profiles of services that share a worker with one that slows them down noticeably, and which one that is.
    pub(super) fn harmed(&self, now: TimeMs) -> HashMap<ProfileName, ProfileName> {
        let mut worst: HashMap<_, (f32, _)> = HashMap::new();
        for (_, worker) in self.table.iter() {
            for victim in worker.residents.iter().filter(|resident| resident.kind == Kind::LatencyCritical) {
                for other in worker.residents.iter().filter(|other| other.class != victim.class) {
                    let slowdown = self.interference.effect(victim.class, other.class, now).mean * other.weight;
                    let known = self.interference.is_known(victim.class, other.class, now);
                    let place = worst.entry(victim.class).or_insert((0.0, other.class));
                    if known && slowdown >= NOTICEABLE_SLOWDOWN && slowdown > place.0 {
                        *place = (slowdown, other.class);
                    }
                }
            }
        }
        let found = worst.into_iter().filter(|(_, (slowdown, _))| *slowdown > 0.0);
        let names = found.map(|(victim, (_, by))| Some((self.classes.name(victim)?, self.classes.name(by)?)));
        names.flatten().map(|(victim, by)| (victim.clone(), by.clone())).collect()
    }

    pub(super) fn waiting(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn on_event(&mut self, event: &CellEvent, cell: &CellState, now: TimeMs) {
        match event {
            CellEvent::Submitted { task } => self.enqueue(task, cell, now),
            CellEvent::Stopped { attempt } => {
                self.trial_over(&attempt.task, false);
                self.left(&attempt.task, cell);
                self.enqueue(&attempt.task, cell, now);
            }
            CellEvent::Fenced { attempt, .. } => {
                self.trial_over(&attempt.task, false);
                let wait_ms = self.profiles.lease.lengthened_ms(self.profiles.lease.lease_ms);
                self.due.insert((now.plus_ms(wait_ms), attempt.task.clone()), ());
            }
            CellEvent::Assigned { attempt, runner } => self.assigned(attempt, &runner.agent, cell, now),
            CellEvent::Ended { task, phase } => {
                self.trial_over(task, *phase == TaskPhase::Succeeded);
                self.ended(task, cell);
            }
            CellEvent::AssignmentLost { attempt, agent } => {
                log::debug!("entry: assignment of {attempt} to {agent} lost.");
                if self.placing.remove(attempt).is_some() {
                    self.due.insert((now.plus_ms(PARK_MS), attempt.task.clone()), ());
                }
            }
            _ => {}
        }
    }

    /// Starts again from a cell that a snapshot has replaced.
    pub(super) fn restore(&mut self, cell: &CellState, now: TimeMs) {
        self.queue = Queue::new();
        self.due.clear();
        self.placing.clear();
        self.holding = cell.tasks().filter(|task| task.runner().is_some()).map(|task| task.id.clone()).collect();
        self.quotas.recount([cell]);
        let lease = self.profiles.lease;
        let fence_ms = lease.lengthened_ms(lease.lease_ms);
        for task in cell.tasks().filter(|task| task.next_attempt().is_some()) {
            match task.runner() {
                Some(_) => {
                    self.due.insert((now.plus_ms(fence_ms), task.id.clone()), ());
                }
                None => self.enqueue(&task.id, cell, now),
            }
        }
    }

    fn enqueue(&mut self, id: &TaskId, cell: &CellState, now: TimeMs) {
        let Some(task) = cell.task(id) else { return };
        let delay_ms = self.rank_delay_ms(id, cell);
        if delay_ms > 0 {
            self.due.insert((now.plus_ms(delay_ms), id.clone()), ());
            return;
        }
        self.push(task, now);
    }

    fn push(&mut self, task: &Task, now: TimeMs) {
        if self.queue.key(&task.id).is_some() || task.next_attempt().is_none() {
            return;
        }
        let waiting = QueuedTask {
            task: task.id.clone(),
            kind: task.spec.kind,
            priority: task.spec.priority,
            team: task.spec.team.clone(),
            class: self.classes.intern(&task.spec.profile),
            resources: task.spec.resources,
            since: now,
        };
        if task.evictions > 0 {
            self.queue.push_front(waiting)
        } else {
            self.queue.push(waiting)
        };
    }

    /// Whether this entry, and no other, looks after an agent. Two that do for a moment cost only a repeated order.
    pub(super) fn looks_after(&self, agent: &AgentId, cell: &CellState) -> bool {
        self.ranks_first(agent.as_str(), cell)
    }

    /// Whether this entry ranks first of the registered ones for `subject`.
    pub(super) fn ranks_first(&self, subject: &str, cell: &CellState) -> bool {
        self.entries_before(subject, cell) == 0
    }

    /// Entries place different tasks: each task has a ranking of the entries by rendezvous hash, and an entry that is not
    /// the first steps in only if those before it have not placed the task. Two that place the same task do no harm, but
    /// cost a reservation and a record.
    fn rank_delay_ms(&self, task: &TaskId, cell: &CellState) -> u64 {
        self.entries_before(task.as_str(), cell) * RANK_DELAY_MS
    }

    /// How many registered entries rank before this one for `subject`, by rendezvous hash.
    fn entries_before(&self, subject: &str, cell: &CellState) -> u64 {
        let score = |entry: &EntryRef| {
            xxhash_rust::xxh3::xxh3_64(format!("{subject}\n{}\n{}", entry.entry, entry.incarnation).as_bytes())
        };
        let own = score(&self.me);
        let (members, candidates) = (cell.fencers().members(), cell.fencers().candidates());
        members.chain(candidates).filter(|entry| **entry != self.me && score(entry) > own).count() as u64
    }

    fn assigned(&mut self, attempt: &AttemptRef, agent: &AgentId, cell: &CellState, now: TimeMs) {
        self.queue.cancel(&attempt.task);
        self.reasons.remove(&attempt.task);
        self.placing.remove(attempt);
        if let Some(worker) = self.table.key(agent) {
            self.suspicions.started(worker, &attempt.task, now);
            self.trials.insert(attempt.task.clone(), worker);
        }
        if let Some(task) = cell.task(&attempt.task)
            && self.holding.insert(task.id.clone())
        {
            self.quotas.hold(&task.spec.team, &task.spec.resources);
        }
    }

    /// A task runs no more where it was last assigned. The report of that may have gone to another entry only, so the log
    /// counts here as well.
    fn trial_over(&mut self, task: &TaskId, succeeded: bool) {
        if let Some(worker) = self.trials.remove(task) {
            self.suspicions.ended(worker, task, succeeded);
        }
    }

    /// Lets tasks that have run for long prove their workers healthy.
    pub(super) fn prove_workers(&mut self, now: TimeMs) {
        if now >= self.proofs_at {
            self.suspicions.tick(now);
            self.proofs_at = now.plus_ms(PROOFS_MS);
        }
    }

    /// Gives back a task's share of its team's quota.
    fn left(&mut self, id: &TaskId, cell: &CellState) {
        if let Some(task) = cell.task(id)
            && self.holding.remove(id)
        {
            self.quotas.release(&task.spec.team, &task.spec.resources);
            self.queue.unpark_all();
        }
    }

    fn ended(&mut self, id: &TaskId, cell: &CellState) {
        self.queue.cancel(id);
        self.reasons.remove(id);
        self.failed_on.remove(id);
        self.left(id, cell);
    }

    pub(super) fn on_heartbeat(&mut self, hello: &AgentHello, heartbeat: &Heartbeat, cell: &CellState, now: TimeMs) {
        let mut residents: HashMap<_, Resident> = HashMap::new();
        let mut expected_use = Resources::ZERO;
        for running in &heartbeat.running {
            let class = self.classes.intern(&running.profile);
            let profile = self.profiles.profiles.get(&running.profile);
            let kind = profile.map_or(Kind::Batch, |profile| profile.kind);
            let weight = f32::from(running.throttle_percent) / 100.0;
            let resident =
                residents.entry(class).or_insert(Resident { class, kind, weight: 0.0, misses_slo: false, budget: 0.0 });
            resident.weight += weight;
            expected_use = expected_use.plus(&self.estimates.size(class, running.resources, RANK_QUANTILE));
        }
        let mut services = Vec::new();
        let alone = heartbeat.running.is_empty();
        for endpoint in heartbeat.endpoints.iter().filter(|endpoint| !endpoint.leaving) {
            let observed = self.activity.observe(&hello.agent, endpoint, alone, now);
            // Nothing is measured of a service without requests, and none of its callers can be harmed.
            if !observed.active {
                continue;
            }
            if let Some((name, profile)) = self.service_profile(endpoint.service.as_str()) {
                let class = self.classes.intern(&name);
                services.push(Neighbour { class, reading: observed.reading, weights: profile.weights });
                let budget = fescuelead_core::placement::slowdown_budget(&profile.weights);
                let kind = profile.kind;
                residents.insert(class, Resident { class, kind, weight: 1.0, misses_slo: false, budget });
            }
        }
        let update = WorkerUpdate {
            agent: hello.agent.clone(),
            availability_zone: hello.availability_zone.clone(),
            rack: hello.rack.clone(),
            capacity: hello.capacity,
            free: heartbeat.sync.free,
            expected_use,
            residents: residents.into_values().collect(),
        };
        let weights = update.residents.iter().map(|resident| (resident.class, resident.weight)).collect();
        let worker = self.table.update(update, now);
        self.interference.record_composition(worker, weights, now);
        self.learn(worker, heartbeat, now);
        self.remedy(worker, hello, heartbeat, &services, cell, now);
        for report in &heartbeat.sync.reports {
            self.judge(worker, report, cell, now);
        }
    }

    pub(super) fn service_profile(
        &self,
        service: &str,
    ) -> Option<(fescuelead_core::ids::ProfileName, fescuelead_core::profile::Profile)> {
        let (_, picked) = self.profiles.services.iter().find(|(name, _)| name.as_str() == service)?;
        Some((picked.profile.clone(), self.profiles.profiles.get(&picked.profile)?.clone()))
    }

    /// Learns sizes and pairwise slowdowns from usage, which comes late.
    fn learn(&mut self, worker: WorkerKey, heartbeat: &Heartbeat, now: TimeMs) {
        for usage in &heartbeat.usage {
            let class = self.classes.intern(&usage.profile);
            self.estimates.observe_usage(class, usage.cpu_milli, usage.memory_mib);
            let end = TimeMs(now.0.saturating_sub(usage.age_ms));
            let start = TimeMs(end.0.saturating_sub(usage.interval_ms));
            self.interference.observe(worker, class, 1.0, (start, end), usage.slowdown as f32);
        }
    }

    /// Judges a worker by how its attempts end. A report is repeated until it is in the log, so only those that the view
    /// does not show yet count.
    fn judge(&mut self, worker: WorkerKey, report: &fescuelead_core::runner::Report, cell: &CellState, now: TimeMs) {
        use fescuelead_core::{record::Outcome, runner::Report};

        let attempt = report.attempt();
        let open = cell.task(&attempt.task).is_some_and(|t| t.attempt == attempt.attempt && t.runner().is_some());
        match report {
            Report::Finished { outcome, .. } if open => match outcome {
                Outcome::Succeeded => self.suspicions.ended(worker, &attempt.task, true),
                Outcome::Failed { .. } => {
                    self.suspicions.failed(worker, &attempt.task, now);
                    let workers = self.failed_on.entry(attempt.task.clone()).or_default();
                    if !workers.contains(&worker) {
                        workers.push(worker);
                    }
                }
            },
            Report::Stopped { .. } if open => self.suspicions.ended(worker, &attempt.task, false),
            _ => {}
        }
    }

    pub(super) fn forget_worker(&mut self, agent: &AgentId) {
        if let Some(worker) = self.table.remove(agent) {
            self.activity.forget(agent);
            self.interference.remove(worker);
            self.suspicions.remove(worker);
        }
    }

    /// Whether a task of this shape can never run here, as far as the entry has known its workers long enough.
    pub(super) fn never_runs(&mut self, spec: &fescuelead_core::record::TaskSpec, now: TimeMs) -> Option<NeverReason> {
        let demand = self.demand(spec, None);
        match self.decide(&demand, now) {
            Decision::Never { reason: reason @ NeverReason::QuotaTooSmall { .. } } => Some(reason),
            Decision::Never { reason } if now.since_ms(self.started_at) >= KNOWLEDGE_MS => Some(reason),
            _ => None,
        }
    }

    pub(super) fn demand(&mut self, spec: &fescuelead_core::record::TaskSpec, id: Option<&TaskId>) -> Demand {
        let class = self.classes.intern(&spec.profile);
        let spread = self.profiles.profiles.get(&spec.profile).map_or(Spread::None, |profile| profile.spread);
        Demand {
            class,
            kind: spec.kind,
            team: spec.team.clone(),
            declared: spec.resources,
            expected: self.estimates.size(class, spec.resources, RANK_QUANTILE),
            spread,
            avoid: id.and_then(|id| self.failed_on.get(id)).cloned().unwrap_or_default(),
        }
    }

    pub(super) fn decide(&mut self, demand: &Demand, now: TimeMs) -> Decision {
        let view = View {
            table: &self.table,
            interference: &self.interference,
            suspicions: &self.suspicions,
            quotas: &self.quotas,
        };
        self.placer.place(demand, &view, now)
    }

    pub(super) fn release_due(&mut self, cell: &CellState, now: TimeMs) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let ((_, id), ()) = entry.remove_entry();
            if let Some(task) = cell.task(&id) {
                self.push(task, now);
            }
        }
    }

    pub(super) fn next_waiting(&mut self, now: TimeMs) -> Option<WaitingKey> {
        [Kind::LatencyCritical, Kind::LongRunning, Kind::Batch].into_iter().find_map(|kind| {
            loop {
                match self.queue.next(kind, now) {
                    Next::Task(key) => return Some(key),
                    Next::More => {}
                    Next::Idle => return None,
                }
            }
        })
    }

    pub(super) fn park(&mut self, key: WaitingKey, reason: String, now: TimeMs) {
        if let Some(waiting) = self.queue.get(key) {
            self.reasons.insert(waiting.task.clone(), reason);
        }
        self.queue.park(key, now.plus_ms(PARK_MS));
    }
}

#[cfg(test)]
mod tests {
    use fescuelead_core::{
        ids::EntryId,
        record::Record,
        record::{Batch, FenceReason, Outcome},
        testing,
    };

    use super::*;

    /// Guards against a task that counts twice against its team's quota when it is assigned again after a fence.
    #[test]
    fn a_task_holds_its_share_of_the_quota_once() {
        let (me, spec) = (EntryRef::new(EntryId::new("entry-a").expect("valid id"), 1), testing::task_spec());
        let task = TaskId::new("c0-t").expect("valid id");
        let agent = AgentId::new("agent-1").expect("valid id");
        let assigned =
            |attempt| Record::TaskAssigned { task: task.clone(), attempt, agent: agent.clone(), agent_incarnation: 1 };
        let before_end = [
            Record::EntryRegistered { peer_address: "127.0.0.1:1".to_owned() },
            Record::FencerAdmitted,
            Record::TaskSubmitted { task: task.clone(), spec: spec.clone() },
            assigned(1),
            Record::AttemptFenced { task: task.clone(), attempt: 1, reason: FenceReason::AgentLost },
            assigned(2),
        ];
        let end = Record::AttemptFinished { task: task.clone(), attempt: 2, outcome: Outcome::Succeeded };
        let (mut cell, mut scheduler) = (CellState::new(0), Scheduler::new(me.clone(), TimeMs(0)));
        let mut fold = |scheduler: &mut Scheduler, offset: u64, record: Record| {
            let batch = Batch::new(me.entry.clone(), 1, offset + 1).with_record(record);
            let events = cell.apply(offset, &batch);
            events.iter().for_each(|event| scheduler.on_event(event, &cell, TimeMs(0)));
        };
        (0..).zip(before_end).for_each(|(offset, record)| fold(&mut scheduler, offset, record));
        assert_eq!(scheduler.quotas.held(&spec.team), spec.resources);
        fold(&mut scheduler, 6, end);
        assert_eq!(scheduler.quotas.held(&spec.team), Resources::ZERO);
    }

    /// Guards against a worker that gets no more than a few tasks until one of them has ended, which may take days.
    #[test]
    fn a_worker_whose_tasks_run_on_is_trusted() {
        let mut scheduler = Scheduler::new(EntryRef::new(EntryId::new("entry-a").expect("valid id"), 1), TimeMs(0));
        let worker = scheduler.table.update(
            WorkerUpdate {
                agent: AgentId::new("agent-1").expect("valid id"),
                availability_zone: fescuelead_core::ids::AvailabilityZone::new("az-1").expect("valid id"),
                rack: fescuelead_core::ids::RackId::new("rack-1").expect("valid id"),
                capacity: Resources::new(30_000, 128_000),
                free: Resources::new(30_000, 128_000),
                expected_use: Resources::ZERO,
                residents: Vec::new(),
            },
            TimeMs(0),
        );
        for number in 0..SuspectSettings::default().unproven_starts {
            scheduler.suspicions.started(worker, &TaskId::new(format!("c0-{number}")).expect("valid id"), TimeMs(0));
        }
        assert!(!scheduler.suspicions.trust_level(worker, TimeMs(0)).may_start());
        let proven = TimeMs(SuspectSettings::default().proof_ms);
        scheduler.prove_workers(proven);
        assert!(scheduler.suspicions.trust_level(worker, proven).may_start());
    }
}
