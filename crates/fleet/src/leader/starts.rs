/*!
Starts whose records are stored, until they are sent.

Between the decision and the storage of its records the store may have been away for seconds. Meanwhile other entries may have
acknowledged the cancellation of the job, or operators have taken the availability zone out of service. Starts are therefore
held until the copies of the store are recent, and checked once more before they are sent.
*/

use std::sync::Arc;

use fescuelead_core::{
    jobs::{HostName, JobSpec, StartCheck, TaskRef},
    units::TimeMs,
};

use super::Leader;
use crate::{
    message::{Start, ToAgent},
    session::StartOfJob,
};

/// Starts that were held for longer are logged, in milliseconds: many times what a read of the store usually takes.
const LOGGED_HOLD_MS: u64 = 500;

/// A start whose records are stored.
#[derive(Debug)]
pub(super) struct StoredStart {
    pub host: HostName,
    pub incarnation: u64,
    pub task: TaskRef,
    pub run: u32,
    pub spec: Arc<JobSpec>,
    pub checkpoint: Option<String>,
    /// Whether the host has reported the run, so that the order only describes it.
    pub reported: bool,
}

/// The starts that wait to be sent.
#[derive(Debug, Default)]
pub(super) struct HeldStarts {
    starts: Vec<StoredStart>,
    /// Since when the first of them has waited; `None` if there is none.
    since: Option<TimeMs>,
}

impl HeldStarts {
    fn hold(&mut self, start: StoredStart, now: TimeMs) {
        self.since.get_or_insert(now);
        self.starts.push(start);
    }

    /// Drops the starts on a host. They are decided again when it has reported its runs.
    pub(super) fn drop_host(&mut self, host: &HostName) {
        self.starts.retain(|start| start.host != *host);
    }

    pub(super) fn len(&self) -> usize {
        self.starts.len()
    }
}

impl Leader {
    /// Sends a start that only describes a run, and holds any other.
    pub(super) fn handle_stored_start(&mut self, start: StoredStart) {
        if start.reported {
            self.send_start(start);
        } else {
            self.held_starts.hold(start, self.entry.config.clock.now());
        }
    }

    /// Whether starts wait for a read of the store.
    pub(super) fn waits_for_copies(&self) -> bool {
        self.held_starts.len() > 0 && !self.entry.allows_starts()
    }

    /// Sends the held starts if this process is certain to lead and its copies of the store are recent. All changes that the
    /// entry has read must have been handled before.
    pub(super) fn send_held_starts(&mut self) {
        if self.held_starts.len() == 0 || !self.leadership.holds() || !self.entry.allows_starts() {
            return;
        }
        let HeldStarts { starts, since } = std::mem::take(&mut self.held_starts);
        let held_ms = since.map_or(0, |since| self.entry.config.clock.now().since_ms(since));
        if held_ms > LOGGED_HOLD_MS {
            log::info!("starts were held until the store was read: starts={} held_ms={held_ms}", starts.len());
        }
        starts.into_iter().for_each(|start| self.send_start(start));
    }

    /// Sends a start unless the run may no longer start.
    fn send_start(&self, start: StoredStart) {
        let StoredStart { host, incarnation, task, run, spec, checkpoint, reported } = start;
        let Some(step) = spec.steps.get(task.step as usize) else { return };
        match self.scheduler.check_start(&host, incarnation, &task, run, reported) {
            StartCheck::Send => {}
            StartCheck::Stop => {
                log::info!("start called off because the host takes no more starts: task={task} run={run} host={host}");
                return self.send_order(&host, ToAgent::Stop { task, run });
            }
            StartCheck::Drop => {
                log::info!(
                    "start dropped because the run is not assigned or the host has not reported its runs: task={task} \
                     run={run} host={host}"
                );
                return;
            }
        }
        log::info!("run ordered: task={task} run={run} host={host}");
        self.entry.config.metrics.runs_ordered.inc();
        let start = Start {
            incarnation,
            task,
            run,
            payload: String::new(),
            checkpoint,
            cpu_milli: step.resources.cpu_milli,
            background: step.background,
            tail_target_ms: step.tail_target_ms,
            image: step.image.clone(),
            memory_mib: step.resources.memory_mib,
            accelerators: step.resources.accelerators,
            expires_at_ms: None,
        };
        self.send_order(&host, StartOfJob::new(start, spec, self.entry.start_deadline()));
    }
}
