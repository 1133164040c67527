/*!
How far background tasks are slowed for the sake of the tasks that serve beside them.

A tail latency that stays above the target while background tasks stand still is not their doing. They then run for a
while, as pausing them helps nobody, and the share is found anew.

The share halves with each reading above the target and grows by a fixed step with readings well below it: additive
increase, multiplicative decrease. Two thresholds keep it from swinging.
*/

use crate::units::TimeMs;

/// Below this share of its target a tail latency lets background tasks speed up, in percent.
const RELAXED_PERCENT: u32 = 60;
/// Above this share of its target a tail latency slows background tasks, in percent.
const STRAINED_PERCENT: u32 = 90;
/// By how much the share grows with one reading, in percent points.
const STEP_PERCENT: u8 = 10;
/// Shares below this become 0, in percent.
const LEAST_PERCENT: u8 = 10;
/// The time between two changes in milliseconds; readings cover half a second.
const SPACING_MS: u64 = 500;

/// How long background tasks stand still until a latency above the target is not put down to them, in milliseconds: two
/// readings.
const STANDSTILL_MS: u64 = 1_000;
/// How long they then run freely, in milliseconds. Together with the halving it is less than the time for which the
/// platform lets a serving task suffer, 4 s.
const FREE_MS: u64 = 1_500;

/// The share of background tasks on one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pacer {
    percent: u8,
    next_change: TimeMs,
    stopped_at: TimeMs,
}

impl Pacer {
    /// Background tasks run at full speed.
    pub fn new() -> Self {
        Self { percent: 100, next_change: TimeMs::default(), stopped_at: TimeMs::default() }
    }

    /// The share at which background tasks should run, in percent.
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Takes a reading of each serving task: its tail latency and its target, both in milliseconds.
    pub fn observe(&mut self, tails: impl IntoIterator<Item = (u32, u32)>, now: TimeMs) {
        let worst = tails.into_iter().map(|(tail, target)| tail.saturating_mul(100) / target.max(1)).max();
        let Some(worst) = worst else {
            self.percent = 100;
            return;
        };
        if now < self.next_change {
            return;
        }
        if self.percent == 0 && worst > STRAINED_PERCENT && now.since_ms(self.stopped_at) >= STANDSTILL_MS {
            self.percent = 100;
            self.next_change = now.plus_ms(FREE_MS);
            return;
        }
        let percent = match worst {
            worst if worst > STRAINED_PERCENT => self.percent / 2,
            worst if worst < RELAXED_PERCENT => self.percent.saturating_add(STEP_PERCENT).min(100),
            _ => self.percent,
        };
        let percent = if percent < LEAST_PERCENT { 0 } else { percent };
        if percent != self.percent {
            if percent == 0 {
                self.stopped_at = now;
            }
            self.percent = percent;
            self.next_change = now.plus_ms(SPACING_MS);
        }
    }
}

impl Default for Pacer {
    fn default() -> Self {
        Self::new()
    }
}
