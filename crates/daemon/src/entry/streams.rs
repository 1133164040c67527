/*!
Reading and writing the platform's log.

A follower reads one stream without end: it waits at the tail for a short time, so that each read that returns is also a
proof of what the tail was after the read began. A writer drives one [`GroupCommit`].
*/

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use fescuelead_core::{
    record::Batch,
    units::TimeMs,
    writer::{GroupCommit, WriterEffect},
};
use fescuelead_platform::log::{LogPage, SharedLog, TookEffect};
use tokio::{sync::Notify, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{clock::Clock, limited};

/// How long one read waits at the tail. Also the age of a proof at most while nothing is written.
const TAIL_WAIT_MS: u64 = 100;
const READ_TIMEOUT: Duration = Duration::from_millis(2_000);
const APPEND_TIMEOUT: Duration = Duration::from_millis(2_000);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const MAX_READ_BYTES: usize = 1 << 20;

/// Takes in what a follower reads.
pub trait Fold {
    /// The offset to read from.
    fn read_from(&self) -> u64;
    /// Takes in a page that was read from `read_start` on.
    fn page(&self, page: &LogPage, read_start: TimeMs);
    /// Whether the last read succeeded.
    fn reachable(&self, reachable: bool);
}

/// Reads a stream until `stop`.
pub async fn follow(log: SharedLog, stream: String, clock: Clock, fold: Rc<dyn Fold>, stop: CancellationToken) {
    loop {
        let read_start = clock.now();
        let read = timeout(READ_TIMEOUT, log.read(&stream, fold.read_from(), MAX_READ_BYTES, TAIL_WAIT_MS));
        let page = tokio::select! {
            () = stop.cancelled() => return,
            page = read => page,
        };
        match page {
            Ok(Ok(page)) => {
                fold.reachable(true);
                fold.page(&page, read_start);
            }
            Ok(Err(error)) => pause(&stream, &error, &*fold).await,
            Err(_) => pause(&stream, &"no answer in time", &*fold).await,
        }
    }
}

async fn pause(stream: &str, cause: &dyn std::fmt::Display, fold: &dyn Fold) {
    log::debug!("log: read of {stream} failed: {cause}");
    fold.reachable(false);
    tokio::time::sleep(RETRY_PAUSE).await;
}

/// Owns one [`GroupCommit`] on behalf of a writer task.
pub trait Outbox {
    /// Runs `change` on the writer's state.
    fn with(&self, change: &mut dyn FnMut(&mut GroupCommit));
    /// Told when there is something new to do.
    fn wake(&self) -> &Notify;
}

/// Writes what gathers in an outbox until `stop`.
pub async fn write(log: SharedLog, stream: String, clock: Clock, outbox: Rc<dyn Outbox>, stop: CancellationToken) {
    loop {
        let mut effect = None;
        let mut wake_at = None;
        outbox.with(&mut |writer| {
            effect = writer.poll(clock.now());
            wake_at = writer.wake_at();
        });
        match effect {
            Some(WriterEffect::Append { batch, .. }) => append(&log, &stream, clock, &*outbox, &batch).await,
            // The follower reads all the time; its next catch-up settles what was lost.
            Some(WriterEffect::ReadTail) => {}
            None => {
                let due = async {
                    match wake_at {
                        Some(at) => tokio::time::sleep_until(clock.instant(at)).await,
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = outbox.wake().notified() => {}
                    () = due => {}
                }
            }
        }
    }
}

async fn append(log: &SharedLog, stream: &str, clock: Clock, outbox: &dyn Outbox, batch: &Batch) {
    let bytes = match batch.encode() {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => {
            log::error!("log: a batch for {stream} is dropped: {error}");
            return outbox.with(&mut GroupCommit::appended);
        }
    };
    match timeout(APPEND_TIMEOUT, log.append(stream, bytes)).await {
        Ok(Ok(_offset)) => outbox.with(&mut GroupCommit::appended),
        Ok(Err(error)) if error.took_effect() == TookEffect::No => {
            log::debug!("log: {error}");
            let not_before = clock.now().plus_ms(RETRY_PAUSE.as_millis() as u64);
            outbox.with(&mut |writer| writer.refused(not_before));
        }
        Ok(Err(error)) => {
            limited!(Warn, "log: an append to {stream} failed: {error}");
            outbox.with(&mut |writer| writer.answer_lost(clock.now()));
        }
        Err(_) => {
            limited!(Warn, "log: an append to {stream} has no answer in time.");
            outbox.with(&mut |writer| writer.answer_lost(clock.now()));
        }
    }
}
