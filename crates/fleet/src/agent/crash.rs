/*!
The loss of the endpoint, and the evidence of which run may have crashed it.

A leader can be replaced before it has stored what it was told. The evidence is therefore kept while the endpoint is lost,
and after a restart until one session was told. It is not repeated after that: leaders of earlier versions take it for the
end of all runs on the host, whatever the incarnation.
*/

use std::time::Duration;

use fescuelead_core::{
    jobs::{SUSPECT_AGE_MS, TaskRef, UNKNOWN_INCARNATION, lease::TICK_MARGIN_MS},
    units::TimeMs,
};
use tokio::{
    sync::mpsc::UnboundedSender,
    time::{sleep, timeout},
};

use super::{Agent, CRASH_CONFIRMATION_MS, DOWN_RETRY_INTERVAL_MS, ENDPOINT_TIMEOUT_MS, RETRY_INTERVAL_MS, State};
use crate::{endpoint::EndpointError, message::ToLeader};

/// A crash of the endpoint, with at least one run that may be the cause.
#[derive(Debug)]
pub(super) struct Crash {
    incarnation: u64,
    /// The runs that had started at most [`SUSPECT_AGE_MS`] before, in the order of their starts.
    suspects: Vec<(TaskRef, u32)>,
    /// Whether the current session was told.
    told: bool,
}

impl Agent {
    /// Handles the endpoint's announcement that it ends. What runs on it then is no suspect.
    pub fn handle_departure(&self) {
        self.state.borrow_mut().departing = true;
    }

    /// Checks after a failed report call whether the endpoint has crashed or its lease has expired, and if so reports
    /// to the leader that nothing runs on it.
    pub(super) fn handle_failed_report(&self, error: &EndpointError) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let down = match error {
            EndpointError::Down(_) => {
                let since = *state.down_since.get_or_insert(now);
                now.since_ms(since) >= CRASH_CONFIRMATION_MS
            }
            EndpointError::Unknown(_) | EndpointError::OtherIncarnation { .. } => {
                state.down_since = None;
                false
            }
        };
        let lease_expired =
            now > state.lease_end.plus_ms(TICK_MARGIN_MS) && now.since_ms(state.last_answer_at) > ENDPOINT_TIMEOUT_MS;
        if (!down && !lease_expired) || state.endpoint_lost {
            return;
        }
        if let Some(incarnation) = state.incarnation.filter(|_| down && !state.is_leaving()) {
            let first_sign = state.failing_since.unwrap_or(now);
            self.record_crash(&mut state, incarnation, first_sign);
        } else {
            log::warn!(
                "endpoint lost: host={} incarnation={} cause={} error={error}",
                self.name,
                state.incarnation.unwrap_or(UNKNOWN_INCARNATION),
                if down { "down" } else { "silent" }
            );
        }
        state.endpoint_lost = true;
        state.info = None;
        state.restarted_from = None;
        state.running.clear();
        state.orders.clear();
        state.fence_earlier_calls();
        // In this order, as the leader would otherwise place the runs on this host again.
        state.send(ToLeader::Info(None));
        state.send_losses();
    }

    /// Pauses after a failed report call; for longer if the endpoint is lost, but not once it has announced itself.
    pub(super) async fn pause_reports(&self) {
        if !self.state.borrow().endpoint_lost {
            return sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
        }
        let woken = timeout(Duration::from_millis(DOWN_RETRY_INTERVAL_MS), self.report_wakeup.notified()).await;
        // The endpoint is called again after a timeout as well.
        drop(woken);
    }

    /// Resets the state if the endpoint has a new incarnation, since a restart ends all of its runs. `first_sign` is the
    /// first sign of a crash; `None` if the endpoint may not have restarted, so that its runs may go on.
    pub(super) fn observe_incarnation(&self, state: &mut State, incarnation: u64, first_sign: Option<TimeMs>) {
        if state.incarnation == Some(incarnation) {
            return;
        }
        log::info!(
            "endpoint incarnation observed: host={} incarnation={incarnation} before={:?}",
            self.name,
            state.incarnation
        );
        let unnoticed = !state.endpoint_lost && !state.is_leaving();
        if let Some(before) = state.incarnation.filter(|before| unnoticed && *before < incarnation)
            && let Some(first_sign) = first_sign
        {
            self.record_crash(state, before, first_sign);
            // The leader hears of the loss with the first report of the new incarnation, which may run what was meant for
            // the one before. Nothing is placed there before.
            state.restarted_from = Some(before);
            state.send(ToLeader::Info(None));
        }
        if state.incarnation.is_some() {
            state.fence_earlier_calls();
        }
        if state.restarted_from == Some(incarnation) {
            // The announcement of the other incarnation came from another writer.
            state.restarted_from = None;
        }
        state.incarnation = Some(incarnation);
        state.running.clear();
        state.orders.clear();
        state.ends.clear();
        state.forget_up_to = 0;
        state.endpoint_clock = None;
        state.confirmed_lease_end_ms = 0;
        state.endpoint_lost = false;
        state.departing = false;
        state.report_sent_at = TimeMs::default();
        state.pacer.reset();
        state.send_losses();
    }

    /// Keeps the runs that may have crashed an incarnation.
    fn record_crash(&self, state: &mut State, incarnation: u64, first_sign: TimeMs) {
        let suspects = state.suspects(first_sign);
        let runs: Vec<_> = suspects.iter().map(|(task, run)| format!("{task}:{run}")).collect();
        log::warn!("endpoint crashed: host={} incarnation={incarnation} suspects={}", self.name, runs.join(","));
        if !suspects.is_empty() {
            state.crashes.push(Crash { incarnation, suspects, told: false });
        }
    }
}

impl State {
    /// Whether a connection was refused so lately that no order is worth another one.
    pub(super) fn is_refusing(&self, now: TimeMs) -> bool {
        self.refused_at.is_some_and(|at| now.since_ms(at) < DOWN_RETRY_INTERVAL_MS)
    }

    /// Whether the endpoint has announced that it drains or ends, after which no run may start on it.
    pub(super) fn is_leaving(&self) -> bool {
        self.departing || self.info.as_ref().is_some_and(|info| info.draining)
    }

    /// The runs that had started at most [`SUSPECT_AGE_MS`] before `first_sign`, in the order of their starts.
    fn suspects(&self, first_sign: TimeMs) -> Vec<(TaskRef, u32)> {
        let mut started: Vec<_> = self
            .orders
            .iter()
            .filter_map(|(&task, order)| Some((order.started_at?, task, order.run)))
            .filter(|(started_at, ..)| first_sign.since_ms(*started_at) <= SUSPECT_AGE_MS)
            .collect();
        started.sort_by_key(|(started_at, ..)| *started_at);
        started.into_iter().map(|(_, task, run)| (task, run)).collect()
    }

    /// Reports the crashes that the session was not told of, and that nothing runs on the endpoint while it is lost. After a
    /// restart the reports wait for the first list of runs.
    pub(super) fn send_losses(&mut self) {
        let is_listed = self.report_sent_at != TimeMs::default();
        if !self.endpoint_lost && !is_listed {
            return;
        }
        let lost = match self.endpoint_lost {
            true => Some(self.incarnation.unwrap_or(UNKNOWN_INCARNATION)),
            false => self.restarted_from.take(),
        };
        let taken_over = if self.endpoint_lost { Vec::new() } else { self.listed_runs() };
        let is_open = self.session.as_ref().is_some_and(|session| !UnboundedSender::is_closed(session));
        let mut crashes = std::mem::take(&mut self.crashes);
        for crash in &mut crashes {
            if !crash.told {
                let (incarnation, suspects) = (crash.incarnation, crash.suspects.clone());
                self.send(ToLeader::Gone { incarnation, suspects, taken_over: taken_over.clone() });
            }
            crash.told = is_open;
        }
        if let Some(incarnation) = lost
            && crashes.iter().all(|crash| crash.incarnation != incarnation)
        {
            self.send(ToLeader::Gone { incarnation, suspects: Vec::new(), taken_over });
        }
        if !self.endpoint_lost {
            crashes.retain(|crash| !crash.told);
        }
        self.crashes = crashes;
    }

    /// Makes the next session hear of all crashes that are kept.
    pub(super) fn repeat_crashes(&mut self) {
        self.crashes.iter_mut().for_each(|crash| crash.told = false);
    }

    /// Drops the evidence that an incarnation has crashed, since it answers.
    pub(super) fn withdraw_crash(&mut self, incarnation: u64) {
        self.crashes.retain(|crash| crash.incarnation != incarnation);
    }
}
