//! Permits for requests in flight, with counters that cannot leak.

use std::{
    marker::PhantomData,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use crate::balance::TimeUs;

/// State of a permit whose request has not been sent. Releasing the permit has no further effect.
#[derive(Debug)]
pub enum Reserved {}

/// State of a permit whose request may have been delivered.
#[derive(Debug)]
pub enum Dispatched {}

/// A counter of requests in flight, or of other uses of a limit, that is managed by [`Guard`]s.
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

/// Decrements its counter when dropped, so that a cancelled request cannot leak its place.
#[derive(Debug)]
pub(crate) struct Guard(Arc<AtomicU32>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Permission for one request in flight at the endpoint `K`: first [`Reserved`], then [`Dispatched`], then ended by the
/// table that issued it. Dropping a permit, for example because its request was cancelled, also releases its place, but
/// does not update the estimates of the table.
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
    /// The endpoint of the request.
    pub fn endpoint(&self) -> K {
        self.endpoint
    }

    /// Whether the request probes an ejected endpoint.
    pub fn is_probe(&self) -> bool {
        self.probe
    }

    /// When the permit entered its present state.
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

    /// Marks the request as sent. From now on it may have been delivered.
    pub fn dispatch(self, now: TimeUs) -> Permit<K, Dispatched> {
        Permit { endpoint: self.endpoint, since: now, probe: self.probe, guard: self.guard, state: PhantomData }
    }

    /// Releases the place of a request that was never sent.
    pub fn cancel(self) {}
}
