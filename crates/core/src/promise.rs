/*!
Leases at the entry: what it may promise to agents, and when it may fence.

An entry promises an agent not to fence its attempts before a given time. The promise names the entry's view of the log, so
that the agent can determine whether the entry could have missed a fence, and the attempts that it does not cover. Three
rules keep a promise and a fence of the same attempt from overlapping:

1. An entry promises only if it has read the log within `L` (`silence_ms`). One that was disconnected for longer may have
   missed the admission of another fencing entry.
2. A promise covers only attempts that the agent requested, that are assigned to it and not fenced in the view, and for
   which this entry has no fence intent. An attempt that was fenced and superseded by a newer one is not covered either.
3. A fence is written only after the promises given before the intent have expired.

```
use fescuelead_core::{
    cell::CellState,
    ids::{AgentId, AttemptRef, EntryId, EntryRef, TaskId},
    profile::LeaseSettings,
    promise::PromiseBook,
    units::TimeMs,
};

let mut book = PromiseBook::new(EntryRef::new(EntryId::new("entry-a")?, 1), LeaseSettings::default());
let (cell, agent) = (CellState::new(0), AgentId::new("agent-1")?);
let attempt = AttemptRef::new(TaskId::new("c0-t")?, 1);
book.record_log_read(TimeMs(0));
let requested = [attempt.clone()];
assert!(book.promise(&agent, &requested, &cell, TimeMs(10)).is_some());

// The promise given at 10 ms has to expire before the fence may be written.
let fence_at = book.request_fence(&agent, attempt.clone(), TimeMs(20));
assert!(fence_at > TimeMs(6_010));
let next = book.promise(&agent, &requested, &cell, TimeMs(30)).expect("promises for other attempts continue");
assert_eq!(next.except, requested);
# Ok::<(), fescuelead_core::ids::IdError>(())
```
*/

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{
    cell::{CellState, FencingSet},
    ids::{AgentId, AttemptRef, EntryRef},
    mutation::Mutation,
    profile::LeaseSettings,
    units::TimeMs,
};

plain! {
    /// Guarantees that its entry fences none of the agent's covered attempts within the lease time after the request.
    pub struct Promise {
        /// The entry that gives the promise.
        pub by: EntryRef,
        /// The offset up to which that entry has folded the cell.
        pub view: u64,
        /// The version of the fencing set in that view.
        pub set_version: u64,
        /// Members and candidates of the fencing set in that view.
        pub set: BTreeSet<EntryRef>,
        /// Attempts of the request that the promise does not cover.
        pub except: Vec<AttemptRef>,
    }
}

/// The promises that one entry has given, and its fence intents.
#[derive(Debug, Clone)]
pub struct PromiseBook {
    me: EntryRef,
    settings: LeaseSettings,
    last_read_start: Option<TimeMs>,
    promised_until: HashMap<AgentId, TimeMs>,
    intents: BTreeMap<AttemptRef, FenceIntent>,
    left: bool,
    mutation: Option<Mutation>,
}

#[derive(Debug, Clone)]
struct FenceIntent {
    fence_at: TimeMs,
}

impl PromiseBook {
    /// Creates the book of one run of an entry, without promises or intents.
    pub fn new(me: EntryRef, settings: LeaseSettings) -> Self {
        Self {
            me,
            settings,
            last_read_start: None,
            promised_until: HashMap::new(),
            intents: BTreeMap::new(),
            left: false,
            mutation: None,
        }
    }

    /// Breaks one rule of the protocol, so that tests can prove that they detect it.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, ..self }
    }

    /// Sets the lease times of later promises. Earlier promises keep their deadlines.
    pub fn set_settings(&mut self, settings: LeaseSettings) {
        self.settings = settings;
    }

    /// Records that the result of a read of the cell's tail that began at `start` has been folded.
    pub fn record_log_read(&mut self, start: TimeMs) {
        self.last_read_start = self.last_read_start.max(Some(start));
    }

    /// Stops giving promises, because this entry leaves the fencing set.
    pub fn leave(&mut self) {
        self.left = true;
    }

    /// The time at which the last promise given so far expires; zero if none is outstanding.
    pub fn all_expire_at(&self) -> TimeMs {
        self.promised_until.values().copied().max().unwrap_or_default()
    }

    /// Gives a promise to an agent that requests it for some attempts. `None` if the last read of the log is too old or the
    /// entry has left the fencing set. Linear in the number of requested attempts.
    pub fn promise(
        &mut self,
        agent: &AgentId,
        requested: &[AttemptRef],
        cell: &CellState,
        now: TimeMs,
    ) -> Option<Promise> {
        let read_start = self.last_read_start?;
        if self.left || now.since_ms(read_start) >= self.settings.silence_ms {
            return None;
        }
        let until = now.plus_ms(self.settings.lengthened_ms(self.settings.lease_ms));
        let promised = self.promised_until.entry(agent.clone()).or_default();
        *promised = until.max(*promised);
        Some(Promise {
            by: self.me.clone(),
            view: cell.next_offset(),
            set_version: cell.fencers().version(),
            set: cell.fencers().registered_set(),
            except: requested.iter().filter(|attempt| !self.covers(agent, attempt, cell)).cloned().collect(),
        })
    }

    /// Adds a fence intent, and returns the earliest time at which the fence may be written. Later promises do not cover the
    /// attempt.
    pub fn request_fence(&mut self, agent: &AgentId, attempt: AttemptRef, now: TimeMs) -> TimeMs {
        let promised = self.promised_until.get(agent).copied().unwrap_or_default();
        let intent = FenceIntent { fence_at: promised.max(now) };
        self.intents.entry(attempt).or_insert(intent).fence_at
    }

    /// Whether the attempt has a fence intent whose record may be written at `now`.
    pub fn may_fence(&self, attempt: &AttemptRef, now: TimeMs) -> bool {
        self.intents.get(attempt).is_some_and(|intent| intent.fence_at <= now)
    }

    /// The attempts with a fence intent whose record may be written at `now`.
    pub fn due_fences(&self, now: TimeMs) -> impl Iterator<Item = &AttemptRef> {
        self.intents.iter().filter(move |(_, intent)| intent.fence_at <= now).map(|(attempt, _)| attempt)
    }

    /// Whether this entry has a fence intent for the attempt.
    pub fn is_fence_requested(&self, attempt: &AttemptRef) -> bool {
        self.intents.contains_key(attempt)
    }

    /// Removes a fence intent. Allowed only if no fence was sent, or once the log shows the outcome of the attempt.
    pub fn cancel_fence(&mut self, attempt: &AttemptRef) {
        self.intents.remove(attempt);
    }

    /// Drops expired promises, which bounds the book by the number of live agents.
    pub fn expire(&mut self, now: TimeMs) {
        self.promised_until.retain(|_, until| *until > now);
    }

    fn covers(&self, agent: &AgentId, attempt: &AttemptRef, cell: &CellState) -> bool {
        let fencing = self.is_fence_requested(attempt) && self.mutation != Some(Mutation::PromiseWhileFencing);
        !fencing && cell.is_assigned(attempt, agent)
    }
}

/// Computes when a candidate may be admitted to the fencing set.
#[derive(Debug, Clone)]
pub struct Admission {
    settings: LeaseSettings,
    registered_at: TimeMs,
    last_change_at: TimeMs,
    acked: BTreeSet<EntryRef>,
    missing: BTreeSet<EntryRef>,
}

impl Admission {
    /// Starts the wait of a candidate that folded its own registration at `now`.
    pub fn new(settings: LeaseSettings, now: TimeMs) -> Self {
        Self { settings, registered_at: now, last_change_at: now, acked: BTreeSet::new(), missing: BTreeSet::new() }
    }

    /// Applies new lease times. They never shorten the wait, because promises may have been given under the old ones.
    pub fn set_settings(&mut self, settings: &LeaseSettings) {
        self.settings = self.settings.longest(settings);
    }

    /// Records which entries have and have not acknowledged the candidate `me` in the view folded at `now`.
    pub fn observe(&mut self, me: &EntryRef, set: &FencingSet, now: TimeMs) {
        let acked: BTreeSet<_> = set.acks(me).cloned().collect();
        let missing: BTreeSet<_> = set.missing_acks(me).cloned().collect();
        if (&acked, &missing) != (&self.acked, &self.missing) {
            self.last_change_at = now;
            self.acked = acked;
            self.missing = missing;
        }
    }

    /// The earliest time at which the candidate may be admitted, unless a later observation changes it.
    ///
    /// The last promise that does not name the candidate must have expired. An entry that has acknowledged names it in all
    /// later promises. One that has not may continue for `L` without reading the log, and give a promise at the end of that
    /// time. The wait applies even if there is no other entry: one that has just left may have given a promise before.
    pub fn admit_at(&self) -> TimeMs {
        let promise_ms = self.settings.lengthened_ms(self.settings.lease_ms);
        let acked = self.last_change_at.plus_ms(promise_ms);
        if self.missing.is_empty() {
            return acked;
        }
        let silence_ms = self.settings.lengthened_ms(self.settings.silence_ms);
        acked.max(self.registered_at.plus_ms(silence_ms).plus_ms(promise_ms))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{
        ids::EntryId,
        record::{Batch, Record},
    };

    fn entry(name: &str) -> EntryRef {
        EntryRef::new(EntryId::new(name).expect("valid id"), 1)
    }

    fn write(cell: &mut CellState, by: &str, sequence: u64, record: Record) {
        let batch = Batch::new(EntryId::new(by).expect("valid id"), 1, sequence).with_record(record);
        cell.apply(cell.next_offset(), &batch);
    }

    fn register() -> Record {
        Record::EntryRegistered { peer_address: "127.0.0.1:1".to_owned() }
    }

    /// Guards against a promise by an entry that may have missed the admission of another one.
    #[test]
    fn an_entry_disconnected_from_the_log_stops_promising() {
        let settings = LeaseSettings::default();
        let mut book = PromiseBook::new(entry("a"), settings);
        let (cell, agent) = (CellState::new(0), AgentId::new("agent-1").expect("valid id"));
        assert!(book.promise(&agent, &[], &cell, TimeMs(0)).is_none());
        book.record_log_read(TimeMs(0));
        assert!(book.promise(&agent, &[], &cell, TimeMs(settings.silence_ms - 1)).is_some());
        assert!(book.promise(&agent, &[], &cell, TimeMs(settings.silence_ms)).is_none());
    }

    /// Guards against a new entry that fences while an older promise is still valid. That includes promises of another
    /// candidate, which an agent accepts if it knows no other entry. Exploration found an attempt running on two hosts (seed
    /// 51,962) after all members had left and the earlier candidate was disconnected from the log.
    #[test]
    fn a_candidate_waits_for_acks_or_for_the_silence_time() {
        let settings = LeaseSettings::default();
        let mut cell = CellState::new(0);
        write(&mut cell, "a", 1, register());
        write(&mut cell, "b", 1, register());
        let me = entry("b");
        let mut wait = Admission::new(settings, TimeMs(0));
        assert!(wait.admit_at() > TimeMs(settings.lease_ms));
        wait.observe(&me, cell.fencers(), TimeMs(10));
        assert!(wait.admit_at() > TimeMs(settings.silence_ms + settings.lease_ms));
        write(&mut cell, "a", 2, Record::FencerAcked { candidate: me.clone() });
        wait.observe(&me, cell.fencers(), TimeMs(500));
        assert!(wait.admit_at() > TimeMs(500 + settings.lease_ms));
        assert!(wait.admit_at() < TimeMs(1_000 + settings.lease_ms));
    }

    /// Guards against a delayed duplicate of `FencerAdmitted` that admits an entry after its removal.
    #[test]
    fn a_run_that_was_removed_cannot_register_again() {
        let mut cell = CellState::new(0);
        write(&mut cell, "a", 1, register());
        write(&mut cell, "a", 2, Record::FencerAdmitted);
        write(&mut cell, "a", 3, Record::EntryLeft);
        write(&mut cell, "a", 4, register());
        write(&mut cell, "a", 2, Record::FencerAdmitted);
        assert!(cell.fencers().registered_set().is_empty());
        assert_eq!(cell.last_sequence(&entry("a")), 4);
    }
}
