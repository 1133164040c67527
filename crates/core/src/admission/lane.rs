//! The queue of one service.

use std::collections::VecDeque;

use crate::{
    admission::{Completion, Presence, WaitKey, limit::Limit},
    balance::{TimeUs, permit::InFlight},
    profile::Kind,
};

/// A deadline is called safe if it leaves the mean time of an answer and this many mean deviations.
const SAFE_DEVIATIONS: f32 = 3.0;
/// The estimate of an idle service is halved for each span of its own length without an answer, or of this length if that
/// is longer. One second is what callers are told to wait when no endpoint is known.
const MIN_HALVING_US: u64 = 1_000_000;
/// The most bits that a `u64` can be shifted by; the estimate is zero long before.
const MAX_HALVINGS: u64 = 63;

#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) key: WaitKey,
    pub(super) presence: Presence,
}

#[derive(Debug)]
pub(super) struct Lane {
    pub(super) kind: Kind,
    pub(super) profile: InFlight,
    pub(super) profile_limit: u32,
    pub(super) running: InFlight,
    pub(super) limit: Limit,
    /// Sorted by key, so the earliest deadline is first.
    pub(super) waiting: VecDeque<Waiting>,
    /// No request is sent before this, because no endpoint had room.
    pub(super) paused_until: TimeUs,
    /// The last time at which a request ended or a trial began.
    quiet_since: TimeUs,
}

impl Lane {
    pub(super) fn new(kind: Kind, profile: InFlight, profile_limit: u32) -> Self {
        Self {
            kind,
            profile,
            profile_limit,
            running: InFlight::default(),
            limit: Limit::new(),
            waiting: VecDeque::new(),
            paused_until: TimeUs(0),
            quiet_since: TimeUs(0),
        }
    }

    pub(super) fn set_profile(&mut self, kind: Kind, profile: InFlight, profile_limit: u32) {
        (self.kind, self.profile, self.profile_limit) = (kind, profile, profile_limit);
    }

    pub(super) fn into_waiting(self) -> Vec<WaitKey> {
        self.waiting.into_iter().map(|waiting| waiting.key).collect()
    }

    /// Whether one more request may be sent.
    pub(super) fn has_room(&self) -> bool {
        self.running.get() < self.limit.get()
    }

    /// Whether a new request may be sent at once.
    pub(super) fn is_free(&self) -> bool {
        self.waiting.is_empty() && self.has_room()
    }

    /// The time that nearly every answer takes once its request is sent.
    pub(super) fn safe_us(&self) -> u64 {
        (self.limit.mean_us() + SAFE_DEVIATIONS * self.limit.deviation_us()) as u64
    }

    /// Lets a request through as a trial although its deadline is not safe, and says how often the estimate is to be halved
    /// for that. Only one request at a time tries an idle service.
    ///
    /// Answers are the only thing that corrects the estimate. A service that refused all requests because of it would never
    /// see another answer.
    pub(super) fn begin_trial(&mut self, deadline: TimeUs, now: TimeUs) -> Option<u32> {
        if self.running.get() > 0 || !self.is_free() {
            return None;
        }
        let safe_us = self.safe_us();
        let halvings = (now.since_us(self.quiet_since) / safe_us.max(MIN_HALVING_US)).min(MAX_HALVINGS) as u32;
        let expected_us = safe_us >> halvings;
        if halvings == 0 || deadline.since_us(now) <= expected_us {
            return None;
        }
        self.quiet_since = now;
        Some(halvings)
    }

    /// How long a new request with this deadline would wait.
    pub(super) fn wait_us(&self, deadline: TimeUs) -> u64 {
        let ahead = self.waiting.partition_point(|waiting| waiting.key.deadline <= deadline);
        self.drain(ahead + 1)
    }

    /// How long the whole queue takes, at least the time of one answer.
    pub(super) fn drain_us(&self) -> u64 {
        self.drain(self.waiting.len()).max(self.limit.mean_us() as u64)
    }

    fn drain(&self, requests: usize) -> u64 {
        (requests as f32 * self.limit.mean_us() / self.limit.get().max(1) as f32) as u64
    }

    pub(super) fn enqueue(&mut self, waiting: Waiting) {
        let place = self.waiting.partition_point(|other| other.key < waiting.key);
        self.waiting.insert(place, waiting);
    }

    pub(super) fn withdraw(&mut self, key: WaitKey) -> bool {
        let found = self.waiting.binary_search_by(|waiting| waiting.key.cmp(&key));
        found.ok().and_then(|place| self.waiting.remove(place)).is_some()
    }

    pub(super) fn finish(&mut self, ended: Completion, trial_halvings: u32, now: TimeUs) {
        self.paused_until = TimeUs(0);
        self.quiet_since = now;
        if let Completion::Answered { took_us } = ended {
            if trial_halvings > 0 {
                self.limit.forget(trial_halvings);
            }
            self.limit.answered(took_us, self.running.get(), now);
        }
    }
}
