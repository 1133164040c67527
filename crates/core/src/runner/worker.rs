//! What the runner tells the worker, and what the worker says.

use std::sync::Arc;

use crate::{
    ids::AttemptRef,
    record::TaskSpec,
    units::{Resources, TimeMs},
};

data_types! {
    /// How an attempt ended on its worker.
    pub enum WorkerEnd {
        /// It did its work.
        Succeeded,
        /// It ran and failed.
        Failed {
            /// The worker's reason.
            reason: String,
        },
        /// It was stopped.
        Stopped {
            /// Where the next attempt resumes.
            checkpoint: Option<String>,
        },
    }

    /// What the worker said.
    pub enum WorkerEvent {
        /// The start took effect.
        Started,
        /// The start did not take effect, and never will.
        StartRefused,
        /// The answer to a start was lost; it is repeated while the lease holds.
        StartUnknown,
        /// A renewal or a throttle had no answer; it is repeated.
        RenewFailed,
        /// The answer to a stop was lost; it is repeated.
        StopUnknown,
        /// The attempt has ended, by itself or by a stop.
        Ended {
            /// How.
            end: WorkerEnd,
        },
        /// The worker does not know the attempt that it was asked to stop.
        Absent,
    }

    /// One task that the worker reported when the agent claimed it.
    pub struct Adopted {
        /// The attempt.
        pub attempt: AttemptRef,
        /// What it holds.
        pub resources: Resources,
        /// The share of processor time it may use, 0 to 100.
        pub percent: u8,
        /// How it ended, if it has.
        pub end: Option<WorkerEnd>,
    }
}

/// What the caller shall do for the runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEffect {
    /// Start the attempt, with a lease that ends at `until` on this process's clock.
    Start {
        /// The attempt.
        attempt: AttemptRef,
        /// What to run.
        spec: Arc<TaskSpec>,
        /// Where it resumes.
        checkpoint: Option<String>,
        /// The end of the lease.
        until: TimeMs,
    },
    /// Move the end of the attempt's lease to `until` on this process's clock.
    Renew {
        /// The attempt.
        attempt: AttemptRef,
        /// The end of the lease.
        until: TimeMs,
    },
    /// Let the attempt use at most `percent` of its processor time; 0 freezes it.
    Throttle {
        /// The attempt.
        attempt: AttemptRef,
        /// The share.
        percent: u8,
    },
    /// Save the progress of the attempt.
    Checkpoint {
        /// The attempt.
        attempt: AttemptRef,
    },
    /// Stop the attempt for good.
    Stop {
        /// The attempt.
        attempt: AttemptRef,
    },
    /// Drop the ended attempt from the worker's report.
    Forget {
        /// The attempt.
        attempt: AttemptRef,
    },
    /// Send a request to the entries now instead of at the next heartbeat.
    Sync,
}
