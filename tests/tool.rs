//! Every command of the tool against a small running site.

#[path = "../crates/daemon/tests/support/certificate.rs"]
#[allow(dead_code, reason = "shared with the tests of the daemon")]
mod certificate;
#[path = "../examples/quickstart/client.rs"]
#[allow(dead_code, reason = "shared with the quickstart example")]
mod client;
#[path = "../examples/quickstart/site.rs"]
#[allow(dead_code, reason = "shared with the quickstart example")]
mod site;
#[path = "support/wait.rs"]
mod wait;

use std::{net::SocketAddr, path::Path, sync::Arc};

use certificate::Pair;
use client::Client;
use fescuelead_standin::log::LogStandin;
use fescueleadd::{
    entry,
    settings::{Role, Settings},
};
use hyper::Method;
use site::{OPERATOR_TOKEN, Plan, Site};
use wait::eventually;

const SET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/profiles/sursetu.toml");

/// How a command ended.
#[derive(Debug)]
struct Ran {
    exit: u8,
    out: String,
    err: String,
}

/// Runs the tool, which brings a runtime of its own.
async fn tool_as(token: &str, entries: &str, arguments: &[&str]) -> Ran {
    let arguments: Vec<String> =
        ["fescuelead", "--entry", entries].iter().chain(arguments).map(ToString::to_string).collect();
    let token = token.to_owned();
    let run = move || {
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = fescuelead_cli::run(arguments, Some(token), &mut out, &mut err);
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
        Ran { exit, out: text(out), err: text(err) }
    };
    tokio::task::spawn_blocking(run).await.expect("no panic")
}

/// Runs the tool as an operator and checks how it ends and what it says.
async fn tool(entries: &str, arguments: &[&str], exit: u8, words: &[&str]) -> Ran {
    let ran = tool_as(OPERATOR_TOKEN, entries, arguments).await;
    assert_eq!(ran.exit, exit, "{arguments:?}: {ran:?}");
    for word in words {
        assert!(ran.out.contains(word) || ran.err.contains(word), "{arguments:?} does not say {word:?}: {ran:?}");
    }
    ran
}

async fn start() -> (Site, Client, String) {
    let site = Site::start(Plan::new(2, 4).with_entries(2).with_service("previews")).await.expect("the site starts");
    let client = Client::new(OPERATOR_TOKEN);
    for entry in 0..2 {
        eventually("readiness", || async {
            client.get(site.api_address(entry), "/readyz").await.ok().filter(|answer| answer.status.is_success())
        })
        .await;
    }
    let entries = format!("{},{}", site.api_address(0), site.api_address(1));
    (site, client, entries)
}

async fn request(client: &Client, address: SocketAddr, path: &str) -> u16 {
    let answer = client.call(Method::POST, address, path, &[], "sound").await;
    answer.map_or(0, |answer| answer.status.as_u16())
}

/// Guards against a tool and an entry that do not understand each other about configuration and availability zones, and
/// against two operators who both believe that their change is in force.
#[tokio::test(flavor = "multi_thread")]
async fn operators_change_the_configuration() {
    let (_site, _client, entries) = start().await;
    tool(&entries, &["validate", SET], 0, &["5 profiles"]).await;
    tool(&entries, &["publish", SET], 0, &["Version 1 is published"]).await;
    tool(&entries, &["show"], 0, &["# version 1;", "[profile.store-preview]"]).await;
    let racing = ["publish", "--expect-version", "1", SET];
    let (one, two) =
        tokio::join!(tool_as(OPERATOR_TOKEN, &entries, &racing), tool_as(OPERATOR_TOKEN, &entries, &racing));
    let mut exits = [one.exit, two.exit];
    exits.sort_unstable();
    assert_eq!(exits, [0, 3], "{one:?} {two:?}");
    tool(&entries, &["--author", "anna", "zone", "out", "az-2"], 0, &["out of service"]).await;
    tool(&entries, &["status"], 0, &["zones out  az-2", "4 serving", "entries    2 "]).await;
    tool(&entries, &["status", "hosts"], 0, &["its availability zone is out"]).await;
    tool(&entries, &["status", "endpoints"], 0, &["previews"]).await;
    tool(&entries, &["status", "entries"], 0, &["entry-1"]).await;
    tool(&entries, &["explain", "zone", "az-2"], 0, &["taken out of service by \"anna\""]).await;
    tool(&entries, &["zone", "in", "az-2"], 0, &["back in service"]).await;
    tool(&entries, &["history"], 0, &["anna", "availability zone az-2 in"]).await;
    let stranger = tool_as("some-other-token", &entries, &["status"]).await;
    assert_eq!(stranger.exit, 1, "{stranger:?}");
}

/// Guards against a tool and an entry that do not understand each other about tasks, and against decisions that nobody
/// can find out about.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_are_followed_and_explained() {
    let (_site, _client, entries) = start().await;
    tool(&entries, &["publish", SET], 0, &[]).await;
    let short = ["task", "submit", "m-1", "--service", "masters", "--payload", "{\"run_ms\":50}"];
    tool(&entries, &short, 0, &["Task c0-m-1 is accepted"]).await;
    tool(&entries, &short, 0, &["is known already"]).await;
    let other = ["task", "submit", "m-1", "--service", "masters", "--payload", "{\"run_ms\":51}"];
    tool(&entries, &other, 3, &["key in use"]).await;
    tool(&entries, &["task", "submit", "m-2", "--service", "no-such"], 1, &["does not exist"]).await;
    let long = ["task", "submit", "m-3", "--service", "masters", "--payload", "{\"run_ms\":600000}"];
    tool(&entries, &long, 0, &["is accepted"]).await;
    tool(&entries, &["task", "wait", "c0-m-1"], 0, &["succeeded"]).await;
    tool(&entries, &["task", "list"], 0, &["c0-m-1", "c0-m-3"]).await;
    tool(&entries, &["task", "cancel", "c0-m-3"], 0, &["c0-m-3"]).await;
    tool(&entries, &["task", "wait", "c0-m-3"], 1, &["cancelled"]).await;
    tool(&entries, &["task", "status", "c0-m-3"], 0, &["cancelled"]).await;
    tool(&entries, &["task", "status", "c0-no-such"], 1, &["no such task"]).await;
    tool(&entries, &["status", "tasks"], 0, &["stalled"]).await;
    let words = ["was accepted under profile master", "was placed on worker agent-", "it did its work"];
    tool(&entries, &["explain", "task", "c0-m-1"], 0, &words).await;
    tool(&entries, &["explain", "worker", "agent-0"], 0, &["It is serving now"]).await;
    tool(&entries, &["completions", "bash"], 0, &["fescuelead"]).await;
}

/// Guards against requests and tasks that are missing from the burn report, and against a report without its causes.
#[tokio::test(flavor = "multi_thread")]
async fn burn_counts_requests_and_starts() {
    let (site, client, entries) = start().await;
    let entry = site.api_address(0).to_string();
    tool(&entries, &["publish", SET], 0, &[]).await;
    let address = site.request_address(0);
    eventually("an answer", || async { (request(&client, address, "/s/previews/track").await == 200).then_some(()) })
        .await;
    for number in 0..50 {
        assert_eq!(request(&client, address, &format!("/s/previews/{number}")).await, 200);
    }
    // The other entry counts these itself.
    let other = site.request_address(1);
    eventually("an answer", || async { (request(&client, other, "/s/previews/track").await == 200).then_some(()) })
        .await;
    for number in 0..30 {
        assert_eq!(request(&client, other, &format!("/s/previews/other-{number}")).await, 200);
    }
    // No endpoint serves this one, so that all its requests are refused.
    let headers = [("idempotency-key", "k"), ("x-deadline-ms", "200")];
    let refused = client.call(Method::POST, address, "/s/takedowns/x", &headers, "x").await.expect("an answer");
    assert_eq!((refused.status.as_u16(), refused.outcome.as_deref()), (503, Some("not-run")));
    for number in 0..8 {
        let key = format!("b-{number}");
        let task = ["task", "submit", &key, "--service", "masters", "--payload", "{\"run_ms\":10}"];
        tool(&entry, &task, 0, &[]).await;
        tool(&entry, &["task", "wait", &format!("c0-b-{number}")], 0, &[]).await;
    }
    let burn = tool(&entry, &["--output", "json", "burn"], 0, &[]).await;
    let report: serde_json::Value = serde_json::from_str(&burn.out).expect("JSON");
    let item = |service: &str| {
        report["items"].as_array().and_then(|items| items.iter().find(|item| item["service"] == service)).cloned()
    };
    let previews = item("previews").expect("requests were counted");
    let counted = ["good", "late", "bad", "refused"].map(|field| previews[field].as_u64().unwrap_or(0));
    assert!(counted.iter().sum::<u64>() >= 81, "{previews}");
    assert_eq!((report["entries"].as_array().map(Vec::len), &report["missing"]), (Some(2), &serde_json::json!([])));
    let takedowns = item("takedowns").expect("refused requests were counted");
    assert_eq!(
        (&takedowns["refused"], &takedowns["causes"][0]["actions"][0]["action"]),
        (&1.into(), &"refused".into())
    );
    tool(&entry, &["explain", "service", "takedowns"], 0, &["are refused as not run"]).await;
    tool(&entry, &["burn"], 0, &["store-preview", "takedowns"]).await;
    let page = Path::new(env!("CARGO_TARGET_TMPDIR")).join("burn.html");
    tool(&entry, &["burn", "--html", page.to_str().expect("text")], 0, &["is in"]).await;
    assert!(std::fs::read_to_string(page).expect("the page").contains("<h2>previews</h2>"));
    let served = client.get(site.api_address(0), "/burn").await.expect("an answer");
    assert!(served.status.is_success() && served.text.contains("<h2>takedowns</h2>"), "{served:?}");
    let metrics = client.get(site.api_address(0), "/metrics").await.expect("an answer").text;
    assert!(metrics.contains("fescuelead_refusals_total{service=\"takedowns\""), "{metrics}");
    let metrics = client.get(site.hosts[0].agent.addresses().api, "/metrics").await.expect("an answer").text;
    assert!(metrics.contains("fescuelead_agent_requests_total{outcome=\"answered\"}"), "{metrics}");
}

/// Guards against a tool that cannot speak to an entry with TLS, that takes any certificate, or that does not say why it
/// refuses one.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_with_tls_is_reached_and_an_unknown_certificate_refused() {
    let (pair, stranger) = (Pair::new("tool"), Pair::new("tool-stranger"));
    let path = |file: &Path| file.to_str().expect("text").to_owned();
    let (cert, key, other) = (path(&pair.cert_file), path(&pair.key_file), path(&stranger.cert_file));
    let settings = Settings::parse_from(
        [
            ["fescueleadd", "--role=entry"],
            ["--name", "entry-a"],
            ["--availability-zone", "az-1"],
            ["--peer-keys", "k1:000102030405060708090a0b0c0d0e0f"],
            ["--operator-token", OPERATOR_TOKEN],
            ["--log-address", "127.0.0.1:1"],
            ["--tls-cert-file", &cert],
            ["--tls-key-file", &key],
            ["--probe-grace-ms", "0"],
        ]
        .concat(),
    )
    .expect("good settings");
    let Role::Entry(settings) = settings.role else { panic!("the settings name an entry") };
    let log = LogStandin::new();
    let running = entry::start(settings, Arc::new(log.client("entry-a"))).await.expect("the entry starts");
    eventually("readiness", || async { running.is_ready().then_some(()) }).await;
    let address = format!("https://{}", running.addresses().api);
    tool(&address, &["--ca-file", &cert, "publish", SET], 0, &["Version 1 is published"]).await;
    tool(&address, &["--ca-file", &cert, "show"], 0, &["# version 1;"]).await;
    tool(&address, &["--ca-file", &other, "status"], 4, &["from no CA in --ca-file"]).await;
    let by_name = address.replace("127.0.0.1", "localhost");
    tool(&by_name, &["--ca-file", &cert, "status"], 4, &["name the entry as its certificate does"]).await;
    tool(&address, &["status"], 2, &["needs --ca-file or FESCUELEAD_CA_FILE"]).await;
    tool(&address, &["--ca-file", &key, "status"], 2, &["holds no certificate"]).await;
    let plain = running.addresses().api.to_string();
    tool(&plain, &["status"], 4, &["if it serves TLS, name it as https://"]).await;
    assert_eq!(running.drain().await.finish().await, 0);
}
