//! The role that takes callers' work and decides.

use std::sync::Arc;

use fescuelead_core::ids::EntryRef;
use fescuelead_platform::log::SharedLog;
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::sync::CancellationToken;

use crate::{
    api::serve as serve_api,
    lifecycle::{Addresses, Running, Serving, Shutdown, run_control},
    metrics::{ListenerLabel, Metrics},
    server::{ServerOptions, bind, serve},
    settings::EntrySettings,
    tls::Handshaker,
};

pub mod api;
pub mod commands;
pub mod control;
pub mod journal;
pub mod metered;
pub mod observe;
pub mod peers;
pub mod proxy;
pub mod shared;
pub mod streams;

use self::{commands::ControlHandle, control::Control, metered::MeteredLog, proxy::EntryProxy, shared::Shared};

/// Starts an entry on the log service given.
///
/// # Errors
///
/// Fails if a listener cannot be bound; the message names its flag.
pub async fn start(settings: EntrySettings, log: SharedLog) -> anyhow::Result<Running<Serving>> {
    let request = bind(settings.common.request_listen, "--request-listen").await?;
    let api_listener = bind(settings.common.api_listen, "--api-listen").await?;
    let peer = bind(settings.peer_listen, "--peer-listen").await?;
    let addresses =
        Addresses { request: request.local_addr()?, api: api_listener.local_addr()?, peer: Some(peer.local_addr()?) };
    let peer_address = settings.peer_advertise.unwrap_or(peer.local_addr()?).to_string();
    let shutdown = Shutdown::new();
    let me = EntryRef::new(settings.name.clone(), rand::random());
    let zone = settings.common.availability_zone.clone();
    let shared = Arc::new(Shared::new(me, zone, shutdown.clone()).with_cell(settings.common.cell));
    let (control, commands) = ControlHandle::new();
    let proxy = EntryProxy::new(Arc::clone(&shared), control.clone());
    let metrics = Metrics::new();
    metrics.register(|registry| shared.observer.metrics.register(registry));
    let log: SharedLog = Arc::new(MeteredLog::new(log, Arc::clone(&shared)));

    let mut request_servers = JoinSet::new();
    let mut others = JoinSet::new();
    let open = shared.observer.metrics.connections.get_or_create_owned(&ListenerLabel { listener: "request" });
    let max_connections = settings.common.max_connections;
    let tls = |listener| {
        let certificate = settings.tls_certificate.clone()?;
        Some(Handshaker::new(certificate, listener, shared.observer.metrics.tls_handshake_failures.clone()))
    };
    let options = ServerOptions::new(max_connections, settings.common.drain_ms, open)
        .with_max_threads(settings.common.request_threads)
        .with_tls(tls("request"));
    others.spawn(until(shutdown.stop_token(), Arc::clone(&proxy).keep_up()));
    request_servers.spawn(serve(request, options, shutdown.drain_token(), move |request, _peer| {
        Arc::clone(&proxy).handle(request)
    }));
    let router = api::router(Arc::clone(&shared), control, settings.operator_tokens.clone(), metrics);
    serve_api(&mut others, api_listener, tls("api"), router, max_connections, shutdown.stop_token())?;
    if let Some(certificate) = settings.tls_certificate.clone() {
        others.spawn(certificate.keep_current(shutdown.stop_token()));
    }
    others.spawn(settings.operator_tokens.clone().keep_current(shutdown.stop_token()));
    others.spawn(settings.common.peer_keys.clone().keep_current(shutdown.stop_token()));
    others.spawn(observe::run(Arc::clone(&shared), shutdown.stop_token()));
    let probe_grace_ms = settings.common.probe_grace_ms;
    let stop = shutdown.stop_token();
    let peer = peer.into_std()?;
    run_control(&mut others, shutdown.abort_token(), move || async move {
        let peer = match TcpListener::from_std(peer) {
            Ok(peer) => peer,
            Err(error) => return log::error!("entry: --peer-listen cannot be used: {error}"),
        };
        Control::new(shared, settings, peer_address).run(log, commands, peer, stop).await;
    })?;
    Ok(Running::new(addresses, shutdown, probe_grace_ms, request_servers, others))
}

async fn until(stop: CancellationToken, task: impl Future<Output = ()>) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = task => {}
    }
}
