//! A reader that turns pages of a stream into a state.

use crate::{
    mutation::Mutation,
    record::Batch,
    snapshot::{Assembler, Fold},
    units::TimeMs,
};

/// What a read of a stream returned.
#[derive(Debug, Clone, Copy)]
pub struct Page<'p> {
    /// When the read began, on the clock of this process.
    pub start: TimeMs,
    /// Appends in offset order.
    pub records: &'p [(u64, &'p [u8])],
    /// The oldest offset that the log still keeps.
    pub first_offset: u64,
    /// The tail of the stream while the read was served.
    pub tail_offset: u64,
}

/// What became of a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageOutcome<E> {
    /// What the records changed.
    pub events: Vec<E>,
    /// Whether the state was replaced by a snapshot. The events say nothing of what that changed.
    pub restored: bool,
}

/// Where a reader stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing was read yet.
    New,
    /// All records up to the state's offset are in it.
    Following,
    /// Records were dropped by retention before they were read. Chunks are collected up to the tail.
    Scanning { next: u64 },
}

/// The state of one stream, kept up to date by pages.
///
/// Read from [`read_from`](Self::read_from) on and pass each page to [`apply_page`](Self::apply_page). If retention has passed the
/// state, the reader looks for a snapshot up to the tail, and then folds on from there; until then its view is not
/// complete.
#[derive(Debug, Clone)]
pub struct Follower<S> {
    state: S,
    phase: Phase,
    assembler: Assembler,
    snapshot_as_of: Option<u64>,
    first_offset: u64,
    fresh_at: Option<TimeMs>,
    mutation: Option<Mutation>,
}

impl<S: Fold> Follower<S> {
    /// A reader that begins with `state`, which is empty or a peer's copy.
    pub fn new(state: S) -> Self {
        Self {
            state,
            phase: Phase::New,
            assembler: Assembler::new(),
            snapshot_as_of: None,
            first_offset: 0,
            fresh_at: None,
            mutation: None,
        }
    }

    /// Breaks one rule, for tests of the tests.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, ..self }
    }

    /// The folded state. Decisions are made on it only while [`is_complete`](Self::is_complete) holds.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// The offset to read from next.
    pub fn read_from(&self) -> u64 {
        match self.phase {
            Phase::Scanning { next } => next,
            Phase::New | Phase::Following => self.state.next_offset(),
        }
    }

    /// Whether the state holds all records below its offset.
    pub fn is_complete(&self) -> bool {
        self.phase == Phase::Following
    }

    /// Whether records were dropped by retention and no complete snapshot has been found so far.
    pub fn needs_snapshot(&self) -> bool {
        matches!(self.phase, Phase::Scanning { .. })
    }

    /// The start of the newest read whose tail the state has reached. The state holds all that was in the stream then.
    pub fn fresh_at(&self) -> Option<TimeMs> {
        self.fresh_at.filter(|_| self.is_complete())
    }

    /// The offset of the newest complete snapshot that was seen.
    pub fn snapshot_as_of(&self) -> Option<u64> {
        self.snapshot_as_of
    }

    /// The oldest offset that the log was seen to keep.
    pub fn first_offset(&self) -> u64 {
        self.first_offset
    }

    /// Sets of snapshot chunks that could not be read.
    pub fn damaged_snapshots(&self) -> u64 {
        self.assembler.damaged()
    }

    /// Takes a peer's copy if it is newer than the state, and says whether it did. Reading goes on from there.
    pub fn adopt(&mut self, copy: S) -> bool {
        let adopted = self.state.adopt(copy);
        if adopted && self.first_offset <= self.state.next_offset() {
            self.phase = if self.mutation == Some(Mutation::TrustPeerCopy) { Phase::Following } else { Phase::New };
        }
        adopted
    }

    /// Folds a page. Appends that cannot be decoded are skipped and counted. Linear in the size of the page.
    pub fn apply_page(&mut self, page: &Page<'_>) -> PageOutcome<S::Event> {
        self.first_offset = self.first_offset.max(page.first_offset);
        let missing = self.state.next_offset() < self.first_offset && !self.skips_snapshots();
        match self.phase {
            Phase::New | Phase::Following if missing => {
                self.phase = Phase::Scanning { next: self.first_offset };
                self.scan(page)
            }
            Phase::Scanning { .. } => self.scan(page),
            Phase::New | Phase::Following => self.follow(page),
        }
    }

    fn skips_snapshots(&self) -> bool {
        self.mutation == Some(Mutation::SkipSnapshot)
    }

    fn follow(&mut self, page: &Page<'_>) -> PageOutcome<S::Event> {
        let mut events = Vec::new();
        self.phase = Phase::Following;
        for (offset, bytes) in page.records {
            if *offset > self.state.next_offset() && !self.skips_snapshots() {
                // The page begins after the state, as the answer to an older read may. The records are read again.
                break;
            }
            match Batch::decode(bytes) {
                Ok(batch) => {
                    self.collect(&batch);
                    events.extend(self.state.apply(*offset, &batch));
                }
                Err(_) => self.state.skip(*offset),
            }
        }
        // A tail below the state belongs to a read that was overtaken, or to a log that has lost records.
        if self.state.next_offset() == page.tail_offset {
            self.fresh_at = self.fresh_at.max(Some(page.start));
        }
        PageOutcome { events, restored: false }
    }

    fn scan(&mut self, page: &Page<'_>) -> PageOutcome<S::Event> {
        let Phase::Scanning { next } = &mut self.phase else {
            return PageOutcome { events: Vec::new(), restored: false };
        };
        let mut position = (*next).max(page.first_offset);
        let mut batches = Vec::new();
        for (offset, bytes) in page.records {
            if *offset == position {
                position += 1;
                batches.extend(Batch::decode(bytes).ok());
            }
        }
        *next = position;
        batches.iter().for_each(|batch| self.collect(batch));
        let restored = position >= page.tail_offset && self.restore();
        PageOutcome { events: Vec::new(), restored }
    }

    fn collect(&mut self, batch: &Batch) {
        self.assembler.take(batch);
        self.snapshot_as_of = self.snapshot_as_of.max(self.assembler.newest().map(|(as_of, _)| as_of));
        if self.is_complete() {
            // The state is newer than any snapshot in the stream; only the offset is of use.
            self.assembler.take_newest();
        }
    }

    /// Puts the newest complete snapshot in place of the state if all records after it are kept and it is newer.
    fn restore(&mut self) -> bool {
        let Some((as_of, image)) = self.assembler.take_newest() else { return false };
        let state = S::from_image(&image).ok().filter(|state| state.next_offset() == as_of);
        let usable = as_of >= self.first_offset;
        let restored = usable && state.is_some_and(|state| self.state.adopt(state));
        if restored {
            self.phase = Phase::Following;
            self.fresh_at = None;
        }
        restored
    }
}
