/*!
The limit on how long a serving task may stay above its target beside background tasks that work.

The table of pairs can be wrong, so this limit does not use it. If the latency of a task stays above its target, all
background tasks on the host are paused. If it stays above while they are paused, they are not the cause, and the task no
longer holds them back for a while. Each serving task has a guard of its own: a task that is overloaded by its own requests
must not hide that another one is disturbed.
*/

use crate::units::TimeMs;

/// How long a latency may be above its target before all background tasks are paused, in milliseconds. This time, the pause
/// and the release that follow add up to less than the 4 s that the platform tolerates.
const PAUSE_AFTER_MS: u64 = 1_400;
/// The pause of background tasks after which a latency that is still above its target is not attributed to them, in
/// milliseconds: two measurements.
const PAUSE_MS: u64 = 1_000;
/// How long a task does not hold background tasks back after a pause that did not help, in milliseconds.
const RELEASE_MS: u64 = 1_500;
/// How long a latency may be above its target after a release before background tasks are paused again, in milliseconds.
const RECHECK_MS: u64 = 900;
/// How long a task is protected after a pause that helped, in milliseconds. Without it, the host would pause and resume the
/// same background tasks by turns.
const PROTECT_MS: u64 = 5_000;

/// The state of the limit for one serving task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum State {
    /// The latency is within its target.
    #[default]
    Within,
    /// The latency is above its target; background tasks are paused at `pause_at`.
    Above { pause_at: TimeMs },
    /// Background tasks are paused.
    Paused { release_at: TimeMs },
    /// Background tasks are not the cause; the latency counts again from `check_at` on.
    Released { check_at: TimeMs },
}

/// The limit for one serving task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct TargetGuard {
    state: State,
    protected_until: TimeMs,
}

impl TargetGuard {
    /// Takes a measurement: whether the latency is above its target.
    pub fn observe(&mut self, above: bool, now: TimeMs) {
        let next = match self.state {
            State::Released { check_at } if now < check_at => self.state,
            State::Released { .. } if above => State::Above { pause_at: now.plus_ms(RECHECK_MS) },
            _ if !above => State::Within,
            State::Within => State::Above { pause_at: now.plus_ms(PAUSE_AFTER_MS) },
            State::Above { pause_at } if now >= pause_at => State::Paused { release_at: now.plus_ms(PAUSE_MS) },
            State::Paused { release_at } if now >= release_at => State::Released { check_at: now.plus_ms(RELEASE_MS) },
            State::Above { .. } | State::Paused { .. } | State::Released { .. } => self.state,
        };
        if matches!(self.state, State::Paused { .. }) && next == State::Within {
            self.protected_until = now.plus_ms(PROTECT_MS);
        }
        self.state = next;
    }

    /// Whether all background tasks on the host have to be paused.
    pub fn requires_pause(&self) -> bool {
        matches!(self.state, State::Paused { .. })
    }

    /// Whether a pause of background tasks has lately brought the latency below its target.
    pub fn is_protected(&self, now: TimeMs) -> bool {
        now < self.protected_until
    }
}
