//! The burn report.

use fescuelead_core::burn as core;
use serde::{Deserialize, Serialize};

/// The answer to `GET /v1/burn`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// When the entry took it.
    pub as_of_unix_ms: u64,
    /// The entry that answered.
    pub entry: String,
    /// The cell whose requests are counted.
    #[serde(default)]
    pub cell: u32,
    /// The entries whose requests are counted, the one that answered included.
    #[serde(default)]
    pub entries: Vec<String>,
    /// Registered entries that could not be asked, and whose requests are therefore not counted.
    #[serde(default)]
    pub missing: Vec<MissingEntry>,
    /// One item per service, profile and team; the highest burn first.
    pub items: Vec<BurnItem>,
    /// Requests that were not counted because too many keys were in use.
    #[serde(default)]
    pub untracked: u64,
}

/// An entry that could not be asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingEntry {
    /// The entry.
    pub entry: String,
    /// Why, with the remedy.
    pub reason: String,
}

/// The SLO of one service under one profile for one team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnItem {
    /// The service.
    pub service: String,
    /// The profile.
    pub profile: String,
    /// The team.
    pub team: String,
    /// The share of requests that must meet the SLO.
    pub slo_target: f64,
    /// Requests slower than this count against the SLO.
    pub slo_latency_ms: u64,
    /// The span that the error budget is for.
    pub budget_window_ms: u64,
    /// How much of it has been observed.
    pub observed_ms: u64,
    /// Requests in the budget window that met the SLO.
    pub good: u64,
    /// Requests that failed or have an unknown outcome.
    pub bad: u64,
    /// Requests that were answered later than the SLO allows.
    pub late: u64,
    /// Requests that were refused as *not run*.
    pub refused: u64,
    /// The share of the error budget that is left; below zero if it is overspent.
    pub budget_left_ratio: f64,
    /// The burn rate over 5 min, 1 h, 6 h and 3 d.
    pub burn_rates: Vec<BurnRate>,
    /// When the budget is used up at the present rate; none if it is not being used up, zero if it is gone.
    pub exhausted_in_ms: Option<u64>,
    /// Whether an operator should act: `none`, `slow` or `fast`.
    pub alert: String,
    /// Latency of answered requests in the last hour; none without any.
    pub latency_ms: Option<LatencyMs>,
    /// What used the budget up, the largest first.
    pub causes: Vec<BurnCause>,
    /// The course of the last hours, oldest first.
    pub points: Vec<BurnPoint>,
}

/// A burn rate: 1.0 uses the budget up exactly at the end of its window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BurnRate {
    /// The span that it is measured over.
    pub window_ms: u64,
    /// The rate.
    pub rate: f64,
    /// The requests that it rests on.
    pub requests: u64,
}

/// Quantiles of the latency.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LatencyMs {
    /// The median.
    pub p50: f64,
    /// 99 of 100 are faster.
    pub p99: f64,
    /// 999 of 1000 are faster.
    pub p999: f64,
    /// The slowest.
    pub max: f64,
}

/// A cause of requests that missed the SLO.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCause {
    /// `interference`, `zone-out`, `log-outage`, `overload`, `endpoint-fault` or `other`.
    pub kind: String,
    /// With interference, the profile of the neighbour; with a zone out, the availability zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub with: Option<String>,
    /// Requests that missed the SLO for it.
    pub requests: u64,
    /// What was done about it.
    pub actions: Vec<ActionCount>,
}

/// What was done about a cause, and how often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionCount {
    /// `throttled`, `moved`, `evicted`, `retried`, `hedged`, `refused`, `rerouted` or `waited`.
    pub action: String,
    /// How often.
    pub count: u64,
}

/// The requests of a short span.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnPoint {
    /// How long ago the span began.
    pub age_ms: u64,
    /// The length of the span.
    pub span_ms: u64,
    /// Requests that met the SLO.
    pub good: u64,
    /// Requests that did not.
    pub missed: u64,
}

impl BurnReport {
    /// Turns the report of the core into the answer of `entry`.
    pub fn new(report: core::BurnReport, entry: impl Into<String>, as_of_unix_ms: u64) -> Self {
        let entry = entry.into();
        Self {
            as_of_unix_ms,
            entries: vec![entry.clone()],
            entry,
            cell: 0,
            missing: Vec::new(),
            items: report.items.into_iter().map(Into::into).collect(),
            untracked: report.untracked,
        }
    }

    /// Names the cell of the entry.
    pub fn with_cell(self, cell: u32) -> Self {
        Self { cell, ..self }
    }

    /// Adds the other entries whose requests are counted.
    pub fn with_entries(mut self, entries: impl IntoIterator<Item = String>) -> Self {
        self.entries.extend(entries);
        self
    }

    /// Sets the entries that could not be asked.
    pub fn with_missing(self, missing: Vec<MissingEntry>) -> Self {
        Self { missing, ..self }
    }
}

impl BurnItem {
    /// All requests in the budget window.
    pub fn requests(&self) -> u64 {
        self.good + self.missed()
    }

    /// Requests in the budget window that did not meet the SLO.
    pub fn missed(&self) -> u64 {
        self.bad + self.late + self.refused
    }
}

impl From<core::BurnItem> for BurnItem {
    fn from(item: core::BurnItem) -> Self {
        let alert = match item.alert {
            core::Alert::None => "none",
            core::Alert::Slow => "slow",
            core::Alert::Fast => "fast",
        };
        Self {
            service: item.key.service.to_string(),
            profile: item.key.profile.to_string(),
            team: item.key.team.to_string(),
            slo_target: item.slo.target,
            slo_latency_ms: item.slo.latency_ms,
            budget_window_ms: core::BUDGET_WINDOW_MS,
            observed_ms: item.observed_ms,
            good: item.counts.good,
            bad: item.counts.bad,
            late: item.counts.late,
            refused: item.counts.refused,
            budget_left_ratio: item.budget_left_ratio,
            burn_rates: item.rates.into_iter().map(Into::into).collect(),
            exhausted_in_ms: item.exhausted_in_ms,
            alert: alert.to_owned(),
            latency_ms: item.latency.map(Into::into),
            causes: item.causes.into_iter().map(Into::into).collect(),
            points: item.points.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<core::BurnRate> for BurnRate {
    fn from(rate: core::BurnRate) -> Self {
        Self { window_ms: rate.window_ms, rate: rate.rate, requests: rate.requests }
    }
}

impl From<core::LatencyQuantiles> for LatencyMs {
    fn from(latency: core::LatencyQuantiles) -> Self {
        let ms = |us: u64| us as f64 / 1_000.0;
        Self { p50: ms(latency.p50_us), p99: ms(latency.p99_us), p999: ms(latency.p999_us), max: ms(latency.max_us) }
    }
}

impl From<core::CauseCount> for BurnCause {
    fn from(count: core::CauseCount) -> Self {
        let action = |(action, count): (core::Action, u64)| ActionCount { action: action.to_string(), count };
        Self {
            kind: count.cause.kind().to_owned(),
            with: count.cause.subject().map(str::to_owned),
            requests: count.requests,
            actions: count.actions.into_iter().map(action).collect(),
        }
    }
}

impl From<core::BurnPoint> for BurnPoint {
    fn from(point: core::BurnPoint) -> Self {
        let core::Counts { good, .. } = point.counts;
        Self { age_ms: point.age_ms, span_ms: point.span_ms, good, missed: point.counts.missed() }
    }
}
