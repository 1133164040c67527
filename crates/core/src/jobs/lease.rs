/*!
How long tasks may run without word from the leader, and when their host counts as lost.

A chain of three time limits keeps a task from running twice. A leader grants time only within [`LeasePlan::proof_ms`] of
sending the latest call that the store answered as to the leader. A grant lets the agent extend the lease of its endpoint
to [`LeasePlan::grant_ms`] after the *question* that the grant answers was sent, so that a slow answer only shortens it.
The endpoint kills its tasks when their lease ends, on its own clock, which may be slow by [`CLOCK_DRIFT_PERCENT`].

Each clock is read in one process only. It has to count the time for which a machine is suspended.
*/

use crate::units::TimeMs;

/// By how much an endpoint's clock may be slow, in percent, as the platform states it.
pub const CLOCK_DRIFT_PERCENT: u64 = 2;

/// Added to the time after which a silent host counts as lost, in milliseconds: a tick of the leader and of the endpoint.
const MARGIN_MS: u64 = 250;

plain! {
    /// The time limits of one cell.
    #[derive(Copy)]
    pub struct LeasePlan {
        /// How long a grant lasts, in milliseconds from the sending of the question.
        pub grant_ms: u64,
        /// For how long one answer of the store proves that a process leads, in milliseconds from its question.
        pub proof_ms: u64,
    }
}

impl LeasePlan {
    /// Derives the limits from the longest lease that endpoints accept. A grant is a second shorter, which leaves room for
    /// the drift of the clock. A proof lasts for two fifths of a grant: several calls to the store, and a leader that has
    /// lost the store is replaced while the grants still last.
    pub fn new(max_lease_ms: u64) -> Self {
        let grant_ms = max_lease_ms.saturating_sub(1_000).max(max_lease_ms / 2);
        Self { grant_ms, proof_ms: grant_ms * 2 / 5 }
    }

    /// When the tasks of a host are surely gone, if this leader answered its latest question at `answered`.
    pub fn lost_after_answer(&self, answered: TimeMs) -> TimeMs {
        answered.plus_ms(self.grant_ms + MARGIN_MS)
    }

    /// When the tasks of a host are surely gone that has not been in touch with the leader that took over at `took_over`.
    pub fn lost_after_takeover(&self, took_over: TimeMs) -> TimeMs {
        took_over.plus_ms(self.proof_ms + self.grant_ms + MARGIN_MS)
    }
}

/// The agent's side: until when the tasks of its endpoint may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentLease {
    until: TimeMs,
}

impl AgentLease {
    /// No authority beyond `until`.
    pub fn new(until: TimeMs) -> Self {
        Self { until }
    }

    /// The leader answered the question sent at `asked`.
    pub fn extend(&mut self, asked: TimeMs, grant_ms: u64) {
        self.until = self.until.max(asked.plus_ms(grant_ms));
    }

    /// When the authority ends.
    pub fn expires_at(&self) -> TimeMs {
        self.until
    }

    /// The deadline to give to the endpoint, on its clock, if that read `clock_ms` at some time before `seen`.
    pub fn deadline_ms(&self, clock_ms: u64, seen: TimeMs) -> u64 {
        clock_ms + self.until.since_ms(seen) * (100 - CLOCK_DRIFT_PERCENT) / 100
    }
}

/// The leader's side: whether it is known to lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeadershipProof {
    asked: TimeMs,
}

impl LeadershipProof {
    /// The store answered a call sent at `asked` as to the leader.
    pub fn confirm(&mut self, asked: TimeMs) {
        self.asked = self.asked.max(asked);
    }

    /// Whether this process surely leads at `now`.
    pub fn is_valid(&self, plan: &LeasePlan, now: TimeMs) -> bool {
        now.since_ms(self.asked) < plan.proof_ms
    }
}
