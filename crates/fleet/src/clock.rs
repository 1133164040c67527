//! The monotonic and the wall clock of a process.

use std::time::{SystemTime, UNIX_EPOCH};

use fescuelead_core::{jobs::Moment, units::TimeMs};
use tokio::time::Instant;

/// The source of both clocks.
#[derive(Debug, Clone, Copy)]
pub enum Clock {
    /// The clocks of the operating system. The monotonic one counts the time for which the machine is suspended, which
    /// leases require.
    Boot,
    /// The clock of the Tokio runtime, which tests can pause.
    Runtime {
        /// The time from which the monotonic clock counts.
        start: Instant,
        /// The Unix time at `start`, in milliseconds.
        unix_ms: u64,
    },
}

impl Clock {
    /// The monotonic time. Only comparable with other readings of this process.
    pub fn now(&self) -> TimeMs {
        match self {
            Self::Boot => {
                let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
                TimeMs(time.tv_sec.unsigned_abs() * 1_000 + time.tv_nsec.unsigned_abs() / 1_000_000)
            }
            // Starts above zero, so that subtracting a time span does not saturate at zero.
            Self::Runtime { start, .. } => TimeMs(1_000_000 + start.elapsed().as_millis() as u64),
        }
    }

    /// The Unix time in milliseconds. It may jump when the clock of the operating system is set.
    pub fn unix_ms(&self) -> u64 {
        match self {
            // A clock before 1970 is wrong. Zero makes no occurrence due.
            Self::Boot => SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64),
            Self::Runtime { start, unix_ms } => unix_ms + start.elapsed().as_millis() as u64,
        }
    }

    /// A reading of both clocks.
    pub fn moment(&self) -> Moment {
        Moment { at: self.now(), unix_ms: self.unix_ms() }
    }
}
