//! Tests of the facts that an agent checks at the last moment before it sends a start: they may have changed since the
//! leader gave the order.

mod support;

use std::rc::Rc;

use fescuelead_core::jobs::HostInfo;
use fescuelead_fleet::{
    agent::Agent,
    message::{Start, ToAgent, ToLeader},
};
use rstest::rstest;
use support::{
    MemoryEndpoint,
    session::{GRANT_MS, Leader, TASK, info, run_local, start_agent, start_agent_without_announcement, start_order},
};

/// How long an endpoint is mute before orders are held back, in milliseconds: a report call in flight is still answered.
const HOLD_BACK_MS: u64 = 2_400;

fn rejected(received: &[ToLeader], rejected_run: u32) -> bool {
    received
        .iter()
        .any(|message| matches!(message, ToLeader::Rejected { task, run, .. } if (*task, *run) == (TASK, rejected_run)))
}

/// Starts an agent with an endpoint, and opens a session in which it gets a lease.
async fn open_session() -> (MemoryEndpoint, Rc<Agent>, Leader) {
    let endpoint = MemoryEndpoint::default();
    let agent = start_agent(&endpoint).await;
    let mut leader = Leader::connect(&agent, 1).await;
    leader.receive_for(600).await;
    (endpoint, agent, leader)
}

fn announce_draining(agent: &Rc<Agent>) {
    agent.handle_announcement(Some(1), HostInfo { draining: true, ..info() });
}

/// Guards against a start seconds after the endpoint has announced that it drains: the order arrived before and was held
/// back while the endpoint did not answer. The leader must hear at once that it was not sent.
#[tokio::test(start_paused = true)]
async fn an_order_that_was_held_back_is_rejected_once_the_endpoint_drains() {
    run_local(async {
        let (endpoint, agent, mut leader) = open_session().await;
        endpoint.silent.set(true);
        leader.receive_for(HOLD_BACK_MS).await;
        leader.start(1).await;
        let received = leader.receive_for(200).await;
        assert!(!rejected(&received, 1), "rejected before the endpoint drains: {received:?}");
        announce_draining(&agent);
        let received = leader.receive_for(200).await;
        assert!(rejected(&received, 1), "{received:?}");
        endpoint.silent.set(false);
        leader.receive_for(3_000).await;
        assert!(endpoint.started.borrow().is_empty());
    })
    .await;
}

/// Guards against a start seconds after the endpoint has announced that it drains, by the repetition of an unanswered
/// start. An attempt may still take effect, so the leader must not hear of a rejection before the run was stopped.
#[tokio::test(start_paused = true)]
async fn an_unanswered_start_is_stopped_once_the_endpoint_drains() {
    run_local(async {
        let (endpoint, agent, mut leader) = open_session().await;
        endpoint.silent.set(true);
        leader.start(1).await;
        leader.receive_for(700).await;
        announce_draining(&agent);
        let received = leader.receive_for(700).await;
        assert!(!rejected(&received, 1), "an attempt may still take effect: {received:?}");
        endpoint.silent.set(false);
        let received = leader.receive_for(1_000).await;
        assert!(rejected(&received, 1), "{received:?}");
        assert!(endpoint.started.borrow().is_empty());
        assert!(endpoint.stopped.borrow().contains(&(TASK, 1)));
    })
    .await;
}

/// Guards against stopping a run that has started before its endpoint drains, only because the answer was lost.
#[tokio::test(start_paused = true)]
async fn a_run_that_is_listed_by_a_report_goes_on_while_the_endpoint_drains() {
    run_local(async {
        let (endpoint, agent, mut leader) = open_session().await;
        endpoint.lose_starts.set(u32::MAX);
        leader.start(1).await;
        leader.receive_for(2_000).await;
        announce_draining(&agent);
        let received = leader.receive_for(2_000).await;
        assert!(!rejected(&received, 1), "{received:?}");
        assert!(endpoint.stopped.borrow().is_empty());
        assert_eq!(*endpoint.started.borrow(), [(TASK, 1)]);
    })
    .await;
}

/// Guards against a start after the endpoint has announced its departure.
#[tokio::test(start_paused = true)]
async fn an_order_on_a_departing_endpoint_is_rejected() {
    run_local(async {
        let (endpoint, agent, mut leader) = open_session().await;
        agent.handle_departure(Some(1));
        leader.start(1).await;
        let received = leader.receive_for(200).await;
        assert!(rejected(&received, 1), "{received:?}");
        assert!(endpoint.started.borrow().is_empty());
    })
    .await;
}

/// Guards against a start on a draining endpoint by a new agent process, which has not heard of the draining yet.
#[tokio::test(start_paused = true)]
async fn a_new_agent_sends_no_start_before_its_endpoint_has_announced_itself() {
    run_local(async {
        let endpoint = MemoryEndpoint::default();
        let agent = start_agent_without_announcement(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.receive_for(600).await;
        leader.start(1).await;
        leader.receive_for(1_000).await;
        assert!(endpoint.started.borrow().is_empty(), "the endpoint may be draining");
        announce_draining(&agent);
        let received = leader.receive_for(200).await;
        assert!(rejected(&received, 1), "{received:?}");
        leader.receive_for(1_000).await;
        assert!(endpoint.started.borrow().is_empty());
    })
    .await;
}

/// Guards against a task that is never started: the endpoint of a new agent process answers calls and sends no heartbeats.
#[tokio::test(start_paused = true)]
async fn an_order_is_rejected_if_the_endpoint_does_not_announce_itself() {
    run_local(async {
        let endpoint = MemoryEndpoint::default();
        let agent = start_agent_without_announcement(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.receive_for(600).await;
        leader.start(1).await;
        let received = leader.receive_for(3_000).await;
        assert!(rejected(&received, 1), "{received:?}");
        assert!(endpoint.started.borrow().is_empty());
    })
    .await;
}

/// Guards against a start in an availability zone that was taken out of service meanwhile: the agent does not hear of it,
/// so an order is only good for a limited time.
#[tokio::test(start_paused = true)]
async fn an_order_that_was_held_back_for_too_long_is_rejected() {
    run_local(async {
        let (endpoint, _, mut leader) = open_session().await;
        endpoint.silent.set(true);
        leader.receive_for(HOLD_BACK_MS).await;
        leader.start(1).await;
        let received = leader.receive_for(3_000).await;
        assert!(rejected(&received, 1), "{received:?}");
        endpoint.silent.set(false);
        leader.receive_for(1_000).await;
        assert!(endpoint.started.borrow().is_empty());
    })
    .await;
}

/// Guards against running a task twice: the leader has counted the host as lost and started the task elsewhere, and the
/// host gets a lease again in the next session, before it is told to stop the run.
#[tokio::test(start_paused = true)]
async fn an_order_of_an_earlier_session_waits_until_it_is_given_again() {
    run_local(async {
        let (endpoint, agent, mut first) = open_session().await;
        endpoint.silent.set(true);
        first.receive_for(HOLD_BACK_MS).await;
        first.start(1).await;
        first.receive_for(200).await;
        drop(first);
        let mut second = Leader::connect(&agent, 2).await;
        second.receive_for(200).await;
        endpoint.silent.set(false);
        second.receive_for(1_000).await;
        assert!(endpoint.started.borrow().is_empty(), "the next leader may have assigned the task to another host");
        second.start(1).await;
        second.receive_for(200).await;
        assert_eq!(*endpoint.started.borrow(), [(TASK, 1)]);
    })
    .await;
}

/// Guards against a start seconds after it was sent, by an endpoint that carries calls out late: the deadline of a start
/// bounds when it takes effect, also while the lease of the endpoint lasts longer.
#[tokio::test(start_paused = true)]
async fn a_start_that_is_carried_out_late_has_no_effect() {
    run_local(async {
        let (endpoint, agent, mut leader) = open_session().await;
        leader.receive_for(3_000).await;
        endpoint.delay_starts_ms.set(1_500);
        leader.start(1).await;
        leader.receive_for(200).await;
        endpoint.delay_starts_ms.set(0);
        endpoint.silent.set(true);
        announce_draining(&agent);
        leader.receive_for(3_000).await;
        assert!(endpoint.started.borrow().is_empty());
    })
    .await;
}

/// Guards against runs that lapse with the deadline of their start, which is shorter than a lease.
#[tokio::test(start_paused = true)]
async fn the_lease_of_a_run_outlasts_the_deadline_of_its_start() {
    run_local(async {
        let (endpoint, _, mut leader) = open_session().await;
        leader.start(1).await;
        leader.receive_for(50).await;
        for _ in 0..50 {
            leader.receive_for(100).await;
            assert!(endpoint.lease_end_ms() > endpoint.clock_ms() + GRANT_MS / 2);
        }
    })
    .await;
}

/// Guards against a start in an availability zone that is out of service: an order that was never sent counts as a run in
/// the next session, whose leader then orders it again without deciding anew.
#[tokio::test(start_paused = true)]
async fn an_order_that_was_never_sent_is_not_reported_as_a_run() {
    run_local(async {
        let (endpoint, agent, mut first) = open_session().await;
        endpoint.silent.set(true);
        first.receive_for(HOLD_BACK_MS).await;
        first.start(1).await;
        first.receive_for(200).await;
        let mut second = Leader::connect(&agent, 2).await;
        let received = second.receive_for(200).await;
        assert!(received.contains(&ToLeader::Runs { incarnation: 1, running: Vec::new() }), "{received:?}");
    })
    .await;
}

/// Orders the start of run 1 of [`TASK`]. The order expires at `expires_at_ms` on the agent's clock.
async fn start_until(leader: &mut Leader, expires_at_ms: u64) {
    leader.send(ToAgent::Start(Start { expires_at_ms: Some(expires_at_ms), ..start_order(TASK, 1) })).await;
}

/// Guards against the start of a task whose job was cancelled seconds before: the order was under way for so long that the leader
/// may have missed that.
#[tokio::test(start_paused = true)]
async fn an_order_that_arrives_after_its_expiry_is_rejected() {
    run_local(async {
        let (endpoint, _agent, mut leader) = open_session().await;
        let before_the_latest_request_ms = leader.asked_ms - 100;
        start_until(&mut leader, before_the_latest_request_ms).await;
        let received = leader.receive_for(200).await;
        assert!(rejected(&received, 1), "{received:?}");
        assert!(endpoint.started.borrow().is_empty());
    })
    .await;
}

/// Guards against an order that expires too early or too late: a leader that describes a run again may have older or newer copies of
/// the store than when it gave the order.
#[rstest]
#[case::with_older_copies(&[1_500, 100], 1_000, true)]
#[case::with_newer_copies(&[500, 1_500], 1_000, true)]
#[case::once(&[500], 1_000, false)]
#[tokio::test(start_paused = true)]
async fn an_order_is_valid_until_its_latest_expiry(
    #[case] expiries_in_ms: &[u64],
    #[case] carried_out_after_ms: u64,
    #[case] starts: bool,
) {
    run_local(async {
        let (endpoint, _agent, mut leader) = open_session().await;
        endpoint.misdirect_starts.set(u32::MAX);
        let asked_ms = leader.asked_ms;
        for expires_in_ms in expiries_in_ms {
            start_until(&mut leader, asked_ms + expires_in_ms).await;
        }
        leader.receive_for(carried_out_after_ms).await;
        endpoint.misdirect_starts.set(0);
        leader.receive_for(200).await;
        assert_eq!(endpoint.is_running(TASK, 1), starts);
    })
    .await;
}
