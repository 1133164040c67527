//! TLS for salvo, by the handshakes of the request listener: salvo's own do not count their failures.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use futures::future::BoxFuture;
use salvo::{
    conn::{
        Accepted, Acceptor, Holding, StraightStream,
        tcp::{TcpAcceptor, TcpCoupler},
    },
    fuse::ArcFusePolicy,
    http::uri::Scheme,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_rustls::server::TlsStream;

use crate::tls::Handshaker;

/// Accepts connections on which the handshake is still to be done.
pub(super) struct TlsAcceptor {
    tcp: TcpAcceptor,
    tls: Handshaker,
    holdings: Vec<Holding>,
}

impl TlsAcceptor {
    pub(super) fn new(tcp: TcpAcceptor, tls: Handshaker) -> Self {
        let https = |holding: &Holding| Holding { http_scheme: Scheme::HTTPS, ..holding.clone() };
        let holdings = tcp.holdings().iter().map(https).collect();
        Self { tcp, tls, holdings }
    }
}

impl Acceptor for TlsAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = LazyTlsStream<StraightStream<TcpStream>>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let accepted = self.tcp.accept(fuse_policy).await?;
        let tls = self.tls.clone();
        let accepted = accepted.map_into(|_| TcpCoupler::new(), |stream| LazyTlsStream::new(tls, stream));
        Ok(Accepted { http_scheme: Scheme::HTTPS, ..accepted })
    }
}

/// Does its handshake when it is first used. This is in the task of the connection, so that the handshake holds up no
/// other and counts as a connection.
pub(super) enum LazyTlsStream<I> {
    Handshaking(BoxFuture<'static, Option<TlsStream<I>>>),
    Ready(Box<TlsStream<I>>),
    Failed,
}

impl<I> LazyTlsStream<I>
where
    I: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    fn new(tls: Handshaker, stream: I) -> Self {
        Self::Handshaking(Box::pin(async move { tls.handshake(stream).await }))
    }

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Pin<&mut TlsStream<I>>>> {
        if let Self::Handshaking(handshake) = self {
            *self = ready!(handshake.as_mut().poll(cx)).map_or(Self::Failed, |stream| Self::Ready(Box::new(stream)));
        }
        Poll::Ready(match self {
            Self::Ready(stream) => Ok(Pin::new(&mut **stream)),
            // The handshake has counted and logged why it failed.
            Self::Handshaking(_) | Self::Failed => Err(io::ErrorKind::NotConnected.into()),
        })
    }
}

impl<I> AsyncRead for LazyTlsStream<I>
where
    I: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_ready(cx))?.poll_read(cx, buffer)
    }
}

impl<I> AsyncWrite for LazyTlsStream<I>
where
    I: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.poll_ready(cx))?.poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_ready(cx))?.poll_write_vectored(cx, slices)
    }

    /// As of every `TlsStream`: rustls gathers the slices into one record.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_ready(cx))?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_ready(cx))?.poll_shutdown(cx)
    }
}
