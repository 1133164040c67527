/*!
How far background tasks are slowed for the sake of the tasks that serve beside them.

What background tasks add to a tail latency is estimated from what they use and from the table of pairs that the leader has
learned (see [`image_interference`](super::image_interference)); the rest is the undisturbed latency of the serving task. What is left between that and
the goal is its headroom. Each background image runs at full speed unless a headroom is exceeded; then the images that disturb most
for the processors they use are slowed first, as that costs the least work.

The table can be wrong, so two rules do without it. A latency that stays above its target stops all background tasks. A
latency that stays above it while they are paused is not their effect; they then run for a while, as pausing them helps
nobody.
*/

use std::collections::BTreeMap;

use super::{
    image_interference::{Change, Pair, PairTable, growth_milli},
    spec::TaskRef,
};
use crate::units::TimeMs;

/// The share of its target that a tail latency should stay below, in percent. Readings are rough, and a task above its target
/// because of background tasks counts four times.
const GOAL_PERCENT: f32 = 80.0;
/// The time between two decisions in milliseconds; readings cover half a second.
const SPACING_MS: u64 = 500;
/// The weight of a new reading in the smoothed latency of a serving image, in percent, if it is higher and if it is lower. A rise
/// counts more, since a late reaction to it is paid by users.
const RISE_WEIGHT_PERCENT: f32 = 85.0;
const FALL_WEIGHT_PERCENT: f32 = 50.0;
/// Shares below this become 0, in percent.
const LEAST_PERCENT: u8 = 10;
/// Smaller changes of a share are not worth a call, in percent points.
const STEP_PERCENT: u8 = 10;
/// An image that adds less than this to the logarithm of a tail latency is not slowed for it, in thousandths.
const NEGLIGIBLE_MILLI: f32 = 30.0;
/// Smaller changes of the processors in use teach nothing, in thousandths of the host.
const LEAST_CHANGE_MILLI: i32 = 15;
/// Smaller changes of a headroom are not reported, in thousandths of the logarithm.
const REPORTED_CHANGE_MILLI: i32 = 50;
/// Below this share an image's full use is not worked out from what it uses, in percent.
const EXTRAPOLATED_PERCENT: u8 = 25;
/// After this many decisions in a row above its target, a serving task stops all background tasks beside it. Together with
/// the pause and the release that follow it is less than the time for which the platform lets it suffer, 4 s.
const STOP_AFTER_DECISIONS: u32 = 3;
/// How long background tasks are paused until a latency above the target is not attributed to them, in milliseconds: two
/// readings.
const PAUSE_MS: u64 = 1_000;
/// How long they then run at full speed, in milliseconds.
const RELEASE_MS: u64 = 1_500;
/// Beyond so many pairs those are forgotten whose images are not on the host. A host runs tens of images at a time.
const MAX_PAIRS: usize = 1_024;

/// By how much the logarithm of the tail latency of each serving image may grow by background tasks until it reaches the
/// goal, in thousandths.
pub type Headroom = BTreeMap<String, i32>;

/// The shares at which background images run, in percent. Images that are not named run at full speed.
pub type Paces = BTreeMap<String, u8>;

/// The latest reading of a serving task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingReading {
    /// The task.
    pub task: TaskRef,
    /// Its image.
    pub image: String,
    /// Its tail latency in milliseconds.
    pub tail_ms: u32,
    /// The bound on that in milliseconds.
    pub target_ms: u32,
}

/// The latest reading of a background task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackgroundReading {
    /// Its image.
    pub image: String,
    /// The processors it uses, in thousandths of a core.
    pub used_cpu_milli: u32,
    /// The processors it asked for, in thousandths of a core.
    pub requested_cpu_milli: u32,
}

/// What the leader is to be told.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PacerOutput {
    /// What changed together since the reading before.
    pub changes: Vec<Change>,
    /// The headrooms, if they have changed.
    pub headroom: Option<Headroom>,
    /// The paces, if they have changed.
    pub paces: Option<Paces>,
}

/// The processors of a background image on this host, as shares of the host.
#[derive(Debug, Clone, Copy, Default)]
struct Shares {
    used: f32,
    wanted: f32,
}

/// How long a latency has been above its target, and what was done about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TargetState {
    /// It was above at so many decisions in a row; 0 if it is not.
    Above(u32),
    /// All background tasks are paused since then.
    Paused { since: TimeMs },
    /// Background tasks are not the cause; they run at full speed until then.
    Released { until: TimeMs },
}

/// The shares of background images on one host.
#[derive(Debug, Clone)]
pub struct Pacer {
    table: PairTable,
    percents: Paces,
    /// The logarithm of the latency of each serving image over its target, less what background tasks add.
    undisturbed: BTreeMap<String, f32>,
    target_state: TargetState,
    next: TimeMs,
    last_tails: BTreeMap<TaskRef, u32>,
    last_used: BTreeMap<String, f32>,
    reported: Headroom,
}

impl Pacer {
    /// Background tasks run at full speed, and nothing is known of images.
    pub fn new() -> Self {
        Self {
            table: PairTable::new(),
            percents: Paces::new(),
            undisturbed: BTreeMap::new(),
            target_state: TargetState::Above(0),
            next: TimeMs::default(),
            last_tails: BTreeMap::new(),
            last_used: BTreeMap::new(),
            reported: Headroom::new(),
        }
    }

    /// The endpoint started anew: nothing runs there. What was learned stays.
    pub fn reset(&mut self) {
        *self = Self { table: std::mem::take(&mut self.table), ..Self::new() };
    }

    /// The share at which tasks of an image should run, in percent.
    pub fn percent(&self, image: &str) -> u8 {
        self.percents.get(image).copied().unwrap_or(100)
    }

    /// The shares of all images that run here.
    pub fn paces(&self) -> &Paces {
        &self.percents
    }

    /// What was learned of pairs, as far as it was told.
    pub fn table(&self) -> &PairTable {
        &self.table
    }

    /// The latest headrooms.
    pub fn headroom(&self) -> &Headroom {
        &self.reported
    }

    /// The leader has learned of pairs.
    pub fn update_table(&mut self, table: PairTable) {
        self.table.extend(table);
        if self.table.len() > MAX_PAIRS {
            self.table.retain(|pair, _| {
                self.last_used.contains_key(&pair.background) || self.undisturbed.contains_key(&pair.serving)
            });
        }
    }

    /// Takes the readings of all tasks on a host with so many processors. Linear in the tasks, and in the pairs of their
    /// images.
    pub fn observe(
        &mut self,
        host_cpu_milli: u32,
        serving: &[ServingReading],
        background: &[BackgroundReading],
        now: TimeMs,
    ) -> PacerOutput {
        if now < self.next || host_cpu_milli == 0 {
            return PacerOutput::default();
        }
        self.next = now.plus_ms(SPACING_MS);
        let shares = self.shares(host_cpu_milli, background);
        let changes = self.changes(serving, &shares);
        let worst = self.update_undisturbed(serving, &shares);
        self.target_state = self.next_target_state(worst, now);
        let percents = match self.target_state {
            TargetState::Above(_) => self.plan(&shares),
            TargetState::Paused { .. } => shares.keys().map(|image| (image.clone(), 0)).collect(),
            TargetState::Released { .. } => Paces::new(),
        };
        let paces = (percents != self.percents).then(|| percents.clone());
        self.percents = percents;
        PacerOutput { changes, headroom: self.changed_headroom(), paces }
    }

    fn shares(&self, host_cpu_milli: u32, background: &[BackgroundReading]) -> BTreeMap<String, Shares> {
        let mut shares = BTreeMap::<_, Shares>::new();
        for reading in background {
            let percent = self.percent(&reading.image);
            let wanted_milli = if percent >= EXTRAPOLATED_PERCENT && reading.used_cpu_milli > 0 {
                // What is asked for is far off; a task uses up to twice of it.
                let extrapolated_milli = reading.used_cpu_milli.saturating_mul(100) / u32::from(percent);
                extrapolated_milli.min(reading.requested_cpu_milli.saturating_mul(2))
            } else {
                reading.requested_cpu_milli
            };
            let share = shares.entry(reading.image.clone()).or_default();
            share.used += reading.used_cpu_milli as f32 / host_cpu_milli as f32;
            share.wanted += wanted_milli as f32 / host_cpu_milli as f32;
        }
        shares
    }

    /// Compares the readings with those before.
    fn changes(&mut self, serving: &[ServingReading], shares: &BTreeMap<String, Shares>) -> Vec<Change> {
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
            .filter(|(_, change_milli)| change_milli.abs() >= LEAST_CHANGE_MILLI)
            .collect();
        if shares_milli.is_empty() {
            return Vec::new();
        }
        let mut growths = BTreeMap::<&str, (f32, f32)>::new();
        for reading in serving {
            let Some(&last_ms) = last_tails.get(&reading.task) else { continue };
            if last_ms > 0 && reading.tail_ms > 0 {
                let (sum, count) = growths.entry(&reading.image).or_default();
                *sum += (reading.tail_ms as f32 / last_ms as f32).ln();
                *count += 1.0;
            }
        }
        growths
            .into_iter()
            .map(|(image, (sum, count))| Change {
                serving: image.to_owned(),
                growth_milli: (sum / count * 1_000.0) as i32,
                shares_milli: shares_milli.clone(),
            })
            .collect()
    }

    /// Smooths the latencies that serving images would have without background tasks. Returns the logarithm of the worst latency over its target.
    fn update_undisturbed(&mut self, serving: &[ServingReading], shares: &BTreeMap<String, Shares>) -> f32 {
        let mut levels = BTreeMap::<&str, f32>::new();
        for reading in serving.iter().filter(|reading| reading.tail_ms > 0) {
            let level = (reading.tail_ms as f32 / reading.target_ms.max(1) as f32).ln();
            let worst = levels.entry(&reading.image).or_insert(level);
            *worst = worst.max(level);
        }
        self.undisturbed.retain(|image, _| levels.contains_key(image.as_str()));
        let mut worst = f32::NEG_INFINITY;
        for (image, level) in levels {
            worst = worst.max(level);
            let added: f32 = shares.iter().map(|(by, share)| self.growth(by, image) * share.used).sum();
            let undisturbed = self.undisturbed.entry(image.to_owned()).or_insert(level - added);
            let change = level - added - *undisturbed;
            let weight_percent = if change > 0.0 { RISE_WEIGHT_PERCENT } else { FALL_WEIGHT_PERCENT };
            *undisturbed += change * weight_percent / 100.0;
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
            TargetState::Above(count) if above && count + 1 >= STOP_AFTER_DECISIONS => {
                TargetState::Paused { since: now }
            }
            TargetState::Above(count) if above => TargetState::Above(count + 1),
            TargetState::Released { .. } if above => TargetState::Above(1),
            _ => TargetState::Above(0),
        }
    }

    /// The largest shares that keep each serving image within its headroom.
    fn plan(&self, shares: &BTreeMap<String, Shares>) -> Paces {
        let mut percents: BTreeMap<&str, f32> = shares.keys().map(|image| (image.as_str(), 100.0)).collect();
        for (serving, undisturbed) in &self.undisturbed {
            let headroom = headroom(*undisturbed).max(0.0);
            let mut by: Vec<_> = shares
                .iter()
                .map(|(image, share)| (image.as_str(), self.growth(image, serving), share.wanted))
                .filter(|(_, growth, wanted)| growth * wanted * 1_000.0 >= NEGLIGIBLE_MILLI)
                .collect();
            by.sort_by(|a, b| b.1.total_cmp(&a.1));
            let mut excess =
                by.iter().map(|(image, growth, wanted)| growth * wanted * percents[image] / 100.0).sum::<f32>()
                    - headroom;
            for (image, growth, wanted) in by {
                if excess <= 0.0 {
                    break;
                }
                let Some(percent) = percents.get_mut(image) else { continue };
                let cut = (excess / (growth * wanted) * 100.0).min(*percent);
                *percent -= cut;
                excess -= growth * wanted * cut / 100.0;
            }
        }
        percents.into_iter().map(|(image, percent)| (image.to_owned(), self.settle(image, percent))).collect()
    }

    /// Keeps the share of an image if it would hardly change.
    fn settle(&self, image: &str, percent: f32) -> u8 {
        let now = self.percent(image);
        match percent as u8 {
            percent if percent < LEAST_PERCENT => 0,
            percent if percent >= 100 => 100,
            percent if percent.abs_diff(now) < STEP_PERCENT && now > 0 => now,
            percent => percent,
        }
    }

    fn growth(&self, background: &str, serving: &str) -> f32 {
        let pair = Pair { background: background.to_owned(), serving: serving.to_owned() };
        growth_milli(&self.table, &pair) as f32 / 1_000.0
    }

    fn changed_headroom(&mut self) -> Option<Headroom> {
        let headroom: Headroom = self
            .undisturbed
            .iter()
            .map(|(image, level)| (image.clone(), (headroom(*level) * 1_000.0) as i32))
            .collect();
        let alike = headroom.len() == self.reported.len()
            && headroom.iter().all(|(image, milli)| {
                self.reported.get(image).is_some_and(|before| before.abs_diff(*milli) < REPORTED_CHANGE_MILLI as u32)
            });
        if alike {
            return None;
        }
        self.reported = headroom.clone();
        Some(headroom)
    }
}

/// What may be added to the logarithm of a latency over its target that is `undisturbed` without background tasks.
fn headroom(undisturbed: f32) -> f32 {
    (GOAL_PERCENT / 100.0).ln() - undisturbed
}

impl Default for Pacer {
    fn default() -> Self {
        Self::new()
    }
}
