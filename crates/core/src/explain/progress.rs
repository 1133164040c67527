//! Tasks that make no progress.

use std::collections::HashMap;

use crate::{ids::TaskId, units::TimeMs};

/// A task without progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stall {
    /// The task.
    pub task: TaskId,
    /// How long it has made no progress.
    pub stalled_ms: u64,
    /// Its progress deadline.
    pub limit_ms: u64,
}

#[derive(Debug, Clone)]
struct Watched {
    attempt: u32,
    counter: Option<u64>,
    progressed: TimeMs,
    limit_ms: u64,
    raised: bool,
}

/// Follows the progress counters of long-running tasks. Each stall is raised once.
///
/// The time while a task waits for its next attempt counts too, so that a task which is never placed is raised as well.
/// A process that takes over starts its watch anew, so that a stall is raised at most one progress deadline late.
#[derive(Debug, Clone, Default)]
pub struct ProgressWatch {
    watched: HashMap<TaskId, Watched>,
}

impl ProgressWatch {
    /// Watches nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts to watch a task. Does nothing for a task that is watched.
    pub fn watch(&mut self, now: TimeMs, task: &TaskId, limit_ms: u64) {
        let new = Watched { attempt: 0, counter: None, progressed: now, limit_ms, raised: false };
        self.watched.entry(task.clone()).or_insert(new);
    }

    /// Ends the watch of a task that has ended.
    pub fn forget(&mut self, task: &TaskId) {
        self.watched.remove(task);
    }

    /// Takes the counter that an attempt reports, and says whether a stalled task makes progress again.
    ///
    /// The first counter of an attempt is no progress yet: an attempt that fails before its counter grows has done
    /// nothing, however often it is started again.
    pub fn report(&mut self, now: TimeMs, task: &TaskId, attempt: u32, counter: u64) -> bool {
        let Some(watched) = self.watched.get_mut(task).filter(|w| attempt >= w.attempt) else { return false };
        let grew = attempt == watched.attempt && watched.counter.is_some_and(|last| counter > last);
        // A late report of the same attempt may carry a smaller counter.
        if attempt > watched.attempt || grew || watched.counter.is_none() {
            watched.attempt = attempt;
            watched.counter = Some(counter);
        }
        if !grew {
            return false;
        }
        watched.progressed = now;
        std::mem::take(&mut watched.raised)
    }

    /// The stalls that have not been raised yet. Linear in the number of tasks.
    pub fn newly_stalled(&mut self, now: TimeMs) -> Vec<Stall> {
        let mut stalls = Vec::new();
        for (task, watched) in &mut self.watched {
            let stalled_ms = now.since_ms(watched.progressed);
            if !watched.raised && stalled_ms > watched.limit_ms {
                watched.raised = true;
                stalls.push(Stall { task: task.clone(), stalled_ms, limit_ms: watched.limit_ms });
            }
        }
        stalls.sort_by(|a, b| a.task.cmp(&b.task));
        stalls
    }

    /// The tasks that are stalled now and have been raised.
    pub fn stalled(&self) -> usize {
        self.watched.values().filter(|watched| watched.raised).count()
    }

    /// The last counter of a task and how long ago it grew.
    pub fn progress(&self, now: TimeMs, task: &TaskId) -> Option<(u64, u64)> {
        let watched = self.watched.get(task)?;
        Some((watched.counter?, now.since_ms(watched.progressed)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn task() -> TaskId {
        TaskId::new("c0-watermark-1").expect("valid id")
    }

    fn watch() -> ProgressWatch {
        let mut watch = ProgressWatch::new();
        watch.watch(TimeMs(0), &task(), 100);
        watch
    }

    /// Guards against a watch job that stalls unnoticed, and against one that is raised on every look.
    #[test]
    fn a_stall_is_raised_once_and_again_after_progress() {
        let mut watch = watch();
        watch.report(TimeMs(10), &task(), 1, 5);
        watch.report(TimeMs(20), &task(), 1, 6);
        assert!(watch.newly_stalled(TimeMs(120)).is_empty());
        assert_eq!(watch.newly_stalled(TimeMs(121)), [Stall { task: task(), stalled_ms: 101, limit_ms: 100 }]);
        assert!(watch.newly_stalled(TimeMs(122)).is_empty());
        assert!(!watch.report(TimeMs(130), &task(), 1, 6));
        assert!(watch.report(TimeMs(131), &task(), 1, 7));
        assert_eq!((watch.stalled(), watch.newly_stalled(TimeMs(231)).len()), (0, 0));
        assert_eq!(watch.newly_stalled(TimeMs(232)).len(), 1);
    }

    /// Guards against a task that fails at once in every attempt and looks busy, and one that is never placed.
    #[test]
    fn new_attempts_alone_are_no_progress() {
        let mut idle = watch();
        assert_eq!(idle.newly_stalled(TimeMs(101)).len(), 1);
        let mut looping = watch();
        (1..=10).for_each(|attempt| {
            looping.report(TimeMs(u64::from(attempt) * 10), &task(), attempt, u64::from(attempt));
        });
        assert_eq!(looping.newly_stalled(TimeMs(101)).len(), 1);
        assert!(looping.report(TimeMs(110), &task(), 10, 11));
        assert!(!looping.report(TimeMs(111), &task(), 9, 50), "a late report of an earlier attempt");
    }
}
