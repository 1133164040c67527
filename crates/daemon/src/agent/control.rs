/*!
The control thread of an agent.

The core's [`TaskRunner`] decides what the worker shall do; this module carries it out, feeds back what the worker
answers, and keeps a session with every entry.
*/

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use fescuelead_core::{
    ids::{AttemptRef, ProfileName},
    profile::LeaseSettings,
    runner::{Adopted, RunnerEffect, TaskRunner, WorkerEnd, WorkerEvent},
    units::TimeMs,
};
use fescuelead_platform::worker::{
    SharedWorker, StartTask, UsageSample, WorkerError, WorkerReport, WorkerTask, WorkerTaskState,
};
use fescuelead_wire::messages::{AgentHello, Heartbeat, HeartbeatReply, RunningAttempt, UsageReport};
use tokio::{sync::Notify, task::LocalSet};
use tokio_util::sync::CancellationToken;

use crate::{
    agent::endpoints::HostEndpoints, clock::Clock, lifecycle::Shutdown, limited, metrics::AgentMetrics,
    settings::AgentSettings,
};

mod link;
mod measure;

/// The time between two rounds of the runner while nothing happens.
const TICK_MS: u64 = 50;
/// The time between two looks at the worker's tasks.
const REPORT_MS: u64 = 200;
/// The time between two collections of usage.
const USAGE_MS: u64 = 1_000;
/// Usage samples kept for an entry that cannot be reached.
const MAX_USAGE_BACKLOG: usize = 4_096;

/// The control of one run of an agent.
pub struct AgentControl {
    settings: AgentSettings,
    hello: AgentHello,
    clock: Clock,
    host: Arc<HostEndpoints>,
    worker: SharedWorker,
    shutdown: Shutdown,
    state: RefCell<State>,
    /// Wakes the runner.
    work: Notify,
    metrics: AgentMetrics,
}

struct State {
    runner: TaskRunner,
    tasks: BTreeMap<AttemptRef, WorkerTask>,
    links: HashMap<SocketAddr, Link>,
    calling: HashSet<AttemptRef>,
    /// When an entry last answered a heartbeat.
    answered_at: TimeMs,
    frozen: HashSet<AttemptRef>,
    worker_clock: WorkerClock,
}

/// A reading of the worker's clock and the time at which it had arrived here.
#[derive(Debug, Clone, Copy)]
struct WorkerClock {
    clock_ms: u64,
    read_at: TimeMs,
}

impl WorkerClock {
    /// A time on the worker's clock that comes no later than `until` does here. The reading was made before it arrived, so
    /// the result is early by the way of the report.
    fn at(&self, until: TimeMs, lease: &LeaseSettings) -> u64 {
        self.clock_ms + lease.shortened_ms(until.since_ms(self.read_at))
    }
}

/// What the control keeps of one entry.
#[derive(Default)]
struct Link {
    urgent: Rc<Notify>,
    usage: Vec<UsageReport>,
}

impl AgentControl {
    /// The control of an agent that has just claimed its worker.
    pub fn new(
        settings: AgentSettings,
        hello: AgentHello,
        host: Arc<HostEndpoints>,
        worker: SharedWorker,
        claimed: WorkerReport,
        shutdown: Shutdown,
    ) -> Rc<Self> {
        let mut runner =
            TaskRunner::new(hello.agent.clone(), hello.incarnation, hello.capacity, LeaseSettings::default());
        runner.adopt(claimed.tasks.iter().map(adopted));
        let clock = Clock::new();
        let worker_clock = WorkerClock { clock_ms: claimed.clock_ms, read_at: clock.now() };
        let tasks = claimed.tasks.into_iter().map(|task| (task.attempt.clone(), task)).collect();
        let state = State {
            runner,
            tasks,
            links: HashMap::new(),
            calling: HashSet::new(),
            worker_clock,
            answered_at: clock.now(),
            frozen: HashSet::new(),
        };
        Rc::new(Self {
            settings,
            hello,
            clock,
            host,
            worker,
            shutdown,
            state: RefCell::new(state),
            work: Notify::new(),
            metrics: AgentMetrics::default(),
        })
    }

    /// Sets the metrics that are kept up to date.
    pub fn with_metrics(mut self: Rc<Self>, metrics: AgentMetrics) -> Rc<Self> {
        if let Some(control) = Rc::get_mut(&mut self) {
            control.metrics = metrics;
        }
        self
    }

    /// Runs until `stop`.
    pub async fn run(self: Rc<Self>, stop: CancellationToken) {
        let local = LocalSet::new();
        local
            .run_until(async {
                self.link_to(&self.settings.entries.clone());
                tokio::task::spawn_local(Rc::clone(&self).watch_worker());
                tokio::task::spawn_local(Rc::clone(&self).collect_usage());
                tokio::task::spawn_local(Rc::clone(&self).leave_on_drain());
                loop {
                    self.step();
                    let pause = tokio::time::sleep(Duration::from_millis(TICK_MS));
                    tokio::select! {
                        () = stop.cancelled() => return,
                        () = self.work.notified() => {}
                        () = pause => {}
                    }
                }
            })
            .await;
    }

    /// Starts a session with each entry that has none.
    fn link_to(self: &Rc<Self>, addresses: &[SocketAddr]) {
        for address in addresses {
            if !self.state.borrow().links.contains_key(address) {
                self.state.borrow_mut().links.insert(*address, Link::default());
                tokio::task::spawn_local(Rc::clone(self).keep_link(*address));
            }
        }
    }

    /// Tells every entry at once what has changed.
    pub fn sync_now(&self) {
        self.state.borrow().links.values().for_each(|link| link.urgent.notify_one());
    }

    async fn leave_on_drain(self: Rc<Self>) {
        self.shutdown.drain_token().cancelled().await;
        self.host.leave();
        self.sync_now();
    }

    /// Carries out what the runner wants done now.
    fn step(self: &Rc<Self>) {
        if self.host.expire() {
            self.sync_now();
        }
        let now = self.clock.now();
        self.measure(now);
        let effects = self.state.borrow_mut().runner.poll(now);
        let (renewals, others): (Vec<_>, Vec<_>) =
            effects.into_iter().partition(|effect| matches!(effect, RunnerEffect::Renew { .. }));
        self.renew(renewals);
        for effect in others {
            match effect {
                RunnerEffect::Sync => self.sync_now(),
                effect => {
                    tokio::task::spawn_local(Rc::clone(self).carry_out(effect));
                }
            }
        }
    }

    fn renew(self: &Rc<Self>, effects: Vec<RunnerEffect>) {
        let renewals = effects.into_iter().filter_map(|effect| match effect {
            RunnerEffect::Renew { attempt, until } => Some((attempt, until)),
            _ => None,
        });
        let renewals: Vec<_> = renewals.collect();
        // One call renews all; the earliest end is right for each of them.
        let Some(until) = renewals.iter().map(|(_, until)| *until).min() else { return };
        let attempts: Vec<_> = renewals.into_iter().map(|(attempt, _)| attempt).collect();
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let lease_until_ms = control.on_worker_clock(until);
            let renewed = control.worker.renew(control.hello.incarnation, &attempts, lease_until_ms).await;
            if let Err(error) = renewed {
                control.note(&error);
                attempts.iter().for_each(|attempt| control.tell(attempt, WorkerEvent::RenewFailed));
            }
        });
    }

    fn on_worker_clock(&self, until: TimeMs) -> u64 {
        let state = self.state.borrow();
        state.worker_clock.at(until, &state.runner.settings())
    }

    fn tell(&self, attempt: &AttemptRef, event: WorkerEvent) {
        let now = self.clock.now();
        self.state.borrow_mut().runner.on_worker_event(attempt, event, now);
        self.work.notify_one();
    }

    async fn carry_out(self: Rc<Self>, effect: RunnerEffect) {
        match effect {
            RunnerEffect::Start { attempt, spec, checkpoint, until } => {
                let lease_until_ms = self.on_worker_clock(until);
                let task = StartTask {
                    attempt: attempt.clone(),
                    service: spec.service.to_string(),
                    profile: spec.profile.to_string(),
                    resources: spec.resources,
                    payload: spec.payload.clone(),
                    checkpoint,
                    lease_until_ms,
                };
                limited!(Info, "runner: start {attempt}.");
                self.metrics.starts.inc();
                let event = match self.worker.start(self.hello.incarnation, &task).await {
                    Ok(()) => WorkerEvent::Started,
                    Err(error) if error.is_unreachable() => WorkerEvent::StartUnknown,
                    Err(error) => {
                        limited!(Warn, "runner: {attempt} did not start: {error}");
                        self.metrics.starts_failed.inc();
                        self.note(&error);
                        WorkerEvent::StartRefused
                    }
                };
                self.tell(&attempt, event);
            }
            RunnerEffect::Stop { attempt } => self.stop(attempt).await,
            RunnerEffect::Throttle { attempt, percent } => {
                let done = self.worker.throttle(self.hello.incarnation, &attempt, percent).await;
                self.note_result(done);
            }
            RunnerEffect::Checkpoint { attempt } => {
                let done = self.worker.checkpoint(self.hello.incarnation, &attempt).await;
                self.note_result(done.map(drop));
            }
            RunnerEffect::Forget { attempt } => {
                let done = self.worker.forget(self.hello.incarnation, &attempt).await;
                self.state.borrow_mut().tasks.remove(&attempt);
                self.note_result(done);
            }
            RunnerEffect::Renew { .. } | RunnerEffect::Sync => {}
        }
    }

    async fn stop(&self, attempt: AttemptRef) {
        if !self.state.borrow_mut().calling.insert(attempt.clone()) {
            return;
        }
        limited!(Info, "runner: stop {attempt}.");
        let stopped = self.worker.stop(self.hello.incarnation, &attempt).await;
        self.state.borrow_mut().calling.remove(&attempt);
        match stopped {
            Ok(state) => match end_of(&state) {
                Some(end) => self.tell(&attempt, WorkerEvent::Ended { end }),
                None => self.tell(&attempt, WorkerEvent::StopUnknown),
            },
            Err(error) if error.is_unknown_task() => self.tell(&attempt, WorkerEvent::Absent),
            Err(error) => {
                self.note(&error);
                self.tell(&attempt, WorkerEvent::StopUnknown);
            }
        }
    }

    fn note_result(&self, result: Result<(), WorkerError>) {
        if let Err(error) = result {
            self.note(&error);
        }
    }

    fn note(&self, error: &WorkerError) {
        log::debug!("runner: {error}");
        if error.is_superseded() {
            log::error!("runner: a later agent owns the worker; this one stops.");
            self.shutdown.drain_token().cancel();
            self.shutdown.stop_token().cancel();
        }
    }

    /// Learns from the worker which tasks have ended and what progress the others make.
    async fn watch_worker(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(REPORT_MS)).await;
            match self.worker.report().await {
                Ok(report) => self.take_report(report),
                Err(error) => self.note(&error),
            }
        }
    }

    fn take_report(&self, report: WorkerReport) {
        if report.incarnation > self.hello.incarnation {
            return self.note(&WorkerError::superseded());
        }
        for task in &report.tasks {
            if let Some(end) = end_of(&task.state) {
                self.tell(&task.attempt, WorkerEvent::Ended { end });
            }
        }
        let worker_clock = WorkerClock { clock_ms: report.clock_ms, read_at: self.clock.now() };
        let tasks = report.tasks.into_iter().map(|task| (task.attempt.clone(), task)).collect();
        let state = &mut *self.state.borrow_mut();
        state.tasks = tasks;
        state.worker_clock = worker_clock;
    }

    async fn collect_usage(self: Rc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(USAGE_MS)).await;
            let Ok(samples) = self.worker.usage().await else { continue };
            let reports: Vec<UsageReport> = samples.into_iter().filter_map(usage_report).collect();
            for link in self.state.borrow_mut().links.values_mut() {
                link.usage.extend(reports.iter().cloned());
                let surplus = link.usage.len().saturating_sub(MAX_USAGE_BACKLOG);
                link.usage.drain(..surplus);
            }
        }
    }

    fn heartbeat(&self, address: SocketAddr, wait_ms: u64) -> (Heartbeat, TimeMs) {
        let now = self.clock.now();
        let state = &mut *self.state.borrow_mut();
        let sync = state.runner.sync_request(now);
        let usage = state.links.get_mut(&address).map(|link| std::mem::take(&mut link.usage)).unwrap_or_default();
        let running = state.tasks.values().filter_map(|task| running(task, &state.runner)).collect();
        let config_version = state.runner.config_version();
        let endpoints = self.host.reports();
        (Heartbeat { sync, running, endpoints, usage, config_version, wait_ms }, now)
    }

    fn take_reply(self: &Rc<Self>, reply: HeartbeatReply) {
        let now = self.clock.now();
        let addresses: Vec<_> = reply.entries.iter().map(|entry| entry.address).collect();
        self.state.borrow_mut().runner.sync_reply(reply.sync, now);
        self.link_to(&addresses);
        self.shutdown.set_ready(true);
        self.state.borrow_mut().answered_at = now;
        self.work.notify_one();
    }
}

fn adopted(task: &WorkerTask) -> Adopted {
    Adopted {
        attempt: task.attempt.clone(),
        resources: task.resources,
        percent: task.throttle_percent,
        end: end_of(&task.state),
    }
}

fn end_of(state: &WorkerTaskState) -> Option<WorkerEnd> {
    match state {
        WorkerTaskState::Running => None,
        WorkerTaskState::Succeeded => Some(WorkerEnd::Succeeded),
        WorkerTaskState::Failed { reason } => Some(WorkerEnd::Failed { reason: reason.clone() }),
        WorkerTaskState::Stopped { checkpoint } => Some(WorkerEnd::Stopped { checkpoint: checkpoint.clone() }),
    }
}

fn running(task: &WorkerTask, runner: &TaskRunner) -> Option<RunningAttempt> {
    if task.state != WorkerTaskState::Running {
        return None;
    }
    Some(RunningAttempt {
        attempt: task.attempt.clone(),
        profile: ProfileName::new(&task.profile).ok()?,
        resources: task.resources,
        throttle_percent: task.throttle_percent,
        progress: task.progress,
        frozen: runner.is_frozen(&task.attempt),
    })
}

fn usage_report(sample: UsageSample) -> Option<UsageReport> {
    let sane = sample.slowdown.is_finite() && sample.slowdown >= 0.0;
    Some(UsageReport {
        profile: ProfileName::new(&sample.profile).ok().filter(|_| sane)?,
        attempt: sample.attempt,
        age_ms: sample.age_ms,
        interval_ms: sample.interval_ms,
        cpu_milli: sample.cpu_milli,
        memory_mib: sample.memory_mib,
        slowdown: sample.slowdown,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a lease that becomes longer because the call that renews it is sent or arrives late.
    #[test]
    fn a_lease_ends_at_a_time_of_the_workers_clock() {
        let clock = WorkerClock { clock_ms: 90_000, read_at: TimeMs(1_000) };
        let lease = LeaseSettings { drift_ppm: 0, ..LeaseSettings::default() };
        assert!(clock.at(TimeMs(4_000), &lease) <= 93_000);
        assert!(clock.at(TimeMs(4_000), &lease) >= 92_990);
        assert_eq!(clock.at(TimeMs(500), &lease), 90_000, "it has run out already");
    }
}
