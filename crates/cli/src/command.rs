//! Flags, environment variables and settings.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use clap_complete::Shell;
use fescuelead_wire::api::ExplainKind;
use tokio::time::Instant;

use crate::{connect::EntryAddress, failure::Failure};

const EXIT_CODES: &str = "Exit codes:
  0  success
  1  failure
  2  usage error
  3  conflict: another change came first
  4  not run: refused, or no entry could be reached
  5  outcome unknown: the request may have run

Environment:
  FESCUELEAD_TOKEN  the operator token; it has no flag, because flags show up in process lists
  FESCUELEAD_LOG    log level of the tool itself, such as debug";

/// All commands.
pub fn command() -> Command {
    Command::new("fescuelead")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates the fescuelead scheduler")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args([entry_arg(), ca_file_arg(), timeout_arg(), output_arg(), author_arg()])
        .subcommand(validate_command())
        .subcommand(publish_command())
        .subcommand(Command::new("show").about("Prints the configuration in force"))
        .subcommand(Command::new("history").about("Lists accepted configuration changes"))
        .subcommand(zone_command())
        .subcommand(status_command())
        .subcommand(task_command())
        .subcommand(
            Command::new("burn")
                .about("Shows error budgets, burn rates and causes")
                .arg(Arg::new("html").long("html").value_name("FILE").help("Write a web page instead; - is stdout")),
        )
        .subcommand(explain_command())
        .subcommand(
            Command::new("completions")
                .about("Prints a completion script for a shell")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
}

/// The completion script for the shell that is named.
pub fn completions(args: &ArgMatches) -> Result<String, Failure> {
    let shell = args.get_one::<Shell>("shell").copied().ok_or_else(|| Failure::usage("no shell is named"))?;
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), "fescuelead", &mut script);
    String::from_utf8(script).map_err(|e| Failure::usage(format!("the completion script is no text: {e}")))
}

fn entry_arg() -> Arg {
    Arg::new("entry")
        .long("entry")
        .env("FESCUELEAD_ENTRY")
        .global(true)
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_name("ADDRESS")
        .value_parser(str::parse::<EntryAddress>)
        .help("API address of an entry, IP:PORT or https://HOST:PORT; several are tried in turn")
}

fn ca_file_arg() -> Arg {
    Arg::new("ca_file")
        .long("ca-file")
        .env("FESCUELEAD_CA_FILE")
        .global(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("PEM file with the CA that the certificates of https:// entries are checked against")
}

fn timeout_arg() -> Arg {
    Arg::new("timeout_ms")
        .long("timeout-ms")
        .env("FESCUELEAD_TIMEOUT_MS")
        .global(true)
        .value_name("MS")
        .default_value("5000")
        .value_parser(value_parser!(u64).range(1..=600_000))
        .help("Time that one entry has for an answer")
}

fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .env("FESCUELEAD_OUTPUT")
        .global(true)
        .default_value("text")
        .value_parser(PossibleValuesParser::new(["text", "json"]))
        .help("Format of the output")
}

fn author_arg() -> Arg {
    Arg::new("author")
        .long("author")
        .env("FESCUELEAD_AUTHOR")
        .global(true)
        .default_value("operator")
        .help("Name in the history of configuration changes")
}

fn file_arg() -> Arg {
    Arg::new("file").required(true).value_name("FILE").help("Profile set as TOML; - is stdin")
}

fn validate_command() -> Command {
    Command::new("validate").about("Checks a profile set without an entry").arg(file_arg()).arg(
        Arg::new("standing")
            .long("standing")
            .action(ArgAction::SetTrue)
            .help("Ask an entry for the configuration in force, and check that no service changes its home cell"),
    )
}

fn publish_command() -> Command {
    Command::new("publish").about("Publishes a profile set, if no other change comes first").arg(file_arg()).arg(
        Arg::new("expect_version")
            .long("expect-version")
            .value_name("VERSION")
            .value_parser(value_parser!(u64))
            .help("Version that must be in force [default: the one read just before]"),
    )
}

fn zone_command() -> Command {
    let direction = |name: &'static str, about: &'static str| {
        Command::new(name)
            .about(about)
            .arg(Arg::new("zone").required(true).value_name("NAME").help("The availability zone"))
            .arg(
                Arg::new("no_wait")
                    .long("no-wait")
                    .action(ArgAction::SetTrue)
                    .help("Return once the change is accepted, not when it is in force everywhere"),
            )
            .arg(wait_timeout_arg("60000"))
    };
    Command::new("zone")
        .about("Takes an availability zone out of service or brings it back")
        .subcommand_required(true)
        .subcommand(direction("out", "Takes an availability zone out of service"))
        .subcommand(direction("in", "Brings an availability zone back"))
}

fn wait_timeout_arg(default_ms: &'static str) -> Arg {
    Arg::new("wait_timeout_ms")
        .long("wait-timeout-ms")
        .value_name("MS")
        .default_value(default_ms)
        .value_parser(value_parser!(u64))
        .help("Longest time to wait")
}

fn status_command() -> Command {
    Command::new("status").about("Shows the state of the deployment").arg(
        Arg::new("part")
            .value_parser(PossibleValuesParser::new(["hosts", "endpoints", "tasks", "entries"]))
            .help("Part to list [default: a summary]"),
    )
}

fn task_command() -> Command {
    let id = || Arg::new("id").required(true).value_name("ID").help("Id of the task");
    Command::new("task")
        .about("Submits and follows tasks")
        .subcommand_required(true)
        .subcommand(submit_command())
        .subcommand(Command::new("status").about("Shows a task").arg(id()))
        .subcommand(
            Command::new("list")
                .about("Lists tasks in the order of their ids")
                .arg(
                    Arg::new("limit")
                        .long("limit")
                        .default_value("100")
                        .value_parser(value_parser!(u32).range(1..=1_000))
                        .help("Tasks on the page"),
                )
                .arg(Arg::new("after").long("after").value_name("ID").help("Start after this task")),
        )
        .subcommand(Command::new("cancel").about("Cancels a task").arg(id()))
        .subcommand(
            Command::new("wait").about("Waits until a task has ended").arg(id()).arg(wait_timeout_arg("600000")),
        )
}

fn submit_command() -> Command {
    Command::new("submit")
        .about("Submits a task")
        .arg(
            Arg::new("key")
                .required(true)
                .value_name("KEY")
                .help("Idempotency key; submitting the same work under it again changes nothing"),
        )
        .arg(Arg::new("service").long("service").value_name("NAME").help("Service whose code the task runs"))
        .arg(Arg::new("profile").long("profile").value_name("NAME").help("Profile [default: the service's own]"))
        .arg(Arg::new("payload").long("payload").value_name("TEXT").help("What the task is told"))
        .arg(
            Arg::new("payload_file")
                .long("payload-file")
                .value_name("FILE")
                .conflicts_with("payload")
                .help("File with what the task is told; - is stdin"),
        )
        .arg(
            Arg::new("deadline_ms")
                .long("deadline-ms")
                .value_name("MS")
                .value_parser(value_parser!(u64))
                .help("Time that the task may take in all [default: the profile's own]"),
        )
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Says in plain sentences what was decided and why")
        .arg(
            Arg::new("kind")
                .required(true)
                .value_parser(PossibleValuesParser::new(ExplainKind::ALL.map(ExplainKind::as_str)))
                .help("What to explain"),
        )
        .arg(Arg::new("id").required(true).value_name("ID").help("Its id or name"))
}

/// What holds for every command.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The API addresses of the entries, in the order in which they are tried.
    pub entries: Vec<EntryAddress>,
    /// The CA of entries that serve TLS.
    pub ca_file: Option<PathBuf>,
    /// The time that one entry has for an answer.
    pub timeout_ms: u64,
    /// The operator token.
    pub token: Option<String>,
    /// Who changes the configuration.
    pub author: String,
    json: bool,
}

impl Settings {
    /// Reads the settings from the arguments; `token` is the value of `FESCUELEAD_TOKEN`.
    pub fn from_matches(matches: &ArgMatches, token: Option<String>) -> Result<Self, Failure> {
        let token = token.filter(|token| !token.is_empty());
        if token.as_ref().is_some_and(|token| !token.bytes().all(|b| b.is_ascii_graphic())) {
            return Err(Failure::usage("FESCUELEAD_TOKEN holds a character that no token has; check for line breaks"));
        }
        Ok(Self {
            entries: matches.get_many("entry").map(|entries| entries.cloned().collect()).unwrap_or_default(),
            ca_file: matches.get_one("ca_file").cloned(),
            timeout_ms: matches.get_one("timeout_ms").copied().unwrap_or(5_000),
            token,
            author: matches.get_one::<String>("author").cloned().unwrap_or_default(),
            json: matches.get_one::<String>("output").is_some_and(|output| output == "json"),
        })
    }

    /// Whether the output is JSON.
    pub fn is_json(&self) -> bool {
        self.json
    }
}

/// A required text argument.
pub fn text<'m>(args: &'m ArgMatches, name: &str) -> Result<&'m str, Failure> {
    let value = args.get_one::<String>(name).map(String::as_str);
    value.ok_or_else(|| Failure::usage(format!("argument {name} is missing")))
}

/// The longest time that the command may wait.
pub fn wait_timeout_ms(args: &ArgMatches) -> u64 {
    args.get_one("wait_timeout_ms").copied().unwrap_or(0)
}

/// The whole milliseconds since `begun`.
pub fn elapsed_ms(begun: Instant) -> u64 {
    u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against arguments that clap only finds contradictory when they are used.
    #[test]
    fn the_arguments_are_consistent() {
        command().debug_assert();
    }
}
