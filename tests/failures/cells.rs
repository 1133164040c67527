//! Two cells on one log service.

use fescuelead_standin::worker::WorkerStandin;
use hyper::Method;
use serde_json::Value;

use crate::{
    site::Plan,
    support::{Field, PROFILES, eventually},
};

/// Entry 0 and hosts 0 and 2 are of cell 0, entry 1 and hosts 1 and 3 of cell 1.
fn plan() -> Plan {
    Plan::new(2, 4).with_entries(2).with_cells(2).with_service("previews").with_service("reviews")
}

/// Services of both cells, and a team whose quota holds 2 tasks in cell 0 and 1 in cell 1.
fn profiles() -> String {
    let homes = PROFILES.replace("[service.reviews]", "[service.reviews]\ncell = 1");
    format!(
        r#"{homes}
        [service.masters-south]
        profile = "master"
        cell = 1
        [team.divided]
        quota = {{ cpu_milli = 4000, memory_mib = 4000 }}
        cell_shares = {{ "0" = 50, "1" = 40 }}
        [profile.divided]
        kind = "batch"
        team = "divided"
        idempotent = true
        resources = {{ cpu_milli = 1000, memory_mib = 100 }}
        deadline_ms = 600000
        [service.divided]
        profile = "divided"
        [service.divided-south]
        profile = "divided"
        cell = 1
        "#
    )
}

async fn start() -> Field {
    Field::start_with(plan(), &profiles()).await
}

/// Guards against work that one of the cells does not do, or does in the other cell.
#[tokio::test(flavor = "multi_thread")]
async fn each_cell_does_its_own_work() {
    let field = start().await;
    field.submit_all(0, "masters", "north", 10, 200).await;
    field.submit_all(1, "masters-south", "south", 10, 200).await;
    for number in 0..10 {
        assert_eq!(field.end_of(0, &format!("c0-north-{number}")).await, "succeeded");
        assert_eq!(field.end_of(1, &format!("c1-south-{number}")).await, "succeeded");
    }
    for interval in field.intervals() {
        let host: usize = interval.worker.trim_start_matches("worker-").parse().expect("a number");
        assert_eq!(interval.attempt.task.cell(), Some(field.site.cell(host) as u32), "{interval:?}");
    }
    for entry in 0..2 {
        let status = field.get(entry, "/v1/status").await.expect("an answer").json();
        assert_eq!((&status["cell"], &status["rollout"]["cell"]), (&entry.into(), &entry.into()));
        assert_eq!(field.get(entry, "/v1/burn").await.expect("an answer").json()["cell"], entry);
    }
    field.check().await;
}

/// Guards against the first use of a key in two cells, which would do its work twice, and against a refusal that does not
/// name the home cell.
#[tokio::test(flavor = "multi_thread")]
async fn work_for_another_home_cell_is_refused_as_not_run() {
    let field = start().await;
    let submitted = field.try_submit(0, "masters-south", "s", "{}").await.expect("an answer");
    let reviewed = field.review(0, "r").await.expect("an answer");
    let looked = field.get(0, "/v1/tasks/c1-s").await.expect("an answer");
    let explained = field.get(0, "/v1/explain/task/c1-s").await.expect("an answer");
    let address = field.site.api_address(0);
    let cancelled = field.call(Method::POST, address, "/v1/tasks/c1-s/cancel", Value::Null).await.expect("an answer");
    for answer in [submitted, reviewed, looked, explained, cancelled] {
        assert_eq!(answer.status, 421, "{answer:?}");
        let problem = answer.json();
        assert_eq!((&problem["outcome"], &problem["home_cell"]), (&"not-run".into(), &1.into()), "{problem}");
    }
    assert_eq!((field.runs_of("r"), field.site.ledger.total().starts), (0, 0));
    let done = eventually("the review in its home cell", || async {
        field.review(1, "r").await.filter(|answer| answer.status.is_success())
    });
    done.await;
    assert_eq!(field.runs_of("r"), 1);
    field.check().await;
}

/// Guards against an agent that takes tasks of a cell which it is not of.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_of_another_cell_gets_no_work() {
    let field = start().await;
    let stray = WorkerStandin::new("worker-4".to_owned()).with_ledger(&field.site.ledger);
    let mut agent = field.site.start_agent_of(1, 4, &stray).await.expect("the agent starts");
    field.submit_all(0, "masters", "master", 20, 100).await;
    assert_eq!(field.ends(0).await.get("succeeded"), Some(&20));
    let status = field.get(0, "/v1/status").await.expect("an answer").json();
    let hosts: Vec<_> = status["hosts"].as_array().into_iter().flatten().map(|host| host["agent"].clone()).collect();
    assert_eq!(hosts, ["agent-0", "agent-2"]);
    assert!(field.intervals().iter().all(|interval| interval.worker != "worker-4"));
    agent.abort();
    field.check().await;
}

/// Guards against a cell that needs another one: all processes of cell 0 are gone, and cell 1 goes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_cell_goes_on_without_the_others() {
    let mut field = start().await;
    field.submit_all(1, "masters-south", "before", 4, 8_000).await;
    field.started(4).await;
    field.site.entries[0].abort();
    for host in [0, 2] {
        field.site.hosts[host].crash();
    }
    field.submit_all(1, "masters-south", "after", 10, 200).await;
    eventually("a request in cell 1", || async {
        field.review(1, "review").await.filter(|answer| answer.status.is_success())
    })
    .await;
    let version = field.get(1, "/v1/config").await.expect("an answer").json()["version"].as_u64().expect("a version");
    let answer = field.publish(1, version, &format!("{}\n# later\n", profiles())).await;
    assert!(answer.status.is_success(), "{answer:?}");
    assert_eq!(field.ends(1).await.get("succeeded"), Some(&14));
    assert!(field.intervals().iter().all(|interval| interval.attempt.attempt == 1), "{:?}", field.intervals());
    field.check().await;
}

/// Guards against cells that together let a team hold more than its quota, or a cell that does not use its own share.
#[tokio::test(flavor = "multi_thread")]
async fn each_cell_keeps_to_its_share_of_a_quota() {
    let field = start().await;
    // The tasks run until they are cancelled, so that none ends before the share is seen in use.
    field.submit_all(0, "divided", "north", 6, 3_600_000).await;
    field.submit_all(1, "divided-south", "south", 6, 3_600_000).await;
    let shares = [(0, 2), (1, 1)];
    for (entry, share) in shares {
        eventually("a share of the quota in use", || async {
            let status = field.get(entry, "/v1/status").await?.json();
            (status["tasks"]["assigned"] == share).then_some(())
        })
        .await;
    }
    for (entry, name) in [(0, "c0-north"), (1, "c1-south")] {
        for number in 0..6 {
            let path = format!("/v1/tasks/{name}-{number}/cancel");
            field.call(Method::POST, field.site.api_address(entry), &path, Value::Null).await.expect("an answer");
            assert_eq!(field.end_of(entry, &format!("{name}-{number}")).await, "cancelled");
        }
    }
    let intervals = field.intervals();
    let running_at = |cell: u32, at_ms: f64| {
        let of_cell = intervals.iter().filter(|interval| interval.attempt.task.cell() == Some(cell));
        of_cell.filter(|i| i.from_ms <= at_ms && i.to_ms.is_none_or(|to_ms| at_ms < to_ms)).count()
    };
    for (cell, share) in shares {
        let most = intervals.iter().map(|interval| running_at(cell as u32, interval.from_ms)).max();
        assert!(most.is_some_and(|most| most <= share), "cell {cell} ran {most:?} tasks at a time");
    }
    field.check().await;
}

/// Guards against a publish that moves a service to a cell that does not know the keys of its work.
#[tokio::test(flavor = "multi_thread")]
async fn a_publish_that_moves_a_service_is_refused() {
    let field = start().await;
    let version = field.get(0, "/v1/config").await.expect("an answer").json()["version"].as_u64().expect("a version");
    let moved = profiles().replace("[service.reviews]\ncell = 1", "[service.reviews]\ncell = 0");
    for entry in 0..2 {
        let answer = field.publish(entry, version, &moved).await;
        assert_eq!(answer.status, 422, "{answer:?}");
        assert!(
            answer.json()["detail"].as_str().is_some_and(|text| text.contains("service.reviews.cell")),
            "{answer:?}"
        );
        assert_eq!(field.get(entry, "/v1/config").await.expect("an answer").json()["version"], version);
    }
    field.check().await;
}
