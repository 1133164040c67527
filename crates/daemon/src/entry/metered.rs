//! The log service with metrics.

use std::sync::Arc;

use bytes::Bytes;
use fescuelead_platform::log::{AppendError, LogError, LogPage, LogService, SharedLog};

use crate::{entry::shared::Shared, metrics::StreamLabel};

/// Counts and times what goes through to a log service.
pub struct MeteredLog {
    inner: SharedLog,
    shared: Arc<Shared>,
}

impl MeteredLog {
    /// Counts for the metrics in `shared`.
    pub fn new(inner: SharedLog, shared: Arc<Shared>) -> Self {
        Self { inner, shared }
    }
}

#[async_trait::async_trait]
impl LogService for MeteredLog {
    async fn append(&self, stream: &str, bytes: Bytes) -> Result<u64, AppendError> {
        let metrics = &self.shared.observer.metrics;
        let label = StreamLabel { stream: stream.to_owned() };
        let (begun, length_bytes) = (tokio::time::Instant::now(), bytes.len() as u64);
        // The caller gives up on an answer that comes too late by dropping this future.
        let failure = Unanswered(Some(metrics.append_failures.get_or_create_owned(&label)));
        let appended = self.inner.append(stream, bytes).await;
        if appended.is_ok() {
            failure.forget();
            metrics.appends.get_or_create(&label).inc();
            metrics.appended_bytes.get_or_create(&label).inc_by(length_bytes);
            metrics.append_seconds.get_or_create(&label).observe(begun.elapsed().as_secs_f64());
            self.shared.observer.appended(self.shared.clock.now());
        }
        appended
    }

    async fn read(&self, stream: &str, from: u64, max_bytes: usize, wait_ms: u64) -> Result<LogPage, LogError> {
        let metrics = &self.shared.observer.metrics;
        let label = StreamLabel { stream: stream.to_owned() };
        let failure = Unanswered(Some(metrics.read_failures.get_or_create_owned(&label)));
        let read = self.inner.read(stream, from, max_bytes, wait_ms).await;
        if let Ok(page) = &read {
            failure.forget();
            let bytes: usize = page.records.iter().map(|record| record.bytes.len()).sum();
            metrics.read_bytes.get_or_create(&label).inc_by(bytes as u64);
            metrics.records_read.get_or_create(&label).inc_by(page.records.len() as u64);
        }
        read
    }
}

/// Counts a failure unless it is told otherwise.
struct Unanswered(Option<prometheus_client::metrics::counter::Counter>);

impl Unanswered {
    fn forget(mut self) {
        self.0 = None;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if let Some(failures) = &self.0 {
            failures.inc();
        }
    }
}
