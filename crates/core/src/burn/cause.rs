//! Causes of missed SLOs, and the actions taken against them.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    burn::ring::Merge,
    ids::{AvailabilityZone, ProfileName},
};

/// The maximum number of distinct causes per ring slot, to bound memory. Further ones are counted as [`Cause::Other`].
const MAX_CAUSES_PER_SLOT: usize = 32;

/// Why a request missed its SLO.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// A task on the same host slowed the endpoint down.
    Interference {
        /// The profile of that task.
        profile: ProfileName,
    },
    /// The availability zone was taken out of service.
    ZoneOut {
        /// Name of the availability zone.
        availability_zone: AvailabilityZone,
    },
    /// The log service was down or slow.
    LogOutage,
    /// The request rate exceeded the capacity of the endpoints.
    Overload,
    /// The endpoint failed or was slow.
    EndpointFault,
    /// Any other cause, or an unknown one.
    Other,
}

impl Cause {
    /// The name of the cause in reports.
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

    /// The profile or availability zone involved; `None` for causes without one.
    pub fn subject(&self) -> Option<&str> {
        match self {
            Self::Interference { profile } => Some(profile.as_str()),
            Self::ZoneOut { availability_zone } => Some(availability_zone.as_str()),
            _ => None,
        }
    }
}

/// An action that was taken against a cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Batch work on the host was throttled.
    Throttled,
    /// A task was checkpointed and moved to another host.
    Moved,
    /// A task was evicted.
    Evicted,
    /// The request was sent again after a failure.
    Retried,
    /// A second copy of the request was sent before the first one was answered.
    Hedged,
    /// The request was refused before it was sent.
    Refused,
    /// The request was sent to another endpoint.
    Rerouted,
    /// The request or task was queued.
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

/// The counts of one cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CauseCount {
    /// The cause that the counts belong to.
    pub cause: Cause,
    /// The number of requests that missed the SLO because of it.
    pub requests: u64,
    /// The number of times that each action was taken against it.
    pub actions: BTreeMap<Action, u64>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Counters {
    requests: u64,
    actions: BTreeMap<Action, u64>,
}

impl Merge for Counters {
    fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        for (action, count) in &other.actions {
            *self.actions.entry(*action).or_default() += count;
        }
    }
}

/// Counts per cause, for one ring slot.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct CauseTable {
    tallies: BTreeMap<Cause, Counters>,
}

impl CauseTable {
    pub(super) fn count_request(&mut self, cause: &Cause) {
        self.counters_mut(cause).requests += 1;
    }

    pub(super) fn count_action(&mut self, cause: &Cause, action: Action) {
        *self.counters_mut(cause).actions.entry(action).or_default() += 1;
    }

    pub(super) fn into_counts(self) -> Vec<CauseCount> {
        let count = |(cause, counters): (Cause, Counters)| CauseCount {
            cause,
            requests: counters.requests,
            actions: counters.actions,
        };
        let mut counts: Vec<_> = self.tallies.into_iter().map(count).collect();
        counts.sort_by_key(|count| std::cmp::Reverse(count.requests));
        counts
    }

    fn counters_mut(&mut self, cause: &Cause) -> &mut Counters {
        let has_room = self.tallies.contains_key(cause) || self.tallies.len() < MAX_CAUSES_PER_SLOT;
        self.tallies.entry(if has_room { cause.clone() } else { Cause::Other }).or_default()
    }
}

impl Merge for CauseTable {
    fn merge(&mut self, other: &Self) {
        for (cause, counters) in &other.tallies {
            self.counters_mut(cause).merge(counters);
        }
    }
}
