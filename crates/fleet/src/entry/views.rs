/*!
How old the copy of each stream is, and the answers to clients that depend on it.

The end of a job is final, so it may be reported from a copy of any age. An absence and a count change with every record, so
they need a copy that was complete a short time ago.
*/

use std::collections::BTreeMap;

use fescuelead_core::units::TimeMs;

use super::{Entry, RequestError};
use crate::store::Stream;

/// The maximum age of the copy from which waiting jobs are counted, in milliseconds. The platform states that such a count may
/// be this old.
pub const MAX_COUNT_AGE_MS: u64 = 2_000;

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
