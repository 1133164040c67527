//! Medians of a service, and ejection of endpoints that are slow or fail.

use crate::balance::{Balancer, EndpointKey, Health, Outcome, OutcomeKind, ServiceKey, TimeUs, endpoint::Endpoint};

/// The minimum number of answers before an endpoint is judged by its means.
const MIN_SAMPLES: u32 = 3;
/// An endpoint that fails more than this share of its requests is ejected, if the median endpoint fails less than half
/// as often.
const FAILING_SHARE: f32 = 0.5;
/// A probe succeeds if its answer takes at most this multiple of the median.
const MAX_PROBE_LATENCY_FACTOR: f32 = 2.0;
/// An endpoint whose probe has been due for this long, in microseconds, becomes active without one. Only idempotent
/// requests are probes, so that a service without them could never probe an ejected endpoint.
const MAX_PROBE_DELAY_US: u64 = 30_000_000;
/// The maximum number of times that the time between probes doubles.
const MAX_DOUBLINGS: u32 = 3;

impl Balancer {
    /// Recomputes which members are active, and the medians over them.
    pub(super) fn refresh(&mut self, key: ServiceKey, now: TimeUs) {
        self.readmit_overdue(key, now);
        self.readmit_last(key);
        let Some(service) = self.services.get_mut(key) else { return };
        let (endpoints, settings) = (&mut self.endpoints, &self.settings);
        service.active.clear();
        service.next_probe_at = None;
        let mut past_ramp = 0;
        for member in &service.members {
            let endpoint = &mut endpoints[*member];
            if endpoint.ramp_from.is_some_and(|from| from.plus_us(settings.ramp_us) <= now) {
                endpoint.ramp_from = None;
            }
            match endpoint.health {
                _ if !endpoint.is_open() => {}
                Health::Active => {
                    service.active.push(*member);
                    past_ramp += usize::from(endpoint.ramp_from.is_none());
                }
                Health::Ejected { probe_at, .. } => {
                    service.next_probe_at = Some(service.next_probe_at.map_or(probe_at, |at| at.min(probe_at)));
                }
            }
        }
        service.ramping = past_ramp * 2 >= service.active.len();
        let (active, median_buffer) = (&service.active, &mut service.median_buffer);
        let mut median = |value: fn(&Endpoint) -> f32, known: fn(&Endpoint) -> bool| {
            median_buffer.clear();
            median_buffer.extend(active.iter().map(|member| &endpoints[*member]).filter(|e| known(e)).map(value));
            median_buffer.sort_unstable_by(f32::total_cmp);
            median_buffer.get(median_buffer.len().saturating_sub(1) / 2).copied()
        };
        service.median_service_us =
            median(Endpoint::slow_mean_us, |e| e.samples > 0).unwrap_or(service.median_service_us);
        service.median_failure_share = median(|e| e.failure_share, |_| true).unwrap_or(0.0);
        let others: u32 = active.iter().map(|member| endpoints[*member].reported_others()).sum();
        service.mean_reported_others = others as f32 / active.len().max(1) as f32;
        if service.median_failure_share > FAILING_SHARE && self.readmit_failing(key) {
            self.refresh(key, now);
        }
    }

    /// Ends the ejection of endpoints whose probe is overdue because no request could be one. They are ramped up like
    /// new ones.
    fn readmit_overdue(&mut self, key: ServiceKey, now: TimeUs) {
        let Some(service) = self.services.get(key) else { return };
        for member in &service.members {
            let endpoint = &mut self.endpoints[*member];
            let overdue = |at: TimeUs| at.plus_us(MAX_PROBE_DELAY_US) <= now;
            if matches!(endpoint.health, Health::Ejected { probe_at, .. } if overdue(probe_at)) {
                endpoint.health = Health::Active;
                endpoint.reset_estimates(service.median_service_us);
                endpoint.ramp_from = Some(now);
            }
        }
    }

    /// Ends the ejection of all open endpoints of a service if none is active. A bad endpoint is better than none, and
    /// in a service without requests that may be probes no endpoint would become active again.
    fn readmit_last(&mut self, key: ServiceKey) {
        let Some(service) = self.services.get(key) else { return };
        let is_active = |member: &EndpointKey| {
            let endpoint = &self.endpoints[*member];
            endpoint.is_open() && endpoint.health == Health::Active
        };
        if service.members.iter().any(is_active) {
            return;
        }
        for member in &service.members {
            let endpoint = &mut self.endpoints[*member];
            if endpoint.is_open() {
                endpoint.health = Health::Active;
            }
        }
    }

    /// Ends the ejection of open endpoints with consecutive failures, and returns whether there were any. Called when
    /// most of the service fails: the endpoints that failed first in an outage would otherwise be missing when it is
    /// over.
    fn readmit_failing(&mut self, key: ServiceKey) -> bool {
        let mut any = false;
        for member in &self.services[key].members {
            let endpoint = &mut self.endpoints[*member];
            let failing = endpoint.failures_in_a_row >= self.settings.eject_failures;
            if failing && endpoint.is_open() && endpoint.health != Health::Active {
                endpoint.health = Health::Active;
                any = true;
            }
        }
        any
    }

    /// Ejects an endpoint that is an outlier, or applies the outcome of a probe to an ejected one.
    pub(super) fn update_health(&mut self, key: EndpointKey, probe: Option<&Outcome>, now: TimeUs) {
        let Some(endpoint) = self.endpoints.get(key) else { return };
        let service = endpoint.service;
        match endpoint.health {
            Health::Active => {
                if self.is_outlier(endpoint) && self.may_eject(service) {
                    let probe_at = now.plus_us(self.settings.probe_us);
                    self.endpoints[key].health = Health::Ejected { probe_at, good: 0, bad: 0 };
                    self.refresh(service, now);
                }
            }
            Health::Ejected { good, bad, .. } => {
                if let Some(outcome) = probe {
                    let health = self.health_after_probe(service, outcome, (good, bad), now);
                    let median_service_us = self.services[service].median_service_us;
                    let endpoint = &mut self.endpoints[key];
                    endpoint.health = health;
                    if health == Health::Active {
                        endpoint.reset_estimates(median_service_us);
                        endpoint.ramp_from = Some(now);
                    }
                    self.refresh(service, now);
                }
            }
        }
    }

    /// When the next probe is due after `bad` consecutive failed ones.
    pub(super) fn next_probe(&self, bad: u32, now: TimeUs) -> TimeUs {
        now.plus_us(self.settings.probe_us << bad.min(MAX_DOUBLINGS))
    }

    fn health_after_probe(
        &self,
        service: ServiceKey,
        outcome: &Outcome,
        (good, bad): (u32, u32),
        now: TimeUs,
    ) -> Health {
        let median_service_us = self.services[service].median_service_us;
        let fast =
            median_service_us == 0.0 || outcome.service_us as f32 <= median_service_us * MAX_PROBE_LATENCY_FACTOR;
        match outcome.kind {
            OutcomeKind::Answered if fast && good + 1 >= self.settings.probes_to_return => Health::Active,
            OutcomeKind::Answered if fast => {
                Health::Ejected { probe_at: now.plus_us(self.settings.probe_us / 10), good: good + 1, bad: 0 }
            }
            _ => Health::Ejected { probe_at: self.next_probe(bad + 1, now), good: 0, bad: bad + 1 },
        }
    }

    fn is_outlier(&self, endpoint: &Endpoint) -> bool {
        let service = &self.services[endpoint.service];
        let limit_us = service.median_service_us * self.settings.eject_slower_milli as f32 / 1_000.0;
        let slow =
            service.median_service_us > 0.0 && endpoint.samples >= MIN_SAMPLES && endpoint.fast_mean_us() > limit_us;
        let peers_healthy = service.median_failure_share * 2.0 < endpoint.failure_share;
        let failing = endpoint.failures_in_a_row >= self.settings.eject_failures
            || (endpoint.samples >= MIN_SAMPLES && endpoint.failure_share > FAILING_SHARE);
        slow || (failing && peers_healthy)
    }

    /// Whether the limit allows ejecting one more endpoint. Linear in the endpoints of the service.
    fn may_eject(&self, key: ServiceKey) -> bool {
        let service = &self.services[key];
        let open = service.members.iter().filter(|member| self.endpoints[**member].is_open()).count();
        let ejected = open - service.active.len();
        (ejected + 1) * 100 <= open * self.settings.max_ejected_percent as usize
    }
}
