/*!
What HTTP on the request path shares: headers, bodies, and failures as problem details (RFC 9457).

Every failure is exactly one of three outcomes, see [`Outcome`]. It stands in the header `fescuelead-outcome` and in
the body, so that a client can tell by machine whether a repeat is safe.
*/

use std::{convert::Infallible, fmt};

use bytes::Bytes;
use fescuelead_wire::api::{Outcome, PROBLEM_MEDIA_TYPE, Problem};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{
        CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, RETRY_AFTER, TE,
        TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

/// Correlates a request with its answer over all hops.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The time left for the request, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The outcome of a failed request.
pub const OUTCOME: HeaderName = HeaderName::from_static("fescuelead-outcome");
/// The service that an entry wants from an agent.
pub const SERVICE: HeaderName = HeaderName::from_static("fescuelead-service");
/// Marks a request that cannot be sent to another endpoint, between entry and agent.
pub const SINGLE_COPY: HeaderName = HeaderName::from_static("fescuelead-single-copy");
/// The key of a claimed request, between entry and agent.
pub const CLAIM_KEY: HeaderName = HeaderName::from_static("fescuelead-claim-key");
/// The offset of the claim, between entry and agent.
pub const CLAIM_OFFSET: HeaderName = HeaderName::from_static("fescuelead-claim-offset");
/// The run of the agent that the claim names, between entry and agent.
pub const CLAIM_INCARNATION: HeaderName = HeaderName::from_static("fescuelead-claim-incarnation");
/// The load of an endpoint as its agent sees it, with every answer of the agent: `in_flight;service_us;leaving`, the last
/// as 0 or 1.
pub const LOAD: HeaderName = HeaderName::from_static("fescuelead-load");
/// The idempotency key that the caller chose.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that hold for one connection only (RFC 9110, section 7.6.1).
const HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes headers that hold for one connection only, those named by `Connection` included.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    named.iter().chain(&HOP_HEADERS).for_each(|name| {
        headers.remove(name);
    });
}

/// A body that is sent.
pub type Body = BoxBody<Bytes, BodyError>;

/// Says why a body broke off. The connection is then closed without the end of the message, so that nobody takes the
/// part for the whole.
#[derive(Debug)]
pub struct BodyError {
    message: String,
}

impl BodyError {
    /// A body that broke off because of `cause`.
    pub fn new(cause: &dyn fmt::Display) -> Self {
        Self { message: cause.to_string() }
    }
}

impl From<hyper::Error> for BodyError {
    fn from(error: hyper::Error) -> Self {
        Self::new(&error)
    }
}

impl From<Infallible> for BodyError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the body broke off ({}); repeat the request if that is safe", self.message)
    }
}

impl std::error::Error for BodyError {}

/// A body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(BodyError::from).boxed()
}

/// A failure as it is told to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The HTTP status.
    pub status: StatusCode,
    /// What is known about the request.
    pub outcome: Outcome,
    /// What happened and what to do.
    pub detail: String,
    /// When a repeat may succeed.
    pub retry_after_ms: Option<u64>,
    /// The cell where the request would be accepted.
    pub home_cell: Option<u32>,
    /// The load of the endpoint, from an agent to an entry.
    pub load: Option<HeaderValue>,
}

impl Failure {
    fn new(status: StatusCode, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self { status, outcome, detail: detail.into(), retry_after_ms: None, home_cell: None, load: None }
    }

    /// A request that did not run.
    pub fn not_run(status: StatusCode, detail: impl Into<String>) -> Self {
        Self::new(status, Outcome::NotRun, detail)
    }

    /// A request that may have run.
    pub fn unknown(status: StatusCode, detail: impl Into<String>) -> Self {
        Self::new(status, Outcome::Unknown, detail)
    }

    /// A request that ran and failed.
    pub fn failed(status: StatusCode, detail: impl Into<String>) -> Self {
        Self::new(status, Outcome::Failed, detail)
    }

    /// A request of a service whose home cell is another one, or for a task of another cell. It did not run.
    pub fn other_cell(what: &str, home_cell: u32, own_cell: u32) -> Self {
        let problem = Problem::other_cell(what, home_cell, own_cell);
        Self { home_cell: Some(home_cell), ..Self::not_run(StatusCode::MISDIRECTED_REQUEST, problem.detail) }
    }

    /// Sets when a repeat may succeed.
    pub fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self { retry_after_ms: Some(retry_after_ms), ..self }
    }

    /// Adds the load of the endpoint.
    pub fn with_load(self, load: Option<HeaderValue>) -> Self {
        Self { load, ..self }
    }

    /// The problem details (RFC 9457) of the failure.
    pub fn to_problem(&self) -> Problem {
        let title = self.status.canonical_reason().unwrap_or("Failure");
        let problem = Problem::new(self.status.as_u16(), title, self.outcome).with_detail(&*self.detail);
        let problem = match self.home_cell {
            Some(home_cell) => problem.with_home_cell(home_cell),
            None => problem,
        };
        match self.retry_after_ms {
            Some(retry_after_ms) => problem.with_retry_after_ms(retry_after_ms),
            None => problem,
        }
    }

    /// The answer to the caller.
    pub fn into_response(self) -> Response<Body> {
        let mut response = Response::new(full(serde_json::to_vec(&self.to_problem()).unwrap_or_default()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_MEDIA_TYPE));
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        if let Some(retry_after_ms) = self.retry_after_ms {
            headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_ms.div_ceil(1_000)));
        }
        if let Some(load) = self.load {
            headers.insert(LOAD, load);
        }
        response
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a failure that a client cannot tell apart by machine.
    #[test]
    fn a_failure_carries_its_outcome_in_header_and_body() {
        let failure = Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "no endpoint").with_retry_after_ms(1_500);
        assert_eq!(failure.to_problem().outcome, Outcome::NotRun);
        let response = failure.into_response();
        assert_eq!(response.headers()[OUTCOME], "not-run");
        assert_eq!(response.headers()[RETRY_AFTER], "2");
    }
}
