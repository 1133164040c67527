//! What clients ask of an entry, and what they are told while the store is away.

use std::{rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{JobId, JobSpec, JobStatus, replica::ReplicatedJob},
    units::TimeMs,
};
use tokio::time::sleep;

use super::{Entry, FIRST_PAUSE_MS, STORE_CALL_MS, pause};
use crate::{
    leader::LeaderEvent,
    store::{JobRecord, Record, StoreError, Stream},
};

/// A store that has taken no record for this long is away, in milliseconds: longer than a refusal for its rate lasts.
const AWAY_MS: u64 = 300;
/// For how long a submission without an answer may still take effect, in milliseconds: five times what the platform states.
const UNKNOWN_MS: u64 = 60_000;
/// The pause between two reads that find out whether the store is back, in milliseconds.
const TRIAL_SPACING_MS: u64 = 300;

/// Why a request of a client was not carried out.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// It did not take effect and will not.
    #[error("the request was not carried out ({0}); send it again")]
    NotDone(String),
    /// It may have taken effect.
    #[error("it is not known whether the request was carried out ({0}); send it again with the same id")]
    Unknown(String),
}

/// The store does not answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Away {
    since: TimeMs,
}

impl Entry {
    /// Accepts a job. A job whose id is known already is left as it is.
    ///
    /// # Errors
    ///
    /// See [`RequestError`].
    pub async fn submit(&self, job: JobId, spec: JobSpec, deadline: TimeMs) -> Result<(), RequestError> {
        if self.state.borrow().replica.job(job).is_some_and(|copy| copy.spec.is_some()) {
            return Ok(());
        }
        let record = JobRecord::submitted(job, &spec).map_err(|e| RequestError::NotDone(e.to_string()))?;
        let stored = self.append_request(record, deadline).await;
        self.remember_unknown(job, stored)?;
        let mut state = self.state.borrow_mut();
        if state.replica.apply_submission(job, spec) {
            state.tell_submitted(job);
        }
        Ok(())
    }

    /// A job whose earlier submission here had no known outcome may be accepted yet, so that a later refusal must not say
    /// that it was not.
    fn remember_unknown(&self, job: JobId, outcome: Result<(), RequestError>) -> Result<(), RequestError> {
        let now = self.config.clock.now();
        let mut unknown = self.unknown.borrow_mut();
        match outcome {
            Ok(()) => {
                unknown.remove(&job);
                Ok(())
            }
            Err(RequestError::Unknown(message)) => {
                unknown.retain(|_, at| now.since_ms(*at) < UNKNOWN_MS);
                unknown.insert(job, now);
                Err(RequestError::Unknown(message))
            }
            Err(RequestError::NotDone(message)) => match unknown.get(&job) {
                Some(at) if now.since_ms(*at) < UNKNOWN_MS => {
                    Err(RequestError::Unknown(format!("an earlier try had no answer; {message}")))
                }
                _ => Err(RequestError::NotDone(message)),
            },
        }
    }

    /// Cancels a job. Returns whether it exists.
    ///
    /// # Errors
    ///
    /// See [`RequestError`].
    pub async fn cancel(&self, job: JobId, deadline: TimeMs) -> Result<bool, RequestError> {
        let Some(status) = self.status(job).await? else { return Ok(false) };
        if !matches!(status, JobStatus::Queued | JobStatus::Active) {
            return Ok(true);
        }
        self.append_request(JobRecord::cancelled(job), deadline).await?;
        let mut state = self.state.borrow_mut();
        if state.replica.apply_cancellation(job) {
            state.tell(LeaderEvent::Cancelled(job));
        }
        Ok(true)
    }

    /// The status of a job; `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Fails if the job is not known here and the store cannot be asked.
    pub async fn status(&self, job: JobId) -> Result<Option<JobStatus>, RequestError> {
        let known = self.state.borrow().replica.job(job).and_then(ReplicatedJob::status);
        if known.is_some() {
            return Ok(known);
        }
        // Another entry may have accepted it a moment ago.
        self.catch_up(Stream::Jobs).await.map_err(|e| RequestError::NotDone(e.to_string()))?;
        Ok(self.state.borrow().replica.job(job).and_then(ReplicatedJob::status))
    }

    /// The number of accepted jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        self.state.borrow().replica.count_queued(queue)
    }

    /// Finds out when the store is back, by reads, which unlike a client's request do no harm if their answers are lost.
    pub(super) async fn try_store(self: Rc<Self>) {
        loop {
            self.store_away.notified().await;
            while self.away.get().is_some() {
                sleep(Duration::from_millis(TRIAL_SPACING_MS)).await;
                if let Err(error) = self.catch_up(Stream::Jobs).await {
                    log::debug!("store still away: error={error}");
                } else {
                    self.away.set(None);
                }
            }
        }
    }

    /// Appends a client's record, and repeats this while the outcome is unknown and there is time. Refuses at once while the
    /// store is away.
    async fn append_request(&self, record: Record, deadline: TimeMs) -> Result<(), RequestError> {
        let clock = self.config.clock;
        let away_ms = self.away.get().map_or(0, |away| clock.now().since_ms(away.since));
        if away_ms >= AWAY_MS {
            return Err(RequestError::NotDone(format!("the store has been away for {away_ms} ms")));
        }
        let records = [record];
        let mut unknown = None;
        let mut pause_ms = FIRST_PAUSE_MS;
        loop {
            let left_ms = deadline.since_ms(clock.now()).min(STORE_CALL_MS);
            let error = match self.limited("append", left_ms, self.store.append(Stream::Jobs, &records, None)).await {
                Ok(_) => {
                    self.away.set(None);
                    return Ok(());
                }
                Err(error) => error,
            };
            let is_away = self.note_away();
            if let StoreError::Unknown(message) = &error {
                unknown = Some(message.clone());
            }
            if is_away || clock.now().plus_ms(pause_ms) >= deadline {
                return Err(match unknown {
                    Some(message) => RequestError::Unknown(message),
                    None => RequestError::NotDone(error.to_string()),
                });
            }
            pause(&mut pause_ms).await;
        }
    }

    /// Notes that the store did not take a record. Returns whether it is away, and not only for a moment.
    fn note_away(&self) -> bool {
        let now = self.config.clock.now();
        let since = self.away.get().map_or(now, |away| away.since);
        self.away.set(Some(Away { since }));
        self.store_away.notify_one();
        now.since_ms(since) >= AWAY_MS
    }
}
