//! Restarts of the endpoint, which no order for an earlier incarnation may reach.

use std::{cell::RefCell, rc::Rc};

use fescuelead_core::{jobs::TaskRef, units::TimeMs};
use tokio::task::spawn_local;

use super::{Agent, Order, State, evidence::RunStatus};
use crate::endpoint::Renewal;

/// For how long a start without an answer may be carried out, also by the next incarnation, in milliseconds. The endpoint
/// states seconds.
const UNANSWERED_START_MS: u64 = 12_000;

/// A start that was sent and may not have been answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnansweredStart {
    task: TaskRef,
    run: u32,
    sent_at: TimeMs,
}

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
    pub(super) fn doubt_incarnation(&self, state: &mut State) {
        state.incarnation_doubted = true;
        self.report_interrupt.notify_waiters();
    }

    /// Stops the runs that the first report of an incarnation does not list, but that an unanswered start of an earlier one
    /// may still start. They count as runs of this incarnation until it has confirmed the stop.
    pub(super) fn stop_unanswered_starts(self: &Rc<Self>, state: &mut State, incarnation: u64, now: TimeMs) {
        let validity = state.order_validity(now);
        for start in std::mem::take(&mut state.unanswered_starts) {
            let UnansweredStart { task, run, sent_at } = start;
            let is_listed = matches!(state.run_status(task, run, sent_at), RunStatus::Running | RunStatus::Ended);
            if is_listed || state.orders.contains_key(&task) || now.since_ms(sent_at) > UNANSWERED_START_MS {
                continue;
            }
            log::warn!(
                "unanswered start stopped after a restart: task={task} run={run} host={} incarnation={incarnation}",
                self.name
            );
            state.orders.insert(task, Order { stopping: true, ..Order::unknown(run, validity) });
            spawn_local(self.clone().repeat_stop(incarnation, task, run));
        }
    }

    /// Waits for a call for which the endpoint may wait up to `wait_ms`. If the incarnation is doubted meanwhile, drops the
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
    /// Notes that the endpoint has answered all starts of a run.
    pub(super) fn record_answer(&mut self, task: TaskRef, run: u32) {
        if let Some(order) = self.orders.get_mut(&task).filter(|order| order.run == run) {
            order.unanswered_at = None;
        }
    }

    /// Keeps the starts without an answer before the orders of an incarnation are dropped.
    pub(super) fn keep_unanswered_starts(&mut self, now: TimeMs) {
        self.unanswered_starts.retain(|start| now.since_ms(start.sent_at) <= UNANSWERED_START_MS);
        let unanswered = self.orders.iter().filter_map(|(&task, order)| {
            order.unanswered_at.map(|sent_at| UnansweredStart { task, run: order.run, sent_at })
        });
        self.unanswered_starts.extend(unanswered);
    }

    /// What a report call that is sent now renews. `None` if no incarnation is known.
    pub(super) fn renewal(&mut self, now: TimeMs) -> Option<Renewal> {
        let incarnation = self.incarnation?;
        Some(Renewal { incarnation, deadline_ms: self.deadline(now), seen: self.forget_up_to })
    }

    /// Notes that the endpoint has answered a report call with this renewal.
    pub(super) fn confirm_lease(&mut self, renewal: Option<Renewal>) {
        let Some(Renewal { incarnation, deadline_ms: Some(deadline_ms), .. }) = renewal else { return };
        if self.incarnation == Some(incarnation) {
            self.confirmed_lease_end_ms = self.confirmed_lease_end_ms.max(deadline_ms);
        }
    }
}
