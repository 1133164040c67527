//! Rate limit for moving tasks out of availability zones that are out of service.

use crate::units::TimeMs;

/// Limits of the moves out of availability zones. They scale with the workers that are left to take the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DrainSettings {
    /// Sustained rate in moves per second, for each worker in service.
    pub moves_per_worker_s: f64,
    /// Burst size in moves, for each worker in service.
    pub burst_per_worker: f64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { moves_per_worker_s: 0.5, burst_per_worker: 2.0 }
    }
}

/// A token bucket shared by all availability zones that are out of service.
#[derive(Debug, Clone)]
pub struct ZoneDrain {
    settings: DrainSettings,
    tokens: f64,
    filled: TimeMs,
}

impl ZoneDrain {
    /// Creates a full bucket.
    pub fn new(settings: DrainSettings, now: TimeMs) -> Self {
        Self { settings, tokens: f64::MAX, filled: now }
    }

    /// How many of `waiting` tasks may be checkpointed and moved now, with `workers_in` workers in service. Takes the
    /// tokens of the returned number of moves.
    pub fn due(&mut self, waiting: usize, workers_in: usize, now: TimeMs) -> usize {
        let workers = workers_in as f64;
        let gained = now.since_ms(self.filled) as f64 / 1_000.0 * self.settings.moves_per_worker_s * workers;
        self.filled = now;
        self.tokens = (self.tokens + gained).min(self.settings.burst_per_worker * workers);
        let moves = waiting.min(self.tokens as usize);
        self.tokens -= moves as f64;
        moves
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against moving all tasks of an availability zone to the remaining workers at once.
    #[test]
    fn moves_are_limited_by_the_workers_in_service() {
        let mut drain = ZoneDrain::new(DrainSettings::default(), TimeMs(0));
        assert_eq!(drain.due(1_000, 10, TimeMs(0)), 20);
        assert_eq!(drain.due(980, 10, TimeMs(0)), 0);
        assert_eq!(drain.due(980, 10, TimeMs(2_000)), 10);
        assert_eq!(drain.due(980, 0, TimeMs(9_000)), 0);
    }
}
