//! What the control thread, the request path and the API of an entry share.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use fescuelead_core::{
    balance::{BalanceSettings, Balancer, EndpointKey, EndpointReport, EndpointSpec, Health, TimeUs},
    cells::HomeCells,
    ids::{AgentId, AvailabilityZone, EntryRef, ServiceName},
    profile::ProfileSet,
};
use fescuelead_wire::{api::EndpointStatus, messages};
use slotmap::SecondaryMap;
use tokio::{sync::watch, time::Instant};

use crate::{clock::Clock, entry::observe::Observer, lifecycle::Shutdown};

/// The configuration as the request path needs it.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// The version in force.
    pub version: u64,
    /// The profile set in force as it was published.
    pub text: Arc<str>,
    /// The profile set in force.
    pub set: Arc<ProfileSet>,
    /// The home cells of services, also of those that were removed.
    pub homes: Arc<HomeCells>,
    /// Availability zones that are out of service.
    pub zones_out: BTreeSet<AvailabilityZone>,
}

/// The endpoints that agents have reported.
#[derive(Debug)]
pub struct Endpoints {
    /// Chooses among them.
    pub balancer: Balancer,
    addresses: SecondaryMap<EndpointKey, SocketAddr>,
    by_agent: HashMap<AgentId, HashMap<(String, u64), EndpointKey>>,
    incarnations: HashMap<AgentId, u64>,
}

impl Endpoints {
    fn new(own_zone: AvailabilityZone) -> Self {
        let balancer = Balancer::new(BalanceSettings::default(), own_zone);
        Self { balancer, addresses: SecondaryMap::new(), by_agent: HashMap::new(), incarnations: HashMap::new() }
    }

    /// Where the agent of an endpoint takes requests.
    pub fn address(&self, key: EndpointKey) -> Option<SocketAddr> {
        self.addresses.get(key).copied()
    }

    /// The agent of an endpoint, and which run of it.
    pub fn agent(&self, key: EndpointKey) -> Option<(AgentId, u64)> {
        let agent = &self.balancer.spec(key)?.agent;
        Some((agent.clone(), *self.incarnations.get(agent)?))
    }

    /// All endpoints as operators see them.
    pub fn list(&self) -> impl Iterator<Item = EndpointStatus> + '_ {
        let keys = self.by_agent.values().flat_map(HashMap::values);
        keys.filter_map(|key| {
            let spec = self.balancer.spec(*key)?;
            let health = self.balancer.health(*key)?;
            let leaving = self.balancer.is_leaving(*key);
            Some(EndpointStatus {
                service: spec.service.to_string(),
                address: self.address(*key)?.to_string(),
                agent: spec.agent.to_string(),
                state: if leaving { "leaving" } else { health_word(health) }.to_owned(),
                slots: spec.slots,
                in_flight: self.balancer.in_flight(*key),
                announcement_age_ms: None,
            })
        })
    }

    /// The services that have endpoints in these availability zones, each with one of them.
    pub fn services_in(&self, zones: &BTreeSet<AvailabilityZone>) -> HashMap<ServiceName, AvailabilityZone> {
        let specs = self.by_agent.values().flat_map(HashMap::values).filter_map(|key| self.balancer.spec(*key));
        let inside = specs.filter(|spec| zones.contains(&spec.zone));
        inside.map(|spec| (spec.service.clone(), spec.zone.clone())).collect()
    }

    /// Takes in all that an agent reports of its endpoints; those that it no longer reports are removed.
    pub fn observe(&mut self, hello: &messages::AgentHello, reports: &[messages::EndpointReport], now: TimeUs) {
        self.incarnations.insert(hello.agent.clone(), hello.incarnation);
        let mut known = self.by_agent.remove(&hello.agent).unwrap_or_default();
        let mut kept = HashMap::new();
        for report in reports {
            let id = (report.service.to_string(), report.incarnation);
            let key = known.remove(&id).unwrap_or_else(|| self.add(hello, report, now));
            self.addresses.insert(key, hello.request_address);
            self.balancer.observe(key, &summary(report), now);
            kept.insert(id, key);
        }
        known.into_values().for_each(|key| self.remove(key, now));
        self.by_agent.insert(hello.agent.clone(), kept);
    }

    /// Removes all endpoints of an agent that is gone.
    pub fn forget(&mut self, agent: &AgentId, now: TimeUs) {
        self.incarnations.remove(agent);
        let known = self.by_agent.remove(agent).unwrap_or_default();
        known.into_values().for_each(|key| self.remove(key, now));
    }

    fn add(&mut self, hello: &messages::AgentHello, report: &messages::EndpointReport, now: TimeUs) -> EndpointKey {
        let spec = EndpointSpec {
            service: report.service.clone(),
            agent: hello.agent.clone(),
            zone: hello.availability_zone.clone(),
            slots: report.slots,
            connections: report.connections,
            incarnation: report.incarnation,
        };
        self.balancer.add(spec, now)
    }

    fn remove(&mut self, key: EndpointKey, now: TimeUs) {
        self.balancer.remove(key, now);
        self.addresses.remove(key);
    }
}

fn health_word(health: Health) -> &'static str {
    match health {
        Health::Active => "up",
        Health::Ejected { .. } => "suspected",
    }
}

fn summary(report: &messages::EndpointReport) -> EndpointReport {
    EndpointReport {
        in_flight: report.in_flight,
        leaving: report.leaving,
        service_us: (report.service_time_us > 0).then_some(report.service_time_us),
        ..EndpointReport::default()
    }
}

/// Shared by all threads of an entry.
#[derive(Debug)]
pub struct Shared {
    /// This run of the entry.
    pub me: EntryRef,
    /// The cell that it belongs to.
    pub cell: u32,
    /// Its clock.
    pub clock: Clock,
    /// Its shutdown.
    pub shutdown: Shutdown,
    /// The configuration in force.
    pub config: watch::Sender<Arc<ConfigView>>,
    /// What the entry observes of itself.
    pub observer: Observer,
    endpoints: Mutex<Endpoints>,
    started: Instant,
}

impl Shared {
    /// What a new entry shares.
    pub fn new(me: EntryRef, own_zone: AvailabilityZone, shutdown: Shutdown) -> Self {
        Self {
            me,
            cell: 0,
            clock: Clock::new(),
            shutdown,
            config: watch::Sender::new(Arc::default()),
            observer: Observer::new(),
            endpoints: Mutex::new(Endpoints::new(own_zone)),
            started: Instant::now(),
        }
    }

    /// Sets the cell that the entry belongs to.
    pub fn with_cell(self, cell: u32) -> Self {
        Self { cell, ..self }
    }

    /// The home cell of a service, if it is another than this entry's.
    pub fn other_home(&self, set: &ProfileSet, service: &ServiceName) -> Option<u32> {
        set.home_cell(service).filter(|home| *home != self.cell)
    }

    /// The endpoints. Held for a few microseconds at a time, never over an await.
    pub fn endpoints(&self) -> MutexGuard<'_, Endpoints> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current time in microseconds.
    pub fn now_us(&self) -> TimeUs {
        TimeUs(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
