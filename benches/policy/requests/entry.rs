//! An entry under one of the compared policies.

use std::collections::{BTreeMap, HashMap};

use fescuelead::core::{
    admission::{
        Admission, AdmissionPermit, AdmissionSettings, Completion, LaneKey, LaneSettings, Next, Offer, WaitKey,
    },
    balance::{
        BalanceSettings, Balancer, Dispatched, EndpointKey, EndpointReport, EndpointRequest, EndpointSpec, Outcome,
        Permit, ServiceKey, TimeUs, Unavailable,
    },
    detect::{Detector, DetectorSettings, Verdict},
    ids::{AgentId, ProfileName, ServiceName},
    profile::Kind,
    retry::{Decision, Delivery, FailedRequest, Retrier, RetrySettings},
    units::TimeMs,
};
use rand::RngExt;

use super::world::{CONNECTIONS, Deployment, Fate, SLOTS, Sent, World};

/// How long after its deadline an entry gives a request up.
const GRACE_US: u64 = 200_000;

/// What comes back for a copy of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Back {
    Answer,
    Error,
    NotRun { gone: bool, late: bool },
}

/// A timer of an entry.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    Send(usize),
    Hedge(usize),
    GiveUp(usize),
}

/// The compared policies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    RoundRobin,
    LeastLoaded,
    RandomOfTwo,
}

/// What can be switched off to see what it is worth.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    pub draws: u32,
    pub eject: bool,
    pub hedge_percent: u32,
    pub retry_percent: u32,
    pub admission: bool,
    pub ramp_us: u64,
    pub wait_percent: u32,
    pub waiting_room: u32,
    pub answers_report: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            draws: 2,
            eject: true,
            hedge_percent: 3,
            retry_percent: 10,
            admission: true,
            ramp_us: 10_000_000,
            wait_percent: 25,
            waiting_room: 4,
            answers_report: true,
        }
    }
}

#[derive(Default)]
pub enum Entry {
    /// Taken out of its place while it acts.
    #[default]
    Absent,
    Ours(Box<Ours>),
    Plain(Plain),
}

impl Entry {
    pub fn offer(&mut self, world: &mut World, request: usize) {
        match self {
            Self::Absent => return,
            Self::Ours(ours) => ours.offer(world, request),
            Self::Plain(plain) => plain.dispatch(world, request),
        }
        let (entry, give_up_at) = (world.requests[request].entry, world.requests[request].deadline + GRACE_US);
        world.wake(give_up_at, entry, Step::GiveUp(request));
    }

    pub fn back(&mut self, world: &mut World, sent: Sent, back: Back, report: EndpointReport) {
        match self {
            Self::Absent => {}
            Self::Ours(ours) => ours.back(world, sent, back, report),
            Self::Plain(plain) => plain.back(world, sent, back),
        }
    }

    pub fn observe(&mut self, endpoint: usize, report: &EndpointReport, now: u64) {
        match self {
            Self::Absent => {}
            Self::Ours(ours) => ours.observe(endpoint, report, now),
            Self::Plain(plain) => plain.observe(endpoint, report),
        }
    }

    pub fn tick(&mut self, world: &mut World) {
        if let Self::Ours(ours) = self {
            ours.tick(world);
        }
    }

    pub fn wake(&mut self, world: &mut World, step: Step) {
        match (self, step) {
            (Self::Ours(ours), Step::Send(request)) => ours.dispatch(world, request),
            (Self::Ours(ours), Step::Hedge(request)) => ours.hedge(world, request),
            (Self::Plain(plain), Step::Send(request)) => plain.dispatch(world, request),
            (Self::Ours(ours), Step::GiveUp(request)) => ours.give_up(world, request),
            (Self::Plain(_), Step::GiveUp(request)) => world.finish(request, Fate::Failed, None),
            (Self::Plain(_), Step::Hedge(_)) | (Self::Absent, _) => {}
        }
    }
}

/// An entry without admission, budgets, hedges or detection of slow endpoints. It sends a refused or failed idempotent
/// request up to three times.
pub struct Plain {
    baseline: Baseline,
    index: usize,
    next: usize,
    own: Vec<u32>,
    others: Vec<u32>,
    up: Vec<usize>,
}

impl Plain {
    pub fn new(baseline: Baseline, deployment: &Deployment, index: usize) -> Self {
        let count = deployment.endpoints;
        Self { baseline, index, next: index, own: vec![0; count], others: vec![0; count], up: (0..count).collect() }
    }

    fn choose(&mut self, world: &mut World) -> Option<usize> {
        let load = |endpoint: &usize| self.own[*endpoint] + self.others[*endpoint];
        match self.baseline {
            _ if self.up.is_empty() => None,
            Baseline::RoundRobin => {
                self.next += 1;
                Some(self.up[self.next % self.up.len()])
            }
            Baseline::LeastLoaded => {
                let start = world.rng.random_range(0..self.up.len());
                let from_start = self.up[start..].iter().chain(&self.up[..start]);
                from_start.min_by_key(|endpoint| load(endpoint)).copied()
            }
            Baseline::RandomOfTwo => {
                let draw = |world: &mut World| self.up[world.rng.random_range(0..self.up.len())];
                let (a, b) = (draw(world), draw(world));
                Some(if load(&a) <= load(&b) { a } else { b })
            }
        }
    }

    fn dispatch(&mut self, world: &mut World, request: usize) {
        let Some(endpoint) = self.choose(world) else { return world.finish(request, Fate::Refused, None) };
        self.own[endpoint] += 1;
        world.send(Sent { request, entry: self.index, copy: 0, endpoint });
    }

    fn back(&mut self, world: &mut World, sent: Sent, back: Back) {
        self.own[sent.endpoint] -= 1;
        let state = world.requests[sent.request];
        let safe = state.idempotent || back != Back::Error;
        match back {
            Back::Answer => world.finish(sent.request, Fate::Answered, None),
            Back::Error | Back::NotRun { .. } if safe && state.sent < 3 => {
                world.counts.retries += 1;
                self.dispatch(world, sent.request);
            }
            Back::Error => world.finish(sent.request, Fate::Failed, None),
            Back::NotRun { .. } => world.finish(sent.request, Fate::Refused, None),
        }
    }

    fn observe(&mut self, endpoint: usize, report: &EndpointReport) {
        self.others[endpoint] = report.in_flight.saturating_sub(self.own[endpoint]);
        self.up.retain(|known| *known != endpoint);
        if !report.leaving {
            self.up.push(endpoint);
            self.up.sort_unstable();
        }
    }
}

struct Flight {
    pass: Option<AdmissionPermit>,
    passed_at: u64,
    attempts: u32,
    copies: u32,
    hedged: bool,
    last: Option<EndpointKey>,
    sent: Vec<u64>,
}

/// An entry that decides with the project's code.
pub struct Ours {
    index: usize,
    tuning: Tuning,
    balancer: Balancer,
    service: ServiceKey,
    keys: Vec<EndpointKey>,
    admission: Admission,
    lane: LaneKey,
    retrier: Retrier,
    waiting: HashMap<WaitKey, usize>,
    flights: HashMap<usize, Flight>,
    permits: BTreeMap<u64, (Permit<EndpointKey, Dispatched>, u64)>,
    copy_of: HashMap<u64, usize>,
    detectors: Vec<Detector>,
    dead: Vec<bool>,
    copies: u64,
    ticks: u64,
}

impl Ours {
    pub fn new(tuning: Tuning, deployment: &Deployment, index: usize) -> Self {
        let settings = BalanceSettings {
            eject_slower_milli: if tuning.eject { BalanceSettings::default().eject_slower_milli } else { u32::MAX },
            queue_limit: tuning.waiting_room,
            ..BalanceSettings::default()
        };
        let settings =
            settings.with_zone_delay_us(deployment.far_us).with_ramp_us(tuning.ramp_us).with_draws(tuning.draws);
        let mut balancer = Balancer::new(settings, deployment.zone(index));
        let name = ServiceName::new("previews").expect("valid id");
        let keys = (0..deployment.endpoints).map(|endpoint| {
            let spec = EndpointSpec {
                service: name.clone(),
                agent: AgentId::new(format!("agent-{endpoint}")).expect("valid id"),
                zone: deployment.zone(endpoint),
                slots: SLOTS,
                connections: CONNECTIONS,
                incarnation: 1,
            };
            balancer.add(spec, TimeUs(0))
        });
        let keys = keys.collect();
        let service = balancer.service(&name).expect("it has endpoints");
        let mut admission = Admission::new(AdmissionSettings::default().with_wait_percent(tuning.wait_percent));
        let profile = ProfileName::new("store-preview").expect("valid id");
        let lane = admission.set_lane(&name, &LaneSettings::new(profile, Kind::LatencyCritical));
        let retrier = Retrier::new(RetrySettings {
            retry_percent: tuning.retry_percent,
            hedge_percent: tuning.hedge_percent,
            ..RetrySettings::default()
        });
        Self {
            index,
            tuning,
            balancer,
            service,
            keys,
            admission,
            lane,
            retrier,
            waiting: HashMap::new(),
            flights: HashMap::new(),
            permits: BTreeMap::new(),
            copy_of: HashMap::new(),
            detectors: vec![Detector::new(DetectorSettings::new(500), TimeMs(0)); deployment.endpoints],
            dead: vec![false; deployment.endpoints],
            copies: 0,
            ticks: 0,
        }
    }

    fn offer(&mut self, world: &mut World, request: usize) {
        let deadline = TimeUs(world.requests[request].deadline);
        if !self.tuning.admission {
            return self.start(world, request, None);
        }
        match self.admission.offer(self.lane, deadline, TimeUs(world.now)) {
            Ok(Offer::Run(pass)) => self.start(world, request, Some(pass)),
            Ok(Offer::Wait(key)) => {
                self.waiting.insert(key, request);
            }
            Err(refusal) => world.finish(request, Fate::Refused, Some(refusal.retry_after_ms * 1_000)),
        }
    }

    fn start(&mut self, world: &mut World, request: usize, pass: Option<AdmissionPermit>) {
        let flight =
            Flight { pass, passed_at: world.now, attempts: 0, copies: 0, hedged: false, last: None, sent: Vec::new() };
        self.flights.insert(request, flight);
        self.retrier.request(TimeUs(world.now));
        self.dispatch(world, request);
        if let (Some(after_us), true) = (self.retrier.hedge_after_us(), world.requests[request].idempotent) {
            world.wake(world.now + after_us, self.index, Step::Hedge(request));
        }
    }

    fn drain(&mut self, world: &mut World) {
        while let Some(next) = self.admission.next(self.lane, TimeUs(world.now)) {
            match next {
                Next::Run(key, pass) => {
                    let request = self.waiting.remove(&key).expect("a key of ours");
                    self.start(world, request, Some(pass));
                }
                Next::Refuse(key, refusal) => {
                    let request = self.waiting.remove(&key).expect("a key of ours");
                    world.finish(request, Fate::Refused, Some(refusal.retry_after_ms * 1_000));
                }
            }
        }
    }

    fn send(&mut self, world: &mut World, request: usize, ask: &EndpointRequest) -> Result<(), Unavailable> {
        let permit = self.balancer.choose(self.service, ask, TimeUs(world.now), &mut world.rng)?;
        let key = permit.endpoint();
        let endpoint = self.keys.iter().position(|known| *known == key).expect("an endpoint of ours");
        self.copies += 1;
        self.copy_of.insert(self.copies, request);
        self.permits.insert(self.copies, (permit.dispatch(TimeUs(world.now)), world.now));
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.copies += 1;
            flight.last = Some(key);
            flight.sent.push(self.copies);
        }
        world.send(Sent { request, entry: self.index, copy: self.copies, endpoint });
        Ok(())
    }

    fn dispatch(&mut self, world: &mut World, request: usize) {
        let Some(flight) = self.flights.get_mut(&request) else { return };
        flight.attempts += 1;
        let avoid = flight.last;
        let state = world.requests[request];
        let ask =
            EndpointRequest { avoid, ..EndpointRequest::new(TimeUs(state.deadline)).with_may_probe(state.idempotent) };
        match self.send(world, request, &ask) {
            Ok(()) => {}
            Err(Unavailable::AllFull) if self.put_back(world, request) => {}
            Err(_) => self.failed(world, request, Delivery::NotRun, false),
        }
    }

    fn put_back(&mut self, world: &World, request: usize) -> bool {
        let Some(pass) = self.flights.get_mut(&request).and_then(|flight| flight.pass.take()) else { return false };
        self.flights.remove(&request);
        let deadline = TimeUs(world.requests[request].deadline);
        self.waiting.insert(self.admission.requeue(pass, deadline, TimeUs(world.now)), request);
        true
    }

    fn hedge(&mut self, world: &mut World, request: usize) {
        let Some(flight) = self.flights.get_mut(&request) else { return };
        let deadline = TimeUs(world.requests[request].deadline);
        let avoid = flight.last;
        let crowded = self.admission.load(self.lane).1 > 0;
        if crowded || flight.hedged || flight.copies == 0 || !self.retrier.take_hedge(deadline, TimeUs(world.now)) {
            return;
        }
        flight.hedged = true;
        let ask = EndpointRequest { avoid, ..EndpointRequest::new(deadline).with_free_slot() };
        if self.send(world, request, &ask).is_ok() {
            world.counts.hedges += 1;
        }
    }

    fn back(&mut self, world: &mut World, sent: Sent, back: Back, report: EndpointReport) {
        let Some((permit, sent_at)) = self.permits.remove(&sent.copy) else { return };
        self.copy_of.remove(&sent.copy);
        let outcome = match back {
            Back::Answer => Outcome::answered(world.now - sent_at),
            Back::Error => Outcome::failed(world.now - sent_at),
            Back::NotRun { .. } => Outcome::not_run(),
        };
        let gone = matches!(back, Back::NotRun { gone: true, .. });
        let outcome = if self.tuning.answers_report || gone { outcome.with_report(report) } else { outcome };
        self.balancer.end(permit, &outcome, TimeUs(world.now));
        if let Some(flight) = self.flights.get_mut(&sent.request) {
            flight.copies -= 1;
            let others = flight.copies > 0;
            match back {
                Back::Answer => self.answered(world, sent.request),
                _ if others => {}
                Back::Error => self.failed(world, sent.request, Delivery::Possible, false),
                Back::NotRun { gone, late } => self.failed(world, sent.request, Delivery::NotRun, !gone && !late),
            }
        }
        self.drain(world);
    }

    fn observe(&mut self, endpoint: usize, report: &EndpointReport, now: u64) {
        self.balancer.observe(self.keys[endpoint], report, TimeUs(now));
        self.detectors[endpoint].heartbeat(TimeMs(now / 1_000));
    }

    /// Ends a request at its deadline, with all its copies.
    fn give_up(&mut self, world: &mut World, request: usize) {
        let Some(flight) = self.flights.remove(&request) else { return };
        let now = TimeUs(world.now);
        if let Some(pass) = flight.pass {
            self.admission.finish(pass, Completion::Failed, now);
        }
        world.finish(request, Fate::Failed, None);
        for copy in flight.sent {
            if let Some((permit, sent_at)) = self.permits.remove(&copy) {
                self.balancer.end(permit, &Outcome::failed(world.now - sent_at), now);
            }
        }
    }

    /// Stops work for endpoints of dead agents, and sends what is there once more.
    fn suspect(&mut self, world: &mut World) {
        let now = TimeUs(world.now);
        for endpoint in 0..self.keys.len() {
            let dead = self.detectors[endpoint].verdict(TimeMs(world.now / 1_000)) == Verdict::Dead;
            if dead == self.dead[endpoint] {
                continue;
            }
            self.dead[endpoint] = dead;
            let key = self.keys[endpoint];
            let agent = self.balancer.spec(key).map(|spec| spec.agent.clone()).expect("an endpoint of ours");
            self.balancer.set_suspected(&agent, dead, now);
            let lost: Vec<_> =
                self.permits.iter().filter(|(_, (p, _))| dead && p.endpoint() == key).map(|(c, _)| *c).collect();
            for copy in lost {
                let (permit, sent_at) = self.permits.remove(&copy).expect("it is there");
                self.balancer.end(permit, &Outcome::failed(world.now - sent_at), now);
                let request = self.copy_of.remove(&copy).expect("a copy of ours");
                let Some(flight) = self.flights.get_mut(&request) else { continue };
                flight.copies -= 1;
                if flight.copies == 0 {
                    self.failed(world, request, Delivery::Possible, false);
                }
            }
        }
    }

    fn answered(&mut self, world: &mut World, request: usize) {
        let Some(flight) = self.flights.remove(&request) else { return };
        let took_us = world.now - flight.passed_at;
        self.retrier.answered(took_us);
        if let Some(pass) = flight.pass {
            self.admission.finish(pass, Completion::Answered { took_us }, TimeUs(world.now));
        }
        world.finish(request, Fate::Answered, None);
    }

    fn failed(&mut self, world: &mut World, request: usize, delivery: Delivery, full: bool) {
        let Some(flight) = self.flights.get(&request) else { return };
        let state = world.requests[request];
        let failed = FailedRequest { attempts: flight.attempts, delivery, deadline: TimeUs(state.deadline) };
        let safe = state.idempotent || delivery == Delivery::NotRun;
        if full {
            self.admission.record_slot_refusal(self.lane, TimeUs(world.now));
        }
        if let (true, Decision::Retry { at }) = (safe, self.retrier.decide(&failed, TimeUs(world.now), &mut world.rng))
        {
            world.counts.retries += 1;
            return world.wake(at.0, self.index, Step::Send(request));
        }
        if full && self.put_back(world, request) {
            return;
        }
        let pass = self.flights.remove(&request).and_then(|flight| flight.pass);
        if let Some(pass) = pass {
            self.admission.finish(pass, Completion::Failed, TimeUs(world.now));
        }
        world.finish(request, if delivery == Delivery::NotRun { Fate::Refused } else { Fate::Failed }, None);
    }

    fn tick(&mut self, world: &mut World) {
        self.ticks += 1;
        if self.ticks % 10 == 1 {
            self.suspect(world);
            self.balancer.tick(TimeUs(world.now));
            let endpoints = self.balancer.active(self.service).len() as u32;
            let slots = self.balancer.active_slots(self.service) + endpoints * self.tuning.waiting_room;
            self.admission.set_slots(self.lane, slots);
        }
        self.drain(world);
    }
}
