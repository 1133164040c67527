//! Stops of runs, which are repeated until the endpoint has answered them.

use std::{rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::TaskRef,
    units::{Resources, TimeMs},
};
use tokio::{task::spawn_local, time::sleep};

use super::{ANSWER_TIMEOUT_MS, Agent, Order, RETRY_INTERVAL_MS, Validity, evidence::RunStatus};

impl Order {
    /// The order of a run whose description is not known.
    pub(super) fn unknown(run: u32, validity: Validity) -> Self {
        Self {
            run,
            resources: Resources::ZERO,
            background: false,
            tail_target_ms: None,
            image: None,
            stopping: false,
            sent: false,
            started_at: None,
            settled_at: None,
            paced_percent: 100,
            sent_progress: None,
            validity,
        }
    }
}

impl Agent {
    /// Handles an order of the leader to stop a run, or to prevent it from starting.
    pub(super) fn handle_stop(self: &Rc<Self>, task: TaskRef, run: u32) {
        let mut state = self.state.borrow_mut();
        let Some(incarnation) = state.incarnation else { return };
        if state.run_status(task, run, TimeMs::default()) == RunStatus::Ended {
            return;
        }
        let validity = state.order_validity(self.clock.now());
        let order = state.current.orders.entry(task).or_insert(Order::unknown(run, validity));
        if order.run != run || std::mem::replace(&mut order.stopping, true) {
            return;
        }
        // The stop settles whether the run exists, also if its start was answered before.
        order.settled_at = None;
        drop(state);
        spawn_local(self.clone().repeat_stop(incarnation, task, run));
    }

    /// Repeats a stop until the endpoint has answered it or the order is no longer current.
    pub(super) async fn repeat_stop(self: Rc<Self>, incarnation: u64, task: TaskRef, run: u32) {
        loop {
            let (token, is_refusing) = {
                let mut state = self.state.borrow_mut();
                if state.incarnation != Some(incarnation) || state.endpoint_lost {
                    return;
                }
                match state.current.orders.get_mut(&task) {
                    Some(order) if order.run == run => order.stopping = true,
                    _ => return,
                }
                (state.token, state.is_refusing())
            };
            if is_refusing {
                sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
                continue;
            }
            match self.call("stop", ANSWER_TIMEOUT_MS, self.endpoint.stop(incarnation, token, task, run)).await {
                Ok(true) => {
                    return self.state.borrow_mut().record_settled(incarnation, task, run, self.clock.now());
                }
                Ok(false) => self.raise_token(token),
                Err(_) => sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await,
            }
        }
    }
}
