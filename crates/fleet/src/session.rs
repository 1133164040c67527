//! The connection between the leader and an agent.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use fescuelead_core::{
    jobs::{
        HostName,
        lease::{LeadershipProof, LeasePlan},
    },
    units::TimeMs,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt, BufReader},
    net::TcpStream,
    sync::mpsc,
    time::{Instant, interval, sleep, timeout},
};

use crate::{
    agent::Agent,
    clock::Clock,
    message::{self, ToAgent, ToLeader},
};

/// How often an agent asks for a grant, in milliseconds: ten times in a usual lease.
const ASK_MS: u64 = 500;
/// A session without a message for this long is given up, in milliseconds: four questions or answers are missing.
const SILENCE_MS: u64 = 2_200;
/// How long a connection may take to open, in milliseconds.
const CONNECT_MS: u64 = 500;
/// The pause between two tries to connect, in milliseconds.
const REDIAL_MS: u64 = 150;
/// The longest such pause, to a host that stays away.
const LONGEST_REDIAL_MS: u64 = 1_000;

/// Serves a leader that connected.
pub(crate) async fn accept(agent: Rc<Agent>, stream: impl AsyncRead + AsyncWrite + 'static) {
    let (read_half, mut write_half) = tokio::io::split(stream);
    let mut reader = BufReader::new(read_half);
    let hello = timeout(Duration::from_millis(SILENCE_MS), message::read::<ToAgent>(&mut reader)).await;
    let Ok(Ok(ToAgent::Hello { epoch, leader })) = hello else {
        log::warn!("connection without a greeting closed");
        return;
    };
    let mut outgoing = match agent.open(epoch, &leader) {
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
    let mut asks = interval(Duration::from_millis(ASK_MS));
    let mut heard = Instant::now();
    loop {
        let mut messages = Vec::new();
        tokio::select! {
            message = incoming.recv() => {
                let Some(message) = message else { break };
                heard = Instant::now();
                agent.handle(message);
            }
            message = outgoing.recv() => {
                let Some(message) = message else { break };
                messages.push(message);
            }
            _ = asks.tick() => {
                if heard.elapsed() > Duration::from_millis(SILENCE_MS) {
                    break;
                }
                messages.push(ToLeader::Ask { asked_ms: agent.now().0 });
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

/// Writes messages; a peer that does not take them in time has failed.
async fn send<M: serde::Serialize>(writer: &mut (impl AsyncWriteExt + Unpin), messages: &[M]) -> std::io::Result<()> {
    timeout(Duration::from_millis(SILENCE_MS), message::write(writer, messages))
        .await
        .unwrap_or_else(|_| Err(std::io::Error::other("the peer does not read")))
}

/// What the leader's sessions have in common.
pub(crate) struct Leading {
    pub name: String,
    pub epoch: Cell<u64>,
    pub plan: LeasePlan,
    pub clock: Clock,
    pub proof: RefCell<LeadershipProof>,
    /// Set once another leader was seen.
    pub superseded: Cell<bool>,
}

impl Leading {
    /// A process that wants to lead.
    pub fn new(name: String, epoch: u64, plan: LeasePlan, clock: Clock) -> Self {
        let proof = RefCell::default();
        Self { name, epoch: Cell::new(epoch), plan, clock, proof, superseded: Cell::new(false) }
    }

    /// Whether this process surely leads.
    pub fn holds(&self) -> bool {
        !self.superseded.get() && self.proof.borrow().is_valid(&self.plan, self.clock.now())
    }
}

/// What happened in a session.
#[derive(Debug)]
pub(crate) enum SessionEvent {
    Opened,
    Said(ToLeader),
    /// When the leader last answered a question in this session.
    Closed {
        answered: Option<TimeMs>,
    },
}

/// The leader's end of the sessions with one host, one after the other, until it is dropped.
pub(crate) async fn dial(
    leading: Rc<Leading>,
    host: HostName,
    address: String,
    mut orders: mpsc::UnboundedReceiver<ToAgent>,
    events: mpsc::UnboundedSender<(HostName, SessionEvent)>,
) {
    let mut pause_ms = REDIAL_MS;
    loop {
        let connecting = timeout(Duration::from_millis(CONNECT_MS), TcpStream::connect(&address)).await;
        if let Ok(Ok(stream)) = connecting {
            // Orders for an earlier session are sent again after the host has said what runs there.
            while orders.try_recv().is_ok() {}
            if events.send((host.clone(), SessionEvent::Opened)).is_err() {
                return;
            }
            let mut answered = None;
            let began = Instant::now();
            lead(&leading, &host, stream, &mut orders, &events, &mut answered).await;
            if events.send((host.clone(), SessionEvent::Closed { answered })).is_err() {
                return;
            }
            if began.elapsed() > Duration::from_millis(SILENCE_MS) {
                pause_ms = REDIAL_MS;
            }
        }
        sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(LONGEST_REDIAL_MS);
    }
}

async fn lead(
    leading: &Leading,
    host: &HostName,
    stream: TcpStream,
    orders: &mut mpsc::UnboundedReceiver<ToAgent>,
    events: &mpsc::UnboundedSender<(HostName, SessionEvent)>,
    answered: &mut Option<TimeMs>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: error={e}");
    }
    let (read_half, mut writer) = stream.into_split();
    let mut reader = BufReader::new(read_half);
    let hello = ToAgent::Hello { epoch: leading.epoch.get(), leader: leading.name.clone() };
    if send(&mut writer, &[hello]).await.is_err() {
        return;
    }
    let (said_sender, mut said) = mpsc::unbounded_channel();
    let reading = tokio::task::spawn_local(async move {
        while let Ok(message) = message::read::<ToLeader>(&mut reader).await {
            if said_sender.send(message).is_err() {
                break;
            }
        }
    });
    loop {
        let mut messages = Vec::new();
        tokio::select! {
            message = said.recv() => match message {
                None => break,
                Some(ToLeader::Superseded { epoch }) => {
                    log::warn!("superseded: host={host} own_epoch={} later_epoch={epoch}", leading.epoch.get());
                    leading.superseded.set(true);
                    break;
                }
                Some(ToLeader::Ask { asked_ms }) => {
                    let mut grant_ms = 0;
                    if leading.holds() {
                        grant_ms = leading.plan.grant_ms;
                        *answered = Some(leading.clock.now());
                    }
                    messages.push(ToAgent::Grant { asked_ms, grant_ms });
                }
                Some(message) => {
                    if events.send((host.clone(), SessionEvent::Said(message))).is_err() {
                        break;
                    }
                }
            },
            order = orders.recv() => {
                let Some(order) = order else { break };
                messages.push(order);
            }
            () = sleep(Duration::from_millis(SILENCE_MS)) => break,
        }
        while let Ok(order) = orders.try_recv() {
            messages.push(order);
        }
        if !messages.is_empty() && send(&mut writer, &messages).await.is_err() {
            break;
        }
    }
    reading.abort();
}
