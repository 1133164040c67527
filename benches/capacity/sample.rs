//! Sample messages, records and tables. All follow from their numbers, so that every run measures the same.

use fescuelead_core::{
    cell::CellState,
    entry::EntryControl,
    ids::{AgentId, AttemptRef, AvailabilityZone, EntryId, EntryRef, ProfileName, RackId, ServiceName, TaskId, TeamId},
    interference::ClassId,
    placement::{Resident, WorkerUpdate},
    profile::{Kind, LeaseSettings},
    record::{Batch, Record, TaskSpec},
    runner::SyncRequest,
    testing,
    units::{Resources, TimeMs},
};
use fescuelead_wire::messages::{
    AgentHello, EndpointReport, EntryAddress, Heartbeat, HeartbeatReply, RunningAttempt, UsageReport,
};

/// Availability zones of the target size.
pub const ZONES: usize = 25;
/// Teams of the target size.
pub const TEAMS: usize = 220;
/// Records in one append while the stand-in log is filled.
const PER_BATCH: usize = 256;

/// Makes an identifier of a text that is known to be valid.
macro_rules! valid {
    ($id:ident, $($text:tt)*) => { $id::new(format!($($text)*)).expect("valid id") };
}

pub fn agent(number: usize) -> AgentId {
    valid!(AgentId, "agent-{number:05}")
}

pub fn task(number: usize) -> TaskId {
    valid!(TaskId, "c0-sursetu-master-{number:08}")
}

pub fn attempt(number: usize) -> AttemptRef {
    AttemptRef::new(task(number), 1)
}

pub fn entry(number: usize) -> EntryRef {
    EntryRef::new(valid!(EntryId, "entry-{number:02}"), 7_000_000_000_000_000_000 + number as u64)
}

pub fn team(number: usize) -> TeamId {
    valid!(TeamId, "team-{:03}", number % TEAMS)
}

pub fn zone(number: usize) -> AvailabilityZone {
    valid!(AvailabilityZone, "az-{:02}", number % ZONES)
}

pub fn spec(number: usize) -> TaskSpec {
    TaskSpec { team: team(number), payload: vec![7; 100], deadline_unix_ms: 1_900_000_000_000, ..testing::task_spec() }
}

pub fn hello(number: usize) -> AgentHello {
    AgentHello {
        agent: agent(number),
        incarnation: 1,
        availability_zone: zone(number),
        rack: valid!(RackId, "rack-{:04}", number / 3),
        request_address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 8_000).into(),
        capacity: Resources::new(30_000, 128_000),
        cell: 0,
    }
}

pub fn endpoint(number: usize) -> EndpointReport {
    EndpointReport {
        service: valid!(ServiceName, "previews-{:02}", number % 40),
        slots: 8,
        connections: 64,
        in_flight: (number % 8) as u32,
        leaving: false,
        incarnation: 1 + number as u64,
        service_time_us: 20_000,
        served_requests: 1_000_000,
        served_total_us: 20_000_000_000,
    }
}

/// The heartbeat of an agent with these attempts and as many endpoints.
pub fn heartbeat(number: usize, held: Vec<AttemptRef>, endpoints: usize) -> Heartbeat {
    let running = |attempt: &AttemptRef| RunningAttempt {
        attempt: attempt.clone(),
        profile: valid!(ProfileName, "master"),
        resources: Resources::new(1_000, 512),
        throttle_percent: 100,
        progress: 17,
        frozen: false,
    };
    Heartbeat {
        running: held.iter().map(running).collect(),
        sync: SyncRequest {
            agent: agent(number),
            incarnation: 1,
            number: 1,
            held,
            reports: Vec::new(),
            free: Resources::new(8_000, 64_000),
        },
        endpoints: (0..endpoints).map(|n| endpoint(number * endpoints + n)).collect(),
        usage: Vec::new(),
        config_version: 3,
        wait_ms: 500,
    }
}

/// One usage sample for each running attempt.
pub fn usage(heartbeat: &Heartbeat) -> Vec<UsageReport> {
    let sample = |running: &RunningAttempt| UsageReport {
        attempt: running.attempt.clone(),
        profile: running.profile.clone(),
        age_ms: 5_000,
        interval_ms: 1_000,
        cpu_milli: 900,
        memory_mib: 400,
        slowdown: 1.07,
    };
    heartbeat.running.iter().map(sample).collect()
}

/// A cell with `entries` members of the fencing set and `tasks` running tasks spread over `agents` agents.
pub fn cell(entries: usize, tasks: usize, agents: usize) -> CellState {
    let mut cell = CellState::new(0);
    for (offset, bytes) in appends(entries, tasks, agents).iter().enumerate() {
        let batch = Batch::decode(bytes).expect("an append of this module");
        cell.apply(offset as u64, &batch);
    }
    cell
}

/// The appends that lead to [`cell`], encoded.
pub fn appends(entries: usize, tasks: usize, agents: usize) -> Vec<Vec<u8>> {
    let join = |number: usize| {
        Batch::new(entry(number).entry, entry(number).incarnation, 1)
            .with_record(Record::EntryRegistered { peer_address: format!("10.1.0.{number}:7000") })
            .with_record(Record::FencerAdmitted)
    };
    let joins = (0..entries).map(join);
    let numbers: Vec<usize> = (0..tasks).collect();
    let lives = numbers.chunks(PER_BATCH / 2).enumerate().map(|(index, chunk)| {
        let batch = Batch::new(entry(0).entry, entry(0).incarnation, index as u64 + 2);
        chunk.iter().fold(batch, |batch, number| {
            batch.with_record(submitted(*number)).with_record(assigned(*number, number % agents))
        })
    });
    joins.chain(lives).map(|batch| batch.encode().expect("a small batch")).collect()
}

pub fn submitted(number: usize) -> Record {
    Record::TaskSubmitted { task: task(number), spec: spec(number) }
}

pub fn assigned(number: usize, to: usize) -> Record {
    Record::TaskAssigned { task: task(number), attempt: 1, agent: agent(to), agent_incarnation: 1 }
}

pub fn finished(number: usize) -> Record {
    Record::AttemptFinished { task: task(number), attempt: 1, outcome: fescuelead_core::record::Outcome::Succeeded }
}

/// The control of the first entry, with this cell folded and fresh.
pub fn control(cell: &CellState) -> EntryControl {
    let mut control = EntryControl::new(entry(0), "10.1.0.0:7000", LeaseSettings::default());
    control.restored(cell, TimeMs(0));
    control.cell_tail_read(TimeMs(1));
    control.config_tail_read(TimeMs(1));
    control
}

/// Answers a heartbeat as an entry does.
pub fn reply(control: &mut EntryControl, heartbeat: &Heartbeat, cell: &CellState) -> HeartbeatReply {
    let (sync, _) = control.sync(&heartbeat.sync, cell, (3, false), TimeMs(2));
    let address = |(entry, address): (&EntryRef, &str)| {
        Some(EntryAddress { entry: entry.clone(), address: address.parse().ok()? })
    };
    HeartbeatReply { sync, entries: cell.fencers().peer_addresses().filter_map(address).collect() }
}

/// What an agent's heartbeat tells the placement table.
pub fn worker(number: usize) -> WorkerUpdate {
    let hello = hello(number);
    let resident = |class: u16| Resident {
        class: ClassId(class),
        kind: if class < 3 { Kind::LatencyCritical } else { Kind::Batch },
        weight: 1.0,
        misses_slo: false,
        budget: 0.1,
    };
    let free = Resources::new((number * 7_919 % 24_000) as u32, (number * 104_729 % 96_000) as u32);
    WorkerUpdate {
        agent: hello.agent,
        availability_zone: hello.availability_zone,
        rack: hello.rack,
        capacity: hello.capacity,
        free,
        expected_use: hello.capacity.minus(&free),
        residents: (0..4).map(|n| resident(((number + n * 3) % 12) as u16)).collect(),
    }
}
