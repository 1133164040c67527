//! The fescuelead daemon.

use std::{process::ExitCode, sync::Arc};

use fescuelead_platform::{
    log::http::{HttpLog, HttpLogConfig},
    worker::http::{HttpWorker, HttpWorkerConfig},
};
use fescueleadd::{
    agent, entry,
    lifecycle::{Running, Serving},
    settings::{Role, Settings},
};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let settings = match Settings::parse_from(std::env::args_os()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(error.exit_code());
        }
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("fescueleadd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = start(settings).await?;
    let addresses = running.addresses();
    println!("request={} api={}", addresses.request, addresses.api);
    if let Some(peer) = addresses.peer {
        println!("peer={peer}");
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("fescueleadd: stopping gracefully.");
    let cut_off = running.drain().await.finish().await;
    if cut_off > 0 {
        anyhow::bail!("{cut_off} connections did not finish in time; raise --drain-ms");
    }
    Ok(())
}

async fn start(settings: Settings) -> anyhow::Result<Running<Serving>> {
    match settings.role {
        Role::Entry(entry_settings) => {
            let log = HttpLog::new(HttpLogConfig::new(entry_settings.log_address));
            entry::start(entry_settings, Arc::new(log)).await
        }
        Role::Agent(agent_settings) => {
            let worker = HttpWorker::new(HttpWorkerConfig::new(agent_settings.worker_address));
            agent::start(agent_settings, Arc::new(worker)).await
        }
    }
}
