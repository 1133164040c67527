//! The HTTP/1.1 server that the stand-ins share.

use std::{
    convert::Infallible,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode, body::Body, body::Incoming, header, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// The body of an answer. An error breaks the connection off.
pub type AnswerBody = BoxBody<Bytes, Disconnect>;

/// What a handler returns; an error closes the connection without an answer.
pub(crate) type Handled = Pin<Box<dyn Future<Output = Result<Response<AnswerBody>, Disconnect>> + Send>>;

/// Closes the connection instead of answering.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disconnect;

impl fmt::Display for Disconnect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a fault switch closes the connection")
    }
}

impl std::error::Error for Disconnect {}

/// Binds `address` and serves until `token` is cancelled; then requests in flight are finished. `connected` is held for
/// the life of each connection.
pub(crate) async fn serve<H, C, G>(
    address: SocketAddr,
    token: CancellationToken,
    connected: C,
    handler: H,
) -> io::Result<SocketAddr>
where
    H: Fn(Request<Incoming>) -> Handled + Clone + Send + Sync + 'static,
    C: Fn() -> Result<G, Disconnect> + Send + 'static,
    G: Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = token.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    if let Ok(guard) = connected() {
                        tokio::spawn(connection(stream, handler.clone(), token.clone(), guard));
                    }
                }
                Err(error) => {
                    log::warn!("stand-in: accept failed on {bound}: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
    Ok(bound)
}

async fn connection<H, G>(stream: TcpStream, handler: H, token: CancellationToken, _guard: G)
where
    H: Fn(Request<Incoming>) -> Handled + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("stand-in: TCP_NODELAY failed: {error}");
    }
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service_fn(handler));
    let mut served = pin!(served);
    let result = tokio::select! {
        result = served.as_mut() => result,
        () = token.cancelled() => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = result {
        log::debug!("stand-in: connection ended: {error}");
    }
}

/// Collects a body of at most `limit` bytes, or says which status refuses it.
pub(crate) async fn collect<B>(body: B, limit: usize) -> Result<Bytes, StatusCode>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, limit).collect().await;
    collected.map(http_body_util::Collected::to_bytes).map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)
}

/// Collects a JSON body.
pub(crate) async fn collect_json<T: DeserializeOwned>(body: Incoming, limit: usize) -> Result<T, StatusCode> {
    let bytes = collect(body, limit).await?;
    serde_json::from_slice(&bytes).map_err(|_| StatusCode::BAD_REQUEST)
}

/// A body that is known as a whole.
pub(crate) fn full(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// An answer with a status and a text.
pub(crate) fn text(status: StatusCode, message: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(full(message));
    *response.status_mut() = status;
    response
}

/// An answer with a JSON body.
pub(crate) fn json(value: &impl Serialize) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::new(full(bytes));
            let value = header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, value);
            response
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
