//! The capnp-rpc server for agents, and calls back to them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use capnp::capability::Rc as ServerRc;
use fescuelead_core::{
    cell::CellState,
    config::ConfigState,
    ids::{AttemptRef, EntryRef, RequestKey},
    snapshot::{CopyAssembly, CopyImage, Fold},
    units::{Resources, TimeMs},
};
use fescuelead_wire::{
    messages::{AgentHello, Heartbeat, KeyAnswer, OtherCell, read_entry, write_attempt, write_entry, write_resources},
    peer_capnp::{agent_control, entry_peer, session},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tokio_util::sync::CancellationToken;

use crate::{
    auth::{PeerKeys, Signature},
    entry::control::Control,
    limited,
    metrics::Counted,
    rpc,
};

const NONCE_BYTES: usize = 16;
const NO_KEY: &str = "no accepted key; give both processes the same --peer-keys or --peer-keys-file";
/// How long a new connection may take to attach.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(10);

/// What an entry signs that asks another one for its burn counts. It has fewer words than any hello of an agent.
fn burn_text(of: &EntryRef) -> String {
    format!("burn {} {}", of.entry, of.incarnation)
}

/// What a newcomer signs for each chunk of a copy. It has more words than the other signed texts.
fn copy_text(stream: &str, (as_of, index): (u64, u32), from: &EntryRef, address: &str) -> String {
    format!("copy {stream} {as_of} {index} {} {} {address}", from.entry, from.incarnation)
}

/// Accepts agents until `stop`.
///
/// A connection that does not attach within [`ATTACH_TIMEOUT`] is closed. At the limit of connections, more wait in the
/// listen queue.
pub(crate) async fn accept(control: Rc<Control>, listener: TcpListener, stop: CancellationToken) {
    accept_within(control, listener, stop, ATTACH_TIMEOUT).await;
}

async fn accept_within(control: Rc<Control>, listener: TcpListener, stop: CancellationToken, attach_timeout: Duration) {
    let places = Arc::new(Semaphore::new(control.max_connections()));
    let open = control.connections();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = next(&listener, &places) => accepted,
        };
        match accepted {
            Ok((stream, place)) => {
                let (control, stop, counted) = (Rc::clone(&control), stop.clone(), Counted::new(&open));
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = serve(control, stream, attach_timeout) => {}
                    }
                    drop((place, counted));
                });
            }
            Err(error) => {
                limited!(Warn, "entry: accept of a peer failed: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn next(listener: &TcpListener, places: &Arc<Semaphore>) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let place = Arc::clone(places).acquire_owned().await.map_err(std::io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, place))
}

async fn serve(control: Rc<Control>, stream: TcpStream, attach_timeout: Duration) {
    let attached = Rc::new(Cell::new(false));
    let attached_here = Rc::clone(&attached);
    let peer = Peer { control, nonce: RefCell::new(None), attached: attached_here, copies: RefCell::default() };
    let client: entry_peer::Client = capnp_rpc::new_client(peer);
    let system = rpc::serve(stream, client);
    tokio::pin!(system);
    let ended = match tokio::time::timeout(attach_timeout, &mut system).await {
        Ok(ended) => ended,
        Err(_) if attached.get() => system.await,
        Err(_) => return limited!(Warn, "entry: a peer did not attach in time; its connection is closed."),
    };
    if let Err(error) = ended {
        log::debug!("entry: a peer connection ended: {error}");
    }
}

/// One connection of an agent that has not attached yet.
struct Peer {
    control: Rc<Control>,
    nonce: RefCell<Option<[u8; NONCE_BYTES]>>,
    attached: Rc<Cell<bool>>,
    /// The copies that are being given out here, by stream, so that all chunks of one are of the same offset.
    copies: RefCell<HashMap<String, (Rc<CopyImage>, u64)>>,
}

impl Peer {
    /// The nonce of the last challenge. It is good for one try, so that signatures cannot be guessed at. Without a challenge
    /// there is none: a constant in its place would let a signature be used again on every connection.
    fn take_nonce(&self) -> Result<[u8; NONCE_BYTES], capnp::Error> {
        self.nonce.take().ok_or_else(|| capnp::Error::failed("ask for a challenge before each signed call".to_owned()))
    }
}

impl entry_peer::Server for Peer {
    async fn challenge(
        self: ServerRc<Self>,
        _: entry_peer::ChallengeParams,
        mut results: entry_peer::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        let nonce: [u8; NONCE_BYTES] = rand::random();
        results.get().set_nonce(&nonce);
        self.nonce.replace(Some(nonce));
        Ok(())
    }

    async fn attach(
        self: ServerRc<Self>,
        params: entry_peer::AttachParams,
        mut results: entry_peer::AttachResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let hello = AgentHello::try_from(params.get_hello()?)?;
        let signature =
            Signature { key_id: params.get_key_id()?.to_str()?.to_owned(), mac: params.get_mac()?.to_vec() };
        let nonce = self.take_nonce()?;
        if !self.control.accepts(&nonce, &hello.signed_text(), &signature) {
            limited!(Warn, "entry: agent {} has no accepted key.", hello.agent);
            return Err(capnp::Error::failed(NO_KEY.to_owned()));
        }
        let refusal = OtherCell { agent_cell: hello.cell, entry_cell: self.control.cell() };
        if refusal.agent_cell != refusal.entry_cell {
            limited!(Warn, "entry: agent {} is refused: {refusal}.", hello.agent);
            return Err(refusal.into());
        }
        self.control.attach(hello.clone(), params.get_control()?);
        self.attached.set(true);
        let session = AgentSession { control: Rc::clone(&self.control), hello: Rc::new(hello) };
        results.get().set_session(capnp_rpc::new_client(session));
        Ok(())
    }

    async fn burn(
        self: ServerRc<Self>,
        params: entry_peer::BurnParams,
        mut results: entry_peer::BurnResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let of = read_entry(params.get_of()?)?;
        let signature =
            Signature { key_id: params.get_key_id()?.to_str()?.to_owned(), mac: params.get_mac()?.to_vec() };
        let nonce = self.take_nonce()?;
        if !self.control.accepts(&nonce, &burn_text(&of), &signature) {
            limited!(Warn, "entry: a peer that asked for the burn report has no accepted key.");
            return Err(capnp::Error::failed(NO_KEY.to_owned()));
        }
        if of != *self.control.me() {
            let reason = "another run of an entry answers here; the counts of the one asked for are gone";
            return Err(capnp::Error::failed(reason.to_owned()));
        }
        let (taken, book) = self.control.burn_copy().await.map_err(capnp::Error::failed)?;
        results.get().set_taken_ms(taken.0);
        results.get().set_book(&book);
        Ok(())
    }

    async fn copy(
        self: ServerRc<Self>,
        params: entry_peer::CopyParams,
        mut results: entry_peer::CopyResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let (stream, address) = (params.get_stream()?.to_str()?, params.get_address()?.to_str()?);
        let (as_of, index, from) = (params.get_as_of(), params.get_index(), read_entry(params.get_from()?)?);
        let signature =
            Signature { key_id: params.get_key_id()?.to_str()?.to_owned(), mac: params.get_mac()?.to_vec() };
        let nonce = self.take_nonce()?;
        if !self.control.accepts(&nonce, &copy_text(stream, (as_of, index), &from, address), &signature) {
            limited!(Warn, "entry: a peer that asked for a copy has no accepted key.");
            return Err(capnp::Error::failed(NO_KEY.to_owned()));
        }
        let address: SocketAddr = address
            .parse()
            .map_err(|_| capnp::Error::failed(format!("{address:?} is no address; check your --peer-advertise")))?;
        if as_of == 0 {
            let copy = self.control.give_copy(stream, &from, address).map_err(capnp::Error::failed)?;
            self.copies.borrow_mut().insert(stream.to_owned(), copy);
        }
        let copies = self.copies.borrow();
        let held = copies.get(stream).filter(|(image, _)| as_of == 0 || image.as_of() == as_of);
        let chunk = held.and_then(|(image, age_ms)| Some((image, *age_ms, image.chunk(index)?)));
        let Some((image, age_ms, bytes)) = chunk else {
            let reason = "this connection has no such chunk; begin again with the newest copy";
            return Err(capnp::Error::failed(reason.to_owned()));
        };
        let mut answer = results.get();
        answer.set_as_of(image.as_of());
        answer.set_count(image.count());
        answer.set_bytes(bytes);
        answer.set_age_ms(age_ms);
        Ok(())
    }
}

struct AgentSession {
    control: Rc<Control>,
    hello: Rc<AgentHello>,
}

impl session::Server for AgentSession {
    async fn sync(
        self: ServerRc<Self>,
        params: session::SyncParams,
        mut results: session::SyncResults,
    ) -> Result<(), capnp::Error> {
        let heartbeat = Heartbeat::try_from(params.get()?.get_request()?)?;
        if heartbeat.sync.agent != self.hello.agent || heartbeat.sync.incarnation != self.hello.incarnation {
            return Err(capnp::Error::failed("the heartbeat names another agent; attach again".to_owned()));
        }
        let reply = Rc::clone(&self.control).heartbeat(Rc::clone(&self.hello), heartbeat).await;
        let reply = reply
            .ok_or_else(|| capnp::Error::overloaded("the entry has not read the log yet; try again".to_owned()))?;
        reply.write(results.get().init_reply());
        Ok(())
    }
}

/// Asks the entry `of` for a copy of its burn book, as bytes, with the time of the copy on that entry's clock.
///
/// # Errors
///
/// Fails if the entry cannot be reached, does not accept the key, or is of a version without burn copies.
pub(crate) async fn fetch_burn(
    of: &EntryRef,
    address: SocketAddr,
    keys: &PeerKeys,
) -> Result<(TimeMs, Vec<u8>), capnp::Error> {
    let (peer, system) = rpc::connect(address).await?;
    let exchange = async {
        let challenge = peer.challenge_request().send().promise.await?;
        let signature = keys.sign(challenge.get()?.get_nonce()?, &burn_text(of));
        let mut request = peer.burn_request();
        write_entry(of, request.get().init_of());
        request.get().set_key_id(signature.key_id.as_str());
        request.get().set_mac(&signature.mac);
        let response = request.send().promise.await?;
        let response = response.get()?;
        Ok((TimeMs(response.get_taken_ms()), response.get_book()?.to_vec()))
    };
    tokio::select! {
        copy = exchange => copy,
        ended = system => Err(ended.err().unwrap_or_else(|| capnp::Error::disconnected("the entry hung up".to_owned()))),
    }
}

/// What a newcomer asks each of its peers.
pub(crate) struct CopyAsk {
    /// The newcomer.
    pub(crate) from: EntryRef,
    /// Where agents reach it.
    pub(crate) address: String,
    /// The stream of its cell.
    pub(crate) cell_stream: String,
    /// The offsets of its views of the cell and the configuration.
    pub(crate) have: (u64, u64),
}

/// A copy of one stream.
pub(crate) struct FetchedCopy<S> {
    /// The offset that it is as of.
    pub(crate) as_of: u64,
    /// The time since the peer's view was last known to be fresh.
    pub(crate) age_ms: u64,
    /// The state; nothing if it is not newer than what the newcomer has.
    pub(crate) state: Option<S>,
}

/// The copies of one peer.
pub(crate) struct FetchedCopies {
    pub(crate) cell: FetchedCopy<CellState>,
    pub(crate) config: FetchedCopy<ConfigState>,
}

/// Asks the entry at `address` for copies of both streams.
///
/// # Errors
///
/// Fails if the entry cannot be reached, does not accept the key, has no complete view, or sends chunks that do not belong
/// together.
pub(crate) async fn fetch_copies(
    address: SocketAddr,
    keys: &PeerKeys,
    ask: &CopyAsk,
) -> Result<FetchedCopies, capnp::Error> {
    let (peer, system) = rpc::connect(address).await?;
    let exchange = async {
        let config = fetch_copy(&peer, keys, ask, "config", ask.have.1).await?;
        let cell = fetch_copy(&peer, keys, ask, &ask.cell_stream, ask.have.0).await?;
        Ok(FetchedCopies { cell, config })
    };
    tokio::select! {
        copies = exchange => copies,
        ended = system => Err(ended.err().unwrap_or_else(|| capnp::Error::disconnected("the entry hung up".to_owned()))),
    }
}

async fn fetch_copy<S: Fold>(
    peer: &entry_peer::Client,
    keys: &PeerKeys,
    ask: &CopyAsk,
    stream: &str,
    have: u64,
) -> Result<FetchedCopy<S>, capnp::Error> {
    let wrong = |error: fescuelead_core::snapshot::CopyError| capnp::Error::failed(error.to_string());
    let mut assembly: Option<CopyAssembly> = None;
    let (mut as_of, mut index) = (0, 0);
    loop {
        let challenge = peer.challenge_request().send().promise.await?;
        let text = copy_text(stream, (as_of, index), &ask.from, &ask.address);
        let signature = keys.sign(challenge.get()?.get_nonce()?, &text);
        let mut request = peer.copy_request();
        let mut params = request.get();
        params.set_stream(stream);
        params.set_as_of(as_of);
        params.set_index(index);
        write_entry(&ask.from, params.reborrow().init_from());
        params.set_address(ask.address.as_str());
        params.set_key_id(signature.key_id.as_str());
        params.set_mac(&signature.mac);
        let response = request.send().promise.await?;
        let response = response.get()?;
        let (of, count, age_ms) = (response.get_as_of(), response.get_count(), response.get_age_ms());
        if of <= have {
            return Ok(FetchedCopy { as_of: of, age_ms, state: None });
        }
        let mut parts = match assembly.take() {
            Some(parts) => parts,
            None => CopyAssembly::new(of, count).map_err(wrong)?,
        };
        parts.take((of, count), response.get_bytes()?).map_err(wrong)?;
        match parts.next_index() {
            Some(next) => (as_of, index) = (of, next),
            None => return Ok(FetchedCopy { as_of: of, age_ms, state: Some(parts.finish().map_err(wrong)?) }),
        }
        assembly = Some(parts);
    }
}

/// Reserves capacity at an agent.
///
/// # Errors
///
/// Fails with the reason if the agent refuses or cannot be reached.
pub(crate) async fn reserve(
    client: &agent_control::Client,
    attempt: &AttemptRef,
    resources: &Resources,
    hold_ms: u64,
) -> Result<(), String> {
    let mut request = client.reserve_request();
    write_attempt(attempt, request.get().init_attempt());
    write_resources(resources, request.get().init_resources());
    request.get().set_hold_ms(hold_ms);
    let response = request.send().promise.await.map_err(|e| e.to_string())?;
    let reply = response.get().map_err(|e| e.to_string())?;
    if reply.get_granted() {
        return Ok(());
    }
    let reason = reply.get_reason().ok().and_then(|text| text.to_string().ok());
    Err(reason.unwrap_or_default())
}

/// Asks an agent to refuse a request key for good.
///
/// # Errors
///
/// Fails if the agent cannot be reached.
pub(crate) async fn refuse_key(
    client: &agent_control::Client,
    key: &RequestKey,
    claim_offset: u64,
    agent_incarnation: u64,
) -> Result<KeyAnswer, capnp::Error> {
    let mut request = client.refuse_key_request();
    request.get().set_key(key.as_str());
    request.get().set_claim_offset(claim_offset);
    request.get().set_agent_incarnation(agent_incarnation);
    let response = request.send().promise.await?;
    Ok(response.get()?.get_answer()?.into())
}

#[cfg(test)]
pub(crate) mod tests {
    use fescuelead_core::ids::{AvailabilityZone, EntryId, EntryRef};
    use tokio::{io::AsyncReadExt, task::LocalSet};

    use super::*;
    use crate::{
        entry::shared::Shared,
        lifecycle::Shutdown,
        settings::{Role, Settings},
    };

    pub(crate) fn control() -> Rc<Control> {
        control_of("entry-a")
    }

    /// The control of an entry of this name.
    pub(crate) fn control_of(name: &str) -> Rc<Control> {
        let settings = Settings::parse_from([
            "fescueleadd",
            "--role",
            "entry",
            "--name",
            name,
            "--availability-zone",
            "az-1",
            "--peer-keys",
            "k1:000102030405060708090a0b0c0d0e0f",
            "--operator-token",
            "operator-secret-token",
            "--log-address",
            "127.0.0.1:1",
            "--max-connections",
            "1",
        ]);
        let Ok(Settings { role: Role::Entry(settings) }) = settings else { panic!("good settings of an entry") };
        let me = EntryRef::new(EntryId::new(name).expect("valid id"), 1);
        let zone = AvailabilityZone::new("az-1").expect("valid id");
        Control::new(Arc::new(Shared::new(me, zone, Shutdown::new())), settings, "127.0.0.1:1".to_owned())
    }

    /// Guards against a signature that a peer made for a nonce of another process's choice, such as all zeros, and that is
    /// then used without a challenge.
    #[tokio::test]
    async fn a_signature_without_a_challenge_is_refused() {
        let (entry, listener) = (control(), TcpListener::bind("127.0.0.1:0").await.expect("a free port"));
        let (address, of) = (listener.local_addr().expect("bound"), entry.me().clone());
        let local = LocalSet::new();
        local.spawn_local(accept(entry, listener, CancellationToken::new()));
        let run = local.run_until(async {
            let (peer, system) = rpc::connect(address).await.expect("a connection");
            tokio::task::spawn_local(system);
            let keys = PeerKeys::parse("k1:000102030405060708090a0b0c0d0e0f").expect("valid keys");
            let signature = keys.sign(&[0; NONCE_BYTES], &burn_text(&of));
            let mut request = peer.burn_request();
            write_entry(&of, request.get().init_of());
            request.get().set_key_id(signature.key_id.as_str());
            request.get().set_mac(&signature.mac);
            assert!(request.send().promise.await.is_err());
        });
        run.await;
    }

    fn hello(cell: u32) -> AgentHello {
        AgentHello {
            agent: fescuelead_core::ids::AgentId::new("agent-1").expect("valid id"),
            incarnation: 1,
            availability_zone: AvailabilityZone::new("az-1").expect("valid id"),
            rack: fescuelead_core::ids::RackId::new("rack-1").expect("valid id"),
            request_address: "127.0.0.1:1".parse().expect("an address"),
            capacity: Resources::new(1, 1),
            cell,
        }
    }

    /// Answers nothing.
    struct Mute;

    impl agent_control::Server for Mute {}

    async fn attach(peer: &entry_peer::Client, hello: &AgentHello) -> Result<(), capnp::Error> {
        let keys = PeerKeys::parse("k1:000102030405060708090a0b0c0d0e0f").expect("valid keys");
        let challenge = peer.challenge_request().send().promise.await?;
        let signature = keys.sign(challenge.get()?.get_nonce()?, &hello.signed_text());
        let mut request = peer.attach_request();
        hello.write(request.get().init_hello());
        request.get().set_key_id(signature.key_id.as_str());
        request.get().set_mac(&signature.mac);
        request.get().set_control(capnp_rpc::new_client(Mute));
        request.send().promise.await.map(drop)
    }

    /// Guards against an agent that runs tasks of a cell whose promises it does not get, and against a refusal that does not
    /// say which flag is wrong.
    #[tokio::test]
    async fn an_agent_of_another_cell_is_refused() {
        let (entry, listener) = (control(), TcpListener::bind("127.0.0.1:0").await.expect("a free port"));
        let address = listener.local_addr().expect("bound");
        let local = LocalSet::new();
        local.spawn_local(accept(entry, listener, CancellationToken::new()));
        let run = local.run_until(async {
            let (peer, system) = rpc::connect(address).await.expect("a connection");
            tokio::task::spawn_local(system);
            let error = attach(&peer, &hello(1)).await.expect_err("the entry is of cell 0");
            assert_eq!(OtherCell::from_error(&error), Some(OtherCell { agent_cell: 1, entry_cell: 0 }));
            assert!(error.to_string().contains("--cell"), "{error}");
            attach(&peer, &hello(0)).await.expect("the agent's own cell");
        });
        run.await;
    }

    /// Guards against connections that never attach and keep agents out.
    #[tokio::test]
    async fn connections_that_do_not_attach_make_room() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let local = LocalSet::new();
        let attach_timeout = Duration::from_millis(50);
        local.spawn_local(accept_within(control(), listener, CancellationToken::new(), attach_timeout));
        let run = local.run_until(async {
            for _ in 0..3 {
                let mut idle = TcpStream::connect(address).await.expect("a connection");
                assert_eq!(idle.read(&mut [0; 64]).await.expect("closed by the entry"), 0);
            }
        });
        run.await;
    }
}
