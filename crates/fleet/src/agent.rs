/*!
The agent of an endpoint. It is the only process that sends orders to that endpoint.

The endpoint keeps the list of running and ended runs, so a restarted agent rebuilds its state from the endpoint's
report. One task renews the lease and collects ended runs, one serves the leader's session, and one task for each
unanswered order repeats that order until the endpoint has answered.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use fescuelead_core::{
    jobs::{
        HostInfo, JobId, Rejection, RunOutcome, Suspicion, TaskRef,
        lease::{AgentLease, LeasePlan},
        pace::Pacer,
    },
    units::{Resources, TimeMs},
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    sync::{Notify, mpsc},
    task::spawn_local,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use self::listener::LeaderListener;
use crate::{
    clock::Clock,
    endpoint::{Endpoint, EndpointError, Report},
    message::{ToAgent, ToLeader},
    metrics::AgentMetrics,
    session,
};

/// How long the endpoint may wait for a run to end before it answers a report call, in milliseconds. Each report call
/// also extends the lease.
const REPORT_WAIT_MS: u64 = 1_000;
/// The same limit as [`REPORT_WAIT_MS`], but while tasks that serve users run, in milliseconds. It is shorter because
/// the latency of these tasks drives the pacing of background tasks.
const SERVING_REPORT_WAIT_MS: u64 = 250;
/// The timeout of a call to the endpoint, in milliseconds, not counting a wait that the call asks for: many times the
/// usual latency, and a fraction of a lease.
const ANSWER_TIMEOUT_MS: u64 = 500;
/// The lease of an endpoint is not extended once it has not answered for this long, in milliseconds.
const ENDPOINT_TIMEOUT_MS: u64 = 1_200;
/// The pause before a failed call is repeated, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 40;
/// The pause before a new connection to an endpoint that is lost or refuses connections, in milliseconds. New connections
/// cost the endpoint more than calls, and it announces itself when it is back.
const RECONNECT_INTERVAL_MS: u64 = 250;
/// How long the next report call is delayed at most while the leader has not stored all reported ends, in milliseconds.
const UNSTORED_WAIT_MS: u64 = 250;
/// The increment of the fencing token when the endpoint has seen a higher one, in milliseconds, the token's unit.
const TOKEN_STEP_MS: u64 = 60_000;
/// How long rejected runs are remembered, in milliseconds: longer than an order of the leader may be under way, after which the
/// session has timed out.
const REJECTION_MEMORY_MS: u64 = 5_000;
/// How long a planned stop waits for calls in flight, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 400;

/// An order that the endpoint has not answered, or the run of an answered order that has not ended.
#[derive(Debug, Clone)]
struct Order {
    run: u32,
    resources: Resources,
    background: bool,
    tail_target_ms: Option<u32>,
    image: Option<String>,
    stopping: bool,
    /// Whether the endpoint may know of the run.
    sent: bool,
    /// When the endpoint answered the start; None before.
    started_at: Option<TimeMs>,
    /// When the endpoint answered a call after which the run cannot start unless it already has; None before.
    settled_at: Option<TimeMs>,
    /// The share of its full speed that was last set for the run, in percent.
    paced_percent: u8,
    /// The progress in percent that the leader of this session was last told of, and when; `None` before.
    sent_progress: Option<(u8, TimeMs)>,
    validity: Validity,
}

/// Until when an order may be sent to the endpoint. After that the facts behind it may have changed unnoticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Validity {
    /// The number of the session in which the order was last given. The leader of a later session may have assigned the
    /// task to another host.
    session: u64,
    /// When the order expires unless it is given again.
    expires_at: TimeMs,
}

impl Validity {
    /// A validity that ends at `expires_at` at the latest, if that is given.
    fn limited_to(self, expires_at: Option<TimeMs>) -> Self {
        Self { expires_at: expires_at.map_or(self.expires_at, |at| at.min(self.expires_at)), ..self }
    }

    /// The validity of an order that is given again, which does not end sooner by that.
    fn extending(self, earlier: Self) -> Self {
        Self { expires_at: self.expires_at.max(earlier.expires_at), ..self }
    }
}

struct State {
    clock: Clock,
    token: u64,
    /// The present incarnation of the endpoint; `None` before its first report or announcement.
    incarnation: Option<u64>,
    current: IncarnationState,
    authority: AgentLease,
    /// How long a start may take effect after it was sent, in milliseconds.
    start_validity_ms: u64,
    /// The latest time at which the lease on the endpoint may end.
    lease_end: TimeMs,
    last_answer_at: TimeMs,
    /// When the first call failed since the last success of any call; `None` after a success.
    failing_since: Option<TimeMs>,
    /// When the endpoint first refused a connection since its latest report; `None` if it has not.
    refusing_since: Option<TimeMs>,
    /// The runs that may have crashed the endpoint before it was lost; `None` unless it has refused connections.
    suspicion: Option<Suspicion>,
    /// Crashes of earlier incarnations, with the runs that may have caused them, that no leader was told of.
    crashes: Vec<Suspicion>,
    /// Whether the lease of the endpoint has ended without an answer, so that nothing runs on it.
    endpoint_lost: bool,
    /// The incarnation whose end the leader hears of with the first report of the current one, which tells what it runs.
    restarted_from: Option<u64>,
    /// Whether the endpoint may have another incarnation than [`Self::incarnation`]. The next report tells.
    incarnation_uncertain: bool,
    /// Jobs of which tasks have started since the leader was last told of starts.
    started_jobs: BTreeSet<JobId>,
    pacer: Pacer,
    /// The highest epoch of a leader that opened a session.
    epoch: u64,
    /// When the last message of a leader arrived.
    leader_heard_at: TimeMs,
    session: Option<mpsc::UnboundedSender<ToLeader>>,
    /// The highest rejected run of each task, and when it was rejected in this session.
    rejected: BTreeMap<TaskRef, (u32, TimeMs)>,
    /// How many sessions were opened so far; the number of the latest one.
    session_number: u64,
    calls_in_flight: usize,
    shutting_down: bool,
}

mod crash;
mod departure;
mod evidence;
mod incarnation;
pub mod listener;
mod pacing;
mod payloads;
mod progress;
mod restarts;
mod room;
mod starts;
mod stops;

use departure::DEPARTURE_REPORT_INTERVAL_MS;
use incarnation::IncarnationState;
use payloads::Payloads;
use restarts::CallInFlight;

/// The agent of one endpoint.
pub struct Agent {
    name: String,
    endpoint: Box<dyn Endpoint>,
    clock: Clock,
    metrics: AgentMetrics,
    state: std::cell::RefCell<State>,
    /// Wakes the report loop after ends were stored, and when an endpoint that is lost or refuses connections announces itself.
    report_wakeup: Notify,
    /// Ends a report call that waits for a run to end, so that the next one tells the incarnation.
    report_interrupt: Notify,
    payloads: Payloads,
}

impl Agent {
    /// Creates the agent of the host `name`. It has no authority to extend leases until a leader grants it; until then
    /// running tasks continue for the rest of their lease.
    pub fn new(
        name: String,
        endpoint: Box<dyn Endpoint>,
        plan: LeasePlan,
        clock: Clock,
        metrics: AgentMetrics,
    ) -> Rc<Self> {
        let now = clock.now();
        let state = State {
            clock,
            // Only one agent process runs per endpoint at a time, so the Unix time gives each process a higher token
            // than the one before. If the clock was set back, `raise_token` makes up for it.
            token: clock.unix_ms(),
            incarnation: None,
            current: IncarnationState::default(),
            authority: AgentLease::new(now),
            start_validity_ms: plan.start_validity_ms,
            // An earlier agent process may have extended the lease just before it ended.
            lease_end: now.plus_ms(plan.grant_ms),
            last_answer_at: now,
            failing_since: None,
            refusing_since: None,
            suspicion: None,
            crashes: Vec::new(),
            endpoint_lost: false,
            restarted_from: None,
            incarnation_uncertain: false,
            started_jobs: BTreeSet::new(),
            pacer: Pacer::new(),
            epoch: 0,
            leader_heard_at: now,
            session: None,
            rejected: BTreeMap::new(),
            session_number: 0,
            calls_in_flight: 0,
            shutting_down: false,
        };
        Rc::new(Self {
            name,
            endpoint,
            clock,
            metrics,
            state: state.into(),
            report_wakeup: Notify::new(),
            report_interrupt: Notify::new(),
            payloads: Payloads::default(),
        })
    }

    /// Handles an announcement of the endpoint. `incarnation` is `None` if the endpoint did not include it. An announcement
    /// of an earlier incarnation than the current one arrives late and has no effect; if the endpoint's clock was set
    /// back, its next report gives the incarnation.
    pub fn handle_announcement(&self, incarnation: Option<u64>, mut info: HostInfo) {
        let remaining_ms = info.remaining_ms.take();
        let mut state = self.state.borrow_mut();
        let is_awaited = state.endpoint_lost || state.is_refusing();
        if let Some(incarnation) = incarnation {
            if state.incarnation.is_some_and(|current| incarnation < current) {
                log::debug!("late announcement ignored: host={} incarnation={incarnation}", self.name);
                return;
            }
            // An announcement may come from another writer.
            let first_sign = state.first_sign().filter(|_| state.is_refusing());
            if state.incarnation.is_some_and(|current| incarnation != current) {
                self.request_incarnation_check(&mut state);
            }
            self.observe_incarnation(&mut state, incarnation, first_sign);
        }
        if is_awaited {
            self.report_wakeup.notify_one();
        }
        if state.current.info.as_ref() != Some(&info) {
            log::info!(
                "endpoint info: host={} draining={} cpu_milli={} memory_mib={}",
                self.name,
                info.draining,
                info.capacity.cpu_milli,
                info.capacity.memory_mib
            );
        }
        let ends_at = remaining_ms.map(|ms| self.clock.now().plus_ms(ms));
        if state.current.info.as_ref() != Some(&info) || state.current.ends_at != ends_at {
            state.current.info = Some(info);
            state.current.ends_at = ends_at;
            state.send_info();
        }
    }

    /// Runs the agent until `stop` is cancelled. If its endpoint is leaving, then stops the runs and waits for the proof that they
    /// have ended. Waits for calls in flight at last. Serves leaders that connect to `listener`.
    pub async fn run(self: Rc<Self>, listener: impl Into<LeaderListener>, stop: CancellationToken) {
        let reports = spawn_local(self.clone().renew_lease());
        let sessions = spawn_local(listener.into().serve(self.clone()));
        stop.cancelled().await;
        self.state.borrow_mut().shutting_down = true;
        self.wait_for_planned_end().await;
        let deadline = self.clock.now().plus_ms(STOP_TIMEOUT_MS);
        while self.state.borrow().calls_in_flight > 0 && self.clock.now() < deadline {
            sleep(Duration::from_millis(10)).await;
        }
        reports.abort();
        sessions.abort();
    }

    /// Serves the leader at the other end of a connection, until the connection or the session ends.
    pub async fn session(self: Rc<Self>, stream: impl AsyncRead + AsyncWrite + 'static) {
        session::accept(self, stream, || ()).await;
    }

    /// Opens the session of a leader and returns the messages to send to it. They end when another session is opened.
    ///
    /// # Errors
    ///
    /// Fails with the highest known epoch if a leader with a higher epoch has already opened a session.
    pub(crate) fn open_session(&self, epoch: u64, leader: &str) -> Result<mpsc::UnboundedReceiver<ToLeader>, u64> {
        let mut state = self.state.borrow_mut();
        if epoch < state.epoch {
            return Err(state.epoch);
        }
        log::info!("session opened: host={} leader={leader} epoch={epoch}", self.name);
        self.metrics.sessions.inc();
        state.epoch = epoch;
        let (sender, receiver) = mpsc::unbounded_channel();
        state.session = Some(sender);
        state.session_number += 1;
        // A leader that has not heard of a rejection orders the start again.
        state.rejected.clear();
        state.repeat_progress();
        state.send_snapshot();
        Ok(receiver)
    }

    /// The name of the agent's host.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// When the last message of a leader arrived; the start of the agent if none has.
    pub fn leader_heard_at(&self) -> TimeMs {
        self.state.borrow().leader_heard_at
    }

    /// The jobs of which tasks have started since the last call in this session.
    pub(crate) fn take_started_jobs(&self) -> Vec<JobId> {
        std::mem::take(&mut self.state.borrow_mut().started_jobs).into_iter().collect()
    }

    /// The monotonic time on the agent's clock.
    pub(crate) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Handles a message of the leader.
    pub(crate) fn handle(self: &Rc<Self>, message: ToAgent) {
        self.state.borrow_mut().leader_heard_at = self.clock.now();
        match message {
            ToAgent::Hello { .. } => {}
            ToAgent::Grant { asked_ms, grant_ms } => {
                self.state.borrow_mut().authority.extend(TimeMs(asked_ms), grant_ms);
            }
            ToAgent::Start(start) => self.handle_start(start),
            ToAgent::Stop { task, run } => self.handle_stop(task, run),
            ToAgent::Pairs(table) => self.state.borrow_mut().pacer.update_pair_table(table),
            ToAgent::Forget { incarnation, up_to } => {
                let mut state = self.state.borrow_mut();
                if state.incarnation == Some(incarnation) && up_to > state.current.forget_up_to {
                    state.current.forget_up_to = up_to;
                    state.current.ends.retain(|&number, _| number > up_to);
                    self.report_wakeup.notify_one();
                }
            }
        }
    }

    /// Extends the lease and collects ended runs for as long as the agent runs.
    async fn renew_lease(self: Rc<Self>) {
        loop {
            let sent_at = self.clock.now();
            let (token, renewal, wait_ms, first_sign) = {
                let mut state = self.state.borrow_mut();
                let renewal = state.renewal(sent_at);
                let serving = state.current.orders.values().any(|order| order.tail_target_ms.is_some());
                let timed_out = sent_at.since_ms(state.last_answer_at) > ENDPOINT_TIMEOUT_MS;
                let wait_ms = match () {
                    () if timed_out || state.incarnation_uncertain || state.current.endpoint_clock.is_none() => 0,
                    () if state.is_refusing() || state.is_ending_runs() => 0,
                    () if state.current.report_sent_at == TimeMs::default() || !state.current.ends.is_empty() => 0,
                    () if serving || state.is_leaving() => SERVING_REPORT_WAIT_MS,
                    () => REPORT_WAIT_MS,
                };
                let first_sign = state.first_sign().unwrap_or(sent_at);
                (state.token, renewal, wait_ms, first_sign)
            };
            let report = self.endpoint.report(token, renewal, wait_ms);
            let call = self.call("report", wait_ms + ANSWER_TIMEOUT_MS, report);
            let Some(answer) = self.interruptible(wait_ms, call).await else { continue };
            match answer {
                Ok(Some(report)) => {
                    self.apply_report(report, token, sent_at, first_sign);
                    self.state.borrow_mut().confirm_lease(renewal);
                    let (unstored, is_ending_runs) = {
                        let state = self.state.borrow();
                        (!state.current.ends.is_empty(), state.is_ending_runs())
                    };
                    if unstored || is_ending_runs {
                        let wait_ms = if is_ending_runs { DEPARTURE_REPORT_INTERVAL_MS } else { UNSTORED_WAIT_MS };
                        let waited = timeout(Duration::from_millis(wait_ms), self.report_wakeup.notified()).await;
                        // The endpoint is called again after a timeout as well.
                        drop(waited);
                    }
                }
                Ok(None) => self.raise_token(token),
                Err(error) => {
                    self.handle_failed_report(&error);
                    self.pause_reports().await;
                }
            }
        }
    }

    /// Handles a report that was requested with the fencing token `token`. `first_sign` is when the first call failed since the last success before this report, or
    /// `sent_at` if none did.
    fn apply_report(self: &Rc<Self>, report: Report, token: u64, sent_at: TimeMs, first_sign: TimeMs) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        self.observe_incarnation(&mut state, report.incarnation, Some(first_sign));
        state.withdraw_crash(report.incarnation);
        state.incarnation_uncertain = false;
        state.last_answer_at = now;
        state.current.endpoint_clock = Some((report.clock_ms, now));
        if token < state.token {
            // Calls with an earlier token may be carried out after this report. The next one puts an end to that.
            return;
        }
        let incarnation = report.incarnation;
        let was_refusing = self.observe_end_of_refusals(&mut state, now);
        let recovered = std::mem::take(&mut state.endpoint_lost);
        let first = state.current.report_sent_at == TimeMs::default();
        state.current.report_sent_at = sent_at;
        let running: BTreeMap<_, _> = report.running.into_iter().map(|running| (running.task, running)).collect();
        for running in running.values() {
            let before = state.current.running.get(&running.task).and_then(|before| before.checkpoint.as_ref());
            if running.checkpoint.as_ref() != before
                && let Some(checkpoint) = running.checkpoint.clone()
            {
                let (task, run) = (running.task, running.run);
                state.send(ToLeader::Checkpoint { incarnation, task, run, checkpoint });
            }
        }
        state.current.running = running;
        let listed = report.ended.len();
        for ended in report.ended {
            state.drop_order(ended.task, ended.run);
            if ended.number <= state.current.forget_up_to || state.current.ends.contains_key(&ended.number) {
                continue;
            }
            if ended.end != RunOutcome::Done {
                log::info!("run ended: task={} run={} host={} end={:?}", ended.task, ended.run, self.name, ended.end);
            }
            state.current.ends.insert(ended.number, ended.clone());
            state.send(ToLeader::Ended { incarnation, ended });
        }
        self.observe_end_list(&mut state, report.end_list, listed);
        state.reject_absent_runs(incarnation, now);
        if first || recovered {
            state.send_snapshot();
        } else if was_refusing {
            state.send_info();
        }
        self.pace(&mut state, now);
        drop(state);
        // A start that has taken effect late, or a run of which this process has not known.
        self.stop_remaining_runs();
    }

    /// Raises the fencing token unless it was raised since the endpoint refused `refused`.
    fn raise_token(&self, refused: u64) {
        let mut state = self.state.borrow_mut();
        if state.token == refused {
            state.token += TOKEN_STEP_MS;
            log::warn!("fencing token raised: host={} token={}", self.name, state.token);
        }
    }

    /// Applies a timeout to a call to the endpoint, and counts its outcome.
    async fn call<T>(
        &self,
        kind: &'static str,
        timeout_ms: u64,
        call: impl Future<Output = Result<T, EndpointError>>,
    ) -> Result<T, EndpointError> {
        let sent_at = self.clock.now();
        let in_flight = CallInFlight::new(&self.state);
        let answer = timeout(Duration::from_millis(timeout_ms), call).await;
        let answer = answer.unwrap_or_else(|_| Err(EndpointError::Unknown(format!("none within {timeout_ms} ms"))));
        drop(in_flight);
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        match &answer {
            Ok(_) => state.failing_since = None,
            Err(error) => {
                state.failing_since.get_or_insert(now);
                match error {
                    EndpointError::Refused(_) => self.observe_refusal(&mut state, now),
                    EndpointError::OtherIncarnation { expected, found } => {
                        log::warn!(
                            "call not sent: kind={kind} host={} incarnation={expected} found={found}",
                            self.name
                        );
                        self.request_incarnation_check(&mut state);
                    }
                    EndpointError::Unknown(_) => {}
                }
            }
        }
        drop(state);
        let outcome = answer.as_ref().map_or_else(EndpointError::kind, |_| "ok");
        self.metrics.endpoint_calls.observe(kind, outcome, now.since_ms(sent_at));
        answer
    }
}

impl State {
    /// Sends a message to the leader, or drops it if there is no session: the next session starts with a snapshot.
    fn send(&mut self, message: ToLeader) {
        if let Some(session) = &self.session
            && session.send(message).is_err()
        {
            self.session = None;
        }
    }

    /// Sends what the endpoint has announced. An endpoint that is lost, has restarted or refuses connections offers nothing
    /// before it answers a call, and one that has announced its end offers nothing any more.
    fn send_info(&mut self) {
        let is_away =
            self.endpoint_lost || self.is_refusing() || self.restarted_from.is_some() || self.current.departing;
        let mut info = self.current.info.clone().filter(|_| !is_away);
        if let Some(info) = &mut info {
            let now = self.clock.now();
            info.remaining_ms = self.current.ends_at.map(|ends_at| ends_at.since_ms(now));
        }
        self.send(ToLeader::Info(info));
    }

    /// Tells the leader that a run does not exist and never will. Later orders to start it have no effect in this session.
    fn reject(&mut self, incarnation: u64, task: TaskRef, run: u32, reason: Rejection, now: TimeMs) {
        self.rejected.retain(|_, (_, rejected_at)| now.since_ms(*rejected_at) < REJECTION_MEMORY_MS);
        self.rejected.insert(task, (run, now));
        self.send(ToLeader::Rejected { incarnation, task, run, reason });
    }

    /// Sends the whole state to a new leader. Ended runs come before losses and before running ones, so that no ended run is
    /// started again.
    fn send_snapshot(&mut self) {
        self.repeat_started_jobs();
        if let Some(incarnation) = self.listed_incarnation() {
            for ended in self.current.ends.values().cloned().collect::<Vec<_>>() {
                self.send(ToLeader::Ended { incarnation, ended });
            }
        }
        self.send_losses();
        self.send_info();
        self.send(ToLeader::Headroom(self.pacer.headroom().clone()));
        self.send(ToLeader::Paces(self.pacer.paces().clone()));
        self.send(ToLeader::Remembered(self.pacer.pair_table().clone()));
        if let Some(incarnation) = self.listed_incarnation() {
            let running = self.listed_runs();
            self.send(ToLeader::Runs { incarnation, running });
        }
    }

    /// The incarnation that has reported its runs to this process; `None` if there is none or it is lost.
    fn listed_incarnation(&self) -> Option<u64> {
        self.incarnation.filter(|_| !self.endpoint_lost && self.current.report_sent_at != TimeMs::default())
    }

    /// The runs that exist or may exist on the endpoint. Orders that were never sent to it are left out: the leader decides
    /// anew whether to start them.
    fn listed_runs(&self) -> Vec<(TaskRef, u32)> {
        let mut listed: BTreeMap<_, _> =
            self.current.running.iter().map(|(&task, running)| (task, running.run)).collect();
        let sent = self.current.orders.iter().filter(|(_, order)| order.sent || order.stopping);
        listed.extend(sent.map(|(&task, order)| (task, order.run)));
        listed.into_iter().collect()
    }

    /// The deadline up to which the lease may be extended now, on the endpoint's clock, and records that the lease may
    /// last until then. `None` if the endpoint has not answered lately, if it refuses connections, so that no call reaches
    /// it, or if the agent's authority has ended.
    fn deadline(&mut self, now: TimeMs) -> Option<u64> {
        let (clock_ms, seen) = self.current.endpoint_clock.filter(|_| !self.is_refusing())?;
        if now.since_ms(self.last_answer_at) > ENDPOINT_TIMEOUT_MS || self.authority.expires_at() <= now {
            return None;
        }
        let lease = AgentLease::new(self.lease_limit(now));
        self.lease_end = self.lease_end.max(lease.expires_at());
        Some(lease.deadline_ms(clock_ms, seen))
    }

    fn drop_order(&mut self, task: TaskRef, run: u32) {
        if self.current.orders.get(&task).is_some_and(|order| order.run == run) {
            self.current.orders.remove(&task);
        }
    }
}
