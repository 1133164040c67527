//! The metrics of an agent's control.

use fescuelead_core::units::TimeMs;
use fescuelead_platform::worker::WorkerTaskState;

use crate::{agent::control::AgentControl, limited};

impl AgentControl {
    /// Brings the metrics up to date. Linear in the tasks on the worker.
    pub(super) fn measure(&self, now: TimeMs) {
        let state = &mut *self.state.borrow_mut();
        let metrics = &self.metrics;
        let runner = &state.runner;
        let running = state.tasks.values().filter(|task| task.state == WorkerTaskState::Running);
        let running: Vec<_> = running.map(|task| &task.attempt).collect();
        metrics.running_tasks.set(running.len() as i64);
        let left_ms = running.iter().map(|attempt| runner.run_until(attempt).since_ms(now)).min();
        metrics.lease_left_seconds.set(left_ms.unwrap_or(0) as f64 / 1_000.0);
        let frozen = running.iter().filter(|attempt| runner.is_frozen(attempt)).map(|attempt| (*attempt).clone());
        let frozen = frozen.collect();
        for attempt in state.frozen.symmetric_difference(&frozen) {
            if frozen.contains(attempt) {
                limited!(Warn, "runner: {attempt} is frozen; no proof of its lease came in time.");
                metrics.freezes.inc();
            } else {
                limited!(Info, "runner: {attempt} is no longer frozen.");
            }
        }
        state.frozen = frozen;
        metrics.frozen_tasks.set(state.frozen.len() as i64);
        metrics.config_version.set(i64::try_from(runner.config_version()).unwrap_or(i64::MAX));
        metrics.entries.set(state.links.len() as i64);
        metrics.heartbeat_age_seconds.set(now.since_ms(state.answered_at) as f64 / 1_000.0);
        let (slots, in_use) = self.host.reports().iter().fold((0, 0), |(slots, in_use), report| {
            (slots + i64::from(report.slots), in_use + i64::from(report.in_flight))
        });
        metrics.slots.set(slots);
        metrics.slots_in_use.set(in_use);
    }
}
