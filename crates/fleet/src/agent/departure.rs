/*!
The planned end of the endpoint.

An endpoint drains, deregisters, and ends once that is acknowledged, and its runs end with it. Nothing shows when: one that the
acknowledgement has not reached runs on for seconds, and if it refuses connections meanwhile it looks like one that has ended. A
lease that was granted before the endpoint began to drain outlives the drain, so that its end is a late proof.

The agent therefore stops what still runs before the time that a draining endpoint has stated runs out, without the leader:
first what resumes elsewhere, then the rest, which may still end on its own. An endpoint may refuse connections as soon as it
has deregistered, so that a stop at that moment may come too late. What still runs then is stopped all the same, and the
deregistration is acknowledged once the ends are listed. It does the same when it is itself told to stop while its endpoint is leaving. What was not
listed in time still needs the proofs for any loss. The lease is extended in short steps while the endpoint drains, and an agent
that stops waits for its end, since its leader would otherwise count a whole grant from the end of the session on.
*/

use std::{rc::Rc, time::Duration};

use fescuelead_core::{jobs::TaskRef, units::TimeMs};
use tokio::time::sleep;

use super::{Agent, State};

/// How far the lease of a draining endpoint is extended at a time, in milliseconds: long enough for one report call that is not
/// answered, and another one.
const DRAINING_LEASE_MS: u64 = 2_000;
/// How long the acknowledgement of a deregistration waits for the ends of runs at most, in milliseconds. The endpoint expects it within
/// a second, and a stop takes up to 900 ms.
const DEPARTURE_TIMEOUT_MS: u64 = 950;
/// How long before the stated end of the endpoint the runs are stopped that resume elsewhere, in milliseconds: a stop takes up to
/// 900 ms, and the report of its end one interval of reports while the endpoint drains.
const STOP_AHEAD_MS: u64 = 1_200;
/// The pause between reports while runs end because the endpoint is leaving, in milliseconds. These reports do not wait for an end:
/// between them, a stop can use their connection if the endpoint accepts no new ones.
pub(super) const DEPARTURE_REPORT_INTERVAL_MS: u64 = 40;
/// How long an agent that stops waits until the leader has stored the ends of the runs that it has stopped, in milliseconds.
const STORED_ENDS_TIMEOUT_MS: u64 = 400;
/// How long an agent that stops waits for the end of the runs or of the lease at most, in milliseconds. Less than the grace period of a process.
const LEASE_END_TIMEOUT_MS: u64 = 4_000;
/// How often the agent checks whether the runs or the lease of a leaving endpoint have ended, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

impl Agent {
    /// Handles the announcement of an incarnation of the endpoint that it ends. No run starts on it from now on, what still runs is
    /// stopped, and what runs on it is no suspect. A late announcement of another incarnation has no effect, nor one that does not
    /// state the incarnation, unless the present one drains.
    pub fn handle_departure(self: &Rc<Self>, incarnation: Option<u64>) {
        let mut state = self.state.borrow_mut();
        let is_of_present = match incarnation {
            Some(departing) => state.incarnation.is_none_or(|present| present == departing),
            None => state.is_draining(),
        };
        if !is_of_present {
            let present = state.incarnation;
            log::warn!("departure ignored: host={} incarnation={incarnation:?} present={present:?}", self.name);
            return;
        }
        state.current.departing = true;
        state.send_info();
        drop(state);
        self.stop_remaining_runs();
    }

    /// Waits until the endpoint has listed the ends of all its runs after [`Self::handle_departure`], but less than a second.
    /// Returns at once if the departure had no effect. The endpoint may end once this has returned.
    pub async fn wait_for_listed_ends(&self) {
        let began_at = self.clock.now();
        let deadline = began_at.plus_ms(DEPARTURE_TIMEOUT_MS);
        while self.state.borrow().awaits_listed_ends() && self.clock.now() < deadline {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        let state = self.state.borrow();
        if !state.current.departing {
            return;
        }
        let took_ms = self.clock.now().since_ms(began_at);
        if state.awaits_listed_ends() {
            self.metrics.departures_with_runs.inc();
            let unlisted = state.listed_runs().len();
            log::warn!("departure: runs not listed as ended: host={} runs={unlisted} waited_ms={took_ms}", self.name);
        } else {
            log::info!("departure: nothing runs any more: host={} waited_ms={took_ms}", self.name);
        }
    }

    /// Stops the runs of an endpoint that ends, each once: all if it has deregistered or the agent stops, otherwise those whose
    /// time has come. The stops are repeated until they are answered, and a start without an answer is settled by its stop.
    pub(super) fn stop_remaining_runs(self: &Rc<Self>) {
        let now = self.clock.now();
        let (runs, cause) = {
            let state = self.state.borrow();
            let cause = match () {
                () if state.ends_runs() && state.current.departing => "deregistered",
                () if state.ends_runs() => "agent_stops",
                () if state.is_ending(now) => "endpoint_ends",
                () => return,
            };
            let is_stopping = |task: &TaskRef| state.current.orders.get(task).is_some_and(|order| order.stopping);
            let is_due = |task: &TaskRef| state.ends_runs() || state.must_end(*task, now);
            let listed = state.listed_runs().into_iter();
            let runs = listed.filter(|(task, _)| !is_stopping(task) && is_due(task)).collect::<Vec<_>>();
            (runs, cause)
        };
        if runs.is_empty() {
            return;
        }
        log::info!("departure: stopping runs: host={} runs={} cause={cause}", self.name, runs.len());
        self.metrics.departure_stops.inc_by(runs.len() as u64);
        for (task, run) in runs {
            self.handle_stop(task, run);
        }
        self.report_wakeup.notify_one();
    }

    /// Ends the runs of an endpoint that is leaving when the agent is told to stop, and waits until the leader was told that they
    /// have ended: by their ends, or by that of the lease. Returns at once if the endpoint is not leaving or runs nothing.
    pub(super) async fn wait_for_planned_end(self: &Rc<Self>) {
        self.stop_remaining_runs();
        if !self.state.borrow().awaits_planned_end() {
            return;
        }
        let deadline = self.clock.now().plus_ms(LEASE_END_TIMEOUT_MS);
        while self.state.borrow().awaits_planned_end() && self.clock.now() < deadline {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        let deadline = deadline.min(self.clock.now().plus_ms(STORED_ENDS_TIMEOUT_MS));
        while self.state.borrow().has_unstored_ends() && self.clock.now() < deadline {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
}

impl State {
    /// Whether the endpoint has announced that it drains.
    fn is_draining(&self) -> bool {
        self.current.info.as_ref().is_some_and(|info| info.draining)
    }

    /// Whether the endpoint has announced that it drains or ends, after which no run may start on it.
    pub(super) fn is_leaving(&self) -> bool {
        self.current.departing || self.is_draining()
    }

    /// Whether the agent ends what runs on the endpoint: it has deregistered, or is leaving while the agent stops.
    pub(super) fn ends_runs(&self) -> bool {
        !self.endpoint_lost && (self.current.departing || self.shutting_down && self.is_leaving())
    }

    /// Whether the endpoint drains and has stated an end that is near or has passed.
    fn is_ending(&self, now: TimeMs) -> bool {
        let ends_at = self.current.ends_at.filter(|_| self.is_draining() && !self.endpoint_lost);
        ends_at.is_some_and(|ends_at| now.plus_ms(STOP_AHEAD_MS) >= ends_at)
    }

    /// Whether a run of the task has to be stopped before the endpoint ends, which is near. Serving tasks, which never end on their own,
    /// and those that have saved a checkpoint resume elsewhere and go first; the others may end until the stated time is over.
    fn must_end(&self, task: TaskRef, now: TimeMs) -> bool {
        let serves = self.current.orders.get(&task).is_some_and(|order| order.tail_target_ms.is_some());
        let resumes = self.current.running.get(&task).is_some_and(|running| running.checkpoint.is_some());
        serves || resumes || self.current.ends_at.is_some_and(|ends_at| now >= ends_at)
    }

    /// Whether an endpoint whose runs are being ended may still list further ends.
    pub(super) fn is_ending_runs(&self) -> bool {
        self.ends_runs() && !self.listed_runs().is_empty()
    }

    /// Whether runs may exist on an endpoint that has deregistered, because it has not listed their ends.
    fn awaits_listed_ends(&self) -> bool {
        let has_reported = self.current.report_sent_at != TimeMs::default();
        self.current.departing && !self.endpoint_lost && !(has_reported && self.listed_runs().is_empty())
    }

    /// Whether runs may exist on a leaving endpoint of which the leader has not been told that they have ended.
    fn awaits_planned_end(&self) -> bool {
        self.is_leaving() && !self.endpoint_lost && !self.listed_runs().is_empty()
    }

    /// Whether the leader of the open session has yet to confirm that it has stored ends of runs.
    fn has_unstored_ends(&self) -> bool {
        self.session.as_ref().is_some_and(|session| !session.is_closed()) && !self.current.ends.is_empty()
    }

    /// When a lease that is extended at `now` may end at the latest.
    pub(super) fn lease_limit(&self, now: TimeMs) -> TimeMs {
        let authority_ends = self.authority.expires_at();
        if self.is_leaving() { authority_ends.min(now.plus_ms(DRAINING_LEASE_MS)) } else { authority_ends }
    }
}
