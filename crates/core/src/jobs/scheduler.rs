/*!
The leader's decisions.

Events change the state at once and mark jobs as changed. [`Scheduler::take_batch`] hands out the changed jobs together with the
effects that rest on them; the caller stores the jobs first and carries out the effects once the store has answered. An
order that reaches a host is therefore always explained by a stored record, and an end is forgotten by its host only after
the store has it.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{
    hosts::{Host, HostInfo, HostName, Link},
    image_interference::ImageInterference,
    lease::LeasePlan,
    progress::{JobProgress, Phase, TaskState},
    replica::Replica,
    spec::{JobId, JobSpec, QueueSettings, TaskRef},
};
use crate::units::TimeMs;

mod images;
mod moving;
mod placing;

plain! {
    /// A time, on both clocks.
    #[derive(Copy, Default)]
    pub struct Moment {
        /// The monotonic clock of this process.
        pub at: TimeMs,
        /// Milliseconds since 1970.
        pub unix_ms: u64,
    }

    /// How a run ended.
    #[derive(Copy)]
    pub enum RunOutcome {
        /// It succeeded.
        Done,
        /// It failed, by its own fault or that of the host.
        Failed,
        /// It was stopped, its lease ended, or its gang broke up. This says nothing about the task.
        Interrupted,
    }

    /// The end of a run as a host reports it.
    pub struct RunEnd {
        /// The number of the end within the incarnation of the host's endpoint.
        pub number: u64,
        /// The task.
        pub task: TaskRef,
        /// The run.
        pub run: u32,
        /// How it ended.
        pub end: RunOutcome,
        /// The latest checkpoint, if there is one.
        pub checkpoint: Option<String>,
    }

    /// Why a host did not start a run. The run does not exist and never will.
    #[derive(Copy)]
    pub enum Rejection {
        /// There is no room.
        NoRoom,
        /// The endpoint is unhealthy or leaving.
        Unhealthy,
        /// The endpoint has seen this run or a later one end.
        Outdated,
        /// The endpoint does not accept the order itself.
        Malformed,
    }

    /// What is to be done once the records handed out with it are stored.
    pub enum Effect {
        /// Start a run, or describe it to the host again if it is there already.
        Start {
            /// Where.
            host: HostName,
            /// The incarnation of the host's endpoint.
            incarnation: u64,
            /// The task.
            task: TaskRef,
            /// The run.
            run: u32,
            /// The job, for the payload and the step.
            spec: Arc<JobSpec>,
            /// The checkpoint to go on from.
            checkpoint: Option<String>,
        },
        /// Stop a run if it is there, and keep it from starting if it is not.
        Stop {
            /// Where.
            host: HostName,
            /// The task.
            task: TaskRef,
            /// The run.
            run: u32,
        },
        /// Stop a run that is slowed, so that it goes on elsewhere.
        Move {
            /// Where it runs.
            host: HostName,
            /// The task.
            task: TaskRef,
            /// The run.
            run: u32,
        },
        /// The ends up to this number are stored; the host may forget them.
        Forget {
            /// Which host.
            host: HostName,
            /// The incarnation of the host's endpoint.
            incarnation: u64,
            /// The number of the latest such end.
            up_to: u64,
        },
    }

    /// Jobs to store, then effects to carry out.
    #[derive(Default)]
    pub struct Batch {
        /// The changed jobs.
        pub records: Vec<(JobId, JobProgress)>,
        /// What rests on them.
        pub effects: Vec<Effect>,
    }
}

/// A step of one occurrence with tasks that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyKey {
    priority: u8,
    /// When the occurrence should have ended.
    objective_unix_ms: u64,
    /// The order in which the jobs were accepted.
    accepted: u64,
    job: JobId,
    occurrence: u32,
    step: u32,
}

impl ReadyKey {
    /// The order in which steps are served: by priority, then the earliest objective first. One that has been missed already
    /// comes after those that can still be met.
    fn rank(&self, now: Moment) -> impl Ord + use<> {
        (self.priority, self.objective_unix_ms < now.unix_ms, *self)
    }
}

#[derive(Debug)]
struct Job {
    spec: Arc<JobSpec>,
    progress: JobProgress,
    accepted: u64,
    ready: Vec<ReadyKey>,
    /// How many runs may exist.
    assigned: usize,
    /// Since when no run exists although a task may run.
    idle_since: Option<TimeMs>,
    /// Hosts on which runs of a task have failed.
    failed_on: BTreeMap<TaskRef, BTreeSet<HostName>>,
}

/// The leader's state.
#[derive(Debug)]
pub struct Scheduler {
    plan: LeasePlan,
    queues: BTreeMap<String, QueueSettings>,
    zones_out: BTreeSet<String>,
    jobs: BTreeMap<JobId, Job>,
    hosts: BTreeMap<HostName, Host>,
    ready: BTreeSet<ReadyKey>,
    /// Occurrences that are not due yet, by the time when they are.
    due: BTreeSet<(u64, JobId)>,
    accepted: u64,
    changed: BTreeSet<JobId>,
    effects: Vec<Effect>,
    place_again: bool,
    /// When waiting steps are next compared with all hosts.
    place_at: TimeMs,
    /// Steps that were compared with all hosts. Only hosts that have changed since can take their tasks.
    compared: BTreeSet<ReadyKey>,
    /// Hosts that may take more than at the last pass.
    changed_hosts: BTreeSet<HostName>,
    disturbances: ImageInterference,
    tell_at: TimeMs,
    move_at: TimeMs,
}

impl Scheduler {
    /// Takes over from the records that are stored. `known_hosts` are the hosts that may run something.
    pub fn new(
        plan: LeasePlan,
        replica: &Replica,
        known_hosts: impl IntoIterator<Item = HostName>,
        now: Moment,
    ) -> Self {
        let mut scheduler = Self {
            plan,
            queues: BTreeMap::new(),
            zones_out: BTreeSet::new(),
            jobs: BTreeMap::new(),
            hosts: BTreeMap::new(),
            ready: BTreeSet::new(),
            due: BTreeSet::new(),
            accepted: 0,
            changed: BTreeSet::new(),
            effects: Vec::new(),
            place_again: true,
            place_at: now.at,
            compared: BTreeSet::new(),
            changed_hosts: BTreeSet::new(),
            disturbances: ImageInterference::new(),
            tell_at: now.at,
            move_at: now.at,
        };
        let silent = Link::Silent { lost_at: plan.lost_after_takeover(now.at) };
        for host in known_hosts {
            scheduler.hosts.insert(host, Host::new(silent));
        }
        for (job, copy) in replica.jobs() {
            let Some(spec) = copy.spec.clone() else { continue };
            let progress = copy.progress.clone().filter(|progress| progress.matches_spec(&spec));
            scheduler.restore(job, spec, progress, silent, now);
            if copy.cancelled {
                scheduler.job_cancelled(job, now);
            }
        }
        scheduler
    }

    fn restore(&mut self, id: JobId, spec: Arc<JobSpec>, progress: Option<JobProgress>, silent: Link, now: Moment) {
        let progress = progress.unwrap_or_else(|| JobProgress::new(&spec));
        for (task, host, incarnation, run) in assigned(id, &progress) {
            let host = self.hosts.entry(host).or_insert_with(|| Host::new(silent));
            // Only one incarnation of an endpoint is alive, the latest. Runs on earlier ones are found to be gone when the
            // host is compared with its assignments.
            host.incarnation = host.incarnation.max(Some(incarnation));
            if let Some(step) = spec.steps.get(task.step as usize) {
                let image = step.image.as_deref().map(|image| self.disturbances.image_id(image));
                host.add(task, run, step, image);
            }
        }
        self.accepted += 1;
        let assigned = assigned(id, &progress).len();
        let job = Job {
            spec,
            progress,
            accepted: self.accepted,
            ready: Vec::new(),
            assigned,
            idle_since: None,
            failed_on: BTreeMap::new(),
        };
        self.jobs.insert(id, job);
        self.refresh(id, now);
    }

    /// A configuration came into force: the queues by name.
    pub fn set_queues(&mut self, queues: BTreeMap<String, QueueSettings>, now: Moment) {
        self.queues = queues;
        self.compared.clear();
        let jobs: Vec<_> = self.jobs.keys().copied().collect();
        jobs.into_iter().for_each(|job| self.refresh(job, now));
    }

    /// The availability zones that are out of service.
    pub fn set_zones_out(&mut self, zones_out: BTreeSet<String>) {
        self.zones_out = zones_out;
        self.compared.clear();
        self.place_again = true;
    }

    /// A client submitted a job. Known ids are left as they are.
    pub fn job_submitted(&mut self, id: JobId, spec: Arc<JobSpec>, now: Moment) {
        if !self.jobs.contains_key(&id) {
            self.restore(id, spec, None, Link::Lost, now);
        }
    }

    /// A client cancelled a job.
    pub fn job_cancelled(&mut self, id: JobId, now: Moment) {
        if self.jobs.get(&id).is_some_and(|job| job.progress.phase == Phase::Active) {
            self.end_job(id, Phase::Cancelled, now);
        }
    }

    /// A host is known to exist.
    pub fn host_discovered(&mut self, host: &HostName) {
        self.hosts.entry(host.clone()).or_insert_with(|| Host::new(Link::Lost));
    }

    /// A session with a host opened. Nothing starts there until [`Self::reconcile_host`].
    pub fn host_connected(&mut self, name: &HostName) {
        let host = self.hosts.entry(name.clone()).or_insert_with(|| Host::new(Link::Lost));
        host.link = Link::Connected;
        host.reconciled = false;
        host.told.clear();
    }

    /// The session with a host ended. `answered` is when the leader last answered the host, if it ever did.
    pub fn host_disconnected(&mut self, name: &HostName, answered: Option<TimeMs>, now: Moment) {
        let plan = self.plan;
        if let Some(host) = self.hosts.get_mut(name) {
            let lost_at = answered.map_or(plan.lost_after_takeover(now.at), |at| plan.lost_after_answer(at));
            host.link = Link::Silent { lost_at };
            host.reconciled = false;
        }
    }

    /// What a host's endpoint says of itself; `None` if it does not speak.
    pub fn host_info_changed(&mut self, name: &HostName, info: Option<HostInfo>) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.info = info;
            self.host_changed(name);
        }
    }

    /// What runs on a host, after all ends that the host had to report. Runs that the leader knows nothing of are stopped;
    /// runs that are assigned are started or described again.
    pub fn reconcile_host(&mut self, name: &HostName, incarnation: u64, running: &[(TaskRef, u32)], now: Moment) {
        if self.hosts.get(name).is_some_and(|host| host.incarnation != Some(incarnation)) {
            self.host_lost(name, now);
        }
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.incarnation = Some(incarnation);
        host.reconciled = true;
        // A stop of the session before may have been lost.
        host.tasks.values_mut().for_each(|placed| placed.moving = false);
        let placed: Vec<_> = host.tasks.iter().map(|(task, placed)| (*task, placed.run)).collect();
        for (task, run) in placed {
            let job = self.jobs.get(&task.job);
            let current = job.and_then(|job| Some((job, job.progress.task(&task)?)));
            match current {
                Some((job, progress)) if progress.is_assigned_to(name, incarnation, run) => {
                    if job.progress.phase == Phase::Active {
                        self.effects.push(Effect::Start {
                            host: name.clone(),
                            incarnation,
                            task,
                            run,
                            spec: job.spec.clone(),
                            checkpoint: progress.checkpoint.clone(),
                        });
                    } else {
                        self.effects.push(Effect::Stop { host: name.clone(), task, run });
                    }
                }
                // Assigned to an earlier incarnation of this host, which is gone.
                _ => {
                    self.run_gone(name, &task, RunOutcome::Interrupted, None, now);
                }
            }
        }
        let host = &self.hosts[name];
        for &(task, run) in running {
            if host.tasks.get(&task).is_none_or(|placed| placed.run != run) {
                self.effects.push(Effect::Stop { host: name.clone(), task, run });
            }
        }
        self.host_changed(name);
    }

    /// A run ended.
    pub fn run_ended(&mut self, name: &HostName, incarnation: u64, ended: &RunEnd, now: Moment) {
        let job = self.jobs.get(&ended.task.job);
        let at_host = job
            .and_then(|job| job.progress.task(&ended.task))
            .is_some_and(|task| task.is_assigned_to(name, incarnation, ended.run));
        if at_host {
            if ended.end != RunOutcome::Interrupted
                && let Some(host) = self.hosts.get_mut(name)
            {
                host.ended(ended.end == RunOutcome::Failed, now.at);
            }
            self.run_gone(name, &ended.task, ended.end, ended.checkpoint.clone(), now);
        }
        self.effects.push(Effect::Forget { host: name.clone(), incarnation, up_to: ended.number });
    }

    /// A host did not start a run.
    pub fn run_rejected(
        &mut self,
        name: &HostName,
        incarnation: u64,
        task: &TaskRef,
        run: u32,
        reason: Rejection,
        now: Moment,
    ) {
        let job = self.jobs.get(&task.job);
        let at_host =
            job.and_then(|job| job.progress.task(task)).is_some_and(|t| t.is_assigned_to(name, incarnation, run));
        if !at_host {
            return;
        }
        if reason != Rejection::Outdated
            && let Some(host) = self.hosts.get_mut(name)
        {
            host.refused(now.at);
        }
        let end = if reason == Rejection::Malformed { RunOutcome::Failed } else { RunOutcome::Interrupted };
        self.run_gone(name, task, end, None, now);
    }

    /// A checkpoint of a run that goes on.
    pub fn checkpoint_saved(
        &mut self,
        name: &HostName,
        incarnation: u64,
        task: &TaskRef,
        run: u32,
        checkpoint: String,
    ) {
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(progress) = job.progress.task_mut(task)
            && progress.is_assigned_to(name, incarnation, run)
        {
            // Stored with the next change of the job; until then it is only known to this leader and to the host.
            progress.checkpoint = Some(checkpoint);
        }
    }

    /// All runs on a host are gone.
    pub fn host_lost(&mut self, name: &HostName, now: Moment) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        if host.link != Link::Connected {
            host.link = Link::Lost;
        }
        let tasks: Vec<_> = host.tasks.keys().copied().collect();
        for task in tasks {
            self.run_gone(name, &task, RunOutcome::Interrupted, None, now);
        }
    }

    /// Finds hosts whose leases have ended, makes due occurrences ready, and places what waits.
    pub fn tick(&mut self, now: Moment) {
        let lost: Vec<_> = self
            .hosts
            .iter()
            .filter(|(_, host)| matches!(host.link, Link::Silent { lost_at } if lost_at <= now.at))
            .map(|(name, _)| name.clone())
            .collect();
        lost.iter().for_each(|name| self.host_lost(name, now));
        while let Some(&(at, job)) = self.due.first().filter(|(at, _)| *at <= now.unix_ms) {
            self.due.remove(&(at, job));
            self.refresh(job, now);
        }
        self.place(now);
        self.move_slowed(now.at);
    }

    /// The hosts that are silent with runs on them that have not been given up.
    pub fn silent_hosts(&self) -> impl Iterator<Item = (&HostName, usize)> {
        self.hosts
            .iter()
            .filter(|(_, host)| matches!(host.link, Link::Silent { .. }) && !host.tasks.is_empty())
            .map(|(name, host)| (name, host.tasks.len()))
    }

    /// The number of hosts with a session.
    pub fn connected_hosts(&self) -> usize {
        self.hosts.values().filter(|host| host.link == Link::Connected).count()
    }

    /// The number of steps with waiting tasks.
    pub fn waiting_steps(&self) -> usize {
        self.ready.len()
    }

    /// Whether there is anything to store or to carry out.
    pub fn has_output(&self) -> bool {
        !self.changed.is_empty() || !self.effects.is_empty()
    }

    /// Takes the changed jobs and the effects that rest on them.
    pub fn take_batch(&mut self) -> Batch {
        let changed = std::mem::take(&mut self.changed);
        let records =
            changed.into_iter().filter_map(|id| self.jobs.get(&id).map(|job| (id, job.progress.clone()))).collect();
        Batch { records, effects: std::mem::take(&mut self.effects) }
    }

    /// A host may take more than before.
    fn host_changed(&mut self, name: &HostName) {
        self.changed_hosts.insert(name.clone());
        self.place_again = true;
    }

    /// The run of `task` on `host` is gone; the task waits again, or has ended.
    fn run_gone(&mut self, name: &HostName, task: &TaskRef, end: RunOutcome, checkpoint: Option<String>, now: Moment) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.remove(task);
        }
        self.host_changed(name);
        let max_failures = self.max_failures(&task.job);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(step) = job.spec.steps.get(task.step as usize).cloned() else { return };
        let Some(progress) = job.progress.task_mut(task) else { return };
        if checkpoint.is_some() {
            progress.checkpoint = checkpoint;
        }
        let run = progress.run;
        if matches!(progress.state, TaskState::Assigned { .. }) {
            job.assigned -= 1;
        }
        progress.state = TaskState::Waiting;
        let mut failed = false;
        match end {
            RunOutcome::Done => progress.state = TaskState::Done,
            RunOutcome::Failed => {
                progress.failures += 1;
                failed = !step.long_running && progress.failures >= max_failures;
                job.failed_on.entry(*task).or_default().insert(name.clone());
            }
            RunOutcome::Interrupted => {}
        }
        self.changed.insert(task.job);
        if end == RunOutcome::Done && step.gang {
            self.gang_done(task, run);
        }
        let job = &self.jobs[&task.job];
        if job.progress.phase == Phase::Active {
            if failed {
                self.end_job(task.job, Phase::Failed, now);
            } else if job.progress.all_done() {
                self.end_job(task.job, Phase::Completed, now);
            } else {
                self.refresh(task.job, now);
            }
        }
    }

    /// One member of a gang succeeded, so all of that run did.
    fn gang_done(&mut self, task: &TaskRef, run: u32) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let tasks = &mut job.progress.occurrences[task.occurrence as usize][task.step as usize];
        for (index, progress) in tasks.iter_mut().enumerate().filter(|(_, progress)| progress.run == run) {
            if let TaskState::Assigned { host, .. } = &progress.state {
                job.assigned -= 1;
                if let Some(host) = self.hosts.get_mut(host) {
                    host.remove(&TaskRef { index: index as u32, ..*task });
                }
                self.changed_hosts.insert(host.clone());
            }
            progress.state = TaskState::Done;
        }
    }

    /// Ends a job and stops what still runs of it.
    fn end_job(&mut self, id: JobId, phase: Phase, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.progress.phase = phase;
        for (task, host, _, run) in assigned(id, &job.progress) {
            self.effects.push(Effect::Stop { host, task, run });
        }
        self.changed.insert(id);
        self.refresh(id, now);
    }

    fn settings<'s>(&'s self, spec: &'s JobSpec) -> &'s QueueSettings {
        self.queues.get(&spec.queue).unwrap_or(&spec.settings)
    }

    fn max_failures(&self, id: &JobId) -> u32 {
        self.jobs.get(id).map_or(1, |job| self.settings(&job.spec).max_failures.max(1))
    }

    /// Finds the steps of a job that have waiting tasks and may run.
    fn refresh(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get(&id) else { return };
        let settings = self.settings(&job.spec).clone();
        let priority = settings.priority;
        let accepted = job.accepted;
        let mut ready = Vec::new();
        if job.progress.phase == Phase::Active {
            for (occurrence, steps) in (0..).zip(&job.progress.occurrences) {
                if let Some(due) = job.spec.due_unix_ms(occurrence).filter(|due| *due > now.unix_ms) {
                    self.due.insert((due, id));
                    continue;
                }
                let objective_unix_ms = job.spec.objective_unix_ms(occurrence, &settings);
                for (step, tasks) in (0..).zip(steps) {
                    let waits = tasks.iter().any(|task| task.state == TaskState::Waiting);
                    let after = &job.spec.steps[step as usize].after;
                    if waits && after.iter().all(|&on| job.progress.step_done(occurrence, on)) {
                        ready.push(ReadyKey { priority, objective_unix_ms, accepted, job: id, occurrence, step });
                    }
                }
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        for key in job.ready.drain(..) {
            self.ready.remove(&key);
        }
        self.ready.extend(ready.iter().copied());
        job.ready = ready;
        if job.ready.is_empty() || job.assigned > 0 {
            job.idle_since = None;
        } else if job.idle_since.is_none() {
            job.idle_since = Some(now.at);
        }
        self.place_again = true;
    }
}

/// The runs of a job that may exist.
fn assigned(job: JobId, progress: &JobProgress) -> Vec<(TaskRef, HostName, u64, u32)> {
    let mut found = Vec::new();
    for (occurrence, steps) in (0..).zip(&progress.occurrences) {
        for (step, tasks) in (0..).zip(steps) {
            for (index, task) in (0..).zip(tasks) {
                if let TaskState::Assigned { host, incarnation } = &task.state {
                    found.push((TaskRef { job, occurrence, step, index }, host.clone(), *incarnation, task.run));
                }
            }
        }
    }
    found
}
