//! Table of workers as one process knows them, updated from agents' reports.

use std::{collections::HashMap, ops::Range};

use slotmap::{SlotMap, new_key_type};

use crate::{
    ids::{AgentId, AvailabilityZone, RackId},
    interference::ClassId,
    profile::Kind,
    units::{Resources, TimeMs},
};

new_key_type! {
    /// Key of a worker in a [`WorkerTable`].
    pub struct WorkerKey;
}

/// The tasks of one class on a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Resident {
    /// The class under which interference is estimated.
    pub class: ClassId,
    /// The kind of the class's profile.
    pub kind: Kind,
    /// The number of tasks, each multiplied by its throttle as a fraction; 1.0 for a service endpoint.
    pub weight: f32,
    /// Whether the service misses its SLO at present. Always `false` for other kinds.
    pub misses_slo: bool,
    /// The slowdown that the service may suffer, as a fraction such as 0.12. Unused for other kinds.
    pub budget: f32,
}

/// An agent's report on its worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerUpdate {
    /// The reporting agent, which identifies the worker.
    pub agent: AgentId,
    /// The availability zone of the host.
    pub availability_zone: AvailabilityZone,
    /// The rack of the host.
    pub rack: RackId,
    /// The total resources of the worker.
    pub capacity: Resources,
    /// The capacity minus the declared sizes of running tasks and reservations.
    pub free: Resources,
    /// The estimated use of everything that runs on the worker.
    pub expected_use: Resources,
    /// What runs on the worker, with one element per class.
    pub residents: Vec<Resident>,
}

/// A worker as of its last report, plus reservations made since.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// The agent that manages the worker.
    pub agent: AgentId,
    /// The availability zone of the host.
    pub zone: ZoneIndex,
    /// The rack of the host.
    pub rack: RackIndex,
    /// The total resources of the worker.
    pub capacity: Resources,
    /// The estimated use of everything that runs or is reserved on the worker.
    pub expected_use: Resources,
    /// What runs or is reserved on the worker, with one element per class.
    pub residents: Vec<Resident>,
    /// When the last report arrived, by the clock of this process.
    pub reported: TimeMs,
    slot: usize,
}

/// Compact index of an availability zone within one [`WorkerTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ZoneIndex(pub u16);

/// Compact index of a rack within one [`WorkerTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RackIndex(pub u32);

/// Slots per block. Each block has an upper bound on its free capacity, which lets the scan for feasible workers skip
/// it.
const BLOCK: usize = 32;

/// The data that the scan for feasible workers reads. Kept small and contiguous because one decision may read many
/// blocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct Slot {
    pub free: Resources,
    pub zone: ZoneIndex,
    pub key: WorkerKey,
}

#[derive(Debug, Clone, Default)]
struct Zone {
    out: bool,
    /// When the zone was last put back in service; its workers are refilled gradually from then on.
    returned: Option<TimeMs>,
}

/// All known workers, with indexes for the scan by free capacity and for spreading.
#[derive(Debug, Clone, Default)]
pub struct WorkerTable {
    workers: SlotMap<WorkerKey, Worker>,
    slots: Vec<Slot>,
    /// Per block, the componentwise maximum of the free capacities.
    most_free: Vec<Resources>,
    by_agent: HashMap<AgentId, WorkerKey>,
    zone_index: HashMap<AvailabilityZone, ZoneIndex>,
    zones: Vec<Zone>,
    rack_index: HashMap<RackId, RackIndex>,
    capacities: HashMap<Resources, usize>,
    class_in_rack: HashMap<(ClassId, RackIndex), f32>,
    class_in_zone: HashMap<(ClassId, ZoneIndex), f32>,
}

impl WorkerTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of known workers, in service or not.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the table has no workers.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Applies a report, which replaces all earlier state of the worker. Linear in its residents.
    pub fn update(&mut self, update: WorkerUpdate, now: TimeMs) -> WorkerKey {
        let zone = self.zone(&update.availability_zone);
        let next_rack = RackIndex(u32::try_from(self.rack_index.len()).unwrap_or(u32::MAX));
        let rack = *self.rack_index.entry(update.rack).or_insert(next_rack);
        let key = match self.by_agent.get(&update.agent) {
            Some(key) => *key,
            None => self.insert(update.agent.clone(), zone, rack, now),
        };
        self.count_residents(key, -1.0);
        let Some(worker) = self.workers.get_mut(key) else { return key };
        if worker.capacity != update.capacity {
            release_capacity(&mut self.capacities, worker.capacity);
            *self.capacities.entry(update.capacity).or_default() += 1;
        }
        let Worker { agent, slot, .. } = worker.clone();
        *worker = Worker {
            agent,
            zone,
            rack,
            capacity: update.capacity,
            expected_use: update.expected_use,
            residents: update.residents,
            reported: now,
            slot,
        };
        self.slots[slot].zone = zone;
        self.set_free(slot, update.free);
        self.count_residents(key, 1.0);
        key
    }

    /// Removes a worker. Reads two blocks of slots and the worker's residents.
    pub fn remove(&mut self, agent: &AgentId) -> Option<WorkerKey> {
        let key = self.by_agent.remove(agent)?;
        self.count_residents(key, -1.0);
        let worker = self.workers.remove(key)?;
        release_capacity(&mut self.capacities, worker.capacity);
        self.slots.swap_remove(worker.slot);
        if let Some(moved) = self.slots.get(worker.slot).and_then(|slot| self.workers.get_mut(slot.key)) {
            moved.slot = worker.slot;
        }
        self.most_free.truncate(self.slots.len().div_ceil(BLOCK));
        self.recompute_bound(worker.slot / BLOCK);
        self.recompute_bound(self.slots.len() / BLOCK);
        Some(key)
    }

    /// Reserves capacity and adds the resident, until the next report replaces both.
    pub fn reserve(&mut self, key: WorkerKey, resident: Resident, declared: Resources, expected: Resources) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let (slot, rack, zone) = (worker.slot, worker.rack, worker.zone);
        worker.expected_use = worker.expected_use.plus(&expected);
        match worker.residents.iter_mut().find(|r| r.class == resident.class && r.kind == resident.kind) {
            Some(known) => known.weight += resident.weight,
            None => worker.residents.push(resident),
        }
        *self.class_in_rack.entry((resident.class, rack)).or_default() += resident.weight;
        *self.class_in_zone.entry((resident.class, zone)).or_default() += resident.weight;
        self.set_free(slot, self.slots[slot].free.minus(&declared));
    }

    /// Takes an availability zone out of service or puts it back. A zone that is put back is refilled gradually from
    /// `now`.
    pub fn set_zone_out(&mut self, zone: &AvailabilityZone, out: bool, now: TimeMs) {
        let index = self.zone(zone);
        let zone = &mut self.zones[usize::from(index.0)];
        if zone.out && !out {
            zone.returned = Some(now);
        }
        zone.out = out;
    }

    /// Whether an availability zone is out of service.
    pub fn is_out(&self, zone: ZoneIndex) -> bool {
        self.zones.get(usize::from(zone.0)).is_some_and(|zone| zone.out)
    }

    /// When an availability zone was last put back in service.
    pub(super) fn returned(&self, zone: ZoneIndex) -> Option<TimeMs> {
        self.zones.get(usize::from(zone.0)).and_then(|zone| zone.returned)
    }

    /// The state of a worker; `None` if it was removed.
    pub fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// The free capacity as of the last report, minus reservations made since; `None` if the worker was removed.
    pub fn free(&self, key: WorkerKey) -> Option<Resources> {
        self.workers.get(key).and_then(|worker| self.slots.get(worker.slot)).map(|slot| slot.free)
    }

    /// The key of an agent's worker; `None` before its first report and after its removal.
    pub fn key(&self, agent: &AgentId) -> Option<WorkerKey> {
        self.by_agent.get(agent).copied()
    }

    /// All workers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    /// Whether any known worker is large enough when empty, including workers of zones out of service. Linear in the
    /// number of different capacities, which is small.
    pub fn any_fits(&self, resources: &Resources) -> bool {
        self.capacities.keys().any(|capacity| resources.fits_in(capacity))
    }

    /// The componentwise maximum of the capacities of all known workers.
    pub fn largest(&self) -> Resources {
        self.capacities.keys().fold(Resources::ZERO, |most, capacity| most.component_max(capacity))
    }

    pub(super) fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// The slots of a range that have room for `declared`, in order. Skips blocks whose bound is too small.
    pub(super) fn slots_with_room(&self, range: Range<usize>, declared: Resources) -> impl Iterator<Item = &Slot> {
        let blocks = range.start / BLOCK..range.end.div_ceil(BLOCK);
        let may_fit = move |block: &usize| declared.fits_in(&self.most_free[*block]);
        let slots = move |block: usize| {
            let (first, end) = (block * BLOCK, (block + 1) * BLOCK);
            self.slots[first.max(range.start)..end.min(range.end)].iter()
        };
        blocks.filter(may_fit).flat_map(slots).filter(move |slot| declared.fits_in(&slot.free))
    }

    pub(super) fn in_rack(&self, class: ClassId, rack: RackIndex) -> f32 {
        self.class_in_rack.get(&(class, rack)).copied().unwrap_or(0.0)
    }

    pub(super) fn in_zone(&self, class: ClassId, zone: ZoneIndex) -> f32 {
        self.class_in_zone.get(&(class, zone)).copied().unwrap_or(0.0)
    }

    fn insert(&mut self, agent: AgentId, zone: ZoneIndex, rack: RackIndex, now: TimeMs) -> WorkerKey {
        let capacity = Resources::ZERO;
        let (expected_use, residents, slot) = (Resources::ZERO, Vec::new(), self.slots.len());
        *self.capacities.entry(capacity).or_default() += 1;
        let worker =
            Worker { agent: agent.clone(), zone, rack, capacity, expected_use, residents, reported: now, slot };
        let key = self.workers.insert(worker);
        self.slots.push(Slot { free: Resources::ZERO, zone, key });
        self.most_free.resize(self.slots.len().div_ceil(BLOCK), Resources::ZERO);
        self.by_agent.insert(agent, key);
        key
    }

    fn set_free(&mut self, slot: usize, free: Resources) {
        let block = slot / BLOCK;
        let (before, most) = (std::mem::replace(&mut self.slots[slot].free, free), &mut self.most_free[block]);
        *most = most.component_max(&free);
        // The bound can fall only if this worker had the maximum in some dimension.
        let lowers = |before: u32, free: u32, most: u32| free < before && before == most;
        if lowers(before.cpu_milli, free.cpu_milli, most.cpu_milli)
            || lowers(before.memory_mib, free.memory_mib, most.memory_mib)
            || lowers(before.accelerators, free.accelerators, most.accelerators)
        {
            self.recompute_bound(block);
        }
    }

    /// Recomputes the bound of a block from its slots. Does nothing for a block past the end of the table.
    fn recompute_bound(&mut self, block: usize) {
        let Some(most) = self.most_free.get_mut(block) else { return };
        let end = self.slots.len().min((block + 1) * BLOCK);
        let slots = &self.slots[block * BLOCK..end];
        *most = slots.iter().fold(Resources::ZERO, |most, slot| most.component_max(&slot.free));
    }

    fn count_residents(&mut self, key: WorkerKey, sign: f32) {
        let Some(worker) = self.workers.get(key) else { return };
        for resident in &worker.residents {
            *self.class_in_rack.entry((resident.class, worker.rack)).or_default() += sign * resident.weight;
            *self.class_in_zone.entry((resident.class, worker.zone)).or_default() += sign * resident.weight;
        }
    }

    fn zone(&mut self, zone: &AvailabilityZone) -> ZoneIndex {
        if let Some(index) = self.zone_index.get(zone) {
            return *index;
        }
        let index = ZoneIndex(u16::try_from(self.zones.len()).unwrap_or(u16::MAX));
        self.zones.push(Zone::default());
        self.zone_index.insert(zone.clone(), index);
        index
    }
}

fn release_capacity(capacities: &mut HashMap<Resources, usize>, capacity: Resources) {
    if let Some(count) = capacities.get_mut(&capacity) {
        *count -= 1;
        if *count == 0 {
            capacities.remove(&capacity);
        }
    }
}
