/*!
Phi accrual failure detector for agents and endpoints, based on the arrival times of heartbeats.

The detector keeps the mean and the variance of the intervals between heartbeats. `phi` is the negative decimal logarithm
of the probability of the present silence: at 8, a heartbeat this late is expected once in 10⁸ intervals. A host whose
heartbeats still arrive, but late, is *slow* and not dead: its running work must not be moved, but it should get less
new work.

```
use fescuelead_core::{detect::{Detector, DetectorSettings, Verdict}, units::TimeMs};

let mut detector = Detector::new(DetectorSettings::new(500), TimeMs(0));
for beat in 1..=20 {
    detector.heartbeat(TimeMs(beat * 500));
}
assert_eq!(detector.verdict(TimeMs(10_400)), Verdict::Alive);
assert_eq!(detector.verdict(TimeMs(14_000)), Verdict::Dead);
```
*/

use crate::units::TimeMs;

/// How quickly a silent sender is declared dead.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DetectorSettings {
    /// The interval at which heartbeats are sent, in milliseconds.
    pub interval_ms: u64,
    /// The value of phi at which a silent sender is declared dead.
    pub threshold: f64,
    /// The length of pauses that a live sender may make, in milliseconds, added to the expected interval.
    pub pause_ms: u64,
    /// The lower bound of the standard deviation in milliseconds, so that very regular heartbeats do not cause false
    /// positives.
    pub min_deviation_ms: u64,
}

impl DetectorSettings {
    /// Creates settings for heartbeats that are sent every `interval_ms`.
    pub fn new(interval_ms: u64) -> Self {
        Self { interval_ms, threshold: 8.0, pause_ms: interval_ms, min_deviation_ms: interval_ms / 5 }
    }

    /// Sets the value of phi at which a silent sender is declared dead.
    pub fn with_threshold(self, threshold: f64) -> Self {
        Self { threshold, ..self }
    }

    /// Sets the length of pauses that a live sender may make, in milliseconds.
    pub fn with_pause_ms(self, pause_ms: u64) -> Self {
        Self { pause_ms, ..self }
    }
}

/// The state of a sender according to its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Heartbeats arrive on time.
    Alive,
    /// Heartbeats are late: the host is overloaded or the network is impaired.
    Slow,
    /// No heartbeat arrived for longer than a slow sender would take.
    Dead,
}

/// The weight of one interval in the mean and the variance.
const GAP_WEIGHT: f64 = 1.0 / 16.0;
/// Longer gaps count as this many heartbeat intervals, so that an outage does not make the detector insensitive to the
/// next.
const MAX_GAP_INTERVALS: u64 = 10;
/// A sender whose mean gap exceeds this many heartbeat intervals is slow.
const SLOW_INTERVALS: f64 = 1.5;
/// The value of phi at which a silent sender is declared slow.
const SLOW_PHI: f64 = 1.0;

/// Failure detector for one sender. Calls take constant time.
#[derive(Debug, Clone, PartialEq)]
pub struct Detector {
    settings: DetectorSettings,
    last: TimeMs,
    mean_ms: f64,
    variance: f64,
}

impl Detector {
    /// Creates a detector for a sender that was last heard from at `now`.
    pub fn new(settings: DetectorSettings, now: TimeMs) -> Self {
        let mean_ms = settings.interval_ms as f64;
        Self { settings, last: now, mean_ms, variance: (mean_ms / 4.0).powi(2) }
    }

    /// Records a heartbeat, or another message that is sent at the same interval.
    pub fn heartbeat(&mut self, now: TimeMs) {
        let longest_ms = self.settings.interval_ms.saturating_mul(MAX_GAP_INTERVALS);
        let gap_ms = now.since_ms(self.last).min(longest_ms) as f64;
        let difference = gap_ms - self.mean_ms;
        self.mean_ms += difference * GAP_WEIGHT;
        self.variance = (1.0 - GAP_WEIGHT) * (self.variance + GAP_WEIGHT * difference * difference);
        self.last = self.last.max(now);
    }

    /// Records a message that is not sent at the heartbeat interval, such as an answer to a request. It ends the
    /// silence but does not change the mean.
    pub fn record_activity(&mut self, now: TimeMs) {
        self.last = self.last.max(now);
    }

    /// The value of phi at `now`, 0 or more.
    pub fn phi(&self, now: TimeMs) -> f64 {
        let silent_ms = now.since_ms(self.last) as f64;
        let deviation_ms = self.variance.sqrt().max(self.settings.min_deviation_ms as f64).max(1.0);
        let mean_ms = self.mean_ms.max(self.settings.interval_ms as f64) + self.settings.pause_ms as f64;
        // Logistic approximation of the tail of the normal distribution, with an error below 0.02%.
        let y = (silent_ms - mean_ms) / deviation_ms;
        let exponent = y * (1.5976 + 0.070566 * y * y);
        // ln(1 + e^x) without overflow, as the tail is 1 / (1 + e^x).
        let ln_tail = exponent.max(0.0) + (-exponent.abs()).exp().ln_1p();
        ln_tail / std::f64::consts::LN_10
    }

    /// The state of the sender at `now`.
    pub fn verdict(&self, now: TimeMs) -> Verdict {
        let phi = self.phi(now);
        if phi >= self.settings.threshold {
            Verdict::Dead
        } else if phi >= SLOW_PHI || self.mean_ms > self.settings.interval_ms as f64 * SLOW_INTERVALS {
            Verdict::Slow
        } else {
            Verdict::Alive
        }
    }

    /// When the sender is declared dead if it stays silent. Computed by bisection, in a few dozen steps.
    pub fn dead_at(&self) -> TimeMs {
        let (mut alive, mut dead) = (self.last.0, self.last.0.saturating_add(1_000 * self.settings.interval_ms.max(1)));
        while dead - alive > 1 {
            let middle = alive + (dead - alive) / 2;
            if self.phi(TimeMs(middle)) >= self.settings.threshold { dead = middle } else { alive = middle }
        }
        TimeMs(dead)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn after_beats(gaps_ms: impl Iterator<Item = u64>) -> (Detector, u64) {
        let mut detector = Detector::new(DetectorSettings::new(500), TimeMs(0));
        let last = gaps_ms.fold(0, |now, gap| {
            detector.heartbeat(TimeMs(now + gap));
            now + gap
        });
        (detector, last)
    }

    /// Guards against a dead host that is detected late, and against suspecting a live one because of one lost
    /// heartbeat.
    #[test]
    fn a_sender_is_dead_after_a_few_missed_heartbeats_but_not_after_one() {
        let (detector, last) = after_beats([490, 510, 500].into_iter().cycle().take(30));
        assert_ne!(detector.verdict(TimeMs(last + 1_000)), Verdict::Dead);
        let dead_after_ms = detector.dead_at().since_ms(TimeMs(last));
        assert!((1_000..2_500).contains(&dead_after_ms), "{dead_after_ms}");
    }

    /// Guards against moving work from a slow host that is still alive.
    #[test]
    fn a_sender_with_late_heartbeats_is_slow_and_not_dead() {
        let (mut detector, mut now) = after_beats([500].into_iter().cycle().take(30));
        // The host slows down gradually: the gaps grow to three times the interval.
        for gap in (500..=1_500).step_by(50).chain([1_500; 20]) {
            assert_ne!(detector.verdict(TimeMs(now + gap - 1)), Verdict::Dead, "gap {gap}");
            now += gap;
            detector.heartbeat(TimeMs(now));
        }
        assert_eq!(detector.verdict(TimeMs(now)), Verdict::Slow);
        assert_eq!(detector.verdict(TimeMs(now + 60_000)), Verdict::Dead);
    }

    /// Guards against a long outage that makes the detector insensitive to the next one.
    #[test]
    fn an_outage_does_not_delay_the_detection_of_the_next_one() {
        let (mut detector, last) = after_beats([500].into_iter().cycle().take(30));
        let mut now = last + 3_600_000;
        assert_eq!(detector.verdict(TimeMs(now)), Verdict::Dead);
        for _ in 0..60 {
            detector.heartbeat(TimeMs(now));
            now += 500;
        }
        assert_eq!(detector.verdict(TimeMs(now)), Verdict::Alive);
        assert!(detector.dead_at().since_ms(TimeMs(now)) < 6_000);
    }

    /// Guards against values of phi that fall while the silence grows, or that overflow.
    #[test]
    fn phi_grows_with_silence() {
        let (detector, last) = after_beats([500].into_iter().cycle().take(10));
        let phi: Vec<_> = (0..200).map(|step| detector.phi(TimeMs(last + step * 1_000))).collect();
        assert!(phi.windows(2).all(|pair| pair[0] <= pair[1] && pair[1].is_finite()));
    }
}
