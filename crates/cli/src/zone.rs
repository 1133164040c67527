//! Availability zones: `zone out`, `zone in`.

use std::time::Duration;

use clap::ArgMatches;
use fescuelead_core::ids::AvailabilityZone;
use fescuelead_wire::api::{Laggard, Rollout, Status, ZoneAnswer, ZoneRequest};
use tokio::time::Instant;

use crate::{
    client::{Call, Client, failure_of},
    command::{Settings, elapsed_ms, text, wait_timeout_ms},
    config,
    failure::{Exit, Failure},
    render::{output, printable, span},
};

/// How often another operator's change may come first before the command gives up.
const TRIES: u32 = 5;
const POLL_MS: u64 = 250;
const NAMED_LAGGARDS: usize = 5;

/// Takes an availability zone out or brings it back.
pub async fn run(client: &Client, settings: &Settings, args: &ArgMatches) -> Result<String, Failure> {
    let (direction, args) = args.subcommand().ok_or_else(|| Failure::usage("say `zone out` or `zone in`"))?;
    let zone = AvailabilityZone::new(text(args, "zone")?).map_err(|error| Failure::usage(error.to_string()))?;
    let mut answer = set(client, settings, &zone, direction == "out").await?;
    if !args.get_flag("no_wait") {
        answer.rollout = wait_until_in_force(client, &answer, wait_timeout_ms(args)).await?;
    }
    output(settings, &answer, |answer| {
        let state = if answer.out { "out of service" } else { "back in service" };
        let Rollout { cell, in_force, processes, .. } = answer.rollout;
        let version = answer.version;
        format!(
            "Availability zone {zone} is {state} in version {version}; in force in {in_force} of {processes} processes of \
             cell {cell}.\n"
        )
    })
}

/// Sets the zone by compare-and-set. A lost answer is resolved by reading, and repeating is harmless: of two records
/// with the same expected version only one is accepted.
async fn set(client: &Client, settings: &Settings, zone: &AvailabilityZone, out: bool) -> Result<ZoneAnswer, Failure> {
    let mut last = Failure::new(Exit::Conflict, String::new());
    for attempt in 0..TRIES {
        let standing =
            config::read(client).await.map_err(|failure| if attempt == 0 { failure } else { last.clone() })?;
        if standing.zones_out.iter().any(|known| known == zone.as_str()) == out {
            let version = standing.version;
            let rollout = Rollout { cell: 0, version, processes: 0, in_force: 0, laggards: Vec::new() };
            let rollout = client.fetch::<Status>(Call::get("/v1/status")).await.map_or(rollout, |s| s.rollout);
            return Ok(ZoneAnswer { availability_zone: zone.to_string(), out, version, rollout });
        }
        let expected_version = Some(standing.version);
        let request = ZoneRequest { out, expected_version, author: settings.author.clone() };
        let call = Call::put_once(format!("/v1/zones/{zone}")).with_json(&request)?;
        match client.send(call).await {
            Ok(answer) if (200..300).contains(&answer.status()) => return answer.json(),
            Ok(answer) if matches!(answer.status(), 409 | 412) => last = config::conflict(&answer.json()?),
            Ok(answer) => return Err(failure_of(&answer)),
            Err(failure) if failure.exit() == Exit::Unknown => last = failure,
            Err(failure) => return Err(failure),
        }
    }
    Err(last)
}

async fn wait_until_in_force(client: &Client, answer: &ZoneAnswer, limit_ms: u64) -> Result<Rollout, Failure> {
    let begun = Instant::now();
    let mut shown = None;
    let mut rollout = answer.rollout.clone();
    loop {
        if is_in_force(&rollout, answer.version) {
            return Ok(rollout);
        }
        let progress = (rollout.in_force, rollout.processes);
        if shown != Some(progress) {
            eprintln!("{}", progress_line(&rollout, answer.version));
            shown = Some(progress);
        }
        if elapsed_ms(begun) >= limit_ms {
            let message = format!(
                "version {} stands, but is not in force everywhere after {limit_ms} ms: {}",
                answer.version,
                progress_line(&rollout, answer.version)
            );
            return Err(Failure::new(Exit::Failure, message));
        }
        tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        match client.fetch::<Status>(Call::get("/v1/status")).await {
            Ok(status) => rollout = status.rollout,
            Err(failure) => log::warn!("client: the status cannot be read: {}", failure.message()),
        }
    }
}

/// A later version holds this one too, so that only processes below `version` matter.
fn is_in_force(rollout: &Rollout, version: u64) -> bool {
    let behind = rollout.processes.saturating_sub(rollout.in_force);
    let all_named = rollout.laggards.len() as u64 >= behind;
    rollout.version >= version
        && rollout.processes > 0
        && (behind == 0 || all_named && rollout.laggards.iter().all(|laggard| laggard.version >= version))
}

fn progress_line(rollout: &Rollout, version: u64) -> String {
    let behind: Vec<_> = rollout.laggards.iter().filter(|laggard| laggard.version < version).collect();
    let name = |laggard: &&Laggard| {
        format!(
            "{} {} (version {}, heard of {} ago)",
            laggard.role,
            laggard.name,
            laggard.version,
            span(laggard.age_ms)
        )
    };
    let names: Vec<_> = behind.iter().take(NAMED_LAGGARDS).map(name).collect();
    let more = match behind.len().saturating_sub(NAMED_LAGGARDS) {
        0 => String::new(),
        more => format!(" and {more} more"),
    };
    let waiting = if names.is_empty() { String::new() } else { format!("; waiting for {}{more}", names.join(", ")) };
    printable(&format!("In force in {} of {} processes{waiting}.", rollout.in_force, rollout.processes))
}

#[cfg(test)]
mod tests {
    use super::*;
    use fescuelead_wire::api::Role;

    fn rollout(version: u64, processes: u64, behind: &[u64]) -> Rollout {
        let laggard =
            |version: &u64| Laggard { name: "agent-1".to_owned(), role: Role::Agent, version: *version, age_ms: 0 };
        let laggards: Vec<_> = behind.iter().map(laggard).collect();
        Rollout { cell: 0, version, processes, in_force: processes - behind.len() as u64, laggards }
    }

    /// Guards against an operator who is told that a zone is out while a process has not heard of it.
    #[test]
    fn a_change_is_in_force_when_no_process_is_behind_it() {
        assert!(is_in_force(&rollout(7, 3, &[]), 7));
        assert!(!is_in_force(&rollout(7, 3, &[6]), 7));
        assert!(!is_in_force(&rollout(6, 3, &[]), 7), "the view is older than the change");
        assert!(is_in_force(&rollout(9, 3, &[8]), 7), "a later change is spreading");
        let unnamed = Rollout { laggards: Vec::new(), ..rollout(9, 3, &[8]) };
        assert!(!is_in_force(&unnamed, 7));
        assert!(!is_in_force(&rollout(7, 0, &[]), 7), "no process is known");
    }
}
