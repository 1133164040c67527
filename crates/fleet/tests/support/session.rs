//! An agent in the test process, and the leader's end of a session with it.

use std::{rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{HostInfo, JobId, RunProgress, Suspicion, TaskRef, lease::LeasePlan},
    units::Resources,
};
use fescuelead_fleet::{
    agent::Agent,
    clock::Clock,
    message::{self, Start, ToAgent, ToLeader},
    metrics::AgentMetrics,
};
use tokio::{
    io::{BufReader, DuplexStream, ReadHalf, WriteHalf},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use super::MemoryEndpoint;

/// The task that [`Leader::start`] starts.
pub const TASK: TaskRef = TaskRef { job: JobId(7), occurrence: 0, step: 0, index: 0 };
/// How long the leader grants a lease, in milliseconds.
pub const GRANT_MS: u64 = 5_000;

/// The leader's end of a session with the agent.
pub struct Leader {
    reader: BufReader<ReadHalf<DuplexStream>>,
    writer: WriteHalf<DuplexStream>,
    /// Whether requests for grants are granted.
    pub grants: bool,
    /// How long granted leases last, in milliseconds.
    pub grant_ms: u64,
    /// When the latest request for a grant was sent, in milliseconds on the agent's clock.
    pub asked_ms: u64,
    /// What the latest request for a grant suspects.
    pub suspicion: Option<Suspicion>,
    /// All progress that requests for grants have stated.
    pub progress: Vec<RunProgress>,
}

impl Leader {
    /// Opens a session with an agent.
    pub async fn connect(agent: &Rc<Agent>, epoch: u64) -> Self {
        let (leader_end, agent_end) = tokio::io::duplex(1 << 20);
        spawn_local(agent.clone().session(agent_end));
        let (reader, writer) = tokio::io::split(leader_end);
        let mut leader = Self {
            reader: BufReader::new(reader),
            writer,
            grants: true,
            grant_ms: GRANT_MS,
            asked_ms: 0,
            suspicion: None,
            progress: Vec::new(),
        };
        leader.send(ToAgent::Hello { epoch, leader: "leader".to_owned() }).await;
        leader
    }

    /// Sends a message to the agent.
    ///
    /// # Panics
    ///
    /// If the session has ended.
    pub async fn send(&mut self, message: ToAgent) {
        message::write(&mut self.writer, &[message]).await.expect("the session is open");
    }

    /// Sends a message to the agent, whose session may have ended.
    pub async fn send_late(&mut self, message: ToAgent) {
        // A message to an ended session has no effect.
        drop(message::write(&mut self.writer, &[message]).await);
    }

    /// Orders the start of a run of [`TASK`] on the first incarnation.
    pub async fn start(&mut self, run: u32) {
        self.send(ToAgent::Start(start_order(TASK, run))).await;
    }

    /// Receives messages for `ms` milliseconds, and answers the requests for grants among them.
    pub async fn receive_for(&mut self, ms: u64) -> Vec<ToLeader> {
        let mut received = Vec::new();
        let until = Instant::now() + Duration::from_millis(ms);
        while let Ok(Ok(message)) = tokio::time::timeout_at(until, message::read::<ToLeader>(&mut self.reader)).await {
            match message {
                ToLeader::Ask { asked_ms, suspicion, progress, .. } => {
                    self.asked_ms = asked_ms;
                    self.suspicion = suspicion;
                    self.progress.extend(progress);
                    let grant_ms = if self.grants { self.grant_ms } else { 0 };
                    self.send(ToAgent::Grant { asked_ms, grant_ms }).await;
                }
                message => received.push(message),
            }
        }
        // A session that has ended delivers nothing.
        tokio::time::sleep_until(until).await;
        received
    }
}

/// An order to start a run on the first incarnation.
pub fn start_order(task: TaskRef, run: u32) -> Start {
    Start {
        incarnation: 1,
        task,
        run,
        payload: "render".to_owned(),
        checkpoint: None,
        cpu_milli: 1_000,
        background: false,
        tail_target_ms: None,
        image: None,
        memory_mib: 0,
        accelerators: 0,
        expires_at_ms: None,
    }
}

/// What the endpoint announces.
pub fn info() -> HostInfo {
    HostInfo { service: "desk".to_owned(), capacity: Resources::new(4_000, 1_000), ..HostInfo::default() }
}

/// Starts an agent that no leader has connected to yet.
pub async fn start_agent(endpoint: &MemoryEndpoint) -> Rc<Agent> {
    let agent = start_agent_without_announcement(endpoint).await;
    agent.handle_announcement(Some(1), info());
    sleep(Duration::from_millis(100)).await;
    agent
}

/// Starts an agent whose endpoint has sent no heartbeat yet.
///
/// # Panics
///
/// If no port can be bound.
pub async fn start_agent_without_announcement(endpoint: &MemoryEndpoint) -> Rc<Agent> {
    start_agent_until(endpoint, CancellationToken::new()).await
}

/// Starts such an agent, whose process ends when `stop` is cancelled.
///
/// # Panics
///
/// If no port can be bound.
pub async fn start_agent_until(endpoint: &MemoryEndpoint, stop: CancellationToken) -> Rc<Agent> {
    start_agent_with_lease(endpoint, 6_000, stop).await
}

/// Starts such an agent, whose endpoint accepts leases of up to `max_lease_ms` milliseconds.
///
/// # Panics
///
/// If no port can be bound.
pub async fn start_agent_with_lease(
    endpoint: &MemoryEndpoint,
    max_lease_ms: u64,
    stop: CancellationToken,
) -> Rc<Agent> {
    let clock = Clock::Runtime { start: Instant::now(), unix_ms: 1_700_000_000_000 };
    let agent = Agent::new(
        "host-a".to_owned(),
        Box::new(endpoint.clone()),
        LeasePlan::new(max_lease_ms),
        clock,
        AgentMetrics::default(),
    );
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    spawn_local(agent.clone().run(listener, stop));
    agent
}

/// Runs a test that spawns local tasks.
pub async fn run_local<F: Future<Output = ()>>(test: F) {
    LocalSet::new().run_until(test).await;
}
