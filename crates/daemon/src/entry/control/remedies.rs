//! What is done about running tasks: throttled or moved when they slow a service, moved out of an availability zone that is
//! out of service.
//!
//! Orders go out with the replies to heartbeats. A move is a stop with a checkpoint: the agent reports the stop, and the
//! fold makes the next attempt wait. Non-idempotent tasks are never moved; they end where they run.

use std::collections::HashMap;

use fescuelead_core::{
    cell::{CellState, TaskPhase},
    ids::{AgentId, AttemptRef, ProfileName},
    interference::ClassId,
    placement::{
        DrainSettings, Remedies, Remedy, RemedySettings, ServiceReading, TaskReading, WorkerKey, ZoneDrain,
        slowdown_budget,
    },
    profile::{Kind, Weights},
    runner::Command,
    units::TimeMs,
};
use fescuelead_wire::messages::{AgentHello, Heartbeat, RunningAttempt};

use crate::{
    entry::{
        control::{Control, activity::Reading, scheduler::Scheduler},
        journal::{Order, Taken},
    },
    limited,
};

/// How long after an order to move a task the order is given again, should it have been lost.
const REPEAT_MOVE_MS: u64 = 5_000;
/// A service on a worker that had requests lately.
pub(super) struct Neighbour {
    pub(super) class: ClassId,
    pub(super) reading: Option<Reading>,
    pub(super) weights: Weights,
}

/// State of the remedies at one entry.
pub(super) struct RemedyState {
    remedies: Remedies,
    drain: ZoneDrain,
    throttled_since: HashMap<AttemptRef, TimeMs>,
    moving: HashMap<AttemptRef, TimeMs>,
    /// What was ordered since the journal last asked; bounded by the pace of the remedies.
    pub(super) taken: Vec<Taken>,
}

impl RemedyState {
    pub(super) fn new(now: TimeMs) -> Self {
        Self {
            remedies: Remedies::new(RemedySettings::default()),
            drain: ZoneDrain::new(DrainSettings::default(), now),
            throttled_since: HashMap::new(),
            moving: HashMap::new(),
            taken: Vec::new(),
        }
    }

    fn throttled_since(&mut self, running: &RunningAttempt, now: TimeMs) -> Option<TimeMs> {
        if running.throttle_percent > 50 {
            self.throttled_since.remove(&running.attempt);
            return None;
        }
        Some(*self.throttled_since.entry(running.attempt.clone()).or_insert(now))
    }

    /// Whether an order to move this attempt is to be given now.
    fn start_move(&mut self, attempt: &AttemptRef, now: TimeMs) -> bool {
        let due = self.moving.get(attempt).is_none_or(|at| now.since_ms(*at) >= REPEAT_MOVE_MS);
        if due {
            self.moving.insert(attempt.clone(), now);
        }
        due
    }
}

impl Scheduler {
    /// Answers the disturbance of the services that had requests lately on one worker, if this entry looks after it.
    pub(super) fn remedy(
        &mut self,
        worker: WorkerKey,
        hello: &AgentHello,
        heartbeat: &Heartbeat,
        neighbours: &[Neighbour],
        cell: &CellState,
        now: TimeMs,
    ) {
        let services = self.service_readings(worker, neighbours, now);
        // Without a new reading of an active service there is nothing to judge. Without an active service, what was
        // throttled for one is let go.
        if (services.is_empty() && !neighbours.is_empty()) || !self.looks_after(&hello.agent, cell) {
            return;
        }
        let tasks: Vec<_> =
            heartbeat.running.iter().filter_map(|running| self.task_reading(running, cell, now)).collect();
        let remedies = match services.is_empty() {
            true => Remedies::release(&tasks),
            false => self.remedies.remedies.evaluate(worker, &services, &tasks, &self.interference, now),
        };
        let worst = services.iter().max_by(|a, b| (a.slowdown - a.budget).total_cmp(&(b.slowdown - b.budget)));
        let harmed = worst.and_then(|service| self.classes.name(service.class)).cloned();
        for remedy in remedies {
            self.carry_out(&hello.agent, remedy, harmed.as_ref(), cell, now);
        }
    }

    fn service_readings(&mut self, worker: WorkerKey, neighbours: &[Neighbour], now: TimeMs) -> Vec<ServiceReading> {
        let mut readings = Vec::new();
        for neighbour in neighbours {
            let Some(Reading { from, slowdown }) = neighbour.reading else { continue };
            self.interference.observe(worker, neighbour.class, 1.0, (from, now), slowdown);
            let budget = slowdown_budget(&neighbour.weights);
            readings.push(ServiceReading { class: neighbour.class, slowdown, budget, from });
        }
        readings
    }

    fn task_reading(
        &mut self,
        running: &RunningAttempt,
        cell: &CellState,
        now: TimeMs,
    ) -> Option<TaskReading<AttemptRef>> {
        let task = cell.task(&running.attempt.task).filter(|task| task.attempt == running.attempt.attempt)?;
        if task.spec.kind == Kind::LatencyCritical || running.frozen {
            return None;
        }
        Some(TaskReading {
            task: running.attempt.clone(),
            class: self.classes.intern(&running.profile),
            percent: running.throttle_percent,
            throttled_since: self.remedies.throttled_since(running, now),
            movable: task.spec.idempotent,
            moves: task.evictions,
        })
    }

    fn carry_out(
        &mut self,
        agent: &AgentId,
        remedy: Remedy<AttemptRef>,
        harmed: Option<&ProfileName>,
        cell: &CellState,
        now: TimeMs,
    ) {
        let evict = matches!(remedy, Remedy::Evict { .. });
        match remedy {
            Remedy::Throttle { task: attempt, percent } => {
                limited!(Info, "entry: {attempt} on {agent} is throttled to {percent} percent.");
                self.note_remedy(agent, &attempt, Order::Throttle { percent }, harmed, cell);
                self.order(agent, Command::Throttle { attempt, percent });
            }
            Remedy::Move { task } | Remedy::Evict { task } => {
                if self.move_away(agent, &task, cell, now) {
                    let order = if evict { Order::Evict } else { Order::Move };
                    self.note_remedy(agent, &task, order, harmed, cell);
                }
            }
        }
    }

    /// Keeps what was ordered for the journal.
    fn note_remedy(
        &mut self,
        agent: &AgentId,
        attempt: &AttemptRef,
        order: Order,
        harmed: Option<&ProfileName>,
        cell: &CellState,
    ) {
        let Some(task) = cell.task(&attempt.task) else { return };
        let (worker, profile, harmed) = (agent.clone(), task.spec.profile.clone(), harmed.cloned());
        self.remedies.taken.push(Taken { task: task.id.clone(), worker, profile, harmed, order });
    }

    /// Orders an attempt to be stopped with a checkpoint, so that its next attempt resumes elsewhere.
    /// Says whether it was ordered now.
    fn move_away(&mut self, agent: &AgentId, attempt: &AttemptRef, cell: &CellState, now: TimeMs) -> bool {
        let task = cell.task(&attempt.task).filter(|task| task.spec.idempotent);
        let Some(runner) = task.and_then(|task| task.runner()) else { return false };
        let due = self.remedies.start_move(attempt, now);
        if due {
            limited!(Info, "entry: {attempt} is moved away from {agent}.");
            let agent_incarnation = runner.agent_incarnation;
            self.order(agent, Command::Stop { attempt: attempt.clone(), agent_incarnation });
        }
        due
    }

    pub(super) fn order(&mut self, agent: &AgentId, command: Command) {
        self.orders.entry(agent.clone()).or_default().push(command);
    }

    /// Forgets attempts that are over.
    fn forget_remedies(&mut self, cell: &CellState) {
        let current = |attempt: &AttemptRef| {
            let task = cell.task(&attempt.task).filter(|task| task.attempt == attempt.attempt);
            task.is_some_and(|task| matches!(task.phase, TaskPhase::Assigned { .. }))
        };
        self.remedies.moving.retain(|attempt, _| current(attempt));
        self.remedies.throttled_since.retain(|attempt, _| current(attempt));
    }
}

impl Control {
    /// Moves tasks out of availability zones that are out of service, at the rate that the rest can take.
    pub(super) fn drain_zones(&self) {
        let now = self.shared.clock.now();
        let state = &mut *self.state.borrow_mut();
        state.scheduler.forget_remedies(state.cell.state());
        if state.config.state().zones_out().is_empty() {
            return;
        }
        let out = |agent: &AgentId| {
            let hello = state.sessions.get(agent).and_then(|session| session.hello.as_ref());
            hello.is_some_and(|hello| state.config.state().is_out(&hello.availability_zone))
        };
        let waiting: Vec<(AgentId, AttemptRef)> = state
            .cell
            .state()
            .tasks()
            .filter(|task| task.spec.idempotent && matches!(task.phase, TaskPhase::Assigned { .. }))
            .filter_map(|task| Some((task.runner()?.agent.clone(), task.attempt_ref())))
            .filter(|(agent, attempt)| out(agent) && !state.scheduler.remedies.moving.contains_key(attempt))
            .filter(|(agent, _)| state.scheduler.looks_after(agent, state.cell.state()))
            .collect();
        let workers_in = state.sessions.iter().filter(|(agent, session)| !session.dead && !out(agent)).count();
        let moves = state.scheduler.remedies.drain.due(waiting.len(), workers_in, now);
        for (agent, attempt) in waiting.into_iter().take(moves) {
            if state.scheduler.move_away(&agent, &attempt, state.cell.state(), now) {
                state.scheduler.note_remedy(&agent, &attempt, Order::Move, None, state.cell.state());
            }
        }
    }
}
