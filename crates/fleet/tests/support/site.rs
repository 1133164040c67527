//! Entries and agents in the test process, each with a path of its own to the store and to its leader.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{HostInfo, JobSpec, QueueSettings, StepSpec, lease::LeasePlan},
    units::Resources,
};
use fescuelead_fleet::{
    agent::Agent,
    clock::Clock,
    entry::{Entry, EntryConfig},
    metrics::{AgentMetrics, EntryMetrics},
    routing::{OperatorChange, RoutingConfig},
    store::{Record, Stream},
};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet, spawn_local},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use super::{MemoryEndpoint, MemoryStore};

/// The prefix of the key of a record that states whether an availability zone is out of service.
const ZONE_KEY_PREFIX: &str = "zone:";

/// An entry with a path of its own to the shared store.
pub struct Process {
    /// The entry.
    pub entry: Rc<Entry>,
    /// The entry's path to the store.
    pub store: MemoryStore,
}

impl Process {
    /// Starts an entry with the given lease durations.
    pub fn start(name: &str, shared: &MemoryStore, clock: Clock, plan: LeasePlan) -> Self {
        let store = shared.with_separate_faults();
        let config = EntryConfig {
            name: name.to_owned(),
            plan,
            clock,
            decode_operator_record,
            metrics: EntryMetrics::default(),
        };
        let entry = Entry::new(config, Box::new(store.clone()));
        spawn_local(entry.clone().run(CancellationToken::new()));
        Self { entry, store }
    }
}

/// A connection to an agent that can be cut.
pub struct Proxy {
    address: SocketAddr,
    agent: SocketAddr,
    forwarding: JoinHandle<()>,
}

impl Proxy {
    async fn open(agent: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        Self { address, agent, forwarding: spawn_local(Self::forward(listener, agent)) }
    }

    async fn forward(listener: TcpListener, agent: SocketAddr) {
        let mut connections = JoinSet::new();
        while let Ok((mut from_leader, _)) = listener.accept().await {
            connections.spawn_local(async move {
                if let Ok(mut to_agent) = TcpStream::connect(agent).await {
                    // Either side may close the connection at any time.
                    drop(copy_bidirectional(&mut from_leader, &mut to_agent).await);
                }
            });
        }
    }

    /// Closes all connections and refuses new ones.
    pub async fn cut(&mut self) {
        self.forwarding.abort();
        // Fails because it was aborted. The port is free afterwards.
        drop((&mut self.forwarding).await);
    }

    /// Accepts connections again.
    ///
    /// # Panics
    ///
    /// If the port was taken meanwhile.
    pub async fn restore(&mut self) {
        let listener = TcpListener::bind(self.address).await.expect("the same port");
        self.forwarding = spawn_local(Self::forward(listener, self.agent));
    }
}

/// A host: an endpoint, its agent, and the connection that leaders open to the agent.
pub struct Host {
    /// The endpoint of the host.
    pub endpoint: MemoryEndpoint,
    /// The connection of leaders to the agent.
    pub proxy: Proxy,
    _agent: Rc<Agent>,
}

impl Host {
    /// Starts an agent and announces its address to the store.
    ///
    /// # Panics
    ///
    /// If no port can be bound.
    pub async fn start(name: &str, zone: &str, shared: &MemoryStore, clock: Clock) -> Self {
        let endpoint = MemoryEndpoint::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let proxy = Proxy::open(listener.local_addr().expect("an address")).await;
        let (plan, metrics) = (LeasePlan::new(6_000), AgentMetrics::default());
        let agent = Agent::new(name.to_owned(), Box::new(endpoint.clone()), plan, clock, metrics);
        spawn_local(agent.clone().run(listener, CancellationToken::new()));
        let info = HostInfo {
            service: "desk".to_owned(),
            availability_zone: zone.to_owned(),
            capacity: Resources::new(4_000, 1_000),
            ..HostInfo::default()
        };
        agent.handle_announcement(Some(1), info);
        shared.put(Stream::Hosts, Record::new(name, proxy.address.to_string().into_bytes()));
        Self { endpoint, proxy, _agent: agent }
    }
}

/// The record of an operator that takes an availability zone out of service or puts it back.
pub fn zone_record(zone: &str, is_out: bool) -> Record {
    Record::new(format!("{ZONE_KEY_PREFIX}{zone}"), vec![u8::from(is_out)])
}

/// Decodes a [`zone_record`], and takes any other record for a configuration.
fn decode_operator_record(record: &Record) -> Result<OperatorChange, String> {
    Ok(match record.key.strip_prefix(ZONE_KEY_PREFIX) {
        Some(zone) if record.value == Some(vec![1]) => OperatorChange::ZoneOut(zone.to_owned()),
        Some(zone) => OperatorChange::ZoneIn(zone.to_owned()),
        None => OperatorChange::Configured(RoutingConfig::new(1, [])),
    })
}

/// A job of two steps, of which the second one waits for the first.
pub fn two_step_job(tasks: u32) -> JobSpec {
    let first = StepSpec { tasks, estimate_ms: 500, ..StepSpec::default() };
    JobSpec {
        queue: "previews".to_owned(),
        settings: QueueSettings {
            service: "desk".to_owned(),
            priority: 0,
            max_failures: 3,
            stretch_percent: 150,
            latency_ms: 250,
        },
        accepted_unix_ms: 0,
        payload: String::new(),
        steps: vec![first.clone(), StepSpec { after: vec![0], ..first }],
        repeat: None,
    }
}

/// Waits in the time of the runtime.
pub async fn wait(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}
