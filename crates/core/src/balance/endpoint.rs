//! The state and estimates that an entry keeps for one endpoint.

use crate::{
    balance::{BalanceSettings, Outcome, OutcomeKind, ServiceKey, TimeUs, permit::InFlight},
    ids::{AgentId, AvailabilityZone, ServiceName},
};

/// An endpoint as announced by its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// The service that the endpoint serves.
    pub service: ServiceName,
    /// The agent on the endpoint's host.
    pub agent: AgentId,
    /// The availability zone of the host.
    pub zone: AvailabilityZone,
    /// The number of requests that the endpoint processes at one time, over all entries.
    pub slots: u32,
    /// The number of connections that the endpoint accepts, over all entries.
    pub connections: u32,
    /// Distinguishes runs of the same endpoint.
    pub incarnation: u64,
}

/// An agent's report on an endpoint, from a heartbeat or an answer. Its age counts from its arrival at the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointReport {
    /// The number of requests that hold a slot or wait for one, over all entries.
    pub in_flight: u32,
    /// Whether the endpoint finishes its requests and accepts no new ones.
    pub leaving: bool,
    /// The recent mean time for which a request holds a slot, in microseconds; `None` if no request ended yet.
    pub service_us: Option<u64>,
    /// The expected slowdown by neighbours on the host, in thousandths; 1000 is none.
    pub interference_milli: u32,
}

impl Default for EndpointReport {
    fn default() -> Self {
        Self { in_flight: 0, leaving: false, service_us: None, interference_milli: 1_000 }
    }
}

/// Whether an endpoint gets requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The endpoint gets its full share, or a growing one while it is ramped up.
    Active,
    /// The endpoint fails or is much slower than its peers, and only gets probes.
    Ejected {
        /// When the next probe is due.
        probe_at: TimeUs,
        /// Consecutive successful probes.
        good: u32,
        /// Consecutive failed probes; the time between probes doubles with each, up to a maximum.
        bad: u32,
    },
}

#[derive(Debug, Clone)]
pub(super) struct Endpoint {
    pub(super) spec: EndpointSpec,
    pub(super) service: ServiceKey,
    pub(super) in_flight: InFlight,
    pub(super) leaving: bool,
    pub(super) zone_out: bool,
    pub(super) suspected: bool,
    pub(super) health: Health,
    pub(super) ramp_from: Option<TimeUs>,
    pub(super) rtt_us: f32,
    /// Requests of other entries at the endpoint, as of the last report.
    reported_others: u32,
    reported_at: TimeUs,
    /// The expected slowdown by neighbours as a factor; 1.0 is none.
    interference: f32,
    /// When the last request ended, or the first one was sent to the idle endpoint.
    busy_since: TimeUs,
    sampled_at: TimeUs,
    /// Slowly adapting mean service time, see [`MEAN_WEIGHT`].
    slow_mean_us: f32,
    /// Quickly adapting mean service time, see [`DETECT_WEIGHT`].
    fast_mean_us: f32,
    pub(super) samples: u32,
    pub(super) failure_share: f32,
    pub(super) failures_in_a_row: u32,
}

/// The weight of one answer in the mean service time that selections compare.
const MEAN_WEIGHT: f32 = 1.0 / 32.0;
/// The weight of one answer in the mean service time that detects slow endpoints.
const DETECT_WEIGHT: f32 = 1.0 / 8.0;
/// The weight of one answer in the share of failures.
const FAILURE_WEIGHT: f32 = 1.0 / 16.0;
/// Longer service times count as this multiple of the median, so that one slow answer does not eject an endpoint.
const MAX_SAMPLE_FACTOR: f32 = 8.0;

/// The age at which the estimates of an endpoint have half their weight.
const ESTIMATE_HALF_LIFE_US: f32 = 2_000_000.0;

impl Endpoint {
    pub(super) fn new(spec: EndpointSpec, service: ServiceKey, rtt_us: u64, now: TimeUs) -> Self {
        Self {
            spec,
            service,
            in_flight: InFlight::default(),
            leaving: false,
            zone_out: false,
            suspected: false,
            health: Health::Active,
            ramp_from: None,
            rtt_us: rtt_us as f32,
            reported_others: 0,
            reported_at: now,
            interference: 1.0,
            busy_since: now,
            sampled_at: now,
            slow_mean_us: 0.0,
            fast_mean_us: 0.0,
            samples: 0,
            failure_share: 0.0,
            failures_in_a_row: 0,
        }
    }

    /// Whether the endpoint may get requests, regardless of its health.
    pub(super) fn is_open(&self) -> bool {
        !self.leaving && !self.zone_out && !self.suspected
    }

    pub(super) fn observe(&mut self, report: &EndpointReport, now: TimeUs) {
        self.leaving = report.leaving;
        self.reported_others = report.in_flight.saturating_sub(self.in_flight.get());
        self.reported_at = now;
        self.interference = (report.interference_milli as f32 / 1_000.0).clamp(0.5, 10.0);
        if let (0, Some(service_us)) = (self.samples, report.service_us) {
            self.slow_mean_us = service_us as f32;
            self.fast_mean_us = self.slow_mean_us;
            self.samples = 1;
        }
    }

    /// Updates the estimates from a request that ended. `median_service_us` is the median of the service (zero if
    /// unknown).
    pub(super) fn record_outcome(&mut self, outcome: &Outcome, median_service_us: f32, now: TimeUs) {
        self.busy_since = now;
        if let Some(rtt_us) = outcome.rtt_us {
            self.rtt_us += (rtt_us as f32 - self.rtt_us) / 16.0;
        }
        let (kind, took_us) = (outcome.kind, outcome.service_us as f32);
        if kind == OutcomeKind::Abandoned && took_us < self.slow_mean_us.max(median_service_us) {
            return;
        }
        let failed = kind == OutcomeKind::Failed;
        if kind != OutcomeKind::Abandoned {
            self.failure_share += (f32::from(u8::from(failed)) - self.failure_share) * FAILURE_WEIGHT;
            self.failures_in_a_row = if failed { self.failures_in_a_row + 1 } else { 0 };
        }
        // A failure counts as at least a median service time: fast errors would attract requests.
        let sample = took_us.max(if failed { median_service_us } else { 0.0 });
        let sample = if median_service_us > 0.0 { sample.min(median_service_us * MAX_SAMPLE_FACTOR) } else { sample };
        if self.samples == 0 {
            let start = if median_service_us > 0.0 { median_service_us } else { sample };
            (self.slow_mean_us, self.fast_mean_us) = (start, start);
        }
        self.slow_mean_us += (sample - self.slow_mean_us) * MEAN_WEIGHT;
        self.fast_mean_us += (sample - self.fast_mean_us) * DETECT_WEIGHT;
        self.samples = self.samples.saturating_add(1);
        self.sampled_at = now;
    }

    /// Replaces the estimates from before an ejection by the median of the service.
    pub(super) fn reset_estimates(&mut self, median_service_us: f32) {
        (self.slow_mean_us, self.fast_mean_us) = (median_service_us, median_service_us);
        self.failure_share = 0.0;
        self.failures_in_a_row = 0;
    }

    pub(super) fn record_dispatch(&mut self, now: TimeUs) {
        if self.in_flight.get() == 0 {
            self.busy_since = now;
        }
    }

    /// The estimated number of requests of all entries at the endpoint. The older the report, the more the reported
    /// requests of other entries are replaced by `mean_reported_others`, their mean over the service.
    pub(super) fn load(&self, mean_reported_others: f32, settings: &BalanceSettings, now: TimeUs) -> f32 {
        let age_us = now.since_us(self.reported_at) as f32;
        let freshness = settings.report_half_life_us as f32 / (settings.report_half_life_us as f32 + age_us);
        let others = self.reported_others as f32 * freshness + mean_reported_others * (1.0 - freshness);
        self.in_flight.get() as f32 + others
    }

    /// The mean service time that selections compare, in microseconds.
    pub(super) fn slow_mean_us(&self) -> f32 {
        self.slow_mean_us
    }

    /// The mean service time over the last few answers, which detects slow endpoints, in microseconds.
    pub(super) fn fast_mean_us(&self) -> f32 {
        self.fast_mean_us
    }

    pub(super) fn reported_others(&self) -> u32 {
        self.reported_others
    }

    /// The share of its slots that may be used while the endpoint is ramped up, above 0 and at most 1.
    pub(super) fn ramp(&self, settings: &BalanceSettings, now: TimeUs) -> f32 {
        match self.ramp_from {
            None => 1.0,
            Some(from) => {
                let share = now.since_us(from) as f32 / settings.ramp_us.max(1) as f32;
                share.clamp(1.0 / self.spec.slots.max(1) as f32, 1.0)
            }
        }
    }

    /// The expected time until the answer of a request sent now, in microseconds, increased for an endpoint that fails.
    pub(super) fn expected_us(&self, load: f32, median_service_us: f32, now: TimeUs) -> f32 {
        let slots = self.spec.slots.max(1) as f32;
        // The estimate decays towards the median, so that an endpoint that lost every comparison is tried again.
        let freshness = ESTIMATE_HALF_LIFE_US / (ESTIMATE_HALF_LIFE_US + now.since_us(self.sampled_at) as f32);
        let known = self.samples > 0 && median_service_us > 0.0;
        let mut service_us = if known {
            median_service_us + (self.slow_mean_us - median_service_us) * freshness
        } else {
            self.slow_mean_us.max(median_service_us)
        };
        if self.in_flight.get() > 0 {
            // A request that has been waiting for its answer is evidence that the endpoint is at least this slow.
            service_us = service_us.max(now.since_us(self.busy_since) as f32);
        }
        service_us *= self.interference;
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        let contention = load / slots / 2.0;
        let failure_penalty = 1.0 + 8.0 * self.failure_share * freshness;
        (self.rtt_us + service_us * (1.0 + contention + waiting)) * failure_penalty
    }
}
