/*!
Throttles background tasks to protect the tail latency of the serving tasks on their host.

The increase of a tail latency by background tasks is estimated from their processor use and from the table of pairs
that the leader has learned (see [`image_interference`](super::image_interference)). The remainder is the baseline
latency of the serving task, and the distance from the baseline to the goal is its headroom. Background images run at
full speed unless a headroom is exceeded. The images with the most interference per processor are then throttled first,
which costs the least work.

The table can be wrong, so two rules work without it. If a latency stays above its target, all background tasks are
paused. If it stays above while they are paused, they are not the cause, and they run at full speed for a while.
*/

use std::collections::BTreeMap;

use super::{
    image_interference::{Change, Pair, PairTable, growth_milli},
    spec::TaskRef,
};
use crate::units::TimeMs;

/// The share of its target that a tail latency should stay below, in percent. Measurements are coarse, and a target
/// missed because of background tasks weighs four times as much.
const GOAL_PERCENT: f32 = 80.0;
/// The time between two decisions, in milliseconds: the period that a measurement covers.
const DECISION_INTERVAL_MS: u64 = 500;
/// The weight of a measurement above the smoothed baseline of a serving image, in percent. Higher than
/// [`FALL_WEIGHT_PERCENT`], since users suffer from a late reaction to a rise.
const RISE_WEIGHT_PERCENT: f32 = 85.0;
/// The weight of a measurement below the smoothed baseline of a serving image, in percent.
const FALL_WEIGHT_PERCENT: f32 = 50.0;
/// Smaller shares of full speed are rounded down to 0, in percent.
const MIN_PERCENT: u8 = 10;
/// Smaller changes of an image's share of full speed are not applied, in percentage points, since each change costs a
/// call to the endpoint.
const MIN_CHANGE_PERCENT: u8 = 10;
/// An image that adds less than this to the logarithm of a tail latency is not throttled for it, in thousandths.
const NEGLIGIBLE_MILLI: f32 = 30.0;
/// Smaller changes of an image's processor use are not reported to the leader, in thousandths of the host.
const MIN_USE_CHANGE_MILLI: i32 = 15;
/// Smaller changes of a headroom are not reported to the leader, in thousandths of the logarithm.
const MIN_HEADROOM_CHANGE_MILLI: i32 = 50;
/// The minimum share at which an image's demand at full speed is extrapolated from its processor use, in percent.
const MIN_EXTRAPOLATION_PERCENT: u8 = 25;
/// The number of consecutive decisions with a latency above its target after which all background tasks are paused.
/// This time, the pause and the release that follow add up to less than the 4 s that the platform tolerates.
const PAUSE_AFTER_DECISIONS: u32 = 3;
/// The pause of background tasks after which a latency that is still above its target is not attributed to them, in
/// milliseconds: two measurements.
const PAUSE_MS: u64 = 1_000;
/// How long background tasks run at full speed after a pause that did not help, in milliseconds.
const RELEASE_MS: u64 = 1_500;
/// Above this number of pairs of images, those whose images are not on the host are evicted. A host runs tens of images
/// at a time.
const MAX_PAIRS: usize = 1_024;

/// By how much background tasks may raise the logarithm of the tail latency of each serving image before it reaches the
/// goal, in thousandths. Negative if the baseline alone exceeds the goal.
pub type Headroom = BTreeMap<String, i32>;

/// The share of its full speed at which each background image runs, in percent. Missing images run at full speed.
pub type Paces = BTreeMap<String, u8>;

/// The latest measurement of a serving task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingReading {
    /// The serving task.
    pub task: TaskRef,
    /// The image that the task runs.
    pub image: String,
    /// The tail latency in milliseconds; 0 if there is no measurement.
    pub tail_ms: u32,
    /// The bound on the tail latency, in milliseconds.
    pub target_ms: u32,
}

/// The latest measurement of a background task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackgroundReading {
    /// The image that the task runs.
    pub image: String,
    /// The processors that the task uses, in thousandths of a core.
    pub used_cpu_milli: u32,
    /// The processors that the task requested, in thousandths of a core.
    pub requested_cpu_milli: u32,
}

/// The results of a decision, to be reported to the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PacerOutput {
    /// The simultaneous changes of tail latencies and background load since the previous measurement.
    pub changes: Vec<Change>,
    /// All headrooms, if one of them changed by enough to be reported.
    pub headroom: Option<Headroom>,
    /// The share of full speed of each background image, if one of them changed.
    pub paces: Option<Paces>,
}

/// The processors of a background image, as fractions of the host's processors.
#[derive(Debug, Clone, Copy, Default)]
struct CpuShares {
    used: f32,
    /// The estimated use at full speed.
    demand: f32,
}

/// The reaction to latencies above their targets, which does not depend on the table of pairs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TargetState {
    /// A latency was above its target at this many consecutive decisions, possibly none.
    Above(u32),
    /// All background tasks have been paused since this time.
    Paused { since: TimeMs },
    /// Background tasks are not the cause and run at full speed until this time.
    Released { until: TimeMs },
}

/// Decides how far the background images on a host are throttled.
#[derive(Debug, Clone)]
pub struct Pacer {
    table: PairTable,
    percents: Paces,
    /// The smoothed logarithm of the ratio of latency to target for each serving image, without the estimated increase
    /// by background tasks.
    baselines: BTreeMap<String, f32>,
    target_state: TargetState,
    next_decision_at: TimeMs,
    last_tails: BTreeMap<TaskRef, u32>,
    last_used: BTreeMap<String, f32>,
    reported_headroom: Headroom,
}

impl Pacer {
    /// A pacer with an empty table, which lets all background tasks run at full speed.
    pub fn new() -> Self {
        Self {
            table: PairTable::new(),
            percents: Paces::new(),
            baselines: BTreeMap::new(),
            target_state: TargetState::Above(0),
            next_decision_at: TimeMs::default(),
            last_tails: BTreeMap::new(),
            last_used: BTreeMap::new(),
            reported_headroom: Headroom::new(),
        }
    }

    /// Resets all state except the table of pairs, after the endpoint has restarted and its tasks have ended.
    pub fn reset(&mut self) {
        *self = Self { table: std::mem::take(&mut self.table), ..Self::new() };
    }

    /// The share of full speed at which the tasks of an image should run, in percent.
    pub fn percent(&self, image: &str) -> u8 {
        self.percents.get(image).copied().unwrap_or(100)
    }

    /// The share of full speed of each background image on the host, in percent.
    pub fn paces(&self) -> &Paces {
        &self.percents
    }

    /// The growth of pairs of images as received from the leader.
    pub fn pair_table(&self) -> &PairTable {
        &self.table
    }

    /// The latest reported headrooms.
    pub fn headroom(&self) -> &Headroom {
        &self.reported_headroom
    }

    /// Merges the growth of pairs of images, as received from the leader, into the table. Above `MAX_PAIRS`, evicts the
    /// pairs whose images are not on the host.
    pub fn update_pair_table(&mut self, table: PairTable) {
        self.table.extend(table);
        if self.table.len() > MAX_PAIRS {
            self.table.retain(|pair, _| {
                self.last_used.contains_key(&pair.background) || self.baselines.contains_key(&pair.serving)
            });
        }
    }

    /// Decides on the shares of full speed from the measurements of all tasks on the host. `host_cpu_milli` is the
    /// host's number of processors in thousandths of a core. Returns an empty output if the previous decision was less
    /// than `DECISION_INTERVAL_MS` ago. Linear in the number of tasks and in the number of pairs of their images.
    pub fn observe(
        &mut self,
        host_cpu_milli: u32,
        serving: &[ServingReading],
        background: &[BackgroundReading],
        now: TimeMs,
    ) -> PacerOutput {
        if now < self.next_decision_at || host_cpu_milli == 0 {
            return PacerOutput::default();
        }
        self.next_decision_at = now.plus_ms(DECISION_INTERVAL_MS);
        let shares = self.cpu_shares(host_cpu_milli, background);
        let changes = self.changes(serving, &shares);
        let worst = self.update_baselines(serving, &shares);
        self.target_state = self.next_target_state(worst, now);
        let percents = match self.target_state {
            TargetState::Above(_) => self.percents_within_headroom(&shares),
            TargetState::Paused { .. } => shares.keys().map(|image| (image.clone(), 0)).collect(),
            TargetState::Released { .. } => Paces::new(),
        };
        let paces = (percents != self.percents).then(|| percents.clone());
        self.percents = percents;
        PacerOutput { changes, headroom: self.changed_headroom(), paces }
    }

    fn cpu_shares(&self, host_cpu_milli: u32, background: &[BackgroundReading]) -> BTreeMap<String, CpuShares> {
        let mut shares = BTreeMap::<_, CpuShares>::new();
        for reading in background {
            let percent = self.percent(&reading.image);
            let demand_milli = if percent >= MIN_EXTRAPOLATION_PERCENT && reading.used_cpu_milli > 0 {
                // Requests are inaccurate; a task uses up to twice the processors that it requested.
                let extrapolated_milli = reading.used_cpu_milli.saturating_mul(100) / u32::from(percent);
                extrapolated_milli.min(reading.requested_cpu_milli.saturating_mul(2))
            } else {
                reading.requested_cpu_milli
            };
            let share = shares.entry(reading.image.clone()).or_default();
            share.used += reading.used_cpu_milli as f32 / host_cpu_milli as f32;
            share.demand += demand_milli as f32 / host_cpu_milli as f32;
        }
        shares
    }

    /// Compares the measurements with the previous ones. Empty if the background load has hardly changed.
    fn changes(&mut self, serving: &[ServingReading], shares: &BTreeMap<String, CpuShares>) -> Vec<Change> {
        let used: BTreeMap<_, _> = shares.iter().map(|(image, share)| (image.clone(), share.used)).collect();
        let tails: BTreeMap<_, _> = serving.iter().map(|reading| (reading.task, reading.tail_ms)).collect();
        let last_used = std::mem::replace(&mut self.last_used, used);
        let last_tails = std::mem::replace(&mut self.last_tails, tails);
        let images = last_used.keys().chain(self.last_used.keys().filter(|image| !last_used.contains_key(*image)));
        let shares_milli: Vec<_> = images
            .map(|image| {
                let share = |used: &BTreeMap<String, f32>| used.get(image).copied().unwrap_or_default();
                (image.clone(), ((share(&self.last_used) - share(&last_used)) * 1_000.0) as i32)
            })
            .filter(|(_, change_milli)| change_milli.abs() >= MIN_USE_CHANGE_MILLI)
            .collect();
        if shares_milli.is_empty() {
            return Vec::new();
        }
        let mut latency_growths = BTreeMap::<&str, (f32, f32)>::new();
        for reading in serving {
            let Some(&last_ms) = last_tails.get(&reading.task) else { continue };
            if last_ms > 0 && reading.tail_ms > 0 {
                let (sum, count) = latency_growths.entry(&reading.image).or_default();
                *sum += (reading.tail_ms as f32 / last_ms as f32).ln();
                *count += 1.0;
            }
        }
        latency_growths
            .into_iter()
            .map(|(image, (sum, count))| Change {
                serving: image.to_owned(),
                growth_milli: (sum / count * 1_000.0) as i32,
                shares_milli: shares_milli.clone(),
            })
            .collect()
    }

    /// Updates the smoothed baselines of serving images. Returns the logarithm of the highest ratio of latency to
    /// target.
    fn update_baselines(&mut self, serving: &[ServingReading], shares: &BTreeMap<String, CpuShares>) -> f32 {
        let mut levels = BTreeMap::<&str, f32>::new();
        for reading in serving.iter().filter(|reading| reading.tail_ms > 0) {
            let level = (reading.tail_ms as f32 / reading.target_ms.max(1) as f32).ln();
            let worst = levels.entry(&reading.image).or_insert(level);
            *worst = worst.max(level);
        }
        self.baselines.retain(|image, _| levels.contains_key(image.as_str()));
        let mut worst = f32::NEG_INFINITY;
        for (image, level) in levels {
            worst = worst.max(level);
            let added: f32 = shares.iter().map(|(background, share)| self.growth(background, image) * share.used).sum();
            let baseline = self.baselines.entry(image.to_owned()).or_insert(level - added);
            let change = level - added - *baseline;
            let weight_percent = if change > 0.0 { RISE_WEIGHT_PERCENT } else { FALL_WEIGHT_PERCENT };
            *baseline += change * weight_percent / 100.0;
        }
        worst
    }

    fn next_target_state(&self, worst: f32, now: TimeMs) -> TargetState {
        let above = worst > 0.0;
        match self.target_state {
            TargetState::Released { until } if now < until => self.target_state,
            TargetState::Paused { since } if above => {
                if now.since_ms(since) >= PAUSE_MS {
                    TargetState::Released { until: now.plus_ms(RELEASE_MS) }
                } else {
                    self.target_state
                }
            }
            TargetState::Above(count) if above && count + 1 >= PAUSE_AFTER_DECISIONS => {
                TargetState::Paused { since: now }
            }
            TargetState::Above(count) if above => TargetState::Above(count + 1),
            TargetState::Released { .. } if above => TargetState::Above(1),
            _ => TargetState::Above(0),
        }
    }

    /// The largest shares in percent that keep each serving image within its headroom.
    fn percents_within_headroom(&self, shares: &BTreeMap<String, CpuShares>) -> Paces {
        let mut percents: BTreeMap<&str, f32> = shares.keys().map(|image| (image.as_str(), 100.0)).collect();
        for (serving, baseline) in &self.baselines {
            let headroom = headroom(*baseline).max(0.0);
            let mut interfering: Vec<_> = shares
                .iter()
                .map(|(image, share)| (image.as_str(), self.growth(image, serving), share.demand))
                .filter(|(_, growth, demand)| growth * demand * 1_000.0 >= NEGLIGIBLE_MILLI)
                .collect();
            interfering.sort_by(|a, b| b.1.total_cmp(&a.1));
            let mut excess = interfering
                .iter()
                .map(|(image, growth, demand)| growth * demand * percents[image] / 100.0)
                .sum::<f32>()
                - headroom;
            for (image, growth, demand) in interfering {
                if excess <= 0.0 {
                    break;
                }
                let Some(percent) = percents.get_mut(image) else { continue };
                let cut = (excess / (growth * demand) * 100.0).min(*percent);
                *percent -= cut;
                excess -= growth * demand * cut / 100.0;
            }
        }
        percents.into_iter().map(|(image, percent)| (image.to_owned(), self.with_hysteresis(image, percent))).collect()
    }

    /// Rounds a share and applies hysteresis: changes below [`MIN_CHANGE_PERCENT`] are dropped.
    fn with_hysteresis(&self, image: &str, percent: f32) -> u8 {
        let current = self.percent(image);
        match percent as u8 {
            percent if percent < MIN_PERCENT => 0,
            percent if percent >= 100 => 100,
            percent if percent.abs_diff(current) < MIN_CHANGE_PERCENT && current > 0 => current,
            percent => percent,
        }
    }

    /// The growth of a pair of images as a natural logarithm; see [`PairTable`].
    fn growth(&self, background: &str, serving: &str) -> f32 {
        let pair = Pair { background: background.to_owned(), serving: serving.to_owned() };
        growth_milli(&self.table, &pair) as f32 / 1_000.0
    }

    fn changed_headroom(&mut self) -> Option<Headroom> {
        let headroom: Headroom =
            self.baselines.iter().map(|(image, level)| (image.clone(), (headroom(*level) * 1_000.0) as i32)).collect();
        let unchanged = headroom.len() == self.reported_headroom.len()
            && headroom.iter().all(|(image, milli)| {
                self.reported_headroom
                    .get(image)
                    .is_some_and(|last| last.abs_diff(*milli) < MIN_HEADROOM_CHANGE_MILLI as u32)
            });
        if unchanged {
            return None;
        }
        self.reported_headroom = headroom.clone();
        Some(headroom)
    }
}

/// The headroom of a serving image, as a natural logarithm, from the logarithm of the ratio of its baseline to its
/// target.
fn headroom(baseline: f32) -> f32 {
    (GOAL_PERCENT / 100.0).ln() - baseline
}

impl Default for Pacer {
    fn default() -> Self {
        Self::new()
    }
}
