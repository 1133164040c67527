/*!
Group commit: each writer has at most one append in flight per stream and collects further records in the next batch.

An append whose response was lost may have taken effect. The writer therefore reads the stream up to a tail that was
determined after the failure. If its sequence number is there, the append is complete. If not, the writer sends the append
again with the *same* sequence number, so that readers drop one of the two if the first one still arrives.

```
use fescuelead_core::{
    ids::{EntryId, TaskId},
    record::Record,
    units::TimeMs,
    writer::{GroupCommit, WriterEffect},
};

let mut writer = GroupCommit::new(EntryId::new("entry-a")?, 1).with_spacing_ms(10);
let ticket = writer.push(Record::TaskCancelled { task: TaskId::new("c0-t")? });
let Some(WriterEffect::Append { sequence, .. }) = writer.poll(TimeMs(0)) else { panic!("an append is due") };
writer.push(Record::TaskCancelled { task: TaskId::new("c0-u")? });
assert_eq!(writer.poll(TimeMs(0)), None, "one append is in flight");

// The response is lost, but a read shows that the append took effect.
writer.answer_lost(TimeMs(5));
assert!(matches!(writer.poll(TimeMs(5)), Some(WriterEffect::ReadTail)));
writer.tail_read(TimeMs(6), sequence);
assert!(writer.is_done(ticket));
# Ok::<(), fescuelead_core::ids::IdError>(())
```
*/

use std::collections::VecDeque;

use crate::{
    ids::EntryId,
    mutation::Mutation,
    record::{Batch, Record},
    units::TimeMs,
};

/// The maximum number of records in one append.
pub const MAX_RECORDS_PER_APPEND: usize = 512;
/// The maximum estimated size of one append, in bytes. A single larger record is still sent, so this is below
/// [`MAX_BATCH_BYTES`](crate::record::MAX_BATCH_BYTES).
pub const MAX_APPEND_BYTES: usize = 256 * 1024;

/// Identifies a pushed record, for [`GroupCommit::is_done`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    position: u64,
}

/// An I/O operation that the caller of [`GroupCommit::poll`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriterEffect {
    /// Append this batch, then call one of [`GroupCommit::appended`], [`GroupCommit::refused`] and
    /// [`GroupCommit::answer_lost`].
    Append {
        /// The sequence number of the batch. A retry has the number of the first try.
        sequence: u64,
        /// The records to append.
        batch: Batch,
    },
    /// Read the stream to its tail and apply it, then call [`GroupCommit::tail_read`] or [`GroupCommit::read_failed`].
    ReadTail,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum AppendState {
    Idle,
    Sent { batch: Batch, last_position: u64 },
    Unresolved { batch: Batch, last_position: u64, since: TimeMs, reading: bool },
    Retry { batch: Batch, last_position: u64, not_before: TimeMs },
}

/// Batches the records that one entry writes to one stream.
#[derive(Debug, Clone)]
pub struct GroupCommit {
    writer: EntryId,
    incarnation: u64,
    sequence: u64,
    pushed: u64,
    done: u64,
    queued: VecDeque<Record>,
    /// Low-priority records, which only fill the space that `queued` leaves in a batch.
    bulk: VecDeque<Record>,
    append: AppendState,
    spacing_ms: u64,
    last_append_at: Option<TimeMs>,
    mutation: Option<Mutation>,
}

impl GroupCommit {
    /// Creates a writer for a new incarnation. Sequence numbers start at 1.
    pub fn new(writer: EntryId, incarnation: u64) -> Self {
        Self {
            writer,
            incarnation,
            sequence: 0,
            pushed: 0,
            done: 0,
            queued: VecDeque::new(),
            bulk: VecDeque::new(),
            append: AppendState::Idle,
            spacing_ms: 0,
            last_append_at: None,
            mutation: None,
        }
    }

    /// Disables one rule of the protocol, to check that the tests detect the fault.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, ..self }
    }

    /// Sets the minimum time between two appends. With `n` writers the log receives at most `n * 1000 / spacing_ms`
    /// appends per second.
    pub fn with_spacing_ms(self, spacing_ms: u64) -> Self {
        Self { spacing_ms, ..self }
    }

    /// Changes the minimum time between two appends. The next append is due that long after the last one.
    pub fn set_spacing_ms(&mut self, spacing_ms: u64) {
        self.spacing_ms = spacing_ms;
    }

    /// Adds a record to the queue for the next batch.
    pub fn push(&mut self, record: Record) -> Ticket {
        self.queued.push_back(record);
        self.pushed += 1;
        Ticket { position: self.pushed }
    }

    /// Adds a low-priority record, such as one of many cancellations. It is sent after all records of
    /// [`push`](Self::push).
    pub fn push_bulk(&mut self, record: Record) {
        self.bulk.push_back(record);
    }

    /// Whether the record is known to be in the log.
    pub fn is_done(&self, ticket: Ticket) -> bool {
        ticket.position <= self.done
    }

    /// The number of records that are queued or in flight.
    pub fn backlog(&self) -> u64 {
        self.pushed - self.done + self.bulk.len() as u64
    }

    /// Whether it is unknown if the last append took effect.
    pub fn is_unresolved(&self) -> bool {
        matches!(self.append, AppendState::Unresolved { .. })
    }

    /// Returns the next operation to perform, if any. Call it after every event and at [`wake_at`](Self::wake_at).
    pub fn poll(&mut self, now: TimeMs) -> Option<WriterEffect> {
        match std::mem::replace(&mut self.append, AppendState::Idle) {
            AppendState::Idle => self.next_batch(now),
            AppendState::Unresolved { batch, last_position, since, reading: false } => {
                self.append = AppendState::Unresolved { batch, last_position, since, reading: true };
                Some(WriterEffect::ReadTail)
            }
            AppendState::Retry { batch, last_position, not_before } if not_before <= now => {
                let effect = WriterEffect::Append { sequence: batch.sequence, batch: batch.clone() };
                self.append = AppendState::Sent { batch, last_position };
                Some(effect)
            }
            other => {
                self.append = other;
                None
            }
        }
    }

    /// The time of the next [`poll`](Self::poll) if no other event occurs before. `None` while a response is pending or
    /// nothing is queued.
    pub fn wake_at(&self) -> Option<TimeMs> {
        match &self.append {
            AppendState::Idle => (!self.is_empty()).then_some(self.next_append_at()),
            AppendState::Retry { not_before, .. } => Some(*not_before),
            AppendState::Sent { .. } | AppendState::Unresolved { .. } => None,
        }
    }

    /// Reports that the append in flight took effect.
    pub fn appended(&mut self) {
        if let AppendState::Sent { last_position, .. } | AppendState::Unresolved { last_position, .. } = self.append {
            self.done = last_position;
            self.append = AppendState::Idle;
        }
    }

    /// Reports that the log service rejected the append in flight, so that it did not take effect. It is sent again at
    /// `not_before`.
    pub fn refused(&mut self, not_before: TimeMs) {
        if let AppendState::Sent { batch, last_position } = std::mem::replace(&mut self.append, AppendState::Idle) {
            self.append = AppendState::Retry { batch, last_position, not_before };
        }
    }

    /// Reports that the append in flight got no response, so that it may have taken effect.
    pub fn answer_lost(&mut self, now: TimeMs) {
        if let AppendState::Sent { batch, last_position } = std::mem::replace(&mut self.append, AppendState::Idle) {
            if self.mutation == Some(Mutation::RetryWithNewSequence) {
                batch.records.into_iter().rev().for_each(|record| self.queued.push_front(record));
                return;
            }
            self.append = AppendState::Unresolved { batch, last_position, since: now, reading: false };
        }
    }

    /// Reports that the read of [`WriterEffect::ReadTail`] failed. The next [`poll`](Self::poll) requests it again.
    pub fn read_failed(&mut self) {
        if let AppendState::Unresolved { reading, .. } = &mut self.append {
            *reading = false;
        }
    }

    /// Reports that the stream was applied up to its tail by a read that began at `start`. `last_sequence` is the last
    /// sequence number of this writer in it.
    pub fn tail_read(&mut self, start: TimeMs, last_sequence: u64) {
        if last_sequence >= self.sequence && self.sequence > 0 {
            self.appended();
            return;
        }
        match std::mem::replace(&mut self.append, AppendState::Idle) {
            AppendState::Unresolved { batch, last_position, since, .. } if start >= since => {
                self.append = AppendState::Retry { batch, last_position, not_before: start };
            }
            other => self.append = other,
        }
    }

    fn next_append_at(&self) -> TimeMs {
        self.last_append_at.map_or(TimeMs(0), |at| at.plus_ms(self.spacing_ms))
    }

    fn is_empty(&self) -> bool {
        self.queued.is_empty() && self.bulk.is_empty()
    }

    fn next_batch(&mut self, now: TimeMs) -> Option<WriterEffect> {
        if self.is_empty() || now < self.next_append_at() {
            return None;
        }
        self.sequence += 1;
        self.last_append_at = Some(now);
        let mut batch = Batch::new(self.writer.clone(), self.incarnation, self.sequence);
        let mut size_bytes = 0;
        while let Some(record) = self.queued.front().or(self.bulk.front()) {
            size_bytes += approximate_bytes(record);
            let full = batch.records.len() == MAX_RECORDS_PER_APPEND || size_bytes > MAX_APPEND_BYTES;
            if full && !batch.records.is_empty() {
                break;
            }
            batch.records.extend(self.queued.pop_front().or_else(|| self.bulk.pop_front()));
        }
        let last_position = self.pushed.saturating_sub(self.queued.len() as u64);
        let effect = WriterEffect::Append { sequence: self.sequence, batch: batch.clone() };
        self.append = AppendState::Sent { batch, last_position };
        Some(effect)
    }
}

/// Estimates the encoded size of a record as its variable-length part plus a fixed number of bytes for the rest.
fn approximate_bytes(record: &Record) -> usize {
    const FIXED_BYTES: usize = 512;
    FIXED_BYTES
        + match record {
            Record::TaskSubmitted { spec, .. } => spec.payload.len(),
            Record::ProfilesPublished { text, .. } => text.len(),
            Record::SnapshotChunk { bytes, .. } => bytes.len(),
            Record::RequestResolved { outcome: crate::record::RequestOutcome::Answered { body, .. }, .. } => body.len(),
            _ => 0,
        }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::TaskId;

    fn record() -> Record {
        Record::TaskCancelled { task: TaskId::new("c0-t").expect("valid id") }
    }

    fn writer() -> GroupCommit {
        GroupCommit::new(EntryId::new("entry-a").expect("valid id"), 1)
    }

    /// Guards against a retry that applies an append twice: it must follow a read that began after the failure, and have
    /// the same sequence number.
    #[test]
    fn a_lost_response_is_resolved_by_a_read() {
        let mut writer = writer();
        let ticket = writer.push(record());
        assert!(matches!(writer.poll(TimeMs(0)), Some(WriterEffect::Append { sequence: 1, .. })));
        writer.answer_lost(TimeMs(10));
        assert_eq!(writer.poll(TimeMs(10)), Some(WriterEffect::ReadTail));
        writer.tail_read(TimeMs(9), 0);
        assert_eq!(writer.poll(TimeMs(11)), None, "the read began before the failure");
        writer.tail_read(TimeMs(11), 0);
        assert!(matches!(writer.poll(TimeMs(11)), Some(WriterEffect::Append { sequence: 1, .. })));
        writer.appended();
        assert!(writer.is_done(ticket));
    }

    /// Guards against exceeding the rate limit of the log service.
    #[test]
    fn appends_are_spaced() {
        let mut writer = writer().with_spacing_ms(10);
        writer.push(record());
        assert!(writer.poll(TimeMs(0)).is_some());
        writer.push(record());
        writer.appended();
        assert_eq!((writer.poll(TimeMs(9)), writer.wake_at()), (None, Some(TimeMs(10))));
        assert!(writer.poll(TimeMs(10)).is_some());
    }

    /// Guards against an append that is sent too early, or still waits for the old spacing, after the number of writers
    /// has changed.
    #[test]
    fn a_new_spacing_counts_from_the_last_append() {
        let mut writer = writer().with_spacing_ms(10);
        writer.push(record());
        assert!(writer.poll(TimeMs(5)).is_some());
        writer.push(record());
        writer.appended();
        writer.set_spacing_ms(100);
        assert_eq!((writer.poll(TimeMs(20)), writer.wake_at()), (None, Some(TimeMs(105))));
        writer.set_spacing_ms(10);
        assert!(writer.poll(TimeMs(20)).is_some());
    }

    /// Guards against a record that is delayed by a backlog of cancellations.
    #[test]
    fn bulk_records_are_sent_last() {
        let mut writer = writer();
        (0..50_000).for_each(|_| writer.push_bulk(record()));
        assert!(writer.poll(TimeMs(0)).is_some());
        let urgent = writer.push(record());
        writer.appended();
        assert!(matches!(writer.poll(TimeMs(0)), Some(WriterEffect::Append { batch, .. })
            if batch.records.len() == MAX_RECORDS_PER_APPEND));
        writer.appended();
        assert!(writer.is_done(urgent));
        assert_eq!(writer.backlog(), 50_000 + 1 - 2 * MAX_RECORDS_PER_APPEND as u64);
    }
}
