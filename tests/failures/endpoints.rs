//! Endpoints that leave, die or answer badly.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use fescuelead_standin::endpoint::answer_body;
use hyper::Method;

use crate::{
    site::Plan,
    support::{self, Field, eventually},
};

/// Whether this is the whole answer of an endpoint to this very request.
pub fn is_whole(text: &str, path: &str, body: &str) -> bool {
    let id = text.split(' ').next().unwrap_or_default();
    let least_bytes = 64;
    !id.is_empty() && text.as_bytes() == answer_body(id, "POST", path, body.as_bytes(), least_bytes)
}

fn plan() -> Plan {
    Plan::new(2, 4).with_entries(2).with_service("previews").with_work_ms(5)
}

/// Starts a site whose four endpoints all serve previews.
async fn start() -> Field {
    let field = Field::start(plan()).await;
    for entry in 0..2 {
        eventually("all endpoints", || async {
            let known = field.get(entry, "/v1/status").await?.json()["endpoints"].as_array()?.len();
            (known == 4).then_some(())
        })
        .await;
    }
    field
}

/// Sends idempotent requests from 8 callers until `fault` is over and each has sent 100. Every answer that claims success
/// must be whole and the caller's own; a caller that gets a failure asks again. Returns the number of failures.
async fn under_load(field: &Field, fault: impl Future<Output = ()>) -> usize {
    let (over, failures) = (tokio_util::sync::CancellationToken::new(), AtomicUsize::new(0));
    let caller = |caller: usize| {
        let (over, failures) = (&over, &failures);
        async move {
            let mut number = 0;
            while number < 100 || !over.is_cancelled() {
                let (path, body) = (format!("/track/{caller}-{number}"), format!("sound {caller} {number}"));
                eventually("a right answer", || async {
                    let address = field.site.request_address(caller % 2);
                    let to = format!("/s/previews{path}");
                    let answer = field.call_with(Method::POST, address, &to, &[], body.clone()).await;
                    let Some(answer) = answer.filter(|answer| answer.status.is_success()) else {
                        failures.fetch_add(1, Ordering::Relaxed);
                        return None;
                    };
                    assert!(is_whole(&answer.text, &path, &body), "{path}: {answer:?}");
                    Some(())
                })
                .await;
                number += 1;
            }
        }
    };
    let callers = futures::future::join_all((0..8).map(caller));
    let fault = async {
        fault.await;
        over.cancel();
    };
    tokio::join!(callers, fault);
    failures.into_inner()
}

/// Guards against a caller who gets a part of an answer, or another caller's.
#[tokio::test(flavor = "multi_thread")]
async fn callers_get_their_own_whole_answers() {
    let field = start().await;
    let failures = under_load(&field, async {
        for _ in 0..10 {
            for host in &field.site.hosts[..3] {
                host.endpoint.faults().update(|faults| {
                    (faults.errors, faults.reset, faults.crossed) = (0, 2, 2);
                    (faults.short, faults.broken_chunk) = (2, 2);
                    (faults.late, faults.late_ms) = (1, 500);
                });
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    })
    .await;
    println!("failures told to callers with bad endpoints: {failures}");
    field.check().await;
}

/// Guards against new work at an endpoint whose leaving its agent knows of, and against requests cut off by it.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_leaves_gets_no_new_work() {
    let field = start().await;
    let failures = under_load(&field, async {
        let endpoint = &field.site.hosts[0].endpoint;
        let announced = endpoint.counts().announced;
        endpoint.leave();
        // An announcement may be on its way when the endpoint begins to leave; the second after it is surely of leaving.
        eventually("the announcement", || async { (endpoint.counts().announced >= announced + 2).then_some(()) }).await;
        endpoint.drained().await;
        let arrived = endpoint.counts().arrived;
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(endpoint.counts().arrived, arrived);
    })
    .await;
    assert_eq!(failures, 0);
    field.check().await;
}

/// Guards against callers who hang on an endpoint or a host that has died.
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_elsewhere_when_an_endpoint_dies() {
    let field = start().await;
    let failures = under_load(&field, async {
        field.site.hosts[0].endpoint.faults().update(|faults| faults.down = true);
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        field.site.hosts[0].endpoint.faults().clear();
        field.site.hosts[1].endpoint.faults().update(|faults| faults.down = true);
    })
    .await;
    println!("failures told to callers with a dead endpoint: {failures}");
    field.check().await;
}

/// Guards against a non-idempotent request that fails though it truly did not run and another endpoint could take it. Seen
/// when an agent stopped while its host was busy: the entry still chose it, and callers were told that the connection was
/// refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_that_did_not_run_goes_elsewhere() {
    let mut field = Field::start(support::plan()).await;
    for entry in 0..2 {
        eventually("all endpoints", || async {
            let status = field.get(entry, "/v1/status").await?.json();
            (status["endpoints"].as_array()?.len() >= 4).then_some(())
        })
        .await;
    }
    // Hosts 1 and 3 serve reviews. No entry has a connection to either, so that none can break with a request on it.
    let gone = field.site.hosts[1].agent.addresses().request;
    field.site.hosts[1].agent.abort();
    eventually("a closed listener", || async { tokio::net::TcpStream::connect(gone).await.err() }).await;
    let keys: Vec<String> = (0..16).map(|number| format!("review-{number}")).collect();
    let answers = keys.iter().enumerate().map(|(number, key)| field.review(number % 2, key));
    for answer in futures::future::join_all(answers).await {
        let answer = answer.expect("an answer");
        assert!(answer.status.is_success(), "{answer:?}");
    }
    assert!(keys.iter().all(|key| field.runs_of(key) == 1));
    field.check().await;
}
