//! The set of entries that may write fences.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{ids::EntryRef, record::Record};

/// Entries that are gone and whose runs are remembered. A forgotten run could register again, so this is far more than
/// entries that can be replaced while an append is on its way.
const MAX_RETIRED: usize = 4_096;

/// Members, candidates and their acknowledgements, as of the offset of the last change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingSet {
    version: u64,
    members: BTreeMap<EntryRef, Member>,
    candidates: BTreeMap<EntryRef, Candidate>,
    retired: VecDeque<EntryRef>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Member {
    peer_address: String,
    registered_offset: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Candidate {
    peer_address: String,
    registered_offset: u64,
    acked_by: BTreeSet<EntryRef>,
}

impl FencingSet {
    /// The offset after the last record that changed the set.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether fences by this entry count.
    pub fn may_fence(&self, entry: &EntryRef) -> bool {
        self.members.contains_key(entry)
    }

    /// Whether this entry has registered and waits to be admitted.
    pub fn is_candidate(&self, entry: &EntryRef) -> bool {
        self.candidates.contains_key(entry)
    }

    /// The entries that may fence.
    pub fn members(&self) -> impl Iterator<Item = &EntryRef> {
        self.members.keys()
    }

    /// The entries that wait to be admitted.
    pub fn candidates(&self) -> impl Iterator<Item = &EntryRef> {
        self.candidates.keys()
    }

    /// Members and candidates: all whose promise an agent needs.
    pub fn registered_set(&self) -> BTreeSet<EntryRef> {
        self.registered().cloned().collect()
    }

    /// Members, then candidates.
    pub fn registered(&self) -> impl Iterator<Item = &EntryRef> {
        self.members.keys().chain(self.candidates.keys())
    }

    /// Whether this entry is a member or a candidate.
    pub fn is_registered(&self, entry: &EntryRef) -> bool {
        self.may_fence(entry) || self.is_candidate(entry)
    }

    /// Where agents reach the registered entries.
    pub fn peer_addresses(&self) -> impl Iterator<Item = (&EntryRef, &str)> {
        let members = self.members.iter().map(|(entry, m)| (entry, m.peer_address.as_str()));
        members.chain(self.candidates.iter().map(|(entry, c)| (entry, c.peer_address.as_str())))
    }

    /// The entries registered before a candidate that have not acknowledged it. Candidates count as well as members: an
    /// agent that knows of no later registration accepts their promises, which do not name this candidate.
    pub fn missing_acks<'s>(&'s self, candidate: &EntryRef) -> impl Iterator<Item = &'s EntryRef> + use<'s> {
        let waiting = self.candidates.get(candidate);
        let registered = self
            .members
            .iter()
            .map(|(entry, m)| (entry, m.registered_offset))
            .chain(self.candidates.iter().map(|(entry, c)| (entry, c.registered_offset)));
        registered
            .filter(move |(entry, offset)| {
                waiting.is_some_and(|c| *offset < c.registered_offset && !c.acked_by.contains(*entry))
            })
            .map(|(entry, _)| entry)
    }

    /// The entries that have acknowledged a candidate.
    pub fn acks<'s>(&'s self, candidate: &EntryRef) -> impl Iterator<Item = &'s EntryRef> + use<'s> {
        self.candidates.get(candidate).into_iter().flat_map(|c| &c.acked_by)
    }

    /// Whether this run of an entry left or was removed. It can only come back under a new incarnation.
    pub fn is_retired(&self, entry: &EntryRef) -> bool {
        self.retired.contains(entry)
    }

    /// Applies a record about the set. Returns the entries whose run is forgotten by it, or nothing if it changed nothing.
    pub(super) fn apply(&mut self, offset: u64, writer: &EntryRef, record: &Record) -> Option<Vec<EntryRef>> {
        let changed = match record {
            Record::EntryRegistered { peer_address } => self.register(offset, writer, peer_address),
            Record::FencerAcked { candidate } => self.ack(writer, candidate),
            Record::FencerAdmitted => self.admit(writer),
            Record::EntryLeft => self.remove(writer),
            Record::EntryRemoved { entry } => self.may_fence(writer) && self.remove(entry),
            _ => false,
        };
        changed.then(|| {
            self.version = offset + 1;
            let forgotten = self.retired.len().saturating_sub(MAX_RETIRED);
            self.retired.drain(..forgotten).collect()
        })
    }

    fn register(&mut self, offset: u64, writer: &EntryRef, peer_address: &str) -> bool {
        // A late copy of an old append must not bring back an entry that was removed, nor admit it without a wait.
        if self.is_registered(writer) || self.is_retired(writer) {
            return false;
        }
        let peer_address = peer_address.to_owned();
        let candidate = Candidate { peer_address, registered_offset: offset, acked_by: BTreeSet::new() };
        self.candidates.insert(writer.clone(), candidate);
        true
    }

    fn ack(&mut self, writer: &EntryRef, candidate: &EntryRef) -> bool {
        let registered = self.is_registered(writer);
        let candidate = self.candidates.get_mut(candidate).filter(|_| registered);
        candidate.is_some_and(|c| c.acked_by.insert(writer.clone()))
    }

    fn admit(&mut self, writer: &EntryRef) -> bool {
        let Some(Candidate { peer_address, registered_offset, .. }) = self.candidates.remove(writer) else {
            return false;
        };
        self.members.insert(writer.clone(), Member { peer_address, registered_offset });
        true
    }

    fn remove(&mut self, entry: &EntryRef) -> bool {
        let known = self.members.remove(entry).is_some() | self.candidates.remove(entry).is_some();
        if known {
            self.retired.push_back(entry.clone());
        }
        known
    }
}
