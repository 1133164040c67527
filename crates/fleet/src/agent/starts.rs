//! Starts of runs, which are repeated until the endpoint has answered them.

use std::{rc::Rc, time::Duration};

use fescuelead_core::jobs::{Rejection, TaskRef};
use tokio::{task::spawn_local, time::sleep};

use super::{ANSWER_TIMEOUT_MS, Agent, Order, RETRY_INTERVAL_MS};
use crate::{
    endpoint::{EndpointError, StartAnswer, StartOrder},
    message::{Start, ToLeader},
};

impl Agent {
    /// Handles an order of the leader to start a run.
    pub(super) fn handle_start(self: &Rc<Self>, start: Start) {
        let mut state = self.state.borrow_mut();
        if state.incarnation != Some(start.incarnation) {
            return;
        }
        if state.endpoint_lost {
            // The leader has sent the order although it was told of the loss, and would wait for this run for good.
            return state.reject(&start);
        }
        let ended = state.ends.values().any(|ended| ended.task == start.task && ended.run == start.run);
        if ended {
            return;
        }
        let is_running = state.running.get(&start.task).is_some_and(|running| running.run == start.run);
        let is_ordered = state.orders.get(&start.task).is_some_and(|order| order.run == start.run);
        if is_ordered {
            return;
        }
        if !is_running && (state.shutting_down || state.info.as_ref().is_some_and(|info| info.draining)) {
            return state.reject(&start);
        }
        let order = Order {
            run: start.run,
            resources: start.resources(),
            background: start.background,
            tail_target_ms: start.tail_target_ms,
            image: start.image.clone(),
            stopping: false,
            started_at: None,
            paced_percent: 100,
        };
        state.orders.insert(start.task, order);
        drop(state);
        if !is_running {
            spawn_local(self.clone().repeat_start(start));
        }
    }

    /// Repeats a start until the endpoint has answered it or the order is no longer current.
    async fn repeat_start(self: Rc<Self>, start: Start) {
        let (task, run, incarnation) = (start.task, start.run, start.incarnation);
        let mut order = StartOrder { task, run, payload: start.payload, deadline_ms: 0, checkpoint: start.checkpoint };
        let mut unanswered = false;
        loop {
            let Some((token, deadline)) = self.start_terms(incarnation, task, run) else { return };
            let Some(deadline_ms) = deadline else {
                sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
                continue;
            };
            if !self.state.borrow().has_room(task) {
                return self.refuse_start(incarnation, task, run, Rejection::NoRoom, unanswered).await;
            }
            order.deadline_ms = deadline_ms;
            match self.call("start", ANSWER_TIMEOUT_MS, self.endpoint.start(token, &order)).await {
                Ok(StartAnswer::Started) => {
                    return self.state.borrow_mut().record_start(incarnation, task, run, self.clock.now());
                }
                Ok(StartAnswer::Fenced) => self.raise_token(token),
                // If the endpoint has restarted, its next report or heartbeat ends this order. If only the caller's
                // idea of the instance was out of date, nothing else would tell the leader that the run does not exist.
                Ok(StartAnswer::Late | StartAnswer::OtherIncarnation) => {
                    sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
                }
                // An earlier attempt may have started the run, which has ended since.
                Ok(StartAnswer::Rejected(Rejection::Outdated)) => return self.check_run(incarnation, task, run).await,
                Ok(StartAnswer::Rejected(reason)) => {
                    return self.refuse_start(incarnation, task, run, reason, unanswered).await;
                }
                Err(EndpointError::Down(_)) => sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await,
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
        if unanswered {
            // An earlier attempt without an answer may still start the run; a stop prevents that.
            return self.repeat_stop(incarnation, task, run).await;
        }
        let mut state = self.state.borrow_mut();
        state.drop_order(task, run);
        state.send(ToLeader::Rejected { incarnation, task, run, reason });
    }

    /// The fencing token and the lease deadline to start a run with; `None` if the order is no longer current. The
    /// deadline is `None` while the lease cannot be extended or the endpoint refuses connections.
    fn start_terms(&self, incarnation: u64, task: TaskRef, run: u32) -> Option<(u64, Option<u64>)> {
        let mut state = self.state.borrow_mut();
        let is_current = state.incarnation == Some(incarnation)
            && !state.endpoint_lost
            && state.orders.get(&task).is_some_and(|order| order.run == run && !order.stopping);
        let now = self.clock.now();
        is_current.then(|| (state.token, if state.is_refusing(now) { None } else { state.deadline(now) }))
    }
}
