/*!
The life cycle of a role, as types: bound → serving → draining → gone.

A role that drains first tells the balancer's probe that it is not ready, and goes on serving until the balancer has seen
that. Then it accepts nothing new and lets the requests in flight finish. The compiler rejects any other order.
*/

use std::{marker::PhantomData, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{sync::watch, task::JoinSet};
use tokio_util::sync::CancellationToken;

/// Takes part in the graceful shutdown: cloned into every task of a role.
#[derive(Debug, Clone)]
pub struct Shutdown {
    ready: Arc<watch::Sender<bool>>,
    leaving: CancellationToken,
    drain: CancellationToken,
    stop: CancellationToken,
    abort: CancellationToken,
}

impl Shutdown {
    /// A role that is not ready yet.
    pub fn new() -> Self {
        Self {
            ready: Arc::new(watch::Sender::new(false)),
            leaving: CancellationToken::new(),
            drain: CancellationToken::new(),
            stop: CancellationToken::new(),
            abort: CancellationToken::new(),
        }
    }

    /// Says whether the balancer may send work. Has no effect once the role leaves: parts of it go on reporting that they
    /// are ready until the end, which once turned the probe green again after 20 ms.
    pub fn set_ready(&self, ready: bool) {
        self.ready.send_if_modified(|known| std::mem::replace(known, ready) != ready);
    }

    /// Whether the balancer may send work.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow() && !self.leaving.is_cancelled()
    }

    /// Turns the probe red for good.
    pub fn leave(&self) {
        self.leaving.cancel();
    }

    /// Cancelled when nothing new may be accepted.
    pub fn drain_token(&self) -> CancellationToken {
        self.drain.clone()
    }

    /// Cancelled when everything in flight has finished and the rest of the role may end.
    pub fn stop_token(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Cancelled when the role ends without leaving the fencing set, as in a crash.
    pub(crate) fn abort_token(&self) -> CancellationToken {
        self.abort.clone()
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

/// The role serves.
#[derive(Debug)]
pub enum Serving {}
/// The role finishes what is in flight.
#[derive(Debug)]
pub enum Draining {}

/// The listeners of a role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Requests.
    pub request: SocketAddr,
    /// API, probes and metrics.
    pub api: SocketAddr,
    /// Agents; only an entry has it.
    pub peer: Option<SocketAddr>,
}

/// A role in one state of its life.
#[derive(Debug)]
pub struct Running<S> {
    addresses: Addresses,
    shutdown: Shutdown,
    request_servers: JoinSet<usize>,
    others: JoinSet<()>,
    probe_grace_ms: u64,
    state: PhantomData<S>,
}

impl Running<Serving> {
    pub(crate) fn new(
        addresses: Addresses,
        shutdown: Shutdown,
        probe_grace_ms: u64,
        request_servers: JoinSet<usize>,
        others: JoinSet<()>,
    ) -> Self {
        Self { addresses, shutdown, request_servers, others, probe_grace_ms, state: PhantomData }
    }

    /// Where the role listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Whether the role is ready for work.
    pub fn is_ready(&self) -> bool {
        self.shutdown.is_ready()
    }

    /// Turns the probe red, goes on serving until the balancer has seen it, then accepts nothing new.
    pub async fn drain(self) -> Running<Draining> {
        self.shutdown.leave();
        tokio::time::sleep(Duration::from_millis(self.probe_grace_ms)).await;
        self.shutdown.drain.cancel();
        Running {
            addresses: self.addresses,
            shutdown: self.shutdown,
            request_servers: self.request_servers,
            others: self.others,
            probe_grace_ms: self.probe_grace_ms,
            state: PhantomData,
        }
    }

    /// Ends at once, as a crash would. For tests.
    pub fn abort(&mut self) {
        self.shutdown.abort.cancel();
        self.shutdown.stop.cancel();
        self.request_servers.abort_all();
        self.others.abort_all();
    }
}

impl Running<Draining> {
    /// Waits until the requests in flight have finished, then ends the rest. Returns the number of connections that were
    /// cut off because they took longer than the drain time.
    pub async fn finish(mut self) -> usize {
        let mut cut_off = 0;
        while let Some(server) = self.request_servers.join_next().await {
            cut_off += server.unwrap_or(0);
        }
        self.shutdown.stop.cancel();
        while self.others.join_next().await.is_some() {}
        cut_off
    }
}

/// Runs a role's control on a thread of its own, since capnp-rpc objects stay on the thread that made them. The task in
/// `tasks` ends with the thread.
pub(crate) fn run_control<F>(
    tasks: &mut JoinSet<()>,
    abort: CancellationToken,
    control: impl FnOnce() -> F + Send + 'static,
) -> anyhow::Result<()>
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (done, ended) = tokio::sync::oneshot::channel();
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        // Everything of the role on this thread is dropped with `control`, so an abort ends it without leaving the fencing set.
        runtime.block_on(abort.run_until_cancelled(control()));
        // The role may have been aborted.
        let _ = done.send(());
    })?;
    tasks.spawn(async move {
        let _ = ended.await;
    });
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a probe that turns green again while the role drains, so that the balancer goes on sending work until
    /// the listener closes.
    #[tokio::test(start_paused = true)]
    async fn the_probe_stays_red_while_the_role_drains() {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let addresses = Addresses { request: any, api: any, peer: None };
        let shutdown = Shutdown::new();
        shutdown.set_ready(true);
        let running = Running::new(addresses, shutdown.clone(), 3_000, JoinSet::new(), JoinSet::new());
        let draining = tokio::spawn(running.drain());
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        shutdown.set_ready(true);
        assert!(!shutdown.is_ready());
        assert!(!shutdown.drain_token().is_cancelled(), "it still serves");
        draining.await.expect("the role drains");
        assert!(shutdown.drain_token().is_cancelled());
    }
}
