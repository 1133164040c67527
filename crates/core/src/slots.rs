/*!
Slots and connections of the endpoints on one host, as enforced by its agent.

All entries send through the agent, so that it can enforce the limits of an endpoint over all of them. It refuses requests
beyond the limits as *not run*, with the reason. A few requests may wait for a slot, so that the slot is not idle until an
entry learns that it is free.

```
use fescuelead_core::{balance::TimeUs, slots::{Admitted, Next, SlotLimits, SlotTable}};

let mut table = SlotTable::new(1);
let key = table.announce(SlotLimits { slots: 1, connections: 4 });
let due = TimeUs(1_000_000);
let Ok(Admitted::Start(permit)) = table.admit(key, due, TimeUs(0)) else { panic!("a slot is free") };
let permit = permit.dispatch(TimeUs(0));
let Ok(Admitted::Wait(ticket)) = table.admit(key, due, TimeUs(0)) else { panic!("the queue is empty") };
assert!(table.admit(key, due, TimeUs(0)).is_err(), "the queue is full");

table.end(permit, TimeUs(20_000));
assert!(matches!(table.next(key, TimeUs(20_000)), Some(Next::Start(started, _)) if started == ticket));
```
*/

use std::collections::BTreeSet;

use slotmap::{SlotMap, new_key_type};

use crate::balance::{
    Dispatched, EndpointReport, Permit, Reserved, TimeUs,
    permit::{Guard, InFlight},
};

new_key_type! {
    /// Key of one run of an endpoint in a [`SlotTable`].
    pub struct SlotKey;
}

/// The limits announced for an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotLimits {
    /// The number of requests that the endpoint processes at one time.
    pub slots: u32,
    /// The number of connections that the endpoint accepts.
    pub connections: u32,
}

/// Identifies a request that waits for a slot. Tickets are ordered by deadline, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket {
    deadline: TimeUs,
    sequence: u64,
}

/// The decision on a request that was not refused.
#[derive(Debug)]
pub enum Admitted {
    /// Send the request to the endpoint now.
    Start(Permit<SlotKey, Reserved>),
    /// Keep the request until [`SlotTable::next`] returns the ticket.
    Wait(WaitTicket),
}

/// The decision on a request that waited.
#[derive(Debug)]
pub enum Next {
    /// Send the request to the endpoint now.
    Start(WaitTicket, Permit<SlotKey, Reserved>),
    /// Refuse the request as *not run*.
    Refuse(WaitTicket, SlotError),
}

/// One connection to an endpoint. Dropping it releases its place.
#[derive(Debug)]
#[must_use = "a connection holds a place until it is dropped"]
pub struct Connection {
    _guard: Guard,
}

#[derive(Debug)]
struct EndpointSlots {
    limits: SlotLimits,
    leaving: bool,
    interference_milli: u32,
    running: InFlight,
    connections: InFlight,
    waiting: BTreeSet<WaitTicket>,
    service_us: Option<u64>,
    served: Served,
}

/// The maximum number of requests waiting at one endpoint that cannot be sent to another. Each holds a connection of
/// its entry and at most the part of its body that the connection buffers.
pub const SINGLE_COPY_QUEUE_LIMIT: usize = 64;

/// Totals of an endpoint since its first announcement. Both only increase, so that each reader can compute the
/// difference over its own interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Served {
    /// The number of requests that ended.
    pub requests: u64,
    /// The total time for which these requests held a slot, in microseconds.
    pub total_us: u64,
}

/// The endpoints of one host. Calls take constant time, or time logarithmic in the length of a queue.
#[derive(Debug)]
pub struct SlotTable {
    queue_limit: usize,
    sequence: u64,
    endpoints: SlotMap<SlotKey, EndpointSlots>,
}

impl SlotTable {
    /// Creates a table without endpoints that lets up to `queue_limit` requests wait at each.
    pub fn new(queue_limit: u32) -> Self {
        Self { queue_limit: queue_limit as usize, sequence: 0, endpoints: SlotMap::with_key() }
    }

    /// Adds one run of an endpoint.
    pub fn announce(&mut self, limits: SlotLimits) -> SlotKey {
        self.endpoints.insert(EndpointSlots {
            limits,
            leaving: false,
            interference_milli: 1_000,
            running: InFlight::default(),
            connections: InFlight::default(),
            waiting: BTreeSet::new(),
            service_us: None,
            served: Served::default(),
        })
    }

    /// Changes the limits of an endpoint. Running requests and open connections beyond lower limits are kept until they
    /// end.
    pub fn set_limits(&mut self, key: SlotKey, limits: SlotLimits) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.limits = limits;
        }
    }

    /// Sets the slowdown expected from the endpoint's neighbours, in thousandths; 1000 is none.
    pub fn set_interference(&mut self, key: SlotKey, interference_milli: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.interference_milli = interference_milli;
        }
    }

    /// Sets whether the endpoint is leaving. While it is, it accepts no requests, and [`next`](Self::next) refuses
    /// waiting ones.
    pub fn set_leaving(&mut self, key: SlotKey, leaving: bool) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.leaving = leaving;
        }
    }

    /// Removes one run of an endpoint and returns its waiting requests, which the caller has to refuse as *not run*.
    pub fn remove(&mut self, key: SlotKey) -> Vec<WaitTicket> {
        self.endpoints.remove(key).map_or_else(Vec::new, |endpoint| endpoint.waiting.into_iter().collect())
    }

    /// Opens a connection to the endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint is unknown or already has as many connections as it accepts.
    pub fn connect(&mut self, key: SlotKey) -> Result<Connection, SlotError> {
        let endpoint = self.endpoints.get(key).ok_or(SlotError::new(SlotErrorKind::Unknown))?;
        if endpoint.connections.get() >= endpoint.limits.connections {
            return Err(SlotError::new(SlotErrorKind::NoConnection { limit: endpoint.limits.connections }));
        }
        Ok(Connection { _guard: endpoint.connections.enter() })
    }

    /// Starts a request, queues it, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint is unknown or leaving, if all slots and the queue are full, or if no slot would
    /// become free before the deadline. The request did not run.
    pub fn admit(&mut self, key: SlotKey, deadline: TimeUs, now: TimeUs) -> Result<Admitted, SlotError> {
        self.admit_within(self.queue_limit, key, deadline, now)
    }

    /// Like [`admit`](Self::admit), for a request that cannot be sent to another endpoint, because its body is not
    /// buffered or its idempotency key is claimed for this one. Up to [`SINGLE_COPY_QUEUE_LIMIT`] such requests may
    /// wait.
    ///
    /// # Errors
    ///
    /// As [`admit`](Self::admit).
    pub fn admit_single(&mut self, key: SlotKey, deadline: TimeUs, now: TimeUs) -> Result<Admitted, SlotError> {
        self.admit_within(SINGLE_COPY_QUEUE_LIMIT.max(self.queue_limit), key, deadline, now)
    }

    fn admit_within(
        &mut self,
        queue_limit: usize,
        key: SlotKey,
        deadline: TimeUs,
        now: TimeUs,
    ) -> Result<Admitted, SlotError> {
        let endpoint = self.endpoints.get_mut(key).ok_or(SlotError::new(SlotErrorKind::Unknown))?;
        if endpoint.leaving {
            return Err(SlotError::new(SlotErrorKind::Leaving));
        }
        let slots = endpoint.limits.slots;
        if endpoint.running.get() < slots && endpoint.waiting.is_empty() {
            if deadline <= now {
                return Err(SlotError::new(SlotErrorKind::TooLate));
            }
            return Ok(Admitted::Start(Permit::new(key, now, endpoint.running.enter())));
        }
        if endpoint.waiting.len() >= queue_limit {
            return Err(SlotError::new(SlotErrorKind::Full { slots }));
        }
        let ahead = endpoint.waiting.len() as u64 + 1;
        let wait_us = endpoint.service_us.unwrap_or(0) * ahead / u64::from(slots.max(1));
        if deadline <= now.plus_us(wait_us) {
            return Err(SlotError::new(SlotErrorKind::TooLate));
        }
        self.sequence += 1;
        let ticket = WaitTicket { deadline, sequence: self.sequence };
        endpoint.waiting.insert(ticket);
        Ok(Admitted::Wait(ticket))
    }

    /// Decides on the waiting request with the earliest deadline; `None` if it has to keep waiting. To be called until
    /// it returns `None` whenever a permit was ended or dropped, the endpoint starts to leave, or the deadline of a
    /// waiting request passes.
    pub fn next(&mut self, key: SlotKey, now: TimeUs) -> Option<Next> {
        let endpoint = self.endpoints.get_mut(key)?;
        let first = *endpoint.waiting.first()?;
        let refused = if endpoint.leaving {
            SlotErrorKind::Leaving
        } else if first.deadline <= now {
            SlotErrorKind::TooLate
        } else if endpoint.running.get() < endpoint.limits.slots {
            endpoint.waiting.remove(&first);
            return Some(Next::Start(first, Permit::new(key, now, endpoint.running.enter())));
        } else {
            return None;
        };
        endpoint.waiting.remove(&first);
        Some(Next::Refuse(first, SlotError::new(refused)))
    }

    /// Removes a waiting request whose caller has disconnected. Returns whether it was still waiting.
    pub fn withdraw(&mut self, key: SlotKey, ticket: WaitTicket) -> bool {
        self.endpoints.get_mut(key).is_some_and(|endpoint| endpoint.waiting.remove(&ticket))
    }

    /// Ends a request and adds the time for which it held its slot to the mean and the totals.
    pub fn end(&mut self, permit: Permit<SlotKey, Dispatched>, now: TimeUs) {
        if let Some(endpoint) = self.endpoints.get_mut(permit.endpoint()) {
            let took_us = now.since_us(permit.since());
            endpoint.service_us = Some(endpoint.service_us.map_or(took_us, |mean_us| (mean_us * 15 + took_us) / 16));
            endpoint.served.requests += 1;
            endpoint.served.total_us += took_us;
        }
    }

    /// The agent's report on the endpoint to the entries; `None` if it is unknown.
    pub fn report(&self, key: SlotKey) -> Option<EndpointReport> {
        self.endpoints.get(key).map(|endpoint| EndpointReport {
            in_flight: endpoint.running.get() + endpoint.waiting.len() as u32,
            leaving: endpoint.leaving,
            service_us: endpoint.service_us,
            interference_milli: endpoint.interference_milli,
        })
    }

    /// The totals of the endpoint; zeros if it is unknown.
    pub fn served(&self, key: SlotKey) -> Served {
        self.endpoints.get(key).map_or_else(Served::default, |endpoint| endpoint.served)
    }

    /// Whether the endpoint is unknown, or leaving with no running or waiting requests.
    pub fn is_drained(&self, key: SlotKey) -> bool {
        self.endpoints
            .get(key)
            .is_none_or(|endpoint| endpoint.leaving && endpoint.running.get() == 0 && endpoint.waiting.is_empty())
    }
}

/// Why a request or a connection was refused. The request did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotError {
    kind: SlotErrorKind,
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
enum SlotErrorKind {
    #[error("the endpoint is not known here; choose another endpoint")]
    Unknown,
    #[error("the endpoint is leaving; choose another endpoint")]
    Leaving,
    #[error("all {slots} slots of the endpoint and its waiting room are taken; choose another endpoint")]
    Full { slots: u32 },
    #[error("no slot comes free before the deadline; give the request more time or send it later")]
    TooLate,
    #[error("the endpoint has all {limit} connections that it accepts; wait until one is closed")]
    NoConnection { limit: u32 },
}

impl SlotError {
    fn new(kind: SlotErrorKind) -> Self {
        Self { kind }
    }

    /// Whether the endpoint has no free slot or connection. Another one may have room.
    pub fn is_full(&self) -> bool {
        matches!(self.kind, SlotErrorKind::Full { .. } | SlotErrorKind::NoConnection { .. })
    }

    /// Whether the endpoint accepts no requests any more, so that the entry should stop selecting it.
    pub fn is_gone(&self) -> bool {
        matches!(self.kind, SlotErrorKind::Leaving | SlotErrorKind::Unknown)
    }

    /// Whether no slot would become free before the deadline.
    pub fn is_too_late(&self) -> bool {
        self.kind == SlotErrorKind::TooLate
    }
}

impl std::fmt::Display for SlotError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.kind.fmt(f)
    }
}

impl std::error::Error for SlotError {}

#[cfg(test)]
mod tests {
    use super::*;

    const DEADLINE: TimeUs = TimeUs(1_000_000);

    fn table(queue_limit: u32) -> (SlotTable, SlotKey) {
        let mut table = SlotTable::new(queue_limit);
        let key = table.announce(SlotLimits { slots: 8, connections: 64 });
        (table, key)
    }

    /// Guards against exceeding the slots or connections of an endpoint, from any number of entries.
    #[test]
    fn slots_and_connections_are_never_exceeded() {
        let (mut table, key) = table(4);
        let admitted: Vec<_> = (0..100).filter_map(|_| table.admit(key, DEADLINE, TimeUs(0)).ok()).collect();
        let started = admitted.iter().filter(|a| matches!(a, Admitted::Start(_))).count();
        assert_eq!((started, admitted.len()), (8, 12));
        let connections: Vec<_> = (0..100).filter_map(|_| table.connect(key).ok()).collect();
        assert_eq!(connections.len(), 64);
        drop(connections);
        assert!(table.connect(key).is_ok());
    }

    /// Guards against leaking a slot when a request is cancelled between its phases.
    #[test]
    fn dropped_permits_give_their_slot_back() {
        let (mut table, key) = table(0);
        for phase in 0..3 {
            let permits: Vec<_> =
                (0..8).map(|_| table.admit(key, DEADLINE, TimeUs(0)).expect("a slot is free")).collect();
            assert!(table.admit(key, DEADLINE, TimeUs(0)).is_err_and(|error| error.is_full()), "phase {phase}");
            for admitted in permits {
                let Admitted::Start(permit) = admitted else { panic!("nothing waits") };
                match phase {
                    0 => drop(permit),
                    1 => drop(permit.dispatch(TimeUs(0))),
                    _ => table.end(permit.dispatch(TimeUs(0)), TimeUs(5)),
                }
            }
        }
        assert_eq!(table.report(key).map(|report| report.in_flight), Some(0));
        assert_eq!(table.served(key), Served { requests: 8, total_us: 40 });
    }

    /// Guards against starting requests at a leaving endpoint, including requests that waited before it announced so.
    #[test]
    fn a_leaving_endpoint_refuses_new_and_waiting_requests_and_finishes_the_rest() {
        let (mut table, key) = table(1);
        let mut running: Vec<_> =
            (0..8).map(|_| table.admit(key, DEADLINE, TimeUs(0)).expect("a slot is free")).collect();
        let Ok(Admitted::Wait(ticket)) = table.admit(key, DEADLINE, TimeUs(0)) else { panic!("it can wait") };
        table.set_leaving(key, true);
        assert!(table.admit(key, DEADLINE, TimeUs(1)).is_err_and(|error| error.is_gone()));
        running.pop();
        assert!(matches!(table.next(key, TimeUs(1)), Some(Next::Refuse(refused, _)) if refused == ticket));
        assert!(!table.is_drained(key));
        running.clear();
        assert!(table.is_drained(key));
    }

    /// Guards against refusing a request that cannot be sent to another endpoint, because its entry did not know that
    /// this one was full.
    #[test]
    fn a_request_that_cannot_be_sent_elsewhere_waits_beyond_the_usual_queue_limit() {
        let (mut table, key) = table(1);
        let _running: Vec<_> = (0..8).map(|_| table.admit(key, DEADLINE, TimeUs(0)).expect("a slot is free")).collect();
        assert!(table.admit(key, DEADLINE, TimeUs(0)).is_ok());
        assert!(table.admit(key, DEADLINE, TimeUs(0)).is_err_and(|error| error.is_full()));
        let single = (0..100).filter(|_| table.admit_single(key, DEADLINE, TimeUs(0)).is_ok()).count();
        assert_eq!(single, SINGLE_COPY_QUEUE_LIMIT - 1);
    }

    /// Guards against starting a request after its deadline.
    #[test]
    fn a_request_whose_deadline_passed_while_it_waited_is_refused() {
        let (mut table, key) = table(2);
        let running: Vec<_> = (0..8).map(|_| table.admit(key, DEADLINE, TimeUs(0)).expect("a slot is free")).collect();
        assert!(matches!(table.admit(key, TimeUs(50), TimeUs(0)), Ok(Admitted::Wait(_))));
        drop(running);
        assert!(matches!(table.next(key, TimeUs(50)), Some(Next::Refuse(_, error)) if error.is_too_late()));
        assert!(table.admit(key, TimeUs(50), TimeUs(50)).is_err());
    }
}
