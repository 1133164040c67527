//! Quotas of teams and their current use.

use std::collections::{BTreeMap, HashMap};

use crate::{
    cell::{CellState, Task, TaskPhase},
    ids::TeamId,
    profile::Team,
    units::Resources,
};

/// Quotas of teams and the resources that their tasks hold. Computed from the replicated state, so that tasks submitted
/// through any entry count.
#[derive(Debug, Clone, Default)]
pub struct Quotas {
    quotas: HashMap<TeamId, Resources>,
    held: HashMap<TeamId, Resources>,
}

impl Quotas {
    /// Creates a table without teams. A team without a quota is not limited.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces all quotas by those of the profile set in force, see [`cell_quotas`](crate::cells::cell_quotas).
    pub fn set_quotas(&mut self, quotas: BTreeMap<TeamId, Resources>) {
        self.quotas = quotas.into_iter().collect();
    }

    /// Sets or replaces the quota of one team.
    pub fn set_quota(&mut self, id: TeamId, team: &Team) {
        self.quotas.insert(id, team.quota);
    }

    /// Recomputes the use of all teams from scratch: the sum over assigned and fenced tasks. A fenced attempt counts
    /// because it may still run. Linear in the number of tasks; use [`hold`](Self::hold) and [`release`](Self::release)
    /// for single changes.
    pub fn recount<'c>(&mut self, cells: impl IntoIterator<Item = &'c CellState>) {
        self.held.clear();
        cells.into_iter().flat_map(CellState::tasks).filter(|task| holds(task)).for_each(|task| {
            self.hold(&task.spec.team, &task.spec.resources);
        });
    }

    /// Adds the resources of a task that was assigned.
    pub fn hold(&mut self, team: &TeamId, resources: &Resources) {
        let held = self.held.entry(team.clone()).or_default();
        *held = held.plus(resources);
    }

    /// Subtracts the resources of a task that ended or was queued again.
    pub fn release(&mut self, team: &TeamId, resources: &Resources) {
        if let Some(held) = self.held.get_mut(team) {
            *held = held.minus(resources);
        }
    }

    /// The quota of a team; `None` if the team is not limited.
    pub fn quota(&self, team: &TeamId) -> Option<Resources> {
        self.quotas.get(team).copied()
    }

    /// The resources that a team's assigned and fenced tasks hold.
    pub fn held(&self, team: &TeamId) -> Resources {
        self.held.get(team).copied().unwrap_or(Resources::ZERO)
    }

    /// Whether a task that needs `more` fits in the team's quota now.
    pub fn allows(&self, team: &TeamId, more: &Resources) -> bool {
        self.quotas.get(team).is_none_or(|quota| self.held(team).plus(more).fits_in(quota))
    }
}

fn holds(task: &Task) -> bool {
    matches!(task.phase, TaskPhase::Assigned { .. } | TaskPhase::Fenced { .. })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{
        ids::{AgentId, EntryId, TaskId},
        record::{Batch, Record},
        testing,
    };

    /// Guards against a fenced attempt that may still run but is missing from its team's use.
    #[test]
    fn assigned_and_fenced_tasks_count() {
        let (task, entry) = (TaskId::new("c0-t").expect("valid id"), EntryId::new("e").expect("valid id"));
        let agent = AgentId::new("agent").expect("valid id");
        let mut cell = CellState::new(0);
        let fence =
            Record::AttemptFenced { task: task.clone(), attempt: 1, reason: crate::record::FenceReason::AgentLost };
        let batch = Batch::new(entry, 1, 1)
            .with_record(Record::EntryRegistered { peer_address: "127.0.0.1:1".to_owned() })
            .with_record(Record::FencerAdmitted)
            .with_record(Record::TaskSubmitted { task: task.clone(), spec: testing::task_spec() })
            .with_record(Record::TaskAssigned { task, attempt: 1, agent, agent_incarnation: 1 })
            .with_record(fence);
        cell.apply(0, &batch);
        let mut quotas = Quotas::new();
        quotas.recount([&cell]);
        assert_eq!(quotas.held(&testing::task_spec().team), testing::task_spec().resources);
    }
}
