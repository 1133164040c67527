//! The heartbeat of an endpoint to its agent.

use std::{net::SocketAddr, time::Duration};

use fescuelead_platform::http::{Call, HttpClient};
use hyper::Method;
use tokio::{task::JoinHandle, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::endpoint::EndpointStandin;

const ANNOUNCE_TIMEOUT_MS: u64 = 1_000;

impl EndpointStandin {
    /// Announces `address` to the agent whose API listens at `agent`: now, with every heartbeat and at once when it
    /// begins to leave, until `token` is cancelled.
    pub fn announce(&self, address: SocketAddr, agent: SocketAddr, token: CancellationToken) -> JoinHandle<()> {
        let endpoint = self.clone();
        tokio::spawn(async move {
            token.run_until_cancelled(endpoint.announce_all(address, agent)).await;
        })
    }

    async fn announce_all(&self, address: SocketAddr, agent: SocketAddr) {
        let client = HttpClient::new(agent, ANNOUNCE_TIMEOUT_MS);
        let heartbeat = Duration::from_millis(self.shared.settings.heartbeat_ms);
        let mut state = self.shared.state.subscribe();
        loop {
            let faults = self.shared.faults.get();
            if !faults.down && !faults.silent {
                state.mark_unchanged();
                self.announce_once(&client, address).await;
            }
            tokio::select! {
                _ = state.changed() => {}
                () = sleep(heartbeat) => {}
            }
        }
    }

    async fn announce_once(&self, client: &HttpClient, address: SocketAddr) {
        let body = match serde_json::to_vec(&self.announcement(address)) {
            Ok(body) => body,
            Err(error) => return log::warn!("endpoint: the announcement cannot be encoded: {error}"),
        };
        let call = Call::new(Method::POST, "/v1/announce")
            .with_header("content-type", "application/json")
            .with_body(body)
            .with_timeout_ms(ANNOUNCE_TIMEOUT_MS);
        let result = client.send(call).await;
        let failure = match &result {
            Ok(answer) if answer.status.is_success() => None,
            Ok(answer) => Some(answer.message()),
            Err(error) => Some(error.to_string()),
        };
        let mut counts = self.count();
        match failure {
            None => counts.announced += 1,
            Some(message) => {
                counts.announce_failures += 1;
                log::warn!("endpoint: the announcement failed: {message}");
            }
        }
    }
}
