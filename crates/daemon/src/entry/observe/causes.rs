//! Why requests miss their SLO.

use std::collections::HashMap;

use fescuelead_core::{
    admission::Reason,
    burn::{BurnKey, Cause, RequestResult},
    ids::ProfileName,
};

use crate::entry::{
    observe::{End, Seen, ZonesOut},
    shared::ConfigView,
};

/// Why a request was refused or failed, as the request path knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Why {
    /// It was not, or nothing more is known.
    Open,
    /// Admission refused it.
    Admission(Reason),
    /// All endpoints were full.
    EndpointsFull,
    /// No endpoint took it.
    NoEndpoint,
    /// The log service did not take its claim.
    LogDown,
    /// It failed, and the retry budget is used up.
    BudgetSpent,
}

impl Why {
    /// The word for it in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "other",
            Self::Admission(Reason::UnknownService) => "unknown-service",
            Self::Admission(Reason::KindLimit) => "kind-limit",
            Self::Admission(Reason::ProfileLimit) => "profile-limit",
            Self::Admission(Reason::QueueFull) => "queue-full",
            Self::Admission(Reason::TooLate) => "too-late",
            Self::EndpointsFull => "endpoints-full",
            Self::NoEndpoint => "no-endpoint",
            Self::LogDown => "log-down",
            Self::BudgetSpent => "budget-spent",
        }
    }

    /// The same in words, without a full stop.
    pub fn sentence(self) -> &'static str {
        match self {
            Self::Open => "they did not run",
            Self::Admission(Reason::UnknownService) => "the service has no profile",
            Self::Admission(Reason::KindLimit) => "the entry has as many requests of the kind as it takes",
            Self::Admission(Reason::ProfileLimit) => "`max_in_flight` of the profile is reached",
            Self::Admission(Reason::QueueFull) => "the queue of the service is full",
            Self::Admission(Reason::TooLate) => "their answers could not come before their deadlines",
            Self::EndpointsFull => "all endpoints are full",
            Self::NoEndpoint => "no endpoint took them",
            Self::LogDown => "the log service did not take their claims",
            Self::BudgetSpent => "their copies failed, and the retry budget is used up",
        }
    }

    fn is_capacity(self) -> bool {
        matches!(self, Self::Admission(_) | Self::EndpointsFull)
    }
}

/// What the entry knows of the surroundings of requests.
#[derive(Debug, Clone, Default)]
pub struct Context {
    /// Profiles that are slowed down, and by which one.
    pub harmed: HashMap<ProfileName, ProfileName>,
    /// Services with endpoints in an availability zone that is out.
    pub zones_out: ZonesOut,
}

impl Context {
    /// Why a request missed its SLO, as far as that is known. Means nothing for one that met it and was not retried.
    pub(super) fn cause_of(&self, seen: &Seen, key: &BurnKey) -> Cause {
        let zone = self.zones_out.get(&key.service);
        let zone = zone.map(|zone| Cause::ZoneOut { availability_zone: zone.clone() });
        let waited = seen.waited_us.saturating_mul(2) > seen.latency_us;
        match seen.end {
            _ if seen.why == Why::LogDown => Cause::LogOutage,
            _ if seen.why.is_capacity() => zone.unwrap_or(Cause::Overload),
            End::Counted(RequestResult::Answered) if waited => zone.unwrap_or(Cause::Overload),
            End::Counted(RequestResult::Answered) if seen.retries == 0 => match self.harmed.get(&key.profile) {
                Some(by) => Cause::Interference { profile: by.clone() },
                None => Cause::EndpointFault,
            },
            _ if seen.why == Why::NoEndpoint => zone.unwrap_or(Cause::EndpointFault),
            _ => Cause::EndpointFault,
        }
    }

    /// Why a task started late.
    pub(super) fn cause_of_delay(&self, config: &ConfigView, log_down: bool) -> Cause {
        match config.zones_out.first() {
            _ if log_down => Cause::LogOutage,
            Some(zone) => Cause::ZoneOut { availability_zone: zone.clone() },
            None => Cause::Overload,
        }
    }
}
