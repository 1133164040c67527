//! Claims whose entry is gone: another entry asks the agent what became of the request.

use std::{collections::HashSet, rc::Rc};

use fescuelead_core::{
    cell::{CellEvent, CellState, Claim},
    ids::RequestKey,
    units::TimeMs,
};

use crate::{
    clock::unix_ms,
    entry::control::{Control, State},
};

/// The time between two looks at open claims.
const LOOK_MS: u64 = 1_000;
/// How long after its deadline a claim is left to the entry that made it.
const GRACE_MS: u64 = 2_000;
/// Claims that are settled in one round at most, so that a wave of them does not hold up other work.
const SETTLED_PER_ROUND: usize = 64;

/// Claims without an outcome.
pub(super) struct OpenClaims {
    keys: HashSet<RequestKey>,
    look_at: TimeMs,
}

impl OpenClaims {
    pub(super) fn new(now: TimeMs) -> Self {
        Self { keys: HashSet::new(), look_at: now }
    }

    pub(super) fn on_event(&mut self, event: &CellEvent) {
        match event {
            CellEvent::Claimed { key } => {
                self.keys.insert(key.clone());
            }
            CellEvent::Resolved { key } => {
                self.keys.remove(key);
            }
            _ => {}
        }
    }

    pub(super) fn restore(&mut self, cell: &CellState) {
        let open = cell.claims().filter(|(_, claim)| claim.outcome.is_none());
        self.keys = open.map(|(key, _)| key.clone()).collect();
    }
}

impl Control {
    /// Settles claims that nobody else will.
    pub(super) fn settle_orphans(self: &Rc<Self>) {
        let now = self.shared.clock.now();
        let due = {
            let state = &mut *self.state.borrow_mut();
            if now < state.open_claims.look_at || !state.cell_health.is_reachable() {
                return;
            }
            state.open_claims.look_at = now.plus_ms(LOOK_MS);
            state.orphans(unix_ms())
        };
        for key in due {
            let control = Rc::clone(self);
            tokio::task::spawn_local(async move {
                log::info!("entry: a claim without its entry is settled.");
                control.settle(&key).await;
            });
        }
    }
}

impl State {
    fn orphans(&mut self, now_unix_ms: u64) -> Vec<RequestKey> {
        let cell = self.cell.state();
        self.open_claims.keys.retain(|key| cell.claim(key).is_some_and(|claim| claim.outcome.is_none()));
        let ours = |key: &RequestKey| self.scheduler.ranks_first(key.as_str(), cell);
        let due =
            |key: &&RequestKey| cell.claim(key).is_some_and(|claim| self.is_orphan(claim, now_unix_ms)) && ours(key);
        self.open_claims.keys.iter().filter(due).take(SETTLED_PER_ROUND).cloned().collect()
    }

    /// Whether the entry of a claim will not settle it. While the entry lives it waits for the answer, and asking the agent
    /// would make an outcome *unknown* that is not. An agent that is not attached is given until the deadline.
    fn is_orphan(&self, claim: &Claim, now_unix_ms: u64) -> bool {
        let late = claim.deadline_unix_ms.saturating_add(GRACE_MS) <= now_unix_ms;
        let gone = claim.by != *self.entry.me() && !self.cell.state().fencers().is_registered(&claim.by);
        let agent_here = self.sessions.get(&claim.agent).is_some_and(|session| session.control.is_some());
        late || (gone && agent_here)
    }
}
