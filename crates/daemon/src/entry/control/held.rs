//! Heartbeats that are held until there is something to answer, and which of them a change concerns.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
};

use fescuelead_core::{
    cell::{CellEvent, CellState},
    ids::{AgentId, TaskId},
    runner::Report,
};
use fescuelead_wire::messages::Heartbeat;
use slotmap::{SlotMap, new_key_type};
use tokio::{sync::Notify, time::Instant};

new_key_type! {
    struct HeldKey;
}

/// The held heartbeats of one entry.
///
/// A reply depends on the tasks that the heartbeat names, on assignments to its agent and on the orders of the scheduler.
/// An event therefore wakes the heartbeats of the agent and of the task in it, at a cost that does not grow with the number
/// of agents.
#[derive(Debug, Default)]
pub(super) struct HeldHeartbeats {
    held: SlotMap<HeldKey, Held>,
    by_agent: HashMap<AgentId, Vec<HeldKey>>,
    by_task: HashMap<TaskId, Vec<HeldKey>>,
    /// Those that name a task which the view does not have. Only a read of the tail tells whether it was dropped.
    awaiting_read: HashSet<HeldKey>,
}

#[derive(Debug)]
struct Held {
    agent: AgentId,
    tasks: Vec<TaskId>,
    /// Keeps a wake-up that comes while nobody waits, so that none is lost between a reply and the wait.
    wake: Rc<Notify>,
}

impl HeldHeartbeats {
    fn insert(&mut self, heartbeat: &Heartbeat, wake: Rc<Notify>) -> HeldKey {
        let sync = &heartbeat.sync;
        let named = sync.held.iter().chain(sync.reports.iter().map(Report::attempt));
        let mut tasks: Vec<TaskId> = named.map(|attempt| attempt.task.clone()).collect();
        tasks.sort_unstable();
        tasks.dedup();
        let key = self.held.insert(Held { agent: sync.agent.clone(), tasks: tasks.clone(), wake });
        self.by_agent.entry(sync.agent.clone()).or_default().push(key);
        tasks.into_iter().for_each(|task| self.by_task.entry(task).or_default().push(key));
        key
    }

    fn remove(&mut self, key: HeldKey) {
        let Some(held) = self.held.remove(key) else { return };
        self.awaiting_read.remove(&key);
        remove_from(&mut self.by_agent, &held.agent, key);
        held.tasks.iter().for_each(|task| remove_from(&mut self.by_task, task, key));
    }

    fn look(&mut self, key: HeldKey, cell: &CellState) {
        let absent = self.held.get(key).is_some_and(|held| held.tasks.iter().any(|task| cell.task(task).is_none()));
        if absent {
            self.awaiting_read.insert(key);
        } else {
            self.awaiting_read.remove(&key);
        }
    }

    /// Wakes the heartbeats whose replies an event may change.
    pub(super) fn wake_for(&self, event: &CellEvent) {
        match event {
            CellEvent::Assigned { attempt, runner }
            | CellEvent::Fenced { attempt, runner, .. }
            | CellEvent::CancelRequested { attempt, runner } => {
                self.wake_agent(&runner.agent);
                self.wake_task(&attempt.task);
            }
            CellEvent::AssignmentLost { attempt, agent } => {
                self.wake_agent(agent);
                self.wake_task(&attempt.task);
            }
            CellEvent::Stopped { attempt } => self.wake_task(&attempt.task),
            CellEvent::Submitted { task } | CellEvent::Ended { task, .. } => self.wake_task(task),
            CellEvent::FencersChanged | CellEvent::LeaseChanged { .. } => self.wake_all(),
            // No reply depends on the claims of requests or on a refused submission.
            CellEvent::SubmissionConflict { .. } | CellEvent::Claimed { .. } | CellEvent::Resolved { .. } => {}
        }
    }

    pub(super) fn wake_agent(&self, agent: &AgentId) {
        self.wake(self.by_agent.get(agent).into_iter().flatten());
    }

    fn wake_task(&self, task: &TaskId) {
        self.wake(self.by_task.get(task).into_iter().flatten());
    }

    /// Wakes the heartbeats that wait for a read of the tail.
    pub(super) fn wake_for_read(&self) {
        self.wake(&self.awaiting_read);
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty() && self.by_agent.is_empty() && self.by_task.is_empty() && self.awaiting_read.is_empty()
    }

    pub(super) fn wake_all(&self) {
        self.held.values().for_each(|held| held.wake.notify_one());
    }

    fn wake<'k>(&self, keys: impl IntoIterator<Item = &'k HeldKey>) {
        keys.into_iter().filter_map(|key| self.held.get(*key)).for_each(|held| held.wake.notify_one());
    }
}

fn remove_from<K: std::hash::Hash + Eq>(index: &mut HashMap<K, Vec<HeldKey>>, name: &K, key: HeldKey) {
    if let Some(keys) = index.get_mut(name) {
        keys.retain(|known| *known != key);
        if keys.is_empty() {
            index.remove(name);
        }
    }
}

/// One held heartbeat. It is no longer woken once this is dropped, also if its session ends first.
pub(super) struct HeldHeartbeat<'c> {
    all: &'c RefCell<HeldHeartbeats>,
    key: HeldKey,
    wake: Rc<Notify>,
}

impl<'c> HeldHeartbeat<'c> {
    /// Registers a heartbeat. Wake-ups count from now on, so this comes before the first reply is computed.
    pub(super) fn new(all: &'c RefCell<HeldHeartbeats>, heartbeat: &Heartbeat) -> Self {
        let wake = Rc::new(Notify::new());
        let key = all.borrow_mut().insert(heartbeat, Rc::clone(&wake));
        Self { all, key, wake }
    }

    /// Takes note of the view that the last reply was computed from.
    pub(super) fn look(&self, cell: &CellState) {
        self.all.borrow_mut().look(self.key, cell);
    }

    /// Waits until the reply may have changed, at most until `deadline`.
    pub(super) async fn wait(&self, deadline: Instant) {
        // Woken or not, the caller computes the reply again.
        let _ = tokio::time::timeout_at(deadline, self.wake.notified()).await;
    }
}

impl Drop for HeldHeartbeat<'_> {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(self.key);
    }
}
