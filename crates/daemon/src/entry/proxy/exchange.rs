//! One copy of a request: to an agent and back, with its answer verified.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use fescuelead_core::balance::{
    Dispatched, EndpointKey, EndpointReport, EndpointRequest, Outcome, OutcomeKind, Permit, Unavailable,
};
use fescuelead_wire::api::Outcome as FailureOutcome;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Body as _, Incoming},
    header::HeaderValue,
    http::response::Parts,
};
use parking_lot::Mutex;

use crate::{
    entry::{
        proxy::call::{Call, ClaimRef, REPLAY_BYTES},
        shared::Shared,
    },
    http::{Body, LOAD, OUTCOME, REQUEST_ID, full},
    relay::{Exchange, ExchangeError, Pool, RelayEnd},
};

const MAX_IDLE_PER_AGENT: usize = 64;

/// Why a copy of a request brought no answer.
#[derive(Debug)]
pub enum CopyError {
    /// It truly did not run.
    NotRun {
        /// The status for the caller.
        status: StatusCode,
        /// Why.
        detail: String,
        /// Whether the endpoints were full.
        full: bool,
    },
    /// It may have run.
    Unknown {
        /// The status for the caller.
        status: StatusCode,
        /// Why.
        detail: String,
    },
}

/// A whole answer, or one that is still coming in and will be relayed.
pub struct Answer {
    /// Its head.
    pub parts: Parts,
    /// All of its body, if that is small.
    pub whole: Option<Bytes>,
    /// The body to relay otherwise.
    pub stream: Option<Body>,
}

impl Answer {
    /// The answer as it goes to the caller.
    pub fn into_response(self) -> Response<Body> {
        let body = match (self.whole, self.stream) {
            (Some(bytes), _) => full(bytes),
            (None, Some(stream)) => stream,
            (None, None) => full(Bytes::new()),
        };
        Response::from_parts(self.parts, body)
    }
}

/// Which copy of a request an endpoint is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyKind {
    /// The first one, or a retry; it may be a probe.
    First,
    /// The only one that there will ever be.
    Only,
    /// A second one beside the first; it only takes a slot that is free.
    Hedge,
}

/// Sends copies of requests.
pub struct Dispatcher {
    shared: Arc<Shared>,
    pools: Mutex<HashMap<SocketAddr, Arc<Pool<()>>>>,
}

/// A copy's place at an endpoint. If the copy is abandoned, the endpoint's time so far still counts.
struct Ticket {
    shared: Arc<Shared>,
    permit: Option<Permit<EndpointKey, Dispatched>>,
    report: Option<EndpointReport>,
}

impl Ticket {
    fn end(&mut self, ending: OutcomeKind) {
        if let Some(permit) = self.permit.take() {
            let now = self.shared.now_us();
            let outcome = match ending {
                OutcomeKind::NotRun => Outcome::not_run(),
                ending => Outcome::new(ending, now.since_us(permit.since())),
            };
            let outcome = Outcome { report: self.report, ..outcome };
            self.shared.endpoints().balancer.end(permit, &outcome, now);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.end(OutcomeKind::Abandoned);
    }
}

impl Dispatcher {
    /// A dispatcher without connections.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, pools: Mutex::new(HashMap::new()) }
    }

    /// Chooses an endpoint for a copy.
    ///
    /// # Errors
    ///
    /// Fails if none is up or all are full.
    pub fn choose(
        &self,
        call: &Call,
        avoid: Option<EndpointKey>,
        copy: CopyKind,
    ) -> Result<Permit<EndpointKey, fescuelead_core::balance::Reserved>, Unavailable> {
        let now = self.shared.now_us();
        let mut endpoints = self.shared.endpoints();
        let service = endpoints.balancer.service(&call.service).ok_or(Unavailable::NoEndpoint)?;
        let ask = match copy {
            CopyKind::First => EndpointRequest::new(call.deadline).with_may_probe(call.is_replayable()),
            CopyKind::Only => EndpointRequest::new(call.deadline),
            CopyKind::Hedge => EndpointRequest::new(call.deadline).with_free_slot(),
        };
        let ask = EndpointRequest { avoid, ..ask };
        endpoints.balancer.choose(service, &ask, now, &mut rand::rng())
    }

    /// Sends a copy to a chosen endpoint and verifies its answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no whole answer to this very copy, and says whether it may have run.
    pub async fn send(
        &self,
        call: &Call,
        permit: Permit<EndpointKey, fescuelead_core::balance::Reserved>,
        claim: Option<&ClaimRef>,
    ) -> Result<Answer, CopyError> {
        let key = permit.endpoint();
        let Some(address) = self.shared.endpoints().address(key) else {
            return Err(CopyError::not_run(StatusCode::SERVICE_UNAVAILABLE, "the endpoint is gone"));
        };
        let Some((id, request)) = call.to_request(&self.shared, claim) else {
            return Err(CopyError::not_run(StatusCode::SERVICE_UNAVAILABLE, "the body cannot be sent again"));
        };
        let mut ticket = Ticket {
            shared: Arc::clone(&self.shared),
            permit: Some(permit.dispatch(self.shared.now_us())),
            report: None,
        };
        let pool = self.pool(address);
        let exchange = pool.exchange(request, || Ok::<_, std::convert::Infallible>(()));
        let exchange = match tokio::time::timeout_at(call.deadline_at, exchange).await {
            Ok(Ok(exchange)) => exchange,
            Ok(Err(error)) => {
                ticket.end(OutcomeKind::Failed);
                return Err(error.into());
            }
            Err(_) => return Err(CopyError::late()),
        };
        ticket.report = load(exchange.response.headers());
        if let Err(error) = verify(&exchange.response, &id) {
            ticket.end(if error.is_not_run() { OutcomeKind::NotRun } else { OutcomeKind::Failed });
            return Err(error);
        }
        read(exchange, call, ticket).await
    }

    fn pool(&self, address: SocketAddr) -> Arc<Pool<()>> {
        let mut pools = self.pools.lock();
        Arc::clone(pools.entry(address).or_insert_with(|| Pool::new(address, MAX_IDLE_PER_AGENT)))
    }
}

/// Reads a small body to its end, so that a broken one can still be asked for again; relays a large one.
async fn read(exchange: Exchange<()>, call: &Call, mut ticket: Ticket) -> Result<Answer, CopyError> {
    let length_bytes = exchange.response.body().size_hint().exact();
    let small = length_bytes.is_some_and(|bytes| bytes <= REPLAY_BYTES as u64);
    if !small {
        let (parts, relay) = exchange.relay(call.deadline_at, move |end| {
            ticket.end(match end {
                RelayEnd::Whole => OutcomeKind::Answered,
                RelayEnd::Broken => OutcomeKind::Failed,
                RelayEnd::Late | RelayEnd::Dropped => OutcomeKind::Abandoned,
            });
        });
        return Ok(Answer { parts, whole: None, stream: Some(relay.boxed()) });
    }
    let (parts, relay) = exchange.relay(call.deadline_at, |_end| ());
    match relay.collect().await {
        Ok(body) => {
            ticket.end(if parts.status.is_server_error() { OutcomeKind::Failed } else { OutcomeKind::Answered });
            Ok(Answer { parts, whole: Some(body.to_bytes()), stream: None })
        }
        Err(error) => {
            ticket.end(OutcomeKind::Failed);
            Err(CopyError::unknown(StatusCode::BAD_GATEWAY, error))
        }
    }
}

/// The load that the agent sent with its answer.
fn load(headers: &HeaderMap) -> Option<EndpointReport> {
    let mut parts = headers.get(LOAD)?.to_str().ok()?.split(';');
    let in_flight = parts.next()?.parse().ok()?;
    let service_us: u64 = parts.next()?.parse().ok()?;
    let leaving = parts.next()? == "1";
    Some(EndpointReport {
        in_flight,
        leaving,
        service_us: (service_us > 0).then_some(service_us),
        ..EndpointReport::default()
    })
}

fn verify(response: &Response<Incoming>, id: &HeaderValue) -> Result<(), CopyError> {
    let headers = response.headers();
    if let Some(outcome) = headers.get(OUTCOME).and_then(|value| value.to_str().ok()) {
        let status = response.status();
        let detail = "the agent could not pass the request on";
        return Err(if outcome == FailureOutcome::NotRun.as_str() {
            let full = status == StatusCode::SERVICE_UNAVAILABLE;
            CopyError::NotRun { status, detail: detail.to_owned(), full }
        } else {
            CopyError::unknown(status, detail)
        });
    }
    if headers.get(REQUEST_ID) != Some(id) {
        return Err(CopyError::unknown(StatusCode::BAD_GATEWAY, "the answer belongs to another request"));
    }
    Ok(())
}

impl CopyError {
    /// A copy that did not run.
    pub fn not_run(status: StatusCode, detail: impl ToString) -> Self {
        Self::NotRun { status, detail: detail.to_string(), full: false }
    }

    fn unknown(status: StatusCode, detail: impl ToString) -> Self {
        Self::Unknown { status, detail: detail.to_string() }
    }

    /// A copy whose answer did not come in time.
    pub fn late() -> Self {
        Self::unknown(StatusCode::GATEWAY_TIMEOUT, "no answer came before the deadline")
    }

    /// Whether it did not run because the endpoint, or every endpoint, was full.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::NotRun { full: true, .. })
    }

    /// Whether it truly did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}

impl From<ExchangeError> for CopyError {
    fn from(error: ExchangeError) -> Self {
        match &error {
            ExchangeError::NotSent { .. } => Self::not_run(StatusCode::BAD_GATEWAY, error),
            ExchangeError::Broken { .. } => Self::unknown(StatusCode::BAD_GATEWAY, error),
        }
    }
}
