//! Enforcement of team quotas.
//!
//! Several entries place tasks concurrently, each on its own view of the stream. Quotas are therefore checked in stream
//! order, when the assignment is applied: an assignment that would exceed the quota of its team has no effect.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::{cell::Task, ids::TeamId, mutation::Mutation, units::Resources};

/// The quotas in force and the resources that each team uses. A team without a quota is not limited.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct TeamQuotas {
    config_version: u64,
    limits: BTreeMap<TeamId, Resources>,
    /// Resources of assigned and fenced tasks. Recomputed from the tasks when a snapshot is loaded.
    #[serde(skip)]
    held: HashMap<TeamId, Resources>,
}

impl TeamQuotas {
    pub(super) fn limits(&self) -> &BTreeMap<TeamId, Resources> {
        &self.limits
    }

    pub(super) fn config_version(&self) -> u64 {
        self.config_version
    }

    pub(super) fn set(
        &mut self,
        config_version: u64,
        limits: &BTreeMap<TeamId, Resources>,
        mutation: Option<Mutation>,
    ) {
        if config_version > self.config_version || mutation == Some(Mutation::OlderQuotas) {
            self.config_version = config_version;
            self.limits.clone_from(limits);
        }
    }

    pub(super) fn allows(&self, task: &Task) -> bool {
        let Some(limit) = self.limits.get(&task.spec.team) else { return true };
        let held = self.held.get(&task.spec.team).copied().unwrap_or_default();
        held.plus(&task.spec.resources).fits_in(limit)
    }

    pub(super) fn hold(&mut self, task: &Task) {
        let held = self.held.entry(task.spec.team.clone()).or_default();
        *held = held.plus(&task.spec.resources);
    }

    pub(super) fn release(&mut self, task: &Task) {
        if let Some(held) = self.held.get_mut(&task.spec.team) {
            *held = held.minus(&task.spec.resources);
        }
    }
}
