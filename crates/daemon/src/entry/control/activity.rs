//! What endpoints have done lately, by the counts that agents report.
//!
//! Heartbeats come far more often than requests at a quiet endpoint. A service time that is reported again says nothing
//! new: counted once for each heartbeat, a single slow request would soon pass for a proven disturbance. A reading
//! therefore covers only requests that ended since the last one.

use std::collections::HashMap;

use fescuelead_core::{
    ids::{AgentId, ServiceName},
    units::TimeMs,
};
use fescuelead_wire::messages::EndpointReport;

/// An endpoint without requests for this long counts as idle.
const IDLE_MS: u64 = 30_000;
/// The shortest interval of a reading.
const READING_MS: u64 = 1_000;
/// Requests that make a full reading. The mean of fewer varies by more than the slowdown that a service may suffer.
const FULL_READING: u64 = 100;
/// An interval that has lasted this long ends with however few requests it has.
const LONGEST_READING_MS: u64 = 30_000;
/// Share of a reading of an undisturbed worker that enters the undisturbed service time.
const ALONE_GAIN: f64 = 1.0 / 16.0;
/// The same for a reading beside tasks that is faster than the undisturbed time, so that this cannot be right.
const FASTER_GAIN: f64 = 1.0 / 64.0;
/// The same for a slower one beside tasks, so that a service whose work has grown is not taken for disturbed forever.
const SLOWER_GAIN: f64 = 0.001;

/// The mean service time of the requests of one interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Reading {
    /// When the interval began.
    pub(super) from: TimeMs,
    /// How many times the undisturbed service time the mean was. With few requests it is drawn towards 1.
    pub(super) slowdown: f32,
}

/// What a heartbeat tells of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Observed {
    /// Whether it had a request within the last 30 s.
    pub(super) active: bool,
    /// A new reading, if an interval has just ended.
    pub(super) reading: Option<Reading>,
}

#[derive(Debug, Clone, Copy)]
struct Interval {
    from: TimeMs,
    requests: u64,
    total_us: u64,
    alone: bool,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    incarnation: u64,
    requests: u64,
    active_at: Option<TimeMs>,
    interval: Interval,
}

/// The last activity of each endpoint, and the undisturbed service time of each service.
#[derive(Debug, Clone, Default)]
pub(super) struct Activity {
    agents: HashMap<AgentId, HashMap<ServiceName, Seen>>,
    undisturbed_us: HashMap<ServiceName, f64>,
}

impl Activity {
    /// Takes in the report of an endpoint; `alone` says that its worker runs no tasks now.
    pub(super) fn observe(&mut self, agent: &AgentId, endpoint: &EndpointReport, alone: bool, now: TimeMs) -> Observed {
        let services = self.agents.entry(agent.clone()).or_default();
        let seen = services.entry(endpoint.service.clone()).or_insert_with(|| Seen::new(endpoint, alone, now));
        if seen.incarnation != endpoint.incarnation || seen.requests > endpoint.served_requests {
            *seen = Seen::new(endpoint, alone, now);
        }
        if endpoint.in_flight > 0 || endpoint.served_requests > seen.requests {
            seen.active_at = Some(now);
        }
        seen.requests = endpoint.served_requests;
        seen.interval.alone &= alone;
        let active = seen.active_at.is_some_and(|at| now.since_ms(at) < IDLE_MS);
        let interval = seen.interval;
        let Some((mean_us, share)) = interval.ended(endpoint, now) else { return Observed { active, reading: None } };
        seen.interval = Interval::new(endpoint, alone, now);
        let reading = (share > 0.0).then(|| {
            let slowdown = self.slowdown(&endpoint.service, mean_us, interval.alone);
            Reading { from: interval.from, slowdown: (1.0 + (slowdown - 1.0) * share) as f32 }
        });
        Observed { active, reading }
    }

    /// Forgets an agent that is gone.
    pub(super) fn forget(&mut self, agent: &AgentId) {
        self.agents.remove(agent);
    }

    fn slowdown(&mut self, service: &ServiceName, mean_us: f64, alone: bool) -> f64 {
        let undisturbed_us = self.undisturbed_us.entry(service.clone()).or_insert(mean_us);
        let gain = match (alone, mean_us < *undisturbed_us) {
            (true, _) => ALONE_GAIN,
            (false, true) => FASTER_GAIN,
            (false, false) => SLOWER_GAIN,
        };
        *undisturbed_us += (mean_us - *undisturbed_us) * gain;
        mean_us / undisturbed_us.max(1.0)
    }
}

impl Seen {
    fn new(endpoint: &EndpointReport, alone: bool, now: TimeMs) -> Self {
        let interval = Interval::new(endpoint, alone, now);
        Self { incarnation: endpoint.incarnation, requests: interval.requests, active_at: None, interval }
    }
}

impl Interval {
    fn new(endpoint: &EndpointReport, alone: bool, now: TimeMs) -> Self {
        Self { from: now, requests: endpoint.served_requests, total_us: endpoint.served_total_us, alone }
    }

    /// The mean service time of an interval that ends now, in microseconds, and how much it counts, between 0 and 1.
    fn ended(&self, endpoint: &EndpointReport, now: TimeMs) -> Option<(f64, f64)> {
        let requests = endpoint.served_requests.saturating_sub(self.requests);
        let lasted_ms = now.since_ms(self.from);
        let full = requests >= FULL_READING && lasted_ms >= READING_MS;
        if !full && lasted_ms < LONGEST_READING_MS {
            return None;
        }
        let total_us = endpoint.served_total_us.saturating_sub(self.total_us) as f64;
        let share = (requests as f64 / FULL_READING as f64).min(1.0);
        Some((total_us / requests.max(1) as f64, share))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(in_flight: u32, served_requests: u64, mean_us: u64) -> EndpointReport {
        EndpointReport {
            service: ServiceName::new("previews").expect("valid id"),
            slots: 8,
            connections: 64,
            in_flight,
            leaving: false,
            incarnation: 1,
            service_time_us: mean_us,
            served_requests,
            served_total_us: served_requests * mean_us,
        }
    }

    fn agent() -> AgentId {
        AgentId::new("agent-1").expect("valid id")
    }

    /// Guards against tasks that wait forever beside a service that nobody uses.
    #[test]
    fn a_service_without_requests_becomes_idle() {
        let mut activity = Activity::default();
        let mut is_active = |in_flight, served, at| {
            activity.observe(&agent(), &report(in_flight, served, 900), true, TimeMs(at)).active
        };
        assert!(!is_active(0, 0, 0));
        assert!(is_active(0, 1, 10));
        assert!(is_active(0, 1, IDLE_MS));
        assert!(!is_active(0, 1, 10 + IDLE_MS));
        assert!(is_active(1, 1, 20 + IDLE_MS));
    }

    /// Guards against a service time that counts as new evidence with every heartbeat: after a few slow requests, all
    /// tasks beside the service were throttled and no others were placed.
    #[test]
    fn a_service_time_that_is_reported_again_gives_no_reading() {
        let mut activity = Activity::default();
        let mut readings = 0;
        for number in 0..100 {
            let observed = activity.observe(&agent(), &report(0, 30, 5_000), false, TimeMs(number * 200));
            readings += usize::from(observed.reading.is_some());
        }
        assert_eq!(readings, 0);
    }

    /// Guards against a disturbance that is not seen, or that is seen at a part of its size.
    #[test]
    fn a_full_interval_gives_the_slowdown_against_undisturbed_workers() {
        let mut activity = Activity::default();
        let mut observe = |served, mean_us, alone, at| {
            activity.observe(&agent(), &report(1, served, mean_us), alone, TimeMs(at)).reading
        };
        assert_eq!(observe(0, 0, true, 0), None);
        assert_eq!(observe(400, 1_000, true, 1_000), Some(Reading { from: TimeMs(0), slowdown: 1.0 }));
        let disturbed = observe(800, 1_500, false, 2_000).expect("the interval is full");
        assert!((1.99..=2.0).contains(&disturbed.slowdown), "{disturbed:?}");
        assert_eq!(disturbed.from, TimeMs(1_000));
    }
}
