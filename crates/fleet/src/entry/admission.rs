/*!
Which submissions an entry accepts: all jobs together have a budget of memory, since every entry holds them.

Each entry decides by its own copy of all jobs, without asking another one. Two entries may accept at the same moment what only one
would, so an entry also limits what it accepts within the time in which the others read it. See docs/design/accepted-jobs.md.
*/

use std::collections::{BTreeMap, VecDeque};

use fescuelead_core::{
    jobs::{
        JobId, JobSpec,
        spec::{MAX_TASKS, TASK_BYTES},
    },
    units::TimeMs,
};

use super::{Entry, RequestError, State, requests::UNKNOWN_OUTCOME_MS};
use crate::store::{DEFAULT_MAX_RECORD_BYTES, Stream};

/// The default budget, in bytes: an eighth of the 160 MB of the smallest entry. All entries of a cell hold the same jobs.
pub const DEFAULT_JOB_BUDGET_BYTES: usize = 20_000_000;
/// The smallest budget, in bytes: with less, a job of the largest size might not fit beside a few others.
pub const MIN_JOB_BUDGET_BYTES: usize = 4 * LARGEST_JOB_BYTES;
/// The memory of a job with as many tasks and as large a record as allowed, in bytes.
const LARGEST_JOB_BYTES: usize = MAX_TASKS * TASK_BYTES + DEFAULT_MAX_RECORD_BYTES;
/// Jobs of at most this memory may use the whole budget, larger ones three quarters of it, in bytes.
const SMALL_JOB_BYTES: usize = 16_384;
/// The time within which the other entries read what one has accepted, in milliseconds.
const LAG_MS: u64 = 1_000;
/// The share of the budget that an entry may accept within [`LAG_MS`], as a divisor.
const LAG_SHARE: usize = 8;
/// The time over which freed memory is measured, in milliseconds.
const RATE_PERIOD_MS: u64 = 5_000;
/// The longest time after which a refused client is told to try again, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Memory reserved for a submission whose outcome is not known.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    bytes: usize,
    /// When the submission cannot take effect any more.
    held_until: TimeMs,
}

/// Memory that was reserved at a time.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    counted_until: TimeMs,
    bytes: usize,
}

/// How much memory jobs give back, from which the time until there is room is estimated.
#[derive(Debug, Clone, Copy, Default)]
struct FreedMemory {
    period_ends_at: TimeMs,
    used_bytes: usize,
    freed_bytes: usize,
    /// What was freed in the last whole period.
    last_freed_bytes: usize,
}

impl FreedMemory {
    /// Notes how much is in use.
    fn observe(&mut self, used_bytes: usize, now: TimeMs) {
        if now >= self.period_ends_at {
            self.last_freed_bytes = std::mem::take(&mut self.freed_bytes);
            self.period_ends_at = now.plus_ms(RATE_PERIOD_MS);
        }
        self.freed_bytes += self.used_bytes.saturating_sub(used_bytes);
        self.used_bytes = used_bytes;
    }

    /// When `bytes` more are expected to be free, in milliseconds from now.
    fn wait_ms(&self, bytes: usize) -> u64 {
        let freed_bytes = self.last_freed_bytes.max(self.freed_bytes) as u64;
        if freed_bytes == 0 {
            return MAX_RETRY_AFTER_MS;
        }
        ((bytes as u64).saturating_mul(RATE_PERIOD_MS) / freed_bytes).clamp(LAG_MS, MAX_RETRY_AFTER_MS)
    }
}

/// The memory that accepted jobs may use, and what this entry has accepted lately.
#[derive(Debug)]
pub(super) struct Admission {
    budget_bytes: usize,
    /// Submissions under way, and those without an answer.
    reservations: BTreeMap<JobId, Reservation>,
    /// What was accepted within the last [`LAG_MS`], oldest first.
    recent: VecDeque<Accepted>,
    freed: FreedMemory,
}

impl Default for Admission {
    fn default() -> Self {
        Self::new(DEFAULT_JOB_BUDGET_BYTES)
    }
}

impl Admission {
    pub(super) fn new(budget_bytes: usize) -> Self {
        Self { budget_bytes, reservations: BTreeMap::new(), recent: VecDeque::new(), freed: FreedMemory::default() }
    }

    /// Reserves memory for a job beside `used_bytes`, or returns after how many milliseconds there may be room.
    fn reserve(&mut self, job: JobId, bytes: usize, used_bytes: usize, now: TimeMs) -> Result<(), u64> {
        self.freed.observe(used_bytes, now);
        while self.recent.pop_front_if(|accepted| accepted.counted_until <= now).is_some() {}
        // A repeated submission may be larger than the first one, and the store decides which counts.
        let added_bytes = bytes.saturating_sub(self.reservations.get(&job).map_or(0, |reservation| reservation.bytes));
        if added_bytes == 0 {
            return Ok(());
        }
        let reserved_bytes: usize = self.reservations.values().map(|reservation| reservation.bytes).sum();
        let is_small = bytes <= SMALL_JOB_BYTES;
        let limit_bytes = if is_small { self.budget_bytes } else { self.budget_bytes / 4 * 3 };
        let excess_bytes = (used_bytes + reserved_bytes + added_bytes).saturating_sub(limit_bytes);
        if excess_bytes > 0 {
            return Err(self.freed.wait_ms(excess_bytes));
        }
        let recent_bytes: usize = self.recent.iter().map(|accepted| accepted.bytes).sum();
        let lag_bytes = (self.budget_bytes / LAG_SHARE).max(LARGEST_JOB_BYTES);
        let lag_limit_bytes = if is_small { lag_bytes + lag_bytes / 4 } else { lag_bytes };
        if recent_bytes + added_bytes > lag_limit_bytes {
            return Err(LAG_MS);
        }
        self.recent.push_back(Accepted { counted_until: now.plus_ms(LAG_MS), bytes: added_bytes });
        self.reservations.insert(job, Reservation { bytes, held_until: now.plus_ms(UNKNOWN_OUTCOME_MS) });
        Ok(())
    }
}

impl State {
    /// Reserves memory for a job.
    fn reserve(&mut self, job: JobId, spec: &JobSpec, now: TimeMs) -> Result<(), u64> {
        let Self { replica, admission, .. } = self;
        admission.reservations.retain(|job, reservation| reservation.held_until > now && !replica.is_submitted(*job));
        admission.reserve(job, spec.memory_bytes(), replica.memory_bytes(), now)
    }

    /// Releases the memory reserved for a submission that has taken effect, and now counts as a job, or never will.
    pub(super) fn release(&mut self, job: JobId) {
        self.admission.reservations.remove(&job);
    }
}

impl Entry {
    /// Reserves memory for a job, if all jobs then stay within the budget. Reads the store first if this entry does not know what
    /// the others have accepted lately and there may be no room.
    ///
    /// # Errors
    ///
    /// Fails with [`RequestError::NoRoom`] if there is no room, and with [`RequestError::NotDone`] if the store cannot be read.
    pub(super) async fn admit(&self, job: JobId, spec: &JobSpec) -> Result<(), RequestError> {
        let is_crowded = {
            let state = self.state.borrow();
            state.replica.memory_bytes() > state.admission.budget_bytes / 2
        };
        if is_crowded {
            self.refresh(Stream::Jobs).await?;
        }
        let mut state = self.state.borrow_mut();
        let reserved = state.reserve(job, spec, self.config.clock.now());
        self.config.metrics.job_memory_bytes.set(state.replica.memory_bytes() as i64);
        reserved.map_err(|retry_after_ms| {
            self.config.metrics.jobs_refused.inc();
            RequestError::NoRoom { retry_after_ms }
        })
    }
}
