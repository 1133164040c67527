/*!
The HTTP/1.1 client that the adapters share.

A failure says whether the request may have reached the service: a failed connect is [`HttpError::NotSent`]; whatever
goes wrong later, including the deadline, is [`HttpError::AnswerLost`].
*/

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, StatusCode, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

const IDLE_CONNECTIONS: usize = 4;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_HEADER_BYTES: usize = 64 * 1024;
const MAX_ERROR_CHARS: usize = 200;

/// Says why an exchange failed and whether the request may have been received.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// No connection came about, so nothing was sent.
    #[error("cannot connect: {0}")]
    NotSent(String),
    /// The request may have been received, but there is no whole answer.
    #[error("no answer: {0}")]
    AnswerLost(String),
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// The beginning of the body as text, for error messages.
    pub fn message(&self) -> String {
        let text: String = String::from_utf8_lossy(&self.body).chars().take(MAX_ERROR_CHARS).collect();
        format!("status {}: {}", self.status.as_u16(), text.trim())
    }
}

/// One exchange for [`HttpClient::send`].
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    timeout_ms: u64,
    max_answer_bytes: usize,
}

impl Call {
    /// A call without a body that must be answered within 2 s by at most 1 MiB.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout_ms: 2_000,
            max_answer_bytes: 1024 * 1024,
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the time for connect, request and whole answer.
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sets the largest body of an answer.
    pub fn with_max_answer_bytes(mut self, max_answer_bytes: usize) -> Self {
        self.max_answer_bytes = max_answer_bytes;
        self
    }
}

/// A client of one service at a fixed address. Clones share the idle connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl HttpClient {
    /// A client that gives up a connect after `connect_timeout_ms`.
    pub fn new(address: SocketAddr, connect_timeout_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(connect_timeout_ms)));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .http1_max_buf_size(MAX_HEADER_BYTES)
            .build(connector);
        Self { client, address }
    }

    /// Sends a request and receives the whole answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails if no connection comes about, the deadline passes, or the answer breaks off or is too large.
    pub async fn send(&self, call: Call) -> Result<Answer, HttpError> {
        let timeout_ms = call.timeout_ms;
        match tokio::time::timeout(Duration::from_millis(timeout_ms), self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::AnswerLost(format!("{} did not answer in {timeout_ms} ms", self.address))),
        }
    }

    async fn exchange(&self, call: Call) -> Result<Answer, HttpError> {
        let max_answer_bytes = call.max_answer_bytes;
        let request = self.request(call)?;
        let response = self.client.request(request).await.map_err(|error| self.classify(&error))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, max_answer_bytes)
            .collect()
            .await
            .map_err(|error| HttpError::AnswerLost(format!("the answer of {} is not whole: {error}", self.address)))?
            .to_bytes();
        Ok(Answer { status: head.status, headers: head.headers, body })
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>, HttpError> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header(header::HOST, self.address.to_string());
        for (name, value) in call.headers {
            builder = builder.header(name, value);
        }
        builder.body(Full::new(call.body)).map_err(|error| HttpError::NotSent(format!("invalid request: {error}")))
    }

    // The pooled client itself repeats a request only if none of it was written to the connection.
    fn classify(&self, error: &hyper_util::client::legacy::Error) -> HttpError {
        let cause = std::error::Error::source(error).map_or_else(|| error.to_string(), ToString::to_string);
        let message = format!("{}: {cause}", self.address);
        if error.is_connect() { HttpError::NotSent(message) } else { HttpError::AnswerLost(message) }
    }
}

/// Whether a text can stand as one segment of a path without being escaped.
pub(crate) fn is_path_segment(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':');
    !matches!(text, "" | "." | "..") && text.len() <= 256 && text.chars().all(plain)
}
