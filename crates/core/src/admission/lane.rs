//! Queue, running requests and latency bound of one service.

use std::collections::VecDeque;

use crate::{
    admission::{Completion, Presence, WaitKey, limit::Limit},
    balance::{TimeUs, permit::InFlight},
    profile::Kind,
};

/// The upper bound of the time of an answer is its mean plus this many mean deviations.
const LATENCY_BOUND_DEVIATIONS: f32 = 3.0;
/// Minimum time without an answer per halving of the estimate of an idle service, in microseconds; the estimate itself
/// if that is longer. One second is also the `Retry-After` of callers while no endpoint is known.
const MIN_HALVING_US: u64 = 1_000_000;
/// The largest valid shift of a `u64`. The estimate reaches zero long before.
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
    /// Sorted by key, so that the earliest deadline is first.
    pub(super) waiting: VecDeque<Waiting>,
    /// No waiting request is sent before this time, because no endpoint had room.
    pub(super) paused_until: TimeUs,
    /// When a request last ended or a probe last began.
    idle_since: TimeUs,
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
            idle_since: TimeUs(0),
        }
    }

    pub(super) fn set_profile(&mut self, kind: Kind, profile: InFlight, profile_limit: u32) {
        (self.kind, self.profile, self.profile_limit) = (kind, profile, profile_limit);
    }

    pub(super) fn into_waiting(self) -> Vec<WaitKey> {
        self.waiting.into_iter().map(|waiting| waiting.key).collect()
    }

    /// Whether the limit allows another running request.
    pub(super) fn has_room(&self) -> bool {
        self.running.get() < self.limit.get()
    }

    /// Whether a new request can be sent without waiting.
    pub(super) fn is_free(&self) -> bool {
        self.waiting.is_empty() && self.has_room()
    }

    /// The upper bound of the time from sending a request to its answer, in microseconds, which nearly all answers
    /// meet.
    pub(super) fn latency_bound_us(&self) -> u64 {
        (self.limit.mean_us() + LATENCY_BOUND_DEVIATIONS * self.limit.deviation_us()) as u64
    }

    /// Admits a request as a probe of an idle service although its deadline is below the latency bound. Returns how
    /// many times the estimate has to be halved for that, or `None` if the request is not admitted. Only one probe runs
    /// at a time.
    ///
    /// Only answers correct the estimate. A service that refused all requests because of it would never get another
    /// answer.
    pub(super) fn begin_probe(&mut self, deadline: TimeUs, now: TimeUs) -> Option<u32> {
        if self.running.get() > 0 || !self.is_free() {
            return None;
        }
        let latency_bound_us = self.latency_bound_us();
        let halvings = (now.since_us(self.idle_since) / latency_bound_us.max(MIN_HALVING_US)).min(MAX_HALVINGS) as u32;
        let expected_us = latency_bound_us >> halvings;
        if halvings == 0 || deadline.since_us(now) <= expected_us {
            return None;
        }
        self.idle_since = now;
        Some(halvings)
    }

    /// The expected waiting time of a new request with this deadline, in microseconds.
    pub(super) fn wait_us(&self, deadline: TimeUs) -> u64 {
        let ahead = self.waiting.partition_point(|waiting| waiting.key.deadline <= deadline);
        self.queue_time_us(ahead + 1)
    }

    /// The expected time until the queue is empty, in microseconds, and at least the mean time of one answer.
    pub(super) fn drain_time_us(&self) -> u64 {
        self.queue_time_us(self.waiting.len()).max(self.limit.mean_us() as u64)
    }

    fn queue_time_us(&self, requests: usize) -> u64 {
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

    pub(super) fn finish(&mut self, completion: Completion, probe_halvings: u32, now: TimeUs) {
        self.paused_until = TimeUs(0);
        self.idle_since = now;
        if let Completion::Answered { took_us } = completion {
            if probe_halvings > 0 {
                self.limit.discount(probe_halvings);
            }
            self.limit.record_answer(took_us, self.running.get(), now);
        }
    }
}
