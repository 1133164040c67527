//! A log service that is down, slow, forgetful or whose answers are lost.

use std::time::Duration;

use fescuelead_standin::log::Retention;
use hyper::Method;

use crate::{
    endpoints::is_whole,
    support::{Field, PROFILES, eventually, plan},
};

const OUTAGE: Duration = Duration::from_secs(10);

/// Guards against an outage of the log that stops running work or idempotent requests, lets a non-idempotent request or a
/// task start unrecorded, or leaves something stuck afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn work_goes_on_through_an_outage_of_the_log() {
    let field = Field::start(plan()).await;
    field.submit_all(0, "masters", "master", 8, 14_000).await;
    field.started(8).await;
    eventually("a preview", || async { preview(&field, 0, 0).await.then_some(()) }).await;
    eventually("a review", || async { field.review(0, "before").await.filter(|a| a.status.is_success()) }).await;
    field.site.log.faults().update(|faults| faults.down = true);
    let ended = tokio::time::sleep(OUTAGE);
    tokio::pin!(ended);
    let mut number = 0;
    while !ended.is_elapsed() {
        number += 1;
        assert!(preview(&field, number % 2, number).await, "an idempotent request failed in the outage");
        let key = format!("review-{number}");
        let refused = field.review(number % 2, &key).await.expect("an answer");
        assert_eq!(refused.outcome.as_deref(), Some("not-run"), "{refused:?}");
        assert_eq!(field.runs_of(&key), 0);
        tokio::select! {
            () = &mut ended => {}
            () = tokio::time::sleep(Duration::from_millis(500)) => {}
        }
        assert_eq!(field.site.ledger.total().starts, 8);
    }
    field.note_versions().await;
    field.site.log.faults().clear();
    field.submit_all(0, "masters", "later", 4, 100).await;
    assert_eq!(field.ends(0).await.get("succeeded"), Some(&12));
    // Each ran through without being frozen or moved.
    assert_eq!(field.intervals().len(), 12);
    for refused in 1..=number {
        assert_eq!(field.runs_of(&format!("review-{refused}")), 0);
    }
    eventually("a review", || async { field.review(0, "after").await.filter(|a| a.status.is_success()) }).await;
    field.check().await;
}

async fn preview(field: &Field, entry: usize, number: usize) -> bool {
    let (path, body) = (format!("/track/{number}"), format!("sound {number}"));
    let address = field.site.request_address(entry);
    let answer = field.call_with(Method::POST, address, &format!("/s/previews{path}"), &[], body.clone()).await;
    answer.is_some_and(|answer| answer.status.is_success() && is_whole(&answer.text, &path, &body))
}

/// Guards against an entry host that is lost for the whole outage because its replacement waits for the log, and against a
/// replacement that takes a peer's copy for the log.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_in_an_outage_serves_from_a_copy_of_its_peer() {
    let mut field = Field::start(plan()).await;
    field.submit_all(0, "masters", "master", 4, 20_000).await;
    field.started(4).await;
    eventually("a preview", || async { preview(&field, 0, 0).await.then_some(()) }).await;
    field.site.log.faults().update(|faults| faults.down = true);
    field.site.entries[0].abort();
    let peer = field.site.entries[1].addresses().peer.expect("an entry");
    field.site.entries[0] = field.site.start_entry_with(0, &[peer]).await.expect("it starts");
    field.ready(0).await;
    let status = field.get(0, "/v1/status").await.expect("an answer").json();
    assert_eq!(status["log"]["peer_copy"]["peer"], peer.to_string(), "{status}");
    assert!(status["rollout"]["version"].as_u64().expect("a version") > 0);
    // Agents are told of the newcomer, so that it learns the endpoints.
    eventually("a preview by the newcomer", || async { preview(&field, 0, 1).await.then_some(()) }).await;
    let refused = field.review(0, "review-in-outage").await.expect("an answer");
    assert_eq!(refused.outcome.as_deref(), Some("not-run"), "{refused:?}");
    let refused = field.try_submit(0, "masters", "refused", r#"{"run_ms":100}"#).await.expect("an answer");
    assert_eq!((refused.status.as_u16(), &refused.json()["outcome"]), (503, &"not-run".into()), "{refused:?}");
    let refused = field.publish(0, status["rollout"]["version"].as_u64().expect("a version"), PROFILES).await;
    assert_eq!((refused.status.as_u16(), &refused.json()["outcome"]), (503, &"not-run".into()), "{refused:?}");
    assert_eq!(field.site.ledger.total().starts, 4, "a task started on the strength of a copy");
    field.note_versions().await;
    field.site.log.faults().clear();
    field.submit(0, "masters", "later", r#"{"run_ms":100}"#).await;
    eventually("a view of the log", || async {
        let status = field.get(0, "/v1/status").await?.json();
        status["log"]["peer_copy"].is_null().then_some(())
    })
    .await;
    assert_eq!(field.ends(0).await.get("succeeded"), Some(&5));
    assert_eq!(field.runs_of("review-in-outage"), 0);
    eventually("a review", || async { field.review(0, "after").await.filter(|a| a.status.is_success()) }).await;
    field.check().await;
}

/// Guards against a task that is lost or made twice because the answer to its append was lost.
#[tokio::test(flavor = "multi_thread")]
async fn submissions_survive_lost_answers_of_appends() {
    let field = Field::start(plan()).await;
    field.site.log.faults().update(|faults| faults.lose_answers = 5);
    for round in 0..6 {
        field.submit_all(round % 2, "masters", &format!("master-{round}"), 5, 100).await;
    }
    assert_eq!(field.ends(0).await.get("succeeded"), Some(&30));
    assert_eq!(field.site.ledger.total().starts, 30);
    assert_eq!(field.site.log.faults().get().lose_answers, 0);
    field.check().await;
}

/// Guards against a task that is lost or made twice because the answer to its append was lost and its entry then died.
#[tokio::test(flavor = "multi_thread")]
async fn submissions_survive_a_lost_answer_and_the_death_of_their_entry() {
    let mut field = Field::start(plan()).await;
    field.site.log.faults().update(|faults| faults.lose_answers = 2);
    {
        let lost =
            eventually("a lost answer", || async { (field.site.log.faults().get().lose_answers < 2).then_some(()) });
        // Callers of the dead entry get no answer and turn to the other one with the same keys.
        tokio::select! {
            () = lost => {}
            () = field.submit_all(0, "masters", "master", 6, 100) => {}
        }
    }
    field.site.entries[0].abort();
    field.submit_all(1, "masters", "master", 6, 100).await;
    assert_eq!(field.ends(1).await.get("succeeded"), Some(&6));
    assert_eq!(field.site.ledger.total().starts, 6);
    field.check().await;
}

/// Guards against a slow log that starts things twice, or lets them wait forever.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_log_only_slows_things_down() {
    let field = Field::start(plan()).await;
    field.site.log.faults().update(|faults| faults.delay_ms = 500);
    field.submit_all(0, "masters", "master", 20, 3_000).await;
    for number in 0..3 {
        let key = format!("review-{number}");
        eventually("a review", || async { field.review(0, &key).await.filter(|a| a.status.is_success()) }).await;
    }
    assert_eq!(field.ends(1).await.get("succeeded"), Some(&20));
    assert_eq!(field.site.ledger.total().starts, 20);
    field.check().await;
}

/// Guards against work that stays with a host that died while nobody could write that down.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_lost_in_an_outage_is_replaced_after_it() {
    let mut field = Field::start(plan()).await;
    field.submit_all(0, "masters", "master", 12, 12_000).await;
    field.started(12).await;
    field.site.log.faults().update(|faults| faults.down = true);
    let dead = field.busiest_host();
    field.site.hosts[dead].crash();
    tokio::time::sleep(OUTAGE).await;
    field.site.log.faults().clear();
    assert_eq!(field.ends(1).await.get("succeeded"), Some(&12));
    field.check().await;
}

/// Guards against an entry that starts with less than what was accepted because the log forgot the beginning.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_starts_again_after_the_log_has_forgotten_the_beginning() {
    let mut field = Field::start(plan()).await;
    field.submit_all(0, "masters", "old", 40, 100).await;
    field.ends(1).await;
    field.submit_all(0, "masters", "running", 8, 20_000).await;
    field.started(48).await;
    field.note_versions().await;
    field.site.log.set_retention(Retention::new().with_count(4));
    eventually("the end of retention", || async {
        let page = field.site.log.page("cell-0");
        (page.first_offset > 0).then_some(())
    })
    .await;
    let version = field.get(1, "/v1/config").await.expect("an answer").json()["version"].clone();
    field.site.entries[0].abort();
    field.site.restart_entry(0).await.expect("the entry starts");
    field.ready(0).await;
    assert_eq!(field.get(0, "/v1/config").await.expect("an answer").json()["version"], version);
    assert_eq!(field.ends(0).await.get("succeeded"), Some(&48));
    field.check().await;
}
