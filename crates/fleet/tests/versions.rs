//! Messages and records between processes of different versions, as they occur during a rolling upgrade.

use std::collections::BTreeMap;

use fescuelead_core::jobs::{
    HostInfo, JobId, JobProgress, JobSpec, Phase, QueueSettings, RunProgress, StepSpec, TaskRef, progress::TaskProgress,
};
use fescuelead_fleet::message::{self, Start, ToAgent, ToLeader};
use serde::Deserialize;

const TASK: TaskRef = TaskRef { job: JobId(7), occurrence: 0, step: 0, index: 0 };

/// The record of a job's progress before the crashes of endpoints were counted.
#[derive(Debug, PartialEq, Deserialize)]
struct EarlierProgress {
    phase: Phase,
    begun: bool,
    occurrences: Vec<Vec<Vec<TaskProgress>>>,
}

fn progress() -> JobProgress {
    let settings =
        QueueSettings { service: "desk".to_owned(), priority: 0, max_failures: 1, stretch_percent: 100, latency_ms: 0 };
    JobProgress::new(&JobSpec {
        queue: "previews".to_owned(),
        settings,
        accepted_unix_ms: 0,
        payload: String::new(),
        steps: vec![StepSpec { tasks: 2, ..StepSpec::default() }],
        repeat: None,
    })
}

/// Guards against a leader that loses the session with every agent of an earlier version as soon as an endpoint is lost.
#[tokio::test]
async fn a_lost_endpoint_of_an_earlier_agent_is_understood() {
    let gone = ToLeader::Gone { incarnation: 5, suspects: Vec::new(), taken_over: Vec::new() };
    let mut frame = message::encode(std::slice::from_ref(&gone)).expect("a frame");
    // Earlier versions did not send the runs that are taken over, and those before them no suspects.
    for _ in 0..2 {
        assert_eq!(frame.pop(), Some(0), "the length of the list is the last byte");
        frame[3] -= 1;
        assert_eq!(message::read::<ToLeader>(&mut frame.as_slice()).await.expect("a message"), gone);
    }
}

/// Guards against a leader that loses the session with every agent of an earlier version, and against an end that it makes up: they do
/// not send the time that a draining endpoint has left.
#[tokio::test]
async fn the_description_of_an_earlier_agent_is_understood() {
    let info = ToLeader::Info(Some(HostInfo { service: "desk".to_owned(), draining: true, ..HostInfo::default() }));
    let mut frame = message::encode(std::slice::from_ref(&info)).expect("a frame");
    assert_eq!(frame.pop(), Some(0), "that no time is stated is the last byte");
    frame[3] -= 1;
    assert_eq!(message::read::<ToLeader>(&mut frame.as_slice()).await.expect("a message"), info);
}

/// Guards against a leader and an agent of which only one knows of the progress of runs, and which lose their session with
/// each request for a grant.
#[tokio::test]
async fn a_request_for_a_grant_is_understood_with_and_without_progress() {
    let progress = vec![RunProgress { task: TASK, run: 1, percent: 40, elapsed_ms: 1_500 }];
    let ask = ToLeader::Ask { asked_ms: 1, started: Vec::new(), suspicion: None, progress };
    let frame = message::encode(std::slice::from_ref(&ask)).expect("a frame");
    assert_eq!(message::read::<ToLeader>(&mut frame.as_slice()).await.expect("a message"), ask);

    let without = ToLeader::Ask { asked_ms: 1, started: Vec::new(), suspicion: None, progress: Vec::new() };
    let mut frame = message::encode(std::slice::from_ref(&without)).expect("a frame");
    assert_eq!(frame.pop(), Some(0), "the length of the list is the last byte");
    frame[3] -= 1;
    assert_eq!(message::read::<ToLeader>(&mut frame.as_slice()).await.expect("a message"), without);
}

/// Guards against an agent that loses the session with a leader of an earlier version as soon as it is ordered to start a
/// run.
#[tokio::test]
async fn a_start_of_an_earlier_leader_is_understood() {
    let start = ToAgent::Start(Start {
        incarnation: 5,
        task: TASK,
        run: 1,
        payload: "render".to_owned(),
        checkpoint: None,
        cpu_milli: 1_000,
        background: false,
        tail_target_ms: None,
        image: Some("web".to_owned()),
        memory_mib: 0,
        accelerators: 0,
        expires_at_ms: None,
    });
    let mut frame = message::encode(std::slice::from_ref(&start)).expect("a frame");
    // Earlier versions did not send the time of expiry, and those before them no memory and accelerators.
    for _ in 0..3 {
        assert_eq!(frame.pop(), Some(0), "the new fields are the last bytes");
        frame[3] -= 1;
        assert_eq!(message::read::<ToAgent>(&mut frame.as_slice()).await.expect("a message"), start);
    }
}

/// Guards against entries of different versions that cannot read each other's records, and so run tasks again.
#[test]
fn records_with_and_without_crashes_are_read_by_both_versions() {
    let with_crashes = JobProgress { crashes: BTreeMap::from([(TASK, 2)]), ..progress() };
    let bytes = postcard::to_stdvec(&with_crashes).expect("a record");
    let JobProgress { phase, begun, occurrences, .. } = with_crashes.clone();
    let occurrences = occurrences.iter().map(|steps| steps.iter().map(|tasks| tasks.to_vec()).collect()).collect();
    assert_eq!(postcard::from_bytes::<EarlierProgress>(&bytes), Ok(EarlierProgress { phase, begun, occurrences }));
    assert_eq!(postcard::from_bytes::<JobProgress>(&bytes), Ok(with_crashes));

    let mut earlier = postcard::to_stdvec(&progress()).expect("a record");
    assert_eq!(earlier.pop(), Some(0), "the length of the map is the last byte");
    assert_eq!(postcard::from_bytes::<JobProgress>(&earlier), Ok(progress()));
}
