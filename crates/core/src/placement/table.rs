//! The workers as one process knows them, fed from agents' reports.

use std::{collections::HashMap, ops::Range};

use slotmap::{SlotMap, new_key_type};

use crate::{
    ids::{AgentId, AvailabilityZone, RackId},
    interference::ClassId,
    profile::Kind,
    units::{Resources, TimeMs},
};

new_key_type! {
    /// A worker in the table.
    pub struct WorkerKey;
}

/// One class of work on a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Resident {
    /// The class.
    pub class: ClassId,
    /// Its kind.
    pub kind: Kind,
    /// Tasks (or one for an endpoint), each scaled by its throttle share.
    pub weight: f32,
    /// Whether the service misses its SLO at present; always false for other kinds.
    pub burning: bool,
    /// How much slowdown the service may suffer, such as 0.12; unused for other kinds.
    pub budget: f32,
}

/// What an agent says of its worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerUpdate {
    /// The agent.
    pub agent: AgentId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Its rack.
    pub rack: RackId,
    /// All that the worker has.
    pub capacity: Resources,
    /// Capacity less running tasks and reservations.
    pub free: Resources,
    /// What all that runs there is expected to use, by estimate.
    pub expected_use: Resources,
    /// What runs there, one entry per class.
    pub residents: Vec<Resident>,
}

/// A worker as last reported, less what was reserved since.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// The agent.
    pub agent: AgentId,
    /// Its availability zone.
    pub zone: ZoneIndex,
    /// Its rack.
    pub rack: RackIndex,
    /// All that the worker has.
    pub capacity: Resources,
    /// What all that runs there is expected to use, by estimate.
    pub expected_use: Resources,
    /// What runs there, one entry per class.
    pub residents: Vec<Resident>,
    /// When the last report arrived.
    pub reported: TimeMs,
    slot: usize,
}

/// A small number for an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ZoneIndex(pub u16);

/// A small number for a rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RackIndex(pub u32);

/// Slots per block. Each block has an upper bound on its free capacity, by which the scan for feasible workers skips it.
const BLOCK: usize = 32;

/// What the scan for feasible workers reads: kept small and dense, because many blocks may be read in one decision.
#[derive(Debug, Clone, Copy)]
pub(super) struct Slot {
    pub free: Resources,
    pub zone: ZoneIndex,
    pub key: WorkerKey,
}

#[derive(Debug, Clone, Default)]
struct Zone {
    out: bool,
    /// When the zone came back; its workers are filled gradually from then on.
    returned: Option<TimeMs>,
}

/// All known workers.
#[derive(Debug, Clone, Default)]
pub struct WorkerTable {
    workers: SlotMap<WorkerKey, Worker>,
    slots: Vec<Slot>,
    /// The most that is free on any worker of a block, per dimension.
    most_free: Vec<Resources>,
    by_agent: HashMap<AgentId, WorkerKey>,
    zone_index: HashMap<AvailabilityZone, ZoneIndex>,
    zones: Vec<Zone>,
    rack_index: HashMap<RackId, RackIndex>,
    shapes: HashMap<Resources, usize>,
    class_in_rack: HashMap<(ClassId, RackIndex), f32>,
    class_in_zone: HashMap<(ClassId, ZoneIndex), f32>,
}

impl WorkerTable {
    /// Knows no worker yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of workers.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no worker is known.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Takes in a report, which replaces what was known of the worker. Linear in its residents.
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
            forget_shape(&mut self.shapes, worker.capacity);
            *self.shapes.entry(update.capacity).or_default() += 1;
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

    /// Forgets a worker that has gone. Constant time, with a look at two blocks of slots.
    pub fn remove(&mut self, agent: &AgentId) -> Option<WorkerKey> {
        let key = self.by_agent.remove(agent)?;
        self.count_residents(key, -1.0);
        let worker = self.workers.remove(key)?;
        forget_shape(&mut self.shapes, worker.capacity);
        self.slots.swap_remove(worker.slot);
        if let Some(moved) = self.slots.get(worker.slot).and_then(|slot| self.workers.get_mut(slot.key)) {
            moved.slot = worker.slot;
        }
        self.most_free.truncate(self.slots.len().div_ceil(BLOCK));
        self.measure_block(worker.slot / BLOCK);
        self.measure_block(self.slots.len() / BLOCK);
        Some(key)
    }

    /// Takes a reservation off the free capacity until the next report.
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

    /// Takes an availability zone out or in. One that comes back is filled gradually from `now` on.
    pub fn set_zone_out(&mut self, zone: &AvailabilityZone, out: bool, now: TimeMs) {
        let index = self.zone(zone);
        let zone = &mut self.zones[usize::from(index.0)];
        if zone.out && !out {
            zone.returned = Some(now);
        }
        zone.out = out;
    }

    /// Whether an availability zone is out.
    pub fn is_out(&self, zone: ZoneIndex) -> bool {
        self.zones.get(usize::from(zone.0)).is_some_and(|zone| zone.out)
    }

    /// When an availability zone last came back.
    pub(super) fn returned(&self, zone: ZoneIndex) -> Option<TimeMs> {
        self.zones.get(usize::from(zone.0)).and_then(|zone| zone.returned)
    }

    /// A worker.
    pub fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// What is free on a worker, as last reported, less what was reserved since.
    pub fn free(&self, key: WorkerKey) -> Option<Resources> {
        self.workers.get(key).and_then(|worker| self.slots.get(worker.slot)).map(|slot| slot.free)
    }

    /// The key of an agent's worker.
    pub fn key(&self, agent: &AgentId) -> Option<WorkerKey> {
        self.by_agent.get(agent).copied()
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    /// Whether any known worker, even in an availability zone that is out, is large enough when empty. Linear in the
    /// number of different capacities, which are few.
    pub fn any_holds(&self, resources: &Resources) -> bool {
        self.shapes.keys().any(|shape| resources.fits_in(shape))
    }

    /// The largest capacity per dimension over all known workers.
    pub fn largest(&self) -> Resources {
        self.shapes.keys().fold(Resources::ZERO, |most, shape| most.component_max(shape))
    }

    pub(super) fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// The slots of a range, in order, with room for `declared`. Blocks in which it cannot fit are not read.
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
        *self.shapes.entry(capacity).or_default() += 1;
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
        // Only a worker that reached the bound in some dimension can lower it.
        let lowers = |before: u32, free: u32, most: u32| free < before && before == most;
        if lowers(before.cpu_milli, free.cpu_milli, most.cpu_milli)
            || lowers(before.memory_mib, free.memory_mib, most.memory_mib)
            || lowers(before.accelerators, free.accelerators, most.accelerators)
        {
            self.measure_block(block);
        }
    }

    /// Sets the bound of a block from its slots. A block behind the table has none.
    fn measure_block(&mut self, block: usize) {
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

fn forget_shape(shapes: &mut HashMap<Resources, usize>, shape: Resources) {
    if let Some(count) = shapes.get_mut(&shape) {
        *count -= 1;
        if *count == 0 {
            shapes.remove(&shape);
        }
    }
}
