//! A reader that applies pages of a stream to a state.

use crate::{
    mutation::Mutation,
    record::Batch,
    snapshot::{Assembler, Fold},
    units::TimeMs,
};

/// The result of one read of a stream.
#[derive(Debug, Clone, Copy)]
pub struct Page<'p> {
    /// The time before the read was sent, on the clock of this process.
    pub start: TimeMs,
    /// Offsets and encoded appends, in offset order.
    pub records: &'p [(u64, &'p [u8])],
    /// The oldest offset that the log retains.
    pub first_offset: u64,
    /// The offset after the last append when the read was served.
    pub tail_offset: u64,
}

/// The effect of a page on the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageOutcome<E> {
    /// The state changes in record order.
    pub events: Vec<E>,
    /// Whether the state was replaced by a snapshot. `events` does not include the changes that this caused.
    pub restored: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No page has been applied yet.
    New,
    /// The state includes all records below its offset.
    Following,
    /// Retention has dropped records that the state does not include. Snapshot chunks are collected up to the tail.
    Scanning { next: u64 },
}

/// A state that follows one stream.
///
/// The caller reads the stream from [`read_from`](Self::read_from) and passes each page to
/// [`apply_page`](Self::apply_page). If retention has dropped records that the state does not include, the reader scans
/// the stream to its tail for a snapshot, restores it and continues from there. Until then the state is not complete.
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
    /// Creates a reader with an initial state, which is empty or a peer's copy.
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

    /// Disables one rule of the protocol, to check that the tests detect the fault.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, ..self }
    }

    /// The current state. Callers must base decisions on it only while [`is_complete`](Self::is_complete) holds.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// The offset at which the next read must begin.
    pub fn read_from(&self) -> u64 {
        match self.phase {
            Phase::Scanning { next } => next,
            Phase::New | Phase::Following => self.state.next_offset(),
        }
    }

    /// Whether the state is known to include all records below its offset.
    pub fn is_complete(&self) -> bool {
        self.phase == Phase::Following
    }

    /// Whether retention has dropped records that the state does not include, and no complete snapshot was found yet.
    pub fn needs_snapshot(&self) -> bool {
        matches!(self.phase, Phase::Scanning { .. })
    }

    /// The start of the latest read whose tail the state has reached: the state includes all records that were in the
    /// stream at that time. `None` while the state is not complete.
    pub fn fresh_at(&self) -> Option<TimeMs> {
        self.fresh_at.filter(|_| self.is_complete())
    }

    /// The offset of the newest complete snapshot in the stream; `None` if none was found.
    pub fn snapshot_as_of(&self) -> Option<u64> {
        self.snapshot_as_of
    }

    /// The oldest offset that the log retains, as of the latest page.
    pub fn first_offset(&self) -> u64 {
        self.first_offset
    }

    /// The number of snapshots that were dropped because they are damaged.
    pub fn damaged_snapshots(&self) -> u64 {
        self.assembler.damaged()
    }

    /// Replaces the state by a peer's copy if the copy is newer, and continues from its offset. Returns whether the state
    /// was replaced.
    pub fn adopt(&mut self, copy: S) -> bool {
        let adopted = self.state.adopt(copy);
        if adopted && self.first_offset <= self.state.next_offset() {
            self.phase = if self.mutation == Some(Mutation::TrustPeerCopy) { Phase::Following } else { Phase::New };
        }
        adopted
    }

    /// Applies a page. Appends that cannot be decoded are skipped and counted. Linear in the size of the page.
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
                // There is a gap before this record, as may be in the response to an outdated read. The next read starts
                // at the gap.
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
        // A tail below the state comes from an outdated read, or from a log that has lost records.
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
            // The state is newer than any snapshot in the stream, so only the offset of the snapshot is needed.
            self.assembler.take_newest();
        }
    }

    /// Replaces the state by the newest complete snapshot if that is newer and the log retains all records after it.
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
