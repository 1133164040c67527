//! One task on a worker.

use fescuelead_core::{ids::AttemptRef, units::Resources};
use fescuelead_platform::worker::{StartTask, UsageSample, WorkerTask, WorkerTaskState};

use crate::worker::{Payload, host::Refusal};

const CHECKPOINT_PREFIX: &str = "done-ms:";
// How long a task lives on a worker that fails everything.
const FAILING_RUN_MS: f64 = 10.0;
// Well above the rounding of f64 milliseconds over years; an end that rounding puts off would stop the simulation.
const DONE_TOLERANCE_MS: f64 = 1e-3;

#[derive(Debug)]
pub(super) struct Task {
    pub(super) attempt: AttemptRef,
    pub(super) profile: String,
    pub(super) resources: Resources,
    pub(super) state: WorkerTaskState,
    pub(super) percent: u8,
    pub(super) lease_until_ms: f64,
    pub(super) lapsed: bool,
    payload: Payload,
    failing: bool,
    done_ms: f64,
    target_ms: f64,
    checkpoint: Option<String>,
    slice: Slice,
}

/// What was used since the last sample.
#[derive(Debug, Clone, Copy)]
struct Slice {
    from_ms: f64,
    alone_ms: f64,
    work_ms: f64,
}

impl Slice {
    fn new(from_ms: f64) -> Self {
        Self { from_ms, alone_ms: 0.0, work_ms: 0.0 }
    }
}

impl Task {
    pub(super) fn new(task: StartTask, now_ms: f64, lease_until_ms: f64, failing: bool) -> Result<Self, Refusal> {
        let payload = Payload::from_bytes(&task.payload);
        let done_ms = task.checkpoint.as_deref().map_or(Ok(0.0), parse_checkpoint)?;
        let run_ms = payload.run_ms as f64;
        let target_ms = if failing {
            done_ms + FAILING_RUN_MS
        } else {
            payload.stall_after_ms.map_or(run_ms, |stall_ms| run_ms.min(stall_ms as f64))
        };
        Ok(Self {
            attempt: task.attempt,
            profile: task.profile,
            resources: task.resources,
            state: WorkerTaskState::Running,
            percent: 100,
            lease_until_ms,
            lapsed: false,
            payload,
            failing,
            done_ms,
            target_ms,
            checkpoint: task.checkpoint,
            slice: Slice::new(now_ms),
        })
    }

    pub(super) fn is_alive(&self) -> bool {
        self.state == WorkerTaskState::Running
    }

    /// Whether it may use the processor.
    pub(super) fn runs(&self) -> bool {
        self.share() > 0.0
    }

    /// The share of its processor time that it may use, 0 to 1.
    pub(super) fn share(&self) -> f64 {
        f64::from(self.effective_percent()) / 100.0
    }

    /// When it reaches its end (or the point where it stalls) if `slowdown` stays.
    pub(super) fn end_ms(&self, now_ms: f64, slowdown: f64) -> Option<f64> {
        let stalled = self.stalls() && self.is_done();
        (self.runs() && !stalled).then(|| now_ms + (self.target_ms - self.done_ms).max(0.0) * slowdown / self.share())
    }

    /// Lets it work for `span_ms`.
    pub(super) fn work(&mut self, span_ms: f64, slowdown: f64) {
        let alone_ms = span_ms * self.share();
        self.slice.alone_ms += alone_ms;
        self.slice.work_ms += alone_ms / slowdown;
        self.done_ms = (self.done_ms + alone_ms / slowdown).min(self.target_ms.max(self.done_ms));
    }

    /// How it ends, if all its work is done.
    pub(super) fn finished(&self) -> Option<WorkerTaskState> {
        if !self.is_alive() || !self.is_done() || self.stalls() {
            return None;
        }
        Some(if self.failing {
            WorkerTaskState::Failed { reason: "the worker fails everything".to_owned() }
        } else if self.payload.fail {
            WorkerTaskState::Failed { reason: "the payload asks for it".to_owned() }
        } else {
            WorkerTaskState::Succeeded
        })
    }

    pub(super) fn save(&mut self) -> String {
        let checkpoint = format!("{CHECKPOINT_PREFIX}{}", self.progress());
        self.checkpoint = Some(checkpoint.clone());
        checkpoint
    }

    /// How it ends if it is stopped now: with the last checkpoint that was saved.
    pub(super) fn stopped(&self) -> WorkerTaskState {
        WorkerTaskState::Stopped { checkpoint: self.checkpoint.clone() }
    }

    /// The usage since the last sample. Its age is still to be set.
    pub(super) fn sample(&mut self, now_ms: f64) -> Option<UsageSample> {
        let slice = std::mem::replace(&mut self.slice, Slice::new(now_ms));
        let interval_ms = now_ms - slice.from_ms;
        if interval_ms <= 0.0 {
            return None;
        }
        let cpu_milli = f64::from(self.payload.cpu_milli.unwrap_or(self.resources.cpu_milli));
        Some(UsageSample {
            attempt: self.attempt.clone(),
            profile: self.profile.clone(),
            age_ms: 0,
            interval_ms: interval_ms.round() as u64,
            cpu_milli: (cpu_milli * slice.alone_ms / interval_ms).round() as u32,
            memory_mib: self.payload.memory_mib.unwrap_or(self.resources.memory_mib),
            slowdown: if slice.work_ms > 0.0 { slice.alone_ms / slice.work_ms } else { 1.0 },
        })
    }

    pub(super) fn report(&self) -> WorkerTask {
        WorkerTask {
            attempt: self.attempt.clone(),
            profile: self.profile.clone(),
            resources: self.resources,
            state: self.state.clone(),
            throttle_percent: self.effective_percent(),
            progress: self.progress(),
        }
    }

    fn effective_percent(&self) -> u8 {
        if self.is_alive() && !self.lapsed { self.percent } else { 0 }
    }

    fn progress(&self) -> u64 {
        (self.done_ms + DONE_TOLERANCE_MS) as u64
    }

    fn is_done(&self) -> bool {
        self.target_ms - self.done_ms <= DONE_TOLERANCE_MS
    }

    fn stalls(&self) -> bool {
        !self.failing && self.payload.stall_after_ms.is_some_and(|stall_ms| stall_ms < self.payload.run_ms)
    }
}

fn parse_checkpoint(text: &str) -> Result<f64, Refusal> {
    let done_ms = text.strip_prefix(CHECKPOINT_PREFIX).and_then(|number| number.parse::<u64>().ok());
    done_ms.map(|done_ms| done_ms as f64).ok_or_else(|| Refusal::Other(format!("unknown checkpoint {text:?}")))
}
