/*!
Selection of a worker for a task.

[`Placer::place`] reads a [`View`] and returns a [`Decision`]. Reservations use declared sizes and never exceed the free
capacity of a worker. Among the workers where a task fits, estimates and measurements decide:

1. A bounded sample of workers is drawn. Each has room for the declared size, is trusted, and is in an availability zone
   that is in service. While a zone is refilled after an outage, each of its workers has to be below the load that the
   refill allows so far.
2. A worker is rejected if a service on it would be slowed beyond its budget, or if the estimated memory would not fit.
3. The rest are scored by the slowdown of both sides, contention by estimated use, accelerator fragmentation, spread, age
   of the last report, and slack. The lowest cost wins.

Running tasks are throttled, moved or evicted in `remedy`; an availability zone is drained in `drain`.
*/

use std::fmt;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::table::Slot;
use crate::{
    ids::TeamId,
    interference::{ClassId, Interference},
    profile::{Kind, Spread, Weights},
    suspect::Suspicions,
    units::{Resources, TimeMs},
};

mod drain;
mod preempt;
mod quota;
mod remedy;
mod score;
mod table;

pub use self::{
    drain::{DrainSettings, ZoneDrain},
    preempt::{PreemptCandidate, Preemption, preempt},
    quota::Quotas,
    remedy::{Remedies, Remedy, RemedySettings, ServiceReading, TaskReading},
    score::Score,
    table::{RackIndex, Resident, Worker, WorkerKey, WorkerTable, WorkerUpdate, ZoneIndex},
};

/// Settings of placement. Each mechanism can be switched off, for the ablation runs of the policy benchmark.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    /// The maximum number of feasible workers that are scored per decision.
    pub max_scored: usize,
    /// Standard deviations added to the expected slowdown before it is compared with the budget.
    pub slowdown_deviations: f32,
    /// Duration of the gradual refill of an availability zone that is back in service, in milliseconds.
    pub ramp_ms: u64,
    /// Include the expected slowdown in the cost, and reject workers where it exceeds a budget.
    pub use_interference: bool,
    /// Allow a pair of classes without observations, one at a time per worker and only beside services that meet their
    /// SLO.
    pub explore: bool,
    /// Include contention by estimated use in the cost, and reject workers whose memory it would exceed.
    pub use_estimates: bool,
    /// Include accelerator fragmentation in the cost.
    pub avoid_fragmentation: bool,
    /// The cost of a worker whose processors would all stay free; smaller remainders cost proportionally less.
    pub slack_weight: f32,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            max_scored: 64,
            slowdown_deviations: 1.0,
            ramp_ms: 60_000,
            use_interference: true,
            explore: true,
            use_estimates: true,
            avoid_fragmentation: true,
            slack_weight: 0.05,
        }
    }
}

/// The slowdown that a service may suffer from its neighbours, as a fraction, derived from its owner's weights: 0.1
/// with equal weights, and smaller the higher the weight of tail latency.
pub fn slowdown_budget(weights: &Weights) -> f32 {
    let others = (weights.throughput + weights.evictions) as f32 / 2.0;
    let tail = weights.tail as f32;
    let share = if tail + others > 0.0 { tail / (tail + others) } else { 0.5 };
    (0.2 * (1.0 - share)).clamp(0.06, 0.12)
}

/// A task to be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// The class under which interference is estimated.
    pub class: ClassId,
    /// The kind of its profile.
    pub kind: Kind,
    /// The team whose quota is charged.
    pub team: TeamId,
    /// The declared size, which is reserved.
    pub declared: Resources,
    /// The estimated use. It is not reserved, but affects the cost and the check of the memory.
    pub expected: Resources,
    /// The failure domain over which tasks of its profile are spread.
    pub spread: Spread,
    /// Workers on which the task failed before. They are used only if it fits nowhere else.
    pub avoid: Vec<WorkerKey>,
}

/// The inputs of a decision.
#[derive(Debug, Clone, Copy)]
pub struct View<'v> {
    /// The known workers with their free capacity.
    pub table: &'v WorkerTable,
    /// The estimated slowdown between classes.
    pub interference: &'v Interference,
    /// The trust in workers after task failures.
    pub suspicions: &'v Suspicions,
    /// The quotas of teams and their current use.
    pub quotas: &'v Quotas,
}

/// The result of a placement decision.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// Start the task on this worker.
    Place {
        /// The worker with the lowest cost.
        worker: WorkerKey,
        /// The cost of this worker and its parts.
        score: Score,
    },
    /// Leave the task in the queue.
    Wait {
        /// The check that failed for the workers considered.
        reason: WaitReason,
    },
    /// The task cannot run with the workers and quotas known now. It must not block others, and its caller is informed.
    Never {
        /// The check that failed.
        reason: NeverReason,
    },
}

/// Why a task has to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// No worker in service has enough free capacity.
    Capacity,
    /// The task would exceed what is left of the team's quota.
    Quota,
    /// All workers with room are suspected, already hold as many tasks as their trust allows, or are in an availability
    /// zone that is still being refilled.
    Trust,
    /// On every worker considered, the task would slow a service beyond its budget or exceed the memory by estimate.
    Interference,
}

/// Why a task cannot run at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NeverReason {
    /// The task exceeds the capacity of every known worker.
    LargerThanAnyWorker {
        /// The largest capacity per dimension.
        largest: Resources,
    },
    /// The task needs more accelerators than any known worker has.
    NoSuchAccelerators {
        /// The largest number of accelerators of one worker.
        most: u32,
    },
    /// The task exceeds its team's whole quota.
    QuotaTooSmall {
        /// The quota of the team.
        quota: Resources,
    },
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Capacity => "no worker has enough free; it waits for running tasks to end",
            Self::Quota => "the team holds its whole quota; it waits for the team's running tasks to end",
            Self::Trust => "workers with room are suspected or in an availability zone that is being refilled",
            Self::Interference => "wherever it fits it would slow a service beyond its budget",
        })
    }
}

impl fmt::Display for NeverReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LargerThanAnyWorker { largest } => {
                write!(f, "no known worker is this large; ask for at most {largest}, or for fewer dimensions at once")
            }
            Self::NoSuchAccelerators { most } => {
                write!(f, "no known worker has this many accelerators; ask for at most {most}")
            }
            Self::QuotaTooSmall { quota } => {
                write!(f, "the task is larger than the team's quota of {quota}; lower its size or raise the quota")
            }
        }
    }
}

/// Chooses workers. Its only state across calls is the random number generator of the sample.
#[derive(Debug, Clone)]
pub struct Placer {
    settings: PlacementSettings,
    random: ChaCha8Rng,
    found: Vec<WorkerKey>,
}

impl Placer {
    /// Creates a placer with default settings. Equal seeds give equal samples.
    pub fn new(seed: u64) -> Self {
        let settings = PlacementSettings::default();
        Self { settings, random: ChaCha8Rng::seed_from_u64(seed), found: Vec::new() }
    }

    /// Replaces the settings.
    pub fn with_settings(self, settings: PlacementSettings) -> Self {
        Self { settings, ..self }
    }

    /// The settings in use.
    pub fn settings(&self) -> &PlacementSettings {
        &self.settings
    }

    /// Decides on one task. Reads the capacity bound of every block of workers, in the worst case every worker once,
    /// and scores at most [`PlacementSettings::max_scored`] of them.
    pub fn place(&mut self, demand: &Demand, view: &View, now: TimeMs) -> Decision {
        if let Some(reason) = infeasible(&demand.team, &demand.declared, view.table, view.quotas) {
            return Decision::Never { reason };
        }
        if !view.quotas.allows(&demand.team, &demand.declared) {
            return Decision::Wait { reason: WaitReason::Quota };
        }
        let distrusted = self.sample(demand, view, now);
        if self.found.is_empty() {
            let reason = if distrusted { WaitReason::Trust } else { WaitReason::Capacity };
            return Decision::Wait { reason };
        }
        let scored = self.found.iter().filter_map(|key| {
            let score = score::score(&self.settings, demand, view, *key, now)?;
            Some((*key, score))
        });
        match scored.min_by(|(_, a), (_, b)| a.cost().total_cmp(&b.cost())) {
            Some((worker, score)) => Decision::Place { worker, score },
            None => Decision::Wait { reason: WaitReason::Interference },
        }
    }

    /// Fills `found`, and returns whether workers with room were rejected because they are not trusted. First probes a
    /// few workers spread over the table. Only if too few of them fit, scans the whole table except for blocks without
    /// room.
    fn sample(&mut self, demand: &Demand, view: &View, now: TimeMs) -> bool {
        let slots = view.table.slots();
        self.found.clear();
        if slots.is_empty() {
            return false;
        }
        let (limit, count) = (self.settings.max_scored, slots.len());
        let start = self.random.random_range(0..count);
        let mut found = std::mem::take(&mut self.found);
        let (mut distrusted, mut avoided) = (false, Vec::new());
        let mut consider = |slot: &Slot, found: &mut Vec<WorkerKey>| {
            if demand.declared.fits_in(&slot.free) && !view.table.is_out(slot.zone) {
                if !self.trusted(view, slot.key, demand, now) {
                    distrusted = true;
                } else if demand.avoid.contains(&slot.key) {
                    avoided.push(slot.key);
                } else {
                    found.push(slot.key);
                }
            }
        };
        let probes = if count <= limit * 8 { 0 } else { limit * 4 };
        let mut index = start;
        for _ in 0..probes {
            if found.len() >= limit {
                break;
            }
            consider(&slots[index], &mut found);
            // A step of about the golden section of the table avoids neighbours in a rack.
            index = (index + count * 618 / 1_000 + 1) % count;
        }
        if found.len() < limit / 4 {
            found.clear();
            let with_room = |range| view.table.slots_with_room(range, demand.declared);
            with_room(start..count).chain(with_room(0..start)).try_for_each(|slot| {
                consider(slot, &mut found);
                (found.len() < limit).then_some(())
            });
        }
        self.found = if found.is_empty() { avoided } else { found };
        distrusted
    }

    fn trusted(&self, view: &View, key: WorkerKey, demand: &Demand, now: TimeMs) -> bool {
        view.suspicions.trust_level(key, now).may_start() && self.within_ramp(view, key, demand, now)
    }

    /// Whether the task fits in the share of the worker that may be filled so far, if its availability zone is being
    /// refilled.
    fn within_ramp(&self, view: &View, key: WorkerKey, demand: &Demand, now: TimeMs) -> bool {
        let Some(worker) = view.table.get(key) else { return false };
        let Some(returned) = view.table.returned(worker.zone) else { return true };
        let passed = now.since_ms(returned);
        if passed >= self.settings.ramp_ms {
            return true;
        }
        let free = view.table.free(key).unwrap_or_default();
        let used = worker.capacity.minus(&free).plus(&demand.declared).cpu_milli;
        let share = 0.2 + 0.8 * passed as f64 / self.settings.ramp_ms as f64;
        f64::from(used) <= share * f64::from(worker.capacity.cpu_milli)
    }
}

/// Why a task of this size cannot run at all, or `None` if it can. Checked at submission, so that such a task never
/// enters a queue, and again by [`Placer::place`], since workers and quotas change. Linear in the number of different
/// capacities.
pub fn infeasible(team: &TeamId, declared: &Resources, table: &WorkerTable, quotas: &Quotas) -> Option<NeverReason> {
    if let Some(quota) = quotas.quota(team).filter(|quota| !declared.fits_in(quota)) {
        return Some(NeverReason::QuotaTooSmall { quota });
    }
    if table.is_empty() || table.any_fits(declared) {
        return None;
    }
    let largest = table.largest();
    Some(if declared.accelerators > largest.accelerators {
        NeverReason::NoSuchAccelerators { most: largest.accelerators }
    } else {
        NeverReason::LargerThanAnyWorker { largest }
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{
        ids::{AgentId, AvailabilityZone, RackId},
        interference::InterferenceSettings,
        profile::Team,
        suspect::SuspectSettings,
    };

    const SERVICE: ClassId = ClassId(0);
    const NOISY: ClassId = ClassId(1);

    struct Fixture {
        table: WorkerTable,
        interference: Interference,
        suspicions: Suspicions,
        quotas: Quotas,
    }

    impl Fixture {
        fn new() -> Self {
            let trusting = SuspectSettings { enabled: false, ..SuspectSettings::default() };
            let mut quotas = Quotas::new();
            let quota = Resources::new(64_000, 64_000).with_accelerators(8);
            quotas.set_quota(team(), &Team::new(quota));
            let (table, interference) = (WorkerTable::new(), Interference::default());
            Self { table, interference, suspicions: Suspicions::new(trusting), quotas }
        }

        fn worker(&mut self, name: &str, zone: &str, free: Resources, residents: Vec<Resident>) -> WorkerKey {
            let update = WorkerUpdate {
                agent: AgentId::new(name).expect("valid id"),
                availability_zone: AvailabilityZone::new(zone).expect("valid id"),
                rack: RackId::new(name).expect("valid id"),
                capacity: Resources::new(16_000, 32_000).with_accelerators(free.accelerators),
                free,
                expected_use: Resources::ZERO,
                residents,
            };
            self.table.update(update, TimeMs(0))
        }

        fn place(&self, demand: &Demand, now: u64) -> Decision {
            let Self { table, interference, suspicions, quotas } = self;
            Placer::new(1).place(demand, &View { table, interference, suspicions, quotas }, TimeMs(now))
        }
    }

    fn team() -> TeamId {
        TeamId::new("labels").expect("valid id")
    }

    fn demand(declared: Resources) -> Demand {
        let spread = Spread::None;
        Demand { class: NOISY, kind: Kind::Batch, team: team(), declared, expected: declared, spread, avoid: vec![] }
    }

    fn service() -> Resident {
        Resident { class: SERVICE, kind: Kind::LatencyCritical, weight: 1.0, misses_slo: false, budget: 0.1 }
    }

    fn chosen(decision: Decision) -> Option<WorkerKey> {
        match decision {
            Decision::Place { worker, .. } => Some(worker),
            _ => None,
        }
    }

    /// Guards against reservations beyond a worker's capacity and against starts in an availability zone that is out of
    /// service.
    #[test]
    fn only_workers_with_room_in_zones_in_service_are_chosen() {
        let mut f = Fixture::new();
        f.worker("full", "a", Resources::new(500, 500), vec![]);
        let out = f.worker("out", "b", Resources::new(16_000, 32_000), vec![]);
        let small = demand(Resources::new(1_000, 1_000));
        assert_eq!(chosen(f.place(&small, 0)), Some(out));
        f.table.set_zone_out(&AvailabilityZone::new("b").expect("valid id"), true, TimeMs(0));
        assert_eq!(f.place(&small, 0), Decision::Wait { reason: WaitReason::Capacity });
    }

    /// Guards against filling an availability zone in one burst when it is back in service.
    #[test]
    fn a_returning_zone_is_filled_gradually() {
        let mut f = Fixture::new();
        let zone = AvailabilityZone::new("a").expect("valid id");
        let key = f.worker("w", "a", Resources::new(12_000, 32_000), vec![]);
        f.table.set_zone_out(&zone, true, TimeMs(0));
        f.table.set_zone_out(&zone, false, TimeMs(0));
        let task = demand(Resources::new(1_000, 1_000));
        assert_eq!(f.place(&task, 1_000), Decision::Wait { reason: WaitReason::Trust });
        assert_eq!(chosen(f.place(&task, 30_000)), Some(key));
    }

    /// Guards against block bounds that hide workers with room: the result has to equal a scan of every slot.
    #[test]
    fn sampling_finds_the_same_workers_as_a_full_scan() {
        for seed in 0..200 {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let (mut f, names) = (Fixture::new(), random.random_range(1..500));
            for _ in 0..1_000 {
                let free = Resources::new(random.random_range(0..1_200), random.random_range(0..1_200));
                let name = random.random_range(0..names);
                let key = f.worker(&format!("w-{name}"), ["a", "b"][name % 2], free, vec![]);
                match random.random_range(0..4) {
                    0 => _ = f.table.remove(&AgentId::new(format!("w-{name}")).expect("valid id")),
                    1 => f.table.reserve(key, service(), Resources::new(600, 0), Resources::ZERO),
                    _ => {}
                }
            }
            f.worker("last", "b", Resources::ZERO, vec![]);
            f.table.set_zone_out(&AvailabilityZone::new("a").expect("valid id"), seed % 3 == 0, TimeMs(0));
            let task = demand(Resources::new(1_000, random.random_range(0..1_200)));
            let Fixture { table, interference, suspicions, quotas } = &f;
            let mut placer = Placer::new(seed);
            let start = placer.random.clone().random_range(0..table.len());
            placer.sample(&task, &View { table, interference, suspicions, quotas }, TimeMs(0));
            let slots = table.slots()[start..].iter().chain(&table.slots()[..start]);
            let fits = |slot: &&Slot| task.declared.fits_in(&slot.free) && !table.is_out(slot.zone);
            let scanned: Vec<_> = slots.filter(fits).map(|slot| slot.key).take(placer.settings.max_scored).collect();
            assert_eq!(placer.found, scanned, "seed {seed}");
        }
    }

    /// Guards against tasks that cannot run and wait forever without a reason.
    #[test]
    fn infeasible_tasks_get_a_typed_reason() {
        let mut f = Fixture::new();
        f.worker("w", "a", Resources::new(16_000, 32_000), vec![]);
        let reason = |d: Decision| match d {
            Decision::Never { reason } => Some(reason),
            _ => None,
        };
        let large = f.place(&demand(Resources::new(17_000, 1)), 0);
        assert!(matches!(reason(large), Some(NeverReason::LargerThanAnyWorker { .. })));
        let accelerators = f.place(&demand(Resources::new(1, 1).with_accelerators(1)), 0);
        assert_eq!(reason(accelerators), Some(NeverReason::NoSuchAccelerators { most: 0 }));
        let quota = f.place(&demand(Resources::new(65_000, 1)), 0);
        assert!(matches!(reason(quota), Some(NeverReason::QuotaTooSmall { .. })));
    }

    /// Guards against quotas that each entry applies only to its own tasks.
    #[test]
    fn a_team_that_holds_its_quota_waits() {
        let mut f = Fixture::new();
        f.worker("w", "a", Resources::new(16_000, 32_000), vec![]);
        f.quotas.hold(&team(), &Resources::new(63_500, 1));
        let decision = f.place(&demand(Resources::new(1_000, 1)), 0);
        assert_eq!(decision, Decision::Wait { reason: WaitReason::Quota });
    }

    /// Guards against batch tasks beside a service that they are known to slow.
    #[test]
    fn a_known_harmful_pair_is_kept_apart() {
        let mut f = Fixture::new();
        let beside = f.worker("beside", "a", Resources::new(16_000, 32_000), vec![service()]);
        let away = f.worker("away", "a", Resources::new(16_000, 32_000), vec![]);
        f.interference = Interference::new(InterferenceSettings::default());
        f.interference.record_composition(beside, vec![(SERVICE, 1.0), (NOISY, 1.0)], TimeMs(0));
        for n in 0..20 {
            let interval = (TimeMs(n * 1_000), TimeMs(n * 1_000 + 1_000));
            f.interference.observe(beside, SERVICE, 1.0, interval, 1.4);
        }
        let task = demand(Resources::new(1_000, 1_000));
        assert_eq!(chosen(f.place(&task, 20_000)), Some(away));
        f.table.remove(&AgentId::new("away").expect("valid id"));
        assert_eq!(f.place(&task, 20_000), Decision::Wait { reason: WaitReason::Interference });
    }

    /// Guards against a full-speed start beside a service without observations of the pair.
    #[test]
    fn an_unknown_pair_starts_throttled_and_only_beside_services_that_meet_their_slo() {
        let mut f = Fixture::new();
        f.worker("w", "a", Resources::new(16_000, 32_000), vec![service()]);
        let task = demand(Resources::new(1_000, 1_000));
        let percent = match f.place(&task, 0) {
            Decision::Place { score, .. } => score.start_percent(),
            _ => 0,
        };
        assert!((1..100).contains(&percent));
        f.worker("w", "a", Resources::new(16_000, 32_000), vec![Resident { misses_slo: true, ..service() }]);
        assert_eq!(f.place(&task, 0), Decision::Wait { reason: WaitReason::Interference });
    }

    /// Guards against tasks without accelerators on accelerator hosts, and against using one accelerator of an idle
    /// host while a partly used one has room.
    #[test]
    fn accelerators_are_not_fragmented() {
        let mut f = Fixture::new();
        let whole = f.worker("whole", "a", Resources::new(16_000, 32_000).with_accelerators(8), vec![]);
        let rest = f.worker("rest", "a", Resources::new(16_000, 32_000).with_accelerators(1), vec![]);
        let plain = f.worker("plain", "a", Resources::new(16_000, 32_000), vec![]);
        let task = Resources::new(1_000, 1_000);
        assert_eq!(chosen(f.place(&demand(task), 0)), Some(plain));
        assert_eq!(chosen(f.place(&demand(task.with_accelerators(1)), 0)), Some(rest));
        assert_eq!(chosen(f.place(&demand(task.with_accelerators(4)), 0)), Some(whole));
    }
}
