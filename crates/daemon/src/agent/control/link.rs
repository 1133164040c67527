//! The session of an agent with one entry.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use capnp::capability::Rc as ServerRc;
use fescuelead_core::{ids::RequestKey, request_keys::Refuse};
use fescuelead_wire::{
    messages::{HeartbeatReply, KeyAnswer, OtherCell, read_attempt, read_resources},
    peer_capnp::{agent_control, session},
};

use crate::{agent::control::AgentControl, limited, rpc};

/// How long a heartbeat may take beyond the time that the entry may hold it.
const REPLY_TIMEOUT_MS: u64 = 1_500;
/// The shortest and longest pause before a broken session is tried again.
const RECONNECT_MS: std::ops::Range<u64> = 100..600;
/// The same after a refusal by an entry of another cell, which ends only when an operator mends a setting.
const OTHER_CELL_MS: std::ops::Range<u64> = 2_000..5_000;
/// The longest time between two heartbeats to one entry, unless the setting is longer: a quarter of the usual lease.
const MAX_INTERVAL_MS: u64 = 1_500;
/// Events within this time share one heartbeat.
const GATHER_MS: u64 = 5;

impl AgentControl {
    /// Keeps a session with one entry forever.
    pub(super) async fn keep_link(self: Rc<Self>, address: SocketAddr) {
        loop {
            let ended = self.hold_session(address).await;
            let refusal = ended.as_ref().err().and_then(OtherCell::from_error);
            if let Some(refusal) = &refusal {
                limited!(Warn, "agent: entry {address} refuses this agent: {refusal}.");
            } else if let Err(error) = ended {
                log::debug!("agent: session with {address} ended: {error}");
            }
            // A random pause keeps agents from coming back to a restarted entry all at once.
            let pause_ms = rand::random_range(if refusal.is_some() { OTHER_CELL_MS } else { RECONNECT_MS });
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn hold_session(self: &Rc<Self>, address: SocketAddr) -> Result<(), capnp::Error> {
        let (peer, system) = rpc::connect(address).await?;
        let heartbeats = async {
            let session = self.attach(&peer).await?;
            tokio::select! {
                ended = self.beat(address, &session) => ended,
                ended = self.beat_on_events(address, &session) => ended,
            }
        };
        tokio::select! {
            ended = system => ended,
            ended = heartbeats => ended,
        }
    }

    async fn attach(
        self: &Rc<Self>,
        peer: &fescuelead_wire::peer_capnp::entry_peer::Client,
    ) -> Result<session::Client, capnp::Error> {
        let timeout = Duration::from_millis(REPLY_TIMEOUT_MS);
        let late = |_| capnp::Error::overloaded("no answer in time".to_owned());
        let challenge = peer.challenge_request().send().promise;
        let response = tokio::time::timeout(timeout, challenge).await.map_err(late)??;
        let nonce = response.get()?.get_nonce()?;
        let signature = self.settings.common.peer_keys.get().sign(nonce, &self.hello.signed_text());
        let mut request = peer.attach_request();
        self.hello.write(request.get().init_hello());
        request.get().set_key_id(signature.key_id.as_str());
        request.get().set_mac(&signature.mac);
        request.get().set_control(capnp_rpc::new_client(Callee { control: Rc::clone(self) }));
        let response = tokio::time::timeout(timeout, request.send().promise).await.map_err(late)??;
        response.get()?.get_session()
    }

    /// The time between two heartbeats to one entry. It grows with the number of entries, so that the traffic of an agent
    /// does not; each entry's promise must still come several times in a lease.
    fn interval_ms(&self) -> u64 {
        let entries = self.state.borrow().links.len().max(1) as u64;
        (self.settings.heartbeat_ms * entries).min(MAX_INTERVAL_MS.max(self.settings.heartbeat_ms))
    }

    async fn beat(self: &Rc<Self>, address: SocketAddr, session: &session::Client) -> Result<(), capnp::Error> {
        loop {
            let started = tokio::time::Instant::now();
            let wait_ms = self.interval_ms();
            let reply = self.exchange(address, session, wait_ms).await?;
            let idle = reply.is_idle();
            self.take_reply(reply);
            if !idle {
                // The entry had something to say and may have more.
                let pause = Duration::from_millis(self.settings.heartbeat_ms / 10);
                tokio::time::sleep_until(started + pause).await;
            } else {
                tokio::time::sleep_until(started + Duration::from_millis(wait_ms)).await;
            }
        }
    }

    async fn beat_on_events(
        self: &Rc<Self>,
        address: SocketAddr,
        session: &session::Client,
    ) -> Result<(), capnp::Error> {
        loop {
            let urgent = self.state.borrow().links.get(&address).map(|link| Rc::clone(&link.urgent));
            let Some(urgent) = urgent else { return Ok(()) };
            urgent.notified().await;
            tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
            let reply = self.exchange(address, session, 0).await?;
            self.take_reply(reply);
        }
    }

    async fn exchange(
        self: &Rc<Self>,
        address: SocketAddr,
        session: &session::Client,
        wait_ms: u64,
    ) -> Result<HeartbeatReply, capnp::Error> {
        let (heartbeat, _) = self.heartbeat(address, wait_ms);
        let mut request = session.sync_request();
        heartbeat.write(request.get().init_request());
        let timeout = Duration::from_millis(wait_ms + REPLY_TIMEOUT_MS);
        let response = tokio::time::timeout(timeout, request.send().promise)
            .await
            .map_err(|_| capnp::Error::overloaded("no heartbeat reply in time".to_owned()))??;
        Ok(HeartbeatReply::try_from(response.get()?.get_reply()?)?)
    }
}

/// What entries may ask of an agent.
struct Callee {
    control: Rc<AgentControl>,
}

impl agent_control::Server for Callee {
    async fn reserve(
        self: ServerRc<Self>,
        params: agent_control::ReserveParams,
        mut results: agent_control::ReserveResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let attempt = read_attempt(params.get_attempt()?)?;
        let resources = read_resources(params.get_resources()?);
        let now = self.control.clock.now();
        let draining = self.control.shutdown.drain_token().is_cancelled();
        let mut state = self.control.state.borrow_mut();
        let reserved = if draining || !state.runner.zone_in_service(now) {
            Err("the agent starts nothing now: it leaves, or its availability zone is out or not known to be in"
                .to_owned())
        } else {
            state.runner.reserve(&attempt, resources, now, params.get_hold_ms()).map_err(|e| e.to_string())
        };
        results.get().set_granted(reserved.is_ok());
        results.get().set_reason(reserved.err().unwrap_or_default());
        Ok(())
    }

    async fn release(
        self: ServerRc<Self>,
        params: agent_control::ReleaseParams,
        _: agent_control::ReleaseResults,
    ) -> Result<(), capnp::Error> {
        let attempt = read_attempt(params.get()?.get_attempt()?)?;
        self.control.state.borrow_mut().runner.release(&attempt);
        Ok(())
    }

    async fn refuse_key(
        self: ServerRc<Self>,
        params: agent_control::RefuseKeyParams,
        mut results: agent_control::RefuseKeyResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let key = RequestKey::new(params.get_key()?.to_str()?).map_err(|e| capnp::Error::failed(e.to_string()))?;
        let refused = self.control.host.refuse_key(&key, params.get_claim_offset(), params.get_agent_incarnation());
        let answer = match refused {
            Refuse::Refused => KeyAnswer::Refused,
            Refuse::Seen => KeyAnswer::Seen,
            Refuse::Unknown => KeyAnswer::Unknown,
        };
        results.get().set_answer(answer.into());
        Ok(())
    }
}
