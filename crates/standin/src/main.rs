/*!
Runs a stand-in of the platform for manual trials and for tests with real processes.

Prints `listening ADDRESS` for each stand-in and then `control ADDRESS`, one a line; port 0 picks free ports. Faults are
set over the control listener, for example:

```text
fescuelead-standin log --listen 127.0.0.1:7001 --control-listen 127.0.0.1:7002
curl -X POST 127.0.0.1:7002/faults -d '{"down": true}'
```

On SIGTERM or SIGINT requests in flight are finished; an endpoint announces first that it is leaving.
*/

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use fescuelead_core::{ids::ServiceName, units::Resources};
use fescuelead_standin::{
    control::Control,
    endpoint::EndpointStandin,
    ledger::Ledger,
    log::{LogStandin, Retention},
    worker::{SlowdownTable, WorkerStandin},
};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

// Time for the connections to end after the listeners have closed.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(200);

fn main() -> anyhow::Result<()> {
    env_logger::init();
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run(&matches))
}

async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let token = CancellationToken::new();
    let _stop = token.clone().drop_guard();
    match matches.subcommand() {
        Some(("log", args)) => run_log(args, &token).await?,
        Some(("worker", args)) => run_workers(args, &token).await?,
        Some(("endpoint", args)) => run_endpoint(args, &token).await?,
        _ => anyhow::bail!("no subcommand; choose log, worker or endpoint"),
    }
    token.cancel();
    tokio::time::sleep(SHUTDOWN_GRACE).await;
    Ok(())
}

async fn run_log(args: &ArgMatches, token: &CancellationToken) -> anyhow::Result<()> {
    let mut retention = Retention::new();
    if let Some(count) = args.get_one::<u64>("retention-count") {
        retention = retention.with_count(usize::try_from(*count)?);
    }
    if let Some(age_ms) = args.get_one::<u64>("retention-age-ms") {
        retention = retention.with_age_ms(*age_ms);
    }
    let log = LogStandin::new().with_retention(retention);
    for address in listen(args) {
        println!("listening {}", log.serve(address, token.clone()).await?);
    }
    control(Control::new().with_log(&log), args, token).await?;
    terminated().await
}

async fn run_workers(args: &ArgMatches, token: &CancellationToken) -> anyhow::Result<()> {
    let ledger = Ledger::new();
    let capacity = Resources::new(number(args, "cpu-milli")?, number(args, "memory-mib")?)
        .with_accelerators(number(args, "accelerators")?);
    let name = args.get_one::<String>("name").map_or("host", String::as_str);
    let mut controlled = Control::new();
    for (index, address) in listen(args).into_iter().enumerate() {
        let worker = WorkerStandin::new(format!("{name}-{index}"))
            .with_ledger(&ledger)
            .with_capacity(capacity)
            .with_usage_ms(number(args, "usage-interval-ms")?, number(args, "usage-lag-ms")?)
            .with_slowdown(slowdown(args)?);
        println!("listening {}", worker.serve(address, token.clone()).await?);
        controlled = controlled.with_worker(&worker);
    }
    control(controlled, args, token).await?;
    terminated().await
}

async fn run_endpoint(args: &ArgMatches, token: &CancellationToken) -> anyhow::Result<()> {
    let service = args.get_one::<String>("service").context("--service is missing")?;
    let endpoint = EndpointStandin::new(ServiceName::new(service)?)
        .with_slots(number(args, "slots")?)
        .with_connections(number(args, "connections")?)
        .with_incarnation(number(args, "incarnation")?)
        .with_work_ms(number(args, "work-ms")?)
        .with_answer_bytes(number(args, "answer-bytes")?)
        .with_heartbeat_ms(number(args, "heartbeat-ms")?);
    for address in listen(args) {
        let bound = endpoint.serve(address, token.clone()).await?;
        println!("listening {bound}");
        if let Some(agent) = args.get_one::<SocketAddr>("agent") {
            endpoint.announce(bound, *agent, token.clone());
        }
    }
    control(Control::new().with_endpoint(&endpoint), args, token).await?;
    terminated().await?;
    endpoint.leave();
    // A request that is already on its way to this endpoint still arrives.
    tokio::time::sleep(Duration::from_millis(number(args, "leave-ms")?)).await;
    endpoint.drained().await;
    Ok(())
}

async fn control(control: Control, args: &ArgMatches, token: &CancellationToken) -> anyhow::Result<()> {
    if let Some(address) = args.get_one::<SocketAddr>("control-listen") {
        println!("control {}", control.serve(*address, token.clone()).await?);
    }
    Ok(())
}

async fn terminated() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn listen(args: &ArgMatches) -> Vec<SocketAddr> {
    args.get_many::<SocketAddr>("listen").into_iter().flatten().copied().collect()
}

fn number<T: TryFrom<u64>>(args: &ArgMatches, name: &str) -> anyhow::Result<T>
where
    T::Error: std::error::Error + Send + Sync + 'static,
{
    let value = args.get_one::<u64>(name).with_context(|| format!("--{name} is missing"))?;
    T::try_from(*value).with_context(|| format!("--{name} is too large"))
}

fn slowdown(args: &ArgMatches) -> anyhow::Result<SlowdownTable> {
    let entries = args.get_many::<String>("slowdown").into_iter().flatten();
    entries.into_iter().try_fold(SlowdownTable::new(), |table, entry| {
        let parts: Vec<&str> = entry.split(',').collect();
        let [profile, neighbour, factor] = parts.as_slice() else {
            anyhow::bail!("--slowdown {entry:?} is not PROFILE,NEIGHBOUR,FACTOR");
        };
        let factor = factor.parse().with_context(|| format!("--slowdown {entry:?} ends with no number"))?;
        Ok(table.with_factor(profile, neighbour, factor))
    })
}

fn command() -> Command {
    Command::new("fescuelead-standin")
        .about("Runs a stand-in of the platform on loopback")
        .subcommand_required(true)
        .subcommand(log_command())
        .subcommand(worker_command())
        .subcommand(endpoint_command())
}

fn log_command() -> Command {
    with_listeners(Command::new("log").about("Runs a log service"))
        .arg(number_arg("retention-count", "How many records of a stream are kept"))
        .arg(number_arg("retention-age-ms", "How long records are kept"))
}

fn worker_command() -> Command {
    with_listeners(Command::new("worker").about("Runs one worker for each --listen, with one ledger"))
        .arg(Arg::new("name").long("name").default_value("host").help("The prefix of the workers' names"))
        .arg(number_arg("cpu-milli", "Processor time in thousandths of a core").default_value("16000"))
        .arg(number_arg("memory-mib", "Memory in MiB").default_value("61440"))
        .arg(number_arg("accelerators", "Whole accelerators").default_value("0"))
        .arg(number_arg("usage-interval-ms", "How often usage is sampled").default_value("1000"))
        .arg(number_arg("usage-lag-ms", "How much later usage is reported").default_value("5000"))
        .arg(
            Arg::new("slowdown")
                .long("slowdown")
                .action(ArgAction::Append)
                .help("PROFILE,NEIGHBOUR,FACTOR: the work of a profile takes FACTOR times as long beside a neighbour"),
        )
}

fn endpoint_command() -> Command {
    with_listeners(Command::new("endpoint").about("Runs an endpoint"))
        .arg(Arg::new("service").long("service").required(true).help("The service that it serves"))
        .arg(
            Arg::new("agent")
                .long("agent")
                .value_parser(value_parser!(SocketAddr))
                .help("The API address of the agent that it announces itself to"),
        )
        .arg(number_arg("slots", "Requests that it works on at one time").default_value("8"))
        .arg(number_arg("connections", "Connections that it accepts").default_value("64"))
        .arg(number_arg("incarnation", "Tells one run from the next").default_value("1"))
        .arg(number_arg("work-ms", "How long a request takes").default_value("0"))
        .arg(number_arg("answer-bytes", "The least length of an answer").default_value("64"))
        .arg(number_arg("heartbeat-ms", "The time between announcements").default_value("500"))
        .arg(number_arg("leave-ms", "How long it goes on after it has announced that it leaves").default_value("2000"))
}

fn with_listeners(command: Command) -> Command {
    let address = |name: &'static str| Arg::new(name).long(name).value_parser(value_parser!(SocketAddr));
    command
        .arg(address("listen").action(ArgAction::Append).required(true).help("Where it serves; may be repeated"))
        .arg(address("control-listen").help("Where faults are set and counts are read"))
}

fn number_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(u64)).help(help)
}
