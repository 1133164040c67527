//! How an endpoint answers a request.

use std::{sync::PoisonError, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Frame},
    header::{CONTENT_LENGTH, HeaderValue},
    http::request::Parts,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    endpoint::EndpointStandin,
    serve::{AnswerBody, Disconnect, collect, full, text},
};

const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;
const MAX_OTHERS: usize = 64;
const BREAK_OFF_DELAY: Duration = Duration::from_millis(20);
const REQUEST_ID: &str = "x-request-id";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const ECHOED: [&str; 3] = [REQUEST_ID, "traceparent", "tracestate"];

/// The body with which an endpoint answers a request: a line that names it, filled up to `length` with bytes that depend
/// on the request. Without an `x-request-id` the id is empty.
pub fn answer_body(request_id: &str, method: &str, path: &str, body: &[u8], length: usize) -> Bytes {
    let digest = xxh3_64(body);
    let mut answer = format!("{request_id} {method} {path} {digest:016x}\n").into_bytes();
    let mut block = xxh3_64(&answer);
    while answer.len() < length {
        answer.extend_from_slice(format!("{block:016x}").as_bytes());
        block = xxh3_64(&block.to_be_bytes());
    }
    answer.truncate(answer.len().min(length.max(answer_head_length(request_id, method, path))));
    answer.into()
}

// The first line is never cut: it is what tells requests apart.
fn answer_head_length(request_id: &str, method: &str, path: &str) -> usize {
    request_id.len() + method.len() + path.len() + 20
}

/// Counts a request while it is in flight, also if its caller goes away.
struct InFlight {
    endpoint: EndpointStandin,
}

impl InFlight {
    fn new(endpoint: &EndpointStandin) -> Self {
        let mut counts = endpoint.count();
        counts.arrived += 1;
        counts.in_flight += 1;
        counts.max_in_flight = counts.max_in_flight.max(counts.in_flight);
        counts.slot_excess += u64::from(counts.in_flight > endpoint.shared.settings.slots);
        let leaving = endpoint.shared.state.borrow().eq(&fescuelead_platform::announce::EndpointState::Leaving);
        counts.arrived_while_leaving += u64::from(leaving);
        drop(counts);
        endpoint.shared.in_flight.send_modify(|count| *count += 1);
        Self { endpoint: endpoint.clone() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.endpoint.count().in_flight -= 1;
        self.endpoint.shared.in_flight.send_modify(|count| *count -= 1);
    }
}

impl EndpointStandin {
    /// Answers one request, over HTTP or in memory.
    ///
    /// # Errors
    ///
    /// Fails if a fault closes the connection without an answer, or the request breaks off.
    pub async fn handle<B>(&self, request: Request<B>) -> Result<Response<AnswerBody>, Disconnect>
    where
        B: Body<Data = Bytes> + Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let faults = self.shared.faults.get();
        if faults.down {
            return Err(Disconnect);
        }
        let in_flight = InFlight::new(self);
        let (head, body) = request.into_parts();
        let Ok(body) = collect(body, MAX_REQUEST_BYTES).await else {
            return Err(Disconnect);
        };
        if self.shared.faults.take(|faults| &mut faults.errors) {
            let status = StatusCode::from_u16(faults.error_status).ok().filter(|_| faults.error_status >= 400);
            return Ok(text(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), "a fault switch asks for it"));
        }
        // Work that has begun is done even if the caller goes away.
        let endpoint = self.clone();
        let worked = tokio::spawn(async move {
            let response = endpoint.work(&head, &body).await;
            drop(in_flight);
            response
        });
        worked.await.unwrap_or(Err(Disconnect))
    }

    async fn work(&self, head: &Parts, body: &Bytes) -> Result<Response<AnswerBody>, Disconnect> {
        let settings = &self.shared.settings;
        if let Some(key) = header(&head.headers, IDEMPOTENCY_KEY) {
            *self.count().by_key.entry(key.to_owned()).or_default() += 1;
        }
        sleep_ms(settings.work_ms + self.shared.faults.get().delay_ms).await;
        let id = header(&head.headers, REQUEST_ID).unwrap_or_default();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let answer = answer_body(id, head.method.as_str(), path, body, settings.answer_bytes);
        let response = self.answer(head, id, answer).await;
        self.count().answered += 1;
        response
    }

    async fn answer(&self, head: &Parts, id: &str, answer: Bytes) -> Result<Response<AnswerBody>, Disconnect> {
        let faults = &self.shared.faults;
        let mut headers = HeaderMap::new();
        for name in ECHOED {
            if let Some(value) = head.headers.get(name) {
                headers.insert(name, value.clone());
            }
        }
        if faults.take(|faults| &mut faults.reset) {
            return Err(Disconnect);
        }
        let body = if faults.take(|faults| &mut faults.crossed) {
            let (other_id, other_answer) = self.other_answer(id, answer);
            if let Ok(value) = HeaderValue::from_str(&other_id) {
                headers.insert(REQUEST_ID, value);
            }
            full(other_answer)
        } else if faults.take(|faults| &mut faults.late) {
            sleep_ms(faults.get().late_ms).await;
            full(answer)
        } else if faults.take(|faults| &mut faults.short) {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(answer.len()));
            broken_off(answer, false)
        } else if faults.take(|faults| &mut faults.broken_chunk) {
            broken_off(answer, true)
        } else {
            self.remember(id, &answer);
            full(answer)
        };
        let mut response = Response::new(body);
        response.headers_mut().extend(headers);
        Ok(response)
    }

    fn remember(&self, id: &str, answer: &Bytes) {
        let mut others = self.shared.others.lock().unwrap_or_else(PoisonError::into_inner);
        others.push_back((id.to_owned(), answer.clone()));
        if others.len() > MAX_OTHERS {
            others.pop_front();
        }
    }

    /// The id and answer of an earlier request, or of an invented one if there was none.
    fn other_answer(&self, id: &str, answer: Bytes) -> (String, Bytes) {
        let mut others = self.shared.others.lock().unwrap_or_else(PoisonError::into_inner);
        let other = others.iter().rposition(|(other_id, other)| other_id != id && *other != answer);
        let found = other.and_then(|index| others.remove(index));
        others.push_back((id.to_owned(), answer));
        found.unwrap_or_else(|| {
            let invented = format!("not-{id}");
            let answer = answer_body(&invented, "GET", "/other", b"", self.shared.settings.answer_bytes);
            (invented, answer)
        })
    }
}

/// Sends the first half of an answer and then breaks the connection off.
fn broken_off(answer: Bytes, within_chunks: bool) -> AnswerBody {
    let half = answer.slice(..answer.len() / 2);
    let rest = stream::once(async move {
        // hyper writes the first half only when the body is not ready to go on.
        tokio::time::sleep(BREAK_OFF_DELAY).await;
        within_chunks.then_some(Err(Disconnect))
    });
    let first = stream::once(async { Ok(Frame::data(half)) });
    BodyExt::boxed(StreamBody::new(first.chain(rest.filter_map(|end| async { end }))))
}

fn header<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

async fn sleep_ms(span_ms: u64) {
    if span_ms > 0 {
        tokio::time::sleep(Duration::from_millis(span_ms)).await;
    }
}
