//! The cost of placing one task on one worker.

use crate::{
    placement::{Demand, PlacementSettings, View, Worker, WorkerKey},
    profile::{Kind, Spread},
    units::TimeMs,
};

/// Reports up to this age add no cost. Older ones do, since the state of the worker may have changed.
const MAX_FRESH_AGE_MS: u64 = 2_000;
/// Cost of an estimated use that exceeds the processors by their whole capacity.
const CONTENTION_COST: f32 = 2.0;
/// Cost of leaving all accelerators of a host unused beside the task; fewer unused ones cost proportionally less.
const FRAGMENTATION_COST: f32 = 0.5;
/// Cost per task of the same class in the same rack or availability zone.
const SPREAD_COST: f32 = 0.2;
/// Throttle, in percent, of a task that starts beside a service without observations of the pair. At 30% a noisy class
/// keeps the service within its SLO until the first reports are in, and those reports still separate harmful from
/// harmless.
pub(super) const TRIAL_PERCENT: u8 = 30;
/// The maximum expected slowdown by a neighbour that is added to a service that misses its SLO.
const MAX_HARMLESS_SLOWDOWN: f32 = 0.01;

/// The cost of a worker, split by cause. Lower is better.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Score {
    /// Weighted expected slowdown of the services, the task itself and other tasks on the worker.
    pub interference: f32,
    /// Use of processors beyond their capacity, by estimate.
    pub contention: f32,
    /// Accelerators that would be left unused or become unavailable.
    pub fragmentation: f32,
    /// Tasks of the same class in the same rack or availability zone.
    pub spread: f32,
    /// Age of the worker's last report.
    pub staleness: f32,
    /// Processors that would stay free. A tight fit costs less.
    pub slack: f32,
    /// Whether a service on the worker has too few observations with the task's class.
    pub explores: bool,
}

impl Score {
    /// The initial throttle of the task, in percent. [`Remedies`](crate::placement::Remedies) raises it once reports
    /// show that the task does no harm.
    pub fn start_percent(&self) -> u8 {
        if self.explores { TRIAL_PERCENT } else { 100 }
    }

    /// The total cost.
    pub fn cost(&self) -> f32 {
        self.interference + self.contention + self.fragmentation + self.spread + self.staleness + self.slack
    }
}

/// Writes the total and its parts, largest first. Parts that round to zero are left out.
impl std::fmt::Display for Score {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut parts = [
            ("interference", self.interference),
            ("contention", self.contention),
            ("fragmentation", self.fragmentation),
            ("spread", self.spread),
            ("old report", self.staleness),
            ("slack", self.slack),
        ];
        parts.sort_by(|a, b| b.1.total_cmp(&a.1));
        write!(f, "cost {:.2}", self.cost())?;
        let shown = parts.iter().filter(|(_, cost)| cost.abs() >= 0.005);
        shown.enumerate().try_for_each(|(index, (name, cost))| {
            write!(f, "{}{name} {cost:.2}", if index == 0 { " = " } else { " + " })
        })
    }
}

/// Scores a worker. Returns `None` if it left the table or the task must not run there.
pub(super) fn score(
    settings: &PlacementSettings,
    demand: &Demand,
    view: &View,
    key: WorkerKey,
    now: TimeMs,
) -> Option<Score> {
    let worker = view.table.get(key)?;
    let free = view.table.free(key)?;
    let (interference, explores) = match settings.use_interference {
        true => slowdown(settings, demand, view, worker, now)?,
        false => (0.0, false),
    };
    let contention = if settings.use_estimates { contention(demand, worker)? } else { 0.0 };
    let left = free.minus(&demand.declared);
    let share = |part: u32, whole: u32| if whole == 0 { 0.0 } else { part as f32 / whole as f32 };
    let slack = settings.slack_weight * share(left.cpu_milli, worker.capacity.cpu_milli);
    let split = if demand.declared.accelerators > 0 { left.accelerators } else { free.accelerators };
    let fragmentation = match settings.avoid_fragmentation {
        true => FRAGMENTATION_COST * share(split, worker.capacity.accelerators.max(8)),
        false => 0.0,
    };
    let spread = SPREAD_COST
        * match demand.spread {
            Spread::None => 0.0,
            Spread::Rack => view.table.in_rack(demand.class, worker.rack),
            Spread::AvailabilityZone => view.table.in_zone(demand.class, worker.zone),
        };
    let age_ms = now.since_ms(worker.reported).saturating_sub(MAX_FRESH_AGE_MS);
    let staleness = (age_ms as f32 / 60_000.0).min(1.0);
    Some(Score { interference, contention, fragmentation, spread, staleness, slack, explores })
}

/// The cost of the expected slowdown, and whether a pair without enough observations is involved. `None` if a service
/// would
/// be slowed beyond its budget, or must not be exposed to such a pair now.
fn slowdown(
    settings: &PlacementSettings,
    demand: &Demand,
    view: &View,
    worker: &Worker,
    now: TimeMs,
) -> Option<(f32, bool)> {
    let model = view.interference;
    let (mut cost, mut explores) = (0.0, false);
    for resident in &worker.residents {
        let harm = model.effect(resident.class, demand.class, now);
        let own = model.effect(demand.class, resident.class, now);
        cost += resident.weight * own.mean;
        if resident.kind != Kind::LatencyCritical {
            cost += resident.weight * harm.mean;
            continue;
        }
        let known = harm.deviation < model.settings().known_deviation;
        explores |= !known;
        let others = worker.residents.iter().filter(|r| r.kind != Kind::LatencyCritical && r.weight > 0.0);
        let mut expected = 0.0;
        let mut on_trial = false;
        for other in others {
            let effect = model.effect(resident.class, other.class, now);
            expected += other.weight * effect.mean;
            on_trial |= effect.deviation >= model.settings().known_deviation;
        }
        let allowed = if known {
            expected + harm.upper(settings.slowdown_deviations) <= resident.budget
        } else {
            settings.explore && !on_trial && !resident.misses_slo && expected + harm.mean <= resident.budget
        };
        if !allowed || (resident.misses_slo && harm.mean > MAX_HARMLESS_SLOWDOWN) {
            return None;
        }
        // A service weighs as much as four tasks, because its callers wait for it.
        cost += 4.0 * harm.mean;
    }
    Some((cost, explores))
}

/// The cost of exceeding the processors by estimate. `None` if the estimated memory does not fit beside other tasks.
fn contention(demand: &Demand, worker: &Worker) -> Option<f32> {
    let capacity = worker.capacity;
    let used = worker.expected_use.plus(&demand.expected);
    let alone = worker.expected_use.memory_mib == 0 || demand.expected.memory_mib > capacity.memory_mib;
    if used.memory_mib > capacity.memory_mib && !alone {
        return None;
    }
    let over = |used: u32, whole: u32| used.saturating_sub(whole) as f32 / whole.max(1) as f32;
    Some(CONTENTION_COST * over(used.cpu_milli, capacity.cpu_milli))
}
