//! The HTTP/1.1 server of the request listeners, with and without TLS: limits on connections, and graceful shutdown.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::{GracefulShutdown, Watcher},
};
use prometheus_client::metrics::gauge::Gauge;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tokio_util::sync::CancellationToken;

use crate::{http::Body, limited, metrics::Counted, threads::ConnectionThreads, tls::Handshaker};

const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_HEADER_BYTES: usize = 32 * 1024;

/// Binds the listener of a flag.
///
/// # Errors
///
/// Fails with the flag and the remedy if the address cannot be bound.
pub async fn bind(address: SocketAddr, flag: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("{flag}: {address} cannot be bound; choose a free address"))
}

/// Limits of a listener, and how it stops.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    max_connections: usize,
    drain_ms: u64,
    open: Gauge,
    max_threads: usize,
    tls: Option<Handshaker>,
}

impl ServerOptions {
    /// Plain HTTP with at most `max_connections` at one time; more wait in the listen queue. `open` counts them. After the
    /// stop, connections may take `drain_ms` to finish.
    pub fn new(max_connections: usize, drain_ms: u64, open: Gauge) -> Self {
        Self { max_connections, drain_ms, open, max_threads: 1, tls: None }
    }

    /// Sets the most threads that serve connections; one without it.
    pub fn with_max_threads(self, max_threads: usize) -> Self {
        Self { max_threads, ..self }
    }

    /// Serves TLS, if given. A connection counts as open from the start of its handshake.
    pub fn with_tls(self, tls: Option<Handshaker>) -> Self {
        Self { tls, ..self }
    }
}

/// Serves HTTP/1.1 until `stop`, then lets the requests in flight finish. Returns the number of connections that did not
/// finish in time.
pub async fn serve<S, F>(listener: TcpListener, options: ServerOptions, stop: CancellationToken, service: S) -> usize
where
    S: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let slots = Arc::new(Semaphore::new(options.max_connections));
    let mut threads = ConnectionThreads::new("request", options.max_threads);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = accept(&listener, &slots) => accepted,
        };
        let Some((stream, peer, slot)) = accepted else { continue };
        let service = service.clone();
        let held = (slot, Counted::new(&options.open));
        // Made here, so that a connection that is still on its way to its thread counts as open.
        let watcher = graceful.watcher();
        // Tasks of their own kind, so that a plain connection holds no memory for TLS.
        let spawned = match options.tls.clone() {
            None => threads.spawn(async move {
                if let Ok(stream) = TcpStream::from_std(stream) {
                    serve_connection(stream, peer, service, watcher).await;
                }
                drop(held);
            }),
            Some(tls) => threads.spawn(async move {
                if let Ok(stream) = TcpStream::from_std(stream)
                    && let Some(stream) = tls.handshake(stream).await
                {
                    serve_connection(stream, peer, service, watcher).await;
                }
                drop(held);
            }),
        };
        if let Err(error) = spawned {
            limited!(Error, "http: no thread can be started for a connection: {error}");
        }
    }
    drop(listener);
    let open = graceful.count();
    let drained = tokio::time::timeout(Duration::from_millis(options.drain_ms), graceful.shutdown()).await;
    if drained.is_ok() { 0 } else { open }
}

async fn serve_connection<I, S, F>(stream: I, peer: SocketAddr, service: S, watcher: Watcher)
where
    I: AsyncRead + AsyncWrite + Unpin + 'static,
    S: Fn(Request<Incoming>, SocketAddr) -> F,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = service_fn(move |request| {
        // hyper keeps room for the handler's future while a connection is idle; a box keeps that room small.
        let answer = Box::pin(service(request, peer));
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), handler);
    // A connection that ends with an error has told its peer all there is to tell.
    let _ = watcher.watch(connection).await;
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(std::net::TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => {
            stream.set_nodelay(true).ok()?;
            // Taken off this runtime, so that it can be served on another one.
            Some((stream.into_std().ok()?, peer, slot))
        }
        Err(error) => {
            limited!(Warn, "http: accept failed: {error}");
            // Out of file descriptors is the usual cause; a pause lets some be closed.
            tokio::time::sleep(Duration::from_millis(50)).await;
            None
        }
    }
}
