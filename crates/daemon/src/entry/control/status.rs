//! What operators see of the control state.

use std::collections::HashMap;

use fescuelead_core::{
    cell::{CellEvent, TaskPhase},
    ids::{AgentId, TaskId},
    units::{Resources, TimeMs},
};
use fescuelead_wire::api::{
    EndpointStatus, EntryStatus, ExplainKind, Explanation, HostStatus, Laggard, LogState, LogStatus, Role, Rollout,
    Sentence, Status, TaskCounts,
};

use crate::{
    clock::unix_ms,
    entry::control::{Control, State, agents::Session},
    metrics::{EntryMetrics, PhaseLabel, StateLabel, StreamLabel},
};

/// The time between two looks at the state.
const LOOK_MS: u64 = 1_000;

impl Control {
    pub(super) fn rollout(&self) -> Rollout {
        self.state.borrow().rollout(self.shared.cell, self.shared.clock.now())
    }

    pub(super) fn status(&self) -> Status {
        let now = self.shared.clock.now();
        let state = self.state.borrow();
        Status {
            as_of_unix_ms: unix_ms(),
            entry: self.shared.me.entry.to_string(),
            cell: self.shared.cell,
            zones_out: state.config.state().zones_out().iter().map(ToString::to_string).collect(),
            rollout: state.rollout(self.shared.cell, now),
            log: state.log_status(self.shared.observer.appended_at(), now),
            tasks: state.task_counts(),
            hosts: state.hosts(now),
            endpoints: self.endpoint_statuses(),
            entries: state.entry_statuses(),
        }
    }

    fn endpoint_statuses(&self) -> Vec<EndpointStatus> {
        let mut endpoints: Vec<_> = self.shared.endpoints().list().collect();
        endpoints.sort_by(|a, b| (&a.service, &a.address).cmp(&(&b.service, &b.address)));
        endpoints
    }

    /// Looks at the state from time to time: what changed goes to the journal, and sums go to the metrics.
    pub(super) fn look(&self) {
        let now = self.shared.clock.now();
        if self.state.borrow().look_at > now {
            return;
        }
        let endpoints = self.endpoint_statuses();
        let state = &mut *self.state.borrow_mut();
        state.look_at = now.plus_ms(LOOK_MS);
        state.journal.on_endpoints(&endpoints, now);
        let taken = std::mem::take(&mut state.scheduler.remedies.taken);
        state.journal.on_remedies(taken, now);
        state.look_at_agents(now);
        state.journal.watch(state.cell.state().tasks(), now);
        let observer = &self.shared.observer;
        observer.set_log_down(!state.cell_health.is_reachable());
        if state.journal.is_harm_due(now) {
            observer.set_harmed(state.scheduler.harmed(now));
        }
        state.set_metrics(&observer.metrics, now);
        observer.set_gauges(&self.shared);
    }

    /// What was decided about a thing, and how it is now.
    pub(super) fn explain(&self, kind: ExplainKind, id: &str) -> Explanation {
        let now = self.shared.clock.now();
        let state = self.state.borrow();
        let texts = match kind {
            ExplainKind::Task => state.explain_task(id),
            ExplainKind::Worker => state.explain_worker(id, now),
            ExplainKind::Service => state.explain_service(id, &self.endpoint_statuses()),
            ExplainKind::Zone => state.explain_zone(id),
        };
        let at_unix_ms = unix_ms();
        let mut explanation = match kind.subject(id) {
            Ok(subject) => {
                self.shared.observer.gather(&self.shared);
                Explanation::new(self.shared.observer.explainer().explain(&subject), now, at_unix_ms)
            }
            Err(_) => Explanation { kind, id: id.to_owned(), sentences: Vec::new(), dropped: 0 },
        };
        let sentence = |text: String| Sentence { age_ms: 0, at_unix_ms, attention: false, text };
        explanation.sentences.extend(texts.into_iter().map(sentence));
        explanation
    }
}

impl State {
    /// Takes in what a fold changed before the scheduler does.
    pub(super) fn observe_event(&mut self, event: &CellEvent, now: TimeMs) {
        let Self { journal, cell, scheduler, cell_health, .. } = self;
        let reason = |task: &TaskId| scheduler.reason(task).map(str::to_owned);
        journal.on_event(event, cell.state(), reason, cell_health.was_caught_up(), now);
    }

    fn look_at_agents(&mut self, now: TimeMs) {
        let Self { journal, sessions, scheduler, config, .. } = self;
        let mut left: HashMap<_, u32> = config.state().zones_out().iter().map(|zone| (zone.clone(), 0)).collect();
        for (agent, session) in sessions.iter() {
            let silent_ms = session.dead.then(|| now.since_ms(session.heard_at));
            journal.on_agent(agent, silent_ms, scheduler.is_suspected(agent, now), now);
            journal.on_running(agent, &session.running, now);
            let zone = session.hello.as_ref().map(|hello| &hello.availability_zone);
            if let Some(left) = zone.and_then(|zone| left.get_mut(zone)) {
                *left += u32::try_from(session.running.len()).unwrap_or(u32::MAX);
            }
        }
        let reported = sessions.values().flat_map(|session| &session.running).map(|running| &running.attempt).collect();
        journal.keep_frozen(&reported);
        journal.on_drain(left, now);
    }

    fn set_metrics(&self, metrics: &EntryMetrics, now: TimeMs) {
        let counts = self.task_counts();
        let phases = [
            ("pending", counts.pending),
            ("assigned", counts.assigned),
            ("fenced", counts.fenced),
            ("ended", counts.ended),
            ("stalled", counts.stalled),
        ];
        for (phase, count) in phases {
            metrics.tasks.get_or_create(&PhaseLabel { phase }).set(count as i64);
        }
        metrics.view_is_copy.set(i64::from(self.has_only_a_copy()));
        metrics.frozen_attempts.set(self.journal.frozen() as i64);
        let cell = StreamLabel { stream: format!("cell-{}", self.cell.state().cell()) };
        let config = StreamLabel { stream: "config".to_owned() };
        metrics.folded_offset.get_or_create(&cell).set(self.cell.state().next_offset() as i64);
        metrics.folded_offset.get_or_create(&config).set(self.config.state().next_offset() as i64);
        metrics.skipped_records.get_or_create(&cell).set(self.cell.state().skipped() as i64);
        metrics.skipped_records.get_or_create(&config).set(self.config.state().skipped() as i64);
        let mut agents = [("serving", 0), ("suspected", 0), ("silent", 0)];
        for (agent, session) in self.sessions.iter().filter(|(_, session)| session.hello.is_some()) {
            let state = self.agent_state(agent, session);
            agents.iter_mut().filter(|(word, _)| *word == state).for_each(|(_, count)| *count += 1);
        }
        for (state, count) in agents {
            metrics.agents.get_or_create(&StateLabel { state }).set(count);
        }
        let alive = self.sessions.values().filter(|session| !session.dead && session.hello.is_some());
        let oldest_ms = alive.map(|session| now.since_ms(session.heard_at)).max().unwrap_or(0);
        metrics.heartbeat_age_seconds.set(oldest_ms as f64 / 1_000.0);
    }

    fn agent_state(&self, agent: &AgentId, session: &Session) -> &'static str {
        match session.dead {
            true => "silent",
            false if self.journal.is_suspected(agent) => "suspected",
            false => "serving",
        }
    }

    /// How many live processes have the version in force. An agent counts while its heartbeats come.
    fn rollout(&self, cell: u32, now: TimeMs) -> Rollout {
        let version = self.config.state().version();
        let live: Vec<_> = self.sessions.iter().filter(|(_, s)| !s.dead && s.hello.is_some()).collect();
        let laggards: Vec<Laggard> = live
            .iter()
            .filter(|(_, session)| session.config_version < version)
            .map(|(agent, session)| Laggard {
                name: agent.to_string(),
                role: Role::Agent,
                version: session.config_version,
                age_ms: now.since_ms(session.heard_at),
            })
            .collect();
        let processes = live.len() as u64 + 1;
        Rollout { cell, version, processes, in_force: processes - laggards.len() as u64, laggards }
    }

    fn log_status(&self, appended_at: Option<TimeMs>, now: TimeMs) -> LogStatus {
        let health = &self.cell_health;
        let state = match (health.is_reachable(), self.cell_writer.is_unresolved()) {
            (false, _) => LogState::Down,
            (true, true) => LogState::Slow,
            (true, false) => LogState::Up,
        };
        LogStatus {
            state,
            state_age_ms: now.since_ms(health.since()),
            append_age_ms: appended_at.map(|at| now.since_ms(at)),
            read_age_ms: health.caught_up_at().map(|at| now.since_ms(at)),
            view_offset: self.cell.state().next_offset(),
            peer_copy: self.peer_copy(now),
            skipped_records: self.cell.state().skipped() + self.config.state().skipped(),
            repeated_appends: self.cell.state().repeated(),
        }
    }

    fn task_counts(&self) -> TaskCounts {
        let mut counts = TaskCounts::default();
        for task in self.cell.state().tasks() {
            match task.phase {
                TaskPhase::Pending => counts.pending += 1,
                TaskPhase::Assigned { .. } => counts.assigned += 1,
                TaskPhase::Fenced { .. } => counts.fenced += 1,
                _ => counts.ended += 1,
            }
        }
        counts.stalled = self.journal.stalled();
        counts
    }

    fn hosts(&self, now: TimeMs) -> Vec<HostStatus> {
        let mut hosts: Vec<_> =
            self.sessions.iter().filter_map(|(agent, session)| self.host_status(agent, session, now)).collect();
        hosts.sort_by(|a, b| a.agent.cmp(&b.agent));
        hosts
    }

    fn entry_statuses(&self) -> Vec<EntryStatus> {
        let fencers = self.cell.state().fencers();
        fencers
            .peer_addresses()
            .map(|(entry, address)| EntryStatus {
                entry: entry.entry.to_string(),
                incarnation: entry.incarnation,
                membership: if fencers.may_fence(entry) { "member" } else { "candidate" }.to_owned(),
                peer_address: address.to_owned(),
                config_version: (entry == self.entry.me()).then(|| self.config.state().version()),
                heartbeat_age_ms: (entry == self.entry.me()).then_some(0),
            })
            .collect()
    }

    /// How a task is now, where that does not follow from the last decision.
    fn explain_task(&self, id: &str) -> Vec<String> {
        let task = TaskId::new(id).ok().and_then(|id| self.cell.state().task(&id));
        let Some(task) = task else { return vec![format!("Task {id} is not known here, or it ended long ago.")] };
        let attempt = task.attempt;
        let mut texts = Vec::new();
        match (&task.phase, self.scheduler.reason(&task.id)) {
            (TaskPhase::Pending, Some(reason)) => texts.push(format!("Attempt {attempt} waits now: {reason}.")),
            (TaskPhase::Pending, None) => texts.push(format!("Attempt {attempt} waits to be placed.")),
            (TaskPhase::Assigned { runner }, _) => {
                texts.push(format!("Attempt {attempt} is with {} now.", runner.agent));
            }
            (TaskPhase::Fenced { runner }, _) => texts
                .push(format!("Attempt {attempt} on {} is fenced; the next one starts after the wait.", runner.agent)),
            _ => {}
        }
        if task.evictions + task.failures > 0 {
            texts.push(format!("So far it was stopped {} times and failed {} times.", task.evictions, task.failures));
        }
        texts
    }

    fn explain_worker(&self, id: &str, now: TimeMs) -> Vec<String> {
        let agent = AgentId::new(id).ok();
        let known = agent.and_then(|agent| self.sessions.get_key_value(&agent));
        let Some((agent, session)) = known else { return vec![format!("Agent {id} is not known here.")] };
        let heard_ms = now.since_ms(session.heard_at);
        vec![
            format!("It is {} now; its last heartbeat came {heard_ms} ms ago.", self.agent_state(agent, session)),
            format!("It runs {} tasks and has {} free.", session.running.len(), session.free),
        ]
    }

    fn explain_service(&self, id: &str, endpoints: &[EndpointStatus]) -> Vec<String> {
        let known = self.config.state().set().services.iter().find(|(name, _)| name.as_str() == id);
        let Some((_, service)) = known else {
            return vec![format!("Service {id} is not in the configuration in force.")];
        };
        let own: Vec<_> = endpoints.iter().filter(|endpoint| endpoint.service == id).collect();
        let up = own.iter().filter(|endpoint| endpoint.state == "up").count();
        let slots: u32 = own.iter().map(|endpoint| endpoint.slots).sum();
        vec![
            format!("It uses profile {}.", service.profile),
            format!("{up} of its {} endpoints are up, with {slots} slots in all.", own.len()),
        ]
    }

    fn explain_zone(&self, id: &str) -> Vec<String> {
        let out = self.config.state().zones_out().iter().any(|zone| zone.as_str() == id);
        let inside = |session: &&Session| {
            session.hello.as_ref().is_some_and(|hello| hello.availability_zone.as_str() == id) && !session.dead
        };
        let sessions: Vec<_> = self.sessions.values().filter(inside).collect();
        let running: usize = sessions.iter().map(|session| session.running.len()).sum();
        let word = if out { "out of service: nothing starts there" } else { "in service" };
        vec![
            format!("Availability zone {id} is {word}."),
            format!("{} agents there are heard of, and {running} tasks run there.", sessions.len()),
        ]
    }

    fn host_status(&self, agent: &AgentId, session: &Session, now: TimeMs) -> Option<HostStatus> {
        let hello = session.hello.as_ref()?;
        let committed: Resources = hello.capacity.minus(&session.free);
        let state = self.agent_state(agent, session);
        let reason = match state {
            "silent" => Some("no heartbeat comes".to_owned()),
            "suspected" => Some("what it started failed".to_owned()),
            _ if self.config.state().is_out(&hello.availability_zone) => {
                Some("its availability zone is out".to_owned())
            }
            _ => None,
        };
        Some(HostStatus {
            agent: hello.agent.to_string(),
            availability_zone: hello.availability_zone.to_string(),
            rack: hello.rack.to_string(),
            state: state.to_owned(),
            heartbeat_age_ms: now.since_ms(session.heard_at),
            config_version: session.config_version,
            capacity: hello.capacity.into(),
            committed: committed.into(),
            running_tasks: session.running.len() as u64,
            reason,
        })
    }
}
