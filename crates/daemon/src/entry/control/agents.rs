//! Sessions of agents: heartbeats, suspicion, and calls back.

use std::rc::Rc;

use fescuelead_core::{
    detect::{Detector, DetectorSettings, Verdict},
    ids::AgentId,
    record::FenceReason,
    units::{Resources, TimeMs},
};
use fescuelead_wire::{
    messages::{AgentHello, EntryAddress, Heartbeat, HeartbeatReply, RunningAttempt},
    peer_capnp::agent_control,
};

use crate::{
    entry::control::{Control, State, held::HeldHeartbeat},
    limited,
};

/// The usual time between two heartbeats of an agent.
const HEARTBEAT_MS: u64 = 500;

/// The longest time that a heartbeat is held.
const MAX_HOLD_MS: u64 = 2_000;

/// What an entry keeps of one agent.
pub(super) struct Session {
    /// What it said when it attached; nothing if only the log names it.
    pub(super) hello: Option<AgentHello>,
    /// Calls back to it.
    pub(super) control: Option<agent_control::Client>,
    pub(super) detector: Detector,
    interval_ms: u64,
    pub(super) heard_at: TimeMs,
    pub(super) dead: bool,
    pub(super) running: Vec<RunningAttempt>,
    pub(super) free: Resources,
    pub(super) config_version: u64,
}

impl Session {
    pub(super) fn new(now: TimeMs) -> Self {
        Self {
            hello: None,
            control: None,
            detector: Detector::new(DetectorSettings::new(HEARTBEAT_MS), now),
            interval_ms: HEARTBEAT_MS,
            heard_at: now,
            dead: false,
            running: Vec::new(),
            free: Resources::ZERO,
            config_version: 0,
        }
    }
}

impl Session {
    /// Adapts the detector to the time that the agent leaves between its heartbeats. One that was sent for an event says
    /// nothing of that.
    fn expect_every(&mut self, interval_ms: u64, now: TimeMs) {
        if interval_ms > 0 && interval_ms != self.interval_ms {
            self.interval_ms = interval_ms;
            self.detector = Detector::new(DetectorSettings::new(interval_ms.min(MAX_HOLD_MS)), now);
        }
    }
}

impl Control {
    /// Begins a session. A new run of an agent replaces the old one.
    pub(crate) fn attach(&self, hello: AgentHello, control: agent_control::Client) {
        let now = self.shared.clock.now();
        let mut state = self.state.borrow_mut();
        limited!(Info, "entry: agent {} attached, incarnation {}.", hello.agent, hello.incarnation);
        let session = state.sessions.entry(hello.agent.clone()).or_insert_with(|| Session::new(now));
        session.hello = Some(hello);
        session.control = Some(control);
        session.heard_at = now;
    }

    /// Takes in a heartbeat and waits at most as long as it allows for something to answer. Nothing, as long as the cell
    /// has not been read.
    pub(crate) async fn heartbeat(
        self: Rc<Self>,
        hello: Rc<AgentHello>,
        heartbeat: Heartbeat,
    ) -> Option<HeartbeatReply> {
        // A view with gaps says nothing of what is assigned or fenced.
        if !self.state.borrow().cell.is_complete() {
            let copied = self.state.borrow().has_only_a_copy();
            return if copied { Some(self.heartbeat_on_copy(&hello, &heartbeat).await) } else { None };
        }
        let deadline = self.shared.clock.now().plus_ms(heartbeat.wait_ms.min(MAX_HOLD_MS));
        let held = HeldHeartbeat::new(&self.held, &heartbeat);
        self.take_in(&hello, &heartbeat);
        let mut reply = self.reply(&hello, &heartbeat);
        let (entries, lease) = (reply.entries.clone(), reply.sync.lease);
        // At the deadline the reply is computed once more, so that its proofs are not as old as the heartbeat.
        while self.shared.clock.now() < deadline
            && reply.is_idle()
            && reply.sync.config_version == heartbeat.config_version
            && reply.sync.lease == lease
            && reply.entries == entries
        {
            held.look(self.state.borrow().cell.state());
            held.wait(self.shared.clock.instant(deadline)).await;
            if !self.state.borrow().cell.is_complete() {
                break;
            }
            reply = self.reply(&hello, &heartbeat);
        }
        Some(reply)
    }

    /// Takes in a heartbeat for its endpoints alone. The reply proves nothing; it is held as long as it would say the same.
    async fn heartbeat_on_copy(&self, hello: &AgentHello, heartbeat: &Heartbeat) -> HeartbeatReply {
        let deadline = self.shared.clock.now().plus_ms(heartbeat.wait_ms.min(MAX_HOLD_MS));
        let held = HeldHeartbeat::new(&self.held, heartbeat);
        self.take_in(hello, heartbeat);
        let entries = self.state.borrow().entries(self.shared.clock.now());
        while self.shared.clock.now() < deadline {
            let now = self.shared.clock.now();
            {
                let state = self.state.borrow();
                let stale = heartbeat.config_version < state.config.state().version();
                if stale || !state.has_only_a_copy() || state.entries(now) != entries {
                    break;
                }
            }
            held.wait(self.shared.clock.instant(deadline)).await;
        }
        self.shared.observer.metrics.heartbeat_replies.inc();
        let state = self.state.borrow();
        let config = state.config.state();
        let config = (config.version(), config.is_out(&hello.availability_zone));
        let sync = state.entry.sync_from_copy(&heartbeat.sync, state.cell.state(), config);
        HeartbeatReply { sync, entries: state.entries(self.shared.clock.now()) }
    }

    /// Wakes the heartbeats of agents that the scheduler has orders for.
    pub(super) fn wake_ordered(&self) {
        let held = self.held.borrow();
        self.state.borrow().scheduler.orders.keys().for_each(|agent| held.wake_agent(agent));
    }

    fn take_in(&self, hello: &AgentHello, heartbeat: &Heartbeat) {
        let now = self.shared.clock.now();
        self.shared.endpoints().observe(hello, &heartbeat.endpoints, self.shared.now_us());
        let state = &mut *self.state.borrow_mut();
        let session = state.sessions.entry(hello.agent.clone()).or_insert_with(|| Session::new(now));
        session.expect_every(heartbeat.wait_ms, now);
        session.detector.heartbeat(now);
        session.heard_at = now;
        session.running.clone_from(&heartbeat.running);
        session.free = heartbeat.sync.free;
        session.config_version = heartbeat.config_version;
        if session.dead {
            session.dead = false;
            limited!(Info, "entry: agent {} is back.", hello.agent);
            state.entry.cancel_agent_fences(&hello.agent, state.cell.state());
            self.shared.endpoints().balancer.set_suspected(&hello.agent, false, self.shared.now_us());
        }
        if state.has_only_a_copy() {
            return;
        }
        state.scheduler.on_heartbeat(hello, heartbeat, state.cell.state(), now);
    }

    fn reply(&self, hello: &AgentHello, heartbeat: &Heartbeat) -> HeartbeatReply {
        let now = self.shared.clock.now();
        self.shared.observer.metrics.heartbeat_replies.inc();
        let (reply, records) = {
            let state = &mut *self.state.borrow_mut();
            let version = state.config.state().version();
            let zone_out = state.config.state().is_out(&hello.availability_zone);
            let (mut sync, records) = state.entry.sync(&heartbeat.sync, state.cell.state(), (version, zone_out), now);
            sync.commands.extend(state.scheduler.take_orders(&hello.agent));
            (HeartbeatReply { sync, entries: state.entries(now) }, records)
        };
        self.append_all(records);
        reply
    }

    /// Suspects agents that have fallen silent and wants their attempts fenced.
    pub(super) fn watch_agents(&self) {
        let now = self.shared.clock.now();
        let state = &mut *self.state.borrow_mut();
        for (agent, session) in &mut state.sessions {
            let dead = session.detector.verdict(now) == Verdict::Dead;
            if dead && !session.dead {
                limited!(Warn, "entry: agent {agent} is suspected dead.");
                session.dead = true;
                session.control = None;
                self.shared.endpoints().balancer.set_suspected(agent, true, self.shared.now_us());
                state.scheduler.forget_worker(agent);
            }
            // Only a complete view says what is assigned.
            if session.dead && state.cell.is_complete() {
                state.entry.request_agent_fences(agent, &FenceReason::AgentLost, state.cell.state(), now);
            }
        }
    }
}

impl State {
    /// An agent that runs a task according to the log but never attached here is given time to attach from now on.
    pub(super) fn watch_runner(&mut self, agent: &AgentId, now: TimeMs) {
        if !self.sessions.contains_key(agent) {
            self.sessions.insert(agent.clone(), Session::new(now));
        }
    }

    /// The entries that agents are told of: the registered ones, and newcomers that could not register yet.
    fn entries(&self, now: TimeMs) -> Vec<EntryAddress> {
        let parse = |(entry, address): (&fescuelead_core::ids::EntryRef, &str)| {
            Some(EntryAddress { entry: entry.clone(), address: address.parse().ok()? })
        };
        let fencers = self.cell.state().fencers();
        let newcomers = self.copies.newcomers(now).filter(|newcomer| !fencers.is_registered(&newcomer.entry));
        fencers.peer_addresses().filter_map(parse).chain(newcomers).collect()
    }
}

#[cfg(test)]
pub(super) mod tests;
