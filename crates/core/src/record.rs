/*!
What is written to the platform's log.

A [`Batch`] is one append. It names its writer, the writer's incarnation and a sequence number, so that a reader can drop
a repeated append. [`Batch::encode`] and [`Batch::decode`] go through the wire types in `wire`, which are the
only ones that touch the bytes.
*/

use std::{collections::BTreeMap, fmt};

use crate::{
    ids::{AgentId, AvailabilityZone, EntryId, EntryRef, ProfileName, RequestKey, ServiceName, TaskId, TeamId},
    profile::{Kind, LeaseSettings},
    units::Resources,
};

mod wire;

/// The largest encoded batch, in bytes.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;
/// The largest payload of a task, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024;
/// The largest stored answer of a non-idempotent request, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// How long ended tasks and claims are kept after their deadline: one hour.
pub const ENDED_RETENTION_MS: u64 = 3_600_000;

data_types! {
    /// What a task is, as its caller submitted it under the profile in force.
    pub struct TaskSpec {
        /// The service whose code the task runs.
        pub service: ServiceName,
        /// The profile that it was submitted under.
        pub profile: ProfileName,
        /// The team whose quota counts.
        pub team: TeamId,
        /// The kind of work.
        pub kind: Kind,
        /// Whether running it twice does no harm.
        pub idempotent: bool,
        /// What it is declared to need.
        pub resources: Resources,
        /// How long it is declared to run.
        pub run_ms: u64,
        /// 0 to 9; higher is placed first.
        pub priority: u8,
        /// Attempts it may have in all.
        pub attempts: u32,
        /// When its result is no longer useful, in milliseconds since the Unix epoch.
        pub deadline_unix_ms: u64,
        /// The time without progress after which it is raised to operators.
        pub progress_deadline_ms: Option<u64>,
        /// What the task is told, at most [`MAX_PAYLOAD_BYTES`].
        pub payload: Vec<u8>,
    }

    /// How an attempt ended.
    pub enum Outcome {
        /// It did its work.
        Succeeded,
        /// It ran and failed.
        Failed {
            /// The worker's reason.
            reason: String,
        },
    }

    /// Why an attempt was fenced.
    pub enum FenceReason {
        /// Its agent fell silent.
        AgentLost,
        /// Its availability zone was taken out.
        ZoneOut,
        /// It harmed its neighbours more than throttling could correct.
        Interference,
    }

    /// How a non-idempotent request ended.
    pub enum RequestOutcome {
        /// The endpoint answered.
        Answered {
            /// The HTTP status.
            status: u16,
            /// The content type of the body.
            content_type: String,
            /// The whole body, at most [`MAX_ANSWER_BYTES`].
            body: Vec<u8>,
        },
        /// It truly did not run.
        NotRun,
        /// It is unknown whether it ran.
        Unknown,
    }

    /// One entry in a stream.
    pub enum Record {
        /// Configuration: replaces the profile set if `expected_version` is in force.
        ProfilesPublished {
            /// The version that the operator saw.
            expected_version: u64,
            /// The profile set as TOML.
            text: String,
            /// Who published it.
            author: String,
        },
        /// Configuration: takes an availability zone out or in if `expected_version` is in force.
        ZoneSet {
            /// The version that the operator saw.
            expected_version: u64,
            /// The availability zone.
            availability_zone: AvailabilityZone,
            /// Whether it is out of service.
            out: bool,
            /// Who asked for it.
            author: String,
        },
        /// A new task; the first for an id wins.
        TaskSubmitted {
            /// The task.
            task: TaskId,
            /// What it is.
            spec: TaskSpec,
        },
        /// Gives an attempt to an agent; the first in offset order wins.
        TaskAssigned {
            /// The task.
            task: TaskId,
            /// Counts from 1.
            attempt: u32,
            /// Where it shall run.
            agent: AgentId,
            /// The run of the agent that reserved the capacity.
            agent_incarnation: u64,
        },
        /// Revokes an attempt; void unless its writer is a member of the fencing set.
        AttemptFenced {
            /// The task.
            task: TaskId,
            /// The attempt.
            attempt: u32,
            /// Why.
            reason: FenceReason,
        },
        /// The worker reports that an attempt is stopped.
        AttemptStopped {
            /// The task.
            task: TaskId,
            /// The attempt.
            attempt: u32,
            /// Whether it had started at all.
            started: bool,
            /// Where the next attempt resumes.
            checkpoint: Option<String>,
        },
        /// The worker reports that an attempt has ended.
        AttemptFinished {
            /// The task.
            task: TaskId,
            /// The attempt.
            attempt: u32,
            /// How.
            outcome: Outcome,
        },
        /// The wait for a fenced attempt of a non-idempotent task is over, without a report from its worker.
        AttemptLost {
            /// The task.
            task: TaskId,
            /// The attempt.
            attempt: u32,
        },
        /// The caller wants the task to end.
        TaskCancelled {
            /// The task.
            task: TaskId,
        },
        /// Claims the right to send a non-idempotent request to one agent; the first for a key wins.
        RequestClaimed {
            /// The caller's key, made unique by its service.
            key: RequestKey,
            /// Digest of method, path and body.
            digest: u64,
            /// The agent that it is sent to.
            agent: AgentId,
            /// The run of that agent.
            agent_incarnation: u64,
            /// Until when the outcome is kept, in milliseconds since the Unix epoch.
            deadline_unix_ms: u64,
        },
        /// The outcome of a claimed request; the first for a claim wins.
        RequestResolved {
            /// The key.
            key: RequestKey,
            /// The offset of the claim. A key may be claimed again, and a late record must not touch the new claim.
            claim_offset: u64,
            /// The outcome.
            outcome: RequestOutcome,
        },
        /// The writer wants to become a fencing entry.
        EntryRegistered {
            /// Where agents reach it, as `ip:port`.
            peer_address: String,
        },
        /// The writer names a candidate in its promises from now on.
        FencerAcked {
            /// The candidate.
            candidate: EntryRef,
        },
        /// The candidate has waited as it must and is a full member from here on.
        FencerAdmitted,
        /// The writer gives up its right to fence.
        EntryLeft,
        /// Removes a silent entry; its later fences are void.
        EntryRemoved {
            /// The silent one.
            entry: EntryRef,
        },
        /// A part of a snapshot.
        SnapshotChunk {
            /// The snapshot holds all records below this offset.
            as_of: u64,
            /// The place of the part, from 0.
            index: u32,
            /// The number of parts.
            count: u32,
            /// The part.
            bytes: Vec<u8>,
        },
        /// Puts lease times in force for the cell, unless those of a newer configuration are.
        LeaseSet {
            /// The version of the configuration that they come from.
            config_version: u64,
            /// The lease times.
            lease: LeaseSettings,
        },
        /// Puts quotas of teams in force for the cell, unless those of a newer configuration are.
        QuotasSet {
            /// The version of the configuration that they come from.
            config_version: u64,
            /// What the tasks of each team may hold at one time.
            quotas: BTreeMap<TeamId, Resources>,
        },
        /// Ended tasks and claims whose deadline is more than [`ENDED_RETENTION_MS`] before this time are dropped. The time comes
        /// through the log so that all readers drop the same ones at the same offset.
        Expired {
            /// The time by the writer's wall clock, in milliseconds since the Unix epoch.
            now_unix_ms: u64,
        },
        /// A waiting task can never run.
        TaskRejected {
            /// The task.
            task: TaskId,
            /// Why, with the remedy.
            reason: String,
        },
    }

    /// One append.
    pub struct Batch {
        /// Who wrote it.
        pub writer: EntryId,
        /// Which run of it.
        pub incarnation: u64,
        /// Counts the writer's appends to the stream, from 1.
        pub sequence: u64,
        /// What it wrote.
        pub records: Vec<Record>,
    }
}

impl Batch {
    /// Starts an empty batch.
    pub fn new(writer: EntryId, incarnation: u64, sequence: u64) -> Self {
        Self { writer, incarnation, sequence, records: Vec::new() }
    }

    /// Adds a record.
    pub fn with_record(mut self, record: Record) -> Self {
        self.records.push(record);
        self
    }

    /// Who wrote it, with its incarnation.
    pub fn writer_ref(&self) -> EntryRef {
        EntryRef::new(self.writer.clone(), self.incarnation)
    }

    /// The bytes of the append. Linear in the size of the records.
    ///
    /// # Errors
    ///
    /// Fails if the batch is larger than [`MAX_BATCH_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        wire::encode(self)
    }

    /// Reads an append back. Linear in its length.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no batch of a version that this program knows. A reader skips and counts such an append.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        wire::decode(bytes)
    }
}

/// Says why an append could not be written or read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordError {
    kind: RecordErrorKind,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum RecordErrorKind {
    TooLarge { length_bytes: usize },
    NewerVersion { version: u8 },
    Malformed { message: String },
}

impl RecordError {
    fn new(kind: RecordErrorKind) -> Self {
        Self { kind }
    }

    /// Whether a newer program wrote the append.
    pub fn is_newer_version(&self) -> bool {
        matches!(self.kind, RecordErrorKind::NewerVersion { .. })
    }
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            RecordErrorKind::TooLarge { length_bytes } => {
                write!(f, "the batch has {length_bytes} bytes; send fewer records at once (limit {MAX_BATCH_BYTES})")
            }
            RecordErrorKind::NewerVersion { version } => {
                write!(f, "the record has format version {version}; upgrade this process to read it")
            }
            RecordErrorKind::Malformed { message } => {
                write!(f, "the record cannot be decoded ({message}); check who else writes to this stream")
            }
        }
    }
}

impl std::error::Error for RecordError {}
