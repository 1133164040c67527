/*!
What the control thread of an entry has decided and seen happen, kept for those who ask why.

Decisions go to the entry's [`Observer`](crate::entry::observe::Observer), whose memory is bounded. The journal itself
keeps only what is needed to tell what is new: a few words for each live task, agent and endpoint.
*/

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use fescuelead_core::{
    burn::{Action, Cause},
    cell::{CellEvent, CellState, Task, TaskPhase},
    config::{Change, ConfigState},
    explain::{Decision, ProgressWatch},
    ids::{AgentId, AttemptRef, AvailabilityZone, ProfileName, ServiceName, TaskId},
    record::FenceReason,
    units::TimeMs,
};
use fescuelead_wire::messages::RunningAttempt;

use crate::{entry::shared::Shared, limited, metrics::ReasonLabel};

/// The time between two looks at which profiles are slowed down.
const HARM_MS: u64 = 5_000;

/// What was ordered for a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// To leave it this share of its processor time; 100 lifts the throttle.
    Throttle {
        /// The share.
        percent: u8,
    },
    /// To stop it with a checkpoint, so that it resumes elsewhere.
    Move,
    /// The same, because nothing else helped.
    Evict,
}

/// An order for a running task, and on whose behalf it was given.
#[derive(Debug, Clone)]
pub struct Taken {
    /// The task.
    pub task: TaskId,
    /// Where it runs.
    pub worker: AgentId,
    /// Its profile.
    pub profile: ProfileName,
    /// The profile of the service that it slows down; none if its availability zone is out.
    pub harmed: Option<ProfileName>,
    /// The order.
    pub order: Order,
}

/// What is kept of a task that has not ended.
#[derive(Debug, Default)]
struct Live {
    /// When this entry saw the submission, if it saw it happen.
    submitted: Option<TimeMs>,
    /// Why this entry chose the worker of the attempt that it is placing.
    chosen: Option<String>,
    /// Whether this entry wrote the assignment that is on its way.
    ours: bool,
    failures: u32,
    agent: Option<AgentId>,
}

/// The journal of one entry.
#[derive(Debug)]
pub struct Journal {
    shared: Arc<Shared>,
    live: HashMap<TaskId, Live>,
    watch: ProgressWatch,
    silent: HashSet<AgentId>,
    suspected: HashSet<AgentId>,
    frozen: HashSet<AttemptRef>,
    endpoints: HashMap<(String, String), String>,
    draining: HashMap<AvailabilityZone, u32>,
    config_version: u64,
    harm_at: TimeMs,
}

impl Journal {
    /// A journal that has seen nothing.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            live: HashMap::new(),
            watch: ProgressWatch::new(),
            silent: HashSet::new(),
            suspected: HashSet::new(),
            frozen: HashSet::new(),
            endpoints: HashMap::new(),
            draining: HashMap::new(),
            config_version: 0,
            harm_at: TimeMs(0),
        }
    }

    /// Keeps a decision.
    pub fn note(&self, now: TimeMs, decision: Decision) {
        self.shared.observer.note(now, decision);
    }

    /// Says why a worker was chosen for a task; the reservation comes next.
    pub fn chose(&mut self, task: &TaskId, why: String) {
        self.live.entry(task.clone()).or_default().chosen = Some(why);
    }

    /// The reservation was granted, and the assignment is on its way to the log.
    pub fn assigning(&mut self, task: &TaskId) {
        if let Some(live) = self.live.get_mut(task) {
            live.ours = true;
        }
    }

    /// An agent refused a reservation.
    pub fn refused(&mut self, task: &TaskId, worker: &AgentId, reason: &str, now: TimeMs) {
        self.shared.observer.metrics.reservations_refused.inc();
        let reason = reason.trim_end_matches('.').to_owned();
        self.note(now, Decision::ReservationRefused { task: task.clone(), worker: worker.clone(), reason });
    }

    /// Takes in what a fold changed, before the scheduler does. `reason` is what the task waited for until now, and
    /// `fresh` says whether the entry has read the stream to its tail before.
    pub fn on_event(
        &mut self,
        event: &CellEvent,
        cell: &CellState,
        reason: impl Fn(&TaskId) -> Option<String>,
        fresh: bool,
        now: TimeMs,
    ) {
        match event {
            CellEvent::Submitted { task } => self.submitted(task, cell, fresh, now),
            CellEvent::Assigned { attempt, runner } => {
                self.assigned(attempt, &runner.agent, cell, reason(&attempt.task), now);
            }
            CellEvent::AssignmentLost { attempt, agent } => {
                if let Some(live) = self.live.get_mut(&attempt.task) {
                    live.ours = false;
                }
                let AttemptRef { task, attempt } = attempt.clone();
                self.note(now, Decision::AssignmentLost { task, attempt, worker: agent.clone() });
            }
            CellEvent::Fenced { attempt, runner, reason } => self.fenced(attempt, &runner.agent, reason, now),
            CellEvent::Stopped { attempt } => self.stopped(attempt, cell, now),
            CellEvent::CancelRequested { attempt, .. } => {
                self.note(now, Decision::CancelRequested { task: attempt.task.clone() });
            }
            CellEvent::Ended { task, phase } => self.ended(task, phase, now),
            _ => {}
        }
    }

    fn submitted(&mut self, id: &TaskId, cell: &CellState, fresh: bool, now: TimeMs) {
        let Some(task) = cell.task(id) else { return };
        self.live.insert(id.clone(), Live { submitted: fresh.then_some(now), ..Live::default() });
        let (service, profile) = (task.spec.service.clone(), task.spec.profile.clone());
        self.note(now, Decision::Submitted { task: id.clone(), service, profile });
    }

    fn assigned(
        &mut self,
        attempt: &AttemptRef,
        worker: &AgentId,
        cell: &CellState,
        reason: Option<String>,
        now: TimeMs,
    ) {
        let live = self.live.entry(attempt.task.clone()).or_default();
        let ours = std::mem::take(&mut live.ours);
        let why = live.chosen.take().filter(|_| ours).unwrap_or_default();
        let submitted = live.submitted.take();
        live.agent = Some(worker.clone());
        let AttemptRef { task, attempt: number } = attempt.clone();
        if let Some(reason) = reason {
            self.note(now, Decision::Waiting { task: task.clone(), reason });
        }
        self.note(now, Decision::Placed { task, attempt: number, worker: worker.clone(), why });
        if !ours {
            return;
        }
        self.shared.observer.metrics.placements.inc();
        if let (Some(submitted), Some(task)) = (submitted, cell.task(&attempt.task)) {
            self.shared.observer.task_started(&self.shared, &task.spec, now.since_ms(submitted));
        }
    }

    fn fenced(&mut self, attempt: &AttemptRef, worker: &AgentId, reason: &FenceReason, now: TimeMs) {
        let word = match reason {
            FenceReason::AgentLost => "agent-lost",
            FenceReason::ZoneOut => "zone-out",
            FenceReason::Interference => "interference",
        };
        self.shared.observer.metrics.fences.get_or_create(&ReasonLabel { reason: word }).inc();
        let lease = self.shared.config.borrow().set.lease;
        let wait_ms = lease.lengthened_ms(lease.lease_ms);
        limited!(Warn, "entry: {attempt} on agent {worker} is fenced ({word}).");
        let AttemptRef { task, attempt } = attempt.clone();
        let (worker, reason) = (worker.clone(), reason.clone());
        self.note(now, Decision::Fenced { task, attempt, worker, reason, wait_ms });
    }

    /// A stop reported by the worker is either a failure that leaves further attempts, or a move.
    fn stopped(&mut self, attempt: &AttemptRef, cell: &CellState, now: TimeMs) {
        let Some(task) = cell.task(&attempt.task) else { return };
        let live = self.live.entry(attempt.task.clone()).or_default();
        let failed = task.failures > std::mem::replace(&mut live.failures, task.failures);
        let worker = live.agent.take();
        let AttemptRef { task: id, attempt } = attempt.clone();
        self.note(
            now,
            match worker.filter(|_| failed) {
                Some(worker) => {
                    let reason = format!("the worker reported a failure, the {}. of this task", task.failures);
                    Decision::AttemptFailed { task: id, attempt, worker, reason }
                }
                None => Decision::Stopped { task: id, attempt, checkpoint: task.checkpoint.is_some() },
            },
        );
    }

    fn ended(&mut self, task: &TaskId, phase: &TaskPhase, now: TimeMs) {
        self.live.remove(task);
        self.watch.forget(task);
        let how = match phase {
            TaskPhase::Succeeded => "it did its work".to_owned(),
            TaskPhase::Failed { reason } => format!("it failed: {}", reason.trim_end_matches('.')),
            TaskPhase::Cancelled => "its caller cancelled it".to_owned(),
            _ => "outcome unknown; it is non-idempotent, and it is unknown whether it did its work".to_owned(),
        };
        self.note(now, Decision::Ended { task: task.clone(), how });
    }

    /// Takes in the configuration changes since the last call.
    pub fn on_config(&mut self, config: &ConfigState, now: TimeMs) {
        let known = std::mem::replace(&mut self.config_version, config.version());
        for item in config.history().filter(|item| item.version > known) {
            if let Change::Zone { availability_zone, out } = &item.change {
                let (zone, author) = (availability_zone.clone(), item.author.clone());
                self.note(now, Decision::ZoneSet { zone, out: *out, version: item.version, author });
            }
        }
    }

    /// Takes in what was ordered for running tasks.
    pub fn on_remedies(&mut self, taken: Vec<Taken>, now: TimeMs) {
        for Taken { task, worker, profile, harmed, order } in taken {
            let reason = match &harmed {
                Some(harmed) => format!("it slowed down profile {harmed}"),
                None => "its availability zone is out of service".to_owned(),
            };
            let action = match order {
                Order::Throttle { percent } if percent >= 100 => {
                    self.note(now, Decision::Released { task, worker });
                    continue;
                }
                Order::Throttle { percent } => {
                    let harmed = harmed.clone().unwrap_or_else(|| profile.clone());
                    self.note(now, Decision::Throttled { task, worker, percent, harmed });
                    Action::Throttled
                }
                Order::Move => {
                    self.note(now, Decision::Moved { task, worker, reason });
                    Action::Moved
                }
                Order::Evict => {
                    self.note(now, Decision::Evicted { task, worker, reason });
                    Action::Evicted
                }
            };
            if let Some(harmed) = harmed {
                self.count_action(&harmed, profile, action);
            }
        }
    }

    /// Counts what was done about interference for all services under the profile that suffers from it.
    fn count_action(&self, harmed: &ProfileName, by: ProfileName, action: Action) {
        let set = Arc::clone(&self.shared.config.borrow().set);
        let cause = Cause::Interference { profile: by };
        for (service, _) in set.services.iter().filter(|(_, picked)| picked.profile == *harmed) {
            self.shared.observer.act(&self.shared, service, &cause, action);
        }
    }

    /// Takes in what runs at one agent.
    pub fn on_running(&mut self, worker: &AgentId, running: &[RunningAttempt], now: TimeMs) {
        for attempt in running {
            let AttemptRef { task, attempt: number } = &attempt.attempt;
            if self.watch.report(now, task, *number, attempt.progress) {
                limited!(Info, "entry: task {task} makes progress again.");
                self.note(now, Decision::Resumed { task: task.clone() });
            }
            let (task, worker) = (task.clone(), worker.clone());
            if attempt.frozen && self.frozen.insert(attempt.attempt.clone()) {
                limited!(Warn, "entry: {} is frozen at agent {worker}.", attempt.attempt);
                self.note(now, Decision::Frozen { task, worker });
            } else if !attempt.frozen && self.frozen.remove(&attempt.attempt) {
                self.note(now, Decision::Thawed { task, worker });
            }
        }
    }

    /// Drops what is kept of attempts that no agent reports any more.
    pub fn keep_frozen(&mut self, reported: &HashSet<&AttemptRef>) {
        self.frozen.retain(|attempt| reported.contains(attempt));
    }

    /// Says how an agent is: silent for some time, and whether its worker is suspected after so many failures.
    pub fn on_agent(&mut self, worker: &AgentId, silent_ms: Option<u64>, suspected: bool, now: TimeMs) {
        match silent_ms {
            Some(silent_ms) if self.silent.insert(worker.clone()) => {
                self.note(now, Decision::AgentSilent { worker: worker.clone(), silent_ms });
            }
            None if self.silent.remove(worker) => self.note(now, Decision::AgentBack { worker: worker.clone() }),
            _ => {}
        }
        if suspected && self.suspected.insert(worker.clone()) {
            limited!(Warn, "entry: worker of agent {worker} fails what it starts and is suspected.");
            let failures = fescuelead_core::suspect::SuspectSettings::default().failures;
            let failures = u32::try_from(failures).unwrap_or(u32::MAX);
            self.note(now, Decision::Suspected { worker: worker.clone(), failures });
        } else if !suspected && self.suspected.remove(worker) {
            limited!(Info, "entry: worker of agent {worker} is trusted again.");
            self.note(now, Decision::Cleared { worker: worker.clone() });
        }
    }

    /// Whether the worker of an agent was suspected when it was last looked at.
    pub fn is_suspected(&self, worker: &AgentId) -> bool {
        self.suspected.contains(worker)
    }

    /// Takes in the state of all endpoints.
    pub fn on_endpoints(&mut self, endpoints: &[fescuelead_wire::api::EndpointStatus], now: TimeMs) {
        let mut known = std::mem::take(&mut self.endpoints);
        for endpoint in endpoints {
            let key = (endpoint.service.clone(), endpoint.agent.clone());
            let before = known.remove(&key);
            if before.as_ref() != Some(&endpoint.state)
                && let Ok(service) = ServiceName::new(&endpoint.service)
            {
                let address = endpoint.address.clone();
                match endpoint.state.as_str() {
                    "leaving" => self.note(now, Decision::EndpointLeaving { service, address }),
                    "suspected" => {
                        let reason = "it failed or was slow too often".to_owned();
                        self.note(now, Decision::EndpointAvoided { service, address, reason });
                    }
                    _ if before.is_some() => self.note(now, Decision::EndpointBack { service, address }),
                    _ => {}
                }
            }
            self.endpoints.insert(key, endpoint.state.clone());
        }
    }

    /// Says how many tasks still run in the availability zones that are out.
    pub fn on_drain(&mut self, left: HashMap<AvailabilityZone, u32>, now: TimeMs) {
        for (zone, left) in &left {
            if self.draining.get(zone) != Some(left) {
                self.note(now, Decision::ZoneDraining { zone: zone.clone(), left: *left });
            }
        }
        self.draining = left;
    }

    /// Watches the tasks with a progress deadline and raises those that are stalled.
    pub fn watch<'t>(&mut self, tasks: impl Iterator<Item = &'t Task>, now: TimeMs) {
        for task in tasks {
            if let Some(limit_ms) = task.spec.progress_deadline_ms.filter(|_| !task.phase.is_ended()) {
                self.watch.watch(now, &task.id, limit_ms);
            }
        }
        for stall in self.watch.newly_stalled(now) {
            let (task, stalled_ms, limit_ms) = (stall.task, stall.stalled_ms, stall.limit_ms);
            limited!(Warn, "entry: task {task} has made no progress for {stalled_ms} ms; its limit is {limit_ms} ms.");
            self.shared.observer.metrics.stalls.inc();
            self.note(now, Decision::Stalled { task, stalled_ms, limit_ms });
        }
    }

    /// Whether it is time to look which profiles are slowed down. Linear in all workers, so that it is done less often than
    /// the rest.
    pub fn is_harm_due(&mut self, now: TimeMs) -> bool {
        let due = self.harm_at <= now;
        if due {
            self.harm_at = now.plus_ms(HARM_MS);
        }
        due
    }

    /// The number of tasks that are stalled now.
    pub fn stalled(&self) -> u64 {
        self.watch.stalled() as u64
    }

    /// The number of attempts that are frozen now.
    pub fn frozen(&self) -> usize {
        self.frozen.len()
    }

    /// The progress of a task that is watched, and how long ago it grew.
    pub fn progress(&self, now: TimeMs, task: &TaskId) -> Option<fescuelead_wire::api::Progress> {
        let (counter, age_ms) = self.watch.progress(now, task)?;
        Some(fescuelead_wire::api::Progress { counter, age_ms })
    }
}

#[cfg(test)]
mod tests {
    use fescuelead_core::{
        explain::Subject,
        ids::{EntryId, EntryRef},
        profile::ProfileSet,
        record::{Batch, Record},
    };
    use fescuelead_wire::api::TaskSubmission;

    use super::*;
    use crate::lifecycle::Shutdown;

    const SET: &str = include_str!("../../../../examples/profiles/sursetu.toml");

    struct World {
        journal: Journal,
        cell: CellState,
        task: TaskId,
        agent: AgentId,
    }

    impl World {
        /// A watch job that was submitted at time 1.
        fn new() -> Self {
            let me = EntryRef::new(EntryId::new("entry-a").expect("valid id"), 1);
            let zone = AvailabilityZone::new("az-1").expect("valid id");
            let journal = Journal::new(Arc::new(Shared::new(me, zone, Shutdown::new())));
            let task = TaskId::new("c0-watch").expect("valid id");
            let agent = AgentId::new("agent-1").expect("valid id");
            let mut world = Self { journal, cell: CellState::new(0), task, agent };
            let set = ProfileSet::parse(SET).expect("valid set");
            let (service, _) =
                set.services.iter().find(|(_, s)| s.profile.as_str() == "watermark-watch").expect("a watch job");
            let spec = TaskSubmission::new("watch").with_service(service.as_str()).to_spec(&set, 0).expect("valid");
            world.fold(1, Record::TaskSubmitted { task: world.task.clone(), spec });
            world
        }

        fn fold(&mut self, now: u64, record: Record) {
            let offset = self.cell.next_offset();
            let batch = Batch::new(EntryId::new("entry-a").expect("valid id"), 1, offset + 1).with_record(record);
            for event in self.cell.apply(offset, &batch) {
                self.journal.on_event(&event, &self.cell, |_| None, true, TimeMs(now));
            }
        }

        fn assign(&mut self, now: u64) {
            let (task, agent) = (self.task.clone(), self.agent.clone());
            self.fold(now, Record::TaskAssigned { task, attempt: 1, agent, agent_incarnation: 1 });
        }

        fn texts(&self) -> Vec<(bool, String)> {
            let explanation = self.journal.shared.observer.explainer().explain(&Subject::Task(self.task.clone()));
            explanation.lines.into_iter().map(|line| (line.attention, line.text)).collect()
        }
    }

    /// Guards against a placement whose reason is lost, or credited to an entry that did not make it.
    #[test]
    fn the_entry_that_places_a_task_says_why() {
        let (mut ours, mut theirs) = (World::new(), World::new());
        ours.journal.chose(&ours.task.clone(), "cost 0.20 = spread 0.20".to_owned());
        ours.journal.assigning(&ours.task.clone());
        ours.assign(31);
        theirs.assign(31);
        assert!(ours.texts()[1].1.contains("agent-1: cost 0.20"), "{:?}", ours.texts());
        assert!(theirs.texts()[1].1.contains("by another entry"), "{:?}", theirs.texts());
        let placements = |world: &World| world.journal.shared.observer.metrics.placements.get();
        assert_eq!((placements(&ours), placements(&theirs)), (1, 0));
    }

    /// Guards against a watch job that stalls unnoticed, and against memory of tasks that have ended.
    #[test]
    fn a_stalled_task_is_raised_once_and_forgotten_at_its_end() {
        let mut world = World::new();
        world.assign(31);
        let limit_ms = world.cell.task(&world.task).and_then(|t| t.spec.progress_deadline_ms).expect("a deadline");
        world.journal.watch(world.cell.tasks(), TimeMs(31));
        world.journal.watch(world.cell.tasks(), TimeMs(31 + limit_ms));
        assert_eq!(world.journal.stalled(), 0);
        world.journal.watch(world.cell.tasks(), TimeMs(32 + limit_ms));
        world.journal.watch(world.cell.tasks(), TimeMs(33 + limit_ms));
        assert_eq!((world.journal.stalled(), world.journal.shared.observer.metrics.stalls.get()), (1, 1));
        let raised = world.texts().into_iter().filter(|(attention, _)| *attention).count();
        assert_eq!(raised, 1, "{:?}", world.texts());
        world.fold(99, Record::TaskCancelled { task: world.task.clone() });
        let stopped = Record::AttemptStopped { task: world.task.clone(), attempt: 1, started: true, checkpoint: None };
        world.fold(100, stopped);
        assert_eq!((world.journal.stalled(), world.journal.live.len()), (0, 0), "{:?}", world.texts());
    }
}
