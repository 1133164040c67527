//! Copies of a state that entries give to each other while the log is down.
//!
//! A copy is the sealed image of a snapshot, sent in chunks over a connection. It proves nothing about the tail of the
//! stream, so a [`Follower`](crate::snapshot::Follower) that adopted one is neither complete nor fresh.

use std::fmt;

use crate::{
    snapshot::{CHUNK_BYTES, Fold, seal, unseal},
    units::TimeMs,
};

/// How long after its start a newcomer waits for a read of the log before it asks its peers.
const FIRST_ASK_MS: u64 = 1_000;
/// The time between two rounds of questions.
const ASK_EVERY_MS: u64 = 2_000;
/// The largest number of chunks of one copy: 1 GiB.
const MAX_CHUNKS: u32 = 8_192;

/// The sealed image of a state, to be given out in chunks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyImage {
    as_of: u64,
    bytes: Vec<u8>,
}

impl CopyImage {
    /// The image of a state. Linear in its size.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does.
    pub fn new<S: Fold>(state: &S) -> Result<Self, postcard::Error> {
        Ok(Self { as_of: state.next_offset(), bytes: seal(&state.to_image()?) })
    }

    /// The offset that it is as of.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// The number of chunks.
    pub fn count(&self) -> u32 {
        u32::try_from(self.bytes.chunks(CHUNK_BYTES).len()).unwrap_or(u32::MAX)
    }

    /// One chunk of at most [`CHUNK_BYTES`].
    pub fn chunk(&self, index: u32) -> Option<&[u8]> {
        self.bytes.chunks(CHUNK_BYTES).nth(index as usize)
    }
}

/// Puts one copy together from its chunks, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CopyAssembly {
    as_of: u64,
    count: u32,
    taken: u32,
    bytes: Vec<u8>,
}

impl CopyAssembly {
    /// An assembly of `count` chunks as of an offset.
    ///
    /// # Errors
    ///
    /// Fails if no copy has so many chunks.
    pub fn new(as_of: u64, count: u32) -> Result<Self, CopyError> {
        match count {
            1..=MAX_CHUNKS => Ok(Self { as_of, count, taken: 0, bytes: Vec::new() }),
            _ => Err(CopyError { kind: CopyErrorKind::Count(count) }),
        }
    }

    /// The index of the chunk to ask for; nothing if all are here.
    pub fn next_index(&self) -> Option<u32> {
        (self.taken < self.count).then_some(self.taken)
    }

    /// Takes the chunk that was asked for.
    ///
    /// # Errors
    ///
    /// Fails if it belongs to another copy, is too large or is one too many.
    pub fn take(&mut self, (as_of, count): (u64, u32), bytes: &[u8]) -> Result<(), CopyError> {
        if (as_of, count) != (self.as_of, self.count) {
            return Err(CopyError { kind: CopyErrorKind::Mixed { expected: self.as_of, got: as_of } });
        }
        if bytes.len() > CHUNK_BYTES || self.taken == self.count {
            return Err(CopyError { kind: CopyErrorKind::Damaged });
        }
        self.bytes.extend_from_slice(bytes);
        self.taken += 1;
        Ok(())
    }

    /// The state behind the chunks. Linear in its size.
    ///
    /// # Errors
    ///
    /// Fails if chunks are missing, the version or the checksum is wrong, or the state is of another offset.
    pub fn finish<S: Fold>(self) -> Result<S, CopyError> {
        let damaged = CopyError { kind: CopyErrorKind::Damaged };
        let image = unseal(&self.bytes).filter(|_| self.taken == self.count);
        let state = image.and_then(|image| S::from_image(image).ok());
        state.filter(|state| state.next_offset() == self.as_of).ok_or(damaged)
    }
}

/// Says what is wrong with a copy.
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

/// The offer to adopt: the one with the highest offset, and of those the one that was known to be fresh last.
pub fn newest_copy<T>(offers: impl IntoIterator<Item = T>, as_of_and_age: impl Fn(&T) -> (u64, u64)) -> Option<T> {
    offers.into_iter().max_by_key(|offer| {
        let (as_of, age_ms) = as_of_and_age(offer);
        (as_of, std::cmp::Reverse(age_ms))
    })
}

/// When a newcomer asks its peers for copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CopyRequestSchedule {
    next_request_at: TimeMs,
}

impl CopyRequestSchedule {
    /// The plan of an entry that started at `now`.
    pub fn new(now: TimeMs) -> Self {
        Self { next_request_at: now.plus_ms(FIRST_ASK_MS) }
    }

    /// When to look next.
    pub fn next_request_at(&self) -> TimeMs {
        self.next_request_at
    }

    /// Whether to ask now. A round that takes longer than the pause delays the next one.
    pub fn is_due(&mut self, now: TimeMs) -> bool {
        let due = now >= self.next_request_at;
        if due {
            self.next_request_at = now.plus_ms(ASK_EVERY_MS);
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

    /// A cell with tasks whose image takes several chunks.
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
            let mut bytes = image.chunk(index).expect("asked for").to_vec();
            change(index, &mut bytes);
            assembly.take((image.as_of(), image.count()), &bytes)?;
        }
        assembly.finish()
    }

    /// Guards against a copy that arrives as another state than it left.
    #[test]
    fn a_copy_in_chunks_is_the_same_state() {
        let cell = cell(6_000);
        let image = CopyImage::new(&cell).expect("encodes");
        assert!(image.count() > 1);
        let copy = assemble(&image, |_, _| {}).expect("whole");
        assert_eq!(copy.to_image(), cell.to_image());
    }

    /// Guards against a state that is put together from two copies.
    #[test]
    fn mixed_chunks_are_refused() {
        let (old, new) =
            (CopyImage::new(&cell(6_000)).expect("encodes"), CopyImage::new(&cell(6_001)).expect("encodes"));
        let mut assembly = CopyAssembly::new(old.as_of(), old.count()).expect("a fair count");
        assembly.take((old.as_of(), old.count()), old.chunk(0).expect("first")).expect("of this copy");
        assert!(assembly.take((new.as_of(), new.count()), new.chunk(1).expect("second")).is_err());
        // A peer that names the wrong offset is found out by the checksum.
        let last = old.count() - 1;
        assert_ne!(old.chunk(last), new.chunk(last));
        let mixed = assemble(&old, |index, bytes| {
            if index == last {
                *bytes = new.chunk(last).expect("last").to_vec();
            }
        });
        assert!(mixed.is_err());
    }

    /// Guards against damaged, missing and uncountable chunks.
    #[test]
    fn damaged_chunks_are_refused() {
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
        assert!(CopyAssembly::new(image.as_of(), image.count()).expect("fair").finish::<CellState>().is_err());
        let other_offset = CopyImage { as_of: image.as_of() + 1, ..image };
        assert!(assemble(&other_offset, |_, _| {}).is_err());
    }

    /// Guards against an older copy that is adopted because its peer answered first.
    #[test]
    fn the_copy_with_the_highest_offset_wins() {
        let offers = [(5, 10), (7, 90), (7, 30), (6, 0)];
        assert_eq!(newest_copy(offers, |offer| *offer), Some((7, 30)));
        assert_eq!(newest_copy([], |offer: &(u64, u64)| *offer), None);
    }

    /// Guards against a copy that counts as proof: of completeness, of freshness, or over a newer state.
    #[test]
    fn a_copy_is_not_a_proof() {
        let mut follower = Follower::new(CellState::new(0));
        assert!(follower.adopt(cell(10)));
        assert!(!follower.is_complete());
        assert_eq!(follower.fresh_at(), None);
        assert!(!follower.adopt(cell(10)) && !follower.adopt(cell(9)));
        assert_eq!(follower.state().next_offset(), 10);
        // A page that does not reach the state says nothing of it.
        follower.apply_page(&Page { start: TimeMs(5), records: &[], first_offset: 0, tail_offset: 12 });
        assert_eq!(follower.fresh_at(), None);
        follower.apply_page(&Page { start: TimeMs(6), records: &[], first_offset: 0, tail_offset: 10 });
        assert_eq!(follower.fresh_at(), Some(TimeMs(6)));
    }

    /// Guards against a copy from before retention that is taken for complete once the log is back.
    #[test]
    fn a_copy_that_retention_has_passed_needs_a_snapshot() {
        let mut follower = Follower::new(CellState::new(0));
        assert!(follower.adopt(cell(10)));
        follower.apply_page(&Page { start: TimeMs(6), records: &[], first_offset: 20, tail_offset: 20 });
        assert!(follower.needs_snapshot() && !follower.is_complete());
        assert_eq!(follower.fresh_at(), None);
    }

    /// Guards against peers that are asked before the log had its chance, or without a pause.
    #[test]
    fn peers_are_asked_after_a_second_and_every_two() {
        let mut plan = CopyRequestSchedule::new(TimeMs(100));
        assert!(!plan.is_due(TimeMs(1_099)));
        assert!(plan.is_due(TimeMs(1_100)));
        assert!(!plan.is_due(TimeMs(3_099)));
        assert!(plan.is_due(TimeMs(3_100)));
    }
}
