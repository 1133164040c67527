/*!
A limit on log lines of one kind.

A wave of failures must not turn into a wave of log lines. [`limited!`](crate::limited) gives each place that logs a
limiter of its own: a burst passes, then a few lines a second, and the next line says how many were left out.
*/

use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// Lines that pass at once.
const BURST: f64 = 10.0;
/// Lines that pass per second after a burst.
const PER_SECOND: f64 = 2.0;

#[derive(Debug)]
struct State {
    tokens: f64,
    refilled: Option<Instant>,
    left_out: u64,
}

/// Limits the log lines of one kind.
#[derive(Debug)]
pub struct LogLimiter {
    state: Mutex<State>,
}

impl LogLimiter {
    /// A limiter that has passed nothing.
    pub const fn new() -> Self {
        Self { state: Mutex::new(State { tokens: BURST, refilled: None, left_out: 0 }) }
    }

    /// Whether a line may pass at `now`; says how many were left out since the last one that passed.
    pub fn pass_at(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let since = state.refilled.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        state.refilled = Some(now);
        state.tokens = (state.tokens + since * PER_SECOND).min(BURST);
        if state.tokens < 1.0 {
            state.left_out += 1;
            return None;
        }
        state.tokens -= 1.0;
        Some(std::mem::take(&mut state.left_out))
    }

    /// Whether a line may pass now; says how many were left out since the last one that passed.
    pub fn pass(&self) -> Option<u64> {
        self.pass_at(Instant::now())
    }
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self::new()
    }
}

/// Writes a log line at a level such as `Warn`, limited for this place in the code.
#[macro_export]
macro_rules! limited {
    ($level:ident, $($message:tt)+) => {{
        static LIMITER: $crate::limit::LogLimiter = $crate::limit::LogLimiter::new();
        if ::log::log_enabled!(::log::Level::$level) {
            match LIMITER.pass() {
                Some(0) => ::log::log!(::log::Level::$level, $($message)+),
                Some(left_out) => {
                    let message = ::std::format!($($message)+);
                    ::log::log!(::log::Level::$level, "{message} ({left_out} lines like this were left out.)");
                }
                None => {}
            }
        }
    }};
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    /// Guards against a wave of failures that fills the log, and against one that leaves no trace.
    #[test]
    fn a_wave_is_cut_to_a_burst_and_counted() {
        let (limiter, start) = (LogLimiter::new(), Instant::now());
        let passed = (0..1_000).filter(|_| limiter.pass_at(start).is_some()).count();
        assert_eq!(passed, BURST as usize);
        assert_eq!(limiter.pass_at(start + Duration::from_secs(1)), Some(990));
        assert_eq!(limiter.pass_at(start + Duration::from_secs(3_600)), Some(0));
    }
}
