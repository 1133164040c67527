/*!
The agent's table of slots and connections of the endpoints on its host.

All entries send through the agent, so it alone can hold the limits of an endpoint over all of them. It refuses as *not
run* what it cannot take, with the reason. A few requests may wait for a slot, so that the slot is not idle while the
entry learns that it is free.

```
use fescuelead_core::{balance::TimeUs, slots::{Admitted, Next, SlotLimits, SlotTable}};

let mut table = SlotTable::new(1);
let key = table.announce(SlotLimits { slots: 1, connections: 4 });
let due = TimeUs(1_000_000);
let Ok(Admitted::Start(permit)) = table.admit(key, due, TimeUs(0)) else { panic!("a slot is free") };
let permit = permit.dispatch(TimeUs(0));
let Ok(Admitted::Wait(ticket)) = table.admit(key, due, TimeUs(0)) else { panic!("the waiting room is empty") };
assert!(table.admit(key, due, TimeUs(0)).is_err(), "the waiting room is full");

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
    /// Points to one run of an endpoint in a [`SlotTable`].
    pub struct SlotKey;
}

/// What an endpoint announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotLimits {
    /// Requests that it works on at one time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}

/// A request that waits for a slot, ordered by deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitTicket {
    deadline: TimeUs,
    sequence: u64,
}

/// What becomes of a request that was not refused.
#[derive(Debug)]
pub enum Admitted {
    /// Send it to the endpoint now.
    Start(Permit<SlotKey, Reserved>),
    /// Keep it until [`SlotTable::next`] names the ticket.
    Wait(WaitTicket),
}

/// What becomes of a request that waited.
#[derive(Debug)]
pub enum Next {
    /// Send it to the endpoint now.
    Start(WaitTicket, Permit<SlotKey, Reserved>),
    /// Refuse it as *not run*.
    Refuse(WaitTicket, SlotError),
}

/// One connection to an endpoint; dropping it gives the place back.
#[derive(Debug)]
#[must_use = "a connection holds a place until it is dropped"]
pub struct Connection {
    _guard: Guard,
}

#[derive(Debug)]
struct Gate {
    limits: SlotLimits,
    leaving: bool,
    interference_milli: u32,
    running: InFlight,
    connections: InFlight,
    waiting: BTreeSet<WaitTicket>,
    service_us: Option<u64>,
    served: Served,
}

/// Requests that may wait at one endpoint if they cannot be sent elsewhere. Each holds a connection of its entry and at
/// most the part of its body that the connection buffers.
pub const SINGLE_COPY_ROOM: usize = 64;

/// What an endpoint has done since its first announcement. Both numbers only grow, so that each reader can take the
/// difference over an interval of its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Served {
    /// Requests that have ended.
    pub requests: u64,
    /// The sum of the times for which they held a slot, in microseconds.
    pub total_us: u64,
}

/// The endpoints of one host. Calls take constant time, or logarithmic in the waiting room.
#[derive(Debug)]
pub struct SlotTable {
    waiting_room: usize,
    sequence: u64,
    gates: SlotMap<SlotKey, Gate>,
}

impl SlotTable {
    /// A table without endpoints that lets `waiting_room` requests wait at each.
    pub fn new(waiting_room: u32) -> Self {
        Self { waiting_room: waiting_room as usize, sequence: 0, gates: SlotMap::with_key() }
    }

    /// Adds one run of an endpoint.
    pub fn announce(&mut self, limits: SlotLimits) -> SlotKey {
        self.gates.insert(Gate {
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

    /// Changes the limits of an endpoint. What exceeds lower limits is let run out.
    pub fn set_limits(&mut self, key: SlotKey, limits: SlotLimits) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.limits = limits;
        }
    }

    /// Sets the slowdown that the neighbours of the endpoint are expected to cause, in thousandths.
    pub fn set_interference(&mut self, key: SlotKey, interference_milli: u32) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.interference_milli = interference_milli;
        }
    }

    /// Says whether the endpoint takes new work. Once it leaves, [`next`](Self::next) refuses what still waits.
    pub fn set_leaving(&mut self, key: SlotKey, leaving: bool) {
        if let Some(gate) = self.gates.get_mut(key) {
            gate.leaving = leaving;
        }
    }

    /// Forgets one run of an endpoint and names the requests that still wait; they are to be refused as *not run*.
    pub fn remove(&mut self, key: SlotKey) -> Vec<WaitTicket> {
        self.gates.remove(key).map_or_else(Vec::new, |gate| gate.waiting.into_iter().collect())
    }

    /// Takes a place for one connection to the endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is unknown or has as many connections as it accepts.
    pub fn connect(&mut self, key: SlotKey) -> Result<Connection, SlotError> {
        let gate = self.gates.get(key).ok_or(SlotError::new(SlotErrorKind::Unknown))?;
        if gate.connections.get() >= gate.limits.connections {
            return Err(SlotError::new(SlotErrorKind::NoConnection { limit: gate.limits.connections }));
        }
        Ok(Connection { _guard: gate.connections.enter() })
    }

    /// Lets a request in, lets it wait, or refuses it.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is unknown or leaving, if neither a slot nor a place to wait is free, or if the slot would
    /// come free after the deadline. The request did not run.
    pub fn admit(&mut self, key: SlotKey, deadline: TimeUs, now: TimeUs) -> Result<Admitted, SlotError> {
        self.admit_within(self.waiting_room, key, deadline, now)
    }

    /// Like [`admit`](Self::admit), for a request that cannot be sent to another endpoint: its body is not kept, or its key
    /// is claimed for this one. It may wait behind up to [`SINGLE_COPY_ROOM`] others.
    ///
    /// # Errors
    ///
    /// As [`admit`](Self::admit).
    pub fn admit_single(&mut self, key: SlotKey, deadline: TimeUs, now: TimeUs) -> Result<Admitted, SlotError> {
        self.admit_within(SINGLE_COPY_ROOM.max(self.waiting_room), key, deadline, now)
    }

    fn admit_within(
        &mut self,
        room: usize,
        key: SlotKey,
        deadline: TimeUs,
        now: TimeUs,
    ) -> Result<Admitted, SlotError> {
        let gate = self.gates.get_mut(key).ok_or(SlotError::new(SlotErrorKind::Unknown))?;
        if gate.leaving {
            return Err(SlotError::new(SlotErrorKind::Leaving));
        }
        let slots = gate.limits.slots;
        if gate.running.get() < slots && gate.waiting.is_empty() {
            if deadline <= now {
                return Err(SlotError::new(SlotErrorKind::TooLate));
            }
            return Ok(Admitted::Start(Permit::new(key, now, gate.running.enter())));
        }
        if gate.waiting.len() >= room {
            return Err(SlotError::new(SlotErrorKind::Full { slots }));
        }
        let ahead = gate.waiting.len() as u64 + 1;
        let wait_us = gate.service_us.unwrap_or(0) * ahead / u64::from(slots.max(1));
        if deadline <= now.plus_us(wait_us) {
            return Err(SlotError::new(SlotErrorKind::TooLate));
        }
        self.sequence += 1;
        let ticket = WaitTicket { deadline, sequence: self.sequence };
        gate.waiting.insert(ticket);
        Ok(Admitted::Wait(ticket))
    }

    /// What is to be done with a waiting request now, the one with the earliest deadline first. To be called until it
    /// returns `None` whenever a permit was ended or dropped, the endpoint leaves, or a waiting request's deadline passes.
    pub fn next(&mut self, key: SlotKey, now: TimeUs) -> Option<Next> {
        let gate = self.gates.get_mut(key)?;
        let first = *gate.waiting.first()?;
        let refused = if gate.leaving {
            SlotErrorKind::Leaving
        } else if first.deadline <= now {
            SlotErrorKind::TooLate
        } else if gate.running.get() < gate.limits.slots {
            gate.waiting.remove(&first);
            return Some(Next::Start(first, Permit::new(key, now, gate.running.enter())));
        } else {
            return None;
        };
        gate.waiting.remove(&first);
        Some(Next::Refuse(first, SlotError::new(refused)))
    }

    /// Forgets a waiting request whose caller is gone.
    pub fn withdraw(&mut self, key: SlotKey, ticket: WaitTicket) -> bool {
        self.gates.get_mut(key).is_some_and(|gate| gate.waiting.remove(&ticket))
    }

    /// Ends a request and learns how long it held its slot.
    pub fn end(&mut self, permit: Permit<SlotKey, Dispatched>, now: TimeUs) {
        if let Some(gate) = self.gates.get_mut(permit.endpoint()) {
            let took_us = now.since_us(permit.since());
            gate.service_us = Some(gate.service_us.map_or(took_us, |mean_us| (mean_us * 15 + took_us) / 16));
            gate.served.requests += 1;
            gate.served.total_us += took_us;
        }
    }

    /// What the agent tells entries of the endpoint.
    pub fn report(&self, key: SlotKey) -> Option<EndpointReport> {
        self.gates.get(key).map(|gate| EndpointReport {
            in_flight: gate.running.get() + gate.waiting.len() as u32,
            leaving: gate.leaving,
            service_us: gate.service_us,
            interference_milli: gate.interference_milli,
        })
    }

    /// What the endpoint has done so far.
    pub fn served(&self, key: SlotKey) -> Served {
        self.gates.get(key).map_or_else(Served::default, |gate| gate.served)
    }

    /// Whether a leaving endpoint has nothing left to finish.
    pub fn is_drained(&self, key: SlotKey) -> bool {
        self.gates.get(key).is_none_or(|gate| gate.leaving && gate.running.get() == 0 && gate.waiting.is_empty())
    }
}

/// Says why a request or a connection was refused. The request did not run.
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

    /// Whether another endpoint may have room when this one has none.
    pub fn is_full(&self) -> bool {
        matches!(self.kind, SlotErrorKind::Full { .. } | SlotErrorKind::NoConnection { .. })
    }

    /// Whether the endpoint takes nothing new, so that the entry should stop choosing it.
    pub fn is_gone(&self) -> bool {
        matches!(self.kind, SlotErrorKind::Leaving | SlotErrorKind::Unknown)
    }

    /// Whether no endpoint could answer in time.
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

    const DUE: TimeUs = TimeUs(1_000_000);

    fn table(waiting_room: u32) -> (SlotTable, SlotKey) {
        let mut table = SlotTable::new(waiting_room);
        let key = table.announce(SlotLimits { slots: 8, connections: 64 });
        (table, key)
    }

    /// Guards against an endpoint that is given more than its slots or connections, from however many entries.
    #[test]
    fn slots_and_connections_are_never_exceeded() {
        let (mut table, key) = table(4);
        let admitted: Vec<_> = (0..100).filter_map(|_| table.admit(key, DUE, TimeUs(0)).ok()).collect();
        let started = admitted.iter().filter(|a| matches!(a, Admitted::Start(_))).count();
        assert_eq!((started, admitted.len()), (8, 12));
        let connections: Vec<_> = (0..100).filter_map(|_| table.connect(key).ok()).collect();
        assert_eq!(connections.len(), 64);
        drop(connections);
        assert!(table.connect(key).is_ok());
    }

    /// Guards against a slot that is lost when a request is cancelled between its phases.
    #[test]
    fn dropped_permits_give_their_slot_back() {
        let (mut table, key) = table(0);
        for phase in 0..3 {
            let permits: Vec<_> = (0..8).map(|_| table.admit(key, DUE, TimeUs(0)).expect("a slot is free")).collect();
            assert!(table.admit(key, DUE, TimeUs(0)).is_err_and(|error| error.is_full()), "phase {phase}");
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

    /// Guards against new work at an endpoint that leaves, also work that waited when it announced so.
    #[test]
    fn a_leaving_endpoint_refuses_new_and_waiting_requests_and_finishes_the_rest() {
        let (mut table, key) = table(1);
        let mut running: Vec<_> = (0..8).map(|_| table.admit(key, DUE, TimeUs(0)).expect("a slot is free")).collect();
        let Ok(Admitted::Wait(ticket)) = table.admit(key, DUE, TimeUs(0)) else { panic!("it can wait") };
        table.set_leaving(key, true);
        assert!(table.admit(key, DUE, TimeUs(1)).is_err_and(|error| error.is_gone()));
        running.pop();
        assert!(matches!(table.next(key, TimeUs(1)), Some(Next::Refuse(refused, _)) if refused == ticket));
        assert!(!table.is_drained(key));
        running.clear();
        assert!(table.is_drained(key));
    }

    /// Guards against a request that fails because its entry did not know that the endpoint was full, although it cannot be
    /// sent to another one.
    #[test]
    fn a_request_that_cannot_be_sent_elsewhere_waits_beyond_the_usual_room() {
        let (mut table, key) = table(1);
        let _running: Vec<_> = (0..8).map(|_| table.admit(key, DUE, TimeUs(0)).expect("a slot is free")).collect();
        assert!(table.admit(key, DUE, TimeUs(0)).is_ok());
        assert!(table.admit(key, DUE, TimeUs(0)).is_err_and(|error| error.is_full()));
        let single = (0..100).filter(|_| table.admit_single(key, DUE, TimeUs(0)).is_ok()).count();
        assert_eq!(single, SINGLE_COPY_ROOM - 1);
    }

    /// Guards against a start after the caller's deadline.
    #[test]
    fn a_request_whose_deadline_passed_while_it_waited_is_refused() {
        let (mut table, key) = table(2);
        let running: Vec<_> = (0..8).map(|_| table.admit(key, DUE, TimeUs(0)).expect("a slot is free")).collect();
        assert!(matches!(table.admit(key, TimeUs(50), TimeUs(0)), Ok(Admitted::Wait(_))));
        drop(running);
        assert!(matches!(table.next(key, TimeUs(50)), Some(Next::Refuse(_, error)) if error.is_too_late()));
        assert!(table.admit(key, TimeUs(50), TimeUs(50)).is_err());
    }
}
