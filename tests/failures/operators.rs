//! Availability zones that leave and operators that race.

use hyper::Method;
use serde_json::json;

use crate::support::{Field, PROFILES, eventually, plan};

async fn zone_leaves_and_returns(log_delay_ms: u64) {
    let field = Field::start(plan()).await;
    field.submit_all(0, "masters", "master", 20, 8_000).await;
    field.submit_all(0, "takedowns", "takedown", 4, 8_000).await;
    field.started(24).await;
    field.site.log.faults().update(|faults| faults.delay_ms = log_delay_ms);
    let zone = field.site.zone(0);
    let version = field.set_zone(0, &zone, true).await;
    field.in_force(version).await;
    let is_out = |host| field.site.zone(host) == zone;
    let before = field.starts_on(is_out).len();
    field.submit_all(1, "masters", "late", 20, 500).await;
    assert_eq!(field.ends(1).await.get("succeeded"), Some(&44));
    assert_eq!(field.starts_on(is_out).len(), before, "a task started in a zone that was out");
    field.site.log.faults().clear();
    let back = field.set_zone(1, &zone, false).await;
    assert!(back > version);
    field.in_force(back).await;
    let mut round = 0;
    while field.starts_on(is_out).len() == before {
        round += 1;
        assert!(round < 20, "nothing starts in the zone that is back");
        field.submit_all(0, "masters", &format!("back-{round}"), 20, 200).await;
        field.ends(0).await;
    }
    field.check().await;
}

/// Guards against a start in an availability zone that every process knows to be out, and against work lost in the move.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_starts_in_a_zone_that_is_out() {
    zone_leaves_and_returns(0).await;
}

/// The same while the log is slow.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_starts_in_a_zone_that_is_out_while_the_log_is_slow() {
    zone_leaves_and_returns(500).await;
}

/// Guards against two changes on one version, a loser that is told nothing, and entries that disagree.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_that_race_one_wins() {
    let field = Field::start(plan()).await;
    for round in 0..10_usize {
        let seen = field.get(0, "/v1/config").await.expect("an answer").json()["version"].as_u64().expect("a version");
        let text = format!("{PROFILES}\n# round {round}\n");
        let body = json!({ "out": round.is_multiple_of(2), "expected_version": seen, "author": "operator-zone" });
        let address = field.site.api_address(1);
        let (published, zone) =
            tokio::join!(field.publish(0, seen, &text), field.call(Method::PUT, address, "/v1/zones/az-1", body));
        let answers = [published, zone.expect("an answer")];
        let won: Vec<_> = answers.iter().filter(|answer| answer.status.is_success()).collect();
        let lost: Vec<_> = answers.iter().filter(|answer| answer.status.as_u16() == 412).collect();
        assert_eq!((won.len(), lost.len()), (1, 1), "{answers:?}");
        let version = won[0].json()["version"].as_u64().expect("a version");
        assert!(version > seen);
        assert_eq!(lost[0].json()["standing_version"], version);
        field.in_force(version).await;
        field.note_versions().await;
        let views = [field.get(0, "/v1/config").await, field.get(1, "/v1/config").await];
        let views: Vec<_> = views.into_iter().map(|answer| answer.expect("an answer").json()).collect();
        assert_eq!(views[0], views[1]);
    }
    eventually("agreement", || async { field.get(0, "/v1/config/history").await }).await;
    field.check().await;
}

/// Guards against a change that is accepted in an outage of the log and lost or reverted after it, and against two winners
/// or none once the log is back.
#[tokio::test(flavor = "multi_thread")]
async fn operators_that_race_in_an_outage_change_nothing_until_one_wins() {
    let field = Field::start(plan()).await;
    let seen = field.get(0, "/v1/config").await.expect("an answer").json()["version"].as_u64().expect("a version");
    let texts = [0, 1].map(|operator| format!("{PROFILES}\n# operator {operator}\n"));
    field.site.log.faults().update(|faults| faults.down = true);
    let (first, second) = tokio::join!(field.publish(0, seen, &texts[0]), field.publish(1, seen, &texts[1]));
    assert!([&first, &second].iter().all(|answer| !answer.status.is_success()), "{first:?} {second:?}");
    field.note_versions().await;
    field.site.log.faults().clear();
    let (first, second) = tokio::join!(verdict(&field, 0, seen, &texts[0]), verdict(&field, 1, seen, &texts[1]));
    assert!(first > seen);
    assert_eq!(first, second, "both know the same version");
    field.in_force(first).await;
    let views = [field.get(0, "/v1/config").await, field.get(1, "/v1/config").await];
    let views: Vec<_> = views.into_iter().map(|answer| answer.expect("an answer").json()).collect();
    assert_eq!(views[0], views[1]);
    field.check().await;
}

/// Publishes on the version that the operator saw until a verdict comes, and returns the version that stands then.
async fn verdict(field: &Field, entry: usize, seen: u64, text: &str) -> u64 {
    eventually("a verdict", || async {
        let answer = field.publish(entry, seen, text).await;
        let told = if answer.status.is_success() { "version" } else { "standing_version" };
        answer.json()[told].as_u64()
    })
    .await
}
