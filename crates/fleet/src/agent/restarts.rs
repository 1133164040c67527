//! Restarts of the endpoint, which no order for an earlier incarnation may reach.

use std::cell::RefCell;

use fescuelead_core::units::TimeMs;

use super::{Agent, State};
use crate::endpoint::Renewal;

/// Counts a call to the endpoint among those in flight until it is answered or dropped.
pub(super) struct CallInFlight<'a>(&'a RefCell<State>);

impl<'a> CallInFlight<'a> {
    pub(super) fn new(state: &'a RefCell<State>) -> Self {
        state.borrow_mut().calls_in_flight += 1;
        Self(state)
    }
}

impl Drop for CallInFlight<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().calls_in_flight -= 1;
    }
}

impl Agent {
    /// Makes a report call at once that tells the incarnation of the endpoint.
    pub(super) fn request_incarnation_check(&self, state: &mut State) {
        state.incarnation_uncertain = true;
        self.report_interrupt.notify_waiters();
    }

    /// Waits for a call for which the endpoint may wait up to `wait_ms`. If the incarnation becomes uncertain meanwhile, drops the
    /// call and returns `None`: an answer on a connection to an earlier incarnation may never arrive.
    pub(super) async fn interruptible<T>(&self, wait_ms: u64, call: impl Future<Output = T>) -> Option<T> {
        if wait_ms == 0 {
            return Some(call.await);
        }
        tokio::select! {
            biased;
            () = self.report_interrupt.notified() => None,
            answer = call => Some(answer),
        }
    }
}

impl State {
    /// Makes the endpoint refuse all calls that were sent so far, from its next report on. A call without an answer may be
    /// carried out seconds later, also by the next incarnation, which would not be known to the leader.
    pub(super) fn fence_earlier_calls(&mut self) {
        self.token += 1;
    }

    /// What a report call that is sent now renews. `None` if no incarnation is known.
    pub(super) fn renewal(&mut self, now: TimeMs) -> Option<Renewal> {
        let incarnation = self.incarnation?;
        Some(Renewal { incarnation, deadline_ms: self.deadline(now), seen: self.current.forget_up_to })
    }

    /// Notes that the endpoint has answered a report call with this renewal.
    pub(super) fn confirm_lease(&mut self, renewal: Option<Renewal>) {
        let Some(Renewal { incarnation, deadline_ms: Some(deadline_ms), .. }) = renewal else { return };
        if self.incarnation == Some(incarnation) {
            self.current.confirmed_lease_end_ms = self.current.confirmed_lease_end_ms.max(deadline_ms);
        }
    }
}
