//! The leader's records: how they are encoded and appended to the store.

use fescuelead_core::{jobs::Batch, units::TimeMs};

use super::APPEND_BACKOFF_MS;
use crate::{
    entry::{Entry, back_off},
    session::Leadership,
    store::{JobRecord, LeaderMark, LeaderRecord, Record, StoreError, Stream},
};

/// The maximum size of the records in one append, in bytes. The platform accepts at least twice as much.
const MAX_APPEND_BYTES: usize = 512 * 1024;

/// Records that the store has confirmed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Appended {
    /// The offset after the records.
    pub next: u64,
    /// When the confirmed call was sent, before which no other leader had written.
    pub sent_at: TimeMs,
}

/// Appends records under consecutive sequence numbers from `first` on, and repeats each append until the store has
/// confirmed it. Fails with [`StoreError::Fenced`] if a later leader has written.
pub(super) async fn append_records(
    entry: &Entry,
    leadership: &Leadership,
    first: u64,
    appends: &[Vec<Record>],
) -> Result<Appended, StoreError> {
    let mut appended = Appended::default();
    for (sequence, records) in (first..).zip(appends) {
        let mark = LeaderMark { epoch: leadership.epoch.get(), sequence };
        let mut backoff_ms = APPEND_BACKOFF_MS;
        appended = loop {
            let sent_at = leadership.clock.now();
            match entry.call_store("append", entry.store.append(Stream::Progress, records, Some(mark))).await {
                Ok(next) => {
                    leadership.proof.borrow_mut().renew(sent_at);
                    break Appended { next, sent_at };
                }
                Err(StoreError::Fenced) => {
                    log::warn!(
                        "records refused because a later leader has written: entry={} sequence={sequence}",
                        leadership.name
                    );
                    return Err(StoreError::Fenced);
                }
                Err(error) => {
                    log::warn!("records not stored yet: entry={} sequence={sequence} error={error}", leadership.name);
                    back_off(&mut backoff_ms).await;
                }
            }
        };
    }
    Ok(appended)
}

/// Encodes a heartbeat and the changed jobs of a batch as the records of one or more appends. The job records of an
/// append take at most [`MAX_APPEND_BYTES`], unless a single one is larger. Records that cannot be encoded are logged
/// and skipped.
pub(super) fn encode(batch: &Batch, heartbeat: Option<LeaderRecord>, max_record_bytes: usize) -> Vec<Vec<Record>> {
    let mut first = Vec::new();
    match heartbeat.as_ref().map(JobRecord::leader) {
        Some(Ok(record)) => first.push(record),
        Some(Err(error)) => log::error!("heartbeat cannot be encoded: error={error}"),
        None => {}
    }
    let mut appends = vec![first];
    let mut bytes = 0;
    for (job, progress) in &batch.records {
        let record = match JobRecord::progressed(*job, progress, max_record_bytes) {
            Ok(record) => record,
            Err(error) => {
                log::error!("job progress cannot be encoded: job={job} error={error}");
                continue;
            }
        };
        let size = record.size_bytes();
        if bytes + size > MAX_APPEND_BYTES && bytes > 0 {
            appends.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(last) = appends.last_mut() {
            last.push(record);
        }
    }
    appends
}
