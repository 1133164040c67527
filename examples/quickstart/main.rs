//! A small site in one process, on loopback.
//!
//! Without arguments it prints addresses and commands to try and serves until Ctrl-C. With `--once` it drives itself
//! through the kinds of work of both users, an availability zone out and in, and an endpoint that leaves, prints what
//! happened, checks it, and exits 0.

#[allow(dead_code, reason = "shared with the tests")]
mod client;
mod once;
#[allow(dead_code, reason = "shared with the tests")]
mod site;

use client::Client;
use hyper::Method;
use site::{OPERATOR_TOKEN, Plan, Site};

const SURSETU: &str = include_str!("../profiles/sursetu.toml");
const SCHOTELONDERHOUD: &str = include_str!("../profiles/schotelonderhoud.toml");

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    if std::env::args().any(|argument| argument == "--once") {
        return once::run().await;
    }
    let site = Site::start(Plan::new(3, 6).with_entries(2).with_service("previews")).await?;
    let client = Client::new(OPERATOR_TOKEN);
    once::wait_until_ready(&client, &site).await?;
    once::publish(&client, &site, SURSETU).await?;
    print_commands(&site);
    tokio::signal::ctrl_c().await?;
    println!("Stopping.");
    for entry in site.entries {
        entry.drain().await.finish().await;
    }
    Ok(())
}

fn print_commands(site: &Site) {
    let (api, request) = (site.api_address(0), site.request_address(0));
    println!(
        "A site with 3 availability zones, 6 hosts and 2 entries is up. Profiles: examples/profiles/sursetu.toml.\n"
    );
    println!("export FESCUELEAD_ENTRY={api} FESCUELEAD_TOKEN={OPERATOR_TOKEN}");
    println!("cargo run -q --bin fescuelead -- status");
    println!("cargo run -q --bin fescuelead -- zone out az-2");
    println!("cargo run -q --bin fescuelead -- zone in az-2");
    println!("curl -s -X POST http://{request}/s/previews/track/17 -d sound");
    println!(
        "curl -s {} http://{api}/v1/tasks -d '{{\"key\":\"m-1\",\"service\":\"masters\",\"payload\":\"{{\\\"run_ms\\\":5000}}\"}}'",
        Method::POST.as_str().replace("POST", "-X POST")
    );
    println!("cargo run -q --bin fescuelead -- explain task c0-m-1");
    println!("\nCtrl-C stops it.");
}
