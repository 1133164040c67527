//! Snapshots that carry state past the retention of the log, and the dropping of ended tasks.
//!
//! Of the members of the fencing set, the one that ranks first writes. Should two entries disagree for a moment on who that
//! is, two snapshots do no harm.

use std::rc::Rc;

use fescuelead_core::{
    record::Record,
    snapshot::{Fold, Follower, chunks, is_due, snapshot_writer},
    units::TimeMs,
};

use crate::{
    clock::unix_ms,
    entry::control::{Control, State, cell_stream},
};

/// The time between two looks at whether a snapshot is due.
const LOOK_MS: u64 = 1_000;
/// How long a snapshot that was written is waited for in the log before another one is.
const PENDING_MS: u64 = 30_000;
/// The time between two records that drop ended tasks.
const EXPIRE_MS: u64 = 60_000;

/// When the next look is due.
pub(super) struct Maintenance {
    look_at: TimeMs,
    expire_at: TimeMs,
    cell_pending_until: TimeMs,
    config_pending_until: TimeMs,
}

impl Maintenance {
    pub(super) fn new(now: TimeMs) -> Self {
        Self { look_at: now, expire_at: now.plus_ms(EXPIRE_MS), cell_pending_until: now, config_pending_until: now }
    }
}

impl Control {
    /// Writes a snapshot of each stream when one is due, and drops what has ended long ago.
    pub(super) fn keep_up(self: &Rc<Self>) {
        let now = self.shared.clock.now();
        if now < self.state.borrow().maintenance.look_at {
            return;
        }
        let every = self.settings.snapshot_every;
        let (cell, config) = {
            let state = &mut *self.state.borrow_mut();
            state.maintenance.look_at = now.plus_ms(LOOK_MS);
            (state.cell_records(self.settings.common.cell, every, now), state.config_records(every, now))
        };
        self.append_all(cell);
        if !config.is_empty() {
            config.into_iter().for_each(|record| {
                self.state.borrow_mut().config_writer.push(record);
            });
            self.config_outbox.notify_one();
        }
    }
}

impl State {
    fn writes_snapshots_of(&self, stream: &str) -> bool {
        snapshot_writer(stream, self.cell.state().fencers().members()) == Some(self.entry.me())
    }

    fn cell_records(&mut self, cell: u32, every: u64, now: TimeMs) -> Vec<Record> {
        if !self.writes_snapshots_of(&cell_stream(cell)) {
            return Vec::new();
        }
        let mut records = Vec::new();
        if now >= self.maintenance.expire_at {
            self.maintenance.expire_at = now.plus_ms(EXPIRE_MS);
            let now_unix_ms = unix_ms();
            let expired = self.cell.state().has_expired(now_unix_ms);
            records.extend(expired.then_some(Record::Expired { now_unix_ms }));
        }
        if now >= self.maintenance.cell_pending_until && snapshot_due(&self.cell, every) {
            self.maintenance.cell_pending_until = now.plus_ms(PENDING_MS);
            records.extend(snapshot(&self.cell, "the cell"));
        }
        records
    }

    fn config_records(&mut self, every: u64, now: TimeMs) -> Vec<Record> {
        let due = now >= self.maintenance.config_pending_until && snapshot_due(&self.config, every);
        if !due || !self.writes_snapshots_of("config") {
            return Vec::new();
        }
        self.maintenance.config_pending_until = now.plus_ms(PENDING_MS);
        snapshot(&self.config, "config")
    }
}

fn snapshot_due<S: Fold>(follower: &Follower<S>, every: u64) -> bool {
    let next_offset = follower.state().next_offset();
    let written = follower.snapshot_as_of() == Some(next_offset);
    follower.is_complete() && !written && is_due(follower.snapshot_as_of(), follower.first_offset(), next_offset, every)
}

fn snapshot<S: Fold>(follower: &Follower<S>, stream: &str) -> Vec<Record> {
    match chunks(follower.state()) {
        Ok(records) => {
            log::info!("log: snapshot of {stream} as of {}.", follower.state().next_offset());
            records
        }
        Err(error) => {
            log::error!("log: {stream} cannot be written as a snapshot: {error}");
            Vec::new()
        }
    }
}
