/*!
Explores schedules in which each entry loses the store, and each agent its leaders, at times of its own.

Clients submit and cancel jobs at any entry, and operators take availability zones out of service. Entries and agents are those
of the product, in one process and in virtual time. The rules are judged by what was acknowledged and by what the endpoints start.

A seed gives the schedule of faults, clients and operators. The random pauses of entries are not seeded, so that a run with the
same seed may differ.
*/

mod support;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use fescuelead_core::{
    jobs::{JobId, JobStatus, RunOutcome, TaskRef, lease::LeasePlan},
    units::TimeMs,
};
use fescuelead_fleet::{
    clock::Clock,
    store::{Record, Stream},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    MemoryStore,
    site::{Host, Process, two_step_job, wait, zone_record},
};
use tokio::{
    runtime::Builder,
    task::{LocalSet, spawn_local},
    time::Instant,
};

/// The number of schedules, unless [`SCHEDULES_VARIABLE`] states another one.
const SCHEDULES: u64 = 150;
/// The environment variable for longer runs by hand.
const SCHEDULES_VARIABLE: &str = "FESCUELEAD_SCHEDULES";
/// In how many schedules a mutant has to show itself. One schedule in ten shows it.
const MUTANT_SCHEDULES: u64 = 300;
const ENTRIES: usize = 3;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The tasks of each step.
const TASKS: u32 = 2;
/// How long the entries run before the first fault, in milliseconds.
const START_MS: u64 = 3_000;
/// How long faults begin after that, in milliseconds.
const FAULTS_MS: u64 = 25_000;
/// How long the deployment is left alone at the end, in milliseconds: longer than leases of lost hosts and all waiting work take.
const SETTLE_MS: u64 = 30_000;
/// The least time between two staggered outages, in milliseconds.
const CALM_MS: u64 = 1_000;
/// The interval of the simulation, in milliseconds.
const TICK_MS: u64 = 10;
/// The bounds of the platform for starts after an acknowledged change, in milliseconds.
const CANCEL_MS: u64 = 3_000;
const ZONE_OUT_MS: u64 = 5_000;
/// The deadline of a client's request, in milliseconds after it was sent.
const REQUEST_MS: u64 = 2_000;

/// What an entry cannot do with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreFault {
    None,
    Refuses,
    RefusesReads,
    RefusesAppends,
    Silent,
}

impl StoreFault {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        match rng.random_range(0..6) {
            0 => Self::RefusesReads,
            1 => Self::RefusesAppends,
            2 => Self::Silent,
            _ => Self::Refuses,
        }
    }

    fn apply(self, store: &MemoryStore) {
        store.down.set(self == Self::Refuses);
        store.unreadable.set(self == Self::RefusesReads);
        store.unwritable.set(self == Self::RefusesAppends);
        store.silent.set(self == Self::Silent);
    }
}

/// What was acknowledged to clients and operators.
#[derive(Debug, Default)]
struct Acknowledged {
    accepted: BTreeSet<JobId>,
    /// When the cancellation of each job was acknowledged.
    cancelled_at: BTreeMap<JobId, Instant>,
    /// Since when zones have been out of service.
    out_since: BTreeMap<&'static str, Instant>,
}

/// What a schedule has shown.
#[derive(Debug, Default)]
struct Findings {
    starts: usize,
    cancellations: usize,
    violations: Vec<String>,
}

struct Simulation {
    rng: ChaCha8Rng,
    shared: MemoryStore,
    clock: Clock,
    entries: Vec<Process>,
    hosts: Vec<Host>,
    /// When the fault of each entry's store and of each host's connection changes next.
    next_store_change: Vec<Instant>,
    next_link_change: Vec<Instant>,
    /// Whether entries lose the store only in staggered outages.
    staggered: bool,
    /// No entry that has lost the store reaches it again before this time.
    outage_until: Instant,
    is_cut: Vec<bool>,
    acknowledged: Rc<RefCell<Acknowledged>>,
    next_job: u64,
    /// How many starts of each endpoint were looked at.
    seen_starts: Vec<usize>,
    /// When the runs on each host end.
    ends: Vec<BTreeMap<TaskRef, Instant>>,
    findings: Findings,
}

impl Simulation {
    async fn start(seed: u64, plan: LeasePlan) -> Self {
        let staggered = seed.is_multiple_of(2);
        let shared = MemoryStore::default();
        shared.put(Stream::Operator, Record::new("config", vec![1]));
        let clock = Clock::Runtime { start: Instant::now(), unix_ms: 1_700_000_000_000 };
        let mut hosts = Vec::new();
        for zone in ZONES {
            hosts.push(Host::start(&format!("host-{zone}"), zone, &shared, clock).await);
        }
        let names = ["a", "b", "c"];
        let entries = names.iter().take(ENTRIES).map(|name| Process::start(name, &shared, clock, plan)).collect();
        wait(START_MS).await;
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            shared,
            clock,
            entries,
            next_store_change: vec![
                Instant::now() + Duration::from_millis(if staggered { FAULTS_MS } else { 0 });
                ENTRIES
            ],
            staggered,
            next_link_change: vec![Instant::now(); ZONES.len()],
            outage_until: Instant::now(),
            is_cut: vec![false; ZONES.len()],
            acknowledged: Rc::default(),
            next_job: 1,
            seen_starts: vec![0; ZONES.len()],
            ends: vec![BTreeMap::new(); ZONES.len()],
            hosts,
            findings: Findings::default(),
        }
    }

    /// An instant after a random time.
    fn after(&mut self, at_least_ms: u64, at_most_ms: u64) -> Instant {
        let ms = self.rng.random_range(at_least_ms..=at_most_ms);
        Instant::now() + Duration::from_millis(ms)
    }

    async fn run(mut self) -> Findings {
        let faults_end = Instant::now() + Duration::from_millis(FAULTS_MS);
        while Instant::now() < faults_end {
            self.change_faults().await;
            self.begin_staggered_outage();
            self.disturb_calls();
            self.act();
            self.step().await;
        }
        self.heal().await;
        let settled = Instant::now() + Duration::from_millis(SETTLE_MS);
        while Instant::now() < settled {
            self.step().await;
        }
        self.check_end().await;
        self.findings
    }

    /// Begins and ends faults whose time has come.
    async fn change_faults(&mut self) {
        let now = Instant::now();
        for entry in 0..ENTRIES {
            if self.next_store_change[entry] > now {
                continue;
            }
            let store = self.entries[entry].store.clone();
            let is_served =
                !(store.down.get() || store.unreadable.get() || store.unwritable.get() || store.silent.get());
            let fault = if is_served { StoreFault::draw(&mut self.rng) } else { StoreFault::None };
            fault.apply(&store);
            self.next_store_change[entry] = match fault {
                StoreFault::None if self.staggered => Instant::now() + Duration::from_millis(FAULTS_MS),
                StoreFault::None => self.after(300, 6_000),
                _ => self.after(200, 7_000).max(self.outage_until),
            };
        }
        for host in 0..ZONES.len() {
            if self.next_link_change[host] > now {
                continue;
            }
            self.is_cut[host] = !self.is_cut[host];
            if self.is_cut[host] {
                self.hosts[host].proxy.cut().await;
            } else {
                self.hosts[host].proxy.restore().await;
            }
            self.next_link_change[host] =
                if self.is_cut[host] { self.after(50, 2_500) } else { self.after(500, 12_000) };
        }
    }

    async fn heal(&mut self) {
        for entry in &self.entries {
            StoreFault::None.apply(&entry.store);
            entry.store.lose_answers.set(0);
        }
        for host in &self.hosts {
            host.endpoint.misdirect_starts.set(0);
        }
        for host in 0..ZONES.len() {
            if std::mem::take(&mut self.is_cut[host]) {
                self.hosts[host].proxy.restore().await;
            }
        }
        for zone in std::mem::take(&mut self.acknowledged.borrow_mut().out_since).into_keys() {
            self.shared.put(Stream::Operator, zone_record(zone, false));
        }
    }

    /// Lets the leader lose the store now and then, and the other entries shortly after, so that none takes over.
    fn begin_staggered_outage(&mut self) {
        let is_calm = self.outage_until + Duration::from_millis(CALM_MS) < Instant::now();
        if !self.staggered || !is_calm || !self.rng.random_bool(0.01) {
            return;
        }
        self.outage_until = self.after(3_500, 7_000);
        for entry in 0..ENTRIES {
            if self.entries[entry].entry.metrics().leading.get() == 1 {
                StoreFault::Refuses.apply(&self.entries[entry].store);
                self.next_store_change[entry] = self.outage_until;
            } else {
                StoreFault::None.apply(&self.entries[entry].store);
                self.next_store_change[entry] = self.after(100, 800);
            }
        }
    }

    /// Loses a few answers, or lets an endpoint do nothing about a few starts, now and then.
    fn disturb_calls(&mut self) {
        let (entry, host) = (self.rng.random_range(0..ENTRIES), self.rng.random_range(0..ZONES.len()));
        let count = self.rng.random_range(1..4);
        if self.rng.random_bool(0.01) {
            self.entries[entry].store.lose_answers.set(count);
        }
        if self.rng.random_bool(0.01) {
            self.hosts[host].endpoint.lose_starts.set(count);
        }
        if self.rng.random_bool(0.01) {
            self.hosts[host].endpoint.misdirect_starts.set(count * 20);
        }
    }

    /// Lets clients and operators act now and then.
    fn act(&mut self) {
        if self.rng.random_bool(0.03) {
            self.submit_and_cancel();
        }
        if self.rng.random_bool(0.003) {
            let zone = ZONES[self.rng.random_range(0..ZONES.len())];
            let mut acknowledged = self.acknowledged.borrow_mut();
            let is_out = acknowledged.out_since.remove(zone).is_none();
            if is_out {
                acknowledged.out_since.insert(zone, Instant::now());
            }
            self.shared.put(Stream::Operator, zone_record(zone, is_out));
        }
    }

    /// A client that submits a job at one entry and may cancel it at another.
    fn submit_and_cancel(&mut self) {
        let job = JobId(self.next_job);
        self.next_job += 1;
        let at_entry = |rng: &mut ChaCha8Rng, entries: &[Process]| entries[rng.random_range(0..ENTRIES)].entry.clone();
        let submitted_at = at_entry(&mut self.rng, &self.entries);
        let cancelled_at = self.rng.random_bool(0.6).then(|| at_entry(&mut self.rng, &self.entries));
        let pause_ms = self.rng.random_range(50..2_500);
        let (acknowledged, clock) = (self.acknowledged.clone(), self.clock);
        let deadline = move || -> TimeMs { clock.now().plus_ms(REQUEST_MS) };
        spawn_local(async move {
            if submitted_at.submit(job, two_step_job(TASKS), deadline()).await.is_err() {
                return;
            }
            acknowledged.borrow_mut().accepted.insert(job);
            let Some(entry) = cancelled_at else { return };
            wait(pause_ms).await;
            if entry.cancel(job, deadline()).await == Ok(true) {
                acknowledged.borrow_mut().cancelled_at.insert(job, Instant::now());
            }
        });
    }

    /// Lets time pass, looks at what has started, and ends runs.
    async fn step(&mut self) {
        wait(TICK_MS).await;
        let now = Instant::now();
        for host in 0..ZONES.len() {
            self.hosts[host].endpoint.expire_lease();
            let started = self.hosts[host].endpoint.started.borrow()[self.seen_starts[host]..].to_vec();
            self.seen_starts[host] += started.len();
            for (task, run) in started {
                self.judge_start(host, task, run);
                let end = self.after(200, 1_500);
                self.ends[host].insert(task, end);
            }
            for (task, _) in self.ends[host].extract_if(.., |_, end| *end <= now) {
                self.hosts[host].endpoint.end(task, RunOutcome::Done);
            }
        }
    }

    fn judge_start(&mut self, host: usize, task: TaskRef, run: u32) {
        self.findings.starts += 1;
        let acknowledged = self.acknowledged.borrow();
        let since = |at: Option<&Instant>| at.map_or(0, |at| at.elapsed().as_millis() as u64);
        let cancelled_ms = since(acknowledged.cancelled_at.get(&task.job));
        if cancelled_ms > CANCEL_MS + TICK_MS {
            let violation = format!("{task} run {run} starts {cancelled_ms} ms after the cancellation");
            self.findings.violations.push(violation);
        }
        let out_ms = since(acknowledged.out_since.get(ZONES[host]));
        if out_ms > ZONE_OUT_MS + TICK_MS {
            let violation = format!("{task} run {run} starts {out_ms} ms after its zone went out");
            self.findings.violations.push(violation);
        }
        let running = self.hosts.iter().filter(|host| host.endpoint.running().contains(&task)).count();
        if running > 1 {
            self.findings.violations.push(format!("{task} run {run} starts while another run of it exists"));
        }
    }

    /// Checks that all jobs have ended as they should have.
    async fn check_end(&mut self) {
        let (accepted, cancelled) = {
            let acknowledged = self.acknowledged.borrow();
            (acknowledged.accepted.clone(), acknowledged.cancelled_at.keys().copied().collect::<BTreeSet<_>>())
        };
        self.findings.cancellations = cancelled.len();
        for entry in &self.entries {
            for &job in &accepted {
                let status = entry.entry.status(job).await;
                // A cancellation without an answer may have taken effect, and one with an answer may have come too late.
                if !matches!(status, Ok(Some(JobStatus::Completed | JobStatus::Cancelled))) {
                    let violation = format!("entry {}: job {job} is {status:?} at the end", entry.entry.name());
                    self.findings.violations.push(violation);
                }
            }
        }
        let running = self.hosts.iter().flat_map(|host| host.endpoint.running());
        let abandoned: Vec<_> = running.filter(|task| cancelled.contains(&task.job)).collect();
        if !abandoned.is_empty() {
            self.findings.violations.push(format!("runs of cancelled jobs go on: {abandoned:?}"));
        }
    }
}

/// Plays the schedule of a seed with entries that have the given plan.
fn play(seed: u64, plan: LeasePlan) -> Findings {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async { Simulation::start(seed, plan).await.run().await })
}

/// Guards against starts after an acknowledged change that the leader or the agent has not heard of, against two runs of a task,
/// and against jobs that are forgotten, while processes lose the store and each other at different times.
#[test]
fn processes_that_are_cut_off_keep_what_others_have_acknowledged() {
    let schedules = std::env::var(SCHEDULES_VARIABLE).map_or(SCHEDULES, |count| count.parse().expect("a number"));
    let (mut starts, mut cancellations) = (0, 0);
    for seed in 0..schedules {
        let findings = play(seed, LeasePlan::new(6_000));
        assert!(findings.violations.is_empty(), "seed {seed}: {:#?}", findings.violations);
        starts += findings.starts;
        cancellations += findings.cancellations;
    }
    // Otherwise the faults leave nothing to judge.
    assert!(starts > 50 * schedules as usize, "{starts} starts in {schedules} schedules");
    assert!(cancellations > 5 * schedules as usize, "{cancellations} cancellations in {schedules} schedules");
}

/// Shows that the simulation finds a leader that sends starts however old its copies of the store are.
#[test]
fn a_leader_with_copies_of_any_age_is_found() {
    let plan = LeasePlan::new(6_000).with_cancel_period(60_000).with_zone_out_period(60_000);
    let found = (0..MUTANT_SCHEDULES).any(|seed| !play(seed, plan).violations.is_empty());
    assert!(found, "no violation in {MUTANT_SCHEDULES} schedules");
}
