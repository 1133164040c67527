/*!
Error budget burn rates of services, and the causes of missed SLOs.

A [`BurnTracker`] counts requests per service, profile and team. Requests that fail, take too long or are refused count
against the SLO, and so do tasks that start late. Counts are kept in ring buffers of fixed size, so that memory depends
only on the number of keys. The error budget applies to [`BUDGET_WINDOW_MS`].

Each entry has its own tracker. [`BurnTracker::merge`] adds the copy of another entry: counts by their age, and latency
histograms bucket by bucket, so that the quantiles are those of all requests together.

```
use fescuelead_core::{
    burn::{BurnTracker, BurnKey, Observation, RequestResult, Slo},
    ids::{ProfileName, ServiceName, TeamId},
    units::TimeMs,
};

let key = BurnKey::new(ServiceName::new("previews")?, ProfileName::new("store-preview")?, TeamId::new("labels")?);
let slo = Slo::new(0.99, 150);
let mut tracker = BurnTracker::new();
for latency_ms in 1..=100 {
    tracker.observe(TimeMs(latency_ms), &key, slo, &Observation::new(RequestResult::Answered, latency_ms * 2_000));
}
let report = tracker.report(TimeMs(100));
assert_eq!((report.items[0].counts.good, report.items[0].counts.late), (75, 25));
assert!((report.items[0].rates[0].rate - 25.0).abs() < 1e-9);
# Ok::<(), fescuelead_core::ids::IdError>(())
```
*/

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ProfileName, ServiceName, TeamId},
    profile::Profile,
    units::TimeMs,
};

mod cause;
mod latency;
mod report;
mod ring;
mod windows;

use self::windows::KeyWindows;
pub use self::{
    cause::{Action, Cause, CauseCount},
    latency::{Latency, LatencyQuantiles},
    report::{Alert, BurnItem, BurnPoint, BurnRate, BurnReport},
    ring::{Merge, Ring},
    windows::{BURN_WINDOWS_MS, Counts},
};

/// The window of the error budget, in milliseconds: 3 days.
pub const BUDGET_WINDOW_MS: u64 = 3 * 24 * 3_600_000;
/// The default maximum number of keys: enough for 220 teams with a few services each. A key takes about 20 KB.
pub const DEFAULT_MAX_KEYS: usize = 2_048;

/// The group that a request is counted in.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BurnKey {
    /// The service that received the request.
    pub service: ServiceName,
    /// The profile of the service at the time of the request.
    pub profile: ProfileName,
    /// The team that the profile belongs to.
    pub team: TeamId,
}

impl BurnKey {
    /// Creates the key of a service under a profile of a team.
    pub fn new(service: ServiceName, profile: ProfileName, team: TeamId) -> Self {
        Self { service, profile, team }
    }
}

/// A service-level objective.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Slo {
    /// The share of requests that must meet the objective, above 0 and below 1.
    pub target: f64,
    /// Requests slower than this do not meet the objective.
    pub latency_ms: u64,
}

impl Slo {
    /// Creates an objective. `target` must be above 0 and below 1.
    pub fn new(target: f64, latency_ms: u64) -> Self {
        Self { target, latency_ms }
    }

    /// The share of requests that may miss the objective; always above 0.
    pub fn allowed_ratio(&self) -> f64 {
        // A target of 1 would make every burn rate infinite. Profiles with it are rejected, but a peer's copy is not
        // validated.
        (1.0 - self.target).max(1e-9)
    }
}

impl From<&Profile> for Slo {
    fn from(profile: &Profile) -> Self {
        Self::new(profile.slo_target, profile.slo_latency_ms)
    }
}

plain! {
    /// The result of a request or of a task start.
    #[derive(Copy)]
    pub enum RequestResult {
        /// The request was answered, or the task started.
        Answered,
        /// The request was refused as *not run*.
        Refused,
        /// The request ran and failed.
        Failed,
        /// It is unknown whether the request ran.
        Unknown,
    }

    /// One request or task start to be counted.
    pub struct Observation {
        /// Counts against the SLO unless it is `Answered`.
        pub result: RequestResult,
        /// The time from arrival to the end of the request, or to the start of the task, in microseconds.
        pub latency_us: u64,
        /// Why the SLO was missed; `None` if the cause is unknown.
        pub cause: Option<Cause>,
    }
}

impl Observation {
    /// Creates an observation without a known cause.
    pub fn new(result: RequestResult, latency_us: u64) -> Self {
        Self { result, latency_us, cause: None }
    }

    /// Sets the cause of a missed SLO.
    pub fn with_cause(self, cause: Cause) -> Self {
        Self { cause: Some(cause), ..self }
    }
}

/// Counts requests against the SLO, per key and window.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BurnTracker {
    tracks: BTreeMap<BurnKey, KeyWindows>,
    max_keys: usize,
    untracked: u64,
}

impl Default for BurnTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl BurnTracker {
    /// Creates an empty tracker for at most [`DEFAULT_MAX_KEYS`] keys.
    pub fn new() -> Self {
        Self { tracks: BTreeMap::new(), max_keys: DEFAULT_MAX_KEYS, untracked: 0 }
    }

    /// Sets the maximum number of keys. Requests of further keys are counted as untracked.
    pub fn with_max_keys(self, max_keys: usize) -> Self {
        Self { max_keys, ..self }
    }

    /// The number of requests that are not in any key because [`with_max_keys`](Self::with_max_keys) was reached.
    pub fn untracked(&self) -> u64 {
        self.untracked
    }

    /// Counts a request. Logarithmic in the number of keys.
    pub fn observe(&mut self, now: TimeMs, key: &BurnKey, slo: Slo, observation: &Observation) {
        match self.windows_mut(now, key, slo) {
            Some(windows) => windows.observe(now, slo, observation),
            None => self.untracked += 1,
        }
    }

    /// Counts an action that was taken against a cause. Does nothing for a key without requests.
    pub fn record_action(&mut self, now: TimeMs, key: &BurnKey, cause: &Cause, action: Action) {
        if let Some(windows) = self.tracks.get_mut(key) {
            windows.record_action(now, cause, action);
        }
    }

    /// Adds a copy of another entry's tracker. The copy is `age_ms` old, and `taken` is the time of the copy on the clock
    /// of its process. Merging the same tracker twice counts its requests twice, so callers merge into a clone. Linear in
    /// the size of the copy.
    pub fn merge(&mut self, now: TimeMs, other: &Self, taken: TimeMs, age_ms: u64) {
        self.untracked += other.untracked;
        for (key, theirs) in &other.tracks {
            match self.windows_mut(now, key, theirs.slo()) {
                Some(ours) => ours.merge(now, theirs, taken, age_ms),
                None => self.untracked += theirs.counts(taken, BUDGET_WINDOW_MS).total(),
            }
        }
    }

    /// Serializes the tracker without loss, including histograms, for another entry. Linear in the number of keys.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes the output of [`to_bytes`](Self::to_bytes).
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is not a valid tracker of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Drops keys without requests in the budget window. Linear in the number of keys.
    pub fn drop_idle(&mut self, now: TimeMs) {
        self.tracks.retain(|_, windows| !windows.is_idle(now));
    }

    /// Reports all keys, sorted by descending burn rate over the last hour. Takes O(n log n) time for n keys.
    pub fn report(&self, now: TimeMs) -> BurnReport {
        let mut items: Vec<_> = self.tracks.iter().map(|(key, windows)| report::burn_item(now, key, windows)).collect();
        items.sort_by(|a, b| b.hour_rate().total_cmp(&a.hour_rate()));
        BurnReport { items, untracked: self.untracked }
    }

    /// Returns the windows of a key, created if necessary. `None` if the maximum number of keys is reached.
    fn windows_mut(&mut self, now: TimeMs, key: &BurnKey, slo: Slo) -> Option<&mut KeyWindows> {
        if !self.tracks.contains_key(key) {
            if self.tracks.len() >= self.max_keys {
                self.drop_idle(now);
            }
            if self.tracks.len() >= self.max_keys {
                return None;
            }
            self.tracks.insert(key.clone(), KeyWindows::new(now, slo));
        }
        self.tracks.get_mut(key)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::AvailabilityZone;

    const HOUR_MS: u64 = 3_600_000;

    fn key(service: &str) -> BurnKey {
        BurnKey::new(
            ServiceName::new(service).expect("valid id"),
            ProfileName::new("store-preview").expect("valid id"),
            TeamId::new("labels").expect("valid id"),
        )
    }

    fn slo() -> Slo {
        Slo::new(0.99, 100)
    }

    fn fill(tracker: &mut BurnTracker, now: TimeMs, result: RequestResult, latency_ms: u64, times: u32) {
        for _ in 0..times {
            tracker.observe(now, &key("previews"), slo(), &Observation::new(result, latency_ms * 1_000));
        }
    }

    /// Guards against an SLO that appears to be met because refused and late requests are not counted.
    #[test]
    fn late_refused_and_failed_requests_count_against_the_slo() {
        let mut tracker = BurnTracker::new();
        fill(&mut tracker, TimeMs(0), RequestResult::Answered, 100, 96);
        fill(&mut tracker, TimeMs(0), RequestResult::Answered, 101, 1);
        fill(&mut tracker, TimeMs(0), RequestResult::Refused, 0, 1);
        fill(&mut tracker, TimeMs(0), RequestResult::Failed, 1, 1);
        fill(&mut tracker, TimeMs(0), RequestResult::Unknown, 1, 1);
        let item = &tracker.report(TimeMs(1)).items[0];
        assert_eq!(item.counts, Counts { good: 96, bad: 2, late: 1, refused: 1 });
        assert!((item.rates[0].rate - 4.0).abs() < 1e-9);
        assert_eq!(item.causes, [CauseCount { cause: Cause::Other, requests: 4, actions: BTreeMap::new() }]);
    }

    /// Guards against an incident that stays in a window longer, or leaves it earlier, than the length of the window.
    #[test]
    fn an_incident_leaves_each_window_after_its_length() {
        let mut tracker = BurnTracker::new();
        fill(&mut tracker, TimeMs(0), RequestResult::Failed, 1, 10);
        let mut seen = Vec::new();
        for ten_minutes in 1..=80 * 6 {
            let now = TimeMs(ten_minutes * 600_000);
            fill(&mut tracker, now, RequestResult::Answered, 1, 10);
            let burning = tracker.report(now).items[0].rates.map(|rate| rate.rate > 0.0);
            if seen.last().is_none_or(|(last, _)| *last != burning) {
                seen.push((burning, now.0));
            }
        }
        let (t, f) = (true, false);
        assert_eq!(
            seen.iter().map(|(burning, _)| *burning).collect::<Vec<_>>(),
            [[f, t, t, t], [f, f, t, t], [f, f, f, t], [f, f, f, f],]
        );
        let expected = [600_000, HOUR_MS, 6 * HOUR_MS, BUDGET_WINDOW_MS];
        assert_eq!(seen.iter().map(|(_, since)| *since).collect::<Vec<_>>(), expected);
    }

    /// Guards against a projection that uses the wrong window length. A burn rate of 10 for one hour uses 10 of the
    /// budget's 72 hours, and the remaining 62 hours last for 6.2 hours at that rate.
    #[test]
    fn exhaustion_is_projected_from_budget_and_rate() {
        let mut tracker = BurnTracker::new();
        for minute in 0..60 {
            fill(&mut tracker, TimeMs(minute * 60_000), RequestResult::Answered, 1, 90);
            fill(&mut tracker, TimeMs(minute * 60_000), RequestResult::Failed, 1, 10);
        }
        let item = &tracker.report(TimeMs(HOUR_MS)).items[0];
        assert!((item.budget_left_ratio - (1.0 - 10.0 / 72.0)).abs() < 1e-9, "{}", item.budget_left_ratio);
        let expected_ms = (62.0 / 10.0 * HOUR_MS as f64) as u64;
        assert!(item.exhausted_in_ms.is_some_and(|ms| ms.abs_diff(expected_ms) < 1_000), "{:?}", item.exhausted_in_ms);
        assert_eq!(item.alert, Alert::Fast);
    }

    /// Guards against quantiles that are averaged over entries, which hides the slow requests of one entry.
    #[test]
    fn a_merge_preserves_tail_latencies() {
        let (mut all, mut ours, mut theirs) = (BurnTracker::new(), BurnTracker::new(), BurnTracker::new());
        let theirs_epoch = 50 * HOUR_MS;
        for i in 0..1_000u64 {
            let latency_ms = if i % 100 == 7 { 60_000 + i } else { 1 + i % 50 };
            fill(&mut all, TimeMs(i), RequestResult::Answered, latency_ms, 1);
            if i % 100 == 7 {
                fill(&mut theirs, TimeMs(theirs_epoch + i), RequestResult::Answered, latency_ms, 1);
            } else {
                fill(&mut ours, TimeMs(i), RequestResult::Answered, latency_ms, 1);
            }
        }
        let bytes = theirs.to_bytes().expect("serializable");
        let copy = BurnTracker::from_bytes(&bytes).expect("decodes");
        ours.merge(TimeMs(1_000), &copy, TimeMs(theirs_epoch + 1_000), 0);
        let (all, merged) = (all.report(TimeMs(1_000)), ours.report(TimeMs(1_000)));
        assert_eq!(all.items[0].latency, merged.items[0].latency);
        assert_eq!(all.items[0].counts, merged.items[0].counts);
        assert!(merged.items[0].latency.is_some_and(|l| l.p999_us >= 60_000_000));
    }

    /// Guards against counts that are lost in a merge because they are older than the receiving process.
    #[test]
    fn counts_older_than_the_process_are_merged() {
        let (mut young, mut old) = (BurnTracker::new(), BurnTracker::new());
        fill(&mut old, TimeMs(HOUR_MS), RequestResult::Failed, 1, 5);
        young.merge(TimeMs(10), &old, TimeMs(40 * HOUR_MS), 0);
        let item = &young.report(TimeMs(10)).items[0];
        assert_eq!((item.counts.bad, item.rates[0].requests), (5, 0));
        assert_eq!(item.observed_ms, 39 * HOUR_MS);
    }

    /// Guards against memory that grows with the number of teams that ever sent a request.
    #[test]
    fn keys_are_bounded_and_idle_ones_are_replaced() {
        let mut tracker = BurnTracker::new().with_max_keys(1);
        let good = Observation::new(RequestResult::Answered, 1);
        tracker.observe(TimeMs(0), &key("a"), slo(), &good);
        tracker.observe(TimeMs(1), &key("b"), slo(), &good);
        assert_eq!((tracker.untracked(), tracker.report(TimeMs(1)).items.len()), (1, 1));
        tracker.observe(TimeMs(BUDGET_WINDOW_MS + HOUR_MS), &key("b"), slo(), &good);
        assert_eq!(tracker.report(TimeMs(BUDGET_WINDOW_MS + HOUR_MS)).items[0].key, key("b"));
    }

    /// Guards against a report without the causes of missed SLOs and the actions taken against them.
    #[test]
    fn causes_and_actions_are_counted_together() {
        let mut tracker = BurnTracker::new();
        let zone = Cause::ZoneOut { availability_zone: AvailabilityZone::new("az-1").expect("valid id") };
        let noisy = Cause::Interference { profile: ProfileName::new("master").expect("valid id") };
        for (cause, times) in [(&zone, 1), (&noisy, 3)] {
            for _ in 0..times {
                let refused = Observation::new(RequestResult::Refused, 0).with_cause(cause.clone());
                tracker.observe(TimeMs(0), &key("previews"), slo(), &refused);
            }
        }
        tracker.record_action(TimeMs(0), &key("previews"), &noisy, Action::Throttled);
        let causes = &tracker.report(TimeMs(0)).items[0].causes;
        assert_eq!(causes[0].cause, noisy);
        assert_eq!((causes[0].requests, causes[0].actions.get(&Action::Throttled)), (3, Some(&1)));
        assert_eq!((&causes[1].cause, causes[1].requests), (&zone, 1));
    }
}
