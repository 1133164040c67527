/*!
The messages of `schema/peer.capnp` as plain Rust types.

Each type has `TryFrom` its reader, which checks identifiers and lengths, and `write` to its builder.
*/

use std::net::SocketAddr;

use fescuelead_core::{
    ids::{AgentId, AttemptRef, AvailabilityZone, EntryRef, ProfileName, RackId, ServiceName},
    runner::{SyncReply, SyncRequest},
    units::Resources,
};

mod cell;
mod convert;
mod error;

pub use self::{
    cell::OtherCell,
    convert::{read_attempt, read_entry, read_resources, write_attempt, write_entry, write_resources},
    error::MessageError,
};

/// The most elements of any list in a message.
pub const MAX_LIST_LENGTH: u32 = 65_536;

/// What an agent says of itself when it attaches to an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentHello {
    /// The agent.
    pub agent: AgentId,
    /// Which run of it.
    pub incarnation: u64,
    /// Where its host stands.
    pub availability_zone: AvailabilityZone,
    /// The rack of its host.
    pub rack: RackId,
    /// Where it takes requests from entries.
    pub request_address: SocketAddr,
    /// What its worker has.
    pub capacity: Resources,
    /// The cell that it belongs to.
    pub cell: u32,
}

impl AgentHello {
    /// The text that the shared key signs.
    pub fn signed_text(&self) -> String {
        let Self { agent, incarnation, availability_zone, request_address, cell, .. } = self;
        format!("{agent} {incarnation} {availability_zone} {request_address} {cell}")
    }
}

/// An endpoint as its agent sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointReport {
    /// The service that it serves.
    pub service: ServiceName,
    /// Requests that it works on at one time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Requests of all entries that it works on now.
    pub in_flight: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Which run of it.
    pub incarnation: u64,
    /// Its recent service time, in microseconds; 0 if nothing was measured.
    pub service_time_us: u64,
    /// Requests that have ended since this run of it was first announced.
    pub served_requests: u64,
    /// The sum of their service times, in microseconds.
    pub served_total_us: u64,
}

/// An attempt that runs on the agent's worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningAttempt {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Its profile.
    pub profile: ProfileName,
    /// What is committed to it.
    pub resources: Resources,
    /// The share of its processor time that it may use, 0 to 100.
    pub throttle_percent: u8,
    /// A counter that grows while it makes progress.
    pub progress: u64,
    /// Whether it is frozen for want of a lease.
    pub frozen: bool,
}

/// The usage of one attempt over a past interval.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageReport {
    /// The attempt.
    pub attempt: AttemptRef,
    /// Its profile.
    pub profile: ProfileName,
    /// How long before the message the interval ended.
    pub age_ms: u64,
    /// The length of the interval.
    pub interval_ms: u64,
    /// Processor time used, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory used.
    pub memory_mib: u32,
    /// How much longer its work took than it does alone; 1.0 is undisturbed.
    pub slowdown: f64,
}

/// The heartbeat of an agent to one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// What concerns attempts.
    pub sync: SyncRequest,
    /// What runs.
    pub running: Vec<RunningAttempt>,
    /// The endpoints on the host.
    pub endpoints: Vec<EndpointReport>,
    /// Usage that became known since the last heartbeat to this entry.
    pub usage: Vec<UsageReport>,
    /// The configuration version that the agent has.
    pub config_version: u64,
    /// How long the entry may hold its reply if it has no command.
    pub wait_ms: u64,
}

/// An entry and where agents reach it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryAddress {
    /// The entry.
    pub entry: EntryRef,
    /// Its peer listener.
    pub address: SocketAddr,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct HeartbeatReply {
    /// What concerns attempts.
    pub sync: SyncReply,
    /// All registered entries.
    pub entries: Vec<EntryAddress>,
}

impl HeartbeatReply {
    /// Whether it tells the agent nothing but proofs, so that it may be held back for a moment.
    pub fn is_idle(&self) -> bool {
        self.sync.commands.is_empty() && self.sync.accepted.is_empty()
    }
}

/// What an agent knows of a request key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAnswer {
    /// It never saw the key, and refuses it from now on.
    Refused,
    /// It saw the request.
    Seen,
    /// An earlier run of the agent may have seen it.
    Unknown,
}
