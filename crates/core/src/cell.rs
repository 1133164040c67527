/*!
The fold of a task stream.

A cell holds tasks, the claims of non-idempotent requests, and the set of entries that may write fences. Everything in it
follows from the records and their order alone. There is no time in the fold: waits are the business of
[`promise`](crate::promise) and [`lease`](crate::lease), so that every reader computes the same state.

The fencing set lives in the same stream as the fences. Otherwise a fence and the removal of its writer would have no
common order, and two readers could disagree on whether the fence counts.

BREADCRUMBS: who may write what is decided in `task` and `fencers`; who must wait how long, in `promise`.
*/

use std::collections::{BTreeMap, BTreeSet, HashMap};

use slotmap::{SlotMap, new_key_type};

use crate::{
    ids::{AgentId, AttemptRef, EntryRef, RequestKey, TaskId, TeamId},
    mutation::Mutation,
    profile::LeaseSettings,
    record::{Batch, ENDED_RETENTION_MS, FenceReason, Outcome, Record, RequestOutcome, TaskSpec},
    units::Resources,
};

mod event;
mod fencers;
mod image;
mod quota;
mod task;

use self::quota::TeamQuotas;
pub use self::{
    event::CellEvent,
    fencers::FencingSet,
    task::{Runner, Task, TaskPhase},
};

new_key_type! {
    /// A task in the arena of its cell.
    pub struct TaskKey;
}

data_types! {
    /// A claimed request.
    pub struct Claim {
        /// Digest of method, path and body.
        pub digest: u64,
        /// The entry that claimed it.
        pub by: EntryRef,
        /// The agent that it is sent to.
        pub agent: AgentId,
        /// The run of that agent.
        pub agent_incarnation: u64,
        /// The offset of the claim.
        pub offset: u64,
        /// Until when the outcome is kept, in milliseconds since the Unix epoch.
        pub deadline_unix_ms: u64,
        /// The outcome, once known.
        pub outcome: Option<RequestOutcome>,
    }
}

/// The lease times of a cell and where they come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct CellLease {
    config_version: u64,
    lease: LeaseSettings,
    /// The longest of each time that was ever in force here.
    longest: LeaseSettings,
}

/// One cell, as of an offset.
#[derive(Debug, Clone)]
pub struct CellState {
    cell: u32,
    next_offset: u64,
    tasks: SlotMap<TaskKey, Task>,
    by_id: HashMap<TaskId, TaskKey>,
    claims: BTreeMap<RequestKey, Claim>,
    fencers: FencingSet,
    lease: Option<CellLease>,
    quotas: TeamQuotas,
    last_sequence: HashMap<EntryRef, u64>,
    fenced: BTreeSet<TaskKey>,
    skipped: u64,
    repeated: u64,
    mutation: Option<Mutation>,
}

impl CellState {
    /// An empty cell with this number.
    pub fn new(cell: u32) -> Self {
        Self {
            cell,
            next_offset: 0,
            tasks: SlotMap::with_key(),
            by_id: HashMap::new(),
            claims: BTreeMap::new(),
            fencers: FencingSet::default(),
            lease: None,
            quotas: TeamQuotas::default(),
            last_sequence: HashMap::new(),
            fenced: BTreeSet::new(),
            skipped: 0,
            repeated: 0,
            mutation: None,
        }
    }

    /// Breaks one rule, for tests of the tests.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, ..self }
    }

    /// The number of the cell.
    pub fn cell(&self) -> u32 {
        self.cell
    }

    /// The offset after the last folded append.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// A task by its id.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        self.by_id.get(id).and_then(|key| self.tasks.get(*key))
    }

    /// The arena key of a task.
    pub fn task_key(&self, id: &TaskId) -> Option<TaskKey> {
        self.by_id.get(id).copied()
    }

    /// A task by its key in the arena.
    pub fn task_at(&self, key: TaskKey) -> Option<&Task> {
        self.tasks.get(key)
    }

    /// Whether this attempt is the current one of its task, belongs to `agent` and is not fenced.
    pub fn is_assigned(&self, attempt: &AttemptRef, agent: &AgentId) -> bool {
        self.task(&attempt.task).is_some_and(|task| {
            task.attempt == attempt.attempt
                && matches!(&task.phase, TaskPhase::Assigned { runner } if runner.agent == *agent)
        })
    }

    /// All tasks, ended ones included until they are dropped.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values()
    }

    /// Tasks whose current attempt is fenced and whose next one has not been assigned.
    pub fn fenced_tasks(&self) -> impl Iterator<Item = &Task> {
        self.fenced.iter().filter_map(|key| self.tasks.get(*key))
    }

    /// A claimed request.
    pub fn claim(&self, key: &RequestKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// All claimed requests that are kept.
    pub fn claims(&self) -> impl Iterator<Item = (&RequestKey, &Claim)> {
        self.claims.iter()
    }

    /// The entries that may write fences, and the candidates.
    pub fn fencers(&self) -> &FencingSet {
        &self.fencers
    }

    /// The last sequence number seen from one run of an entry.
    pub fn last_sequence(&self, writer: &EntryRef) -> u64 {
        self.last_sequence.get(writer).copied().unwrap_or(0)
    }

    /// The lease times in force, if any were ever set.
    pub fn lease(&self) -> Option<LeaseSettings> {
        self.lease.map(|known| known.lease)
    }

    /// The quotas of teams in force.
    pub fn quotas(&self) -> &BTreeMap<TeamId, Resources> {
        self.quotas.limits()
    }

    /// The version of the configuration that the quotas in force come from.
    pub fn quotas_version(&self) -> u64 {
        self.quotas.config_version()
    }

    /// The longest of each lease time that was ever in force here.
    pub fn longest_lease(&self) -> Option<LeaseSettings> {
        self.lease.map(|known| known.longest)
    }

    /// The number of appends that could not be decoded.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// The number of appends that were dropped as repeats.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Passes over an append that could not be decoded.
    pub fn skip(&mut self, offset: u64) {
        if offset >= self.next_offset {
            self.next_offset = offset + 1;
            self.skipped += 1;
        }
    }

    /// Folds one append. An offset below [`next_offset`](Self::next_offset) was folded before and changes nothing; so
    /// does an append that repeats a sequence number of its writer. Linear in the number of records.
    pub fn apply(&mut self, offset: u64, batch: &Batch) -> Vec<CellEvent> {
        if offset < self.next_offset {
            return Vec::new();
        }
        self.next_offset = offset + 1;
        let writer = batch.writer_ref();
        let last = self.last_sequence.entry(writer.clone()).or_insert(0);
        if batch.sequence <= *last {
            self.repeated += 1;
            return Vec::new();
        }
        *last = batch.sequence;
        batch.records.iter().filter_map(|record| self.apply_record(offset, &writer, record)).collect()
    }

    /// Takes a copy of the cell, from a snapshot or a peer, if it is newer, and says whether it did.
    pub fn adopt(&mut self, other: Self) -> bool {
        let newer = other.cell == self.cell
            && (other.next_offset > self.next_offset || self.mutation == Some(Mutation::OlderSnapshot));
        if newer {
            *self = Self { mutation: self.mutation, ..other };
        }
        newer
    }

    /// Whether [`Record::Expired`] with this time would drop something. Linear in the number of tasks and claims.
    pub fn has_expired(&self, now_unix_ms: u64) -> bool {
        let task_gone = |task: &Task| task.phase.is_ended() && !is_kept(task.spec.deadline_unix_ms, now_unix_ms);
        self.tasks.values().any(task_gone)
            || self.claims.values().any(|claim| !is_kept(claim.deadline_unix_ms, now_unix_ms))
    }

    fn expire(&mut self, now_unix_ms: u64) {
        let gone: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.phase.is_ended() && !is_kept(task.spec.deadline_unix_ms, now_unix_ms))
            .map(|(key, task)| (key, task.id.clone()))
            .collect();
        for (key, id) in gone {
            self.tasks.remove(key);
            self.by_id.remove(&id);
        }
        self.claims.retain(|_, claim| is_kept(claim.deadline_unix_ms, now_unix_ms));
    }

    fn apply_record(&mut self, offset: u64, writer: &EntryRef, record: &Record) -> Option<CellEvent> {
        match record {
            Record::TaskSubmitted { task, spec } => self.submit(offset, task, spec),
            Record::TaskAssigned { task, attempt, agent, agent_incarnation } => {
                let runner = Runner { agent: agent.clone(), agent_incarnation: *agent_incarnation, offset };
                self.assign(AttemptRef::new(task.clone(), *attempt), runner)
            }
            Record::AttemptFenced { task, attempt, reason } => {
                self.fencers.may_fence(writer).then_some(())?;
                self.fence(AttemptRef::new(task.clone(), *attempt), reason)
            }
            Record::AttemptStopped { task, attempt, started, checkpoint } => {
                self.update(task, |task| task.stop(*attempt, *started, checkpoint.as_deref()))
            }
            Record::AttemptFinished { task, attempt, outcome } => self.finish(task, *attempt, outcome),
            Record::AttemptLost { task, attempt } => self.update(task, |task| task.lose(*attempt)),
            Record::TaskCancelled { task } => self.update(task, Task::cancel),
            Record::LeaseSet { config_version, lease } => self.set_lease(*config_version, *lease),
            Record::QuotasSet { config_version, quotas } => {
                self.quotas.set(*config_version, quotas, self.mutation);
                None
            }
            Record::Expired { now_unix_ms } => {
                self.expire(*now_unix_ms);
                None
            }
            Record::TaskRejected { task, reason } => self.update(task, |task| task.reject(reason)),
            Record::RequestClaimed { key, digest, agent, agent_incarnation, deadline_unix_ms } => {
                let claim = Claim {
                    digest: *digest,
                    by: writer.clone(),
                    agent: agent.clone(),
                    agent_incarnation: *agent_incarnation,
                    offset,
                    deadline_unix_ms: *deadline_unix_ms,
                    outcome: None,
                };
                self.claim_request(key, claim)
            }
            Record::RequestResolved { key, claim_offset, outcome } => self.resolve(key, *claim_offset, outcome),
            Record::EntryRegistered { .. }
            | Record::FencerAcked { .. }
            | Record::FencerAdmitted
            | Record::EntryLeft
            | Record::EntryRemoved { .. } => self.change_fencers(offset, writer, record),
            Record::ProfilesPublished { .. } | Record::ZoneSet { .. } | Record::SnapshotChunk { .. } => None,
        }
    }

    fn set_lease(&mut self, config_version: u64, lease: LeaseSettings) -> Option<CellEvent> {
        let longest = match self.lease {
            Some(known) if known.config_version >= config_version => return None,
            Some(known) => known.longest.longest(&lease),
            None => lease,
        };
        self.lease = Some(CellLease { config_version, lease, longest });
        Some(CellEvent::LeaseChanged { lease })
    }

    fn submit(&mut self, offset: u64, id: &TaskId, spec: &TaskSpec) -> Option<CellEvent> {
        match self.task(id) {
            Some(known) if known.spec.same_work(spec) => None,
            Some(_) => Some(CellEvent::SubmissionConflict { task: id.clone() }),
            None => {
                let key = self.tasks.insert(Task::new(id.clone(), spec.clone(), offset));
                self.by_id.insert(id.clone(), key);
                Some(CellEvent::Submitted { task: id.clone() })
            }
        }
    }

    fn assign(&mut self, attempt: AttemptRef, runner: Runner) -> Option<CellEvent> {
        let Some(key) = self.assignable(&attempt) else {
            return Some(CellEvent::AssignmentLost { attempt, agent: runner.agent });
        };
        let task = &mut self.tasks[key];
        if task.runner().is_none() {
            self.quotas.hold(task);
        }
        task.assign(attempt.attempt, &runner);
        self.fenced.remove(&key);
        Some(CellEvent::Assigned { attempt, runner })
    }

    /// The task of an attempt that may be assigned now. A fenced attempt still holds its share of the team's quota, which
    /// passes on to the next one.
    fn assignable(&self, attempt: &AttemptRef) -> Option<TaskKey> {
        let key = *self.by_id.get(&attempt.task)?;
        let task = self.tasks.get(key)?;
        let within_quota = task.runner().is_some() || self.quotas.allows(task);
        (task.next_attempt() == Some(attempt.attempt) && within_quota).then_some(key)
    }

    fn fence(&mut self, attempt: AttemptRef, reason: &FenceReason) -> Option<CellEvent> {
        let key = *self.by_id.get(&attempt.task)?;
        let runner = self.tasks.get_mut(key)?.fence(attempt.attempt)?;
        self.fenced.insert(key);
        Some(CellEvent::Fenced { attempt, runner, reason: reason.clone() })
    }

    fn finish(&mut self, id: &TaskId, attempt: u32, outcome: &Outcome) -> Option<CellEvent> {
        self.update(id, |task| task.finish(attempt, outcome))
    }

    fn update(&mut self, id: &TaskId, change: impl FnOnce(&mut Task) -> Option<CellEvent>) -> Option<CellEvent> {
        let key = *self.by_id.get(id)?;
        let task = self.tasks.get_mut(key)?;
        let held = task.runner().is_some();
        let event = change(task);
        if held && task.runner().is_none() {
            self.quotas.release(task);
        }
        if !matches!(task.phase, TaskPhase::Fenced { .. }) {
            self.fenced.remove(&key);
        }
        event
    }

    fn claim_request(&mut self, key: &RequestKey, claim: Claim) -> Option<CellEvent> {
        // A request that truly did not run may be sent again under its key: the new claim has an offset of its own, and
        // the agent that refused the old one knows it by the old offset.
        if self.claims.get(key).is_some_and(|known| known.outcome != Some(RequestOutcome::NotRun)) {
            return None;
        }
        self.claims.insert(key.clone(), claim);
        Some(CellEvent::Claimed { key: key.clone() })
    }

    fn resolve(&mut self, key: &RequestKey, claim_offset: u64, outcome: &RequestOutcome) -> Option<CellEvent> {
        let claim = self.claims.get_mut(key)?;
        // A late answer is better knowledge than an outcome that was settled as unknown.
        let answered = matches!(outcome, RequestOutcome::Answered { .. });
        let known = claim.outcome.as_ref().is_some_and(|known| *known != RequestOutcome::Unknown || !answered);
        let other = claim.offset != claim_offset && self.mutation != Some(Mutation::EarlierClaimResolved);
        if known || other {
            return None;
        }
        claim.outcome = Some(outcome.clone());
        Some(CellEvent::Resolved { key: key.clone() })
    }

    fn change_fencers(&mut self, offset: u64, writer: &EntryRef, record: &Record) -> Option<CellEvent> {
        let forgotten = self.fencers.apply(offset, writer, record)?;
        forgotten.iter().for_each(|entry| {
            self.last_sequence.remove(entry);
        });
        Some(CellEvent::FencersChanged)
    }
}

fn is_kept(deadline_unix_ms: u64, now_unix_ms: u64) -> bool {
    deadline_unix_ms.saturating_add(ENDED_RETENTION_MS) > now_unix_ms
}

#[cfg(test)]
mod tests;
