//! Sample values for examples and tests.

use crate::{
    ids::{ProfileName, ServiceName, TeamId},
    profile::Kind,
    record::TaskSpec,
    units::Resources,
};

/// An idempotent batch task of one core and 512 MiB, without deadlines.
///
/// # Panics
///
/// Does not panic, because all ids are valid.
pub fn task_spec() -> TaskSpec {
    TaskSpec {
        service: ServiceName::new("masters").expect("valid id"),
        profile: ProfileName::new("master").expect("valid id"),
        team: TeamId::new("labels").expect("valid id"),
        kind: Kind::Batch,
        idempotent: true,
        resources: Resources::new(1_000, 512),
        run_ms: 60_000,
        priority: 5,
        attempts: 3,
        deadline_unix_ms: u64::MAX,
        progress_deadline_ms: None,
        payload: Vec::new(),
    }
}
