/*!
The table of endpoints that an entry keeps, and the choice among them.

An entry sees only its own requests in flight and what the agents report, so its view of an endpoint is an estimate. The
agent is what holds the limits (see [`slots`](crate::slots)). A choice draws two endpoints of the service and takes the
one that is expected to answer first within the deadline.

```
use fescuelead_core::{
    balance::{EndpointRequest, Balancer, BalanceSettings, EndpointSpec, Outcome, TimeUs},
    ids::{AgentId, AvailabilityZone, ServiceName},
};
use rand::SeedableRng;

let mut balancer = Balancer::new(BalanceSettings::default(), AvailabilityZone::new("a")?);
let previews = ServiceName::new("previews")?;
for host in ["host-1", "host-2", "host-3"] {
    let spec = EndpointSpec {
        service: previews.clone(),
        agent: AgentId::new(host)?,
        zone: AvailabilityZone::new("a")?,
        slots: 8,
        connections: 64,
        incarnation: 1,
    };
    balancer.add(spec, TimeUs(0));
}
let service = balancer.service(&previews).expect("it has endpoints");
let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
let ask = EndpointRequest::new(TimeUs(2_000_000));
let permit = balancer.choose(service, &ask, TimeUs(0), &mut rng).expect("all are free");
let permit = permit.dispatch(TimeUs(0));
balancer.end(permit, &Outcome::answered(20_000), TimeUs(20_500));
# Ok::<(), fescuelead_core::ids::IdError>(())
```
*/

mod choice;
mod endpoint;
mod health;
pub(crate) mod permit;
mod time;

use std::collections::{HashMap, HashSet};

use slotmap::{SlotMap, new_key_type};

use self::{choice::FREED, endpoint::Endpoint};
pub use self::{
    choice::{EndpointRequest, Unavailable},
    endpoint::{EndpointReport, EndpointSpec, Health},
    permit::{Dispatched, Permit, Reserved},
    time::TimeUs,
};
use crate::ids::{AgentId, AvailabilityZone, ServiceName};

new_key_type! {
    /// Points to an endpoint in a [`Balancer`].
    pub struct EndpointKey;
    /// Points to a service in a [`Balancer`].
    pub struct ServiceKey;
}

/// How endpoints are compared, ramped up and ejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BalanceSettings {
    /// The round trip to an endpoint in the entry's own availability zone before one was measured.
    pub same_zone_rtt_us: u64,
    /// The same for another availability zone.
    pub other_zone_rtt_us: u64,
    /// The age at which a report counts half.
    pub report_half_life_us: u64,
    /// How long a new or returning endpoint takes to its full share.
    pub ramp_us: u64,
    /// Endpoints that are added this soon after their service are not ramped: it is the entry that is new.
    pub warmup_us: u64,
    /// Requests that an agent lets wait for a slot, beyond the slots.
    pub queue_limit: u32,
    /// An endpoint that is slower than its peers by this factor, in thousandths, is ejected.
    pub eject_slower_milli: u32,
    /// Failures in a row that eject an endpoint.
    pub eject_failures: u32,
    /// The largest share of a service's endpoints that may be ejected, in percent.
    pub max_ejected_percent: u32,
    /// The wait before the first probe of an ejected endpoint.
    pub probe_us: u64,
    /// Good probes in a row after which an endpoint gets work again.
    pub probes_to_return: u32,
    /// Candidates that are drawn before all are looked at.
    pub draws: u32,
}

impl Default for BalanceSettings {
    fn default() -> Self {
        Self {
            same_zone_rtt_us: 200,
            other_zone_rtt_us: 1_000,
            report_half_life_us: 500_000,
            ramp_us: 10_000_000,
            warmup_us: 5_000_000,
            queue_limit: 4,
            eject_slower_milli: 3_000,
            eject_failures: 3,
            max_ejected_percent: 50,
            probe_us: 1_000_000,
            probes_to_return: 3,
            draws: 2,
        }
    }
}

impl BalanceSettings {
    /// Sets the one-way delay to another availability zone of the region.
    pub fn with_zone_delay_us(self, one_way_us: u64) -> Self {
        Self { other_zone_rtt_us: one_way_us * 2, ..self }
    }

    /// Sets the time to the full share.
    pub fn with_ramp_us(self, ramp_us: u64) -> Self {
        Self { ramp_us, ..self }
    }

    /// Sets the number of candidates.
    pub fn with_draws(self, draws: u32) -> Self {
        Self { draws, ..self }
    }
}

/// How a dispatched request came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    /// A whole answer.
    Answered,
    /// An error of the endpoint's own, no answer or a broken one.
    Failed,
    /// The agent refused it as *not run*: nothing is learned about the endpoint's speed.
    NotRun,
    /// The entry gave it up, for instance because another copy was answered first. Its time is a lower bound.
    Abandoned,
}

/// How a request ended, as the entry saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// How it ended.
    pub kind: OutcomeKind,
    /// From dispatch to the end less the network, in microseconds.
    pub service_us: u64,
    /// The measured round trip of the network, if there was a measurement.
    pub rtt_us: Option<u64>,
    /// The agent's report that came with the answer.
    pub report: Option<EndpointReport>,
}

impl Outcome {
    /// A request that ended this way after `service_us`.
    pub fn new(kind: OutcomeKind, service_us: u64) -> Self {
        Self { kind, service_us, rtt_us: None, report: None }
    }

    /// A whole answer after `service_us`.
    pub fn answered(service_us: u64) -> Self {
        Self::new(OutcomeKind::Answered, service_us)
    }

    /// A failure of the endpoint after `service_us`.
    pub fn failed(service_us: u64) -> Self {
        Self::new(OutcomeKind::Failed, service_us)
    }

    /// A refusal by the agent.
    pub fn not_run() -> Self {
        Self::new(OutcomeKind::NotRun, 0)
    }

    /// Adds a measured network round trip.
    pub fn with_rtt_us(self, rtt_us: u64) -> Self {
        Self { rtt_us: Some(rtt_us), ..self }
    }

    /// Adds the report that came with the answer.
    pub fn with_report(self, report: EndpointReport) -> Self {
        Self { report: Some(report), ..self }
    }
}

#[derive(Debug, Clone, Default)]
struct Service {
    since: TimeUs,
    members: Vec<EndpointKey>,
    /// Members that are open and not ejected.
    active: Vec<EndpointKey>,
    /// The usual service time over active members, in microseconds; zero if unknown.
    usual_us: f32,
    usual_others: f32,
    usual_failures: f32,
    /// Whether enough active members are past their ramp to carry the load of those that are not.
    ramping: bool,
    next_probe_at: Option<TimeUs>,
    scratch: Vec<f32>,
    /// Where requests ended lately, the oldest at `freed_next`.
    freed: [EndpointKey; FREED],
    freed_next: usize,
}

impl Service {
    fn note_freed(&mut self, key: EndpointKey) {
        self.freed[self.freed_next] = key;
        self.freed_next = (self.freed_next + 1) % FREED;
    }
}

/// The endpoints that one entry knows. Every call takes constant time but for those that say otherwise.
#[derive(Debug, Clone)]
pub struct Balancer {
    settings: BalanceSettings,
    own_zone: AvailabilityZone,
    services: SlotMap<ServiceKey, Service>,
    names: HashMap<ServiceName, ServiceKey>,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    zones_out: HashSet<AvailabilityZone>,
}

impl Balancer {
    /// A table without endpoints, for an entry in `own_zone`.
    pub fn new(settings: BalanceSettings, own_zone: AvailabilityZone) -> Self {
        Self {
            settings,
            own_zone,
            services: SlotMap::with_key(),
            names: HashMap::new(),
            endpoints: SlotMap::with_key(),
            zones_out: HashSet::new(),
        }
    }

    /// The service with this name, if it ever had an endpoint.
    pub fn service(&self, name: &ServiceName) -> Option<ServiceKey> {
        self.names.get(name).copied()
    }

    /// Adds an endpoint. Linear in the endpoints of its service.
    pub fn add(&mut self, spec: EndpointSpec, now: TimeUs) -> EndpointKey {
        let service = match self.names.get(&spec.service) {
            Some(key) => *key,
            None => {
                let key = self.services.insert(Service { since: now, ..Service::default() });
                self.names.insert(spec.service.clone(), key);
                key
            }
        };
        let same_zone = spec.zone == self.own_zone;
        let rtt_us = if same_zone { self.settings.same_zone_rtt_us } else { self.settings.other_zone_rtt_us };
        let mut endpoint = Endpoint::new(spec, service, rtt_us, now);
        endpoint.zone_out = self.zones_out.contains(&endpoint.spec.zone);
        let warming = self.services[service].since.plus_us(self.settings.warmup_us) > now;
        endpoint.ramp_from = (!warming).then_some(now);
        let key = self.endpoints.insert(endpoint);
        self.services[service].members.push(key);
        self.refresh(service, now);
        key
    }

    /// Removes an endpoint whose agent is gone or that runs under a new incarnation. Linear in the endpoints of its
    /// service. Permits for it stay valid and are ignored when they end.
    pub fn remove(&mut self, key: EndpointKey, now: TimeUs) {
        if let Some(endpoint) = self.endpoints.remove(key) {
            self.services[endpoint.service].members.retain(|member| *member != key);
            self.refresh(endpoint.service, now);
        }
    }

    /// What was announced for an endpoint.
    pub fn spec(&self, key: EndpointKey) -> Option<&EndpointSpec> {
        self.endpoints.get(key).map(|endpoint| &endpoint.spec)
    }

    /// Whether an endpoint gets work.
    pub fn health(&self, key: EndpointKey) -> Option<Health> {
        self.endpoints.get(key).map(|endpoint| endpoint.health)
    }

    /// Whether an endpoint said that it leaves.
    pub fn is_leaving(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| endpoint.leaving)
    }

    /// Requests of this entry in flight at an endpoint.
    pub fn in_flight(&self, key: EndpointKey) -> u32 {
        self.endpoints.get(key).map_or(0, |endpoint| endpoint.own.get())
    }

    /// All endpoints of a service, in the order in which they were added.
    pub fn members(&self, service: ServiceKey) -> &[EndpointKey] {
        self.services.get(service).map_or(&[], |service| &service.members)
    }

    /// Endpoints of a service that get work other than probes.
    pub fn active(&self, service: ServiceKey) -> &[EndpointKey] {
        self.services.get(service).map_or(&[], |service| &service.active)
    }

    /// Slots of the active endpoints of a service. Linear in their number.
    pub fn active_slots(&self, service: ServiceKey) -> u32 {
        self.active(service).iter().map(|key| self.endpoints[*key].spec.slots).sum()
    }

    /// The usual time that a request holds a slot, in microseconds; zero if unknown.
    pub fn usual_us(&self, service: ServiceKey) -> u64 {
        self.services.get(service).map_or(0, |service| service.usual_us as u64)
    }

    /// Takes in an agent's report. Linear in the endpoints of the service if the endpoint starts or stops leaving.
    pub fn observe(&mut self, key: EndpointKey, report: &EndpointReport, now: TimeUs) {
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        let was_leaving = endpoint.leaving;
        endpoint.observe(report, now);
        if was_leaving != endpoint.leaving {
            if was_leaving {
                endpoint.ramp_from = Some(now);
            }
            let service = endpoint.service;
            self.refresh(service, now);
        }
    }

    /// Takes an availability zone out of service, or puts it back with all its endpoints ramped up. Linear in the number
    /// of endpoints.
    pub fn set_zone_out(&mut self, zone: &AvailabilityZone, out: bool, now: TimeUs) {
        let changed = if out { self.zones_out.insert(zone.clone()) } else { self.zones_out.remove(zone) };
        if !changed {
            return;
        }
        for endpoint in self.endpoints.values_mut().filter(|endpoint| endpoint.spec.zone == *zone) {
            endpoint.zone_out = out;
            endpoint.ramp_from = Some(now);
        }
        self.refresh_all(now);
    }

    /// Stops or resumes work for all endpoints of an agent that the failure detector suspects. Linear in the number of
    /// endpoints.
    pub fn set_suspected(&mut self, agent: &AgentId, suspected: bool, now: TimeUs) {
        let mut changed = false;
        let of_agent = |endpoint: &&mut Endpoint| endpoint.spec.agent == *agent && endpoint.suspected != suspected;
        for endpoint in self.endpoints.values_mut().filter(of_agent) {
            endpoint.suspected = suspected;
            endpoint.ramp_from = Some(now);
            changed = true;
        }
        if changed {
            self.refresh_all(now);
        }
    }

    /// Ends a request and learns from its outcome. Linear in the endpoints of the service if the endpoint is ejected or
    /// comes back by this.
    pub fn end(&mut self, permit: Permit<EndpointKey, Dispatched>, outcome: &Outcome, now: TimeUs) {
        let (key, probe) = (permit.endpoint(), permit.is_probe());
        drop(permit);
        if let Some(report) = &outcome.report {
            self.observe(key, report, now);
        }
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        if outcome.kind == OutcomeKind::NotRun {
            return;
        }
        let service = endpoint.service;
        self.services[service].note_freed(key);
        endpoint.learn(outcome, self.services[service].usual_us, now);
        self.judge(key, probe.then_some(outcome), now);
    }

    /// Recomputes what is usual in each service; to be called about every 100 ms. Sorts the endpoints of each service.
    pub fn tick(&mut self, now: TimeUs) {
        self.refresh_all(now);
    }

    fn refresh_all(&mut self, now: TimeUs) {
        let keys: Vec<_> = self.services.keys().collect();
        keys.into_iter().for_each(|key| self.refresh(key, now));
    }
}
