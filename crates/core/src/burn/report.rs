//! The burn report for operators.

use crate::{
    burn::{
        BUDGET_WINDOW_MS, BURN_WINDOWS_MS, BurnKey, CauseCount, Counts, LatencyQuantiles, Slo, windows::KeyWindows,
    },
    units::TimeMs,
};

/// Threshold of [`Alert::Fast`]: at this rate, the budget of 3 days is used up within 12 hours.
const FAST_RATE: f64 = 6.0;
/// Threshold of [`Alert::Slow`]: at any higher rate, the budget is exceeded at the end of the window.
const SLOW_RATE: f64 = 1.0;

/// Burn rates and causes of all keys.
#[derive(Debug, Clone, PartialEq)]
pub struct BurnReport {
    /// One item per key, sorted by descending burn rate over the last hour.
    pub items: Vec<BurnItem>,
    /// The number of requests that are not in any item because the maximum number of keys was reached.
    pub untracked: u64,
}

/// Burn rates and causes of one key.
#[derive(Debug, Clone, PartialEq)]
pub struct BurnItem {
    /// The service, profile and team that the item is about.
    pub key: BurnKey,
    /// The objective in force at the last request.
    pub slo: Slo,
    /// Requests in the budget window.
    pub counts: Counts,
    /// The observed part of the budget window, at least 5 minutes.
    pub observed_ms: u64,
    /// The remaining share of the error budget; negative if it is exceeded. If the budget window is only partly observed,
    /// the rest is assumed to have the same request rate.
    pub budget_left_ratio: f64,
    /// Burn rates over [`BURN_WINDOWS_MS`], in the same order.
    pub rates: [BurnRate; 4],
    /// The time until the budget is exhausted at the rate of the last hour. Zero if it is exhausted already, `None` if the
    /// rate is too low to exhaust it.
    pub exhausted_in_ms: Option<u64>,
    /// The alert level by [`rates`](Self::rates).
    pub alert: Alert,
    /// Latencies of answered requests in the last 40 to 60 minutes; `None` if there were none.
    pub latency: Option<LatencyQuantiles>,
    /// Causes in the budget window, the most frequent first.
    pub causes: Vec<CauseCount>,
    /// Time series of the last 6 hours, oldest first.
    pub points: Vec<BurnPoint>,
}

impl BurnItem {
    pub(super) fn hour_rate(&self) -> f64 {
        self.rates[1].rate
    }
}

/// The ratio of missed requests to allowed ones. At a rate of 1, the budget is used up exactly at the end of its window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurnRate {
    /// The length of the window that the rate is measured over.
    pub window_ms: u64,
    /// The burn rate; zero if there were no requests.
    pub rate: f64,
    /// The number of requests in the window.
    pub requests: u64,
}

/// Alert level. Each level requires both a long and a short window to exceed its threshold, so that there is no alert for
/// an incident that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Alert {
    /// Neither threshold is exceeded.
    None,
    /// The burn rate exceeds 1 over both 6 hours and 3 days.
    Slow,
    /// The burn rate exceeds 6 over both 5 minutes and an hour.
    Fast,
}

/// One point of the time series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BurnPoint {
    /// The time since the start of the interval.
    pub age_ms: u64,
    /// The length of the interval.
    pub span_ms: u64,
    /// Requests in the interval.
    pub counts: Counts,
}

/// Summarizes one key for the report.
pub(super) fn burn_item(now: TimeMs, key: &BurnKey, windows: &KeyWindows) -> BurnItem {
    let slo = windows.slo();
    let counts = windows.counts(now, BUDGET_WINDOW_MS);
    let observed_ms = windows.observed_ms(now);
    let rates = BURN_WINDOWS_MS.map(|window_ms| rate(slo, window_ms, &windows.counts(now, window_ms)));
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
        latency: windows.latencies(now).quantiles(),
        causes: windows.causes(now).into_counts(),
        points: windows.time_series(now).map(point).collect(),
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
    // At a rate of at most 1, the requests that leave the window offset those that enter it.
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
