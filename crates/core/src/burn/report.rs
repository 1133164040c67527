//! What operators see of a book.

use crate::{
    burn::{BUDGET_WINDOW_MS, BURN_WINDOWS_MS, BurnKey, CauseCount, Counts, LatencyQuantiles, Slo, track::Track},
    units::TimeMs,
};

/// A fast burn uses up the whole budget of 3 days within 12 hours.
const FAST_RATE: f64 = 6.0;
/// A slow burn uses up more than the budget in the long run.
const SLOW_RATE: f64 = 1.0;

/// The state of all keys.
#[derive(Debug, Clone, PartialEq)]
pub struct BurnReport {
    /// The highest burn over an hour first.
    pub items: Vec<BurnItem>,
    /// Requests that were not counted because too many keys were in use.
    pub untracked: u64,
}

/// The state of one key.
#[derive(Debug, Clone, PartialEq)]
pub struct BurnItem {
    /// The service, profile and team.
    pub key: BurnKey,
    /// The objective in force at the last request.
    pub slo: Slo,
    /// Requests in the budget window.
    pub counts: Counts,
    /// How much of the budget window has been observed, at least 5 minutes.
    pub observed_ms: u64,
    /// The share of the error budget that is left; below zero if it is overspent. The rest of a window that is only
    /// partly observed is taken to bring as many requests as the observed part.
    pub budget_left_ratio: f64,
    /// Burn rates over [`BURN_WINDOWS_MS`].
    pub rates: [BurnRate; 4],
    /// When the budget is used up at the rate of the last hour; none if it is not being used up, zero if it is gone.
    pub exhausted_in_ms: Option<u64>,
    /// Whether an operator should act.
    pub alert: Alert,
    /// Latencies of answered requests in the last 40 to 60 minutes.
    pub latency: Option<LatencyQuantiles>,
    /// Causes in the budget window, the most frequent first.
    pub causes: Vec<CauseCount>,
    /// The course of the last 6 hours, oldest first.
    pub points: Vec<BurnPoint>,
}

impl BurnItem {
    pub(super) fn hour_rate(&self) -> f64 {
        self.rates[1].rate
    }
}

/// A burn rate: 1.0 uses the budget up exactly at the end of its window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurnRate {
    /// The span that it is measured over.
    pub window_ms: u64,
    /// The rate; zero without requests.
    pub rate: f64,
    /// The requests that it rests on.
    pub requests: u64,
}

/// Whether an operator should act. Each level needs a long and a short window, so that a past incident does not alert.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Alert {
    /// The budget holds.
    None,
    /// More than the budget is used over both 6 hours and 3 days.
    Slow,
    /// More than 6 times the budget is used over both 5 minutes and an hour.
    Fast,
}

/// The requests of a short span.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BurnPoint {
    /// How long ago the span began.
    pub age_ms: u64,
    /// The length of the span.
    pub span_ms: u64,
    /// The requests.
    pub counts: Counts,
}

pub(super) fn item(now: TimeMs, key: &BurnKey, track: &Track) -> BurnItem {
    let slo = track.slo();
    let counts = track.counts(now, BUDGET_WINDOW_MS);
    let observed_ms = track.observed_ms(now);
    let rates = BURN_WINDOWS_MS.map(|window_ms| rate(slo, window_ms, &track.counts(now, window_ms)));
    let used_ratio = rate(slo, BUDGET_WINDOW_MS, &counts).rate * observed_ms as f64 / BUDGET_WINDOW_MS as f64;
    let budget_left_ratio = 1.0 - used_ratio;
    let point = |(age_ms, span_ms, counts): (u64, u64, &Counts)| BurnPoint { age_ms, span_ms, counts: *counts };
    BurnItem {
        key: key.clone(),
        slo,
        counts,
        observed_ms,
        budget_left_ratio,
        rates,
        exhausted_in_ms: exhausted_in_ms(budget_left_ratio, rates[1].rate),
        alert: alert(&rates),
        latency: track.latencies(now).quantiles(),
        causes: track.causes(now).into_counts(),
        points: track.course(now).map(point).collect(),
    }
}

fn rate(slo: Slo, window_ms: u64, counts: &Counts) -> BurnRate {
    let requests = counts.total();
    let rate = if requests == 0 { 0.0 } else { counts.missed() as f64 / requests as f64 / slo.allowed_ratio() };
    BurnRate { window_ms, rate, requests }
}

fn exhausted_in_ms(budget_left_ratio: f64, hour_rate: f64) -> Option<u64> {
    if budget_left_ratio <= 0.0 {
        return Some(0);
    }
    // At a rate of at most 1, what leaves the window makes up for what enters it.
    (hour_rate > 1.0).then(|| (budget_left_ratio * BUDGET_WINDOW_MS as f64 / hour_rate) as u64)
}

fn alert(rates: &[BurnRate; 4]) -> Alert {
    let above = |indexes: [usize; 2], limit: f64| indexes.iter().all(|i| rates[*i].rate > limit);
    if above([0, 1], FAST_RATE) {
        Alert::Fast
    } else if above([2, 3], SLOW_RATE) {
        Alert::Slow
    } else {
        Alert::None
    }
}
