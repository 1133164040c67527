//! `status`.

use clap::ArgMatches;
use fescuelead_wire::api::{
    EndpointStatus, EntryStatus, HostStatus, Laggard, LogState, ResourceAmount, Status, TaskCounts,
};

use crate::{
    client::{Call, Client},
    command::Settings,
    failure::Failure,
    render::{Table, or_dash, output, printable, span, time},
};

/// Shows a summary or one part.
pub async fn run(client: &Client, settings: &Settings, args: &ArgMatches) -> Result<String, Failure> {
    let status: Status = client.fetch(Call::get("/v1/status")).await?;
    match args.get_one::<String>("part").map(String::as_str) {
        Some("hosts") => output(settings, &status.hosts, |hosts| host_table(hosts)),
        Some("endpoints") => output(settings, &status.endpoints, |endpoints| endpoint_table(endpoints)),
        Some("entries") => output(settings, &status.entries, |entries| entry_table(entries)),
        Some("tasks") => output(settings, &status.tasks, task_table),
        _ => output(settings, &status, summary),
    }
}

fn host_table(hosts: &[HostStatus]) -> String {
    let row = |host: &HostStatus| {
        [
            host.agent.clone(),
            host.availability_zone.clone(),
            host.rack.clone(),
            host.state.clone(),
            share(host.committed, host.capacity, |r| r.cpu_milli),
            share(host.committed, host.capacity, |r| r.memory_mib),
            share(host.committed, host.capacity, |r| r.accelerators),
            host.running_tasks.to_string(),
            host.config_version.to_string(),
            span(host.heartbeat_age_ms),
            or_dash(host.reason.as_ref()),
        ]
    };
    let header = ["agent", "zone", "rack", "state", "mcpu", "mib", "accel", "tasks", "version", "heard", "reason"];
    Table::new(header).with_rows(hosts, row).render()
}

fn share(used: ResourceAmount, of: ResourceAmount, part: impl Fn(&ResourceAmount) -> u32) -> String {
    format!("{}/{}", part(&used), part(&of))
}

/// A value in words, or a dash if it is not known.
fn known(value: Option<u64>, words: impl FnOnce(u64) -> String) -> String {
    value.map_or_else(|| "-".to_owned(), words)
}

fn endpoint_table(endpoints: &[EndpointStatus]) -> String {
    let row = |endpoint: &EndpointStatus| {
        [
            endpoint.service.clone(),
            endpoint.address.clone(),
            endpoint.agent.clone(),
            endpoint.state.clone(),
            format!("{}/{}", endpoint.in_flight, endpoint.slots),
            known(endpoint.announcement_age_ms, span),
        ]
    };
    Table::new(["service", "address", "agent", "state", "in flight", "announced"]).with_rows(endpoints, row).render()
}

fn entry_table(entries: &[EntryStatus]) -> String {
    let row = |entry: &EntryStatus| {
        [
            entry.entry.clone(),
            format!("{:x}", entry.incarnation),
            entry.membership.clone(),
            entry.peer_address.clone(),
            known(entry.config_version, |version| version.to_string()),
            known(entry.heartbeat_age_ms, span),
        ]
    };
    Table::new(["entry", "incarnation", "fencing", "peer address", "version", "heard"]).with_rows(entries, row).render()
}

fn task_table(tasks: &TaskCounts) -> String {
    let rows = [
        ("pending", tasks.pending),
        ("assigned", tasks.assigned),
        ("fenced", tasks.fenced),
        ("ended", tasks.ended),
        ("stalled", tasks.stalled),
    ];
    Table::new(["phase", "tasks"]).with_rows(&rows, |(phase, count)| [(*phase).to_owned(), count.to_string()]).render()
}

fn summary(status: &Status) -> String {
    let rollout = &status.rollout;
    let log = &status.log;
    let zones = if status.zones_out.is_empty() { "none".to_owned() } else { status.zones_out.join(", ") };
    let laggard = |l: &Laggard| format!("{} {} at version {}", l.role, l.name, l.version);
    let laggards: Vec<_> = rollout.laggards.iter().map(laggard).collect();
    let laggards = if laggards.is_empty() { String::new() } else { format!(" (behind: {})", laggards.join(", ")) };
    let state = match log.state {
        LogState::Up => "up",
        LogState::Slow => "slow",
        LogState::Down => "down",
    };
    let copy = log.peer_copy.as_ref().map_or_else(String::new, |copy| {
        let age = span(copy.age_at_peer_ms);
        format!(", a copy of {} taken {} ago and {age} old there", copy.peer, span(copy.held_ms))
    });
    let lines = [
        format!("as of      {}, by entry {} of cell {}", time(status.as_of_unix_ms), status.entry, status.cell),
        format!(
            "config     version {}, in force in {} of {} processes{laggards}",
            rollout.version, rollout.in_force, rollout.processes
        ),
        format!("zones out  {zones}"),
        format!(
            "log        {state} for {}, view at offset {}{copy}, {} records skipped",
            span(log.state_age_ms),
            log.view_offset,
            log.skipped_records
        ),
        format!("hosts      {}", by_state(status.hosts.iter().map(|host| host.state.as_str()))),
        format!("endpoints  {}", by_state(status.endpoints.iter().map(|endpoint| endpoint.state.as_str()))),
        format!("entries    {}", by_state(status.entries.iter().map(|entry| entry.membership.as_str()))),
        format!(
            "tasks      {} pending, {} assigned, {} fenced, {} ended, {} stalled",
            status.tasks.pending, status.tasks.assigned, status.tasks.fenced, status.tasks.ended, status.tasks.stalled
        ),
    ];
    lines.iter().map(|line| format!("{}\n", printable(line))).collect()
}

fn by_state<'s>(states: impl Iterator<Item = &'s str>) -> String {
    let mut counts = std::collections::BTreeMap::<&str, usize>::new();
    states.for_each(|state| *counts.entry(state).or_default() += 1);
    if counts.is_empty() {
        return "none".to_owned();
    }
    counts.iter().map(|(state, count)| format!("{count} {state}")).collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
mod tests {
    use fescuelead_wire::api::{LogStatus, PeerCopy, Rollout};

    use super::*;

    /// Guards against an operator who takes a peer's copy for a view of the log.
    #[test]
    fn a_view_that_is_a_copy_is_shown_with_its_age() {
        let peer_copy = |peer_copy| Status {
            cell: 0,
            as_of_unix_ms: 0,
            entry: "entry-a".to_owned(),
            zones_out: Vec::new(),
            rollout: Rollout { cell: 0, version: 3, processes: 1, in_force: 1, laggards: Vec::new() },
            log: LogStatus {
                state: LogState::Down,
                state_age_ms: 65_000,
                append_age_ms: None,
                read_age_ms: None,
                view_offset: 17,
                peer_copy,
                skipped_records: 0,
                repeated_appends: 0,
            },
            tasks: TaskCounts::default(),
            hosts: Vec::new(),
            endpoints: Vec::new(),
            entries: Vec::new(),
        };
        let copy = PeerCopy { peer: "10.0.1.5:7000".to_owned(), age_at_peer_ms: 61_000, held_ms: 4_000 };
        let text = summary(&peer_copy(Some(copy)));
        assert!(text.contains("view at offset 17, a copy of 10.0.1.5:7000 taken 4s ago and 1m 1s old there"), "{text}");
        assert!(!summary(&peer_copy(None)).contains("copy"));
    }
}
