//! Announces the address of an agent in the store, from which leaders learn it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    agent::Agent,
    store::{Record, Store, Stream},
};

/// The timeout of an append, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 900;
/// The pause before a failed append is repeated, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 300;
/// How often the agent checks whether it has heard of a leader, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 2_000;
/// An agent that has heard of no leader for this long announces itself again, in milliseconds: longer than it takes to
/// replace a leader, as each announcement costs a call of every agent.
const SILENCE_MS: u64 = 15_000;

/// Announces the agent's address, and announces it again whenever no leader has sent anything for 15 s: the record may have
/// been replaced by another writer, and only the newest of a key is kept.
pub async fn keep_announced(agent: Rc<Agent>, store: impl Store, address: SocketAddr) {
    let record = [Record::new(agent.name(), address.to_string().into_bytes())];
    loop {
        let limit = Duration::from_millis(APPEND_TIMEOUT_MS);
        match timeout(limit, store.append(Stream::Hosts, &record, None)).await {
            Ok(Ok(_)) => {
                log::info!("host announced: host={} address={address}", agent.name());
                wait_for_silence(&agent).await;
            }
            Ok(Err(error)) => {
                log::warn!("announcement of the host failed, retrying: error={error}");
                sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
            }
            Err(_) => {
                log::warn!("announcement of the host timed out, retrying");
                sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
            }
        }
    }
}

/// Returns once no leader has sent anything for [`SILENCE_MS`] since this call.
async fn wait_for_silence(agent: &Agent) {
    let mut heard_at = agent.now();
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        heard_at = heard_at.max(agent.leader_heard_at());
        if agent.now().since_ms(heard_at) >= SILENCE_MS {
            return;
        }
    }
}
