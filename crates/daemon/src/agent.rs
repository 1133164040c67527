//! The role that owns one worker's capacity and one host's endpoints.

use std::{rc::Rc, sync::Arc, time::Duration};

use fescuelead_platform::worker::{SharedWorker, WorkerReport};
use fescuelead_wire::messages::AgentHello;
use tokio::{sync::mpsc, task::JoinSet};

use crate::{
    api::serve as serve_api,
    lifecycle::{Addresses, Running, Serving, Shutdown, run_control},
    limited,
    metrics::{AgentMetrics, ListenerLabel, Metrics},
    server::{ServerOptions, bind, serve},
    settings::AgentSettings,
};

pub mod announce;
pub mod control;
pub mod endpoints;
pub mod proxy;

use self::{control::AgentControl, endpoints::HostEndpoints, proxy::AgentProxy};

/// The pause before a worker that cannot be reached is tried again.
const CLAIM_PAUSE: Duration = Duration::from_millis(500);

/// Claims the worker and starts its agent. Waits as long as the worker cannot be reached.
///
/// # Errors
///
/// Fails if a listener cannot be bound; the message names its flag.
pub async fn start(settings: AgentSettings, worker: SharedWorker) -> anyhow::Result<Running<Serving>> {
    let request = bind(settings.common.request_listen, "--request-listen").await?;
    let api_listener = bind(settings.common.api_listen, "--api-listen").await?;
    let addresses = Addresses { request: request.local_addr()?, api: api_listener.local_addr()?, peer: None };
    let claimed = claim(&worker).await;
    let hello = AgentHello {
        agent: settings.name.clone(),
        incarnation: claimed.incarnation,
        availability_zone: settings.common.availability_zone.clone(),
        rack: settings.rack.clone(),
        request_address: settings.request_advertise.unwrap_or(addresses.request),
        capacity: claimed.capacity,
        cell: settings.common.cell,
    };
    log::info!("agent: {} owns its worker, incarnation {}.", hello.agent, hello.incarnation);

    let shutdown = Shutdown::new();
    let host = HostEndpoints::new(hello.incarnation);
    let mut request_servers = JoinSet::new();
    let mut others = JoinSet::new();
    let (registry, metrics) = (Metrics::new(), AgentMetrics::default());
    registry.register(|registry| metrics.register(registry));
    let open = metrics.connections.get_or_create_owned(&ListenerLabel { listener: "request" });
    let max_connections = settings.common.max_connections;
    let options = ServerOptions::new(max_connections, settings.common.drain_ms, open)
        .with_max_threads(settings.common.request_threads);
    let proxy = AgentProxy::new(Arc::clone(&host), metrics.clone());
    request_servers.spawn(serve(request, options, shutdown.drain_token(), move |request, _peer| {
        Arc::clone(&proxy).handle(request)
    }));
    let (changed, mut changes) = mpsc::channel(1);
    let router = announce::router(Arc::clone(&host), changed, shutdown.clone(), registry);
    serve_api(&mut others, api_listener, None, router, max_connections, shutdown.stop_token())?;
    others.spawn(settings.common.peer_keys.clone().keep_current(shutdown.stop_token()));
    let probe_grace_ms = settings.common.probe_grace_ms;
    let control_shutdown = shutdown.clone();
    run_control(&mut others, shutdown.abort_token(), move || async move {
        let stop = control_shutdown.stop_token();
        let control = AgentControl::new(settings, hello, host, worker, claimed, control_shutdown).with_metrics(metrics);
        let syncing = Rc::clone(&control);
        let sync_on_change = async move {
            while changes.recv().await.is_some() {
                syncing.sync_now();
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = control.run(stop) => {}
            () = sync_on_change => {}
        }
    })?;
    Ok(Running::new(addresses, shutdown, probe_grace_ms, request_servers, others))
}

async fn claim(worker: &SharedWorker) -> WorkerReport {
    loop {
        match worker.claim().await {
            Ok(report) => return report,
            Err(error) => limited!(Warn, "agent: the worker cannot be claimed: {error}"),
        }
        tokio::time::sleep(CLAIM_PAUSE).await;
    }
}
