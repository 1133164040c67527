//! The monotonic clock of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use fescuelead_core::units::TimeMs;
use tokio::time::Instant;

/// Counts milliseconds since the process started. Follows tokio's clock, so that tests can pause it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts counting at one, so that zero is always in the past.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> TimeMs {
        TimeMs(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX).saturating_add(1))
    }

    /// The instant of a time of this clock.
    pub fn instant(&self, time: TimeMs) -> Instant {
        self.start + std::time::Duration::from_millis(time.0.saturating_sub(1))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// The wall clock, in milliseconds since the Unix epoch. Only for deadlines that outlive processes, never for leases.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
