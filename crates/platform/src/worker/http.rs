/*!
The worker over HTTP/1.1. Bodies are JSON.

| call | request | answer |
|---|---|---|
| `POST /claim` | – | [`WorkerReport`] |
| `PUT /tasks/{task}` | [`StartCall`] | – |
| `POST /renew` | [`RenewCall`] | – |
| `POST /tasks/{task}/throttle` | [`ThrottleCall`] | – |
| `POST /tasks/{task}/checkpoint` | [`AttemptCall`] | [`Checkpointed`] |
| `POST /tasks/{task}/stop` | [`AttemptCall`] | [`WorkerTaskState`] |
| `POST /tasks/{task}/forget` | [`AttemptCall`] | – |
| `GET /tasks` | – | [`WorkerReport`] |
| `GET /usage` | – | list of [`UsageSample`] |

The status 409 says that a later agent has claimed the worker, 404 that it knows no such attempt, and any other from 400
to 499 that it did not do it. Any other status leaves the effect open.
*/

use std::net::SocketAddr;

use fescuelead_core::ids::AttemptRef;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    http::{Answer, Call, HttpClient, HttpError, is_path_segment},
    worker::{StartTask, UsageSample, WorkerApi, WorkerError, WorkerReport, WorkerTaskState},
};

/// The body of a start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartCall {
    /// The incarnation of the agent.
    pub incarnation: u64,
    /// What to run.
    pub task: StartTask,
}

/// The body of a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewCall {
    /// The incarnation of the agent.
    pub incarnation: u64,
    /// Whose leases are renewed.
    pub attempts: Vec<AttemptRef>,
    /// The end of the leases on the worker's clock.
    pub lease_until_ms: u64,
}

/// The body of a throttle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ThrottleCall {
    /// The incarnation of the agent.
    pub incarnation: u64,
    /// The number of the attempt.
    pub attempt: u32,
    /// The share of processor time that it may use, 0 to 100.
    pub percent: u8,
}

/// The body of a call that concerns one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCall {
    /// The incarnation of the agent.
    pub incarnation: u64,
    /// The number of the attempt.
    pub attempt: u32,
}

/// The answer to a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpointed {
    /// Where the task can resume.
    pub checkpoint: String,
}

/// Settings of an [`HttpWorker`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpWorkerConfig {
    address: SocketAddr,
    connect_timeout_ms: u64,
    call_timeout_ms: u64,
    max_answer_bytes: usize,
}

impl HttpWorkerConfig {
    /// A worker at `address` with 500 ms for a connect, 2 s for a call, and answers of at most 4 MiB.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connect_timeout_ms: 500, call_timeout_ms: 2_000, max_answer_bytes: 4 * 1024 * 1024 }
    }

    /// Sets the time for a connect.
    pub fn with_connect_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.connect_timeout_ms = timeout_ms;
        self
    }

    /// Sets the time for a call with its answer.
    pub fn with_call_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.call_timeout_ms = timeout_ms;
        self
    }

    /// Sets the largest answer.
    pub fn with_max_answer_bytes(mut self, max_answer_bytes: usize) -> Self {
        self.max_answer_bytes = max_answer_bytes;
        self
    }
}

/// A client of one worker. Cheap to clone.
#[derive(Debug, Clone)]
pub struct HttpWorker {
    config: HttpWorkerConfig,
    client: HttpClient,
}

impl HttpWorker {
    /// Makes a client. It connects with the first call.
    pub fn new(config: HttpWorkerConfig) -> Self {
        let client = HttpClient::new(config.address, config.connect_timeout_ms);
        Self { config, client }
    }

    async fn send(&self, method: Method, path: String, body: Vec<u8>) -> Result<Answer, WorkerError> {
        let call = Call::new(method, path)
            .with_header("content-type", "application/json")
            .with_body(body)
            .with_timeout_ms(self.config.call_timeout_ms)
            .with_max_answer_bytes(self.config.max_answer_bytes);
        match self.client.send(call).await {
            Ok(answer) => accepted(answer),
            Err(HttpError::NotSent(message)) => Err(WorkerError::not_connected(message)),
            Err(HttpError::AnswerLost(message)) => Err(WorkerError::unreachable(message)),
        }
    }

    async fn task_call(
        &self,
        verb: &str,
        attempt: &AttemptRef,
        body: &(impl Serialize + Sync),
    ) -> Result<Answer, WorkerError> {
        self.send(Method::POST, task_path(attempt, &format!("/{verb}"))?, encode(body)?).await
    }
}

#[async_trait::async_trait]
impl WorkerApi for HttpWorker {
    async fn claim(&self) -> Result<WorkerReport, WorkerError> {
        decode(&self.send(Method::POST, "/claim".to_owned(), Vec::new()).await?)
    }

    async fn start(&self, incarnation: u64, task: &StartTask) -> Result<(), WorkerError> {
        let body = encode(&StartCall { incarnation, task: task.clone() })?;
        self.send(Method::PUT, task_path(&task.attempt, "")?, body).await.map(drop)
    }

    async fn renew(&self, incarnation: u64, attempts: &[AttemptRef], lease_until_ms: u64) -> Result<(), WorkerError> {
        let body = encode(&RenewCall { incarnation, attempts: attempts.to_vec(), lease_until_ms })?;
        self.send(Method::POST, "/renew".to_owned(), body).await.map(drop)
    }

    async fn throttle(&self, incarnation: u64, attempt: &AttemptRef, percent: u8) -> Result<(), WorkerError> {
        let body = ThrottleCall { incarnation, attempt: attempt.attempt, percent };
        self.task_call("throttle", attempt, &body).await.map(drop)
    }

    async fn checkpoint(&self, incarnation: u64, attempt: &AttemptRef) -> Result<String, WorkerError> {
        let body = AttemptCall { incarnation, attempt: attempt.attempt };
        let saved: Checkpointed = decode(&self.task_call("checkpoint", attempt, &body).await?)?;
        Ok(saved.checkpoint)
    }

    async fn stop(&self, incarnation: u64, attempt: &AttemptRef) -> Result<WorkerTaskState, WorkerError> {
        let body = AttemptCall { incarnation, attempt: attempt.attempt };
        decode(&self.task_call("stop", attempt, &body).await?)
    }

    async fn forget(&self, incarnation: u64, attempt: &AttemptRef) -> Result<(), WorkerError> {
        let body = AttemptCall { incarnation, attempt: attempt.attempt };
        self.task_call("forget", attempt, &body).await.map(drop)
    }

    async fn report(&self) -> Result<WorkerReport, WorkerError> {
        decode(&self.send(Method::GET, "/tasks".to_owned(), Vec::new()).await?)
    }

    async fn usage(&self) -> Result<Vec<UsageSample>, WorkerError> {
        decode(&self.send(Method::GET, "/usage".to_owned(), Vec::new()).await?)
    }
}

fn task_path(attempt: &AttemptRef, suffix: &str) -> Result<String, WorkerError> {
    let task = attempt.task.as_str();
    if is_path_segment(task) {
        Ok(format!("/tasks/{task}{suffix}"))
    } else {
        Err(WorkerError::refused(format!("invalid task id {task:?}")))
    }
}

fn accepted(answer: Answer) -> Result<Answer, WorkerError> {
    match answer.status {
        status if status.is_success() => Ok(answer),
        StatusCode::CONFLICT => Err(WorkerError::superseded()),
        StatusCode::NOT_FOUND => Err(WorkerError::unknown_task()),
        status if status.is_client_error() => Err(WorkerError::refused(answer.message())),
        _ => Err(WorkerError::unreachable(answer.message())),
    }
}

fn encode(body: &impl Serialize) -> Result<Vec<u8>, WorkerError> {
    serde_json::to_vec(body).map_err(|error| WorkerError::refused(format!("the call cannot be encoded: {error}")))
}

// An answer that cannot be read says nothing about the effect of the call.
fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, WorkerError> {
    serde_json::from_slice(&answer.body)
        .map_err(|error| WorkerError::unreachable(format!("the answer cannot be read: {error}")))
}
