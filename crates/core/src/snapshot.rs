/*!
Snapshots, which preserve state beyond the retention of the log, and the reader that follows a stream.

A snapshot is the state of a stream as of an offset, split into chunks below the append limit. Any entry may write one at
any time: chunks are assembled per writer and offset, incomplete and damaged snapshots are ignored, and a snapshot never
replaces a state of the same or a later offset. To limit the load on the log, only the entry chosen by
[`snapshot_writer`] writes snapshots, when [`is_due`] returns true.

```
use fescuelead_core::{
    cell::CellState,
    ids::{EntryId, TaskId},
    record::{Batch, Record},
    snapshot::{Follower, Page, chunks},
    testing,
    units::TimeMs,
};

let (writer, task) = (EntryId::new("entry-a")?, TaskId::new("c0-master-17")?);
let submitted = Record::TaskSubmitted { task: task.clone(), spec: testing::task_spec() };
let mut cell = CellState::new(0);
cell.apply(0, &Batch::new(writer.clone(), 1, 1).with_record(submitted));

// The log retains only the snapshot. A new reader restores the task from it.
let mut batch = Batch::new(writer, 1, 2);
batch.records = chunks(&cell)?;
let bytes = batch.encode()?;
let page = Page { start: TimeMs(5), records: &[(1, &bytes)], first_offset: 1, tail_offset: 2 };
let mut follower = Follower::new(CellState::new(0));
assert!(follower.apply_page(&page).restored);
assert!(follower.state().task(&task).is_some());
follower.apply_page(&page);
assert_eq!(follower.fresh_at(), Some(TimeMs(5)));
# Ok::<(), Box<dyn std::error::Error>>(())
```
*/

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::{
    cell::{CellEvent, CellState},
    config::{ConfigState, Decision},
    ids::EntryRef,
    record::{Batch, Record},
};

mod assembler;
mod copy;
mod follower;

pub use self::{
    assembler::Assembler,
    copy::{CopyAssembly, CopyError, CopyImage, CopyRequestSchedule, newest_copy},
    follower::{Follower, Page, PageOutcome},
};

/// The maximum size of a chunk in bytes, below the size limits of a batch and of an append.
pub const CHUNK_BYTES: usize = 128 * 1024;

const IMAGE_VERSION: u8 = 1;
const HEADER_BYTES: usize = 9;

/// A state that is computed from a stream and can be stored in a snapshot.
pub trait Fold: Sized {
    /// A state change caused by one record.
    type Event;

    /// The offset after the last append that was applied or skipped.
    fn next_offset(&self) -> u64;
    /// Applies one append. An append below [`next_offset`](Self::next_offset) is ignored.
    fn apply(&mut self, offset: u64, batch: &Batch) -> Vec<Self::Event>;
    /// Advances past an append that cannot be decoded.
    fn skip(&mut self, offset: u64);
    /// Replaces the state by `other` if that is newer. Returns whether it was replaced.
    fn adopt(&mut self, other: Self) -> bool;
    /// Serializes the state. Equal states have equal bytes.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails.
    fn to_image(&self) -> Result<Vec<u8>, postcard::Error>;
    /// Decodes the output of [`to_image`](Self::to_image).
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is not a valid image.
    fn from_image(bytes: &[u8]) -> Result<Self, postcard::Error>;
}

macro_rules! fold {
    ($state:ident, $event:ident) => {
        impl Fold for $state {
            type Event = $event;

            fn next_offset(&self) -> u64 {
                self.next_offset()
            }

            fn apply(&mut self, offset: u64, batch: &Batch) -> Vec<$event> {
                self.apply(offset, batch)
            }

            fn skip(&mut self, offset: u64) {
                self.skip(offset);
            }

            fn adopt(&mut self, other: Self) -> bool {
                self.adopt(other)
            }

            fn to_image(&self) -> Result<Vec<u8>, postcard::Error> {
                self.to_image()
            }

            fn from_image(bytes: &[u8]) -> Result<Self, postcard::Error> {
                Self::from_image(bytes)
            }
        }
    };
}

fold!(CellState, CellEvent);
fold!(ConfigState, Decision);

/// Splits a snapshot of `state` into chunk records, in order. Linear in the size of the state.
///
/// # Errors
///
/// Fails if the encoder fails.
pub fn chunks<S: Fold>(state: &S) -> Result<Vec<Record>, postcard::Error> {
    let bytes = prepend_header(&state.to_image()?);
    let parts: Vec<_> = bytes.chunks(CHUNK_BYTES).collect();
    let (as_of, count) = (state.next_offset(), u32::try_from(parts.len()).unwrap_or(u32::MAX));
    let chunk = |(index, part): (u32, &&[u8])| Record::SnapshotChunk { as_of, index, count, bytes: part.to_vec() };
    Ok((0..).zip(&parts).map(chunk).collect())
}

/// Chooses the entry that writes the snapshots of a stream, by rendezvous hashing. All processes with the same list of
/// entries choose the same one, and the choice changes only if that entry leaves or one with a higher hash joins.
pub fn snapshot_writer<'e>(stream: &str, entries: impl IntoIterator<Item = &'e EntryRef>) -> Option<&'e EntryRef> {
    let score = |entry: &EntryRef| {
        let mut hash = Xxh3::new();
        for part in [stream.as_bytes(), entry.entry.as_str().as_bytes()] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(&entry.incarnation.to_le_bytes());
        hash.digest()
    };
    entries.into_iter().max_by_key(|entry| (score(entry), *entry))
}

/// Whether to write a new snapshot: `every` appends after the last one, or once retention has nearly reached the last one.
/// The latter is the case if at most a quarter of the retained appends are older than the last snapshot.
pub fn is_due(last_as_of: Option<u64>, first_offset: u64, next_offset: u64, every: u64) -> bool {
    let last = last_as_of.unwrap_or(0);
    let retained = next_offset.saturating_sub(first_offset);
    let near_retention = first_offset > 0 && last.saturating_sub(first_offset) <= retained / 4;
    next_offset.saturating_sub(last) >= every || near_retention
}

/// Prepends a header with the format version and a checksum.
fn prepend_header(image: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + image.len());
    bytes.push(IMAGE_VERSION);
    bytes.extend(xxh3_64(image).to_le_bytes());
    bytes.extend(image);
    bytes
}

/// Returns the image after the header, or `None` if the version or the checksum is wrong.
fn strip_header(bytes: &[u8]) -> Option<&[u8]> {
    let (header, image) = bytes.split_at_checked(HEADER_BYTES)?;
    let valid = header[0] == IMAGE_VERSION && header[1..] == xxh3_64(image).to_le_bytes();
    valid.then_some(image)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::EntryId;

    fn entry(name: &str) -> EntryRef {
        EntryRef::new(EntryId::new(name).expect("valid id"), 1)
    }

    /// Guards against a snapshot writer that changes when another entry leaves.
    #[test]
    fn the_snapshot_writer_changes_only_if_it_leaves() {
        let all = [entry("a"), entry("b"), entry("c")];
        let first = snapshot_writer("cell-0", &all).expect("some entry").clone();
        for removed in all.iter().filter(|entry| **entry != first) {
            let rest = all.iter().filter(|entry| *entry != removed);
            assert_eq!(snapshot_writer("cell-0", rest), Some(&first));
        }
        assert!(snapshot_writer("cell-0", []).is_none());
    }

    /// Guards against state that is lost because retention drops the last snapshot.
    #[test]
    fn a_snapshot_is_due_by_count_and_before_retention_drops_it() {
        assert!(!is_due(Some(100), 0, 199, 100));
        assert!(is_due(Some(100), 0, 200, 100));
        assert!(!is_due(Some(160), 100, 200, 1_000));
        assert!(is_due(Some(120), 100, 200, 1_000));
        assert!(is_due(Some(90), 100, 100, 1_000), "retention has dropped the whole stream");
    }
}
