//! What is relied on of an endpoint that runs tasks.

use async_trait::async_trait;
use fescuelead_core::jobs::{Rejection, RunEnd, TaskRef};

/// An order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskRef,
    /// The run.
    pub run: u32,
    /// What the task is to do.
    pub payload: String,
    /// When the lease of everything on the endpoint may end at the earliest, on the endpoint's clock.
    pub deadline_ms: u64,
    /// The checkpoint to go on from.
    pub checkpoint: Option<String>,
}

/// The answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Started,
    /// The run will not start by this order.
    Rejected(Rejection),
    /// The order carried too low a fencing token.
    Fenced,
    /// The deadline of the order has passed.
    Late,
    /// Another incarnation of the endpoint answered.
    OtherIncarnation,
}

/// A run that is there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The task.
    pub task: TaskRef,
    /// The run.
    pub run: u32,
    /// The latest checkpoint.
    pub checkpoint: Option<String>,
    /// The tail latency in milliseconds of a task that serves users, the processor time in use in thousandths of a core
    /// of others.
    pub reading: u32,
}

/// What an endpoint runs and what has ended there.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// The incarnation of the endpoint.
    pub incarnation: u64,
    /// The endpoint's clock.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended and is not forgotten, in the order of the numbers.
    pub ended: Vec<RunEnd>,
}

/// Why a call to an endpoint gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// The endpoint does not listen.
    #[error("the endpoint refuses connections ({0}); it is down")]
    Down(String),
    /// There is no answer: the call may have taken effect, or may do so seconds later.
    #[error("the endpoint gave no answer ({0}); repeat the call")]
    Unknown(String),
}

impl EndpointError {
    /// The kind, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Down(_) => "down",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// An endpoint, called by the agent beside it only.
#[async_trait(?Send)]
pub trait Endpoint {
    /// Starts a run.
    async fn start(&self, token: u64, order: &StartOrder) -> Result<StartAnswer, EndpointError>;

    /// Stops a run, or keeps it from starting. Returns whether the endpoint did so; `false` for too low a token.
    async fn stop(&self, token: u64, task: TaskRef, run: u32) -> Result<bool, EndpointError>;

    /// Extends the lease to `deadline_ms` on the endpoint's clock, lets the endpoint forget the ends up to `seen`, and
    /// asks what is there. Waits up to `wait_ms` for an end. `None` for too low a token.
    async fn report(
        &self,
        token: u64,
        deadline_ms: Option<u64>,
        seen: u64,
        wait_ms: u64,
    ) -> Result<Option<Report>, EndpointError>;

    /// Sets the share of its speed at which a run works, in percent.
    async fn pace(&self, token: u64, task: TaskRef, run: u32, percent: u8) -> Result<(), EndpointError>;
}
