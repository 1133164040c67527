//! The head of a caller's request, and its body if that is small.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use bytes::Bytes;
use fescuelead_core::{
    balance::TimeUs,
    ids::{RequestKey, ServiceName},
    profile::Profile,
};
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri, Version,
    body::{Body as _, Incoming},
    header::{HOST, HeaderValue},
};
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{
    entry::shared::{ConfigView, Shared},
    http::{
        Body, BodyError, CLAIM_INCARNATION, CLAIM_KEY, CLAIM_OFFSET, DEADLINE_MS, Failure, IDEMPOTENCY_KEY, REQUEST_ID,
        SERVICE, SINGLE_COPY, full, remove_hop_headers,
    },
};

/// Bodies up to this size are kept, so that the request can be sent again.
pub const REPLAY_BYTES: usize = 64 * 1024;
/// The largest body of a request.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// A body that can be sent once, or as often as needed.
#[derive(Debug)]
enum Payload {
    Kept(Bytes),
    Stream(Mutex<Option<Body>>),
}

/// One request of a caller.
#[derive(Debug)]
pub struct Call {
    /// The service that it is for.
    pub service: ServiceName,
    /// The profile that the service picked.
    pub profile: Profile,
    /// When its answer is due.
    pub deadline: TimeUs,
    /// The same as an instant.
    pub deadline_at: Instant,
    /// The id that the caller gave it, if any.
    pub caller_id: Option<HeaderValue>,
    /// The caller's idempotency key, made unique by the service.
    pub key: Option<RequestKey>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    payload: Payload,
}

/// A claim as it is told to the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRef {
    /// The key.
    pub key: RequestKey,
    /// The offset of the claim.
    pub offset: u64,
    /// The run of the agent.
    pub agent_incarnation: u64,
}

impl Call {
    /// Reads a request's head, and its body if that is small.
    ///
    /// # Errors
    ///
    /// Fails if the request names no known service, is non-idempotent and for a service of another home cell, or a header or the body is malformed. It did not run.
    pub async fn read(request: Request<Incoming>, config: &ConfigView, shared: &Arc<Shared>) -> Result<Self, Failure> {
        let bad = |detail: String| Failure::not_run(StatusCode::BAD_REQUEST, detail);
        let (service, uri) = route(request.uri())?;
        let profile = config.set.services.get(&service).and_then(|picked| config.set.profiles.get(&picked.profile));
        let profile = profile.cloned().ok_or_else(|| {
            Failure::not_run(
                StatusCode::NOT_FOUND,
                format!("service {service} has no profile; publish one that names it"),
            )
        })?;
        if let Some(home) = shared.other_home(&config.set, &service).filter(|_| !profile.idempotent) {
            return Err(Failure::other_cell(&format!("service {service}"), home, shared.cell));
        }
        let asked_ms = deadline_ms(request.headers()).map_err(bad)?;
        let deadline_ms = asked_ms.map_or(profile.deadline_ms, |ms| ms.min(profile.deadline_ms));
        let key = request_key(&service, request.headers()).map_err(bad)?;
        if key.is_none() && !profile.idempotent {
            return Err(bad("the service is non-idempotent; send the header Idempotency-Key".to_owned()));
        }
        let deadline = shared.now_us().plus_us(deadline_ms * 1_000);
        let deadline_at = Instant::now() + std::time::Duration::from_millis(deadline_ms);
        let (parts, body) = request.into_parts();
        let payload = read_body(body, deadline_at).await?;
        let mut headers = parts.headers;
        let caller_id = headers.remove(REQUEST_ID);
        remove_hop_headers(&mut headers);
        for internal in [CLAIM_KEY, CLAIM_OFFSET, CLAIM_INCARNATION, SERVICE, SINGLE_COPY] {
            headers.remove(internal);
        }
        headers.entry(HOST).or_insert(HeaderValue::from_static("fescuelead"));
        Ok(Self {
            service,
            profile,
            deadline,
            deadline_at,
            caller_id,
            key,
            method: parts.method,
            uri,
            headers,
            payload,
        })
    }

    /// Whether the body is kept, so that the request can be sent again.
    pub fn is_replayable(&self) -> bool {
        matches!(self.payload, Payload::Kept(_))
    }

    /// The request as it is sent to an agent, with a new id. Nothing if its body was used up before.
    pub fn to_request(&self, shared: &Shared, claim: Option<&ClaimRef>) -> Option<(HeaderValue, Request<Body>)> {
        let body = match &self.payload {
            Payload::Kept(bytes) => full(bytes.clone()),
            Payload::Stream(stream) => stream.lock().take()?,
        };
        let id = next_id(shared);
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        headers.insert(REQUEST_ID, id.clone());
        headers.insert(SERVICE, header(self.service.as_str()));
        headers.insert(DEADLINE_MS, HeaderValue::from(self.deadline.since_us(shared.now_us()) / 1_000));
        if claim.is_some() || !self.is_replayable() {
            headers.insert(SINGLE_COPY, HeaderValue::from_static("1"));
        }
        if let Some(claim) = claim {
            headers.insert(CLAIM_KEY, header(claim.key.as_str()));
            headers.insert(CLAIM_OFFSET, HeaderValue::from(claim.offset));
            headers.insert(CLAIM_INCARNATION, HeaderValue::from(claim.agent_incarnation));
        }
        Some((id, request))
    }

    /// A digest of method, path and body, to tell whether a repeated key asks for the same work.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(self.method.as_str().as_bytes());
        hasher.update(self.uri.to_string().as_bytes());
        if let Payload::Kept(bytes) = &self.payload {
            hasher.update(bytes);
        }
        hasher.digest()
    }
}

fn next_id(shared: &Shared) -> HeaderValue {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    header(&format!("{:x}-{number:x}", shared.me.incarnation))
}

fn header(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("identifiers are valid header values")
}

/// Splits `/s/{service}/{path}` into the service and the path for the endpoint.
fn route(uri: &Uri) -> Result<(ServiceName, Uri), Failure> {
    let not_found = || Failure::not_run(StatusCode::NOT_FOUND, "use the path /s/{service}/{path}");
    let rest = uri.path().strip_prefix("/s/").ok_or_else(not_found)?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = ServiceName::new(service).map_err(|e| Failure::not_run(StatusCode::BAD_REQUEST, e.to_string()))?;
    let target = match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok((service, target.parse().map_err(|_| not_found())?))
}

fn deadline_ms(headers: &HeaderMap) -> Result<Option<u64>, String> {
    let Some(value) = headers.get(DEADLINE_MS) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok()).filter(|ms| *ms > 0);
    number.map(Some).ok_or("x-deadline-ms is no positive number of milliseconds".to_owned())
}

fn request_key(service: &ServiceName, headers: &HeaderMap) -> Result<Option<RequestKey>, String> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    let text = value.to_str().map_err(|_| "Idempotency-Key holds characters that are not ASCII".to_owned())?;
    // RFC 8941 strings are quoted; many clients send the bare text.
    let text = text.trim().trim_matches('"');
    RequestKey::new(format!("{service}:{text}")).map(Some).map_err(|e| e.to_string())
}

async fn read_body(body: Incoming, deadline_at: Instant) -> Result<Payload, Failure> {
    let upper_bytes = body.size_hint().upper();
    if upper_bytes.is_some_and(|bytes| bytes > MAX_BODY_BYTES as u64) {
        let detail = format!("the body is larger than {MAX_BODY_BYTES} bytes; send it in parts");
        return Err(Failure::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail));
    }
    if upper_bytes.is_none_or(|bytes| bytes > REPLAY_BYTES as u64) {
        let limited = Limited::new(body, MAX_BODY_BYTES).map_err(|e| BodyError::new(&e));
        return Ok(Payload::Stream(Mutex::new(Some(limited.boxed()))));
    }
    match tokio::time::timeout_at(deadline_at, body.collect()).await {
        Ok(Ok(body)) => Ok(Payload::Kept(body.to_bytes())),
        Ok(Err(error)) => Err(Failure::not_run(StatusCode::BAD_REQUEST, BodyError::from(error).to_string())),
        Err(_) => Err(Failure::not_run(StatusCode::REQUEST_TIMEOUT, "the body did not arrive before the deadline")),
    }
}
