//! Bytes and processor time of a heartbeat, and the memory that its sender costs an entry.

use std::hint::black_box;

use capnp::message::{Builder, HeapAllocator};
use fescuelead_core::{
    balance::{BalanceSettings, Balancer, EndpointSpec, TimeUs},
    ids::AttemptRef,
    placement::WorkerTable,
    units::TimeMs,
};
use fescuelead_wire::{
    messages::{Heartbeat, HeartbeatReply},
    peer_capnp as p,
};

use crate::{
    measure::{Line, Report, cpu_ns, heading, heap_bytes, slope},
    sample,
};

/// Heartbeats a second to one entry, of an agent with one entry.
pub const BEATS_PER_S: f64 = 2.0;
/// The longest time between two heartbeats to one entry, as in the agent's control.
const MAX_INTERVAL_MS: f64 = 1_500.0;
/// Hosts and entries of a region's cell at the target size.
const CELL_HOSTS: f64 = 1_600.0;
const CELL_ENTRIES: f64 = 3.0;
/// Running attempts and endpoints of a host at the target size: 141,000 and 44,000 over 16,000 hosts.
pub const HELD: f64 = 141_000.0 / 16_000.0;
pub const ENDPOINTS: f64 = 44_000.0 / 16_000.0;
/// Hosts of the target size.
const HOSTS: f64 = 16_000.0;
/// Bytes of capnp-rpc call, return, finish and TCP/IP headers around a request and its reply: three messages with some
/// 120 bytes of envelope in all, and four segments with 66 bytes of headers each.
const ENVELOPE_BYTES: f64 = 120.0 + 4.0 * 66.0;
const ROUNDS: usize = 2_000;

/// Heartbeats a second to one entry, of an agent with this many entries. The time between them grows with the entries.
fn beats_per_s(entries: f64) -> f64 {
    1_000.0 / (1_000.0 / BEATS_PER_S * entries).min(MAX_INTERVAL_MS)
}

fn request_message(heartbeat: &Heartbeat) -> Builder<HeapAllocator> {
    let mut message = Builder::new_default();
    heartbeat.write(message.init_root::<p::sync_request::Builder<'_>>());
    message
}

fn reply_message(reply: &HeartbeatReply) -> Builder<HeapAllocator> {
    let mut message = Builder::new_default();
    reply.write(message.init_root::<p::sync_reply::Builder<'_>>());
    message
}

fn bytes(message: &Builder<HeapAllocator>) -> Vec<u8> {
    capnp::serialize::write_message_to_words(message)
}

fn read_request(bytes: &[u8]) -> Heartbeat {
    let message = capnp::serialize::read_message(bytes, Default::default()).expect("a whole message");
    message.get_root::<p::sync_request::Reader<'_>>().map(Heartbeat::try_from).expect("a request").expect("valid")
}

fn read_reply(bytes: &[u8]) -> HeartbeatReply {
    let message = capnp::serialize::read_message(bytes, Default::default()).expect("a whole message");
    message.get_root::<p::sync_reply::Reader<'_>>().map(HeartbeatReply::try_from).expect("a reply").expect("valid")
}

fn held(attempts: usize) -> Vec<AttemptRef> {
    // The sample cell gives task n to agent n % 1, so that agent 0 holds all of them.
    (0..attempts).map(sample::attempt).collect()
}

fn round_trip_bytes(attempts: usize, endpoints: usize, with_usage: bool) -> f64 {
    let cell = sample::cell(3, attempts, 1);
    let mut heartbeat = sample::heartbeat(0, held(attempts), endpoints);
    if with_usage {
        heartbeat.usage = sample::usage(&heartbeat);
    }
    let reply = sample::reply(&mut sample::control(&cell), &heartbeat, &cell);
    (bytes(&request_message(&heartbeat)).len() + bytes(&reply_message(&reply)).len()) as f64
}

/// The agent writes the request and reads the reply.
fn agent_ns(attempts: usize) -> f64 {
    let cell = sample::cell(3, attempts, 1);
    let heartbeat = sample::heartbeat(0, held(attempts), 3);
    let reply = bytes(&reply_message(&sample::reply(&mut sample::control(&cell), &heartbeat, &cell)));
    cpu_ns(ROUNDS, |_| {
        black_box(bytes(&request_message(&heartbeat)));
        black_box(read_reply(&reply));
    })
}

/// The entry reads the request, decides and writes the reply.
fn entry_ns(attempts: usize) -> f64 {
    let cell = sample::cell(3, attempts, 1);
    let mut control = sample::control(&cell);
    let request = bytes(&request_message(&sample::heartbeat(0, held(attempts), 3)));
    cpu_ns(ROUNDS, |_| {
        let heartbeat = read_request(&request);
        let reply = sample::reply(&mut control, &heartbeat, &cell);
        black_box(bytes(&reply_message(&reply)));
    })
}

/// Measures heartbeats and prints what they cost at the target size.
pub fn run(report: &mut Report) {
    heading("heartbeat: request and reply");
    let sizes = [0, 10, 40, 160];
    let per_attempt = slope("bytes by running attempts (3 endpoints)", "B", &sizes, |n| round_trip_bytes(n, 3, false));
    slope("processor time of the agent by attempts", "ns", &sizes, agent_ns);
    slope("processor time of the entry by attempts", "ns", &sizes, entry_ns);
    let per_endpoint =
        slope("bytes by endpoints (9 attempts)", "B", &[1, 10, 40, 160], |n| round_trip_bytes(9, n, false));
    let usage = round_trip_bytes(9, 3, true) - round_trip_bytes(9, 3, false);
    println!("bytes of usage samples of 9 attempts, once a second: {usage:.0}");
    let with_entries = slope("bytes by entries in the fencing set (9 attempts)", "B", &[1, 3, 25, 50], |entries| {
        let cell = sample::cell(entries, 9, 1);
        let heartbeat = sample::heartbeat(0, held(9), 3);
        bytes(&reply_message(&sample::reply(&mut sample::control(&cell), &heartbeat, &cell))).len() as f64
    });
    traffic(report, per_attempt, per_endpoint, usage, with_entries);
    many_agents(report);
    memory(report);
}

fn traffic(report: &mut Report, per_attempt: Line, per_endpoint: Line, usage: f64, with_entries: Line) {
    let beat = |held: f64, endpoints: f64, entries: f64| {
        per_attempt.at(held) + (endpoints - 3.0) * per_endpoint.slope + (entries - 3.0) * with_entries.slope
    };
    let per_s = |held, endpoints, entries: f64| {
        entries * (beats_per_s(entries) * (beat(held, endpoints, entries) + ENVELOPE_BYTES) + usage * held / 9.0)
            / 1_000.0
    };
    for entries in [1.0, 2.0, 3.0, 10.0, 25.0, 50.0] {
        let what = format!("control traffic of an agent, target size, attached to {entries} entries");
        report.at_most(what, per_s(HELD, ENDPOINTS, entries), 7.0, "KB/s");
    }
    for entries in [1.0, 3.0, 4.0] {
        let what = format!("control traffic of an agent today (10 tasks, 1 endpoint), {entries} entries");
        report.at_most(what, per_s(10.0, 1.0, entries), 7.0, "KB/s");
    }
    let share = |ns: f64, beats_per_s: f64| 100.0 * ns * beats_per_s / 1e9;
    let (agent, entry) = (agent_ns(9), entry_ns(9));
    println!("one heartbeat with 9 attempts and 3 endpoints: agent {agent:.0} ns, entry {entry:.0} ns");
    report.at_most(
        "processor time of an agent for messages, 3 entries",
        share(agent, 3.0 * beats_per_s(3.0)),
        0.5,
        "% core",
    );
    report.at_most(
        "processor time of one entry for 16,000 agents' messages",
        share(entry, HOSTS * BEATS_PER_S),
        100.0,
        "% core",
    );
    report.at_most("the same with 640 agents", share(entry, 640.0 * BEATS_PER_S), 2.4, "% core");
    let of_cell = CELL_HOSTS * beats_per_s(CELL_ENTRIES);
    report.at_most("the same for a region's cell: 1,600 agents, 3 entries", share(entry, of_cell), 2.4, "% core");
}

/// Whether the time of a heartbeat depends on how many other agents and tasks there are.
fn many_agents(report: &mut Report) {
    heading("processor time of an entry per heartbeat, 9 attempts each");
    slope("decision by agents (9 tasks each)", "ns", &[100, 1_000, 4_000], |agents| {
        let cell = sample::cell(3, agents * 9, agents);
        let mut control = sample::control(&cell);
        let heartbeats: Vec<_> = (0..agents)
            .map(|n| sample::heartbeat(n, (0..9).map(|t| sample::attempt(t * agents + n)).collect(), 3))
            .collect();
        cpu_ns(8_000, |n| {
            black_box(sample::reply(&mut control, &heartbeats[n % agents], &cell));
        })
    });
    let scan_ns = |tasks: usize| {
        let cell = sample::cell(3, tasks, 16_000);
        let known: std::collections::HashSet<_> = (0..16_000).map(sample::agent).collect();
        cpu_ns(10, |_| {
            let runners = cell.tasks().filter_map(|task| task.runner()).map(|runner| &runner.agent);
            black_box(runners.filter(|agent| !known.contains(*agent)).count());
        })
    };
    let what = "scan of all live tasks for agents that never attached, each 500 ms";
    slope(what, "ns", &[6_000, 36_000, 141_000], scan_ns);
    report.at_most("scan of 141,000 live tasks each 500 ms", scan_ns(141_000) * 2.0 / 1e7, 2.4, "% core");
    report.at_most("scan of 14,100 live tasks each 500 ms", scan_ns(14_100) * 2.0 / 1e7, 2.4, "% core");
}

fn memory(report: &mut Report) {
    heading("memory of an entry");
    let heartbeat = |n: usize| sample::heartbeat(n, (0..9).map(|t| sample::attempt(n * 9 + t)).collect(), 3);
    let agents = slope("running attempts of a session, by agents", "B", &[1_000, 4_000, 16_000], |agents| {
        heap_bytes(|| (0..agents).map(|n| (sample::hello(n), heartbeat(n).running)).collect::<Vec<_>>()).1
    });
    let book = slope("heartbeats on record and promises, by agents", "B", &[1_000, 4_000, 16_000], |agents| {
        let cell = sample::cell(3, 0, 1);
        let mut control = sample::control(&cell);
        let beat =
            |n: usize, control: &mut _| drop(sample::reply(control, &sample::heartbeat(n, Vec::new(), 0), &cell));
        heap_bytes(|| (0..agents * 64).for_each(|n| beat(n % agents, &mut control))).1
    });
    let tasks = slope("live tasks in the fold", "B", &[6_000, 36_000, 141_000], |tasks| {
        heap_bytes(|| sample::cell(3, tasks, 16_000)).1
    });
    let index = slope("live tasks by agent", "B", &[6_000, 36_000, 141_000], |tasks| {
        let cell = sample::cell(3, tasks, 16_000);
        heap_bytes(|| sample::control(&cell)).1
    });
    let endpoints = slope("endpoints in the balancer", "B", &[1_000, 10_000, 44_000], |endpoints| {
        heap_bytes(|| balancer(endpoints)).1
    });
    let workers = slope("workers in the placement table", "B", &[640, 4_000, 16_000], |workers| {
        heap_bytes(|| {
            let mut table = WorkerTable::new();
            (0..workers).for_each(|n| _ = table.update(sample::worker(n), TimeMs(0)));
            table
        })
        .1
    });
    let mib = |hosts: f64| {
        let per_host = agents.slope + book.slope + workers.slope;
        let per_task = tasks.slope + index.slope;
        (hosts * (per_host + HELD * per_task + ENDPOINTS * endpoints.slope)) / (1u64 << 20) as f64
    };
    report.at_most("heap of an entry with all 16,000 hosts in view", mib(HOSTS), 128.0, "MB");
    report.at_most("heap of an entry with 640 hosts in view", mib(640.0), 128.0, "MB");
    report.at_most("heap of an entry of a region's cell, 1,600 hosts", mib(CELL_HOSTS), 128.0, "MB");
}

/// A balancer with this many endpoints, 8 slots each, of 40 services.
pub fn balancer(endpoints: usize) -> Balancer {
    let mut balancer = Balancer::new(BalanceSettings::default(), sample::zone(0));
    for number in 0..endpoints {
        let report = sample::endpoint(number);
        let spec = EndpointSpec {
            service: report.service,
            agent: sample::agent(number / 3),
            zone: sample::zone(number),
            slots: report.slots,
            connections: report.connections,
            incarnation: report.incarnation,
        };
        balancer.add(spec, TimeUs(0));
    }
    balancer
}
