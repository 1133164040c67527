//! Records that an entry emits without a request: registration, acknowledgements, settings, removals, fences and losses.

use crate::{
    cell::CellState,
    entry::{Emitted, EntryControl, READ_GAP_MS},
    ids::AttemptRef,
    mutation::Mutation,
    promise::Admission,
    record::{FenceReason, Record},
    units::TimeMs,
};

impl EntryControl {
    pub(super) fn emit(&mut self, emitted: Emitted, record: Record, records: &mut Vec<Record>) {
        if self.emitted.insert(emitted) {
            records.push(record);
        }
    }

    /// Emits the registration, and repeats it as a heartbeat if nothing else was appended: a repetition does not change the
    /// cell, but shows other entries that this one is alive. It is not repeated before the last one is in the log, so that
    /// none accumulate during a log outage.
    pub(super) fn emit_registration(&mut self, now: TimeMs, records: &mut Vec<Record>) {
        let idle =
            self.last_appends.get(&self.me).is_some_and(|me| now.since_ms(me.at) >= self.settings.silence_ms / 3);
        let in_flight =
            self.last_appends.get(&self.me).is_some_and(|me| self.registration_sequence == Some(me.sequence));
        if (idle && !in_flight) || self.emitted.insert(Emitted::Register) {
            self.registration_sequence = self.last_appends.get(&self.me).map(|me| me.sequence);
            records.push(Record::EntryRegistered { peer_address: self.peer_address.clone() });
        }
    }

    pub(super) fn emit_lease(&mut self, cell: &CellState, records: &mut Vec<Record>) {
        if let Some((config_version, lease)) = self.proposed_lease.filter(|(_, lease)| cell.lease() != Some(*lease)) {
            self.emit(Emitted::Lease(config_version), Record::LeaseSet { config_version, lease }, records);
        }
    }

    pub(super) fn emit_quotas(&mut self, cell: &CellState, records: &mut Vec<Record>) {
        if self.quotas_in_force(cell) {
            return;
        }
        if let Some((config_version, quotas)) = self.proposed_quotas.clone() {
            self.emit(Emitted::Quotas(config_version), Record::QuotasSet { config_version, quotas }, records);
        }
    }

    pub(super) fn emit_acks(&mut self, cell: &CellState, records: &mut Vec<Record>) {
        let fencers = cell.fencers();
        for candidate in fencers.candidates() {
            if fencers.missing_acks(candidate).any(|entry| *entry == self.me) {
                let record = Record::FencerAcked { candidate: candidate.clone() };
                self.emit(Emitted::Ack(candidate.clone()), record, records);
            }
        }
    }

    pub(super) fn may_admit(&self, admission: &Admission, now: TimeMs) -> bool {
        admission.admit_at() <= now || self.mutation == Some(Mutation::FenceWithoutAcks)
    }

    pub(super) fn emit_removals(&mut self, cell: &CellState, now: TimeMs, records: &mut Vec<Record>) {
        // Without recent reads of the log, silence of an entry cannot be distinguished from an outage.
        if self.cell_read_start.is_none_or(|read| now.since_ms(read) >= READ_GAP_MS) {
            return;
        }
        let silence_ms = self.settings.lengthened_ms(self.settings.silence_ms);
        for entry in cell.fencers().registered() {
            let silent = self.last_appends.get(entry).is_some_and(|last| now.since_ms(last.at) >= silence_ms);
            if silent && *entry != self.me {
                let record = Record::EntryRemoved { entry: entry.clone() };
                self.emit(Emitted::Remove(entry.clone()), record, records);
            }
        }
    }

    pub(super) fn emit_fences(&mut self, now: TimeMs, records: &mut Vec<Record>) {
        let due: Vec<_> = self.promises.due_fences(now).cloned().collect();
        for attempt in due {
            let reason = self.fence_reasons.get(&attempt).cloned().unwrap_or(FenceReason::AgentLost);
            let AttemptRef { task, attempt: number } = attempt.clone();
            let record = Record::AttemptFenced { task, attempt: number, reason };
            self.emit(Emitted::Fence(attempt), record, records);
        }
    }

    pub(super) fn emit_losses(&mut self, cell: &CellState, now: TimeMs, records: &mut Vec<Record>) {
        for task in cell.fenced_tasks().filter(|task| task.next_attempt().is_none()) {
            let attempt = task.attempt_ref();
            if self.stopped_at(&attempt).is_some_and(|at| at <= now) {
                let record = Record::AttemptLost { task: task.id.clone(), attempt: task.attempt };
                self.emit(Emitted::Lost(attempt), record, records);
            }
        }
    }
}
