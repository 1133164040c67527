//! What the salvo APIs of both roles share: probes, metrics, and answers as JSON or problem details.

use fescuelead_wire::api::{PROBLEM_MEDIA_TYPE, Problem};
use salvo::{
    Depot, Response, Router, Server,
    conn::{Acceptor, tcp::TcpAcceptor},
    handler,
    http::{HeaderValue, StatusCode, header::CONTENT_TYPE},
    prelude::{Json, Text},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::sync::CancellationToken;

use crate::{lifecycle::Shutdown, tls::Handshaker};

mod tls_acceptor;

use self::tls_acceptor::TlsAcceptor;

/// The largest JSON body.
pub const MAX_JSON_BYTES: usize = 512 * 1024;

/// Answers with JSON.
pub fn ok<T: Serialize + Send>(response: &mut Response, status: StatusCode, body: T) {
    response.status_code(status);
    response.render(Json(body));
}

/// Answers with problem details.
pub fn fail(response: &mut Response, problem: &Problem) {
    fail_with(response, problem.status, problem);
}

/// Answers with problem details that have further members.
pub fn fail_with<T: Serialize>(response: &mut Response, status: u16, problem: &T) {
    response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_MEDIA_TYPE));
    let bytes = serde_json::to_vec(problem).unwrap_or_default();
    // Writing to a fresh response buffers the bytes and cannot fail.
    let _ = response.write_body(bytes);
}

/// Reads a JSON body of limited size.
///
/// # Errors
///
/// Fails with a problem for the caller if the body is too large or no JSON of this type.
pub async fn body<T: DeserializeOwned>(request: &mut salvo::Request) -> Result<T, Problem> {
    let bad = |status, detail: String| {
        Problem::new(status, "bad request", fescuelead_wire::api::Outcome::NotRun).with_detail(detail)
    };
    let bytes = request
        .payload_with_max_size(MAX_JSON_BYTES)
        .await
        .map_err(|e| bad(413, format!("the body cannot be read ({e}); send at most {MAX_JSON_BYTES} bytes")))?;
    serde_json::from_slice(bytes).map_err(|e| bad(400, format!("the body is not what this call takes: {e}")))
}

/// Routes that both roles have.
pub fn common_routes() -> Router {
    Router::new()
        .push(Router::with_path("healthz").get(healthz))
        .push(Router::with_path("readyz").get(readyz))
        .push(Router::with_path("metrics").get(metrics))
}

#[handler]
async fn healthz(response: &mut Response) {
    response.render(Text::Plain("alive\n"));
}

#[handler]
async fn readyz(depot: &mut Depot, response: &mut Response) {
    let ready = depot.get::<Shutdown>("shutdown").is_ok_and(Shutdown::is_ready);
    if ready {
        response.render(Text::Plain("ready\n"));
    } else {
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        response.render(Text::Plain("not ready\n"));
    }
}

#[handler]
async fn metrics(depot: &mut Depot, response: &mut Response) {
    let text = depot.get::<crate::metrics::Metrics>("metrics").map(crate::metrics::Metrics::encode).unwrap_or_default();
    let media_type = HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    let _ = response.write_body(text);
}

/// Serves a router until `stop`, over TLS if `tls` is given.
///
/// # Errors
///
/// Fails if the listener cannot be used.
pub fn serve(
    tasks: &mut JoinSet<()>,
    listener: TcpListener,
    tls: Option<Handshaker>,
    router: Router,
    max_connections: usize,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let acceptor = TcpAcceptor::try_from(listener)?;
    match tls {
        None => spawn_server(tasks, acceptor, router, max_connections, stop),
        Some(tls) => spawn_server(tasks, TlsAcceptor::new(acceptor, tls), router, max_connections, stop),
    }
    Ok(())
}

fn spawn_server(
    tasks: &mut JoinSet<()>,
    acceptor: impl Acceptor + 'static,
    router: Router,
    max_connections: usize,
    stop: CancellationToken,
) {
    let server = Server::new(acceptor).max_connections(max_connections);
    let handle = server.handle();
    tasks.spawn(async move {
        stop.cancelled().await;
        handle.stop_graceful(std::time::Duration::from_secs(1));
    });
    tasks.spawn(async move {
        if let Err(error) = server.try_serve(router).await {
            log::error!("api: the listener ended: {error}");
        }
    });
}
