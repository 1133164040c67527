/*!
The replicated state machine of one cell.

[`CellState`] folds the records of a cell's stream. It holds tasks, claims of non-idempotent requests, and the set of
entries that may write fences. The state depends only on the records and their order, never on a clock, so every reader of
the stream computes the same state. Time-outs are handled by [`promise`](crate::promise) and [`lease`](crate::lease).

The fencing set is kept in the same stream as the fences. In separate streams, a fence and the removal of its writer would
have no common order, and two readers could disagree on whether the fence is valid.

The submodules `task` and `fencers` decide which records take effect.
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
    /// Arena key of a task. Valid only for the cell state that issued it.
    pub struct TaskKey;
}

plain! {
    /// The exclusive right of an entry to send a non-idempotent request to one agent.
    pub struct Claim {
        /// Digest of method, path and body.
        pub digest: u64,
        /// The entry that wrote the claim.
        pub by: EntryRef,
        /// The agent that receives the request.
        pub agent: AgentId,
        /// The incarnation of that agent.
        pub agent_incarnation: u64,
        /// The offset of the claim in the stream.
        pub offset: u64,
        /// Deadline of the request, in milliseconds since the Unix epoch. The claim is kept for [`ENDED_RETENTION_MS`]
        /// longer.
        pub deadline_unix_ms: u64,
        /// `None` until the request is resolved.
        pub outcome: Option<RequestOutcome>,
    }
}

/// The lease settings of a cell and the configuration version that set them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct CellLease {
    config_version: u64,
    lease: LeaseSettings,
    /// The maximum of each setting over all versions that were in force in this cell.
    longest: LeaseSettings,
}

/// The state of one cell as of [`next_offset`](Self::next_offset).
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
    /// Creates the state of cell number `cell` before its first record.
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

    /// Disables one rule of the protocol, to check that the tests detect the fault.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, ..self }
    }

    /// The number of the cell.
    pub fn cell(&self) -> u32 {
        self.cell
    }

    /// The offset after the last append that was applied or skipped.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the task, or `None` if it was never submitted or has been dropped since.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        self.by_id.get(id).and_then(|key| self.tasks.get(*key))
    }

    /// Returns the key for [`task_at`](Self::task_at), which avoids a lookup by id.
    pub fn task_key(&self, id: &TaskId) -> Option<TaskKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the task of an arena key, or `None` if the task has been dropped.
    pub fn task_at(&self, key: TaskKey) -> Option<&Task> {
        self.tasks.get(key)
    }

    /// Whether `attempt` is the current attempt of its task, is assigned to `agent` and is not fenced.
    pub fn is_assigned(&self, attempt: &AttemptRef, agent: &AgentId) -> bool {
        self.task(&attempt.task).is_some_and(|task| {
            task.attempt == attempt.attempt
                && matches!(&task.phase, TaskPhase::Assigned { runner } if runner.agent == *agent)
        })
    }

    /// All tasks, including ended ones that have not expired.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values()
    }

    /// Tasks whose current attempt is fenced and whose next attempt is not assigned yet.
    pub fn fenced_tasks(&self) -> impl Iterator<Item = &Task> {
        self.fenced.iter().filter_map(|key| self.tasks.get(*key))
    }

    /// Returns the claim of a request, or `None` if the request was not claimed or its claim has expired.
    pub fn claim(&self, key: &RequestKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// All claims that have not expired.
    pub fn claims(&self) -> impl Iterator<Item = (&RequestKey, &Claim)> {
        self.claims.iter()
    }

    /// The entries that may write fences, and the candidates for membership.
    pub fn fencers(&self) -> &FencingSet {
        &self.fencers
    }

    /// The last sequence number of one incarnation of an entry; 0 if it has not written to this stream.
    pub fn last_sequence(&self, writer: &EntryRef) -> u64 {
        self.last_sequence.get(writer).copied().unwrap_or(0)
    }

    /// The lease settings in force, or `None` before the first [`Record::LeaseSet`].
    pub fn lease(&self) -> Option<LeaseSettings> {
        self.lease.map(|known| known.lease)
    }

    /// The quotas in force in this cell. A team without an entry is not limited.
    pub fn quotas(&self) -> &BTreeMap<TeamId, Resources> {
        self.quotas.limits()
    }

    /// The configuration version that set the quotas; 0 before the first [`Record::QuotasSet`].
    pub fn quotas_version(&self) -> u64 {
        self.quotas.config_version()
    }

    /// The maximum of each lease setting over all versions that were in force in this cell. Agents may still hold leases
    /// under an earlier version.
    pub fn longest_lease(&self) -> Option<LeaseSettings> {
        self.lease.map(|known| known.longest)
    }

    /// The number of appends that could not be decoded.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// The number of appends that were dropped because they repeat a sequence number.
    pub fn repeated(&self) -> u64 {
        self.repeated
    }

    /// Advances past an append that cannot be decoded, and counts it.
    pub fn skip(&mut self, offset: u64) {
        if offset >= self.next_offset {
            self.next_offset = offset + 1;
            self.skipped += 1;
        }
    }

    /// Applies one append and returns the changes. An append below [`next_offset`](Self::next_offset) was applied before
    /// and is ignored; so is an append that repeats a sequence number of its writer. Linear in the number of records.
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

    /// Replaces the state by a copy from a snapshot or a peer if the copy is newer. Returns whether it was replaced.
    pub fn adopt(&mut self, other: Self) -> bool {
        let newer = other.cell == self.cell
            && (other.next_offset > self.next_offset || self.mutation == Some(Mutation::OlderSnapshot));
        if newer {
            *self = Self { mutation: self.mutation, ..other };
        }
        newer
    }

    /// Whether [`Record::Expired`] with this time would drop a task or a claim. Linear in the number of tasks and claims.
    pub fn has_expired(&self, now_unix_ms: u64) -> bool {
        let task_expired = |task: &Task| task.phase.is_ended() && !is_retained(task.spec.deadline_unix_ms, now_unix_ms);
        self.tasks.values().any(task_expired)
            || self.claims.values().any(|claim| !is_retained(claim.deadline_unix_ms, now_unix_ms))
    }

    fn expire(&mut self, now_unix_ms: u64) {
        let expired: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.phase.is_ended() && !is_retained(task.spec.deadline_unix_ms, now_unix_ms))
            .map(|(key, task)| (key, task.id.clone()))
            .collect();
        for (key, id) in expired {
            self.tasks.remove(key);
            self.by_id.remove(&id);
        }
        self.claims.retain(|_, claim| is_retained(claim.deadline_unix_ms, now_unix_ms));
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

    /// Returns the task of an attempt if the attempt may be assigned. A fenced attempt still counts against the team's
    /// quota, and its share passes to the next attempt, so the quota is not checked again.
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
        // A request that is known not to have run may be claimed again under the same key. The agent that refused the
        // earlier claim tells the two apart by their offsets.
        if self.claims.get(key).is_some_and(|known| known.outcome != Some(RequestOutcome::NotRun)) {
            return None;
        }
        self.claims.insert(key.clone(), claim);
        Some(CellEvent::Claimed { key: key.clone() })
    }

    fn resolve(&mut self, key: &RequestKey, claim_offset: u64, outcome: &RequestOutcome) -> Option<CellEvent> {
        let claim = self.claims.get_mut(key)?;
        // A late answer replaces `Unknown`; every other outcome is final.
        let answered = matches!(outcome, RequestOutcome::Answered { .. });
        let resolved = claim.outcome.as_ref().is_some_and(|known| *known != RequestOutcome::Unknown || !answered);
        let other_claim = claim.offset != claim_offset && self.mutation != Some(Mutation::EarlierClaimResolved);
        if resolved || other_claim {
            return None;
        }
        claim.outcome = Some(outcome.clone());
        Some(CellEvent::Resolved { key: key.clone() })
    }

    fn change_fencers(&mut self, offset: u64, writer: &EntryRef, record: &Record) -> Option<CellEvent> {
        let dropped = self.fencers.apply(offset, writer, record)?;
        dropped.iter().for_each(|entry| {
            self.last_sequence.remove(entry);
        });
        Some(CellEvent::FencersChanged)
    }
}

/// Whether an ended task or a claim with this deadline is still within [`ENDED_RETENTION_MS`].
fn is_retained(deadline_unix_ms: u64, now_unix_ms: u64) -> bool {
    deadline_unix_ms.saturating_add(ENDED_RETENTION_MS) > now_unix_ms
}

#[cfg(test)]
mod tests;
