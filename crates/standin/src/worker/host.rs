/*!
The state of a worker.

Time is simulated: each call first brings the state up to the present, event by event (a task ends, a lease runs out, a
usage interval ends), so that every event has its exact time without any timer.
*/

use std::collections::{HashSet, VecDeque};

use fescuelead_core::{ids::AttemptRef, units::Resources};
use fescuelead_platform::worker::{StartTask, UsageSample, WorkerReport, WorkerTaskState};

use crate::{
    ledger::{End, Ledger},
    worker::{SlowdownTable, WorkerCounts, task::Task},
};

const MAX_PENDING_SAMPLES: usize = 10_000;
const MAX_RETIRED: usize = 100_000;

/// Why a call fails, before it is put in the words of the trait or of HTTP.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Refusal {
    Down,
    AnswerLost,
    Superseded,
    UnknownTask,
    Other(String),
}

#[derive(Debug)]
struct PendingSample {
    end_ms: f64,
    sample: UsageSample,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    TaskEnd(usize),
    LeaseEnd(usize),
    UsageInterval,
}

#[derive(Debug)]
pub(super) struct Host {
    name: String,
    ledger: Ledger,
    capacity: Resources,
    slowdown: SlowdownTable,
    usage_interval_ms: f64,
    usage_lag_ms: f64,
    fail_starts: bool,
    incarnation: u64,
    boots: u64,
    tasks: Vec<Task>,
    /// Attempts that must not start any more.
    retired: HashSet<AttemptRef>,
    retired_order: VecDeque<AttemptRef>,
    samples: VecDeque<PendingSample>,
    settled_ms: f64,
    next_sample_ms: f64,
    counts: WorkerCounts,
}

impl Host {
    pub(super) fn new(name: String, ledger: Ledger, capacity: Resources) -> Self {
        let settled_ms = ledger.now_ms();
        Self {
            name,
            ledger,
            capacity,
            slowdown: SlowdownTable::new(),
            usage_interval_ms: 1_000.0,
            usage_lag_ms: 5_000.0,
            fail_starts: false,
            incarnation: 0,
            boots: 0,
            tasks: Vec::new(),
            retired: HashSet::new(),
            retired_order: VecDeque::new(),
            samples: VecDeque::new(),
            settled_ms,
            next_sample_ms: settled_ms + 1_000.0,
            counts: WorkerCounts::default(),
        }
    }

    pub(super) fn set_ledger(&mut self, ledger: Ledger) {
        self.ledger = ledger;
        self.settled_ms = self.ledger.now_ms();
        self.next_sample_ms = self.settled_ms + self.usage_interval_ms;
    }

    pub(super) fn set_capacity(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    pub(super) fn set_usage(&mut self, interval_ms: u64, lag_ms: u64) {
        self.settle();
        self.usage_interval_ms = interval_ms.max(1) as f64;
        self.usage_lag_ms = lag_ms as f64;
        self.next_sample_ms = self.settled_ms + self.usage_interval_ms;
    }

    pub(super) fn set_slowdown(&mut self, table: SlowdownTable) {
        self.settle();
        self.slowdown = table;
    }

    pub(super) fn set_fail_starts(&mut self, fail_starts: bool) {
        self.fail_starts = fail_starts;
    }

    pub(super) fn ledger(&self) -> Ledger {
        self.ledger.clone()
    }

    pub(super) fn counts(&self) -> WorkerCounts {
        self.counts
    }

    /// How often the host has crashed.
    pub(super) fn boots(&self) -> u64 {
        self.boots
    }

    pub(super) fn crash(&mut self) {
        self.settle();
        for index in 0..self.tasks.len() {
            if self.tasks[index].is_alive() {
                self.end(index, WorkerTaskState::Stopped { checkpoint: None }, End::Crash);
            } else if self.tasks[index].state == WorkerTaskState::Succeeded {
                self.ledger.result_lost(&self.tasks[index].attempt);
            }
        }
        self.tasks.clear();
        self.samples.clear();
        self.boots += 1;
    }

    pub(super) fn claim(&mut self) -> WorkerReport {
        self.incarnation += 1;
        self.counts.claims += 1;
        self.report()
    }

    pub(super) fn start(&mut self, incarnation: u64, task: StartTask) -> Result<(), Refusal> {
        self.check_owner(incarnation)?;
        if self.position(&task.attempt).is_ok() {
            return Ok(());
        }
        if self.retired.contains(&task.attempt) {
            return Err(Refusal::Other(format!("attempt {} was stopped or forgotten", task.attempt)));
        }
        let lease_until_ms = task.lease_until_ms as f64;
        if lease_until_ms <= self.settled_ms {
            return Err(Refusal::Other(format!("the lease of attempt {} has run out", task.attempt)));
        }
        let committed = self.tasks.iter().filter(|task| task.is_alive());
        let committed = committed.fold(Resources::ZERO, |sum, task| sum.plus(&task.resources));
        if !committed.plus(&task.resources).fits_in(&self.capacity) {
            self.counts.capacity_refusals += 1;
            return Err(Refusal::Other(format!("{committed} of {} are committed", self.capacity)));
        }
        let task = Task::new(task, self.settled_ms, lease_until_ms, self.fail_starts)?;
        self.ledger.started(&task.attempt);
        self.ledger.runs(&self.name, &task.attempt, self.settled_ms);
        self.tasks.push(task);
        Ok(())
    }

    pub(super) fn renew(&mut self, incarnation: u64, attempts: &[AttemptRef], until_ms: f64) -> Result<(), Refusal> {
        self.check_owner(incarnation)?;
        for attempt in attempts {
            if let Ok(index) = self.position(attempt) {
                self.change(index, |task| {
                    task.lease_until_ms = until_ms;
                    task.lapsed = false;
                });
            }
        }
        // A renewal that was delayed beyond its own lease ends at once.
        self.settle();
        Ok(())
    }

    pub(super) fn throttle(&mut self, incarnation: u64, attempt: &AttemptRef, percent: u8) -> Result<(), Refusal> {
        self.check_owner(incarnation)?;
        let index = self.position(attempt)?;
        self.change(index, |task| task.percent = percent.min(100));
        Ok(())
    }

    pub(super) fn checkpoint(&mut self, incarnation: u64, attempt: &AttemptRef) -> Result<String, Refusal> {
        self.check_owner(incarnation)?;
        let index = self.position(attempt)?;
        let task = &mut self.tasks[index];
        if task.is_alive() { Ok(task.save()) } else { Err(Refusal::Other(format!("attempt {attempt} has ended"))) }
    }

    pub(super) fn stop(&mut self, incarnation: u64, attempt: &AttemptRef) -> Result<WorkerTaskState, Refusal> {
        self.check_owner(incarnation)?;
        let Ok(index) = self.position(attempt) else {
            self.retire(attempt);
            return Err(Refusal::UnknownTask);
        };
        if self.tasks[index].is_alive() {
            let stopped = self.tasks[index].stopped();
            self.end(index, stopped, End::Stop);
        }
        Ok(self.tasks[index].state.clone())
    }

    pub(super) fn forget(&mut self, incarnation: u64, attempt: &AttemptRef) -> Result<(), Refusal> {
        self.check_owner(incarnation)?;
        let index = self.position(attempt)?;
        if self.tasks[index].is_alive() {
            return Err(Refusal::Other(format!("attempt {attempt} has not ended")));
        }
        self.tasks.remove(index);
        self.retire(attempt);
        Ok(())
    }

    pub(super) fn report(&self) -> WorkerReport {
        let tasks = self.tasks.iter().map(Task::report).collect();
        // Rounded down, so that a lease never ends late.
        let clock_ms = self.settled_ms as u64;
        WorkerReport { capacity: self.capacity, clock_ms, incarnation: self.incarnation, tasks }
    }

    pub(super) fn usage(&mut self) -> Vec<UsageSample> {
        let known_ms = self.settled_ms - self.usage_lag_ms;
        let known = self.samples.iter().take_while(|pending| pending.end_ms <= known_ms).count();
        let aged = |pending: PendingSample| UsageSample {
            age_ms: (self.settled_ms - pending.end_ms).round() as u64,
            ..pending.sample
        };
        self.samples.drain(..known).map(aged).collect()
    }

    /// Brings the state up to the present.
    pub(super) fn settle(&mut self) {
        let now_ms = self.ledger.now_ms();
        loop {
            let slowdowns: Vec<f64> = (0..self.tasks.len()).map(|index| self.slowdown_of(index)).collect();
            let next = self.next_event(&slowdowns).filter(|(at_ms, _)| *at_ms <= now_ms);
            let until_ms = next.map_or(now_ms, |(at_ms, _)| at_ms.max(self.settled_ms));
            for (task, slowdown) in self.tasks.iter_mut().zip(&slowdowns) {
                task.work(until_ms - self.settled_ms, *slowdown);
            }
            self.settled_ms = until_ms;
            match next {
                Some((_, event)) => self.handle(event),
                None => break,
            }
        }
    }

    fn next_event(&self, slowdowns: &[f64]) -> Option<(f64, Event)> {
        let alive = || self.tasks.iter().enumerate().filter(|(_, task)| task.is_alive());
        let ends = alive().filter_map(|(index, task)| {
            task.end_ms(self.settled_ms, slowdowns[index]).map(|at_ms| (at_ms, Event::TaskEnd(index)))
        });
        let leases = alive().filter(|(_, task)| !task.lapsed);
        let leases = leases.map(|(index, task)| (task.lease_until_ms, Event::LeaseEnd(index)));
        // Without tasks there are no samples, and a long idle time is one step.
        let sampling = alive().next().map(|_| (self.next_sample_ms, Event::UsageInterval));
        ends.chain(leases).chain(sampling).min_by(|one, other| one.0.total_cmp(&other.0))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::TaskEnd(index) => {
                if let Some(state) = self.tasks[index].finished() {
                    let end = if state == WorkerTaskState::Succeeded { End::Success } else { End::Failure };
                    self.end(index, state, end);
                }
            }
            Event::LeaseEnd(index) => {
                self.counts.lapsed_leases += u64::from(self.tasks[index].runs());
                self.change(index, |task| task.lapsed = true);
            }
            Event::UsageInterval => {
                for index in 0..self.tasks.len() {
                    if self.tasks[index].is_alive() {
                        self.sample(index);
                    }
                }
                let passed = ((self.settled_ms - self.next_sample_ms) / self.usage_interval_ms).floor();
                self.next_sample_ms += (passed.max(0.0) + 1.0) * self.usage_interval_ms;
            }
        }
    }

    fn slowdown_of(&self, index: usize) -> f64 {
        if self.slowdown.is_empty() {
            return 1.0;
        }
        let profile = &self.tasks[index].profile;
        let neighbours = self.tasks.iter().enumerate().filter(|(other, _)| *other != index);
        1.0 + neighbours.map(|(_, task)| self.slowdown.excess(profile, &task.profile) * task.share()).sum::<f64>()
    }

    fn end(&mut self, index: usize, state: WorkerTaskState, end: End) {
        self.sample(index);
        self.change(index, |task| task.state = state);
        self.ledger.ended(&self.tasks[index].attempt, end);
    }

    fn sample(&mut self, index: usize) {
        if let Some(sample) = self.tasks[index].sample(self.settled_ms) {
            self.samples.push_back(PendingSample { end_ms: self.settled_ms, sample });
        }
        if self.samples.len() > MAX_PENDING_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Changes a task and writes down whether it begins or ceases to run.
    fn change(&mut self, index: usize, change: impl FnOnce(&mut Task)) {
        let task = &mut self.tasks[index];
        let ran = task.runs();
        change(task);
        match (ran, task.runs()) {
            (false, true) => self.ledger.runs(&self.name, &task.attempt, self.settled_ms),
            (true, false) => self.ledger.rests(&self.name, &task.attempt, self.settled_ms),
            _ => {}
        }
    }

    fn check_owner(&mut self, incarnation: u64) -> Result<(), Refusal> {
        if incarnation < self.incarnation {
            self.counts.superseded_calls += 1;
            return Err(Refusal::Superseded);
        }
        if incarnation > self.incarnation {
            return Err(Refusal::Other(format!("incarnation {incarnation} has not claimed this worker")));
        }
        Ok(())
    }

    fn position(&self, attempt: &AttemptRef) -> Result<usize, Refusal> {
        self.tasks.iter().position(|task| task.attempt == *attempt).ok_or(Refusal::UnknownTask)
    }

    fn retire(&mut self, attempt: &AttemptRef) {
        if self.retired.insert(attempt.clone()) {
            self.retired_order.push_back(attempt.clone());
        }
        if self.retired_order.len() > MAX_RETIRED
            && let Some(oldest) = self.retired_order.pop_front()
        {
            self.retired.remove(&oldest);
        }
    }
}
