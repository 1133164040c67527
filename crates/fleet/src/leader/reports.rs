//! What the leader tells operators: log lines and gauges.

use fescuelead_core::jobs::{CountedCrash, HostName, ReservationChange, StepRef, run_times::SlowRun};

use super::Leader;
use crate::metrics::PredictionLabel;

impl Leader {
    /// Logs a crash that was counted against a task.
    pub(super) fn report_crash(&self, host: &HostName, crash: &CountedCrash) {
        let CountedCrash { task, run, crashes, given_up } = crash;
        log::warn!("crash counted: task={task} run={run} host={host} crashes={crashes}");
        if *given_up {
            log::warn!("task given up: task={task} crashes={crashes}");
            self.entry.config.metrics.tasks_given_up.inc();
        }
    }

    /// Logs reservations of room that were made or have ended.
    pub(super) fn report_reservations(&mut self) {
        for change in self.scheduler.take_reservation_changes() {
            match change {
                ReservationChange::Made { step: StepRef { job, occurrence, step }, hosts, start_in_ms } => {
                    log::info!(
                        "room reserved: job={job} occurrence={occurrence} step={step} hosts={hosts} start_in_ms={start_in_ms}"
                    );
                }
                ReservationChange::Ended { step: StepRef { job, occurrence, step }, held_ms } => {
                    log::info!("reservation ended: job={job} occurrence={occurrence} step={step} held_ms={held_ms}");
                }
            }
        }
    }

    /// Logs runs that have become slow for their steps, and sets the gauges of run times.
    pub(super) fn report_slow_runs(&mut self) {
        let Some(slow) = self.scheduler.take_slow_runs(self.entry.config.clock.moment()) else { return };
        for (run, _) in slow.iter().filter(|(_, known)| !known) {
            let SlowRun { task, run, host, elapsed_ms, percent, median_ms } = run;
            log::info!(
                "run slow for its step: task={task} run={run} host={host} elapsed_ms={elapsed_ms} percent={percent:?} median_ms={median_ms}"
            );
        }
        let metrics = &self.entry.config.metrics;
        metrics.slow_runs.set(slow.len() as i64);
        if let Some((expected, estimate)) = self.scheduler.run_times().errors_percent() {
            metrics.run_time_error_percent.get_or_create(&PredictionLabel { by: "expectation" }).set(expected as i64);
            metrics.run_time_error_percent.get_or_create(&PredictionLabel { by: "estimate" }).set(estimate as i64);
        }
    }

    pub(super) fn set_gauges(&self) {
        let metrics = &self.entry.config.metrics;
        metrics.waiting_steps.set(self.scheduler.waiting_steps() as i64);
        let (hosts, steps) = self.scheduler.reservation_counts();
        metrics.reserved_hosts.set(hosts as i64);
        metrics.reserving_steps.set(steps as i64);
        metrics.hosts_connected.set(self.scheduler.connected_hosts() as i64);
        metrics.departing_hosts.set(self.scheduler.departing_hosts() as i64);
        metrics.held_starts.set(self.held_starts.len() as i64);
        metrics.unreported_runs.set(self.scheduler.unreported_runs() as i64);
    }
}
