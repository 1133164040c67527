/*!
Retries of failed requests and hedges of slow ones, limited by budgets.

A request is only retried where that is safe, and only within a budget that grows with the requests of the profile. In an
outage, when all requests fail, the additional load is therefore limited to the percentage of the budget.

```
use fescuelead_core::{balance::TimeUs, retry::{FailedRequest, Retrier, RetrySettings, Decision}};
use rand::SeedableRng;

let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
let mut retrier = Retrier::new(RetrySettings { idempotent: false, ..RetrySettings::default() });
retrier.request(TimeUs(0));
let failed = FailedRequest { attempts: 1, delivery: fescuelead_core::retry::Delivery::Possible, deadline: TimeUs(1_000_000) };
assert!(matches!(retrier.decide(&failed, TimeUs(5), &mut rng), Decision::GiveUp(_)), "it may have run");
```
*/

mod budget;
mod quantile;

use rand::{Rng, RngExt};

use self::{budget::Budget, quantile::Quantiles};
use crate::{balance::TimeUs, profile::Profile};

/// Retry and hedging policy of a profile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetrySettings {
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The maximum number of times that a request is sent, not counting hedges.
    pub attempts: u32,
    /// The retry budget as a percentage of requests.
    pub retry_percent: u32,
    /// The hedging budget as a percentage of requests; ignored if requests are not idempotent.
    pub hedge_percent: u32,
    /// The maximum number of retries, and of hedges, that a budget accumulates.
    pub burst: u32,
    /// The mean delay before the first retry of a request that may have run, in microseconds; it doubles with each
    /// retry.
    pub backoff_us: u64,
    /// The maximum mean delay before a retry, in microseconds.
    pub max_backoff_us: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            idempotent: true,
            attempts: 3,
            retry_percent: 10,
            hedge_percent: 0,
            burst: 10,
            backoff_us: 5_000,
            max_backoff_us: 1_000_000,
        }
    }
}

impl From<&Profile> for RetrySettings {
    fn from(profile: &Profile) -> Self {
        Self {
            idempotent: profile.idempotent,
            attempts: profile.attempts,
            retry_percent: profile.retry_budget_percent,
            hedge_percent: if profile.idempotent { profile.hedge_budget_percent } else { 0 },
            ..Self::default()
        }
    }
}

/// Whether a failed request may have reached its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The request did not run: it was refused or never sent.
    NotRun,
    /// The request may have run.
    Possible,
}

/// A request whose last attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedRequest {
    /// How many times the request was sent so far, not counting hedges.
    pub attempts: u32,
    /// Whether the request may have run.
    pub delivery: Delivery,
    /// When the answer is due.
    pub deadline: TimeUs,
}

/// The decision on a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request again, to another endpoint if there is one.
    Retry {
        /// When to send it.
        at: TimeUs,
    },
    /// Return the failure to the caller.
    GiveUp(GiveUp),
}

/// Why a failed request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum GiveUp {
    /// The request is not idempotent and may have run.
    #[error("the request is not idempotent and may have run; ask for its outcome before sending it again")]
    Unsafe,
    /// The request was sent as often as the profile allows.
    #[error("the request was sent as often as its profile allows; raise `attempts` if that is too few")]
    Attempts,
    /// The retry budget is used up, because too many requests of the profile fail.
    #[error("the retry budget of the profile is used up; send the request again later")]
    Budget,
    /// The answer to another attempt would arrive after the deadline.
    #[error("the deadline leaves no time to send the request again; give it more time")]
    Deadline,
}

/// The cost of a retry of a request that did not run, in thousandths of a full retry. It costs the endpoints only a
/// refusal.
const NOT_RUN_COST_MILLI: u64 = 200;
/// The cost of a full retry or a hedge, in thousandths.
const FULL_COST_MILLI: u64 = 1_000;

/// Retry and hedging budgets of one profile at one entry. Calls take constant time.
#[derive(Debug, Clone)]
pub struct Retrier {
    settings: RetrySettings,
    retries: Budget,
    hedges: Budget,
    latency: Quantiles,
}

impl Retrier {
    /// Creates the state of a profile without requests. Its budgets are full.
    pub fn new(settings: RetrySettings) -> Self {
        let hedge_percent = if settings.idempotent { settings.hedge_percent } else { 0 };
        Self {
            retries: Budget::new(settings.retry_percent, settings.burst),
            hedges: Budget::new(hedge_percent, settings.burst),
            latency: Quantiles::default(),
            settings,
        }
    }

    /// Replaces the settings. The budgets keep what they have accumulated, up to their new limits.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.retries.set_percent(settings.retry_percent, settings.burst);
        self.hedges.set_percent(if settings.idempotent { settings.hedge_percent } else { 0 }, settings.burst);
        self.settings = settings;
    }

    /// Records the first dispatch of a request, which adds to the budgets.
    pub fn request(&mut self, now: TimeUs) {
        self.retries.deposit(now);
        self.hedges.deposit(now);
    }

    /// Records the time from the first dispatch of a request to its complete answer, in microseconds.
    pub fn answered(&mut self, took_us: u64) {
        self.latency.record(took_us);
    }

    /// Decides whether to retry a failed request, and takes the cost of a retry from the budget.
    pub fn decide(&mut self, failed: &FailedRequest, now: TimeUs, rng: &mut impl Rng) -> Decision {
        let not_run = failed.delivery == Delivery::NotRun;
        if !not_run && !self.settings.idempotent {
            return Decision::GiveUp(GiveUp::Unsafe);
        }
        if failed.attempts >= self.settings.attempts {
            return Decision::GiveUp(GiveUp::Attempts);
        }
        let at = now.plus_us(self.backoff_us(failed.attempts, not_run, rng));
        let typical_us = self.latency.quantile(50).unwrap_or(0);
        if at.plus_us(typical_us) >= failed.deadline {
            return Decision::GiveUp(GiveUp::Deadline);
        }
        let cost = if not_run { NOT_RUN_COST_MILLI } else { FULL_COST_MILLI };
        if self.retries.try_take(cost, now) { Decision::Retry { at } } else { Decision::GiveUp(GiveUp::Budget) }
    }

    /// How long to wait for an answer before hedging, in microseconds: the latency exceeded by the percentage of
    /// requests that may be hedged, or by 5% if that is less. `None` if the profile does not hedge or has had too few
    /// requests.
    pub fn hedge_after_us(&self) -> Option<u64> {
        let percent = self.hedges.percent();
        if percent == 0 { None } else { self.latency.quantile(100 - percent.min(5)) }
    }

    /// Takes one hedge from the budget, and returns whether it was available and the deadline leaves time for it. To be
    /// called after the delay, once an endpoint for the second copy is selected.
    pub fn take_hedge(&mut self, deadline: TimeUs, now: TimeUs) -> bool {
        let typical_us = self.latency.quantile(50).unwrap_or(0);
        now.plus_us(typical_us) < deadline && self.hedges.try_take(FULL_COST_MILLI, now)
    }

    /// Draws the delay from zero to twice its mean. The first retry of a request that did not run is sent at once.
    fn backoff_us(&self, attempts: u32, not_run: bool, rng: &mut impl Rng) -> u64 {
        let doublings = if not_run { attempts.saturating_sub(1) } else { attempts };
        if doublings == 0 {
            return 0;
        }
        let mean_us = self.settings.backoff_us << (doublings - 1).min(20);
        rng.random_range(0..=2 * mean_us.min(self.settings.max_backoff_us))
    }
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;
    use rand_chacha::ChaCha8Rng;

    use super::*;

    const DEADLINE: TimeUs = TimeUs(10_000_000);

    fn failed(attempts: u32, delivery: Delivery) -> FailedRequest {
        FailedRequest { attempts, delivery, deadline: DEADLINE }
    }

    /// Guards against running a request twice that is not idempotent.
    #[rstest::rstest]
    #[case(false, Delivery::NotRun, true)]
    #[case(false, Delivery::Possible, false)]
    #[case(true, Delivery::NotRun, true)]
    #[case(true, Delivery::Possible, true)]
    fn only_safe_requests_are_retried(#[case] idempotent: bool, #[case] delivery: Delivery, #[case] sent: bool) {
        let settings = RetrySettings { idempotent, hedge_percent: 5, ..RetrySettings::default() };
        let mut retrier = Retrier::new(settings);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let decision = retrier.decide(&failed(1, delivery), TimeUs(0), &mut rng);
        assert_eq!(matches!(decision, Decision::Retry { .. }), sent);
        assert_eq!(retrier.take_hedge(DEADLINE, TimeUs(0)), idempotent);
    }

    /// Guards against a retry storm: in an outage every request fails, and so does every retry.
    #[test]
    fn retries_stay_within_their_percentage_when_everything_fails() {
        let mut retrier = Retrier::new(RetrySettings::default());
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut retries = 0;
        for request in 0..10_000_u64 {
            let now = TimeUs(request * 100);
            retrier.request(now);
            for attempts in 1..3 {
                match retrier.decide(&failed(attempts, Delivery::Possible), now, &mut rng) {
                    Decision::Retry { .. } => retries += 1,
                    Decision::GiveUp(_) => break,
                }
            }
        }
        // 10% of 10,000, a burst of 10, and the minimum rate of half a retry per second for 1 s.
        assert!((950..=1_011).contains(&retries), "{retries}");
    }

    /// Guards against retries that would be answered after the deadline, and against unlimited attempts.
    #[test]
    fn requests_without_time_or_attempts_left_are_not_retried() {
        let mut retrier = Retrier::new(RetrySettings::default());
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        (0..100).for_each(|_| retrier.answered(20_000));
        let near = TimeUs(DEADLINE.0 - 15_000);
        let given_up = |decision| match decision {
            Decision::GiveUp(reason) => Some(reason),
            Decision::Retry { .. } => None,
        };
        let late = retrier.decide(&failed(1, Delivery::NotRun), near, &mut rng);
        assert_eq!(given_up(late), Some(GiveUp::Deadline));
        let tried = retrier.decide(&failed(3, Delivery::NotRun), TimeUs(0), &mut rng);
        assert_eq!(given_up(tried), Some(GiveUp::Attempts));
    }

    /// Guards against hedging ordinary requests, and against a hedging delay that follows a change of latency too
    /// slowly.
    #[test]
    fn the_hedging_delay_follows_the_tail_latency() {
        let mut retrier = Retrier::new(RetrySettings { hedge_percent: 5, ..RetrySettings::default() });
        assert_eq!(retrier.hedge_after_us(), None);
        (0..1_000).for_each(|n| retrier.answered(10_000 + n * 7_919 % 1_000 * 10));
        let first_us = retrier.hedge_after_us().expect("it has seen enough");
        assert!((19_500..=21_000).contains(&first_us), "{first_us}");
        (0..20_000).for_each(|n| retrier.answered(100_000 + n % 1_000));
        assert!(retrier.hedge_after_us().is_some_and(|us| us > 95_000));
    }
}
