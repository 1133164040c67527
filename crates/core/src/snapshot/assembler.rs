//! Assembles snapshots from the chunks in a stream.

use std::collections::BTreeMap;

use crate::{
    ids::EntryRef,
    record::{Batch, Record},
    snapshot::strip_header,
};

/// The maximum number of incomplete snapshots in memory. Older ones are dropped once a newer one is complete, so the limit
/// is reached only if many writers fail during a snapshot.
const MAX_SETS: usize = 16;
/// The maximum number of chunks of one snapshot, which allows for 8 GiB.
const MAX_CHUNKS: u32 = 65_536;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SetKey {
    as_of: u64,
    writer: EntryRef,
}

#[derive(Debug, Clone)]
struct ChunkSet {
    count: u32,
    parts: BTreeMap<u32, Vec<u8>>,
    damaged: bool,
}

/// Collects the chunks of one stream and holds the newest complete snapshot.
#[derive(Debug, Clone, Default)]
pub struct Assembler {
    sets: BTreeMap<SetKey, ChunkSet>,
    newest: Option<(u64, Vec<u8>)>,
    damaged: u64,
}

impl Assembler {
    /// Creates an assembler without chunks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the chunks of an append. Chunks of different writers are kept apart, even those of the same offset.
    pub fn take(&mut self, batch: &Batch) {
        for record in &batch.records {
            if let Record::SnapshotChunk { as_of, index, count, bytes } = record {
                self.add_chunk(SetKey { as_of: *as_of, writer: batch.writer_ref() }, (*index, *count), bytes);
            }
        }
    }

    /// The offset and the image of the newest complete snapshot, if there is one.
    pub fn newest(&self) -> Option<(u64, &[u8])> {
        self.newest.as_ref().map(|(as_of, image)| (*as_of, image.as_slice()))
    }

    /// Removes and returns the newest complete snapshot.
    pub fn take_newest(&mut self) -> Option<(u64, Vec<u8>)> {
        self.newest.take()
    }

    /// The number of snapshots that were dropped because of a wrong header or contradictory chunks.
    pub fn damaged(&self) -> u64 {
        self.damaged
    }

    fn add_chunk(&mut self, key: SetKey, (index, count): (u32, u32), bytes: &[u8]) {
        let outdated = self.newest.as_ref().is_some_and(|(as_of, _)| *as_of >= key.as_of);
        if outdated || index >= count || count > MAX_CHUNKS {
            return;
        }
        let set =
            self.sets.entry(key.clone()).or_insert_with(|| ChunkSet { count, parts: BTreeMap::new(), damaged: false });
        let differs = set.parts.get(&index).is_some_and(|part| part != bytes);
        if set.count != count || differs {
            self.damaged += u64::from(!set.damaged);
            set.damaged = true;
            set.parts.clear();
        }
        if !set.damaged {
            set.parts.insert(index, bytes.to_vec());
            if set.parts.len() == count as usize {
                self.complete(&key);
            }
        }
        while self.sets.len() > MAX_SETS {
            self.sets.pop_first();
        }
    }

    fn complete(&mut self, key: &SetKey) {
        let Some(set) = self.sets.get_mut(key) else { return };
        let bytes = std::mem::take(&mut set.parts).into_values().collect::<Vec<_>>().concat();
        match strip_header(&bytes) {
            Some(image) => {
                self.newest = Some((key.as_of, image.to_vec()));
                self.sets.retain(|other, _| other.as_of > key.as_of);
            }
            None => {
                set.damaged = true;
                self.damaged += 1;
            }
        }
    }
}
