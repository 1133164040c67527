/*!
How long tasks may run without contact to the leader, and when their host counts as lost.

Three nested time limits prevent two runs of a task from existing at the same time:

1. A leader grants leases only within [`LeasePlan::proof_ms`] of sending the latest call that the store answered as one
   from the leader.
2. A grant extends the lease of the agent's endpoint to [`LeasePlan::grant_ms`] after the agent sent the *request*, so
   that a slow response shortens the lease instead of prolonging it.
3. The endpoint kills its tasks when the lease ends on its own clock, which may be slow by [`CLOCK_DRIFT_PERCENT`].

While the leader has a session with the agent, the agent decides when the lease of its endpoint has ended
([`AgentLease::lost_after_expiry`]); without one, the leader does ([`LeasePlan::lost_after_answer`] and
[`LeasePlan::lost_after_takeover`]).

Times of one clock are never compared with times of another process. Clocks must include the time for which a machine is
suspended.
*/

use crate::units::TimeMs;

/// How slow an endpoint's clock may be, in percent; the platform guarantees this bound.
pub const CLOCK_DRIFT_PERCENT: u64 = 2;

/// How long a start may take effect after it was sent, in milliseconds: longer than a call to the endpoint may last.
const MAX_START_VALIDITY_MS: u64 = 1_000;

/// Within which time the last start has to take effect after the cancellation of its job was acknowledged, in milliseconds, if
/// the platform states no other.
pub const DEFAULT_CANCEL_PERIOD_MS: u64 = 3_000;

/// The same time after an availability zone was taken out of service, in milliseconds.
pub const DEFAULT_ZONE_OUT_PERIOD_MS: u64 = 5_000;

/// The shortest [`LeasePlan::copy_validity_ms`], in milliseconds: many times what a call to the store and one to an endpoint
/// usually take. With less, no start might ever be sent.
const MIN_COPY_VALIDITY_MS: u64 = 1_000;

/// Added to the time after which an unreachable host counts as lost, in milliseconds: one tick of the leader and one of
/// the endpoint.
pub const TICK_MARGIN_MS: u64 = 250;

plain! {
    /// The lease durations of a cell.
    #[derive(Copy)]
    pub struct LeasePlan {
        /// How long a grant lasts, in milliseconds after the agent sent the request for it.
        pub grant_ms: u64,
        /// How long a response of the store proves leadership, in milliseconds after the call was sent.
        pub proof_ms: u64,
        /// How long a start may take effect on an endpoint, in milliseconds after the agent sent it.
        pub start_validity_ms: u64,
        /// Within which time the last start has to take effect after the cancellation of its job was acknowledged, in
        /// milliseconds.
        pub cancel_period_ms: u64,
        /// The same time after an availability zone was taken out of service, in milliseconds.
        pub zone_out_period_ms: u64,
    }
}

impl LeasePlan {
    /// Derives the durations from the longest lease that endpoints accept, in milliseconds. A grant is a second
    /// shorter, to allow for clock drift. A proof lasts for two fifths of a grant: long enough for several calls to the
    /// store, and short enough that a leader without access to the store is replaced before the grants expire.
    pub fn new(max_lease_ms: u64) -> Self {
        let grant_ms = max_lease_ms.saturating_sub(1_000).max(max_lease_ms / 2);
        Self {
            grant_ms,
            proof_ms: grant_ms * 2 / 5,
            start_validity_ms: MAX_START_VALIDITY_MS,
            cancel_period_ms: DEFAULT_CANCEL_PERIOD_MS,
            zone_out_period_ms: DEFAULT_ZONE_OUT_PERIOD_MS,
        }
    }

    /// Limits the validity of starts to half of `drain_ms`, the time in milliseconds within which the last start has to take
    /// effect after an endpoint has announced that it drains.
    pub fn with_drain_period(self, drain_ms: u64) -> Self {
        Self { start_validity_ms: self.start_validity_ms.min(drain_ms / 2), ..self }
    }

    /// Sets [`Self::cancel_period_ms`].
    pub fn with_cancel_period(self, cancel_period_ms: u64) -> Self {
        Self { cancel_period_ms, ..self }
    }

    /// Sets [`Self::zone_out_period_ms`].
    pub fn with_zone_out_period(self, zone_out_period_ms: u64) -> Self {
        Self { zone_out_period_ms, ..self }
    }

    /// How long a start may be sent to its endpoint after the leader's copy of the store was complete, in milliseconds, if the
    /// records of that copy can forbid starts, which then end within `period_ms` of their acknowledgement: what is left of
    /// the period after the time that the endpoint has to carry out the start.
    pub fn copy_validity_ms(&self, period_ms: u64) -> u64 {
        period_ms.saturating_sub(self.start_validity_ms).max(MIN_COPY_VALIDITY_MS)
    }

    /// The time from which no task of a host can be running, if this leader last answered the host's requests at
    /// `answered`.
    pub fn lost_after_answer(&self, answered: TimeMs) -> TimeMs {
        answered.plus_ms(self.grant_ms + TICK_MARGIN_MS)
    }

    /// The time from which no task of a host can be running, if the host has not contacted the leader that took over at
    /// `took_over`. The previous leader may have granted leases until its proof expired.
    pub fn lost_after_takeover(&self, took_over: TimeMs) -> TimeMs {
        took_over.plus_ms(self.proof_ms + self.grant_ms + TICK_MARGIN_MS)
    }
}

/// The agent's side of the lease: how long the tasks of its endpoint may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentLease {
    expires_at: TimeMs,
}

impl AgentLease {
    /// A lease that expires at `expires_at`.
    pub fn new(expires_at: TimeMs) -> Self {
        Self { expires_at }
    }

    /// The time from which no task of the endpoint can be running, if no call that may have reached it extends its lease
    /// beyond this one.
    pub fn lost_after_expiry(&self) -> TimeMs {
        self.expires_at.plus_ms(TICK_MARGIN_MS)
    }

    /// Extends the lease by a grant of the leader. `requested_at` is when the agent sent the request; the lease is
    /// never shortened.
    pub fn extend(&mut self, requested_at: TimeMs, grant_ms: u64) {
        self.expires_at = self.expires_at.max(requested_at.plus_ms(grant_ms));
    }

    /// When the lease expires on the agent's clock.
    pub fn expires_at(&self) -> TimeMs {
        self.expires_at
    }

    /// The expiry on the endpoint's clock, given that this clock read `clock_ms` no later than `read_at` on the agent's
    /// clock. Shortened by the possible drift of the endpoint's clock.
    pub fn deadline_ms(&self, clock_ms: u64, read_at: TimeMs) -> u64 {
        clock_ms + self.expires_at.since_ms(read_at) * (100 - CLOCK_DRIFT_PERCENT) / 100
    }
}

/// The leader's side of the lease: the evidence that this process is still the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeadershipProof {
    /// When the latest call that the store answered as one from the leader was sent.
    sent_at: TimeMs,
}

impl LeadershipProof {
    /// Records that the store answered a call sent at `sent_at` as one from the leader.
    pub fn renew(&mut self, sent_at: TimeMs) {
        self.sent_at = self.sent_at.max(sent_at);
    }

    /// Whether no other process can be the leader at `now`.
    pub fn is_valid(&self, plan: &LeasePlan, now: TimeMs) -> bool {
        now.since_ms(self.sent_at) < plan.proof_ms
    }
}
