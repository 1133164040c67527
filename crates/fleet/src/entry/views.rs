/*!
How old the copy of each stream is, and the answers to clients that depend on it.

The end of a job is final, so it may be reported from a copy of any age. An absence and a count change with every record, so
they need a copy that was complete a short time ago. So does a start that the leader sends: any entry may have acknowledged the
cancellation of its job, and operators may have taken its availability zone out of service.
*/

use std::{collections::BTreeMap, time::Duration};

use fescuelead_core::{jobs::lease::LeasePlan, units::TimeMs};
use tokio::time::sleep;

use super::{Entry, INITIAL_BACKOFF_MS, RequestError, back_off, replication::PageRead};
use crate::store::Stream;

/// The maximum age of the copy from which waiting jobs are counted, in milliseconds. The platform states that such a count may
/// be this old.
pub const MAX_COUNT_AGE_MS: u64 = 2_000;

/// The streams whose records can forbid a start.
const START_STREAMS: [Stream; 2] = [Stream::Jobs, Stream::Operator];
/// The pause before a stream is read on whose next record cannot be read, in milliseconds.
const STUCK_PAUSE_MS: u64 = 300;

/// How long a start may be sent to its endpoint after the copy of one of [`START_STREAMS`] was complete, in milliseconds.
fn start_validity_ms(plan: &LeasePlan, stream: Stream) -> u64 {
    plan.copy_validity_ms(match stream {
        Stream::Operator => plan.zone_out_period_ms,
        Stream::Jobs | Stream::Progress | Stream::Hosts => plan.cancel_period_ms,
    })
}

/// The age of the copies of all streams.
#[derive(Debug, Default)]
pub(super) struct Views {
    /// When the copy of a stream last held all of its records; absent until the stream was read.
    complete_at: BTreeMap<Stream, TimeMs>,
}

impl Views {
    /// Notes that the copy of a stream held all records that the store had at `at`.
    pub(super) fn completed(&mut self, stream: Stream, at: TimeMs) {
        let complete_at = self.complete_at.entry(stream).or_default();
        *complete_at = at.max(*complete_at);
    }

    /// When the copy of a stream last held all of its records; zero if it was never read.
    pub(super) fn complete_at(&self, stream: Stream) -> TimeMs {
        self.complete_at.get(&stream).copied().unwrap_or_default()
    }

    /// Whether starts may be sent at `now`, as far as the copy of one of [`START_STREAMS`] goes. Half of the validity is left to the
    /// way to the agent and to its calls.
    fn allows_starts(&self, plan: &LeasePlan, stream: Stream, now: TimeMs) -> bool {
        now.since_ms(self.complete_at(stream)) <= start_validity_ms(plan, stream) / 2
    }

    /// Whether a count may be taken from the copy of a stream at `now`.
    fn allows_counts(&self, stream: Stream, now: TimeMs) -> bool {
        self.complete_at.get(&stream).is_some_and(|at| now.since_ms(*at) <= MAX_COUNT_AGE_MS)
    }
}

impl Entry {
    /// The number of accepted jobs of a queue that have not started any task. Reads the store if the copy is older than
    /// [`MAX_COUNT_AGE_MS`]. Linear in the number of jobs.
    ///
    /// # Errors
    ///
    /// Fails if the copy is too old and the store cannot be read, at once if the latest read has failed.
    pub async fn pending(&self, queue: &str) -> Result<usize, RequestError> {
        for stream in [Stream::Jobs, Stream::Progress] {
            self.refresh(stream).await?;
        }
        Ok(self.state.borrow().replica.count_queued(queue))
    }

    /// Whether the copies of the store are recent enough to send starts now.
    pub(crate) fn allows_starts(&self) -> bool {
        let (state, now) = (self.state.borrow(), self.config.clock.now());
        START_STREAMS.iter().all(|stream| state.views.allows_starts(&self.config.plan, *stream, now))
    }

    /// Until when a start may be sent to its endpoint that is based on the present copies of the store.
    pub(crate) fn start_deadline(&self) -> TimeMs {
        let state = self.state.borrow();
        let deadline = |stream| state.views.complete_at(stream).plus_ms(start_validity_ms(&self.config.plan, stream));
        let [jobs, operator] = START_STREAMS.map(deadline);
        jobs.min(operator)
    }

    /// Reads the store until [`Self::allows_starts`].
    pub(crate) async fn refresh_for_starts(&self) {
        let [jobs, operator] = START_STREAMS;
        while !self.allows_starts() {
            tokio::join!(self.refresh_stream_for_starts(jobs), self.refresh_stream_for_starts(operator));
        }
    }

    /// Reads a stream until its copy is recent enough to send starts. Reads no further: there may be new records each time.
    async fn refresh_stream_for_starts(&self, stream: Stream) {
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        let is_recent = || self.state.borrow().views.allows_starts(&self.config.plan, stream, self.config.clock.now());
        while !is_recent() {
            match self.read_once(stream).await {
                // The next record cannot be read, for example because it is larger than an answer.
                Ok(PageRead { at_end: false, is_empty: true, .. }) => {
                    sleep(Duration::from_millis(STUCK_PAUSE_MS)).await;
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!("starts wait for the store: entry={} stream={stream:?} error={error}", self.config.name);
                    back_off(&mut backoff_ms).await;
                }
            }
        }
    }

    /// Reads a stream up to its end unless its copy is recent enough for counts.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be read, at once if the latest read has failed.
    pub(super) async fn refresh(&self, stream: Stream) -> Result<(), RequestError> {
        {
            let state = self.state.borrow();
            if state.views.allows_counts(stream, self.config.clock.now()) {
                return Ok(());
            }
            if state.unreachable.contains(&stream) {
                return Err(RequestError::NotDone(
                    "the store cannot be read, so the jobs that others have accepted are not known".to_owned(),
                ));
            }
        }
        self.catch_up(stream).await.map_err(|e| RequestError::NotDone(e.to_string()))
    }
}
