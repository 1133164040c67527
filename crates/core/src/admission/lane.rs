//! The queue of one service.

use std::collections::VecDeque;

use crate::{
    admission::{Ended, Presence, WaitKey, limit::Limit},
    balance::{TimeUs, permit::InFlight},
    profile::Kind,
};

/// A deadline is called safe if it leaves the mean time of an answer and this many mean deviations.
const SAFE_DEVIATIONS: f32 = 3.0;

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

    pub(super) fn finish(&mut self, ended: Ended, now: TimeUs) {
        self.paused_until = TimeUs(0);
        if let Ended::Answered { took_us } = ended {
            self.limit.answered(took_us, self.running.get(), now);
        }
    }
}
