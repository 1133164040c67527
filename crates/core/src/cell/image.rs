//! Serialization of a cell for snapshots. Tasks are sorted by id, so that equal cells have equal bytes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::{
    cell::{CellLease, CellState, Claim, FencingSet, Task, TaskPhase, quota::TeamQuotas},
    ids::{EntryRef, RequestKey},
};

/// The serialized form of a cell, with borrowed fields for encoding.
#[derive(Serialize)]
struct ImageRef<'c> {
    cell: u32,
    next_offset: u64,
    tasks: Vec<&'c Task>,
    claims: &'c BTreeMap<RequestKey, Claim>,
    fencers: &'c FencingSet,
    lease: Option<CellLease>,
    quotas: &'c TeamQuotas,
    last_sequence: BTreeMap<&'c EntryRef, u64>,
    skipped: u64,
    repeated: u64,
}

/// The serialized form of a cell, with owned fields for decoding.
#[derive(Deserialize)]
struct Image {
    cell: u32,
    next_offset: u64,
    tasks: Vec<Task>,
    claims: BTreeMap<RequestKey, Claim>,
    fencers: FencingSet,
    lease: Option<CellLease>,
    quotas: TeamQuotas,
    last_sequence: BTreeMap<EntryRef, u64>,
    skipped: u64,
    repeated: u64,
}

impl CellState {
    /// Serializes the state. Equal states have equal bytes. Takes O(n log n) time for n tasks, because they are sorted.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails, which does not happen for a state built from records.
    pub fn to_image(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut tasks: Vec<_> = self.tasks.values().collect();
        tasks.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        postcard::to_allocvec(&ImageRef {
            cell: self.cell,
            next_offset: self.next_offset,
            tasks,
            claims: &self.claims,
            fencers: &self.fencers,
            lease: self.lease,
            quotas: &self.quotas,
            last_sequence: self.last_sequence.iter().map(|(entry, last)| (entry, *last)).collect(),
            skipped: self.skipped,
            repeated: self.repeated,
        })
    }

    /// Decodes the output of [`to_image`](Self::to_image). Linear in its length.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is not a valid image of a cell.
    pub fn from_image(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let image: Image = postcard::from_bytes(bytes)?;
        let mut state = Self {
            next_offset: image.next_offset,
            tasks: SlotMap::with_capacity_and_key(image.tasks.len()),
            claims: image.claims,
            fencers: image.fencers,
            lease: image.lease,
            quotas: image.quotas,
            last_sequence: image.last_sequence.into_iter().collect(),
            skipped: image.skipped,
            repeated: image.repeated,
            ..Self::new(image.cell)
        };
        for task in image.tasks {
            let (id, fenced) = (task.id.clone(), matches!(task.phase, TaskPhase::Fenced { .. }));
            if task.runner().is_some() {
                state.quotas.hold(&task);
            }
            let key = state.tasks.insert(task);
            state.by_id.insert(id, key);
            if fenced {
                state.fenced.insert(key);
            }
        }
        Ok(state)
    }
}
