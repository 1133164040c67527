//! Tests of the progress of runs that an agent reports to the leader.

mod support;

use fescuelead_core::jobs::RunProgress;
use support::{
    MemoryEndpoint,
    session::{Leader, TASK, run_local, start_agent},
};

fn percents(progress: &[RunProgress]) -> Vec<u8> {
    progress.iter().map(|progress| progress.percent).collect()
}

/// Guards against traffic that grows with the number of reports instead of with the progress made: one leader hears all agents.
#[tokio::test(start_paused = true)]
async fn progress_is_sent_once_a_second_where_it_has_changed() {
    run_local(async {
        let endpoint = MemoryEndpoint::default();
        endpoint.percent.set(Some(0));
        let agent = start_agent(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.receive_for(600).await;
        leader.start(1).await;
        leader.receive_for(900).await;
        assert_eq!(leader.progress, [], "the run is younger than a second");
        leader.receive_for(3_000).await;
        assert_eq!(percents(&leader.progress), [0], "unchanged progress is sent once");
        for percent in 1..=20 {
            endpoint.percent.set(Some(percent));
            leader.receive_for(250).await;
        }
        assert!((4..=7).contains(&leader.progress.len()), "{:?}", leader.progress);
        let last = leader.progress.last().expect("progress");
        assert_eq!((last.task, last.run), (TASK, 1));
        assert!((6_000..9_000).contains(&last.elapsed_ms), "{last:?}");
    })
    .await;
}

/// Guards against a new leader that knows no ends of runs whose progress stands still, and against reports of nothing.
#[tokio::test(start_paused = true)]
async fn a_new_leader_is_told_of_progress_that_has_not_changed() {
    run_local(async {
        let endpoint = MemoryEndpoint::default();
        let agent = start_agent(&endpoint).await;
        let mut leader = Leader::connect(&agent, 1).await;
        leader.receive_for(600).await;
        leader.start(1).await;
        leader.receive_for(3_000).await;
        assert_eq!(leader.progress, [], "the endpoint states no progress");
        endpoint.percent.set(Some(30));
        leader.receive_for(2_000).await;
        assert_eq!(percents(&leader.progress), [30]);
        let mut next = Leader::connect(&agent, 2).await;
        next.receive_for(1_000).await;
        assert_eq!(percents(&next.progress), [30]);
    })
    .await;
}
