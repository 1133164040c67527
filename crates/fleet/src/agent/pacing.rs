//! Slows background tasks that increase the latency of tasks serving users on the same host.

use std::rc::Rc;

use fescuelead_core::{
    jobs::{
        TaskRef,
        pace::{BackgroundReading, ServingReading},
    },
    units::TimeMs,
};
use tokio::task::spawn_local;

use super::{ANSWER_TIMEOUT_MS, Agent, State, incarnation::IncarnationState};
use crate::message::ToLeader;

impl Agent {
    /// Passes the latest readings to the pacer, sets the resulting shares at the endpoint, and reports them to the
    /// leader.
    pub(super) fn pace(self: &Rc<Self>, state: &mut State, now: TimeMs) {
        let Some(host_cpu_milli) = state.current.info.as_ref().map(|info| info.capacity.cpu_milli) else { return };
        let Some(incarnation) = state.incarnation else { return };
        let State { pacer, current: IncarnationState { orders, running, .. }, .. } = state;
        let (mut serving, mut background) = (Vec::new(), Vec::new());
        for (&task, order) in orders.iter() {
            let Some(running) = running.get(&task).filter(|running| running.run == order.run) else { continue };
            let image = order.image.clone().unwrap_or_default();
            if let Some(target_ms) = order.tail_target_ms {
                let requested_cpu_milli = order.resources.cpu_milli;
                serving.push(ServingReading { task, image, tail_ms: running.reading, target_ms, requested_cpu_milli });
            } else if order.background {
                let (used_cpu_milli, requested_cpu_milli) = (running.reading, order.resources.cpu_milli);
                background.push(BackgroundReading { image, used_cpu_milli, requested_cpu_milli });
            }
        }
        let findings = pacer.observe(host_cpu_milli, &serving, &background, now);
        self.metrics.running.set(running.len() as i64);
        if let Some(paces) = &findings.paces {
            self.metrics.paced_images.set(paces.values().filter(|percent| **percent < 100).count() as i64);
            log::info!(
                "background tasks paced: host={} percent={paces:?} headroom_milli={:?}",
                self.name,
                pacer.headroom()
            );
        }
        for (&task, order) in orders.iter_mut() {
            let is_running = running.get(&task).is_some_and(|running| running.run == order.run);
            let percent = pacer.percent(order.image.as_deref().unwrap_or_default());
            if order.background && is_running && !order.stopping && order.paced_percent != percent {
                order.paced_percent = percent;
                spawn_local(self.clone().set_pace(incarnation, task, order.run, percent));
            }
        }
        if !findings.changes.is_empty() {
            state.send(ToLeader::Changes(findings.changes));
        }
        if let Some(paces) = findings.paces {
            state.send(ToLeader::Paces(paces));
        }
        if let Some(headroom) = findings.headroom {
            state.send(ToLeader::Headroom(headroom));
        }
    }

    async fn set_pace(self: Rc<Self>, incarnation: u64, task: TaskRef, run: u32, percent: u8) {
        let token = self.state.borrow().token;
        let pace = self.endpoint.pace(incarnation, token, task, run, percent);
        if let Err(error) = self.call("pace", ANSWER_TIMEOUT_MS, pace).await {
            log::warn!("pace not set: task={task} run={run} host={} error={error}", self.name);
            // No share equals this value, so the next report sends the pace again.
            if let Some(order) = self.state.borrow_mut().current.orders.get_mut(&task) {
                order.paced_percent = u8::MAX;
            }
        }
    }
}
