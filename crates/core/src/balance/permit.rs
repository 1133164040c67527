//! The right to have one request in flight at an endpoint.

use std::{
    marker::PhantomData,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use crate::balance::TimeUs;

/// State of a permit whose request has not been sent: giving it back leaves no trace.
#[derive(Debug)]
pub enum Reserved {}

/// State of a permit whose request may have been delivered.
#[derive(Debug)]
pub enum Dispatched {}

/// A counter of requests in flight that [`Guard`]s raise and lower.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlight(Arc<AtomicU32>);

impl InFlight {
    pub(crate) fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }

    pub(crate) fn enter(&self) -> Guard {
        self.0.fetch_add(1, Ordering::Relaxed);
        Guard(self.0.clone())
    }
}

/// Lowers its counter when it is dropped, so that a cancelled request cannot leak its slot.
#[derive(Debug)]
pub(crate) struct Guard(Arc<AtomicU32>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One request in flight at the endpoint `K`: first [`Reserved`], then [`Dispatched`], then ended by the table that
/// gave it out. A permit that is dropped instead, because its request was cancelled, gives its slot back too, but
/// teaches the table nothing.
#[derive(Debug)]
#[must_use = "a permit holds a slot until it is ended or dropped"]
pub struct Permit<K, S> {
    endpoint: K,
    since: TimeUs,
    probe: bool,
    guard: Guard,
    state: PhantomData<S>,
}

impl<K: Copy, S> Permit<K, S> {
    /// The endpoint that the permit is for.
    pub fn endpoint(&self) -> K {
        self.endpoint
    }

    /// Whether the request tests an endpoint that gets no other work.
    pub fn is_probe(&self) -> bool {
        self.probe
    }

    /// When the permit came into its present state.
    pub fn since(&self) -> TimeUs {
        self.since
    }
}

impl<K: Copy> Permit<K, Reserved> {
    pub(crate) fn new(endpoint: K, now: TimeUs, guard: Guard) -> Self {
        Self { endpoint, since: now, probe: false, guard, state: PhantomData }
    }

    pub(crate) fn with_probe(self, probe: bool) -> Self {
        Self { probe, ..self }
    }

    /// Marks the request as sent: from now on it may have been delivered.
    pub fn dispatch(self, now: TimeUs) -> Permit<K, Dispatched> {
        Permit { endpoint: self.endpoint, since: now, probe: self.probe, guard: self.guard, state: PhantomData }
    }

    /// Gives the slot back; the request was never sent.
    pub fn cancel(self) {}
}
