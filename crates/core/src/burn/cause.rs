//! Why requests miss their SLO, and what is done about it.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    burn::ring::Merge,
    ids::{AvailabilityZone, ProfileName},
};

/// The causes that one span keeps apart; further ones count as [`Cause::Other`].
const MAX_CAUSES_PER_SPAN: usize = 32;

/// Why a request missed its SLO.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// A neighbour on the host slowed it down.
    Interference {
        /// The profile of the neighbour.
        profile: ProfileName,
    },
    /// Its availability zone was taken out of service.
    ZoneOut {
        /// The availability zone.
        availability_zone: AvailabilityZone,
    },
    /// The log service was down or slow.
    LogOutage,
    /// More came in than the endpoints can do.
    Overload,
    /// Its endpoint failed or was slow.
    EndpointFault,
    /// Anything else.
    Other,
}

impl Cause {
    /// The word for it in reports.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Interference { .. } => "interference",
            Self::ZoneOut { .. } => "zone-out",
            Self::LogOutage => "log-outage",
            Self::Overload => "overload",
            Self::EndpointFault => "endpoint-fault",
            Self::Other => "other",
        }
    }

    /// The profile or availability zone that it is about.
    pub fn subject(&self) -> Option<&str> {
        match self {
            Self::Interference { profile } => Some(profile.as_str()),
            Self::ZoneOut { availability_zone } => Some(availability_zone.as_str()),
            _ => None,
        }
    }
}

/// What is done about a cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Batch work was throttled.
    Throttled,
    /// A task was checkpointed and moved.
    Moved,
    /// A task was evicted.
    Evicted,
    /// The request was sent again.
    Retried,
    /// A second copy of the request was sent.
    Hedged,
    /// The request was refused early.
    Refused,
    /// The request went to another endpoint.
    Rerouted,
    /// The request or task was kept waiting.
    Waited,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Throttled => "throttled",
            Self::Moved => "moved",
            Self::Evicted => "evicted",
            Self::Retried => "retried",
            Self::Hedged => "hedged",
            Self::Refused => "refused",
            Self::Rerouted => "rerouted",
            Self::Waited => "waited",
        })
    }
}

/// How often a cause made requests miss their SLO, and what was done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CauseCount {
    /// The cause.
    pub cause: Cause,
    /// Requests that missed the SLO for it.
    pub requests: u64,
    /// What was done about it, and how often.
    pub actions: BTreeMap<Action, u64>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Tally {
    requests: u64,
    actions: BTreeMap<Action, u64>,
}

impl Merge for Tally {
    fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        for (action, count) in &other.actions {
            *self.actions.entry(*action).or_default() += count;
        }
    }
}

/// The causes of one span.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct CauseTable {
    tallies: BTreeMap<Cause, Tally>,
}

impl CauseTable {
    pub(super) fn count_request(&mut self, cause: &Cause) {
        self.tally(cause).requests += 1;
    }

    pub(super) fn count_action(&mut self, cause: &Cause, action: Action) {
        *self.tally(cause).actions.entry(action).or_default() += 1;
    }

    pub(super) fn into_counts(self) -> Vec<CauseCount> {
        let count =
            |(cause, tally): (Cause, Tally)| CauseCount { cause, requests: tally.requests, actions: tally.actions };
        let mut counts: Vec<_> = self.tallies.into_iter().map(count).collect();
        counts.sort_by_key(|count| std::cmp::Reverse(count.requests));
        counts
    }

    fn tally(&mut self, cause: &Cause) -> &mut Tally {
        let known = self.tallies.contains_key(cause) || self.tallies.len() < MAX_CAUSES_PER_SPAN;
        self.tallies.entry(if known { cause.clone() } else { Cause::Other }).or_default()
    }
}

impl Merge for CauseTable {
    fn merge(&mut self, other: &Self) {
        for (cause, tally) in &other.tallies {
            self.tally(cause).merge(tally);
        }
    }
}
