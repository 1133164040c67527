/*!
Exchanges over pooled HTTP/1.1 connections, and bodies that are relayed from one hop to the next.

One connection carries one exchange at a time, so two answers cannot be confused on it. A connection goes back to its pool
only after its answer has been read to the end; any other end closes it, so that a late answer has nowhere to go.
*/

use std::{
    fmt,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    thread::ThreadId,
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Request, Response,
    body::{Body as HttpBody, Frame, Incoming, SizeHint},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    time::{Instant, Sleep},
};

use crate::http::{Body, BodyError};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a relayed body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayEnd {
    /// All of it was read.
    Whole,
    /// The sender broke it off.
    Broken,
    /// The deadline passed.
    Late,
    /// The receiver went away.
    Dropped,
}

type Finish = Box<dyn FnOnce(RelayEnd) + Send + Sync>;

/// An answer's body on its way to the next hop. It ends with an error if its sender breaks it off or the deadline passes.
pub struct Relay {
    inner: Incoming,
    deadline: Pin<Box<Sleep>>,
    finish: Option<Finish>,
}

impl Relay {
    /// Relays `inner` until `deadline`; `finish` is called once, when it has ended in one way or another.
    pub fn new(inner: Incoming, deadline: Instant, finish: impl FnOnce(RelayEnd) + Send + Sync + 'static) -> Self {
        let mut relay =
            Self { inner, deadline: Box::pin(tokio::time::sleep_until(deadline)), finish: Some(Box::new(finish)) };
        if relay.inner.is_end_stream() {
            relay.end(RelayEnd::Whole);
        }
        relay
    }

    fn end(&mut self, end: RelayEnd) {
        if let Some(finish) = self.finish.take() {
            finish(end);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end(RelayEnd::Dropped);
    }
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay").field("inner", &self.inner).finish_non_exhaustive()
    }
}

impl HttpBody for Relay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                // A server does not poll again after the last byte of a known length.
                if self.inner.is_end_stream() {
                    self.end(RelayEnd::Whole);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.end(RelayEnd::Broken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.end(RelayEnd::Whole);
                Poll::Ready(None)
            }
            Poll::Pending if self.deadline.as_mut().poll(context).is_ready() => {
                self.end(RelayEnd::Late);
                Poll::Ready(Some(Err(BodyError::new(&"the deadline passed"))))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A connection and the place that it holds at its endpoint.
struct Connection<P> {
    sender: SendRequest<Body>,
    /// The thread whose runtime drives it.
    thread: ThreadId,
    /// Each open connection of the pool holds a reference.
    _open: Arc<()>,
    _place: P,
}

/// Connections to one address. `P` is what a connection holds while it is open, such as a place among the 64 connections
/// of an endpoint.
pub struct Pool<P> {
    address: SocketAddr,
    max_idle: usize,
    idle: Mutex<Vec<Connection<P>>>,
    open: Arc<()>,
}

/// An answer whose body has not been read, and its connection.
pub struct Exchange<P> {
    /// The answer.
    pub response: Response<Incoming>,
    connection: Connection<P>,
    pool: Arc<Pool<P>>,
}

/// Says why no answer came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExchangeError {
    /// The request was never sent.
    NotSent {
        /// Why.
        message: String,
    },
    /// The request may have been delivered.
    Broken {
        /// Why.
        message: String,
    },
}

impl<P: Send + Sync + 'static> Pool<P> {
    /// A pool that keeps at most `max_idle` connections open without use.
    pub fn new(address: SocketAddr, max_idle: usize) -> Arc<Self> {
        Arc::new(Self { address, max_idle, idle: Mutex::new(Vec::new()), open: Arc::new(()) })
    }

    /// Sends a request over an idle connection or a new one, for which `place` is asked first. Connections of this thread
    /// are preferred; one of another thread is used rather than none, or more than the pool keeps.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be had, or if the connection breaks before the head of the answer is read.
    pub async fn exchange<E: fmt::Display>(
        self: &Arc<Self>,
        mut request: Request<Body>,
        place: impl Fn() -> Result<P, E>,
    ) -> Result<Exchange<P>, ExchangeError> {
        loop {
            let (mut connection, reused) = self.checkout(&place).await?;
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(Exchange { response, connection, pool: Arc::clone(self) }),
                Err(mut error) => match error.take_message() {
                    // The peer closed an idle connection just before it was used; nothing was sent.
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(ExchangeError::NotSent { message: error.into_error().to_string() }),
                    None => return Err(ExchangeError::Broken { message: error.into_error().to_string() }),
                },
            }
        }
    }

    /// Closes the idle connections.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }

    /// A connection, and whether it was used before.
    async fn checkout<E: fmt::Display>(
        &self,
        place: &impl Fn() -> Result<P, E>,
    ) -> Result<(Connection<P>, bool), ExchangeError> {
        if let Some(connection) = self.take_idle(Some(std::thread::current().id())).await {
            return Ok((connection, true));
        }
        if Arc::strong_count(&self.open) > self.max_idle
            && let Some(connection) = self.take_idle(None).await
        {
            return Ok((connection, true));
        }
        match self.connect(place).await {
            Ok(connection) => Ok((connection, false)),
            // Idle connections of other threads may hold all places.
            Err(error) => Ok((self.take_idle(None).await.ok_or(error)?, true)),
        }
    }

    /// An idle connection that still works, of any thread or of this one.
    async fn take_idle(&self, of: Option<ThreadId>) -> Option<Connection<P>> {
        loop {
            let mut connection = {
                let mut idle = self.idle.lock();
                let at = idle.iter().rposition(|connection| of.is_none_or(|thread| thread == connection.thread))?;
                idle.remove(at)
            };
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    async fn connect<E: fmt::Display>(
        &self,
        place: &impl Fn() -> Result<P, E>,
    ) -> Result<Connection<P>, ExchangeError> {
        let not_sent = |cause: &dyn fmt::Display| ExchangeError::NotSent { message: cause.to_string() };
        let place = place().map_err(|e| not_sent(&e))?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(|_| not_sent(&"no connection in time"))?
            .map_err(|e| not_sent(&e))?;
        stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(&e))?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("proxy: a connection ended: {error}");
            }
        });
        Ok(Connection { sender, thread: std::thread::current().id(), _open: Arc::clone(&self.open), _place: place })
    }

    fn put_back(&self, connection: Connection<P>) {
        let mut idle = self.idle.lock();
        if idle.len() < self.max_idle && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }
}

impl<P: Send + Sync + 'static> Exchange<P> {
    /// Splits the answer into its head and a body that is relayed until `deadline`. `finish` is called once the body has
    /// ended.
    pub fn relay(
        self,
        deadline: Instant,
        finish: impl FnOnce(RelayEnd) + Send + Sync + 'static,
    ) -> (hyper::http::response::Parts, Relay) {
        let Self { response, connection, pool } = self;
        let (parts, body) = response.into_parts();
        let relay = Relay::new(body, deadline, move |end| {
            if end == RelayEnd::Whole {
                pool.put_back(connection);
            }
            finish(end);
        });
        (parts, relay)
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { message } => write!(f, "the request was not sent ({message}); send it elsewhere"),
            Self::Broken { message } => {
                write!(f, "the connection broke ({message}); repeat the request only if that is safe")
            }
        }
    }
}

impl std::error::Error for ExchangeError {}

impl<P> fmt::Debug for Connection<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").field("sender", &self.sender).finish_non_exhaustive()
    }
}

impl<P> fmt::Debug for Pool<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool").field("address", &self.address).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use std::{
        convert::Infallible,
        sync::atomic::{AtomicUsize, Ordering},
    };

    use http_body_util::BodyExt;
    use hyper::{server::conn::http1::Builder, service::service_fn};
    use tokio::net::TcpListener;

    use super::*;
    use crate::http::full;

    /// A server that answers every request; counts its connections.
    async fn server() -> (SocketAddr, Arc<AtomicUsize>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let (address, accepted) = (listener.local_addr().expect("an address"), Arc::new(AtomicUsize::new(0)));
        let count = Arc::clone(&accepted);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                let answer = service_fn(|_| async { Ok::<_, Infallible>(Response::new(full("whole"))) });
                tokio::spawn(Builder::new().serve_connection(TokioIo::new(stream), answer));
            }
        });
        (address, accepted)
    }

    async fn ask<P: Send + Sync + 'static>(pool: &Arc<Pool<P>>, place: impl Fn() -> Result<P, &'static str>) {
        let request = Request::builder().header("host", "test").body(full("")).expect("a request");
        let exchange = pool.exchange(request, place).await.expect("an answer");
        let (_, relay) = exchange.relay(Instant::now() + Duration::from_secs(10), |_| ());
        assert_eq!(relay.collect().await.expect("a body").to_bytes(), "whole");
    }

    /// Asks from a thread with a runtime of its own, which goes on running until the thread is told to end.
    fn ask_elsewhere<P: Send + Sync + 'static>(
        pool: &Arc<Pool<P>>,
        place: impl Fn() -> Result<P, &'static str> + Send + 'static,
    ) -> (tokio::sync::oneshot::Receiver<()>, tokio::sync::oneshot::Sender<()>) {
        let (done, asked) = tokio::sync::oneshot::channel();
        let (end, ended) = tokio::sync::oneshot::channel::<()>();
        let pool = Arc::clone(pool);
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async move {
                ask(&pool, place).await;
                done.send(()).expect("the test listens");
                let _ = ended.await;
            });
        });
        (asked, end)
    }

    /// Guards against a request that wakes another thread although its own could serve it.
    #[tokio::test]
    async fn each_thread_uses_its_own_connections() {
        let (address, accepted) = server().await;
        let pool = Pool::new(address, 8);
        let (asked, _end) = ask_elsewhere(&pool, || Ok(()));
        asked.await.expect("an answer");
        for _ in 0..3 {
            ask(&pool, || Ok(())).await;
        }
        assert_eq!(accepted.load(Ordering::Relaxed), 2, "one of each thread");
    }

    /// Guards against a request that fails because idle connections of other threads hold all places of the endpoint.
    #[tokio::test]
    async fn a_connection_of_another_thread_is_used_when_all_places_are_taken() {
        let (address, accepted) = server().await;
        let pool = Pool::new(address, 8);
        let (asked, _end) = ask_elsewhere(&pool, || Ok(()));
        asked.await.expect("an answer");
        for _ in 0..3 {
            ask(&pool, || Err("all places are taken")).await;
        }
        assert_eq!(accepted.load(Ordering::Relaxed), 1);
    }

    /// Guards against threads that open and close a connection for each request because others fill the pool.
    #[tokio::test]
    async fn a_pool_opens_no_more_connections_than_it_keeps() {
        let (address, accepted) = server().await;
        let pool = Pool::new(address, 1);
        let (asked, _end) = ask_elsewhere(&pool, || Ok(()));
        asked.await.expect("an answer");
        for _ in 0..3 {
            ask(&pool, || Ok(())).await;
        }
        assert_eq!(accepted.load(Ordering::Relaxed), 1);
    }
}
