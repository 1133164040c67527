//! Client requests to an entry, and how they are answered during an outage of the store.

use std::{rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{JobId, JobSpec, JobStatus},
    units::TimeMs,
};
use tokio::time::sleep;

use super::{Entry, INITIAL_BACKOFF_MS, STORE_CALL_TIMEOUT_MS, back_off};
use crate::store::{JobRecord, Record, StoreError, Stream};

/// Requests are refused without a call once the store has accepted no record for this long, in milliseconds. Rate
/// limiting by the store lasts less.
const OUTAGE_THRESHOLD_MS: u64 = 300;
/// How long an unanswered submission may still take effect, in milliseconds: five times the limit that the platform
/// states.
pub(super) const UNKNOWN_OUTCOME_MS: u64 = 60_000;
/// How long an append may stay unanswered while the store answers other calls, in milliseconds: appends of all entries to a
/// slow store wait for each other, and each repetition makes the others wait longer.
const SLOW_APPEND_TIMEOUT_MS: u64 = 1_300;
/// How often an unanswered append is looked for among the records that were read since, in milliseconds.
const READ_BACK_INTERVAL_MS: u64 = 50;
/// The pause between two reads that check whether an outage of the store has ended, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 300;

/// Why a client's request was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request did not take effect and never will. Holds the cause, which is sent to the client.
    #[error("the request was not carried out ({0}); send it again")]
    NotDone(String),
    /// The job was not accepted and never will be: accepted jobs use all memory for them.
    #[error("the job was not accepted because there is no room for it; send it again in {retry_after_ms} ms")]
    NoRoom {
        /// When there may be room, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// The request may have taken effect, or may still do so. Holds the cause, which is sent to the client.
    #[error("it is not known whether the request was carried out ({0}); send it again with the same id")]
    Unknown(String),
}

/// A period in which the store accepts no appends.
#[derive(Debug, Clone, Copy)]
pub(super) struct Outage {
    since: TimeMs,
}

impl Entry {
    /// Accepts a job by appending it to the store. Has no effect if a job with this id was already submitted.
    ///
    /// # Errors
    ///
    /// Fails if the store has not confirmed the job by `deadline`, or at once during an outage of the store or if there is no
    /// room for the job.
    pub async fn submit(&self, job: JobId, spec: JobSpec, deadline: TimeMs) -> Result<(), RequestError> {
        if self.state.borrow().replica.is_submitted(job) {
            return Ok(());
        }
        let record = JobRecord::submitted(job, &spec).map_err(|e| RequestError::NotDone(e.to_string()))?;
        if let Err(refusal) = self.admit(job, &spec).await {
            return self.track_unknown_outcome(job, Err(refusal));
        }
        let is_stored = || self.state.borrow().replica.is_submitted(job);
        let stored = self.append_request(record, deadline, is_stored).await;
        let outcome = self.track_unknown_outcome(job, stored);
        let mut state = self.state.borrow_mut();
        // A submission without an answer may take effect later.
        if !matches!(outcome, Err(RequestError::Unknown(_))) {
            state.release(job);
        }
        outcome?;
        state.apply_submission(job, spec);
        Ok(())
    }

    /// Turns [`RequestError::NotDone`] into [`RequestError::Unknown`] if an earlier submission of the job to this entry
    /// had an unknown outcome: that submission may still take effect, so the client must not be told that it did not.
    fn track_unknown_outcome(&self, job: JobId, outcome: Result<(), RequestError>) -> Result<(), RequestError> {
        let now = self.config.clock.now();
        let mut unknown = self.unknown_submissions.borrow_mut();
        match outcome {
            Ok(()) => {
                unknown.remove(&job);
                Ok(())
            }
            Err(RequestError::Unknown(message)) => {
                unknown.retain(|_, at| now.since_ms(*at) < UNKNOWN_OUTCOME_MS);
                unknown.insert(job, now);
                Err(RequestError::Unknown(message))
            }
            Err(refusal @ (RequestError::NotDone(_) | RequestError::NoRoom { .. })) => match unknown.get(&job) {
                Some(at) if now.since_ms(*at) < UNKNOWN_OUTCOME_MS => {
                    Err(RequestError::Unknown(format!("an earlier try had no answer; {refusal}")))
                }
                _ => Err(refusal),
            },
        }
    }

    /// The status of a job; `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Fails if the job is unknown here and the store cannot be read.
    pub async fn status(&self, job: JobId) -> Result<Option<JobStatus>, RequestError> {
        // Another entry may have accepted the job since the last read. If the job has ended since as well, its submission was
        // removed, and its end can be read from the leader's records.
        for stream in [Stream::Jobs, Stream::Progress] {
            let known = self.state.borrow().replica.status(job);
            if known.is_some() {
                return Ok(known);
            }
            if stream == Stream::Jobs || !self.leading.get() {
                self.catch_up(stream).await.map_err(|e| RequestError::NotDone(e.to_string()))?;
            }
        }
        Ok(self.state.borrow().replica.status(job))
    }

    /// Reads the store during an outage until a read succeeds, which ends the outage. Client requests are not used as
    /// probes, since a request whose answer is lost has an unknown outcome.
    pub(super) async fn probe_store(self: Rc<Self>) {
        loop {
            self.outage_started.notified().await;
            while self.outage.get().is_some() {
                sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
                if let Err(error) = self.catch_up(Stream::Jobs).await {
                    log::debug!("store probe failed: error={error}");
                } else {
                    self.outage.set(None);
                }
            }
        }
    }

    /// Appends a client's record, and repeats failed appends until `deadline` or until the failures amount to an outage
    /// of the store. In an outage it goes on only if an attempt had no answer: the client could not send the request again
    /// after an unknown outcome. Succeeds as well once `is_stored`, which tells whether the record was read back from the
    /// store. Fails at once if the outage began before.
    pub(super) async fn append_request(
        &self,
        record: Record,
        deadline: TimeMs,
        is_stored: impl Fn() -> bool,
    ) -> Result<(), RequestError> {
        let clock = self.config.clock;
        let outage_ms = self.outage.get().map_or(0, |outage| clock.now().since_ms(outage.since));
        if outage_ms >= OUTAGE_THRESHOLD_MS {
            return Err(RequestError::NotDone(format!("the store has been away for {outage_ms} ms")));
        }
        let records = [record];
        let mut unknown = None;
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        loop {
            let read_back = async {
                while !is_stored() {
                    sleep(Duration::from_millis(READ_BACK_INTERVAL_MS)).await;
                }
                Ok(())
            };
            let answer = tokio::select! {
                answer = self.append_once(&records, deadline) => answer,
                answer = read_back => answer,
            };
            let error = match answer {
                Ok(()) => {
                    self.outage.set(None);
                    return Ok(());
                }
                Err(error) => error,
            };
            let in_outage = self.record_store_failure();
            if let StoreError::Unknown(message) = &error {
                unknown = Some(message.clone());
            }
            if (in_outage && unknown.is_none()) || clock.now().plus_ms(backoff_ms) >= deadline {
                return Err(match unknown {
                    Some(message) => RequestError::Unknown(message),
                    None => RequestError::NotDone(error.to_string()),
                });
            }
            back_off(&mut backoff_ms).await;
        }
    }

    /// Appends a client's record. Waits for the answer of a store that answers other calls for up to
    /// [`SLOW_APPEND_TIMEOUT_MS`], and of one that does not for up to [`STORE_CALL_TIMEOUT_MS`].
    async fn append_once(&self, records: &[Record], deadline: TimeMs) -> Result<(), StoreError> {
        let clock = self.config.clock;
        let sent_at = clock.now();
        let limit_ms = deadline.since_ms(sent_at).min(SLOW_APPEND_TIMEOUT_MS);
        let append = self.call_store_within("append", limit_ms, self.store.append(Stream::Jobs, records, None));
        let store_is_silent = async {
            loop {
                sleep(Duration::from_millis(STORE_CALL_TIMEOUT_MS)).await;
                if self.store_answered_at.get() <= sent_at {
                    return;
                }
            }
        };
        tokio::select! {
            answer = append => answer.map(drop),
            () = store_is_silent => Err(StoreError::Unknown(format!("none within {STORE_CALL_TIMEOUT_MS} ms"))),
        }
    }

    /// Notes that the store did not accept a record. Returns whether failures have lasted for [`OUTAGE_THRESHOLD_MS`].
    fn record_store_failure(&self) -> bool {
        let now = self.config.clock.now();
        let since = self.outage.get().map_or(now, |outage| outage.since);
        self.outage.set(Some(Outage { since }));
        self.outage_started.notify_one();
        now.since_ms(since) >= OUTAGE_THRESHOLD_MS
    }
}
