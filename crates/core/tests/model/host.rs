//! One simulated host: an agent with its worker.

use std::collections::BTreeMap;

use fescuelead_core::{
    ids::{AgentId, AttemptRef, AvailabilityZone, RequestKey},
    profile::LeaseSettings,
    request_keys::{Admit, RequestKeys},
    runner::{Adopted, RunnerEffect, TaskRunner, WorkerEnd, WorkerEvent},
    units::{Resources, TimeMs},
};
use rand::RngExt;

use super::{
    node::Node,
    world::{Clock, Message, Peer, World},
};

pub const HOST_CAPACITY: Resources = Resources { cpu_milli: 1_500, memory_mib: 4_096, accelerators: 0 };
/// Small enough that claims are evicted within a schedule.
const REQUEST_KEY_LIMIT: usize = 2;

pub struct WorkerTask {
    resources: Resources,
    percent: u8,
    until: TimeMs,
    end: Option<WorkerEnd>,
}

impl WorkerTask {
    /// Freezes the task if its lease has expired. Only a throttle call thaws it.
    fn freeze_if_expired(&mut self, now: TimeMs) {
        if self.until <= now {
            self.percent = 0;
        }
    }

    fn runs(&self, now: TimeMs) -> bool {
        self.end.is_none() && self.percent > 0 && now < self.until
    }
}

pub struct Host {
    pub id: AgentId,
    pub zone: AvailabilityZone,
    pub clock: Clock,
    pub incarnation: u64,
    pub alive: bool,
    pub paused_until: u64,
    pub tasks: BTreeMap<AttemptRef, WorkerTask>,
    pub runner: TaskRunner,
    pub keys: RequestKeys,
    pub next_sync: TimeMs,
    config_version: u64,
}

impl Host {
    pub fn new(slot: usize, clock: Clock, settings: LeaseSettings) -> Self {
        let id = AgentId::new(format!("agent-{slot}")).expect("valid id");
        Self {
            runner: TaskRunner::new(id.clone(), 0, HOST_CAPACITY, settings),
            id,
            zone: AvailabilityZone::new(format!("az-{slot}")).expect("valid id"),
            clock,
            incarnation: 0,
            alive: false,
            paused_until: 0,
            tasks: BTreeMap::new(),
            keys: RequestKeys::new(0, REQUEST_KEY_LIMIT),
            next_sync: TimeMs(0),
            config_version: 0,
        }
    }

    pub fn runs_task(&self, attempt: &AttemptRef, now_us: u64) -> bool {
        let now = self.clock.at(now_us);
        self.tasks.iter().any(|(held, task)| held.task == attempt.task && task.runs(now))
    }
}

impl World {
    /// Starts an agent process, which claims its worker and adopts the tasks there.
    pub fn start_agent(&mut self, slot: usize) {
        let (settings, mutation) = (self.settings, self.mutation);
        let now_us = self.now;
        let host = &mut self.hosts[slot];
        let now = host.clock.at(now_us);
        host.incarnation += 1;
        host.alive = true;
        host.config_version = 0;
        host.keys = RequestKeys::new(host.incarnation, REQUEST_KEY_LIMIT);
        host.runner =
            TaskRunner::new(host.id.clone(), host.incarnation, HOST_CAPACITY, settings).with_mutation(mutation);
        let adopted = host.tasks.iter_mut().map(|(attempt, task)| {
            task.freeze_if_expired(now);
            let (resources, percent, end) = (task.resources, task.percent, task.end.clone());
            Adopted { attempt: attempt.clone(), resources, percent, end }
        });
        let adopted: Vec<_> = adopted.collect();
        self.monitor.counts.adoptions += adopted.len() as u64;
        host.runner.adopt(adopted);
        self.agent_tick(slot);
    }

    pub fn agent_tick(&mut self, slot: usize) {
        self.finish_work(slot);
        self.drive_agent(slot);
        let host = &self.hosts[slot];
        let event = Message::Tick;
        self.after(100_000, Peer::Agent(slot, host.incarnation), event);
    }

    /// Carries out the effects of the runner, and sends heartbeats when due.
    pub fn drive_agent(&mut self, slot: usize) {
        let now = self.hosts[slot].clock.at(self.now);
        let mut sync = self.hosts[slot].next_sync <= now;
        loop {
            let effects = self.hosts[slot].runner.poll(now);
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    RunnerEffect::Sync => sync = true,
                    other => self.worker_call(slot, other, now),
                }
            }
        }
        let host = &mut self.hosts[slot];
        let (version, known) = (host.runner.config_version(), host.config_version);
        host.config_version = version;
        self.monitor
            .check(version >= known, || format!("configuration of agent {slot} went back to an earlier version"));
        if sync {
            self.send_syncs(slot, now);
        }
    }

    fn send_syncs(&mut self, slot: usize, now: TimeMs) {
        let host = &mut self.hosts[slot];
        host.next_sync = now.plus_ms(500);
        let from = Peer::Agent(slot, host.incarnation);
        for entry in 0..self.entries.len() {
            let Some(incarnation) = self.entries[entry].as_ref().map(Node::incarnation) else { continue };
            let request = self.hosts[slot].runner.sync_request(now);
            self.send(from, Peer::Entry(entry, incarnation), Message::Sync(Box::new(request)));
        }
    }

    fn worker_call(&mut self, slot: usize, effect: RunnerEffect, now: TimeMs) {
        match effect {
            RunnerEffect::Start { attempt, spec, checkpoint, until } => {
                let event = self.worker_start(slot, &attempt, spec.resources, checkpoint.is_some(), until, now);
                self.hosts[slot].runner.on_worker_event(&attempt, event, now);
            }
            RunnerEffect::Renew { attempt, until } => {
                if let Some(task) = self.hosts[slot].tasks.get_mut(&attempt) {
                    task.freeze_if_expired(now);
                    task.until = until;
                }
            }
            RunnerEffect::Throttle { attempt, percent } => self.worker_throttle(slot, &attempt, percent, now),
            RunnerEffect::Stop { attempt } => {
                let checkpoint = self.rng.random_bool(0.5).then(|| "checkpoint".to_owned());
                let host = &mut self.hosts[slot];
                let event = match host.tasks.get_mut(&attempt) {
                    Some(task) => {
                        let end = task.end.get_or_insert(WorkerEnd::Stopped { checkpoint });
                        WorkerEvent::Ended { end: end.clone() }
                    }
                    None => WorkerEvent::Absent,
                };
                host.runner.on_worker_event(&attempt, event, now);
            }
            RunnerEffect::Forget { attempt } => {
                self.hosts[slot].tasks.remove(&attempt);
            }
            RunnerEffect::Checkpoint { .. } | RunnerEffect::Sync => {}
        }
    }

    fn worker_start(
        &mut self,
        slot: usize,
        attempt: &AttemptRef,
        resources: Resources,
        resumes: bool,
        until: TimeMs,
        now: TimeMs,
    ) -> WorkerEvent {
        let known = self.hosts[slot].tasks.contains_key(attempt);
        if !known && self.rng.random_bool(0.04) {
            let lost = self.rng.random_bool(0.5);
            return if lost { WorkerEvent::StartUnknown } else { WorkerEvent::StartRefused };
        }
        if !known {
            self.check_exclusive(slot, attempt);
            let host = &self.hosts[slot];
            let (run, zone) = (format!("{}/{}", host.id, host.incarnation), host.zone.clone());
            self.monitor.start(attempt, run, &zone, resumes, self.now);
            let task = WorkerTask { resources, percent: 100, until, end: None };
            self.hosts[slot].tasks.insert(attempt.clone(), task);
            self.check_capacity(slot);
        }
        if now < until && self.rng.random_bool(0.05) { WorkerEvent::StartUnknown } else { WorkerEvent::Started }
    }

    fn worker_throttle(&mut self, slot: usize, attempt: &AttemptRef, percent: u8, now: TimeMs) {
        let Some(task) = self.hosts[slot].tasks.get_mut(attempt) else { return };
        task.freeze_if_expired(now);
        let thaws = percent > 0 && task.percent == 0 && task.end.is_none();
        task.percent = percent;
        self.monitor.counts.freezes += u64::from(percent == 0);
        if thaws && task.runs(now) {
            self.monitor.counts.thaws += 1;
            self.check_exclusive(slot, attempt);
        }
    }

    /// Invariant I2: no other attempt of the task runs now, on this host or another one.
    fn check_exclusive(&mut self, slot: usize, attempt: &AttemptRef) {
        let now = self.now;
        let elsewhere =
            (0..self.hosts.len()).find(|other| *other != slot && self.hosts[*other].runs_task(attempt, now));
        self.monitor.check(elsewhere.is_none(), || format!("{attempt} runs on host {slot} and on host {elsewhere:?}"));
        let here = &self.hosts[slot];
        let duplicate = here
            .tasks
            .iter()
            .any(|(held, task)| held.task == attempt.task && held != attempt && task.runs(here.clock.at(now)));
        self.monitor.check(!duplicate, || format!("two attempts of {} run on host {slot}", attempt.task));
    }

    /// Invariant I1: the tasks on the worker fit its capacity.
    fn check_capacity(&mut self, slot: usize) {
        let live = self.hosts[slot].tasks.values().filter(|task| task.end.is_none());
        let used = live.fold(Resources::ZERO, |sum, task| sum.plus(&task.resources));
        self.monitor
            .check(used.fits_in(&HOST_CAPACITY), || format!("tasks on host {slot} exceed its capacity: {used}"));
    }

    fn finish_work(&mut self, slot: usize) {
        let now_us = self.now;
        let host = &mut self.hosts[slot];
        let now = host.clock.at(now_us);
        for (attempt, task) in &mut host.tasks {
            if task.runs(now) && self.rng.random_bool(0.004) {
                let failed = self.rng.random_bool(0.2);
                let end = if failed { WorkerEnd::Failed { reason: "crash".to_owned() } } else { WorkerEnd::Succeeded };
                task.end = Some(end.clone());
                host.runner.on_worker_event(attempt, WorkerEvent::Ended { end }, now);
            }
        }
    }

    pub fn agent_message(&mut self, slot: usize, from: Peer, message: Message) {
        let host = &mut self.hosts[slot];
        let now = host.clock.at(self.now);
        let me = Peer::Agent(slot, host.incarnation);
        match message {
            Message::Tick => return self.agent_tick(slot),
            Message::Reply(reply) => host.runner.sync_reply(*reply, now),
            Message::Reserve { attempt, resources } => {
                let granted = host.runner.reserve(&attempt, resources, now, 1_500).is_ok();
                let reply = Message::Reserved { attempt, slot, agent_incarnation: host.incarnation };
                granted.then(|| self.send(me, from, reply));
            }
            Message::Dispatch { key, offset, agent_incarnation } => {
                match host.keys.admit(&key, offset, agent_incarnation) {
                    Admit::Run => {
                        self.monitor.run_request(&key, offset);
                        self.send(me, from, Message::Answered { key, offset });
                    }
                    Admit::NotRun => self.send(me, from, Message::NotRun { key, offset }),
                    Admit::Unknown => {}
                }
            }
            Message::Refuse { key, offset, agent_incarnation } => {
                let answer = host.keys.refuse(&key, offset, agent_incarnation);
                self.send(me, from, Message::RefuseAnswer { key, offset, answer });
            }
            _ => {}
        }
        self.drive_agent(slot);
    }
}

pub fn request_key(number: u64) -> RequestKey {
    RequestKey::new(format!("takedown-{number}")).expect("valid key")
}
