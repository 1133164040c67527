//! Detection of tasks that make no progress.

use std::collections::HashMap;

use crate::{ids::TaskId, units::TimeMs};

/// A task that has made no progress for longer than its progress deadline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stall {
    /// Id of the stalled task.
    pub task: TaskId,
    /// The time since the last progress.
    pub stalled_ms: u64,
    /// The progress deadline of the task.
    pub limit_ms: u64,
}

#[derive(Debug, Clone)]
struct Watched {
    attempt: u32,
    counter: Option<u64>,
    last_progress: TimeMs,
    limit_ms: u64,
    reported: bool,
}

/// Monitors the progress counters of long-running tasks. Each stall is reported once.
///
/// The time while a task is pending counts as well, so that a task that is never placed is reported. A process that
/// takes over from another one starts without state, so a stall is reported at most one progress deadline late.
#[derive(Debug, Clone, Default)]
pub struct ProgressWatch {
    watched: HashMap<TaskId, Watched>,
}

impl ProgressWatch {
    /// Creates a monitor without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts to monitor a task. Does nothing if the task is monitored already.
    pub fn watch(&mut self, now: TimeMs, task: &TaskId, limit_ms: u64) {
        let new = Watched { attempt: 0, counter: None, last_progress: now, limit_ms, reported: false };
        self.watched.entry(task.clone()).or_insert(new);
    }

    /// Stops monitoring a task that has ended.
    pub fn forget(&mut self, task: &TaskId) {
        self.watched.remove(task);
    }

    /// Records the progress counter of an attempt. Returns whether a task that was reported as stalled makes progress
    /// again.
    ///
    /// The first counter of an attempt does not count as progress. Otherwise a task that fails right after each start
    /// would appear to make progress.
    pub fn report(&mut self, now: TimeMs, task: &TaskId, attempt: u32, counter: u64) -> bool {
        let Some(watched) = self.watched.get_mut(task).filter(|w| attempt >= w.attempt) else { return false };
        let grew = attempt == watched.attempt && watched.counter.is_some_and(|last| counter > last);
        // Reports of the same attempt may arrive out of order; a smaller counter is ignored.
        if attempt > watched.attempt || grew || watched.counter.is_none() {
            watched.attempt = attempt;
            watched.counter = Some(counter);
        }
        if !grew {
            return false;
        }
        watched.last_progress = now;
        std::mem::take(&mut watched.reported)
    }

    /// Returns the stalls that have not been reported yet, sorted by task, and marks them as reported. Takes O(n log n)
    /// time for n tasks.
    pub fn newly_stalled(&mut self, now: TimeMs) -> Vec<Stall> {
        let mut stalls = Vec::new();
        for (task, watched) in &mut self.watched {
            let stalled_ms = now.since_ms(watched.last_progress);
            if !watched.reported && stalled_ms > watched.limit_ms {
                watched.reported = true;
                stalls.push(Stall { task: task.clone(), stalled_ms, limit_ms: watched.limit_ms });
            }
        }
        stalls.sort_by(|a, b| a.task.cmp(&b.task));
        stalls
    }

    /// The number of tasks that are stalled and have been reported.
    pub fn stalled(&self) -> usize {
        self.watched.values().filter(|watched| watched.reported).count()
    }

    /// The last counter of a task and the milliseconds since its last progress. `None` if the task is not monitored or has
    /// not reported a counter.
    pub fn progress(&self, now: TimeMs, task: &TaskId) -> Option<(u64, u64)> {
        let watched = self.watched.get(task)?;
        Some((watched.counter?, now.since_ms(watched.last_progress)))
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

    /// Guards against a stall that is not reported, and against one that is reported on every check.
    #[test]
    fn a_stall_is_reported_once_and_again_after_progress() {
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

    /// Guards against missing the stall of a task that fails right after each start, and of one that is never placed.
    #[test]
    fn new_attempts_do_not_count_as_progress() {
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
