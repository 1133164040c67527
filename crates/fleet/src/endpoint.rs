//! The interface of an endpoint, which runs the tasks of one host.

use std::rc::Rc;

use async_trait::async_trait;
use fescuelead_core::jobs::{Rejection, RunEnd, TaskRef};

/// An order to start a run. It has no effect on a run that has already started, except that it extends the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task to run.
    pub task: TaskRef,
    /// The number of the run, which grows with each run of the task.
    pub run: u32,
    /// The job's payload, which only the task interprets. Shared by the starts of the job.
    pub payload: Rc<str>,
    /// The time after which the order has no effect, in milliseconds on the endpoint's clock. The lease of the whole endpoint
    /// is extended up to then at least.
    pub deadline_ms: u64,
    /// The checkpoint to resume from; `None` to run from the beginning.
    pub checkpoint: Option<String>,
}

/// The answer to a [`StartOrder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run has started, by this order or an earlier one.
    Started,
    /// The endpoint does not start the run by this order. An earlier order for the same run may still start it.
    Rejected(Rejection),
    /// The fencing token is lower than one that the endpoint has seen.
    Fenced,
    /// [`StartOrder::deadline_ms`] has passed.
    Late,
    /// The call named another incarnation than the endpoint has, and had no effect: the endpoint has restarted, or the
    /// caller has taken up the name of another one.
    OtherIncarnation,
}

/// A run that has started and not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// The task that runs.
    pub task: TaskRef,
    /// The number of the run, which grows with each run of the task.
    pub run: u32,
    /// The latest checkpoint; `None` until the run has saved one.
    pub checkpoint: Option<String>,
    /// The work done, in percent of the task's work; `None` if the endpoint does not say.
    pub percent: Option<u8>,
    /// The tail latency in milliseconds of a task that serves users, or the processor usage of another task in
    /// thousandths of a core.
    pub reading: u32,
}

/// Whether a report lists all ended runs that the endpoint has not been allowed to forget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndList {
    /// It lists all of them, so a run that the report does not list does not exist.
    Complete,
    /// It may omit some, for example because the endpoint lists a limited number at a time.
    #[default]
    Incomplete,
}

/// The running and the ended runs of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// Changes with each restart of the endpoint, which ends all of its runs.
    pub incarnation: u64,
    /// The endpoint's clock in milliseconds, with an arbitrary origin.
    pub clock_ms: u64,
    /// All runs that have started and not ended.
    pub running: Vec<Running>,
    /// Ended runs that the endpoint has not been allowed to forget, by increasing number.
    pub ended: Vec<RunEnd>,
    /// Whether `ended` lists all of them.
    pub end_list: EndList,
}

/// What a report call changes at an incarnation of the endpoint, within which clock and numbers of ends count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Renewal {
    /// The incarnation for which the other fields hold.
    pub incarnation: u64,
    /// Up to when the lease is extended, in milliseconds on the endpoint's clock; `None` to leave it as it is.
    pub deadline_ms: Option<u64>,
    /// The endpoint may forget the ended runs up to this number.
    pub seen: u64,
}

/// Why a call to an endpoint failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// The endpoint refused the connection, so the call had no effect. It may be down, or cut off while its runs go on. Holds
    /// the cause.
    #[error("the endpoint refuses connections ({0}); wait until it answers or its lease has ended")]
    Refused(String),
    /// The endpoint did not answer: the call may have taken effect, or may do so seconds later. Holds the cause.
    #[error("the endpoint gave no answer ({0}); repeat the call")]
    Unknown(String),
    /// The endpoint has restarted since the caller last heard of its incarnation, so the call was not sent.
    #[error("the call is for incarnation {expected}, but the endpoint has incarnation {found}; request a report first")]
    OtherIncarnation {
        /// The incarnation that the call was meant for.
        expected: u64,
        /// The incarnation of the endpoint.
        found: u64,
    },
}

impl EndpointError {
    /// The value of the metrics label `outcome`.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Refused(_) => "refused",
            Self::Unknown(_) => "unknown",
            Self::OtherIncarnation { .. } => "other_incarnation",
        }
    }
}

/// An endpoint. Only its agent calls it; `token` is the agent's fencing token, and calls with a lower token than the
/// endpoint has seen are refused.
///
/// An order is meant for one incarnation. It fails with [`EndpointError::OtherIncarnation`] and has no effect if the
/// endpoint has another one: runs, clock and numbers of ends begin anew with each.
#[async_trait(?Send)]
pub trait Endpoint {
    /// Starts a run. May be repeated, also after a call without an answer.
    async fn start(&self, incarnation: u64, token: u64, order: &StartOrder) -> Result<StartAnswer, EndpointError>;

    /// Stops a run, or prevents it from starting. Returns `false` if the fencing token is too low.
    async fn stop(&self, incarnation: u64, token: u64, task: TaskRef, run: u32) -> Result<bool, EndpointError>;

    /// Requests a report, and renews what `renewal` says. The endpoint waits up to `wait_ms` for a run to end before it
    /// answers. Returns `None` if the fencing token is too low.
    ///
    /// If `renewal` is for another incarnation than the endpoint has, or `None`, the call changes nothing and is answered at
    /// once; the report then states the incarnation to use.
    async fn report(&self, token: u64, renewal: Option<Renewal>, wait_ms: u64)
    -> Result<Option<Report>, EndpointError>;

    /// Sets the share of its full speed at which a run may work, in percent.
    async fn pace(
        &self,
        incarnation: u64,
        token: u64,
        task: TaskRef,
        run: u32,
        percent: u8,
    ) -> Result<(), EndpointError>;
}
