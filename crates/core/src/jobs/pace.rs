/*!
Throttles background tasks to protect the tail latency of the serving tasks on their host.

The increase of a tail latency by background tasks is estimated from their processor use and from the table of pairs
that the leader has learned (see [`image_interference`](super::image_interference)). The remainder is the baseline
latency of the serving task, which follows its own load; tasks of one image have different loads. The module `cost`
weighs what background tasks lose by running slower against the serving tasks that they would push above their targets.
The table can be wrong, so the module `guard` limits how long a latency stays above its target without using it.
*/

use std::collections::BTreeMap;

use super::{
    image_interference::{Change, Pair, PairTable, growth_milli},
    spec::TaskRef,
};
use crate::units::TimeMs;

mod cost;
mod guard;

use cost::{Aggressor, Victim};
use guard::TargetGuard;

/// The share of its target up to which the headroom of a tail latency counts for the placement of background tasks, in
/// percent. Measurements are coarse, and the load of a serving task swings.
const GOAL_PERCENT: f32 = 80.0;
/// The time between two decisions, in milliseconds: the period that a measurement covers.
const DECISION_INTERVAL_MS: u64 = 500;
/// The weight of a measurement above the smoothed baseline of a serving image, in percent. Higher than
/// [`FALL_WEIGHT_PERCENT`], since users suffer from a late reaction to a rise.
const RISE_WEIGHT_PERCENT: f32 = 85.0;
/// The weight of a measurement below the smoothed baseline of a serving image, in percent.
const FALL_WEIGHT_PERCENT: f32 = 50.0;
/// Smaller changes of an image's processor use are not reported to the leader, in thousandths of the host.
const MIN_USE_CHANGE_MILLI: i32 = 15;
/// Smaller changes of a headroom are not reported to the leader, in thousandths of the logarithm.
const MIN_HEADROOM_CHANGE_MILLI: i32 = 50;
/// The minimum share at which an image's demand at full speed is extrapolated from its processor use, in percent.
const MIN_EXTRAPOLATION_PERCENT: u8 = 25;
/// The headroom of a task whose latency is at its target, in thousandths: the logarithm of [`GOAL_PERCENT`].
const ABOVE_TARGET_MILLI: i32 = -223;
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
    /// The processors that the task requested, in thousandths of a core.
    pub requested_cpu_milli: u32,
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

/// What is known of a serving task.
#[derive(Debug, Clone)]
struct ServingTask {
    image: String,
    /// The requested processors, as a fraction of the host's.
    cpu_share: f32,
    /// The smoothed logarithm of the ratio of latency to target, without the estimated increase by background tasks.
    baseline: f32,
    guard: TargetGuard,
}

/// Decides how far the background images on a host are throttled.
#[derive(Debug, Clone)]
pub struct Pacer {
    table: PairTable,
    percents: Paces,
    serving: BTreeMap<TaskRef, ServingTask>,
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
            serving: BTreeMap::new(),
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
            let (used, serving) = (&self.last_used, &self.serving);
            self.table.retain(|pair, _| {
                used.contains_key(&pair.background) || serving.values().any(|task| task.image == pair.serving)
            });
        }
    }

    /// Decides on the shares of full speed from the measurements of all tasks on the host. `host_cpu_milli` is the
    /// host's number of processors in thousandths of a core. Returns an empty output if the previous decision was less
    /// than `DECISION_INTERVAL_MS` ago. Linear in the number of serving tasks times the square of the number of background images
    /// that disturb any of them.
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
        self.update_serving(host_cpu_milli, serving, &shares, now);
        let percents = if self.serving.values().any(|task| task.guard.requires_pause()) {
            shares.keys().map(|image| (image.clone(), 0)).collect()
        } else {
            self.cheapest_percents(&shares, now)
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

    /// Updates the baselines and guards of the serving tasks. Tasks without a measurement are forgotten.
    fn update_serving(
        &mut self,
        host_cpu_milli: u32,
        serving: &[ServingReading],
        shares: &BTreeMap<String, CpuShares>,
        now: TimeMs,
    ) {
        let measured: BTreeMap<_, _> =
            serving.iter().filter(|reading| reading.tail_ms > 0).map(|reading| (reading.task, reading)).collect();
        self.serving.retain(|task, _| measured.contains_key(task));
        for (task, reading) in measured {
            let level = (reading.tail_ms as f32 / reading.target_ms.max(1) as f32).ln();
            let added: f32 =
                shares.iter().map(|(background, share)| self.growth(background, &reading.image) * share.used).sum();
            let known = self.serving.entry(task).or_insert_with(|| ServingTask {
                image: reading.image.clone(),
                cpu_share: reading.requested_cpu_milli as f32 / host_cpu_milli as f32,
                baseline: level - added,
                guard: TargetGuard::default(),
            });
            let change = level - added - known.baseline;
            let weight_percent = if change > 0.0 { RISE_WEIGHT_PERCENT } else { FALL_WEIGHT_PERCENT };
            known.baseline += change * weight_percent / 100.0;
            known.guard.observe(level > 0.0, now);
        }
    }

    /// The shares of full speed with the lowest expected cost, in percent.
    fn cheapest_percents(&self, shares: &BTreeMap<String, CpuShares>, now: TimeMs) -> Paces {
        let victims: Vec<_> = self
            .serving
            .values()
            .map(|task| Victim {
                baseline: task.baseline,
                cpu_share: task.cpu_share,
                protected: task.guard.is_protected(now),
            })
            .collect();
        let aggressors: Vec<_> = shares
            .iter()
            .map(|(image, share)| Aggressor {
                demand: share.demand,
                effects: self.serving.values().map(|task| self.growth(image, &task.image) * share.demand).collect(),
                percent: self.percent(image),
            })
            .collect();
        shares.keys().cloned().zip(cost::cheapest_percents(&victims, &aggressors)).collect()
    }

    /// The growth of a pair of images as a natural logarithm; see [`PairTable`].
    fn growth(&self, background: &str, serving: &str) -> f32 {
        let pair = Pair { background: background.to_owned(), serving: serving.to_owned() };
        growth_milli(&self.table, &pair) as f32 / 1_000.0
    }

    fn changed_headroom(&mut self) -> Option<Headroom> {
        let mut headroom = Headroom::new();
        for task in self.serving.values() {
            let milli = (headroom_of(task.baseline) * 1_000.0) as i32;
            let least = headroom.entry(task.image.clone()).or_insert(milli);
            // A task above its target by its own load gains nothing from background tasks that stay away. It counts only
            // if there is no other of its image.
            if *least < ABOVE_TARGET_MILLI || task.baseline <= 0.0 && milli < *least {
                *least = milli;
            }
        }
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
fn headroom_of(baseline: f32) -> f32 {
    (GOAL_PERCENT / 100.0).ln() - baseline
}

impl Default for Pacer {
    fn default() -> Self {
        Self::new()
    }
}
