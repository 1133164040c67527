//! State that an entry keeps per agent: arrival times of requests, and assigned attempts.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::{
    cell::CellState,
    ids::{AgentId, AttemptRef},
    units::TimeMs,
};

/// Limit of the requests stored per agent until a later read. It is reached only if reads take many heartbeat intervals.
const MAX_ARRIVALS: usize = 64;

#[derive(Debug, Clone, Default)]
struct Arrivals {
    incarnation: u64,
    requests: VecDeque<(u64, TimeMs)>,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Agents {
    arrivals: HashMap<AgentId, Arrivals>,
    attempts: HashMap<AgentId, BTreeSet<AttemptRef>>,
}

impl Agents {
    pub(super) fn record_arrival(&mut self, agent: &AgentId, incarnation: u64, number: u64, now: TimeMs) {
        let known = self.arrivals.entry(agent.clone()).or_default();
        if known.incarnation != incarnation {
            *known = Arrivals { incarnation, requests: VecDeque::new() };
        }
        if known.requests.len() == MAX_ARRIVALS {
            known.requests.pop_front();
        }
        known.requests.push_back((number, now));
    }

    /// The number of the newest request of the agent's current run that arrived before `read_start`.
    pub(super) fn newest_before(&self, agent: &AgentId, read_start: Option<TimeMs>) -> Option<u64> {
        let read_start = read_start?;
        let requests = &self.arrivals.get(agent)?.requests;
        requests.iter().filter(|(_, arrived)| *arrived < read_start).map(|(number, _)| *number).max()
    }

    pub(super) fn add_attempt(&mut self, agent: &AgentId, attempt: AttemptRef) {
        self.attempts.entry(agent.clone()).or_default().insert(attempt);
    }

    /// The attempts of an agent that are current in the view, including fenced ones. Drops all others.
    pub(super) fn current_attempts(&mut self, agent: &AgentId, cell: &CellState) -> Vec<AttemptRef> {
        let Some(attempts) = self.attempts.get_mut(agent) else { return Vec::new() };
        attempts.retain(|attempt| {
            cell.task(&attempt.task).is_some_and(|task| {
                task.attempt == attempt.attempt && task.runner().is_some_and(|runner| runner.agent == *agent)
            })
        });
        attempts.iter().cloned().collect()
    }
}
