/*!
The endpoint of a service: an HTTP/1.1 server that announces itself to the agent on its host.

Its answer is derived from the request by [`answer_body`], so that a caller can tell whether an answer is its own and
whole. The answer carries the request's `x-request-id`, `traceparent` and `tracestate`.

```
# #[tokio::main(flavor = "current_thread")]
# async fn main() -> Result<(), Box<dyn std::error::Error>> {
use fescuelead_core::ids::ServiceName;
use fescuelead_platform::http::{Call, HttpClient};
use fescuelead_standin::endpoint::{EndpointStandin, answer_body};
use hyper::Method;
use tokio_util::sync::CancellationToken;

let endpoint = EndpointStandin::new(ServiceName::new("previews")?).with_answer_bytes(256);
let address = endpoint.serve("127.0.0.1:0".parse()?, CancellationToken::new()).await?;
let call = Call::new(Method::POST, "/render").with_header("x-request-id", "r1").with_body("track 7");
let answer = HttpClient::new(address, 500).send(call).await?;
assert_eq!(answer.body, answer_body("r1", "POST", "/render", b"track 7", 256));
assert_eq!(endpoint.counts().answered, 1);
# Ok(())
# }
```
*/

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use fescuelead_core::ids::ServiceName;
use fescuelead_platform::announce::{Announcement, EndpointState};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{faults::FaultSwitch, serve::serve};

mod announce;
mod handle;

pub use crate::serve::{AnswerBody, Disconnect};
pub use handle::answer_body;

/// The faults of an endpoint. Those that count affect the next requests, one fault a request, in the order of the
/// fields.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaults {
    /// Nothing answers and nothing is announced: connections are closed.
    pub down: bool,
    /// Announcements stop, but requests are answered.
    pub silent: bool,
    /// The time that every request takes beyond its work.
    pub delay_ms: u64,
    /// How many of the next requests are answered with `error_status` without any work.
    pub errors: u64,
    /// See `errors`; 0 stands for 500.
    pub error_status: u16,
    /// How many of the next requests are closed without an answer, after their work.
    pub reset: u64,
    /// How many of the next requests get the id and the body of another request.
    pub crossed: u64,
    /// How many of the next answers come `late_ms` after their work.
    pub late: u64,
    /// See `late`.
    pub late_ms: u64,
    /// How many of the next answers send less than their content-length.
    pub short: u64,
    /// How many of the next answers break off within a chunk.
    pub broken_chunk: u64,
}

/// Counts of an endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct EndpointCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests whose work was done and that were answered, well or badly.
    pub answered: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// The most requests that were ever in flight.
    pub max_in_flight: u32,
    /// Requests that arrived while all slots were taken.
    pub slot_excess: u64,
    /// Open connections.
    pub connections: u32,
    /// Connections that were opened while the allowed number was open.
    pub connection_excess: u64,
    /// Requests that arrived while leaving.
    pub arrived_while_leaving: u64,
    /// Announcements that the agent accepted.
    pub announced: u64,
    /// Announcements that failed.
    pub announce_failures: u64,
    /// How often the work was done, by idempotency key.
    pub by_key: HashMap<String, u64>,
}

#[derive(Debug)]
struct Settings {
    service: ServiceName,
    slots: u32,
    connections: u32,
    incarnation: u64,
    work_ms: u64,
    answer_bytes: usize,
    heartbeat_ms: u64,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    faults: FaultSwitch<EndpointFaults>,
    counts: Mutex<EndpointCounts>,
    /// The newest requests, as `(id, body of the answer)`, from which crossed answers are taken.
    others: Mutex<VecDeque<(String, Bytes)>>,
    state: watch::Sender<EndpointState>,
    in_flight: watch::Sender<u32>,
}

/// An endpoint in this process. Clones are the same endpoint.
#[derive(Debug, Clone)]
pub struct EndpointStandin {
    shared: Arc<Shared>,
}

impl EndpointStandin {
    /// An endpoint with 8 slots and 64 connections that answers at once with at least 64 bytes and announces itself
    /// every 500 ms.
    pub fn new(service: ServiceName) -> Self {
        Self::from_settings(Settings {
            service,
            slots: 8,
            connections: 64,
            incarnation: 1,
            work_ms: 0,
            answer_bytes: 64,
            heartbeat_ms: 500,
        })
    }

    /// Sets how many requests it works on at one time.
    pub fn with_slots(self, slots: u32) -> Self {
        self.with(|settings| settings.slots = slots)
    }

    /// Sets how many connections it accepts.
    pub fn with_connections(self, connections: u32) -> Self {
        self.with(|settings| settings.connections = connections)
    }

    /// Sets the number that tells this run of the endpoint from the next.
    pub fn with_incarnation(self, incarnation: u64) -> Self {
        self.with(|settings| settings.incarnation = incarnation)
    }

    /// Sets how long a request takes.
    pub fn with_work_ms(self, work_ms: u64) -> Self {
        self.with(|settings| settings.work_ms = work_ms)
    }

    /// Sets the least length of an answer.
    pub fn with_answer_bytes(self, answer_bytes: usize) -> Self {
        self.with(|settings| settings.answer_bytes = answer_bytes)
    }

    /// Sets the time between announcements.
    pub fn with_heartbeat_ms(self, heartbeat_ms: u64) -> Self {
        self.with(|settings| settings.heartbeat_ms = heartbeat_ms.max(1))
    }

    /// Serves requests on `address` until `token` is cancelled, and returns the bound address. Requests in flight are
    /// finished.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr, token: CancellationToken) -> io::Result<SocketAddr> {
        let (gate, endpoint) = (self.clone(), self.clone());
        serve(
            address,
            token,
            move || gate.connected(),
            move |request| {
                let endpoint = endpoint.clone();
                Box::pin(async move { endpoint.handle(request).await })
            },
        )
        .await
    }

    /// Announces that it is leaving, from the next moment on. It still works on what arrives.
    pub fn leave(&self) {
        self.shared.state.send_replace(EndpointState::Leaving);
    }

    /// Waits until no request is in flight.
    pub async fn drained(&self) {
        let mut in_flight = self.shared.in_flight.subscribe();
        // The sender lives as long as `self`.
        let _ = in_flight.wait_for(|count| *count == 0).await;
    }

    /// The announcement of this moment.
    pub fn announcement(&self, address: SocketAddr) -> Announcement {
        let settings = &self.shared.settings;
        Announcement {
            service: settings.service.clone(),
            address,
            slots: settings.slots,
            connections: settings.connections,
            state: *self.shared.state.borrow(),
            incarnation: settings.incarnation,
        }
    }

    /// The switches.
    pub fn faults(&self) -> FaultSwitch<EndpointFaults> {
        self.shared.faults.clone()
    }

    /// The counts so far.
    pub fn counts(&self) -> EndpointCounts {
        self.count().clone()
    }

    fn from_settings(settings: Settings) -> Self {
        let shared = Shared {
            settings,
            faults: FaultSwitch::default(),
            counts: Mutex::default(),
            others: Mutex::default(),
            state: watch::Sender::new(EndpointState::Up),
            in_flight: watch::Sender::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    fn with(self, change: impl FnOnce(&mut Settings)) -> Self {
        let old = &self.shared.settings;
        let mut settings = Settings { service: old.service.clone(), ..*old };
        change(&mut settings);
        Self::from_settings(settings)
    }

    fn count(&self) -> MutexGuard<'_, EndpointCounts> {
        self.shared.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connected(&self) -> Result<Connection, Disconnect> {
        if self.shared.faults.get().down {
            return Err(Disconnect);
        }
        let mut counts = self.count();
        counts.connections += 1;
        counts.connection_excess += u64::from(counts.connections > self.shared.settings.connections);
        Ok(Connection { endpoint: self.clone() })
    }
}

/// Counts a connection while it lives.
struct Connection {
    endpoint: EndpointStandin,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.endpoint.count().connections -= 1;
    }
}
