//! Two entries and six agents as real processes, under faults of the endpoints and of the processes themselves.

#[path = "support/site.rs"]
mod site;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use fescuelead_core::ids::ServiceName;
use fescuelead_standin::{
    endpoint::{EndpointFaults, EndpointStandin, answer_body},
    log::LogStandin,
    worker::WorkerStandin,
};
use http_body_util::BodyExt;
use hyper::Request;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use site::{Caller, Daemon, eventually};
use tokio_util::sync::{CancellationToken, DropGuard};

const SEED: u64 = 7;
const CALLERS: usize = 32;
const DEADLINE_MS: u64 = 60_000;
/// How late the answers are that miss the deadline.
const LATE_MS: u64 = 3_500;
const PROFILES: &str = r#"
    [team.storefront]
    quota = { cpu_milli = 100000, memory_mib = 100000 }
    [profile.store-preview]
    kind = "latency-critical"
    team = "storefront"
    idempotent = true
    deadline_ms = 60000
    hedge_budget_percent = 5
    [profile.review]
    kind = "latency-critical"
    team = "storefront"
    deadline_ms = 60000
    [service.previews]
    profile = "store-preview"
    [service.reviews]
    profile = "review"
"#;

/// Services of the endpoints, and how long their answers are at least.
const ENDPOINTS: [(&str, usize); 6] = [
    ("previews", 64),
    ("previews", 4_096),
    ("previews", 70_000),
    ("previews", 200_000),
    ("reviews", 64),
    ("reviews", 2_000),
];

/// Endpoints whose agents are terminated: one of each service.
const LEAVING: [usize; 2] = [0, 4];

struct Site {
    entries: Vec<Daemon>,
    agents: Vec<Daemon>,
    endpoints: Vec<EndpointStandin>,
    caller: Caller,
    _stop: DropGuard,
}

impl Site {
    async fn start() -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let token = CancellationToken::new();
        let log = LogStandin::new().serve(any, token.clone()).await.expect("loopback can be bound");
        let more = ["--probe-grace-ms", "6000"];
        let entries: Vec<_> =
            (0..2).map(|index| Daemon::entry(&format!("entry-{index}"), "az-1", log, &more)).collect();
        let (mut agents, mut endpoints) = (Vec::new(), Vec::new());
        for (index, (service, answer_bytes)) in ENDPOINTS.into_iter().enumerate() {
            let worker = WorkerStandin::new(format!("worker-{index}"));
            let worker = worker.serve(any, token.clone()).await.expect("loopback can be bound");
            let (name, zone) = (format!("agent-{index}"), format!("az-{}", index % 3 + 1));
            let entries: Vec<&Daemon> = entries.iter().collect();
            let agent = Daemon::agent(&name, &zone, worker, &entries, &[]);
            let service = ServiceName::new(service).expect("a valid name");
            let endpoint = EndpointStandin::new(service).with_answer_bytes(answer_bytes);
            let address = endpoint.serve(any, token.clone()).await.expect("loopback can be bound");
            drop(endpoint.announce(address, agent.api, token.clone()));
            agents.push(agent);
            endpoints.push(endpoint);
        }
        let site = Self { entries, agents, endpoints, caller: Caller::new(), _stop: token.drop_guard() };
        site.wait_until_ready().await;
        site
    }

    async fn wait_until_ready(&self) {
        for entry in &self.entries {
            eventually("readiness", || async { self.caller.is_ready(entry.api).await == Ok(true) }).await;
        }
        self.caller.publish(self.entries[0].api, PROFILES).await;
        for (number, entry) in self.entries.iter().enumerate() {
            for service in ["previews", "reviews"] {
                let plan = Plan { service, number: 1_000_000 + number as u64, body: Bytes::from_static(b"first") };
                eventually("an answer", || async {
                    matches!(ask(&self.caller, entry.request, &plan, DEADLINE_MS).await, Ended::Whole)
                })
                .await;
            }
        }
    }

    /// How often the endpoints did the work of each request.
    fn runs(&self) -> HashMap<String, u64> {
        let mut runs = HashMap::new();
        for (key, count) in self.endpoints.iter().flat_map(|endpoint| endpoint.counts().by_key) {
            *runs.entry(key).or_default() += count;
        }
        runs
    }

    fn set_faults(&self, faults: &EndpointFaults) {
        self.endpoints.iter().for_each(|endpoint| endpoint.faults().set(faults.clone()));
    }
}

/// One request.
struct Plan {
    service: &'static str,
    number: u64,
    body: Bytes,
}

impl Plan {
    /// Every eighth request is non-idempotent, with a body small enough to be kept. Other bodies have 10 bytes to 200 KB.
    fn new(number: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(SEED ^ number);
        let (service, most_bytes) = if number.is_multiple_of(8) { ("reviews", 10_000) } else { ("previews", 200_000) };
        let exponent = rng.random_range(1.0..=f64::from(most_bytes).log10());
        let mut body = vec![0; 10f64.powf(exponent) as usize];
        rng.fill(&mut body[..]);
        Self { service, number, body: body.into() }
    }

    fn key(&self) -> String {
        format!("key-{}", self.number)
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Ended {
    Whole,
    Failed(String),
    Broken,
    /// What must never happen, and why.
    Wrong(String),
}

async fn ask(caller: &Caller, entry: SocketAddr, plan: &Plan, deadline_ms: u64) -> Ended {
    let path = format!("/track/{}?take=2", plan.number);
    let request = Request::post(format!("http://{entry}/s/{}{path}", plan.service))
        .header("x-request-id", format!("caller-{}", plan.number))
        .header("x-deadline-ms", deadline_ms)
        .header("idempotency-key", plan.key());
    let response = match caller.send(request, plan.body.clone()).await {
        Ok(response) => response,
        Err(error) => {
            println!("request {} got no answer: {error:?}", plan.number);
            return Ended::Broken;
        }
    };
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else { return Ended::Broken };
    let header = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    match (parts.status.is_success(), header("fescuelead-outcome")) {
        (false, Some(outcome)) => {
            println!("request {} failed: {}", plan.number, String::from_utf8_lossy(&body.to_bytes()));
            Ended::Failed(outcome)
        }
        (true, None) => verify(plan, &path, header("x-request-id"), &body.to_bytes()),
        (_, outcome) => Ended::Wrong(format!("{} with outcome {outcome:?}", parts.status)),
    }
}

/// An answer names the id under which the entry sent the request; all else in it is known to the caller.
fn verify(plan: &Plan, path: &str, id: Option<String>, body: &Bytes) -> Ended {
    // The outcome of a repeated key is kept without headers.
    let own_id = plan.service == "reviews" || id.is_some_and(|id| id == format!("caller-{}", plan.number));
    let sent_id = String::from_utf8_lossy(body.split(|byte| *byte == b' ').next().unwrap_or_default()).into_owned();
    let lengths = ENDPOINTS.iter().filter(|(service, _)| *service == plan.service).map(|(_, length)| *length);
    let whole = |length| answer_body(&sent_id, "POST", path, &plan.body, length) == *body;
    if own_id && lengths.into_iter().any(whole) {
        return Ended::Whole;
    }
    let start = String::from_utf8_lossy(&body[..body.len().min(120)]).into_owned();
    Ended::Wrong(format!("request {} got {} bytes: {start:?}", plan.number, body.len()))
}

/// Requests that callers send, and how each of them ended.
struct Load {
    next: AtomicU64,
    end: u64,
    deadline_ms: u64,
    stopped: [AtomicBool; 2],
}

type Results = Vec<(u64, usize, Ended)>;

impl Load {
    fn new(numbers: std::ops::Range<u64>, deadline_ms: u64) -> Arc<Self> {
        Arc::new(Self {
            next: AtomicU64::new(numbers.start),
            end: numbers.end,
            deadline_ms,
            stopped: Default::default(),
        })
    }

    /// Starts the callers. A caller of a stopped entry turns to the other one, as the balancer would make it.
    fn start(self: &Arc<Self>, site: &Site, callers: usize) -> tokio::task::JoinSet<Results> {
        let mut running = tokio::task::JoinSet::new();
        for caller in 0..callers {
            let (load, http) = (Arc::clone(self), site.caller.clone());
            let entries = [site.entries[0].request, site.entries[1].request];
            running.spawn(async move {
                let mut results = Vec::new();
                loop {
                    let number = load.next.fetch_add(1, Ordering::Relaxed);
                    let chosen = [caller % 2, 1 - caller % 2].into_iter().find(|entry| !load.is_stopped(*entry));
                    let Some(entry) = chosen.filter(|_| number < load.end) else { return results };
                    let ended = ask(&http, entries[entry], &Plan::new(number), load.deadline_ms).await;
                    if ended == Ended::Broken {
                        // Callers back off, so that a dead entry does not use up the load.
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                    results.push((number, entry, ended));
                }
            });
        }
        running
    }

    fn is_stopped(&self, entry: usize) -> bool {
        self.stopped[entry].load(Ordering::Relaxed)
    }

    async fn reached(&self, number: u64) {
        eventually("progress of the load", || async { self.next.load(Ordering::Relaxed) >= number }).await;
    }
}

/// Checks what holds for every load: each request ended once, in one of the allowed ways, and what is said of it is true.
fn check(site: &Site, results: &Results, sent: u64) {
    let mut counts: HashMap<String, u64> = HashMap::new();
    let runs = site.runs();
    for (number, _, ended) in results {
        let plan = Plan::new(*number);
        let run = runs.get(&plan.key()).copied().unwrap_or(0);
        let label = match ended {
            Ended::Wrong(reason) => panic!("{reason}"),
            Ended::Failed(outcome) => format!("failed as {outcome}"),
            Ended::Whole | Ended::Broken => format!("{ended:?}"),
        };
        assert!(plan.service != "reviews" || run <= 1, "request {number} ran {run} times");
        assert!(
            *ended != Ended::Failed("not-run".to_owned()) || run == 0,
            "request {number} ran but is called not run"
        );
        assert!(*ended != Ended::Whole || run > 0, "request {number} was answered without a run");
        *counts.entry(label).or_default() += 1;
    }
    println!("{sent} requests: {counts:?}");
    let numbers: std::collections::HashSet<u64> = results.iter().map(|(number, ..)| *number).collect();
    assert_eq!((numbers.len() as u64, results.len() as u64), (sent, sent), "a request was lost or ended twice");
    assert!(counts.get("Whole").is_some_and(|whole| *whole > sent / 2), "most requests must be answered: {counts:?}");
}

/// Guards against an answer that reaches the wrong caller, a part passed off as whole, a lost request, a false *not run*
/// and a repeat of a non-idempotent request, while endpoints answer crossed, late, cut short, or not at all.
#[tokio::test(flavor = "multi_thread")]
async fn callers_get_their_own_whole_answers_or_typed_failures() {
    let site = Site::start().await;
    let load = Load::new(1..4_001, LATE_MS - 500);
    let callers = load.start(&site, CALLERS);
    let faults = EndpointFaults {
        reset: 10,
        crossed: 10,
        late: 5,
        late_ms: LATE_MS,
        short: 10,
        broken_chunk: 10,
        ..EndpointFaults::default()
    };
    for start in [200, 1_400, 2_600] {
        load.reached(start).await;
        site.set_faults(&faults);
    }
    let results = callers.join_all().await.concat();
    check(&site, &results, 4_000);
    // An ejected endpoint may meet none of its last faults.
    let kinds: [fn(&EndpointFaults) -> u64; 5] =
        [|f| f.reset, |f| f.crossed, |f| f.late, |f| f.short, |f| f.broken_chunk];
    for fault in kinds {
        let left: u64 = site.endpoints.iter().map(|endpoint| fault(&endpoint.faults().get())).sum();
        assert!(left < fault(&faults) * site.endpoints.len() as u64, "a fault was not met at all: {faults:?}");
    }
}

/// Guards against a crashed entry that takes requests of the other one with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_breaks_only_its_own_connections() {
    let mut site = Site::start().await;
    site.set_faults(&EndpointFaults { delay_ms: 5, ..EndpointFaults::default() });
    let load = Load::new(1..1_201, DEADLINE_MS);
    let callers = load.start(&site, CALLERS);
    load.reached(400).await;
    site.entries[1].kill();
    load.stopped[1].store(true, Ordering::Relaxed);
    let results = callers.join_all().await.concat();
    check(&site, &results, 1_200);
    let broken_elsewhere = results.iter().filter(|(_, entry, ended)| *entry == 0 && *ended == Ended::Broken).count();
    assert_eq!(broken_elsewhere, 0);
}

/// Guards against a request that is refused because both entries chose the same endpoints before either knew the load of
/// the other. There is time enough to wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_that_needs_more_than_all_slots_waits_for_its_turn() {
    let site = Site::start().await;
    site.set_faults(&EndpointFaults { delay_ms: 300, ..EndpointFaults::default() });
    let callers = 4 * CALLERS;
    let sent = 2 * callers as u64;
    let load = Load::new(1..sent + 1, DEADLINE_MS);
    let results = load.start(&site, callers).join_all().await.concat();
    check(&site, &results, sent);
    let refused: Vec<_> = results.iter().filter(|(.., ended)| *ended != Ended::Whole).collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against a planned stop that cuts off a request in flight, or that stops accepting before its probe is red.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_entry_finishes_what_is_in_flight() {
    let mut site = Site::start().await;
    // Longer than the probe's grace, so that requests are in flight when the listener closes.
    site.set_faults(&EndpointFaults { delay_ms: 6_500, ..EndpointFaults::default() });
    let load = Load::new(1..(CALLERS as u64 * 3 + 1), DEADLINE_MS);
    let callers = load.start(&site, CALLERS);
    load.reached(CALLERS as u64).await;
    site.entries[0].terminate();
    let api = site.entries[0].api;
    eventually("a red probe", || async { site.caller.is_ready(api).await == Ok(false) }).await;
    let late = Plan { service: "previews", number: 2_000_000, body: Bytes::from_static(b"after the probe is red") };
    load.stopped[0].store(true, Ordering::Relaxed);
    let accepted = ask(&site.caller, site.entries[0].request, &late, DEADLINE_MS).await;
    let results = callers.join_all().await.concat();
    assert_eq!(accepted, Ended::Whole, "requests are still accepted when the probe turns red");
    check(&site, &results, CALLERS as u64 * 3);
    let cut_off: Vec<_> = results.iter().filter(|(.., ended)| *ended != Ended::Whole).collect();
    assert!(cut_off.is_empty(), "{cut_off:?}");
    let status = tokio::time::timeout(Duration::from_secs(60), site.entries[0].ended()).await.expect("the entry ends");
    assert!(status.success(), "{status}");
}

/// Guards against a planned stop of an agent that cuts off a request in flight, or that loses one. A request may be refused
/// as not run, such as one whose body is too large to be sent again; its caller then repeats it.
#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_agent_finishes_what_is_in_flight() {
    let mut site = Site::start().await;
    // Longer than the grace of an agent's probe, so that requests are in flight when its listener closes.
    site.set_faults(&EndpointFaults { delay_ms: 4_000, ..EndpointFaults::default() });
    let arrived = |site: &Site| LEAVING.map(|index| site.endpoints[index].counts().arrived);
    let before = arrived(&site);
    let sent = CALLERS as u64 * 3;
    let load = Load::new(1..sent + 1, DEADLINE_MS);
    let callers = load.start(&site, CALLERS);
    eventually("requests in flight", || async {
        arrived(&site).iter().zip(&before).all(|(arrived, before)| arrived > before)
    })
    .await;
    LEAVING.iter().for_each(|index| site.agents[*index].terminate());
    let results = callers.join_all().await.concat();
    check(&site, &results, sent);
    let not_run = Ended::Failed("not-run".to_owned());
    let (refused, answered): (Vec<_>, Vec<_>) = results.iter().partition(|(.., ended)| *ended == not_run);
    let cut_off: Vec<_> = answered.iter().filter(|(.., ended)| *ended != Ended::Whole).collect();
    assert!(cut_off.is_empty(), "{cut_off:?}");
    for (number, entry, _) in refused {
        let (address, plan) = (site.entries[*entry].request, Plan::new(*number));
        eventually("an answer to a repeated request", || async {
            matches!(ask(&site.caller, address, &plan, DEADLINE_MS).await, Ended::Whole)
        })
        .await;
    }
    let runs = site.runs();
    for plan in (1..=sent).map(Plan::new).filter(|plan| plan.service == "reviews") {
        assert_eq!(runs.get(&plan.key()), Some(&1), "{}", plan.key());
    }
    for index in LEAVING {
        let ended = tokio::time::timeout(Duration::from_secs(60), site.agents[index].ended());
        let status = ended.await.expect("the agent ends");
        assert!(status.success(), "{status}");
    }
}

/// Guards against files of secrets that are named but not read again by the process, or whose secrets are not put to use.
#[tokio::test(flavor = "multi_thread")]
async fn keys_and_the_token_are_replaced_without_a_restart() {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let token = CancellationToken::new();
    let _stop = token.clone().drop_guard();
    let log = LogStandin::new().serve(any, token.clone()).await.expect("loopback can be bound");
    let worker = WorkerStandin::new("worker-0").serve(any, token).await.expect("loopback can be bound");
    let [keys_file, token_file] =
        ["keys", "token"].map(|name| format!("{}/{name}-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id()));
    let write = |file: &str, text: &str| std::fs::write(file, text).expect("the folder is writable");
    let (old, new) = (site::PEER_KEYS, "k2:0f0e0d0c0b0a09080706050403020100");
    write(&keys_file, new);
    write(&token_file, "the-first-operator-token");
    let more = ["--peer-keys-file", &keys_file, "--operator-token-file", &token_file];
    let entry = Daemon::entry("entry-0", "az-1", log, &more);
    let agent = Daemon::agent("agent-0", "az-1", worker, &[&entry], &[]);
    let caller = Caller::new();
    let status_with = async |token: &str| {
        let request = Request::get(format!("http://{}/v1/status", entry.api));
        let request = request.header("authorization", format!("Bearer {token}"));
        caller.send(request, "").await.map(|response| response.status().as_u16())
    };
    eventually("readiness", || async { caller.is_ready(entry.api).await == Ok(true) }).await;
    assert_eq!(status_with("the-first-operator-token").await, Ok(200));
    assert_eq!(caller.is_ready(agent.api).await, Ok(false), "the entry does not accept the key of the agent");
    write(&keys_file, &format!("{new},{old}"));
    write(&token_file, "the-second-operator-token");
    eventually("an attached agent", || async { caller.is_ready(agent.api).await == Ok(true) }).await;
    eventually("the new token", || async { status_with("the-second-operator-token").await == Ok(200) }).await;
    assert_eq!(status_with("the-first-operator-token").await, Ok(401));
    for file in [keys_file, token_file] {
        std::fs::remove_file(file).expect("it exists");
    }
}
