//! The agent: orders whose answers are lost, leases that follow the leader's grants, and ends that are not forgotten early.

mod support;

use std::{rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{
        HostInfo, JobId, Rejection, RunEnd, RunOutcome, TaskRef,
        image_interference::{Pair, PairTable},
        lease::LeasePlan,
    },
    units::Resources,
};
use fescuelead_fleet::{
    agent::Agent,
    clock::Clock,
    message::{self, Start, ToAgent, ToLeader},
    metrics::AgentMetrics,
};
use support::MemoryEndpoint;
use tokio::{
    io::{BufReader, DuplexStream, ReadHalf, WriteHalf},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const TASK: TaskRef = TaskRef { job: JobId(7), occurrence: 0, step: 0, index: 0 };
const GRANT_MS: u64 = 5_000;

struct Leader {
    reader: BufReader<ReadHalf<DuplexStream>>,
    writer: WriteHalf<DuplexStream>,
    grants: bool,
}

impl Leader {
    async fn connect(agent: &Rc<Agent>, epoch: u64) -> Self {
        let (ours, theirs) = tokio::io::duplex(1 << 20);
        spawn_local(agent.clone().session(theirs));
        let (reader, writer) = tokio::io::split(ours);
        let mut leader = Self { reader: BufReader::new(reader), writer, grants: true };
        leader.say(ToAgent::Hello { epoch, leader: "leader".to_owned() }).await;
        leader
    }

    async fn say(&mut self, message: ToAgent) {
        message::write(&mut self.writer, &[message]).await.expect("the session is open");
    }

    async fn start(&mut self, run: u32) {
        let start = Start {
            incarnation: 1,
            task: TASK,
            run,
            payload: "render".to_owned(),
            checkpoint: None,
            cpu_milli: 1_000,
            background: false,
            tail_target_ms: None,
            image: None,
        };
        self.say(ToAgent::Start(start)).await;
    }

    /// What the agent says within `ms`, besides its questions, which are answered.
    async fn hear(&mut self, ms: u64) -> Vec<ToLeader> {
        let mut heard = Vec::new();
        let until = Instant::now() + Duration::from_millis(ms);
        while let Ok(Ok(message)) = tokio::time::timeout_at(until, message::read::<ToLeader>(&mut self.reader)).await {
            match message {
                ToLeader::Ask { asked_ms } => {
                    let grant_ms = if self.grants { GRANT_MS } else { 0 };
                    self.say(ToAgent::Grant { asked_ms, grant_ms }).await;
                }
                message => heard.push(message),
            }
        }
        heard
    }
}

fn info() -> HostInfo {
    HostInfo { service: "desk".to_owned(), capacity: Resources::new(4_000, 1_000), ..HostInfo::default() }
}

/// An agent beside an endpoint, not yet met by a leader.
async fn agent(endpoint: &MemoryEndpoint) -> Rc<Agent> {
    let clock = Clock::Runtime { start: Instant::now(), unix_ms: 1_700_000_000_000 };
    let agent = Agent::new(
        "host-a".to_owned(),
        Box::new(endpoint.clone()),
        LeasePlan::new(6_000),
        clock,
        AgentMetrics::default(),
    );
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    spawn_local(agent.clone().run(listener, CancellationToken::new()));
    agent.announced(Some(1), info());
    sleep(Duration::from_millis(100)).await;
    agent
}

async fn within<F: Future<Output = ()>>(test: F) {
    LocalSet::new().run_until(test).await;
}

fn ends(heard: &[ToLeader]) -> Vec<&RunEnd> {
    heard
        .iter()
        .filter_map(|message| match message {
            ToLeader::Ended { ended, .. } => Some(ended),
            _ => None,
        })
        .collect()
}

fn rejected(heard: &[ToLeader]) -> bool {
    heard.iter().any(|message| matches!(message, ToLeader::Rejected { .. }))
}

/// The endpoint may have started the run although it did not answer; another run elsewhere would be a second one.
#[tokio::test(start_paused = true)]
async fn a_start_without_an_answer_is_repeated_and_runs_once() {
    within(async {
        let endpoint = MemoryEndpoint::default();
        let agent = agent(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.hear(600).await;
        endpoint.lose_starts.set(3);
        leader.start(1).await;
        let heard = leader.hear(1_000).await;
        assert_eq!(*endpoint.started.borrow(), [(TASK, 1)]);
        assert!(!rejected(&heard), "{heard:?}");
    })
    .await;
}

/// A refusal after an unanswered try does not mean that the earlier try has no effect.
#[tokio::test(start_paused = true)]
async fn a_refused_run_whose_earlier_try_may_come_late_is_stopped_first() {
    within(async {
        let endpoint = MemoryEndpoint::default();
        let agent = agent(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.hear(600).await;
        endpoint.silent.set(true);
        leader.start(1).await;
        leader.hear(700).await;
        endpoint.silent.set(false);
        endpoint.refuse_starts.set(1);
        let heard = leader.hear(3_000).await;
        assert!(endpoint.stopped.borrow().contains(&(TASK, 1)));
        assert!(rejected(&heard), "{heard:?}");
        assert!(endpoint.started.borrow().is_empty());
    })
    .await;
}

/// A run that has ended unseen makes the endpoint refuse the repeated start; the end, not a refusal, is what counts.
#[tokio::test(start_paused = true)]
async fn a_run_that_ended_before_its_start_was_answered_is_reported_as_ended() {
    within(async {
        let endpoint = MemoryEndpoint::default();
        let agent = agent(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.hear(600).await;
        endpoint.lose_starts.set(1);
        leader.start(1).await;
        leader.hear(3).await;
        endpoint.end(TASK, RunOutcome::Done);
        let heard = leader.hear(2_000).await;
        assert_eq!(ends(&heard).iter().map(|ended| ended.end).collect::<Vec<_>>(), [RunOutcome::Done]);
        assert!(!rejected(&heard), "{heard:?}");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_end_is_kept_by_the_endpoint_until_the_leader_has_stored_it() {
    within(async {
        let endpoint = MemoryEndpoint::default();
        let agent = agent(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.hear(600).await;
        leader.start(1).await;
        leader.hear(300).await;
        endpoint.end(TASK, RunOutcome::Done);
        assert_eq!(ends(&leader.hear(3_000).await).len(), 1);
        assert_eq!(endpoint.forgotten.get(), 0);
        // A new leader hears of it again.
        let mut second = Leader::connect(&agent, 2).await;
        assert_eq!(ends(&second.hear(600).await).len(), 1);
        second.say(ToAgent::Forget { incarnation: 1, up_to: 1 }).await;
        second.hear(600).await;
        assert_eq!(endpoint.forgotten.get(), 1);
    })
    .await;
}

/// A host that hears nothing of a leader may be given up, and its work started elsewhere.
#[tokio::test(start_paused = true)]
async fn the_lease_ends_without_grants() {
    within(async {
        let endpoint = MemoryEndpoint::default();
        let agent = agent(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.hear(3_000).await;
        let granted = endpoint.lease_end_ms();
        assert!(granted > 0);
        leader.hear(3_000).await;
        assert!(endpoint.lease_end_ms() > granted);
        leader.grants = false;
        let stopped_ms = endpoint.clock_ms();
        leader.hear(20_000).await;
        assert!(endpoint.lease_end_ms() <= stopped_ms + GRANT_MS);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_earlier_leader_is_turned_away() {
    within(async {
        let endpoint = MemoryEndpoint::default();
        let agent = agent(&endpoint).await;
        let mut later = Leader::connect(&agent, 5).await;
        later.hear(600).await;
        let mut earlier = Leader::connect(&agent, 4).await;
        let heard = earlier.hear(600).await;
        assert_eq!(heard, [ToLeader::Superseded { epoch: 5 }]);
    })
    .await;
}

/// What the leader believes of a silent endpoint has to end some time, but not before the lease does.
#[tokio::test(start_paused = true)]
async fn a_silent_endpoint_is_given_up_after_its_lease() {
    within(async {
        let endpoint = MemoryEndpoint::default();
        let agent = agent(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.hear(1_000).await;
        endpoint.silent.set(true);
        let gone = |heard: &[ToLeader]| heard.contains(&ToLeader::Gone { incarnation: 1 });
        let early = leader.hear(GRANT_MS - 1_000).await;
        assert!(!gone(&early), "{early:?}");
        let late = leader.hear(GRANT_MS).await;
        assert!(gone(&late), "{late:?}");
        // It was only cut off.
        endpoint.silent.set(false);
        let back = leader.hear(2_000).await;
        assert!(back.iter().any(|message| matches!(message, ToLeader::Runs { .. })), "{back:?}");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn nothing_starts_after_the_endpoint_announced_that_it_leaves() {
    within(async {
        let endpoint = MemoryEndpoint::default();
        let agent = agent(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.hear(600).await;
        agent.announced(Some(1), HostInfo { draining: true, ..info() });
        leader.start(1).await;
        let heard = leader.hear(600).await;
        let refusal = ToLeader::Rejected { incarnation: 1, task: TASK, run: 1, reason: Rejection::Unhealthy };
        assert!(heard.contains(&refusal), "{heard:?}");
        assert!(endpoint.started.borrow().is_empty());
    })
    .await;
}

/// The time of day may have been set back between two agents on a machine.
#[tokio::test(start_paused = true)]
async fn an_agent_with_a_low_fencing_token_raises_it() {
    within(async {
        let endpoint = MemoryEndpoint::default();
        endpoint.remember_token(1_700_000_000_000 + 5_000);
        let agent = agent(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.hear(1_000).await;
        leader.start(1).await;
        leader.hear(500).await;
        assert_eq!(*endpoint.started.borrow(), [(TASK, 1)]);
    })
    .await;
}

/// A new leader would run heavy images beside the tasks that suffer from them until it had learned of them again.
#[tokio::test(start_paused = true)]
async fn what_a_leader_learned_of_images_is_given_to_the_next() {
    within(async {
        let endpoint = MemoryEndpoint::default();
        let agent = agent(&endpoint).await;
        let mut first = Leader::connect(&agent, 1).await;
        first.hear(600).await;
        let pair = Pair { background: "render".to_owned(), serving: "web".to_owned() };
        let learned = PairTable::from([(pair, 4_200)]);
        first.say(ToAgent::Pairs(learned.clone())).await;
        first.hear(100).await;
        let mut second = Leader::connect(&agent, 2).await;
        let heard = second.hear(600).await;
        assert!(heard.contains(&ToLeader::Remembered(learned)), "{heard:?}");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_planned_stop_ends_soon() {
    within(async {
        let endpoint = MemoryEndpoint::default();
        endpoint.silent.set(true);
        let clock = Clock::Runtime { start: Instant::now(), unix_ms: 0 };
        let agent =
            Agent::new("host-a".to_owned(), Box::new(endpoint), LeasePlan::new(6_000), clock, AgentMetrics::default());
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let stop = CancellationToken::new();
        let running = spawn_local(agent.run(listener, stop.clone()));
        sleep(Duration::from_millis(50)).await;
        stop.cancel();
        timeout(Duration::from_millis(1_000), running).await.expect("stopped in time").expect("no panic");
    })
    .await;
}
