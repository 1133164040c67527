/*!
State carried past the retention of the log, and the reader that follows a stream.

A snapshot is the state of a stream as of an offset, cut into chunks under the append limit. Anyone may write one at any
time: chunks are put together per writer and offset, a set that is incomplete or damaged is passed over, and a snapshot
never replaces a state that is as new. To spare the log, only the entry that ranks first by [`snapshot_writer`] writes, when
[`is_due`] says so.

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

// The log keeps only the snapshot. A newcomer finds the task in it.
let mut batch = Batch::new(writer, 1, 2);
batch.records = chunks(&cell)?;
let bytes = batch.encode()?;
let page = Page { start: TimeMs(5), records: &[(1, &bytes)], first_offset: 1, tail_offset: 2 };
let mut newcomer = Follower::new(CellState::new(0));
assert!(newcomer.apply_page(&page).restored);
assert!(newcomer.state().task(&task).is_some());
newcomer.apply_page(&page);
assert_eq!(newcomer.fresh_at(), Some(TimeMs(5)));
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

/// Bytes in one chunk at most, below the limits of a batch and of an append.
pub const CHUNK_BYTES: usize = 128 * 1024;

const IMAGE_VERSION: u8 = 1;
const HEADER_BYTES: usize = 9;

/// A state that is folded from a stream and can be carried in a snapshot.
pub trait Fold: Sized {
    /// What a record changed.
    type Event;

    /// The offset after the last folded append.
    fn next_offset(&self) -> u64;
    /// Folds one append; an offset that was folded before changes nothing.
    fn apply(&mut self, offset: u64, batch: &Batch) -> Vec<Self::Event>;
    /// Passes over an append that could not be decoded.
    fn skip(&mut self, offset: u64);
    /// Takes a copy if it is newer and says whether it did.
    fn adopt(&mut self, other: Self) -> bool;
    /// The state as bytes; equal states have equal bytes.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does.
    fn to_image(&self) -> Result<Vec<u8>, postcard::Error>;
    /// Reads a state back.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no image of such a state.
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

/// The chunks of a snapshot of `state`, in order. Linear in the size of the state.
///
/// # Errors
///
/// Fails if the encoder does.
pub fn chunks<S: Fold>(state: &S) -> Result<Vec<Record>, postcard::Error> {
    let bytes = seal(&state.to_image()?);
    let parts: Vec<_> = bytes.chunks(CHUNK_BYTES).collect();
    let (as_of, count) = (state.next_offset(), u32::try_from(parts.len()).unwrap_or(u32::MAX));
    let chunk = |(index, part): (u32, &&[u8])| Record::SnapshotChunk { as_of, index, count, bytes: part.to_vec() };
    Ok((0..).zip(&parts).map(chunk).collect())
}

/// The entry that writes the snapshots of a stream: the one that ranks first by rendezvous hash. All who know the same
/// entries choose the same one, and it changes only when it goes or a higher one comes.
pub fn snapshot_writer<'e>(stream: &str, entries: impl IntoIterator<Item = &'e EntryRef>) -> Option<&'e EntryRef> {
    let rank = |entry: &EntryRef| {
        let mut hash = Xxh3::new();
        for part in [stream.as_bytes(), entry.entry.as_str().as_bytes()] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(&entry.incarnation.to_le_bytes());
        hash.digest()
    };
    entries.into_iter().max_by_key(|entry| (rank(entry), *entry))
}

/// Whether a new snapshot is due: `every` appends after the last one, or when retention has come close to it. Close means
/// that of the appends that the log keeps, a quarter or fewer are older than the last snapshot.
pub fn is_due(last_as_of: Option<u64>, first_offset: u64, next_offset: u64, every: u64) -> bool {
    let last = last_as_of.unwrap_or(0);
    let kept = next_offset.saturating_sub(first_offset);
    let close = first_offset > 0 && last.saturating_sub(first_offset) <= kept / 4;
    next_offset.saturating_sub(last) >= every || close
}

/// Puts a version and a checksum before an image.
fn seal(image: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + image.len());
    bytes.push(IMAGE_VERSION);
    bytes.extend(xxh3_64(image).to_le_bytes());
    bytes.extend(image);
    bytes
}

/// The image behind a valid header.
fn unseal(bytes: &[u8]) -> Option<&[u8]> {
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

    /// Guards against all entries writing snapshots, and against a choice that jumps when another entry goes.
    #[test]
    fn the_writer_changes_only_if_it_goes() {
        let all = [entry("a"), entry("b"), entry("c")];
        let first = snapshot_writer("cell-0", &all).expect("some entry").clone();
        for gone in all.iter().filter(|entry| **entry != first) {
            let rest = all.iter().filter(|entry| *entry != gone);
            assert_eq!(snapshot_writer("cell-0", rest), Some(&first));
        }
        assert!(snapshot_writer("cell-0", []).is_none());
    }

    /// Guards against state that is lost because retention passes the last snapshot.
    #[test]
    fn a_snapshot_is_due_by_count_and_before_retention_passes_it() {
        assert!(!is_due(Some(100), 0, 199, 100));
        assert!(is_due(Some(100), 0, 200, 100));
        assert!(!is_due(Some(160), 100, 200, 1_000));
        assert!(is_due(Some(120), 100, 200, 1_000));
        assert!(is_due(Some(90), 100, 100, 1_000), "all of the stream is gone");
    }
}
