/*!
Estimates of how much one class of work slows another on the same worker, learned from late reports.

The model is additive: a task of class `v` is slowed by a factor of `1 + Σ weight(a) · effect(v, a)` over the other
classes `a` on its worker, where the weight is the number of running tasks, each multiplied by its throttle. Each effect
has a mean and a variance, updated by a Kalman filter with a diagonal covariance.

Reports are 5 to 30 s old. [`Interference::record_composition`] keeps a bounded history of what ran on each worker, and
[`Interference::observe`] attributes a report to what ran during its interval. The variance grows with time, and by a step
after an outlier, so that old estimates lose weight when the load shifts. A victim that is slower than expected also makes
its pairs with absent classes uncertain: its load may have shifted, and their estimates date from before.
*/

use std::{
    borrow::Borrow,
    collections::{HashMap, VecDeque},
    hash::Hash,
};

use slotmap::SecondaryMap;

use crate::{ids::ProfileName, placement::WorkerKey, units::TimeMs};

/// The maximum number of classes; further ones share the last. The table of pairs grows with the square of this number.
pub const MAX_CLASSES: usize = 512;
/// The maximum number of composition changes kept per worker. At one change per second this covers the oldest reports.
const MAX_HISTORY: usize = 64;

/// Compact index of a class of work, which stands for the name of a profile or of an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

/// Interns names of classes.
#[derive(Debug, Clone)]
pub struct Classes<N = ProfileName> {
    names: Vec<N>,
    by_name: HashMap<N, ClassId>,
}

impl<N> Default for Classes<N> {
    fn default() -> Self {
        Self { names: Vec::new(), by_name: HashMap::new() }
    }
}

impl<N: Clone + Eq + Hash> Classes<N> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The index of a class; assigns a new one to an unknown name. Names beyond [`MAX_CLASSES`] share the last index and are not
    /// kept, since clients may choose them.
    pub fn intern(&mut self, name: &N) -> ClassId {
        if let Some(class) = self.by_name.get(name) {
            return *class;
        }
        let index = self.names.len().min(MAX_CLASSES - 1);
        let class = ClassId(u16::try_from(index).unwrap_or(u16::MAX));
        if self.names.len() < MAX_CLASSES {
            self.names.push(name.clone());
            self.by_name.insert(name.clone(), class);
        }
        class
    }

    /// The index of a class, or `None` if the name was never interned.
    pub fn find<Q: Hash + Eq + ?Sized>(&self, name: &Q) -> Option<ClassId>
    where
        N: Borrow<Q>,
    {
        self.by_name.get(name).copied()
    }

    /// The name of a class, or `None` if the index was not assigned. The last index has the name that was assigned it
    /// first.
    pub fn name(&self, class: ClassId) -> Option<&N> {
        self.names.get(usize::from(class.0))
    }
}

/// Effect of one unthrottled task of a class on the tasks of another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Effect {
    /// The expected slowdown as a fraction; 0.1 takes 10% longer.
    pub mean: f32,
    /// The standard deviation of the estimate.
    pub deviation: f32,
}

impl Effect {
    /// The mean plus `deviations` standard deviations.
    pub fn upper(self, deviations: f32) -> f32 {
        self.mean + deviations * self.deviation
    }
}

/// Settings of the filter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InterferenceSettings {
    /// The estimate of a pair without observations.
    pub prior: Effect,
    /// The standard deviation of the noise of one report, as a fraction of the time when alone.
    pub noise: f32,
    /// The time after which a pair known with certainty is as uncertain as the prior, in milliseconds.
    pub decay_ms: u64,
    /// The innovation, in standard deviations, above which a report is an outlier and makes its pairs uncertain again.
    pub innovation_limit: f32,
    /// A pair counts as known if its standard deviation is below this.
    pub known_deviation: f32,
    /// The minimum standard deviation of the victim's pairs with absent classes after an unexpectedly high slowdown.
    pub absent_deviation: f32,
    /// Whether to attribute reports to what ran during their interval. If `false`, they are attributed to what runs on
    /// arrival.
    pub use_history: bool,
}

impl Default for InterferenceSettings {
    fn default() -> Self {
        Self {
            prior: Effect { mean: 0.03, deviation: 0.12 },
            noise: 0.05,
            // A pair known with certainty becomes unknown after 400 s without reports. With 2 h this took 13 min, and
            // classes last seen beside a service before its load shifted were started there at full speed.
            decay_ms: 3_600_000,
            innovation_limit: 3.0,
            known_deviation: 0.04,
            absent_deviation: 0.06,
            use_history: true,
        }
    }
}

/// How much tasks of one class slow down tasks of another, as estimated from reports.
#[derive(Debug, Clone, Copy)]
struct PairEstimate {
    mean: f32,
    variance: f32,
    updated: TimeMs,
}

/// The classes that ran on a worker from `since` on, with their weights.
#[derive(Debug, Clone)]
struct Composition {
    since: TimeMs,
    weights: Vec<(ClassId, f32)>,
}

/// The estimates of all pairs, with the recent history of what ran on each worker.
#[derive(Debug, Clone)]
pub struct Interference {
    settings: InterferenceSettings,
    stride: usize,
    pairs: Vec<PairEstimate>,
    history: SecondaryMap<WorkerKey, VecDeque<Composition>>,
}

impl Default for Interference {
    fn default() -> Self {
        Self::new(InterferenceSettings::default())
    }
}

impl Interference {
    /// Creates a model in which every pair has the prior estimate.
    pub fn new(settings: InterferenceSettings) -> Self {
        Self { settings, stride: 0, pairs: Vec::new(), history: SecondaryMap::new() }
    }

    /// The settings in use.
    pub fn settings(&self) -> &InterferenceSettings {
        &self.settings
    }

    /// Records what runs on a worker from `at` on: each class with the sum of its tasks' throttles, as fractions.
    pub fn record_composition(&mut self, worker: WorkerKey, weights: Vec<(ClassId, f32)>, at: TimeMs) {
        let Some(entry) = self.history.entry(worker) else { return };
        let history = entry.or_default();
        match history.back_mut() {
            Some(last) if last.weights == weights => return,
            Some(last) if last.since == at => last.weights = weights,
            _ => history.push_back(Composition { since: at, weights }),
        }
        if history.len() > MAX_HISTORY {
            history.pop_front();
        }
    }

    /// Drops the history of a worker that was removed. Estimates learned from it are kept.
    pub fn remove(&mut self, worker: WorkerKey) {
        self.history.remove(worker);
    }

    /// Updates the estimates from one report: tasks of class `victim` on `worker` took `slowdown` times as long as
    /// alone (1.0 is undisturbed) from `start` to `end`. `own_weight` is the weight of the reporting task itself, which
    /// does not disturb itself. Returns the innovation in standard deviations, or `None` if the history does not reach
    /// back to `start`. Linear in the classes on the worker, or in all classes after an outlier.
    pub fn observe(
        &mut self,
        worker: WorkerKey,
        victim: ClassId,
        own_weight: f32,
        (start, end): (TimeMs, TimeMs),
        slowdown: f32,
    ) -> Option<f32> {
        let mut weights = self.average_weights(worker, start, end)?;
        for (class, weight) in &mut weights {
            if *class == victim {
                *weight = (*weight - own_weight).max(0.0);
            }
        }
        weights.retain(|(_, weight)| *weight > 0.0);
        self.update(victim, &weights, slowdown, end)
    }

    /// Updates the estimates from a change of the slowdown instead of its level: while the weights of classes beside
    /// `victim` changed by `changes`, which may be negative, its slowdown changed by `growth`. Linear in the changes.
    pub fn observe_change(&mut self, victim: ClassId, changes: &[(ClassId, f32)], growth: f32, at: TimeMs) {
        self.learn(victim, changes, growth, 0.0, self.settings.noise, at);
    }

    /// The estimate for a pair at `now`, with the uncertainty added since its last update. Constant time.
    pub fn effect(&self, victim: ClassId, aggressor: ClassId, now: TimeMs) -> Effect {
        match self.pairs.get(self.index(victim, aggressor).unwrap_or(usize::MAX)) {
            Some(pair) => Effect { mean: pair.mean, deviation: self.variance_at(pair, now).sqrt() },
            None => self.settings.prior,
        }
    }

    /// The expected slowdown of a pair, as in [`Self::effect`] but cheaper. Constant time.
    pub fn mean(&self, victim: ClassId, aggressor: ClassId) -> f32 {
        let pair = self.index(victim, aggressor).and_then(|index| self.pairs.get(index));
        pair.map_or(self.settings.prior.mean, |pair| pair.mean)
    }

    /// Whether the estimate of a pair is precise enough at `now` to rely on.
    pub fn is_known(&self, victim: ClassId, aggressor: ClassId, now: TimeMs) -> bool {
        self.effect(victim, aggressor, now).deviation < self.settings.known_deviation
    }

    /// Replaces the estimate of a pair, for example by one from another process.
    pub fn set_effect(&mut self, victim: ClassId, aggressor: ClassId, effect: Effect, now: TimeMs) {
        self.grow(usize::from(victim.0.max(aggressor.0)) + 1);
        if let Some(index) = self.index(victim, aggressor) {
            self.pairs[index] = PairEstimate { mean: effect.mean, variance: effect.deviation.powi(2), updated: now };
        }
    }

    fn update(&mut self, victim: ClassId, weights: &[(ClassId, f32)], slowdown: f32, at: TimeMs) -> Option<f32> {
        // The noise grows with the slowdown, since reports are ratios of noisy times.
        let innovation = self.learn(victim, weights, slowdown, 1.0, self.settings.noise * slowdown.max(1.0), at)?;
        if innovation > self.settings.innovation_limit {
            self.widen_absent_pairs(victim, weights, at);
        }
        Some(innovation)
    }

    /// One filter step: `observed` is `undisturbed` plus the effects of `weights` plus noise. Returns the innovation in
    /// standard deviations.
    fn learn(
        &mut self,
        victim: ClassId,
        weights: &[(ClassId, f32)],
        observed: f32,
        undisturbed: f32,
        noise: f32,
        at: TimeMs,
    ) -> Option<f32> {
        let largest = weights.iter().map(|(class, _)| class.0).max().unwrap_or(0).max(victim.0);
        self.grow(usize::from(largest) + 1);
        let effects: Vec<_> = weights.iter().map(|(class, w)| (*class, *w, self.effect(victim, *class, at))).collect();
        let expected: f32 = undisturbed + effects.iter().map(|(_, w, e)| w * e.mean).sum::<f32>();
        let spread: f32 = effects.iter().map(|(_, w, e)| (w * e.deviation).powi(2)).sum();
        let error = observed - expected;
        let deviation = (spread + noise * noise).sqrt();
        let innovation = error / deviation;
        let boost = if innovation.abs() > self.settings.innovation_limit { 16.0 } else { 1.0 };
        let prior_variance = self.settings.prior.deviation.powi(2);
        let boosted = |e: &Effect| (e.deviation.powi(2) * boost).min(prior_variance.max(e.deviation.powi(2)));
        let total: f32 = effects.iter().map(|(_, w, e)| w * w * boosted(e)).sum::<f32>() + noise * noise;
        for (class, weight, effect) in &effects {
            let variance = boosted(effect);
            let gain = weight * variance / total;
            let index = self.index(victim, *class)?;
            self.pairs[index] = PairEstimate {
                mean: (effect.mean + gain * error).max(0.0),
                variance: (variance * (1.0 - gain * weight)).max(1e-6),
                updated: at,
            };
        }
        Some(innovation)
    }

    /// Raises the variance of the victim's pairs with classes outside `weights` and keeps their means.
    fn widen_absent_pairs(&mut self, victim: ClassId, weights: &[(ClassId, f32)], at: TimeMs) {
        let variance = self.settings.absent_deviation.powi(2);
        let row = usize::from(victim.0) * self.stride;
        for aggressor in 0..self.stride {
            let pair = self.pairs[row + aggressor];
            let present = weights.iter().any(|(class, _)| usize::from(class.0) == aggressor);
            if !present && self.variance_at(&pair, at) < variance {
                self.pairs[row + aggressor] = PairEstimate { variance, updated: at, ..pair };
            }
        }
    }

    /// The average weights over an interval, or `None` if the history does not reach back to its start.
    fn average_weights(&self, worker: WorkerKey, start: TimeMs, end: TimeMs) -> Option<Vec<(ClassId, f32)>> {
        let history = self.history.get(worker)?;
        if !self.settings.use_history {
            return history.back().map(|last| last.weights.clone());
        }
        let first = history.iter().rposition(|c| c.since <= start)?;
        let span = end.since_ms(start).max(1) as f32;
        let mut mean: Vec<(ClassId, f32)> = Vec::new();
        for index in first..history.len() {
            let from = history[index].since.max(start);
            let until = history.get(index + 1).map_or(end, |next| next.since).min(end);
            let share = if end > start { until.since_ms(from) as f32 / span } else { 1.0 };
            if until < from || share == 0.0 {
                continue;
            }
            for (class, weight) in &history[index].weights {
                match mean.iter_mut().find(|(known, _)| known == class) {
                    Some((_, sum)) => *sum += share * weight,
                    None => mean.push((*class, share * weight)),
                }
            }
        }
        Some(mean)
    }

    fn variance_at(&self, pair: &PairEstimate, now: TimeMs) -> f32 {
        let prior = self.settings.prior.deviation.powi(2);
        let age = now.since_ms(pair.updated) as f32 / self.settings.decay_ms as f32;
        (pair.variance + prior * age).min(prior.max(pair.variance))
    }

    fn index(&self, victim: ClassId, aggressor: ClassId) -> Option<usize> {
        let (v, a) = (usize::from(victim.0), usize::from(aggressor.0));
        (v < self.stride && a < self.stride).then(|| v * self.stride + a)
    }

    fn grow(&mut self, classes: usize) {
        if classes <= self.stride {
            return;
        }
        let stride = classes.next_power_of_two().max(16);
        let Effect { mean, deviation } = self.settings.prior;
        let empty = PairEstimate { mean, variance: deviation * deviation, updated: TimeMs(0) };
        let mut pairs = vec![empty; stride * stride];
        for (index, pair) in self.pairs.iter().enumerate() {
            pairs[index / self.stride * stride + index % self.stride] = *pair;
        }
        (self.stride, self.pairs) = (stride, pairs);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use slotmap::SlotMap;

    const SERVICE: ClassId = ClassId(0);
    const NOISY: ClassId = ClassId(1);
    const QUIET: ClassId = ClassId(2);

    fn worker() -> WorkerKey {
        let mut arena: SlotMap<WorkerKey, ()> = SlotMap::with_key();
        arena.insert(())
    }

    /// Guards against attributing a late report to what runs when it arrives.
    #[test]
    fn a_late_report_is_attributed_to_what_ran_during_its_interval() {
        let (worker, mut model) = (worker(), Interference::default());
        for round in 0..60 {
            let at = round * 60_000;
            model.record_composition(worker, vec![(SERVICE, 1.0), (NOISY, 1.0)], TimeMs(at));
            model.record_composition(worker, vec![(SERVICE, 1.0), (QUIET, 1.0)], TimeMs(at + 30_000));
            let noisy = (TimeMs(at + 10_000), TimeMs(at + 20_000));
            let quiet = (TimeMs(at + 40_000), TimeMs(at + 50_000));
            model.observe(worker, SERVICE, 1.0, noisy, 1.5);
            model.observe(worker, SERVICE, 1.0, quiet, 1.0);
        }
        let now = TimeMs(60 * 60_000);
        assert!((model.effect(SERVICE, NOISY, now).mean - 0.5).abs() < 0.05);
        assert!(model.effect(SERVICE, QUIET, now).mean < 0.02);
        assert!(model.is_known(SERVICE, NOISY, now));
    }

    /// Guards against estimates from before a load shift that are corrected too slowly.
    #[test]
    fn an_unexpected_slowdown_is_learned_within_a_few_reports() {
        let (worker, mut model) = (worker(), Interference::default());
        model.record_composition(worker, vec![(SERVICE, 1.0), (NOISY, 1.0)], TimeMs(0));
        let at = |n: u64| (TimeMs(n * 5_000), TimeMs(n * 5_000 + 5_000));
        (0..100).for_each(|n| _ = model.observe(worker, SERVICE, 1.0, at(n), 1.02));
        (100..104).for_each(|n| _ = model.observe(worker, SERVICE, 1.0, at(n), 1.6));
        assert!(model.effect(SERVICE, NOISY, TimeMs(104 * 5_000)).mean > 0.4);
        let later = TimeMs(104 * 5_000 + 4 * 3_600_000);
        assert!(!model.is_known(SERVICE, NOISY, later));
    }

    /// Guards against a full-speed start based on reports that are minutes old, since the load may have shifted.
    #[test]
    fn a_pair_without_new_reports_is_unknown_again_within_minutes() {
        let mut model = Interference::default();
        model.set_effect(SERVICE, QUIET, Effect { mean: 0.0, deviation: 0.0 }, TimeMs(0));
        assert!(model.is_known(SERVICE, QUIET, TimeMs(60_000)));
        assert!(!model.is_known(SERVICE, QUIET, TimeMs(7 * 60_000)));
        assert!(model.effect(SERVICE, QUIET, TimeMs(7 * 60_000)).mean < 0.001);
    }

    /// Guards against a full-speed start beside a service based on reports from before its load shifted.
    #[test]
    fn an_unexpected_slowdown_makes_absent_classes_unknown() {
        let (worker, mut model) = (worker(), Interference::default());
        let mut reports = |class, from: u64, slowdown| {
            model.record_composition(worker, vec![(SERVICE, 1.0), (class, 1.0)], TimeMs(from * 5_000));
            for n in from..from + 40 {
                let interval = (TimeMs(n * 5_000), TimeMs(n * 5_000 + 5_000));
                model.observe(worker, SERVICE, 1.0, interval, slowdown);
            }
            model.is_known(SERVICE, QUIET, TimeMs((from + 40) * 5_000))
        };
        assert!(reports(QUIET, 0, 1.0));
        assert!(reports(NOISY, 40, 1.02));
        assert!(!reports(NOISY, 80, 1.6));
    }
}
