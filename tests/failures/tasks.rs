//! Workers that fail everything, tasks that can never run, and waves of cancellations.

use hyper::Method;
use serde_json::Value;

use crate::support::{Field, PROFILES, plan};

/// Guards against tasks that end as failed because one worker fails all it starts.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_fails_everything_is_avoided() {
    let field = Field::start(plan()).await;
    field.site.hosts[0].worker.faults().update(|faults| faults.fail_starts = true);
    for round in 0..10 {
        field.submit_all(round % 2, "masters", &format!("master-{round}"), 10, 100).await;
    }
    assert_eq!(field.ends(0).await.get("succeeded"), Some(&100));
    println!("starts on the failing worker: {}", field.starts_on(|host| host == 0).len());
    field.check().await;
}

/// Guards against a task that can never run and is kept forever, or keeps others waiting.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_can_never_run_is_rejected_and_blocks_nobody() {
    let field = Field::start(plan()).await;
    // The second task waits for its team's quota, which is then lowered below what the task needs.
    let payload = r#"{"run_ms": 3000}"#;
    field.submit(0, "small", "small-0", payload).await;
    field.started(1).await;
    field.submit(0, "small", "small-1", payload).await;
    let seen = field.get(0, "/v1/config").await.expect("an answer").json()["version"].as_u64().expect("a version");
    let lowered = PROFILES.replace("cpu_milli = 1001", "cpu_milli = 500").replace("cpu_milli = 999", "cpu_milli = 500");
    let answer = field.publish(0, seen, &lowered).await;
    assert!(answer.status.is_success(), "{answer:?}");
    let oversize = field.try_submit(0, "oversize", "too-large", "").await.expect("an answer");
    field.submit_all(0, "masters", "master", 20, 100).await;
    for number in 0..20 {
        assert_eq!(field.end_of(1, &format!("c0-master-{number}")).await, "succeeded");
    }
    // An entry that has not known its workers for long accepts the task and rejects it later.
    if oversize.status.is_success() {
        assert_eq!(field.end_of(1, "c0-too-large").await, "failed");
    } else {
        assert_eq!((oversize.status.as_u16(), oversize.outcome.as_deref()), (422, Some("not-run")), "{oversize:?}");
    }
    assert_eq!(
        (field.end_of(1, "c0-small-0").await, field.end_of(1, "c0-small-1").await),
        ("succeeded".into(), "failed".into())
    );
    assert_eq!(field.site.ledger.total().starts, 21);
    field.check().await;
}

/// Guards against workers that are never trusted with more than a few tasks because none of these has ended yet.
#[tokio::test(flavor = "multi_thread")]
async fn long_tasks_fill_workers_that_have_kept_some_alive() {
    let field = Field::start(plan()).await;
    field.submit_all(0, "masters", "master", 60, 600_000).await;
    field.started(60).await;
    field.check().await;
}

/// Guards against a wave of cancellations that leaves tasks running, or keeps urgent work from starting.
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_of_cancellations_ends_everything_it_names() {
    let field = Field::start(plan()).await;
    field.submit_all(0, "masters", "master", 500, 600_000).await;
    field.started(10).await;
    let cancel = |number: usize| {
        let field = &field;
        async move {
            let path = format!("/v1/tasks/c0-master-{number}/cancel");
            field.call(Method::POST, field.site.api_address(number % 2), &path, Value::Null).await
        }
    };
    let wave = futures::future::join_all((0..500).map(cancel));
    let urgent = async {
        field.submit_all(1, "urgent", "urgent", 1, 100).await;
        field.end_of(1, "c0-urgent-0").await
    };
    let (answers, urgent) = tokio::join!(wave, urgent);
    assert!(answers.iter().flatten().all(|answer| answer.status.is_success()));
    assert_eq!(urgent, "succeeded");
    let ends = field.ends(0).await;
    assert_eq!((ends.get("cancelled"), ends.get("succeeded")), (Some(&500), Some(&1)), "{ends:?}");
    let total = field.site.ledger.total();
    assert_eq!(total.starts, total.ends(), "{total:?}");
    field.check().await;
}
