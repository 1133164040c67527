/*!
How much one class of work slows another on the same worker, learned from late reports.

The model is additive: a task of class `v` is slowed by `1 + Σ weight(a) · effect(v, a)` over the other classes `a` on
its worker, where the weight is the number of running tasks, each scaled by its throttle. Each effect has a mean and a
variance, updated as a Kalman filter with a diagonal covariance.

Reports are 5 to 30 s old. [`Interference::record_composition`] keeps a bounded history of what ran on each worker, and
[`Interference::observe`] attributes a report to what ran during its interval. The variance grows with time, and faster
after a surprise, so that old knowledge is given up as load shifts. A victim that is slower than expected makes its
other pairs unknown too: its load may have shifted, and what was learned of absent classes dates from before.
*/

use std::{
    borrow::Borrow,
    collections::{HashMap, VecDeque},
    hash::Hash,
};

use slotmap::SecondaryMap;

use crate::{ids::ProfileName, placement::WorkerKey, units::TimeMs};

/// Classes beyond this number share the last one; the table of pairs grows with the square.
pub const MAX_CLASSES: usize = 512;
/// Changes remembered per worker. At one change a second this covers the oldest report.
const MAX_HISTORY: usize = 64;

/// A class of work: a small number instead of the name of a profile or of an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

/// The numbers of the classes, by their names.
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
    /// Knows no class yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of a class; a new one if it was not seen before.
    pub fn intern(&mut self, name: &N) -> ClassId {
        if let Some(class) = self.by_name.get(name) {
            return *class;
        }
        let index = self.names.len().min(MAX_CLASSES - 1);
        let class = ClassId(u16::try_from(index).unwrap_or(u16::MAX));
        if self.names.len() < MAX_CLASSES {
            self.names.push(name.clone());
        }
        self.by_name.insert(name.clone(), class);
        class
    }

    /// The number of a class that was seen before.
    pub fn find<Q: Hash + Eq + ?Sized>(&self, name: &Q) -> Option<ClassId>
    where
        N: Borrow<Q>,
    {
        self.by_name.get(name).copied()
    }

    /// The name behind a number.
    pub fn name(&self, class: ClassId) -> Option<&N> {
        self.names.get(usize::from(class.0))
    }
}

/// How much one task of a class slows a task of another: 0.1 is a tenth longer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Effect {
    /// The expected slowdown.
    pub mean: f32,
    /// Its standard deviation.
    pub deviation: f32,
}

impl Effect {
    /// The mean plus `deviations` standard deviations.
    pub fn upper(self, deviations: f32) -> f32 {
        self.mean + deviations * self.deviation
    }
}

/// Constants of the filter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InterferenceSettings {
    /// What is assumed of a pair that was never seen together.
    pub prior: Effect,
    /// The standard deviation of the noise of one report.
    pub noise: f32,
    /// The time in which a certain pair becomes as uncertain as one never seen.
    pub decay_ms: u64,
    /// A report this many standard deviations off makes its pairs uncertain again.
    pub innovation_limit: f32,
    /// A pair with a smaller deviation counts as known.
    pub known_deviation: f32,
    /// The least deviation that the victim's pairs with absent classes have after a surprising slowdown.
    pub doubt_deviation: f32,
    /// Attribute reports to what ran in their interval; off, to what runs when they arrive.
    pub use_history: bool,
}

impl Default for InterferenceSettings {
    fn default() -> Self {
        Self {
            prior: Effect { mean: 0.03, deviation: 0.12 },
            noise: 0.05,
            // A pair known for certain is unknown again after 400 s without evidence. With 2 h it took 13 min, and classes
            // last seen beside a service before its load shifted started there at full speed.
            decay_ms: 3_600_000,
            innovation_limit: 3.0,
            known_deviation: 0.04,
            doubt_deviation: 0.06,
            use_history: true,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Pair {
    mean: f32,
    variance: f32,
    updated: TimeMs,
}

/// What ran on a worker from a time on: classes with their weights.
#[derive(Debug, Clone)]
struct Composition {
    since: TimeMs,
    weights: Vec<(ClassId, f32)>,
}

/// The estimates of all pairs, and what ran where.
#[derive(Debug, Clone)]
pub struct Interference {
    settings: InterferenceSettings,
    stride: usize,
    pairs: Vec<Pair>,
    history: SecondaryMap<WorkerKey, VecDeque<Composition>>,
}

impl Default for Interference {
    fn default() -> Self {
        Self::new(InterferenceSettings::default())
    }
}

impl Interference {
    /// Knows no pair yet.
    pub fn new(settings: InterferenceSettings) -> Self {
        Self { settings, stride: 0, pairs: Vec::new(), history: SecondaryMap::new() }
    }

    /// The constants.
    pub fn settings(&self) -> &InterferenceSettings {
        &self.settings
    }

    /// Notes what runs on a worker from `at` on: each class with the sum of its tasks' throttle shares.
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

    /// Forgets a worker that has gone; what it taught stays.
    pub fn remove(&mut self, worker: WorkerKey) {
        self.history.remove(worker);
    }

    /// Learns from one report: tasks of class `victim` on `worker` took `slowdown` times as long as alone (1.0 is
    /// undisturbed) from `start` to `end`. `own_weight` is the weight of the reporting task itself, left out of what
    /// disturbs it. Returns the surprise in standard deviations, or nothing if the history does not reach back to
    /// `start`. Linear in the classes on the worker, or in all classes after a surprise.
    pub fn observe(
        &mut self,
        worker: WorkerKey,
        victim: ClassId,
        own_weight: f32,
        (start, end): (TimeMs, TimeMs),
        slowdown: f32,
    ) -> Option<f32> {
        let mut weights = self.weights_between(worker, start, end)?;
        for (class, weight) in &mut weights {
            if *class == victim {
                *weight = (*weight - own_weight).max(0.0);
            }
        }
        weights.retain(|(_, weight)| *weight > 0.0);
        self.update(victim, &weights, slowdown, end)
    }

    /// Learns from a change instead of a level: while the weights of classes beside `victim` changed by `changes`, which may
    /// be negative, its slowdown changed by `growth`. Linear in the changes.
    pub fn observe_change(&mut self, victim: ClassId, changes: &[(ClassId, f32)], growth: f32, at: TimeMs) {
        self.learn(victim, changes, growth, 0.0, self.settings.noise, at);
    }

    /// What is expected of a pair at `now`. Constant time.
    pub fn effect(&self, victim: ClassId, aggressor: ClassId, now: TimeMs) -> Effect {
        match self.pairs.get(self.index(victim, aggressor).unwrap_or(usize::MAX)) {
            Some(pair) => Effect { mean: pair.mean, deviation: self.variance_at(pair, now).sqrt() },
            None => self.settings.prior,
        }
    }

    /// The expected slowdown of a pair; cheaper than [`Self::effect`]. Constant time.
    pub fn mean(&self, victim: ClassId, aggressor: ClassId) -> f32 {
        let pair = self.index(victim, aggressor).and_then(|index| self.pairs.get(index));
        pair.map_or(self.settings.prior.mean, |pair| pair.mean)
    }

    /// Whether enough was seen of a pair to trust its estimate.
    pub fn is_known(&self, victim: ClassId, aggressor: ClassId, now: TimeMs) -> bool {
        self.effect(victim, aggressor, now).deviation < self.settings.known_deviation
    }

    /// Takes over what is known of a pair from elsewhere, such as another process's estimates.
    pub fn set_effect(&mut self, victim: ClassId, aggressor: ClassId, effect: Effect, now: TimeMs) {
        self.grow(usize::from(victim.0.max(aggressor.0)) + 1);
        if let Some(index) = self.index(victim, aggressor) {
            self.pairs[index] = Pair { mean: effect.mean, variance: effect.deviation.powi(2), updated: now };
        }
    }

    fn update(&mut self, victim: ClassId, weights: &[(ClassId, f32)], slowdown: f32, at: TimeMs) -> Option<f32> {
        // Noise grows with the slowdown itself, since reports are ratios of noisy times.
        let surprise = self.learn(victim, weights, slowdown, 1.0, self.settings.noise * slowdown.max(1.0), at)?;
        if surprise > self.settings.innovation_limit {
            self.doubt_absent(victim, weights, at);
        }
        Some(surprise)
    }

    /// One step of the filter: `observed` is `undisturbed` plus the effects of `weights` plus noise. Returns the surprise in
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
        let surprise = error / deviation;
        let boost = if surprise.abs() > self.settings.innovation_limit { 16.0 } else { 1.0 };
        let prior_variance = self.settings.prior.deviation.powi(2);
        let boosted = |e: &Effect| (e.deviation.powi(2) * boost).min(prior_variance.max(e.deviation.powi(2)));
        let total: f32 = effects.iter().map(|(_, w, e)| w * w * boosted(e)).sum::<f32>() + noise * noise;
        for (class, weight, effect) in &effects {
            let variance = boosted(effect);
            let gain = weight * variance / total;
            let index = self.index(victim, *class)?;
            self.pairs[index] = Pair {
                mean: (effect.mean + gain * error).max(0.0),
                variance: (variance * (1.0 - gain * weight)).max(1e-6),
                updated: at,
            };
        }
        Some(surprise)
    }

    /// Makes the pairs of a victim with classes outside `weights` unknown and keeps their means.
    fn doubt_absent(&mut self, victim: ClassId, weights: &[(ClassId, f32)], at: TimeMs) {
        let variance = self.settings.doubt_deviation.powi(2);
        let row = usize::from(victim.0) * self.stride;
        for aggressor in 0..self.stride {
            let pair = self.pairs[row + aggressor];
            let present = weights.iter().any(|(class, _)| usize::from(class.0) == aggressor);
            if !present && self.variance_at(&pair, at) < variance {
                self.pairs[row + aggressor] = Pair { variance, updated: at, ..pair };
            }
        }
    }

    /// The average weights over an interval. Nothing is returned if the history does not reach back to its start.
    fn weights_between(&self, worker: WorkerKey, start: TimeMs, end: TimeMs) -> Option<Vec<(ClassId, f32)>> {
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

    fn variance_at(&self, pair: &Pair, now: TimeMs) -> f32 {
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
        let empty = Pair { mean, variance: deviation * deviation, updated: TimeMs(0) };
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

    /// Guards against a late report that is blamed on what runs when it arrives.
    #[test]
    fn a_late_report_is_attributed_to_what_ran_then() {
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

    /// Guards against trust in what was learned before the load shifted.
    #[test]
    fn a_surprise_is_learned_within_a_few_reports() {
        let (worker, mut model) = (worker(), Interference::default());
        model.record_composition(worker, vec![(SERVICE, 1.0), (NOISY, 1.0)], TimeMs(0));
        let at = |n: u64| (TimeMs(n * 5_000), TimeMs(n * 5_000 + 5_000));
        (0..100).for_each(|n| _ = model.observe(worker, SERVICE, 1.0, at(n), 1.02));
        (100..104).for_each(|n| _ = model.observe(worker, SERVICE, 1.0, at(n), 1.6));
        assert!(model.effect(SERVICE, NOISY, TimeMs(104 * 5_000)).mean > 0.4);
        let later = TimeMs(104 * 5_000 + 4 * 3_600_000);
        assert!(!model.is_known(SERVICE, NOISY, later));
    }

    /// Guards against a full-speed start on the word of evidence that is minutes old: the load may have shifted since.
    #[test]
    fn a_pair_without_new_evidence_is_unknown_again_within_minutes() {
        let mut model = Interference::default();
        model.set_effect(SERVICE, QUIET, Effect { mean: 0.0, deviation: 0.0 }, TimeMs(0));
        assert!(model.is_known(SERVICE, QUIET, TimeMs(60_000)));
        assert!(!model.is_known(SERVICE, QUIET, TimeMs(7 * 60_000)));
        assert!(model.effect(SERVICE, QUIET, TimeMs(7 * 60_000)).mean < 0.001);
    }

    /// Guards against a full-speed start beside a service on the word of reports from before its load shifted.
    #[test]
    fn a_surprising_slowdown_makes_absent_classes_unknown() {
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
