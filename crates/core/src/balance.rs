/*!
Load balancing: the table of endpoints of one entry, and the selection among them.

An entry only knows its own requests in flight and what the agents report, so its view of an endpoint is an estimate. The
agent enforces the limits (see [`slots`](crate::slots)). A selection draws two endpoints of the service and takes the one
with the shorter expected time to the answer, preferring one that can meet the deadline.

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
let request = EndpointRequest::new(TimeUs(2_000_000));
let permit = balancer.choose(service, &request, TimeUs(0), &mut rng).expect("all are free");
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

use self::{choice::RECENTLY_FREED, endpoint::Endpoint};
pub use self::{
    choice::{EndpointRequest, Unavailable},
    endpoint::{EndpointReport, EndpointSpec, Health},
    permit::{Dispatched, Permit, Reserved},
    time::TimeUs,
};
use crate::ids::{AgentId, AvailabilityZone, ServiceName};

new_key_type! {
    /// Key of an endpoint in a [`Balancer`].
    pub struct EndpointKey;
    /// Key of a service in a [`Balancer`].
    pub struct ServiceKey;
}

/// Settings for comparing, ramping up and ejecting endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BalanceSettings {
    /// The assumed round trip to an endpoint in the entry's own availability zone before one is measured, in
    /// microseconds.
    pub same_zone_rtt_us: u64,
    /// The same for other availability zones.
    pub other_zone_rtt_us: u64,
    /// The age at which a report has half its weight, in microseconds.
    pub report_half_life_us: u64,
    /// The time over which a new or returning endpoint is ramped up to its full share, in microseconds.
    pub ramp_us: u64,
    /// Endpoints added within this time after their service, in microseconds, are not ramped up: then the entry is new,
    /// not the endpoint.
    pub warmup_us: u64,
    /// Requests that an agent lets wait for a slot of one endpoint, in addition to its slots.
    pub queue_limit: u32,
    /// An endpoint is ejected if it is slower than the median of its service by this factor, in thousandths.
    pub eject_slower_milli: u32,
    /// Consecutive failures that eject an endpoint.
    pub eject_failures: u32,
    /// The maximum share of a service's endpoints that may be ejected, in percent.
    pub max_ejected_percent: u32,
    /// The time before the first probe of an ejected endpoint, in microseconds.
    pub probe_us: u64,
    /// Consecutive successful probes after which an endpoint is active again.
    pub probes_to_return: u32,
    /// Endpoints that a selection draws at random before it scans others.
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
    /// Sets the assumed one-way delay to other availability zones, in microseconds.
    pub fn with_zone_delay_us(self, one_way_us: u64) -> Self {
        Self { other_zone_rtt_us: one_way_us * 2, ..self }
    }

    /// Sets the time over which an endpoint is ramped up, in microseconds.
    pub fn with_ramp_us(self, ramp_us: u64) -> Self {
        Self { ramp_us, ..self }
    }

    /// Sets the number of endpoints that a selection draws.
    pub fn with_draws(self, draws: u32) -> Self {
        Self { draws, ..self }
    }
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    /// The answer arrived completely.
    Answered,
    /// The endpoint failed: it returned an error, a truncated answer or none.
    Failed,
    /// The agent refused the request as *not run*, which says nothing about the speed of the endpoint.
    NotRun,
    /// The entry stopped waiting, for example because another copy was answered first. The elapsed time is a lower
    /// bound.
    Abandoned,
}

/// The outcome of a request as observed by the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// How the request ended.
    pub kind: OutcomeKind,
    /// The time from dispatch to the end without the network round trip, in microseconds.
    pub service_us: u64,
    /// The network round trip in microseconds; `None` if it was not measured.
    pub rtt_us: Option<u64>,
    /// The agent's report that came with the answer, if any.
    pub report: Option<EndpointReport>,
}

impl Outcome {
    /// Creates an outcome with a service time of `service_us`, without a round trip or report.
    pub fn new(kind: OutcomeKind, service_us: u64) -> Self {
        Self { kind, service_us, rtt_us: None, report: None }
    }

    /// Creates the outcome of a complete answer after `service_us`.
    pub fn answered(service_us: u64) -> Self {
        Self::new(OutcomeKind::Answered, service_us)
    }

    /// Creates the outcome of a failure of the endpoint after `service_us`.
    pub fn failed(service_us: u64) -> Self {
        Self::new(OutcomeKind::Failed, service_us)
    }

    /// Creates the outcome of a refusal by the agent.
    pub fn not_run() -> Self {
        Self::new(OutcomeKind::NotRun, 0)
    }

    /// Sets the measured network round trip in microseconds.
    pub fn with_rtt_us(self, rtt_us: u64) -> Self {
        Self { rtt_us: Some(rtt_us), ..self }
    }

    /// Sets the report that came with the answer.
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
    /// The median over active members of the mean service time, in microseconds; zero if unknown.
    median_service_us: f32,
    mean_reported_others: f32,
    median_failure_share: f32,
    /// Whether enough active members are fully ramped up to carry the load of those that are not.
    ramping: bool,
    next_probe_at: Option<TimeUs>,
    median_buffer: Vec<f32>,
    /// Ring buffer of the endpoints at which requests ended last; `freed_next` is the oldest element.
    freed: [EndpointKey; RECENTLY_FREED],
    freed_next: usize,
}

impl Service {
    fn record_freed(&mut self, key: EndpointKey) {
        self.freed[self.freed_next] = key;
        self.freed_next = (self.freed_next + 1) % RECENTLY_FREED;
    }
}

/// The endpoints known to one entry. Calls take constant time unless stated otherwise.
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
    /// Creates a table without endpoints for an entry in `own_zone`.
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

    /// The key of a service; `None` if it never had an endpoint.
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

    /// Removes an endpoint whose agent was lost or that restarted under a new incarnation. Permits for it stay valid
    /// and are ignored when they end. Linear in the endpoints of its service.
    pub fn remove(&mut self, key: EndpointKey, now: TimeUs) {
        if let Some(endpoint) = self.endpoints.remove(key) {
            self.services[endpoint.service].members.retain(|member| *member != key);
            self.refresh(endpoint.service, now);
        }
    }

    /// The announcement of an endpoint; `None` if it was removed.
    pub fn spec(&self, key: EndpointKey) -> Option<&EndpointSpec> {
        self.endpoints.get(key).map(|endpoint| &endpoint.spec)
    }

    /// Whether an endpoint is active or ejected; `None` if it was removed.
    pub fn health(&self, key: EndpointKey) -> Option<Health> {
        self.endpoints.get(key).map(|endpoint| endpoint.health)
    }

    /// Whether the last report on an endpoint said that it is leaving.
    pub fn is_leaving(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(|endpoint| endpoint.leaving)
    }

    /// The number of requests of this entry in flight at an endpoint.
    pub fn in_flight(&self, key: EndpointKey) -> u32 {
        self.endpoints.get(key).map_or(0, |endpoint| endpoint.in_flight.get())
    }

    /// All endpoints of a service, in the order in which they were added.
    pub fn members(&self, service: ServiceKey) -> &[EndpointKey] {
        self.services.get(service).map_or(&[], |service| &service.members)
    }

    /// The endpoints of a service that get requests other than probes.
    pub fn active(&self, service: ServiceKey) -> &[EndpointKey] {
        self.services.get(service).map_or(&[], |service| &service.active)
    }

    /// The total slots of the active endpoints of a service. Linear in their number.
    pub fn active_slots(&self, service: ServiceKey) -> u32 {
        self.active(service).iter().map(|key| self.endpoints[*key].spec.slots).sum()
    }

    /// The median over active endpoints of the mean time for which a request holds a slot, in microseconds; zero if
    /// unknown.
    pub fn median_service_us(&self, service: ServiceKey) -> u64 {
        self.services.get(service).map_or(0, |service| service.median_service_us as u64)
    }

    /// Applies an agent's report. Linear in the endpoints of the service if the endpoint starts or stops leaving.
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

    /// Takes an availability zone out of service, or puts it back and ramps up its endpoints. Linear in the number of
    /// endpoints.
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

    /// Stops or resumes sending requests to the endpoints of an agent, as its failure detector requires. Linear in the
    /// number of endpoints.
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

    /// Ends a request and updates the estimates from its outcome. Linear in the endpoints of the service if this ejects
    /// the endpoint or makes it active again.
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
        self.services[service].record_freed(key);
        endpoint.record_outcome(outcome, self.services[service].median_service_us, now);
        self.update_health(key, probe.then_some(outcome), now);
    }

    /// Recomputes the medians of each service. To be called about every 100 ms. Sorts the endpoints of each service.
    pub fn tick(&mut self, now: TimeUs) {
        self.refresh_all(now);
    }

    fn refresh_all(&mut self, now: TimeUs) {
        let keys: Vec<_> = self.services.keys().collect();
        keys.into_iter().for_each(|key| self.refresh(key, now));
    }
}
