/*!
What operators publish: teams with quotas, named profiles, and the profile that each service picks.

A profile set is a TOML text. [`ProfileSet::parse`] checks all of it and reports every fault at once, each with the field
and the remedy.

```
use fescuelead_core::profile::{Kind, ProfileSet};

let set = ProfileSet::parse(
    r#"
    [team.labels]
    quota = { cpu_milli = 64000, memory_mib = 131072 }

    [profile.store-preview]
    kind = "latency-critical"
    team = "labels"
    idempotent = true
    deadline_ms = 2000
    slo_latency_ms = 150
    slo_target = 0.999

    [service.previews]
    profile = "store-preview"
    "#,
)?;
assert_eq!(set.service_profile("previews").map(|p| p.kind), Some(Kind::LatencyCritical));
# Ok::<(), fescuelead_core::profile::ProfileError>(())
```
*/

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::{
    cells::{MAX_CELL, cell_quota},
    ids::{ProfileName, ServiceName, TeamId},
    units::Resources,
};

/// The longest profile set, in bytes of TOML.
pub const MAX_PROFILE_SET_BYTES: usize = 256 * 1024;
/// The largest host that a profile may ask for. Larger requests are taken for a mistake in the unit.
pub const MAX_TASK_RESOURCES: Resources =
    Resources { cpu_milli: 1_024_000, memory_mib: 16 * 1024 * 1024, accelerators: 64 };
/// The longest deadline or progress deadline that a profile may set: 30 days.
pub const MAX_SPAN_MS: u64 = 30 * 24 * 3_600_000;

/// The kind of work. The three kinds have separate limits and queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Requests that a caller waits for.
    LatencyCritical,
    /// Tasks that finish exactly once.
    Batch,
    /// Tasks that run for days and report progress.
    LongRunning,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LatencyCritical => "latency-critical",
            Self::Batch => "batch",
            Self::LongRunning => "long-running",
        })
    }
}

/// Over what the tasks of a profile are spread.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Pack tasks where they fit best.
    #[default]
    None,
    /// Prefer racks that hold fewer tasks of the profile.
    Rack,
    /// Prefer availability zones that hold fewer tasks of the profile.
    AvailabilityZone,
}

/// What happens to a non-idempotent request while the log service is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutagePolicy {
    /// Refuse it as *not run* at once.
    #[default]
    RefuseNow,
    /// Keep it until its deadline in the hope that the log comes back, then refuse it as *not run*.
    WaitForDeadline,
}

/// How much a profile's owner weighs the three measures against each other; only the ratios count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of tail latency.
    pub tail: u32,
    /// Weight of batch throughput.
    pub throughput: u32,
    /// Weight of few evictions.
    pub evictions: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { tail: 1, throughput: 1, evictions: 1 }
    }
}

/// Lease times that hold for a whole deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// `T`: how long an agent may run a task after the start of its last proof that no fence exists.
    pub lease_ms: u64,
    /// `L`: how long a silent fencing entry is waited for.
    pub silence_ms: u64,
    /// The bound on clock drift between hosts, in parts per million.
    pub drift_ppm: u32,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { lease_ms: 6_000, silence_ms: 60_000, drift_ppm: 500 }
    }
}

impl LeaseSettings {
    /// Sets `T`.
    pub fn with_lease_ms(self, lease_ms: u64) -> Self {
        Self { lease_ms, ..self }
    }

    /// Sets `L`.
    pub fn with_silence_ms(self, silence_ms: u64) -> Self {
        Self { silence_ms, ..self }
    }

    /// The longer of each time.
    pub fn longest(&self, other: &Self) -> Self {
        Self {
            lease_ms: self.lease_ms.max(other.lease_ms),
            silence_ms: self.silence_ms.max(other.silence_ms),
            drift_ppm: self.drift_ppm.max(other.drift_ppm),
        }
    }

    /// The longest time that another host's clock may need for `span_ms`, plus one millisecond for rounding.
    pub fn lengthened_ms(&self, span_ms: u64) -> u64 {
        span_ms + self.drift_of(span_ms)
    }

    /// The shortest time that another host's clock may need for `span_ms`, less one millisecond for rounding.
    pub fn shortened_ms(&self, span_ms: u64) -> u64 {
        span_ms.saturating_sub(self.drift_of(span_ms))
    }

    fn drift_of(&self, span_ms: u64) -> u64 {
        (span_ms.saturating_mul(u64::from(self.drift_ppm))).div_ceil(1_000_000) + 1
    }
}

/// A team and the resources that its tasks may hold at one time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The sum over all running tasks of the team, in all cells.
    pub quota: Resources,
    /// The share of the quota that each cell enforces, in percent, by the number of the cell. Without any, the home cells of
    /// the services that use the team's profiles have even shares.
    #[serde(default)]
    pub cell_shares: BTreeMap<String, u32>,
}

impl Team {
    /// A team with this quota.
    pub fn new(quota: Resources) -> Self {
        Self { quota, cell_shares: BTreeMap::new() }
    }

    /// The fixed shares by cell, in percent. Keys that are no cells are left out; a checked set has none.
    pub fn shares(&self) -> BTreeMap<u32, u32> {
        self.cell_shares.iter().filter_map(|(cell, percent)| Some((cell_number(cell)?, *percent))).collect()
    }
}

/// The cell that a key names. A number has one spelling only, so that no cell stands twice.
fn cell_number(key: &str) -> Option<u32> {
    key.parse().ok().filter(|cell: &u32| *cell <= MAX_CELL && cell.to_string() == key)
}

/// How a kind of work is treated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The kind of work.
    pub kind: Kind,
    /// The team whose quota counts.
    pub team: TeamId,
    /// Whether running the work twice does no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// The time that a request or task may take in all when its caller names none.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Requests slower than this count against the SLO; tasks that start later than this do too.
    #[serde(default = "default_slo_latency_ms")]
    pub slo_latency_ms: u64,
    /// The share of requests that must meet the SLO, above 0 and below 1.
    #[serde(default = "default_slo_target")]
    pub slo_target: f64,
    /// What one task is declared to need. Latency-critical work leaves it out.
    #[serde(default)]
    pub resources: Resources,
    /// The declared run time of one task.
    #[serde(default)]
    pub run_ms: u64,
    /// Attempts a task may have in all, counting those that failed but not those that were evicted.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Retries as a percentage of requests.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u32,
    /// Hedges as a percentage of requests; zero turns them off.
    #[serde(default)]
    pub hedge_budget_percent: u32,
    /// Requests of the profile in flight at one entry.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
    /// Tasks of the profile waiting.
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
    /// 0 to 9; tasks with a higher priority are placed first.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Over what tasks are spread.
    #[serde(default)]
    pub spread: Spread,
    /// What a non-idempotent request does while the log service is down.
    #[serde(default)]
    pub outage: OutagePolicy,
    /// A long-running task that reports no progress for this long is raised to operators.
    #[serde(default)]
    pub progress_deadline_ms: Option<u64>,
    /// How the owner weighs the measures.
    #[serde(default)]
    pub weights: Weights,
}

fn default_deadline_ms() -> u64 {
    10_000
}
fn default_slo_latency_ms() -> u64 {
    1_000
}
fn default_slo_target() -> f64 {
    0.99
}
fn default_attempts() -> u32 {
    3
}
fn default_retry_budget_percent() -> u32 {
    10
}
fn default_max_in_flight() -> u32 {
    1_024
}
fn default_max_queued() -> u32 {
    100_000
}
fn default_priority() -> u8 {
    5
}

/// A service and the profile that it picked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The profile.
    pub profile: ProfileName,
    /// The home cell: where tasks and non-idempotent requests are accepted. It never changes.
    #[serde(default)]
    pub cell: u32,
}

/// All that operators publish in one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProfileSet {
    /// Lease times.
    pub lease: LeaseSettings,
    /// Teams by id.
    #[serde(rename = "team")]
    pub teams: BTreeMap<TeamId, Team>,
    /// Profiles by name.
    #[serde(rename = "profile")]
    pub profiles: BTreeMap<ProfileName, Profile>,
    /// Services by name.
    #[serde(rename = "service")]
    pub services: BTreeMap<ServiceName, Service>,
}

impl ProfileSet {
    /// Reads and checks a profile set. Linear in the length of the text.
    ///
    /// # Errors
    ///
    /// Fails if the text is too long, is no TOML, has unknown fields, or holds values that cannot work. All faults of a
    /// well-formed text are reported together.
    pub fn parse(text: &str) -> Result<Self, ProfileError> {
        if text.len() > MAX_PROFILE_SET_BYTES {
            return Err(ProfileError::new(ProfileErrorKind::TooLong { length_bytes: text.len() }));
        }
        let set: Self =
            toml::from_str(text).map_err(|e| ProfileError::new(ProfileErrorKind::Syntax { message: e.to_string() }))?;
        let faults = set.faults();
        if faults.is_empty() { Ok(set) } else { Err(ProfileError::new(ProfileErrorKind::Faults { faults })) }
    }

    /// The profile with this name.
    pub fn profile(&self, name: &str) -> Option<&Profile> {
        self.profiles.iter().find(|(known, _)| known.as_str() == name).map(|(_, profile)| profile)
    }

    /// The profile that a service picked.
    pub fn service_profile(&self, service: &str) -> Option<&Profile> {
        let (_, service) = self.services.iter().find(|(known, _)| known.as_str() == service)?;
        self.profiles.get(&service.profile)
    }

    /// The home cell of a service.
    pub fn home_cell(&self, service: &ServiceName) -> Option<u32> {
        self.services.get(service).map(|service| service.cell)
    }

    fn faults(&self) -> Vec<Fault> {
        let lease = lease_faults(&self.lease);
        let profiles = self.profiles.iter().flat_map(|(name, profile)| self.profile_faults(name, profile));
        let teams = self.teams.iter().flat_map(|(name, team)| team_faults(name, team));
        let services = self.services.iter().flat_map(|(name, service)| self.service_faults(name, service));
        lease.into_iter().chain(teams).chain(profiles).chain(services).collect()
    }

    fn service_faults(&self, name: &ServiceName, service: &Service) -> Vec<Fault> {
        let Service { profile, cell } = service;
        let mut faults = Vec::new();
        if !self.profiles.contains_key(profile) {
            let remedy =
                format!("profile {:?} does not exist; add [profile.{profile}] or name another", profile.as_str());
            faults.push(Fault::new(format!("service.{name}.profile"), remedy));
        }
        if *cell > MAX_CELL {
            faults.push(Fault::new(format!("service.{name}.cell"), format!("use 0 to {MAX_CELL}")));
        } else if let Some(p) = self.profiles.get(profile).filter(|p| p.kind != Kind::LatencyCritical) {
            let quota = self.teams.get(&p.team).map(|team| team.quota).filter(|quota| p.resources.fits_in(quota));
            let share = quota.and_then(|_| cell_quota(self, &p.team, *cell));
            if share.is_some_and(|share| !p.resources.fits_in(&share)) {
                let remedy = format!(
                    "one task is larger than the share of team {} in cell {cell} and could never run; give cell {cell} a \
                     larger share in [team.{}] cell_shares, or raise the quota",
                    p.team, p.team
                );
                faults.push(Fault::new(format!("service.{name}.cell"), remedy));
            }
        }
        faults
    }

    fn profile_faults(&self, name: &ProfileName, p: &Profile) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut require = |holds: bool, field: &str, remedy: &str| {
            if !holds {
                faults.push(Fault::new(format!("profile.{name}.{field}"), remedy.to_owned()));
            }
        };
        let spans = 1..=MAX_SPAN_MS;
        require(self.teams.contains_key(&p.team), "team", "the team does not exist; add a [team.…] table for it");
        require(spans.contains(&p.deadline_ms), "deadline_ms", "use 1 to 2592000000 (30 days)");
        require(spans.contains(&p.slo_latency_ms), "slo_latency_ms", "use 1 to 2592000000 (30 days)");
        require(
            p.slo_target > 0.0 && p.slo_target < 1.0,
            "slo_target",
            "use a share above 0 and below 1, such as 0.999",
        );
        require(p.priority <= 9, "priority", "use 0 to 9");
        require((1..=100).contains(&p.attempts), "attempts", "use 1 to 100");
        require(p.retry_budget_percent <= 100, "retry_budget_percent", "use 0 to 100");
        require(p.hedge_budget_percent <= 100, "hedge_budget_percent", "use 0 to 100");
        require(p.max_in_flight > 0, "max_in_flight", "use 1 or more");
        require(p.max_queued > 0, "max_queued", "use 1 or more");
        require(
            p.idempotent || p.hedge_budget_percent == 0,
            "hedge_budget_percent",
            "a non-idempotent request is never hedged; set 0 or mark the profile idempotent",
        );
        if p.kind != Kind::LatencyCritical {
            require(
                p.resources != Resources::ZERO,
                "resources",
                "say what one task needs, such as { cpu_milli = 1000, memory_mib = 512 }",
            );
            require(
                p.resources.fits_in(&MAX_TASK_RESOURCES),
                "resources",
                "no host is this large; check the units (thousandths of a core, MiB)",
            );
            let quota = self.teams.get(&p.team).map(|team| team.quota);
            require(
                quota.is_none_or(|quota| p.resources.fits_in(&quota)),
                "resources",
                "one task is larger than the team's quota and could never run; lower it or raise the quota",
            );
        }
        if p.kind == Kind::LongRunning {
            require(
                p.progress_deadline_ms.is_some_and(|ms| spans.contains(&ms)),
                "progress_deadline_ms",
                "long-running work needs a progress deadline of 1 to 2592000000 ms",
            );
        }
        faults
    }
}

fn team_faults(name: &TeamId, team: &Team) -> Vec<Fault> {
    let mut faults = Vec::new();
    let unknown = team.cell_shares.keys().filter(|cell| cell_number(cell).is_none());
    for cell in unknown {
        let remedy = format!("{cell:?} is no cell; use 0 to {MAX_CELL}, without leading zeros");
        faults.push(Fault::new(format!("team.{name}.cell_shares"), remedy));
    }
    let total: u64 = team.cell_shares.values().map(|percent| u64::from(*percent)).sum();
    if total > 100 {
        let remedy = format!("the shares make {total} percent; use at most 100 in total");
        faults.push(Fault::new(format!("team.{name}.cell_shares"), remedy));
    }
    faults
}

fn lease_faults(lease: &LeaseSettings) -> Vec<Fault> {
    let mut faults = Vec::new();
    if !(1_000..=600_000).contains(&lease.lease_ms) {
        faults.push(Fault::new("lease.lease_ms".to_owned(), "use 1000 to 600000".to_owned()));
    }
    if lease.silence_ms < lease.lease_ms.saturating_mul(2) {
        faults.push(Fault::new("lease.silence_ms".to_owned(), "use at least twice lease_ms".to_owned()));
    }
    if lease.drift_ppm > 100_000 {
        faults.push(Fault::new("lease.drift_ppm".to_owned(), "use 0 to 100000".to_owned()));
    }
    faults
}

/// One fault in a profile set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The field, such as `profile.master.resources`.
    pub field: String,
    /// What is wrong and what to write instead.
    pub remedy: String,
}

impl Fault {
    fn new(field: String, remedy: String) -> Self {
        Self { field, remedy }
    }
}

/// Says why a profile set was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProfileError {
    kind: ProfileErrorKind,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum ProfileErrorKind {
    TooLong { length_bytes: usize },
    Syntax { message: String },
    Faults { faults: Vec<Fault> },
}

impl ProfileError {
    fn new(kind: ProfileErrorKind) -> Self {
        Self { kind }
    }

    /// The faults of a text that is well-formed TOML.
    pub fn faults(&self) -> &[Fault] {
        match &self.kind {
            ProfileErrorKind::Faults { faults } => faults,
            ProfileErrorKind::TooLong { .. } | ProfileErrorKind::Syntax { .. } => &[],
        }
    }
}

impl fmt::Display for ProfileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ProfileErrorKind::TooLong { length_bytes } => {
                write!(f, "the profile set has {length_bytes} bytes; split it or shorten it to {MAX_PROFILE_SET_BYTES}")
            }
            ProfileErrorKind::Syntax { message } => write!(f, "the profile set cannot be read: {message}"),
            ProfileErrorKind::Faults { faults } => {
                write!(f, "the profile set has {} faults", faults.len())?;
                faults.iter().try_for_each(|fault| write!(f, "\n  {}: {}", fault.field, fault.remedy))
            }
        }
    }
}

impl std::error::Error for ProfileError {}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
        [team.labels]
        quota = { cpu_milli = 8000, memory_mib = 16384 }
        [profile.master]
        kind = "batch"
        team = "labels"
        resources = { cpu_milli = 2000, memory_mib = 4096 }
    "#;

    /// Guards against a change of the format that breaks published files.
    #[test]
    fn a_small_set_is_read_with_its_defaults() {
        let set = ProfileSet::parse(GOOD).expect("valid set");
        let master = set.profile("master").expect("profile");
        assert_eq!((master.attempts, master.priority, master.deadline_ms), (3, 5, 10_000));
    }

    /// Guards against impossible sizes that would wait forever.
    #[test]
    fn a_task_larger_than_its_quota_is_refused_with_the_field() {
        let text = GOOD.replace("cpu_milli = 2000", "cpu_milli = 9000");
        let error = ProfileSet::parse(&text).expect_err("too large");
        assert_eq!(error.faults().iter().map(|f| f.field.as_str()).collect::<Vec<_>>(), ["profile.master.resources"]);
    }

    /// Guards against a misspelt field that is silently ignored.
    #[test]
    fn unknown_fields_are_refused() {
        let text = GOOD.replace("team = \"labels\"", "team = \"labels\"\ndeadline = 3");
        assert!(ProfileSet::parse(&text).expect_err("unknown field").to_string().contains("deadline"));
    }
}
