/*!
Control logic of one entry: fencing of attempts, replies to agents, and membership in the fencing set.

[`EntryControl`] reads the folded cell and keeps only state that the stream cannot hold: the local times at which events
were folded, the promises given, and the records that were emitted but are not yet in the view. The caller folds pages and
then calls [`EntryControl::folded`], answers heartbeats with [`EntryControl::sync`], and passes the records of
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
assert!(control.poll(&cell, TimeMs(1)).is_empty(), "the record was emitted and is not in the view yet");
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
    rules::{command_for_missing, has_effect, is_fenced, must_stop},
};

/// Identifies an emitted record whose effect is not in the view yet. Prevents that it is emitted again.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Emitted {
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

/// When a registered entry last appended to the log, as seen by this entry, which detects silent entries by it.
#[derive(Debug, Clone, Copy)]
struct LastAppend {
    at: TimeMs,
    sequence: u64,
}

/// Interval between reads of the tail, in milliseconds, from which on the log counts as interrupted.
const READ_GAP_MS: u64 = 1_000;

/// Control state of one run of an entry.
#[derive(Debug, Clone)]
pub struct EntryControl {
    me: EntryRef,
    peer_address: String,
    settings: LeaseSettings,
    /// Earlier lease times under which attempts may still run, each with the time at which its replacement was folded.
    superseded: Vec<(TimeMs, LeaseSettings)>,
    proposed_lease: Option<(u64, LeaseSettings)>,
    proposed_quotas: Option<(u64, BTreeMap<TeamId, Resources>)>,
    promises: PromiseBook,
    admission: Option<Admission>,
    fence_folded_at: HashMap<AttemptRef, TimeMs>,
    fence_reasons: HashMap<AttemptRef, FenceReason>,
    emitted: HashSet<Emitted>,
    last_appends: HashMap<EntryRef, LastAppend>,
    agents: Agents,
    absent_since: HashMap<AttemptRef, TimeMs>,
    cell_read_start: Option<TimeMs>,
    config_read_start: Option<TimeMs>,
    registration_sequence: Option<u64>,
    leaving: bool,
    mutation: Option<Mutation>,
}

impl EntryControl {
    /// Creates the control of a run that has not folded anything. Agents connect to `peer_address`, in the form `ip:port`.
    pub fn new(me: EntryRef, peer_address: impl Into<String>, settings: LeaseSettings) -> Self {
        Self {
            promises: PromiseBook::new(me.clone(), settings),
            me,
            peer_address: peer_address.into(),
            settings,
            superseded: Vec::new(),
            proposed_lease: None,
            proposed_quotas: None,
            admission: None,
            fence_folded_at: HashMap::new(),
            fence_reasons: HashMap::new(),
            emitted: HashSet::new(),
            last_appends: HashMap::new(),
            agents: Agents::default(),
            absent_since: HashMap::new(),
            cell_read_start: None,
            config_read_start: None,
            registration_sequence: None,
            leaving: false,
            mutation: None,
        }
    }

    /// Breaks one rule of the protocol, so that tests can prove that they detect it.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, promises: self.promises.with_mutation(mutation), ..self }
    }

    /// The name and incarnation of this run.
    pub fn me(&self) -> &EntryRef {
        &self.me
    }

    /// Rebuilds local state after `cell` was restored from a snapshot. All of its contents count as folded at `now`. Linear
    /// in the number of tasks.
    pub fn restored(&mut self, cell: &CellState, now: TimeMs) {
        for task in cell.tasks() {
            if let Some(runner) = task.runner() {
                self.agents.add_attempt(&runner.agent, task.attempt_ref());
            }
        }
        for task in cell.fenced_tasks() {
            self.fence_folded_at.entry(task.attempt_ref()).or_insert(now);
        }
        self.superseded.extend(cell.longest_lease().map(|longest| (now, longest)));
        if self.mutation == Some(Mutation::TrustPeerCopy) {
            self.cell_tail_read(now);
        }
        self.folded(cell, &[], now);
    }

    /// Updates local state after a page was folded into `cell` at `now` with `events`. Linear in the number of events and of
    /// open fence intents.
    pub fn folded(&mut self, cell: &CellState, events: &[CellEvent], now: TimeMs) {
        for event in events {
            match event {
                CellEvent::Assigned { attempt, runner } => self.agents.add_attempt(&runner.agent, attempt.clone()),
                CellEvent::Fenced { attempt, .. } => {
                    self.fence_folded_at.insert(attempt.clone(), now);
                }
                CellEvent::LeaseChanged { lease } => self.apply_lease(*lease, now),
                _ => {}
            }
        }
        if let Some(lease) = cell.lease() {
            self.apply_lease(lease, now);
        }
        self.drop_expired_leases(now);
        self.fence_folded_at.retain(|attempt, _| is_fenced(cell, attempt));
        let silence_ms = self.settings.silence_ms;
        self.absent_since
            .retain(|attempt, since| cell.task(&attempt.task).is_none() && now.since_ms(*since) < silence_ms);
        self.remove_settled_intents(cell);
        self.prune_emitted(cell);
        self.update_admission(cell, now);
        let fencers = cell.fencers();
        self.last_appends.retain(|entry, _| fencers.is_registered(entry));
        for entry in fencers.registered() {
            let sequence = cell.last_sequence(entry);
            match self.last_appends.get_mut(entry) {
                Some(last) if last.sequence == sequence => {}
                Some(last) => *last = LastAppend { at: now, sequence },
                None => {
                    self.last_appends.insert(entry.clone(), LastAppend { at: now, sequence });
                }
            }
        }
    }

    /// Sets the lease times of a configuration, which [`poll`](Self::poll) proposes until they are in force.
    pub fn propose_lease(&mut self, config_version: u64, lease: LeaseSettings) {
        self.proposed_lease = Some((config_version, lease));
    }

    /// Sets the quotas of a configuration, which [`poll`](Self::poll) proposes until the cell enforces them.
    pub fn propose_quotas(&mut self, config_version: u64, quotas: BTreeMap<TeamId, Resources>) {
        self.proposed_quotas = Some((config_version, quotas));
    }

    /// Whether the cell enforces the quotas of the configuration in force, or of a newer one. Until then an assignment could
    /// exceed them, because each entry sees only the assignments that it has folded. Linear in the number of teams.
    pub fn quotas_in_force(&self, cell: &CellState) -> bool {
        let proposed = self.proposed_quotas.as_ref();
        proposed.is_none_or(|(version, quotas)| cell.quotas() == quotas || cell.quotas_version() >= *version)
    }

    /// The lease times in force in the view.
    pub fn lease(&self) -> LeaseSettings {
        self.settings
    }

    /// Applies lease times that are in force, or that were temporarily in force within the folded page.
    ///
    /// Any proof under the old times came from a read or promise that began before the change was in the log, hence before
    /// `now`. It has expired once the old times have passed since `now`, and [`stopped_at`](Self::stopped_at) is not
    /// earlier than that.
    fn apply_lease(&mut self, lease: LeaseSettings, now: TimeMs) {
        if lease != self.settings {
            self.superseded.push((now, self.settings));
            self.settings = lease;
            self.promises.set_settings(lease);
        }
    }

    fn drop_expired_leases(&mut self, now: TimeMs) {
        let expires_at = |(superseded_at, old): &(TimeMs, LeaseSettings)| {
            superseded_at.plus_ms(old.lengthened_ms(old.silence_ms)).plus_ms(old.lengthened_ms(old.lease_ms))
        };
        self.superseded.retain(|old| expires_at(old) > now);
    }

    /// Records that the cell is folded up to the tail returned by a read that began at `start`.
    pub fn cell_tail_read(&mut self, start: TimeMs) {
        self.promises.record_log_read(start);
        self.exclude_read_gap(start);
        self.cell_read_start = self.cell_read_start.max(Some(start));
    }

    /// Records that the configuration is folded up to the tail returned by a read that began at `start`.
    pub fn config_tail_read(&mut self, start: TimeMs) {
        self.config_read_start = self.config_read_start.max(Some(start));
    }

    /// Records a heartbeat of another entry other than an append. Appends are detected by [`folded`](Self::folded).
    pub fn record_heartbeat(&mut self, entry: &EntryRef, now: TimeMs) {
        if let Some(last) = self.last_appends.get_mut(entry) {
            last.at = now.max(last.at);
        }
    }

    /// Requests a fence of an attempt. [`poll`](Self::poll) emits the record once all promises that cover it have expired.
    pub fn request_fence(&mut self, attempt: &AttemptRef, reason: FenceReason, cell: &CellState, now: TimeMs) {
        let task = cell.task(&attempt.task).filter(|task| task.attempt == attempt.attempt);
        if let Some(TaskPhase::Assigned { runner }) = task.map(|task| &task.phase) {
            self.promises.request_fence(&runner.agent, attempt.clone(), now);
            self.fence_reasons.entry(attempt.clone()).or_insert(reason);
        }
    }

    /// Requests fences of all current attempts of an agent.
    pub fn request_agent_fences(&mut self, agent: &AgentId, reason: &FenceReason, cell: &CellState, now: TimeMs) {
        for attempt in self.agents.current_attempts(agent, cell) {
            self.request_fence(&attempt, reason.clone(), cell, now);
        }
    }

    /// Cancels the requested fences of an agent's attempts that have not been emitted.
    pub fn cancel_agent_fences(&mut self, agent: &AgentId, cell: &CellState) {
        for attempt in self.agents.current_attempts(agent, cell) {
            if !self.emitted.contains(&Emitted::Fence(attempt.clone())) {
                self.remove_intent(&attempt);
            }
        }
    }

    /// Whether this entry has requested a fence of the attempt.
    pub fn is_fence_requested(&self, attempt: &AttemptRef) -> bool {
        self.promises.is_fence_requested(attempt)
    }

    /// Leaves the fencing set: no promises are given from now on, and [`poll`](Self::poll) emits `EntryLeft`.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.promises.leave();
    }

    /// Whether this run was removed from the fencing set. It must be replaced by a run with a new incarnation.
    pub fn is_retired(&self, cell: &CellState) -> bool {
        cell.fencers().is_retired(&self.me)
    }

    /// The earliest time at which the next attempt of a task may be assigned; `None` if no attempt may follow now.
    pub fn next_attempt_at(&self, task: &Task) -> Option<TimeMs> {
        task.next_attempt()?;
        match task.phase {
            TaskPhase::Fenced { .. } => self.stopped_at(&task.attempt_ref()),
            _ => Some(TimeMs(0)),
        }
    }

    /// Whether a request claimed by this run may be sent: its claim won and is not resolved. The caller sends it at most
    /// once.
    pub fn may_dispatch(&self, key: &RequestKey, cell: &CellState) -> bool {
        cell.claim(key).is_some_and(|claim| claim.by == self.me && claim.outcome.is_none())
    }

    /// Answers a heartbeat and returns the records to append for its reports. `config_version` is the version in force in
    /// this entry's view, and `zone_out` is true if it has the agent's availability zone out of service. Linear in the
    /// number of attempts of the agent.
    pub fn sync(
        &mut self,
        request: &SyncRequest,
        cell: &CellState,
        (config_version, zone_out): (u64, bool),
        now: TimeMs,
    ) -> (SyncReply, Vec<Record>) {
        let SyncRequest { agent, incarnation, number, held, reports, .. } = request;
        self.agents.record_arrival(agent, *incarnation, *number, now);
        let (accepted, records) = self.process_reports(reports, cell, now);
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

    /// Answers a heartbeat from a peer's copy of the cell. The reply has no proofs, promises, commands or accepted reports,
    /// because the copy may be out of date.
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

    /// The records to append now. Each is emitted once; the writer retries until it is in the log. Linear in the number of
    /// fenced tasks, fence intents and entries.
    pub fn poll(&mut self, cell: &CellState, now: TimeMs) -> Vec<Record> {
        self.promises.expire(now);
        let mut records = Vec::new();
        let fencers = cell.fencers();
        let (member, candidate) = (fencers.may_fence(&self.me), fencers.is_candidate(&self.me));
        if !(member || candidate) && self.is_retired(cell) {
            return records;
        }
        if self.leaving {
            self.emit(Emitted::Leave, Record::EntryLeft, &mut records);
            return records;
        }
        self.emit_registration(now, &mut records);
        self.emit_acks(cell, &mut records);
        if candidate && self.admission.as_ref().is_some_and(|admission| self.may_admit(admission, now)) {
            self.emit(Emitted::Admit, Record::FencerAdmitted, &mut records);
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

    /// Excludes a time without reads of the log from the silence of the other entries, whose appends could not be seen.
    /// Otherwise two entries would remove each other after a log outage longer than `silence_ms`.
    fn exclude_read_gap(&mut self, read_start: TimeMs) {
        let gap_ms = self.cell_read_start.map_or(0, |last| read_start.since_ms(last));
        if gap_ms >= READ_GAP_MS {
            let others = self.last_appends.iter_mut().filter(|(entry, _)| **entry != self.me);
            others.for_each(|(_, last)| last.at = last.at.plus_ms(gap_ms));
        }
    }

    /// The time by which a fenced attempt has stopped on every host, because its lease has expired.
    fn stopped_at(&self, attempt: &AttemptRef) -> Option<TimeMs> {
        let folded_at = *self.fence_folded_at.get(attempt)?;
        let wait_ms = match self.mutation {
            Some(Mutation::SkipWait) => 0,
            _ => self.settings.lengthened_ms(self.settings.lease_ms),
        };
        let included = |_: &&(TimeMs, LeaseSettings)| self.mutation != Some(Mutation::IgnoreEarlierLease);
        let superseded = self.superseded.iter().filter(included);
        let old = superseded.map(|(since, old)| since.plus_ms(old.lengthened_ms(old.lease_ms)));
        Some(old.max().unwrap_or_default().max(folded_at.plus_ms(wait_ms)))
    }

    /// Returns the attempts whose reports are settled in the view, and the records to append for the others.
    fn process_reports(&mut self, reports: &[Report], cell: &CellState, now: TimeMs) -> (Vec<AttemptRef>, Vec<Record>) {
        let (mut accepted, mut records) = (Vec::new(), Vec::new());
        for report in reports {
            let attempt = report.attempt();
            match cell.task(&attempt.task) {
                None if self.is_dropped(attempt, now) => accepted.push(attempt.clone()),
                None => {}
                Some(task) if has_effect(task, report) => {
                    self.emit(Emitted::Report(attempt.clone()), report.to_record(), &mut records);
                }
                Some(task) if task.attempt > attempt.attempt || task.phase.is_ended() => accepted.push(attempt.clone()),
                // The view does not include the assignment yet.
                Some(_) => {}
            }
        }
        (accepted, records)
    }

    /// Whether a task that is absent from the view was dropped rather than not folded yet: a read of the tail that began
    /// after the first query for it did not return it.
    fn is_dropped(&mut self, attempt: &AttemptRef, now: TimeMs) -> bool {
        let since = *self.absent_since.entry(attempt.clone()).or_insert(now);
        let dropped = self.cell_read_start.is_some_and(|start| since < start);
        if dropped {
            self.absent_since.remove(attempt);
        }
        dropped
    }

    fn commands(&mut self, request: &SyncRequest, cell: &CellState, now: TimeMs) -> Vec<Command> {
        let stop =
            |attempt: &AttemptRef| Command::Stop { attempt: attempt.clone(), agent_incarnation: request.incarnation };
        let mut commands = Vec::new();
        for attempt in &request.held {
            let stops = match cell.task(&attempt.task) {
                Some(task) => must_stop(task, attempt),
                None => self.is_dropped(attempt, now),
            };
            if stops {
                commands.push(stop(attempt));
            }
        }
        let known = |attempt: &AttemptRef| {
            request.held.contains(attempt) || request.reports.iter().any(|report| report.attempt() == attempt)
        };
        let current = self.agents.current_attempts(&request.agent, cell);
        let unknown = current.iter().filter(|attempt| !known(attempt)).filter_map(|attempt| cell.task(&attempt.task));
        commands.extend(unknown.filter_map(|task| command_for_missing(task, request.incarnation)));
        commands
    }

    fn remove_intent(&mut self, attempt: &AttemptRef) {
        self.promises.cancel_fence(attempt);
        self.fence_reasons.remove(attempt);
    }

    fn remove_settled_intents(&mut self, cell: &CellState) {
        let assigned = |attempt: &AttemptRef| {
            cell.task(&attempt.task)
                .is_some_and(|task| task.attempt == attempt.attempt && matches!(task.phase, TaskPhase::Assigned { .. }))
        };
        let settled: Vec<_> = self.fence_reasons.keys().filter(|attempt| !assigned(attempt)).cloned().collect();
        settled.iter().for_each(|attempt| self.remove_intent(attempt));
    }

    fn prune_emitted(&mut self, cell: &CellState) {
        let fencers = cell.fencers();
        let open = |attempt: &AttemptRef| {
            let task = cell.task(&attempt.task).filter(|task| task.attempt == attempt.attempt);
            task.is_some_and(|task| task.runner().is_some() || task.phase == TaskPhase::Unknown)
        };
        self.emitted.retain(|emitted| match emitted {
            Emitted::Register | Emitted::Leave | Emitted::Admit | Emitted::Lease(_) | Emitted::Quotas(_) => true,
            Emitted::Ack(entry) => fencers.is_candidate(entry),
            Emitted::Remove(entry) => !fencers.is_retired(entry),
            Emitted::Fence(attempt) | Emitted::Lost(attempt) | Emitted::Report(attempt) => open(attempt),
        });
    }

    fn update_admission(&mut self, cell: &CellState, now: TimeMs) {
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
