/*!
The worker of one host.

[`WorkerStandin`] is a [`WorkerApi`] in memory; [`WorkerStandin::serve`] answers the HTTP protocol of
[`fescuelead_platform::worker::http`]. Tasks do nothing but take time: their payload is a [`Payload`] in JSON.

```
# #[tokio::main(flavor = "current_thread", start_paused = true)]
# async fn main() -> Result<(), Box<dyn std::error::Error>> {
use std::time::Duration;

use fescuelead_core::{ids::{AttemptRef, TaskId}, units::Resources};
use fescuelead_platform::worker::{StartTask, WorkerApi, WorkerTaskState};
use fescuelead_standin::{ledger::Ledger, worker::{Payload, WorkerStandin}};

let ledger = Ledger::new();
let worker = WorkerStandin::new("host-1").with_ledger(&ledger);
let incarnation = worker.claim().await?.incarnation;
let task = StartTask {
    attempt: AttemptRef::new(TaskId::new("c0-master-17")?, 1),
    service: "masters".to_owned(),
    profile: "master".to_owned(),
    resources: Resources::new(1_000, 512),
    payload: Payload::new(50).to_bytes(),
    checkpoint: None,
    lease_until_ms: 10_000,
};
worker.start(incarnation, &task).await?;
tokio::time::sleep(Duration::from_millis(60)).await;
assert_eq!(worker.report().await?.tasks[0].state, WorkerTaskState::Succeeded);
assert_eq!(ledger.attempt(&task.attempt).successes, 1);
assert!(ledger.overlaps().is_empty());
# Ok(())
# }
```
*/

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use fescuelead_core::{ids::AttemptRef, units::Resources};
use fescuelead_platform::worker::{StartTask, UsageSample, WorkerApi, WorkerError, WorkerReport, WorkerTaskState};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::{
    faults::FaultSwitch,
    ledger::{Ledger, Settle},
    worker::host::{Host, Refusal},
};

mod host;
mod serve;
mod task;

/// What a task is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Payload {
    /// How long it runs alone and unthrottled.
    pub run_ms: u64,
    /// Whether it fails at the end.
    pub fail: bool,
    /// When its progress stops, counted as `run_ms` is; it then goes on without end.
    pub stall_after_ms: Option<u64>,
    /// The processor time that it really uses. None uses what was asked for.
    pub cpu_milli: Option<u32>,
    /// The memory that it really uses. None uses what was asked for.
    pub memory_mib: Option<u32>,
}

impl Default for Payload {
    fn default() -> Self {
        Self::new(100)
    }
}

impl Payload {
    /// A task that takes `run_ms`.
    pub fn new(run_ms: u64) -> Self {
        Self { run_ms, fail: false, stall_after_ms: None, cpu_milli: None, memory_mib: None }
    }

    /// Lets the task fail at its end.
    pub fn with_failure(self) -> Self {
        Self { fail: true, ..self }
    }

    /// Lets the progress stop after `stall_after_ms`.
    pub fn with_stall_after_ms(self, stall_after_ms: u64) -> Self {
        Self { stall_after_ms: Some(stall_after_ms), ..self }
    }

    /// Sets what the task really uses.
    pub fn with_usage(self, cpu_milli: u32, memory_mib: u32) -> Self {
        Self { cpu_milli: Some(cpu_milli), memory_mib: Some(memory_mib), ..self }
    }

    /// The JSON that a task is started with.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a payload; anything else than this JSON stands for the default of 100 ms.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        serde_json::from_slice(bytes).unwrap_or_default()
    }
}

/// The faults of a worker. Tasks that run are not affected by them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Nothing answers. In memory a connect is refused; over HTTP connections are closed.
    pub down: bool,
    /// The time between the arrival of a call and its effect, also if the caller has given up.
    pub delay_ms: u64,
    /// How many of the next calls that change something take effect without being answered.
    pub lose_answers: u64,
    /// Whether every task fails soon after its start.
    pub fail_starts: bool,
}

/// How much longer the work of one profile takes beside another. Effects of several neighbours add up.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SlowdownTable {
    factors: BTreeMap<String, BTreeMap<String, f64>>,
}

impl SlowdownTable {
    /// A table without any interference.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the work of `profile` take `factor` times as long (1.0 or more) beside one task of `neighbour`.
    pub fn with_factor(mut self, profile: &str, neighbour: &str, factor: f64) -> Self {
        self.factors.entry(profile.to_owned()).or_default().insert(neighbour.to_owned(), factor.max(1.0));
        self
    }

    fn excess(&self, profile: &str, neighbour: &str) -> f64 {
        self.factors.get(profile).and_then(|row| row.get(neighbour)).map_or(0.0, |factor| factor - 1.0)
    }

    fn is_empty(&self) -> bool {
        self.factors.is_empty()
    }
}

/// Counts of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct WorkerCounts {
    /// Claims.
    pub claims: u64,
    /// Starts that would have exceeded the capacity, and were refused.
    pub capacity_refusals: u64,
    /// Calls refused because a later agent had claimed the worker.
    pub superseded_calls: u64,
    /// Leases that ran out while their task ran.
    pub lapsed_leases: u64,
}

struct Shared {
    host: Mutex<Host>,
    faults: FaultSwitch<WorkerFaults>,
}

impl Settle for Shared {
    fn settle(&self) {
        self.host().settle();
    }
}

impl Shared {
    fn host(&self) -> MutexGuard<'_, Host> {
        self.host.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A worker in this process. Clones are the same worker.
#[derive(Clone)]
pub struct WorkerStandin {
    shared: Arc<Shared>,
    client_timeout_ms: u64,
}

impl std::fmt::Debug for WorkerStandin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WorkerStandin").field("host", &self.shared.host()).finish_non_exhaustive()
    }
}

impl WorkerStandin {
    /// A worker of 16 cores and 60 GB with a ledger of its own. It samples usage every second and reports it 5 s later.
    /// Clients in memory wait 2 s for an answer.
    pub fn new(name: impl Into<String>) -> Self {
        let host = Host::new(name.into(), Ledger::new(), Resources::new(16_000, 60 * 1024));
        let shared = Arc::new(Shared { host: Mutex::new(host), faults: FaultSwitch::default() });
        let worker = Self { shared, client_timeout_ms: 2_000 };
        worker.register();
        worker
    }

    /// Shares a ledger with other workers. Call it before the first task starts.
    pub fn with_ledger(self, ledger: &Ledger) -> Self {
        self.shared.host().set_ledger(ledger.clone());
        self.register();
        self
    }

    /// Sets what the host has for tasks.
    pub fn with_capacity(self, capacity: Resources) -> Self {
        self.shared.host().set_capacity(capacity);
        self
    }

    /// Sets how often usage is sampled and how much later it is reported.
    pub fn with_usage_ms(self, interval_ms: u64, lag_ms: u64) -> Self {
        self.shared.host().set_usage(interval_ms, lag_ms);
        self
    }

    /// Sets the interference between tasks.
    pub fn with_slowdown(self, table: SlowdownTable) -> Self {
        self.set_slowdown(table);
        self
    }

    /// Sets how long this client in memory, and its clones, wait for an answer.
    pub fn with_client_timeout_ms(self, client_timeout_ms: u64) -> Self {
        Self { client_timeout_ms, ..self }
    }

    /// Changes the interference between tasks from now on.
    pub fn set_slowdown(&self, table: SlowdownTable) {
        self.shared.host().set_slowdown(table);
    }

    /// Lets the host die and come back at once: its tasks vanish without a word, the highest incarnation stays.
    pub fn crash(&self) {
        self.shared.host().crash();
    }

    /// The switches.
    pub fn faults(&self) -> FaultSwitch<WorkerFaults> {
        self.shared.faults.clone()
    }

    /// What ran on this worker and on others that share the ledger.
    pub fn ledger(&self) -> Ledger {
        self.shared.host().ledger()
    }

    /// The counts so far.
    pub fn counts(&self) -> WorkerCounts {
        let mut host = self.shared.host();
        host.settle();
        host.counts()
    }

    fn register(&self) {
        let settle: Weak<Shared> = Arc::downgrade(&self.shared);
        self.shared.host().ledger().register(settle);
    }

    /// Performs a call as a server does: once it has arrived, it takes effect even if the caller has gone.
    async fn perform<T: Send + 'static>(
        &self,
        changes: bool,
        effect: impl FnOnce(&mut Host) -> Result<T, Refusal> + Send + 'static,
    ) -> Result<T, Refusal> {
        let faults = self.shared.faults.get();
        if faults.down {
            return Err(Refusal::Down);
        }
        let boots = self.shared.host().boots();
        let shared = self.shared.clone();
        let apply = move || {
            let mut host = shared.host();
            host.settle();
            if host.boots() != boots {
                return Err(Refusal::AnswerLost);
            }
            host.set_fail_starts(shared.faults.get().fail_starts);
            effect(&mut host)
        };
        let result = if faults.delay_ms == 0 {
            apply()
        } else {
            let delayed = tokio::spawn(async move {
                sleep(Duration::from_millis(faults.delay_ms)).await;
                apply()
            });
            delayed.await.unwrap_or(Err(Refusal::AnswerLost))
        };
        if self.shared.faults.get().down {
            return Err(Refusal::AnswerLost);
        }
        if changes && self.shared.faults.take(|faults| &mut faults.lose_answers) {
            return Err(Refusal::AnswerLost);
        }
        result
    }

    async fn call<T: Send + 'static>(
        &self,
        changes: bool,
        effect: impl FnOnce(&mut Host) -> Result<T, Refusal> + Send + 'static,
    ) -> Result<T, WorkerError> {
        let timeout_ms = self.client_timeout_ms;
        match timeout(Duration::from_millis(timeout_ms), self.perform(changes, effect)).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(Refusal::Down)) => Err(WorkerError::not_connected("connection refused")),
            Ok(Err(Refusal::AnswerLost)) => Err(WorkerError::unreachable("connection closed")),
            Ok(Err(Refusal::Superseded)) => Err(WorkerError::superseded()),
            Ok(Err(Refusal::UnknownTask)) => Err(WorkerError::unknown_task()),
            Ok(Err(Refusal::Other(message))) => Err(WorkerError::refused(message)),
            Err(_) => Err(WorkerError::unreachable(format!("no answer in {timeout_ms} ms"))),
        }
    }
}

#[async_trait::async_trait]
impl WorkerApi for WorkerStandin {
    async fn claim(&self) -> Result<WorkerReport, WorkerError> {
        self.call(true, |host| Ok(host.claim())).await
    }

    async fn start(&self, incarnation: u64, task: &StartTask) -> Result<(), WorkerError> {
        let task = task.clone();
        self.call(true, move |host| host.start(incarnation, task)).await
    }

    async fn renew(&self, incarnation: u64, attempts: &[AttemptRef], lease_until_ms: u64) -> Result<(), WorkerError> {
        let attempts = attempts.to_vec();
        self.call(true, move |host| host.renew(incarnation, &attempts, lease_until_ms as f64)).await
    }

    async fn throttle(&self, incarnation: u64, attempt: &AttemptRef, percent: u8) -> Result<(), WorkerError> {
        let attempt = attempt.clone();
        self.call(true, move |host| host.throttle(incarnation, &attempt, percent)).await
    }

    async fn checkpoint(&self, incarnation: u64, attempt: &AttemptRef) -> Result<String, WorkerError> {
        let attempt = attempt.clone();
        self.call(true, move |host| host.checkpoint(incarnation, &attempt)).await
    }

    async fn stop(&self, incarnation: u64, attempt: &AttemptRef) -> Result<WorkerTaskState, WorkerError> {
        let attempt = attempt.clone();
        self.call(true, move |host| host.stop(incarnation, &attempt)).await
    }

    async fn forget(&self, incarnation: u64, attempt: &AttemptRef) -> Result<(), WorkerError> {
        let attempt = attempt.clone();
        self.call(true, move |host| host.forget(incarnation, &attempt)).await
    }

    async fn report(&self) -> Result<WorkerReport, WorkerError> {
        self.call(false, |host| Ok(host.report())).await
    }

    async fn usage(&self) -> Result<Vec<UsageSample>, WorkerError> {
        self.call(false, |host| Ok(host.usage())).await
    }
}
