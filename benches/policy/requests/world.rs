//! Entries, agents and endpoints in virtual time: a small event loop without clock or threads.

use std::{cmp::Reverse, collections::BinaryHeap};

use fescuelead::core::{
    balance::{EndpointReport, Permit, Reserved, TimeUs},
    ids::AvailabilityZone,
    slots::{Admitted, Next, SlotKey, SlotLimits, SlotTable, WaitTicket},
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::entry::{Back, Entry, Step};

/// Slots of an endpoint.
pub const SLOTS: u32 = 8;
/// Connections of an endpoint.
pub const CONNECTIONS: u32 = 64;
/// Mean time that a request holds a slot.
pub const MEAN_US: f64 = 40_000.0;
/// Spread of the logarithm of that time.
const SIGMA: f64 = 0.5;
/// The time to the deadline of a request.
pub const DEADLINE_US: u64 = 400_000;
/// One-way delay within an availability zone.
const NEAR_US: u64 = 100;
/// Interval of the reports of agents.
const REPORT_US: u64 = 500_000;
/// Interval of the timers of entries.
const TICK_US: u64 = 10_000;
/// Time after which a failing endpoint answers an error.
const ERROR_US: u64 = 1_000;
/// Requests after which a cold endpoint is at full speed.
const COLD_REQUESTS: f64 = 100.0;

/// One of the two deployments, as far as requests see it.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub zones: usize,
    pub far_us: u64,
    pub entries: usize,
    pub endpoints: usize,
}

/// Both users' sizes of today.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment { zones: 3, far_us: 500, entries: 3, endpoints: 10 },
    Deployment { zones: 4, far_us: 1_000, entries: 4, endpoints: 10 },
];

impl Deployment {
    /// Requests a second that all slots together can answer.
    pub fn capacity(&self) -> f64 {
        self.endpoints as f64 * f64::from(SLOTS) * 1e6 / MEAN_US
    }

    pub fn zone(&self, index: usize) -> AvailabilityZone {
        AvailabilityZone::new(format!("zone-{}", index % self.zones)).expect("valid id")
    }

    fn one_way_us(&self, entry: usize, endpoint: usize) -> u64 {
        if entry % self.zones == endpoint % self.zones { NEAR_US } else { self.far_us }
    }
}

/// A change of the world at a point in time.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    /// Arrivals, as a multiple of the capacity.
    Load(f64),
    /// One endpoint takes so many times as long.
    Slow(usize, f64),
    /// One endpoint, or all, answer errors at once.
    Failing(Option<usize>, bool),
    /// One host falls silent: it answers nothing and reports nothing.
    Die(usize),
    /// One endpoint announces that it leaves.
    Leave(usize),
    /// It is back, and cold.
    Return(usize),
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Open,
    Answered,
    Refused,
    Failed,
}

/// A request of a caller and what became of it.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub at: u64,
    pub deadline: u64,
    pub idempotent: bool,
    pub entry: usize,
    pub fate: Fate,
    pub done: u64,
    /// Copies that were sent to agents.
    pub sent: u32,
    /// Copies that an endpoint worked on.
    pub runs: u32,
    /// Tries of the caller before this one.
    pub tries: u32,
    /// The caller's first try.
    pub first_at: u64,
}

/// One copy of a request on its way.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub request: usize,
    pub entry: usize,
    pub copy: u64,
    pub endpoint: usize,
}

#[derive(Debug)]
enum Event {
    Arrive,
    AtAgent(Sent),
    Done(Sent, Box<Permit<SlotKey, fescuelead::core::balance::Dispatched>>, bool),
    AtEntry(Sent, Back, EndpointReport),
    Report(usize),
    ReportAt(usize, usize, EndpointReport),
    Tick(usize),
    Wake(usize, Step),
    CallerRetry(usize),
    Change(Change),
}

struct Scheduled(u64, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Endpoint {
    table: SlotTable,
    key: SlotKey,
    waiting: Vec<(WaitTicket, Sent)>,
    slow: f64,
    failing: bool,
    dead_since: Option<u64>,
    leaving_since: Option<u64>,
    served_since_return: Option<f64>,
}

/// What a run has counted beside its requests.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    pub hedges: u64,
    pub retries: u64,
    /// Requests that an endpoint began after it announced that it leaves: the longest time after the announcement.
    pub begun_after_leave_us: Option<u64>,
    /// Requests that were sent to it after that, as above.
    pub sent_after_leave_us: Option<u64>,
    /// Copies that were sent to a dead host.
    pub sent_to_dead: u64,
    /// The last of them after its death.
    pub sent_after_death_us: u64,
    /// Copies that were sent to the first endpoint, and to all.
    pub sent_to_first: u64,
    pub sent: u64,
    /// The most requests at an endpoint at one time, running.
    pub most_running: u32,
}

/// The simulated deployment.
pub struct World {
    pub deployment: Deployment,
    pub requests: Vec<Request>,
    pub counts: Counts,
    pub now: u64,
    pub rng: ChaCha8Rng,
    arrivals: ChaCha8Rng,
    service: ChaCha8Rng,
    events: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    entries: Vec<Entry>,
    endpoints: Vec<Endpoint>,
    load: f64,
    non_idempotent: f64,
    caller_tries: u32,
}

impl World {
    /// A healthy deployment; `waiting_room` belongs to the agents, `make` builds the entries.
    pub fn new(
        seed: u64,
        deployment: Deployment,
        waiting_room: u32,
        make: impl Fn(&Deployment, usize) -> Entry,
    ) -> Self {
        let limits = SlotLimits { slots: SLOTS, connections: CONNECTIONS };
        let endpoints = (0..deployment.endpoints).map(|_| {
            let mut table = SlotTable::new(waiting_room);
            let key = table.announce(limits);
            Endpoint {
                table,
                key,
                waiting: Vec::new(),
                slow: 1.0,
                failing: false,
                dead_since: None,
                leaving_since: None,
                served_since_return: None,
            }
        });
        let mut world = Self {
            deployment,
            requests: Vec::new(),
            counts: Counts::default(),
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            arrivals: ChaCha8Rng::seed_from_u64(seed ^ 0xA441),
            service: ChaCha8Rng::seed_from_u64(seed ^ 0x5E41),
            events: BinaryHeap::new(),
            sequence: 0,
            entries: (0..deployment.entries).map(|index| make(&deployment, index)).collect(),
            endpoints: endpoints.collect(),
            load: 0.0,
            non_idempotent: 0.0,
            caller_tries: 1,
        };
        world.schedule(0, Event::Arrive);
        (0..deployment.entries).for_each(|entry| world.schedule(0, Event::Tick(entry)));
        for endpoint in 0..deployment.endpoints {
            world.schedule(endpoint as u64 * REPORT_US / deployment.endpoints as u64, Event::Report(endpoint));
        }
        world
    }

    /// Sets the share of requests that are not idempotent.
    pub fn with_non_idempotent(self, share: f64) -> Self {
        Self { non_idempotent: share, ..self }
    }

    /// Sets how often a caller tries in all.
    pub fn with_caller_tries(self, caller_tries: u32) -> Self {
        Self { caller_tries, ..self }
    }

    /// Plans a change.
    pub fn at(mut self, second: f64, change: Change) -> Self {
        self.schedule((second * 1e6) as u64, Event::Change(change));
        self
    }

    /// Runs to the given second and lets what is in flight end, for ten seconds at most.
    pub fn run(mut self, seconds: f64) -> Self {
        let end = (seconds * 1e6) as u64;
        self.schedule(end, Event::Change(Change::Load(0.0)));
        while let Some(Reverse(Scheduled(at, _, event))) = self.events.pop() {
            if at > end + 10_000_000 {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Scheduled(at, self.sequence, event)));
    }

    /// Wakes an entry at a later time.
    pub fn wake(&mut self, at: u64, entry: usize, step: Step) {
        self.schedule(at.max(self.now), Event::Wake(entry, step));
    }

    /// Sends a copy of a request to the agent of an endpoint.
    pub fn send(&mut self, sent: Sent) {
        self.requests[sent.request].sent += 1;
        self.counts.sent += 1;
        self.counts.sent_to_first += u64::from(sent.endpoint == 0);
        if let Some(since) = self.endpoints[sent.endpoint].dead_since {
            self.counts.sent_to_dead += 1;
            self.counts.sent_after_death_us = self.now - since;
        }
        if let Some(since) = self.endpoints[sent.endpoint].leaving_since {
            self.counts.sent_after_leave_us = Some(self.now - since);
        }
        let delay_us = self.deployment.one_way_us(sent.entry, sent.endpoint);
        self.schedule(self.now + delay_us, Event::AtAgent(sent));
    }

    /// Ends a request for its caller, who may try again.
    pub fn finish(&mut self, request: usize, fate: Fate, retry_after_us: Option<u64>) {
        let now = self.now;
        let state = &mut self.requests[request];
        if state.fate != Fate::Open {
            return;
        }
        (state.fate, state.done) = (fate, now);
        let may_retry = state.idempotent || fate == Fate::Refused;
        if fate != Fate::Answered && may_retry && state.tries + 1 < self.caller_tries {
            let wait_us = retry_after_us.unwrap_or_else(|| self.rng.random_range(100_000..300_000));
            self.schedule(now + wait_us, Event::CallerRetry(request));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::AtAgent(sent) => self.at_agent(sent),
            Event::Done(sent, permit, failed) => {
                let endpoint = &mut self.endpoints[sent.endpoint];
                endpoint.table.end(*permit, TimeUs(self.now));
                self.answer(sent, if failed { Back::Error } else { Back::Answer });
                self.next_at_agent(sent.endpoint);
            }
            Event::AtEntry(sent, back, report) => self.with_entry(sent.entry, |e, w| e.back(w, sent, back, report)),
            Event::Report(endpoint) => {
                self.report(endpoint);
                self.schedule(self.now + REPORT_US, Event::Report(endpoint));
            }
            Event::ReportAt(entry, endpoint, report) => {
                self.with_entry(entry, |e, w| e.observe(endpoint, &report, w.now));
            }
            Event::Tick(entry) => {
                self.with_entry(entry, Entry::tick);
                self.schedule(self.now + TICK_US, Event::Tick(entry));
            }
            Event::Wake(entry, step) => self.with_entry(entry, |e, w| e.wake(w, step)),
            Event::CallerRetry(request) => {
                let Request { tries, first_at, idempotent, .. } = self.requests[request];
                self.offer(idempotent, tries + 1, first_at);
            }
            Event::Change(change) => self.change(change),
        }
    }

    fn with_entry(&mut self, index: usize, act: impl FnOnce(&mut Entry, &mut Self)) {
        let mut entry = std::mem::take(&mut self.entries[index]);
        act(&mut entry, self);
        self.entries[index] = entry;
    }

    fn arrive(&mut self) {
        let rate = self.load * self.deployment.capacity() / 1e6;
        if rate <= 0.0 {
            self.schedule(self.now + 1_000, Event::Arrive);
            return;
        }
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / rate;
        self.schedule(self.now + gap.ceil() as u64, Event::Arrive);
        let idempotent = self.arrivals.random::<f64>() >= self.non_idempotent;
        self.offer(idempotent, 0, self.now);
    }

    fn offer(&mut self, idempotent: bool, tries: u32, first_at: u64) {
        let entry = self.arrivals.random_range(0..self.deployment.entries);
        let request = self.requests.len();
        self.requests.push(Request {
            at: self.now,
            deadline: self.now + DEADLINE_US,
            idempotent,
            entry,
            fate: Fate::Open,
            done: 0,
            sent: 0,
            runs: 0,
            tries,
            first_at,
        });
        self.with_entry(entry, |e, w| e.offer(w, request));
    }

    fn at_agent(&mut self, sent: Sent) {
        let deadline = TimeUs(self.requests[sent.request].deadline);
        let now = TimeUs(self.now);
        let endpoint = &mut self.endpoints[sent.endpoint];
        if endpoint.dead_since.is_some() {
            return;
        }
        match endpoint.table.admit(endpoint.key, deadline, now) {
            Ok(Admitted::Start(permit)) => self.begin(sent, permit),
            Ok(Admitted::Wait(ticket)) => endpoint.waiting.push((ticket, sent)),
            Err(error) => self.answer(sent, Back::NotRun { gone: error.is_gone(), late: error.is_too_late() }),
        }
    }

    fn next_at_agent(&mut self, index: usize) {
        let now = TimeUs(self.now);
        loop {
            let endpoint = &mut self.endpoints[index];
            let Some(next) = endpoint.table.next(endpoint.key, now) else { return };
            let (Next::Start(ticket, _) | Next::Refuse(ticket, _)) = &next;
            let place = endpoint.waiting.iter().position(|(known, _)| known == ticket).expect("a ticket of ours");
            let (_, sent) = endpoint.waiting.swap_remove(place);
            match next {
                Next::Start(_, permit) => self.begin(sent, permit),
                Next::Refuse(_, error) => {
                    self.answer(sent, Back::NotRun { gone: error.is_gone(), late: error.is_too_late() });
                }
            }
        }
    }

    fn begin(&mut self, sent: Sent, permit: Permit<SlotKey, Reserved>) {
        self.requests[sent.request].runs += 1;
        let lognormal = (SIGMA * normal(&mut self.service) - SIGMA * SIGMA / 2.0).exp();
        let endpoint = &mut self.endpoints[sent.endpoint];
        let cold = endpoint.served_since_return.as_mut().map_or(1.0, |served| {
            *served += 1.0;
            1.0 + 4.0 * (-*served / COLD_REQUESTS).exp()
        });
        if let Some(since) = endpoint.leaving_since {
            self.counts.begun_after_leave_us = Some(self.now - since);
        }
        let took_us = if endpoint.failing { ERROR_US } else { (MEAN_US * lognormal * endpoint.slow * cold) as u64 };
        let running = endpoint.table.report(endpoint.key).map_or(0, |r| r.in_flight) - endpoint.waiting.len() as u32;
        self.counts.most_running = self.counts.most_running.max(running);
        let failing = endpoint.failing;
        let permit = Box::new(permit.dispatch(TimeUs(self.now)));
        self.schedule(self.now + took_us, Event::Done(sent, permit, failing));
    }

    fn answer(&mut self, sent: Sent, back: Back) {
        let endpoint = &self.endpoints[sent.endpoint];
        if endpoint.dead_since.is_some() {
            return;
        }
        let report = endpoint.table.report(endpoint.key).unwrap_or_default();
        let delay_us = self.deployment.one_way_us(sent.entry, sent.endpoint);
        self.schedule(self.now + delay_us, Event::AtEntry(sent, back, report));
    }

    fn report(&mut self, index: usize) {
        let endpoint = &self.endpoints[index];
        if endpoint.dead_since.is_some() {
            return;
        }
        let report = endpoint.table.report(endpoint.key).unwrap_or_default();
        for entry in 0..self.deployment.entries {
            let delay_us = self.deployment.one_way_us(entry, index);
            self.schedule(self.now + delay_us, Event::ReportAt(entry, index, report));
        }
        self.next_at_agent(index);
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Load(load) => self.load = load,
            Change::Slow(index, factor) => self.endpoints[index].slow = factor,
            Change::Failing(index, failing) => {
                let chosen =
                    self.endpoints.iter_mut().enumerate().filter(|(i, _)| index.is_none_or(|index| index == *i));
                chosen.for_each(|(_, endpoint)| endpoint.failing = failing);
            }
            Change::Die(index) => self.endpoints[index].dead_since = Some(self.now),
            Change::Leave(index) | Change::Return(index) => {
                let leaving = matches!(change, Change::Leave(_));
                let endpoint = &mut self.endpoints[index];
                endpoint.leaving_since = leaving.then_some(self.now);
                endpoint.served_since_return = (!leaving).then_some(0.0);
                endpoint.table.set_leaving(endpoint.key, leaving);
                self.report(index);
            }
        }
    }
}

/// A normally distributed number, by the method of Box and Muller.
fn normal(rng: &mut impl Rng) -> f64 {
    let (u, v) = (1.0 - rng.random::<f64>(), rng.random::<f64>());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
