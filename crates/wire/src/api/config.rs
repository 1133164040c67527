//! Configuration: profile sets, availability zones and their rollout.

use std::{collections::BTreeMap, fmt};

use fescuelead_core::{
    config::{Change, ConfigState, HistoryItem},
    ids::AvailabilityZone,
    plain,
};

use crate::api::problem::{ApiError, Outcome, Problem};

plain! {
    /// The answer to `GET /v1/config`.
    pub struct ConfigDocument {
        /// The version in force.
        pub version: u64,
        /// The profile set in force as it was published, as TOML.
        pub text: String,
        /// The availability zones that are out of service.
        pub zones_out: Vec<String>,
        /// The home cells of services, also of those that were removed.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub home_cells: BTreeMap<String, u32>,
    }

    /// The answer to `GET /v1/config/history`.
    pub struct ConfigHistory {
        /// The version in force.
        pub version: u64,
        /// Accepted changes, oldest first.
        pub items: Vec<ConfigHistoryItem>,
    }

    /// One accepted change.
    pub struct ConfigHistoryItem {
        /// The version that it made.
        pub version: u64,
        /// Who made it.
        pub author: String,
        /// What it changed.
        pub change: ConfigChange,
    }

    /// What an accepted change did.
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub enum ConfigChange {
        /// The profile set was replaced.
        Profiles,
        /// An availability zone was taken out or brought back.
        Zone {
            /// The availability zone.
            availability_zone: String,
            /// Whether it is out of service.
            out: bool,
        },
    }

    /// The body of `PUT /v1/config`. The header `If-Match` names the version that the operator saw.
    #[serde(deny_unknown_fields)]
    pub struct PublishRequest {
        /// The profile set as TOML.
        pub text: String,
        /// Who publishes it, for the history.
        #[serde(default)]
        pub author: String,
    }

    /// The answer to `PUT /v1/config`, given once the record is accepted.
    pub struct PublishAnswer {
        /// The new version.
        pub version: u64,
        /// How far it has spread.
        pub rollout: Rollout,
    }

    /// The answer to a configuration change that lost against another, with status 412. The members of the [`Problem`]
    /// stand beside the version.
    pub struct PublishConflict {
        /// What happened.
        #[serde(flatten)]
        pub problem: Problem,
        /// The version that stands.
        pub standing_version: u64,
        /// Who made the version that stands.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub standing_author: Option<String>,
    }

    /// The body of `PUT /v1/zones/{zone}`.
    #[serde(deny_unknown_fields)]
    pub struct ZoneRequest {
        /// Whether the availability zone shall be out of service.
        pub out: bool,
        /// The version that the operator saw. If left out, the entry takes the version in force and repeats the change
        /// if another one comes first.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub expected_version: Option<u64>,
        /// Who asks for it, for the history.
        #[serde(default)]
        pub author: String,
    }

    /// The answer to `PUT /v1/zones/{zone}`, given once the record is accepted.
    pub struct ZoneAnswer {
        /// The availability zone.
        pub availability_zone: String,
        /// Whether it is out of service.
        pub out: bool,
        /// The version that made it so.
        pub version: u64,
        /// How far it has spread.
        pub rollout: Rollout,
    }

    /// The role of a process.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Role {
        /// An entry.
        Entry,
        /// An agent.
        Agent,
    }

    /// A process that has not got the newest version.
    pub struct Laggard {
        /// The id of the process.
        pub name: String,
        /// Its role.
        pub role: Role,
        /// The version that it last reported.
        pub version: u64,
        /// How long ago it last reported.
        pub age_ms: u64,
    }

    /// How far a configuration version has spread.
    pub struct Rollout {
        /// The cell whose processes are counted.
        #[serde(default)]
        pub cell: u32,
        /// The version.
        pub version: u64,
        /// The processes that are known to live.
        pub processes: u64,
        /// Those of them in which the version is in force.
        pub in_force: u64,
        /// The others, at most 100.
        pub laggards: Vec<Laggard>,
    }
}

impl Rollout {
    /// Whether the version is in force in all processes.
    pub fn is_complete(&self) -> bool {
        self.in_force >= self.processes
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
        })
    }
}

impl PublishConflict {
    /// Tells a loser which version stands.
    pub fn new(expected_version: u64, standing_version: u64) -> Self {
        let problem = Problem::new(412, "version conflict", Outcome::NotRun)
            .with_detail(format!("version {expected_version} was expected, but version {standing_version} stands"))
            .with_remedy("read the configuration again, merge the change and publish it against that version");
        Self { problem, standing_version, standing_author: None }
    }

    /// Names who made the version that stands.
    pub fn with_standing_author(self, author: impl Into<String>) -> Self {
        Self { standing_author: Some(author.into()), ..self }
    }
}

impl From<&ConfigState> for ConfigDocument {
    fn from(config: &ConfigState) -> Self {
        Self {
            version: config.version(),
            text: config.text().to_string(),
            zones_out: config.zones_out().iter().map(ToString::to_string).collect(),
            home_cells: config.homes().iter().map(|(service, cell)| (service.to_string(), cell)).collect(),
        }
    }
}

impl From<&ConfigState> for ConfigHistory {
    fn from(config: &ConfigState) -> Self {
        Self { version: config.version(), items: config.history().map(Into::into).collect() }
    }
}

impl From<&HistoryItem> for ConfigHistoryItem {
    fn from(item: &HistoryItem) -> Self {
        Self { version: item.version, author: item.author.clone(), change: (&item.change).into() }
    }
}

impl From<&Change> for ConfigChange {
    fn from(change: &Change) -> Self {
        match change {
            Change::Profiles => Self::Profiles,
            Change::Zone { availability_zone, out } => {
                Self::Zone { availability_zone: availability_zone.to_string(), out: *out }
            }
        }
    }
}

impl TryFrom<&ConfigChange> for Change {
    type Error = ApiError;

    fn try_from(change: &ConfigChange) -> Result<Self, ApiError> {
        match change {
            ConfigChange::Profiles => Ok(Self::Profiles),
            ConfigChange::Zone { availability_zone, out } => {
                let zone = AvailabilityZone::new(availability_zone).map_err(ApiError::bad_id("availability_zone"))?;
                Ok(Self::Zone { availability_zone: zone, out: *out })
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a loser that cannot tell which version stands.
    #[test]
    fn a_conflict_is_a_problem_with_the_standing_version() {
        let conflict = PublishConflict::new(4, 6).with_standing_author("ops-2");
        let json = serde_json::to_value(&conflict).expect("serializable");
        assert_eq!((&json["status"], &json["standing_version"]), (&412.into(), &6.into()));
        assert_eq!(serde_json::from_value::<Problem>(json.clone()).expect("a problem"), conflict.problem);
        assert_eq!(serde_json::from_value::<PublishConflict>(json).expect("a conflict"), conflict);
    }
}
