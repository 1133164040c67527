//! Drives both users' work through a site, checks what must hold and prints it as a table.

use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use fescuelead_core::ids::TaskId;
use hyper::Method;
use serde_json::json;

use crate::{
    SCHOTELONDERHOUD, SURSETU,
    client::{Answer, Client},
    site::{OPERATOR_TOKEN, Plan, Site},
};

/// How long a condition is waited for before the run is taken for failed.
const PATIENCE: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(25);
/// The bound on the time from an accepted zone-out to the last start there.
const ZONE_OUT_BOUND_MS: u128 = 3_000;
/// The bound on the time from a leave to the last new work.
const LEAVE_BOUND_MS: u128 = 2_000;

/// Width of the column that names a check.
const CHECK_WIDTH: usize = 60;

/// Prints a check as soon as it has passed, with the time it took.
struct Table {
    last: Instant,
}

impl Table {
    fn new() -> Self {
        Self { last: Instant::now() }
    }

    fn add(&mut self, what: &str, seen: impl ToString) {
        let took_ms = self.last.elapsed().as_millis();
        println!("{what:CHECK_WIDTH$}  {} ({took_ms} ms)", seen.to_string());
        self.last = Instant::now();
    }
}

/// Runs everything.
pub async fn run() -> anyhow::Result<()> {
    let mut table = Table::new();
    let sursetu = User {
        name: "Sursetu",
        profiles: SURSETU,
        zones: 3,
        requests: "previews",
        batch: "masters",
        once: "takedowns",
        watch: "watermarks",
    };
    drive(&sursetu, &mut table).await.context("Sursetu")?;
    let schotelonderhoud = User {
        name: "Schotelonderhoud",
        profiles: SCHOTELONDERHOUD,
        zones: 4,
        requests: "work-orders",
        batch: "reviews",
        once: "reviews",
        watch: "contract-checks",
    };
    drive(&schotelonderhoud, &mut table).await.context("Schotelonderhoud")?;
    println!("\nAll checks passed.");
    Ok(())
}

/// One of the two users and the services of each kind.
struct User {
    name: &'static str,
    profiles: &'static str,
    zones: usize,
    requests: &'static str,
    batch: &'static str,
    once: &'static str,
    watch: &'static str,
}

async fn drive(user: &User, table: &mut Table) -> anyhow::Result<()> {
    let plan = Plan::new(user.zones, 2 * user.zones).with_entries(2).with_service(user.requests);
    let site = Site::start(plan).await?;
    let client = Client::new(OPERATOR_TOKEN);
    wait_until_ready(&client, &site).await?;
    publish(&client, &site, user.profiles).await?;
    table.add(&format!("{}: hosts with the profiles in force", user.name), site.hosts.len());

    let answered = requests(&client, &site, user, 200).await?;
    table.add(&format!("{}: requests answered, each its own", user.name), answered);
    let (tasks, repeats) = tasks(&client, &site, user).await?;
    table.add(&format!("{}: tasks finished; finished twice", user.name), format!("{tasks}; {repeats}"));
    let (started_ms, kept) = zone_out_and_in(&client, &site, user).await?;
    table.add(&format!("{}: last start after zone out; tasks lost", user.name), format!("{started_ms} ms; {kept}"));
    let left_ms = leave(&client, &site, user).await?;
    table.add(&format!("{}: last new request after leave; refused calls", user.name), format!("{left_ms} ms; 0"));
    ensure!(site.ledger.overlaps().is_empty(), "a task ran in two places at once");
    let cut_off = stop(site).await;
    table.add(&format!("{}: connections cut off by the stop", user.name), cut_off);
    ensure!(cut_off == 0, "a planned stop cut off {cut_off} connections");
    Ok(())
}

/// Waits until every entry is ready.
pub async fn wait_until_ready(client: &Client, site: &Site) -> anyhow::Result<()> {
    for entry in 0..site.entries.len() {
        let api = site.api_address(entry);
        until("an entry is ready", || async {
            client.get(api, "/readyz").await.ok().filter(|answer| answer.status.is_success())
        })
        .await?;
    }
    Ok(())
}

/// Publishes a profile set and waits until it is in force everywhere.
pub async fn publish(client: &Client, site: &Site, text: &str) -> anyhow::Result<()> {
    let api = site.api_address(0);
    let body = json!({"text": text, "author": "quickstart"}).to_string();
    let answer = client.call(Method::PUT, api, "/v1/config", &[("if-match", "\"0\"")], body).await?;
    ensure!(answer.status.is_success(), "publishing failed: {}", answer.text);
    in_force(client, site).await
}

async fn in_force(client: &Client, site: &Site) -> anyhow::Result<()> {
    let api = site.api_address(0);
    let hosts = site.hosts.len() as u64;
    until("the configuration is in force everywhere", || async {
        let rollout = client.get(api, "/v1/rollout").await.ok()?.json();
        let (processes, in_force) = (rollout["processes"].as_u64()?, rollout["in_force"].as_u64()?);
        (processes > hosts && in_force == processes).then_some(())
    })
    .await
}

async fn until<T, F: Future<Output = Option<T>>>(what: &str, mut probe: impl FnMut() -> F) -> anyhow::Result<T> {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if let Some(found) = probe().await {
            return Ok(found);
        }
        tokio::time::sleep(PAUSE).await;
    }
    anyhow::bail!("timed out until {what}")
}

async fn requests(client: &Client, site: &Site, user: &User, count: usize) -> anyhow::Result<usize> {
    let first = format!("/s/{}/first", user.requests);
    let address = site.request_address(0);
    until("an endpoint is known", || async {
        client.call(Method::POST, address, &first, &[], "x").await.ok().filter(|a| a.status.is_success())
    })
    .await?;
    for number in 0..count {
        let body = format!("body-{number}");
        let path = format!("/s/{}/item/{number}", user.requests);
        let answer = request(client, site, number % site.entries.len(), &path, &body).await?;
        ensure!(answer.status.is_success(), "request {number}: {} {}", answer.status, answer.text);
        ensure!(answer.text.contains(&format!("/item/{number}")), "request {number} got the answer {}", answer.text);
    }
    Ok(count)
}

async fn request(client: &Client, site: &Site, entry: usize, path: &str, body: &str) -> anyhow::Result<Answer> {
    client.call(Method::POST, site.request_address(entry), path, &[], body.to_owned()).await
}

async fn submit(client: &Client, site: &Site, service: &str, key: &str, run_ms: u64) -> anyhow::Result<String> {
    let body = json!({"key": key, "service": service, "payload": json!({"run_ms": run_ms}).to_string()});
    let answer = client.call(Method::POST, site.api_address(0), "/v1/tasks", &[], body.to_string()).await?;
    ensure!(answer.status.is_success(), "submission of {key}: {}", answer.text);
    Ok(answer.json()["task"].as_str().unwrap_or_default().to_owned())
}

async fn wait_for(client: &Client, site: &Site, task: &str) -> anyhow::Result<()> {
    let path = format!("/v1/tasks/{task}?wait_ms=30000");
    until("a task succeeds", || async {
        let status = client.get(site.api_address(1), &path).await.ok()?.json();
        (status["phase"] == "succeeded").then_some(())
    })
    .await
    .with_context(|| task.to_owned())
}

async fn tasks(client: &Client, site: &Site, user: &User) -> anyhow::Result<(usize, usize)> {
    let mut ids = Vec::new();
    for number in 0..30 {
        ids.push(submit(client, site, user.batch, &format!("batch-{number}"), 50).await?);
    }
    for number in 0..10 {
        let key = format!("once-{number}");
        let id = submit(client, site, user.once, &key, 50).await?;
        let again = submit(client, site, user.once, &key, 50).await?;
        ensure!(id == again, "a repeated key made a second task");
        ids.push(id);
    }
    ids.push(submit(client, site, user.watch, "watch-1", 1_000).await?);
    for id in &ids {
        wait_for(client, site, id).await?;
    }
    let repeats = site.ledger.repeated_successes().len();
    ensure!(repeats == 0, "{repeats} tasks finished more than once");
    Ok((ids.len(), repeats))
}

async fn set_zone(client: &Client, site: &Site, zone: &str, out: bool) -> anyhow::Result<()> {
    let path = format!("/v1/zones/{zone}");
    let body = json!({"out": out, "author": "quickstart"}).to_string();
    let answer = client.call(Method::PUT, site.api_address(0), &path, &[], body).await?;
    ensure!(answer.status.is_success(), "zone change: {}", answer.text);
    Ok(())
}

/// Takes an availability zone out while tasks keep coming, and brings it back.
async fn zone_out_and_in(client: &Client, site: &Site, user: &User) -> anyhow::Result<(u128, usize)> {
    let zone = site.zone(1);
    let in_zone: Vec<String> =
        (0..site.hosts.len()).filter(|host| site.zone(*host) == zone).map(|host| format!("worker-{host}")).collect();
    let starts = |ids: &[String]| {
        let intervals = ids.iter().filter_map(|id| TaskId::new(id).ok()).flat_map(|id| site.ledger.intervals(&id));
        intervals.filter(|interval| in_zone.contains(&interval.worker)).count()
    };
    set_zone(client, site, &zone, true).await?;
    let out_at = Instant::now();
    let (mut ids, mut seen, mut last_start_ms) = (Vec::new(), 0, 0);
    for number in 0..100 {
        ids.push(submit(client, site, user.batch, &format!("zone-{number}"), 20).await?);
        tokio::time::sleep(Duration::from_millis(40)).await;
        if starts(&ids) > seen {
            seen = starts(&ids);
            last_start_ms = out_at.elapsed().as_millis();
        }
    }
    ensure!(last_start_ms <= ZONE_OUT_BOUND_MS, "a task started {last_start_ms} ms after the zone was out");
    for id in &ids {
        wait_for(client, site, id).await?;
    }
    set_zone(client, site, &zone, false).await?;
    in_force(client, site).await?;
    Ok((last_start_ms, 0))
}

/// One endpoint leaves while requests keep coming; none may fail.
async fn leave(client: &Client, site: &Site, user: &User) -> anyhow::Result<u128> {
    let endpoint = &site.hosts[0].endpoint;
    endpoint.leave();
    let left_at = Instant::now();
    let (mut seen, mut last_ms) = (endpoint.counts().arrived, 0);
    for number in 0..300 {
        let path = format!("/s/{}/leave/{number}", user.requests);
        let answer = request(client, site, number % site.entries.len(), &path, "x").await?;
        ensure!(answer.status.is_success(), "request {number} during the leave: {}", answer.text);
        if endpoint.counts().arrived > seen {
            seen = endpoint.counts().arrived;
            last_ms = left_at.elapsed().as_millis();
        }
        tokio::time::sleep(Duration::from_millis(8)).await;
    }
    ensure!(last_ms <= LEAVE_BOUND_MS, "the endpoint got a request {last_ms} ms after it left");
    Ok(last_ms)
}

async fn stop(site: Site) -> usize {
    let mut cut_off = 0;
    for entry in site.entries {
        cut_off += entry.drain().await.finish().await;
    }
    for host in site.hosts {
        cut_off += host.stop().await;
    }
    cut_off
}
