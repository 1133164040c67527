//! Membership of the fencing set: the entries whose fences are valid.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{ids::EntryRef, record::Record};

/// The number of retired incarnations to remember. A late append could register a forgotten incarnation again, so the
/// bound is far above the number of entries that can be replaced while an append is in flight.
const MAX_RETIRED: usize = 4_096;

/// Members, candidates and acknowledgements of candidates.
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
    /// The offset after the last record that changed the set; 0 if none did.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether `entry` is a member, so that its fences are valid.
    pub fn may_fence(&self, entry: &EntryRef) -> bool {
        self.members.contains_key(entry)
    }

    /// Whether `entry` has registered but is not admitted yet.
    pub fn is_candidate(&self, entry: &EntryRef) -> bool {
        self.candidates.contains_key(entry)
    }

    /// The entries whose fences are valid.
    pub fn members(&self) -> impl Iterator<Item = &EntryRef> {
        self.members.keys()
    }

    /// The entries that have registered but are not admitted yet.
    pub fn candidates(&self) -> impl Iterator<Item = &EntryRef> {
        self.candidates.keys()
    }

    /// Members and candidates. An agent needs a promise from each of them to renew its lease.
    pub fn registered_set(&self) -> BTreeSet<EntryRef> {
        self.registered().cloned().collect()
    }

    /// Iterates over the members, then over the candidates.
    pub fn registered(&self) -> impl Iterator<Item = &EntryRef> {
        self.members.keys().chain(self.candidates.keys())
    }

    /// Whether `entry` is a member or a candidate.
    pub fn is_registered(&self, entry: &EntryRef) -> bool {
        self.may_fence(entry) || self.is_candidate(entry)
    }

    /// Members and candidates with the addresses that agents connect to.
    pub fn peer_addresses(&self) -> impl Iterator<Item = (&EntryRef, &str)> {
        let members = self.members.iter().map(|(entry, m)| (entry, m.peer_address.as_str()));
        members.chain(self.candidates.iter().map(|(entry, c)| (entry, c.peer_address.as_str())))
    }

    /// The entries that registered before `candidate` and have not acknowledged it. Earlier candidates are included: an
    /// agent that has not seen the later registration accepts their promises, which do not name `candidate`.
    pub fn missing_acks<'s>(&'s self, candidate: &EntryRef) -> impl Iterator<Item = &'s EntryRef> + use<'s> {
        let candidate = self.candidates.get(candidate);
        let registered = self
            .members
            .iter()
            .map(|(entry, m)| (entry, m.registered_offset))
            .chain(self.candidates.iter().map(|(entry, c)| (entry, c.registered_offset)));
        registered
            .filter(move |(entry, offset)| {
                candidate.is_some_and(|c| *offset < c.registered_offset && !c.acked_by.contains(*entry))
            })
            .map(|(entry, _)| entry)
    }

    /// The entries that have acknowledged `candidate`; empty if it is not a candidate.
    pub fn acks<'s>(&'s self, candidate: &EntryRef) -> impl Iterator<Item = &'s EntryRef> + use<'s> {
        self.candidates.get(candidate).into_iter().flat_map(|c| &c.acked_by)
    }

    /// Whether this incarnation of an entry left or was removed. The entry can register again only under a new
    /// incarnation.
    pub fn is_retired(&self, entry: &EntryRef) -> bool {
        self.retired.contains(entry)
    }

    /// Applies a membership record. Returns `None` if the set did not change, and otherwise the retired incarnations that
    /// were dropped to stay within [`MAX_RETIRED`].
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
            let excess = self.retired.len().saturating_sub(MAX_RETIRED);
            self.retired.drain(..excess).collect()
        })
    }

    fn register(&mut self, offset: u64, writer: &EntryRef, peer_address: &str) -> bool {
        // A delayed duplicate of an old append must neither restore a removed entry nor reset a registered one.
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
        let removed = self.members.remove(entry).is_some() | self.candidates.remove(entry).is_some();
        if removed {
            self.retired.push_back(entry.clone());
        }
        removed
    }
}
