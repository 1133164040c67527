//! Decisions and their sentences.

use std::fmt;

use crate::{
    explain::Subject,
    ids::{AgentId, AvailabilityZone, EntryRef, ProfileName, ServiceName, TaskId},
    record::FenceReason,
};

data_types! {
    /// Something that the system decided or observed.
    pub enum Decision {
        /// A task was accepted.
        Submitted {
            /// The task.
            task: TaskId,
            /// Its service.
            service: ServiceName,
            /// The profile that it was submitted under.
            profile: ProfileName,
        },
        /// A task cannot be placed now.
        Waiting {
            /// The task.
            task: TaskId,
            /// What it waits for, without a full stop.
            reason: String,
        },
        /// A task can never run as it is.
        NeverFits {
            /// The task.
            task: TaskId,
            /// Why, without a full stop.
            reason: String,
        },
        /// An attempt was placed.
        Placed {
            /// The task.
            task: TaskId,
            /// The attempt.
            attempt: u32,
            /// The worker.
            worker: AgentId,
            /// The parts of its cost, without a full stop; empty if another entry placed it.
            why: String,
        },
        /// An assignment came too late or was for another attempt.
        AssignmentLost {
            /// The task.
            task: TaskId,
            /// The attempt.
            attempt: u32,
            /// The worker.
            worker: AgentId,
        },
        /// The caller cancelled a task whose attempt has to be stopped first.
        CancelRequested {
            /// The task.
            task: TaskId,
        },
        /// An attempt is stopped by the word of its worker.
        Stopped {
            /// The task.
            task: TaskId,
            /// The attempt.
            attempt: u32,
            /// Whether a checkpoint was saved from which the next attempt resumes.
            checkpoint: bool,
        },
        /// A worker's agent refused a reservation.
        ReservationRefused {
            /// The task.
            task: TaskId,
            /// The worker.
            worker: AgentId,
            /// Its reason, without a full stop.
            reason: String,
        },
        /// An attempt was fenced.
        Fenced {
            /// The task.
            task: TaskId,
            /// The attempt.
            attempt: u32,
            /// The worker.
            worker: AgentId,
            /// Why.
            reason: FenceReason,
            /// How long the next attempt waits, because the fenced one may still run.
            wait_ms: u64,
        },
        /// An attempt was throttled.
        Throttled {
            /// The task.
            task: TaskId,
            /// The worker.
            worker: AgentId,
            /// The share of processor time that is left to it.
            percent: u8,
            /// The profile that it slowed down.
            harmed: ProfileName,
        },
        /// A throttle was lifted.
        Released {
            /// The task.
            task: TaskId,
            /// The worker.
            worker: AgentId,
        },
        /// An attempt was checkpointed to be moved.
        Moved {
            /// The task.
            task: TaskId,
            /// The worker that it leaves.
            worker: AgentId,
            /// Why, without a full stop.
            reason: String,
        },
        /// An attempt was evicted.
        Evicted {
            /// The task.
            task: TaskId,
            /// The worker.
            worker: AgentId,
            /// Why, without a full stop.
            reason: String,
        },
        /// An agent froze an attempt because its lease ran out.
        Frozen {
            /// The task.
            task: TaskId,
            /// The worker.
            worker: AgentId,
        },
        /// A later proof showed no fence, and the attempt runs on.
        Thawed {
            /// The task.
            task: TaskId,
            /// The worker.
            worker: AgentId,
        },
        /// An attempt failed.
        AttemptFailed {
            /// The task.
            task: TaskId,
            /// The attempt.
            attempt: u32,
            /// The worker.
            worker: AgentId,
            /// The worker's reason, without a full stop.
            reason: String,
        },
        /// A task ended.
        Ended {
            /// The task.
            task: TaskId,
            /// How, such as `succeeded`.
            how: String,
        },
        /// A task has made no progress for longer than its progress deadline.
        Stalled {
            /// The task.
            task: TaskId,
            /// For how long.
            stalled_ms: u64,
            /// Its progress deadline.
            limit_ms: u64,
        },
        /// A stalled task makes progress again.
        Resumed {
            /// The task.
            task: TaskId,
        },
        /// A worker fails what it starts.
        Suspected {
            /// The worker.
            worker: AgentId,
            /// Different tasks that failed there in a row.
            failures: u32,
        },
        /// A suspected worker has finished a probe.
        Cleared {
            /// The worker.
            worker: AgentId,
        },
        /// An agent has not been heard of.
        AgentSilent {
            /// The worker.
            worker: AgentId,
            /// For how long.
            silent_ms: u64,
        },
        /// An availability zone was taken out or brought back.
        ZoneSet {
            /// The availability zone.
            zone: AvailabilityZone,
            /// Whether it is out.
            out: bool,
            /// The configuration version.
            version: u64,
            /// Who asked for it.
            author: String,
        },
        /// The tasks of an availability zone that is out are being moved.
        ZoneDraining {
            /// The availability zone.
            zone: AvailabilityZone,
            /// Tasks that still run there.
            left: u32,
        },
        /// An availability zone that came back gets new work.
        ZoneFilling {
            /// The availability zone.
            zone: AvailabilityZone,
            /// The share of its capacity that may be used now.
            percent: u8,
        },
        /// Requests of a service were refused early.
        Refusing {
            /// The service.
            service: ServiceName,
            /// Why, without a full stop.
            reason: String,
        },
        /// A service has too few endpoints, or one of them is avoided.
        EndpointAvoided {
            /// The service.
            service: ServiceName,
            /// Where the endpoint listens.
            address: String,
            /// Why, without a full stop.
            reason: String,
        },
        /// An endpoint announced that it leaves.
        EndpointLeaving {
            /// The service.
            service: ServiceName,
            /// Where the endpoint listens.
            address: String,
        },
        /// A second copy of a slow request was sent.
        Hedged {
            /// The service.
            service: ServiceName,
        },
        /// A request was sent again because a copy of it failed.
        Retried {
            /// The service.
            service: ServiceName,
        },
        /// An endpoint that was avoided or leaving takes requests again.
        EndpointBack {
            /// The service.
            service: ServiceName,
            /// Where the endpoint listens.
            address: String,
        },
        /// An agent that had been silent is heard of again.
        AgentBack {
            /// The worker.
            worker: AgentId,
        },
        /// Retries or hedges stopped because their budget is used up.
        BudgetSpent {
            /// The service.
            service: ServiceName,
            /// `retry` or `hedge`.
            budget: String,
        },
        /// A fence was written by an entry that may not, and is void.
        FenceVoid {
            /// The task.
            task: TaskId,
            /// The entry.
            by: EntryRef,
        },
    }
}

impl Decision {
    /// Whether an operator should look at it.
    pub fn needs_attention(&self) -> bool {
        match self {
            Self::NeverFits { .. } | Self::Stalled { .. } | Self::Suspected { .. } | Self::AgentSilent { .. } => true,
            Self::Ended { how, .. } => how.contains("unknown"),
            _ => false,
        }
    }

    /// What it is about.
    pub fn subjects(&self) -> Vec<Subject> {
        match self {
            Self::Submitted { task, service, .. } => {
                vec![Subject::Task(task.clone()), Subject::Service(service.clone())]
            }
            Self::Placed { task, worker, .. }
            | Self::ReservationRefused { task, worker, .. }
            | Self::Fenced { task, worker, .. }
            | Self::Throttled { task, worker, .. }
            | Self::Released { task, worker }
            | Self::Moved { task, worker, .. }
            | Self::Evicted { task, worker, .. }
            | Self::Frozen { task, worker }
            | Self::Thawed { task, worker }
            | Self::AssignmentLost { task, worker, .. }
            | Self::AttemptFailed { task, worker, .. } => {
                vec![Subject::Task(task.clone()), Subject::Worker(worker.clone())]
            }
            Self::Waiting { task, .. }
            | Self::NeverFits { task, .. }
            | Self::Ended { task, .. }
            | Self::Stalled { task, .. }
            | Self::Resumed { task }
            | Self::CancelRequested { task }
            | Self::Stopped { task, .. }
            | Self::FenceVoid { task, .. } => vec![Subject::Task(task.clone())],
            Self::Suspected { worker, .. }
            | Self::Cleared { worker }
            | Self::AgentBack { worker }
            | Self::AgentSilent { worker, .. } => {
                vec![Subject::Worker(worker.clone())]
            }
            Self::ZoneSet { zone, .. } | Self::ZoneDraining { zone, .. } | Self::ZoneFilling { zone, .. } => {
                vec![Subject::Zone(zone.clone())]
            }
            Self::Refusing { service, .. }
            | Self::EndpointAvoided { service, .. }
            | Self::EndpointLeaving { service, .. }
            | Self::EndpointBack { service, .. }
            | Self::Hedged { service }
            | Self::Retried { service }
            | Self::BudgetSpent { service, .. } => vec![Subject::Service(service.clone())],
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Submitted { task, service, profile } => {
                write!(f, "Task {task} of service {service} was accepted under profile {profile}.")
            }
            Self::Waiting { task, reason } => write!(f, "Task {task} waits: {reason}."),
            Self::NeverFits { task, reason } => write!(f, "Task {task} can never run: {reason}."),
            Self::Placed { task, attempt, worker, why } if why.is_empty() => {
                write!(f, "Attempt {attempt} of task {task} was placed on worker {worker} by another entry.")
            }
            Self::Placed { task, attempt, worker, why } => {
                write!(f, "Attempt {attempt} of task {task} was placed on worker {worker}: {why}.")
            }
            Self::AssignmentLost { task, attempt, worker } => write!(
                f,
                "The assignment of attempt {attempt} of task {task} to worker {worker} came too late and is void."
            ),
            Self::CancelRequested { task } => {
                write!(f, "The caller cancelled task {task}; its attempt is being stopped.")
            }
            Self::Stopped { task, attempt, checkpoint } => {
                let rest = if *checkpoint { "with a checkpoint to resume from" } else { "without a checkpoint" };
                write!(f, "Attempt {attempt} of task {task} was stopped {rest}.")
            }
            Self::ReservationRefused { task, worker, reason } => {
                write!(f, "Worker {worker} refused a reservation for task {task}: {reason}.")
            }
            Self::Fenced { task, attempt, worker, reason, wait_ms } => write!(
                f,
                "Attempt {attempt} of task {task} on worker {worker} was fenced because {}; the next one waits {wait_ms} ms.",
                because(reason)
            ),
            Self::Throttled { task, worker, percent, harmed } => write!(
                f,
                "Task {task} on worker {worker} was throttled to {percent}% because it slowed down profile {harmed}."
            ),
            Self::Released { task, worker } => write!(f, "Task {task} on worker {worker} is no longer throttled."),
            Self::Moved { task, worker, reason } => {
                write!(f, "Task {task} was checkpointed on worker {worker} to be moved: {reason}.")
            }
            Self::Evicted { task, worker, reason } => {
                write!(f, "Task {task} was evicted from worker {worker}: {reason}.")
            }
            Self::Frozen { task, worker } => write!(
                f,
                "Task {task} was frozen on worker {worker} because its lease ran out without proof that no fence exists."
            ),
            Self::Thawed { task, worker } => {
                write!(f, "Task {task} runs again on worker {worker}: a later proof shows no fence.")
            }
            Self::AttemptFailed { task, attempt, worker, reason } => {
                write!(f, "Attempt {attempt} of task {task} failed on worker {worker}: {reason}.")
            }
            Self::Ended { task, how } => write!(f, "Task {task} ended: {how}."),
            Self::Stalled { task, stalled_ms, limit_ms } => write!(
                f,
                "Task {task} has made no progress for {stalled_ms} ms; its progress deadline is {limit_ms} ms."
            ),
            Self::Resumed { task } => write!(f, "Task {task} makes progress again."),
            Self::Suspected { worker, failures } => write!(
                f,
                "Worker {worker} is suspected: {failures} different tasks failed there in a row. It gets one probe at a time."
            ),
            Self::Cleared { worker } => write!(f, "Worker {worker} finished a probe and is no longer suspected."),
            Self::AgentSilent { worker, silent_ms } => {
                write!(f, "The agent of worker {worker} has been silent for {silent_ms} ms.")
            }
            Self::ZoneSet { zone, out, version, author } => {
                let what = if *out { "taken out of service" } else { "brought back" };
                write!(f, "Availability zone {zone} was {what} by {author:?} in version {version}.")
            }
            Self::ZoneDraining { zone, left } => {
                write!(f, "Tasks are being moved out of availability zone {zone}; {left} are left.")
            }
            Self::ZoneFilling { zone, percent } => {
                write!(f, "Availability zone {zone} is being filled; {percent}% of its capacity may be used.")
            }
            Self::Refusing { service, reason } => {
                write!(f, "Requests to service {service} are refused as not run: {reason}.")
            }
            Self::EndpointAvoided { service, address, reason } => {
                write!(f, "Endpoint {address} of service {service} is avoided: {reason}.")
            }
            Self::EndpointLeaving { service, address } => {
                write!(f, "Endpoint {address} of service {service} is leaving and gets no new work.")
            }
            Self::EndpointBack { service, address } => {
                write!(f, "Endpoint {address} of service {service} takes requests again.")
            }
            Self::Hedged { service } => {
                write!(f, "A second copy of a request to service {service} was sent because the first was slow.")
            }
            Self::Retried { service } => {
                write!(f, "A request to service {service} was sent again because a copy of it failed.")
            }
            Self::AgentBack { worker } => write!(f, "The agent of worker {worker} is heard of again."),
            Self::BudgetSpent { service, budget } => {
                write!(f, "The {budget} budget of service {service} is used up.")
            }
            Self::FenceVoid { task, by } => {
                write!(f, "A fence on task {task} by entry {by} is void: the entry is no member of the fencing set.")
            }
        }
    }
}

fn because(reason: &FenceReason) -> &'static str {
    match reason {
        FenceReason::AgentLost => "its agent fell silent",
        FenceReason::ZoneOut => "its availability zone was taken out",
        FenceReason::Interference => "it harmed its neighbours more than throttling could correct",
    }
}
