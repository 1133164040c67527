/*!
Profile sets, which operators publish: teams with quotas, named profiles, and the profile of each service.

A profile set is written in TOML. [`ProfileSet::parse`] validates it and reports all errors together, each with the field
and a remedy.

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

/// The maximum length of a profile set, in bytes of TOML.
pub const MAX_PROFILE_SET_BYTES: usize = 256 * 1024;
/// The maximum resources of one task. Larger values are most likely given in the wrong unit.
pub const MAX_TASK_RESOURCES: Resources =
    Resources { cpu_milli: 1_024_000, memory_mib: 16 * 1024 * 1024, accelerators: 64 };
/// The maximum deadline, SLO latency and progress deadline of a profile, in milliseconds: 30 days.
pub const MAX_SPAN_MS: u64 = 30 * 24 * 3_600_000;

/// The kind of work. Each kind has its own limits and queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Requests that a caller waits for.
    LatencyCritical,
    /// Tasks that run to completion.
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

/// The failure domain over which the tasks of a profile are spread.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// No spreading: tasks are packed where they fit best.
    #[default]
    None,
    /// Prefers racks with fewer tasks of the profile.
    Rack,
    /// Prefers availability zones with fewer tasks of the profile.
    AvailabilityZone,
}

/// How a non-idempotent request is handled while the log service is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutagePolicy {
    /// Refuses the request as *not run* at once.
    #[default]
    RefuseNow,
    /// Holds the request until the log service is back, and refuses it as *not run* at its deadline.
    WaitForDeadline,
}

/// Relative weights of the optimization goals of a profile. Only their ratios matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of low tail latency.
    pub tail: u32,
    /// Weight of high batch throughput.
    pub throughput: u32,
    /// Weight of few evictions.
    pub evictions: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { tail: 1, throughput: 1, evictions: 1 }
    }
}

/// Lease settings of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Lease duration `T`: how long an agent may run a task after the start of its last proof that no fence exists, in
    /// milliseconds.
    pub lease_ms: u64,
    /// Silence time-out `L`: how long to wait for an unresponsive member of the fencing set, in milliseconds.
    pub silence_ms: u64,
    /// Upper bound on clock drift between hosts, in parts per million.
    pub drift_ppm: u32,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { lease_ms: 6_000, silence_ms: 60_000, drift_ppm: 500 }
    }
}

impl LeaseSettings {
    /// Sets the lease duration `T`.
    pub fn with_lease_ms(self, lease_ms: u64) -> Self {
        Self { lease_ms, ..self }
    }

    /// Sets the silence time-out `L`.
    pub fn with_silence_ms(self, silence_ms: u64) -> Self {
        Self { silence_ms, ..self }
    }

    /// The component-wise maximum of two settings.
    pub fn longest(&self, other: &Self) -> Self {
        Self {
            lease_ms: self.lease_ms.max(other.lease_ms),
            silence_ms: self.silence_ms.max(other.silence_ms),
            drift_ppm: self.drift_ppm.max(other.drift_ppm),
        }
    }

    /// Upper bound, in milliseconds, of what another host's clock may measure for `span_ms`. Includes one millisecond for
    /// rounding.
    pub fn lengthened_ms(&self, span_ms: u64) -> u64 {
        span_ms + self.drift_ms(span_ms)
    }

    /// Lower bound, in milliseconds, of what another host's clock may measure for `span_ms`. Includes one millisecond for
    /// rounding.
    pub fn shortened_ms(&self, span_ms: u64) -> u64 {
        span_ms.saturating_sub(self.drift_ms(span_ms))
    }

    fn drift_ms(&self, span_ms: u64) -> u64 {
        (span_ms.saturating_mul(u64::from(self.drift_ppm))).div_ceil(1_000_000) + 1
    }
}

/// The quota of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The maximum resources of all running tasks of the team together, over all cells.
    pub quota: Resources,
    /// The share of the quota that each cell enforces, in percent, by cell number. If empty, the home cells of the services
    /// that use the team's profiles get equal shares.
    #[serde(default)]
    pub cell_shares: BTreeMap<String, u32>,
}

impl Team {
    /// Creates a team without explicit cell shares.
    pub fn new(quota: Resources) -> Self {
        Self { quota, cell_shares: BTreeMap::new() }
    }

    /// The explicit shares by cell, in percent. Keys that are not valid cell numbers are ignored; a set from
    /// [`ProfileSet::parse`] has none.
    pub fn shares(&self) -> BTreeMap<u32, u32> {
        self.cell_shares.iter().filter_map(|(cell, percent)| Some((cell_number(cell)?, *percent))).collect()
    }
}

/// Parses a key of `cell_shares`. Accepts only the canonical decimal form, so that no cell can be listed twice.
fn cell_number(key: &str) -> Option<u32> {
    key.parse().ok().filter(|cell: &u32| *cell <= MAX_CELL && cell.to_string() == key)
}

/// The settings for the requests and tasks of the services that use the profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// The kind of work, which selects queue and limits.
    pub kind: Kind,
    /// The team whose quota the tasks use.
    pub team: TeamId,
    /// Whether the work may safely run more than once. Required for hedging.
    #[serde(default)]
    pub idempotent: bool,
    /// Default deadline of a request or task, in milliseconds from its arrival.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Requests that take longer than this, and tasks that start later, do not meet the SLO. In milliseconds.
    #[serde(default = "default_slo_latency_ms")]
    pub slo_latency_ms: u64,
    /// The share of requests that must meet the SLO, above 0 and below 1.
    #[serde(default = "default_slo_target")]
    pub slo_target: f64,
    /// Declared resource needs of one task. Not required for latency-critical work.
    #[serde(default)]
    pub resources: Resources,
    /// Declared run time of one task, in milliseconds.
    #[serde(default)]
    pub run_ms: u64,
    /// The maximum number of attempts per task. Attempts that were evicted do not count.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// The maximum number of retries, as a percentage of requests.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u32,
    /// The maximum number of hedged requests, as a percentage of requests. Zero disables hedging.
    #[serde(default)]
    pub hedge_budget_percent: u32,
    /// The maximum number of requests in flight per entry.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
    /// The maximum number of pending tasks.
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
    /// 0 to 9; tasks with a higher priority are placed first.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// The failure domain over which tasks are spread.
    #[serde(default)]
    pub spread: Spread,
    /// How a non-idempotent request is handled while the log service is down.
    #[serde(default)]
    pub outage: OutagePolicy,
    /// The time without progress, in milliseconds, after which operators are alerted. Required for long-running work.
    #[serde(default)]
    pub progress_deadline_ms: Option<u64>,
    /// Relative weights of the optimization goals.
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

/// The settings of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the profile that applies to the service.
    pub profile: ProfileName,
    /// The home cell, which accepts the tasks and non-idempotent requests of the service. It cannot be changed.
    #[serde(default)]
    pub cell: u32,
}

/// The content of one published version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProfileSet {
    /// Lease settings; the defaults if the set has none.
    pub lease: LeaseSettings,
    /// Teams by id, from the `[team.ID]` tables.
    #[serde(rename = "team")]
    pub teams: BTreeMap<TeamId, Team>,
    /// Profiles by name, from the `[profile.NAME]` tables.
    #[serde(rename = "profile")]
    pub profiles: BTreeMap<ProfileName, Profile>,
    /// Services by name, from the `[service.NAME]` tables.
    #[serde(rename = "service")]
    pub services: BTreeMap<ServiceName, Service>,
}

impl ProfileSet {
    /// Parses and validates a profile set. Linear in the length of the text.
    ///
    /// # Errors
    ///
    /// Fails if the text is too long, is not valid TOML, or has unknown fields or invalid values. All invalid values of a
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

    /// Returns the profile with this name, if there is one.
    pub fn profile(&self, name: &str) -> Option<&Profile> {
        self.profiles.iter().find(|(known, _)| known.as_str() == name).map(|(_, profile)| profile)
    }

    /// Returns the profile of a service, or `None` if the service is not in the set.
    pub fn service_profile(&self, service: &str) -> Option<&Profile> {
        let (_, service) = self.services.iter().find(|(known, _)| known.as_str() == service)?;
        self.profiles.get(&service.profile)
    }

    /// Returns the home cell of a service, or `None` if the service is not in the set.
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

/// An invalid value in a profile set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `profile.master.resources`.
    pub field: String,
    /// What is wrong with the value and how to correct it.
    pub remedy: String,
}

impl Fault {
    fn new(field: String, remedy: String) -> Self {
        Self { field, remedy }
    }
}

/// A profile set is not valid.
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

    /// The invalid values; empty if the text is too long or not well-formed.
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

    const VALID: &str = r#"
        [team.labels]
        quota = { cpu_milli = 8000, memory_mib = 16384 }
        [profile.master]
        kind = "batch"
        team = "labels"
        resources = { cpu_milli = 2000, memory_mib = 4096 }
    "#;

    /// Guards against format changes that break published files.
    #[test]
    fn a_minimal_set_gets_default_values() {
        let set = ProfileSet::parse(VALID).expect("valid set");
        let master = set.profile("master").expect("profile");
        assert_eq!((master.attempts, master.priority, master.deadline_ms), (3, 5, 10_000));
    }

    /// Guards against tasks that can never be placed and would stay pending forever.
    #[test]
    fn a_task_larger_than_its_quota_is_rejected_with_the_field() {
        let text = VALID.replace("cpu_milli = 2000", "cpu_milli = 9000");
        let error = ProfileSet::parse(&text).expect_err("too large");
        assert_eq!(error.faults().iter().map(|f| f.field.as_str()).collect::<Vec<_>>(), ["profile.master.resources"]);
    }

    /// Guards against misspelt fields that are silently ignored.
    #[test]
    fn unknown_fields_are_rejected() {
        let text = VALID.replace("team = \"labels\"", "team = \"labels\"\ndeadline = 3");
        assert!(ProfileSet::parse(&text).expect_err("unknown field").to_string().contains("deadline"));
    }
}
