/*!
The request path of an agent: from an entry to the endpoint on this host and back.

The stages are: read the head, get a slot, admit the claim, forward, verify the answer, relay its body. Whatever fails
before the request is forwarded is *not run*.
*/

use std::sync::Arc;

use fescuelead_core::{
    balance::TimeUs,
    ids::{RequestKey, ServiceName},
    request_keys::Admit,
    slots::SlotError,
};
use fescuelead_wire::api::Outcome;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Version,
    body::{Body as _, Incoming},
    header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING},
    http::response::Parts,
};
use prometheus_client::metrics::counter::Counter;

use crate::{
    agent::endpoints::{HostEndpoints, Room, SlotHold, Target},
    http::{
        Body, BodyError, CLAIM_INCARNATION, CLAIM_KEY, CLAIM_OFFSET, DEADLINE_MS, Failure, LOAD, OUTCOME, REQUEST_ID,
        SERVICE, SINGLE_COPY, remove_hop_headers,
    },
    limited,
    metrics::{AgentMetrics, OutcomeLabel},
    relay::{Exchange, ExchangeError, Relay},
};

/// The longest deadline that an entry may ask for: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// What the agent needs of a request's head.
struct Call {
    service: ServiceName,
    request_id: HeaderValue,
    deadline: TimeUs,
    claim: Option<Claim>,
    room: Room,
}

struct Claim {
    key: RequestKey,
    offset: u64,
    agent_incarnation: u64,
}

/// Passes requests of entries on to the endpoints of one host.
#[derive(Debug)]
pub struct AgentProxy {
    host: Arc<HostEndpoints>,
    metrics: Outcomes,
}

/// Counts requests by outcome.
#[derive(Debug)]
struct Outcomes {
    answered: Counter,
    not_run: Counter,
    failed: Counter,
    unknown: Counter,
}

impl Outcomes {
    fn new(metrics: &AgentMetrics) -> Self {
        let counter = |outcome| metrics.requests.get_or_create_owned(&OutcomeLabel { outcome });
        Self {
            answered: counter("answered"),
            not_run: counter("not-run"),
            failed: counter("failed"),
            unknown: counter("unknown"),
        }
    }

    fn count(&self, result: &Result<Response<Body>, Failure>) {
        let counter = match result.as_ref().map_err(|failure| failure.outcome) {
            Ok(_) => &self.answered,
            Err(Outcome::NotRun) => &self.not_run,
            Err(Outcome::Failed) => &self.failed,
            Err(Outcome::Unknown) => &self.unknown,
        };
        counter.inc();
    }
}

impl AgentProxy {
    /// A proxy to these endpoints.
    pub fn new(host: Arc<HostEndpoints>, metrics: AgentMetrics) -> Arc<Self> {
        Arc::new(Self { host, metrics: Outcomes::new(&metrics) })
    }

    /// Answers one request.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let result = self.pass_on(request).await;
        self.metrics.count(&result);
        result.unwrap_or_else(Failure::into_response)
    }

    async fn pass_on(&self, request: Request<Incoming>) -> Result<Response<Body>, Failure> {
        let call = Call::read(request.headers(), &self.host)?;
        let admitted = self.host.acquire(&call.service, call.deadline, call.room).await;
        // A refusal tells the load as well, so that the entry learns at once that the endpoint is full or leaving.
        let (target, hold) =
            admitted.map_err(|e| refusal(&e).with_load(load_header(self.host.load_of(&call.service))))?;
        self.admit_claim(&call)?;
        let method = request.method().clone();
        let forward = self.forward(&call, &target, request);
        let exchange = tokio::time::timeout_at(self.host.instant(call.deadline), forward)
            .await
            .map_err(|_| Failure::unknown(StatusCode::GATEWAY_TIMEOUT, "the endpoint gave no answer in time"))?
            .map_err(|e| failure(&e))?;
        verify(&exchange.response, &call, &method)?;
        let load = load_header(self.host.load(target.key));
        let mut response = self.relay(exchange, call.deadline, hold);
        if let Some(load) = load {
            response.headers_mut().insert(LOAD, load);
        }
        Ok(response)
    }

    fn admit_claim(&self, call: &Call) -> Result<(), Failure> {
        let Some(claim) = &call.claim else { return Ok(()) };
        match self.host.admit_key(&claim.key, claim.offset, claim.agent_incarnation) {
            Admit::Run => Ok(()),
            Admit::NotRun => Err(Failure::not_run(
                StatusCode::CONFLICT,
                "the key was refused before; send the request under a new key",
            )),
            Admit::Unknown => Err(Failure::unknown(
                StatusCode::CONFLICT,
                "the key was seen before; ask for the outcome of the first one",
            )),
        }
    }

    async fn forward(
        &self,
        call: &Call,
        target: &Target,
        request: Request<Incoming>,
    ) -> Result<Exchange<fescuelead_core::slots::Connection>, ExchangeError> {
        let (mut parts, body) = request.into_parts();
        remove_hop_headers(&mut parts.headers);
        for internal in [SERVICE, CLAIM_KEY, CLAIM_OFFSET, CLAIM_INCARNATION, SINGLE_COPY] {
            parts.headers.remove(internal);
        }
        parts.headers.entry(HOST).or_insert(HeaderValue::from_static("endpoint"));
        let left_ms = call.deadline.since_us(self.host.now_us()) / 1_000;
        parts.headers.insert(DEADLINE_MS, HeaderValue::from(left_ms));
        parts.version = Version::HTTP_11;
        let request = Request::from_parts(parts, body.map_err(BodyError::from).boxed());
        target.pool.exchange(request, || self.host.connect(target.key)).await
    }

    fn relay(
        &self,
        exchange: Exchange<fescuelead_core::slots::Connection>,
        deadline: TimeUs,
        hold: SlotHold,
    ) -> Response<Body> {
        let (mut parts, relay) = exchange.relay(self.host.instant(deadline), move |_end| drop(hold));
        clean_answer(&mut parts);
        answer(parts, relay)
    }
}

impl Call {
    fn read(headers: &HeaderMap, host: &HostEndpoints) -> Result<Self, Failure> {
        let bad = |detail: &str| Failure::not_run(StatusCode::BAD_REQUEST, detail);
        let service = text(headers, &SERVICE).ok_or_else(|| bad("the header fescuelead-service is missing"))?;
        let service = ServiceName::new(service).map_err(|e| bad(&e.to_string()))?;
        let request_id = headers.get(REQUEST_ID).cloned().ok_or_else(|| bad("the header x-request-id is missing"))?;
        let deadline_ms: u64 = text(headers, &DEADLINE_MS)
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| bad("the header x-deadline-ms is missing or no number"))?;
        let room = if headers.contains_key(SINGLE_COPY) { Room::SingleCopy } else { Room::Usual };
        let deadline = host.now_us().plus_us(deadline_ms.min(MAX_DEADLINE_MS) * 1_000);
        Ok(Self { service, request_id, deadline, claim: Claim::read(headers).map_err(|detail| bad(&detail))?, room })
    }
}

impl Claim {
    fn read(headers: &HeaderMap) -> Result<Option<Self>, String> {
        let Some(key) = text(headers, &CLAIM_KEY) else { return Ok(None) };
        let number = |name: &HeaderName| -> Result<u64, String> {
            text(headers, name).and_then(|text| text.parse().ok()).ok_or(format!("the header {name} is no number"))
        };
        let key = RequestKey::new(key).map_err(|e| e.to_string())?;
        Ok(Some(Self { key, offset: number(&CLAIM_OFFSET)?, agent_incarnation: number(&CLAIM_INCARNATION)? }))
    }
}

fn text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn load_header(load: Option<String>) -> Option<HeaderValue> {
    load.and_then(|load| HeaderValue::from_str(&load).ok())
}

fn refusal(error: &SlotError) -> Failure {
    Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
}

fn failure(error: &ExchangeError) -> Failure {
    match error {
        ExchangeError::NotSent { .. } => Failure::not_run(StatusCode::BAD_GATEWAY, error.to_string()),
        ExchangeError::Broken { .. } => Failure::unknown(StatusCode::BAD_GATEWAY, error.to_string()),
    }
}

/// An answer that does not carry the id of its request may be another caller's. One without a length or chunks ends where
/// the connection does, so nobody could tell a part from the whole.
fn verify(response: &Response<Incoming>, call: &Call, method: &Method) -> Result<(), Failure> {
    if response.headers().get(REQUEST_ID) != Some(&call.request_id) {
        limited!(Warn, "proxy: an answer of {} carries another request id; it is dropped.", call.service);
        return Err(Failure::unknown(StatusCode::BAD_GATEWAY, "the endpoint answered another request"));
    }
    let empty = *method == Method::HEAD || response.body().is_end_stream();
    let headers = response.headers();
    if empty || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) {
        return Ok(());
    }
    Err(Failure::unknown(StatusCode::BAD_GATEWAY, "the endpoint's answer has neither a length nor chunks"))
}

fn clean_answer(parts: &mut Parts) {
    remove_hop_headers(&mut parts.headers);
    // Only fescuelead itself may say what the outcome of a request is.
    parts.headers.remove(OUTCOME);
    parts.headers.remove(CONNECTION);
    parts.version = Version::HTTP_11;
}

fn answer(parts: Parts, relay: Relay) -> Response<Body> {
    Response::from_parts(parts, relay.boxed())
}
