//! Transfer of a state between entries while the log is down.
//!
//! A copy is the image of a snapshot with its header, sent in chunks over a connection. It does not show what the tail of
//! the stream is, so a [`Follower`](crate::snapshot::Follower) that adopts one is neither complete nor fresh.

use std::fmt;

use crate::{
    snapshot::{CHUNK_BYTES, Fold, prepend_header, strip_header},
    units::TimeMs,
};

/// How long a starting entry waits for a read of the log before it requests copies from its peers.
const FIRST_REQUEST_MS: u64 = 1_000;
/// The time between two rounds of copy requests.
const REQUEST_INTERVAL_MS: u64 = 2_000;
/// The maximum number of chunks of one copy, which allows for 1 GiB.
const MAX_CHUNKS: u32 = 8_192;

/// The serialized image of a state with its header, on the sending side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyImage {
    as_of: u64,
    bytes: Vec<u8>,
}

impl CopyImage {
    /// Serializes `state`. Linear in its size.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails.
    pub fn new<S: Fold>(state: &S) -> Result<Self, postcard::Error> {
        Ok(Self { as_of: state.next_offset(), bytes: prepend_header(&state.to_image()?) })
    }

    /// The copy covers all records below this offset.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// The number of chunks, at least 1.
    pub fn count(&self) -> u32 {
        u32::try_from(self.bytes.chunks(CHUNK_BYTES).len()).unwrap_or(u32::MAX)
    }

    /// Returns a chunk of at most [`CHUNK_BYTES`], or `None` if `index` is not below [`count`](Self::count).
    pub fn chunk(&self, index: u32) -> Option<&[u8]> {
        self.bytes.chunks(CHUNK_BYTES).nth(index as usize)
    }
}

/// Assembles one copy from its chunks, in order, on the receiving side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyAssembly {
    as_of: u64,
    count: u32,
    received: u32,
    bytes: Vec<u8>,
}

impl CopyAssembly {
    /// Creates an assembly for `count` chunks of a copy as of offset `as_of`.
    ///
    /// # Errors
    ///
    /// Fails if `count` is zero or exceeds the limit for a copy.
    pub fn new(as_of: u64, count: u32) -> Result<Self, CopyError> {
        match count {
            1..=MAX_CHUNKS => Ok(Self { as_of, count, received: 0, bytes: Vec::new() }),
            _ => Err(CopyError { kind: CopyErrorKind::Count(count) }),
        }
    }

    /// The index of the next chunk to request, or `None` if all have been received.
    pub fn next_index(&self) -> Option<u32> {
        (self.received < self.count).then_some(self.received)
    }

    /// Adds the chunk of [`next_index`](Self::next_index).
    ///
    /// # Errors
    ///
    /// Fails if the chunk belongs to another copy or is too large, or if all chunks have been received.
    pub fn take(&mut self, (as_of, count): (u64, u32), bytes: &[u8]) -> Result<(), CopyError> {
        if (as_of, count) != (self.as_of, self.count) {
            return Err(CopyError { kind: CopyErrorKind::Mixed { expected: self.as_of, got: as_of } });
        }
        if bytes.len() > CHUNK_BYTES || self.received == self.count {
            return Err(CopyError { kind: CopyErrorKind::Damaged });
        }
        self.bytes.extend_from_slice(bytes);
        self.received += 1;
        Ok(())
    }

    /// Decodes the state. Linear in its size.
    ///
    /// # Errors
    ///
    /// Fails if chunks are missing, the version or the checksum is wrong, or the state has another offset.
    pub fn finish<S: Fold>(self) -> Result<S, CopyError> {
        let damaged = CopyError { kind: CopyErrorKind::Damaged };
        let image = strip_header(&self.bytes).filter(|_| self.received == self.count);
        let state = image.and_then(|image| S::from_image(image).ok());
        state.filter(|state| state.next_offset() == self.as_of).ok_or(damaged)
    }
}

/// A copy could not be assembled or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyError {
    kind: CopyErrorKind,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum CopyErrorKind {
    Count(u32),
    Mixed { expected: u64, got: u64 },
    Damaged,
}

impl fmt::Display for CopyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            CopyErrorKind::Count(count) => write!(f, "a copy has 1 to {MAX_CHUNKS} chunks, not {count}"),
            CopyErrorKind::Mixed { expected, got } => {
                write!(f, "a chunk as of {got} does not belong to the copy as of {expected}; ask again")
            }
            CopyErrorKind::Damaged => write!(f, "the copy is damaged or of another version; ask another entry"),
        }
    }
}

impl std::error::Error for CopyError {}

/// Chooses the copy to adopt: the one with the highest offset, and among equal ones the one with the lowest age.
pub fn newest_copy<T>(offers: impl IntoIterator<Item = T>, as_of_and_age: impl Fn(&T) -> (u64, u64)) -> Option<T> {
    offers.into_iter().max_by_key(|offer| {
        let (as_of, age_ms) = as_of_and_age(offer);
        (as_of, std::cmp::Reverse(age_ms))
    })
}

/// Schedule by which a starting entry requests copies from its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyRequestSchedule {
    next_request_at: TimeMs,
}

impl CopyRequestSchedule {
    /// Creates the schedule of an entry that starts at `now`.
    pub fn new(now: TimeMs) -> Self {
        Self { next_request_at: now.plus_ms(FIRST_REQUEST_MS) }
    }

    /// The earliest time of the next round.
    pub fn next_request_at(&self) -> TimeMs {
        self.next_request_at
    }

    /// Whether to start a round now. If so, the next one is scheduled relative to `now`.
    pub fn is_due(&mut self, now: TimeMs) -> bool {
        let due = now >= self.next_request_at;
        if due {
            self.next_request_at = now.plus_ms(REQUEST_INTERVAL_MS);
        }
        due
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{
        cell::CellState,
        ids::{EntryId, TaskId},
        record::{Batch, Record},
        snapshot::{Follower, Page},
        testing,
    };

    /// A cell with `tasks` pending tasks. The image of 6,000 tasks takes several chunks.
    fn cell(tasks: u64) -> CellState {
        let mut cell = CellState::new(0);
        let writer = EntryId::new("entry-a").expect("valid id");
        for number in 0..tasks {
            let task = TaskId::new(format!("c0-{number}")).expect("valid id");
            let record = Record::TaskSubmitted { task, spec: testing::task_spec() };
            cell.apply(number, &Batch::new(writer.clone(), 1, number + 1).with_record(record));
        }
        cell
    }

    fn assemble(image: &CopyImage, change: impl Fn(u32, &mut Vec<u8>)) -> Result<CellState, CopyError> {
        let mut assembly = CopyAssembly::new(image.as_of(), image.count())?;
        while let Some(index) = assembly.next_index() {
            let mut bytes = image.chunk(index).expect("below the count").to_vec();
            change(index, &mut bytes);
            assembly.take((image.as_of(), image.count()), &bytes)?;
        }
        assembly.finish()
    }

    /// Guards against a transfer that changes the state.
    #[test]
    fn a_copy_in_chunks_decodes_to_the_same_state() {
        let cell = cell(6_000);
        let image = CopyImage::new(&cell).expect("encodes");
        assert!(image.count() > 1);
        let copy = assemble(&image, |_, _| {}).expect("a complete copy");
        assert_eq!(copy.to_image(), cell.to_image());
    }

    /// Guards against a state that is assembled from chunks of two copies.
    #[test]
    fn mixed_chunks_are_rejected() {
        let (old, new) =
            (CopyImage::new(&cell(6_000)).expect("encodes"), CopyImage::new(&cell(6_001)).expect("encodes"));
        let mut assembly = CopyAssembly::new(old.as_of(), old.count()).expect("a valid count");
        assembly.take((old.as_of(), old.count()), old.chunk(0).expect("first")).expect("of this copy");
        assert!(assembly.take((new.as_of(), new.count()), new.chunk(1).expect("second")).is_err());
        // If a peer sends the wrong offset with a chunk, the checksum detects it.
        let last = old.count() - 1;
        assert_ne!(old.chunk(last), new.chunk(last));
        let mixed = assemble(&old, |index, bytes| {
            if index == last {
                *bytes = new.chunk(last).expect("last").to_vec();
            }
        });
        assert!(mixed.is_err());
    }

    /// Guards against damaged and missing chunks, and against an invalid number of chunks.
    #[test]
    fn damaged_chunks_are_rejected() {
        let image = CopyImage::new(&cell(6_000)).expect("encodes");
        for damaged in 0..image.count() {
            let flipped = assemble(&image, |index, bytes| {
                if index == damaged {
                    bytes[0] ^= 1;
                }
            });
            assert!(flipped.is_err(), "chunk {damaged}");
        }
        assert!(CopyAssembly::new(1, 0).is_err());
        assert!(CopyAssembly::new(1, MAX_CHUNKS + 1).is_err());
        assert!(CopyAssembly::new(image.as_of(), image.count()).expect("a valid count").finish::<CellState>().is_err());
        let other_offset = CopyImage { as_of: image.as_of() + 1, ..image };
        assert!(assemble(&other_offset, |_, _| {}).is_err());
    }

    /// Guards against adopting an older copy because its peer answered first.
    #[test]
    fn the_copy_with_the_highest_offset_is_chosen() {
        let offers = [(5, 10), (7, 90), (7, 30), (6, 0)];
        assert_eq!(newest_copy(offers, |offer| *offer), Some((7, 30)));
        assert_eq!(newest_copy([], |offer: &(u64, u64)| *offer), None);
    }

    /// Guards against a copy that makes a reader complete or fresh, or replaces a newer state.
    #[test]
    fn an_adopted_copy_is_neither_complete_nor_fresh() {
        let mut follower = Follower::new(CellState::new(0));
        assert!(follower.adopt(cell(10)));
        assert!(!follower.is_complete());
        assert_eq!(follower.fresh_at(), None);
        assert!(!follower.adopt(cell(10)) && !follower.adopt(cell(9)));
        assert_eq!(follower.state().next_offset(), 10);
        // The state has not reached the tail of this page, so it is not known to be fresh.
        follower.apply_page(&Page { start: TimeMs(5), records: &[], first_offset: 0, tail_offset: 12 });
        assert_eq!(follower.fresh_at(), None);
        follower.apply_page(&Page { start: TimeMs(6), records: &[], first_offset: 0, tail_offset: 10 });
        assert_eq!(follower.fresh_at(), Some(TimeMs(6)));
    }

    /// Guards against a copy older than the retained records that is treated as complete once the log is available again.
    #[test]
    fn a_copy_older_than_retention_needs_a_snapshot() {
        let mut follower = Follower::new(CellState::new(0));
        assert!(follower.adopt(cell(10)));
        follower.apply_page(&Page { start: TimeMs(6), records: &[], first_offset: 20, tail_offset: 20 });
        assert!(follower.needs_snapshot() && !follower.is_complete());
        assert_eq!(follower.fresh_at(), None);
    }

    /// Guards against copy requests before the log had time to respond, and against requests in rapid succession.
    #[test]
    fn copies_are_requested_after_one_second_and_then_every_two() {
        let mut schedule = CopyRequestSchedule::new(TimeMs(100));
        assert!(!schedule.is_due(TimeMs(1_099)));
        assert!(schedule.is_due(TimeMs(1_100)));
        assert!(!schedule.is_due(TimeMs(3_099)));
        assert!(schedule.is_due(TimeMs(3_100)));
    }
}
