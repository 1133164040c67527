//! Adaptive limit of the requests in flight to the endpoints of one service.

use crate::balance::TimeUs;

/// The limit in requests before the slots of the endpoints are known.
const INITIAL_LIMIT: f32 = 64.0;
/// The minimum limit in requests.
const MIN_LIMIT: f32 = 4.0;
/// The decrease per refusal for lack of a slot. A number of answers equal to the limit raises it by one.
const SLOT_REFUSAL_STEP: f32 = 0.5;
/// The minimum increase per answer. Without it, the share of refusals at which the limit settles falls as the limit
/// grows, and 100 endpoints were used to only 85%.
const MIN_RISE: f32 = 0.03;
/// The increase is multiplied by this once no request was refused for twice the mean time of an answer.
const FAST_RISE_FACTOR: f32 = 4.0;
/// The number of answers after which the mean counts as known.
const MIN_ANSWERS: u32 = 64;
/// The limit is lowered if the mean latency exceeds its lowest recent value by this factor.
const TOLERATED_LATENCY_FACTOR: f32 = 2.0;
/// An increase of the latency up to this does not lower the limit, in microseconds. Scheduler time slices and timer
/// resolution of the hosts have this size, so that answers that take a fraction of a millisecond are often twice as
/// late although the endpoints have room.
const LATENCY_NOISE_US: f32 = 4_000.0;
/// The share of the limit that has to be in use for an answer to change it.
const MIN_UTILIZATION: f32 = 0.8;
/// The length of one of the two windows over which the lowest mean is taken, in microseconds.
const WINDOW_US: u64 = 10_000_000;

/// A limit that rises by one for each number of answers equal to the limit, and falls when agents refuse requests or
/// the latency grows. Answers change it only while it is in use.
#[derive(Debug, Clone)]
pub(super) struct Limit {
    value: f32,
    max: f32,
    answers: u32,
    mean_us: f32,
    deviation_us: f32,
    window_from: TimeUs,
    lowest_us: f32,
    previous_lowest_us: f32,
    lowered_at: TimeUs,
    slot_refused_at: TimeUs,
}

impl Limit {
    pub(super) fn new() -> Self {
        Self {
            value: INITIAL_LIMIT,
            max: f32::INFINITY,
            answers: 0,
            mean_us: 0.0,
            deviation_us: 0.0,
            window_from: TimeUs(0),
            lowest_us: f32::INFINITY,
            previous_lowest_us: f32::INFINITY,
            lowered_at: TimeUs(0),
            slot_refused_at: TimeUs(0),
        }
    }

    pub(super) fn get(&self) -> u32 {
        self.value as u32
    }

    /// The mean time of an answer in microseconds.
    pub(super) fn mean_us(&self) -> f32 {
        self.mean_us
    }

    /// The mean deviation of the time of an answer in microseconds.
    pub(super) fn deviation_us(&self) -> f32 {
        self.deviation_us
    }

    /// Sets the upper bound. The limit starts at the bound, because agents enforce the true limits, and grows with it
    /// in proportion.
    pub(super) fn set_max(&mut self, max: u32) {
        let max = (max as f32).max(1.0);
        let grown = if self.max.is_infinite() { max } else { self.value * (max / self.max).max(1.0) };
        self.value = grown.min(max);
        self.max = max;
    }

    pub(super) fn record_answer(&mut self, took_us: u64, running: u32, now: TimeUs) {
        let took = took_us as f32;
        self.answers = (self.answers + 1).min(MIN_ANSWERS);
        self.update_estimates(took);
        self.rotate_window(now);
        if self.answers == MIN_ANSWERS {
            self.lowest_us = self.lowest_us.min(self.mean_us);
        }
        // With fewer running requests than the limit allows, a lower limit would not relieve the endpoints.
        if (running as f32) < self.value * MIN_UTILIZATION {
            return;
        }
        let lowest_us = self.lowest_us.min(self.previous_lowest_us);
        let tolerated_us = (lowest_us * TOLERATED_LATENCY_FACTOR).max(lowest_us + LATENCY_NOISE_US);
        if self.mean_us > tolerated_us {
            self.lower(tolerated_us / self.mean_us, now);
        } else {
            let calm = now.since_us(self.slot_refused_at) as f32 > 2.0 * self.mean_us;
            let rise = (1.0 / self.value).max(MIN_RISE) * if calm { FAST_RISE_FACTOR } else { 1.0 };
            self.value = (self.value + rise).min(self.max);
        }
    }

    /// Halves the estimates `halvings` times and reduces the weight of all earlier answers to that of one, so that the
    /// next answer weighs as much as they do.
    pub(super) fn discount(&mut self, halvings: u32) {
        let factor = 0.5f32.powi(halvings as i32);
        (self.mean_us, self.deviation_us) = (self.mean_us * factor, self.deviation_us * factor);
        self.answers = self.answers.min(1);
    }

    fn update_estimates(&mut self, took_us: f32) {
        if self.answers == 1 {
            // As in RFC 6298, section 2.2, half of the first measurement stands for the unknown deviation.
            (self.mean_us, self.deviation_us) = (took_us, took_us / 2.0);
            return;
        }
        let difference = took_us - self.mean_us;
        self.mean_us += difference / self.answers as f32;
        self.deviation_us += (difference.abs() - self.deviation_us) / self.answers as f32;
    }

    pub(super) fn slot_refused(&mut self, now: TimeUs) {
        self.slot_refused_at = now;
        self.value = (self.value - SLOT_REFUSAL_STEP).max(MIN_LIMIT.min(self.max));
    }

    /// Lowers the limit at most once per mean time of an answer, so that the effect of each step is measured before the
    /// next.
    fn lower(&mut self, factor: f32, now: TimeUs) {
        if now.since_us(self.lowered_at) as f32 >= self.mean_us {
            self.value = (self.value * factor.max(0.5)).max(MIN_LIMIT.min(self.max));
            self.lowered_at = now;
        }
    }

    fn rotate_window(&mut self, now: TimeUs) {
        if now.since_us(self.window_from) >= WINDOW_US {
            self.previous_lowest_us = self.lowest_us;
            self.lowest_us = f32::INFINITY;
            self.window_from = now;
        }
    }
}
