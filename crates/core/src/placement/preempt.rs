//! Room for an urgent task, made by moving less urgent ones.

use crate::{placement::WorkerKey, units::Resources};

/// A running task that may have to give way.
#[derive(Debug, Clone, PartialEq)]
pub struct PreemptCandidate<T> {
    /// Names the task to the caller.
    pub task: T,
    /// 0 to 9.
    pub priority: u8,
    /// What it holds.
    pub declared: Resources,
    /// Work that would be lost or redone, in milliseconds: the time since its last checkpoint, or what stopping costs.
    pub lost_ms: u64,
}

/// Who gives way, and where.
#[derive(Debug, Clone, PartialEq)]
pub struct Preemption<T> {
    /// The worker.
    pub worker: WorkerKey,
    /// The tasks to checkpoint and move.
    pub tasks: Vec<T>,
    /// The work that is lost or redone, in milliseconds.
    pub lost_ms: u64,
}

/// The cheapest way to make room for `declared` at `priority`: fewest tasks first, then least work lost. Only tasks of a
/// lower priority give way. Linear in the number of tasks, apart from sorting those of one worker.
pub fn preempt<T: Clone>(
    declared: &Resources,
    priority: u8,
    workers: impl IntoIterator<Item = (WorkerKey, Resources, Vec<PreemptCandidate<T>>)>,
) -> Option<Preemption<T>> {
    workers
        .into_iter()
        .filter_map(|(worker, free, tasks)| give_way(declared, priority, worker, free, tasks))
        .min_by_key(|p| (p.tasks.len(), p.lost_ms))
}

fn give_way<T: Clone>(
    declared: &Resources,
    priority: u8,
    worker: WorkerKey,
    mut free: Resources,
    mut tasks: Vec<PreemptCandidate<T>>,
) -> Option<Preemption<T>> {
    tasks.retain(|task| task.priority < priority);
    // A single task that is large enough loses less than several small ones.
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

    /// Guards against an urgent task that drives out its equals, or more tasks than it needs.
    #[test]
    fn the_fewest_and_cheapest_lower_tasks_give_way() {
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
