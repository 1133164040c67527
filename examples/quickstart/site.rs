//! A small site on loopback: stand-ins of the platform, agents and entries, all in one process.

use std::{net::SocketAddr, sync::Arc};

use fescuelead_core::{ids::ServiceName, units::Resources};
use fescuelead_standin::{endpoint::EndpointStandin, ledger::Ledger, log::LogStandin, worker::WorkerStandin};
use fescueleadd::{
    agent, entry,
    lifecycle::{Running, Serving},
    settings::{Role, Settings},
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The token of operators at this site.
pub const OPERATOR_TOKEN: &str = "quickstart-operator-token";
const ANY_PORT: &str = "127.0.0.1:0";

/// What a site consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    zones: usize,
    hosts: usize,
    entries: usize,
    cells: usize,
    capacity: Resources,
    services: Vec<String>,
    work_ms: u64,
}

/// One host: its worker, its agent and its endpoint.
pub struct Host {
    /// The worker.
    pub worker: WorkerStandin,
    /// The endpoint.
    pub endpoint: EndpointStandin,
    /// The agent.
    pub agent: Running<Serving>,
    endpoint_address: SocketAddr,
    endpoint_token: CancellationToken,
}

/// A running site.
pub struct Site {
    plan: Plan,
    /// Keys of this site alone. Sites that run at the same time reuse each other's ports, and an agent that looks for an entry that
    /// has ended would otherwise join the one that has its port now.
    peer_keys: String,
    /// The log service.
    pub log: LogStandin,
    /// All starts and ends of tasks on all workers.
    pub ledger: Ledger,
    /// When the ledger's time began.
    pub ledger_start: Instant,
    /// The entries.
    pub entries: Vec<Running<Serving>>,
    /// The hosts.
    pub hosts: Vec<Host>,
}

impl Plan {
    /// A site with `hosts` hosts spread over `zones` availability zones, three to a rack, and one entry.
    pub fn new(zones: usize, hosts: usize) -> Self {
        let capacity = Resources::new(30_000, 128_000);
        Self { zones, hosts, entries: 1, cells: 1, capacity, services: Vec::new(), work_ms: 2 }
    }

    /// Adds a service; hosts serve the services in turn.
    pub fn with_service(mut self, service: &str) -> Self {
        self.services.push(service.to_owned());
        self
    }

    /// Sets the number of entries.
    pub fn with_entries(self, entries: usize) -> Self {
        Self { entries, ..self }
    }

    /// Sets the number of cells; entries and hosts belong to the cells in turn.
    pub fn with_cells(self, cells: usize) -> Self {
        Self { cells, ..self }
    }

    /// Sets what each worker has.
    pub fn with_capacity(self, capacity: Resources) -> Self {
        Self { capacity, ..self }
    }

    /// Sets how long an endpoint works on a request.
    pub fn with_work_ms(self, work_ms: u64) -> Self {
        Self { work_ms, ..self }
    }

    /// The cell of the entry or host with this number.
    pub fn cell(&self, index: usize) -> usize {
        index % self.cells
    }

    /// The availability zone of a host.
    pub fn zone(&self, host: usize) -> String {
        format!("az-{}", host % self.zones + 1)
    }
}

impl Site {
    /// Starts everything.
    pub async fn start(plan: Plan) -> anyhow::Result<Self> {
        let mut site = Self {
            plan: plan.clone(),
            peer_keys: format!("k1:{:032x}", rand::random::<u128>()),
            log: LogStandin::new(),
            ledger: Ledger::new(),
            ledger_start: Instant::now(),
            entries: Vec::new(),
            hosts: Vec::new(),
        };
        for index in 0..plan.entries {
            let entry = site.start_entry(index).await?;
            site.entries.push(entry);
        }
        for index in 0..plan.hosts {
            let host = site.start_host(index).await?;
            site.hosts.push(host);
        }
        Ok(site)
    }

    /// Starts an entry with this number in its name.
    pub async fn start_entry(&self, index: usize) -> anyhow::Result<Running<Serving>> {
        self.start_entry_with(index, &[]).await
    }

    /// Starts an entry that may take copies from the entries at these addresses.
    pub async fn start_entry_with(&self, index: usize, peers: &[SocketAddr]) -> anyhow::Result<Running<Serving>> {
        let name = format!("entry-{index}");
        let (zone, cell) = (self.plan.zone(index), self.plan.cell(index).to_string());
        let peers: Vec<_> = peers.iter().map(ToString::to_string).collect();
        let mut arguments = vec![
            "fescueleadd",
            "--role",
            "entry",
            "--cell",
            &cell,
            "--name",
            &name,
            "--availability-zone",
            &zone,
            "--peer-keys",
            &self.peer_keys,
            "--operator-token",
            OPERATOR_TOKEN,
            "--log-address",
            ANY_PORT,
            "--probe-grace-ms",
            "100",
        ];
        let peers = peers.join(",");
        if !peers.is_empty() {
            arguments.extend(["--peers", &peers]);
        }
        match Settings::parse_from(arguments)?.role {
            Role::Entry(settings) => entry::start(settings, Arc::new(self.log.client(name))).await,
            Role::Agent(_) => anyhow::bail!("the settings name another role"),
        }
    }

    async fn start_host(&self, index: usize) -> anyhow::Result<Host> {
        let worker =
            WorkerStandin::new(format!("worker-{index}")).with_ledger(&self.ledger).with_capacity(self.plan.capacity);
        let agent = self.start_agent(index, &worker).await?;
        let service = &self.plan.services[index % self.plan.services.len()];
        let endpoint = EndpointStandin::new(ServiceName::new(service)?).with_work_ms(self.plan.work_ms);
        let endpoint_token = CancellationToken::new();
        let address = endpoint.serve(ANY_PORT.parse()?, endpoint_token.clone()).await?;
        drop(endpoint.announce(address, agent.addresses().api, endpoint_token.clone()));
        Ok(Host { worker, endpoint, agent, endpoint_address: address, endpoint_token })
    }

    /// Starts the next run of a host's agent, beside whatever the worker still runs.
    pub async fn restart_agent(&mut self, index: usize) -> anyhow::Result<()> {
        let agent = self.start_agent(index, &self.hosts[index].worker).await?;
        let host = &mut self.hosts[index];
        let api = agent.addresses().api;
        host.agent = agent;
        drop(host.endpoint.announce(host.endpoint_address, api, host.endpoint_token.clone()));
        Ok(())
    }

    /// Starts the next run of an entry, under its old name.
    pub async fn restart_entry(&mut self, index: usize) -> anyhow::Result<()> {
        self.entries[index] = self.start_entry(index).await?;
        Ok(())
    }

    /// Starts the agent of a worker.
    pub async fn start_agent(&self, index: usize, worker: &WorkerStandin) -> anyhow::Result<Running<Serving>> {
        self.start_agent_of(self.plan.cell(index), index, worker).await
    }

    /// Starts the agent of a worker, with a cell of its own choice and the entries of the host's cell.
    pub async fn start_agent_of(
        &self,
        cell: usize,
        index: usize,
        worker: &WorkerStandin,
    ) -> anyhow::Result<Running<Serving>> {
        let cell = cell.to_string();
        let (name, rack) = (format!("agent-{index}"), format!("rack-{}", index / 3 + 1));
        let zone = self.plan.zone(index);
        let own_cell = (0..self.entries.len()).filter(|entry| self.plan.cell(*entry) == self.plan.cell(index));
        let entries: Vec<_> =
            own_cell.filter_map(|entry| self.entries[entry].addresses().peer).map(|a| a.to_string()).collect();
        let settings = Settings::parse_from([
            "fescueleadd",
            "--role",
            "agent",
            "--cell",
            &cell,
            "--name",
            &name,
            "--availability-zone",
            &zone,
            "--rack",
            &rack,
            "--peer-keys",
            &self.peer_keys,
            "--worker-address",
            ANY_PORT,
            "--entries",
            &entries.join(","),
            "--probe-grace-ms",
            "100",
            "--heartbeat-ms",
            "200",
        ])?;
        match settings.role {
            Role::Agent(settings) => agent::start(settings, Arc::new(worker.clone())).await,
            Role::Entry(_) => anyhow::bail!("the settings name another role"),
        }
    }

    /// Where an entry takes requests.
    pub fn request_address(&self, entry: usize) -> SocketAddr {
        self.entries[entry].addresses().request
    }

    /// Where an entry has its API.
    pub fn api_address(&self, entry: usize) -> SocketAddr {
        self.entries[entry].addresses().api
    }

    /// The cell of the entry or host with this number.
    pub fn cell(&self, index: usize) -> usize {
        self.plan.cell(index)
    }

    /// The number of cells.
    pub fn cells(&self) -> usize {
        self.plan.cells
    }

    /// The availability zone of a host.
    pub fn zone(&self, host: usize) -> String {
        self.plan.zone(host)
    }
}

impl Host {
    /// Stops the agent gracefully, then the endpoint. Returns the number of connections that were cut off.
    pub async fn stop(self) -> usize {
        let cut_off = self.agent.drain().await.finish().await;
        self.endpoint_token.cancel();
        cut_off
    }

    /// Ends the host at once: endpoint, agent and worker.
    pub fn crash(&mut self) {
        self.endpoint_token.cancel();
        self.agent.abort();
        self.worker.faults().update(|faults| faults.down = true);
        self.worker.crash();
    }
}
