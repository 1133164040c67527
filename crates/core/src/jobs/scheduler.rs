/*!
The leader's scheduling state machine.

Events change the state at once and mark jobs as changed. [`Scheduler::take_batch`] returns the changed jobs together
with the effects that depend on them. The caller stores the jobs first and carries out the effects once the store has
acknowledged the records. Every command that reaches a host is therefore backed by a stored record, and a host discards
the end of a run only after it is stored.
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
    run_times::RunTimes,
    spec::{JobId, JobSpec, QueueSettings, TaskRef},
};
use crate::units::TimeMs;

mod crashes;
mod departures;
mod expectations;
mod images;
mod moving;
mod order;
mod placing;
mod reservations;
mod runs;
mod sessions;
mod started;
mod suspicions;
mod trials;

pub(super) use crashes::QUIET_MS;
pub use crashes::{CountedCrash, SUSPECT_AGE_MS, TRIAL_MS};
use departures::DepartingWork;
pub(super) use order::MeanWork;
pub use order::StepRef;
use order::{Durations, ReadyKey, Urgency};
pub(super) use reservations::RoomReservation;
pub use reservations::{MAX_BACKFILL_MS, MAX_PASSED_OVER_MS, ReservationChange};
pub use sessions::StartCheck;
pub use suspicions::Suspicion;

plain! {
    /// The current time on the monotonic clock and on the wall clock.
    #[derive(Copy, Default)]
    pub struct Moment {
        /// The time on the monotonic clock of this process.
        pub at: TimeMs,
        /// The wall-clock time in milliseconds since the Unix epoch.
        pub unix_ms: u64,
    }

    /// How a run ended.
    #[derive(Copy)]
    pub enum RunOutcome {
        /// The run succeeded.
        Done,
        /// The run failed, because of the task or of the host.
        Failed,
        /// The run was stopped, its lease expired, or its gang was dissolved. Does not count as a failure of the task.
        Interrupted,
    }

    /// A host's report of the end of a run.
    pub struct RunEnd {
        /// The sequence number of the report within the incarnation of the host's endpoint.
        pub number: u64,
        /// The task that the run executed.
        pub task: TaskRef,
        /// The number of the run; each run of a task has a higher number than the one before.
        pub run: u32,
        /// The outcome of the run.
        pub end: RunOutcome,
        /// The latest checkpoint; absent if the run saved none.
        pub checkpoint: Option<String>,
    }

    /// Why a host rejected a run. The run does not exist and never will.
    #[derive(Copy)]
    pub enum Rejection {
        /// The host has too few free resources.
        NoRoom,
        /// The endpoint is unhealthy or shutting down.
        Unhealthy,
        /// The endpoint has already seen the end of this run or of a later one.
        Outdated,
        /// The command is invalid for the endpoint; counts as a failure of the task.
        Malformed,
    }

    /// Why a task is moved to another host.
    #[derive(Copy)]
    pub enum MoveReason {
        /// Its host slows its image to protect serving tasks.
        Throttled,
        /// The endpoint of its host ends as planned, before the task would.
        Departure,
    }

    /// A command to a host, which may be sent only after the records of its [`Batch`] are stored.
    pub enum Effect {
        /// Start a run, or send its description again if it exists already.
        Start {
            /// The host that the run is assigned to.
            host: HostName,
            /// The incarnation of the host's endpoint; any other one ignores the command.
            incarnation: u64,
            /// The task to run.
            task: TaskRef,
            /// The number of the run; each run of a task has a higher number than the one before.
            run: u32,
            /// The job, which holds the payload and the step.
            spec: Arc<JobSpec>,
            /// The checkpoint to resume from; absent for a start from the beginning.
            checkpoint: Option<String>,
            /// Whether the host has reported the run, so that the command only describes it again.
            reported: bool,
        },
        /// Stop a run, or prevent it from starting later if it does not exist yet.
        Stop {
            /// The host to send the command to.
            host: HostName,
            /// The task that the run executes.
            task: TaskRef,
            /// The number of the run; each run of a task has a higher number than the one before.
            run: u32,
        },
        /// Stop a run so that the task resumes on another host.
        Move {
            /// The host that executes the run.
            host: HostName,
            /// The task to move.
            task: TaskRef,
            /// The number of the run; each run of a task has a higher number than the one before.
            run: u32,
            /// Why the task is moved.
            reason: MoveReason,
        },
        /// Acknowledge reports of ends of runs, which the host may then discard.
        Forget {
            /// The host that sent the reports.
            host: HostName,
            /// The incarnation of the host's endpoint that the numbers belong to.
            incarnation: u64,
            /// The highest acknowledged [`RunEnd::number`]; covers all lower ones.
            up_to: u64,
        },
    }

    /// Records to store, and the effects to carry out afterwards.
    #[derive(Default)]
    pub struct Batch {
        /// The state of each changed job, at most one record per job.
        pub records: Vec<(JobId, JobProgress)>,
        /// The commands to send once all records are stored.
        pub effects: Vec<Effect>,
    }
}

#[derive(Debug)]
struct Job {
    spec: Arc<JobSpec>,
    progress: JobProgress,
    accepted: u64,
    ready: Vec<ReadyKey>,
    /// The number of runs that may exist.
    assigned: usize,
    /// Since when no run has existed although a task is ready; `None` otherwise.
    idle_since: Option<TimeMs>,
    /// The hosts on which runs of each task have failed, or whose endpoints have crashed right after their start.
    failed_on: BTreeMap<TaskRef, BTreeSet<HostName>>,
}

/// The leader's state, and its decisions for all jobs and hosts.
#[derive(Debug)]
pub struct Scheduler {
    plan: LeasePlan,
    queues: BTreeMap<String, QueueSettings>,
    zones_out: BTreeSet<String>,
    jobs: BTreeMap<JobId, Job>,
    hosts: BTreeMap<HostName, Host>,
    ready: BTreeSet<ReadyKey>,
    /// Jobs with future occurrences, by their due time in milliseconds since the Unix epoch.
    due: BTreeSet<(u64, JobId)>,
    /// The sequence number of the job that was added last.
    accepted: u64,
    changed: BTreeSet<JobId>,
    /// Jobs whose first start has yet to be stored, and when it is stored at the latest.
    unstored_starts: BTreeMap<JobId, TimeMs>,
    effects: Vec<Effect>,
    placement_needed: bool,
    /// When waiting steps are next matched against all hosts.
    full_placement_at: TimeMs,
    /// Steps that were matched against all hosts since the last full placement. Only hosts that changed afterwards can
    /// run their tasks.
    matched_steps: BTreeSet<StepRef>,
    /// Hosts that may have become able to run more tasks since the last placement.
    changed_hosts: BTreeSet<HostName>,
    interference: ImageInterference,
    send_pairs_at: TimeMs,
    move_at: TimeMs,
    /// When hosts are next searched for tasks on hosts whose endpoints end as planned.
    search_targets_at: TimeMs,
    mean_work: MeanWork,
    /// Since when waiting steps have been passed over by less urgent ones.
    passed_over: BTreeMap<StepRef, TimeMs>,
    /// The steps that hold reservations of room, and since when.
    reservations: BTreeMap<StepRef, TimeMs>,
    /// Changes of [`Self::reservations`] that the caller has not taken.
    reservation_changes: Vec<ReservationChange>,
    run_times: RunTimes,
    /// When slow runs are next searched for.
    slow_runs_at: TimeMs,
    /// Since when tasks on trial have had turns without a host; the first member stands for its gang.
    trial_waits: BTreeMap<TaskRef, TimeMs>,
    /// The suspicions of hosts whose endpoints refuse connections.
    suspicions: BTreeMap<HostName, Suspicion>,
    /// All tasks in [`Self::suspicions`].
    suspected_tasks: BTreeSet<TaskRef>,
}

impl Scheduler {
    /// Restores the state from the stored records. `known_hosts` are the hosts that may execute runs.
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
            unstored_starts: BTreeMap::new(),
            effects: Vec::new(),
            placement_needed: true,
            full_placement_at: now.at,
            matched_steps: BTreeSet::new(),
            changed_hosts: BTreeSet::new(),
            interference: ImageInterference::new(),
            send_pairs_at: now.at,
            move_at: now.at,
            search_targets_at: now.at,
            mean_work: replica.mean_work().clone(),
            passed_over: BTreeMap::new(),
            reservations: BTreeMap::new(),
            reservation_changes: Vec::new(),
            run_times: RunTimes::default(),
            slow_runs_at: now.at,
            trial_waits: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            suspected_tasks: BTreeSet::new(),
        };
        let unreachable = Link::Unreachable { lost_at: plan.lost_after_takeover(now.at) };
        for host in known_hosts {
            scheduler.hosts.insert(host, Host::new(unreachable));
        }
        for (job, copy) in replica.jobs() {
            let Some(spec) = copy.spec.clone() else { continue };
            let progress = copy.progress.clone().filter(|progress| progress.matches_spec(&spec));
            scheduler.restore(job, spec, progress, unreachable, now);
            if copy.cancelled {
                scheduler.job_cancelled(job, now);
            }
        }
        scheduler
    }

    fn restore(
        &mut self,
        id: JobId,
        spec: Arc<JobSpec>,
        progress: Option<JobProgress>,
        unreachable: Link,
        now: Moment,
    ) {
        let progress = progress.unwrap_or_else(|| JobProgress::new(&spec));
        for (task, host, incarnation, run) in assigned_runs(id, &progress) {
            let host = self.hosts.entry(host).or_insert_with(|| Host::new(unreachable));
            // Only the latest incarnation of an endpoint is alive. Runs on earlier ones are removed when the host is
            // reconciled with its assignments.
            host.incarnation = host.incarnation.max(Some(incarnation));
            if let Some(step) = spec.steps.get(task.step as usize) {
                let image = step.image.as_deref().map(|image| self.interference.image_id(image));
                host.add(task, run, step, image);
                host.record_assignment(progress.has_counted_crash(&task, step.gang), now.at);
            }
        }
        self.accepted += 1;
        let runs = assigned_runs(id, &progress);
        let assigned = runs.len();
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
        for (task, host, _, run) in &runs {
            self.record_run(task, *run, host, true, now.at);
        }
        self.refresh_job(id, now);
    }

    /// Sets the queues of a new configuration, by name.
    pub fn set_queues(&mut self, queues: BTreeMap<String, QueueSettings>, now: Moment) {
        self.queues = queues;
        self.matched_steps.clear();
        let jobs: Vec<_> = self.jobs.keys().copied().collect();
        jobs.into_iter().for_each(|job| self.refresh_job(job, now));
    }

    /// Sets the availability zones that are out of service, in which no run starts.
    pub fn set_zones_out(&mut self, zones_out: BTreeSet<String>) {
        self.zones_out = zones_out;
        self.matched_steps.clear();
        self.placement_needed = true;
    }

    /// Handles a client's submission. A job with a known id is not changed.
    pub fn job_submitted(&mut self, id: JobId, spec: Arc<JobSpec>, now: Moment) {
        if !self.jobs.contains_key(&id) {
            self.mean_work.add(&spec);
            self.restore(id, spec, None, Link::Lost, now);
        }
    }

    /// Handles a client's cancellation of a job. A job that has ended is not changed.
    pub fn job_cancelled(&mut self, id: JobId, now: Moment) {
        if self.jobs.get(&id).is_some_and(|job| job.progress.phase == Phase::Active) {
            self.end_job(id, Phase::Cancelled, now);
        }
    }

    /// Handles an endpoint's description of its host; `None` if the endpoint does not respond.
    pub fn host_info_changed(&mut self, name: &HostName, info: Option<HostInfo>) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.info = info;
            self.host_changed(name);
        }
    }

    /// Reconciles the runs that a host reports with those assigned to it, after the host has reported all ends of runs.
    /// Unknown runs are stopped; assigned runs are started, or their description is sent again. A run that is missing on a
    /// host on which no run may start any more is stopped: an earlier order may still start it, so that its task goes
    /// elsewhere only after the host has confirmed the stop. Reported runs that are assigned to another incarnation of the
    /// host are taken over. Returns the crashes that were counted because the report proves them.
    pub fn reconcile_host(
        &mut self,
        name: &HostName,
        incarnation: u64,
        running: &[(TaskRef, u32)],
        now: Moment,
    ) -> Vec<CountedCrash> {
        let proven = self.settle_suspicion(name, incarnation, running, now);
        self.take_over_runs(name, incarnation, running);
        if self.hosts.get(name).is_some_and(|host| host.incarnation != Some(incarnation)) {
            self.end_runs(name, |_, _, on| on == incarnation, now);
        }
        let Some(host) = self.hosts.get_mut(name) else { return proven };
        if host.incarnation.replace(incarnation) != Some(incarnation) {
            self.run_times.forget_host(name);
        }
        host.reconciled = true;
        // A stop command of the previous session may have been lost.
        host.tasks.values_mut().for_each(|placed| placed.moving = false);
        let takes_starts = host.takes_starts(&self.zones_out);
        let placed: Vec<_> = host.tasks.iter().map(|(task, placed)| (*task, placed.run)).collect();
        for (task, run) in placed {
            let job = self.jobs.get(&task.job);
            let current = job.and_then(|job| Some((job, job.progress.task(&task)?)));
            match current {
                Some((job, progress)) if progress.is_assigned_to(name, incarnation, run) => {
                    let reported = running.contains(&(task, run));
                    if job.progress.phase == Phase::Active && (reported || takes_starts) {
                        self.effects.push(Effect::Start {
                            host: name.clone(),
                            incarnation,
                            task,
                            run,
                            spec: job.spec.clone(),
                            checkpoint: progress.checkpoint.clone(),
                            reported,
                        });
                    } else {
                        self.effects.push(Effect::Stop { host: name.clone(), task, run });
                    }
                }
                // Assigned to an earlier incarnation of this host, which no longer exists.
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
        proven
    }

    /// Interrupts the runs of hosts whose leases have expired, makes due occurrences ready, places waiting tasks, and moves
    /// tasks whose endpoints end as planned, and throttled ones. Returns the hosts that count as lost from now on.
    pub fn tick(&mut self, now: Moment) -> Vec<HostName> {
        let lost: Vec<_> = self
            .hosts
            .iter()
            .filter(|(_, host)| matches!(host.link, Link::Unreachable { lost_at } if lost_at <= now.at))
            .map(|(name, _)| name.clone())
            .collect();
        lost.iter().for_each(|name| self.host_lost(name, now));
        while let Some(&(at, job)) = self.due.first().filter(|(at, _)| *at <= now.unix_ms) {
            self.due.remove(&(at, job));
            self.refresh_job(job, now);
        }
        self.store_due_starts(now);
        self.end_trials(now.at);
        self.check_trial_hosts(now.at);
        self.place_moved(now);
        self.move_departing(DepartingWork::LongRunning, now.at);
        self.place(now);
        self.move_departing(DepartingWork::Checkpointing, now.at);
        self.move_throttled(now.at);
        lost
    }

    /// The number of runs assigned to hosts that have an open session but have not reported their runs in it. Nobody knows
    /// whether these runs exist. Linear in the number of hosts.
    pub fn unreported_runs(&self) -> usize {
        let unreported = self.hosts.values().filter(|host| host.link == Link::Connected && !host.reconciled);
        unreported.map(|host| host.tasks.len()).sum()
    }

    /// The number of hosts with an open session.
    pub fn connected_hosts(&self) -> usize {
        self.hosts.values().filter(|host| host.link == Link::Connected).count()
    }

    /// The number of steps that have waiting tasks and whose dependencies have succeeded.
    pub fn waiting_steps(&self) -> usize {
        self.ready.len()
    }

    /// Whether [`Self::take_batch`] would return records or effects.
    pub fn has_output(&self) -> bool {
        !self.changed.is_empty() || !self.effects.is_empty()
    }

    /// Returns the jobs changed since the last call, and the effects that depend on their records. Forgets those that have
    /// ended and of which no run may exist.
    pub fn take_batch(&mut self) -> Batch {
        let changed = std::mem::take(&mut self.changed);
        self.unstored_starts.retain(|id, _| !changed.contains(id));
        let mut records = Vec::with_capacity(changed.len());
        for id in changed {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.progress.phase == Phase::Active || job.assigned > 0 {
                records.push((id, job.progress.clone()));
            } else if let Some(job) = self.forget_job(id) {
                records.push((id, job.progress));
            }
        }
        Batch { records, effects: std::mem::take(&mut self.effects) }
    }

    /// Removes all state of a job that has ended.
    fn forget_job(&mut self, id: JobId) -> Option<Job> {
        let mut job = self.jobs.remove(&id)?;
        job.progress.drop_checkpoints();
        for occurrence in 0..job.spec.occurrences() {
            if let Some(due) = job.spec.due_unix_ms(occurrence) {
                self.due.remove(&(due, id));
            }
        }
        self.run_times.forget_job(id);
        let steps = |step| StepRef { job: id, occurrence: step, step };
        self.matched_steps.extract_if(steps(0)..=steps(u32::MAX), |_| true).for_each(drop);
        let tasks = |index| TaskRef { job: id, occurrence: index, step: index, index };
        self.trial_waits.extract_if(tasks(0)..=tasks(u32::MAX), |_, _| true).for_each(drop);
        Some(job)
    }

    /// Marks a host as possibly able to run more tasks.
    fn host_changed(&mut self, name: &HostName) {
        self.changed_hosts.insert(name.clone());
        self.placement_needed = true;
    }

    /// Ends a job and stops its remaining runs.
    fn end_job(&mut self, id: JobId, phase: Phase, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.progress.phase = phase;
        job.spec = job.spec.clone().without_payload();
        self.run_times.forget_job(id);
        for (task, host, _, run) in assigned_runs(id, &job.progress) {
            self.effects.push(Effect::Stop { host, task, run });
        }
        self.changed.insert(id);
        self.refresh_job(id, now);
    }

    fn settings<'s>(&'s self, spec: &'s JobSpec) -> &'s QueueSettings {
        self.queues.get(&spec.queue).unwrap_or(&spec.settings)
    }

    fn max_failures(&self, id: &JobId) -> u32 {
        self.jobs.get(id).map_or(1, |job| self.settings(&job.spec).max_failures.max(1))
    }

    /// Recomputes the ready steps and the future occurrences of a job.
    fn refresh_job(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get(&id) else { return };
        let settings = self.settings(&job.spec).clone();
        let accepted = job.accepted;
        let mut ready = Vec::new();
        if job.progress.phase == Phase::Active {
            for (occurrence, steps) in (0..).zip(&job.progress.occurrences) {
                if let Some(due) = job.spec.due_unix_ms(occurrence).filter(|due| *due > now.unix_ms) {
                    self.due.insert((due, id));
                    continue;
                }
                let durations = Durations { job: id, run_times: &self.run_times };
                let urgency = Urgency::new(&job.spec, &settings, occurrence, steps, &self.mean_work, &durations);
                for (step, tasks) in (0..).zip(steps) {
                    let has_waiting = tasks.iter().any(|task| task.state == TaskState::Waiting);
                    let after = &job.spec.steps[step as usize].after;
                    if has_waiting && after.iter().all(|&on| job.progress.step_done(occurrence, on)) {
                        ready.push(ReadyKey { urgency, accepted, step: StepRef { job: id, occurrence, step } });
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
        self.placement_needed = true;
    }
}

/// The runs of a job that may exist: task, host, incarnation of its endpoint and number of the run.
fn assigned_runs(job: JobId, progress: &JobProgress) -> Vec<(TaskRef, HostName, u64, u32)> {
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
