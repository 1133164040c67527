//! Effects that the runner requests from the worker, and events of the worker.

use std::sync::Arc;

use crate::{
    ids::AttemptRef,
    record::TaskSpec,
    units::{Resources, TimeMs},
};

plain! {
    /// How an attempt ended on its worker.
    pub enum WorkerEnd {
        /// It completed without an error.
        Succeeded,
        /// It ran and failed.
        Failed {
            /// The cause as given by the worker.
            reason: String,
        },
        /// It was stopped on request.
        Stopped {
            /// The checkpoint at which the next attempt resumes; `None` if it has to start over.
            checkpoint: Option<String>,
        },
    }

    /// A response or notification of the worker.
    pub enum WorkerEvent {
        /// The start took effect.
        Started,
        /// The start did not take effect, and never will.
        StartRefused,
        /// The response to a start was lost. The start is repeated while the lease is valid.
        StartUnknown,
        /// A renewal or throttle call got no response; it is repeated.
        RenewFailed,
        /// The response to a stop was lost; the stop is repeated.
        StopUnknown,
        /// The attempt has ended, by itself or by a stop.
        Ended {
            /// Success, failure or a requested stop.
            end: WorkerEnd,
        },
        /// The worker has no record of the attempt that it should stop.
        Absent,
    }

    /// A task that the worker reported when the agent claimed it.
    pub struct Adopted {
        /// The attempt that runs on the worker or has ended there.
        pub attempt: AttemptRef,
        /// Capacity that it occupies until it ends.
        pub resources: Resources,
        /// Limit of its processor time in percent, 0 to 100; 0 if it is frozen.
        pub percent: u8,
        /// `None` while it has not ended.
        pub end: Option<WorkerEnd>,
    }
}

/// An action that the caller carries out for the runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEffect {
    /// Start the attempt, with a lease that ends at `until` on this process's clock.
    Start {
        /// The attempt whose assignment won.
        attempt: AttemptRef,
        /// The task as submitted.
        spec: Arc<TaskSpec>,
        /// The checkpoint at which it resumes; `None` to start from the beginning.
        checkpoint: Option<String>,
        /// The time at which the worker has to freeze it without a renewal.
        until: TimeMs,
    },
    /// Move the end of the attempt's lease to `until` on this process's clock.
    Renew {
        /// An attempt that runs or is about to thaw.
        attempt: AttemptRef,
        /// The time at which the worker has to freeze it without another renewal.
        until: TimeMs,
    },
    /// Limit the attempt to `percent` of its processor time; 0 freezes it.
    Throttle {
        /// The attempt to limit.
        attempt: AttemptRef,
        /// Percentage of its processor time, 0 to 100.
        percent: u8,
    },
    /// Write a checkpoint of the attempt.
    Checkpoint {
        /// The running or frozen attempt.
        attempt: AttemptRef,
    },
    /// Stop the attempt; it never resumes.
    Stop {
        /// The attempt, which the worker may not know.
        attempt: AttemptRef,
    },
    /// Remove the ended attempt from the worker's list.
    Forget {
        /// An attempt whose report an entry has accepted.
        attempt: AttemptRef,
    },
    /// Send a request to the entries now rather than at the next heartbeat.
    Sync,
}
