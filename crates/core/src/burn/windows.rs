//! Windowed counts of one key.

use serde::{Deserialize, Serialize};

use crate::{
    burn::{
        Action, BUDGET_WINDOW_MS, Cause, Observation, RequestResult, Slo,
        cause::CauseTable,
        latency::Latency,
        ring::{Merge, Ring},
    },
    units::TimeMs,
};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// The windows over which burn rates are measured, in milliseconds: 5 min, 1 h, 6 h and 3 d.
pub const BURN_WINDOWS_MS: [u64; 4] = [5 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS, BUDGET_WINDOW_MS];
/// The number of ring slots per window. The current slot is only partly filled, so the covered time is up to one slot
/// shorter than the window.
const WINDOW_SLOTS: [usize; 4] = [30, 60, 72, 72];
/// Three slots of 20 minutes, so that latencies cover the last 40 to 60 minutes.
const LATENCY_SLOT_MS: u64 = 20 * MINUTE_MS;
const LATENCY_SLOTS: usize = 3;
/// Lower bound of the observed time, because a projection from less is not reliable.
const MIN_OBSERVED_MS: u64 = 5 * MINUTE_MS;

plain! {
    /// Numbers of requests by their result with respect to the SLO.
    #[derive(Copy, Default)]
    pub struct Counts {
        /// Requests that met the SLO.
        pub good: u64,
        /// Requests that failed or have an unknown outcome.
        pub bad: u64,
        /// Requests that were answered, but not within the latency of the SLO.
        pub late: u64,
        /// Requests that were refused as *not run*.
        pub refused: u64,
    }
}

impl Counts {
    /// The number of all requests.
    pub fn total(&self) -> u64 {
        self.good + self.missed()
    }

    /// The number of requests that did not meet the SLO.
    pub fn missed(&self) -> u64 {
        self.bad + self.late + self.refused
    }

    /// Counts a request and returns whether it met the SLO.
    fn observe(&mut self, slo: Slo, observation: &Observation) -> bool {
        let in_time = observation.latency_us <= slo.latency_ms.saturating_mul(1_000);
        let counter = match observation.result {
            RequestResult::Answered if in_time => &mut self.good,
            RequestResult::Answered => &mut self.late,
            RequestResult::Refused => &mut self.refused,
            RequestResult::Failed | RequestResult::Unknown => &mut self.bad,
        };
        *counter += 1;
        observation.result == RequestResult::Answered && in_time
    }
}

impl Merge for Counts {
    fn merge(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.late += other.late;
        self.refused += other.refused;
    }
}

/// Counts, latencies and causes of one key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct KeyWindows {
    slo: Slo,
    first: TimeMs,
    /// The time before `first` during which other entries observed the key.
    observed_before_ms: u64,
    windows: [Ring<Counts>; 4],
    latencies: Ring<Latency>,
    causes: Ring<CauseTable>,
}

impl KeyWindows {
    pub(super) fn new(now: TimeMs, slo: Slo) -> Self {
        let window = |i: usize| Ring::new(BURN_WINDOWS_MS[i] / WINDOW_SLOTS[i] as u64, WINDOW_SLOTS[i]);
        Self {
            slo,
            first: now,
            observed_before_ms: 0,
            windows: std::array::from_fn(window),
            latencies: Ring::new(LATENCY_SLOT_MS, LATENCY_SLOTS),
            causes: Ring::new(HOUR_MS, WINDOW_SLOTS[3]),
        }
    }

    pub(super) fn slo(&self) -> Slo {
        self.slo
    }

    pub(super) fn observe(&mut self, now: TimeMs, slo: Slo, observation: &Observation) {
        self.slo = slo;
        let mut met = true;
        for window in &mut self.windows {
            met = window.current(now).observe(slo, observation);
        }
        if !met {
            self.causes.current(now).count_request(observation.cause.as_ref().unwrap_or(&Cause::Other));
        }
        // Refusals and failures are fast and would lower the quantiles.
        if observation.result == RequestResult::Answered {
            self.latencies.current(now).record(observation.latency_us);
        }
    }

    pub(super) fn record_action(&mut self, now: TimeMs, cause: &Cause, action: Action) {
        self.causes.current(now).count_action(cause, action);
    }

    pub(super) fn merge(&mut self, now: TimeMs, other: &Self, taken: TimeMs, age_ms: u64) {
        let theirs_ms = other.age_ms(taken).saturating_add(age_ms);
        self.observed_before_ms += theirs_ms.saturating_sub(self.age_ms(now));
        for (ours, theirs) in self.windows.iter_mut().zip(&other.windows) {
            ours.merge(now, theirs, taken, age_ms);
        }
        self.latencies.merge(now, &other.latencies, taken, age_ms);
        self.causes.merge(now, &other.causes, taken, age_ms);
    }

    /// The counts over `window_ms`, which must be one of [`BURN_WINDOWS_MS`].
    pub(super) fn counts(&self, now: TimeMs, window_ms: u64) -> Counts {
        let index = BURN_WINDOWS_MS.iter().position(|known| *known == window_ms).unwrap_or(BURN_WINDOWS_MS.len() - 1);
        merged(&self.windows[index], now)
    }

    pub(super) fn latencies(&self, now: TimeMs) -> Latency {
        merged(&self.latencies, now)
    }

    pub(super) fn causes(&self, now: TimeMs) -> CauseTable {
        merged(&self.causes, now)
    }

    /// The slots of the last 6 hours, each with the time since its start and its length.
    pub(super) fn time_series(&self, now: TimeMs) -> impl Iterator<Item = (u64, u64, &Counts)> {
        let ring = &self.windows[2];
        ring.iter(now).map(|(age_ms, counts)| (age_ms, ring.width_ms(), counts))
    }

    /// The observed part of the budget window, at least [`MIN_OBSERVED_MS`].
    pub(super) fn observed_ms(&self, now: TimeMs) -> u64 {
        self.age_ms(now).clamp(MIN_OBSERVED_MS, BUDGET_WINDOW_MS)
    }

    pub(super) fn is_idle(&self, now: TimeMs) -> bool {
        self.counts(now, BUDGET_WINDOW_MS).total() == 0
    }

    fn age_ms(&self, now: TimeMs) -> u64 {
        now.since_ms(self.first).saturating_add(self.observed_before_ms)
    }
}

fn merged<T: Default + Merge>(ring: &Ring<T>, now: TimeMs) -> T {
    ring.iter(now).fold(T::default(), |mut sum, (_, slot)| {
        sum.merge(slot);
        sum
    })
}
