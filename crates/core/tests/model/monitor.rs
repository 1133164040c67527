//! Global observer of a schedule in real time: checks the invariants and counts events.

use std::collections::{BTreeMap, BTreeSet};

use fescuelead_core::{
    cell::{CellEvent, CellState, Task, TaskPhase},
    config::ConfigState,
    ids::{AttemptRef, AvailabilityZone, EntryRef, RequestKey, TaskId, TeamId},
    mutation::Mutation,
    record::{Batch, Record, RequestOutcome},
    runner::CONFIG_FRESH_MS,
    units::Resources,
};

/// Tolerance for clock drift and rounding beyond the maximum age of a configuration view, in microseconds.
const ZONE_TOLERANCE_US: u64 = 50_000;

#[derive(Debug, Clone, Default)]
pub struct Counts {
    pub schedules: u64,
    pub steps: u64,
    pub fences: u64,
    pub reassignments: u64,
    pub freezes: u64,
    pub thaws: u64,
    pub finishes: u64,
    pub admissions: u64,
    pub removals: u64,
    pub adoptions: u64,
    pub lost_answers: u64,
    pub late_appends: u64,
    pub starts_refused: u64,
    pub requests_run: u64,
    pub requests_refused: u64,
    pub lease_changes: u64,
    pub quota_changes: u64,
    pub quota_refusals: u64,
    pub claims_repeated: u64,
    pub restores: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        for (sum, part) in self.fields().into_iter().zip(other.clone().fields()) {
            *sum += *part;
        }
    }

    fn fields(&mut self) -> [&mut u64; 20] {
        [
            &mut self.schedules,
            &mut self.steps,
            &mut self.fences,
            &mut self.reassignments,
            &mut self.freezes,
            &mut self.thaws,
            &mut self.finishes,
            &mut self.admissions,
            &mut self.removals,
            &mut self.adoptions,
            &mut self.lost_answers,
            &mut self.late_appends,
            &mut self.starts_refused,
            &mut self.requests_run,
            &mut self.requests_refused,
            &mut self.lease_changes,
            &mut self.quota_changes,
            &mut self.quota_refusals,
            &mut self.claims_repeated,
            &mut self.restores,
        ]
    }
}

pub struct Monitor {
    pub cell: CellState,
    pub config: ConfigState,
    pub counts: Counts,
    pub violation: Option<String>,
    winners: BTreeMap<AttemptRef, String>,
    started: BTreeSet<AttemptRef>,
    zones_out: BTreeMap<AvailabilityZone, u64>,
    /// Offsets of the claims under which each request ran.
    runs: BTreeMap<RequestKey, Vec<u64>>,
    not_run: BTreeSet<(RequestKey, u64)>,
    /// Tasks that count against the quota of their team.
    quota_holders: BTreeSet<TaskId>,
    quotas: (u64, BTreeMap<TeamId, Resources>),
    appended_once: BTreeSet<(EntryRef, String)>,
    trace_enabled: bool,
}

impl Monitor {
    pub fn new(mutation: Option<Mutation>) -> Self {
        Self {
            cell: CellState::new(0).with_mutation(mutation),
            config: ConfigState::new(),
            counts: Counts::default(),
            violation: None,
            winners: BTreeMap::new(),
            started: BTreeSet::new(),
            zones_out: BTreeMap::new(),
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
            quota_holders: BTreeSet::new(),
            quotas: (0, BTreeMap::new()),
            appended_once: BTreeSet::new(),
            trace_enabled: std::env::var_os("FESCUELEAD_TRACE").is_some(),
        }
    }

    /// Prints an event if `FESCUELEAD_TRACE` is set.
    pub fn trace(&self, now_us: u64, message: impl FnOnce() -> String) {
        if self.trace_enabled {
            println!("{:>10.3} ms {}", now_us as f64 / 1_000.0, message());
        }
    }

    pub fn check(&mut self, holds: bool, message: impl FnOnce() -> String) {
        if !holds && self.violation.is_none() {
            self.violation = Some(message());
        }
    }

    /// Observes an append to the cell at the moment it takes effect.
    pub fn append_applied(&mut self, batch: &Batch, now_us: u64) {
        self.trace(now_us, || format!("{} #{} applied {:?}", batch.writer_ref(), batch.sequence, batch.records));
        let (repeated, lease) = (self.cell.repeated(), self.cell.lease());
        let events = self.cell.apply(self.cell.next_offset(), batch);
        self.counts.lease_changes += u64::from(self.cell.lease() != lease);
        if self.cell.repeated() == repeated {
            self.check_appended_once(batch);
            self.check_quotas(batch, &events);
        }
        for event in events {
            match event {
                CellEvent::Fenced { .. } => self.counts.fences += 1,
                CellEvent::Assigned { attempt, runner } => {
                    self.counts.reassignments += u64::from(attempt.attempt > 1);
                    self.winners.insert(attempt, format!("{}/{}", runner.agent, runner.agent_incarnation));
                }
                CellEvent::Ended { phase: TaskPhase::Succeeded, .. } => self.counts.finishes += 1,
                CellEvent::Claimed { key } => {
                    let earlier = self.not_run.iter().any(|(known, _)| *known == key);
                    self.counts.claims_repeated += u64::from(earlier);
                }
                CellEvent::Resolved { key } => self.resolved(&key),
                _ => {}
            }
        }
    }

    /// A task may be assigned only if it fits its team's quota together with the other tasks that the team holds.
    fn check_quotas(&mut self, batch: &Batch, events: &[CellEvent]) {
        let mut events = events.iter();
        for record in &batch.records {
            match record {
                Record::QuotasSet { config_version, quotas } if *config_version > self.quotas.0 => {
                    self.quotas = (*config_version, quotas.clone());
                    self.counts.quota_changes += 1;
                }
                // Each assignment has one event, which follows those of earlier records.
                Record::TaskAssigned { .. } => _ = events.by_ref().any(|event| self.update_quota_holders(event)),
                _ => {}
            }
        }
        events.for_each(|event| _ = self.update_quota_holders(event));
    }

    /// Updates the tasks that count against quotas, and returns whether the event is that of an assignment.
    fn update_quota_holders(&mut self, event: &CellEvent) -> bool {
        match event {
            CellEvent::Assigned { attempt, .. } => self.check_quota_on_assignment(attempt),
            CellEvent::AssignmentLost { attempt, .. } => {
                let next = self.cell.task(&attempt.task).and_then(Task::next_attempt);
                self.counts.quota_refusals += u64::from(next == Some(attempt.attempt));
            }
            CellEvent::Stopped { attempt: AttemptRef { task, .. } } | CellEvent::Ended { task, .. } => {
                self.quota_holders.remove(task);
            }
            _ => {}
        }
        matches!(event, CellEvent::Assigned { .. } | CellEvent::AssignmentLost { .. })
    }

    fn check_quota_on_assignment(&mut self, attempt: &AttemptRef) {
        // The next attempt inherits the quota of a fenced one.
        if !self.quota_holders.insert(attempt.task.clone()) {
            return;
        }
        let spec = |task| self.cell.task(task).map(|task| &task.spec);
        let Some(team) = spec(&attempt.task).map(|spec| &spec.team) else { return };
        let of_team = self.quota_holders.iter().filter_map(spec).filter(|spec| spec.team == *team);
        let held = of_team.fold(Resources::ZERO, |sum, spec| sum.plus(&spec.resources));
        let limit = self.quotas.1.get(team).copied();
        self.check(limit.is_none_or(|limit| held.fits_in(&limit)), || {
            format!("{attempt} is assigned beyond the quota {limit:?}: {held}")
        });
    }

    /// A view at the tail equals the fold of all records, even if it began from a snapshot.
    pub fn check_view(&mut self, view: &CellState) {
        let same = view.next_offset() != self.cell.next_offset() || view.to_image() == self.cell.to_image();
        self.check(same, || format!("a view differs from the fold of all records at offset {}", view.next_offset()));
    }

    pub fn config_append_applied(&mut self, batch: &Batch, now_us: u64) {
        self.config.apply(self.config.next_offset(), batch);
        let out = self.config.zones_out();
        self.zones_out.retain(|zone, _| out.contains(zone));
        for zone in out {
            self.zones_out.entry(zone.clone()).or_insert(now_us);
        }
    }

    /// Observes the start of an attempt on a worker.
    pub fn start(&mut self, attempt: &AttemptRef, run: String, zone: &AvailabilityZone, resumes: bool, now_us: u64) {
        self.trace(now_us, || format!("{attempt} starts at {run}"));
        let winner = self.winners.get(attempt);
        self.check(winner == Some(&run), || format!("{attempt} starts at {run} without a won assignment"));
        let first = self.started.insert(attempt.clone());
        self.check(first, || format!("{attempt} starts twice"));
        let idempotent = self.cell.task(&attempt.task).is_some_and(|task| task.spec.idempotent);
        let earlier = self.started.iter().any(|a| a.task == attempt.task && a.attempt < attempt.attempt);
        self.check(idempotent || resumes || !earlier, || format!("non-idempotent {attempt} starts again"));
        let out_us = self.zones_out.get(zone).map(|since| now_us - since);
        let limit_us = CONFIG_FRESH_MS * 1_000 + ZONE_TOLERANCE_US;
        self.check(out_us.is_none_or(|out_us| out_us < limit_us), || {
            format!("{attempt} starts in {zone}, which is out of service for {out_us:?} us")
        });
    }

    /// Observes a non-idempotent request that an agent forwards to the endpoint.
    pub fn run_request(&mut self, key: &RequestKey, claim_offset: u64) {
        let runs = self.runs.entry(key.clone()).or_default();
        runs.push(claim_offset);
        let runs = runs.clone();
        self.counts.requests_run += 1;
        self.check(runs.len() == 1, || format!("request {key} runs under the claims {runs:?}"));
        let not_run = self.not_run.contains(&(key.clone(), claim_offset));
        self.check(!not_run, || format!("request {key} runs after its claim {claim_offset} was answered not run"));
    }

    /// Observes the outcome of the current claim of a request, which is the answer to the caller.
    fn resolved(&mut self, key: &RequestKey) {
        let Some(claim) = self.cell.claim(key).cloned() else { return };
        match claim.outcome {
            Some(RequestOutcome::NotRun) => {
                self.counts.requests_refused += 1;
                self.not_run.insert((key.clone(), claim.offset));
                let ran = self.runs.get(key).is_some_and(|runs| runs.contains(&claim.offset));
                self.check(!ran, || format!("request {key} ran under claim {} and is answered not run", claim.offset));
            }
            Some(RequestOutcome::Answered { body, .. }) => self.check(body == claim.offset.to_le_bytes(), || {
                format!("claim {} of request {key} gets the answer of another claim", claim.offset)
            }),
            _ => {}
        }
    }

    /// Counts records that took effect. Records that a run of an entry emits once must take effect once.
    fn check_appended_once(&mut self, batch: &Batch) {
        for record in &batch.records {
            match record {
                Record::FencerAdmitted => self.counts.admissions += 1,
                Record::EntryRemoved { .. } => self.counts.removals += 1,
                Record::AttemptStopped { started: false, .. } => self.counts.starts_refused += 1,
                _ => {}
            }
            if matches!(record, Record::AttemptFenced { .. } | Record::RequestClaimed { .. } | Record::FencerAdmitted) {
                let first = self.appended_once.insert((batch.writer_ref(), format!("{record:?}")));
                self.check(first, || format!("a record of {} takes effect twice: {record:?}", batch.writer_ref()));
            }
        }
    }
}
