//! The whole path in one process: callers, entries, agents, endpoints, workers and the log service.

#[path = "../examples/quickstart/client.rs"]
#[allow(dead_code, reason = "shared with the quickstart example")]
mod client;
#[path = "../examples/quickstart/site.rs"]
#[allow(dead_code, reason = "shared with the quickstart example")]
mod site;
#[path = "support/wait.rs"]
mod wait;

use client::Client;
use hyper::Method;
use serde_json::json;
use site::{OPERATOR_TOKEN, Plan, Site};
use wait::eventually;

const PROFILES: &str = r#"
    [team.storefront]
    quota = { cpu_milli = 100000, memory_mib = 100000 }
    [profile.store-preview]
    kind = "latency-critical"
    team = "storefront"
    idempotent = true
    [profile.review]
    kind = "latency-critical"
    team = "storefront"
    deadline_ms = 5000
    [profile.master]
    kind = "batch"
    team = "storefront"
    idempotent = true
    resources = { cpu_milli = 1000, memory_mib = 100 }
    deadline_ms = 600000
    [service.previews]
    profile = "store-preview"
    [service.reviews]
    profile = "review"
    [service.masters]
    profile = "master"
"#;

async fn start() -> (Site, Client) {
    let plan = Plan::new(2, 4).with_entries(2).with_service("previews").with_service("reviews");
    let site = Site::start(plan).await.expect("the site starts");
    let client = Client::new(OPERATOR_TOKEN);
    let api = site.api_address(0);
    eventually("readiness of the entry", || async {
        client.get(api, "/readyz").await.ok().filter(|answer| answer.status.is_success())
    })
    .await;
    let published = client
        .call(Method::PUT, api, "/v1/config", &[("if-match", "\"0\"")], json!({"text": PROFILES}).to_string())
        .await
        .expect("an answer");
    assert!(published.status.is_success(), "{published:?}");
    (site, client)
}

/// Guards against a request that does not reach an endpoint, or whose answer is not its own.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_through_both_entries() {
    let (site, client) = start().await;
    for entry in 0..2 {
        let address = site.request_address(entry);
        let answer = eventually("an answer", || async {
            let path = format!("/s/previews/track/{entry}");
            client.call(Method::POST, address, &path, &[], "sound").await.ok().filter(|a| a.status.is_success())
        })
        .await;
        assert!(answer.text.contains("sound") || !answer.text.is_empty());
    }
}

/// Guards against a non-idempotent request that runs twice, or whose repeat gets another answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_gets_the_first_answer() {
    let (site, client) = start().await;
    let headers = [("idempotency-key", "review-17")];
    let first = eventually("an answer", || async {
        let answer = client.call(Method::POST, site.request_address(0), "/s/reviews/dish", &headers, "17").await;
        answer.ok().filter(|a| a.status.is_success())
    })
    .await;
    let repeat = eventually("an answer", || async {
        let answer = client.call(Method::POST, site.request_address(1), "/s/reviews/dish", &headers, "17").await;
        answer.ok().filter(|a| a.status.is_success())
    })
    .await;
    assert_eq!(first.text, repeat.text);
    let runs: u64 =
        site.hosts.iter().map(|host| host.endpoint.counts().by_key.get("review-17").copied().unwrap_or(0)).sum();
    assert_eq!(runs, 1);
    let other = client.call(Method::POST, site.request_address(0), "/s/reviews/dish", &headers, "18").await;
    let other = other.expect("an answer");
    assert_eq!((other.status.as_u16(), other.outcome.as_deref()), (422, Some("not-run")));
}

/// Guards against a task that does not run, or runs more than once.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_run_once() {
    let (site, client) = start().await;
    let api = site.api_address(0);
    for number in 0..20 {
        let body = json!({"key": format!("master-{number}"), "service": "masters", "payload": "{\"run_ms\": 50}"});
        let answer = client.call(Method::POST, api, "/v1/tasks", &[], body.to_string()).await.expect("an answer");
        assert!(answer.status.is_success(), "{answer:?}");
    }
    for number in 0..20 {
        let path = format!("/v1/tasks/c0-master-{number}?wait_ms=1000");
        let phase = eventually("the end of a task", || async {
            let phase = client.get(site.api_address(1), &path).await.ok()?.json()["phase"].as_str()?.to_owned();
            ["succeeded", "failed", "cancelled", "unknown"].contains(&phase.as_str()).then_some(phase)
        })
        .await;
        assert_eq!(phase, "succeeded", "master-{number}");
    }
    assert!(site.ledger.overlaps().is_empty());
    assert!(site.ledger.repeated_successes().is_empty());
}
