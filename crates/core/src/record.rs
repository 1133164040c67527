/*!
Records in the platform's log.

A [`Batch`] is the content of one append. It carries its writer, the writer's incarnation and a sequence number, so that
readers can drop a repeated append. The submodule `wire` defines the encoding.
*/

use std::{collections::BTreeMap, fmt};

use crate::{
    ids::{AgentId, AvailabilityZone, EntryId, EntryRef, ProfileName, RequestKey, ServiceName, TaskId, TeamId},
    profile::{Kind, LeaseSettings},
    units::Resources,
};

mod wire;

/// The maximum size of an encoded batch, in bytes.
pub const MAX_BATCH_BYTES: usize = 512 * 1024;
/// The maximum size of a task payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024;
/// The maximum size of a stored response body of a non-idempotent request, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// How long ended tasks and claims are kept after their deadline, in milliseconds: one hour.
pub const ENDED_RETENTION_MS: u64 = 3_600_000;

plain! {
    /// A task as submitted by its caller, with the settings of its profile at that time.
    pub struct TaskSpec {
        /// The service whose code the task runs.
        pub service: ServiceName,
        /// The profile of the service at submission.
        pub profile: ProfileName,
        /// The team whose quota the task uses.
        pub team: TeamId,
        /// The kind of work, which selects queue and limits.
        pub kind: Kind,
        /// Whether the task may safely run more than once.
        pub idempotent: bool,
        /// Declared resource needs.
        pub resources: Resources,
        /// Declared run time, in milliseconds.
        pub run_ms: u64,
        /// 0 to 9; tasks with a higher priority are placed first.
        pub priority: u8,
        /// The number of attempts that may fail before the task fails.
        pub attempts: u32,
        /// The time after which the result is no longer useful, in milliseconds since the Unix epoch.
        pub deadline_unix_ms: u64,
        /// The time without progress, in milliseconds, after which operators are alerted. `None` disables the check.
        pub progress_deadline_ms: Option<u64>,
        /// Input of the task, at most [`MAX_PAYLOAD_BYTES`].
        pub payload: Vec<u8>,
    }

    /// The result of an attempt that ran to its end.
    pub enum Outcome {
        /// The work is complete.
        Succeeded,
        /// The work failed.
        Failed {
            /// The reason as reported by the worker.
            reason: String,
        },
    }

    /// Why an attempt was fenced.
    pub enum FenceReason {
        /// The agent stopped sending heartbeats.
        AgentLost,
        /// The availability zone of the agent was taken out of service.
        ZoneOut,
        /// The attempt slowed down other work on the host, and throttling did not help.
        Interference,
    }

    /// The outcome of a non-idempotent request.
    pub enum RequestOutcome {
        /// The endpoint answered.
        Answered {
            /// HTTP status code of the response.
            status: u16,
            /// Content type of the response; empty if it had none.
            content_type: String,
            /// The complete body, at most [`MAX_ANSWER_BYTES`].
            body: Vec<u8>,
        },
        /// The request is known not to have run.
        NotRun,
        /// It is unknown whether the request ran.
        Unknown,
    }

    /// One record in a stream.
    pub enum Record {
        /// Configuration: replaces the profile set if `expected_version` is in force.
        ProfilesPublished {
            /// The version in force when the operator made the change.
            expected_version: u64,
            /// The profile set as TOML.
            text: String,
            /// The operator who published the set.
            author: String,
        },
        /// Configuration: takes an availability zone out of service or brings it back if `expected_version` is in force.
        ZoneSet {
            /// The version in force when the operator made the change.
            expected_version: u64,
            /// Name of the availability zone.
            availability_zone: AvailabilityZone,
            /// `true` to take the zone out of service, `false` to bring it back.
            out: bool,
            /// The operator who requested the change.
            author: String,
        },
        /// Creates a task. Later submissions with the same id have no effect.
        TaskSubmitted {
            /// Id of the new task.
            task: TaskId,
            /// The submission with the settings of its profile.
            spec: TaskSpec,
        },
        /// Assigns the next attempt of a task to an agent. The first assignment in offset order takes effect.
        TaskAssigned {
            /// The task to run.
            task: TaskId,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// The agent that shall run the attempt.
            agent: AgentId,
            /// The incarnation of the agent that reserved the capacity.
            agent_incarnation: u64,
        },
        /// Revokes an attempt. Ignored unless its writer is a member of the fencing set.
        AttemptFenced {
            /// The task whose attempt is revoked.
            task: TaskId,
            /// Number of the revoked attempt.
            attempt: u32,
            /// Shown to operators.
            reason: FenceReason,
        },
        /// The worker reports that an attempt has stopped before its end.
        AttemptStopped {
            /// The task, which returns to pending or ends.
            task: TaskId,
            /// Number of the stopped attempt.
            attempt: u32,
            /// Whether the attempt had started.
            started: bool,
            /// The checkpoint from which the next attempt resumes, if one was saved.
            checkpoint: Option<String>,
        },
        /// The worker reports that an attempt ran to its end.
        AttemptFinished {
            /// The task, which ends or returns to pending for a retry.
            task: TaskId,
            /// Number of the finished attempt.
            attempt: u32,
            /// The result as reported by the worker.
            outcome: Outcome,
        },
        /// The worker of a fenced attempt did not report in time. Ends a non-idempotent task as `Unknown`, and a cancelled
        /// one as `Cancelled`.
        AttemptLost {
            /// The task of the fenced attempt.
            task: TaskId,
            /// Number of the fenced attempt.
            attempt: u32,
        },
        /// The caller cancels a task.
        TaskCancelled {
            /// The task, which ends once its current attempt has stopped.
            task: TaskId,
        },
        /// Claims the right to send a non-idempotent request to one agent. The first claim of a key takes effect.
        RequestClaimed {
            /// The caller's idempotency key, made unique by its service.
            key: RequestKey,
            /// Digest of method, path and body.
            digest: u64,
            /// The agent that receives the request.
            agent: AgentId,
            /// The incarnation of that agent.
            agent_incarnation: u64,
            /// Deadline of the request, in milliseconds since the Unix epoch. The outcome is kept for
            /// [`ENDED_RETENTION_MS`] longer.
            deadline_unix_ms: u64,
        },
        /// Records the outcome of a claimed request. The first outcome of a claim is kept, except that an answer replaces
        /// `Unknown`.
        RequestResolved {
            /// Idempotency key of the request.
            key: RequestKey,
            /// The offset of the claim. A key may be claimed again, and a late record must not resolve the new claim.
            claim_offset: u64,
            /// The outcome to record.
            outcome: RequestOutcome,
        },
        /// The writer registers as a candidate for the fencing set.
        EntryRegistered {
            /// The address that agents connect to, as `ip:port`.
            peer_address: String,
        },
        /// The writer names a candidate in all its promises from now on.
        FencerAcked {
            /// The acknowledged candidate.
            candidate: EntryRef,
        },
        /// The writer, a candidate that has waited as required, becomes a member of the fencing set.
        FencerAdmitted,
        /// The writer leaves the fencing set.
        EntryLeft,
        /// Removes an unresponsive entry from the fencing set. Its later fences are ignored.
        EntryRemoved {
            /// The incarnation to remove.
            entry: EntryRef,
        },
        /// One chunk of a snapshot.
        SnapshotChunk {
            /// The snapshot covers all records below this offset.
            as_of: u64,
            /// Index of the chunk, from 0.
            index: u32,
            /// The number of chunks in the snapshot.
            count: u32,
            /// A part of the image with its header.
            bytes: Vec<u8>,
        },
        /// Sets the lease settings of the cell. Ignored unless `config_version` is newer than that of the settings in
        /// force.
        LeaseSet {
            /// The configuration version that defines the settings.
            config_version: u64,
            /// The settings to put in force.
            lease: LeaseSettings,
        },
        /// Sets the team quotas of the cell. Ignored unless `config_version` is newer than that of the quotas in force.
        QuotasSet {
            /// The configuration version that defines the quotas.
            config_version: u64,
            /// The maximum resources that tasks of each team may use in this cell at one time.
            quotas: BTreeMap<TeamId, Resources>,
        },
        /// Drops ended tasks and claims whose deadline is [`ENDED_RETENTION_MS`] or more before `now_unix_ms`. The time is
        /// part of the stream, so that all readers drop the same items at the same offset.
        Expired {
            /// The writer's wall clock, in milliseconds since the Unix epoch.
            now_unix_ms: u64,
        },
        /// Ends a pending task that can never run.
        TaskRejected {
            /// The task, which ends as `Failed`.
            task: TaskId,
            /// The reason and a remedy, for the caller.
            reason: String,
        },
    }

    /// The content of one append.
    pub struct Batch {
        /// The entry that wrote the append.
        pub writer: EntryId,
        /// The incarnation of the writer.
        pub incarnation: u64,
        /// Counts the appends of this incarnation to the stream, from 1.
        pub sequence: u64,
        /// Applied in order.
        pub records: Vec<Record>,
    }
}

impl Batch {
    /// Creates a batch without records.
    pub fn new(writer: EntryId, incarnation: u64, sequence: u64) -> Self {
        Self { writer, incarnation, sequence, records: Vec::new() }
    }

    /// Adds a record.
    pub fn with_record(mut self, record: Record) -> Self {
        self.records.push(record);
        self
    }

    /// The writer and its incarnation.
    pub fn writer_ref(&self) -> EntryRef {
        EntryRef::new(self.writer.clone(), self.incarnation)
    }

    /// Encodes the batch. Linear in the size of the records.
    ///
    /// # Errors
    ///
    /// Fails if the encoded batch is larger than [`MAX_BATCH_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        wire::encode(self)
    }

    /// Decodes an append. Linear in its length.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is malformed or has an unsupported format version. Readers skip and count such an append.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        wire::decode(bytes)
    }
}

/// An append could not be encoded or decoded.
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

    /// Whether the append has a newer format version than this program supports.
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
