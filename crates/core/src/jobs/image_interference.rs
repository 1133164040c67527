/*!
How much background tasks of one image disturb serving tasks of another.

Tasks of the same image behave alike, and most pairs of images hardly disturb each other while some do strongly. The
leader therefore learns each pair from all hosts together, and tells each agent about the pairs on its host.

The model is additive in the logarithm of the tail latency: a background image that uses the share `u` of its host's
processors adds `growth · u`. Of the forms that were compared (linear, reciprocal, by cores, by pace) this one explains the
most of the readings; docs/rounds.md has the figures. Changes are learned from and not levels, because the tail latency
also follows the load of the serving task, which changes more slowly than background tasks start and end.
*/

use std::collections::BTreeMap;

use crate::{
    interference::{ClassId, Classes, Effect, Interference, InterferenceSettings},
    units::TimeMs,
};

/// What is assumed of a pair that was never seen together: a tenth of a host's processors adds a fifth to the tail.
const UNSEEN: Effect = Effect { mean: 2.0, deviation: 4.0 };
/// The standard deviation of a pair that an agent remembers from the time of an earlier leader.
const REMEMBERED_DEVIATION: f32 = 2.0;
/// A pair with a smaller deviation is worth telling.
const TOLD_DEVIATION: f32 = 3.0;
/// The standard deviation of the change of a tail latency between two readings without any cause: readings are rough, and the
/// load of the serving task changes as well.
const READING_NOISE: f32 = 0.25;
/// Larger changes of the logarithm are cut to this. A larger one shows that the host is saturated, and not by how much an
/// image disturbs where it is not.
const LARGEST_GROWTH: f32 = 1.0;
/// The time in which a pair that is known for certain becomes as uncertain as one that was never seen. Disturbance changes
/// within seconds, by less than pairs differ from each other.
const FORGET_MS: u64 = 300_000;

plain! {
    /// A pair of images.
    #[derive(PartialOrd, Ord)]
    pub struct Pair {
        /// The image of the background tasks.
        pub background: String,
        /// The image of the serving tasks.
        pub serving: String,
    }

    /// How the tail latency of a serving image and the work of background images changed together on a host.
    pub struct Change {
        /// The serving image.
        pub serving: String,
        /// The change of the natural logarithm of the tail latency, in thousandths.
        pub growth_milli: i32,
        /// The change of the shares of the host's processors in use by background images, in thousandths.
        pub shares_milli: Vec<(String, i32)>,
    }
}

/// By how much the logarithm of a tail latency grows if a background image uses a whole host, in thousandths, by pairs.
pub type PairTable = BTreeMap<Pair, u32>;

/// The growth of a pair in a table; that of unseen pairs if it is not there. In thousandths of the logarithm for a whole host.
pub fn growth_milli(table: &PairTable, pair: &Pair) -> u32 {
    table.get(pair).copied().unwrap_or((UNSEEN.mean * 1_000.0) as u32)
}

/// What has been learned of all pairs.
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
    /// Knows no pair yet.
    pub fn new() -> Self {
        let pairs = Interference::new(InterferenceSettings {
            prior: UNSEEN,
            noise: READING_NOISE,
            forget_ms: FORGET_MS,
            // A pair that is forgotten after each surprise follows the noise: with 3 standard deviations the next changes were
            // predicted worse.
            surprise: f32::INFINITY,
            ..InterferenceSettings::default()
        });
        Self { images: Classes::new(), pairs }
    }

    /// Learns from a change on one host. Linear in the background images of the change.
    pub fn observe(&mut self, change: &Change, now: TimeMs) {
        let serving = self.image_id(&change.serving);
        let shares: Vec<(ClassId, f32)> = change
            .shares_milli
            .iter()
            .map(|(image, share_milli)| (self.image_id(image), *share_milli as f32 / 1_000.0))
            .collect();
        let growth = (change.growth_milli as f32 / 1_000.0).clamp(-LARGEST_GROWTH, LARGEST_GROWTH);
        self.pairs.observe_change(serving, &shares, growth, now);
    }

    /// Takes over what an agent remembers of pairs that this process has not seen together.
    pub fn restore(&mut self, table: &PairTable, now: TimeMs) {
        for (pair, growth_milli) in table {
            let (serving, background) = (self.image_id(&pair.serving), self.image_id(&pair.background));
            if self.pairs.effect(serving, background, now).deviation >= UNSEEN.deviation {
                let effect = Effect { mean: *growth_milli as f32 / 1_000.0, deviation: REMEMBERED_DEVIATION };
                self.pairs.adopt(serving, background, effect, now);
            }
        }
    }

    /// The key of an image; a new one if it was not seen before.
    pub fn image_id(&mut self, name: &str) -> ClassId {
        match self.images.find(name) {
            Some(image) => image,
            None => self.images.intern(&name.to_owned()),
        }
    }

    /// By how much the logarithm of the tail latency of `serving` grows if `background` uses a whole host, in thousandths.
    /// Constant time.
    pub fn growth_milli(&self, background: ClassId, serving: ClassId) -> u32 {
        (self.pairs.mean(serving, background) * 1_000.0) as u32
    }

    /// The same for all pairs of `background` and `serving` images of which something is known.
    pub fn known_pairs(
        &self,
        background: impl Iterator<Item = ClassId> + Clone,
        serving: impl Iterator<Item = ClassId>,
        now: TimeMs,
    ) -> PairTable {
        serving
            .flat_map(|serving| background.clone().map(move |background| (background, serving)))
            .filter(|(background, serving)| self.pairs.effect(*serving, *background, now).deviation < TOLD_DEVIATION)
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
