//! The adaptive limit of requests in flight to the endpoints of one service.

use crate::balance::TimeUs;

/// The limit of a service before the slots of its endpoints are known.
const START: f32 = 64.0;
/// The smallest limit.
const MIN: f32 = 4.0;
/// A refusal for want of a slot lowers the limit by this much; a limit's worth of answers raises it by one.
const FULL_STEP: f32 = 0.5;
/// An answer raises the limit at least by this much. Without it the share of refusals at which a limit settles falls as
/// the limit grows, and 100 endpoints were used to 85% only.
const MIN_RISE: f32 = 0.03;
/// The limit rises so much faster once no request was refused for the time of two answers.
const CALM_FACTOR: f32 = 4.0;
/// Answers before the mean counts as known.
const MIN_ANSWERS: u32 = 64;
/// Latency above this many times its lowest recent mean lowers the limit.
const TOLERANCE: f32 = 2.0;
/// Latency that grew by less than this does not lower the limit. Time slices of the hosts' schedulers and the steps of
/// timers take that long, so that an answer that usually takes a fraction of a millisecond is often twice as late on
/// endpoints with room.
const NOISE_US: f32 = 4_000.0;
/// The share of the limit that has to be in use for an answer to change it.
const IN_USE: f32 = 0.8;
/// The lowest recent mean is taken over two windows of this length.
const WINDOW_US: u64 = 10_000_000;

/// Rises by one for each limit's worth of answers while it is in use; falls when agents refuse, or latency grows while it
/// is in use.
#[derive(Debug, Clone)]
pub(super) struct Limit {
    value: f32,
    max: f32,
    answers: u32,
    mean_us: f32,
    deviation_us: f32,
    window_from: TimeUs,
    lowest_us: f32,
    lowest_before_us: f32,
    lowered_at: TimeUs,
    full_at: TimeUs,
}

impl Limit {
    pub(super) fn new() -> Self {
        Self {
            value: START,
            max: f32::INFINITY,
            answers: 0,
            mean_us: 0.0,
            deviation_us: 0.0,
            window_from: TimeUs(0),
            lowest_us: f32::INFINITY,
            lowest_before_us: f32::INFINITY,
            lowered_at: TimeUs(0),
            full_at: TimeUs(0),
        }
    }

    pub(super) fn get(&self) -> u32 {
        self.value as u32
    }

    /// Mean time of an answer.
    pub(super) fn mean_us(&self) -> f32 {
        self.mean_us
    }

    /// Mean deviation of the time of an answer from its mean.
    pub(super) fn deviation_us(&self) -> f32 {
        self.deviation_us
    }

    /// Sets the upper bound. The limit starts there, because agents hold the true limits, and grows with it in proportion.
    pub(super) fn set_max(&mut self, max: u32) {
        let max = (max as f32).max(1.0);
        let grown = if self.max.is_infinite() { max } else { self.value * (max / self.max).max(1.0) };
        self.value = grown.min(max);
        self.max = max;
    }

    pub(super) fn answered(&mut self, took_us: u64, running: u32, now: TimeUs) {
        let took = took_us as f32;
        self.answers = (self.answers + 1).min(MIN_ANSWERS);
        self.learn(took);
        self.roll(now);
        if self.answers == MIN_ANSWERS {
            self.lowest_us = self.lowest_us.min(self.mean_us);
        }
        // Fewer requests than the limit allows run in any case, so that a lower one would not relieve the endpoints.
        if (running as f32) < self.value * IN_USE {
            return;
        }
        let lowest_us = self.lowest_us.min(self.lowest_before_us);
        let tolerated_us = (lowest_us * TOLERANCE).max(lowest_us + NOISE_US);
        if self.mean_us > tolerated_us {
            self.lower(tolerated_us / self.mean_us, now);
        } else {
            let calm = now.since_us(self.full_at) as f32 > 2.0 * self.mean_us;
            let rise = (1.0 / self.value).max(MIN_RISE) * if calm { CALM_FACTOR } else { 1.0 };
            self.value = (self.value + rise).min(self.max);
        }
    }

    /// Halves the estimates so many times and counts all earlier answers as one, so that the next answer weighs as much as
    /// they do.
    pub(super) fn forget(&mut self, halvings: u32) {
        let factor = 0.5f32.powi(halvings as i32);
        (self.mean_us, self.deviation_us) = (self.mean_us * factor, self.deviation_us * factor);
        self.answers = self.answers.min(1);
    }

    fn learn(&mut self, took_us: f32) {
        if self.answers == 1 {
            // RFC 6298, section 2.2: half of the first measurement stands for the deviation that is not known yet.
            (self.mean_us, self.deviation_us) = (took_us, took_us / 2.0);
            return;
        }
        let difference = took_us - self.mean_us;
        self.mean_us += difference / self.answers as f32;
        self.deviation_us += (difference.abs() - self.deviation_us) / self.answers as f32;
    }

    pub(super) fn full(&mut self, now: TimeUs) {
        self.full_at = now;
        self.value = (self.value - FULL_STEP).max(MIN.min(self.max));
    }

    /// Lowers the limit at most once in the time that an answer takes, so that each step is seen before the next.
    fn lower(&mut self, factor: f32, now: TimeUs) {
        if now.since_us(self.lowered_at) as f32 >= self.mean_us {
            self.value = (self.value * factor.max(0.5)).max(MIN.min(self.max));
            self.lowered_at = now;
        }
    }

    fn roll(&mut self, now: TimeUs) {
        if now.since_us(self.window_from) >= WINDOW_US {
            self.lowest_before_us = self.lowest_us;
            self.lowest_us = f32::INFINITY;
            self.window_from = now;
        }
    }
}
