/*!
The control of attempts at one agent.

[`TaskRunner`] keeps the capacity of a worker and the leases of what runs there. It is told of reservations, replies of
entries and answers of the worker, and [`TaskRunner::poll`] says what the worker shall do next. Each effect that lets a
task run is given out only while its lease holds at the time of the poll, and names the end of that lease. The caller
passes it on at once, with the time that is left, and drops it if none is left.

An attempt starts only if

* an entry said that its assignment won, in a view that includes all accepted reports of this agent,
* its reservation still holds,
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
assert!(runner.poll(TimeMs(10)).is_empty(), "no entry has said that the assignment won");
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

use self::attempt::{Attempt, Job, Stage, ended, stopped};
pub use self::{
    messages::{Command, Report, SyncReply, SyncRequest},
    worker::{Adopted, RunnerEffect, WorkerEnd, WorkerEvent},
};

/// The age at which a configuration view no longer allows a start, in milliseconds.
pub const CONFIG_FRESH_MS: u64 = 2_000;
/// The pause before a call to the worker is repeated after its answer was lost, in milliseconds.
const RETRY_MS: u64 = 100;

#[derive(Debug, Clone)]
struct Asked {
    at: TimeMs,
    held: Vec<AttemptRef>,
}

#[derive(Debug, Clone, Default)]
struct ConfigView {
    version: u64,
    zone_out: bool,
    proven_at: Option<TimeMs>,
}

/// The attempts of one run of an agent.
#[derive(Debug, Clone)]
pub struct TaskRunner {
    agent: AgentId,
    incarnation: u64,
    settings: LeaseSettings,
    capacity: Capacity,
    leases: LeaseBook,
    attempts: BTreeMap<AttemptRef, Attempt>,
    asked: BTreeMap<u64, Asked>,
    last_number: u64,
    settled_view: u64,
    config: ConfigView,
    queued: Vec<RunnerEffect>,
    mutation: Option<Mutation>,
}

impl TaskRunner {
    /// The runner of an agent that has claimed its worker under `incarnation`.
    pub fn new(agent: AgentId, incarnation: u64, total: Resources, settings: LeaseSettings) -> Self {
        Self {
            agent,
            incarnation,
            settings,
            capacity: Capacity::new(total),
            leases: LeaseBook::new(settings),
            attempts: BTreeMap::new(),
            asked: BTreeMap::new(),
            last_number: 0,
            settled_view: 0,
            config: ConfigView::default(),
            queued: Vec::new(),
            mutation: None,
        }
    }

    /// Breaks one rule, for tests of the tests.
    #[doc(hidden)]
    pub fn with_mutation(self, mutation: Option<Mutation>) -> Self {
        Self { mutation, leases: self.leases.with_mutation(mutation), ..self }
    }

    /// The lease times of the newest reply.
    pub fn settings(&self) -> LeaseSettings {
        self.settings
    }

    /// Takes new lease times for proofs to come.
    pub fn set_settings(&mut self, settings: LeaseSettings) {
        self.settings = settings;
        self.leases.set_settings(settings);
    }

    /// Takes over what the worker reported when it was claimed. The attempts keep their capacity. This run gives them
    /// no lease before it has a proof of its own; until then the worker holds them to the lease it was told last.
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
    /// Fails if too little is free, if the attempt holds another amount, or if it is past its reservation already.
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

    /// Gives back a reservation whose assignment lost. An attempt that is past its reservation is left alone.
    pub fn release(&mut self, attempt: &AttemptRef) {
        if self.attempts.get(attempt).is_some_and(|a| matches!(a.stage, Stage::Reserved)) {
            self.attempts.remove(attempt);
            self.capacity.release(attempt);
        }
    }

    /// The next request to one entry. Linear in the number of attempts.
    pub fn sync_request(&mut self, now: TimeMs) -> SyncRequest {
        self.last_number += 1;
        let held: Vec<_> = self.attempts.iter().filter(|(_, a)| a.is_held()).map(|(id, _)| id.clone()).collect();
        self.asked.insert(self.last_number, Asked { at: now, held: held.clone() });
        // A reply to an older request proves nothing any more. The broken rule needs such replies.
        let keep_ms = if self.mutation == Some(Mutation::OlderSet) { u64::MAX } else { self.settings.lease_ms };
        self.asked.retain(|_, asked| now.since_ms(asked.at) <= keep_ms);
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

    /// Takes in the reply of an entry to a request of this run. Replies may come in any order, late or twice.
    pub fn sync_reply(&mut self, reply: SyncReply, now: TimeMs) {
        if reply.incarnation != self.incarnation {
            return;
        }
        self.set_settings(reply.lease);
        self.take_config(&reply, now);
        reply.accepted.iter().for_each(|attempt| self.accept(attempt, reply.view));
        self.take_proofs(&reply, now);
        // An entry that has not folded the end of an attempt could have it started again.
        if reply.view >= self.settled_view {
            reply.commands.into_iter().for_each(|command| self.command(command));
        }
    }

    /// Takes in what the worker said about an attempt.
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
            (WorkerEvent::RenewFailed, _) => held.told_until = TimeMs(0),
            (WorkerEvent::Ended { end }, _) => self.close(attempt, ended(attempt, end), true),
            (WorkerEvent::Absent, Stage::Stopping { .. }) => self.close(attempt, stopped(attempt, true), false),
            _ => {}
        }
    }

    /// What shall be done now. Call it after every event and when [`wake_at`](Self::wake_at) has come. Linear in the
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

    /// When [`poll`](Self::poll) is due next without another event.
    pub fn wake_at(&self) -> Option<TimeMs> {
        let due = |(attempt, held): (&AttemptRef, &Attempt)| match &held.stage {
            Stage::Running => Some(self.leases.run_until(attempt)),
            Stage::Starting { retry_at, .. } | Stage::Stopping { retry_at } => *retry_at,
            Stage::Reserved | Stage::Assigned(_) => self.capacity.deadline(attempt),
            Stage::Frozen | Stage::Closed { .. } => None,
        };
        self.attempts.iter().filter_map(due).min()
    }

    /// The capacity of the worker.
    pub fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    /// The newest configuration version that an entry named.
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Whether an attempt could start at `now` as far as the configuration is concerned.
    pub fn zone_in_service(&self, now: TimeMs) -> bool {
        let fresh_ms = self.settings.shortened_ms(CONFIG_FRESH_MS);
        !self.config.zone_out && self.config.proven_at.is_some_and(|at| now.since_ms(at) < fresh_ms)
    }

    /// Until when an attempt may run; in the past without a proof.
    pub fn run_until(&self, attempt: &AttemptRef) -> TimeMs {
        self.leases.run_until(attempt)
    }

    /// Whether an attempt is held without a lease.
    pub fn is_frozen(&self, attempt: &AttemptRef) -> bool {
        self.attempts.get(attempt).is_some_and(|a| matches!(a.stage, Stage::Frozen))
    }

    fn take_config(&mut self, reply: &SyncReply, now: TimeMs) {
        if reply.config_version > self.config.version {
            self.config.version = reply.config_version;
            self.config.zone_out = reply.zone_out;
        }
        // The read behind the reply saw no version above the one known now, so it proves that one, too.
        let asked = reply.config_read_after.and_then(|number| self.asked_at(number, now));
        self.config.proven_at = self.config.proven_at.max(asked);
    }

    fn take_proofs(&mut self, reply: &SyncReply, now: TimeMs) {
        let Some(asked) = self.asked.get(&reply.number) else { return };
        if let Some(promise) = reply.promise.clone() {
            self.leases.add_promise(promise, &asked.held, asked.at);
        }
        if let Some(at) = reply.cell_read_after.and_then(|number| self.asked_at(number, now)) {
            let proven = asked.held.iter().filter(|attempt| !reply.not_assigned.contains(attempt));
            proven.for_each(|attempt| self.leases.log_proof(attempt, at));
        }
    }

    fn asked_at(&self, number: u64, now: TimeMs) -> Option<TimeMs> {
        let at = self.asked.get(&number)?.at;
        Some(if self.mutation == Some(Mutation::LeaseFromReadEnd) { now } else { at })
    }

    fn accept(&mut self, attempt: &AttemptRef, view: u64) {
        if let Some(Stage::Closed { on_worker, .. }) = self.attempts.get(attempt).map(|a| &a.stage) {
            if *on_worker {
                self.queued.push(RunnerEffect::Forget { attempt: attempt.clone() });
            }
            self.settled_view = self.settled_view.max(view);
            self.attempts.remove(attempt);
            self.leases.forget(attempt);
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Start { attempt, agent_incarnation, spec, checkpoint } => {
                self.assigned(&attempt, agent_incarnation, Job { spec, checkpoint });
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

    fn assigned(&mut self, attempt: &AttemptRef, agent_incarnation: u64, job: Job) {
        if agent_incarnation != self.incarnation {
            self.stop(attempt, agent_incarnation);
            return;
        }
        match self.attempts.get_mut(attempt) {
            Some(held) if matches!(held.stage, Stage::Reserved) => {
                held.stage = Stage::Assigned(job);
                self.queued.push(RunnerEffect::Sync);
            }
            Some(_) => {}
            None => self.close_unknown(attempt, false),
        }
    }

    fn stop(&mut self, attempt: &AttemptRef, agent_incarnation: u64) {
        // An attempt of an earlier run that the worker did not report may have run and been lost with its host. That holds
        // also if an entry that lags behind has reserved capacity for it again.
        let may_have_started = agent_incarnation < self.incarnation;
        match self.attempts.get_mut(attempt) {
            Some(held) if matches!(held.stage, Stage::Reserved) => {
                self.close(attempt, stopped(attempt, may_have_started), false);
            }
            Some(held) => held.stop_wanted = true,
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

    /// Drops reservations that have run out. If the assignment is known to have won, the entries are told.
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
        let retry = |at: &Option<TimeMs>| at.is_some_and(|at| at <= now);
        match &held.stage {
            Stage::Assigned(_) if held.stop_wanted => self.close(attempt, stopped(attempt, false), false),
            Stage::Assigned(job) if may_start => {
                let job = job.clone();
                if self.capacity.commit(attempt, now).is_ok() {
                    start(held, attempt, job, until, effects);
                }
            }
            Stage::Starting { job, retry_at } if retry(retry_at) && may_start && !held.stop_wanted => {
                let job = job.clone();
                start(held, attempt, job, until, effects);
            }
            Stage::Starting { retry_at, .. } | Stage::Stopping { retry_at } if retry(retry_at) => {
                stop(held, attempt, effects);
            }
            Stage::Running | Stage::Frozen if held.stop_wanted => stop(held, attempt, effects),
            Stage::Running if !may_run => {
                held.stage = Stage::Frozen;
                effects.push(RunnerEffect::Throttle { attempt: attempt.clone(), percent: 0 });
                effects.push(RunnerEffect::Checkpoint { attempt: attempt.clone() });
            }
            Stage::Running if held.told_until < until => renew(held, attempt, until, effects),
            Stage::Frozen if may_run => {
                held.stage = Stage::Running;
                renew(held, attempt, until, effects);
                effects.push(RunnerEffect::Throttle { attempt: attempt.clone(), percent: held.percent });
            }
            _ => {}
        }
    }
}

fn start(held: &mut Attempt, attempt: &AttemptRef, job: Job, until: TimeMs, effects: &mut Vec<RunnerEffect>) {
    held.told_until = until;
    effects.push(RunnerEffect::Start {
        attempt: attempt.clone(),
        spec: job.spec.clone(),
        checkpoint: job.checkpoint.clone(),
        until,
    });
    held.stage = Stage::Starting { job, retry_at: None };
}

fn renew(held: &mut Attempt, attempt: &AttemptRef, until: TimeMs, effects: &mut Vec<RunnerEffect>) {
    held.told_until = until;
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
        runner.reserve(&attempt(), testing::spec().resources, TimeMs(0), 500).expect("fits");
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
        let spec = testing::spec().into();
        Command::Start { attempt: attempt(), agent_incarnation, spec, checkpoint: None }
    }

    fn stop(agent_incarnation: u64) -> Command {
        Command::Stop { attempt: attempt(), agent_incarnation }
    }

    fn ask(runner: &mut TaskRunner, now: TimeMs, commands: Vec<Command>) {
        let request = runner.sync_request(now);
        runner.sync_reply(reply(&request, commands), now);
    }

    fn starts(effects: &[RunnerEffect]) -> bool {
        effects.iter().any(|effect| matches!(effect, RunnerEffect::Start { .. }))
    }

    fn running() -> TaskRunner {
        let mut runner = reserved(1);
        ask(&mut runner, TimeMs(0), vec![start(1)]);
        ask(&mut runner, TimeMs(1), Vec::new());
        assert!(starts(&runner.poll(TimeMs(2))));
        runner.on_worker_event(&attempt(), WorkerEvent::Started, TimeMs(3));
        runner
    }

    /// Guards against a start on a promise that was given before the attempt was asked for.
    #[test]
    fn a_start_needs_a_proof_that_was_asked_for_after_the_assignment() {
        let mut runner = reserved(1);
        ask(&mut runner, TimeMs(0), vec![start(1)]);
        assert!(!starts(&runner.poll(TimeMs(0))));
        ask(&mut runner, TimeMs(1), Vec::new());
        assert!(starts(&runner.poll(TimeMs(1))));
    }

    /// Guards against work that runs on after its lease, or that does not come back after a late proof.
    #[test]
    fn an_attempt_freezes_at_its_deadline_and_thaws_on_a_later_proof() {
        let mut runner = running();
        assert_eq!(runner.wake_at(), Some(runner.run_until(&attempt())));
        let frozen = runner.poll(runner.run_until(&attempt()));
        assert!(frozen.contains(&RunnerEffect::Throttle { attempt: attempt(), percent: 0 }));
        ask(&mut runner, TimeMs(3_000), Vec::new());
        let thawed = runner.poll(TimeMs(3_000));
        assert!(thawed.contains(&RunnerEffect::Throttle { attempt: attempt(), percent: 100 }));
    }

    /// Guards against an assignment that is neither started nor given back.
    #[test]
    fn a_won_assignment_without_a_reservation_is_reported_as_not_started() {
        let mut runner = runner(1);
        ask(&mut runner, TimeMs(0), vec![start(1)]);
        assert_eq!(runner.sync_request(TimeMs(1)).reports, [stopped(&attempt(), false)]);
    }

    /// Guards against "never started" for an attempt that an earlier run had started before its host failed. An entry
    /// that had not folded the assignment had reserved capacity for it at the later run (found by exploration).
    #[test]
    fn an_attempt_of_an_earlier_run_may_have_started() {
        for mut runner in [runner(2), reserved(2)] {
            ask(&mut runner, TimeMs(0), vec![stop(1)]);
            assert_eq!(runner.sync_request(TimeMs(1)).reports, [stopped(&attempt(), true)]);
        }
    }

    /// Guards against a second start, told by an entry that has not folded the end of the first.
    #[test]
    fn an_older_view_cannot_start_an_attempt_again() {
        let mut runner = running();
        runner.on_worker_event(&attempt(), WorkerEvent::Ended { end: WorkerEnd::Succeeded }, TimeMs(4));
        let request = runner.sync_request(TimeMs(5));
        let accepted = vec![attempt()];
        runner.sync_reply(SyncReply { view: 12, accepted, ..reply(&request, Vec::new()) }, TimeMs(5));
        runner.reserve(&attempt(), testing::spec().resources, TimeMs(6), 500).expect("fits");
        ask(&mut runner, TimeMs(6), vec![start(1)]);
        ask(&mut runner, TimeMs(7), Vec::new());
        assert!(!starts(&runner.poll(TimeMs(8))));
    }
}
