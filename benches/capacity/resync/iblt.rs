//! An invertible Bloom lookup table of records.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::resync::{EndpointRecord, RECORD_BYTES};

/// Cells that a record is counted in.
const HASHES: usize = 4;

#[derive(Debug, Clone, Copy)]
struct Cell {
    count: i32,
    records: EndpointRecord,
    checks: u64,
}

/// A sum of records that can be listed again if there are few. Each hash has a part of the table of its own.
pub struct Table {
    cells: Vec<Cell>,
}

fn hash(record: &EndpointRecord, seed: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, record).hash(&mut hasher);
    hasher.finish()
}

impl Table {
    /// An empty table; `cells` is a multiple of the number of hashes.
    pub fn new(cells: usize) -> Self {
        Self { cells: vec![Cell { count: 0, records: [0; RECORD_BYTES], checks: 0 }; cells] }
    }

    /// Adds (1) or removes (-1) a record.
    pub fn add(&mut self, record: &EndpointRecord, sign: i32) {
        let part = self.cells.len() / HASHES;
        let check = hash(record, HASHES);
        for seed in 0..HASHES {
            let place = seed * part + hash(record, seed) as usize % part;
            let cell = &mut self.cells[place];
            cell.count += sign;
            cell.checks ^= check;
            cell.records.iter_mut().zip(record).for_each(|(sum, byte)| *sum ^= byte);
        }
    }

    /// Bytes on the wire: a count, a sum of records and a sum of checks for each cell.
    pub fn bytes(&self) -> usize {
        self.cells.len() * (4 + RECORD_BYTES + 8)
    }

    /// The records that were added only and those that were removed only; nothing if the table is too small for them.
    pub fn list(mut self) -> Option<(Vec<EndpointRecord>, Vec<EndpointRecord>)> {
        let (mut added, mut removed) = (Vec::new(), Vec::new());
        let mut open: Vec<usize> = (0..self.cells.len()).collect();
        while let Some(place) = open.pop() {
            let Cell { count, records, checks } = self.cells[place];
            if count.abs() != 1 || checks != hash(&records, HASHES) {
                continue;
            }
            if count == 1 {
                added.push(records);
            } else {
                removed.push(records);
            }
            self.add(&records, -count);
            let part = self.cells.len() / HASHES;
            open.extend((0..HASHES).map(|seed| seed * part + hash(&records, seed) as usize % part));
        }
        self.cells.iter().all(|cell| cell.count == 0 && cell.checks == 0).then_some((added, removed))
    }
}
