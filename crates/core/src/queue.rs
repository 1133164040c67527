/*!
QueuedTask tasks: separate queues per kind, priorities, fairness between teams, bounded work per event.

Tasks of one kind, priority, team and class form a lane. [`Queue::next`] takes the highest priority first, then the team
that was served least, then its lanes in turn. A lane whose head cannot be placed now is [parked](Queue::park), so that
it never blocks others. Cancelling is constant work: the task leaves the arena at once, and its place in the lane is
passed over later, at most [`MAX_SKIPS`] places per call.
*/

use std::collections::{HashMap, VecDeque};

use slotmap::{SlotMap, new_key_type};

use crate::{
    ids::{TaskId, TeamId},
    interference::ClassId,
    profile::Kind,
    units::{Resources, TimeMs},
};

/// Cancelled places that one call passes over at most.
pub const MAX_SKIPS: usize = 64;
/// Priorities go from 0 to 9.
const PRIORITIES: usize = 10;
const KINDS: usize = 3;

new_key_type! {
    /// A waiting task.
    pub struct WaitingKey;
    /// The waiting tasks of one kind, priority, team and class.
    struct LaneKey;
}

/// A task that waits to be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedTask {
    /// The task.
    pub task: TaskId,
    /// Its kind.
    pub kind: Kind,
    /// 0 to 9; higher goes first.
    pub priority: u8,
    /// Its team.
    pub team: TeamId,
    /// Its class.
    pub class: ClassId,
    /// What it is declared to need.
    pub resources: Resources,
    /// When it began to wait.
    pub since: TimeMs,
}

/// What [`Queue::next`] found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// The task to place next. It stays in the queue until [`Queue::remove`].
    Task(WaitingKey),
    /// The bounded work of this call is used up; call again.
    More,
    /// Nothing is waiting that could go now.
    Idle,
}

#[derive(Debug, Clone)]
struct Lane {
    level: Level,
    class: ClassId,
    places: VecDeque<WaitingKey>,
    parked_until: Option<TimeMs>,
}

/// A place in the table of levels: kind, priority and team.
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
    /// What the team was given per kind, in thousandths of a core.
    served: [u64; KINDS],
}

/// The waiting tasks of all kinds.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    tasks: SlotMap<WaitingKey, QueuedTask>,
    by_id: HashMap<TaskId, WaitingKey>,
    lanes: SlotMap<LaneKey, Lane>,
    by_level: HashMap<(Level, ClassId), LaneKey>,
    teams: Vec<TeamQueue>,
    team_index: HashMap<TeamId, usize>,
    parked: Vec<LaneKey>,
    /// Service given so far to the least served active team, per kind.
    floor: [u64; KINDS],
    fair: bool,
}

impl Queue {
    /// An empty queue.
    pub fn new() -> Self {
        Self { fair: true, ..Self::default() }
    }

    /// Serves teams in turn (the default) or, switched off, by the time of arrival of their oldest task.
    pub fn with_fairness(self, fair: bool) -> Self {
        Self { fair, ..self }
    }

    /// The number of waiting tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// A waiting task.
    pub fn get(&self, key: WaitingKey) -> Option<&QueuedTask> {
        self.tasks.get(key)
    }

    /// The key of a waiting task.
    pub fn key(&self, task: &TaskId) -> Option<WaitingKey> {
        self.by_id.get(task).copied()
    }

    /// Adds a task at the end of its lane. A task that waits already keeps its place. Constant time.
    pub fn push(&mut self, waiting: QueuedTask) -> WaitingKey {
        self.insert(waiting, false)
    }

    /// Puts a task that was evicted or lost a race back at the front of its lane. Constant time.
    pub fn push_front(&mut self, waiting: QueuedTask) -> WaitingKey {
        self.insert(waiting, true)
    }

    /// Takes a task out because it was placed, and charges its team. Constant time.
    pub fn remove(&mut self, key: WaitingKey) -> Option<QueuedTask> {
        let waiting = self.take(key)?;
        let team = *self.team_index.get(&waiting.team)?;
        let kind = kind_index(waiting.kind);
        let team = &mut self.teams[team];
        team.served[kind] = team.served[kind].max(self.floor[kind]) + u64::from(waiting.resources.cpu_milli.max(1));
        Some(waiting)
    }

    /// Takes a task out without charging its team: it was cancelled or can never run. Constant time.
    pub fn cancel(&mut self, task: &TaskId) -> Option<QueuedTask> {
        self.take(self.key(task)?)
    }

    /// The task to place next. Looks at each team once and passes over at most [`MAX_SKIPS`] cancelled places.
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
            while let Some(head) = lane.places.front().copied() {
                if self.tasks.contains_key(head) {
                    ready.rotate_left(1);
                    self.floor[kind] = self.floor[kind].max(self.teams[level.team].served[kind]);
                    return Next::Task(head);
                }
                lane.places.pop_front();
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

    /// Lets the lane of a task rest until `until` because its head cannot be placed now.
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

    /// Makes all parked lanes ready again because capacity has become free. Linear in the number of parked lanes.
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
            let lane = Lane { level, class: waiting.class, places: VecDeque::new(), parked_until: None };
            let key = self.lanes.insert(lane);
            self.teams[level.team].ready[level.kind][level.priority].push_back(key);
            key
        });
        let task = waiting.task.clone();
        let key = self.tasks.insert(waiting);
        self.by_id.insert(task, key);
        if let Some(lane) = self.lanes.get_mut(lane_key) {
            if front { lane.places.push_front(key) } else { lane.places.push_back(key) }
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
        let team = candidates.min_by_key(|(_, team)| match self.fair {
            true => (team.served[kind].max(self.floor[kind].saturating_sub(CREDIT)), TimeMs(0)),
            false => (0, self.oldest(&team.ready[kind][priority])),
        });
        team.map(|(team, _)| Level { kind, priority, team })
    }

    fn oldest(&self, lanes: &VecDeque<LaneKey>) -> TimeMs {
        let heads = lanes.iter().filter_map(|key| self.lanes.get(*key)?.places.front());
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

/// A team that was idle keeps at most this lead over the others, in thousandths of a core.
const CREDIT: u64 = 64_000;

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

    /// Guards against a team that floods the queue and starves the others.
    #[test]
    fn teams_are_served_in_turn() {
        let mut queue = Queue::new();
        (0..100).for_each(|n| _ = queue.push(waiting(n, "flood", 0)));
        (100..110).for_each(|n| _ = queue.push(waiting(n, "small", 0)));
        let taken = drain(&mut queue, 20);
        assert_eq!(taken.iter().filter(|w| w.team.as_str() == "small").count(), 10);
    }

    /// Guards against a task that cannot be placed and holds up all behind it.
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

    /// Guards against an urgent task that waits until a wave of cancellations is worked off.
    #[test]
    fn a_wave_of_cancellations_is_bounded_work_per_call() {
        let mut queue = Queue::new();
        let wave: Vec<_> = (0..50_000).map(|n| waiting(n, "a", 0)).collect();
        wave.iter().for_each(|w| _ = queue.push(w.clone()));
        wave.iter().for_each(|w| _ = queue.cancel(&w.task));
        let urgent = queue.push(QueuedTask { priority: 9, ..waiting(60_000, "b", 1) });
        assert_eq!(queue.next(Kind::Batch, TimeMs(0)), Next::Task(urgent));
        queue.remove(urgent);
        assert_eq!(queue.next(Kind::Batch, TimeMs(0)), Next::More);
        assert!(drain(&mut queue, 1).is_empty() && queue.is_empty());
    }
}
