//! Tests of endpoints that end as planned: they drain, deregister, and end.

mod support;

use std::{rc::Rc, time::Duration};

use fescuelead_core::jobs::{HostInfo, TaskRef};
use fescuelead_fleet::{
    agent::Agent,
    message::{Start, ToAgent, ToLeader},
};
use rstest::rstest;
use support::{
    MemoryEndpoint,
    session::{GRANT_MS, Leader, TASK, info, run_local, start_agent_with_lease, start_order},
};
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

const OTHER: TaskRef = TaskRef { index: 1, ..TASK };
/// How long endpoints drain in these tests, in milliseconds.
const DRAIN_MS: u64 = 3_500;
/// How long the work of an endpoint that has ended as planned waits at most, in milliseconds: a short lease, the margin, and the
/// interval at which the endpoint is called.
const PLANNED_END_MS: u64 = 2_600;
/// How long a stop takes, in milliseconds.
const STOP_MS: u64 = 600;
/// How long a run that is stopped at the end of its endpoint waits at most for the proof of its end, in milliseconds: the stop, and
/// one report.
const WAIT_MS: u64 = STOP_MS + 300;

/// An endpoint with one run, its agent and the leader.
struct Site {
    endpoint: MemoryEndpoint,
    agent: Rc<Agent>,
    stop: CancellationToken,
    leader: Leader,
}

impl Site {
    async fn start() -> Self {
        Self::with_grant(GRANT_MS).await
    }

    async fn with_grant(grant_ms: u64) -> Self {
        let endpoint = MemoryEndpoint::default();
        let stop = CancellationToken::new();
        let agent = start_agent_with_lease(&endpoint, grant_ms + 1_000, stop.clone()).await;
        agent.handle_announcement(Some(1), info());
        let mut leader = Leader::connect(&agent, 1).await;
        leader.grant_ms = grant_ms;
        leader.receive_for(700).await;
        leader.start(1).await;
        leader.receive_for(100).await;
        assert!(endpoint.is_running(TASK, 1));
        Self { endpoint, agent, stop, leader }
    }

    async fn drain_for(&mut self, ms: u64) -> Vec<ToLeader> {
        self.agent.handle_announcement(Some(1), HostInfo { draining: true, ..info() });
        self.leader.receive_for(ms).await
    }

    /// Deregisters the endpoint as the adapter of the platform does, and returns when that is acknowledged.
    fn deregister(&self) -> JoinHandle<Instant> {
        let agent = self.agent.clone();
        spawn_local(async move {
            agent.handle_departure(Some(1));
            agent.wait_for_listed_ends().await;
            Instant::now()
        })
    }

    /// How long the endpoint would run on without its agent, in milliseconds.
    fn lease_left_ms(&self) -> u64 {
        self.endpoint.lease_end_ms().saturating_sub(self.endpoint.clock_ms())
    }

    fn refuse_connections(&self) {
        self.endpoint.down.set(true);
        self.endpoint.reset_connections();
    }
}

/// When the agent of an endpoint that ends as planned is told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AgentStop {
    Never,
    WhileDraining,
    AfterDeregistration,
}

/// Whether `message` proves that the first run of [`TASK`] has ended.
fn proves_end(message: &ToLeader) -> bool {
    match message {
        ToLeader::Ended { ended, .. } => ended.task == TASK && ended.run == 1,
        ToLeader::Gone { .. } => true,
        _ => false,
    }
}

fn gone() -> ToLeader {
    ToLeader::Gone { incarnation: 1, suspects: Vec::new(), taken_over: Vec::new() }
}

/// Guards against an endpoint that is cut off while it drains, or before it hears that its deregistration has arrived, and whose
/// runs count as ended although they go on: they did after 250 ms of refused connections. A late deregistration of an earlier
/// incarnation proves nothing either.
#[rstest]
#[case::drained(true, false)]
#[case::drained_and_deregistered(true, true)]
#[case::deregistered(false, true)]
#[tokio::test(start_paused = true)]
async fn a_leaving_endpoint_that_refuses_connections_may_run_on(#[case] drains: bool, #[case] deregisters: bool) {
    run_local(async {
        let mut site = Site::start().await;
        if drains {
            site.drain_for(DRAIN_MS).await;
        }
        if deregisters {
            site.agent.handle_departure(Some(1));
        }
        site.refuse_connections();
        let received = site.leader.receive_for(site.lease_left_ms()).await;
        assert!(site.endpoint.is_running(TASK, 1));
        assert!(!received.contains(&gone()), "a run that may go on counts as ended: {received:?}");
        assert!(site.leader.receive_for(1_000).await.contains(&gone()), "the lease has ended");
    })
    .await;
}

/// Guards against an endpoint that takes no starts for as long as it lasts, because a late deregistration of an earlier incarnation
/// arrives, or one of another writer. The present incarnation does not drain.
#[rstest]
#[case::earlier_incarnation(Some(0))]
#[case::later_incarnation(Some(2))]
#[case::no_incarnation(None)]
#[tokio::test(start_paused = true)]
async fn a_departure_of_another_incarnation_has_no_effect(#[case] incarnation: Option<u64>) {
    run_local(async {
        let mut site = Site::start().await;
        site.agent.handle_departure(incarnation);
        site.leader.send(ToAgent::Start(start_order(OTHER, 1))).await;
        let received = site.leader.receive_for(500).await;
        assert!(!received.iter().any(|message| matches!(message, ToLeader::Info(_))), "{received:?}");
        assert!(!received.iter().any(|message| matches!(message, ToLeader::Rejected { .. })), "{received:?}");
        assert_eq!(site.endpoint.started.borrow().last(), Some(&(OTHER, 1)));
        assert_eq!(site.endpoint.stopped.borrow().len(), 0, "runs are stopped");
    })
    .await;
}

/// Guards against starts that the leader sends again and again to an endpoint that has announced its end: it is not offered.
#[rstest]
#[case::drained(true)]
#[case::without_draining(false)]
#[tokio::test(start_paused = true)]
async fn a_departing_endpoint_is_not_offered(#[case] drains: bool) {
    run_local(async {
        let mut site = Site::start().await;
        if drains {
            site.drain_for(DRAIN_MS).await;
        }
        site.agent.handle_departure((!drains).then_some(1));
        assert!(site.leader.receive_for(500).await.contains(&ToLeader::Info(None)));
        let mut leader = Leader::connect(&site.agent, 2).await;
        assert!(leader.receive_for(500).await.contains(&ToLeader::Info(None)));
    })
    .await;
}

/// Guards against runs that are killed while their endpoint drains, because its lease is extended in short steps: a call or two
/// without an answer must not end them.
#[tokio::test(start_paused = true)]
async fn the_lease_of_a_draining_endpoint_is_short_and_does_not_end() {
    run_local(async {
        let mut site = Site::start().await;
        site.drain_for(GRANT_MS).await;
        for _ in 0..20 {
            assert!((500..=2_000).contains(&site.lease_left_ms()), "{} ms", site.lease_left_ms());
            site.endpoint.silent.set(true);
            site.leader.receive_for(300).await;
            site.endpoint.silent.set(false);
            site.leader.receive_for(1_300).await;
            assert!(site.lease_left_ms() > 0);
        }
        assert!(site.endpoint.is_running(TASK, 1));
    })
    .await;
}

/// Guards against work that waits for a whole grant after the planned end of its endpoint, because the agent of that endpoint ends
/// before the lease does and the leader counts from the end of their session on.
#[tokio::test(start_paused = true)]
async fn an_agent_that_stops_after_its_endpoint_reports_the_end_of_the_lease() {
    run_local(async {
        let mut site = Site::start().await;
        site.drain_for(DRAIN_MS).await;
        site.agent.handle_departure(Some(1));
        site.endpoint.crash();
        let mut received = site.leader.receive_for(1_000).await;
        site.stop.cancel();
        received.extend(site.leader.receive_for(PLANNED_END_MS - 1_000).await);
        assert!(received.contains(&gone()), "{received:?}");
    })
    .await;
}

/// Guards against agents that take seconds to stop although their endpoint is not leaving, or has no runs.
#[rstest]
#[case::serving(false, false)]
#[case::cut_off(false, true)]
#[case::draining(true, false)]
#[tokio::test(start_paused = true)]
async fn an_agent_stops_at_once_unless_its_endpoint_has_ended_as_planned(
    #[case] drains: bool,
    #[case] refuses_connections: bool,
) {
    run_local(async {
        let mut site = Site::start().await;
        if drains {
            site.drain_for(DRAIN_MS).await;
        }
        if refuses_connections {
            site.refuse_connections();
        }
        site.leader.receive_for(300).await;
        let lease_left_ms = site.lease_left_ms();
        site.stop.cancel();
        sleep(Duration::from_millis(600)).await;
        let lease_end_ms = site.endpoint.lease_end_ms();
        sleep(Duration::from_millis(lease_left_ms)).await;
        assert_eq!(site.endpoint.lease_end_ms(), lease_end_ms, "the agent still extends the lease");
        assert_eq!(
            site.endpoint.stopped.borrow().contains(&(TASK, 1)),
            drains,
            "the end of an agent ends no run by itself"
        );
    })
    .await;
}

/// Guards against work that waits for the end of a lease which was granted before its endpoint began to drain: the lease outlives the
/// drain, and the agent, so that the leader counts a whole grant from the end of the session on. The run is stopped instead, also
/// if the answer to the stop is lost, and its end is proved before the endpoint is told that its deregistration has arrived.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_run_on_an_endpoint_that_ends_as_planned_waits_for_a_stop_and_a_report(
    #[values(2_000, 5_000, 9_000)] grant_ms: u64,
    #[values(500, 2_000, 3_500)] drain_ms: u64,
    #[values(AgentStop::Never, AgentStop::WhileDraining, AgentStop::AfterDeregistration)] agent_stop: AgentStop,
    #[values(false, true)] acknowledgement_lost: bool,
    #[values(false, true)] stop_answer_lost: bool,
) {
    run_local(async {
        let mut site = Site::with_grant(grant_ms).await;
        site.endpoint.stop_ms.set(STOP_MS);
        site.endpoint.lose_stops.set(stop_answer_lost.into());
        let mut received = site.drain_for(drain_ms / 2).await;
        let mut asked_at = Instant::now();
        if agent_stop == AgentStop::WhileDraining {
            site.stop.cancel();
        }
        received.extend(site.leader.receive_for(drain_ms / 2).await);
        if agent_stop != AgentStop::WhileDraining {
            assert!(
                site.endpoint.is_running(TASK, 1),
                "what may finish on its own is left alone while the endpoint drains"
            );
            asked_at = Instant::now();
        }
        let acknowledged = site.deregister();
        received.extend(site.leader.receive_for(50).await);
        if agent_stop == AgentStop::AfterDeregistration {
            site.stop.cancel();
        }
        let left = (asked_at + Duration::from_millis(WAIT_MS)).saturating_duration_since(Instant::now());
        received.extend(site.leader.receive_for(left.as_millis() as u64).await);
        assert!(received.iter().any(proves_end), "no proof of the end within {WAIT_MS} ms: {received:?}");
        assert!(!site.endpoint.is_running(TASK, 1), "the run goes on although the leader has a proof of its end");
        if agent_stop != AgentStop::WhileDraining {
            let took_ms = acknowledged.await.expect("an acknowledgement").duration_since(asked_at).as_millis();
            assert!((STOP_MS.into()..1_000).contains(&took_ms), "acknowledged after {took_ms} ms");
        }
        // An acknowledgement that is lost changes nothing: the endpoint runs on for some time, without a run.
        if !acknowledgement_lost {
            site.endpoint.crash();
        }
        let received = site.leader.receive_for(1_000).await;
        assert!(!received.iter().any(|message| matches!(message, ToLeader::Info(Some(_)))), "offered: {received:?}");
        assert_eq!(site.endpoint.started.borrow().as_slice(), [(TASK, 1)]);
    })
    .await;
}

/// Guards against a run that starts after its endpoint was told that nothing runs any more, and against one whose task is given
/// back while it may start: the answer to a start is lost, and it is carried out before or after the stop.
#[rstest]
#[case::before_the_stop(20)]
#[case::after_the_stop(400)]
#[tokio::test(start_paused = true)]
async fn a_start_without_an_answer_is_settled_at_the_deregistration(#[case] delay_ms: u64) {
    run_local(async {
        let mut site = Site::start().await;
        site.endpoint.delay_starts_ms.set(delay_ms);
        site.leader.send(ToAgent::Start(start_order(OTHER, 1))).await;
        let mut received = site.leader.receive_for(50).await;
        let acknowledged = site.deregister();
        received.extend(site.leader.receive_for(300).await);
        acknowledged.await.expect("an acknowledgement");
        let is_settled = received.iter().any(|message| match message {
            ToLeader::Ended { ended, .. } => ended.task == OTHER,
            ToLeader::Rejected { task, .. } => *task == OTHER,
            _ => false,
        });
        assert!(is_settled && !site.endpoint.is_running(OTHER, 1), "{received:?}");
        site.leader.receive_for(1_000).await;
        assert_eq!(site.endpoint.started.borrow().contains(&(OTHER, 1)), delay_ms < 50);
        assert!(!site.endpoint.is_running(OTHER, 1), "the start was carried out after the stop");
    })
    .await;
}

/// Guards against an endpoint that waits for the answer to its deregistration although its runs cannot be stopped, and against
/// taking the answer for their end.
#[rstest]
#[case::refuses_connections(|endpoint: &MemoryEndpoint| endpoint.down.set(true))]
#[case::silent(|endpoint: &MemoryEndpoint| endpoint.silent.set(true))]
#[case::slow(|endpoint: &MemoryEndpoint| endpoint.slow_stops.set(true))]
#[tokio::test(start_paused = true)]
async fn a_deregistration_is_acknowledged_within_a_second(#[case] fault: fn(&MemoryEndpoint)) {
    run_local(async {
        let mut site = Site::with_grant(9_000).await;
        site.drain_for(500).await;
        fault(&site.endpoint);
        let asked_at = Instant::now();
        let acknowledged = site.deregister();
        let received = site.leader.receive_for(1_500).await;
        let took_ms = acknowledged.await.expect("an acknowledgement").duration_since(asked_at).as_millis();
        assert!((900..1_000).contains(&took_ms), "acknowledged after {took_ms} ms");
        assert!(!received.iter().any(proves_end), "a run that goes on counts as ended: {received:?}");
        assert!(site.endpoint.is_running(TASK, 1));
    })
    .await;
}

/// Guards against a leader that counts the time that an endpoint has left from a later moment than the endpoint does, because an agent
/// repeats it unchanged in a later session.
#[tokio::test(start_paused = true)]
async fn the_time_that_an_endpoint_has_left_is_passed_on_and_passes() {
    run_local(async {
        let mut site = Site::start().await;
        let draining = |remaining_ms| HostInfo { draining: true, remaining_ms, ..info() };
        site.agent.handle_announcement(Some(1), draining(Some(2_000)));
        let received = site.leader.receive_for(500).await;
        assert!(received.contains(&ToLeader::Info(Some(draining(Some(2_000))))), "{received:?}");
        let mut leader = Leader::connect(&site.agent, 2).await;
        let received = leader.receive_for(500).await;
        assert!(received.contains(&ToLeader::Info(Some(draining(Some(1_500))))), "{received:?}");
        site.agent.handle_announcement(Some(1), draining(Some(2_000)));
        let received = leader.receive_for(500).await;
        assert!(received.contains(&ToLeader::Info(Some(draining(Some(2_000))))), "{received:?}");
    })
    .await;
}

/// Guards against runs that end together with an endpoint which refuses connections as soon as it has deregistered, so that a stop
/// at that moment comes too late and their tasks wait for a lease, or run again although they had succeeded. Serving tasks are
/// stopped ahead of the stated end, tasks that may still end on their own at the stated end.
#[rstest]
#[tokio::test(start_paused = true)]
async fn runs_are_stopped_before_an_endpoint_ends_as_it_has_stated(
    #[values(2_000, 5_000, 9_000)] grant_ms: u64,
    #[values(2_000, 3_500)] remaining_ms: u64,
) {
    run_local(async {
        let mut site = Site::with_grant(grant_ms).await;
        site.endpoint.stop_ms.set(STOP_MS);
        let serving = Start { tail_target_ms: Some(50), ..start_order(OTHER, 1) };
        site.leader.send(ToAgent::Start(serving)).await;
        site.leader.receive_for(300).await;
        assert!(site.endpoint.is_running(OTHER, 1));
        let draining = HostInfo { draining: true, remaining_ms: Some(remaining_ms), ..info() };
        site.agent.handle_announcement(Some(1), draining);
        let received = site.leader.receive_for(remaining_ms - 1_300).await;
        assert!(!received.iter().any(|message| matches!(message, ToLeader::Ended { .. })), "{received:?}");
        let received = site.leader.receive_for(1_300).await;
        let has_ended = |message: &ToLeader| matches!(message, ToLeader::Ended { ended, .. } if ended.task == OTHER);
        assert!(received.iter().any(has_ended), "no proof of the end of the serving task: {received:?}");
        assert!(site.endpoint.is_running(TASK, 1), "what may finish on its own is left alone until the stated end");
        let received = site.leader.receive_for(WAIT_MS + 250).await;
        assert!(received.iter().any(proves_end), "no proof of the end: {received:?}");
        site.refuse_connections();
        site.agent.handle_departure(Some(1));
        let left = site.leader.receive_for(1_000).await;
        assert!(!left.iter().any(|message| matches!(message, ToLeader::Ended { .. })), "{left:?}");
    })
    .await;
}
