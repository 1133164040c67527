//! The copy of the store's streams that an entry holds: reading them, and what each record changes.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{JobId, JobSpec},
    units::TimeMs,
};
use tokio::time::sleep;

use super::{Entry, INITIAL_BACKOFF_MS, State, back_off};
use crate::{
    leader::LeaderEvent,
    routing::OperatorChange,
    store::{self, JobRecord, Page, StoreError, Stream},
};

/// How long a read waits for new records, in milliseconds. An entry whose reads have failed for several times this long
/// has a stale replica.
const READ_WAIT_MS: u64 = 1_500;
/// The pause between two reads of the leader's records by a follower, in milliseconds. Followers report job states that
/// are out of date by up to this much.
const PROGRESS_POLL_MS: u64 = 100;
/// The pause between two reads of submissions and cancellations by a follower, in milliseconds.
const JOBS_POLL_MS: u64 = 300;

/// What a read of a stream has returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PageRead {
    /// Whether the records were applied; another task may have read on in the meantime.
    pub is_applied: bool,
    /// Whether the stream had no further records.
    pub at_end: bool,
    /// Whether there were no records.
    pub is_empty: bool,
}

impl Entry {
    /// Replicates a stream until the task is dropped.
    pub(super) async fn follow(self: Rc<Self>, stream: Stream) {
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        loop {
            // The leader writes these records itself and does not read them back.
            while stream == Stream::Progress && self.leading.get() {
                self.leading_changed.notified().await;
            }
            let from = self.state.borrow().next.get(&stream).copied();
            let sent_at = self.config.clock.now();
            let answer = match from {
                None => self.store.newest(stream).await,
                Some(from) => self.store.read(stream, from, READ_WAIT_MS).await,
            };
            match answer {
                Ok(page) => {
                    self.outage.set(None);
                    self.store_answered_at.set(self.config.clock.now());
                    if self.state.borrow_mut().unreachable.remove(&stream) {
                        log::info!("store reachable again: stream={stream:?} next={}", page.next);
                    }
                    backoff_ms = INITIAL_BACKOFF_MS;
                    if from.is_none() {
                        log::info!("stream read: stream={stream:?} records={} next={}", page.records.len(), page.next);
                    }
                    // The store has waited for records in vain, so the copy was complete until it answered.
                    let waited_ms = if from.is_some() && page.records.is_empty() { READ_WAIT_MS } else { 0 };
                    let read_at = sent_at.plus_ms(waited_ms).min(self.config.clock.now());
                    let (at_end, is_empty) = (page.at_end, page.records.is_empty());
                    self.apply(stream, from, page, read_at);
                    let spacing_ms = match stream {
                        // The next record cannot be read, for example because it is larger than an answer.
                        _ if !at_end && is_empty => JOBS_POLL_MS,
                        // Further records are in the store already.
                        _ if !at_end => 0,
                        Stream::Progress => PROGRESS_POLL_MS,
                        Stream::Jobs if !self.leading.get() => JOBS_POLL_MS,
                        _ => 0,
                    };
                    sleep(Duration::from_millis(spacing_ms)).await;
                }
                Err(StoreError::Expired) => {
                    log::warn!("records expired: stream={stream:?} from={from:?}");
                    self.state.borrow_mut().next.remove(&stream);
                }
                Err(error) => {
                    if stream == Stream::Progress {
                        // The leader may have lost the store as well, so its silence is no reason to take over.
                        self.state.borrow_mut().leader_silent_since = self.config.clock.now();
                    }
                    if self.state.borrow_mut().unreachable.insert(stream) {
                        log::warn!("store unreachable: stream={stream:?} error={error}");
                    }
                    back_off(&mut backoff_ms).await;
                }
            }
        }
    }

    /// Reads a stream up to its end and applies the records.
    pub(crate) async fn catch_up(&self, stream: Stream) -> Result<(), StoreError> {
        loop {
            let PageRead { is_applied, is_empty, .. } = self.read_once(stream).await?;
            if is_applied && is_empty {
                return Ok(());
            }
        }
    }

    /// Reads the next records of a stream without waiting for any, and applies them.
    pub(super) async fn read_once(&self, stream: Stream) -> Result<PageRead, StoreError> {
        loop {
            let from = self.state.borrow().next.get(&stream).copied();
            let sent_at = self.config.clock.now();
            let page = match from {
                None => self.store.newest(stream).await?,
                Some(from) => match self.call_store("read", self.store.read(stream, from, 0)).await {
                    Ok(page) => page,
                    Err(StoreError::Expired) => {
                        self.state.borrow_mut().next.remove(&stream);
                        continue;
                    }
                    Err(error) => return Err(error),
                },
            };
            let (at_end, is_empty) = (page.at_end, page.records.is_empty());
            return Ok(PageRead { is_applied: self.apply(stream, from, page, sent_at), at_end, is_empty });
        }
    }

    /// Applies a page that was read from the offset `from`, or the newest records if that is `None`. Returns whether it
    /// did: another task may have read on in the meantime, after which the records of this page are out of date. `read_at` is
    /// a time at which the store had no records after those of the page, if the page reaches the end of the stream.
    fn apply(&self, stream: Stream, from: Option<u64>, page: Page, read_at: TimeMs) -> bool {
        let mut state = self.state.borrow_mut();
        if state.next.get(&stream).copied() != from {
            log::info!("page dropped because newer records were read meanwhile: stream={stream:?} from={from:?}");
            return false;
        }
        if stream == Stream::Progress && !page.records.is_empty() {
            state.leader_silent_since = self.config.clock.now();
        }
        if stream == Stream::Jobs && from.is_none() {
            state.early_cancellations.read_anew();
        }
        let mut listed_zones_out = BTreeSet::new();
        let mut listed_jobs = BTreeSet::new();
        // Each record is freed once it is applied, so that a large page is not held twice.
        for record in page.records {
            let record = &record;
            match stream {
                Stream::Operator => match (self.config.decode_operator_record)(record) {
                    Ok(change) => {
                        if let OperatorChange::ZoneOut(zone) = &change {
                            listed_zones_out.insert(zone.clone());
                        }
                        state.apply_operator_change(change);
                    }
                    Err(message) => self.skip_record(stream, &record.key, &message),
                },
                Stream::Hosts => match store::host_address(record) {
                    Ok(Some(address)) => state.apply_host(&record.key, address),
                    Ok(None) => {}
                    Err(error) => self.skip_record(stream, &record.key, &error),
                },
                Stream::Jobs | Stream::Progress => {
                    if from.is_none() {
                        listed_jobs.extend(JobRecord::described_job(record));
                    }
                    match JobRecord::decode(record) {
                        Ok(decoded) => state.apply_job_record(decoded, self.config.clock.now()),
                        Err(error) => self.skip_record(stream, &record.key, &error),
                    }
                }
            }
        }
        if from.is_none() {
            match stream {
                Stream::Operator => state.restore_unlisted_zones(&listed_zones_out),
                Stream::Jobs => state.replica.retain_submissions(&listed_jobs),
                Stream::Progress => state.replica.retain_progress(&listed_jobs),
                Stream::Hosts => {}
            }
        }
        state.next.insert(stream, page.next);
        if page.at_end {
            state.views.completed(stream, read_at);
        }
        if let Some(routing) = &state.routing {
            self.config.metrics.config_version.set(routing.version as i64);
        }
        if stream == Stream::Progress && !self.leading.get() && state.leader_name == self.config.name {
            // The latest leader was this entry, either in an earlier process or before it stopped leading.
            state.resigned = true;
        }
        true
    }

    /// Logs and counts a record that cannot be used, for example because another writer has left it in the store. What
    /// an earlier record of its key said stays in force.
    fn skip_record(&self, stream: Stream, key: &str, error: &dyn std::fmt::Display) {
        self.config.metrics.records_skipped.inc();
        log::warn!("record skipped: stream={stream:?} key={key:?} error={error}");
    }
}

impl State {
    pub(super) fn notify_leader(&self, event: LeaderEvent) {
        if let Some(leader_events) = &self.leader_events
            && leader_events.send(event).is_err()
        {
            log::debug!("change not passed on because the leader task has stopped");
        }
    }

    /// Applies a submission that was stored.
    pub(super) fn apply_submission(&mut self, job: JobId, spec: JobSpec) {
        self.early_cancellations.submitted(job);
        if self.replica.apply_submission(job, spec) {
            self.notify_leader(LeaderEvent::Submitted(job));
        }
    }

    fn apply_operator_change(&mut self, change: OperatorChange) {
        match change {
            OperatorChange::Configured(routing) => {
                let version = self.routing.as_ref().map(|routing| routing.version);
                if version.is_some_and(|version| version >= routing.version) {
                    return;
                }
                log::info!("configuration in force: version={} before={version:?}", routing.version);
                self.routing = Some(routing);
                self.notify_leader(LeaderEvent::Configured);
            }
            OperatorChange::ZoneOut(zone) => {
                log::info!("availability zone out of service: zone={zone}");
                self.zones_out.insert(zone);
                self.notify_leader(LeaderEvent::ZonesChanged);
            }
            OperatorChange::ZoneIn(zone) => {
                if self.zones_out.remove(&zone) {
                    log::info!("availability zone back in service: zone={zone}");
                    self.notify_leader(LeaderEvent::ZonesChanged);
                }
            }
            OperatorChange::Other => {}
        }
    }

    /// Puts the availability zones that are not `listed` back into service. The newest records don't contain the ones
    /// that were removed, for example while this entry could not read.
    fn restore_unlisted_zones(&mut self, listed: &BTreeSet<String>) {
        let unlisted: Vec<_> = self.zones_out.difference(listed).cloned().collect();
        for zone in unlisted {
            self.apply_operator_change(OperatorChange::ZoneIn(zone));
        }
    }

    fn apply_host(&mut self, host: &str, address: SocketAddr) {
        self.hosts.insert(host.to_owned(), address);
        self.notify_leader(LeaderEvent::HostsChanged);
    }

    fn apply_job_record(&mut self, record: JobRecord, now: TimeMs) {
        match record {
            JobRecord::Submitted(job, spec) => self.apply_submission(job, *spec),
            JobRecord::Cancelled(job) => self.apply_cancellation(job, now),
            JobRecord::SubmissionRemoved(job) => self.replica.apply_submission_removal(job),
            JobRecord::CancellationRemoved(job) => {
                self.early_cancellations.removed(job);
                self.replica.apply_cancellation_removal(job);
            }
            JobRecord::Progressed(job, progress) => self.apply_progress(job, progress, now),
            JobRecord::ProgressRemoved(job) => self.forget_ended(job),
            JobRecord::Leader(leader) => {
                if leader.epoch > self.epoch {
                    log::info!("new leader: leader={} epoch={}", leader.name, leader.epoch);
                }
                if leader.epoch >= self.epoch {
                    self.epoch = leader.epoch;
                    self.leader_name = leader.name;
                    self.resigned = leader.resigned;
                }
            }
            JobRecord::Removed => {}
        }
    }
}
