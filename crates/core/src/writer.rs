/*!
Group commit: one append in flight per writer and stream, while the next batch gathers.

An append whose answer was lost may have taken effect. It is never repeated blindly: the writer first reads the stream up
to a tail read begun after the failure. If its sequence number is there, the append is done. If not, the append is sent
again with the *same* sequence number, so that the fold drops one of the two should the first still arrive.

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

// The answer is lost; a read shows that the append took effect.
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

/// Records in one append at most.
pub const MAX_RECORDS_PER_APPEND: usize = 512;
/// Bytes of payload in one append at most; below [`MAX_BATCH_BYTES`](crate::record::MAX_BATCH_BYTES).
pub const MAX_APPEND_BYTES: usize = 256 * 1024;

/// The place of a record in the writer's output: the sequence number of its append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    position: u64,
}

/// What the writer wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriterEffect {
    /// Append this batch, then call one of [`GroupCommit::appended`], [`GroupCommit::refused`] and
    /// [`GroupCommit::answer_lost`].
    Append {
        /// Its sequence number.
        sequence: u64,
        /// The batch.
        batch: Batch,
    },
    /// Read the stream to its tail, fold it, then call [`GroupCommit::tail_read`].
    ReadTail,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Flight {
    None,
    Sent { batch: Batch, last_position: u64 },
    Lost { batch: Batch, last_position: u64, since: TimeMs, reading: bool },
    Retry { batch: Batch, last_position: u64, not_before: TimeMs },
}

/// The writer of one entry to one stream.
#[derive(Debug, Clone)]
pub struct GroupCommit {
    writer: EntryId,
    incarnation: u64,
    sequence: u64,
    pushed: u64,
    done: u64,
    waiting: VecDeque<Record>,
    /// Records that come in waves; they fill what the others leave of a batch.
    bulk: VecDeque<Record>,
    flight: Flight,
    spacing_ms: u64,
    last_append_at: Option<TimeMs>,
    mutation: Option<Mutation>,
}

impl GroupCommit {
    /// A writer that has written nothing in this run.
    pub fn new(writer: EntryId, incarnation: u64) -> Self {
        Self {
            writer,
            incarnation,
            sequence: 0,
            pushed: 0,
            done: 0,
            waiting: VecDeque::new(),
            bulk: VecDeque::new(),
            flight: Flight::None,
            spacing_ms: 0,
            last_append_at: None,
            mutation: None,
        }
    }

    /// Breaks one rule, for tests of the tests.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, ..self }
    }

    /// Sets the shortest time between two appends. With `n` writers the log sees at most `n * 1000 / spacing_ms` appends
    /// a second.
    pub fn with_spacing_ms(self, spacing_ms: u64) -> Self {
        Self { spacing_ms, ..self }
    }

    /// Changes the shortest time between two appends, counted from the last one.
    pub fn set_spacing_ms(&mut self, spacing_ms: u64) {
        self.spacing_ms = spacing_ms;
    }

    /// Adds a record to the batch that gathers.
    pub fn push(&mut self, record: Record) -> Ticket {
        self.waiting.push_back(record);
        self.pushed += 1;
        Ticket { position: self.pushed }
    }

    /// Adds a record that may wait behind all others, such as one of a wave of cancellations.
    pub fn push_bulk(&mut self, record: Record) {
        self.bulk.push_back(record);
    }

    /// Whether the record is known to be in the log.
    pub fn is_done(&self, ticket: Ticket) -> bool {
        ticket.position <= self.done
    }

    /// Records that gather or are in flight.
    pub fn backlog(&self) -> u64 {
        self.pushed - self.done + self.bulk.len() as u64
    }

    /// Whether an append may have taken effect without our knowing.
    pub fn is_unresolved(&self) -> bool {
        matches!(self.flight, Flight::Lost { .. })
    }

    /// What is to be done now. Call it after every event and when [`wake_at`](Self::wake_at) has come.
    pub fn poll(&mut self, now: TimeMs) -> Option<WriterEffect> {
        match std::mem::replace(&mut self.flight, Flight::None) {
            Flight::None => self.next_batch(now),
            Flight::Lost { batch, last_position, since, reading: false } => {
                self.flight = Flight::Lost { batch, last_position, since, reading: true };
                Some(WriterEffect::ReadTail)
            }
            Flight::Retry { batch, last_position, not_before } if not_before <= now => {
                let effect = WriterEffect::Append { sequence: batch.sequence, batch: batch.clone() };
                self.flight = Flight::Sent { batch, last_position };
                Some(effect)
            }
            other => {
                self.flight = other;
                None
            }
        }
    }

    /// When [`poll`](Self::poll) is due next without another event.
    pub fn wake_at(&self) -> Option<TimeMs> {
        match &self.flight {
            Flight::None => (!self.is_empty()).then_some(self.next_append_at()),
            Flight::Retry { not_before, .. } => Some(*not_before),
            Flight::Sent { .. } | Flight::Lost { .. } => None,
        }
    }

    /// The append in flight is in the log.
    pub fn appended(&mut self) {
        if let Flight::Sent { last_position, .. } | Flight::Lost { last_position, .. } = self.flight {
            self.done = last_position;
            self.flight = Flight::None;
        }
    }

    /// The log service said that the append in flight did not take effect.
    pub fn refused(&mut self, not_before: TimeMs) {
        if let Flight::Sent { batch, last_position } = std::mem::replace(&mut self.flight, Flight::None) {
            self.flight = Flight::Retry { batch, last_position, not_before };
        }
    }

    /// No answer came; the append in flight may have taken effect.
    pub fn answer_lost(&mut self, now: TimeMs) {
        if let Flight::Sent { batch, last_position } = std::mem::replace(&mut self.flight, Flight::None) {
            if self.mutation == Some(Mutation::RetryWithNewSequence) {
                batch.records.into_iter().rev().for_each(|record| self.waiting.push_front(record));
                return;
            }
            self.flight = Flight::Lost { batch, last_position, since: now, reading: false };
        }
    }

    /// The read asked for failed; it is to be tried again.
    pub fn read_failed(&mut self) {
        if let Flight::Lost { reading, .. } = &mut self.flight {
            *reading = false;
        }
    }

    /// The stream was folded to a tail read begun at `start`; `last_sequence` is the writer's last sequence number in it.
    pub fn tail_read(&mut self, start: TimeMs, last_sequence: u64) {
        if last_sequence >= self.sequence && self.sequence > 0 {
            self.appended();
            return;
        }
        match std::mem::replace(&mut self.flight, Flight::None) {
            Flight::Lost { batch, last_position, since, .. } if start >= since => {
                self.flight = Flight::Retry { batch, last_position, not_before: start };
            }
            other => self.flight = other,
        }
    }

    fn next_append_at(&self) -> TimeMs {
        self.last_append_at.map_or(TimeMs(0), |at| at.plus_ms(self.spacing_ms))
    }

    fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.bulk.is_empty()
    }

    fn next_batch(&mut self, now: TimeMs) -> Option<WriterEffect> {
        if self.is_empty() || now < self.next_append_at() {
            return None;
        }
        self.sequence += 1;
        self.last_append_at = Some(now);
        let mut batch = Batch::new(self.writer.clone(), self.incarnation, self.sequence);
        let mut size_bytes = 0;
        while let Some(record) = self.waiting.front().or(self.bulk.front()) {
            size_bytes += approximate_bytes(record);
            let full = batch.records.len() == MAX_RECORDS_PER_APPEND || size_bytes > MAX_APPEND_BYTES;
            if full && !batch.records.is_empty() {
                break;
            }
            batch.records.extend(self.waiting.pop_front().or_else(|| self.bulk.pop_front()));
        }
        let last_position = self.pushed.saturating_sub(self.waiting.len() as u64);
        let effect = WriterEffect::Append { sequence: self.sequence, batch: batch.clone() };
        self.flight = Flight::Sent { batch, last_position };
        Some(effect)
    }
}

/// Estimates the encoded size of a record: its variable part and a fixed margin for the rest.
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

    /// Guards against a blind repeat: the append is sent again only after a read begun after the failure, and with the
    /// same sequence number.
    #[test]
    fn a_lost_answer_is_resolved_by_reading() {
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

    /// Guards against more appends than the log service takes.
    #[test]
    fn appends_keep_their_spacing() {
        let mut writer = writer().with_spacing_ms(10);
        writer.push(record());
        assert!(writer.poll(TimeMs(0)).is_some());
        writer.push(record());
        writer.appended();
        assert_eq!((writer.poll(TimeMs(9)), writer.wake_at()), (None, Some(TimeMs(10))));
        assert!(writer.poll(TimeMs(10)).is_some());
    }

    /// Guards against an append that comes too early, or a long wait that stays, after the number of writers has changed.
    #[test]
    fn a_change_of_the_spacing_counts_from_the_last_append() {
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

    /// Guards against an urgent record that waits for a wave of cancellations to be written.
    #[test]
    fn bulk_records_wait_behind_all_others() {
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
