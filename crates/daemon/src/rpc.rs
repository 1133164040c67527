//! Cap'n Proto RPC over TCP.

use std::{net::SocketAddr, time::Duration};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use fescuelead_wire::peer_capnp::entry_peer;
use futures::AsyncReadExt;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// The largest message, in words of 8 bytes: 8 MiB.
const MAX_MESSAGE_WORDS: usize = 1 << 20;
/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Either end of a connection.
pub type System = RpcSystem<Side>;

/// Serves `client` to the peer of `stream`. The returned system must be polled until the connection ends.
pub fn serve(stream: TcpStream, client: entry_peer::Client) -> System {
    RpcSystem::new(Box::new(network(stream, Side::Server)), Some(client.client))
}

/// Connects to an entry. The returned system must be polled for the calls to make progress.
///
/// # Errors
///
/// Fails if the connection does not come up in time.
pub async fn connect(address: SocketAddr) -> std::io::Result<(entry_peer::Client, System)> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
    let peer = system.bootstrap(Side::Server);
    Ok((peer, system))
}

fn network(stream: TcpStream, side: Side) -> VatNetwork<futures::io::BufReader<impl futures::AsyncRead + Unpin>> {
    if let Err(error) = stream.set_nodelay(true) {
        crate::limited!(Warn, "rpc: no-delay cannot be set: {error}");
    }
    let (reader, writer) = stream.compat().split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    VatNetwork::new(futures::io::BufReader::new(reader), futures::io::BufWriter::new(writer), side, options)
}
