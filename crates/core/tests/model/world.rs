//! Simulation of one schedule: processes, clocks, network, log service and faults in virtual time, all drawn from a seed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    ops::Range,
};

use fescuelead_core::{
    cell::CellState,
    ids::{AttemptRef, EntryId, RequestKey, TaskId},
    mutation::Mutation,
    profile::LeaseSettings,
    record::{Batch, FenceReason, TaskSpec},
    request_keys::Refuse,
    runner::{SyncReply, SyncRequest},
    testing,
    units::{Resources, TimeMs},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    host::Host,
    monitor::Monitor,
    node::{ENTRY_SLOTS, Node},
};

const SCHEDULE_US: u64 = 16_000_000;
pub const SETTINGS: LeaseSettings = LeaseSettings { lease_ms: 2_000, silence_ms: 4_500, drift_ppm: 2_000 };

/// A process by its slot and incarnation. Messages to an earlier incarnation are dropped, because its connections are
/// closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    Entry(usize, u64),
    Agent(usize, u64),
    Log,
    World,
}

#[derive(Debug, Clone)]
pub enum Message {
    Tick,
    StartEntry(usize),
    StartAgent(usize),
    Fault,
    Leave { entry: usize },
    PartitionFromAgent { entry: usize, agent: usize, until: u64 },
    PartitionFromLog { entry: usize, until: u64 },
    Suspect { entry: usize, agent: usize },
    Publish { lease_ms: u64, tasks: u32 },
    CrashHost { agent: usize },
    Sync(Box<SyncRequest>),
    Reply(Box<SyncReply>),
    Reserve { attempt: AttemptRef, resources: Resources },
    Reserved { attempt: AttemptRef, slot: usize, agent_incarnation: u64 },
    Dispatch { key: RequestKey, offset: u64, agent_incarnation: u64 },
    Answered { key: RequestKey, offset: u64 },
    NotRun { key: RequestKey, offset: u64 },
    Refuse { key: RequestKey, offset: u64, agent_incarnation: u64 },
    RefuseAnswer { key: RequestKey, offset: u64, answer: Refuse },
    Append { batch: Batch, flight: u64, answer: bool },
    AppendConfig { batch: Batch },
    Appended { flight: u64 },
    Refused { flight: u64 },
    Lost { flight: u64 },
    Read { start: TimeMs, offset: u64 },
    Page(Pages),
    ReadFailed,
}

/// The result of a read of both streams. It may end before the tail of the cell.
#[derive(Debug, Clone)]
pub struct Pages {
    pub start: TimeMs,
    pub records: Range<usize>,
    pub first_offset: u64,
    pub cell_tail: usize,
    pub config_tail: usize,
}

/// A monotonic clock with constant drift within the bound of the settings.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    offset_us: u64,
    ppm: i64,
}

impl Clock {
    pub fn at(&self, real_us: u64) -> TimeMs {
        let drift = i64::try_from(real_us).expect("short schedule") * self.ppm / 1_000_000;
        TimeMs((self.offset_us + real_us).checked_add_signed(drift).expect("after zero") / 1_000)
    }
}

struct Scheduled {
    at: u64,
    order: u64,
    to: Peer,
    from: Peer,
    message: Message,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

pub struct World {
    pub now: u64,
    pub rng: ChaCha8Rng,
    pub settings: LeaseSettings,
    pub mutation: Option<Mutation>,
    pub monitor: Monitor,
    pub hosts: Vec<Host>,
    pub entries: Vec<Option<Node>>,
    pub clocks: Vec<Clock>,
    /// All encoded appends, including those that retention has dropped.
    pub cell_log: Vec<Vec<u8>>,
    first_offset: usize,
    /// Number of appends that the log retains.
    retained_appends: usize,
    pub config_log: Vec<Batch>,
    pub copies: Vec<CellState>,
    pub tasks: Vec<(TaskId, TaskSpec)>,
    pub next_incarnation: u64,
    /// Probability that the network drops a message.
    loss: f64,
    scripted: bool,
    log_down_until: u64,
    partitioned_until: BTreeMap<(usize, usize), u64>,
    log_partitioned_until: [u64; ENTRY_SLOTS],
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
}

impl World {
    pub fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let drift = i64::from(SETTINGS.drift_ppm);
        let mut clock =
            || Clock { offset_us: rng.random_range(1_000_000..9_000_000), ppm: rng.random_range(-drift..=drift) };
        let hosts = (0..3).map(|slot| Host::new(slot, clock(), SETTINGS)).collect::<Vec<_>>();
        let clocks = (0..ENTRY_SLOTS).map(|_| clock()).collect();
        let (agents, entries) = (rng.random_range(2..=3), rng.random_range(2..=3));
        let tasks = (0..rng.random_range(1..=2)).map(|number| {
            let idempotent = number == 0;
            (TaskId::new(format!("c0-t{number}")).expect("valid id"), TaskSpec { idempotent, ..testing::task_spec() })
        });
        let mut world = Self {
            now: 0,
            settings: SETTINGS,
            mutation,
            monitor: Monitor::new(mutation),
            hosts: hosts.into_iter().take(agents).collect(),
            entries: (0..ENTRY_SLOTS).map(|_| None).collect(),
            clocks,
            cell_log: Vec::new(),
            first_offset: 0,
            retained_appends: [30, 50, usize::MAX][rng.random_range(0..3)],
            config_log: Vec::new(),
            copies: Vec::new(),
            tasks: tasks.collect(),
            next_incarnation: 0,
            loss: [0.0, 0.01, 0.1][rng.random_range(0..3)],
            // Half of the schedules begin with one scripted change of membership or configuration without other faults.
            scripted: seed.is_multiple_of(2),
            log_down_until: 0,
            partitioned_until: BTreeMap::new(),
            log_partitioned_until: [0; ENTRY_SLOTS],
            queue: BinaryHeap::new(),
            order: 0,
            rng,
        };
        for slot in 0..entries {
            world.after(slot as u64 * 1_000, Peer::World, Message::StartEntry(slot));
        }
        for slot in 0..agents {
            world.after(0, Peer::World, Message::StartAgent(slot));
        }
        world.after(2_500_000, Peer::World, Message::Fault);
        world
    }

    /// Runs the schedule to its end or to the first violation, whose message it returns.
    pub fn run(&mut self) -> Option<String> {
        while let Some(Reverse(Scheduled { at, to, from, message, .. })) = self.queue.pop() {
            if at > SCHEDULE_US || self.monitor.violation.is_some() {
                break;
            }
            self.now = at;
            self.deliver(to, from, message);
        }
        self.monitor.counts.schedules += 1;
        self.monitor.violation.clone()
    }

    /// Delivers a message after `delay_us`, bypassing the simulated network.
    pub fn after(&mut self, delay_us: u64, to: Peer, message: Message) {
        self.schedule(self.now + delay_us, to, to, message);
    }

    /// Sends a message over the simulated network, which may drop, duplicate, delay or reorder it.
    pub fn send(&mut self, from: Peer, to: Peer, message: Message) {
        let partitioned = match (from, to) {
            (Peer::Entry(entry, _), Peer::Agent(agent, _)) | (Peer::Agent(agent, _), Peer::Entry(entry, _)) => {
                self.partitioned_until.get(&(entry, agent)).is_some_and(|until| *until > self.now)
            }
            _ => false,
        };
        // Requests use one HTTP connection each, which cannot duplicate them.
        let may_duplicate = matches!(message, Message::Sync(_) | Message::Reply(_) | Message::Reserve { .. });
        if partitioned || self.rng.random_bool(self.loss) {
            return;
        }
        if may_duplicate && self.rng.random_bool(0.02) {
            let delay_us = self.delay_us();
            self.schedule(self.now + delay_us, to, from, message.clone());
        }
        let delay_us = self.delay_us();
        self.schedule(self.now + delay_us, to, from, message);
    }

    pub fn delay_us(&mut self) -> u64 {
        match self.rng.random_range(0..100) {
            0 => self.rng.random_range(30_000..10_000_000),
            1..10 => self.rng.random_range(5_000..300_000),
            _ => self.rng.random_range(200..5_000),
        }
    }

    /// Sends an append to the log service. Draws whether and when it takes effect, and whether its response is lost.
    pub fn append(&mut self, from: Peer, batch: Batch, flight: u64) {
        let percentile = if self.is_partitioned_from_log(from) { 99 } else { self.rng.random_range(0..100) };
        let (answer, applied_after) = match percentile {
            0..88 => (true, Some(self.delay_us().min(250_000))),
            88..92 => (false, Some(self.delay_us().min(250_000))),
            92..96 => (false, Some(self.rng.random_range(300_000..5_000_000))),
            _ => (false, None),
        };
        if !answer {
            self.monitor.counts.lost_answers += 1;
            self.after(300_000, from, Message::Lost { flight });
        }
        if let Some(delay_us) = applied_after {
            self.schedule(self.now + delay_us, Peer::Log, from, Message::Append { batch, flight, answer });
        }
    }

    /// Sends a read of both streams to the log service. Its response is never lost.
    pub fn read_log(&mut self, from: Peer, start: TimeMs, offset: u64) {
        let delay_us = self.delay_us().min(200_000);
        self.schedule(self.now + delay_us, Peer::Log, from, Message::Read { start, offset });
    }

    fn is_partitioned_from_log(&self, from: Peer) -> bool {
        matches!(from, Peer::Entry(slot, _) if self.log_partitioned_until[slot] > self.now)
    }

    fn schedule(&mut self, at: u64, to: Peer, from: Peer, message: Message) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled { at, order: self.order, to, from, message }));
    }

    fn deliver(&mut self, to: Peer, from: Peer, message: Message) {
        let paused_until = match to {
            Peer::Entry(slot, incarnation) => match &self.entries[slot] {
                Some(entry) if entry.incarnation() == incarnation => entry.paused_until,
                _ => return,
            },
            Peer::Agent(slot, incarnation) => match &self.hosts[slot] {
                host if host.alive && host.incarnation == incarnation => host.paused_until,
                _ => return,
            },
            _ => 0,
        };
        if paused_until > self.now {
            let jitter = self.rng.random_range(0..2_000);
            self.schedule(paused_until + jitter, to, from, message);
            return;
        }
        self.monitor.counts.steps += 1;
        if !matches!(message, Message::Tick | Message::Read { .. } | Message::Page(_)) {
            self.monitor.trace(self.now, || format!("{from:?} -> {to:?}: {message:?}"));
        }
        match (to, message) {
            (Peer::Entry(slot, _), message) => self.entry_message(slot, from, message),
            (Peer::Agent(slot, _), message) => self.agent_message(slot, from, message),
            (Peer::Log, message) => self.log_message(from, message),
            (_, Message::StartEntry(slot)) => self.start_entry(slot),
            (_, Message::StartAgent(slot)) => self.start_agent(slot),
            (_, Message::Fault) => self.fault(),
            (_, Message::Leave { entry }) => self.leave(entry),
            (_, Message::PartitionFromAgent { entry, agent, until }) => {
                self.partitioned_until.insert((entry, agent), until);
            }
            (_, Message::PartitionFromLog { entry, until }) => self.log_partitioned_until[entry] = until,
            (_, Message::Suspect { entry, agent }) => self.suspect(entry, agent),
            (_, Message::Publish { lease_ms, tasks }) => self.publish(lease_ms, 9_000, tasks),
            (_, Message::CrashHost { agent }) => self.crash_agent(agent, true),
            _ => {}
        }
    }

    fn log_message(&mut self, from: Peer, message: Message) {
        let reads = matches!(message, Message::Read { .. });
        let down = self.log_down_until > self.now || (reads && self.is_partitioned_from_log(from));
        let answer_us = self.delay_us().min(200_000);
        match message {
            Message::Append { flight, answer: true, .. } if down => {
                self.after(answer_us, from, Message::Refused { flight });
            }
            Message::Append { batch, flight, answer } if !down => {
                self.monitor.append_applied(&batch, self.now);
                if matches!(from, Peer::Entry(slot, incarnation)
                    if self.entries[slot].as_ref().is_none_or(|e| e.incarnation() != incarnation || e.flight() != flight))
                {
                    self.monitor.counts.late_appends += 1;
                }
                self.cell_log.push(batch.encode().expect("encodes"));
                self.first_offset = self.cell_log.len().saturating_sub(self.retained_appends).max(self.first_offset);
                if answer {
                    self.after(answer_us, from, Message::Appended { flight });
                }
            }
            Message::AppendConfig { batch } if !down => {
                self.monitor.config_append_applied(&batch, self.now);
                self.config_log.push(batch);
            }
            Message::Read { .. } if down => self.after(answer_us, from, Message::ReadFailed),
            Message::Read { start, offset } => {
                let (cell_tail, config_tail) = (self.cell_log.len(), self.config_log.len());
                let first = self.first_offset.max(offset as usize);
                let limit = if self.rng.random_bool(0.1) { self.rng.random_range(1..20) } else { cell_tail };
                let records = first..cell_tail.min(first + limit);
                let first_offset = self.first_offset as u64;
                self.after(
                    answer_us,
                    from,
                    Message::Page(Pages { start, records, first_offset, cell_tail, config_tail }),
                );
            }
            _ => {}
        }
    }

    fn fault(&mut self) {
        let (entry, agent) = (self.rng.random_range(0..ENTRY_SLOTS), self.rng.random_range(0..self.hosts.len()));
        let span_us = self.rng.random_range(200_000..5_000_000);
        if std::mem::take(&mut self.scripted) {
            match self.rng.random_range(0..6) {
                0 => self.join_during_log_partition(agent),
                1 | 2 => self.fence_after_admission(agent),
                3 => self.lengthen_lease_briefly(agent),
                4 => self.lower_quota(agent),
                _ => self.replace_all_members(agent),
            }
            self.after(9_000_000, Peer::World, Message::Fault);
            return;
        }
        match self.rng.random_range(0..23) {
            0 => {
                if let Some(entry) = &mut self.entries[entry] {
                    entry.paused_until = self.now + span_us;
                }
            }
            1 => self.hosts[agent].paused_until = self.now + span_us,
            2 => self.crash_entry(entry),
            3 | 4 => self.crash_agent(agent, false),
            5 => self.crash_agent(agent, true),
            6 | 7 => self.log_down_until = self.now + span_us,
            8 | 9 => {
                for entry in 0..ENTRY_SLOTS {
                    if self.rng.random_bool(0.7) {
                        self.partitioned_until.insert((entry, agent), self.now + span_us);
                    }
                }
            }
            10 => self.leave(entry),
            11 => self.change_zone_concurrently(agent),
            12 | 13 => self.offer_copy(entry),
            14 => self.log_partitioned_until[entry] = self.now + span_us,
            15 => self.join_during_log_partition(agent),
            16 => self.fence_after_admission(agent),
            17 => self.replace_all_members(agent),
            18 | 19 => {
                let lease_ms = self.rng.random_range(1_000..=3_000);
                let silence_ms = self.rng.random_range(lease_ms * 2..=lease_ms * 3);
                let tasks = self.rng.random_range(0..=2);
                self.publish(lease_ms, silence_ms, tasks);
            }
            20 => self.append_malformed(),
            21 if self.entries[entry].is_none() => self.after(0, Peer::World, Message::StartEntry(entry)),
            _ => self.suspect(entry, agent),
        }
        let pause_us = self.rng.random_range(200_000..1_500_000);
        self.after(pause_us, Peer::World, Message::Fault);
    }

    /// Disconnects the running entries from the log while a new entry joins that one agent cannot reach. That agent then
    /// runs on promises of entries that cannot read what the new entry appends.
    fn join_during_log_partition(&mut self, agent: usize) {
        let Some(joining) = self.entries.iter().position(Option::is_none) else { return };
        let others: Vec<_> = (0..ENTRY_SLOTS).filter(|entry| self.entries[*entry].is_some()).collect();
        let mut partition_at = self.now + self.rng.random_range(0..2_800_000);
        if let (true, Some(entry)) = (self.rng.random_bool(0.6), others.first()) {
            // The fence is in flight or was just appended when its writer is disconnected from the log.
            self.suspect(*entry, agent);
            partition_at = self.now + self.rng.random_range(1_800_000..2_500_000);
        }
        let until = partition_at + self.rng.random_range(2_000_000..6_000_000);
        for entry in others {
            self.schedule(partition_at, Peer::World, Peer::World, Message::PartitionFromLog { entry, until });
        }
        self.partitioned_until.insert((joining, agent), until + 2_000_000);
        let start_at = partition_at + self.rng.random_range(0..1_000_000);
        self.schedule(start_at, Peer::World, Peer::World, Message::StartEntry(joining));
        let suspect_at = start_at + self.rng.random_range(300_000..2_000_000);
        self.schedule(suspect_at, Peer::World, Peer::World, Message::Suspect { entry: joining, agent });
    }

    /// Admits a new entry, which fences the attempts of an agent that it can no longer reach. Meanwhile the other entries
    /// are disconnected from the log, and their old replies may still arrive.
    fn fence_after_admission(&mut self, agent: usize) {
        let Some(entry) = self.entries.iter().position(Option::is_none) else { return };
        self.after(0, Peer::World, Message::StartEntry(entry));
        let suspect_us = self.rng.random_range(2_800_000..3_600_000);
        let until = self.now + suspect_us + 7_000_000;
        self.after(suspect_us, Peer::World, Message::Suspect { entry, agent });
        self.after(suspect_us, Peer::World, Message::PartitionFromAgent { entry, agent, until });
        let partition_us = suspect_us + self.rng.random_range(1_300_000..2_200_000);
        for other in (0..ENTRY_SLOTS).filter(|other| *other != entry) {
            self.after(partition_us, Peer::World, Message::PartitionFromLog { entry: other, until });
        }
    }

    /// All entries leave except one that is still a candidate. It is disconnected from the log while another one joins.
    fn replace_all_members(&mut self, agent: usize) {
        let (free, running): (Vec<_>, Vec<_>) = (0..ENTRY_SLOTS).partition(|entry| self.entries[*entry].is_none());
        let [candidate, next, ..] = free[..] else { return };
        self.after(0, Peer::World, Message::StartEntry(candidate));
        let leave_us = self.rng.random_range(200_000..700_000);
        for entry in running {
            self.after(leave_us, Peer::World, Message::Leave { entry });
        }
        let partition_us = leave_us + self.rng.random_range(200_000..900_000);
        let until = self.now + partition_us + 6_000_000;
        self.after(partition_us, Peer::World, Message::PartitionFromLog { entry: candidate, until });
        let next_us = partition_us + self.rng.random_range(0..500_000);
        self.after(next_us, Peer::World, Message::StartEntry(next));
        self.after(next_us, Peer::World, Message::PartitionFromAgent { entry: next, agent, until });
        let suspect_us = next_us + self.rng.random_range(2_000_000..3_500_000);
        self.after(suspect_us, Peer::World, Message::Suspect { entry: next, agent });
    }

    /// Puts a longer lease time in force briefly, while one entry is disconnected from the log and another one fences the
    /// attempts of an agent. That agent is then disconnected from all entries with a proof under the longer time.
    fn lengthen_lease_briefly(&mut self, agent: usize) {
        let entries: Vec<_> = (0..ENTRY_SLOTS).filter(|entry| self.entries[*entry].is_some()).collect();
        let [fencing, .., lagging] = entries[..] else { return };
        let publish = |lease_ms| Message::Publish { lease_ms, tasks: 2 };
        self.after(0, Peer::World, publish(1_000));
        self.after(1_000_000, Peer::World, publish(3_000));
        let shorten_us = self.rng.random_range(1_700_000..2_500_000);
        self.after(shorten_us, Peer::World, publish(1_000));
        let until = self.now + self.rng.random_range(2_800_000..3_800_000);
        self.after(1_000_000, Peer::World, Message::PartitionFromLog { entry: lagging, until });
        let suspect_us = self.rng.random_range(900_000..1_500_000);
        let until = self.now + 9_000_000;
        self.after(suspect_us, Peer::World, Message::PartitionFromAgent { entry: fencing, agent, until });
        self.after(suspect_us, Peer::World, Message::Suspect { entry: fencing, agent });
        let partition_us = self.rng.random_range(2_000_000..3_000_000);
        for entry in entries {
            self.after(partition_us, Peer::World, Message::PartitionFromAgent { entry, agent, until });
        }
    }

    /// Lowers a quota while one entry is disconnected from the log with an append of the higher quota in flight. Then the
    /// loss of a host makes its tasks wait for assignment again.
    fn lower_quota(&mut self, agent: usize) {
        let Some(lagging) = (0..ENTRY_SLOTS).find(|entry| self.entries[*entry].is_some()) else { return };
        self.after(0, Peer::World, Message::Publish { lease_ms: SETTINGS.lease_ms, tasks: 2 });
        let partition_us = self.rng.random_range(0..500_000);
        let until = self.now + self.rng.random_range(2_000_000..4_000_000);
        self.after(partition_us, Peer::World, Message::PartitionFromLog { entry: lagging, until });
        self.after(800_000, Peer::World, Message::Publish { lease_ms: SETTINGS.lease_ms, tasks: 0 });
        self.after(1_500_000, Peer::World, Message::CrashHost { agent });
    }

    /// Appends bytes that are not a batch. Every reader has to skip them.
    fn append_malformed(&mut self) {
        self.monitor.cell.skip(self.cell_log.len() as u64);
        self.cell_log.push(vec![u8::MAX; 3]);
    }

    fn crash_entry(&mut self, slot: usize) {
        if self.entries[slot].take().is_some() && self.rng.random_bool(0.8) {
            let delay_us = self.rng.random_range(100_000..3_000_000);
            self.after(delay_us, Peer::World, Message::StartEntry(slot));
        }
    }

    /// Stops an agent, and restarts it later. If its host fails too, the tasks on the worker are lost.
    fn crash_agent(&mut self, slot: usize, host_fails: bool) {
        let host = &mut self.hosts[slot];
        if !host.alive {
            return;
        }
        host.alive = false;
        if host_fails {
            host.tasks.clear();
        }
        let delay_us = self.rng.random_range(100_000..4_000_000);
        self.after(delay_us, Peer::World, Message::StartAgent(slot));
    }

    fn suspect(&mut self, entry: usize, agent: usize) {
        let now = self.clocks[entry].at(self.now);
        let agent = self.hosts[agent].id.clone();
        if let Some(entry) = &mut self.entries[entry] {
            entry.control.request_agent_fences(&agent, &FenceReason::AgentLost, entry.cell.state(), now);
        }
    }

    pub fn entry_id(slot: usize) -> EntryId {
        EntryId::new(format!("entry-{slot}")).expect("valid id")
    }
}
