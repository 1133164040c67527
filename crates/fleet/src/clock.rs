//! The clocks of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use fescuelead_core::{jobs::Moment, units::TimeMs};
use tokio::time::Instant;

/// Where a process reads the time.
#[derive(Debug, Clone, Copy)]
pub enum Clock {
    /// The clock of the operating system that goes on while the machine is suspended. Leases need it.
    Boot,
    /// The clock of the runtime, which tests can pause. Its time of day starts at `unix_ms`.
    Runtime {
        /// When the clock started.
        start: Instant,
        /// The time of day at the start, in milliseconds since 1970.
        unix_ms: u64,
    },
}

impl Clock {
    /// The monotonic time.
    pub fn now(&self) -> TimeMs {
        match self {
            Self::Boot => {
                let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
                TimeMs(time.tv_sec.unsigned_abs() * 1_000 + time.tv_nsec.unsigned_abs() / 1_000_000)
            }
            // Starts above zero, so that a span before the start is not cut off.
            Self::Runtime { start, .. } => TimeMs(1_000_000 + start.elapsed().as_millis() as u64),
        }
    }

    /// Milliseconds since 1970.
    pub fn unix_ms(&self) -> u64 {
        match self {
            // A time of day before 1970 cannot be meant; it makes nothing due.
            Self::Boot => SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64),
            Self::Runtime { start, unix_ms } => unix_ms + start.elapsed().as_millis() as u64,
        }
    }

    /// The time on both clocks.
    pub fn moment(&self) -> Moment {
        Moment { at: self.now(), unix_ms: self.unix_ms() }
    }
}
