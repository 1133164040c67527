//! The interface of the platform's store, and the records that entries and agents keep in it.

use std::net::SocketAddr;

use async_trait::async_trait;
use fescuelead_core::{
    jobs::{JobId, JobProgress, JobSpec},
    plain,
};

/// A stream of records with keys. The newest record of every key is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stream {
    /// The operators' changes of the configuration.
    Operator,
    /// Submissions and cancellations of jobs, appended by any entry.
    Jobs,
    /// The progress of jobs and the leader's heartbeats, appended by the leader.
    Progress,
    /// The addresses of the agents, appended by each agent.
    Hosts,
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Identifies what the record is about. A record replaces earlier ones with the same key.
    pub key: String,
    /// The value; `None` in a record that removes its key.
    pub value: Option<Vec<u8>>,
}

impl Record {
    /// Creates a record that sets the value of its key.
    pub fn new(key: impl Into<String>, value: Vec<u8>) -> Self {
        Self { key: key.into(), value: Some(value) }
    }

    /// The size that counts against [`Store::max_record_bytes`], in bytes.
    pub fn size_bytes(&self) -> usize {
        RECORD_OVERHEAD_BYTES + self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// Consecutive records of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// The records, oldest first; empty if there were none to read.
    pub records: Vec<Record>,
    /// The offset of the next record to read.
    pub next: u64,
    /// Whether the stream had no records from `next` on when it was read.
    pub at_end: bool,
}

/// Marks an append as the leader's. The store refuses an epoch below the highest that it has seen. It does not append
/// the records of a repeated sequence number again, but repeats its first answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderMark {
    /// Identifies a term of leadership; higher than that of all earlier terms.
    pub epoch: u64,
    /// The number of the append within the epoch; grows by one with each append.
    pub sequence: u64,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call had no effect and never will. Holds the cause.
    #[error("the store did nothing ({0}); try again")]
    NotDone(String),
    /// The store did not answer: the call may have taken effect, or may do so later. Holds the cause.
    #[error("the store gave no answer ({0}); repeat the call")]
    Unknown(String),
    /// The store has seen an append with a higher epoch.
    #[error("a later leader has written to the store; stop leading")]
    Fenced,
    /// The store no longer has the record at the requested offset.
    #[error("the records are not kept any more; read the newest record of every key")]
    Expired,
}

impl StoreError {
    /// The value of the metrics label `outcome`.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotDone(_) => "not-done",
            Self::Unknown(_) => "unknown",
            Self::Fenced => "fenced",
            Self::Expired => "expired",
        }
    }
}

/// The platform's store: append-only streams that keep the newest record of each key.
#[async_trait(?Send)]
pub trait Store {
    /// Reads the newest record of every key. Implementations apply their own timeout, because the duration depends on
    /// the size of the answer and on the link.
    async fn newest(&self, stream: Stream) -> Result<Page, StoreError>;

    /// Reads records from the offset `from` on. Waits up to `wait_ms` if there is none yet.
    async fn read(&self, stream: Stream, from: u64, wait_ms: u64) -> Result<Page, StoreError>;

    /// Appends all records or none, and returns the offset after them. With `mark` and without records it only raises
    /// the epoch.
    async fn append(&self, stream: Stream, records: &[Record], mark: Option<LeaderMark>) -> Result<u64, StoreError>;

    /// The largest record that the store takes, in bytes, as [`Record::size_bytes`] counts it.
    fn max_record_bytes(&self) -> usize {
        DEFAULT_MAX_RECORD_BYTES
    }
}

/// What a record takes beside its key and its value, in bytes: the length of the key.
const RECORD_OVERHEAD_BYTES: usize = 1;
/// The largest record of a store that does not state another limit, in bytes.
pub const DEFAULT_MAX_RECORD_BYTES: usize = 256 * 1024;

/// The key prefix of a submission in [`Stream::Jobs`].
const SUBMITTED: &str = "submitted:";
/// The key prefix of a cancellation in [`Stream::Jobs`].
const CANCELLED: &str = "cancelled:";
/// The key of the leader's heartbeat in [`Stream::Progress`].
const LEADER: &str = "leader";

/// The highest epoch of a leader that is believed. Epochs are Unix times in milliseconds times 1,000, so a higher one is
/// from another writer; it would leave no epoch for the next leader.
const MAX_EPOCH: u64 = 1 << 53;

plain! {
    /// A heartbeat of the leader.
    pub struct LeaderRecord {
        /// The epoch of the leader, which is higher than that of earlier leaders.
        pub epoch: u64,
        /// The name of the leader's entry.
        pub name: String,
        /// Whether the leader has resigned, so that another entry may take over at once.
        pub resigned: bool,
    }
}

/// The decoded content of a record of [`Stream::Jobs`] or [`Stream::Progress`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobRecord {
    /// A client submitted a job.
    Submitted(JobId, Box<JobSpec>),
    /// A client cancelled a job.
    Cancelled(JobId),
    /// The record of a submission was removed, because its job has ended.
    SubmissionRemoved(JobId),
    /// The record of a cancellation was removed, because its job has ended or was not submitted.
    CancellationRemoved(JobId),
    /// The leader changed the progress of a job.
    Progressed(JobId, JobProgress),
    /// The leader removed the progress of a job that ended long ago.
    ProgressRemoved(JobId),
    /// The leader sent a heartbeat or resigned.
    Leader(LeaderRecord),
    /// The record of another key was removed.
    Removed,
}

/// A record that could not be encoded or decoded, for example because a newer version has written it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the record {key:?} cannot be read ({message}); it is skipped")]
pub struct RecordError {
    key: String,
    message: String,
}

impl JobRecord {
    /// Encodes a submission for [`Stream::Jobs`].
    ///
    /// # Errors
    ///
    /// Fails if the job cannot be encoded.
    pub fn submitted(job: JobId, spec: &JobSpec) -> Result<Record, RecordError> {
        encode(format!("{SUBMITTED}{job}"), spec)
    }

    /// Encodes a cancellation for [`Stream::Jobs`].
    pub fn cancelled(job: JobId) -> Record {
        Record::new(format!("{CANCELLED}{job}"), vec![1])
    }

    /// Encodes the removal of a cancellation for [`Stream::Jobs`].
    pub fn cancellation_removed(job: JobId) -> Record {
        Record { key: format!("{CANCELLED}{job}"), value: None }
    }

    /// Encodes the removal of a submission for [`Stream::Jobs`].
    pub fn submission_removed(job: JobId) -> Record {
        Record { key: format!("{SUBMITTED}{job}"), value: None }
    }

    /// Encodes the removal of the progress of a job for [`Stream::Progress`].
    pub fn progress_removed(job: JobId) -> Record {
        Record { key: job.to_string(), value: None }
    }

    /// The job whose submission or progress a record of [`Stream::Jobs`] or [`Stream::Progress`] holds, by its key.
    pub fn described_job(record: &Record) -> Option<JobId> {
        record.key.strip_prefix(SUBMITTED).unwrap_or(&record.key).parse().ok()
    }

    /// Encodes the progress of a job for [`Stream::Progress`] in a record of at most `max_bytes` bytes, see
    /// [`Store::max_record_bytes`]. Checkpoints are left out if it would be larger.
    ///
    /// # Errors
    ///
    /// Fails if the progress cannot be encoded, or not in a record of this size.
    pub fn progressed(job: JobId, progress: &JobProgress, max_bytes: usize) -> Result<Record, RecordError> {
        let record = encode(job.to_string(), progress)?;
        let excess_bytes = record.size_bytes().saturating_sub(max_bytes);
        if excess_bytes == 0 {
            return Ok(record);
        }
        log::warn!("checkpoints left out of a record: job={job} excess_bytes={excess_bytes}");
        let record = encode(job.to_string(), &progress.with_fewer_checkpoints(excess_bytes))?;
        if record.size_bytes() > max_bytes {
            let message = format!("it has {} of at most {max_bytes} bytes", record.size_bytes());
            return Err(RecordError { key: record.key, message });
        }
        Ok(record)
    }

    /// Encodes a heartbeat or a resignation for [`Stream::Progress`].
    ///
    /// # Errors
    ///
    /// Fails if the heartbeat cannot be encoded.
    pub fn leader(leader: &LeaderRecord) -> Result<Record, RecordError> {
        encode(LEADER.to_owned(), leader)
    }

    /// Decodes a record of [`Stream::Jobs`] or [`Stream::Progress`].
    ///
    /// # Errors
    ///
    /// Fails if this version does not know the key or cannot decode the value.
    pub fn decode(record: &Record) -> Result<Self, RecordError> {
        let error = |message: &dyn ToString| RecordError { key: record.key.clone(), message: message.to_string() };
        let (submitted, cancelled) = (record.key.strip_prefix(SUBMITTED), record.key.strip_prefix(CANCELLED));
        let Some(value) = &record.value else {
            return match (submitted, cancelled) {
                (Some(job), _) => job.parse().map(Self::SubmissionRemoved).map_err(|e| error(&e)),
                (_, Some(job)) => job.parse().map(Self::CancellationRemoved).map_err(|e| error(&e)),
                _ => Ok(record.key.parse().map_or(Self::Removed, Self::ProgressRemoved)),
            };
        };
        if let Some(job) = submitted {
            let job = job.parse().map_err(|e| error(&e))?;
            let spec: Box<JobSpec> = postcard::from_bytes(value).map_err(|e| error(&e))?;
            // Entries append only valid jobs. State is allocated for each task that a record states.
            spec.validate().map_err(|e| error(&e))?;
            return Ok(Self::Submitted(job, spec));
        }
        if let Some(job) = cancelled {
            return job.parse().map(Self::Cancelled).map_err(|e| error(&e));
        }
        if record.key == LEADER {
            let leader: LeaderRecord = postcard::from_bytes(value).map_err(|e| error(&e))?;
            if leader.epoch > MAX_EPOCH {
                return Err(error(&format!("the epoch {} is higher than {MAX_EPOCH}", leader.epoch)));
            }
            return Ok(Self::Leader(leader));
        }
        let job = record.key.parse().map_err(|e| error(&e))?;
        let progress: JobProgress = postcard::from_bytes(value).map_err(|e| error(&e))?;
        if !progress.has_valid_runs() {
            return Err(error(&"the number of a run is too high"));
        }
        Ok(Self::Progressed(job, progress))
    }
}

/// Decodes a record of [`Stream::Hosts`] to the address of the host's agent; `None` if the key was removed.
///
/// # Errors
///
/// Fails unless the value is an IP address and a port to which a connection can be opened.
pub fn host_address(record: &Record) -> Result<Option<SocketAddr>, RecordError> {
    let error = |message: &dyn ToString| RecordError { key: record.key.clone(), message: message.to_string() };
    let Some(value) = &record.value else { return Ok(None) };
    let text = std::str::from_utf8(value).map_err(|e| error(&e))?;
    let address: SocketAddr = text.parse().map_err(|e| error(&e))?;
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() || record.key.is_empty() {
        return Err(error(&format!("{address} is not the address of an agent")));
    }
    Ok(Some(address))
}

fn encode(key: String, value: &impl serde::Serialize) -> Result<Record, RecordError> {
    match postcard::to_stdvec(value) {
        Ok(value) => Ok(Record { key, value: Some(value) }),
        Err(e) => Err(RecordError { key, message: e.to_string() }),
    }
}
