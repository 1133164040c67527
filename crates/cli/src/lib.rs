/*!
The fescuelead command-line tool.

It reads and publishes configuration, takes availability zones out and in, submits and follows tasks, and shows what the
system did. It never places or moves a task. Every command speaks HTTP to one of the entries.

The binary `fescuelead` is a thin shell around [`run`], so that tests can run commands in their own process.

```
let (mut out, mut err) = (Vec::new(), Vec::new());
let exit = fescuelead_cli::run(["fescuelead", "completions", "bash"], None, &mut out, &mut err);
assert_eq!(exit, 0);
assert!(String::from_utf8(out)?.contains("fescuelead"));

let exit = fescuelead_cli::run(["fescuelead", "status"], None, &mut Vec::new(), &mut err);
assert_eq!(exit, 2, "no entry is named");
# Ok::<(), std::string::FromUtf8Error>(())
```

BREADCRUMBS: arguments are in `command`, HTTP in `client` and `connect`, text tables in `render`; each other module is one group of
commands.
*/

use std::{
    ffi::OsString,
    io::{self, Write},
};

use clap::ArgMatches;

use crate::{
    client::Client,
    command::Settings,
    failure::{Exit, Failure},
};

mod burn;
mod client;
mod command;
mod config;
mod connect;
mod explain;
mod failure;
mod render;
mod status;
mod task;
mod zone;

/// Runs one command to its end and returns its exit code. `arguments` begin with the name of the program, and `token` is
/// the operator's. Output goes to `out`, failures to `err`; progress of a command that waits goes to the standard error.
pub fn run<I, T>(arguments: I, token: Option<String>, out: &mut dyn Write, err: &mut dyn Write) -> u8
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let matches = match command::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&error, out, err),
    };
    let settings = match Settings::from_matches(&matches, token) {
        Ok(settings) => settings,
        Err(failure) => return report(&failure, false, err),
    };
    match run_command(&settings, &matches) {
        Ok(output) => print(&output, out, err),
        Err(failure) => report(&failure, settings.is_json(), err),
    }
}

/// Help and version go to the output, wrong arguments to the errors.
fn usage(error: &clap::Error, out: &mut dyn Write, err: &mut dyn Write) -> u8 {
    // There is nowhere left to say that the output is closed.
    let _ = if error.use_stderr() { write!(err, "{error}") } else { write!(out, "{error}") };
    u8::try_from(error.exit_code()).unwrap_or(Exit::Usage as u8)
}

fn run_command(settings: &Settings, matches: &ArgMatches) -> Result<String, Failure> {
    match matches.subcommand() {
        Some(("validate", args)) if !args.get_flag("standing") => config::validate(settings, args),
        Some(("completions", args)) => command::completions(args),
        Some((name, args)) => {
            let client = Client::new(settings)?;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(run_remote(&client, settings, name, args))
        }
        None => Err(Failure::usage("no command is named; see --help")),
    }
}

async fn run_remote(client: &Client, settings: &Settings, name: &str, args: &ArgMatches) -> Result<String, Failure> {
    match name {
        "validate" => config::validate_standing(client, settings, args).await,
        "publish" => config::publish(client, settings, args).await,
        "show" => config::show(client, settings).await,
        "history" => config::history(client, settings).await,
        "zone" => zone::run(client, settings, args).await,
        "status" => status::run(client, settings, args).await,
        "task" => task::run(client, settings, args).await,
        "burn" => burn::run(client, settings, args).await,
        "explain" => explain::run(client, settings, args).await,
        other => Err(Failure::usage(format!("command {other:?} does not exist; see --help"))),
    }
}

fn print(output: &str, out: &mut dyn Write, err: &mut dyn Write) -> u8 {
    match out.write_all(output.as_bytes()).and_then(|()| out.flush()) {
        Ok(()) => 0,
        // The reader of a pipe, such as `head`, has seen enough.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => 0,
        Err(error) => report(&Failure::new(Exit::Failure, format!("cannot write the output: {error}")), false, err),
    }
}

fn report(failure: &Failure, json: bool, err: &mut dyn Write) -> u8 {
    let text = if json { failure.to_json() } else { format!("fescuelead: {}", render::printable(failure.message())) };
    // There is nowhere left to say that the errors are closed.
    let _ = writeln!(err, "{text}");
    failure.exit() as u8
}
