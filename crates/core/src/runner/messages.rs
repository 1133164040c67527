//! Messages between agents and entries about attempts.

use std::sync::Arc;

use crate::{
    ids::{AgentId, AttemptRef, EntryRef},
    profile::LeaseSettings,
    promise::Promise,
    record::{Outcome, Record, TaskSpec},
    units::Resources,
};

plain! {
    /// The end of an attempt at its agent. The agent repeats it until an entry accepts it.
    pub enum Report {
        /// The attempt was stopped, or never started.
        Stopped {
            /// The attempt that no longer runs.
            attempt: AttemptRef,
            /// False only if it certainly never started.
            started: bool,
            /// The checkpoint at which the next attempt resumes; `None` if it has to start over.
            checkpoint: Option<String>,
        },
        /// The attempt ended without being stopped.
        Finished {
            /// The attempt that ended.
            attempt: AttemptRef,
            /// Success, or failure with its reason.
            outcome: Outcome,
        },
    }

    /// An instruction of an entry to an agent about one attempt.
    pub enum Command {
        /// The assignment has won in the entry's view; start the attempt.
        Start {
            /// The assigned attempt.
            attempt: AttemptRef,
            /// The run of the agent that the assignment names.
            agent_incarnation: u64,
            /// The task as submitted.
            spec: Arc<TaskSpec>,
            /// The checkpoint at which it resumes; `None` to start from the beginning.
            checkpoint: Option<String>,
        },
        /// The attempt is fenced, cancelled or not known to run; stop it and report.
        Stop {
            /// The attempt to stop, whether or not the agent holds it.
            attempt: AttemptRef,
            /// The run of the agent that the assignment names.
            agent_incarnation: u64,
        },
        /// Limit the processor time of the attempt.
        Throttle {
            /// The attempt to limit.
            attempt: AttemptRef,
            /// Percentage of its processor time that it may use, 1 to 100.
            percent: u8,
        },
        /// Write a checkpoint of the attempt.
        Checkpoint {
            /// The running or frozen attempt.
            attempt: AttemptRef,
        },
    }

    /// The part of an agent's heartbeat that concerns attempts.
    pub struct SyncRequest {
        /// The sender.
        pub agent: AgentId,
        /// The run of the agent that sends the request.
        pub incarnation: u64,
        /// Sequence number over the requests of this run to all entries, from 1.
        pub number: u64,
        /// Attempts for which the agent requests proofs.
        pub held: Vec<AttemptRef>,
        /// Reports that no entry has accepted yet.
        pub reports: Vec<Report>,
        /// Capacity that is neither used by attempts nor reserved.
        pub free: Resources,
    }

    /// The answer to a [`SyncRequest`].
    pub struct SyncReply {
        /// The entry that sends the reply.
        pub by: EntryRef,
        /// The run of the agent that sent the request.
        pub incarnation: u64,
        /// The number of the request.
        pub number: u64,
        /// The offset up to which the entry has folded the cell.
        pub view: u64,
        /// Attempts of the request that are not assigned to the agent in this view, or are fenced.
        pub not_assigned: Vec<AttemptRef>,
        /// The newest request of this run that arrived before the start of a tail read that the view includes.
        pub cell_read_after: Option<u64>,
        /// The same for a tail read of the configuration.
        pub config_read_after: Option<u64>,
        /// The version of the configuration in the entry's view.
        pub config_version: u64,
        /// Whether that version has the agent's availability zone out of service.
        pub zone_out: bool,
        /// The lease times in the entry's view, which set how long its proofs are valid.
        pub lease: LeaseSettings,
        /// Absent if the entry may not give promises.
        pub promise: Option<Promise>,
        /// Instructions to the agent, which ignores them if the view is older than one that accepted a report of its run.
        pub commands: Vec<Command>,
        /// Attempts whose reports need not be repeated: the log below `view` contains their effect, or rules it out.
        pub accepted: Vec<AttemptRef>,
    }
}

impl Report {
    /// The attempt that the report is about.
    pub fn attempt(&self) -> &AttemptRef {
        match self {
            Self::Stopped { attempt, .. } | Self::Finished { attempt, .. } => attempt,
        }
    }

    /// The record that an entry appends for the report.
    pub fn to_record(&self) -> Record {
        match self.clone() {
            Self::Stopped { attempt: AttemptRef { task, attempt }, started, checkpoint } => {
                Record::AttemptStopped { task, attempt, started, checkpoint }
            }
            Self::Finished { attempt: AttemptRef { task, attempt }, outcome } => {
                Record::AttemptFinished { task, attempt, outcome }
            }
        }
    }
}
