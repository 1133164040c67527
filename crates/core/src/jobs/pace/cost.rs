/*!
Which background images run at which share of full speed: the choice with the lowest expected cost.

The load that this answers: hosts with serving tasks whose loads swing on their own, beside background tasks of several
images. Keeping every latency far from its target costs callers more than it protects: one serving task near its target, for
whatever reason, would pause images that hardly affect it, and a paused task delays its whole step. Both sides are therefore
weighed in one unit, processor time. A paused image loses the processors that it would use. A serving task loses its
requested processors for as long as its latency is above the target because of background tasks; time above the target that
it would spend there anyway costs nothing.

The cost is not convex: two images can exceed a target only together, and pausing either alone then gains nothing. The search
starts both from full speed and from a pause of all, improves one image at a time, and takes the better end.
*/

/// The shares of full speed that an image can get, in percent.
const LEVELS: [u8; 5] = [0, 25, 50, 75, 100];
/// The cost of processors of serving tasks that are above their target because of background tasks, relative to that of
/// background work that is not done. For the users such time weighs four times as much as other lost time of a serving task,
/// whose processors are worth about a third of those of background jobs that end in time.
const ABOVE_TARGET_WEIGHT: f32 = 4.0 / 3.0;
/// The factor for tasks that a pause has lately brought below their target: the estimate that let them rise above it was
/// wrong.
const PROTECTED_FACTOR: f32 = 4.0;
/// The scale of the logistic distribution of the next measurement around the expected one, as a logarithm of the latency.
const MEASUREMENT_SCALE: f32 = 0.08;
/// The shares change only if this saves at least so much, as a fraction of the host's processors: each change costs a call to
/// the endpoint for each task.
const MIN_SAVING: f32 = 0.005;
/// An image that adds less than this to the logarithm of each tail latency runs at full speed.
const NEGLIGIBLE: f32 = 0.03;
/// The maximum number of rounds of the search over all images.
const MAX_ROUNDS: usize = 4;

/// A serving task as the choice sees it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Victim {
    /// The expected logarithm of the ratio of latency to target without background tasks.
    pub baseline: f32,
    /// The requested processors, as a fraction of the host's.
    pub cpu_share: f32,
    /// Whether a pause has lately brought the latency below its target.
    pub protected: bool,
}

/// A background image as the choice sees it.
#[derive(Debug, Clone)]
pub(super) struct Aggressor {
    /// The processors at full speed, as a fraction of the host's.
    pub demand: f32,
    /// What it adds to the logarithm of the latency of each victim at full speed.
    pub effects: Vec<f32>,
    /// The present share of full speed, in percent.
    pub percent: u8,
}

/// The share of full speed for each aggressor, in percent. Linear in the number of victims times the square of the number of
/// aggressors that disturb any of them.
pub(super) fn cheapest_percents(victims: &[Victim], aggressors: &[Aggressor]) -> Vec<u8> {
    let is_harmless = |aggressor: &Aggressor| aggressor.effects.iter().all(|effect| *effect < NEGLIGIBLE);
    let harmful: Vec<&Aggressor> = aggressors.iter().filter(|aggressor| !is_harmless(aggressor)).collect();
    let search = Search { victims, aggressors: &harmful };
    let full = search.descend_from(LEVELS.len() - 1);
    let paused = search.descend_from(0);
    let best = if search.cost(&paused) < search.cost(&full) { paused } else { full };
    let present: Vec<usize> = harmful.iter().map(|aggressor| level_at_least(aggressor.percent)).collect();
    let saving = search.cost(&present) - search.cost(&best);
    let mut chosen = if saving < MIN_SAVING { present } else { best }.into_iter();
    aggressors
        .iter()
        .map(|aggressor| if is_harmless(aggressor) { 100 } else { chosen.next().map_or(100, |level| LEVELS[level]) })
        .collect()
}

/// The index of the lowest level that is not below `percent`.
fn level_at_least(percent: u8) -> usize {
    LEVELS.iter().position(|level| *level >= percent).unwrap_or(LEVELS.len() - 1)
}

/// The probability that a latency with this expected logarithm of its ratio to the target is measured above the target.
fn probability_above(level: f32) -> f32 {
    1.0 / (1.0 + (-level / MEASUREMENT_SCALE).exp())
}

/// The search for the cheapest levels. Levels are indexes into [`LEVELS`], one for each aggressor.
struct Search<'a> {
    victims: &'a [Victim],
    aggressors: &'a [&'a Aggressor],
}

impl Search<'_> {
    /// The expected cost, as a fraction of the host's processors.
    fn cost(&self, levels: &[usize]) -> f32 {
        let pace = |level: usize| f32::from(LEVELS[level]) / 100.0;
        let lost: f32 =
            self.aggressors.iter().zip(levels).map(|(aggressor, level)| aggressor.demand * (1.0 - pace(*level))).sum();
        let above = self.victims.iter().enumerate().map(|(index, victim)| {
            let effects = self.aggressors.iter().zip(levels);
            let added: f32 = effects.map(|(aggressor, level)| aggressor.effects[index] * pace(*level)).sum();
            let caused = probability_above(victim.baseline + added) - probability_above(victim.baseline);
            let factor = if victim.protected { PROTECTED_FACTOR } else { 1.0 };
            factor * victim.cpu_share * caused
        });
        lost + ABOVE_TARGET_WEIGHT * above.sum::<f32>()
    }

    /// The levels that no change of a single one improves, or those after the last round.
    fn descend_from(&self, start: usize) -> Vec<usize> {
        let mut levels = vec![start; self.aggressors.len()];
        let mut cost = self.cost(&levels);
        for _ in 0..MAX_ROUNDS {
            let cost_before = cost;
            for index in 0..levels.len() {
                let mut best = levels[index];
                for level in 0..LEVELS.len() {
                    levels[index] = level;
                    let candidate = self.cost(&levels);
                    if candidate < cost {
                        (cost, best) = (candidate, level);
                    }
                }
                levels[index] = best;
            }
            if cost >= cost_before {
                break;
            }
        }
        levels
    }
}
