//! What is relied on of the platform's store.

use async_trait::async_trait;
use fescuelead_core::{
    jobs::{JobId, JobProgress, JobSpec},
    plain,
};

/// A stream of records with keys. The newest record of every key is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stream {
    /// What operators have set.
    Operator,
    /// What clients have submitted and cancelled, appended by any entry.
    Jobs,
    /// How far the jobs are, appended by the leader.
    Progress,
    /// Where the agents listen, appended by each agent.
    Hosts,
}

/// A record. One without a value removes its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Option<Vec<u8>>,
}

impl Record {
    /// A record with a value.
    pub fn new(key: impl Into<String>, value: Vec<u8>) -> Self {
        Self { key: key.into(), value: Some(value) }
    }
}

/// Records in the order of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// The records.
    pub records: Vec<Record>,
    /// The offset from which to read on.
    pub next: u64,
}

/// Marks an append as the leader's. The store refuses an epoch below the highest that it has seen, and answers a repeated
/// sequence number as it did the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderMark {
    /// Grows with each leader.
    pub epoch: u64,
    /// Grows by one with each append of a leader.
    pub sequence: u64,
}

/// Why a call to the store gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store did nothing ({0}); try again")]
    NotDone(String),
    /// There is no answer: the call may have taken effect, or may do so later.
    #[error("the store gave no answer ({0}); repeat the call")]
    Unknown(String),
    /// A later leader has appended.
    #[error("a later leader has written to the store; stop leading")]
    Fenced,
    /// The records from the offset on are not kept any more.
    #[error("the records are not kept any more; read the newest record of every key")]
    Expired,
}

impl StoreError {
    /// The kind, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotDone(_) => "not-done",
            Self::Unknown(_) => "unknown",
            Self::Fenced => "fenced",
            Self::Expired => "expired",
        }
    }
}

/// The platform's store.
#[async_trait(?Send)]
pub trait Store {
    /// The newest record of every key, and the offset from which to read on. Gives up by itself if no answer comes; how
    /// long a whole one takes depends on its size and on the link.
    async fn newest(&self, stream: Stream) -> Result<Page, StoreError>;

    /// The records from an offset on. Waits up to `wait_ms` for one.
    async fn read(&self, stream: Stream, from: u64, wait_ms: u64) -> Result<Page, StoreError>;

    /// Appends records, all or none. Returns the offset after them.
    async fn append(&self, stream: Stream, records: &[Record], mark: Option<LeaderMark>) -> Result<u64, StoreError>;
}

/// The key prefix of a submission in [`Stream::Jobs`].
const SUBMITTED: &str = "submitted:";
/// The key prefix of a cancellation in [`Stream::Jobs`].
const CANCELLED: &str = "cancelled:";
/// The key of the leader's sign of life in [`Stream::Progress`].
const LEADER: &str = "leader";

plain! {
    /// A leader's sign of life.
    pub struct LeaderRecord {
        /// The leader's epoch.
        pub epoch: u64,
        /// The leader's name.
        pub name: String,
        /// Whether the leader has stopped to lead.
        pub resigned: bool,
    }
}

/// What a record of [`Stream::Jobs`] or [`Stream::Progress`] says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobRecord {
    /// A client submitted a job.
    Submitted(JobId, Box<JobSpec>),
    /// A client cancelled a job.
    Cancelled(JobId),
    /// The leader decided something about a job.
    Progressed(JobId, JobProgress),
    /// Who leads.
    Leader(LeaderRecord),
    /// A record expired.
    Removed,
}

/// A record that is none of ours or of a newer version.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the record {key:?} cannot be read ({message}); it is skipped")]
pub struct RecordError {
    key: String,
    message: String,
}

impl JobRecord {
    /// The record of a submission.
    ///
    /// # Errors
    ///
    /// Fails if the job cannot be encoded.
    pub fn submitted(job: JobId, spec: &JobSpec) -> Result<Record, RecordError> {
        encode(format!("{SUBMITTED}{job}"), spec)
    }

    /// The record of a cancellation.
    pub fn cancelled(job: JobId) -> Record {
        Record::new(format!("{CANCELLED}{job}"), vec![1])
    }

    /// The record of the leader's decisions on a job.
    ///
    /// # Errors
    ///
    /// Fails if the progress cannot be encoded.
    pub fn progressed(job: JobId, progress: &JobProgress) -> Result<Record, RecordError> {
        encode(job.to_string(), progress)
    }

    /// The record of a leader's sign of life.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be encoded.
    pub fn leader(leader: &LeaderRecord) -> Result<Record, RecordError> {
        encode(LEADER.to_owned(), leader)
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Fails on a key or a value that this version does not know.
    pub fn decode(record: &Record) -> Result<Self, RecordError> {
        let error = |message: &dyn ToString| RecordError { key: record.key.clone(), message: message.to_string() };
        let Some(value) = &record.value else { return Ok(Self::Removed) };
        if let Some(job) = record.key.strip_prefix(SUBMITTED) {
            let job = job.parse().map_err(|e| error(&e))?;
            return postcard::from_bytes(value).map(|spec| Self::Submitted(job, spec)).map_err(|e| error(&e));
        }
        if let Some(job) = record.key.strip_prefix(CANCELLED) {
            return job.parse().map(Self::Cancelled).map_err(|e| error(&e));
        }
        if record.key == LEADER {
            return postcard::from_bytes(value).map(Self::Leader).map_err(|e| error(&e));
        }
        let job = record.key.parse().map_err(|e| error(&e))?;
        postcard::from_bytes(value).map(|progress| Self::Progressed(job, progress)).map_err(|e| error(&e))
    }
}

fn encode(key: String, value: &impl serde::Serialize) -> Result<Record, RecordError> {
    match postcard::to_stdvec(value) {
        Ok(value) => Ok(Record { key, value: Some(value) }),
        Err(e) => Err(RecordError { key, message: e.to_string() }),
    }
}
