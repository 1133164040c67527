use fescuelead_core::{
    ids::{AttemptRef, AvailabilityZone, EntryId, RackId, TaskId},
    record::{Batch, Outcome, Record},
    runner::{Command, SyncRequest},
    testing,
};
use fescuelead_platform::log::{LogPage, LogRecord};
use tokio::{
    task::{JoinHandle, LocalSet, spawn_local, yield_now},
    time::Instant,
};

use super::*;
use crate::entry::{control::folds::CellFold, peers::tests::control, streams::Fold};

type Reply = JoinHandle<Option<HeartbeatReply>>;

fn agent(number: usize) -> AgentId {
    AgentId::new(format!("agent-{number}")).expect("valid id")
}

fn task(number: usize) -> TaskId {
    TaskId::new(format!("c0-{number}")).expect("valid id")
}

fn submit(number: usize) -> Record {
    Record::TaskSubmitted { task: task(number), spec: testing::task_spec() }
}

fn assign(number: usize) -> Record {
    Record::TaskAssigned { task: task(number), attempt: 1, agent: agent(number), agent_incarnation: 1 }
}

async fn append(control: &Rc<Control>, records: Vec<Record>) {
    append_by("entry-b", control, records).await;
}

/// Folds one append of another entry, as read by a tail read that begins now.
pub(in crate::entry::control) async fn append_by(writer: &str, control: &Rc<Control>, records: Vec<Record>) {
    let offset = control.state.borrow().cell.state().next_offset();
    let batch = Batch { records, ..Batch::new(EntryId::new(writer).expect("valid id"), 1, offset + 1) };
    let bytes = batch.encode().expect("encodes").into();
    let page = LogPage { records: vec![LogRecord { offset, bytes }], first_offset: 0, tail_offset: offset + 1 };
    CellFold::new(control).page(&page, control.shared.clock.now());
    settle().await;
}

/// Lets every task that was woken run. A `LocalSet` runs some 60 tasks between two yields.
async fn settle() {
    for _ in 0..40 {
        yield_now().await;
    }
}

/// A heartbeat that the entry may hold, of an agent that holds these tasks.
fn heartbeat(number: usize, held: &[usize]) -> Heartbeat {
    let held = held.iter().map(|number| AttemptRef::new(task(*number), 1)).collect();
    let free = Resources::new(8_000, 8_192);
    let sync = SyncRequest { agent: agent(number), incarnation: 1, number: 1, held, reports: Vec::new(), free };
    let (running, endpoints, usage) = (Vec::new(), Vec::new(), Vec::new());
    Heartbeat { sync, running, endpoints, usage, config_version: 0, wait_ms: MAX_HOLD_MS }
}

fn beat(control: &Rc<Control>, number: usize, held: &[usize]) -> Reply {
    let hello = AgentHello {
        agent: agent(number),
        incarnation: 1,
        availability_zone: AvailabilityZone::new("az-1").expect("valid id"),
        rack: RackId::new("rack-1").expect("valid id"),
        request_address: "127.0.0.1:1".parse().expect("an address"),
        capacity: Resources::new(8_000, 8_192),
        cell: 0,
    };
    spawn_local(Rc::clone(control).heartbeat(Rc::new(hello), heartbeat(number, held)))
}

/// Guards against appends that cost a reply computation for each agent, and against a heartbeat that misses its own event.
#[tokio::test(start_paused = true)]
async fn an_append_wakes_only_the_agents_that_it_names() {
    const AGENTS: usize = 1_000;
    const APPENDS: usize = 100;
    let run = LocalSet::new();
    run.run_until(async {
        let control = control();
        append(&control, (0..AGENTS).map(submit).collect()).await;
        let mut replies: Vec<_> = (0..AGENTS).map(|number| beat(&control, number, &[])).collect();
        settle().await;
        let computed = &control.shared.observer.metrics.heartbeat_replies;
        let before = computed.get();
        for number in 0..APPENDS {
            append(&control, vec![assign(number)]).await;
        }
        println!("replies computed per append: {}", (computed.get() - before) as f64 / APPENDS as f64);
        assert_eq!(computed.get() - before, APPENDS as u64);
        assert!(replies.iter().skip(APPENDS).all(|reply| !reply.is_finished()));
        for reply in replies.drain(..APPENDS) {
            assert!(reply.is_finished());
            let reply = reply.await.expect("runs").expect("a complete view");
            assert!(matches!(&reply.sync.commands[..], [Command::Start { .. }]));
        }
    })
    .await;
}

/// Guards against a held heartbeat that is not told what concerns it until its deadline. The agent holds task 1 and, in one
/// case, a task that is no longer known.
#[rstest::rstest]
#[case::a_task_it_holds_ends(&[1], vec![Record::AttemptFinished { task: task(1), attempt: 1, outcome: Outcome::Succeeded }], true)]
#[case::its_task_is_cancelled(&[1], vec![Record::TaskCancelled { task: task(1) }], true)]
#[case::an_entry_registers(&[1], vec![Record::EntryRegistered { peer_address: "127.0.0.1:2".to_owned() }], true)]
#[case::a_tail_read_shows_that_a_task_is_gone(&[1, 7], Vec::new(), true)]
#[case::nothing_concerns_it(&[1], vec![submit(2)], false)]
#[tokio::test(start_paused = true)]
async fn what_concerns_an_agent_ends_the_hold(
    #[case] held: &[usize],
    #[case] records: Vec<Record>,
    #[case] woken: bool,
) {
    let run = LocalSet::new();
    run.run_until(async {
        let control = control();
        append(&control, vec![submit(1), assign(1)]).await;
        let (reply, sent) = (beat(&control, 1, held), Instant::now());
        settle().await;
        assert!(!reply.is_finished(), "there is nothing to tell yet");
        tokio::time::advance(std::time::Duration::from_millis(2)).await;
        append(&control, records).await;
        assert_eq!(reply.is_finished(), woken);
        let _ = reply.await;
        let waited_ms = sent.elapsed().as_millis() as u64;
        assert_eq!(waited_ms >= MAX_HOLD_MS, !woken, "{waited_ms}");
        assert!(control.held.borrow().is_empty());
    })
    .await;
}

/// Guards against orders of the scheduler that wait for the next heartbeat, and against a wake-up that is lost because it
/// comes between the computation of a reply and the wait.
#[tokio::test(start_paused = true)]
async fn orders_and_early_wake_ups_are_not_lost() {
    let run = LocalSet::new();
    run.run_until(async {
        let control = control();
        append(&control, Vec::new()).await;
        let reply = beat(&control, 1, &[]);
        settle().await;
        assert!(!reply.is_finished(), "there is nothing to tell yet");
        let stop = Command::Stop { attempt: AttemptRef::new(task(1), 1), agent_incarnation: 1 };
        control.state.borrow_mut().scheduler.order(&agent(1), stop);
        control.wake_ordered();
        settle().await;
        assert!(reply.is_finished());

        let held = HeldHeartbeat::new(&control.held, &heartbeat(1, &[]));
        control.held.borrow().wake_agent(&agent(1));
        let (start, far) = (Instant::now(), Instant::now() + std::time::Duration::from_secs(1));
        held.wait(far).await;
        assert_eq!(start, Instant::now());
    })
    .await;
}
