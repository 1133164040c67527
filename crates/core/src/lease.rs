/*!
Leases at the agent: the time until which each attempt may run.

An attempt may run until the lease time `T` has passed since the *start* of the last proof that no fence exists for it. The
start counts, not the end, because a fence may be written while the proof is in transit. There are two kinds of proof, see
[`LeaseBook::add_log_proof`] and [`LeaseBook::add_promise`]; the later deadline applies.

Promises of several entries combine into one proof. The agent uses the newest version of the fencing set that any entry has
reported, and needs a promise from every entry of that set, each from a view at least as new as that version. A promise
from an older view may miss a fence by an entry that was removed since; an older set may lack an entry that was admitted
since.
*/

use std::collections::{BTreeSet, HashMap};

use crate::{
    ids::{AttemptRef, EntryRef},
    mutation::Mutation,
    profile::LeaseSettings,
    promise::Promise,
    units::TimeMs,
};

#[derive(Debug, Clone)]
struct ReceivedPromise {
    until: TimeMs,
    view: u64,
    covered: BTreeSet<AttemptRef>,
}

/// The proofs that one run of an agent has received.
#[derive(Debug, Clone)]
pub struct LeaseBook {
    settings: LeaseSettings,
    set_version: u64,
    set: BTreeSet<EntryRef>,
    promises: HashMap<EntryRef, ReceivedPromise>,
    log_until: HashMap<AttemptRef, TimeMs>,
    mutation: Option<Mutation>,
}

impl LeaseBook {
    /// Creates a book without proofs: no attempt may run.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            set_version: 0,
            set: BTreeSet::new(),
            promises: HashMap::new(),
            log_until: HashMap::new(),
            mutation: None,
        }
    }

    /// Breaks one rule of the protocol, so that tests can prove that they detect it.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, ..self }
    }

    /// Sets the lease times for later proofs. Earlier proofs keep their deadlines.
    pub fn set_settings(&mut self, settings: LeaseSettings) {
        self.settings = settings;
    }

    /// Records that a read of the cell's tail that began after `requested_at` found no fence of `attempt`.
    pub fn add_log_proof(&mut self, attempt: &AttemptRef, requested_at: TimeMs) {
        let until = self.until(requested_at);
        let held = self.log_until.entry(attempt.clone()).or_default();
        *held = until.max(*held);
    }

    /// Records the promise of one entry in reply to a request that was sent at `requested_at` for the attempts `requested`.
    /// It covers only requested attempts, less those that it excepts.
    pub fn add_promise(&mut self, promise: Promise, requested: &[AttemptRef], requested_at: TimeMs) {
        let until = self.until(requested_at);
        if promise.set_version >= self.set_version || self.mutation == Some(Mutation::StaleFencingSet) {
            self.set_version = promise.set_version;
            self.set = promise.set;
        }
        let covered = requested.iter().filter(|attempt| !promise.except.contains(attempt)).cloned().collect();
        let received = ReceivedPromise { until, view: promise.view, covered };
        match self.promises.get(&promise.by) {
            // Replies may arrive out of order; the one to the later request is kept.
            Some(known) if known.until > received.until => {}
            _ => {
                self.promises.insert(promise.by, received);
            }
        }
    }

    /// The time until which the attempt may run; zero without a proof. Linear in the number of fencing entries.
    pub fn run_until(&self, attempt: &AttemptRef) -> TimeMs {
        let by_log = self.log_until.get(attempt).copied().unwrap_or_default();
        by_log.max(self.promised_until(attempt))
    }

    /// Whether the attempt has a valid lease at `now`.
    pub fn may_run(&self, attempt: &AttemptRef, now: TimeMs) -> bool {
        now < self.run_until(attempt)
    }

    /// Drops the log proof of an attempt that has ended.
    pub fn forget(&mut self, attempt: &AttemptRef) {
        self.log_until.remove(attempt);
    }

    /// Drops expired promises.
    pub fn expire(&mut self, now: TimeMs) {
        self.promises.retain(|_, promise| promise.until > now);
    }

    fn until(&self, requested_at: TimeMs) -> TimeMs {
        requested_at.plus_ms(self.settings.shortened_ms(self.settings.lease_ms))
    }

    fn promised_until(&self, attempt: &AttemptRef) -> TimeMs {
        let covering = |entry: &EntryRef| {
            self.promises
                .get(entry)
                .filter(|held| held.view >= self.set_version && held.covered.contains(attempt))
                .map_or(TimeMs(0), |held| held.until)
        };
        self.set.iter().map(covering).min().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::{EntryId, TaskId};

    fn entry(name: &str) -> EntryRef {
        EntryRef::new(EntryId::new(name).expect("valid id"), 1)
    }

    fn attempt() -> AttemptRef {
        AttemptRef::new(TaskId::new("c0-t").expect("valid id"), 1)
    }

    fn promise(by: &str, view: u64, set_version: u64, set: &[&str]) -> Promise {
        let set = set.iter().map(|name| entry(name)).collect();
        Promise { by: entry(by), view, set_version, set, except: Vec::new() }
    }

    /// Guards against a lease that begins at the end of the read: a fence written during the read would be missed.
    #[test]
    fn a_log_proof_counts_from_the_start_of_the_read() {
        let settings = LeaseSettings::default();
        let mut book = LeaseBook::new(settings);
        book.add_log_proof(&attempt(), TimeMs(100));
        assert!(book.may_run(&attempt(), TimeMs(100)));
        assert!(!book.may_run(&attempt(), TimeMs(100 + settings.lease_ms)));
    }

    /// Guards against an attempt that runs on promises of only some of the fencing entries.
    #[test]
    fn every_fencing_entry_must_promise() {
        let mut book = LeaseBook::new(LeaseSettings::default());
        book.add_promise(promise("a", 5, 5, &["a", "b"]), &[attempt()], TimeMs(0));
        assert!(!book.may_run(&attempt(), TimeMs(1)));
        book.add_promise(promise("b", 6, 5, &["a", "b"]), &[attempt()], TimeMs(0));
        assert!(book.may_run(&attempt(), TimeMs(1)));
    }

    /// Guards against a promise from a view that misses a fence by an entry removed since.
    #[test]
    fn a_promise_from_an_older_view_than_the_set_does_not_count() {
        let mut book = LeaseBook::new(LeaseSettings::default());
        book.add_promise(promise("a", 5, 5, &["a", "b"]), &[attempt()], TimeMs(0));
        book.add_promise(promise("b", 8, 8, &["a"]), &[attempt()], TimeMs(0));
        assert!(!book.may_run(&attempt(), TimeMs(1)));
        book.add_promise(promise("a", 8, 8, &["a"]), &[attempt()], TimeMs(1));
        assert!(book.may_run(&attempt(), TimeMs(2)));
    }
}
