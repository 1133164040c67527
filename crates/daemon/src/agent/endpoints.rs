//! The endpoints on the agent's host: their announcements, slots and connections.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use fescuelead_core::{
    balance::{Dispatched, Permit, TimeUs},
    ids::{RequestKey, ServiceName},
    request_keys::{Admit, Refuse, RequestKeys},
    slots::{Admitted, Connection, Next, SlotError, SlotKey, SlotLimits, SlotTable, WaitTicket},
};
use fescuelead_platform::announce::{Announcement, EndpointState};
use fescuelead_wire::messages::EndpointReport;
use tokio::{sync::oneshot, time::Instant};

use crate::relay::Pool;

/// Requests that wait for a slot of one endpoint at most.
const WAITING_ROOM: u32 = 4;
/// An endpoint that has not announced itself for this long is taken for gone.
const ANNOUNCEMENT_EXPIRY_MS: u64 = 5_000;
/// Request keys that are remembered.
const REQUEST_KEY_LIMIT: usize = 65_536;

type Granted = Permit<SlotKey, fescuelead_core::balance::Reserved>;

#[derive(Debug, Clone)]
struct Endpoint {
    key: SlotKey,
    announcement: Announcement,
    seen_at: Instant,
    pool: Arc<Pool<Connection>>,
}

#[derive(Debug)]
struct State {
    table: SlotTable,
    endpoints: HashMap<ServiceName, Endpoint>,
    waiting: HashMap<WaitTicket, oneshot::Sender<Result<Granted, SlotError>>>,
    keys: RequestKeys,
}

/// How many may wait before a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// A few: it can be sent to another endpoint.
    Usual,
    /// More: it cannot be sent to another endpoint.
    SingleCopy,
}

/// Where a request goes once it has a slot.
#[derive(Debug, Clone)]
pub struct Target {
    /// The endpoint's slots.
    pub key: SlotKey,
    /// Connections to it.
    pub pool: Arc<Pool<Connection>>,
}

/// Shared by the request path, the announcements and the control of an agent.
#[derive(Debug)]
pub struct HostEndpoints {
    state: Mutex<State>,
    started: Instant,
}

/// A slot that a dispatched request holds. Dropping it gives the slot to the next one that waits.
#[derive(Debug)]
pub struct SlotHold {
    host: Arc<HostEndpoints>,
    permit: Option<Permit<SlotKey, Dispatched>>,
}

impl HostEndpoints {
    /// A host without endpoints, under this incarnation of its agent.
    pub fn new(incarnation: u64) -> Arc<Self> {
        let state = State {
            table: SlotTable::new(WAITING_ROOM),
            endpoints: HashMap::new(),
            waiting: HashMap::new(),
            keys: RequestKeys::new(incarnation, REQUEST_KEY_LIMIT),
        };
        Arc::new(Self { state: Mutex::new(state), started: Instant::now() })
    }

    /// The current time in microseconds.
    pub fn now_us(&self) -> TimeUs {
        TimeUs(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// The instant of a time of [`now_us`](Self::now_us).
    pub fn instant(&self, time: TimeUs) -> Instant {
        self.started + std::time::Duration::from_micros(time.0)
    }

    /// Takes in an announcement. Says whether something changed that entries should learn at once.
    pub fn announce(&self, announcement: Announcement) -> bool {
        let mut state = self.lock();
        let leaving = announcement.state == EndpointState::Leaving;
        let limits = SlotLimits { slots: announcement.slots, connections: announcement.connections };
        let known = state.endpoints.get(&announcement.service).cloned();
        let same = known.filter(|k| {
            k.announcement.incarnation == announcement.incarnation && k.announcement.address == announcement.address
        });
        let (key, pool, changed) = match same {
            Some(known) => (known.key, known.pool, known.announcement != announcement),
            None => {
                if let Some(old) = state.endpoints.remove(&announcement.service) {
                    Self::remove(&mut state, &old);
                }
                let key = state.table.announce(limits);
                (key, Pool::new(announcement.address, announcement.connections as usize), true)
            }
        };
        state.table.set_limits(key, limits);
        state.table.set_leaving(key, leaving);
        let service = announcement.service.clone();
        state.endpoints.insert(service, Endpoint { key, announcement, seen_at: Instant::now(), pool });
        drop(state);
        self.pump(key);
        changed
    }

    /// Drops endpoints that have fallen silent. Says whether there were any.
    pub fn expire(&self) -> bool {
        let mut state = self.lock();
        let expiry = std::time::Duration::from_millis(ANNOUNCEMENT_EXPIRY_MS);
        let silent: Vec<_> =
            state.endpoints.iter().filter(|(_, e)| e.seen_at.elapsed() > expiry).map(|(s, _)| s.clone()).collect();
        for service in &silent {
            if let Some(endpoint) = state.endpoints.remove(service) {
                crate::limited!(Warn, "agent: endpoint of {service} has fallen silent.");
                Self::remove(&mut state, &endpoint);
            }
        }
        !silent.is_empty()
    }

    /// Makes all endpoints leave, because the agent does.
    pub fn leave(&self) {
        let mut state = self.lock();
        let keys: Vec<_> = state.endpoints.values().map(|endpoint| endpoint.key).collect();
        keys.iter().for_each(|key| state.table.set_leaving(*key, true));
        drop(state);
        keys.into_iter().for_each(|key| self.pump(key));
    }

    /// The load of an endpoint for the entry that gets an answer: requests in flight, their mean service time in
    /// microseconds, and whether it leaves.
    pub fn load(&self, key: SlotKey) -> Option<String> {
        let report = self.lock().table.report(key)?;
        Some(format!("{};{};{}", report.in_flight, report.service_us.unwrap_or(0), u8::from(report.leaving)))
    }

    /// The load of the endpoint of a service.
    pub fn load_of(&self, service: &ServiceName) -> Option<String> {
        let key = self.lock().endpoints.get(service)?.key;
        self.load(key)
    }

    /// What entries are told of the endpoints.
    pub fn reports(&self) -> Vec<EndpointReport> {
        let state = self.lock();
        let report = |endpoint: &Endpoint| {
            let summary = state.table.report(endpoint.key)?;
            let served = state.table.served(endpoint.key);
            Some(EndpointReport {
                service: endpoint.announcement.service.clone(),
                slots: endpoint.announcement.slots,
                connections: endpoint.announcement.connections,
                in_flight: summary.in_flight,
                leaving: summary.leaving,
                incarnation: endpoint.announcement.incarnation,
                service_time_us: summary.service_us.unwrap_or(0),
                served_requests: served.requests,
                served_total_us: served.total_us,
            })
        };
        state.endpoints.values().filter_map(report).collect()
    }

    /// Waits for a slot of a service's endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint takes nothing new or has no slot in time. The request did not run.
    pub async fn acquire(
        self: &Arc<Self>,
        service: &ServiceName,
        deadline: TimeUs,
        room: Room,
    ) -> Result<(Target, SlotHold), SlotError> {
        let (target, admitted) = self.admit(service, deadline, room)?;
        let permit = match admitted {
            Ok(permit) => permit,
            Err(granted) => self.wait(target.key, granted, deadline).await?,
        };
        let hold = SlotHold { host: Arc::clone(self), permit: Some(permit.dispatch(self.now_us())) };
        Ok((target, hold))
    }

    /// Takes a place for a connection to an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint has all connections that it accepts.
    pub fn connect(&self, key: SlotKey) -> Result<Connection, SlotError> {
        self.lock().table.connect(key)
    }

    /// Whether a claimed request may be passed on, now and only now.
    pub fn admit_key(&self, key: &RequestKey, claim_offset: u64, incarnation: u64) -> Admit {
        self.lock().keys.admit(key, claim_offset, incarnation)
    }

    /// Refuses a claimed request for good unless it was passed on.
    pub fn refuse_key(&self, key: &RequestKey, claim_offset: u64, incarnation: u64) -> Refuse {
        self.lock().keys.refuse(key, claim_offset, incarnation)
    }

    #[expect(clippy::type_complexity, reason = "the two ways of waiting are only told apart by the caller")]
    fn admit(
        &self,
        service: &ServiceName,
        deadline: TimeUs,
        room: Room,
    ) -> Result<(Target, Result<Granted, oneshot::Receiver<Result<Granted, SlotError>>>), SlotError> {
        let now = self.now_us();
        let mut state = self.lock();
        let target = match state.endpoints.get(service) {
            Some(endpoint) => Target { key: endpoint.key, pool: Arc::clone(&endpoint.pool) },
            // A key that the table does not know gives the error for an unknown endpoint.
            None => return state.table.admit(SlotKey::default(), deadline, now).map(|_| unreachable!("null key")),
        };
        let admitted = match room {
            Room::Usual => state.table.admit(target.key, deadline, now),
            Room::SingleCopy => state.table.admit_single(target.key, deadline, now),
        };
        let admitted = match admitted? {
            Admitted::Start(permit) => Ok(permit),
            Admitted::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                Err(receiver)
            }
        };
        Ok((target, admitted))
    }

    async fn wait(
        &self,
        key: SlotKey,
        mut granted: oneshot::Receiver<Result<Granted, SlotError>>,
        deadline: TimeUs,
    ) -> Result<Granted, SlotError> {
        if let Ok(answer) = tokio::time::timeout_at(self.instant(deadline), &mut granted).await {
            return answer.unwrap_or_else(|_| self.unknown());
        }
        self.pump(key);
        granted.try_recv().unwrap_or_else(|_| self.unknown())
    }

    fn unknown(&self) -> Result<Granted, SlotError> {
        let null = self.lock().table.connect(SlotKey::default());
        Err(null.expect_err("the null key is not in the table"))
    }

    /// Gives free slots to those that wait.
    fn pump(&self, key: SlotKey) {
        loop {
            let mut state = self.lock();
            let Some(next) = state.table.next(key, self.now_us()) else { return };
            let (ticket, answer) = match next {
                Next::Start(ticket, permit) => (ticket, Ok(permit)),
                Next::Refuse(ticket, error) => (ticket, Err(error)),
            };
            let waiting = state.waiting.remove(&ticket);
            drop(state);
            // If the receiver is gone, the permit is dropped here and the next one gets the slot.
            drop(waiting.map(|sender| sender.send(answer)));
        }
    }

    fn remove(state: &mut State, endpoint: &Endpoint) {
        endpoint.pool.clear();
        for ticket in state.table.remove(endpoint.key) {
            state.waiting.remove(&ticket);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for SlotHold {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let key = permit.endpoint();
            let now = self.host.now_us();
            self.host.lock().table.end(permit, now);
            self.host.pump(key);
        }
    }
}
