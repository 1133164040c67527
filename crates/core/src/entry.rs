/*!
The control of one entry over tasks, fences and its own place in the fencing set.

[`EntryControl`] looks at the folded cell and keeps only what the stream cannot hold: when something was learned on this
process's clock, what was promised, and which records were given out and are not yet in the view. The caller folds pages,
then calls [`EntryControl::folded`]; answers heartbeats by [`EntryControl::sync`]; and hands the records of
[`EntryControl::poll`] to its group-commit writer.

```
use fescuelead_core::{
    cell::CellState,
    entry::EntryControl,
    ids::{EntryId, EntryRef},
    profile::LeaseSettings,
    record::Record,
    units::{Resources, TimeMs},
};

let me = EntryRef::new(EntryId::new("entry-a")?, 1);
let mut control = EntryControl::new(me, "127.0.0.1:7000", LeaseSettings::default());
let cell = CellState::new(0);
assert!(matches!(control.poll(&cell, TimeMs(0))[..], [Record::EntryRegistered { .. }]));
assert!(control.poll(&cell, TimeMs(1)).is_empty(), "the record is on its way");
# Ok::<(), fescuelead_core::ids::IdError>(())
```
*/

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::{
    cell::{CellEvent, CellState, Task, TaskPhase},
    ids::{AgentId, AttemptRef, EntryRef, RequestKey, TeamId},
    mutation::Mutation,
    profile::LeaseSettings,
    promise::{Admission, PromiseBook},
    record::{FenceReason, Record},
    runner::{Command, Report, SyncReply, SyncRequest},
    units::{Resources, TimeMs},
};

mod agents;
mod records;
mod rules;

use self::{
    agents::Agents,
    rules::{command_for, is_fenced, is_open, must_stop},
};

/// A record that was given out and whose effect the view does not show yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Sent {
    Register,
    Ack(EntryRef),
    Admit,
    Remove(EntryRef),
    Leave,
    Fence(AttemptRef),
    Lost(AttemptRef),
    Report(AttemptRef),
    Lease(u64),
    Quotas(u64),
}

/// The last heartbeat in the log of a registered entry.
#[derive(Debug, Clone, Copy)]
struct Heard {
    at: TimeMs,
    sequence: u64,
}

/// Reads of the tail that are this far apart count as an interruption.
const READ_GAP_MS: u64 = 1_000;

/// The control of one run of an entry.
#[derive(Debug, Clone)]
pub struct EntryControl {
    me: EntryRef,
    peer_address: String,
    settings: LeaseSettings,
    /// Lease times that were in force until not long ago, with the time at which that was learned.
    superseded: Vec<(TimeMs, LeaseSettings)>,
    wanted_lease: Option<(u64, LeaseSettings)>,
    wanted_quotas: Option<(u64, BTreeMap<TeamId, Resources>)>,
    promises: PromiseBook,
    admission: Option<Admission>,
    learned: HashMap<AttemptRef, TimeMs>,
    reasons: HashMap<AttemptRef, FenceReason>,
    sent: HashSet<Sent>,
    heard: HashMap<EntryRef, Heard>,
    agents: Agents,
    absent: HashMap<AttemptRef, TimeMs>,
    cell_read_start: Option<TimeMs>,
    config_read_start: Option<TimeMs>,
    registered_at_sequence: Option<u64>,
    leaving: bool,
    mutation: Option<Mutation>,
}

impl EntryControl {
    /// The control of a run that has folded nothing. `peer_address` is where agents reach it, as `ip:port`.
    pub fn new(me: EntryRef, peer_address: impl Into<String>, settings: LeaseSettings) -> Self {
        Self {
            promises: PromiseBook::new(me.clone(), settings),
            me,
            peer_address: peer_address.into(),
            settings,
            superseded: Vec::new(),
            wanted_lease: None,
            wanted_quotas: None,
            admission: None,
            learned: HashMap::new(),
            reasons: HashMap::new(),
            sent: HashSet::new(),
            heard: HashMap::new(),
            agents: Agents::default(),
            absent: HashMap::new(),
            cell_read_start: None,
            config_read_start: None,
            registered_at_sequence: None,
            leaving: false,
            mutation: None,
        }
    }

    /// Breaks one rule, for tests of the tests.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, promises: self.promises.with_mutation(mutation), ..self }
    }

    /// Which run of an entry this is.
    pub fn me(&self) -> &EntryRef {
        &self.me
    }

    /// Takes in a cell that was restored from a snapshot, as if all of it had been learned at `now`. Linear in the number
    /// of tasks.
    pub fn restored(&mut self, cell: &CellState, now: TimeMs) {
        for task in cell.tasks() {
            if let Some(runner) = task.runner() {
                self.agents.assigned(&runner.agent, task.attempt_ref());
            }
        }
        for task in cell.fenced_tasks() {
            self.learned.entry(task.attempt_ref()).or_insert(now);
        }
        self.superseded.extend(cell.longest_lease().map(|longest| (now, longest)));
        if self.mutation == Some(Mutation::CopyIsProof) {
            self.cell_tail_read(now);
        }
        self.folded(cell, &[], now);
    }

    /// Takes in what a page changed, after it was folded. Linear in the number of events and of open intents.
    pub fn folded(&mut self, cell: &CellState, events: &[CellEvent], now: TimeMs) {
        for event in events {
            match event {
                CellEvent::Assigned { attempt, runner } => self.agents.assigned(&runner.agent, attempt.clone()),
                CellEvent::Fenced { attempt, .. } => {
                    self.learned.insert(attempt.clone(), now);
                }
                CellEvent::LeaseChanged { lease } => self.take_lease(*lease, now),
                _ => {}
            }
        }
        if let Some(lease) = cell.lease() {
            self.take_lease(lease, now);
        }
        self.forget_old_lease(now);
        self.learned.retain(|attempt, _| is_fenced(cell, attempt));
        let silence_ms = self.settings.silence_ms;
        self.absent.retain(|attempt, since| cell.task(&attempt.task).is_none() && now.since_ms(*since) < silence_ms);
        self.settle_intents(cell);
        self.forget_sent(cell);
        self.watch_admission(cell, now);
        let fencers = cell.fencers();
        self.heard.retain(|entry, _| fencers.is_registered(entry));
        for entry in fencers.registered() {
            let sequence = cell.last_sequence(entry);
            match self.heard.get_mut(entry) {
                Some(heard) if heard.sequence == sequence => {}
                Some(heard) => *heard = Heard { at: now, sequence },
                None => {
                    self.heard.insert(entry.clone(), Heard { at: now, sequence });
                }
            }
        }
    }

    /// Wants the lease times of a configuration put in force.
    pub fn propose_lease(&mut self, config_version: u64, lease: LeaseSettings) {
        self.wanted_lease = Some((config_version, lease));
    }

    /// Wants the quotas of a configuration put in force.
    pub fn propose_quotas(&mut self, config_version: u64, quotas: BTreeMap<TeamId, Resources>) {
        self.wanted_quotas = Some((config_version, quotas));
    }

    /// Whether the cell enforces the quotas of the configuration in force, or of a newer one. Until then an assignment could
    /// exceed them, because each entry sees only the assignments that it has folded. Linear in the number of teams.
    pub fn quotas_in_force(&self, cell: &CellState) -> bool {
        let wanted = self.wanted_quotas.as_ref();
        wanted.is_none_or(|(version, quotas)| cell.quotas() == quotas || cell.quotas_version() >= *version)
    }

    /// The lease times in force in the view.
    pub fn lease(&self) -> LeaseSettings {
        self.settings
    }

    /// Takes lease times that are in force, or were for a while within the page that was folded.
    ///
    /// A proof given under the old times came from a read or a promise that began before the change was in the log, so
    /// before `now`. It has run out once the old times have passed from `now` on, and waits last at least that long.
    fn take_lease(&mut self, lease: LeaseSettings, now: TimeMs) {
        if lease != self.settings {
            self.superseded.push((now, self.settings));
            self.settings = lease;
            self.promises.set_settings(lease);
        }
    }

    fn forget_old_lease(&mut self, now: TimeMs) {
        let run_out = |(learned, old): &(TimeMs, LeaseSettings)| {
            learned.plus_ms(old.lengthened_ms(old.silence_ms)).plus_ms(old.lengthened_ms(old.lease_ms))
        };
        self.superseded.retain(|old| run_out(old) > now);
    }

    /// Notes that the cell was folded up to the tail that a read begun at `start` saw.
    pub fn cell_tail_read(&mut self, start: TimeMs) {
        self.promises.log_read(start);
        self.discount_gap(start);
        self.cell_read_start = self.cell_read_start.max(Some(start));
    }

    /// Notes that the configuration was folded up to the tail that a read begun at `start` saw.
    pub fn config_tail_read(&mut self, start: TimeMs) {
        self.config_read_start = self.config_read_start.max(Some(start));
    }

    /// Notes a heartbeat in the log of another entry beside its appends, which [`folded`](Self::folded) sees by itself.
    pub fn heard(&mut self, entry: &EntryRef, now: TimeMs) {
        if let Some(heard) = self.heard.get_mut(entry) {
            heard.at = now.max(heard.at);
        }
    }

    /// Wants an attempt fenced. [`poll`](Self::poll) gives the record out when promises allow it.
    pub fn want_fence(&mut self, attempt: &AttemptRef, reason: FenceReason, cell: &CellState, now: TimeMs) {
        let task = cell.task(&attempt.task).filter(|task| task.attempt == attempt.attempt);
        if let Some(TaskPhase::Assigned { runner }) = task.map(|task| &task.phase) {
            self.promises.want_fence(&runner.agent, attempt.clone(), now);
            self.reasons.entry(attempt.clone()).or_insert(reason);
        }
    }

    /// Wants all attempts of an agent fenced.
    pub fn request_agent_fences(&mut self, agent: &AgentId, reason: &FenceReason, cell: &CellState, now: TimeMs) {
        for attempt in self.agents.current(agent, cell) {
            self.want_fence(&attempt, reason.clone(), cell, now);
        }
    }

    /// Gives up the intents for an agent's attempts whose fences have not been given out.
    pub fn cancel_agent_fences(&mut self, agent: &AgentId, cell: &CellState) {
        for attempt in self.agents.current(agent, cell) {
            if !self.sent.contains(&Sent::Fence(attempt.clone())) {
                self.settle(&attempt);
            }
        }
    }

    /// Whether a fence of an attempt is wanted here.
    pub fn wants_fence(&self, attempt: &AttemptRef) -> bool {
        self.promises.wants(attempt)
    }

    /// Gives up the right to fence: no promise is given from now on, and [`poll`](Self::poll) gives `EntryLeft` out.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.promises.leave();
    }

    /// Whether this run was removed from the fencing set. It must be replaced by a run with a new incarnation.
    pub fn is_retired(&self, cell: &CellState) -> bool {
        cell.fencers().is_retired(&self.me)
    }

    /// From when on the next attempt of a task may be assigned; nothing if none may follow now.
    pub fn next_attempt_at(&self, task: &Task) -> Option<TimeMs> {
        task.next_attempt()?;
        match task.phase {
            TaskPhase::Fenced { .. } => self.over_at(&task.attempt_ref()),
            _ => Some(TimeMs(0)),
        }
    }

    /// Whether a request that this run claimed may be sent: its claim won and nobody has resolved it. The caller sends it
    /// once at most.
    pub fn may_dispatch(&self, key: &RequestKey, cell: &CellState) -> bool {
        cell.claim(key).is_some_and(|claim| claim.by == self.me && claim.outcome.is_none())
    }

    /// Answers a heartbeat and gives out the records for its reports. `config_version` is the version in force in this
    /// entry's view and `zone_out` says whether it has the agent's availability zone out of service. Linear in the number
    /// of attempts of the agent.
    pub fn sync(
        &mut self,
        request: &SyncRequest,
        cell: &CellState,
        (config_version, zone_out): (u64, bool),
        now: TimeMs,
    ) -> (SyncReply, Vec<Record>) {
        let SyncRequest { agent, incarnation, number, held, reports, .. } = request;
        self.agents.arrived(agent, *incarnation, *number, now);
        let (accepted, records) = self.take_reports(reports, cell, now);
        let registered = cell.fencers().is_registered(&self.me);
        let promise = registered.then(|| self.promises.promise(agent, held, cell, now)).flatten();
        let reply = SyncReply {
            by: self.me.clone(),
            incarnation: *incarnation,
            number: *number,
            view: cell.next_offset(),
            not_assigned: held.iter().filter(|attempt| !cell.is_assigned(attempt, agent)).cloned().collect(),
            cell_read_after: self.agents.newest_before(agent, self.cell_read_start),
            config_read_after: self.agents.newest_before(agent, self.config_read_start),
            config_version,
            zone_out,
            promise,
            lease: self.settings,
            commands: self.commands(request, cell, now),
            accepted,
        };
        (reply, records)
    }

    /// Answers a heartbeat from a peer's copy of the cell: without proof, promise, command or word on reports, since the
    /// copy says nothing of what has happened since.
    pub fn sync_from_copy(
        &self,
        request: &SyncRequest,
        cell: &CellState,
        (config_version, zone_out): (u64, bool),
    ) -> SyncReply {
        SyncReply {
            by: self.me.clone(),
            incarnation: request.incarnation,
            number: request.number,
            view: cell.next_offset(),
            not_assigned: Vec::new(),
            cell_read_after: None,
            config_read_after: None,
            config_version,
            zone_out,
            promise: None,
            lease: cell.lease().unwrap_or(self.settings),
            commands: Vec::new(),
            accepted: Vec::new(),
        }
    }

    /// The records that are due. Each is given out once; the writer sees to it that it lands. Linear in the number of
    /// fenced tasks, intents and entries.
    pub fn poll(&mut self, cell: &CellState, now: TimeMs) -> Vec<Record> {
        self.promises.expire(now);
        let mut records = Vec::new();
        let fencers = cell.fencers();
        let (member, candidate) = (fencers.may_fence(&self.me), fencers.is_candidate(&self.me));
        if !(member || candidate) && self.is_retired(cell) {
            return records;
        }
        if self.leaving {
            self.emit(Sent::Leave, Record::EntryLeft, &mut records);
            return records;
        }
        self.emit_registration(now, &mut records);
        self.emit_acks(cell, &mut records);
        if candidate && self.admission.as_ref().is_some_and(|admission| self.may_admit(admission, now)) {
            self.emit(Sent::Admit, Record::FencerAdmitted, &mut records);
        }
        if member || candidate {
            self.emit_quotas(cell, &mut records);
        }
        if member {
            self.emit_lease(cell, &mut records);
            self.emit_removals(cell, now, &mut records);
            self.emit_fences(now, &mut records);
        }
        self.emit_losses(cell, now, &mut records);
        records
    }

    /// While this entry could not read the log it could not hear the others either, so that time does not count as their
    /// silence. Otherwise two entries would remove each other after a log outage longer than `silence_ms`.
    fn discount_gap(&mut self, read_start: TimeMs) {
        let gap_ms = self.cell_read_start.map_or(0, |last| read_start.since_ms(last));
        if gap_ms >= READ_GAP_MS {
            let others = self.heard.iter_mut().filter(|(entry, _)| **entry != self.me);
            others.for_each(|(_, heard)| heard.at = heard.at.plus_ms(gap_ms));
        }
    }

    /// When a fenced attempt no longer runs anywhere.
    fn over_at(&self, attempt: &AttemptRef) -> Option<TimeMs> {
        let learned = *self.learned.get(attempt)?;
        let wait_ms = match self.mutation {
            Some(Mutation::SkipWait) => 0,
            _ => self.settings.lengthened_ms(self.settings.lease_ms),
        };
        let counted = |_: &&(TimeMs, LeaseSettings)| self.mutation != Some(Mutation::ForgetOldLease);
        let superseded = self.superseded.iter().filter(counted);
        let old = superseded.map(|(since, old)| since.plus_ms(old.lengthened_ms(old.lease_ms)));
        Some(old.max().unwrap_or_default().max(learned.plus_ms(wait_ms)))
    }

    /// Sorts reports into those that are settled in the view and those whose record is to be appended.
    fn take_reports(&mut self, reports: &[Report], cell: &CellState, now: TimeMs) -> (Vec<AttemptRef>, Vec<Record>) {
        let (mut accepted, mut records) = (Vec::new(), Vec::new());
        for report in reports {
            let attempt = report.attempt();
            match cell.task(&attempt.task) {
                None if self.is_gone(attempt, now) => accepted.push(attempt.clone()),
                None => {}
                Some(task) if is_open(task, report) => {
                    self.emit(Sent::Report(attempt.clone()), report.to_record(), &mut records);
                }
                Some(task) if task.attempt > attempt.attempt || task.phase.is_ended() => accepted.push(attempt.clone()),
                // The view is older than the assignment.
                Some(_) => {}
            }
        }
        (accepted, records)
    }

    /// Whether a task that the view does not have was dropped, rather than not folded yet: a tail read begun after it was
    /// first asked for has not brought it.
    fn is_gone(&mut self, attempt: &AttemptRef, now: TimeMs) -> bool {
        let since = *self.absent.entry(attempt.clone()).or_insert(now);
        let gone = self.cell_read_start.is_some_and(|start| since < start);
        if gone {
            self.absent.remove(attempt);
        }
        gone
    }

    fn commands(&mut self, request: &SyncRequest, cell: &CellState, now: TimeMs) -> Vec<Command> {
        let stop =
            |attempt: &AttemptRef| Command::Stop { attempt: attempt.clone(), agent_incarnation: request.incarnation };
        let mut commands = Vec::new();
        for attempt in &request.held {
            let unwanted = match cell.task(&attempt.task) {
                Some(task) => must_stop(task, attempt),
                None => self.is_gone(attempt, now),
            };
            if unwanted {
                commands.push(stop(attempt));
            }
        }
        let known = |attempt: &AttemptRef| {
            request.held.contains(attempt) || request.reports.iter().any(|report| report.attempt() == attempt)
        };
        let current = self.agents.current(&request.agent, cell);
        let unknown = current.iter().filter(|attempt| !known(attempt)).filter_map(|attempt| cell.task(&attempt.task));
        commands.extend(unknown.filter_map(|task| command_for(task, request.incarnation)));
        commands
    }

    fn settle(&mut self, attempt: &AttemptRef) {
        self.promises.settle(attempt);
        self.reasons.remove(attempt);
    }

    fn settle_intents(&mut self, cell: &CellState) {
        let assigned = |attempt: &AttemptRef| {
            cell.task(&attempt.task)
                .is_some_and(|task| task.attempt == attempt.attempt && matches!(task.phase, TaskPhase::Assigned { .. }))
        };
        let settled: Vec<_> = self.reasons.keys().filter(|attempt| !assigned(attempt)).cloned().collect();
        settled.iter().for_each(|attempt| self.settle(attempt));
    }

    fn forget_sent(&mut self, cell: &CellState) {
        let fencers = cell.fencers();
        let open = |attempt: &AttemptRef| {
            let task = cell.task(&attempt.task).filter(|task| task.attempt == attempt.attempt);
            task.is_some_and(|task| task.runner().is_some() || task.phase == TaskPhase::Unknown)
        };
        self.sent.retain(|sent| match sent {
            Sent::Register | Sent::Leave | Sent::Admit | Sent::Lease(_) | Sent::Quotas(_) => true,
            Sent::Ack(entry) => fencers.is_candidate(entry),
            Sent::Remove(entry) => !fencers.is_retired(entry),
            Sent::Fence(attempt) | Sent::Lost(attempt) | Sent::Report(attempt) => open(attempt),
        });
    }

    fn watch_admission(&mut self, cell: &CellState, now: TimeMs) {
        let fencers = cell.fencers();
        if !fencers.is_candidate(&self.me) {
            self.admission = None;
            return;
        }
        let settings = self.settings;
        let admission = self.admission.get_or_insert_with(|| Admission::new(settings, now));
        admission.set_settings(&settings);
        self.superseded.iter().for_each(|(_, old)| admission.set_settings(old));
        admission.observe(&self.me, fencers, now);
    }
}

#[cfg(test)]
mod tests;
