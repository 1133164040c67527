/*!
Which failed requests are sent again, and which slow ones are sent twice.

A request is sent again only where that is safe, and only within a budget that grows with the requests of the profile.
In an outage, when all requests fail, the extra load therefore stays at the budget's percentage.

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

/// How requests of a profile are repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetrySettings {
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Times that a request may be sent in all, hedges not counted.
    pub attempts: u32,
    /// Retries as a percentage of requests.
    pub retry_percent: u32,
    /// Hedges as a percentage of requests.
    pub hedge_percent: u32,
    /// Retries that are allowed after a time of few failures, beyond the percentage.
    pub burst: u32,
    /// The mean wait before the first retry after a failure; it doubles with each.
    pub backoff_us: u64,
    /// The longest mean wait before a retry.
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
    /// It truly did not run: it was refused, or never sent.
    NotRun,
    /// It may have run.
    Possible,
}

/// A request that has just failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedRequest {
    /// Times that it was sent so far, hedges not counted.
    pub attempts: u32,
    /// Whether it may have run.
    pub delivery: Delivery,
    /// When its answer is due.
    pub deadline: TimeUs,
}

/// What to do with a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it again, to another endpoint if there is one.
    Retry {
        /// When.
        at: TimeUs,
    },
    /// Answer the caller with the failure.
    GiveUp(GiveUp),
}

/// Says why a failed request is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum GiveUp {
    /// It is not idempotent and may have run.
    #[error("the request is not idempotent and may have run; ask for its outcome before sending it again")]
    Unsafe,
    /// It was sent as often as the profile allows.
    #[error("the request was sent as often as its profile allows; raise `attempts` if that is too few")]
    Attempts,
    /// Too many requests of the profile fail.
    #[error("the retry budget of the profile is used up; send the request again later")]
    Budget,
    /// The answer to another try would come too late.
    #[error("the deadline leaves no time to send the request again; give it more time")]
    Deadline,
}

/// A retry of a request that did not run costs the endpoints only a refusal, and the budget this share of a full retry.
const NOT_RUN_COST_MILLI: u64 = 200;
/// A full retry or hedge.
const FULL_COST_MILLI: u64 = 1_000;

/// Retries and hedges of one profile at one entry. Every call takes constant time.
#[derive(Debug, Clone)]
pub struct Retrier {
    settings: RetrySettings,
    retries: Budget,
    hedges: Budget,
    latency: Quantiles,
}

impl Retrier {
    /// A profile that had no requests yet.
    pub fn new(settings: RetrySettings) -> Self {
        let hedge_percent = if settings.idempotent { settings.hedge_percent } else { 0 };
        Self {
            retries: Budget::new(settings.retry_percent, settings.burst),
            hedges: Budget::new(hedge_percent, settings.burst),
            latency: Quantiles::default(),
            settings,
        }
    }

    /// Takes in new settings; the budgets keep what they hold.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.retries.set_percent(settings.retry_percent, settings.burst);
        self.hedges.set_percent(if settings.idempotent { settings.hedge_percent } else { 0 }, settings.burst);
        self.settings = settings;
    }

    /// Counts a request that was dispatched for the first time.
    pub fn request(&mut self, now: TimeUs) {
        self.retries.deposit(now);
        self.hedges.deposit(now);
    }

    /// Takes in the time from the first dispatch of a request to its whole answer.
    pub fn answered(&mut self, took_us: u64) {
        self.latency.record(took_us);
    }

    /// Decides what to do with a failed request.
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
        if self.retries.take(cost, now) { Decision::Retry { at } } else { Decision::GiveUp(GiveUp::Budget) }
    }

    /// How long to wait for an answer before the request is hedged: the time that so many requests exceed as the hedge
    /// budget allows, but at most one in twenty. `None` if the profile is not hedged or too few requests were seen.
    pub fn hedge_after_us(&self) -> Option<u64> {
        let percent = self.hedges.percent();
        if percent == 0 { None } else { self.latency.quantile(100 - percent.min(5)) }
    }

    /// Takes one hedge from the budget and says whether it was there. To be called when the wait is over and an endpoint
    /// was found for the second copy.
    pub fn take_hedge(&mut self, deadline: TimeUs, now: TimeUs) -> bool {
        let typical_us = self.latency.quantile(50).unwrap_or(0);
        now.plus_us(typical_us) < deadline && self.hedges.take(FULL_COST_MILLI, now)
    }

    /// Draws the wait from 0 to twice its mean. The first retry of a request that did not run goes out at once.
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

    const DUE: TimeUs = TimeUs(10_000_000);

    fn failed(attempts: u32, delivery: Delivery) -> FailedRequest {
        FailedRequest { attempts, delivery, deadline: DUE }
    }

    /// Guards against a second run of a request that must not run twice.
    #[rstest::rstest]
    #[case(false, Delivery::NotRun, true)]
    #[case(false, Delivery::Possible, false)]
    #[case(true, Delivery::NotRun, true)]
    #[case(true, Delivery::Possible, true)]
    fn only_safe_requests_are_sent_again(#[case] idempotent: bool, #[case] delivery: Delivery, #[case] sent: bool) {
        let settings = RetrySettings { idempotent, hedge_percent: 5, ..RetrySettings::default() };
        let mut retrier = Retrier::new(settings);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let decision = retrier.decide(&failed(1, delivery), TimeUs(0), &mut rng);
        assert_eq!(matches!(decision, Decision::Retry { .. }), sent);
        assert_eq!(retrier.take_hedge(DUE, TimeUs(0)), idempotent);
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
        // 10% of 10,000, a burst of 10 and half a retry in each of the 1 s.
        assert!((950..=1_011).contains(&retries), "{retries}");
    }

    /// Guards against retries whose answers nobody waits for, and against endless tries.
    #[test]
    fn late_and_exhausted_requests_are_given_up() {
        let mut retrier = Retrier::new(RetrySettings::default());
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        (0..100).for_each(|_| retrier.answered(20_000));
        let near = TimeUs(DUE.0 - 15_000);
        let given_up = |decision| match decision {
            Decision::GiveUp(reason) => Some(reason),
            Decision::Retry { .. } => None,
        };
        let late = retrier.decide(&failed(1, Delivery::NotRun), near, &mut rng);
        assert_eq!(given_up(late), Some(GiveUp::Deadline));
        let tried = retrier.decide(&failed(3, Delivery::NotRun), TimeUs(0), &mut rng);
        assert_eq!(given_up(tried), Some(GiveUp::Attempts));
    }

    /// Guards against hedges that go out for ordinary requests, or that follow a change of latency too slowly.
    #[test]
    fn the_wait_for_a_hedge_follows_the_tail() {
        let mut retrier = Retrier::new(RetrySettings { hedge_percent: 5, ..RetrySettings::default() });
        assert_eq!(retrier.hedge_after_us(), None);
        (0..1_000).for_each(|n| retrier.answered(10_000 + n * 7_919 % 1_000 * 10));
        let first_us = retrier.hedge_after_us().expect("it has seen enough");
        assert!((19_500..=21_000).contains(&first_us), "{first_us}");
        (0..20_000).for_each(|n| retrier.answered(100_000 + n % 1_000));
        assert!(retrier.hedge_after_us().is_some_and(|us| us > 95_000));
    }
}
