//! A small HTTP client for the API and the request path.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client as HyperClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

/// An answer with its body as text.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The outcome header of a failure.
    pub outcome: Option<String>,
    /// The body.
    pub text: String,
}

impl Answer {
    /// The body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

/// Calls entries.
#[derive(Debug, Clone)]
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
    token: String,
}

impl Client {
    /// A client with an operator's token.
    pub fn new(token: &str) -> Self {
        Self { http: HyperClient::builder(TokioExecutor::new()).build_http(), token: token.to_owned() }
    }

    /// Sends a request with JSON or text in its body and further headers.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer comes.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Answer> {
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        request = request.header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = self.http.request(request.body(Full::new(body.into()))?).await?;
        Self::read(response).await
    }

    /// Gets a path.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer comes.
    pub async fn get(&self, address: SocketAddr, path: &str) -> anyhow::Result<Answer> {
        self.call(Method::GET, address, path, &[], "").await
    }

    async fn read(response: Response<Incoming>) -> anyhow::Result<Answer> {
        let (parts, body) = response.into_parts();
        let outcome = parts.headers.get("fescuelead-outcome").and_then(|value| value.to_str().ok()).map(str::to_owned);
        let bytes = body.collect().await?.to_bytes();
        Ok(Answer { status: parts.status, outcome, text: String::from_utf8_lossy(&bytes).into_owned() })
    }
}
