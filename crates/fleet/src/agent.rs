/*!
The agent beside an endpoint. It alone gives orders to the endpoint.

The endpoint itself remembers what runs there and what has ended, so an agent that starts anew asks it and knows
everything again. Three loops run beside each other: one keeps the lease and collects ends, one serves the session of the
leader, and each order that is not settled is repeated until the endpoint has answered.
*/

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{
        HostInfo, Rejection, RunEnd, RunOutcome, TaskRef,
        lease::{AgentLease, LeasePlan},
        pace::Pacer,
    },
    units::TimeMs,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpListener,
    sync::{Notify, mpsc},
    task::spawn_local,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::Clock,
    endpoint::{Endpoint, EndpointError, Report, Running, StartAnswer, StartOrder},
    message::{Start, ToAgent, ToLeader},
    metrics::AgentMetrics,
    session,
};

/// How long the endpoint may wait for an end before it answers, in milliseconds. The lease is extended once in this time.
const REPORT_WAIT_MS: u64 = 1_000;
/// The same while tasks that serve users run, whose latency has to be watched.
const SERVING_REPORT_WAIT_MS: u64 = 250;
/// How long an answer may take beyond the wait, in milliseconds: many times the usual, and a fraction of a lease.
const ANSWER_MS: u64 = 500;
/// An endpoint that has not answered for this long gets no longer lease, in milliseconds.
const SILENCE_MS: u64 = 1_200;
/// How long an endpoint refuses connections until it counts as crashed, in milliseconds: two tries or more.
const DOWN_MS: u64 = 250;
/// The pause before a call is repeated, in milliseconds.
const RETRY_MS: u64 = 40;
/// How long ends wait to be stored before the endpoint is asked again, in milliseconds.
const UNSTORED_WAIT_MS: u64 = 250;
/// By how much the fencing token grows when the endpoint has seen a higher one: a minute in the token's unit.
const TOKEN_STEP: u64 = 60_000;
/// How long a planned stop waits for calls that are under way, in milliseconds.
const STOP_MS: u64 = 400;

/// An order that is not settled, or a run that has not ended.
#[derive(Debug, Clone)]
struct Order {
    run: u32,
    cpu_milli: u32,
    background: bool,
    tail_target_ms: Option<u32>,
    image: Option<String>,
    stopping: bool,
    /// The share that the endpoint was told last, in percent.
    paced: u8,
}

struct State {
    token: u64,
    incarnation: Option<u64>,
    info: Option<HostInfo>,
    authority: AgentLease,
    /// When the lease on the endpoint has surely ended.
    lease_end: TimeMs,
    /// What the endpoint's clock read, and when that was known.
    clock: Option<(u64, TimeMs)>,
    heard_at: TimeMs,
    down_since: Option<TimeMs>,
    gone: bool,
    /// When the question was sent that the latest report answered.
    report_asked: TimeMs,
    running: BTreeMap<TaskRef, Running>,
    orders: BTreeMap<TaskRef, Order>,
    ends: BTreeMap<u64, RunEnd>,
    forget_up_to: u64,
    pacer: Pacer,
    epoch: u64,
    session: Option<mpsc::UnboundedSender<ToLeader>>,
    calls: usize,
    leaving: bool,
}

mod pacing;

/// The agent of one endpoint.
pub struct Agent {
    name: String,
    endpoint: Box<dyn Endpoint>,
    clock: Clock,
    metrics: AgentMetrics,
    state: std::cell::RefCell<State>,
    /// Something happened that the report loop waits for.
    stored: Notify,
}

impl Agent {
    /// Makes the agent `name`. It starts without authority: what runs goes on until its lease ends, or a leader grants
    /// more time.
    pub fn new(
        name: String,
        endpoint: Box<dyn Endpoint>,
        plan: LeasePlan,
        clock: Clock,
        metrics: AgentMetrics,
    ) -> Rc<Self> {
        let now = clock.now();
        let state = State {
            // Grows from one process to the next, since only one runs beside an endpoint at a time. A time of day that was
            // set back is made up for by `TOKEN_STEP`.
            token: clock.unix_ms(),
            incarnation: None,
            info: None,
            authority: AgentLease::new(now),
            // A predecessor may have been granted time just before it ended.
            lease_end: now.plus_ms(plan.grant_ms),
            clock: None,
            heard_at: now,
            down_since: None,
            gone: false,
            report_asked: TimeMs::default(),
            running: BTreeMap::new(),
            orders: BTreeMap::new(),
            ends: BTreeMap::new(),
            forget_up_to: 0,
            pacer: Pacer::new(),
            epoch: 0,
            session: None,
            calls: 0,
            leaving: false,
        };
        Rc::new(Self { name, endpoint, clock, metrics, state: state.into(), stored: Notify::new() })
    }

    /// The endpoint said something of itself.
    pub fn announced(&self, incarnation: Option<u64>, info: HostInfo) {
        let mut state = self.state.borrow_mut();
        if let Some(incarnation) = incarnation {
            self.meet(&mut state, incarnation);
        }
        if state.info.as_ref() != Some(&info) {
            log::info!(
                "endpoint info: host={} draining={} cpu_milli={} memory_mib={}",
                self.name,
                info.draining,
                info.capacity.cpu_milli,
                info.capacity.memory_mib
            );
            state.info = Some(info.clone());
            state.tell(ToLeader::Info(Some(info)));
        }
    }

    /// Runs until `stop`. Serves leaders that connect to `listener`.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: CancellationToken) {
        let reports = spawn_local(self.clone().keep_lease());
        let sessions = spawn_local(self.clone().serve(listener));
        stop.cancelled().await;
        self.state.borrow_mut().leaving = true;
        let deadline = self.clock.now().plus_ms(STOP_MS);
        while self.state.borrow().calls > 0 && self.clock.now() < deadline {
            sleep(Duration::from_millis(10)).await;
        }
        reports.abort();
        sessions.abort();
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if let Err(e) = stream.set_nodelay(true) {
                        log::debug!("cannot set TCP_NODELAY: error={e}");
                    }
                    spawn_local(self.clone().session(stream));
                }
                Err(e) => {
                    log::warn!("cannot accept a connection: host={} error={e}", self.name);
                    sleep(Duration::from_millis(RETRY_MS)).await;
                }
            }
        }
    }

    /// Serves the leader at the other end of a connection, until the connection or the session ends.
    pub async fn session(self: Rc<Self>, stream: impl AsyncRead + AsyncWrite + 'static) {
        session::accept(self, stream).await;
    }

    /// Opens the session of a leader, unless a later leader has been here. Returns what to say to the leader.
    pub(crate) fn open(&self, epoch: u64, leader: &str) -> Result<mpsc::UnboundedReceiver<ToLeader>, u64> {
        let mut state = self.state.borrow_mut();
        if epoch < state.epoch {
            return Err(state.epoch);
        }
        log::info!("session opened: host={} leader={leader} epoch={epoch}", self.name);
        self.metrics.sessions.inc();
        state.epoch = epoch;
        let (sender, receiver) = mpsc::unbounded_channel();
        state.session = Some(sender);
        state.introduce();
        Ok(receiver)
    }

    /// The time on the agent's clock.
    pub(crate) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Carries out what the leader says.
    pub(crate) fn handle(self: &Rc<Self>, message: ToAgent) {
        match message {
            ToAgent::Hello { .. } => {}
            ToAgent::Grant { asked_ms, grant_ms } => {
                self.state.borrow_mut().authority.extend(TimeMs(asked_ms), grant_ms);
            }
            ToAgent::Start(start) => self.order(start),
            ToAgent::Stop { task, run } => self.order_stop(task, run),
            ToAgent::Pairs(table) => self.state.borrow_mut().pacer.update_table(table),
            ToAgent::Forget { incarnation, up_to } => {
                let mut state = self.state.borrow_mut();
                if state.incarnation == Some(incarnation) && up_to > state.forget_up_to {
                    state.forget_up_to = up_to;
                    state.ends.retain(|&number, _| number > up_to);
                    self.stored.notify_one();
                }
            }
        }
    }

    fn order(self: &Rc<Self>, start: Start) {
        let mut state = self.state.borrow_mut();
        if state.incarnation != Some(start.incarnation) || state.gone {
            return;
        }
        let ended = state.ends.values().any(|ended| ended.task == start.task && ended.run == start.run);
        if ended {
            return;
        }
        let there = state.running.get(&start.task).is_some_and(|running| running.run == start.run);
        let ordered = state.orders.get(&start.task).is_some_and(|order| order.run == start.run);
        if ordered {
            return;
        }
        if !there && (state.leaving || state.info.as_ref().is_some_and(|info| info.draining)) {
            let (incarnation, task, run) = (start.incarnation, start.task, start.run);
            state.tell(ToLeader::Rejected { incarnation, task, run, reason: Rejection::Unhealthy });
            return;
        }
        let order = Order {
            run: start.run,
            cpu_milli: start.cpu_milli,
            background: start.background,
            tail_target_ms: start.tail_target_ms,
            image: start.image.clone(),
            stopping: false,
            paced: 100,
        };
        state.orders.insert(start.task, order);
        drop(state);
        if !there {
            spawn_local(self.clone().start(start));
        }
    }

    /// Repeats a start until the endpoint has answered it.
    async fn start(self: Rc<Self>, start: Start) {
        let (task, run, incarnation) = (start.task, start.run, start.incarnation);
        let mut order = StartOrder { task, run, payload: start.payload, deadline_ms: 0, checkpoint: start.checkpoint };
        let mut unanswered = false;
        loop {
            let Some((token, deadline)) = self.start_terms(incarnation, task, run) else { return };
            let Some(deadline_ms) = deadline else {
                sleep(Duration::from_millis(RETRY_MS)).await;
                continue;
            };
            order.deadline_ms = deadline_ms;
            match self.call("start", ANSWER_MS, self.endpoint.start(token, &order)).await {
                Ok(StartAnswer::Started) => return,
                Ok(StartAnswer::Fenced) => self.raise_token(token),
                Ok(StartAnswer::Late) => sleep(Duration::from_millis(RETRY_MS)).await,
                Ok(StartAnswer::OtherIncarnation) => {
                    self.state.borrow_mut().drop_order(task, run);
                    return;
                }
                // An earlier try may have started the run, and it has ended since.
                Ok(StartAnswer::Rejected(Rejection::Outdated)) => return self.settle(incarnation, task, run).await,
                Ok(StartAnswer::Rejected(reason)) => {
                    if unanswered {
                        // The earlier try could still be carried out; a stop keeps the run from starting.
                        return self.stop(incarnation, task, run).await;
                    }
                    log::info!("start refused: task={task} run={run} host={} reason={reason:?}", self.name);
                    let mut state = self.state.borrow_mut();
                    state.drop_order(task, run);
                    state.tell(ToLeader::Rejected { incarnation, task, run, reason });
                    return;
                }
                Err(EndpointError::Down(_)) => sleep(Duration::from_millis(RETRY_MS)).await,
                Err(error @ EndpointError::Unknown(_)) => {
                    log::warn!("start unanswered: task={task} run={run} host={} error={error}", self.name);
                    unanswered = true;
                    sleep(Duration::from_millis(RETRY_MS)).await;
                }
            }
        }
    }

    /// The fencing token and the deadline to start a run with; `None` if the run is not wanted any more.
    fn start_terms(&self, incarnation: u64, task: TaskRef, run: u32) -> Option<(u64, Option<u64>)> {
        let mut state = self.state.borrow_mut();
        let wanted = state.incarnation == Some(incarnation)
            && !state.gone
            && state.orders.get(&task).is_some_and(|order| order.run == run && !order.stopping);
        let now = self.clock.now();
        wanted.then(|| (state.token, state.deadline(now)))
    }

    fn order_stop(self: &Rc<Self>, task: TaskRef, run: u32) {
        let mut state = self.state.borrow_mut();
        let Some(incarnation) = state.incarnation else { return };
        let order = state.orders.entry(task).or_insert(Order {
            run,
            cpu_milli: 0,
            background: false,
            tail_target_ms: None,
            image: None,
            stopping: false,
            paced: 100,
        });
        if order.run != run || std::mem::replace(&mut order.stopping, true) {
            return;
        }
        drop(state);
        spawn_local(self.clone().stop(incarnation, task, run));
    }

    /// Repeats a stop until the endpoint has answered it.
    async fn stop(self: Rc<Self>, incarnation: u64, task: TaskRef, run: u32) {
        loop {
            let token = {
                let mut state = self.state.borrow_mut();
                if state.incarnation != Some(incarnation) || state.gone {
                    return;
                }
                match state.orders.get_mut(&task) {
                    Some(order) if order.run == run => order.stopping = true,
                    _ => return,
                }
                state.token
            };
            match self.call("stop", ANSWER_MS, self.endpoint.stop(token, task, run)).await {
                Ok(true) => return self.settle(incarnation, task, run).await,
                Ok(false) => self.raise_token(token),
                Err(_) => sleep(Duration::from_millis(RETRY_MS)).await,
            }
        }
    }

    /// Waits for a report that was asked for from now on. If the run neither is there nor has ended, it never will be.
    async fn settle(self: Rc<Self>, incarnation: u64, task: TaskRef, run: u32) {
        let since = self.clock.now();
        loop {
            sleep(Duration::from_millis(RETRY_MS)).await;
            let mut state = self.state.borrow_mut();
            let open = state.incarnation == Some(incarnation)
                && !state.gone
                && state.orders.get(&task).is_some_and(|order| order.run == run);
            if !open {
                return;
            }
            if state.report_asked > since && state.running.get(&task).is_none_or(|running| running.run != run) {
                state.drop_order(task, run);
                state.tell(ToLeader::Rejected { incarnation, task, run, reason: Rejection::Outdated });
                return;
            }
        }
    }

    /// Extends the lease and collects ends, for as long as the agent runs.
    async fn keep_lease(self: Rc<Self>) {
        loop {
            let asked = self.clock.now();
            let (token, deadline, seen, wait_ms) = {
                let mut state = self.state.borrow_mut();
                let deadline = state.deadline(asked);
                let serving = state.orders.values().any(|order| order.tail_target_ms.is_some());
                let silent = asked.since_ms(state.heard_at) > SILENCE_MS;
                let wait_ms = match () {
                    () if silent || state.clock.is_none() || !state.ends.is_empty() => 0,
                    () if serving => SERVING_REPORT_WAIT_MS,
                    () => REPORT_WAIT_MS,
                };
                (state.token, deadline, state.forget_up_to, wait_ms)
            };
            let answer =
                self.call("report", wait_ms + ANSWER_MS, self.endpoint.report(token, deadline, seen, wait_ms)).await;
            match answer {
                Ok(Some(report)) => {
                    self.reported(report, asked);
                    let unstored = !self.state.borrow().ends.is_empty();
                    if unstored {
                        let waited = timeout(Duration::from_millis(UNSTORED_WAIT_MS), self.stored.notified()).await;
                        // Either way the endpoint is asked again.
                        drop(waited);
                    }
                }
                Ok(None) => self.raise_token(token),
                Err(error) => {
                    self.silent(&error);
                    sleep(Duration::from_millis(RETRY_MS)).await;
                }
            }
        }
    }

    fn reported(self: &Rc<Self>, report: Report, asked: TimeMs) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        self.meet(&mut state, report.incarnation);
        state.heard_at = now;
        state.down_since = None;
        state.clock = Some((report.clock_ms, now));
        let incarnation = report.incarnation;
        let returned = std::mem::take(&mut state.gone);
        let first = state.report_asked == TimeMs::default();
        state.report_asked = asked;
        let running: BTreeMap<_, _> = report.running.into_iter().map(|running| (running.task, running)).collect();
        for running in running.values() {
            let before = state.running.get(&running.task).and_then(|before| before.checkpoint.as_ref());
            if running.checkpoint.as_ref() != before
                && let Some(checkpoint) = running.checkpoint.clone()
            {
                let (task, run) = (running.task, running.run);
                state.tell(ToLeader::Checkpoint { incarnation, task, run, checkpoint });
            }
        }
        state.running = running;
        for ended in report.ended {
            if ended.number <= state.forget_up_to || state.ends.contains_key(&ended.number) {
                continue;
            }
            state.drop_order(ended.task, ended.run);
            if ended.end != RunOutcome::Done {
                log::info!("run ended: task={} run={} host={} end={:?}", ended.task, ended.run, self.name, ended.end);
            }
            state.ends.insert(ended.number, ended.clone());
            state.tell(ToLeader::Ended { incarnation, ended });
        }
        if first || returned {
            state.introduce();
        }
        self.pace(&mut state, now);
    }

    /// The endpoint gave no answer. Finds out whether everything on it is gone.
    fn silent(&self, error: &EndpointError) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let crashed = match error {
            EndpointError::Down(_) => {
                let since = *state.down_since.get_or_insert(now);
                now.since_ms(since) >= DOWN_MS
            }
            EndpointError::Unknown(_) => {
                state.down_since = None;
                false
            }
        };
        let lapsed = now > state.lease_end && now.since_ms(state.heard_at) > SILENCE_MS;
        if (!crashed && !lapsed) || state.gone {
            return;
        }
        let Some(incarnation) = state.incarnation else { return };
        log::warn!(
            "endpoint gone: host={} incarnation={incarnation} cause={} error={error}",
            self.name,
            if crashed { "down" } else { "silent" }
        );
        state.gone = true;
        state.info = None;
        state.running.clear();
        state.orders.clear();
        state.tell(ToLeader::Gone { incarnation });
        state.tell(ToLeader::Info(None));
    }

    /// Notes the incarnation of the endpoint. What ran on an earlier one is gone.
    fn meet(&self, state: &mut State, incarnation: u64) {
        if state.incarnation == Some(incarnation) {
            return;
        }
        log::info!("endpoint met: host={} incarnation={incarnation} before={:?}", self.name, state.incarnation);
        state.incarnation = Some(incarnation);
        state.running.clear();
        state.orders.clear();
        state.ends.clear();
        state.forget_up_to = 0;
        state.clock = None;
        state.gone = false;
        state.report_asked = TimeMs::default();
        state.pacer.reset();
    }

    fn raise_token(&self, refused: u64) {
        let mut state = self.state.borrow_mut();
        if state.token == refused {
            state.token += TOKEN_STEP;
            log::warn!("fencing token raised: host={} token={}", self.name, state.token);
        }
    }

    async fn call<T>(
        &self,
        kind: &'static str,
        limit_ms: u64,
        call: impl Future<Output = Result<T, EndpointError>>,
    ) -> Result<T, EndpointError> {
        let asked = self.clock.now();
        self.state.borrow_mut().calls += 1;
        let answer = timeout(Duration::from_millis(limit_ms), call).await;
        self.state.borrow_mut().calls -= 1;
        let answer = answer.unwrap_or_else(|_| Err(EndpointError::Unknown(format!("none within {limit_ms} ms"))));
        let outcome = answer.as_ref().map_or_else(EndpointError::kind, |_| "ok");
        self.metrics.endpoint_calls.ended(kind, outcome, self.clock.now().since_ms(asked));
        answer
    }
}

impl State {
    fn tell(&mut self, message: ToLeader) {
        if let Some(session) = &self.session
            && session.send(message).is_err()
        {
            self.session = None;
        }
    }

    /// Says everything that a new leader has to know: ends first, so that no ended run is started again.
    fn introduce(&mut self) {
        self.tell(ToLeader::Info(self.info.clone()));
        self.tell(ToLeader::Headroom(self.pacer.headroom().clone()));
        self.tell(ToLeader::Paces(self.pacer.paces().clone()));
        self.tell(ToLeader::Remembered(self.pacer.table().clone()));
        let Some(incarnation) = self.incarnation.filter(|_| !self.gone && self.report_asked != TimeMs::default())
        else {
            return;
        };
        for ended in self.ends.values().cloned().collect::<Vec<_>>() {
            self.tell(ToLeader::Ended { incarnation, ended });
        }
        let mut running: BTreeMap<_, _> = self.running.iter().map(|(&task, running)| (task, running.run)).collect();
        running.extend(self.orders.iter().map(|(&task, order)| (task, order.run)));
        self.tell(ToLeader::Runs { incarnation, running: running.into_iter().collect() });
    }

    /// The deadline to give to the endpoint now. Notes that the lease may last until then.
    fn deadline(&mut self, now: TimeMs) -> Option<u64> {
        let (clock_ms, seen) = self.clock?;
        if now.since_ms(self.heard_at) > SILENCE_MS || self.authority.expires_at() <= now {
            return None;
        }
        self.lease_end = self.lease_end.max(self.authority.expires_at());
        Some(self.authority.deadline_ms(clock_ms, seen))
    }

    fn drop_order(&mut self, task: TaskRef, run: u32) {
        if self.orders.get(&task).is_some_and(|order| order.run == run) {
            self.orders.remove(&task);
        }
    }
}
