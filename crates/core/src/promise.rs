/*!
The entry's side of leases: what it may promise to agents, and when it may fence.

An entry promises an agent "no fence from me before X". The promise names the entry's view of the log, so that the agent
can tell whether the entry could have missed a fence, and the attempts that it does not cover. Three rules keep promises
and fences apart:

1. An entry promises only if it has read the log within `L` (`silence_ms`). One that has been cut off for longer may have
   missed the admission of another fencing entry.
2. A promise covers only attempts that the agent asked for, that the view shows assigned to it and not fenced, and that
   this entry does not want to fence. An attempt that was fenced and followed by a newer one is not covered either.
3. A fence is written only when the promises given before the intent have run out.

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
book.log_read(TimeMs(0));
let asked = [attempt.clone()];
assert!(book.promise(&agent, &asked, &cell, TimeMs(10)).is_some());

// The promise given at 10 ms must run out before the fence may be written.
let fence_at = book.want_fence(&agent, attempt.clone(), TimeMs(20));
assert!(fence_at > TimeMs(6_010));
let next = book.promise(&agent, &asked, &cell, TimeMs(30)).expect("other attempts are still covered");
assert_eq!(next.except, asked);
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

data_types! {
    /// "No fence from me for your attempts before the lease time has passed since you asked."
    pub struct Promise {
        /// Who promises.
        pub by: EntryRef,
        /// The offset up to which the promiser has folded the cell.
        pub view: u64,
        /// The version of the fencing set in that view.
        pub set_version: u64,
        /// Members and candidates of the fencing set in that view.
        pub set: BTreeSet<EntryRef>,
        /// Attempts of the request that the promise does not cover.
        pub except: Vec<AttemptRef>,
    }
}

/// What one entry has promised, and what it wants to fence.
#[derive(Debug, Clone)]
pub struct PromiseBook {
    me: EntryRef,
    settings: LeaseSettings,
    last_read_start: Option<TimeMs>,
    given_until: HashMap<AgentId, TimeMs>,
    wanted: BTreeMap<AttemptRef, FenceIntent>,
    left: bool,
    mutation: Option<Mutation>,
}

#[derive(Debug, Clone)]
struct FenceIntent {
    fence_at: TimeMs,
}

impl PromiseBook {
    /// The book of one run of an entry.
    pub fn new(me: EntryRef, settings: LeaseSettings) -> Self {
        Self {
            me,
            settings,
            last_read_start: None,
            given_until: HashMap::new(),
            wanted: BTreeMap::new(),
            left: false,
            mutation: None,
        }
    }

    /// Breaks one rule, for tests of the tests.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, ..self }
    }

    /// Takes new lease times. Promises that were given keep the times they were given with.
    pub fn set_settings(&mut self, settings: LeaseSettings) {
        self.settings = settings;
    }

    /// Notes that a read of the cell's tail, begun at `start`, has been folded.
    pub fn log_read(&mut self, start: TimeMs) {
        self.last_read_start = self.last_read_start.max(Some(start));
    }

    /// Gives no promise from now on, because this entry gives up its right to fence.
    pub fn leave(&mut self) {
        self.left = true;
    }

    /// When all promises given so far have run out.
    pub fn all_run_out_at(&self) -> TimeMs {
        self.given_until.values().copied().max().unwrap_or_default()
    }

    /// Promises what it can to an agent that asks for some attempts. Nothing, if the log was not read for too long or the
    /// entry leaves. Linear in the number of attempts asked for.
    pub fn promise(&mut self, agent: &AgentId, asked: &[AttemptRef], cell: &CellState, now: TimeMs) -> Option<Promise> {
        let read_start = self.last_read_start?;
        if self.left || now.since_ms(read_start) >= self.settings.silence_ms {
            return None;
        }
        let until = now.plus_ms(self.settings.lengthened_ms(self.settings.lease_ms));
        let given = self.given_until.entry(agent.clone()).or_default();
        *given = until.max(*given);
        Some(Promise {
            by: self.me.clone(),
            view: cell.next_offset(),
            set_version: cell.fencers().version(),
            set: cell.fencers().registered_set(),
            except: asked.iter().filter(|attempt| !self.covers(agent, attempt, cell)).cloned().collect(),
        })
    }

    /// Wants an attempt fenced, and says from when on the fence may be written. Promises given later leave it out.
    pub fn want_fence(&mut self, agent: &AgentId, attempt: AttemptRef, now: TimeMs) -> TimeMs {
        let given = self.given_until.get(agent).copied().unwrap_or_default();
        let intent = FenceIntent { fence_at: given.max(now) };
        self.wanted.entry(attempt).or_insert(intent).fence_at
    }

    /// Whether the fence of a wanted attempt may be written now.
    pub fn may_fence(&self, attempt: &AttemptRef, now: TimeMs) -> bool {
        self.wanted.get(attempt).is_some_and(|intent| intent.fence_at <= now)
    }

    /// The wanted attempts whose fence may be written now.
    pub fn due(&self, now: TimeMs) -> impl Iterator<Item = &AttemptRef> {
        self.wanted.iter().filter(move |(_, intent)| intent.fence_at <= now).map(|(attempt, _)| attempt)
    }

    /// Whether this entry wants an attempt fenced.
    pub fn wants(&self, attempt: &AttemptRef) -> bool {
        self.wanted.contains_key(attempt)
    }

    /// Gives a intent up. Only right if no fence was sent, or once the log shows what became of the attempt.
    pub fn settle(&mut self, attempt: &AttemptRef) {
        self.wanted.remove(attempt);
    }

    /// Drops what has run out, so that the book stays as small as the number of live agents.
    pub fn expire(&mut self, now: TimeMs) {
        self.given_until.retain(|_, until| *until > now);
    }

    fn covers(&self, agent: &AgentId, attempt: &AttemptRef, cell: &CellState) -> bool {
        let wanted = self.wants(attempt) && self.mutation != Some(Mutation::PromiseWhileFencing);
        !wanted && cell.is_assigned(attempt, agent)
    }
}

/// When a candidate may be admitted to the fencing set.
#[derive(Debug, Clone)]
pub struct Admission {
    settings: LeaseSettings,
    registered_at: TimeMs,
    last_change_at: TimeMs,
    acked: BTreeSet<EntryRef>,
    missing: BTreeSet<EntryRef>,
}

impl Admission {
    /// Starts the wait of a candidate that learned at `now` that its registration is in the log.
    pub fn new(settings: LeaseSettings, now: TimeMs) -> Self {
        Self { settings, registered_at: now, last_change_at: now, acked: BTreeSet::new(), missing: BTreeSet::new() }
    }

    /// Takes new lease times. The wait never becomes shorter by it: promises may have been given under the old ones.
    pub fn set_settings(&mut self, settings: &LeaseSettings) {
        self.settings = self.settings.longest(settings);
    }

    /// Notes who has and who has not acknowledged the candidate `me` in the view folded at `now`.
    pub fn observe(&mut self, me: &EntryRef, set: &FencingSet, now: TimeMs) {
        let acked: BTreeSet<_> = set.acks(me).cloned().collect();
        let missing: BTreeSet<_> = set.missing_acks(me).cloned().collect();
        if (&acked, &missing) != (&self.acked, &self.missing) {
            self.last_change_at = now;
            self.acked = acked;
            self.missing = missing;
        }
    }

    /// From when on the candidate may be admitted, if nothing else is learned.
    ///
    /// The longest promise that does not name the candidate must have run out. An entry that acknowledged names it from
    /// then on. One that did not may go on without reading the log for `L`, and promise at the end of that time. The
    /// wait holds even if there is no other entry: one that left a moment ago may have given a promise just before.
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
    fn an_entry_cut_off_from_the_log_stops_promising() {
        let settings = LeaseSettings::default();
        let mut book = PromiseBook::new(entry("a"), settings);
        let (cell, agent) = (CellState::new(0), AgentId::new("agent-1").expect("valid id"));
        assert!(book.promise(&agent, &[], &cell, TimeMs(0)).is_none());
        book.log_read(TimeMs(0));
        assert!(book.promise(&agent, &[], &cell, TimeMs(settings.silence_ms - 1)).is_some());
        assert!(book.promise(&agent, &[], &cell, TimeMs(settings.silence_ms)).is_none());
    }

    /// Guards against a new entry that fences while an older promise still holds, also one by a candidate: an agent that
    /// knows only of the earlier candidate accepts its promises. Exploration found two runners (seed 51,962) when all
    /// members had left and the earlier candidate was cut off from the log.
    #[test]
    fn a_candidate_waits_for_acks_or_for_the_silent() {
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

    /// Guards against a late copy of `FencerAdmitted` that admits an entry which was removed meanwhile.
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
