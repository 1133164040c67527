/*!
Reservations of room for waiting steps that others pass over.

Small tasks fill every gap, so that a task which needs a large part of a host, or a gang that needs many hosts at once, may wait
for as long as the small ones arrive: on the load `arbok-hysing-grown` (docs/hard-load.md), serving tasks of 13 cores wait
beside short tasks of 1.5. A step is passed over if it is one of the most urgent waiting ones and gets no host although others of
the same or a lesser priority do, which need less. After [`MAX_PASSED_OVER_MS`] it gets a reservation on the hosts that are expected to have room
for it first, judged by the expected ends of the runs there.

Other tasks of the same or a lesser priority backfill such a host: those that are expected to end before the reserved start, and
those that fit beside the reserved room. Expectations may be wrong, so that a reservation of [`MAX_BACKFILL_MS`] is closed:
nothing else of the same or a lesser priority starts on its hosts until the step has started or given the hosts up. More urgent
priorities ignore reservations.

Hosts that are set aside for trials (`trials.rs`, `Host::reserved_for`) are a different matter: they are closed to everything
else, and take no reservation of room.

Reservations are not stored; a new leader makes them anew. Without a step that is passed over, placement costs a comparison per
candidate more.
*/

use std::collections::BTreeMap;

use super::{Scheduler, StepRef};
use crate::{
    jobs::{
        hosts::{Host, HostName, Link},
        progress::TaskState,
        spec::{StepSpec, TaskRef},
    },
    units::{Resources, TimeMs},
};

/// How long a step without room may be passed over before it gets a reservation, in milliseconds. About the duration of a task
/// of the background classes: a host where such tasks end has had room by then.
pub const MAX_PASSED_OVER_MS: u64 = 2_000;
/// How long the hosts of a reservation are backfilled, in milliseconds. After that they are closed to other tasks.
pub const MAX_BACKFILL_MS: u64 = 3_000;
/// The most urgent waiting steps for which it is noted that others pass them over. Steps after them wait for their turn rather
/// than for room.
const MAX_WATCHED_STEPS: usize = 16;
/// The kinds of assigned tasks that are compared with those of watched steps in a placement.
const MAX_ASSIGNED_SHAPES: usize = 64;
/// By how much a task must need more than another to be passed over by it, in percent. Tasks of about the same size wait for
/// their turn rather than for room.
const MIN_LARGER_PERCENT: u64 = 25;
/// The number of steps that hold reservations at a time.
const MAX_HOLDERS: usize = 4;
/// The number of hosts that are reserved for a step at a time, unless it is a gang.
const MAX_HOSTS_PER_STEP: usize = 4;
/// The number of hosts of which the ends of all runs are compared for a reservation, or twice the number of tasks if that is more:
/// those that lack the least room.
const MAX_COMPARED_HOSTS: usize = 32;
/// A reservation moves to another host only if that has room this much earlier, in milliseconds. Expected ends vary between
/// reports of progress.
const MIN_GAIN_MS: u64 = 1_000;

/// Room on a host that is reserved for a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::jobs) struct RoomReservation {
    /// The step that holds the reservation.
    holder: StepRef,
    /// The priority of its queue.
    priority: u8,
    /// The number of its tasks for which room is reserved on the host.
    tasks: u32,
    /// When its tasks are expected to start.
    start_at: TimeMs,
    /// What others may use on the host beyond `start_at`.
    spare: Resources,
    /// From when nothing else of the same or a lesser priority starts on the host.
    closed_at: TimeMs,
}

/// A reservation that was made or has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationChange {
    /// Room was reserved for a step.
    Made {
        /// The step.
        step: StepRef,
        /// The number of hosts on which room was reserved.
        hosts: usize,
        /// The time until its first task is expected to start there, in milliseconds.
        start_in_ms: u64,
    },
    /// The reservation has ended: the step has started or ended, or no host can have room for it.
    Ended {
        /// The step.
        step: StepRef,
        /// How long it held reservations, in milliseconds.
        held_ms: u64,
    },
}

/// A step whose tasks are to be placed on hosts with reservations.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backfill {
    pub step: StepRef,
    pub priority: u8,
    /// The expected duration of a task, in milliseconds; `u64::MAX` if it does not end.
    pub expected_ms: u64,
}

impl RoomReservation {
    /// Whether a task that needs `needed` may start on the host now. `task` is `None` if nothing is known of it.
    pub(super) fn allows(&self, task: Option<Backfill>, needed: &Resources, now: TimeMs) -> bool {
        let is_own = task.is_some_and(|task| task.step == self.holder);
        let is_more_urgent = task.is_some_and(|task| task.priority < self.priority);
        let is_closed = now >= self.closed_at;
        let ends_in_time = task.is_some_and(|task| now.plus_ms(task.expected_ms) <= self.start_at);
        is_own || is_more_urgent || !is_closed && (ends_in_time || needed.fits_in(&self.spare))
    }
}

/// What became of a step in its turn.
#[derive(Debug)]
pub(super) struct Turn {
    pub step: StepRef,
    pub service: String,
    pub priority: u8,
    pub background: bool,
    /// What one of its tasks commits on a host.
    pub needed: Resources,
    /// Whether not every host with room for a task will do, or one is not enough.
    pub is_constrained: bool,
    pub has_assigned: bool,
    pub has_waiting: bool,
}

/// What a placement has assigned, and the most urgent steps that still wait.
#[derive(Debug, Default)]
pub(super) struct Turns {
    assigned: Vec<Turn>,
    waiting: Vec<Turn>,
}

impl Turns {
    /// Adds the turn of the next step.
    fn add(&mut self, turn: Turn) {
        if turn.has_assigned {
            let is_like = |other: &Turn| {
                (&other.service, other.priority, other.background, other.needed)
                    == (&turn.service, turn.priority, turn.background, turn.needed)
            };
            if self.assigned.len() < MAX_ASSIGNED_SHAPES && !self.assigned.iter().any(is_like) {
                self.assigned.push(turn);
            }
        } else if turn.has_waiting && self.waiting.len() < MAX_WATCHED_STEPS {
            self.waiting.push(turn);
        }
    }

    /// The watched steps that got nothing while others of the same or a lesser priority were assigned because they need less or
    /// will do with any host. Background tasks do not take the processors that others wait for, and so pass over background
    /// tasks only.
    fn passed_over(&self) -> impl Iterator<Item = StepRef> {
        let is_passed_over = |waiting: &&Turn| {
            self.assigned.iter().any(|assigned| {
                assigned.service == waiting.service
                    && assigned.priority >= waiting.priority
                    && (!assigned.background || waiting.background)
                    && (waiting.is_constrained || is_larger(&waiting.needed, &assigned.needed))
            })
        };
        self.waiting.iter().filter(is_passed_over).map(|turn| turn.step)
    }
}

/// What a host will have free, and when.
struct Outlook<'a> {
    name: &'a HostName,
    free: Resources,
    /// The expected ends of the runs on the host by time, with the resources that each releases.
    ends: Vec<(TimeMs, Resources)>,
    /// The tasks of the holder for which room is reserved here.
    tasks: u32,
    /// The maximum of `tasks`.
    max_tasks: u32,
}

impl Outlook<'_> {
    /// When the host has room for `needed`; `None` if it never has.
    fn start_at(&self, needed: &Resources, now: TimeMs) -> Option<TimeMs> {
        let mut free = self.free;
        if needed.fits_in(&free) {
            return Some(now);
        }
        self.ends.iter().find_map(|(at, released)| {
            free = free.plus(released);
            needed.fits_in(&free).then_some(*at)
        })
    }

    /// What the host has free at a time beyond `needed`.
    fn spare_at(&self, at: TimeMs, needed: &Resources) -> Resources {
        let ended = self.ends.iter().take_while(|(end, _)| *end <= at);
        ended.fold(self.free, |free, (_, released)| free.plus(released)).minus(needed)
    }
}

/// The resources that count as committed for a task: background tasks use processors that others leave.
pub(super) fn committed(resources: Resources, background: bool) -> Resources {
    Resources { cpu_milli: if background { 0 } else { resources.cpu_milli }, ..resources }
}

/// Whether a task needs more than another of any resource, by a quarter at least.
fn is_larger(needed: &Resources, other: &Resources) -> bool {
    let exceeds = |needed: u32, other: u32| u64::from(needed) * 100 > u64::from(other) * (100 + MIN_LARGER_PERCENT);
    exceeds(needed.cpu_milli, other.cpu_milli)
        || exceeds(needed.memory_mib, other.memory_mib)
        || exceeds(needed.accelerators, other.accelerators)
}

fn times(resources: &Resources, tasks: u32) -> Resources {
    Resources {
        cpu_milli: resources.cpu_milli.saturating_mul(tasks),
        memory_mib: resources.memory_mib.saturating_mul(tasks),
        accelerators: resources.accelerators.saturating_mul(tasks),
    }
}

impl Scheduler {
    /// Notes what became of a step in its turn. A step that has got a host is not passed over any more, unless it holds a
    /// reservation for the rest of its tasks.
    pub(super) fn note_turn(&mut self, turns: &mut Turns, turn: Turn) {
        if turn.has_assigned && !self.passed_over.is_empty() && !self.reservations.contains_key(&turn.step) {
            self.passed_over.remove(&turn.step);
        }
        turns.add(turn);
    }

    /// Notes which steps a placement has passed over. After a placement on all hosts, also forgets those that are not among the
    /// most urgent waiting ones any more, and updates the reservations.
    pub(super) fn finish_turns(&mut self, turns: &Turns, is_full: bool, now: TimeMs) {
        for step in turns.passed_over() {
            self.passed_over.entry(step).or_insert(now);
        }
        if is_full && !self.passed_over.is_empty() {
            let Self { passed_over, reservations, .. } = self;
            let is_watched = |step: &StepRef| turns.waiting.iter().any(|turn| turn.step == *step);
            passed_over.retain(|step, _| reservations.contains_key(step) || is_watched(step));
        }
        if is_full {
            self.update_reservations(now);
        }
    }

    /// What is known of a step for the hosts with reservations; `None` if there are no reservations.
    pub(super) fn backfill(&self, step: StepRef) -> Option<Backfill> {
        if self.reservations.is_empty() {
            return None;
        }
        let priority = self.settings(&self.jobs.get(&step.job)?.spec).priority;
        let task = TaskRef { job: step.job, occurrence: step.occurrence, step: step.step, index: 0 };
        let expected_ms = self.expected_duration(&task).map_or(u64::MAX, |expected| expected.duration_ms);
        Some(Backfill { step, priority, expected_ms })
    }

    /// Takes the room of a task that starts on a host out of the reservation there. Logarithmic time.
    pub(super) fn use_reserved_room(&mut self, task: &TaskRef, step: &StepSpec, name: &HostName, now: TimeMs) {
        if self.hosts.get(name).is_none_or(|host| host.reservation.is_none()) {
            return;
        }
        let expected_ms = self.expected_duration(task).map_or(u64::MAX, |expected| expected.duration_ms);
        let Some(host) = self.hosts.get_mut(name) else { return };
        let Some(reservation) = &mut host.reservation else { return };
        let of_step = StepRef { job: task.job, occurrence: task.occurrence, step: task.step };
        if reservation.holder == of_step {
            reservation.tasks = reservation.tasks.saturating_sub(1);
            if reservation.tasks == 0 {
                host.reservation = None;
            }
            return;
        }
        if now.plus_ms(expected_ms) > reservation.start_at {
            reservation.spare = reservation.spare.minus(&committed(step.resources, step.background));
        }
    }

    /// Checks all reservations against the expected ends of runs, ends those that are not needed or cannot be kept, and makes
    /// new ones. Linear in the number of hosts for each step that holds one or is due to, plus the runs on at most
    /// [`MAX_COMPARED_HOSTS`] hosts for each of them; constant time if no step has been passed over.
    fn update_reservations(&mut self, now: TimeMs) {
        if self.passed_over.is_empty() && self.reservations.is_empty() {
            return;
        }
        let mut passed_over = std::mem::take(&mut self.passed_over);
        passed_over.retain(|step, _| self.waiting_tasks(step) > 0);
        let mut due: Vec<_> =
            passed_over.iter().filter(|(_, since)| now.since_ms(**since) >= MAX_PASSED_OVER_MS).collect();
        due.sort_by_key(|(step, since)| (self.priority_of(step), **since));
        let due: Vec<StepRef> = due.into_iter().take(MAX_WATCHED_STEPS).map(|(step, _)| *step).collect();
        self.passed_over = passed_over;
        let ended: Vec<_> = self.reservations.keys().filter(|step| !due.contains(step)).copied().collect();
        for step in ended {
            self.end_reservation(&step, now);
        }
        let mut holders = 0;
        for step in due {
            let before = self.reservations.get(&step).copied();
            let start_at = (holders < MAX_HOLDERS).then(|| self.reserve_room(step, before.unwrap_or(now), now));
            match (start_at.flatten(), before) {
                (Some(start_at), None) => {
                    self.reservations.insert(step, now);
                    let hosts = self.reserved_for_step(&step);
                    let start_in_ms = start_at.since_ms(now);
                    self.reservation_changes.push(ReservationChange::Made { step, hosts, start_in_ms });
                }
                (Some(_), Some(_)) => {}
                (None, _) => {
                    self.end_reservation(&step, now);
                    // No host will have room as far as is known, so that the next attempt waits as long as the first one did.
                    if start_at.is_some() {
                        self.passed_over.insert(step, now);
                    }
                }
            }
            holders += usize::from(start_at.flatten().is_some());
        }
    }

    fn priority_of(&self, step: &StepRef) -> u8 {
        self.jobs.get(&step.job).map_or(u8::MAX, |job| self.settings(&job.spec).priority)
    }

    /// The number of waiting tasks of a step that is ready; of a gang only if all its members wait.
    fn waiting_tasks(&self, step: &StepRef) -> u32 {
        let Some(job) = self.jobs.get(&step.job) else { return 0 };
        if !job.ready.iter().any(|key| key.step == *step) {
            return 0;
        }
        let tasks = &job.progress.occurrences[step.occurrence as usize][step.step as usize];
        let waiting = tasks.iter().filter(|task| task.state == TaskState::Waiting).count();
        let is_partial = job.spec.steps[step.step as usize].gang && waiting < tasks.len();
        if is_partial { 0 } else { waiting as u32 }
    }

    /// Reserves room for the waiting tasks of a step: on the hosts that are reserved already as long as they can keep it, then
    /// on those that have room first. A gang gets room for all its members or none. Returns the first expected start; `None` if no
    /// room can be reserved.
    fn reserve_room(&mut self, holder: StepRef, made_at: TimeMs, now: TimeMs) -> Option<TimeMs> {
        let job = self.jobs.get(&holder.job)?;
        let spec = job.spec.clone();
        let step = spec.steps.get(holder.step as usize)?;
        let settings = self.settings(&spec);
        let (service, priority) = (settings.service.clone(), settings.priority);
        let needed = committed(step.resources, step.background);
        let waiting = self.waiting_tasks(&holder);
        let task = TaskRef { job: holder.job, occurrence: holder.occurrence, step: holder.step, index: 0 };
        if self.is_on_trial(&task, step.gang) {
            return None;
        }
        let wanted = if step.gang { waiting } else { waiting.min(MAX_HOSTS_PER_STEP as u32) };
        let mut outlooks = self.outlooks(&holder, &task, step, &service, wanted as usize, now);
        let mut chosen = 0;
        while chosen < wanted {
            let starts = outlooks.iter().enumerate().filter_map(|(index, outlook)| {
                let tasks = outlook.tasks + 1;
                let is_kept = self.hosts[outlook.name].reservation.is_some();
                let start_at = outlook.start_at(&times(&needed, tasks), now).filter(|_| tasks <= outlook.max_tasks)?;
                Some((start_at.plus_ms(if is_kept { 0 } else { MIN_GAIN_MS }), index))
            });
            let Some((_, index)) = starts.min() else { break };
            outlooks[index].tasks += 1;
            // One task on each host, so that the tasks of a step do not wait for the same one.
            if !step.gang {
                outlooks[index].max_tasks = 1;
            }
            chosen += 1;
        }
        if step.gang && chosen < wanted {
            return None;
        }
        let reserved: Vec<_> = outlooks.iter().filter(|outlook| outlook.tasks > 0).collect();
        let start_of = |outlook: &Outlook<'_>| outlook.start_at(&times(&needed, outlook.tasks), now).unwrap_or(now);
        let gang_start_at = reserved.iter().map(|outlook| start_of(outlook)).max().unwrap_or(now);
        let made: BTreeMap<HostName, RoomReservation> = reserved
            .into_iter()
            .map(|outlook| {
                let start_at = if step.gang { gang_start_at } else { start_of(outlook) };
                let spare = outlook.spare_at(start_at, &times(&needed, outlook.tasks));
                let closed_at = made_at.plus_ms(MAX_BACKFILL_MS);
                let tasks = outlook.tasks;
                (outlook.name.clone(), RoomReservation { holder, priority, tasks, start_at, spare, closed_at })
            })
            .collect();
        let first_start_at = made.values().map(|reservation| reservation.start_at).min()?;
        self.release_room(&holder, &made);
        for (name, reservation) in made {
            if let Some(host) = self.hosts.get_mut(&name) {
                host.reservation = Some(reservation);
            }
        }
        Some(first_start_at)
    }

    /// The hosts that could run a task of the step if they had room, and when they will. Empty if a host has room for a
    /// background task already: then it waits for processors that others leave, which a reservation cannot provide.
    fn outlooks(
        &self,
        holder: &StepRef,
        task: &TaskRef,
        step: &StepSpec,
        service: &str,
        wanted: usize,
        now: TimeMs,
    ) -> Vec<Outlook<'_>> {
        let needed = committed(step.resources, step.background);
        let mut hosts: Vec<_> = Vec::new();
        for (name, host) in &self.hosts {
            let Some(free) = self.free_for(host, holder, task, step, service) else { continue };
            if step.background && needed.fits_in(&free) {
                return Vec::new();
            }
            let lacks = needed.minus(&free);
            let is_kept = host.reservation.is_some();
            hosts.push((!is_kept, u64::from(lacks.cpu_milli) + u64::from(lacks.memory_mib), name, host, free));
        }
        let compared = MAX_COMPARED_HOSTS.max(2 * wanted);
        if hosts.len() > compared {
            hosts.sort_by_key(|(is_new, lacks, name, ..)| (*is_new, *lacks, *name));
            hosts.truncate(compared);
        }
        let outlook = |(_, _, name, host, free): (bool, u64, _, &Host, Resources)| {
            let mut ends: Vec<_> = host
                .tasks
                .iter()
                .filter_map(|(task, placed)| {
                    Some((self.expected_end(task, now)?.at, committed(placed.resources, placed.background)))
                })
                .collect();
            ends.sort_by_key(|(at, _)| *at);
            let max_tasks =
                step.per_host.map_or(u32::MAX, |limit| limit.saturating_sub(host.count_step_tasks(task) as u32));
            Outlook { name, free, ends, tasks: 0, max_tasks }
        };
        hosts.into_iter().map(outlook).collect()
    }

    /// What a host has free, if it could run a task of the step with enough room and no other step holds a reservation there.
    fn free_for(
        &self,
        host: &Host,
        holder: &StepRef,
        task: &TaskRef,
        step: &StepSpec,
        service: &str,
    ) -> Option<Resources> {
        let info = host.info.as_ref()?;
        let is_usable = host.link == Link::Connected && host.reconciled && host.takes_starts(&self.zones_out);
        let has_label = step.label.as_ref().is_none_or(|label| info.labels.contains(label));
        let is_limited = step.per_host.is_some_and(|limit| host.count_step_tasks(task) >= limit as usize);
        let is_taken =
            host.reserved_for.is_some() || host.reservation.is_some_and(|reservation| reservation.holder != *holder);
        let fits = committed(step.resources, step.background).fits_in(&info.capacity);
        let is_eligible = is_usable && info.service == service && has_label && fits && !is_limited && !is_taken;
        is_eligible.then(|| info.capacity.minus(&host.used()))
    }

    /// Ends the reservation of a step, if it holds one.
    fn end_reservation(&mut self, holder: &StepRef, now: TimeMs) {
        let Some(made_at) = self.reservations.remove(holder) else { return };
        self.release_room(holder, &BTreeMap::new());
        let held_ms = now.since_ms(made_at);
        self.reservation_changes.push(ReservationChange::Ended { step: *holder, held_ms });
    }

    /// Returns the reservations that were made or have ended since the last call.
    pub fn take_reservation_changes(&mut self) -> Vec<ReservationChange> {
        std::mem::take(&mut self.reservation_changes)
    }

    /// The number of hosts on which room is reserved for a step. Linear in the number of hosts.
    fn reserved_for_step(&self, holder: &StepRef) -> usize {
        let holders = self.hosts.values().filter_map(|host| host.reservation);
        holders.filter(|reservation| reservation.holder == *holder).count()
    }

    /// Releases the room that is reserved for a step on other hosts than the `kept` ones. Linear in the number of hosts.
    fn release_room(&mut self, holder: &StepRef, kept: &BTreeMap<HostName, RoomReservation>) {
        let is_released = |name: &HostName, host: &Host| {
            host.reservation.is_some_and(|reservation| reservation.holder == *holder) && !kept.contains_key(name)
        };
        let released: Vec<_> =
            self.hosts.iter().filter(|(name, host)| is_released(name, host)).map(|(name, _)| name.clone()).collect();
        for name in released {
            if let Some(host) = self.hosts.get_mut(&name) {
                host.reservation = None;
            }
            self.host_changed(&name);
        }
    }

    /// The hosts on which room is reserved, and the steps that it is reserved for. Linear in the number of hosts.
    pub fn reserved_hosts_of_steps(&self) -> BTreeMap<HostName, StepRef> {
        let reserved = self.hosts.iter().filter_map(|(name, host)| Some((name.clone(), host.reservation?.holder)));
        reserved.collect()
    }

    /// The number of hosts on which room is reserved, and the number of steps that hold reservations. Linear in the number of
    /// hosts.
    pub fn reservation_counts(&self) -> (usize, usize) {
        if self.reservations.is_empty() {
            return (0, 0);
        }
        (self.hosts.values().filter(|host| host.reservation.is_some()).count(), self.reservations.len())
    }
}
