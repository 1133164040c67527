//! Microsecond time for the request path.

use crate::units::TimeMs;

/// A point on the monotonic clock of one process, in microseconds. Values of different processes must not be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeUs(pub u64);

impl TimeUs {
    /// The point `span_us` later, saturating at the maximum value.
    pub fn plus_us(self, span_us: u64) -> Self {
        Self(self.0.saturating_add(span_us))
    }

    /// The time from `earlier` to `self` in microseconds; zero if `earlier` is later.
    pub fn since_us(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl From<TimeMs> for TimeUs {
    fn from(time: TimeMs) -> Self {
        Self(time.0.saturating_mul(1_000))
    }
}
