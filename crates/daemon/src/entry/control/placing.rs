//! Carries out placements: reserves at the agent, then appends the assignment.

use std::rc::Rc;

use fescuelead_core::{
    ids::{AgentId, AttemptRef, TaskId},
    placement::{Decision, Demand, NeverReason, Resident, WaitReason, WorkerKey},
    queue::WaitingKey,
    record::Record,
    runner::Command,
    units::{Resources, TimeMs},
};
use fescuelead_wire::peer_capnp::agent_control;

use crate::entry::{
    control::{
        Control, State,
        scheduler::{KNOWLEDGE_MS, PARK_MS},
    },
    peers,
};

/// How long an agent holds a reservation for an assignment to arrive.
const RESERVATION_MS: u64 = 10_000;
/// Tasks that one round places at most.
const PLACED_PER_ROUND: usize = 64;

/// A decision to carry out.
struct Placing {
    attempt: AttemptRef,
    agent: AgentId,
    agent_incarnation: u64,
    resources: Resources,
    /// The share of its processor time that it starts under.
    percent: u8,
    control: agent_control::Client,
}

impl Control {
    /// Places waiting tasks, a bounded number a round.
    pub(super) fn place(self: &Rc<Self>) {
        let now = self.shared.clock.now();
        self.state.borrow_mut().release_due_tasks(now);
        for _ in 0..PLACED_PER_ROUND {
            let Some(step) = self.state.borrow_mut().place_next(now) else { return };
            match step {
                Step::Reserve(placing) => {
                    tokio::task::spawn_local(Rc::clone(self).reserve(placing));
                }
                Step::Reject(record) => self.append(record),
                Step::Parked => {}
            }
        }
    }

    async fn reserve(self: Rc<Self>, placing: Placing) {
        let granted = peers::reserve(&placing.control, &placing.attempt, &placing.resources, RESERVATION_MS).await;
        let now = self.shared.clock.now();
        let AttemptRef { task, attempt } = placing.attempt.clone();
        match granted {
            Ok(()) => {
                let state = &mut *self.state.borrow_mut();
                state.journal.assigning(&task);
                if placing.percent < 100 {
                    let throttle = Command::Throttle { attempt: placing.attempt.clone(), percent: placing.percent };
                    state.scheduler.order(&placing.agent, throttle);
                }
                let Placing { agent, agent_incarnation, .. } = placing;
                let assigned = Record::TaskAssigned { task, attempt, agent, agent_incarnation };
                state.cell_writer.push(assigned);
                self.cell_outbox.notify_one();
            }
            Err(reason) => {
                log::debug!("entry: {} refused {}: {reason}", placing.agent, placing.attempt);
                let state = &mut *self.state.borrow_mut();
                state.journal.refused(&task, &placing.agent, &reason, now);
                state.scheduler.placing.remove(&placing.attempt);
                state.scheduler.reasons.insert(task.clone(), reason);
                state.scheduler.due.insert((now.plus_ms(PARK_MS), task), ());
            }
        }
    }
}

enum Step {
    Reserve(Placing),
    Reject(Record),
    Parked,
}

impl State {
    fn release_due_tasks(&mut self, now: TimeMs) {
        self.scheduler.prove_workers(now);
        self.scheduler.release_due(self.cell.state(), now);
    }

    fn place_next(&mut self, now: TimeMs) -> Option<Step> {
        // Without the log no assignment can be made, and reservations would only block each other.
        if !self.cell_health.is_reachable() || !self.cell_health.was_caught_up() {
            return None;
        }
        if !self.entry.quotas_in_force(self.cell.state()) {
            return None;
        }
        let key = self.scheduler.next_waiting(now)?;
        let waiting = self.scheduler.queue.get(key)?.task.clone();
        let Some(task) = self.cell.state().task(&waiting).filter(|task| task.next_attempt().is_some()) else {
            self.scheduler.queue.remove(key);
            return Some(Step::Parked);
        };
        if self.entry.next_attempt_at(task).is_none_or(|at| at > now) {
            self.scheduler.park(key, "its last attempt may still run; it waits for the lease to end".to_owned(), now);
            return Some(Step::Parked);
        }
        let demand = self.scheduler.demand(&task.spec, Some(&task.id));
        match self.scheduler.decide(&demand, now) {
            Decision::Place { worker, score } => {
                self.journal.chose(&waiting, score.to_string());
                self.reserve_at(key, worker, &demand, score.start_percent(), now)
            }
            Decision::Wait { reason } => {
                self.scheduler.park(key, reason.to_string(), now);
                Some(Step::Parked)
            }
            Decision::Never { reason } => self.never(key, &waiting, &reason, now),
        }
    }

    fn never(&mut self, key: WaitingKey, task: &TaskId, reason: &NeverReason, now: TimeMs) -> Option<Step> {
        let known_ms = now.since_ms(self.started_at);
        let since_ms = self.scheduler.queue.get(key).map_or(0, |waiting| now.since_ms(waiting.since));
        if known_ms < KNOWLEDGE_MS || since_ms < KNOWLEDGE_MS {
            self.scheduler.park(key, reason.to_string(), now);
            return Some(Step::Parked);
        }
        self.scheduler.queue.remove(key);
        Some(Step::Reject(Record::TaskRejected { task: task.clone(), reason: reason.to_string() }))
    }

    fn reserve_at(
        &mut self,
        key: WaitingKey,
        worker: WorkerKey,
        demand: &Demand,
        percent: u8,
        now: TimeMs,
    ) -> Option<Step> {
        let agent = self.scheduler.table.get(worker)?.agent.clone();
        let session = self.sessions.get(&agent).filter(|session| !session.dead);
        let attached = session.and_then(|s| Some((s.control.clone()?, s.hello.as_ref()?.incarnation)));
        let Some((control, agent_incarnation)) = attached else {
            self.scheduler.forget_worker(&agent);
            self.scheduler.park(key, WaitReason::Capacity.to_string(), now);
            return Some(Step::Parked);
        };
        let waiting = self.scheduler.queue.remove(key)?;
        let task = self.cell.state().task(&waiting.task)?;
        let attempt = AttemptRef::new(waiting.task, task.next_attempt()?);
        let resident = Resident { class: demand.class, kind: demand.kind, weight: 1.0, misses_slo: false, budget: 0.0 };
        self.scheduler.table.reserve(worker, resident, demand.declared, demand.expected);
        self.scheduler.placing.insert(attempt.clone(), worker);
        // If the assignment never shows up in the log, the task is queued again.
        self.scheduler.due.insert((now.plus_ms(RESERVATION_MS), attempt.task.clone()), ());
        let resources = demand.declared;
        Some(Step::Reserve(Placing { attempt, agent, agent_incarnation, resources, percent, control }))
    }
}
