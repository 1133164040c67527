//! The decisions that can be explained, and their text.

use std::fmt;

use crate::{
    explain::Subject,
    ids::{AgentId, AvailabilityZone, EntryRef, ProfileName, ServiceName, TaskId},
    record::FenceReason,
};

plain! {
    /// A decision or observation that is worth explaining to operators.
    pub enum Decision {
        /// A task was accepted.
        Submitted {
            /// The accepted task.
            task: TaskId,
            /// The service that the task belongs to.
            service: ServiceName,
            /// The profile of the service at submission.
            profile: ProfileName,
        },
        /// A task cannot be placed now.
        Waiting {
            /// The pending task.
            task: TaskId,
            /// What the task waits for, without a full stop.
            reason: String,
        },
        /// A task can never be placed.
        NeverFits {
            /// The pending task.
            task: TaskId,
            /// Why no host can run the task, without a full stop.
            reason: String,
        },
        /// An attempt was assigned to a worker.
        Placed {
            /// The task to run.
            task: TaskId,
            /// Number of the attempt, from 1.
            attempt: u32,
            /// The worker chosen for the attempt.
            worker: AgentId,
            /// The cost terms of the placement, without a full stop. Empty if another entry placed the attempt.
            why: String,
        },
        /// An assignment had no effect because it came too late or was for another attempt.
        AssignmentLost {
            /// The task named by the assignment.
            task: TaskId,
            /// The attempt named by the assignment.
            attempt: u32,
            /// The worker whose reservation is released.
            worker: AgentId,
        },
        /// The caller cancelled a task whose current attempt must be stopped first.
        CancelRequested {
            /// The cancelled task.
            task: TaskId,
        },
        /// The worker reported that an attempt has stopped.
        Stopped {
            /// The task of the attempt.
            task: TaskId,
            /// Number of the stopped attempt.
            attempt: u32,
            /// Whether a checkpoint was saved from which the next attempt resumes.
            checkpoint: bool,
        },
        /// The agent of a worker refused a reservation.
        ReservationRefused {
            /// The task that was to be placed.
            task: TaskId,
            /// The worker chosen for the task.
            worker: AgentId,
            /// The reason given by the agent, without a full stop.
            reason: String,
        },
        /// An attempt was fenced.
        Fenced {
            /// The task of the attempt.
            task: TaskId,
            /// Number of the fenced attempt.
            attempt: u32,
            /// The worker that may still run the attempt.
            worker: AgentId,
            /// The reason given by the writer of the fence.
            reason: FenceReason,
            /// The time in milliseconds before the next attempt may be assigned, because the fenced one may still run.
            wait_ms: u64,
        },
        /// An attempt was throttled.
        Throttled {
            /// The throttled task.
            task: TaskId,
            /// The worker that runs the task.
            worker: AgentId,
            /// The remaining share of CPU time, in percent.
            percent: u8,
            /// The profile that the task slowed down.
            harmed: ProfileName,
        },
        /// An attempt is no longer throttled.
        Released {
            /// The task that was throttled.
            task: TaskId,
            /// The worker that runs the task.
            worker: AgentId,
        },
        /// An attempt was checkpointed in order to move the task to another worker.
        Moved {
            /// The task to move.
            task: TaskId,
            /// The worker that runs the task until it is stopped.
            worker: AgentId,
            /// Why the task is moved, without a full stop.
            reason: String,
        },
        /// An attempt was evicted.
        Evicted {
            /// The evicted task.
            task: TaskId,
            /// The worker that ran the attempt.
            worker: AgentId,
            /// Why the task was evicted, without a full stop.
            reason: String,
        },
        /// An agent froze an attempt because its lease expired.
        Frozen {
            /// The frozen task.
            task: TaskId,
            /// The worker that holds the frozen attempt.
            worker: AgentId,
        },
        /// A frozen attempt continues, because a later read proved that it is not fenced.
        Thawed {
            /// The task that was frozen.
            task: TaskId,
            /// The worker that runs the task.
            worker: AgentId,
        },
        /// An attempt ran and failed.
        AttemptFailed {
            /// The task of the attempt.
            task: TaskId,
            /// Number of the failed attempt.
            attempt: u32,
            /// The worker that ran the attempt.
            worker: AgentId,
            /// The reason reported by the worker, without a full stop.
            reason: String,
        },
        /// A task reached a final phase.
        Ended {
            /// The task that ended.
            task: TaskId,
            /// The final phase, such as `succeeded`.
            how: String,
        },
        /// A task has made no progress for longer than its progress deadline.
        Stalled {
            /// The stalled task.
            task: TaskId,
            /// The time since the last progress, in milliseconds.
            stalled_ms: u64,
            /// The progress deadline of the task, in milliseconds.
            limit_ms: u64,
        },
        /// A stalled task makes progress again.
        Resumed {
            /// The task that was stalled.
            task: TaskId,
        },
        /// Several tasks in a row failed on a worker, which gets only one task at a time until one succeeds.
        Suspected {
            /// The worker on which the tasks failed.
            worker: AgentId,
            /// The number of different tasks that failed in a row.
            failures: u32,
        },
        /// A suspected worker completed a probe task.
        Cleared {
            /// The worker that was suspected.
            worker: AgentId,
        },
        /// The entry has received no heartbeat from an agent for some time.
        AgentSilent {
            /// The worker of the agent.
            worker: AgentId,
            /// The time since the last heartbeat, in milliseconds.
            silent_ms: u64,
        },
        /// An availability zone was taken out of service or brought back.
        ZoneSet {
            /// Name of the availability zone.
            zone: AvailabilityZone,
            /// `true` if it was taken out of service, `false` if it was brought back.
            out: bool,
            /// The configuration version that the change produced.
            version: u64,
            /// The operator who requested the change.
            author: String,
        },
        /// The tasks of an availability zone that is out of service are being moved.
        ZoneDraining {
            /// Name of the availability zone.
            zone: AvailabilityZone,
            /// The number of tasks that still run in the zone.
            left: u32,
        },
        /// An availability zone that was brought back receives new work gradually.
        ZoneFilling {
            /// Name of the availability zone.
            zone: AvailabilityZone,
            /// The share of the zone's capacity that may be used now, in percent.
            percent: u8,
        },
        /// Requests to a service were refused before they were sent.
        Refusing {
            /// The service that received the requests.
            service: ServiceName,
            /// Why the requests were refused, without a full stop.
            reason: String,
        },
        /// An endpoint gets no new requests, for example because it failed or was slow too often.
        EndpointAvoided {
            /// The service of the endpoint.
            service: ServiceName,
            /// The address that the endpoint listens on.
            address: String,
            /// Why the endpoint is avoided, without a full stop.
            reason: String,
        },
        /// An endpoint announced its shutdown.
        EndpointLeaving {
            /// The service of the endpoint.
            service: ServiceName,
            /// The address that the endpoint listens on.
            address: String,
        },
        /// A second copy of a slow request was sent.
        Hedged {
            /// The service that received the request.
            service: ServiceName,
        },
        /// A request was sent again because a copy of it failed.
        Retried {
            /// The service that received the request.
            service: ServiceName,
        },
        /// An endpoint that was avoided or leaving accepts requests again.
        EndpointBack {
            /// The service of the endpoint.
            service: ServiceName,
            /// The address that the endpoint listens on.
            address: String,
        },
        /// A silent agent sends heartbeats again.
        AgentBack {
            /// The worker of the agent.
            worker: AgentId,
        },
        /// Retries or hedging stopped because the budget is used up.
        BudgetSpent {
            /// The service that the budget belongs to.
            service: ServiceName,
            /// `retry` or `hedge`.
            budget: String,
        },
        /// A fence was ignored because its writer is not a member of the fencing set.
        FenceVoid {
            /// The task of the attempt that the fence named.
            task: TaskId,
            /// The entry that wrote the fence.
            by: EntryRef,
        },
    }
}

impl Decision {
    /// Whether an operator should check the subject of the decision.
    pub fn needs_attention(&self) -> bool {
        match self {
            Self::NeverFits { .. } | Self::Stalled { .. } | Self::Suspected { .. } | Self::AgentSilent { .. } => true,
            Self::Ended { how, .. } => how.contains("unknown"),
            _ => false,
        }
    }

    /// The objects under which the decision is stored.
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
                fence_reason(reason)
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

fn fence_reason(reason: &FenceReason) -> &'static str {
    match reason {
        FenceReason::AgentLost => "its agent fell silent",
        FenceReason::ZoneOut => "its availability zone was taken out",
        FenceReason::Interference => "it harmed its neighbours more than throttling could correct",
    }
}
