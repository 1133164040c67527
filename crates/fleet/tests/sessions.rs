//! Tests of the leader's sessions with agents that lose their connection, stop responding or change their address.

mod support;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use async_trait::async_trait;
use fescuelead_core::{
    jobs::{HostInfo, JobId, JobSpec, QueueSettings, StepSpec, TaskRef, lease::LeasePlan},
    units::Resources,
};
use fescuelead_fleet::{
    clock::Clock,
    entry::{Entry, EntryConfig},
    message::{self, ToAgent, ToLeader},
    metrics::EntryMetrics,
    routing::{OperatorChange, Route, RoutingConfig},
    store::{JobRecord, LeaderMark, Page, Record, Store, StoreError, Stream},
};
use support::MemoryStore;
use tokio::{
    io::BufReader,
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

const INCARNATION: u64 = 5;
/// How long a condition is waited for, in milliseconds: three times the time after which an unreachable host counts as
/// lost.
const WAIT_MS: u64 = 16_000;
const POLL_INTERVAL_MS: u64 = 10;

/// A store whose appends by a leader fail without an effect while `held` is set.
#[derive(Clone)]
struct HeldStore {
    inner: MemoryStore,
    held: Rc<Cell<bool>>,
}

#[async_trait(?Send)]
impl Store for HeldStore {
    async fn newest(&self, stream: Stream) -> Result<Page, StoreError> {
        self.inner.newest(stream).await
    }

    async fn read(&self, stream: Stream, from: u64, wait_ms: u64) -> Result<Page, StoreError> {
        self.inner.read(stream, from, wait_ms).await
    }

    async fn append(&self, stream: Stream, records: &[Record], mark: Option<LeaderMark>) -> Result<u64, StoreError> {
        if self.held.get() && stream == Stream::Progress {
            wait(POLL_INTERVAL_MS).await;
            return Err(StoreError::NotDone("held".to_owned()));
        }
        self.inner.append(stream, records, mark).await
    }
}

fn settings() -> QueueSettings {
    QueueSettings { service: "desk".to_owned(), priority: 0, max_failures: 3, stretch_percent: 150, latency_ms: 250 }
}

fn decode_operator_record(_: &Record) -> Result<OperatorChange, String> {
    let route = Route {
        queue: "previews".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/previews/".to_owned(),
        settings: settings(),
    };
    Ok(OperatorChange::Configured(RoutingConfig::new(1, [route])))
}

/// A job of one long-running task.
fn long_running_job() -> JobSpec {
    let step = StepSpec {
        tasks: 1,
        estimate_ms: 500,
        long_running: true,
        resources: Resources::new(100, 100),
        ..StepSpec::default()
    };
    JobSpec {
        queue: "previews".to_owned(),
        settings: settings(),
        accepted_unix_ms: 0,
        payload: "render".to_owned(),
        steps: vec![step],
        repeat: None,
    }
}

fn info() -> HostInfo {
    HostInfo { service: "desk".to_owned(), capacity: Resources::new(4_000, 1_000), ..HostInfo::default() }
}

/// An agent that runs whatever it is told to.
struct FakeAgent {
    address: SocketAddr,
    /// Whether the endpoint responds, so that the host can run tasks.
    available: Cell<bool>,
    /// Whether the agent neither reads nor sends. Connections to it still open.
    frozen: Cell<bool>,
    /// Whether the agent reads, but what it sends is lost.
    muted: Cell<bool>,
    /// Whether the open session is to end. Reset when it has.
    disconnect: Cell<bool>,
    /// The number of sessions that leaders have opened.
    sessions: Cell<u32>,
    /// All runs that the agent was told to start, in order.
    started: RefCell<Vec<(TaskRef, u32)>>,
}

impl FakeAgent {
    async fn start(available: bool) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let agent = Rc::new(Self {
            address: listener.local_addr().expect("an address"),
            available: Cell::new(available),
            frozen: Cell::default(),
            muted: Cell::default(),
            disconnect: Cell::default(),
            sessions: Cell::default(),
            started: RefCell::default(),
        });
        spawn_local(agent.clone().serve(listener));
        agent
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            self.thaw().await;
            spawn_local(self.clone().session(stream));
        }
    }

    async fn thaw(&self) {
        while self.frozen.get() {
            wait(POLL_INTERVAL_MS).await;
        }
    }

    async fn session(self: Rc<Self>, stream: TcpStream) {
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let Ok(ToAgent::Hello { .. }) = message::read(&mut reader).await else { return };
        self.sessions.set(self.sessions.get() + 1);
        let agent = self.clone();
        let reading = spawn_local(async move {
            loop {
                agent.thaw().await;
                match message::read(&mut reader).await {
                    Ok(ToAgent::Start(start)) => agent.started.borrow_mut().push((start.task, start.run)),
                    Ok(_) => {}
                    Err(_) => return,
                }
            }
        });
        let mut available = self.available.get();
        let running = self.started.borrow().clone();
        let mut messages =
            vec![ToLeader::Info(available.then(info)), ToLeader::Runs { incarnation: INCARNATION, running }];
        while !self.disconnect.take() && !reading.is_finished() {
            self.thaw().await;
            messages.push(ToLeader::Ask { asked_ms: 1, started: Vec::new(), suspicion: None, progress: Vec::new() });
            let sent = std::mem::take(&mut messages);
            if !self.muted.get() && message::write(&mut writer, &sent).await.is_err() {
                break;
            }
            wait(200).await;
            if std::mem::replace(&mut available, self.available.get()) != available {
                messages.push(ToLeader::Info(available.then(info)));
            }
        }
        reading.abort();
    }

    /// The numbers of the runs that the agent was told to start, in order.
    fn runs(&self) -> Vec<u32> {
        self.started.borrow().iter().map(|(_, run)| *run).collect()
    }
}

/// An entry that leads the hosts `host-a`, which is available, and `host-b`, which is not.
struct Fleet {
    store: HeldStore,
    a: Rc<FakeAgent>,
    b: Rc<FakeAgent>,
}

impl Fleet {
    async fn start() -> Self {
        let store = HeldStore { inner: MemoryStore::default(), held: Rc::default() };
        store.inner.put(Stream::Operator, Record::new("config", vec![1]));
        let config = EntryConfig {
            name: "entry".to_owned(),
            plan: LeasePlan::new(6_000),
            clock: Clock::Runtime { start: Instant::now(), unix_ms: 1_700_000_000_000 },
            decode_operator_record,
            metrics: EntryMetrics::default(),
        };
        let entry = Entry::new(config, Box::new(store.clone()));
        spawn_local(entry.run(CancellationToken::new()));
        let fleet = Self { store, a: FakeAgent::start(true).await, b: FakeAgent::start(false).await };
        fleet.announce("host-a", fleet.a.address);
        fleet.announce("host-b", fleet.b.address);
        wait_until("both hosts are connected", || fleet.a.sessions.get() > 0 && fleet.b.sessions.get() > 0).await;
        // The hosts report their runs.
        wait(500).await;
        fleet
    }

    /// Starts a fleet with a task that runs on `host-a` and could also run on `host-b`.
    async fn start_with_run() -> Self {
        let fleet = Self::start().await;
        fleet.submit(1);
        wait_until("the task runs", || fleet.a.runs() == [1]).await;
        fleet.b.available.set(true);
        wait(500).await;
        fleet
    }

    fn announce(&self, host: &str, address: SocketAddr) {
        self.store.inner.put(Stream::Hosts, Record::new(host, address.to_string().into_bytes()));
    }

    fn submit(&self, job: u64) {
        let record = JobRecord::submitted(JobId(job), &long_running_job()).expect("a record");
        self.store.inner.put(Stream::Jobs, record);
    }
}

async fn wait(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_millis(WAIT_MS);
    while !condition() {
        assert!(Instant::now() < until, "not within {WAIT_MS} ms: {what}");
        wait(POLL_INTERVAL_MS).await;
    }
}

async fn run_local<F: Future<Output = ()>>(test: F) {
    LocalSet::new().run_until(test).await;
}

/// Guards against running a task twice: the host of a start was lost while the record of the start was being stored.
#[tokio::test]
async fn a_start_that_is_stored_after_its_host_was_lost_is_dropped() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.store.held.set(true);
        wait(300).await;
        fleet.submit(1);
        wait(1_000).await;
        fleet.b.available.set(true);
        // All grants to the host expire, as the leader grants none without the store.
        wait(7_500).await;
        let sessions = fleet.a.sessions.get();
        fleet.a.available.set(false);
        fleet.a.disconnect.set(true);
        wait_until("the host is connected again", || fleet.a.sessions.get() > sessions).await;
        wait(500).await;
        assert_eq!((fleet.a.runs(), fleet.b.runs()), (vec![], vec![]));
        fleet.store.held.set(false);
        wait_until("the task runs", || !fleet.b.runs().is_empty()).await;
        wait(1_000).await;
        assert_eq!((fleet.a.runs(), fleet.b.runs()), (vec![], vec![2]));
    })
    .await;
}

/// Guards against a long-running task that never runs again: its host announced another address, at which nothing
/// responds, and still counted as connected.
#[tokio::test]
async fn the_tasks_of_a_host_that_is_gone_from_its_new_address_run_elsewhere() {
    run_local(async {
        let fleet = Fleet::start_with_run().await;
        let unused = TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("an address");
        fleet.announce("host-a", unused);
        wait_until("the task runs elsewhere", || fleet.b.runs() == [2]).await;
    })
    .await;
}

/// Guards against a long-running task that never runs again: the agent of its host is frozen, while the kernel still
/// accepts connections.
#[tokio::test]
async fn the_tasks_of_a_host_whose_agent_is_frozen_run_elsewhere() {
    run_local(async {
        let fleet = Fleet::start_with_run().await;
        fleet.a.frozen.set(true);
        wait_until("the task runs elsewhere", || fleet.b.runs() == [2]).await;
    })
    .await;
}

/// Guards against running a task twice: a start that is sent to an agent which has not reported its runs is read after
/// the task was assigned to another host.
#[tokio::test]
async fn a_start_is_not_sent_before_the_host_has_reported_its_runs() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.store.held.set(true);
        wait(300).await;
        fleet.submit(1);
        wait(500).await;
        fleet.b.available.set(true);
        fleet.a.frozen.set(true);
        // The session ends after 2.2 s, and the next one opens at most 0.3 s later.
        wait(3_000).await;
        fleet.store.held.set(false);
        wait_until("the task runs elsewhere", || fleet.b.runs() == [2]).await;
        fleet.a.frozen.set(false);
        wait(1_000).await;
        assert_eq!(fleet.a.runs(), []);
    })
    .await;
}

/// Guards against a host that counts as connected although nothing is received from it, because orders are sent to it.
#[tokio::test]
async fn a_session_in_which_only_orders_are_sent_times_out() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.a.muted.set(true);
        for job in 1..=6 {
            fleet.submit(job);
            wait(1_000).await;
        }
        assert!(fleet.a.sessions.get() > 1);
    })
    .await;
}
