/*!
The loss of the endpoint, and the evidence of which run may have crashed it.

An endpoint that refuses connections may have crashed, or may be cut off while its runs go on, and nothing shows the difference
from outside. So its runs count as ended only once the next incarnation answers or the lease has ended. Until then no order is
sent, the host offers nothing, and the leader hears which runs would be to blame for a crash. Only the next incarnation proves
one.
*/

use std::time::Duration;

use fescuelead_core::{
    jobs::{SUSPECT_AGE_MS, Suspicion, TaskRef, UNKNOWN_INCARNATION, lease::AgentLease},
    units::TimeMs,
};
use tokio::{
    sync::mpsc::UnboundedSender,
    time::{sleep, timeout},
};

use super::{Agent, ENDPOINT_TIMEOUT_MS, IncarnationState, RECONNECT_INTERVAL_MS, RETRY_INTERVAL_MS, State};
use crate::{endpoint::EndpointError, message::ToLeader};

impl Agent {
    /// Handles a refused connection. Takes the host out of placement until the endpoint answers a report call.
    pub(super) fn observe_refusal(&self, state: &mut State, now: TimeMs) {
        if state.is_refusing() {
            return;
        }
        state.refusing_since = Some(now);
        log::warn!(
            "endpoint refuses connections: host={} incarnation={} runs={}",
            self.name,
            state.incarnation.unwrap_or(UNKNOWN_INCARNATION),
            state.listed_runs().len()
        );
        state.send_info();
    }

    /// Handles a report, which ends the time in which the endpoint has refused connections. Returns whether it has.
    pub(super) fn observe_end_of_refusals(&self, state: &mut State, now: TimeMs) -> bool {
        let Some(since) = state.refusing_since.take() else { return false };
        log::info!(
            "endpoint accepts connections: host={} incarnation={} refused_ms={}",
            self.name,
            state.incarnation.unwrap_or(UNKNOWN_INCARNATION),
            now.since_ms(since)
        );
        true
    }

    /// Reports to the leader that nothing runs on the endpoint if its lease has ended, after a report call that failed with `error`.
    pub(super) fn handle_failed_report(&self, error: &EndpointError) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let lease_ended = now > AgentLease::new(state.lease_end).lost_after_expiry();
        let is_silent = now.since_ms(state.last_answer_at) > ENDPOINT_TIMEOUT_MS;
        if !lease_ended || !is_silent || state.endpoint_lost {
            return;
        }
        let cause = if state.is_refusing() { "refused" } else { "silent" };
        log::warn!(
            "endpoint lost: host={} incarnation={} cause={cause} error={error}",
            self.name,
            state.incarnation.unwrap_or(UNKNOWN_INCARNATION)
        );
        let may_have_starts_under_way = state.listed_incarnation().is_some();
        state.suspicion = state.current_suspicion(now);
        state.endpoint_lost = true;
        state.current.info = None;
        state.restarted_from = None;
        state.current.running.clear();
        state.current.orders.clear();
        state.fence_earlier_calls();
        // In this order, as the leader would otherwise place the runs on this host again.
        state.send(ToLeader::Info(None));
        state.send_losses();
        if may_have_starts_under_way {
            // Ends the session, and with it starts that the leader sends before it hears of the loss. One that arrived once the
            // endpoint answers again would run beside the run that the leader has started elsewhere.
            state.session = None;
        }
    }

    /// Pauses after a failed report call; for longer if the endpoint is lost or refuses connections, but not once it has
    /// announced itself.
    pub(super) async fn pause_reports(&self) {
        let is_away = {
            let state = self.state.borrow();
            state.endpoint_lost || state.is_refusing()
        };
        if !is_away {
            return sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
        }
        let woken = timeout(Duration::from_millis(RECONNECT_INTERVAL_MS), self.report_wakeup.notified()).await;
        // The endpoint is called again after a timeout as well.
        drop(woken);
    }

    /// The runs that may have crashed the endpoint, while it refuses connections or has not answered since.
    pub(crate) fn suspicion(&self) -> Option<Suspicion> {
        self.state.borrow().current_suspicion(self.clock.now())
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
        let before = state.incarnation.filter(|before| *before < incarnation);
        if let (Some(before), Some(first_sign)) = (before, first_sign) {
            self.record_crash(state, before, first_sign);
        }
        if state.incarnation.is_some() {
            state.fence_earlier_calls();
        }
        if state.restarted_from == Some(incarnation) {
            // The announcement of the other incarnation came from another writer.
            state.restarted_from = None;
        }
        state.incarnation = Some(incarnation);
        state.current = IncarnationState::default();
        state.endpoint_lost = false;
        state.pacer.reset();
        state.send_losses();
    }

    /// Keeps the runs that may have crashed an incarnation, now that there is a later one.
    fn record_crash(&self, state: &mut State, incarnation: u64, first_sign: TimeMs) {
        let crash =
            if state.endpoint_lost { state.suspicion.take() } else { state.suspicion_of(incarnation, first_sign) };
        if let Some(crash) = crash {
            let runs: Vec<_> = crash.suspects.iter().map(|(task, run)| format!("{task}:{run}")).collect();
            log::warn!("endpoint crashed: host={} incarnation={incarnation} suspects={}", self.name, runs.join(","));
            if !crash.suspects.is_empty() {
                state.crashes.push(crash);
            }
        }
        if !state.endpoint_lost {
            // The leader hears of the loss with the first report of the new incarnation, which may run what was meant for
            // the one before. Nothing is placed there before.
            state.restarted_from = Some(incarnation);
            state.send(ToLeader::Info(None));
        }
    }
}

impl State {
    /// Whether the endpoint has refused a connection since its latest report.
    pub(super) fn is_refusing(&self) -> bool {
        self.refusing_since.is_some()
    }

    /// When calls to the endpoint began to fail; `None` if the latest one has succeeded and none was refused.
    pub(super) fn first_sign(&self) -> Option<TimeMs> {
        self.failing_since.into_iter().chain(self.refusing_since).min()
    }

    /// The runs that had started at most [`SUSPECT_AGE_MS`] before `first_sign`, in the order of their starts.
    fn suspects(&self, first_sign: TimeMs) -> Vec<(TaskRef, u32)> {
        let mut started: Vec<_> = self
            .current
            .orders
            .iter()
            .filter_map(|(&task, order)| Some((order.started_at?, task, order.run)))
            .filter(|(started_at, ..)| first_sign.since_ms(*started_at) <= SUSPECT_AGE_MS)
            .collect();
        started.sort_by_key(|(started_at, ..)| *started_at);
        started.into_iter().map(|(_, task, run)| (task, run)).collect()
    }

    /// The suspicion of an incarnation of which calls have failed since `first_sign`; `None` if it has announced that it ends.
    fn suspicion_of(&self, incarnation: u64, first_sign: TimeMs) -> Option<Suspicion> {
        (!self.is_leaving()).then(|| Suspicion { incarnation, suspects: self.suspects(first_sign) })
    }

    /// The suspicion of the current incarnation, if it refuses connections or has refused them before it was lost.
    fn current_suspicion(&self, now: TimeMs) -> Option<Suspicion> {
        if self.endpoint_lost {
            return self.suspicion.clone();
        }
        let incarnation = self.incarnation.filter(|_| self.is_refusing())?;
        self.suspicion_of(incarnation, self.first_sign().unwrap_or(now))
    }

    /// Reports that nothing runs on a lost endpoint, or what the first report after a restart proves: the crashes of earlier
    /// incarnations. Before that report it is not known what runs.
    pub(super) fn send_losses(&mut self) {
        if self.endpoint_lost {
            let incarnation = self.incarnation.unwrap_or(UNKNOWN_INCARNATION);
            return self.send(ToLeader::Gone { incarnation, suspects: Vec::new(), taken_over: Vec::new() });
        }
        if self.current.report_sent_at == TimeMs::default() {
            return;
        }
        let taken_over = self.listed_runs();
        let restarted_from = self.restarted_from.take();
        let is_open = self.session.as_ref().is_some_and(|session| !UnboundedSender::is_closed(session));
        let crashes = std::mem::take(&mut self.crashes);
        for crash in &crashes {
            let (incarnation, suspects) = (crash.incarnation, crash.suspects.clone());
            self.send(ToLeader::Gone { incarnation, suspects, taken_over: taken_over.clone() });
        }
        if let Some(incarnation) = restarted_from
            && crashes.iter().all(|crash| crash.incarnation != incarnation)
        {
            self.send(ToLeader::Gone { incarnation, suspects: Vec::new(), taken_over });
        }
        if !is_open {
            // Told to the next leader. Leaders of earlier versions take a second report for the end of all runs on the host,
            // whatever the incarnation.
            self.crashes = crashes;
        }
    }

    /// Drops the evidence that an incarnation has crashed, since it answers.
    pub(super) fn withdraw_crash(&mut self, incarnation: u64) {
        self.crashes.retain(|crash| crash.incarnation != incarnation);
        self.suspicion = None;
    }
}
