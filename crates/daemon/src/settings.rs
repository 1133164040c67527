/*!
Settings in flags and environment variables.

Every flag `--some-flag` can also be given as `FESCUELEADD_SOME_FLAG`. All settings are checked before anything starts; a
wrong one stops the process with a message that names the flag and the remedy.

```
use fescueleadd::settings::{Role, Settings};

let settings = Settings::parse_from([
    "fescueleadd", "--role", "entry", "--name", "entry-a", "--availability-zone", "az-1",
    "--log-address", "127.0.0.1:7000", "--peer-keys", "k1:6b6579206f662074686520706565727321",
    "--operator-token", "operator-secret-token",
])?;
assert!(matches!(settings.role, Role::Entry(_)));

let error = Settings::parse_from(["fescueleadd", "--role", "entry"]).unwrap_err();
assert!(error.to_string().contains("--name"));
# Ok::<(), fescueleadd::settings::SettingsError>(())
```
*/

use std::{ffi::OsString, fmt, net::SocketAddr, path::Path};

use clap::{Arg, ArgMatches, Command};
use fescuelead_core::{
    cells::MAX_CELL,
    ids::{AgentId, AvailabilityZone, EntryId, RackId},
};
use rustls::ServerConfig;

use crate::{
    auth::{KeyError, OperatorTokens, PeerKeys},
    reload::{FileError, Reloadable},
    tls,
};

/// The most entries that one asks for copies at the same time.
const MAX_PEERS: usize = 16;

/// What both roles need.
#[derive(Debug, Clone)]
pub struct Common {
    /// Where this process stands.
    pub availability_zone: AvailabilityZone,
    /// The cell that this process belongs to.
    pub cell: u32,
    /// Keys that processes authenticate each other with.
    pub peer_keys: Reloadable<PeerKeys>,
    /// Requests from callers (entry) or entries (agent).
    pub request_listen: SocketAddr,
    /// Operators and probes (entry), announcements and probes (agent).
    pub api_listen: SocketAddr,
    /// The most connections of any one listener.
    pub max_connections: usize,
    /// The most threads that serve connections for requests.
    pub request_threads: usize,
    /// How long a graceful shutdown may take.
    pub drain_ms: u64,
    /// How long the process goes on serving after its probe has turned red.
    pub probe_grace_ms: u64,
}

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// What both roles need.
    pub common: Common,
    /// Its id.
    pub name: EntryId,
    /// The log service.
    pub log_address: SocketAddr,
    /// Where it takes connections of agents.
    pub peer_listen: SocketAddr,
    /// The address that agents are told, if it is not the one listened on.
    pub peer_advertise: Option<SocketAddr>,
    /// Other entries of the cell, asked for copies of their state if the log is down at the start.
    pub peers: Vec<SocketAddr>,
    /// The tokens of which operators must present one.
    pub operator_tokens: Reloadable<OperatorTokens>,
    /// What the request and API listeners serve TLS with; without it they serve plain HTTP.
    pub tls_certificate: Option<Reloadable<ServerConfig>>,
    /// The shortest time between two appends of this entry to one stream.
    pub append_spacing_ms: u64,
    /// Appends to a stream between two snapshots at most.
    pub snapshot_every: u64,
}

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// What both roles need.
    pub common: Common,
    /// Its id.
    pub name: AgentId,
    /// The rack of its host.
    pub rack: RackId,
    /// The worker on its host.
    pub worker_address: SocketAddr,
    /// Entries to attach to at first.
    pub entries: Vec<SocketAddr>,
    /// The address that entries are told, if it is not the one listened on.
    pub request_advertise: Option<SocketAddr>,
    /// The time between two heartbeats to one entry.
    pub heartbeat_ms: u64,
}

/// What the process does.
#[derive(Debug, Clone)]
pub enum Role {
    /// Takes callers' work and decides.
    Entry(EntrySettings),
    /// Owns one worker's capacity and one host's endpoints.
    Agent(AgentSettings),
}

/// All settings of a process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// What the process does.
    pub role: Role,
}

impl Settings {
    /// Reads and checks flags and environment variables.
    ///
    /// # Errors
    ///
    /// Fails with the flag and the remedy if a setting is missing or wrong, and with the help text if that was asked for.
    pub fn parse_from<I, T>(arguments: I) -> Result<Self, SettingsError>
    where
        I: IntoIterator<Item = T>,
        T: Into<OsString> + Clone,
    {
        let matches = command().try_get_matches_from(arguments).map_err(SettingsError::usage)?;
        let common = common(&matches)?;
        let role = match text(&matches, "role")?.as_str() {
            "agent" => Role::Agent(agent(&matches, common)?),
            _ => Role::Entry(entry(&matches, common)?),
        };
        Ok(Self { role })
    }
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    let variable = format!("FESCUELEADD_{}", name.to_uppercase().replace('-', "_"));
    Arg::new(name).long(name).env(variable).help(help).value_name("VALUE")
}

/// The command line.
pub fn command() -> Command {
    Command::new("fescueleadd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The fescuelead daemon: an entry that takes callers' work, or the agent beside an endpoint")
        .arg(flag("role", "entry or agent").value_parser(["entry", "agent"]).required(true))
        .arg(flag("name", "the id of this process, unique in its role").required(true))
        .arg(flag("availability-zone", "the availability zone of this host").required(true))
        .arg(flag("cell", "the number of the cell that this process belongs to").default_value("0"))
        .arg(flag("peer-keys", "id:hex keys, comma-separated; the first signs, all are accepted"))
        .arg(flag("peer-keys-file", "file that the peer keys are read from whenever it changes"))
        .arg(flag("request-listen", "ip:port for requests").default_value("127.0.0.1:0"))
        .arg(flag("api-listen", "ip:port for the API, probes and metrics").default_value("127.0.0.1:0"))
        .arg(flag("max-connections", "the most connections of one listener").default_value("4096"))
        .arg(flag("request-threads", "the most threads that serve requests; by default half of the cores"))
        .arg(flag("drain-ms", "how long a graceful shutdown may take").default_value("30000"))
        .arg(flag("probe-grace-ms", "how long to go on serving after the probe turned red").default_value("3000"))
        .arg(flag("log-address", "entry: ip:port of the log service"))
        .arg(flag("peer-listen", "entry: ip:port for agents").default_value("127.0.0.1:0"))
        .arg(flag("peer-advertise", "entry: ip:port that agents are told"))
        .arg(flag("peers", "entry: ip:port of other entries, comma-separated, to start from while the log is down"))
        .arg(flag("operator-token", "entry: tokens of which operators present one, comma-separated"))
        .arg(flag("operator-token-file", "entry: file that the tokens are read from whenever it changes"))
        .arg(flag(tls::CERT_FLAG, "entry: PEM file of the certificate chain; read again whenever it changes"))
        .arg(flag(tls::KEY_FLAG, "entry: PEM file of the private key; read again whenever it changes"))
        .arg(flag("append-spacing-ms", "entry: shortest time between two appends").default_value("10"))
        .arg(flag("snapshot-every", "entry: appends between two snapshots at most").default_value("5000"))
        .arg(flag("rack", "agent: the rack of this host").default_value("rack-0"))
        .arg(flag("worker-address", "agent: ip:port of the worker"))
        .arg(flag("entries", "agent: ip:port of entries, comma-separated"))
        .arg(flag("request-advertise", "agent: ip:port that entries are told"))
        .arg(flag("heartbeat-ms", "agent: time between two heartbeats").default_value("500"))
}

fn common(matches: &ArgMatches) -> Result<Common, SettingsError> {
    Ok(Common {
        availability_zone: id(matches, "availability-zone", AvailabilityZone::new)?,
        cell: number(matches, "cell", 0, u64::from(MAX_CELL))? as u32,
        peer_keys: secret(matches, ["peer-keys", "peer-keys-file"], PeerKeys::parse)?,
        request_listen: address(matches, "request-listen")?,
        api_listen: address(matches, "api-listen")?,
        max_connections: number(matches, "max-connections", 1, 1_000_000)? as usize,
        request_threads: match matches.contains_id("request-threads") {
            true => number(matches, "request-threads", 1, 1_024)? as usize,
            false => default_request_threads(),
        },
        drain_ms: number(matches, "drain-ms", 0, 3_600_000)?,
        probe_grace_ms: number(matches, "probe-grace-ms", 0, 600_000)?,
    })
}

/// Half of the cores, since more threads with fewer connections each sleep and wake more often: a thread that finds several
/// requests ready serves them in one turn.
fn default_request_threads() -> usize {
    std::thread::available_parallelism().map_or(1, |cores| cores.get().div_ceil(2))
}

fn entry(matches: &ArgMatches, common: Common) -> Result<EntrySettings, SettingsError> {
    Ok(EntrySettings {
        common,
        name: id(matches, "name", EntryId::new)?,
        log_address: address(matches, "log-address")?,
        peer_listen: address(matches, "peer-listen")?,
        peer_advertise: optional_address(matches, "peer-advertise")?,
        peers: peers(matches)?,
        operator_tokens: secret(matches, ["operator-token", "operator-token-file"], OperatorTokens::parse)?,
        tls_certificate: tls_certificate(matches)?,
        append_spacing_ms: number(matches, "append-spacing-ms", 1, 1_000)?,
        snapshot_every: number(matches, "snapshot-every", 10, 1_000_000)?,
    })
}

fn agent(matches: &ArgMatches, common: Common) -> Result<AgentSettings, SettingsError> {
    let entries = text(matches, "entries")?;
    Ok(AgentSettings {
        common,
        name: id(matches, "name", AgentId::new)?,
        rack: id(matches, "rack", RackId::new)?,
        worker_address: address(matches, "worker-address")?,
        entries: entries.split(',').map(|text| parse_address("entries", text)).collect::<Result<_, _>>()?,
        request_advertise: optional_address(matches, "request-advertise")?,
        heartbeat_ms: number(matches, "heartbeat-ms", 50, 2_000)?,
    })
}

fn text(matches: &ArgMatches, flag: &'static str) -> Result<String, SettingsError> {
    matches
        .get_one::<String>(flag)
        .cloned()
        .ok_or_else(|| SettingsError::wrong(flag, &"this role needs it; give the flag or its environment variable"))
}

/// A secret of which the flag, the file or both are given. The file goes first.
fn secret<T: 'static>(
    matches: &ArgMatches,
    [flag, file_flag]: [&'static str; 2],
    parse: fn(&str) -> Result<T, KeyError>,
) -> Result<Reloadable<T>, SettingsError> {
    let given = matches.get_one::<String>(flag).map(|text| parse(text)).transpose();
    let given = given.map_err(|e| SettingsError::wrong(flag, &e))?;
    match (matches.get_one::<String>(file_flag), given) {
        (Some(path), given) => {
            let parse = move |[text]: [&str; 1]| parse(text).map_err(|e| FileError::wrong(file_flag, &e));
            Ok(Reloadable::from_files([(file_flag, Path::new(path))], parse, given)?)
        }
        (None, Some(given)) => Ok(Reloadable::new(given)),
        (None, None) => {
            let remedy = format!("this role needs it; give the flag, its environment variable or --{file_flag}");
            Err(SettingsError::wrong(flag, &remedy))
        }
    }
}

fn tls_certificate(matches: &ArgMatches) -> Result<Option<Reloadable<ServerConfig>>, SettingsError> {
    let missing = |flag, other| {
        SettingsError::wrong(flag, &format!("--{other} is given without it; give both, or neither for plain HTTP"))
    };
    let path = |flag| matches.get_one::<String>(flag).map(Path::new);
    match (path(tls::CERT_FLAG), path(tls::KEY_FLAG)) {
        (Some(cert_file), Some(key_file)) => Ok(Some(tls::certificate(cert_file, key_file)?)),
        (None, None) => Ok(None),
        (None, Some(_)) => Err(missing(tls::CERT_FLAG, tls::KEY_FLAG)),
        (Some(_), None) => Err(missing(tls::KEY_FLAG, tls::CERT_FLAG)),
    }
}

fn id<T>(
    matches: &ArgMatches,
    flag: &'static str,
    make: impl Fn(String) -> Result<T, fescuelead_core::ids::IdError>,
) -> Result<T, SettingsError> {
    make(text(matches, flag)?).map_err(|e| SettingsError::wrong(flag, &e))
}

fn address(matches: &ArgMatches, flag: &'static str) -> Result<SocketAddr, SettingsError> {
    parse_address(flag, &text(matches, flag)?)
}

fn optional_address(matches: &ArgMatches, flag: &'static str) -> Result<Option<SocketAddr>, SettingsError> {
    matches.get_one::<String>(flag).map(|text| parse_address(flag, text)).transpose()
}

/// The other entries. A list with this entry's own address would make it wait for itself.
fn peers(matches: &ArgMatches) -> Result<Vec<SocketAddr>, SettingsError> {
    let Some(list) = matches.get_one::<String>("peers") else { return Ok(Vec::new()) };
    let peers: Vec<_> = list.split(',').map(|text| parse_address("peers", text)).collect::<Result<_, _>>()?;
    if peers.len() > MAX_PEERS {
        return Err(SettingsError::wrong(
            "peers",
            &format!("{} addresses are too many; give at most {MAX_PEERS}", peers.len()),
        ));
    }
    let own = [Some(address(matches, "peer-listen")?), optional_address(matches, "peer-advertise")?];
    match peers.iter().find(|peer| own.contains(&Some(**peer))) {
        Some(peer) => Err(SettingsError::wrong("peers", &format!("{peer} is this entry itself; name only others"))),
        None => Ok(peers),
    }
}

fn parse_address(flag: &'static str, text: &str) -> Result<SocketAddr, SettingsError> {
    let wrong = |_| SettingsError::wrong(flag, &format!("{text:?} is no address; use ip:port, such as 127.0.0.1:7000"));
    text.trim().parse().map_err(wrong)
}

fn number(matches: &ArgMatches, flag: &'static str, least: u64, most: u64) -> Result<u64, SettingsError> {
    let text = text(matches, flag)?;
    let remedy = || SettingsError::wrong(flag, &format!("{text:?} is out of range; use {least} to {most}"));
    text.parse().ok().filter(|number| (least..=most).contains(number)).ok_or_else(remedy)
}

/// Says which setting is wrong and how to correct it.
#[derive(Debug)]
pub struct SettingsError {
    kind: SettingsErrorKind,
}

#[derive(Debug)]
enum SettingsErrorKind {
    Usage(clap::Error),
    Wrong { flag: &'static str, remedy: String },
}

impl SettingsError {
    fn usage(error: clap::Error) -> Self {
        Self { kind: SettingsErrorKind::Usage(error) }
    }

    fn wrong(flag: &'static str, remedy: &dyn fmt::Display) -> Self {
        Self { kind: SettingsErrorKind::Wrong { flag, remedy: remedy.to_string() } }
    }

    /// The exit code of the process: 0 if help or version was asked for, else 2.
    pub fn exit_code(&self) -> u8 {
        match &self.kind {
            SettingsErrorKind::Usage(error) if !error.use_stderr() => 0,
            SettingsErrorKind::Usage(_) | SettingsErrorKind::Wrong { .. } => 2,
        }
    }
}

impl From<FileError> for SettingsError {
    fn from(error: FileError) -> Self {
        Self::wrong(error.flag(), &error)
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            SettingsErrorKind::Usage(error) => error.fmt(f),
            SettingsErrorKind::Wrong { flag, remedy } => write!(f, "--{flag}: {remedy}"),
        }
    }
}

impl std::error::Error for SettingsError {}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(extra: &[&str]) -> Result<Settings, SettingsError> {
        let base = ["fescueleadd", "--role", "agent", "--name", "agent-1", "--availability-zone", "az-1"];
        let keys = ["--peer-keys", "k1:6b6579206f662074686520706565727321", "--worker-address", "127.0.0.1:1"];
        Settings::parse_from(base.iter().chain(&keys).chain(extra))
    }

    /// Guards against a process that starts with a wrong setting, or does not say which one it is.
    #[rstest::rstest]
    #[case::no_entries(&[], "--entries")]
    #[case::bad_address(&["--entries", "localhost"], "--entries")]
    #[case::bad_number(&["--entries", "127.0.0.1:2", "--heartbeat-ms", "5"], "--heartbeat-ms")]
    #[case::no_threads(&["--entries", "127.0.0.1:2", "--request-threads", "0"], "--request-threads")]
    #[case::bad_cell(&["--entries", "127.0.0.1:2", "--cell", "1024"], "--cell")]
    #[case::bad_id(&["--entries", "127.0.0.1:2", "--rack", "a b"], "--rack")]
    fn a_wrong_setting_is_named(#[case] extra: &[&str], #[case] flag: &str) {
        let error = parse(extra).expect_err("a setting is wrong");
        assert!(error.to_string().contains(flag), "{error}");
        assert_eq!(error.exit_code(), 2);
    }

    /// Guards against a list of peers that is only found to be wrong in an outage.
    #[rstest::rstest]
    #[case::no_address(&["--peers", "entry-b"])]
    #[case::itself(&["--peers", "127.0.0.1:9,127.0.0.1:8", "--peer-listen", "127.0.0.1:8"])]
    fn a_wrong_list_of_peers_is_named(#[case] extra: &[&str]) {
        let base = ["fescueleadd", "--role", "entry", "--name", "entry-a", "--availability-zone", "az-1"];
        let keys = ["--peer-keys", "k1:6b6579206f662074686520706565727321", "--log-address", "127.0.0.1:1"];
        let token = ["--operator-token", "operator-secret-token"];
        let arguments = base.iter().chain(&keys).chain(&token);
        let error = Settings::parse_from(arguments.clone().chain(extra)).expect_err("the list is wrong");
        assert!(error.to_string().contains("--peers"), "{error}");
        let good = Settings::parse_from(arguments.chain(&["--peers", "127.0.0.1:8,127.0.0.1:9"]));
        assert!(matches!(good.expect("a good list").role, Role::Entry(entry) if entry.peers.len() == 2));
    }

    /// Guards against a full set of settings that is refused.
    #[test]
    fn good_settings_are_accepted() {
        let settings = parse(&["--entries", "127.0.0.1:2,127.0.0.1:3"]).expect("good settings");
        assert!(matches!(settings.role, Role::Agent(agent) if agent.entries.len() == 2));
    }

    /// Guards against a process that joins another cell than its setting names.
    #[test]
    fn the_cell_is_0_or_the_one_that_is_named() {
        for (extra, cell) in [(&[][..], 0), (&["--cell", "1023"][..], 1_023)] {
            let settings = parse(&[&["--entries", "127.0.0.1:2"], extra].concat()).expect("good settings");
            assert!(matches!(settings.role, Role::Agent(agent) if agent.common.cell == cell));
        }
    }
}
