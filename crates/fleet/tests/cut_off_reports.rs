//! Tests of what an agent concludes from reports whose list of ended runs is cut off. The leader starts a rejected run's
//! task again, so a rejection of a run that has ended as done makes the task run twice.

mod support;

use fescuelead_core::jobs::{HostInfo, Rejection, RunOutcome, TaskRef};
use fescuelead_fleet::message::{Start, ToAgent, ToLeader};
use rstest::rstest;
use support::{
    MAX_LISTED_ENDS, MemoryEndpoint,
    session::{Leader, TASK, info, run_local, start_agent, start_agent_without_announcement, start_order},
};

/// A task whose ends fill the list of a report.
const OTHER: TaskRef = TaskRef { index: 1, ..TASK };
/// How long no end can be acknowledged, in milliseconds.
const OUTAGE_MS: u64 = 6_000;
/// How long the agent takes at most to list the next ends after an acknowledgement, in milliseconds.
const NEXT_LIST_MS: u64 = 1_500;

/// What the agent has said about the run of a task.
#[derive(Debug, PartialEq, Eq)]
enum Said {
    Ended(RunOutcome),
    Rejected(Rejection),
}

/// What the agent has said about the runs of `task`, in order.
fn said(received: &[ToLeader], task: TaskRef) -> Vec<Said> {
    let about = |message: &ToLeader| match message {
        ToLeader::Ended { ended, .. } if ended.task == task => Some(Said::Ended(ended.end)),
        ToLeader::Rejected { task: rejected, reason, .. } if *rejected == task => Some(Said::Rejected(*reason)),
        _ => None,
    };
    received.iter().filter_map(about).collect()
}

/// The highest number of an end in `received`.
fn last_end(received: &[ToLeader]) -> Option<u64> {
    let number = |message: &ToLeader| match message {
        ToLeader::Ended { ended, .. } => Some(ended.number),
        _ => None,
    };
    received.iter().filter_map(number).max()
}

/// Receives messages during an outage of the store, and then acknowledges all ends, one list after the other. Returns what
/// was received before, and these messages.
async fn receive_all(leader: &mut Leader, mut received: Vec<ToLeader>) -> Vec<ToLeader> {
    received.extend(leader.receive_for(OUTAGE_MS).await);
    let mut next = last_end(&received);
    while let Some(up_to) = next {
        leader.send(ToAgent::Forget { incarnation: 1, up_to }).await;
        let listed = leader.receive_for(NEXT_LIST_MS).await;
        next = last_end(&listed);
        received.extend(listed);
    }
    received
}

/// Opens a session with a new agent of `endpoint`.
async fn open_session(endpoint: &MemoryEndpoint) -> Leader {
    let agent = start_agent(endpoint).await;
    let mut leader = Leader::connect(&agent, 1).await;
    leader.receive_for(600).await;
    leader
}

/// Guards against running a task twice: its run has ended as done before the start was answered, and the endpoint lists
/// `before` other ends first.
#[rstest]
#[case(499)]
#[case(500)]
#[case(501)]
#[case(4_000)]
#[tokio::test(start_paused = true)]
async fn a_run_that_ended_before_its_start_was_answered_is_not_rejected(#[case] before: usize) {
    run_local(async {
        let endpoint = MemoryEndpoint::default();
        let mut leader = open_session(&endpoint).await;
        endpoint.lose_starts.set(1);
        leader.start(1).await;
        leader.receive_for(3).await;
        endpoint.add_ends(OTHER, before);
        endpoint.end(TASK, RunOutcome::Done);
        let received = receive_all(&mut leader, Vec::new()).await;
        assert_eq!(said(&received, TASK), [Said::Ended(RunOutcome::Done)]);
    })
    .await;
}

/// Guards against running a task twice: its run has ended as done before it was stopped, and the endpoint lists `before`
/// other ends first.
#[rstest]
#[case(499)]
#[case(500)]
#[case(501)]
#[case(4_000)]
#[tokio::test(start_paused = true)]
async fn a_run_that_ended_before_its_stop_is_not_rejected(#[case] before: usize) {
    run_local(async {
        let endpoint = MemoryEndpoint::default();
        let mut leader = open_session(&endpoint).await;
        leader.start(1).await;
        leader.receive_for(50).await;
        endpoint.add_ends(OTHER, before);
        endpoint.end(TASK, RunOutcome::Done);
        leader.send(ToAgent::Stop { task: TASK, run: 1 }).await;
        let received = receive_all(&mut leader, Vec::new()).await;
        assert_eq!(said(&received, TASK), [Said::Ended(RunOutcome::Done)]);
    })
    .await;
}

/// Guards against running a task twice: the leader gives the order for a run again to a new agent process, and the run has
/// ended as done under the previous one. The endpoint lists `before` other ends first.
#[rstest]
#[case(499)]
#[case(500)]
#[case(501)]
#[case(4_000)]
#[tokio::test(start_paused = true)]
async fn a_new_agent_does_not_reject_a_run_that_has_ended(
    #[case] before: usize,
    #[values(false, true)] draining: bool,
    #[values(0, 1)] refused_starts: u32,
) {
    run_local(async {
        let endpoint = MemoryEndpoint::default();
        endpoint.begin(TASK, 1);
        endpoint.add_ends(OTHER, before);
        endpoint.end(TASK, RunOutcome::Done);
        endpoint.refuse_starts.set(refused_starts);
        let agent = start_agent_without_announcement(&endpoint).await;
        agent.handle_announcement(Some(1), HostInfo { draining, ..info() });
        let mut leader = Leader::connect(&agent, 1).await;
        let received = leader.receive_for(600).await;
        leader.start(1).await;
        let received = receive_all(&mut leader, received).await;
        let mut said = said(&received, TASK);
        // The first report of an agent also sends all that is known to an open session.
        said.dedup();
        assert_eq!(said, [Said::Ended(RunOutcome::Done)]);
        assert_eq!(*endpoint.started.borrow(), [(TASK, 1)]);
    })
    .await;
}

/// Guards against running tasks twice that end as done during an outage of the store, some of them before their starts were
/// answered: their ends fill several lists, none of which can be acknowledged before the outage ends.
#[tokio::test(start_paused = true)]
async fn tasks_that_end_during_an_outage_of_the_store_are_not_rejected() {
    const TASKS: u32 = 1_600;
    run_local(async {
        let endpoint = MemoryEndpoint::default();
        let mut leader = open_session(&endpoint).await;
        let tasks: Vec<_> = (0..TASKS).map(|index| TaskRef { index, ..TASK }).collect();
        endpoint.lose_starts.set(TASKS / 2);
        for &task in &tasks {
            leader.send(ToAgent::Start(Start { cpu_milli: 1, ..start_order(task, 1) })).await;
        }
        leader.receive_for(20).await;
        tasks.iter().for_each(|&task| endpoint.end(task, RunOutcome::Done));
        let received = receive_all(&mut leader, Vec::new()).await;
        for task in tasks {
            assert_eq!(said(&received, task), [Said::Ended(RunOutcome::Done)], "{task}");
        }
        assert_eq!(endpoint.started.borrow().len(), TASKS as usize);
    })
    .await;
}

/// Guards against running a task twice: its run has ended as done, and the end cannot be read. The list of ends is short, but
/// does not prove that the run does not exist.
#[tokio::test(start_paused = true)]
async fn a_run_whose_end_cannot_be_read_is_not_rejected() {
    run_local(async {
        let endpoint = MemoryEndpoint::default();
        let mut leader = open_session(&endpoint).await;
        leader.start(1).await;
        leader.receive_for(50).await;
        endpoint.unreadable_ends.set(true);
        endpoint.end(TASK, RunOutcome::Done);
        let received = leader.receive_for(OUTAGE_MS).await;
        assert_eq!(said(&received, TASK), []);
        endpoint.unreadable_ends.set(false);
        let received = receive_all(&mut leader, Vec::new()).await;
        assert_eq!(said(&received, TASK), [Said::Ended(RunOutcome::Done)]);
    })
    .await;
}

/// Guards against a task that the leader believes to be running for good: its run no longer exists, and the endpoint lists
/// `before` ends. The run is rejected once a report is known to list all ends.
#[rstest]
#[case(499)]
#[case(500)]
#[case(501)]
#[case(4_000)]
#[tokio::test(start_paused = true)]
async fn a_missing_run_is_rejected_once_all_ends_are_listed(#[case] before: usize) {
    run_local(async {
        let endpoint = MemoryEndpoint::default();
        let mut leader = open_session(&endpoint).await;
        leader.start(1).await;
        leader.receive_for(50).await;
        endpoint.add_ends(OTHER, before);
        endpoint.lose(TASK);
        let received = leader.receive_for(OUTAGE_MS).await;
        let is_complete = before < MAX_LISTED_ENDS;
        assert_eq!(said(&received, TASK).len(), usize::from(is_complete), "{:?}", said(&received, TASK));
        let received = receive_all(&mut leader, received).await;
        assert_eq!(said(&received, TASK), [Said::Rejected(Rejection::Outdated)]);
    })
    .await;
}

/// Guards against a task that the leader believes to be running for good: a new agent process is given the order for a run
/// that its endpoint lists as running, and which no longer exists later.
#[tokio::test(start_paused = true)]
async fn a_run_of_an_earlier_agent_that_goes_missing_is_rejected() {
    run_local(async {
        let endpoint = MemoryEndpoint::default();
        endpoint.begin(TASK, 1);
        let mut leader = open_session(&endpoint).await;
        leader.start(1).await;
        let received = leader.receive_for(2_000).await;
        assert_eq!(said(&received, TASK), []);
        endpoint.lose(TASK);
        let received = leader.receive_for(3_000).await;
        assert_eq!(said(&received, TASK), [Said::Rejected(Rejection::Outdated)]);
    })
    .await;
}
