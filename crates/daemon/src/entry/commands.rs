//! What the request path and the API ask of the control thread.

use fescuelead_core::{
    cell::Claim,
    config::Verdict,
    ids::{AgentId, AvailabilityZone, RequestKey, TaskId},
    record::{RequestOutcome, TaskSpec},
};
use fescuelead_wire::api::{
    BurnReport, ConfigHistory, ExplainKind, Explanation, Rollout, Status, TaskPage, TaskStatus,
};
use tokio::sync::{mpsc, oneshot};

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claim won; the request may be sent once.
    Won {
        /// The offset of the claim.
        offset: u64,
    },
    /// The key was claimed before.
    Known(Claim),
    /// The claim is not in the log and never will be acted on.
    NotRun {
        /// Why.
        reason: String,
    },
}

/// The answer to a submission.
#[derive(Debug, Clone)]
pub enum SubmitAnswer {
    /// The task is in the log.
    Accepted {
        /// Whether this submission made it.
        created: bool,
        /// Where it stands.
        status: Box<TaskStatus>,
    },
    /// The key belongs to another task.
    Conflict,
    /// The task could never run.
    NeverRuns {
        /// Why, with the remedy.
        reason: String,
    },
    /// The log gave no answer in time. The task may yet be accepted; repeating the submission is safe.
    NoAnswer,
    /// Too many tasks wait.
    Full,
    /// The entry has only a peer's copy of the state, so nothing is written.
    OnlyACopy,
}

/// The answer to a configuration change.
#[derive(Debug, Clone)]
pub enum ChangeAnswer {
    /// The fold's verdict, with the author of the version that stands.
    Decided {
        /// The verdict.
        verdict: Verdict,
        /// Who made the version that stands.
        standing_author: Option<String>,
    },
    /// The log gave no answer in time; the change may yet take effect.
    NoAnswer,
    /// The entry has only a peer's copy of the state, so nothing is written.
    OnlyACopy,
}

/// A configuration change as an operator asks for it.
#[derive(Debug, Clone)]
pub enum ChangeRequest {
    /// Replace the profile set.
    Publish {
        /// The new set as TOML.
        text: String,
    },
    /// Take an availability zone out or back in.
    Zone {
        /// The availability zone.
        availability_zone: AvailabilityZone,
        /// Whether it is to be out of service.
        out: bool,
    },
}

/// A question or an order with a channel for the answer.
#[derive(Debug)]
pub enum Command {
    /// Claim a non-idempotent request for one agent.
    Claim {
        /// The key.
        key: RequestKey,
        /// Digest of method, path and body.
        digest: u64,
        /// The agent.
        agent: AgentId,
        /// The run of the agent.
        agent_incarnation: u64,
        /// How long to try, and how long the outcome is of use.
        deadline_ms: u64,
        /// Whether to go on trying until the deadline while the log is down.
        wait: bool,
        /// The offset of an earlier claim of the same request that was resolved as *not run*.
        resolved: Option<u64>,
        /// Gets the answer.
        reply: oneshot::Sender<ClaimAnswer>,
    },
    /// Look a claim up.
    FindClaim {
        /// The key.
        key: RequestKey,
        /// Gets the claim.
        reply: oneshot::Sender<Option<Claim>>,
    },
    /// Find out from the agent what became of a claimed request, and resolve it.
    Settle {
        /// The key.
        key: RequestKey,
        /// Gets the outcome.
        reply: oneshot::Sender<RequestOutcome>,
    },
    /// Write the outcome of a claimed request.
    Resolve {
        /// The key.
        key: RequestKey,
        /// The offset of the claim.
        claim_offset: u64,
        /// The outcome.
        outcome: RequestOutcome,
    },
    /// Submit a task.
    Submit {
        /// Its id.
        task: TaskId,
        /// What it is.
        spec: Box<TaskSpec>,
        /// Gets the answer.
        reply: oneshot::Sender<SubmitAnswer>,
    },
    /// Cancel a task.
    Cancel {
        /// Its id.
        task: TaskId,
        /// Gets its status, or nothing if it does not exist.
        reply: oneshot::Sender<Option<TaskStatus>>,
    },
    /// Look a task up.
    Task {
        /// Its id.
        task: TaskId,
        /// Gets its status.
        reply: oneshot::Sender<Option<TaskStatus>>,
    },
    /// List tasks in the order of their ids.
    Tasks {
        /// Only ids after this one.
        after: Option<TaskId>,
        /// At most this many.
        limit: usize,
        /// Gets the page.
        reply: oneshot::Sender<TaskPage>,
    },
    /// Change the configuration.
    Change {
        /// The version that the operator saw.
        expected_version: Option<u64>,
        /// What to change.
        change: ChangeRequest,
        /// Who asks.
        author: String,
        /// Gets the verdict.
        reply: oneshot::Sender<ChangeAnswer>,
    },
    /// Past changes of the configuration.
    History {
        /// Gets them.
        reply: oneshot::Sender<ConfigHistory>,
    },
    /// How far the configuration in force has spread.
    Rollout {
        /// Gets it.
        reply: oneshot::Sender<Rollout>,
    },
    /// All that an operator sees at a glance.
    Status {
        /// Gets it.
        reply: oneshot::Sender<Box<Status>>,
    },
    /// The burn report over all entries.
    Burn {
        /// Gets it.
        reply: oneshot::Sender<Box<BurnReport>>,
    },
    /// Why something is as it is.
    Explain {
        /// What kind of thing.
        kind: ExplainKind,
        /// Its id.
        id: String,
        /// Gets the explanation.
        reply: oneshot::Sender<Explanation>,
    },
}

/// Commands that wait for the control thread at most.
pub const COMMAND_QUEUE: usize = 4_096;

/// Sends commands to the control thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    sender: mpsc::Sender<Command>,
}

impl ControlHandle {
    /// A handle and the receiver for the control thread.
    pub fn new() -> (Self, mpsc::Receiver<Command>) {
        let (sender, receiver) = mpsc::channel(COMMAND_QUEUE);
        (Self { sender }, receiver)
    }

    /// Asks and waits for the answer; nothing if the control thread has ended.
    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.send(command(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Sends a command that has no answer.
    pub async fn tell(&self, command: Command) {
        if self.sender.send(command).await.is_err() {
            crate::limited!(Warn, "entry: a command came after the end of the control thread.");
        }
    }
}
