//! One simulated entry: folded state, writer and the production control logic.

use std::collections::{BTreeMap, BTreeSet};

use fescuelead_core::{
    cell::CellState,
    config::ConfigState,
    entry::EntryControl,
    ids::{AgentId, AttemptRef, EntryRef, RequestKey, TaskId},
    record::{Batch, FenceReason, Record, RequestOutcome},
    request_keys::Refuse,
    runner::SyncRequest,
    snapshot::{Follower, Page, chunks, is_due, snapshot_writer},
    testing,
    units::{Resources, TimeMs},
    writer::{GroupCommit, WriterEffect},
};
use rand::RngExt;

use super::{
    host::request_key,
    world::{Message, Pages, Peer, SETTINGS, World},
};

pub const ENTRY_SLOTS: usize = 4;
const REQUESTS: u64 = 3;
const SNAPSHOT_EVERY: u64 = 20;

pub struct Node {
    pub control: EntryControl,
    pub cell: Follower<CellState>,
    pub config: ConfigState,
    pub paused_until: u64,
    writer: GroupCommit,
    flight: u64,
    reading: bool,
    next_read: TimeMs,
    submitted: bool,
    /// When a requested reservation counts as lost and may be requested again.
    reserving: BTreeMap<TaskId, TimeMs>,
    /// Time of the last heartbeat, incarnation and slot of each agent.
    agents: BTreeMap<AgentId, (TimeMs, u64, usize)>,
    next_snapshot: TimeMs,
    claims: u64,
    dispatched: BTreeSet<(RequestKey, u64)>,
    /// Whether the entry ever adopted a copy of the cell from a peer.
    used_copy: bool,
}

impl Node {
    pub fn incarnation(&self) -> u64 {
        self.control.me().incarnation
    }

    pub fn flight(&self) -> u64 {
        self.flight
    }
}

impl World {
    pub fn start_entry(&mut self, slot: usize) {
        if self.entries[slot].is_some() {
            return;
        }
        self.next_incarnation += 1;
        let me = EntryRef::new(Self::entry_id(slot), self.next_incarnation);
        let control = EntryControl::new(me.clone(), "127.0.0.1:1", self.settings).with_mutation(self.mutation);
        self.entries[slot] = Some(Node {
            control,
            cell: Follower::new(CellState::new(0).with_mutation(self.mutation)).with_mutation(self.mutation),
            config: ConfigState::new(),
            paused_until: 0,
            writer: GroupCommit::new(me.entry, me.incarnation).with_spacing_ms(20).with_mutation(self.mutation),
            flight: 0,
            reading: false,
            next_read: TimeMs(0),
            submitted: false,
            reserving: BTreeMap::new(),
            agents: BTreeMap::new(),
            next_snapshot: TimeMs(0),
            claims: 0,
            dispatched: BTreeSet::new(),
            used_copy: false,
        });
        if self.rng.random_bool(0.2) {
            self.offer_copy(slot);
        }
        self.entry_tick(slot);
    }

    /// Offers an entry a peer's copy of the cell, which may be out of date.
    pub fn offer_copy(&mut self, slot: usize) {
        if self.copies.is_empty() {
            return;
        }
        let copy = self.copies[self.rng.random_range(0..self.copies.len())].clone();
        let now = self.clocks[slot].at(self.now);
        if let Some(entry) = &mut self.entries[slot]
            && entry.cell.adopt(copy)
        {
            entry.used_copy = true;
            entry.control.restored(entry.cell.state(), now);
        }
    }

    pub fn leave(&mut self, slot: usize) {
        if let Some(entry) = &mut self.entries[slot] {
            entry.control.leave();
        }
    }

    /// Two operators concurrently change the same availability zone through two entries.
    pub fn change_zone_concurrently(&mut self, agent: usize) {
        let zone = self.hosts[agent].zone.clone();
        self.change_config(|config| Record::ZoneSet {
            expected_version: config.version(),
            availability_zone: zone.clone(),
            out: !config.is_out(&zone),
            author: "operator".to_owned(),
        });
    }

    /// Two operators concurrently publish the same lease times and a quota of `tasks` tasks through two entries.
    pub fn publish(&mut self, lease_ms: u64, silence_ms: u64, tasks: u32) {
        let drift_ppm = self.rng.random_range(SETTINGS.drift_ppm..=2 * SETTINGS.drift_ppm);
        let team = testing::task_spec().team;
        let Resources { cpu_milli, memory_mib, .. } = testing::task_spec().resources;
        let text = format!(
            "[lease]\nlease_ms = {lease_ms}\nsilence_ms = {silence_ms}\ndrift_ppm = {drift_ppm}\n\
             [team.{team}]\nquota = {{ cpu_milli = {}, memory_mib = {} }}",
            cpu_milli * tasks,
            memory_mib * tasks,
        );
        self.change_config(|config| Record::ProfilesPublished {
            expected_version: config.version(),
            text: text.clone(),
            author: "operator".to_owned(),
        });
    }

    fn change_config(&mut self, record: impl Fn(&ConfigState) -> Record) {
        let views = self.entries.iter().flatten().map(|entry| {
            let batch = Batch::new(entry.control.me().entry.clone(), entry.incarnation(), 1);
            batch.with_record(record(&entry.config))
        });
        let batches: Vec<_> = views.take(2).collect();
        for batch in batches {
            let delay_us = self.delay_us();
            self.after(delay_us, Peer::Log, Message::AppendConfig { batch });
        }
    }

    fn entry_tick(&mut self, slot: usize) {
        let now = self.clocks[slot].at(self.now);
        let Some(entry) = &mut self.entries[slot] else { return };
        let me = Peer::Entry(slot, entry.incarnation());
        if entry.control.is_retired(entry.cell.state()) {
            self.entries[slot] = None;
            self.after(50_000, Peer::World, Message::StartEntry(slot));
            return;
        }
        if !entry.submitted && entry.cell.state().fencers().is_registered(entry.control.me()) {
            entry.submitted = true;
            for (task, spec) in &self.tasks {
                entry.writer.push(Record::TaskSubmitted { task: task.clone(), spec: spec.clone() });
            }
        }
        if !entry.reading && entry.next_read <= now {
            entry.reading = true;
            let offset = entry.cell.read_from();
            self.read_log(me, now, offset);
        }
        self.watch_agents(slot, now);
        // An incomplete view could miss a fence.
        if self.entries[slot].as_ref().is_some_and(|entry| entry.cell.is_complete()) {
            self.reserve_due_tasks(slot, now);
            self.serve_requests(slot);
            self.write_snapshot(slot, now);
        }
        self.drive_entry(slot);
        self.after(150_000, me, Message::Tick);
    }

    fn watch_agents(&mut self, slot: usize, now: TimeMs) {
        let Some(entry) = &mut self.entries[slot] else { return };
        for (agent, (at, ..)) in &entry.agents {
            if now.since_ms(*at) > 2_500 {
                entry.control.request_agent_fences(agent, &FenceReason::AgentLost, entry.cell.state(), now);
            } else if self.rng.random_bool(0.02) {
                entry.control.cancel_agent_fences(agent, entry.cell.state());
            }
        }
    }

    /// Requests reservations for tasks whose next attempt may be assigned.
    fn reserve_due_tasks(&mut self, slot: usize, now: TimeMs) {
        let Some(entry) = &mut self.entries[slot] else { return };
        let me = Peer::Entry(slot, entry.incarnation());
        let mut reserves = Vec::new();
        for task in entry.cell.state().tasks() {
            let due = entry.control.next_attempt_at(task).is_some_and(|at| at <= now);
            let reserving = entry.reserving.get(&task.id).is_some_and(|until| *until > now);
            if due && !reserving && !entry.agents.is_empty() && self.rng.random_bool(0.5) {
                let pick = self.rng.random_range(0..entry.agents.len());
                let (_, incarnation, agent) = entry.agents.values().nth(pick).expect("in range");
                entry.reserving.insert(task.id.clone(), now.plus_ms(1_000));
                let attempt = AttemptRef::new(task.id.clone(), task.next_attempt().expect("due"));
                let reserve = Message::Reserve { attempt, resources: task.spec.resources };
                reserves.push((Peer::Agent(*agent, *incarnation), reserve));
            }
        }
        reserves.into_iter().for_each(|(to, reserve)| self.send(me, to, reserve));
    }

    /// Claims and sends non-idempotent requests, and requests the refusal of claims without an outcome.
    fn serve_requests(&mut self, slot: usize) {
        let Some(entry) = &mut self.entries[slot] else { return };
        let me = Peer::Entry(slot, entry.incarnation());
        let mut sends = Vec::new();
        for key in (0..REQUESTS).map(request_key) {
            let claim = entry.cell.state().claim(&key);
            let open = claim.is_none_or(|claim| claim.outcome == Some(RequestOutcome::NotRun));
            if open && !entry.agents.is_empty() && self.rng.random_bool(0.02) {
                let pick = self.rng.random_range(0..entry.agents.len());
                let (agent, (_, agent_incarnation, _)) = entry.agents.iter().nth(pick).expect("in range");
                entry.claims += 1;
                entry.writer.push(Record::RequestClaimed {
                    key: key.clone(),
                    digest: 1,
                    agent: agent.clone(),
                    agent_incarnation: *agent_incarnation,
                    // Distinguishes the claims of one entry, as the time does in production.
                    deadline_unix_ms: entry.claims,
                });
            }
            let Some(claim) = claim else { continue };
            let Some((_, _, agent)) = entry.agents.get(&claim.agent) else { continue };
            let (offset, agent_incarnation) = (claim.offset, claim.agent_incarnation);
            if entry.control.may_dispatch(&key, entry.cell.state())
                && !entry.dispatched.contains(&(key.clone(), offset))
            {
                if self.rng.random_bool(0.5) {
                    entry.dispatched.insert((key.clone(), offset));
                    let to = Peer::Agent(*agent, agent_incarnation);
                    sends.push((to, Message::Dispatch { key, offset, agent_incarnation }));
                }
            } else if claim.outcome.is_none() && self.rng.random_bool(0.05) {
                let to = Peer::Agent(*agent, entry.agents[&claim.agent].1);
                sends.push((to, Message::Refuse { key, offset, agent_incarnation }));
            }
        }
        sends.into_iter().for_each(|(to, message)| self.send(me, to, message));
    }

    /// Passes due records to the writer, and sends its next append.
    fn drive_entry(&mut self, slot: usize) {
        let now = self.clocks[slot].at(self.now);
        let Some(entry) = &mut self.entries[slot] else { return };
        let me = Peer::Entry(slot, entry.incarnation());
        if entry.cell.is_complete() {
            let records = entry.control.poll(entry.cell.state(), now);
            records.into_iter().for_each(|record| _ = entry.writer.push(record));
        }
        // The periodic read also satisfies `ReadTail`.
        while let Some(effect) = entry.writer.poll(now) {
            if let WriterEffect::Append { batch, .. } = effect {
                entry.flight += 1;
                let flight = entry.flight;
                self.append(me, batch, flight);
                return;
            }
        }
    }

    pub fn entry_message(&mut self, slot: usize, from: Peer, message: Message) {
        let now = self.clocks[slot].at(self.now);
        let Some(entry) = &mut self.entries[slot] else { return };
        match message {
            Message::Tick => return self.entry_tick(slot),
            Message::Sync(request) => self.answer_sync(slot, from, &request, now),
            Message::Reserved { attempt, slot: agent, agent_incarnation } => {
                self.reserved(slot, attempt, (agent, agent_incarnation), now);
            }
            Message::Answered { key, offset } => {
                let (status, content_type, body) = (200, String::new(), offset.to_le_bytes().to_vec());
                let outcome = RequestOutcome::Answered { status, content_type, body };
                entry.writer.push(Record::RequestResolved { key, claim_offset: offset, outcome });
            }
            Message::NotRun { key, offset } | Message::RefuseAnswer { key, offset, answer: Refuse::Refused } => {
                entry.writer.push(Record::RequestResolved {
                    key,
                    claim_offset: offset,
                    outcome: RequestOutcome::NotRun,
                });
            }
            Message::RefuseAnswer { key, offset, answer: Refuse::Unknown } => {
                entry.writer.push(Record::RequestResolved {
                    key,
                    claim_offset: offset,
                    outcome: RequestOutcome::Unknown,
                });
            }
            Message::Appended { flight } if flight == entry.flight => entry.writer.appended(),
            Message::Refused { flight } if flight == entry.flight => entry.writer.refused(now.plus_ms(200)),
            Message::Lost { flight } if flight == entry.flight => entry.writer.answer_lost(now),
            Message::Page(pages) => self.fold(slot, &pages, now),
            Message::ReadFailed => {
                entry.reading = false;
                entry.next_read = now.plus_ms(200);
                entry.writer.read_failed();
            }
            _ => {}
        }
        self.drive_entry(slot);
    }

    fn answer_sync(&mut self, slot: usize, from: Peer, request: &SyncRequest, now: TimeMs) {
        let Peer::Agent(agent, incarnation) = from else { return };
        let zone = &self.hosts[agent].zone;
        let Some(entry) = &mut self.entries[slot] else { return };
        if !entry.cell.is_complete() {
            if entry.used_copy {
                let config = (entry.config.version(), entry.config.is_out(zone));
                let reply = entry.control.sync_from_copy(request, entry.cell.state(), config);
                let me = Peer::Entry(slot, entry.incarnation());
                self.send(me, from, Message::Reply(Box::new(reply)));
            }
            return;
        }
        entry.agents.insert(request.agent.clone(), (now, incarnation, agent));
        let config = (entry.config.version(), entry.config.is_out(zone));
        let (reply, records) = entry.control.sync(request, entry.cell.state(), config, now);
        records.into_iter().for_each(|record| {
            entry.writer.push(record);
        });
        let me = Peer::Entry(slot, entry.incarnation());
        self.send(me, from, Message::Reply(Box::new(reply)));
    }

    fn reserved(&mut self, slot: usize, attempt: AttemptRef, (agent, incarnation): (usize, u64), now: TimeMs) {
        let agent = self.hosts[agent].id.clone();
        let Some(entry) = &mut self.entries[slot] else { return };
        let task = entry.cell.state().task(&attempt.task).filter(|task| task.next_attempt() == Some(attempt.attempt));
        if task.and_then(|task| entry.control.next_attempt_at(task)).is_some_and(|at| at <= now) {
            let AttemptRef { task, attempt } = attempt;
            entry.writer.push(Record::TaskAssigned { task, attempt, agent, agent_incarnation: incarnation });
        }
    }

    /// Appends a snapshot if one is due and this entry is its designated writer.
    fn write_snapshot(&mut self, slot: usize, now: TimeMs) {
        let Some(entry) = &mut self.entries[slot] else { return };
        let (state, last) = (entry.cell.state(), entry.cell.snapshot_as_of());
        let due = is_due(last, entry.cell.first_offset(), state.next_offset(), SNAPSHOT_EVERY);
        let writes = snapshot_writer("cell-0", state.fencers().members()) == Some(entry.control.me());
        if due && writes && entry.next_snapshot <= now {
            entry.next_snapshot = now.plus_ms(1_000);
            let records = chunks(state).expect("encodes");
            records.into_iter().for_each(|record| _ = entry.writer.push(record));
        }
    }

    fn fold(&mut self, slot: usize, pages: &Pages, now: TimeMs) {
        let (start, config_tail) = (pages.start, pages.config_tail);
        let Some(entry) = &mut self.entries[slot] else { return };
        let known = entry.config.version();
        for offset in entry.config.next_offset() as usize..config_tail {
            entry.config.apply(offset as u64, &self.config_log[offset]);
        }
        self.monitor.check(entry.config.version() >= known, || {
            format!("configuration of entry {slot} went back to an earlier version")
        });
        if entry.config.version() != known {
            let (version, set) = (entry.config.version(), entry.config.set());
            entry.control.propose_lease(version, set.lease);
            let quotas = set.teams.iter().map(|(team, settings)| (team.clone(), settings.quota));
            entry.control.propose_quotas(version, quotas.collect());
        }
        entry.control.config_tail_read(start);
        let records: Vec<_> = pages.records.clone().map(|offset| (offset as u64, &*self.cell_log[offset])).collect();
        let (first_offset, tail_offset) = (pages.first_offset, pages.cell_tail as u64);
        let folded = entry.cell.apply_page(&Page { start, records: &records, first_offset, tail_offset });
        if folded.restored {
            self.monitor.counts.restores += 1;
            entry.control.restored(entry.cell.state(), now);
        }
        if folded.restored || !records.is_empty() {
            entry.control.folded(entry.cell.state(), &folded.events, now);
        }
        entry.reading = false;
        entry.next_read = now;
        if entry.cell.fresh_at() != Some(start) {
            return;
        }
        entry.control.cell_tail_read(start);
        entry.writer.tail_read(start, entry.cell.state().last_sequence(entry.control.me()));
        entry.next_read = now.plus_ms(self.rng.random_range(20..300));
        if self.rng.random_bool(0.05) {
            let keep = self.copies.len().min(2);
            self.copies.drain(..self.copies.len() - keep);
            self.copies.push(entry.cell.state().clone());
            self.monitor.check_view(entry.cell.state());
        }
    }
}
