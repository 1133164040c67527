/*!
Lifecycle of attempts at one agent.

[`TaskRunner`] tracks the capacity of a worker and the leases of its attempts. Its inputs are reservations, replies of
entries and events of the worker; [`TaskRunner::poll`] returns the next calls to the worker. Each effect that lets a task
run is emitted only while its lease is valid at the time of the poll, and carries the end of that lease. The caller passes
it on at once with the remaining time, and drops it if no time remains.

An attempt starts only if

* an entry reported that its assignment won, in a view that includes all accepted reports of this agent,
* its reservation is still valid,
* a proof shows that no fence exists, and
* the configuration is proven to be at most [`CONFIG_FRESH_MS`] old and has the availability zone in service.

```
use fescuelead_core::{
    ids::{AgentId, AttemptRef, TaskId},
    profile::LeaseSettings,
    runner::TaskRunner,
    units::{Resources, TimeMs},
};

let (agent, total) = (AgentId::new("agent-1")?, Resources::new(4_000, 8_192));
let mut runner = TaskRunner::new(agent, 1, total, LeaseSettings::default());
let attempt = AttemptRef::new(TaskId::new("c0-master-17")?, 1);
runner.reserve(&attempt, Resources::new(1_000, 512), TimeMs(0), 5_000)?;
assert!(runner.poll(TimeMs(10)).is_empty(), "no entry has confirmed the assignment");
assert!(runner.sync_request(TimeMs(10)).held.is_empty());
# Ok::<(), Box<dyn std::error::Error>>(())
```
*/

use std::collections::BTreeMap;

use crate::{
    capacity::{Capacity, CapacityError},
    ids::{AgentId, AttemptRef},
    lease::LeaseBook,
    mutation::Mutation,
    profile::LeaseSettings,
    units::{Resources, TimeMs},
};

mod attempt;
mod messages;
mod worker;

use self::attempt::{Attempt, Stage, StartOrder, ended, stopped};
pub use self::{
    messages::{Command, Report, SyncReply, SyncRequest},
    worker::{Adopted, RunnerEffect, WorkerEnd, WorkerEvent},
};

/// Maximum age of a proven configuration view that allows a start, in milliseconds.
pub const CONFIG_FRESH_MS: u64 = 2_000;
/// Pause before a call to the worker is repeated after its response was lost, in milliseconds.
const RETRY_MS: u64 = 100;

#[derive(Debug, Clone)]
struct SentRequest {
    at: TimeMs,
    held: Vec<AttemptRef>,
}

#[derive(Debug, Clone, Default)]
struct ConfigView {
    version: u64,
    zone_out: bool,
    proven_at: Option<TimeMs>,
}

/// State of the attempts that one run of an agent holds.
#[derive(Debug, Clone)]
pub struct TaskRunner {
    agent: AgentId,
    incarnation: u64,
    settings: LeaseSettings,
    capacity: Capacity,
    leases: LeaseBook,
    attempts: BTreeMap<AttemptRef, Attempt>,
    /// Requests whose replies may still prove something, by number.
    requests: BTreeMap<u64, SentRequest>,
    last_number: u64,
    /// The newest view in which a report of this run was accepted. Commands from older views are ignored.
    accepted_view: u64,
    config: ConfigView,
    queued: Vec<RunnerEffect>,
    mutation: Option<Mutation>,
}

impl TaskRunner {
    /// Creates the runner of an agent that has claimed its worker as `incarnation`. `total` is the capacity of the worker.
    pub fn new(agent: AgentId, incarnation: u64, total: Resources, settings: LeaseSettings) -> Self {
        Self {
            agent,
            incarnation,
            settings,
            capacity: Capacity::new(total),
            leases: LeaseBook::new(settings),
            attempts: BTreeMap::new(),
            requests: BTreeMap::new(),
            last_number: 0,
            accepted_view: 0,
            config: ConfigView::default(),
            queued: Vec::new(),
            mutation: None,
        }
    }

    /// Breaks one rule of the protocol, so that tests can prove that they detect it.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, leases: self.leases.with_mutation(mutation), ..self }
    }

    /// The lease times of the last reply, or the initial ones before the first.
    pub fn settings(&self) -> LeaseSettings {
        self.settings
    }

    /// Sets the lease times for later proofs. Earlier proofs keep their deadlines.
    pub fn set_settings(&mut self, settings: LeaseSettings) {
        self.settings = settings;
        self.leases.set_settings(settings);
    }

    /// Adopts the tasks that the worker reported when it was claimed. They keep their capacity. This run extends no lease
    /// before it has a proof of its own; until then the worker enforces the last lease it received.
    pub fn adopt(&mut self, tasks: impl IntoIterator<Item = Adopted>) {
        for Adopted { attempt, resources, percent, end } in tasks {
            let mut adopted = Attempt::new(Stage::Frozen);
            if percent > 0 {
                adopted.percent = percent;
            }
            match end {
                Some(end) => adopted.close(ended(&attempt, end), true),
                None => self.capacity.adopt(attempt.clone(), resources),
            }
            self.attempts.insert(attempt, adopted);
        }
        self.queued.push(RunnerEffect::Sync);
    }

    /// Reserves capacity for an attempt until `hold_ms` from `now`.
    ///
    /// # Errors
    ///
    /// Fails if too little capacity is free, if the attempt holds a different amount, or if it has already left the reserved
    /// stage.
    pub fn reserve(
        &mut self,
        attempt: &AttemptRef,
        resources: Resources,
        now: TimeMs,
        hold_ms: u64,
    ) -> Result<(), CapacityError> {
        self.expire(now);
        if self.attempts.get(attempt).is_some_and(|a| !matches!(a.stage, Stage::Reserved)) {
            return Err(CapacityError::already_started());
        }
        self.capacity.reserve(attempt, resources, now.plus_ms(hold_ms))?;
        self.attempts.entry(attempt.clone()).or_insert_with(|| Attempt::new(Stage::Reserved));
        Ok(())
    }

    /// Releases a reservation whose assignment lost. Does nothing if the attempt has left the reserved stage.
    pub fn release(&mut self, attempt: &AttemptRef) {
        if self.attempts.get(attempt).is_some_and(|a| matches!(a.stage, Stage::Reserved)) {
            self.attempts.remove(attempt);
            self.capacity.release(attempt);
        }
    }

    /// Builds the next request to one entry and records when it was sent. Linear in the number of attempts.
    pub fn sync_request(&mut self, now: TimeMs) -> SyncRequest {
        self.last_number += 1;
        let held: Vec<_> = self.attempts.iter().filter(|(_, a)| a.needs_proof()).map(|(id, _)| id.clone()).collect();
        self.requests.insert(self.last_number, SentRequest { at: now, held: held.clone() });
        // The proofs of a reply to an older request have expired. Only the mutation needs such replies.
        let keep_ms = if self.mutation == Some(Mutation::StaleFencingSet) { u64::MAX } else { self.settings.lease_ms };
        self.requests.retain(|_, sent| now.since_ms(sent.at) <= keep_ms);
        let reports = self.attempts.values().filter_map(|a| match &a.stage {
            Stage::Closed { report, .. } => Some(report.clone()),
            _ => None,
        });
        SyncRequest {
            agent: self.agent.clone(),
            incarnation: self.incarnation,
            number: self.last_number,
            held,
            reports: reports.collect(),
            free: self.capacity.free(),
        }
    }

    /// Processes the reply of an entry. Replies may be reordered, delayed or duplicated; those to an earlier run are
    /// ignored.
    pub fn sync_reply(&mut self, reply: SyncReply, now: TimeMs) {
        if reply.incarnation != self.incarnation {
            return;
        }
        self.set_settings(reply.lease);
        self.update_config(&reply, now);
        reply.accepted.iter().for_each(|attempt| self.report_accepted(attempt, reply.view));
        self.add_proofs(&reply, now);
        // An entry that has not folded the end of an attempt could order a second start of it.
        if reply.view >= self.accepted_view {
            reply.commands.into_iter().for_each(|command| self.apply_command(command));
        }
    }

    /// Processes an event of the worker about an attempt.
    pub fn on_worker_event(&mut self, attempt: &AttemptRef, event: WorkerEvent, now: TimeMs) {
        let Some(held) = self.attempts.get_mut(attempt) else { return };
        let retry_at = Some(now.plus_ms(RETRY_MS));
        match (event, &mut held.stage) {
            (_, Stage::Closed { .. }) => {}
            (WorkerEvent::Started, Stage::Starting { .. }) => {
                held.stage = Stage::Running;
                if held.percent < 100 {
                    let (attempt, percent) = (attempt.clone(), held.percent);
                    self.queued.push(RunnerEffect::Throttle { attempt, percent });
                }
            }
            (WorkerEvent::StartRefused, Stage::Starting { .. }) => self.close(attempt, stopped(attempt, false), false),
            (WorkerEvent::StartUnknown, Stage::Starting { retry_at: retry, .. })
            | (WorkerEvent::StopUnknown, Stage::Stopping { retry_at: retry }) => *retry = retry_at,
            (WorkerEvent::RenewFailed, _) => held.sent_until = TimeMs(0),
            (WorkerEvent::Ended { end }, _) => self.close(attempt, ended(attempt, end), true),
            (WorkerEvent::Absent, Stage::Stopping { .. }) => self.close(attempt, stopped(attempt, true), false),
            _ => {}
        }
    }

    /// The effects to carry out now. Call it after every event and at the time of [`wake_at`](Self::wake_at). Linear in the
    /// number of attempts.
    pub fn poll(&mut self, now: TimeMs) -> Vec<RunnerEffect> {
        self.expire(now);
        self.leases.expire(now);
        let mut effects = std::mem::take(&mut self.queued);
        let ids: Vec<_> = self.attempts.keys().cloned().collect();
        ids.iter().for_each(|attempt| self.step(attempt, now, &mut effects));
        effects.append(&mut self.queued);
        effects
    }

    /// The time of the next [`poll`](Self::poll) if no event comes first; `None` if only an event can change anything.
    pub fn wake_at(&self) -> Option<TimeMs> {
        let due = |(attempt, held): (&AttemptRef, &Attempt)| match &held.stage {
            Stage::Running => Some(self.leases.run_until(attempt)),
            Stage::Starting { retry_at, .. } | Stage::Stopping { retry_at } => *retry_at,
            Stage::Reserved | Stage::Assigned(_) => self.capacity.deadline(attempt),
            Stage::Frozen | Stage::Closed { .. } => None,
        };
        self.attempts.iter().filter_map(due).min()
    }

    /// Capacity of the worker and its holders.
    pub fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    /// The newest configuration version in any reply; 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Whether the configuration allows a start at `now`: its view is proven to be fresh and has the zone in service.
    pub fn zone_in_service(&self, now: TimeMs) -> bool {
        let fresh_ms = self.settings.shortened_ms(CONFIG_FRESH_MS);
        !self.config.zone_out && self.config.proven_at.is_some_and(|at| now.since_ms(at) < fresh_ms)
    }

    /// The time until which an attempt may run; zero without a proof.
    pub fn run_until(&self, attempt: &AttemptRef) -> TimeMs {
        self.leases.run_until(attempt)
    }

    /// Whether an attempt is frozen because it has no valid lease.
    pub fn is_frozen(&self, attempt: &AttemptRef) -> bool {
        self.attempts.get(attempt).is_some_and(|a| matches!(a.stage, Stage::Frozen))
    }

    fn update_config(&mut self, reply: &SyncReply, now: TimeMs) {
        if reply.config_version > self.config.version {
            self.config.version = reply.config_version;
            self.config.zone_out = reply.zone_out;
        }
        // The read behind the reply found no version above the known one, so it proves the known one as well.
        let sent_at = reply.config_read_after.and_then(|number| self.sent_at(number, now));
        self.config.proven_at = self.config.proven_at.max(sent_at);
    }

    fn add_proofs(&mut self, reply: &SyncReply, now: TimeMs) {
        let Some(request) = self.requests.get(&reply.number) else { return };
        if let Some(promise) = reply.promise.clone() {
            self.leases.add_promise(promise, &request.held, request.at);
        }
        if let Some(at) = reply.cell_read_after.and_then(|number| self.sent_at(number, now)) {
            let proven = request.held.iter().filter(|attempt| !reply.not_assigned.contains(attempt));
            proven.for_each(|attempt| self.leases.add_log_proof(attempt, at));
        }
    }

    fn sent_at(&self, number: u64, now: TimeMs) -> Option<TimeMs> {
        let at = self.requests.get(&number)?.at;
        Some(if self.mutation == Some(Mutation::LeaseFromReadEnd) { now } else { at })
    }

    fn report_accepted(&mut self, attempt: &AttemptRef, view: u64) {
        if let Some(Stage::Closed { on_worker, .. }) = self.attempts.get(attempt).map(|a| &a.stage) {
            if *on_worker {
                self.queued.push(RunnerEffect::Forget { attempt: attempt.clone() });
            }
            self.accepted_view = self.accepted_view.max(view);
            self.attempts.remove(attempt);
            self.leases.forget(attempt);
        }
    }

    fn apply_command(&mut self, command: Command) {
        match command {
            Command::Start { attempt, agent_incarnation, spec, checkpoint } => {
                self.assigned(&attempt, agent_incarnation, StartOrder { spec, checkpoint });
            }
            Command::Stop { attempt, agent_incarnation } => self.stop(&attempt, agent_incarnation),
            Command::Throttle { attempt, percent } => {
                if let Some(held) = self.attempts.get_mut(&attempt) {
                    held.percent = percent.clamp(1, 100);
                    if matches!(held.stage, Stage::Running) {
                        self.queued.push(RunnerEffect::Throttle { attempt, percent: held.percent });
                    }
                }
            }
            Command::Checkpoint { attempt } => {
                if self.attempts.get(&attempt).is_some_and(|a| matches!(a.stage, Stage::Running | Stage::Frozen)) {
                    self.queued.push(RunnerEffect::Checkpoint { attempt });
                }
            }
        }
    }

    fn assigned(&mut self, attempt: &AttemptRef, agent_incarnation: u64, order: StartOrder) {
        if agent_incarnation != self.incarnation {
            self.stop(attempt, agent_incarnation);
            return;
        }
        match self.attempts.get_mut(attempt) {
            Some(held) if matches!(held.stage, Stage::Reserved) => {
                held.stage = Stage::Assigned(order);
                self.queued.push(RunnerEffect::Sync);
            }
            Some(_) => {}
            None => self.close_unknown(attempt, false),
        }
    }

    fn stop(&mut self, attempt: &AttemptRef, agent_incarnation: u64) {
        // An attempt of an earlier run that the worker did not report may have run and been lost in a crash of the host.
        // This also holds if an entry with an outdated view has reserved capacity for it again.
        let may_have_started = agent_incarnation < self.incarnation;
        match self.attempts.get_mut(attempt) {
            Some(held) if matches!(held.stage, Stage::Reserved) => {
                self.close(attempt, stopped(attempt, may_have_started), false);
            }
            Some(held) => held.stop_requested = true,
            None if agent_incarnation <= self.incarnation => self.close_unknown(attempt, may_have_started),
            None => {}
        }
    }

    fn close_unknown(&mut self, attempt: &AttemptRef, started: bool) {
        let report = stopped(attempt, started);
        let closed = Attempt::new(Stage::Closed { report, on_worker: false });
        self.attempts.insert(attempt.clone(), closed);
        self.queued.push(RunnerEffect::Sync);
    }

    fn close(&mut self, attempt: &AttemptRef, report: Report, on_worker: bool) {
        if let Some(held) = self.attempts.get_mut(attempt) {
            held.close(report, on_worker);
            self.capacity.release(attempt);
            self.queued.push(RunnerEffect::Sync);
        }
    }

    /// Drops expired reservations. If the assignment is known to have won, reports to the entries that it did not start.
    fn expire(&mut self, now: TimeMs) {
        for attempt in self.capacity.expire(now) {
            match self.attempts.get(&attempt).map(|a| &a.stage) {
                Some(Stage::Assigned(_)) => self.close(&attempt, stopped(&attempt, false), false),
                _ => {
                    self.attempts.remove(&attempt);
                }
            }
        }
    }

    fn step(&mut self, attempt: &AttemptRef, now: TimeMs, effects: &mut Vec<RunnerEffect>) {
        let until = self.leases.run_until(attempt);
        let may_run = now < until;
        let may_start = may_run && self.zone_in_service(now);
        let Some(held) = self.attempts.get_mut(attempt) else { return };
        let retry_due = |at: &Option<TimeMs>| at.is_some_and(|at| at <= now);
        match &held.stage {
            Stage::Assigned(_) if held.stop_requested => self.close(attempt, stopped(attempt, false), false),
            Stage::Assigned(order) if may_start => {
                let order = order.clone();
                if self.capacity.commit(attempt, now).is_ok() {
                    start(held, attempt, order, until, effects);
                }
            }
            Stage::Starting { order, retry_at } if retry_due(retry_at) && may_start && !held.stop_requested => {
                let order = order.clone();
                start(held, attempt, order, until, effects);
            }
            Stage::Starting { retry_at, .. } | Stage::Stopping { retry_at } if retry_due(retry_at) => {
                stop(held, attempt, effects);
            }
            Stage::Running | Stage::Frozen if held.stop_requested => stop(held, attempt, effects),
            Stage::Running if !may_run => {
                held.stage = Stage::Frozen;
                effects.push(RunnerEffect::Throttle { attempt: attempt.clone(), percent: 0 });
                effects.push(RunnerEffect::Checkpoint { attempt: attempt.clone() });
            }
            Stage::Running if held.sent_until < until => renew(held, attempt, until, effects),
            Stage::Frozen if may_run => {
                held.stage = Stage::Running;
                renew(held, attempt, until, effects);
                effects.push(RunnerEffect::Throttle { attempt: attempt.clone(), percent: held.percent });
            }
            _ => {}
        }
    }
}

fn start(held: &mut Attempt, attempt: &AttemptRef, order: StartOrder, until: TimeMs, effects: &mut Vec<RunnerEffect>) {
    held.sent_until = until;
    effects.push(RunnerEffect::Start {
        attempt: attempt.clone(),
        spec: order.spec.clone(),
        checkpoint: order.checkpoint.clone(),
        until,
    });
    held.stage = Stage::Starting { order, retry_at: None };
}

fn renew(held: &mut Attempt, attempt: &AttemptRef, until: TimeMs, effects: &mut Vec<RunnerEffect>) {
    held.sent_until = until;
    effects.push(RunnerEffect::Renew { attempt: attempt.clone(), until });
}

fn stop(held: &mut Attempt, attempt: &AttemptRef, effects: &mut Vec<RunnerEffect>) {
    held.stage = Stage::Stopping { retry_at: None };
    effects.push(RunnerEffect::Stop { attempt: attempt.clone() });
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{
        ids::{EntryId, EntryRef, TaskId},
        promise::Promise,
        testing,
    };

    const SETTINGS: LeaseSettings = LeaseSettings { lease_ms: 1_000, silence_ms: 5_000, drift_ppm: 0 };

    fn attempt() -> AttemptRef {
        AttemptRef::new(TaskId::new("c0-t").expect("valid id"), 1)
    }

    fn entry() -> EntryRef {
        EntryRef::new(EntryId::new("entry-a").expect("valid id"), 1)
    }

    fn runner(incarnation: u64) -> TaskRunner {
        let id = AgentId::new("agent-1").expect("valid id");
        TaskRunner::new(id, incarnation, Resources::new(2_000, 2_048), SETTINGS)
    }

    fn reserved(incarnation: u64) -> TaskRunner {
        let mut runner = runner(incarnation);
        runner.reserve(&attempt(), testing::task_spec().resources, TimeMs(0), 500).expect("fits");
        runner
    }

    fn reply(request: &SyncRequest, commands: Vec<Command>) -> SyncReply {
        let set = [entry()].into();
        SyncReply {
            by: entry(),
            incarnation: request.incarnation,
            number: request.number,
            view: 10,
            not_assigned: Vec::new(),
            cell_read_after: None,
            config_read_after: Some(request.number),
            config_version: 1,
            zone_out: false,
            lease: LeaseSettings::default(),
            promise: Some(Promise { by: entry(), view: 10, set_version: 3, set, except: Vec::new() }),
            commands,
            accepted: Vec::new(),
        }
    }

    fn start(agent_incarnation: u64) -> Command {
        let spec = testing::task_spec().into();
        Command::Start { attempt: attempt(), agent_incarnation, spec, checkpoint: None }
    }

    fn stop(agent_incarnation: u64) -> Command {
        Command::Stop { attempt: attempt(), agent_incarnation }
    }

    fn sync(runner: &mut TaskRunner, now: TimeMs, commands: Vec<Command>) {
        let request = runner.sync_request(now);
        runner.sync_reply(reply(&request, commands), now);
    }

    fn starts(effects: &[RunnerEffect]) -> bool {
        effects.iter().any(|effect| matches!(effect, RunnerEffect::Start { .. }))
    }

    fn running() -> TaskRunner {
        let mut runner = reserved(1);
        sync(&mut runner, TimeMs(0), vec![start(1)]);
        sync(&mut runner, TimeMs(1), Vec::new());
        assert!(starts(&runner.poll(TimeMs(2))));
        runner.on_worker_event(&attempt(), WorkerEvent::Started, TimeMs(3));
        runner
    }

    /// Guards against a start on a promise whose request did not include the attempt.
    #[test]
    fn a_start_needs_a_proof_requested_after_the_assignment() {
        let mut runner = reserved(1);
        sync(&mut runner, TimeMs(0), vec![start(1)]);
        assert!(!starts(&runner.poll(TimeMs(0))));
        sync(&mut runner, TimeMs(1), Vec::new());
        assert!(starts(&runner.poll(TimeMs(1))));
    }

    /// Guards against an attempt that runs beyond its lease, and against one that stays frozen after a later proof.
    #[test]
    fn an_attempt_freezes_at_the_end_of_its_lease_and_thaws_on_a_later_proof() {
        let mut runner = running();
        assert_eq!(runner.wake_at(), Some(runner.run_until(&attempt())));
        let frozen = runner.poll(runner.run_until(&attempt()));
        assert!(frozen.contains(&RunnerEffect::Throttle { attempt: attempt(), percent: 0 }));
        sync(&mut runner, TimeMs(3_000), Vec::new());
        let thawed = runner.poll(TimeMs(3_000));
        assert!(thawed.contains(&RunnerEffect::Throttle { attempt: attempt(), percent: 100 }));
    }

    /// Guards against an assignment that is neither started nor released.
    #[test]
    fn a_won_assignment_without_a_reservation_is_reported_as_not_started() {
        let mut runner = runner(1);
        sync(&mut runner, TimeMs(0), vec![start(1)]);
        assert_eq!(runner.sync_request(TimeMs(1)).reports, [stopped(&attempt(), false)]);
    }

    /// Guards against a report "never started" for an attempt that an earlier run started before its host failed.
    /// Exploration found it after an entry that had not folded the assignment reserved capacity for it at the later run.
    #[test]
    fn an_attempt_of_an_earlier_run_may_have_started() {
        for mut runner in [runner(2), reserved(2)] {
            sync(&mut runner, TimeMs(0), vec![stop(1)]);
            assert_eq!(runner.sync_request(TimeMs(1)).reports, [stopped(&attempt(), true)]);
        }
    }

    /// Guards against a second start, ordered by an entry that has not folded the end of the first.
    #[test]
    fn a_start_command_from_an_outdated_view_is_ignored() {
        let mut runner = running();
        runner.on_worker_event(&attempt(), WorkerEvent::Ended { end: WorkerEnd::Succeeded }, TimeMs(4));
        let request = runner.sync_request(TimeMs(5));
        let accepted = vec![attempt()];
        runner.sync_reply(SyncReply { view: 12, accepted, ..reply(&request, Vec::new()) }, TimeMs(5));
        runner.reserve(&attempt(), testing::task_spec().resources, TimeMs(6), 500).expect("fits");
        sync(&mut runner, TimeMs(6), vec![start(1)]);
        sync(&mut runner, TimeMs(7), Vec::new());
        assert!(!starts(&runner.poll(TimeMs(8))));
    }
}
