//! The session between the leader and an agent: connection, heartbeats and lease grants.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use fescuelead_core::{
    jobs::{
        HostName, JobId, JobSpec, RunProgress, Suspicion,
        lease::{LeadershipProof, LeasePlan},
    },
    units::TimeMs,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt, BufReader},
    net::TcpStream,
    sync::{mpsc, watch},
    time::{Instant, interval, sleep, sleep_until, timeout},
};

use crate::{
    agent::Agent,
    clock::Clock,
    message::{self, Start, ToAgent, ToLeader},
};

/// How often an agent requests a lease grant, in milliseconds: ten times in a usual lease.
const GRANT_REQUEST_INTERVAL_MS: u64 = 500;
/// A session is closed when its peer has sent nothing for this long, in milliseconds: four missed grant requests or
/// grants.
const SESSION_TIMEOUT_MS: u64 = 2_200;
/// The timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// The pause before the first attempt to reconnect, in milliseconds.
const RECONNECT_BACKOFF_MS: u64 = 150;
/// The longest pause between two attempts to connect, in milliseconds. The pause doubles after each attempt until a
/// session has lasted longer than [`SESSION_TIMEOUT_MS`].
const MAX_RECONNECT_BACKOFF_MS: u64 = 1_000;

/// The largest hello message, in bytes. It holds a number and the name of an entry; whoever has not said hello may not make the
/// agent reserve memory for more.
const MAX_HELLO_BYTES: usize = 4_096;

/// Payloads that are copied for one write, in bytes; one larger payload is written alone.
const MAX_SENT_PAYLOAD_BYTES: usize = 256 * 1_024;

/// Serves a leader that has connected to the agent, until the session or the connection ends. Calls `on_hello` once the
/// other end has shown that it speaks the protocol.
pub(crate) async fn accept(agent: Rc<Agent>, stream: impl AsyncRead + AsyncWrite + 'static, on_hello: impl FnOnce()) {
    let (read_half, mut write_half) = tokio::io::split(stream);
    let mut reader = BufReader::new(read_half);
    let hello = message::read_within::<ToAgent>(&mut reader, MAX_HELLO_BYTES);
    let Ok(Ok(ToAgent::Hello { epoch, leader })) = timeout(Duration::from_millis(SESSION_TIMEOUT_MS), hello).await
    else {
        log::debug!("connection closed because no hello message was received");
        return;
    };
    on_hello();
    let mut outgoing = match agent.open_session(epoch, &leader) {
        Ok(outgoing) => outgoing,
        Err(epoch) => {
            let refusal = message::write(&mut write_half, &[ToLeader::Superseded { epoch }]).await;
            log::info!("session refused: leader={leader} later_epoch={epoch} told={}", refusal.is_ok());
            return;
        }
    };
    let (incoming_sender, mut incoming) = mpsc::unbounded_channel();
    let reading = tokio::task::spawn_local(async move {
        while let Ok(message) = message::read::<ToAgent>(&mut reader).await {
            if incoming_sender.send(message).is_err() {
                break;
            }
        }
    });
    let mut grant_requests = interval(Duration::from_millis(GRANT_REQUEST_INTERVAL_MS));
    let mut last_received_at = agent.now();
    loop {
        let mut messages = Vec::new();
        tokio::select! {
            message = incoming.recv() => {
                let Some(message) = message else { break };
                let now = agent.now();
                // What arrived during a suspension of this process, or before another session was opened, is out of date: the
                // leader may count the host as lost and have assigned its tasks to others.
                if outgoing.is_closed() || now.since_ms(last_received_at) > SESSION_TIMEOUT_MS {
                    break;
                }
                last_received_at = now;
                agent.handle(message);
            }
            message = outgoing.recv() => {
                let Some(message) = message else { break };
                messages.push(message);
            }
            _ = grant_requests.tick() => {
                if agent.now().since_ms(last_received_at) > SESSION_TIMEOUT_MS {
                    break;
                }
                // A crash is reported before the end of its suspicion.
                while let Ok(message) = outgoing.try_recv() {
                    messages.push(message);
                }
                let (started, suspicion) = (agent.take_started_jobs(), agent.suspicion());
                let progress = agent.take_progress();
                messages.push(ToLeader::Ask { asked_ms: agent.now().0, started, suspicion, progress });
            }
        }
        while let Ok(message) = outgoing.try_recv() {
            messages.push(message);
        }
        if !messages.is_empty() && send(&mut write_half, &messages).await.is_err() {
            break;
        }
    }
    reading.abort();
    log::info!("session closed: leader={leader} epoch={epoch}");
}

/// Writes messages. Fails if the peer does not accept them within [`SESSION_TIMEOUT_MS`].
async fn send<M: serde::Serialize>(writer: &mut (impl AsyncWriteExt + Unpin), messages: &[M]) -> std::io::Result<()> {
    timeout(Duration::from_millis(SESSION_TIMEOUT_MS), message::write(writer, messages))
        .await
        .unwrap_or_else(|_| Err(std::io::Error::other("the peer did not read the messages in time")))
}

/// An order that waits to be sent to an agent. A start shares the payload of its job with all others until then.
#[derive(Debug)]
pub(crate) enum Order {
    Message(ToAgent),
    Start(StartOfJob),
}

/// A start whose payload is that of its job, and whose expiry is not yet on the agent's clock.
#[derive(Debug)]
pub(crate) struct StartOfJob {
    start: Start,
    spec: Arc<JobSpec>,
    /// When the order expires on the leader's clock.
    expires_at: TimeMs,
}

impl StartOfJob {
    /// Creates an order from a start without payload and without expiry.
    pub(crate) fn new(start: Start, spec: Arc<JobSpec>, expires_at: TimeMs) -> Self {
        Self { start, spec, expires_at }
    }
}

/// A reading of the agent's clock, from its request for a grant.
#[derive(Debug, Clone, Copy)]
struct AgentClock {
    /// What the agent's clock read when the request was sent, in milliseconds.
    asked_ms: u64,
    /// When the request was received, on the leader's clock.
    received_at: TimeMs,
}

impl AgentClock {
    /// What the agent's clock reads at `at` on the leader's clock, or less by the time that the request was under way, in
    /// milliseconds.
    fn at(&self, at: TimeMs) -> u64 {
        (self.asked_ms + at.since_ms(self.received_at)).saturating_sub(self.received_at.since_ms(at))
    }
}

impl Order {
    /// The bytes of the payload that the message will hold.
    fn payload_bytes(&self) -> usize {
        match self {
            Self::Message(_) => 0,
            Self::Start(order) => order.spec.payload.len(),
        }
    }
}

impl From<ToAgent> for Order {
    fn from(message: ToAgent) -> Self {
        Self::Message(message)
    }
}

impl From<StartOfJob> for Order {
    fn from(order: StartOfJob) -> Self {
        Self::Start(order)
    }
}

impl Order {
    /// The message to an agent with this clock.
    fn into_message(self, clock: AgentClock) -> ToAgent {
        match self {
            Self::Message(message) => message,
            Self::Start(StartOfJob { start, spec, expires_at }) => ToAgent::Start(Start {
                payload: spec.payload.clone(),
                expires_at_ms: Some(clock.at(expires_at)),
                ..start
            }),
        }
    }
}

/// The state of one term of leadership, shared by the leader's sessions with all hosts.
pub(crate) struct Leadership {
    pub name: String,
    pub epoch: Cell<u64>,
    pub plan: LeasePlan,
    pub clock: Clock,
    pub proof: RefCell<LeadershipProof>,
    /// Set once an agent has reported a leader with a higher epoch.
    pub superseded: Cell<bool>,
}

impl Leadership {
    /// The state before the store has confirmed the leadership; no lease is granted until then.
    pub fn new(name: String, epoch: u64, plan: LeasePlan, clock: Clock) -> Self {
        let proof = RefCell::default();
        Self { name, epoch: Cell::new(epoch), plan, clock, proof, superseded: Cell::new(false) }
    }

    /// Whether this process is certain to be the leader, and so may grant leases.
    pub fn holds(&self) -> bool {
        !self.superseded.get() && self.proof.borrow().is_valid(&self.plan, self.clock.now())
    }
}

/// An event in the session with a host.
#[derive(Debug)]
pub(crate) enum SessionEvent {
    Opened,
    Received(ToLeader),
    /// Tasks of these jobs have started on the host.
    Started(Vec<JobId>),
    /// The endpoint of the host refuses connections; `None` once it has answered.
    Suspected(Option<Suspicion>),
    /// Runs on the host have made progress.
    Progressed(Vec<RunProgress>),
    Closed {
        /// When the leader last granted a lease in this session; `None` if it granted none.
        last_grant_at: Option<TimeMs>,
    },
}

/// Runs the leader's sessions with one host, one after the other, until the task is aborted or the receiver of `events`
/// is dropped. When `address` changes, the open session is closed and the next one is opened there.
pub(crate) async fn dial(
    leadership: Rc<Leadership>,
    host: HostName,
    mut address: watch::Receiver<SocketAddr>,
    mut orders: mpsc::UnboundedReceiver<Order>,
    events: mpsc::UnboundedSender<(HostName, SessionEvent)>,
) {
    let mut backoff_ms = RECONNECT_BACKOFF_MS;
    loop {
        let target = *address.borrow_and_update();
        let connecting = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), TcpStream::connect(target)).await;
        if let Ok(Ok(stream)) = connecting {
            // The scheduler sends the orders of the earlier session again after the host has reported its runs.
            while orders.try_recv().is_ok() {}
            if events.send((host.clone(), SessionEvent::Opened)).is_err() {
                return;
            }
            let (opened_at, last_grant_at) = (Instant::now(), Cell::new(None));
            tokio::select! {
                () = run_session(&leadership, &host, stream, &mut orders, &events, &last_grant_at) => {}
                // Without a sender the address stays as it is.
                Ok(()) = address.changed() => address.mark_changed(),
            }
            if events.send((host.clone(), SessionEvent::Closed { last_grant_at: last_grant_at.get() })).is_err() {
                return;
            }
            if opened_at.elapsed() > Duration::from_millis(SESSION_TIMEOUT_MS) {
                backoff_ms = RECONNECT_BACKOFF_MS;
            }
        }
        tokio::select! {
            () = sleep(Duration::from_millis(backoff_ms)) => {
                backoff_ms = (backoff_ms * 2).min(MAX_RECONNECT_BACKOFF_MS);
            }
            Ok(()) = address.changed() => backoff_ms = RECONNECT_BACKOFF_MS,
        }
    }
}

/// Runs one session on an open connection until it fails, times out, or the agent reports a later leader. Sets
/// `last_grant_at` at each grant.
async fn run_session(
    leadership: &Leadership,
    host: &HostName,
    stream: TcpStream,
    orders: &mut mpsc::UnboundedReceiver<Order>,
    events: &mpsc::UnboundedSender<(HostName, SessionEvent)>,
    last_grant_at: &Cell<Option<TimeMs>>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: error={e}");
    }
    let (read_half, mut writer) = stream.into_split();
    let mut reader = BufReader::new(read_half);
    let hello = ToAgent::Hello { epoch: leadership.epoch.get(), leader: leadership.name.clone() };
    if send(&mut writer, &[hello]).await.is_err() {
        return;
    }
    let (incoming_sender, mut incoming) = mpsc::unbounded_channel();
    let reading = tokio::task::spawn_local(async move {
        while let Ok(message) = message::read::<ToLeader>(&mut reader).await {
            if incoming_sender.send(message).is_err() {
                break;
            }
        }
    });
    let mut last_received = Instant::now();
    let mut is_suspected = false;
    // Orders wait for the first request, which an agent sends at once.
    let mut agent_clock = None;
    loop {
        let (mut messages, mut payload_bytes) = (Vec::new(), 0);
        let idle_until = last_received + Duration::from_millis(SESSION_TIMEOUT_MS);
        tokio::select! {
            // What was received counts even if it is handled late.
            biased;
            message = incoming.recv() => {
                last_received = Instant::now();
                match message {
                    None => break,
                    Some(ToLeader::Superseded { epoch }) => {
                        log::warn!("superseded: host={host} own_epoch={} later_epoch={epoch}", leadership.epoch.get());
                        leadership.superseded.set(true);
                        break;
                    }
                    Some(ToLeader::Ask { asked_ms, started, suspicion, progress }) => {
                        agent_clock = Some(AgentClock { asked_ms, received_at: leadership.clock.now() });
                        let mut grant_ms = 0;
                        if leadership.holds() {
                            grant_ms = leadership.plan.grant_ms;
                            last_grant_at.set(Some(leadership.clock.now()));
                        }
                        messages.push(ToAgent::Grant { asked_ms, grant_ms });
                        let started = (!started.is_empty()).then_some(SessionEvent::Started(started));
                        let was_suspected = std::mem::replace(&mut is_suspected, suspicion.is_some());
                        let is_news = is_suspected || was_suspected;
                        let suspected = is_news.then_some(SessionEvent::Suspected(suspicion));
                        let progressed = (!progress.is_empty()).then_some(SessionEvent::Progressed(progress));
                        let mut reported = started.into_iter().chain(suspected).chain(progressed);
                        if reported.any(|event| events.send((host.clone(), event)).is_err()) {
                            break;
                        }
                    }
                    Some(message) => {
                        if events.send((host.clone(), SessionEvent::Received(message))).is_err() {
                            break;
                        }
                    }
                }
            }
            order = orders.recv(), if agent_clock.is_some() => {
                let (Some(order), Some(clock)) = (order, agent_clock) else { break };
                payload_bytes += order.payload_bytes();
                messages.push(order.into_message(clock));
            }
            () = sleep_until(idle_until) => break,
        }
        while payload_bytes < MAX_SENT_PAYLOAD_BYTES
            && let Some(clock) = agent_clock
            && let Ok(order) = orders.try_recv()
        {
            payload_bytes += order.payload_bytes();
            messages.push(order.into_message(clock));
        }
        if !messages.is_empty() && send(&mut writer, &messages).await.is_err() {
            break;
        }
    }
    reading.abort();
}
