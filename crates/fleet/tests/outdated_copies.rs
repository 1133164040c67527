//! Tests of a leader whose copy of the store is out of date, because it could not read for some seconds.

mod support;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{
        HostInfo, JobId, JobSpec, JobStatus, QueueSettings, RunOutcome, StepSpec, TaskRef, lease::LeasePlan,
        progress::TaskState,
    },
    units::{Resources, TimeMs},
};
use fescuelead_fleet::{
    agent::Agent,
    clock::Clock,
    entry::{Entry, EntryConfig},
    metrics::{AgentMetrics, EntryMetrics},
    routing::{OperatorChange, RoutingConfig},
    store::{JobRecord, Record, Stream},
};
use rstest::rstest;
use support::{MemoryEndpoint, MemoryStore};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet, LocalSet, spawn_local},
    time::{Instant, sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;

const JOB: JobId = JobId(7);
const FIRST_TASK: TaskRef = TaskRef { job: JOB, occurrence: 0, step: 0, index: 0 };
const SECOND_TASK: TaskRef = TaskRef { step: 1, ..FIRST_TASK };
const HOST: &str = "host-a";
const ZONE: &str = "zone-a";
/// The key of the record that takes [`ZONE`] out of service.
const ZONE_OUT_KEY: &str = "zone-out";
/// How long a condition is waited for, in milliseconds.
const WAIT_MS: u64 = 10_000;
/// The bound of the platform for starts after an acknowledged cancellation, in milliseconds.
const CANCEL_MS: u64 = 3_000;
/// How long a start is watched for that must not happen, in milliseconds: longer than a leader takes to send it.
const WATCH_MS: u64 = 1_500;

/// What forbids the start of [`SECOND_TASK`] while the leader cannot read the store.
#[derive(Debug, Clone, Copy)]
enum Change {
    Cancelled,
    ZoneOut,
}

/// An entry with a path of its own to the shared store.
struct Process {
    entry: Rc<Entry>,
    store: MemoryStore,
}

impl Process {
    fn start(name: &str, shared: &MemoryStore, clock: Clock) -> Self {
        let store = shared.with_separate_faults();
        let config = EntryConfig {
            name: name.to_owned(),
            plan: LeasePlan::new(6_000),
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
struct Proxy {
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
    fn cut(&self) {
        self.forwarding.abort();
    }

    async fn restore(&mut self) {
        let listener = TcpListener::bind(self.address).await.expect("the same port");
        self.forwarding = spawn_local(Self::forward(listener, self.agent));
    }
}

/// Two entries, of which the first leads, and an agent.
struct Fleet {
    leader: Process,
    other: Process,
    shared: MemoryStore,
    clock: Clock,
    endpoint: MemoryEndpoint,
    proxy: Proxy,
    _agent: Rc<Agent>,
}

impl Fleet {
    async fn start() -> Self {
        let shared = MemoryStore::default();
        shared.put(Stream::Operator, Record::new("config", vec![1]));
        let clock = Clock::Runtime { start: Instant::now(), unix_ms: 1_700_000_000_000 };
        let endpoint = MemoryEndpoint::default();
        let (agent, proxy) = start_agent(&endpoint, clock).await;
        shared.put(Stream::Hosts, Record::new(HOST, proxy.address.to_string().into_bytes()));
        let leader = Process::start("a", &shared, clock);
        wait_until("the host is connected", || leader.entry.metrics().hosts_connected.get() == 1).await;
        let other = Process::start("b", &shared, clock);
        wait_until("the other entry is ready", || other.entry.is_ready()).await;
        Self { leader, other, shared, clock, endpoint, proxy, _agent: agent }
    }

    fn deadline(&self) -> TimeMs {
        self.clock.now().plus_ms(3_000)
    }

    async fn submit(&self, job: JobId) {
        self.leader.entry.submit(job, spec(), self.deadline()).await.expect("the job is accepted");
    }

    fn has_started(&self, task: TaskRef) -> bool {
        self.endpoint.started.borrow().iter().any(|(started, _)| *started == task)
    }

    /// Lets the leader lose the store, then makes a change that the other entry confirms, then lets that one lose the store
    /// as well, before it takes over.
    async fn change_unseen(&self, change: Change) {
        self.leader.store.down.set(true);
        wait(100).await;
        match change {
            Change::Cancelled => {
                assert_eq!(self.other.entry.cancel(JOB, self.deadline()).await, Ok(true));
            }
            Change::ZoneOut => self.shared.put(Stream::Operator, Record::new(ZONE_OUT_KEY, vec![1])),
        }
        wait(100).await;
        self.other.store.down.set(true);
    }

    /// Whether the store holds the assignment of a task of [`JOB`].
    fn is_assignment_stored(&self, task: TaskRef) -> bool {
        self.shared.records(Stream::Progress).iter().any(|record| match JobRecord::decode(record) {
            Ok(JobRecord::Progressed(JOB, progress)) => {
                progress.task(&task).is_some_and(|task| matches!(task.state, TaskState::Assigned { .. }))
            }
            _ => false,
        })
    }

    /// Checks that the leader still serves: a job that is submitted now starts.
    async fn assert_serves(&self) {
        let later = JobId(8);
        self.submit(later).await;
        wait_until("a later job starts", || self.has_started(TaskRef { job: later, ..FIRST_TASK })).await;
    }
}

async fn start_agent(endpoint: &MemoryEndpoint, clock: Clock) -> (Rc<Agent>, Proxy) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let proxy = Proxy::open(listener.local_addr().expect("an address")).await;
    let (plan, metrics) = (LeasePlan::new(6_000), AgentMetrics::default());
    let agent = Agent::new(HOST.to_owned(), Box::new(endpoint.clone()), plan, clock, metrics);
    spawn_local(agent.clone().run(listener, CancellationToken::new()));
    let info = HostInfo {
        service: "desk".to_owned(),
        availability_zone: ZONE.to_owned(),
        capacity: Resources::new(4_000, 1_000),
        ..HostInfo::default()
    };
    agent.handle_announcement(Some(1), info);
    (agent, proxy)
}

fn decode_operator_record(record: &Record) -> Result<OperatorChange, String> {
    if record.key == ZONE_OUT_KEY {
        return Ok(OperatorChange::ZoneOut(ZONE.to_owned()));
    }
    Ok(OperatorChange::Configured(RoutingConfig::new(1, [])))
}

/// A job of two steps with one task each.
fn spec() -> JobSpec {
    let first = StepSpec { tasks: 1, estimate_ms: 500, ..StepSpec::default() };
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

async fn wait(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_millis(WAIT_MS);
    while !condition() {
        assert!(Instant::now() < until, "not within {WAIT_MS} ms: {what}");
        wait(5).await;
    }
}

async fn run_local<F: Future<Output = ()>>(test: F) {
    LocalSet::new().run_until(test).await;
}

/// Guards against starts of tasks whose job was cancelled, or in an availability zone that was taken out, seconds before: the
/// leader could not read that, and stored and sent what it had decided as soon as its appends succeeded again.
#[rstest]
#[tokio::test]
async fn a_leader_that_has_missed_a_change_starts_nothing_before_it_has_read_it(
    #[values(Change::Cancelled, Change::ZoneOut)] change: Change,
) {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.submit(JOB).await;
        wait_until("the first step starts", || fleet.has_started(FIRST_TASK)).await;
        fleet.change_unseen(change).await;
        fleet.endpoint.end(FIRST_TASK, RunOutcome::Done);
        wait(CANCEL_MS + 500).await;
        fleet.leader.store.unreadable.set(true);
        fleet.leader.store.down.set(false);
        wait_until("the assignment is stored", || fleet.is_assignment_stored(SECOND_TASK)).await;
        wait(WATCH_MS).await;
        assert!(!fleet.has_started(SECOND_TASK), "started before the store was read");
        fleet.leader.store.unreadable.set(false);
        fleet.other.store.down.set(false);
        wait(WATCH_MS).await;
        assert!(!fleet.has_started(SECOND_TASK), "started after the store was read");
        if let Change::Cancelled = change {
            assert_eq!(fleet.leader.entry.status(JOB).await, Ok(Some(JobStatus::Cancelled)));
            fleet.assert_serves().await;
        }
    })
    .await;
}

/// Guards against the same start on another path: the order was lost with the session of its host, and the leader repeated it in
/// the next session without a call to the store.
#[tokio::test]
async fn a_lost_order_is_not_repeated_by_a_leader_that_cannot_read() {
    run_local(async {
        let mut fleet = Fleet::start().await;
        fleet.shared.slow_ms.set(300);
        fleet.submit(JOB).await;
        // While the assignment is being stored.
        wait(100).await;
        fleet.proxy.cut();
        wait_until("the assignment is stored", || fleet.is_assignment_stored(FIRST_TASK)).await;
        fleet.shared.slow_ms.set(0);
        wait(500).await;
        assert!(!fleet.has_started(FIRST_TASK), "the order was not lost");
        fleet.change_unseen(Change::Cancelled).await;
        wait(CANCEL_MS).await;
        fleet.leader.store.unreadable.set(true);
        fleet.leader.store.down.set(false);
        fleet.proxy.restore().await;
        wait_until("the host is connected", || fleet.leader.entry.metrics().hosts_connected.get() == 1).await;
        wait(WATCH_MS).await;
        assert!(!fleet.has_started(FIRST_TASK), "started before the store was read");
        fleet.leader.store.unreadable.set(false);
        fleet.other.store.down.set(false);
        wait(WATCH_MS).await;
        assert!(!fleet.has_started(FIRST_TASK), "started after the store was read");
        assert_eq!(fleet.leader.entry.status(JOB).await, Ok(Some(JobStatus::Cancelled)));
        fleet.assert_serves().await;
    })
    .await;
}

/// Guards against a start long after the cancellation of its job was acknowledged, though no process decided late: the leader sent
/// the order shortly after its latest read, and the agent repeated it while the endpoint could not carry it out.
#[tokio::test]
async fn an_order_expires_with_the_copies_that_it_is_based_on() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.submit(JOB).await;
        wait_until("the first step starts", || fleet.has_started(FIRST_TASK)).await;
        // The leader reads the operators' records when there is one and again when it has waited in vain, and the jobs when it is
        // asked for one that it does not know.
        fleet.shared.put(Stream::Operator, Record::new("config", vec![1]));
        wait(1_600).await;
        assert_eq!(fleet.leader.entry.status(JobId(99)).await, Ok(None));
        let read_at = Instant::now();
        fleet.leader.store.unreadable.set(true);
        assert_eq!(fleet.other.entry.cancel(JOB, fleet.deadline()).await, Ok(true));
        let cancelled_at = Instant::now();
        fleet.endpoint.misdirect_starts.set(u32::MAX);
        sleep_until(read_at + Duration::from_millis(800)).await;
        fleet.endpoint.end(FIRST_TASK, RunOutcome::Done);
        wait_until("the order reaches the endpoint", || fleet.endpoint.misdirect_starts.get() < u32::MAX).await;
        sleep_until(cancelled_at + Duration::from_millis(CANCEL_MS + 50)).await;
        fleet.endpoint.misdirect_starts.set(0);
        wait(WATCH_MS).await;
        assert!(!fleet.has_started(SECOND_TASK), "started over {CANCEL_MS} ms after the cancellation");
        fleet.leader.store.unreadable.set(false);
        fleet.assert_serves().await;
    })
    .await;
}

/// Guards against starts that wait for a copy that never becomes recent: the store answers slowly, but it does answer.
#[tokio::test]
async fn a_leader_of_a_slow_store_starts_tasks() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.shared.slow_ms.set(450);
        fleet.submit(JOB).await;
        wait_until("the first step starts", || fleet.has_started(FIRST_TASK)).await;
    })
    .await;
}
