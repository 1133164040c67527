//! Answers to commands of the request path and the API.

use std::rc::Rc;

use fescuelead_core::{
    cell::Claim,
    ids::{AgentId, RequestKey, TaskId},
    record::{Record, RequestOutcome, TaskSpec},
    units::TimeMs,
};
use fescuelead_wire::{
    api::{TaskPage, TaskStatus},
    messages::KeyAnswer,
    peer_capnp::agent_control,
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    clock::unix_ms,
    entry::{
        commands::{ChangeAnswer, ChangeRequest, ClaimAnswer, Command, SubmitAnswer},
        control::{ANSWER_MS, Control},
        peers,
    },
};

/// The longest page of tasks.
const MAX_PAGE: usize = 1_000;
/// How long an agent may take to answer about a request key.
const KEY_TIMEOUT_MS: u64 = 1_000;

impl Control {
    pub(super) async fn answer_all(self: Rc<Self>, mut commands: mpsc::Receiver<Command>) {
        while let Some(command) = commands.recv().await {
            tokio::task::spawn_local(Rc::clone(&self).answer(command));
        }
    }

    async fn answer(self: Rc<Self>, command: Command) {
        // A receiver that is gone belongs to a caller that has given up.
        match command {
            Command::Claim { key, digest, agent, agent_incarnation, deadline_ms, wait, resolved, reply } => {
                let claim = Claiming { key, digest, agent, agent_incarnation, deadline_ms, wait, resolved };
                let _ = reply.send(self.claim(claim).await);
            }
            Command::FindClaim { key, reply } => {
                let _ = reply.send(self.state.borrow().cell.state().claim(&key).cloned());
            }
            Command::Settle { key, reply } => {
                let _ = reply.send(self.settle(&key).await);
            }
            Command::Resolve { key, claim_offset, outcome } => {
                self.state.borrow_mut().claiming.remove(&key);
                self.append(Record::RequestResolved { key, claim_offset, outcome });
            }
            Command::Submit { task, spec, reply } => {
                let _ = reply.send(self.submit(task, *spec).await);
            }
            Command::Cancel { task, reply } => {
                let _ = reply.send(self.cancel(&task).await);
            }
            Command::Task { task, reply } => {
                let _ = reply.send(self.status_of(&task));
            }
            Command::Tasks { after, limit, reply } => {
                let _ = reply.send(self.page(after.as_ref(), limit));
            }
            Command::Change { expected_version, change, author, reply } => {
                let _ = reply.send(self.change(expected_version, change, author).await);
            }
            Command::History { reply } => {
                let _ = reply.send(self.state.borrow().config.state().into());
            }
            Command::Rollout { reply } => {
                let _ = reply.send(self.rollout());
            }
            Command::Status { reply } => {
                let _ = reply.send(Box::new(self.status()));
            }
            Command::Burn { reply } => {
                let _ = reply.send(Box::new(self.burn().await));
            }
            Command::Explain { kind, id, reply } => {
                let _ = reply.send(self.explain(kind, &id));
            }
        }
    }

    /// Waits until `found` gives something, or `deadline` has come.
    async fn wait_for<T>(&self, deadline: TimeMs, mut found: impl FnMut(&Self) -> Option<T>) -> Option<T> {
        loop {
            let changed = self.changed.notified();
            if let Some(found) = found(self) {
                return Some(found);
            }
            tokio::time::timeout_at(self.shared.clock.instant(deadline), changed).await.ok()?;
        }
    }

    /// Whether claims can be written. None rests on a peer's copy, which may lack the first claim of a key.
    fn log_is_up(&self) -> bool {
        let state = self.state.borrow();
        state.cell_health.is_reachable() && !state.is_restricted()
    }

    async fn claim(&self, claiming: Claiming) -> ClaimAnswer {
        let not_run = |reason: &str| ClaimAnswer::NotRun { reason: reason.to_owned() };
        let deadline = self.shared.clock.now().plus_ms(claiming.deadline_ms);
        if !self.log_is_up() {
            let up =
                claiming.wait && self.wait_for(deadline, |control| control.log_is_up().then_some(())).await.is_some();
            if !up {
                return not_run("the log service is down, and the request is not sent without a record of it");
            }
        }
        let key = claiming.key.clone();
        let known = self.state.borrow().cell.state().claim(&key).cloned();
        // The record that resolves a claim of this very request goes before the new claim in the same queue, so that the fold
        // sees it first even if this view does not show it yet.
        let stands =
            |claim: &Claim| claim.outcome != Some(RequestOutcome::NotRun) && Some(claim.offset) != claiming.resolved;
        if let Some(claim) = known.filter(stands) {
            return ClaimAnswer::Known(claim);
        }
        if self.state.borrow_mut().claiming.insert(key.clone(), ()).is_some() {
            return not_run("the same key is being claimed by another request; repeat the request");
        }
        let before = self.state.borrow().cell.state().claim(&key).map(|claim| claim.offset);
        self.append(claiming.to_record());
        let newer = |control: &Self| {
            let state = control.state.borrow();
            state.cell.state().claim(&key).filter(|claim| Some(claim.offset) != before).cloned()
        };
        match self.wait_for(deadline, newer).await {
            Some(claim) if claim.by == self.shared.me => ClaimAnswer::Won { offset: claim.offset },
            Some(claim) => {
                self.state.borrow_mut().claiming.remove(&key);
                ClaimAnswer::Known(claim)
            }
            None => {
                // Should the claim still reach the log, it is resolved there as *not run*.
                self.state.borrow_mut().claiming.remove(&key);
                not_run("the log gave no answer before the deadline")
            }
        }
    }

    /// Asks the agent of a claim what became of the request and writes the outcome.
    pub(super) async fn settle(&self, key: &RequestKey) -> RequestOutcome {
        let claim = self.state.borrow().cell.state().claim(key).cloned();
        let Some(claim) = claim else { return RequestOutcome::NotRun };
        if let Some(outcome) = claim.outcome {
            return outcome;
        }
        if self.state.borrow().is_restricted() {
            return RequestOutcome::Unknown;
        }
        let client = self.client_of(&claim);
        let outcome = match client {
            Some(client) => key_outcome(&client, key, &claim).await,
            None => RequestOutcome::Unknown,
        };
        self.state.borrow_mut().claiming.remove(key);
        self.append(Record::RequestResolved { key: key.clone(), claim_offset: claim.offset, outcome: outcome.clone() });
        outcome
    }

    fn client_of(&self, claim: &Claim) -> Option<agent_control::Client> {
        let state = self.state.borrow();
        state.sessions.get(&claim.agent).and_then(|session| session.control.clone())
    }

    async fn submit(&self, task: TaskId, spec: TaskSpec) -> SubmitAnswer {
        let now = self.shared.clock.now();
        let known = self.state.borrow().cell.state().task(&task).map(|known| known.spec.same_work(&spec));
        match known {
            Some(true) => return self.accepted(&task, false),
            Some(false) => return SubmitAnswer::Conflict,
            None => {}
        }
        if self.state.borrow().is_restricted() {
            return SubmitAnswer::OnlyACopy;
        }
        if let Some(reason) = self.state.borrow_mut().scheduler.never_runs(&spec, now) {
            return SubmitAnswer::NeverRuns { reason: reason.to_string() };
        }
        if self.queue_is_full(&spec) {
            return SubmitAnswer::Full;
        }
        self.append(Record::TaskSubmitted { task: task.clone(), spec: spec.clone() });
        let in_log =
            |control: &Self| control.state.borrow().cell.state().task(&task).map(|known| known.spec.same_work(&spec));
        match self.wait_for(now.plus_ms(ANSWER_MS), in_log).await {
            Some(true) => self.accepted(&task, true),
            Some(false) => SubmitAnswer::Conflict,
            None => SubmitAnswer::NoAnswer,
        }
    }

    fn queue_is_full(&self, spec: &TaskSpec) -> bool {
        let state = self.state.borrow();
        let profile = state.config.state().set().profiles.get(&spec.profile);
        profile.is_some_and(|profile| state.scheduler.waiting() >= profile.max_queued as usize)
    }

    fn accepted(&self, task: &TaskId, created: bool) -> SubmitAnswer {
        match self.status_of(task) {
            Some(status) => SubmitAnswer::Accepted { created, status: Box::new(status) },
            None => SubmitAnswer::NoAnswer,
        }
    }

    async fn cancel(&self, task: &TaskId) -> Option<TaskStatus> {
        let status = self.status_of(task)?;
        if status.phase.is_ended() || status.cancel_requested || self.state.borrow().is_restricted() {
            return Some(status);
        }
        self.append(Record::TaskCancelled { task: task.clone() });
        let deadline = self.shared.clock.now().plus_ms(ANSWER_MS);
        let cancelled = |control: &Self| {
            control.status_of(task).filter(|status| status.cancel_requested || status.phase.is_ended())
        };
        self.wait_for(deadline, cancelled).await.or(Some(status))
    }

    pub(super) fn status_of(&self, task: &TaskId) -> Option<TaskStatus> {
        let state = self.state.borrow();
        let task = state.cell.state().task(task)?;
        let mut status = TaskStatus::from(task);
        status.progress = state.journal.progress(self.shared.clock.now(), &task.id);
        Some(match state.scheduler.reason(&task.id) {
            Some(reason) if !status.phase.is_ended() => status.with_reason(reason),
            _ => status,
        })
    }

    fn page(&self, after: Option<&TaskId>, limit: usize) -> TaskPage {
        let limit = limit.clamp(1, MAX_PAGE);
        let state = self.state.borrow();
        let mut ids: Vec<_> =
            state.cell.state().tasks().map(|task| &task.id).filter(|id| after.is_none_or(|a| *id > a)).collect();
        let more = ids.len() > limit;
        if more {
            ids.select_nth_unstable(limit);
            ids.truncate(limit);
        }
        ids.sort_unstable();
        let items: Vec<TaskStatus> =
            ids.iter().filter_map(|id| state.cell.state().task(id)).map(TaskStatus::from).collect();
        let next = items.last().filter(|_| more).map(|last| last.task.clone());
        TaskPage { items, next }
    }

    async fn change(&self, expected_version: Option<u64>, change: ChangeRequest, author: String) -> ChangeAnswer {
        if self.state.borrow().is_restricted() {
            return ChangeAnswer::OnlyACopy;
        }
        let (reply, answer) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            let expected_version = expected_version.unwrap_or(state.config.state().version());
            let record = match change {
                ChangeRequest::Publish { text } => Record::ProfilesPublished { expected_version, text, author },
                ChangeRequest::Zone { availability_zone, out } => {
                    Record::ZoneSet { expected_version, availability_zone, out, author }
                }
            };
            state.config_writer.push(record);
            state.changes.push_back(reply);
        }
        self.config_outbox.notify_one();
        let answer = tokio::time::timeout(std::time::Duration::from_millis(ANSWER_MS), answer).await;
        answer.ok().and_then(Result::ok).unwrap_or(ChangeAnswer::NoAnswer)
    }
}

/// A claim that is asked for.
struct Claiming {
    key: RequestKey,
    digest: u64,
    agent: AgentId,
    agent_incarnation: u64,
    deadline_ms: u64,
    wait: bool,
    resolved: Option<u64>,
}

impl Claiming {
    fn to_record(&self) -> Record {
        Record::RequestClaimed {
            key: self.key.clone(),
            digest: self.digest,
            agent: self.agent.clone(),
            agent_incarnation: self.agent_incarnation,
            deadline_unix_ms: unix_ms().saturating_add(self.deadline_ms),
        }
    }
}

async fn key_outcome(client: &agent_control::Client, key: &RequestKey, claim: &Claim) -> RequestOutcome {
    let timeout = std::time::Duration::from_millis(KEY_TIMEOUT_MS);
    let asked = tokio::time::timeout(timeout, peers::refuse_key(client, key, claim.offset, claim.agent_incarnation));
    match asked.await {
        Ok(Ok(KeyAnswer::Refused)) => RequestOutcome::NotRun,
        _ => RequestOutcome::Unknown,
    }
}
