//! Selection among the endpoints of a service.

use rand::{Rng, RngExt};

use crate::balance::{Balancer, EndpointKey, Health, Permit, Reserved, Service, ServiceKey, TimeUs};

/// The maximum number of consecutive endpoints scanned if all drawn ones are full. Scanning all of 100 took 2 µs.
const MAX_SCAN: usize = 12;
/// The number of endpoints remembered because a request ended there last. Under overload, these are the ones with room.
pub(super) const RECENTLY_FREED: usize = 4;

/// The requirements of a request on its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointRequest {
    /// When the answer is due. Endpoints expected to miss it are only used if no other candidate has room.
    pub deadline: TimeUs,
    /// Whether the request may probe an ejected endpoint: it is idempotent and can be retried.
    pub may_probe: bool,
    /// An endpoint that is only used if it is the only active one: the one that failed before or that has the first
    /// copy.
    pub avoid: Option<EndpointKey>,
    /// Whether the endpoint must have a free slot. A hedge must not displace another request.
    pub needs_free_slot: bool,
}

impl EndpointRequest {
    /// Requires an answer by `deadline`. The request is no probe and may wait for a slot.
    pub fn new(deadline: TimeUs) -> Self {
        Self { deadline, may_probe: false, avoid: None, needs_free_slot: false }
    }

    /// Sets whether the request may probe an ejected endpoint.
    pub fn with_may_probe(self, may_probe: bool) -> Self {
        Self { may_probe, ..self }
    }

    /// Sets the endpoint to avoid.
    pub fn with_avoid(self, avoid: EndpointKey) -> Self {
        Self { avoid: Some(avoid), ..self }
    }

    /// Requires a free slot, as for a hedge.
    pub fn with_free_slot(self) -> Self {
        Self { needs_free_slot: true, ..self }
    }
}

/// Why no endpoint was selected. The request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    /// No endpoint of the service is active.
    #[error("no endpoint of the service is up; wait until one announces itself")]
    NoEndpoint,
    /// All candidates are full, as far as this entry knows.
    #[error("all endpoints of the service are full; wait until a request ends")]
    AllFull,
}

/// Candidates whose expected times differ by less than this factor are taken in the order in which they were drawn.
/// This way an endpoint that is no longer worse than its peers is tried again, even when all are idle.
const TIE_FACTOR: f32 = 1.05;

/// An endpoint with room, and the values by which candidates are compared; smaller is better.
#[derive(Clone, Copy)]
struct Candidate {
    key: EndpointKey,
    late: bool,
    expected_us: f32,
}

impl Candidate {
    /// The better of this candidate and an earlier one. The earlier one wins a tie within [`TIE_FACTOR`].
    fn better(self, before: Option<Self>) -> Self {
        match before {
            Some(before) if self.late && !before.late => before,
            Some(before) if before.late == self.late && before.expected_us <= self.expected_us * TIE_FACTOR => before,
            _ => self,
        }
    }
}

impl Balancer {
    /// Selects an endpoint of a service and reserves a place at it. Draws
    /// [`draws`](crate::balance::BalanceSettings::draws) candidates. Only if all are full, scans those at which a
    /// request ended last and a dozen others. Takes constant time, except for a probe, and does not allocate.
    ///
    /// # Errors
    ///
    /// Returns an error if no endpoint is active, or if all candidates are full.
    pub fn choose(
        &mut self,
        service: ServiceKey,
        request: &EndpointRequest,
        now: TimeUs,
        rng: &mut impl Rng,
    ) -> Result<Permit<EndpointKey, Reserved>, Unavailable> {
        let probe_due = self.services.get(service).is_some_and(|s| s.next_probe_at.is_some_and(|at| at <= now));
        if request.may_probe
            && probe_due
            && let Some(key) = self.take_probe(service, now)
        {
            return Ok(self.reserve(key, now).with_probe(true));
        }
        let state = self.services.get(service).ok_or(Unavailable::NoEndpoint)?;
        let key = match state.active.len() {
            0 => return Err(Unavailable::NoEndpoint),
            1 => self.candidate(state, state.active[0], request, now),
            _ => self.sample_candidates(state, request, now, rng),
        };
        key.map(|candidate| self.reserve(candidate.key, now)).ok_or(Unavailable::AllFull)
    }

    fn reserve(&mut self, key: EndpointKey, now: TimeUs) -> Permit<EndpointKey, Reserved> {
        let endpoint = &mut self.endpoints[key];
        endpoint.record_dispatch(now);
        Permit::new(key, now, endpoint.in_flight.enter())
    }

    fn sample_candidates(
        &self,
        service: &Service,
        request: &EndpointRequest,
        now: TimeUs,
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        let active = &service.active;
        let start = rng.random_range(0..active.len());
        let mut best = None;
        let mut index = start;
        for _ in 0..self.settings.draws {
            if let Some(candidate) = self.candidate(service, active[index], request, now) {
                best = Some(candidate.better(best));
            }
            // The next draw differs from this one.
            index = (index + rng.random_range(1..active.len())) % active.len();
        }
        if best.is_some() {
            return best;
        }
        let rate = |key: &EndpointKey| self.candidate(service, *key, request, now);
        let from_start = active[start..].iter().chain(&active[..start]).take(MAX_SCAN);
        let others = service.freed.iter().chain(from_start);
        others.filter_map(rate).fold(None, |best, candidate| Some(candidate.better(best)))
    }

    /// Evaluates an endpoint; `None` if it is full or has to be avoided.
    fn candidate(
        &self,
        service: &Service,
        key: EndpointKey,
        request: &EndpointRequest,
        now: TimeUs,
    ) -> Option<Candidate> {
        if request.avoid == Some(key) && service.active.len() > 1 {
            return None;
        }
        let endpoint = self.endpoints.get(key).filter(|e| e.is_open() && e.health == Health::Active)?;
        let load = endpoint.load(service.mean_reported_others, &self.settings, now);
        let slots = endpoint.spec.slots as f32;
        let room = match endpoint.ramp_from {
            Some(_) if service.ramping => slots * endpoint.ramp(&self.settings, now),
            _ if request.needs_free_slot => slots,
            _ => slots + self.settings.queue_limit as f32,
        };
        if load + 0.5 > room {
            return None;
        }
        let expected_us = endpoint.expected_us(load, service.median_service_us, now);
        let late = expected_us > request.deadline.since_us(now) as f32;
        Some(Candidate { key, late, expected_us })
    }

    /// Returns an ejected endpoint whose probe is due, and schedules its next probe. Linear in the endpoints of the
    /// service.
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
