//! A token bucket that fills with requests.

use crate::balance::TimeUs;

/// The bucket fills at least at this rate, so that a profile with few requests can retry at all.
const MIN_MILLI_PER_SECOND: u64 = 500;

/// Thousandths of a repeat that are still allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Budget {
    percent: u32,
    capacity_milli: u64,
    milli: u64,
    filled_at: TimeUs,
}

impl Budget {
    /// A bucket that holds `burst` repeats and is full. With 0 percent it stays empty.
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
        self.fill(u64::from(self.percent) * 10);
        self.trickle(now);
    }

    /// Takes `cost_milli` if it is there.
    pub(super) fn take(&mut self, cost_milli: u64, now: TimeUs) -> bool {
        self.trickle(now);
        let enough = self.milli >= cost_milli;
        if enough {
            self.milli -= cost_milli;
        }
        enough
    }

    fn trickle(&mut self, now: TimeUs) {
        let milli = now.since_us(self.filled_at) * MIN_MILLI_PER_SECOND / 1_000_000;
        if milli > 0 {
            self.filled_at = now;
            self.fill(milli);
        }
    }

    fn fill(&mut self, milli: u64) {
        self.milli = (self.milli + milli).min(self.capacity_milli);
    }
}
