/*!
Threads that serve connections, each with a single-threaded runtime.

A request, the connection that it came over and the connection that it is sent on are polled by one thread, so that none
of them has to wake another thread. On the multi-threaded runtime most steps of a request did.
*/

use std::{io, sync::Arc};

use tokio::runtime::{Builder, Handle};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Spreads connections over threads. Threads are started as they are needed, and end when this is dropped, with whatever
/// connections are still open on them.
#[derive(Debug)]
pub struct ConnectionThreads {
    name: &'static str,
    max_threads: usize,
    threads: Vec<Thread>,
}

#[derive(Debug)]
struct Thread {
    runtime: Handle,
    /// Each connection of the thread holds a reference.
    connections: Arc<()>,
    _end: DropGuard,
}

impl Thread {
    fn start(name: &'static str) -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (handle, end) = (runtime.handle().clone(), CancellationToken::new());
        let ended = end.clone();
        std::thread::Builder::new().name(name.to_owned()).spawn(move || runtime.block_on(ended.cancelled()))?;
        Ok(Self { runtime: handle, connections: Arc::new(()), _end: end.drop_guard() })
    }

    fn open(&self) -> usize {
        Arc::strong_count(&self.connections) - 1
    }
}

impl ConnectionThreads {
    /// At most `max_threads` threads of this name, and at least one.
    pub fn new(name: &'static str, max_threads: usize) -> Self {
        Self { name, max_threads: max_threads.max(1), threads: Vec::new() }
    }

    /// Runs a connection on the thread that has the fewest of them.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started and there is none yet.
    pub fn spawn(&mut self, connection: impl Future<Output = ()> + Send + 'static) -> io::Result<()> {
        let is_idle = self.threads.iter().any(|thread| thread.open() == 0);
        if !is_idle && self.threads.len() < self.max_threads {
            match Thread::start(self.name) {
                Ok(thread) => self.threads.push(thread),
                Err(error) if self.threads.is_empty() => return Err(error),
                Err(error) => log::warn!("http: a thread cannot be started ({error}); {} serve.", self.threads.len()),
            }
        }
        let Some(thread) = self.threads.iter().min_by_key(|thread| thread.open()) else { return Ok(()) };
        let place = Arc::clone(&thread.connections);
        thread.runtime.spawn(async move {
            connection.await;
            drop(place);
        });
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use std::{collections::HashMap, thread::ThreadId};

    use tokio::sync::{mpsc, oneshot};

    use super::*;

    async fn spawn(threads: &mut ConnectionThreads, places: &mpsc::UnboundedSender<ThreadId>) -> oneshot::Sender<()> {
        let (end, ended) = oneshot::channel::<()>();
        let places = places.clone();
        let connection = async move {
            places.send(std::thread::current().id()).expect("the test listens");
            let _ = ended.await;
        };
        threads.spawn(connection).expect("a thread");
        end
    }

    /// Guards against connections that share a thread while another one has fewer.
    #[tokio::test]
    async fn connections_are_spread_evenly_over_the_threads() {
        let mut threads = ConnectionThreads::new("test", 3);
        let (places, mut placed) = mpsc::unbounded_channel();
        let mut open = Vec::new();
        let mut counts: HashMap<ThreadId, usize> = HashMap::new();
        for _ in 0..12 {
            open.push(spawn(&mut threads, &places).await);
            *counts.entry(placed.recv().await.expect("a place")).or_default() += 1;
        }
        assert_eq!(counts.into_values().collect::<Vec<_>>(), [4, 4, 4]);
    }

    /// Guards against a thread for each of many short connections, and against a connection that counts after its end.
    #[tokio::test]
    async fn one_connection_after_another_needs_one_thread() {
        let mut threads = ConnectionThreads::new("test", 8);
        let (places, mut placed) = mpsc::unbounded_channel();
        for _ in 0..5 {
            let end = spawn(&mut threads, &places).await;
            placed.recv().await.expect("a place");
            drop(end);
            while threads.threads.iter().any(|thread| thread.open() > 0) {
                tokio::task::yield_now().await;
            }
        }
        assert_eq!(threads.threads.len(), 1);
    }

    /// Guards against threads and connections that outlive their server.
    #[tokio::test]
    async fn connections_end_with_the_threads() {
        let mut threads = ConnectionThreads::new("test", 2);
        let (held, mut released) = mpsc::unbounded_channel::<()>();
        let connection = async move {
            std::future::pending::<()>().await;
            drop(held);
        };
        threads.spawn(connection).expect("a thread");
        drop(threads);
        assert_eq!(released.recv().await, None);
    }
}
