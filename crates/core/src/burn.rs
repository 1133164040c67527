/*!
How fast services use up their error budgets, and why.

A [`BurnTracker`] counts requests per service, profile and team. Requests that fail, come late or are refused count against
the SLO, and so do tasks that start late. The counts are kept in rings of fixed size, so that memory depends on the
number of keys alone. The error budget is for [`BUDGET_WINDOW_MS`].

Every entry keeps a book of its own. [`BurnTracker::merge`] adds the copy of another entry: counts by their age, and
latencies bucket by bucket, so that quantiles of the merged book are those of all requests together.

```
use fescuelead_core::{
    burn::{BurnTracker, BurnKey, Observation, RequestResult, Slo},
    ids::{ProfileName, ServiceName, TeamId},
    units::TimeMs,
};

let key = BurnKey::new(ServiceName::new("previews")?, ProfileName::new("store-preview")?, TeamId::new("labels")?);
let slo = Slo::new(0.99, 150);
let mut book = BurnTracker::new();
for latency_ms in 1..=100 {
    book.observe(TimeMs(latency_ms), &key, slo, &Observation::new(RequestResult::Answered, latency_ms * 2_000));
}
let report = book.report(TimeMs(100));
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
mod track;

use self::track::Track;
pub use self::{
    cause::{Action, Cause, CauseCount},
    latency::{Latency, LatencyQuantiles},
    report::{Alert, BurnItem, BurnPoint, BurnRate, BurnReport},
    ring::{Merge, Ring},
    track::{BURN_WINDOWS_MS, Counts},
};

/// The span that an error budget is for: 3 days.
pub const BUDGET_WINDOW_MS: u64 = 3 * 24 * 3_600_000;
/// The keys that a book follows unless told otherwise: 220 teams with a few services each, at some 20 KB a key.
pub const DEFAULT_MAX_KEYS: usize = 2_048;

/// What is counted together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BurnKey {
    /// The service.
    pub service: ServiceName,
    /// The profile.
    pub profile: ProfileName,
    /// The team.
    pub team: TeamId,
}

impl BurnKey {
    /// Names a service under a profile for a team.
    pub fn new(service: ServiceName, profile: ProfileName, team: TeamId) -> Self {
        Self { service, profile, team }
    }
}

/// A service-level objective.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Slo {
    /// The share of requests that must meet it, above 0 and below 1.
    pub target: f64,
    /// Requests slower than this do not meet it.
    pub latency_ms: u64,
}

impl Slo {
    /// Makes an objective.
    pub fn new(target: f64, latency_ms: u64) -> Self {
        Self { target, latency_ms }
    }

    /// The share of requests that may miss it.
    pub fn allowed_ratio(&self) -> f64 {
        // A target of 1 would make every rate infinite; profiles refuse it, but a peer's copy is not checked.
        (1.0 - self.target).max(1e-9)
    }
}

impl From<&Profile> for Slo {
    fn from(profile: &Profile) -> Self {
        Self::new(profile.slo_target, profile.slo_latency_ms)
    }
}

data_types! {
    /// How a request ended, or a task's start.
    #[derive(Copy)]
    pub enum RequestResult {
        /// It was answered, or the task started.
        Answered,
        /// It was refused as *not run*.
        Refused,
        /// It ran and failed.
        Failed,
        /// It is unknown whether it ran.
        Unknown,
    }

    /// One request, or one start of a task.
    pub struct Observation {
        /// How it ended.
        pub result: RequestResult,
        /// From its arrival to its end, in microseconds.
        pub latency_us: u64,
        /// What made it miss the SLO, if that is known.
        pub cause: Option<Cause>,
    }
}

impl Observation {
    /// Makes an observation without a known cause.
    pub fn new(result: RequestResult, latency_us: u64) -> Self {
        Self { result, latency_us, cause: None }
    }

    /// Sets what made it miss the SLO.
    pub fn with_cause(self, cause: Cause) -> Self {
        Self { cause: Some(cause), ..self }
    }
}

/// The SLO windows of all keys that one entry has seen.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BurnTracker {
    tracks: BTreeMap<BurnKey, Track>,
    max_keys: usize,
    untracked: u64,
}

impl Default for BurnTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl BurnTracker {
    /// An empty book for [`DEFAULT_MAX_KEYS`] keys.
    pub fn new() -> Self {
        Self { tracks: BTreeMap::new(), max_keys: DEFAULT_MAX_KEYS, untracked: 0 }
    }

    /// Sets the number of keys that are followed. Requests of others are counted as untracked.
    pub fn with_max_keys(self, max_keys: usize) -> Self {
        Self { max_keys, ..self }
    }

    /// Requests that were not counted because too many keys were in use.
    pub fn untracked(&self) -> u64 {
        self.untracked
    }

    /// Counts a request. Logarithmic in the number of keys.
    pub fn observe(&mut self, now: TimeMs, key: &BurnKey, slo: Slo, observation: &Observation) {
        match self.track(now, key, slo) {
            Some(track) => track.observe(now, slo, observation),
            None => self.untracked += 1,
        }
    }

    /// Counts what was done about a cause. Does nothing for a key without requests.
    pub fn record_action(&mut self, now: TimeMs, key: &BurnKey, cause: &Cause, action: Action) {
        if let Some(track) = self.tracks.get_mut(key) {
            track.act(now, cause, action);
        }
    }

    /// Adds the copy of another entry's book, which is `age_ms` old. `taken` is the time of the copy on the clock of its
    /// process. Adding the same book twice counts it twice, so merge into a clone. Linear in the size of the copy.
    pub fn merge(&mut self, now: TimeMs, other: &Self, taken: TimeMs, age_ms: u64) {
        self.untracked += other.untracked;
        for (key, theirs) in &other.tracks {
            match self.track(now, key, theirs.slo()) {
                Some(ours) => ours.merge(now, theirs, taken, age_ms),
                None => self.untracked += theirs.counts(taken, BUDGET_WINDOW_MS).total(),
            }
        }
    }

    /// The bytes of a copy for another entry. Nothing is lost, histograms included. Linear in the number of keys.
    ///
    /// # Errors
    ///
    /// Fails if the book cannot be encoded.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Reads the copy of another entry.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no book, or one of another version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Drops keys without requests in the budget window. Linear in the number of keys.
    pub fn drop_idle(&mut self, now: TimeMs) {
        self.tracks.retain(|_, track| !track.is_idle(now));
    }

    /// The state of all keys, the highest burn over an hour first. Linear in the number of keys.
    pub fn report(&self, now: TimeMs) -> BurnReport {
        let mut items: Vec<_> = self.tracks.iter().map(|(key, track)| report::item(now, key, track)).collect();
        items.sort_by(|a, b| b.hour_rate().total_cmp(&a.hour_rate()));
        BurnReport { items, untracked: self.untracked }
    }

    fn track(&mut self, now: TimeMs, key: &BurnKey, slo: Slo) -> Option<&mut Track> {
        if !self.tracks.contains_key(key) {
            if self.tracks.len() >= self.max_keys {
                self.drop_idle(now);
            }
            if self.tracks.len() >= self.max_keys {
                return None;
            }
            self.tracks.insert(key.clone(), Track::new(now, slo));
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

    fn fill(book: &mut BurnTracker, now: TimeMs, result: RequestResult, latency_ms: u64, times: u32) {
        for _ in 0..times {
            book.observe(now, &key("previews"), slo(), &Observation::new(result, latency_ms * 1_000));
        }
    }

    /// Guards against an SLO that looks met because refused and late requests are left out.
    #[test]
    fn late_refused_and_failed_requests_count_against_the_slo() {
        let mut book = BurnTracker::new();
        fill(&mut book, TimeMs(0), RequestResult::Answered, 100, 96);
        fill(&mut book, TimeMs(0), RequestResult::Answered, 101, 1);
        fill(&mut book, TimeMs(0), RequestResult::Refused, 0, 1);
        fill(&mut book, TimeMs(0), RequestResult::Failed, 1, 1);
        fill(&mut book, TimeMs(0), RequestResult::Unknown, 1, 1);
        let item = &book.report(TimeMs(1)).items[0];
        assert_eq!(item.counts, Counts { good: 96, bad: 2, late: 1, refused: 1 });
        assert!((item.rates[0].rate - 4.0).abs() < 1e-9);
        assert_eq!(item.causes, [CauseCount { cause: Cause::Other, requests: 4, actions: BTreeMap::new() }]);
    }

    /// Guards against a short incident that hides in a long window, and against one that never leaves the short one.
    #[test]
    fn each_window_forgets_at_its_own_pace() {
        let mut book = BurnTracker::new();
        fill(&mut book, TimeMs(0), RequestResult::Failed, 1, 10);
        let mut seen = Vec::new();
        for ten_minutes in 1..=80 * 6 {
            let now = TimeMs(ten_minutes * 600_000);
            fill(&mut book, now, RequestResult::Answered, 1, 10);
            let burning = book.report(now).items[0].rates.map(|rate| rate.rate > 0.0);
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

    /// Guards against a projection that is off by the length of the window. A burn rate of 10 for one hour uses 10 of the
    /// budget's 72 hours, and the rest lasts 6.2 hours more.
    #[test]
    fn the_projection_follows_from_budget_and_rate() {
        let mut book = BurnTracker::new();
        for minute in 0..60 {
            fill(&mut book, TimeMs(minute * 60_000), RequestResult::Answered, 1, 90);
            fill(&mut book, TimeMs(minute * 60_000), RequestResult::Failed, 1, 10);
        }
        let item = &book.report(TimeMs(HOUR_MS)).items[0];
        assert!((item.budget_left_ratio - (1.0 - 10.0 / 72.0)).abs() < 1e-9, "{}", item.budget_left_ratio);
        let expected_ms = (62.0 / 10.0 * HOUR_MS as f64) as u64;
        assert!(item.exhausted_in_ms.is_some_and(|ms| ms.abs_diff(expected_ms) < 1_000), "{:?}", item.exhausted_in_ms);
        assert_eq!(item.alert, Alert::Fast);
    }

    /// Guards against quantiles that are averaged over entries and so lose the slow requests of one of them.
    #[test]
    fn the_tail_survives_a_merge() {
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
        let copy = BurnTracker::from_bytes(&bytes).expect("the same book");
        ours.merge(TimeMs(1_000), &copy, TimeMs(theirs_epoch + 1_000), 0);
        let (all, merged) = (all.report(TimeMs(1_000)), ours.report(TimeMs(1_000)));
        assert_eq!(all.items[0].latency, merged.items[0].latency);
        assert_eq!(all.items[0].counts, merged.items[0].counts);
        assert!(merged.items[0].latency.is_some_and(|l| l.p999_us >= 60_000_000));
    }

    /// Guards against history that is lost because the receiving process is younger than it.
    #[test]
    fn a_young_process_takes_older_history() {
        let (mut young, mut old) = (BurnTracker::new(), BurnTracker::new());
        fill(&mut old, TimeMs(HOUR_MS), RequestResult::Failed, 1, 5);
        young.merge(TimeMs(10), &old, TimeMs(40 * HOUR_MS), 0);
        let item = &young.report(TimeMs(10)).items[0];
        assert_eq!((item.counts.bad, item.rates[0].requests), (5, 0));
        assert_eq!(item.observed_ms, 39 * HOUR_MS);
    }

    /// Guards against memory that grows with the number of teams that ever sent a request.
    #[test]
    fn keys_are_bounded_and_idle_ones_make_room() {
        let mut book = BurnTracker::new().with_max_keys(1);
        let good = Observation::new(RequestResult::Answered, 1);
        book.observe(TimeMs(0), &key("a"), slo(), &good);
        book.observe(TimeMs(1), &key("b"), slo(), &good);
        assert_eq!((book.untracked(), book.report(TimeMs(1)).items.len()), (1, 1));
        book.observe(TimeMs(BUDGET_WINDOW_MS + HOUR_MS), &key("b"), slo(), &good);
        assert_eq!(book.report(TimeMs(BUDGET_WINDOW_MS + HOUR_MS)).items[0].key, key("b"));
    }

    /// Guards against operators who see that a budget burns, but not why or what was done.
    #[test]
    fn causes_and_actions_are_counted_together() {
        let mut book = BurnTracker::new();
        let zone = Cause::ZoneOut { availability_zone: AvailabilityZone::new("az-1").expect("valid id") };
        let noisy = Cause::Interference { profile: ProfileName::new("master").expect("valid id") };
        for (cause, times) in [(&zone, 1), (&noisy, 3)] {
            for _ in 0..times {
                let refused = Observation::new(RequestResult::Refused, 0).with_cause(cause.clone());
                book.observe(TimeMs(0), &key("previews"), slo(), &refused);
            }
        }
        book.record_action(TimeMs(0), &key("previews"), &noisy, Action::Throttled);
        let causes = &book.report(TimeMs(0)).items[0].causes;
        assert_eq!(causes[0].cause, noisy);
        assert_eq!((causes[0].requests, causes[0].actions.get(&Action::Throttled)), (3, Some(&1)));
        assert_eq!((&causes[1].cause, causes[1].requests), (&zone, 1));
    }
}
