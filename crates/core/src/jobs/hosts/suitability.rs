/*!
How suitable a host is for one more task.

Background tasks are throttled where they disturb serving tasks, and few pairs of images disturb each other. Serving tasks
are therefore packed onto as few hosts as possible, and beside tasks of their own image: a host with few serving images
is open to more background images. Background tasks prefer hosts on which they disturb nothing over hosts that would
just bear them, because latencies rise on their own within seconds.
*/

use super::Host;
use crate::{
    interference::ClassId,
    jobs::{image_interference::ImageInterference, spec::StepSpec},
    units::TimeMs,
};

/// A background task that adds less than this to the logarithm of a tail latency counts as not interfering, in
/// thousandths.
const NEGLIGIBLE_MILLI: u64 = 10;
/// The weight of each percent of the expected speed and of the headroom that a background task uses up.
const SPEED_WEIGHT: i64 = 10;
/// The penalty of a background task for a host with serving tasks.
const BESIDE_SERVING_PENALTY: i64 = 300;
/// The preference of a serving task for a host that has others. Outweighs how full the host is.
const PACKING_BONUS: i64 = 1_000;
/// The preference of other tasks for a host with serving tasks, which background tasks avoid.
const SHORT_BESIDE_SERVING_BONUS: i64 = 300;
/// The preference of a serving task for a host that runs its image already.
const SAME_IMAGE_BONUS: i64 = 600;
/// The penalty of a serving task for each other serving image on the host.
const OTHER_IMAGE_PENALTY: i64 = 200;
/// The weight of what the background tasks on a host add to the latency of a new serving task.
const PRESENT_INTERFERENCE_WEIGHT: i64 = 2;
/// The preference for the rack that holds the input data.
const RACK_BONUS: i64 = 500;
/// The penalty of a host that is avoided after failures or rejections.
const AVOIDED_PENALTY: i64 = 10_000;
/// The penalty of a task on trial for each run on the host, which would be lost in a crash.
const TRIAL_NEIGHBOUR_PENALTY: i64 = 50;
/// The maximum penalty of a task on trial for the runs on the host.
const MAX_TRIAL_NEIGHBOURS_PENALTY: i64 = 2_500;

/// What a host offers to one more background task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::jobs) struct BackgroundFit {
    /// The expected speed, in percent of full speed.
    pub speed_percent: u32,
    /// The share of the tightest headroom of the host that the task would use up, in percent.
    pub headroom_used_percent: u32,
}

impl Host {
    /// What this host offers to one more background task of `step`: limited by the free processors and by the latency
    /// headroom of the serving tasks. Linear in the number of pairs of images on the host.
    pub fn background_fit(
        &self,
        step: &StepSpec,
        image: Option<ClassId>,
        interference: &ImageInterference,
    ) -> BackgroundFit {
        let Some(info) = &self.info else { return BackgroundFit::default() };
        let total = u64::from(info.capacity.cpu_milli.max(1));
        let requested = u64::from(step.resources.cpu_milli.max(1));
        let mut speed = (u64::from(self.free_background_cpu_milli(info.capacity.cpu_milli)) * 100 / requested).min(100);
        let mut headroom_used = 0;
        for &(serving, headroom_milli) in self.headroom_milli.iter().filter(|_| image.is_some()) {
            let added_by = |image: ClassId, cpu_milli: u64| {
                u64::from(interference.growth_milli(image, serving)) * cpu_milli / total
            };
            let added_milli = image.map_or(0, |image| added_by(image, requested));
            if added_milli < NEGLIGIBLE_MILLI {
                continue;
            }
            let present: u64 =
                self.background_images.iter().map(|(image, cpu_milli)| added_by(*image, u64::from(*cpu_milli))).sum();
            let left_milli = (i64::from(headroom_milli) - present as i64).max(0) as u64;
            speed = speed.min(left_milli * 100 / added_milli);
            headroom_used = headroom_used.max(added_milli * 100 / left_milli.max(1));
        }
        BackgroundFit { speed_percent: speed as u32, headroom_used_percent: headroom_used.min(100) as u32 }
    }

    /// The suitability of this host for a task of `step`; higher is better. `fit` matters for background tasks only.
    /// Linear in the number of images on the host.
    pub fn score(
        &self,
        step: &StepSpec,
        image: Option<ClassId>,
        fit: BackgroundFit,
        interference: &ImageInterference,
        now: TimeMs,
    ) -> i64 {
        let Some(info) = &self.info else { return i64::MIN };
        let total = i64::from(info.capacity.cpu_milli.max(1));
        let committed_milli = i64::from(self.used.cpu_milli) + i64::from(step.resources.cpu_milli);
        let serves = step.tail_target_ms.is_some();
        let mut score = match (step.background, serves) {
            (true, _) => {
                let free_milli = i64::from(self.free_background_cpu_milli(info.capacity.cpu_milli)) * 1_000 / total;
                SPEED_WEIGHT * (i64::from(fit.speed_percent) - i64::from(fit.headroom_used_percent)) + free_milli
            }
            (false, true) => committed_milli * 1_000 / total + self.image_score(image, interference, total),
            (false, false) => committed_milli * 1_000 / total,
        };
        if self.serving > 0 {
            score += match (step.background, serves) {
                (true, _) => -BESIDE_SERVING_PENALTY,
                (false, true) => PACKING_BONUS,
                (false, false) => SHORT_BESIDE_SERVING_BONUS,
            };
        }
        if step.rack.as_ref().is_some_and(|rack| info.labels.contains(rack)) {
            score += RACK_BONUS;
        }
        if now < self.avoid_until {
            score -= AVOIDED_PENALTY;
        }
        score
    }

    /// Subtracted from the score for a task on trial.
    pub fn trial_penalty(&self) -> i64 {
        TRIAL_NEIGHBOUR_PENALTY.saturating_mul(self.tasks.len() as i64).min(MAX_TRIAL_NEIGHBOURS_PENALTY)
    }

    /// The part of the score of a serving task that depends on the images on the host, whose processors are `total`
    /// thousandths of a core.
    fn image_score(&self, image: Option<ClassId>, interference: &ImageInterference, total: i64) -> i64 {
        let Some(image) = image else {
            return -PRESENT_INTERFERENCE_WEIGHT * i64::from(self.background_cpu_milli) * 1_000 / total;
        };
        let runs_image = self.serving_images.contains_key(&image);
        let others = self.serving_images.len() as i64 - i64::from(runs_image);
        let added_milli: i64 = self
            .background_images
            .iter()
            .map(|(background, cpu_milli)| {
                i64::from(interference.growth_milli(*background, image)) * i64::from(*cpu_milli) / total
            })
            .sum();
        i64::from(runs_image) * SAME_IMAGE_BONUS
            - others * OTHER_IMAGE_PENALTY
            - PRESENT_INTERFERENCE_WEIGHT * added_milli
    }
}
