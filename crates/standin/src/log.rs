/*!
The log service.

[`LogStandin`] is a [`LogService`] in memory; [`LogStandin::client`] gives one per named client, and
[`LogStandin::serve`] answers the HTTP protocol of [`fescuelead_platform::log::http`].

```
# #[tokio::main(flavor = "current_thread")]
# async fn main() -> Result<(), Box<dyn std::error::Error>> {
use bytes::Bytes;
use fescuelead_platform::log::{LogService, TookEffect};
use fescuelead_standin::log::LogStandin;

let log = LogStandin::new();
assert_eq!(log.append("config", Bytes::from_static(b"one")).await?, 0);
log.faults().update(|faults| faults.lose_answers = 1);
let lost = log.append("config", Bytes::from_static(b"two")).await;
assert_eq!(lost.map_err(|error| error.took_effect()), Err(TookEffect::Unknown));
assert_eq!(log.read("config", 0, 1024, 0).await?.records.len(), 2);
# Ok(())
# }
```
*/

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use fescuelead_platform::log::{AppendError, LogError, LogPage, LogService};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{
    faults::FaultSwitch,
    log::stream::{RateLimit, Stream},
};

mod serve;
mod stream;

/// The faults of a log service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Nothing answers. In memory a connect is refused; over HTTP connections are closed.
    pub down: bool,
    /// The time before a call takes effect. An append takes effect also if the client has given up.
    pub delay_ms: u64,
    /// The time between the effect of a call and its answer, so that a read answers with an old tail.
    pub answer_delay_ms: u64,
    /// How many of the next appends take effect without being answered.
    pub lose_answers: u64,
    /// More appends than this in a second are refused with 429.
    pub max_appends_per_s: Option<u32>,
    /// The clients whose calls neither arrive nor fail before their deadline.
    pub cut_off: BTreeSet<String>,
}

/// How long records are kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Retention {
    count: Option<usize>,
    age_ms: Option<u64>,
}

impl Retention {
    /// Keeps records forever.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps the newest `count` records of each stream.
    pub fn with_count(self, count: usize) -> Self {
        Self { count: Some(count), ..self }
    }

    /// Keeps records for `age_ms`.
    pub fn with_age_ms(self, age_ms: u64) -> Self {
        Self { age_ms: Some(age_ms), ..self }
    }
}

/// Counts of a log service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct LogCounts {
    /// Appends that took effect.
    pub appends: u64,
    /// Bytes of these.
    pub appended_bytes: u64,
    /// Appends refused with 429.
    pub rate_refusals: u64,
    /// Reads that were answered.
    pub reads: u64,
    /// Reads that wait for a record now.
    pub waiting_reads: u64,
}

#[derive(Debug)]
struct Shared {
    streams: Mutex<Streams>,
    faults: FaultSwitch<LogFaults>,
    appended: watch::Sender<u64>,
    max_record_bytes: usize,
}

#[derive(Debug, Default)]
struct Streams {
    by_name: HashMap<String, Stream>,
    retention: Retention,
    rate: RateLimit,
    counts: LogCounts,
}

/// A log service in this process. Clones are the same service.
#[derive(Debug, Clone)]
pub struct LogStandin {
    shared: Arc<Shared>,
    client_timeout_ms: u64,
}

/// What became of a call, before it is put in the words of the trait or of HTTP.
#[derive(Debug)]
enum Failure {
    Down,
    CutOff,
    RateExceeded,
    TooLarge,
    AnswerLost,
}

impl Default for LogStandin {
    fn default() -> Self {
        Self::new()
    }
}

impl LogStandin {
    /// An empty log service that keeps records forever, takes records of up to 1 MiB, and whose clients in memory wait
    /// 2 s for an answer.
    pub fn new() -> Self {
        let shared = Shared {
            streams: Mutex::default(),
            faults: FaultSwitch::default(),
            appended: watch::Sender::new(0),
            max_record_bytes: 1024 * 1024,
        };
        Self { shared: Arc::new(shared), client_timeout_ms: 2_000 }
    }

    /// Sets how long records are kept.
    pub fn with_retention(self, retention: Retention) -> Self {
        self.set_retention(retention);
        self
    }

    /// Sets how long this client in memory, and those made from it, wait for an answer.
    pub fn with_client_timeout_ms(self, client_timeout_ms: u64) -> Self {
        Self { client_timeout_ms, ..self }
    }

    /// Changes how long records are kept, also those that are there.
    pub fn set_retention(&self, retention: Retention) {
        self.streams().retention = retention;
    }

    /// The switches.
    pub fn faults(&self) -> FaultSwitch<LogFaults> {
        self.shared.faults.clone()
    }

    /// A client in memory that the switch [`LogFaults::cut_off`] knows by name.
    pub fn client(&self, name: impl Into<String>) -> LogClient {
        LogClient { log: self.clone(), name: name.into() }
    }

    /// The counts so far.
    pub fn counts(&self) -> LogCounts {
        self.streams().counts
    }

    /// What a stream holds now, whatever faults are set.
    pub fn page(&self, stream: &str) -> LogPage {
        self.page_from(stream, 0, usize::MAX)
    }

    fn streams(&self) -> std::sync::MutexGuard<'_, Streams> {
        self.shared.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn page_from(&self, stream: &str, from: u64, max_bytes: usize) -> LogPage {
        let mut streams = self.streams();
        let retention = streams.retention;
        match streams.by_name.get_mut(stream) {
            Some(stream) => {
                stream.expire(retention, Instant::now());
                stream.page(from, max_bytes)
            }
            None => LogPage { records: Vec::new(), first_offset: 0, tail_offset: 0 },
        }
    }

    fn reachable(&self, client: Option<&str>) -> Result<(), Failure> {
        let faults = self.shared.faults.get();
        if faults.down {
            Err(Failure::Down)
        } else if client.is_some_and(|client| faults.cut_off.contains(client)) {
            Err(Failure::CutOff)
        } else {
            Ok(())
        }
    }

    fn append_now(&self, stream: &str, bytes: Bytes) -> Result<u64, Failure> {
        let limit = self.shared.faults.get().max_appends_per_s;
        let now = Instant::now();
        let mut streams = self.streams();
        if limit.is_some_and(|limit| !streams.rate.admit(limit, now)) {
            streams.counts.rate_refusals += 1;
            return Err(Failure::RateExceeded);
        }
        streams.counts.appends += 1;
        streams.counts.appended_bytes += bytes.len() as u64;
        let retention = streams.retention;
        let stream = streams.by_name.entry(stream.to_owned()).or_default();
        let offset = stream.push(bytes, now);
        stream.expire(retention, now);
        drop(streams);
        self.shared.appended.send_modify(|count| *count += 1);
        Ok(offset)
    }

    /// Appends as a server does: once the call has arrived, it takes effect even if the client has gone.
    async fn serve_append(&self, client: Option<&str>, stream: &str, bytes: Bytes) -> Result<u64, Failure> {
        self.reachable(client)?;
        if bytes.len() > self.shared.max_record_bytes {
            return Err(Failure::TooLarge);
        }
        let delay_ms = self.shared.faults.get().delay_ms;
        let offset = if delay_ms == 0 {
            self.append_now(stream, bytes)?
        } else {
            let (log, stream) = (self.clone(), stream.to_owned());
            let delayed = tokio::spawn(async move {
                sleep(Duration::from_millis(delay_ms)).await;
                log.append_now(&stream, bytes)
            });
            delayed.await.map_err(|_| Failure::AnswerLost)??
        };
        if self.shared.faults.take(|faults| &mut faults.lose_answers) {
            return Err(Failure::AnswerLost);
        }
        self.answer_delay().await;
        self.reachable(client).map(|()| offset)
    }

    async fn serve_read(
        &self,
        client: Option<&str>,
        stream: &str,
        (from, max_bytes, wait_ms): (u64, usize, u64),
    ) -> Result<LogPage, Failure> {
        self.reachable(client)?;
        sleep_ms(self.shared.faults.get().delay_ms).await;
        let mut appended = self.shared.appended.subscribe();
        let mut faults = self.shared.faults.subscribe();
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            self.reachable(client)?;
            let page = self.page_from(stream, from, max_bytes);
            let missing = page.first_offset > from;
            if !page.records.is_empty() || missing || Instant::now() >= deadline {
                self.streams().counts.reads += 1;
                self.answer_delay().await;
                return self.reachable(client).map(|()| page);
            }
            let _waiting = WaitingRead::new(self);
            tokio::select! {
                _ = appended.changed() => {}
                _ = faults.changed() => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }

    async fn answer_delay(&self) {
        sleep_ms(self.shared.faults.get().answer_delay_ms).await;
    }

    async fn append_as(&self, client: Option<&str>, stream: &str, bytes: Bytes) -> Result<u64, AppendError> {
        let client_timeout_ms = self.client_timeout_ms;
        let deadline = Duration::from_millis(client_timeout_ms);
        match timeout(deadline, self.serve_append(client, stream, bytes)).await {
            Ok(Ok(offset)) => Ok(offset),
            Ok(Err(Failure::Down)) => Err(AppendError::refused("connection refused")),
            Ok(Err(Failure::RateExceeded)) => Err(AppendError::refused("status 429: too many appends")),
            Ok(Err(Failure::TooLarge)) => Err(AppendError::refused("status 413: the record is too large")),
            Ok(Err(Failure::AnswerLost)) => Err(AppendError::answer_lost("connection closed")),
            Ok(Err(Failure::CutOff)) => {
                sleep_ms(client_timeout_ms).await;
                Err(AppendError::answer_lost(format!("no answer in {client_timeout_ms} ms")))
            }
            Err(_) => Err(AppendError::answer_lost(format!("no answer in {client_timeout_ms} ms"))),
        }
    }

    async fn read_as(
        &self,
        client: Option<&str>,
        stream: &str,
        (from, max_bytes, wait_ms): (u64, usize, u64),
    ) -> Result<LogPage, LogError> {
        let timeout_ms = self.client_timeout_ms.saturating_add(wait_ms);
        let read = self.serve_read(client, stream, (from, max_bytes, wait_ms));
        match timeout(Duration::from_millis(timeout_ms), read).await {
            Ok(Ok(page)) => Ok(page),
            Ok(Err(Failure::CutOff)) => {
                sleep_ms(timeout_ms).await;
                Err(LogError::new(format!("no answer in {timeout_ms} ms")))
            }
            Ok(Err(_)) => Err(LogError::new("connection refused")),
            Err(_) => Err(LogError::new(format!("no answer in {timeout_ms} ms"))),
        }
    }
}

/// Counts a read while it waits, also if its client goes away.
struct WaitingRead<'l> {
    log: &'l LogStandin,
}

impl<'l> WaitingRead<'l> {
    fn new(log: &'l LogStandin) -> Self {
        log.streams().counts.waiting_reads += 1;
        Self { log }
    }
}

impl Drop for WaitingRead<'_> {
    fn drop(&mut self) {
        self.log.streams().counts.waiting_reads -= 1;
    }
}

async fn sleep_ms(span_ms: u64) {
    if span_ms > 0 {
        sleep(Duration::from_millis(span_ms)).await;
    }
}

#[async_trait::async_trait]
impl LogService for LogStandin {
    async fn append(&self, stream: &str, bytes: Bytes) -> Result<u64, AppendError> {
        self.append_as(None, stream, bytes).await
    }

    async fn read(&self, stream: &str, from: u64, max_bytes: usize, wait_ms: u64) -> Result<LogPage, LogError> {
        self.read_as(None, stream, (from, max_bytes, wait_ms)).await
    }
}

/// A client in memory with a name.
#[derive(Debug, Clone)]
pub struct LogClient {
    log: LogStandin,
    name: String,
}

#[async_trait::async_trait]
impl LogService for LogClient {
    async fn append(&self, stream: &str, bytes: Bytes) -> Result<u64, AppendError> {
        self.log.append_as(Some(&self.name), stream, bytes).await
    }

    async fn read(&self, stream: &str, from: u64, max_bytes: usize, wait_ms: u64) -> Result<LogPage, LogError> {
        self.log.read_as(Some(&self.name), stream, (from, max_bytes, wait_ms)).await
    }
}
