//! How the followers and writers of the streams reach the control state.

use std::rc::Rc;

use fescuelead_core::{
    config::{Decision, Verdict},
    record::{Batch, Record},
    snapshot::Page,
    units::TimeMs,
    writer::GroupCommit,
};
use fescuelead_platform::log::LogPage;
use tokio::sync::Notify;

use crate::{
    entry::{
        commands::ChangeAnswer,
        control::{Control, State},
        streams::{Fold, Outbox},
    },
    limited,
};

/// What is known of a stream's service.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamHealth {
    reachable: bool,
    since: TimeMs,
    caught_up_at: Option<TimeMs>,
}

impl StreamHealth {
    pub(super) fn new(now: TimeMs) -> Self {
        Self { reachable: true, since: now, caught_up_at: None }
    }

    pub(super) fn is_reachable(&self) -> bool {
        self.reachable
    }

    pub(super) fn was_caught_up(&self) -> bool {
        self.caught_up_at.is_some()
    }

    /// When the service went up or down.
    pub(super) fn since(&self) -> TimeMs {
        self.since
    }

    /// When the newest read began that was folded to the tail.
    pub(super) fn caught_up_at(&self) -> Option<TimeMs> {
        self.caught_up_at
    }

    #[cfg(test)]
    pub(super) fn set_caught_up(&mut self, at: TimeMs) {
        self.caught_up_at = Some(at);
    }

    fn set_reachable(&mut self, reachable: bool, stream: &str, now: TimeMs) {
        if self.reachable != reachable {
            let word = if reachable { "up" } else { "down" };
            limited!(Warn, "log: {stream} is {word}.");
            self.reachable = reachable;
            self.since = now;
        }
    }
}

pub(super) struct CellFold(Rc<Control>);
pub(super) struct ConfigFold(Rc<Control>);
pub(super) struct CellOutbox(Rc<Control>);
pub(super) struct ConfigOutbox(Rc<Control>);

impl CellFold {
    pub(super) fn new(control: &Rc<Control>) -> Self {
        Self(Rc::clone(control))
    }
}

impl ConfigFold {
    pub(super) fn new(control: &Rc<Control>) -> Self {
        Self(Rc::clone(control))
    }
}

impl CellOutbox {
    pub(super) fn new(control: &Rc<Control>) -> Self {
        Self(Rc::clone(control))
    }
}

impl ConfigOutbox {
    pub(super) fn new(control: &Rc<Control>) -> Self {
        Self(Rc::clone(control))
    }
}

impl Fold for CellFold {
    fn read_from(&self) -> u64 {
        self.0.state.borrow().cell.read_from()
    }

    fn page(&self, page: &LogPage, read_start: TimeMs) {
        let before = self.0.state.borrow().cell.state().skipped();
        let folded = with_core_page(page, read_start, |page| self.0.state.borrow_mut().cell.apply_page(page));
        self.0.state.borrow_mut().note_cell(before);
        let copied = {
            let state = &mut *self.0.state.borrow_mut();
            state.copies.cell_page(state.cell.is_complete())
        };
        if folded.restored || copied {
            // The state holds what the page changed.
            self.0.cell_restored();
            self.0.cell_changed(&[]);
            self.0.changed.notify_waiters();
        } else if !page.records.is_empty() {
            // Heartbeats in the log change the view without an event.
            self.0.cell_changed(&folded.events);
        }
        self.0.cell_caught_up(read_start);
    }

    fn reachable(&self, reachable: bool) {
        let now = self.0.shared.clock.now();
        self.0.state.borrow_mut().cell_health.set_reachable(reachable, "the cell", now);
    }
}

impl Fold for ConfigFold {
    fn read_from(&self) -> u64 {
        self.0.state.borrow().config.read_from()
    }

    fn page(&self, page: &LogPage, read_start: TimeMs) {
        let before = self.0.state.borrow().config.state().version();
        let from = self.0.state.borrow().config.state().next_offset();
        let folded = with_core_page(page, read_start, |page| self.0.state.borrow_mut().config.apply_page(page));
        self.0.state.borrow_mut().copies.config_page();
        if !folded.restored {
            self.0.state.borrow_mut().answer_changes(page, from, folded.events);
        }
        if self.0.state.borrow().config.state().version() != before {
            self.0.config_changed();
        }
        self.0.config_caught_up(read_start);
    }

    fn reachable(&self, reachable: bool) {
        let now = self.0.shared.clock.now();
        self.0.state.borrow_mut().config_health.set_reachable(reachable, "config", now);
    }
}

fn with_core_page<T>(page: &LogPage, start: TimeMs, run: impl FnOnce(&Page<'_>) -> T) -> T {
    let records: Vec<(u64, &[u8])> = page.records.iter().map(|record| (record.offset, &*record.bytes)).collect();
    let (first_offset, tail_offset) = (page.first_offset, page.tail_offset);
    run(&Page { start, records: &records, first_offset, tail_offset })
}

impl Control {
    fn cell_caught_up(&self, read_start: TimeMs) {
        let mut state = self.state.borrow_mut();
        if state.cell.fresh_at() != Some(read_start) {
            return;
        }
        state.entry.cell_tail_read(read_start);
        state.cell_health.caught_up_at = Some(read_start);
        state.copies.cell_is_fresh();
        let last_sequence = state.cell.state().last_sequence(&self.shared.me);
        state.cell_writer.tail_read(read_start, last_sequence);
        self.held.borrow().wake_for_read();
        self.cell_outbox.notify_one();
    }

    fn config_caught_up(&self, read_start: TimeMs) {
        let mut state = self.state.borrow_mut();
        if state.config.fresh_at() != Some(read_start) {
            return;
        }
        state.entry.config_tail_read(read_start);
        state.config_health.caught_up_at = Some(read_start);
        state.copies.config_is_fresh();
        let last_sequence = state.config_sequence;
        state.config_writer.tail_read(read_start, last_sequence);
        self.config_outbox.notify_one();
    }
}

impl State {
    fn note_cell(&self, skipped_before: u64) {
        let skipped = self.cell.state().skipped().saturating_sub(skipped_before);
        if skipped > 0 {
            limited!(Warn, "log: {skipped} appends to the cell cannot be decoded and are skipped.");
        }
    }

    /// Tells those who wait for the decisions on their changes. The decisions come in the order of the records, so they are
    /// counted off batch by batch. A repeated append of ours has been answered before.
    fn answer_changes(&mut self, page: &LogPage, from: u64, decisions: Vec<Decision>) {
        let mut decisions = decisions.into_iter();
        for record in page.records.iter().filter(|record| record.offset >= from) {
            let Ok(batch) = Batch::decode(&record.bytes) else { continue };
            let ours = batch.writer_ref() == *self.entry.me() && batch.sequence > self.config_sequence;
            if ours {
                self.config_sequence = batch.sequence;
            }
            let changes = batch.records.iter().filter(|record| is_change(record)).count();
            for decision in decisions.by_ref().take(changes) {
                if ours {
                    self.answer_change(decision);
                }
            }
        }
    }

    fn answer_change(&mut self, decision: Decision) {
        let standing_author = matches!(decision.verdict, Verdict::Conflict { .. })
            .then(|| self.config.state().history().last().map(|item| item.author.clone()))
            .flatten();
        if let Some(waiting) = self.changes.pop_front() {
            // The operator may have given up waiting.
            let _ = waiting.send(ChangeAnswer::Decided { verdict: decision.verdict, standing_author });
        }
    }
}

fn is_change(record: &Record) -> bool {
    matches!(record, Record::ProfilesPublished { .. } | Record::ZoneSet { .. })
}

impl Outbox for CellOutbox {
    fn with(&self, change: &mut dyn FnMut(&mut GroupCommit)) {
        change(&mut self.0.state.borrow_mut().cell_writer);
    }

    fn wake(&self) -> &Notify {
        &self.0.cell_outbox
    }
}

impl Outbox for ConfigOutbox {
    fn with(&self, change: &mut dyn FnMut(&mut GroupCommit)) {
        change(&mut self.0.state.borrow_mut().config_writer);
    }

    fn wake(&self) -> &Notify {
        &self.0.config_outbox
    }
}
