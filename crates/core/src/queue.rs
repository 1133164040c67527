/*!
Queue of waiting tasks with separate queues per kind, priorities, fairness between teams, and bounded work per call.

Tasks of one kind, priority, team and class form a lane. [`Queue::next`] selects the highest priority, then the team that
was served least, then that team's lanes in turn. A lane whose head cannot be placed now is [parked](Queue::park), so that
it never blocks others. Cancelling takes constant time: the task is removed at once, and its entry in the lane is skipped
later, at most [`MAX_SKIPS`] entries per call.
*/

use std::collections::{HashMap, VecDeque};

use slotmap::{SlotMap, new_key_type};

use crate::{
    ids::{TaskId, TeamId},
    interference::ClassId,
    profile::Kind,
    units::{Resources, TimeMs},
};

/// The maximum number of cancelled entries that one call skips.
pub const MAX_SKIPS: usize = 64;
/// The number of priorities, 0 to 9.
const PRIORITIES: usize = 10;
const KINDS: usize = 3;

new_key_type! {
    /// Key of a waiting task in a [`Queue`].
    pub struct WaitingKey;
    /// Key of the waiting tasks of one kind, priority, team and class.
    struct LaneKey;
}

/// A task that waits to be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedTask {
    /// The task that waits.
    pub task: TaskId,
    /// The kind of its profile; each kind has queues of its own.
    pub kind: Kind,
    /// The priority, 0 to 9; higher values are served first.
    pub priority: u8,
    /// The team that is charged when the task is placed.
    pub team: TeamId,
    /// The class under which interference is estimated.
    pub class: ClassId,
    /// The declared size.
    pub resources: Resources,
    /// When the task began to wait.
    pub since: TimeMs,
}

/// The result of [`Queue::next`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// The task to place next. It stays in the queue until [`Queue::remove`].
    Task(WaitingKey),
    /// The limit of work per call was reached; call again.
    More,
    /// No task of this kind waits in a lane that is ready.
    Idle,
}

#[derive(Debug, Clone)]
struct Lane {
    level: Level,
    class: ClassId,
    entries: VecDeque<WaitingKey>,
    parked_until: Option<TimeMs>,
}

/// Identifies a queue of lanes by kind, priority and team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Level {
    kind: usize,
    priority: usize,
    team: usize,
}

#[derive(Debug, Clone, Default)]
struct TeamQueue {
    /// Lanes that are not parked, per kind and priority.
    ready: [[VecDeque<LaneKey>; PRIORITIES]; KINDS],
    /// The processors of the team's tasks placed so far, per kind, in thousandths of a core.
    served: [u64; KINDS],
}

/// The waiting tasks of all kinds. [`Self::default`] differs from [`Self::new`]: it does not serve teams in turn.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    tasks: SlotMap<WaitingKey, QueuedTask>,
    by_id: HashMap<TaskId, WaitingKey>,
    lanes: SlotMap<LaneKey, Lane>,
    by_level: HashMap<(Level, ClassId), LaneKey>,
    teams: Vec<TeamQueue>,
    team_index: HashMap<TeamId, usize>,
    parked: Vec<LaneKey>,
    /// The largest served amount of a team at the time it was selected, per kind, as in start-time fair queueing.
    virtual_time: [u64; KINDS],
    fairness: bool,
}

impl Queue {
    /// Creates an empty queue that is fair between teams.
    pub fn new() -> Self {
        Self { fairness: true, ..Self::default() }
    }

    /// Sets whether the least served team goes first (the default), or the team with the oldest task.
    pub fn with_fairness(self, fairness: bool) -> Self {
        Self { fairness, ..self }
    }

    /// The number of waiting tasks, including those of parked lanes.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// The task of a key; `None` if it left the queue.
    pub fn get(&self, key: WaitingKey) -> Option<&QueuedTask> {
        self.tasks.get(key)
    }

    /// The key of a task; `None` if it does not wait.
    pub fn key(&self, task: &TaskId) -> Option<WaitingKey> {
        self.by_id.get(task).copied()
    }

    /// Adds a task at the end of its lane. A task that already waits keeps its position. Constant time.
    pub fn push(&mut self, waiting: QueuedTask) -> WaitingKey {
        self.insert(waiting, false)
    }

    /// Adds a task that was evicted or lost a race at the front of its lane. A task that already waits keeps its
    /// position. Constant time.
    pub fn push_front(&mut self, waiting: QueuedTask) -> WaitingKey {
        self.insert(waiting, true)
    }

    /// Removes a task that was placed, and charges its team. Constant time.
    pub fn remove(&mut self, key: WaitingKey) -> Option<QueuedTask> {
        let waiting = self.take(key)?;
        let team = *self.team_index.get(&waiting.team)?;
        let kind = kind_index(waiting.kind);
        let team = &mut self.teams[team];
        team.served[kind] =
            team.served[kind].max(self.virtual_time[kind]) + u64::from(waiting.resources.cpu_milli.max(1));
        Some(waiting)
    }

    /// Removes a task without charging its team, because it was cancelled or can never run. Constant time.
    pub fn cancel(&mut self, task: &TaskId) -> Option<QueuedTask> {
        self.take(self.key(task)?)
    }

    /// Selects the task to place next. Linear in the number of teams, and skips at most [`MAX_SKIPS`] cancelled
    /// entries.
    pub fn next(&mut self, kind: Kind, now: TimeMs) -> Next {
        self.unpark(now);
        let kind = kind_index(kind);
        let mut skips = 0;
        while let Some(level) = self.best_level(kind) {
            let ready = &mut self.teams[level.team].ready[kind][level.priority];
            let Some(lane_key) = ready.front().copied() else { break };
            let Some(lane) = self.lanes.get_mut(lane_key) else {
                ready.pop_front();
                continue;
            };
            while let Some(head) = lane.entries.front().copied() {
                if self.tasks.contains_key(head) {
                    ready.rotate_left(1);
                    self.virtual_time[kind] = self.virtual_time[kind].max(self.teams[level.team].served[kind]);
                    return Next::Task(head);
                }
                lane.entries.pop_front();
                skips += 1;
                if skips >= MAX_SKIPS {
                    return Next::More;
                }
            }
            ready.pop_front();
            self.by_level.remove(&(lane.level, lane.class));
            self.lanes.remove(lane_key);
        }
        Next::Idle
    }

    /// Excludes the lane of a task from selection until `until`, because the task cannot be placed now.
    pub fn park(&mut self, key: WaitingKey, until: TimeMs) {
        let Some(waiting) = self.tasks.get(key) else { return };
        let Some(level) = self.level_of(waiting) else { return };
        let Some(lane_key) = self.by_level.get(&(level, waiting.class)).copied() else { return };
        let Some(lane) = self.lanes.get_mut(lane_key) else { return };
        if lane.parked_until.replace(until).is_none() {
            self.teams[level.team].ready[level.kind][level.priority].retain(|k| *k != lane_key);
            self.parked.push(lane_key);
        }
    }

    /// Makes all parked lanes ready again, because capacity has become free. Linear in the number of parked lanes.
    pub fn unpark_all(&mut self) {
        self.unpark(TimeMs(u64::MAX));
    }

    fn insert(&mut self, waiting: QueuedTask, front: bool) -> WaitingKey {
        if let Some(key) = self.key(&waiting.task) {
            return key;
        }
        let level = self.level(&waiting);
        let lane_id = (level, waiting.class);
        let lane_key = *self.by_level.entry(lane_id).or_insert_with(|| {
            let lane = Lane { level, class: waiting.class, entries: VecDeque::new(), parked_until: None };
            let key = self.lanes.insert(lane);
            self.teams[level.team].ready[level.kind][level.priority].push_back(key);
            key
        });
        let task = waiting.task.clone();
        let key = self.tasks.insert(waiting);
        self.by_id.insert(task, key);
        if let Some(lane) = self.lanes.get_mut(lane_key) {
            if front { lane.entries.push_front(key) } else { lane.entries.push_back(key) }
        }
        key
    }

    fn take(&mut self, key: WaitingKey) -> Option<QueuedTask> {
        let waiting = self.tasks.remove(key)?;
        self.by_id.remove(&waiting.task);
        Some(waiting)
    }

    fn level(&mut self, waiting: &QueuedTask) -> Level {
        let team = match self.team_index.get(&waiting.team) {
            Some(team) => *team,
            None => {
                self.teams.push(TeamQueue::default());
                self.team_index.insert(waiting.team.clone(), self.teams.len() - 1);
                self.teams.len() - 1
            }
        };
        level_at(waiting, team)
    }

    fn level_of(&self, waiting: &QueuedTask) -> Option<Level> {
        self.team_index.get(&waiting.team).map(|team| level_at(waiting, *team))
    }

    /// The ready level with the highest priority, and among those the one of the least served team.
    fn best_level(&self, kind: usize) -> Option<Level> {
        let ready = |team: &TeamQueue, p: usize| !team.ready[kind][p].is_empty();
        let priority = (0..PRIORITIES).rev().find(|p| self.teams.iter().any(|team| ready(team, *p)))?;
        let candidates = self.teams.iter().enumerate().filter(|(_, team)| ready(team, priority));
        let team = candidates.min_by_key(|(_, team)| match self.fairness {
            true => (team.served[kind].max(self.virtual_time[kind].saturating_sub(MAX_IDLE_CREDIT_MILLI)), TimeMs(0)),
            false => (0, self.oldest(&team.ready[kind][priority])),
        });
        team.map(|(team, _)| Level { kind, priority, team })
    }

    fn oldest(&self, lanes: &VecDeque<LaneKey>) -> TimeMs {
        let heads = lanes.iter().filter_map(|key| self.lanes.get(*key)?.entries.front());
        heads.filter_map(|key| self.tasks.get(*key)).map(|w| w.since).min().unwrap_or_default()
    }

    fn unpark(&mut self, now: TimeMs) {
        let (lanes, teams) = (&mut self.lanes, &mut self.teams);
        self.parked.retain(|key| {
            let Some(lane) = lanes.get_mut(*key) else { return false };
            if lane.parked_until.is_some_and(|until| until > now) {
                return true;
            }
            lane.parked_until = None;
            teams[lane.level.team].ready[lane.level.kind][lane.level.priority].push_back(*key);
            false
        });
    }
}

/// The maximum lead in service that a team keeps over the others while it is idle, in thousandths of a core.
const MAX_IDLE_CREDIT_MILLI: u64 = 64_000;

fn kind_index(kind: Kind) -> usize {
    match kind {
        Kind::LatencyCritical => 0,
        Kind::Batch => 1,
        Kind::LongRunning => 2,
    }
}

fn level_at(waiting: &QueuedTask, team: usize) -> Level {
    let priority = usize::from(waiting.priority).min(PRIORITIES - 1);
    Level { kind: kind_index(waiting.kind), priority, team }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn waiting(n: u32, team: &str, class: u16) -> QueuedTask {
        QueuedTask {
            task: TaskId::new(format!("c0-{n}")).expect("valid id"),
            kind: Kind::Batch,
            priority: 5,
            team: TeamId::new(team).expect("valid id"),
            class: ClassId(class),
            resources: Resources::new(1_000, 512),
            since: TimeMs(u64::from(n)),
        }
    }

    fn drain(queue: &mut Queue, count: usize) -> Vec<QueuedTask> {
        let mut taken = Vec::new();
        while taken.len() < count {
            match queue.next(Kind::Batch, TimeMs(0)) {
                Next::Task(key) => taken.extend(queue.remove(key)),
                Next::More => {}
                Next::Idle => break,
            }
        }
        taken
    }

    /// Guards against a team that fills the queue and starves the others.
    #[test]
    fn teams_are_served_in_turn() {
        let mut queue = Queue::new();
        (0..100).for_each(|n| _ = queue.push(waiting(n, "flood", 0)));
        (100..110).for_each(|n| _ = queue.push(waiting(n, "small", 0)));
        let taken = drain(&mut queue, 20);
        assert_eq!(taken.iter().filter(|w| w.team.as_str() == "small").count(), 10);
    }

    /// Guards against a task that cannot be placed and blocks all tasks behind it.
    #[test]
    fn a_parked_lane_does_not_block_others() {
        let mut queue = Queue::new();
        let stuck = queue.push(waiting(0, "a", 0));
        queue.push(waiting(1, "a", 1));
        queue.park(stuck, TimeMs(1_000));
        assert_eq!(drain(&mut queue, 2).len(), 1);
        assert_eq!(queue.next(Kind::Batch, TimeMs(999)), Next::Idle);
        assert_eq!(queue.next(Kind::Batch, TimeMs(1_000)), Next::Task(stuck));
    }

    /// Guards against an urgent task that waits until a large number of cancelled entries is skipped.
    #[test]
    fn many_cancellations_cost_bounded_work_per_call() {
        let mut queue = Queue::new();
        let cancelled: Vec<_> = (0..50_000).map(|n| waiting(n, "a", 0)).collect();
        cancelled.iter().for_each(|w| _ = queue.push(w.clone()));
        cancelled.iter().for_each(|w| _ = queue.cancel(&w.task));
        let urgent = queue.push(QueuedTask { priority: 9, ..waiting(60_000, "b", 1) });
        assert_eq!(queue.next(Kind::Batch, TimeMs(0)), Next::Task(urgent));
        queue.remove(urgent);
        assert_eq!(queue.next(Kind::Batch, TimeMs(0)), Next::More);
        assert!(drain(&mut queue, 1).is_empty() && queue.is_empty());
    }
}
