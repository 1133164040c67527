//! The port on which an agent expects leaders. Anyone may connect, so connections are bounded until they have said hello.

use std::{cell::Cell, collections::VecDeque, rc::Rc, time::Duration};

use fescuelead_core::units::TimeMs;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{AbortHandle, spawn_local},
    time::sleep,
};

use super::Agent;
use crate::session;

/// Connections by default. A deployment has a few entries, of which one leads at a time.
pub const DEFAULT_MAX_CONNECTIONS: usize = 64;
/// The pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 40;
/// The interval in which at most one line about closed connections is logged, in milliseconds.
const LOG_INTERVAL_MS: u64 = 5_000;

/// A listener for leaders and its limit.
#[derive(Debug)]
pub struct LeaderListener {
    listener: TcpListener,
    max_connections: usize,
}

impl From<TcpListener> for LeaderListener {
    fn from(listener: TcpListener) -> Self {
        Self { listener, max_connections: DEFAULT_MAX_CONNECTIONS }
    }
}

/// An open connection.
struct Connection {
    said_hello: Rc<Cell<bool>>,
    task: AbortHandle,
}

impl LeaderListener {
    /// Sets the most connections at a time.
    pub fn with_max_connections(self, max_connections: usize) -> Self {
        Self { max_connections, ..self }
    }

    /// Serves leaders until the task is dropped. If there are too many connections, the oldest one that has not said hello
    /// gives way: a leader says hello at once, so it is rarely among those.
    pub(super) async fn serve(self, agent: Rc<Agent>) {
        let mut connections = VecDeque::<Connection>::new();
        let mut logged_at = None::<TimeMs>;
        loop {
            let stream = match self.listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!("cannot accept a connection: host={} error={e}", agent.name);
                    sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                    continue;
                }
            };
            if let Err(e) = stream.set_nodelay(true) {
                log::debug!("cannot set TCP_NODELAY: error={e}");
            }
            if connections.len() >= self.max_connections {
                connections.retain(|connection| !connection.task.is_finished());
            }
            let is_full = connections.len() >= self.max_connections;
            if is_full {
                agent.metrics.leader_connections_closed.inc();
                let now = agent.now();
                if logged_at.is_none_or(|at| now.since_ms(at) >= LOG_INTERVAL_MS) {
                    logged_at = Some(now);
                    let closed = agent.metrics.leader_connections_closed.get();
                    log::warn!("too many connections of leaders: connections={} closed={closed}", connections.len());
                }
                let Some(oldest) = connections.iter().position(|connection| !connection.said_hello.get()) else {
                    continue;
                };
                if let Some(connection) = connections.remove(oldest) {
                    connection.task.abort();
                }
            }
            connections.push_back(Connection::open(agent.clone(), stream));
        }
    }
}

impl Connection {
    fn open(agent: Rc<Agent>, stream: TcpStream) -> Self {
        let said_hello = Rc::new(Cell::new(false));
        let flag = said_hello.clone();
        let task = spawn_local(session::accept(agent, stream, move || flag.set(true))).abort_handle();
        Self { said_hello, task }
    }
}
