//! The choice among the endpoints of a service.

use rand::{Rng, RngExt};

use crate::balance::{Balancer, EndpointKey, Health, Permit, Reserved, Service, ServiceKey, TimeUs};

/// Endpoints in a row that a choice looks at when all that it drew are full. Looking at all of 100 took 2 µs.
const MAX_SCAN: usize = 12;
/// Endpoints that are remembered because a request ended there lately: under overload they are the ones with room.
pub(super) const FREED: usize = 4;

/// What a request needs of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointRequest {
    /// When the answer is due.
    pub deadline: TimeUs,
    /// Whether the request may be a probe: it is idempotent and can be retried.
    pub may_probe: bool,
    /// An endpoint that is not taken unless it is the only one: the one that failed before or holds the first copy.
    pub avoid: Option<EndpointKey>,
    /// Whether only an endpoint with a free slot will do, as for a hedge: it must not displace another request.
    pub needs_free_slot: bool,
}

impl EndpointRequest {
    /// Any endpoint that can answer by `deadline`, but no probe.
    pub fn new(deadline: TimeUs) -> Self {
        Self { deadline, may_probe: false, avoid: None, needs_free_slot: false }
    }

    /// Says whether the request may test an endpoint that gets no other work.
    pub fn with_may_probe(self, may_probe: bool) -> Self {
        Self { may_probe, ..self }
    }

    /// Names an endpoint to stay away from.
    pub fn with_avoid(self, avoid: EndpointKey) -> Self {
        Self { avoid: Some(avoid), ..self }
    }

    /// Makes it the ask of a hedge, which takes only a free slot.
    pub fn with_free_slot(self) -> Self {
        Self { needs_free_slot: true, ..self }
    }
}

/// Says why no endpoint was chosen. The request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    /// No endpoint of the service is up.
    #[error("no endpoint of the service is up; wait until one announces itself")]
    NoEndpoint,
    /// All endpoints are full as far as this entry knows.
    #[error("all endpoints of the service are full; wait until a request ends")]
    AllFull,
}

/// Candidates that differ by less than this factor are taken in the order of the draw. An endpoint that is no longer worse
/// than its peers is thereby tried again, also when all are idle.
const EQUAL: f32 = 1.05;

/// A candidate and how it compares: the smaller the better.
#[derive(Clone, Copy)]
struct Candidate {
    key: EndpointKey,
    late: bool,
    expected_us: f32,
}

impl Candidate {
    /// The better of a new candidate and the one before it, which wins if the two are as good as equal.
    fn better(self, before: Option<Self>) -> Self {
        match before {
            Some(before) if self.late && !before.late => before,
            Some(before) if before.late == self.late && before.expected_us <= self.expected_us * EQUAL => before,
            _ => self,
        }
    }
}

impl Balancer {
    /// Chooses an endpoint of a service and reserves a place at it. Draws two candidates; only if
    /// both are full, looks at those where a request ended lately and at a dozen others. Takes constant time and does
    /// not allocate.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint is up, or if all are full.
    pub fn choose(
        &mut self,
        service: ServiceKey,
        ask: &EndpointRequest,
        now: TimeUs,
        rng: &mut impl Rng,
    ) -> Result<Permit<EndpointKey, Reserved>, Unavailable> {
        let probe_due = self.services.get(service).is_some_and(|s| s.next_probe_at.is_some_and(|at| at <= now));
        if ask.may_probe
            && probe_due
            && let Some(key) = self.take_probe(service, now)
        {
            return Ok(self.reserve(key, now).with_probe(true));
        }
        let state = self.services.get(service).ok_or(Unavailable::NoEndpoint)?;
        let key = match state.active.len() {
            0 => return Err(Unavailable::NoEndpoint),
            1 => self.candidate(state, state.active[0], ask, now),
            _ => self.drawn(state, ask, now, rng),
        };
        key.map(|candidate| self.reserve(candidate.key, now)).ok_or(Unavailable::AllFull)
    }

    fn reserve(&mut self, key: EndpointKey, now: TimeUs) -> Permit<EndpointKey, Reserved> {
        let endpoint = &mut self.endpoints[key];
        endpoint.note_dispatch(now);
        Permit::new(key, now, endpoint.own.enter())
    }

    fn drawn(&self, service: &Service, ask: &EndpointRequest, now: TimeUs, rng: &mut impl Rng) -> Option<Candidate> {
        let active = &service.active;
        let start = rng.random_range(0..active.len());
        let mut best = None;
        let mut index = start;
        for _ in 0..self.settings.draws {
            if let Some(candidate) = self.candidate(service, active[index], ask, now) {
                best = Some(candidate.better(best));
            }
            // The next draw is another endpoint than this one.
            index = (index + rng.random_range(1..active.len())) % active.len();
        }
        if best.is_some() {
            return best;
        }
        let rate = |key: &EndpointKey| self.candidate(service, *key, ask, now);
        let from_start = active[start..].iter().chain(&active[..start]).take(MAX_SCAN);
        let others = service.freed.iter().chain(from_start);
        others.filter_map(rate).fold(None, |best, candidate| Some(candidate.better(best)))
    }

    /// Rates an endpoint; `None` if it is full or to be avoided.
    fn candidate(&self, service: &Service, key: EndpointKey, ask: &EndpointRequest, now: TimeUs) -> Option<Candidate> {
        if ask.avoid == Some(key) && service.active.len() > 1 {
            return None;
        }
        let endpoint = self.endpoints.get(key).filter(|e| e.is_open() && e.health == Health::Active)?;
        let load = endpoint.load(service.usual_others, &self.settings, now);
        let slots = endpoint.spec.slots as f32;
        let room = match endpoint.ramp_from {
            Some(_) if service.ramping => slots * endpoint.ramp(&self.settings, now),
            _ if ask.needs_free_slot => slots,
            _ => slots + self.settings.queue_limit as f32,
        };
        if load + 0.5 > room {
            return None;
        }
        let expected_us = endpoint.expected_us(load, service.usual_us, now);
        let late = expected_us > ask.deadline.since_us(now) as f32;
        Some(Candidate { key, late, expected_us })
    }

    /// The ejected endpoint whose probe is due, with its next probe put off. Linear in the endpoints of the service.
    fn take_probe(&mut self, service: ServiceKey, now: TimeUs) -> Option<EndpointKey> {
        let due = |key: &&EndpointKey| {
            let endpoint = &self.endpoints[**key];
            endpoint.is_open() && matches!(endpoint.health, Health::Ejected { probe_at, .. } if probe_at <= now)
        };
        let key = self.services[service].members.iter().find(due).copied()?;
        if let Health::Ejected { good, bad, .. } = self.endpoints[key].health {
            let probe_at = self.next_probe(bad, now);
            self.endpoints[key].health = Health::Ejected { probe_at, good, bad };
        }
        let next = |key: &EndpointKey| match self.endpoints[*key].health {
            Health::Ejected { probe_at, .. } if self.endpoints[*key].is_open() => Some(probe_at),
            _ => None,
        };
        let next = self.services[service].members.iter().filter_map(next).min();
        self.services[service].next_probe_at = next;
        Some(key)
    }
}
