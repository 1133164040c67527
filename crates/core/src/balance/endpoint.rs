//! What an entry knows of one endpoint.

use crate::{
    balance::{BalanceSettings, Outcome, OutcomeKind, ServiceKey, TimeUs, permit::InFlight},
    ids::{AgentId, AvailabilityZone, ServiceName},
};

/// An endpoint as its agent announces it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// The service that it serves.
    pub service: ServiceName,
    /// The agent on its host.
    pub agent: AgentId,
    /// Where its host stands.
    pub zone: AvailabilityZone,
    /// Requests that it works on at one time, over all entries.
    pub slots: u32,
    /// Connections that it accepts, over all entries.
    pub connections: u32,
    /// Tells one run of the endpoint from the next.
    pub incarnation: u64,
}

/// What an agent says of an endpoint, in a heartbeat or with an answer. The time at which it arrived is its age zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointReport {
    /// Requests that hold a slot or wait for one, over all entries.
    pub in_flight: u32,
    /// Whether it finishes what it has and takes nothing new.
    pub leaving: bool,
    /// The recent mean time that a request holds a slot, in microseconds; `None` if there was none lately.
    pub service_us: Option<u64>,
    /// The expected slowdown by its neighbours in thousandths; 1000 is none.
    pub interference_milli: u32,
}

impl Default for EndpointReport {
    fn default() -> Self {
        Self { in_flight: 0, leaving: false, service_us: None, interference_milli: 1_000 }
    }
}

/// Whether an endpoint gets work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It gets its full share, or a growing one after it was added or came back.
    Active,
    /// It is much slower than its peers, or fails, and gets only probes.
    Ejected {
        /// The next probe is due.
        probe_at: TimeUs,
        /// Good probes in a row.
        good: u32,
        /// Bad probes in a row; the wait between probes doubles with each.
        bad: u32,
    },
}

#[derive(Debug, Clone)]
pub(super) struct Endpoint {
    pub(super) spec: EndpointSpec,
    pub(super) service: ServiceKey,
    pub(super) own: InFlight,
    pub(super) leaving: bool,
    pub(super) zone_out: bool,
    pub(super) suspected: bool,
    pub(super) health: Health,
    pub(super) ramp_from: Option<TimeUs>,
    pub(super) rtt_us: f32,
    reported_others: u32,
    reported_at: TimeUs,
    interference: f32,
    busy_since: TimeUs,
    learned_at: TimeUs,
    slow_us: f32,
    fast_us: f32,
    pub(super) samples: u32,
    pub(super) failure_share: f32,
    pub(super) failures_in_a_row: u32,
}

/// The weight of one answer in the mean that choices compare.
const MEAN_WEIGHT: f32 = 1.0 / 32.0;
/// The weight of one answer in the mean that detects slow endpoints.
const DETECT_WEIGHT: f32 = 1.0 / 8.0;
/// The weight of one answer in the share of failures.
const FAILURE_WEIGHT: f32 = 1.0 / 16.0;
/// Answers slower than this many usual ones count as this many, so that a single one ejects no endpoint.
const CLIP: f32 = 8.0;

/// The age at which what was learned of an endpoint counts half.
const LEARNED_HALF_LIFE_US: f32 = 2_000_000.0;

impl Endpoint {
    pub(super) fn new(spec: EndpointSpec, service: ServiceKey, rtt_us: u64, now: TimeUs) -> Self {
        Self {
            spec,
            service,
            own: InFlight::default(),
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
            learned_at: now,
            slow_us: 0.0,
            fast_us: 0.0,
            samples: 0,
            failure_share: 0.0,
            failures_in_a_row: 0,
        }
    }

    /// Whether it may be given work at all.
    pub(super) fn is_open(&self) -> bool {
        !self.leaving && !self.zone_out && !self.suspected
    }

    pub(super) fn observe(&mut self, report: &EndpointReport, now: TimeUs) {
        self.leaving = report.leaving;
        self.reported_others = report.in_flight.saturating_sub(self.own.get());
        self.reported_at = now;
        self.interference = (report.interference_milli as f32 / 1_000.0).clamp(0.5, 10.0);
        if let (0, Some(service_us)) = (self.samples, report.service_us) {
            self.slow_us = service_us as f32;
            self.fast_us = self.slow_us;
            self.samples = 1;
        }
    }

    /// Learns from an answer that took `service_us`, where `usual_us` is the service's usual time (zero if unknown).
    pub(super) fn learn(&mut self, outcome: &Outcome, usual_us: f32, now: TimeUs) {
        self.busy_since = now;
        if let Some(rtt_us) = outcome.rtt_us {
            self.rtt_us += (rtt_us as f32 - self.rtt_us) / 16.0;
        }
        let (kind, took_us) = (outcome.kind, outcome.service_us as f32);
        if kind == OutcomeKind::Abandoned && took_us < self.slow_us.max(usual_us) {
            return;
        }
        let failed = kind == OutcomeKind::Failed;
        if kind != OutcomeKind::Abandoned {
            self.failure_share += (f32::from(u8::from(failed)) - self.failure_share) * FAILURE_WEIGHT;
            self.failures_in_a_row = if failed { self.failures_in_a_row + 1 } else { 0 };
        }
        // A failure is never taken as faster than a usual answer: quick errors would attract work.
        let sample = took_us.max(if failed { usual_us } else { 0.0 });
        let sample = if usual_us > 0.0 { sample.min(usual_us * CLIP) } else { sample };
        if self.samples == 0 {
            let start = if usual_us > 0.0 { usual_us } else { sample };
            (self.slow_us, self.fast_us) = (start, start);
        }
        self.slow_us += (sample - self.slow_us) * MEAN_WEIGHT;
        self.fast_us += (sample - self.fast_us) * DETECT_WEIGHT;
        self.samples = self.samples.saturating_add(1);
        self.learned_at = now;
    }

    /// Forgets what was learned before an ejection.
    pub(super) fn forget(&mut self, usual_us: f32) {
        (self.slow_us, self.fast_us) = (usual_us, usual_us);
        self.failure_share = 0.0;
        self.failures_in_a_row = 0;
    }

    pub(super) fn note_dispatch(&mut self, now: TimeUs) {
        if self.own.get() == 0 {
            self.busy_since = now;
        }
    }

    /// Requests of all entries there. The older the report, the more the other entries' part is taken to be `usual_others`,
    /// the mean over the service.
    pub(super) fn load(&self, usual_others: f32, settings: &BalanceSettings, now: TimeUs) -> f32 {
        let age_us = now.since_us(self.reported_at) as f32;
        let fresh = settings.report_half_life_us as f32 / (settings.report_half_life_us as f32 + age_us);
        let others = self.reported_others as f32 * fresh + usual_others * (1.0 - fresh);
        self.own.get() as f32 + others
    }

    /// Mean service time that choices compare.
    pub(super) fn slow_us(&self) -> f32 {
        self.slow_us
    }

    /// Mean service time over the last few answers, which detects slow endpoints.
    pub(super) fn fast_us(&self) -> f32 {
        self.fast_us
    }

    pub(super) fn reported_others(&self) -> u32 {
        self.reported_others
    }

    /// The share of its slots that it may fill while it is ramped up, above 0 and at most 1.
    pub(super) fn ramp(&self, settings: &BalanceSettings, now: TimeUs) -> f32 {
        match self.ramp_from {
            None => 1.0,
            Some(from) => {
                let share = now.since_us(from) as f32 / settings.ramp_us.max(1) as f32;
                share.clamp(1.0 / self.spec.slots.max(1) as f32, 1.0)
            }
        }
    }

    /// Expected time until the answer of a request that is sent now, in microseconds.
    pub(super) fn expected_us(&self, load: f32, usual_us: f32, now: TimeUs) -> f32 {
        let slots = self.spec.slots.max(1) as f32;
        // What was learned fades, so that an endpoint that lost every comparison is tried again.
        let fresh = LEARNED_HALF_LIFE_US / (LEARNED_HALF_LIFE_US + now.since_us(self.learned_at) as f32);
        let known = self.samples > 0 && usual_us > 0.0;
        let mut service_us =
            if known { usual_us + (self.slow_us - usual_us) * fresh } else { self.slow_us.max(usual_us) };
        if self.own.get() > 0 {
            // An endpoint that has not answered for longer than a request takes is at least as slow as that.
            service_us = service_us.max(now.since_us(self.busy_since) as f32);
        }
        service_us *= self.interference;
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        let crowding = load / slots / 2.0;
        let failing = 1.0 + 8.0 * self.failure_share * fresh;
        (self.rtt_us + service_us * (1.0 + crowding + waiting)) * failing
    }
}
