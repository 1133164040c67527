//! The records that an entry gives out on its own: registration, acknowledgements, settings, fences and their ends.

use crate::{
    cell::CellState,
    entry::{EntryControl, READ_GAP_MS, Sent},
    ids::AttemptRef,
    mutation::Mutation,
    promise::Admission,
    record::{FenceReason, Record},
    units::TimeMs,
};

impl EntryControl {
    pub(super) fn emit(&mut self, sent: Sent, record: Record, records: &mut Vec<Record>) {
        if self.sent.insert(sent) {
            records.push(record);
        }
    }

    /// Registers, and repeats the registration as a heartbeat in the log if nothing else was appended: the fold passes over it,
    /// but other entries see it. A sign that is on its way is not repeated, so that an outage of the log gathers none.
    pub(super) fn emit_registration(&mut self, now: TimeMs, records: &mut Vec<Record>) {
        let quiet = self.heard.get(&self.me).is_some_and(|me| now.since_ms(me.at) >= self.settings.silence_ms / 3);
        let on_its_way = self.heard.get(&self.me).is_some_and(|me| self.registered_at_sequence == Some(me.sequence));
        if (quiet && !on_its_way) || self.sent.insert(Sent::Register) {
            self.registered_at_sequence = self.heard.get(&self.me).map(|me| me.sequence);
            records.push(Record::EntryRegistered { peer_address: self.peer_address.clone() });
        }
    }

    pub(super) fn emit_lease(&mut self, cell: &CellState, records: &mut Vec<Record>) {
        if let Some((config_version, lease)) = self.wanted_lease.filter(|(_, lease)| cell.lease() != Some(*lease)) {
            self.emit(Sent::Lease(config_version), Record::LeaseSet { config_version, lease }, records);
        }
    }

    pub(super) fn emit_quotas(&mut self, cell: &CellState, records: &mut Vec<Record>) {
        if self.quotas_in_force(cell) {
            return;
        }
        if let Some((config_version, quotas)) = self.wanted_quotas.clone() {
            self.emit(Sent::Quotas(config_version), Record::QuotasSet { config_version, quotas }, records);
        }
    }

    pub(super) fn emit_acks(&mut self, cell: &CellState, records: &mut Vec<Record>) {
        let fencers = cell.fencers();
        for candidate in fencers.candidates() {
            if fencers.missing_acks(candidate).any(|entry| *entry == self.me) {
                let record = Record::FencerAcked { candidate: candidate.clone() };
                self.emit(Sent::Ack(candidate.clone()), record, records);
            }
        }
    }

    pub(super) fn may_admit(&self, admission: &Admission, now: TimeMs) -> bool {
        admission.admit_at() <= now || self.mutation == Some(Mutation::FenceWithoutAcks)
    }

    pub(super) fn emit_removals(&mut self, cell: &CellState, now: TimeMs, records: &mut Vec<Record>) {
        // Who cannot read the log cannot tell silence from an outage.
        if self.cell_read_start.is_none_or(|read| now.since_ms(read) >= READ_GAP_MS) {
            return;
        }
        let silence_ms = self.settings.lengthened_ms(self.settings.silence_ms);
        for entry in cell.fencers().registered() {
            let silent = self.heard.get(entry).is_some_and(|heard| now.since_ms(heard.at) >= silence_ms);
            if silent && *entry != self.me {
                let record = Record::EntryRemoved { entry: entry.clone() };
                self.emit(Sent::Remove(entry.clone()), record, records);
            }
        }
    }

    pub(super) fn emit_fences(&mut self, now: TimeMs, records: &mut Vec<Record>) {
        let due: Vec<_> = self.promises.due(now).cloned().collect();
        for attempt in due {
            let reason = self.reasons.get(&attempt).cloned().unwrap_or(FenceReason::AgentLost);
            let AttemptRef { task, attempt: number } = attempt.clone();
            let record = Record::AttemptFenced { task, attempt: number, reason };
            self.emit(Sent::Fence(attempt), record, records);
        }
    }

    pub(super) fn emit_losses(&mut self, cell: &CellState, now: TimeMs, records: &mut Vec<Record>) {
        for task in cell.fenced_tasks().filter(|task| task.next_attempt().is_none()) {
            let attempt = task.attempt_ref();
            if self.over_at(&attempt).is_some_and(|at| at <= now) {
                let record = Record::AttemptLost { task: task.id.clone(), attempt: task.attempt };
                self.emit(Sent::Lost(attempt), record, records);
            }
        }
    }
}
