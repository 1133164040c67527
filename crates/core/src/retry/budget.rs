//! Token bucket that is refilled by requests.

use crate::balance::TimeUs;

/// The minimum refill rate in thousandths of a retry per second, so that a profile with few requests can retry at all.
const MIN_MILLI_PER_SECOND: u64 = 500;

/// Retry or hedging budget, in thousandths of a retry or hedge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Budget {
    percent: u32,
    capacity_milli: u64,
    milli: u64,
    filled_at: TimeUs,
}

impl Budget {
    /// Creates a full bucket with a capacity of `burst` retries. With 0 percent the capacity is zero.
    pub(super) fn new(percent: u32, burst: u32) -> Self {
        let capacity_milli = if percent == 0 { 0 } else { u64::from(burst) * 1_000 };
        Self { percent, capacity_milli, milli: capacity_milli, filled_at: TimeUs(0) }
    }

    pub(super) fn set_percent(&mut self, percent: u32, burst: u32) {
        let Self { capacity_milli, .. } = Self::new(percent, burst);
        (self.percent, self.capacity_milli) = (percent, capacity_milli);
        self.milli = self.milli.min(capacity_milli);
    }

    pub(super) fn percent(&self) -> u32 {
        self.percent
    }

    /// Adds the share of one request.
    pub(super) fn deposit(&mut self, now: TimeUs) {
        self.credit(u64::from(self.percent) * 10);
        self.refill_by_time(now);
    }

    /// Takes `cost_milli` if the bucket has enough, and returns whether it had.
    pub(super) fn try_take(&mut self, cost_milli: u64, now: TimeUs) -> bool {
        self.refill_by_time(now);
        let enough = self.milli >= cost_milli;
        if enough {
            self.milli -= cost_milli;
        }
        enough
    }

    fn refill_by_time(&mut self, now: TimeUs) {
        let milli = now.since_us(self.filled_at) * MIN_MILLI_PER_SECOND / 1_000_000;
        if milli > 0 {
            self.filled_at = now;
            self.credit(milli);
        }
    }

    fn credit(&mut self, milli: u64) {
        self.milli = (self.milli + milli).min(self.capacity_milli);
    }
}
