/*!
The append-only log service.

It takes several hundred appends a second over all writers, keeps records for a limited time and has outages. An answer
can be lost after its append took effect; [`AppendError::took_effect`] tells apart what is known.
*/

use std::{fmt, sync::Arc};

use bytes::Bytes;

pub mod http;

/// One append as a reader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Its place in the stream.
    pub offset: u64,
    /// What was appended.
    pub bytes: Bytes,
}

/// What a read returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Appends in offset order, from the offset asked for on.
    pub records: Vec<LogRecord>,
    /// The oldest offset that is still kept. If it is above the offset asked for, records are missing.
    pub first_offset: u64,
    /// The tail of the stream while the read was served: the offset of the next append.
    pub tail_offset: u64,
}

/// The log service of the platform.
#[async_trait::async_trait]
pub trait LogService: Send + Sync + 'static {
    /// Appends to a stream and returns the offset. A stream begins to exist with its first append.
    ///
    /// # Errors
    ///
    /// Fails if the service refuses or no answer came in time; see [`AppendError::took_effect`].
    async fn append(&self, stream: &str, bytes: Bytes) -> Result<u64, AppendError>;

    /// Reads from an offset on, at most `max_bytes` and at least one record if there is any. Waits up to `wait_ms` for a
    /// record if there is none. An empty stream has tail 0.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be reached or refuses.
    async fn read(&self, stream: &str, from: u64, max_bytes: usize, wait_ms: u64) -> Result<LogPage, LogError>;
}

/// A log service that many parts of a process share.
pub type SharedLog = Arc<dyn LogService>;

/// What is known about an append that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TookEffect {
    /// It certainly is not in the log.
    No,
    /// It may be in the log.
    Unknown,
}

/// Says why an append failed and whether it may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendError {
    took_effect: TookEffect,
    message: String,
}

impl AppendError {
    /// An append that certainly did not take effect.
    pub fn refused(message: impl Into<String>) -> Self {
        Self { took_effect: TookEffect::No, message: message.into() }
    }

    /// An append whose answer was lost.
    pub fn answer_lost(message: impl Into<String>) -> Self {
        Self { took_effect: TookEffect::Unknown, message: message.into() }
    }

    /// What is known about the append.
    pub fn took_effect(&self) -> TookEffect {
        self.took_effect
    }
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let message = &self.message;
        match self.took_effect {
            TookEffect::No => write!(f, "the log refused the append ({message}); try again later"),
            TookEffect::Unknown => write!(f, "the append has no answer ({message}); read the stream to its tail"),
        }
    }
}

impl std::error::Error for AppendError {}

/// Says why a read failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogError {
    message: String,
}

impl LogError {
    /// A read that failed because of `message`.
    pub fn new(message: impl Into<String>) -> Self {
        Self { message: message.into() }
    }
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the log cannot be read ({}); check the log service and its address", self.message)
    }
}

impl std::error::Error for LogError {}
