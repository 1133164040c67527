//! Measures how soon decisions of operators and endpoints take effect. The figures are printed, never asserted.

use std::time::{Duration, Instant};

use hyper::Method;

use crate::{
    site::Plan,
    support::{Field, PROFILES, eventually, plan},
};

/// Prints the time from the acceptance of a configuration until it is in force everywhere, from the acceptance of a zone
/// out until the last start there, and from an endpoint's leaving until its last new request.
#[tokio::test(flavor = "multi_thread")]
async fn figures_of_rollout_zone_out_and_leaving() {
    let field = Field::start(plan()).await;
    let mut rollouts_ms = Vec::new();
    for round in 0..5 {
        let seen = field.get(0, "/v1/config").await.expect("an answer").json()["version"].as_u64().expect("a version");
        let answer = field.publish(0, seen, &format!("{PROFILES}\n# round {round}\n")).await;
        let accepted = Instant::now();
        field.in_force(answer.json()["version"].as_u64().expect("a version")).await;
        rollouts_ms.push(accepted.elapsed().as_millis());
    }
    println!("configuration in force everywhere, ms after it was accepted: {rollouts_ms:?} (bound 3000)");

    let submitting = async {
        for round in 0..40 {
            field.submit_all(1, "masters", &format!("master-{round}"), 10, 200).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let zone = field.site.zone(0);
    let leaving = async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let version = field.set_zone(0, &zone, true).await;
        let accepted_ms = field.site.ledger_start.elapsed().as_secs_f64() * 1_000.0;
        field.in_force(version).await;
        accepted_ms
    };
    let ((), accepted_ms) = tokio::join!(submitting, leaving);
    field.ends(0).await;
    let starts = field.starts_on(|host| field.site.zone(host) == zone);
    let last_ms = starts.iter().fold(f64::NEG_INFINITY, |last, start| last.max(*start)) - accepted_ms;
    println!("last start in a zone, ms after its taking out was accepted: {last_ms:.0} (bound 3000)");
    field.check().await;
    leave_under_load().await;
}

async fn leave_under_load() {
    let plan = Plan::new(2, 4).with_entries(2).with_service("previews");
    let field = Field::start(plan).await;
    let endpoint = field.site.hosts[0].endpoint.clone();
    let load = async {
        for number in 0..1_000 {
            let path = format!("/s/previews/track/{number}");
            field.call_with(Method::POST, field.site.request_address(number % 2), &path, &[], String::new()).await;
        }
    };
    let last = async {
        eventually("load", || async { (endpoint.counts().arrived > 20).then_some(()) }).await;
        let left = Instant::now();
        endpoint.leave();
        let (mut arrived, mut last_ms) = (endpoint.counts().arrived, 0.0);
        while left.elapsed() < Duration::from_secs(2) {
            let now = endpoint.counts().arrived;
            if now > arrived {
                (arrived, last_ms) = (now, left.elapsed().as_secs_f64() * 1_000.0);
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        last_ms
    };
    let ((), last_ms) = tokio::join!(load, last);
    println!("last new request, ms after the endpoint began to leave: {last_ms:.1} (bound 2000)");
    field.check().await;
}
