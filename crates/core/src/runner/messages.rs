//! What an agent and an entry tell each other about attempts.

use std::sync::Arc;

use crate::{
    ids::{AgentId, AttemptRef, EntryRef},
    profile::LeaseSettings,
    promise::Promise,
    record::{Outcome, Record, TaskSpec},
    units::Resources,
};

data_types! {
    /// What an agent learned from its worker about an attempt. It is repeated until an entry accepts it.
    pub enum Report {
        /// The attempt is stopped, or never started.
        Stopped {
            /// The attempt.
            attempt: AttemptRef,
            /// Whether it may have started.
            started: bool,
            /// Where the next attempt resumes.
            checkpoint: Option<String>,
        },
        /// The attempt has ended by itself.
        Finished {
            /// The attempt.
            attempt: AttemptRef,
            /// How.
            outcome: Outcome,
        },
    }

    /// What an entry wants done with an attempt.
    pub enum Command {
        /// The assignment has won in the entry's view; start the attempt.
        Start {
            /// The attempt.
            attempt: AttemptRef,
            /// The run of the agent that the assignment names.
            agent_incarnation: u64,
            /// What to run.
            spec: Arc<TaskSpec>,
            /// Where it resumes.
            checkpoint: Option<String>,
        },
        /// The attempt is fenced, cancelled or not known to run; stop it and report.
        Stop {
            /// The attempt.
            attempt: AttemptRef,
            /// The run of the agent that the assignment names.
            agent_incarnation: u64,
        },
        /// Let the attempt use at most this share of its processor time.
        Throttle {
            /// The attempt.
            attempt: AttemptRef,
            /// 1 to 100.
            percent: u8,
        },
        /// Save the progress of the attempt.
        Checkpoint {
            /// The attempt.
            attempt: AttemptRef,
        },
    }

    /// The part of a heartbeat that concerns attempts.
    pub struct SyncRequest {
        /// Who asks.
        pub agent: AgentId,
        /// Which run of it.
        pub incarnation: u64,
        /// Counts the requests of this run to all entries, from 1.
        pub number: u64,
        /// Attempts that it holds and asks proofs for.
        pub held: Vec<AttemptRef>,
        /// What no entry has accepted yet.
        pub reports: Vec<Report>,
        /// Capacity less running attempts and reservations.
        pub free: Resources,
    }

    /// The answer to a [`SyncRequest`].
    pub struct SyncReply {
        /// Who answers.
        pub by: EntryRef,
        /// The run of the agent that is answered.
        pub incarnation: u64,
        /// The request that is answered.
        pub number: u64,
        /// The offset up to which the entry has folded the cell.
        pub view: u64,
        /// Attempts of the request that are not assigned to the agent in this view, or are fenced.
        pub not_assigned: Vec<AttemptRef>,
        /// The newest request of this run that arrived before the start of a tail read that the view includes.
        pub cell_read_after: Option<u64>,
        /// The same for the configuration.
        pub config_read_after: Option<u64>,
        /// The version of the configuration in the entry's view.
        pub config_version: u64,
        /// Whether that version has the agent's availability zone out of service.
        pub zone_out: bool,
        /// The lease times in the entry's view; its proofs hold that long.
        pub lease: LeaseSettings,
        /// What the entry promises, if it may.
        pub promise: Option<Promise>,
        /// What the agent shall do.
        pub commands: Vec<Command>,
        /// Reports whose effect, or whose lack of one, is settled in the log below `view`.
        pub accepted: Vec<AttemptRef>,
    }
}

impl Report {
    /// The attempt that is reported on.
    pub fn attempt(&self) -> &AttemptRef {
        match self {
            Self::Stopped { attempt, .. } | Self::Finished { attempt, .. } => attempt,
        }
    }

    /// The record that an entry appends for it.
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
