//! Starts of runs, which are repeated until the endpoint has answered them.

use std::{rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{Rejection, TaskRef, lease::AgentLease},
    units::TimeMs,
};
use tokio::{task::spawn_local, time::sleep};

use super::{ANSWER_TIMEOUT_MS, Agent, Order, REPORT_WAIT_MS, RETRY_INTERVAL_MS, State, Validity, evidence::RunStatus};
use crate::{
    endpoint::{EndpointError, StartAnswer, StartOrder},
    message::Start,
};

/// How long an order that has not started may be sent, in milliseconds after its arrival: half of the time in which no
/// start may follow the removal of an availability zone, of which agents do not hear.
const ORDER_VALIDITY_MS: u64 = 2_500;

/// What to do next about an order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextAttempt {
    /// Send the start.
    Send {
        /// The fencing token of the call.
        token: u64,
        /// The time after which the call has no effect, in milliseconds on the endpoint's clock.
        deadline_ms: u64,
    },
    /// Decide again after a pause.
    Later,
    /// Tell the leader that the run does not start, once that is certain.
    Withdraw(Rejection),
    /// Nothing: the run was reported, or the order is no longer current.
    Settled,
}

impl Agent {
    /// Handles an order of the leader to start a run.
    pub(super) fn handle_start(self: &Rc<Self>, start: Start) {
        let mut state = self.state.borrow_mut();
        if state.incarnation != Some(start.incarnation) {
            return;
        }
        if state.endpoint_lost {
            // The leader has sent the order although it was told of the loss, and would wait for this run for good.
            return state.reject(start.incarnation, start.task, start.run, Rejection::Unhealthy, self.clock.now());
        }
        if state.rejected.get(&start.task).is_some_and(|(rejected, _)| *rejected >= start.run) {
            // The leader had sent the order again before it heard of the rejection.
            return;
        }
        let status = state.run_status(start.task, start.run, TimeMs::default());
        if status == RunStatus::Ended {
            return;
        }
        let validity = state.order_validity(self.clock.now()).limited_to(start.expires_at_ms.map(TimeMs));
        if let Some(order) = state.current.orders.get_mut(&start.task).filter(|order| order.run == start.run) {
            order.validity = validity.extending(order.validity);
            return;
        }
        if status == RunStatus::Absent && (state.shutting_down || state.is_leaving()) {
            return state.reject(start.incarnation, start.task, start.run, Rejection::Unhealthy, self.clock.now());
        }
        let order = Order {
            run: start.run,
            resources: start.resources(),
            background: start.background,
            tail_target_ms: start.tail_target_ms,
            image: start.image.clone(),
            stopping: false,
            sent: status == RunStatus::Running,
            started_at: None,
            settled_at: (status == RunStatus::Running).then_some(state.current.report_sent_at),
            paced_percent: 100,
            sent_progress: None,
            validity,
        };
        state.current.orders.insert(start.task, order);
        drop(state);
        if status != RunStatus::Running {
            let payload = self.payloads.share(start.task.job, &start.payload);
            let Start { incarnation, task, run, checkpoint, .. } = start;
            let order = StartOrder { task, run, payload, deadline_ms: 0, checkpoint };
            spawn_local(self.clone().repeat_start(incarnation, order));
        }
    }

    /// Repeats a start until the endpoint has answered it or the order is no longer current.
    async fn repeat_start(self: Rc<Self>, incarnation: u64, mut order: StartOrder) {
        let (task, run) = (order.task, order.run);
        let mut unanswered = false;
        loop {
            // Before the deadline of the call is determined.
            let call = self.payloads.begin_call(order.payload.len()).await;
            let next = self.state.borrow_mut().next_attempt(incarnation, task, run, unanswered, self.clock.now());
            let token = match next {
                NextAttempt::Send { token, deadline_ms } => {
                    order.deadline_ms = deadline_ms;
                    token
                }
                NextAttempt::Later => {
                    drop(call);
                    sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
                    continue;
                }
                NextAttempt::Withdraw(reason) => {
                    drop(call);
                    return self.refuse_start(incarnation, task, run, reason, unanswered).await;
                }
                NextAttempt::Settled => return,
            };
            let answer = self.call("start", ANSWER_TIMEOUT_MS, self.endpoint.start(incarnation, token, &order)).await;
            drop(call);
            match answer {
                Ok(StartAnswer::Started) => {
                    return self.state.borrow_mut().record_start(incarnation, task, run, self.clock.now());
                }
                Ok(StartAnswer::Fenced) => self.raise_token(token),
                // If the endpoint has restarted, its next report or heartbeat ends this order. If only the
                // registered id was out of date, nothing else would tell the leader that the run does not exist.
                Ok(StartAnswer::Late | StartAnswer::OtherIncarnation) => {
                    sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
                }
                // An earlier attempt may have started the run, which has ended since.
                Ok(StartAnswer::Rejected(Rejection::Outdated)) => {
                    return self.state.borrow_mut().record_settled(incarnation, task, run, self.clock.now());
                }
                Ok(StartAnswer::Rejected(reason)) => {
                    return self.refuse_start(incarnation, task, run, reason, unanswered).await;
                }
                // The order was not sent, and the next attempt withdraws it.
                Err(EndpointError::Refused(_)) => {}
                // The next report ends this order if the endpoint has another incarnation.
                Err(EndpointError::OtherIncarnation { .. }) => {
                    sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
                }
                Err(error @ EndpointError::Unknown(_)) => {
                    log::warn!("start unanswered: task={task} run={run} host={} error={error}", self.name);
                    unanswered = true;
                    sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
                }
            }
        }
    }

    /// Ends an order whose run does not start. `unanswered` says whether the endpoint has left an attempt unanswered.
    async fn refuse_start(
        self: Rc<Self>,
        incarnation: u64,
        task: TaskRef,
        run: u32,
        reason: Rejection,
        unanswered: bool,
    ) {
        log::info!("start refused: task={task} run={run} host={} reason={reason:?}", self.name);
        let status = self.state.borrow().run_status(task, run, TimeMs::default());
        match status {
            // The report that lists it has arrived during the last attempt.
            RunStatus::Running => self.state.borrow_mut().record_start(incarnation, task, run, self.clock.now()),
            RunStatus::Absent if !unanswered => {
                let mut state = self.state.borrow_mut();
                state.drop_order(task, run);
                state.reject(incarnation, task, run, reason, self.clock.now());
            }
            // An earlier attempt without an answer may still start the run, or an earlier agent process has started it; a
            // stop settles that.
            RunStatus::Absent | RunStatus::Ended | RunStatus::Unknown => {
                self.repeat_stop(incarnation, task, run).await;
            }
        }
    }
}

impl State {
    /// Notes that the answer to the start of a run on `incarnation` arrived at `now`.
    fn record_start(&mut self, incarnation: u64, task: TaskRef, run: u32, now: TimeMs) {
        if self.incarnation == Some(incarnation)
            && let Some(order) = self.current.orders.get_mut(&task).filter(|order| order.run == run)
        {
            order.started_at = Some(now);
            if !order.stopping {
                order.settled_at = Some(now);
            }
            self.started_jobs.insert(task.job);
        }
    }

    /// Lets the next request for a grant name all jobs of which tasks run, as a new leader does not know of their starts.
    pub(super) fn repeat_started_jobs(&mut self) {
        let answered =
            self.current.orders.iter().filter(|(_, order)| order.started_at.is_some()).map(|(task, _)| task.job);
        self.started_jobs = self.current.running.keys().map(|task| task.job).chain(answered).collect();
    }

    /// The validity of an order that the leader gives now.
    pub(super) fn order_validity(&self, now: TimeMs) -> Validity {
        Validity { session: self.session_number, expires_at: now.plus_ms(ORDER_VALIDITY_MS) }
    }

    /// Decides on the next attempt to start a run. The order was checked when it arrived, and each attempt checks again
    /// what may have changed since. `unanswered` says whether the endpoint has left an attempt unanswered.
    fn next_attempt(
        &mut self,
        incarnation: u64,
        task: TaskRef,
        run: u32,
        unanswered: bool,
        now: TimeMs,
    ) -> NextAttempt {
        let order = self.current.orders.get(&task).filter(|order| order.run == run && !order.stopping);
        let Some(order) = order.filter(|_| self.incarnation == Some(incarnation) && !self.endpoint_lost) else {
            return NextAttempt::Settled;
        };
        let is_expired = order.validity.expires_at <= now;
        let is_of_this_session = order.validity.session == self.session_number;
        if self.is_running(task, run) {
            self.record_start(incarnation, task, run, now);
            return NextAttempt::Settled;
        }
        if self.shutting_down && unanswered {
            // The next agent process learns from the endpoint whether the run exists.
            return NextAttempt::Settled;
        }
        // An order that no attempt has carried to the endpoint can go elsewhere at once.
        let is_unsent = self.is_refusing() && !unanswered;
        if self.shutting_down || self.is_leaving() || is_expired || is_unsent {
            return NextAttempt::Withdraw(Rejection::Unhealthy);
        }
        // The leader of this session may have assigned the task elsewhere, and orders the start again if it has not. An
        // endpoint that has not announced itself to this process may be draining.
        if !is_of_this_session || self.current.info.is_none() || self.is_refusing() {
            return NextAttempt::Later;
        }
        let Some(deadline_ms) = self.start_deadline(now) else { return NextAttempt::Later };
        if !self.has_room(task) {
            return NextAttempt::Withdraw(Rejection::NoRoom);
        }
        if let Some(order) = self.current.orders.get_mut(&task) {
            order.sent = true;
        }
        NextAttempt::Send { token: self.token, deadline_ms }
    }

    /// The time after which a start that is sent now has no effect, in milliseconds on the endpoint's clock; `None` while
    /// the lease cannot be extended. It bounds how late an endpoint carries out a start that was called off since.
    ///
    /// The lease of the run comes from the report calls. Only if theirs may end before the next one, the start itself
    /// extends the lease and so may take effect until the end of it.
    fn start_deadline(&mut self, now: TimeMs) -> Option<u64> {
        let lease_deadline_ms = self.deadline(now)?;
        let (clock_ms, seen) = self.current.endpoint_clock?;
        let next_report_ms = clock_ms + now.since_ms(seen) + REPORT_WAIT_MS + ANSWER_TIMEOUT_MS;
        if self.current.confirmed_lease_end_ms < next_report_ms {
            return Some(lease_deadline_ms);
        }
        let valid_until = AgentLease::new(now.plus_ms(self.start_validity_ms));
        Some(lease_deadline_ms.min(valid_until.deadline_ms(clock_ms, seen)))
    }
}
