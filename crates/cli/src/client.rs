/*!
HTTP to the entries.

Entries are tried in turn. A request that did not run at one of them goes to the next. A request whose answer was lost
goes to the next only if repeating it does no harm; otherwise the command ends with the outcome unknown.
*/

use std::{cell::Cell, time::Duration};

use bytes::Bytes;
use fescuelead_wire::api::{Outcome, Problem};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, header};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use crate::{
    command::Settings,
    connect::{Connector, EntryAddress, no_ca_file},
    failure::{Exit, Failure},
};

/// Larger answers are taken for a mistake.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A request to any of the entries.
pub struct Call {
    method: Method,
    path: String,
    body: Option<Bytes>,
    if_match: Option<u64>,
    repeatable: bool,
    extra_ms: u64,
}

impl Call {
    /// Reads something.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path.into(), true)
    }

    /// Changes something; repeating the request does no harm.
    pub fn post(path: impl Into<String>) -> Self {
        Self::new(Method::POST, path.into(), true)
    }

    /// Changes something; the request is never repeated after it may have run.
    pub fn put_once(path: impl Into<String>) -> Self {
        Self::new(Method::PUT, path.into(), false)
    }

    fn new(method: Method, path: String, repeatable: bool) -> Self {
        Self { method, path, body: None, if_match: None, repeatable, extra_ms: 0 }
    }

    /// Sets a JSON body.
    pub fn with_json(self, body: &impl Serialize) -> Result<Self, Failure> {
        let bytes = serde_json::to_vec(body).map_err(|e| Failure::usage(format!("cannot encode the request: {e}")))?;
        Ok(Self { body: Some(bytes.into()), ..self })
    }

    /// Sets the version that must be in force.
    pub fn with_if_match(self, version: u64) -> Self {
        Self { if_match: Some(version), ..self }
    }

    /// Gives the entry this much longer to answer.
    pub fn with_extra_ms(self, extra_ms: u64) -> Self {
        Self { extra_ms, ..self }
    }
}

/// An answer, whatever its status.
#[derive(Debug, Clone)]
pub struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Answer {
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.status.as_u16()
    }

    /// The body as this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body).map_err(|e| {
            let message = format!("the answer cannot be read ({e}); check that tool and entry have the same version");
            Failure::new(Exit::Failure, message)
        })
    }

    fn problem(&self) -> Option<Problem> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// What one entry made of a request.
enum Try {
    Answered(Answer),
    NotRun(Failure),
    Lost(String),
}

/// Speaks to the entries.
pub struct Client {
    connector: Connector,
    entries: Vec<EntryAddress>,
    timeout_ms: u64,
    token: Option<String>,
    /// The entry that answered last; a command that asks often stays with it.
    preferred: Cell<usize>,
}

impl Client {
    /// A client for the entries in the settings.
    pub fn new(settings: &Settings) -> Result<Self, Failure> {
        if settings.entries.is_empty() {
            return Err(Failure::usage("no entry is named; set --entry or FESCUELEAD_ENTRY"));
        }
        if settings.ca_file.is_none() && settings.entries.iter().any(EntryAddress::is_tls) {
            return Err(no_ca_file());
        }
        Ok(Self {
            connector: Connector::new(settings.ca_file.as_deref())?,
            entries: settings.entries.clone(),
            timeout_ms: settings.timeout_ms,
            token: settings.token.clone(),
            preferred: Cell::new(0),
        })
    }

    /// Sends a request and reads a successful answer.
    pub async fn fetch<T: DeserializeOwned>(&self, call: Call) -> Result<T, Failure> {
        let answer = self.send(call).await?;
        if answer.status.is_success() { answer.json() } else { Err(failure_of(&answer)) }
    }

    /// Sends a request and returns the answer, unless no entry ran it.
    pub async fn send(&self, call: Call) -> Result<Answer, Failure> {
        let (mut not_run, mut lost) = (None, None);
        let first = self.preferred.get();
        for step in 0..self.entries.len() {
            let index = (first + step) % self.entries.len();
            let entry = &self.entries[index];
            match self.try_entry(entry, &call).await {
                Try::Answered(answer) => {
                    self.preferred.set(index);
                    return Ok(answer);
                }
                Try::NotRun(failure) => {
                    log::debug!("client: entry {entry} did not run the request: {}", failure.message());
                    not_run = Some(failure);
                }
                Try::Lost(reason) => {
                    log::debug!("client: the answer of entry {entry} was lost: {reason}");
                    lost = Some(format!("entry {entry}: {reason}"));
                    if !call.repeatable {
                        break;
                    }
                }
            }
        }
        match (lost, not_run) {
            (Some(reason), _) if call.method != Method::GET => {
                Err(Failure::new(Exit::Unknown, format!("the request may have run: {reason}")))
            }
            (Some(reason), _) => Err(Failure::new(Exit::NotRun, format!("no entry answered; last {reason}"))),
            (None, Some(failure)) => Err(failure),
            (None, None) => Err(Failure::usage("no entry is named; set --entry or FESCUELEAD_ENTRY")),
        }
    }

    async fn try_entry(&self, entry: &EntryAddress, call: &Call) -> Try {
        let request = match self.request(entry, call) {
            Ok(request) => request,
            Err(error) => return Try::NotRun(Failure::usage(format!("the request cannot be built: {error}"))),
        };
        let limit_ms = self.timeout_ms.saturating_add(call.extra_ms);
        match tokio::time::timeout(Duration::from_millis(limit_ms), self.exchange(entry, request, call.repeatable))
            .await
        {
            Ok(outcome) => match outcome {
                Try::NotRun(failure) => Try::NotRun(failure.with_prefix(&format!("entry {entry}"))),
                other => other,
            },
            Err(_) => Try::Lost(format!("no answer within {limit_ms} ms")),
        }
    }

    async fn exchange(&self, entry: &EntryAddress, request: Request<Full<Bytes>>, repeatable: bool) -> Try {
        // Each request has a connection of its own, so an error before it stands means that the request did not run.
        // Half of the time is left for the answer.
        let connect_deadline = Instant::now() + Duration::from_millis(self.timeout_ms) / 2;
        let mut sender = match self.connector.connect(entry, connect_deadline).await {
            Ok(sender) => sender,
            Err(failure) => return Try::NotRun(failure),
        };
        let response = match sender.send_request(request).await {
            Ok(response) => response,
            Err(error) if error.is_parse() && !entry.is_tls() => {
                return Try::Lost(format!("{}; if it serves TLS, name it as https://{entry}", root_cause(&error)));
            }
            Err(error) => return Try::Lost(root_cause(&error)),
        };
        let status = response.status();
        match Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await {
            Ok(body) => classify(Answer { status, body: body.to_bytes() }, repeatable),
            Err(error) => Try::Lost(format!("the answer broke off: {error}")),
        }
    }

    fn request(&self, entry: &EntryAddress, call: &Call) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header(header::HOST, entry.authority())
            .header(header::ACCEPT, "application/json, application/problem+json")
            .header(header::USER_AGENT, concat!("fescuelead/", env!("CARGO_PKG_VERSION")));
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(version) = call.if_match {
            request = request.header(header::IF_MATCH, format!("\"{version}\""));
        }
        if call.body.is_some() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        request.body(Full::new(call.body.clone().unwrap_or_default()))
    }
}

/// A refusal by an overloaded or starting entry, or one of another cell, may end otherwise at the next one; a request that was turned down for
/// what it asks would not.
fn classify(answer: Answer, repeatable: bool) -> Try {
    let problem = answer.problem();
    match (answer.status(), problem) {
        (421 | 429 | 502..=504, Some(problem)) if problem.outcome == Outcome::NotRun => Try::NotRun(problem.into()),
        (500..=599, Some(problem)) if problem.outcome == Outcome::Unknown && repeatable => {
            Try::Lost(problem.to_string())
        }
        (500..=599, None) => Try::Lost(format!("status {} without problem details", answer.status)),
        _ => Try::Answered(answer),
    }
}

/// The failure of an answer that is no success.
pub fn failure_of(answer: &Answer) -> Failure {
    match answer.problem() {
        Some(problem) => problem.into(),
        None => {
            let message =
                format!("status {} without problem details; check that this is an entry's API", answer.status);
            Failure::new(Exit::Failure, message)
        }
    }
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
