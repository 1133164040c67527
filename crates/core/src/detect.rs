/*!
Failure suspicion from the arrival times of heartbeats, for agents and endpoints.

The detector keeps the mean and the spread of the gaps between heartbeats. `phi` is how unlikely the present silence is,
as a negative power of ten: at 8, a heartbeat this late would come once in 10⁸ gaps. A host that still sends heartbeats,
but late, is *slow*, not dead: its work must not be taken from it, but it should get less.

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

/// How soon silence is called death.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DetectorSettings {
    /// The interval at which heartbeats are sent.
    pub interval_ms: u64,
    /// The suspicion at which a silent sender is called dead.
    pub threshold: f64,
    /// Silence that is never suspicious: the pauses that a live sender may make.
    pub pause_ms: u64,
    /// The smallest spread that is assumed, so that very regular heartbeats do not make the detector nervous.
    pub min_spread_ms: u64,
}

impl DetectorSettings {
    /// Settings for heartbeats that are sent every `interval_ms`.
    pub fn new(interval_ms: u64) -> Self {
        Self { interval_ms, threshold: 8.0, pause_ms: interval_ms, min_spread_ms: interval_ms / 5 }
    }

    /// Sets the suspicion at which a silent sender is called dead.
    pub fn with_threshold(self, threshold: f64) -> Self {
        Self { threshold, ..self }
    }

    /// Sets the silence that is never suspicious.
    pub fn with_pause_ms(self, pause_ms: u64) -> Self {
        Self { pause_ms, ..self }
    }
}

/// What the heartbeats say of their sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Heartbeats come as they should.
    Alive,
    /// Heartbeats come, but late: its host is overloaded or its network bad.
    Slow,
    /// Silent for longer than slowness explains.
    Dead,
}

/// The weight of one gap in the mean and the spread.
const GAP_WEIGHT: f64 = 1.0 / 16.0;
/// Gaps longer than this many intervals count as this many, so that one outage does not blind the detector to the next.
const MAX_GAP_INTERVALS: u64 = 10;
/// A sender whose mean gap exceeds this many intervals is slow.
const SLOW_FACTOR: f64 = 1.5;
/// A single silence of this suspicion is called slow before it is called dead.
const SLOW_PHI: f64 = 1.0;

/// Watches one sender. Every call takes constant time.
#[derive(Debug, Clone, PartialEq)]
pub struct Detector {
    settings: DetectorSettings,
    last: TimeMs,
    mean_ms: f64,
    variance: f64,
}

impl Detector {
    /// Starts to watch a sender that showed itself at `now`.
    pub fn new(settings: DetectorSettings, now: TimeMs) -> Self {
        let mean_ms = settings.interval_ms as f64;
        Self { settings, last: now, mean_ms, variance: (mean_ms / 4.0).powi(2) }
    }

    /// Takes in a heartbeat, or any other message that the sender must have sent at its interval.
    pub fn heartbeat(&mut self, now: TimeMs) {
        let longest_ms = self.settings.interval_ms.saturating_mul(MAX_GAP_INTERVALS);
        let gap_ms = now.since_ms(self.last).min(longest_ms) as f64;
        let difference = gap_ms - self.mean_ms;
        self.mean_ms += difference * GAP_WEIGHT;
        self.variance = (1.0 - GAP_WEIGHT) * (self.variance + GAP_WEIGHT * difference * difference);
        self.last = self.last.max(now);
    }

    /// Takes in a heartbeat in the log that says nothing of the interval, such as an answer to a request.
    pub fn sign_of_life(&mut self, now: TimeMs) {
        self.last = self.last.max(now);
    }

    /// The suspicion at `now`, 0 or more.
    pub fn phi(&self, now: TimeMs) -> f64 {
        let silent_ms = now.since_ms(self.last) as f64;
        let spread_ms = self.variance.sqrt().max(self.settings.min_spread_ms as f64).max(1.0);
        let mean_ms = self.mean_ms.max(self.settings.interval_ms as f64) + self.settings.pause_ms as f64;
        // The logistic approximation of the normal distribution's tail; its error is below 0.02%.
        let y = (silent_ms - mean_ms) / spread_ms;
        let exponent = y * (1.5976 + 0.070566 * y * y);
        // ln(1 + e^x) without overflow, as the tail is 1 / (1 + e^x).
        let ln_tail = exponent.max(0.0) + (-exponent.abs()).exp().ln_1p();
        ln_tail / std::f64::consts::LN_10
    }

    /// What to think of the sender at `now`.
    pub fn verdict(&self, now: TimeMs) -> Verdict {
        let phi = self.phi(now);
        if phi >= self.settings.threshold {
            Verdict::Dead
        } else if phi >= SLOW_PHI || self.mean_ms > self.settings.interval_ms as f64 * SLOW_FACTOR {
            Verdict::Slow
        } else {
            Verdict::Alive
        }
    }

    /// When the sender will be called dead if it stays silent. Found by halving, in a few dozen steps.
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

    /// Guards against a dead host that is found late, and against a live one that is suspected for a lost heartbeat.
    #[test]
    fn silence_is_death_after_a_few_heartbeats_but_not_after_one() {
        let (detector, last) = after_beats([490, 510, 500].into_iter().cycle().take(30));
        assert_ne!(detector.verdict(TimeMs(last + 1_000)), Verdict::Dead);
        let dead_after_ms = detector.dead_at().since_ms(TimeMs(last));
        assert!((1_000..2_500).contains(&dead_after_ms), "{dead_after_ms}");
    }

    /// Guards against work that is taken from a slow host that still lives.
    #[test]
    fn late_heartbeats_mean_slow_and_not_dead() {
        let (mut detector, mut now) = after_beats([500].into_iter().cycle().take(30));
        // The host slows down gradually; its heartbeats come ever later, up to three times the interval.
        for gap in (500..=1_500).step_by(50).chain([1_500; 20]) {
            assert_ne!(detector.verdict(TimeMs(now + gap - 1)), Verdict::Dead, "gap {gap}");
            now += gap;
            detector.heartbeat(TimeMs(now));
        }
        assert_eq!(detector.verdict(TimeMs(now)), Verdict::Slow);
        assert_eq!(detector.verdict(TimeMs(now + 60_000)), Verdict::Dead);
    }

    /// Guards against a long outage that blinds the detector to the next one.
    #[test]
    fn a_sender_that_comes_back_is_watched_as_closely_as_before() {
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

    /// Guards against a suspicion that falls while the silence grows, or that overflows.
    #[test]
    fn suspicion_grows_with_silence() {
        let (detector, last) = after_beats([500].into_iter().cycle().take(10));
        let phi: Vec<_> = (0..200).map(|step| detector.phi(TimeMs(last + step * 1_000))).collect();
        assert!(phi.windows(2).all(|pair| pair[0] <= pair[1] && pair[1].is_finite()));
    }
}
