//! Preemption: moves tasks of lower priority to make room for an urgent one.

use crate::{placement::WorkerKey, units::Resources};

/// A running task that may be preempted.
#[derive(Debug, Clone, PartialEq)]
pub struct PreemptCandidate<T> {
    /// The caller's identifier of the task.
    pub task: T,
    /// The priority, 0 to 9; a higher value is more urgent.
    pub priority: u8,
    /// The resources that are reserved for the task.
    pub declared: Resources,
    /// Work that would be lost or repeated, in milliseconds: the time since the last checkpoint, or the cost of a stop.
    pub lost_ms: u64,
}

/// The tasks to preempt on one worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Preemption<T> {
    /// The worker that gets enough room.
    pub worker: WorkerKey,
    /// The tasks to checkpoint and move, in the order in which they were selected.
    pub tasks: Vec<T>,
    /// The sum of [`PreemptCandidate::lost_ms`] over the tasks.
    pub lost_ms: u64,
}

/// Finds the cheapest way to make room for `declared` at `priority`: the fewest tasks, then the least lost work. Only
/// tasks of lower priority are preempted. Returns `None` if no worker can get enough room. Linear in the number of
/// tasks, apart from sorting the tasks of each worker.
pub fn preempt<T: Clone>(
    declared: &Resources,
    priority: u8,
    workers: impl IntoIterator<Item = (WorkerKey, Resources, Vec<PreemptCandidate<T>>)>,
) -> Option<Preemption<T>> {
    workers
        .into_iter()
        .filter_map(|(worker, free, tasks)| victims_on(declared, priority, worker, free, tasks))
        .min_by_key(|p| (p.tasks.len(), p.lost_ms))
}

fn victims_on<T: Clone>(
    declared: &Resources,
    priority: u8,
    worker: WorkerKey,
    mut free: Resources,
    mut tasks: Vec<PreemptCandidate<T>>,
) -> Option<Preemption<T>> {
    tasks.retain(|task| task.priority < priority);
    // One task that is large enough is preferred to several small ones.
    let missing = declared.minus(&free);
    tasks.sort_by_key(|task| (!missing.fits_in(&task.declared), task.priority, task.lost_ms));
    let mut preemption = Preemption { worker, tasks: Vec::new(), lost_ms: 0 };
    for task in tasks {
        if declared.fits_in(&free) {
            break;
        }
        free = free.plus(&task.declared);
        preemption.tasks.push(task.task);
        preemption.lost_ms += task.lost_ms;
    }
    declared.fits_in(&free).then_some(preemption)
}

#[cfg(test)]
mod tests {
    use super::*;
    use slotmap::SlotMap;

    /// Guards against preempting tasks of equal priority, or more tasks than necessary.
    #[test]
    fn the_fewest_and_cheapest_tasks_of_lower_priority_are_preempted() {
        let mut arena: SlotMap<WorkerKey, ()> = SlotMap::with_key();
        let worker = arena.insert(());
        let task = |task: u8, priority, cpu, lost_ms| PreemptCandidate {
            task,
            priority,
            declared: Resources::new(cpu, 1),
            lost_ms,
        };
        let tasks = vec![task(1, 5, 1_000, 10), task(2, 5, 4_000, 99), task(3, 9, 4_000, 1)];
        let need = Resources::new(4_000, 0);
        let found = preempt(&need, 9, [(worker, Resources::ZERO, tasks.clone())]).expect("room");
        assert_eq!((found.tasks, found.lost_ms), (vec![2], 99));
        assert!(preempt(&need, 5, [(worker, Resources::ZERO, tasks)]).is_none());
    }
}
