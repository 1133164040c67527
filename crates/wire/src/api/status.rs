//! The state of hosts, endpoints, entries and the log.

use fescuelead_core::{plain, units::Resources};

use crate::api::config::Rollout;

plain! {
    /// An amount of a host's resources.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct ResourceAmount {
        /// Processor time in thousandths of a core.
        pub cpu_milli: u32,
        /// Memory in MiB.
        pub memory_mib: u32,
        /// Whole accelerators.
        pub accelerators: u32,
    }

    /// The answer to `GET /v1/status`.
    pub struct Status {
        /// When the entry took it.
        pub as_of_unix_ms: u64,
        /// The entry that answered.
        pub entry: String,
        /// The cell that it belongs to, and that hosts, entries and tasks are of.
        #[serde(default)]
        pub cell: u32,
        /// The availability zones that are out of service.
        pub zones_out: Vec<String>,
        /// The configuration version in force, and how far it has spread.
        pub rollout: Rollout,
        /// The log service as the entry sees it.
        pub log: LogStatus,
        /// Tasks by phase.
        pub tasks: TaskCounts,
        /// Hosts, in the order of their agents' ids.
        pub hosts: Vec<HostStatus>,
        /// Endpoints, in the order of service and address.
        pub endpoints: Vec<EndpointStatus>,
        /// Entries, in the order of their ids.
        pub entries: Vec<EntryStatus>,
    }

    /// How the log service answers.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum LogState {
        /// Appends and reads succeed in time.
        Up,
        /// They succeed, but slowly.
        Slow,
        /// They fail.
        Down,
    }

    /// The log service as the entry sees it.
    pub struct LogStatus {
        /// How it answers.
        pub state: LogState,
        /// How long it has been in this state.
        pub state_age_ms: u64,
        /// How long ago an append last succeeded.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub append_age_ms: Option<u64>,
        /// How long ago a read of the tail last succeeded.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub read_age_ms: Option<u64>,
        /// The offset up to which the entry has folded the task stream.
        pub view_offset: u64,
        /// The peer's copy that the view is, as long as the entry has not read the log since.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub peer_copy: Option<PeerCopy>,
        /// Records that could not be decoded and were skipped.
        pub skipped_records: u64,
        /// Appends that were dropped as repeats.
        pub repeated_appends: u64,
    }

    /// A view that was taken from another entry while the log was down.
    pub struct PeerCopy {
        /// Where that entry answers, as `ip:port`.
        pub peer: String,
        /// How long before the copy that entry's view was last known to be fresh.
        pub age_at_peer_ms: u64,
        /// How long ago the copy came.
        pub held_ms: u64,
    }

    /// Tasks by phase.
    #[derive(Copy, Default)]
    pub struct TaskCounts {
        /// Waiting for their next attempt.
        pub pending: u64,
        /// Running, or about to.
        pub assigned: u64,
        /// Fenced, with the next attempt after the wait.
        pub fenced: u64,
        /// Ended and still kept.
        pub ended: u64,
        /// Running without progress for longer than their progress deadline.
        pub stalled: u64,
    }

    /// One host, as its agent reports it.
    pub struct HostStatus {
        /// The id of the agent.
        pub agent: String,
        /// Where the host is.
        pub availability_zone: String,
        /// The rack.
        pub rack: String,
        /// `serving`, `draining`, `suspected` or `silent`.
        pub state: String,
        /// How long ago the agent last reported.
        pub heartbeat_age_ms: u64,
        /// The configuration version in force there.
        pub config_version: u64,
        /// What the worker has.
        pub capacity: ResourceAmount,
        /// What running tasks and reservations take of it.
        pub committed: ResourceAmount,
        /// Running tasks.
        pub running_tasks: u64,
        /// Why the host is avoided, if it is.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub reason: Option<String>,
    }

    /// One endpoint.
    pub struct EndpointStatus {
        /// The service that it serves.
        pub service: String,
        /// Where it listens, as `ip:port`.
        pub address: String,
        /// The agent on its host.
        pub agent: String,
        /// `up`, `ramping`, `leaving` or `suspected`.
        pub state: String,
        /// Requests that it works on at one time.
        pub slots: u32,
        /// Requests in flight there.
        pub in_flight: u32,
        /// How long ago it was last announced, if the entry knows.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub announcement_age_ms: Option<u64>,
    }

    /// One entry.
    pub struct EntryStatus {
        /// Its id.
        pub entry: String,
        /// Tells one run of the process from the next.
        pub incarnation: u64,
        /// `member` or `candidate` of the fencing set, or `unregistered`.
        pub membership: String,
        /// Where agents reach it, as `ip:port`.
        pub peer_address: String,
        /// The configuration version in force there. Entries do not tell each other, so only the answering one is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub config_version: Option<u64>,
        /// How long ago it last wrote to the log, if the answering entry knows.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub heartbeat_age_ms: Option<u64>,
    }
}

impl From<Resources> for ResourceAmount {
    fn from(r: Resources) -> Self {
        Self { cpu_milli: r.cpu_milli, memory_mib: r.memory_mib, accelerators: r.accelerators }
    }
}

impl From<ResourceAmount> for Resources {
    fn from(r: ResourceAmount) -> Self {
        Self::new(r.cpu_milli, r.memory_mib).with_accelerators(r.accelerators)
    }
}
