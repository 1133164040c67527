/*!
Interference between images: how much background tasks of one image raise the tail latency of serving tasks of another.

Tasks of the same image behave alike. Most pairs of images hardly interfere, while some interfere strongly. The leader
therefore learns each pair from the measurements of all hosts, and sends each agent the pairs on its host.

The model is additive in the logarithm of the tail latency: a background image that uses the share `u` of its host's
processors adds `growth · u`. Of the forms compared (linear, reciprocal, by cores, by pace) this one fits the
measurements best; docs/rounds.md has the figures. The model is fitted to changes of the latency, not to its level,
because the latency also follows the load of the serving task, which changes more slowly than background tasks start and
end.
*/

use std::collections::BTreeMap;

use crate::{
    interference::{ClassId, Classes, Effect, Interference, InterferenceSettings},
    units::TimeMs,
};

/// The assumed effect of a background image on a serving image before any measurement of the two: a tenth of a host's
/// processors adds a fifth to the tail latency.
const PRIOR: Effect = Effect { mean: 2.0, deviation: 4.0 };
/// The standard deviation assigned to the growth of a pair of images that is restored from the table of an agent after
/// a change of leader.
const RESTORED_DEVIATION: f32 = 2.0;
/// The growth of a pair of images is sent to the agents only if the standard deviation of its estimate is smaller.
const MAX_SENT_DEVIATION: f32 = 3.0;
/// The standard deviation of the change of a tail latency between two measurements while background tasks are
/// unchanged: measurements are coarse, and the load of the serving task varies.
const MEASUREMENT_NOISE: f32 = 0.25;
/// Larger changes of the logarithm are clamped to this. They show that the host is saturated, not how much an image
/// interferes on a host that is not.
const MAX_GROWTH: f32 = 1.0;
/// The time after which a pair known with certainty is as uncertain as the prior, in milliseconds. The interference of
/// one pair varies within seconds, but by less than pairs differ from each other.
const FORGET_MS: u64 = 300_000;

plain! {
    /// A background image and a serving image that may run on the same host.
    #[derive(PartialOrd, Ord)]
    pub struct Pair {
        /// The image whose tasks cause the interference.
        pub background: String,
        /// The image whose tail latency rises.
        pub serving: String,
    }

    /// A simultaneous change of the tail latency of a serving image and of the load of background images on a host.
    pub struct Change {
        /// The image whose tail latency changed.
        pub serving: String,
        /// The change of the natural logarithm of the tail latency, in thousandths.
        pub growth_milli: i32,
        /// The change of each background image's share of the host's processors, in thousandths of the host.
        pub shares_milli: Vec<(String, i32)>,
    }
}

/// The growth of each pair: by how much the natural logarithm of the tail latency rises if the background image uses
/// all processors of a host, in thousandths.
pub type PairTable = BTreeMap<Pair, u32>;

/// The growth of a pair in thousandths; that of the prior if the table has no entry.
pub fn growth_milli(table: &PairTable, pair: &Pair) -> u32 {
    table.get(pair).copied().unwrap_or((PRIOR.mean * 1_000.0) as u32)
}

/// The growth of all pairs of images, estimated from the measurements of all hosts.
#[derive(Debug, Clone)]
pub struct ImageInterference {
    images: Classes<String>,
    pairs: Interference,
}

impl Default for ImageInterference {
    fn default() -> Self {
        Self::new()
    }
}

impl ImageInterference {
    /// An estimator without measurements.
    pub fn new() -> Self {
        let pairs = Interference::new(InterferenceSettings {
            prior: PRIOR,
            noise: MEASUREMENT_NOISE,
            decay_ms: FORGET_MS,
            // Resetting a pair after a surprise makes it follow the noise: a threshold of 3 standard deviations
            // predicted the next changes worse than none.
            innovation_limit: f32::INFINITY,
            ..InterferenceSettings::default()
        });
        Self { images: Classes::new(), pairs }
    }

    /// Updates the estimates by a change on one host. Linear in the number of background images of the change.
    pub fn observe(&mut self, change: &Change, now: TimeMs) {
        let serving = self.image_id(&change.serving);
        let shares: Vec<(ClassId, f32)> = change
            .shares_milli
            .iter()
            .map(|(image, share_milli)| (self.image_id(image), *share_milli as f32 / 1_000.0))
            .collect();
        let growth = (change.growth_milli as f32 / 1_000.0).clamp(-MAX_GROWTH, MAX_GROWTH);
        self.pairs.observe_change(serving, &shares, growth, now);
    }

    /// Restores the growth of pairs of images from the table of an agent, except for pairs that this process has
    /// already measured or restored.
    pub fn restore(&mut self, table: &PairTable, now: TimeMs) {
        for (pair, growth_milli) in table {
            let (serving, background) = (self.image_id(&pair.serving), self.image_id(&pair.background));
            if self.pairs.effect(serving, background, now).deviation >= PRIOR.deviation {
                let effect = Effect { mean: *growth_milli as f32 / 1_000.0, deviation: RESTORED_DEVIATION };
                self.pairs.set_effect(serving, background, effect, now);
            }
        }
    }

    /// The id of an image; a new one at its first use.
    pub fn image_id(&mut self, name: &str) -> ClassId {
        match self.images.find(name) {
            Some(image) => image,
            None => self.images.intern(&name.to_owned()),
        }
    }

    /// The growth of a pair in thousandths; see [`PairTable`]. Constant time.
    pub fn growth_milli(&self, background: ClassId, serving: ClassId) -> u32 {
        (self.pairs.mean(serving, background) * 1_000.0) as u32
    }

    /// The growth of all pairs of these images that are known well enough to be sent to the agents.
    pub fn known_pairs(
        &self,
        background: impl Iterator<Item = ClassId> + Clone,
        serving: impl Iterator<Item = ClassId>,
        now: TimeMs,
    ) -> PairTable {
        serving
            .flat_map(|serving| background.clone().map(move |background| (background, serving)))
            .filter(|(background, serving)| {
                self.pairs.effect(*serving, *background, now).deviation < MAX_SENT_DEVIATION
            })
            .filter_map(|(background, serving)| {
                let pair = Pair {
                    background: self.images.name(background)?.clone(),
                    serving: self.images.name(serving)?.clone(),
                };
                Some((pair, self.growth_milli(background, serving)))
            })
            .collect()
    }
}
