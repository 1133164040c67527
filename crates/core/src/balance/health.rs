//! What is usual in a service, and which endpoints get only probes.

use crate::balance::{Balancer, EndpointKey, Health, Outcome, OutcomeKind, ServiceKey, TimeUs, endpoint::Endpoint};

/// Answers after which an endpoint can be called slow.
const MIN_SAMPLES: u32 = 3;
/// An endpoint that fails more than this share of its requests is ejected if its peers fail less than half as often.
const FAILING_SHARE: f32 = 0.5;
/// A probe is good if it takes at most this many usual times.
const GOOD_PROBE: f32 = 2.0;
/// How long a probe may be due before the endpoint returns without one. Only idempotent requests are probes, so that a
/// service without them could never test an ejected endpoint.
const UNPROBED_US: u64 = 30_000_000;
/// The wait between probes doubles this often at most.
const MAX_DOUBLINGS: u32 = 3;

impl Balancer {
    /// Sorts out which members are active and what is usual among them.
    pub(super) fn refresh(&mut self, key: ServiceKey, now: TimeUs) {
        self.readmit_unprobed(key, now);
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
        let (active, scratch) = (&service.active, &mut service.scratch);
        let mut median = |value: fn(&Endpoint) -> f32, known: fn(&Endpoint) -> bool| {
            scratch.clear();
            scratch.extend(active.iter().map(|member| &endpoints[*member]).filter(|e| known(e)).map(value));
            scratch.sort_unstable_by(f32::total_cmp);
            scratch.get(scratch.len().saturating_sub(1) / 2).copied()
        };
        service.usual_us = median(Endpoint::slow_us, |e| e.samples > 0).unwrap_or(service.usual_us);
        service.usual_failures = median(|e| e.failure_share, |_| true).unwrap_or(0.0);
        let others: u32 = active.iter().map(|member| endpoints[*member].reported_others()).sum();
        service.usual_others = others as f32 / active.len().max(1) as f32;
        if service.usual_failures > FAILING_SHARE && self.readmit_failing(key) {
            self.refresh(key, now);
        }
    }

    /// Ends the ejection of endpoints whose probe has been due for long without a request that may be one. They are ramped up
    /// like new ones.
    fn readmit_unprobed(&mut self, key: ServiceKey, now: TimeUs) {
        let Some(service) = self.services.get(key) else { return };
        for member in &service.members {
            let endpoint = &mut self.endpoints[*member];
            let unprobed = |at: TimeUs| at.plus_us(UNPROBED_US) <= now;
            if matches!(endpoint.health, Health::Ejected { probe_at, .. } if unprobed(probe_at)) {
                endpoint.health = Health::Active;
                endpoint.forget(service.usual_us);
                endpoint.ramp_from = Some(now);
            }
        }
    }

    /// Ends the ejection of all endpoints of a service if no other one is open. A bad endpoint is better than none, and a
    /// service of which no request may be a probe would never get one back.
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

    /// Ends the ejection of endpoints that fail no more than their peers, and says whether there were any. Those that
    /// failed first in an outage of the whole service would else be missing when it is over.
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

    /// Ejects an endpoint or lets it return, by what it has just shown.
    pub(super) fn judge(&mut self, key: EndpointKey, probe: Option<&Outcome>, now: TimeUs) {
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
                    let health = self.after_probe(service, outcome, (good, bad), now);
                    let usual_us = self.services[service].usual_us;
                    let endpoint = &mut self.endpoints[key];
                    endpoint.health = health;
                    if health == Health::Active {
                        endpoint.forget(usual_us);
                        endpoint.ramp_from = Some(now);
                    }
                    self.refresh(service, now);
                }
            }
        }
    }

    /// When the next probe is due after `bad` bad ones.
    pub(super) fn next_probe(&self, bad: u32, now: TimeUs) -> TimeUs {
        now.plus_us(self.settings.probe_us << bad.min(MAX_DOUBLINGS))
    }

    fn after_probe(&self, service: ServiceKey, outcome: &Outcome, (good, bad): (u32, u32), now: TimeUs) -> Health {
        let usual_us = self.services[service].usual_us;
        let fast = usual_us == 0.0 || outcome.service_us as f32 <= usual_us * GOOD_PROBE;
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
        let limit_us = service.usual_us * self.settings.eject_slower_milli as f32 / 1_000.0;
        let slow = service.usual_us > 0.0 && endpoint.samples >= MIN_SAMPLES && endpoint.fast_us() > limit_us;
        let peers_work = service.usual_failures * 2.0 < endpoint.failure_share;
        let failing = endpoint.failures_in_a_row >= self.settings.eject_failures
            || (endpoint.samples >= MIN_SAMPLES && endpoint.failure_share > FAILING_SHARE);
        slow || (failing && peers_work)
    }

    /// Whether enough endpoints stay if one more is ejected. Linear in the endpoints of the service.
    fn may_eject(&self, key: ServiceKey) -> bool {
        let service = &self.services[key];
        let open = service.members.iter().filter(|member| self.endpoints[**member].is_open()).count();
        let ejected = open - service.active.len();
        (ejected + 1) * 100 <= open * self.settings.max_ejected_percent as usize
    }
}
