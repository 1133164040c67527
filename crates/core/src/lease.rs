/*!
The agent's side of leases: until when each attempt may run.

An attempt may run until the lease time `T` after the *start* of the last proof that no fence exists for it. The start
counts, not the end: a fence may be written while the proof is on its way back. There are two kinds of proof, see
[`LeaseBook::log_proof`] and [`LeaseBook::add_promise`]; the later deadline holds.

Promises are put together with care. The agent uses the newest version of the fencing set that any entry has told it, and
needs a promise from every entry of that set, each from a view at least as new as that version. A promise from an older
view may miss a fence by an entry that has been removed since; a set older than the newest known one may lack an entry
that has been admitted since.
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
struct HeldPromise {
    until: TimeMs,
    view: u64,
    covered: BTreeSet<AttemptRef>,
}

/// Proofs held by one run of an agent.
#[derive(Debug, Clone)]
pub struct LeaseBook {
    settings: LeaseSettings,
    set_version: u64,
    set: BTreeSet<EntryRef>,
    promises: HashMap<EntryRef, HeldPromise>,
    log_until: HashMap<AttemptRef, TimeMs>,
    mutation: Option<Mutation>,
}

impl LeaseBook {
    /// A book without any proof.
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

    /// Breaks one rule, for tests of the tests.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, ..self }
    }

    /// Takes new lease times for proofs to come.
    pub fn set_settings(&mut self, settings: LeaseSettings) {
        self.settings = settings;
    }

    /// Notes that a read of the cell's tail, begun after `asked_at`, showed no fence for `attempt`.
    pub fn log_proof(&mut self, attempt: &AttemptRef, asked_at: TimeMs) {
        let until = self.until(asked_at);
        let held = self.log_until.entry(attempt.clone()).or_default();
        *held = until.max(*held);
    }

    /// Notes the promise of one entry to a request that was sent at `asked_at` and named the attempts `asked`. It covers
    /// those of them that it does not except, and nothing that was not asked for.
    pub fn add_promise(&mut self, promise: Promise, asked: &[AttemptRef], asked_at: TimeMs) {
        let until = self.until(asked_at);
        if promise.set_version >= self.set_version || self.mutation == Some(Mutation::OlderSet) {
            self.set_version = promise.set_version;
            self.set = promise.set;
        }
        let covered = asked.iter().filter(|attempt| !promise.except.contains(attempt)).cloned().collect();
        let held = HeldPromise { until, view: promise.view, covered };
        match self.promises.get(&promise.by) {
            // Replies may overtake each other; the one that was asked for later stands.
            Some(known) if known.until > held.until => {}
            _ => {
                self.promises.insert(promise.by, held);
            }
        }
    }

    /// Until when the attempt may run. In the past if there is no proof. Linear in the number of fencing entries.
    pub fn run_until(&self, attempt: &AttemptRef) -> TimeMs {
        let by_log = self.log_until.get(attempt).copied().unwrap_or_default();
        by_log.max(self.promised_until(attempt))
    }

    /// Whether the attempt may have an effect at `now`.
    pub fn may_run(&self, attempt: &AttemptRef, now: TimeMs) -> bool {
        now < self.run_until(attempt)
    }

    /// Forgets an attempt that has ended.
    pub fn forget(&mut self, attempt: &AttemptRef) {
        self.log_until.remove(attempt);
    }

    /// Drops promises that have run out.
    pub fn expire(&mut self, now: TimeMs) {
        self.promises.retain(|_, promise| promise.until > now);
    }

    fn until(&self, asked_at: TimeMs) -> TimeMs {
        asked_at.plus_ms(self.settings.shortened_ms(self.settings.lease_ms))
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

    /// Guards against a lease that counts from the end of the read.
    #[test]
    fn a_log_proof_counts_from_the_start_of_the_read() {
        let settings = LeaseSettings::default();
        let mut book = LeaseBook::new(settings);
        book.log_proof(&attempt(), TimeMs(100));
        assert!(book.may_run(&attempt(), TimeMs(100)));
        assert!(!book.may_run(&attempt(), TimeMs(100 + settings.lease_ms)));
    }

    /// Guards against work that runs on the word of some of the fencing entries.
    #[test]
    fn every_fencing_entry_must_promise() {
        let mut book = LeaseBook::new(LeaseSettings::default());
        book.add_promise(promise("a", 5, 5, &["a", "b"]), &[attempt()], TimeMs(0));
        assert!(!book.may_run(&attempt(), TimeMs(1)));
        book.add_promise(promise("b", 6, 5, &["a", "b"]), &[attempt()], TimeMs(0));
        assert!(book.may_run(&attempt(), TimeMs(1)));
    }

    /// Guards against a promise whose giver has not read of a fence by an entry that was removed since.
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
