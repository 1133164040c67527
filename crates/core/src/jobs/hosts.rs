//! The leader's view of the hosts: connection, capacity, assigned runs and suitability for further tasks.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    image_interference::PairTable,
    scheduler::{QUIET_MS, RoomReservation, TRIAL_MS},
    spec::{StepSpec, TaskRef},
};
use crate::{
    interference::ClassId,
    units::{Resources, TimeMs},
};

mod suitability;

pub(super) use suitability::BackgroundFit;

/// The name of a host, which is the name of its agent.
pub type HostName = String;

/// Stands for whatever incarnation an endpoint had, in the report of an agent that does not know it. Incarnations are Unix
/// times.
pub const UNKNOWN_INCARNATION: u64 = 0;

/// How many of the latest ends of runs are kept to detect a host on which runs fail.
const END_HISTORY_LEN: u32 = 8;
/// A host with this many failures among the kept ends is avoided.
const SUSPECT_FAILURES: u32 = 3;
/// The average share of the processors committed to serving tasks that they leave idle, in percent. Services are sized
/// for peak load.
const SERVING_UNUSED_PERCENT: u32 = 50;
/// How long a host is avoided after it rejected a run for a reason that concerns the host, in milliseconds.
const REJECTION_BACKOFF_MS: u64 = 1_000;
/// How long a host on which runs fail is avoided before it is tried again, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 4_000;

plain! {
    /// What an endpoint reports about itself and its host.
    #[derive(Default)]
    pub struct HostInfo {
        /// The service that the host belongs to; it runs tasks from the queues of this service only.
        pub service: String,
        /// The availability zone of the host.
        pub availability_zone: String,
        /// The labels that steps can require; the name of its rack is one of them.
        pub labels: BTreeSet<String>,
        /// The total resources of the host.
        pub capacity: Resources,
        /// Whether the endpoint is shutting down and accepts no new runs.
        pub draining: bool,
        /// The minimum time that a draining endpoint has left, in milliseconds from the sending of this message on; `None` if
        /// it has not stated it, and from agents of earlier versions. The receiver keeps a deadline.
        #[serde(deserialize_with = "crate::trailing::or_default")]
        pub remaining_ms: Option<u64>,
    }
}

/// A run that may exist on a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PlacedRun {
    pub run: u32,
    pub resources: Resources,
    pub background: bool,
    pub serves: bool,
    pub image: Option<ClassId>,
    /// Whether the run was asked to stop so that the task can resume on another host.
    pub moving: bool,
    /// When this leader has assigned the run; `None` if an earlier one has.
    pub assigned_at: Option<TimeMs>,
}

/// Room that a host holds for a task whose run on another host was asked to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Hold {
    /// The number of the run that was asked to stop.
    pub run: u32,
    /// The resources that count as committed: without the processors of a background task.
    resources: Resources,
    /// When the hold ends although the run has not.
    pub until: TimeMs,
}

impl Hold {
    /// Holds the room that a task of `step` needs.
    pub fn new(run: u32, step: &StepSpec, until: TimeMs) -> Self {
        let mut resources = step.resources;
        if step.background {
            resources.cpu_milli = 0;
        }
        Self { run, resources, until }
    }
}

/// The state of a host's connection to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Link {
    /// A session is open.
    Connected,
    /// No session is open; all leases of the host have expired at `lost_at`.
    Unreachable { lost_at: TimeMs },
    /// No session is open, and all leases of the host have expired.
    Lost,
}

/// A host and the runs assigned to it.
#[derive(Debug, Clone)]
pub(super) struct Host {
    pub link: Link,
    /// The state before the open session, which applies again if the session tells nothing about the host. `None` without
    /// a session.
    pub link_before: Option<Link>,
    pub incarnation: Option<u64>,
    pub info: Option<HostInfo>,
    /// Whether the runs that the host reported in this session were compared with those assigned to it.
    pub reconciled: bool,
    pub tasks: BTreeMap<TaskRef, PlacedRun>,
    /// Until when the endpoint, which ends as planned, continues at least; `None` if it has not stated it.
    pub ends_at: Option<TimeMs>,
    /// The tasks that the host holds room for. Disjoint from [`Self::tasks`].
    held: BTreeMap<TaskRef, Hold>,
    used: Resources,
    background_cpu_milli: u32,
    /// The processors requested by background tasks, by image, in thousandths of a core.
    background_images: BTreeMap<ClassId, u32>,
    serving: u32,
    /// The number of serving tasks, by image.
    serving_images: BTreeMap<ClassId, u32>,
    serving_cpu_milli: u32,
    /// By how much background tasks may raise the logarithm of the tail latency of each serving image, in thousandths.
    pub headroom_milli: Vec<(ClassId, i32)>,
    /// The background images that are throttled so far that their tasks should move to another host, and since when.
    pub throttled_since: BTreeMap<ClassId, TimeMs>,
    /// The pairs of images sent to the agent in this session.
    pub sent_pairs: PairTable,
    /// The outcomes of the latest runs, one bit each with the latest lowest; 1 is a failure.
    ends: u32,
    avoid_until: TimeMs,
    /// Until when the host starts nothing else because a run on trial was assigned to it.
    pub trial_until: Option<TimeMs>,
    /// The task on trial that the host is set aside for: nothing else starts there. Stands for its whole gang if it is a
    /// member of one. Not stored; a new leader sets hosts aside anew.
    pub reserved_for: Option<TaskRef>,
    /// Room for a waiting step that others have passed over. Not stored; a new leader reserves room anew.
    pub reservation: Option<RoomReservation>,
    /// When a run was last assigned to the host, or when the leader took over with runs on it.
    assigned_at: Option<TimeMs>,
}

impl Host {
    pub fn new(link: Link) -> Self {
        Self {
            link,
            link_before: None,
            incarnation: None,
            info: None,
            reconciled: false,
            tasks: BTreeMap::new(),
            ends_at: None,
            held: BTreeMap::new(),
            used: Resources::ZERO,
            background_cpu_milli: 0,
            background_images: BTreeMap::new(),
            serving: 0,
            serving_images: BTreeMap::new(),
            serving_cpu_milli: 0,
            headroom_milli: Vec::new(),
            throttled_since: BTreeMap::new(),
            sent_pairs: PairTable::new(),
            ends: 0,
            avoid_until: TimeMs::default(),
            trial_until: None,
            reserved_for: None,
            reservation: None,
            assigned_at: None,
        }
    }

    /// Commits resources to a run of a task of `step`.
    pub fn add(&mut self, task: TaskRef, run: u32, step: &StepSpec, image: Option<ClassId>) {
        let mut resources = step.resources;
        if step.background {
            self.background_cpu_milli += resources.cpu_milli;
            if let Some(image) = image {
                *self.background_images.entry(image).or_default() += resources.cpu_milli;
            }
            resources.cpu_milli = 0;
        }
        let serves = step.tail_target_ms.is_some();
        if serves {
            self.serving += 1;
            if let Some(image) = image {
                *self.serving_images.entry(image).or_default() += 1;
            }
            self.serving_cpu_milli += step.resources.cpu_milli;
        }
        self.used = self.used.plus(&resources);
        let placed = PlacedRun {
            run,
            resources: step.resources,
            background: step.background,
            serves,
            image,
            moving: false,
            assigned_at: None,
        };
        if let Some(earlier) = self.tasks.insert(task, placed) {
            self.release(&earlier);
        }
    }

    /// Releases the resources of a run that no longer exists.
    pub fn remove(&mut self, task: &TaskRef) -> Option<PlacedRun> {
        let placed = self.tasks.remove(task)?;
        self.release(&placed);
        Some(placed)
    }

    fn release(&mut self, placed: &PlacedRun) {
        let mut resources = placed.resources;
        if placed.background {
            self.background_cpu_milli -= resources.cpu_milli;
            if let Some(image) = placed.image
                && let Some(cpu_milli) = self.background_images.get_mut(&image)
            {
                *cpu_milli -= resources.cpu_milli;
                if *cpu_milli == 0 {
                    self.background_images.remove(&image);
                }
            }
            resources.cpu_milli = 0;
        }
        if placed.serves {
            self.serving -= 1;
            if let Some(image) = placed.image
                && let Some(count) = self.serving_images.get_mut(&image)
            {
                *count -= 1;
                if *count == 0 {
                    self.serving_images.remove(&image);
                }
            }
            self.serving_cpu_milli -= placed.resources.cpu_milli;
        }
        self.used = self.used.minus(&resources);
    }

    /// Holds room for a task that is stopped on another host.
    pub fn hold(&mut self, task: TaskRef, hold: Hold) {
        self.held.insert(task, hold);
    }

    /// Ends the hold for a task, if there is one.
    pub fn release_hold(&mut self, task: &TaskRef) {
        self.held.remove(task);
    }

    /// Whether the host holds room for any task.
    pub fn has_holds(&self) -> bool {
        !self.held.is_empty()
    }

    /// The tasks that the host holds room for.
    pub fn holds(&self) -> impl Iterator<Item = (&TaskRef, &Hold)> {
        self.held.iter()
    }

    /// The number of holds for other tasks in the same step and occurrence as `task`, and for all others.
    pub fn count_holds(&self, task: &TaskRef) -> (usize, usize) {
        let same_step = self.held.range(task.starting_together(true)).filter(|(held, _)| *held != task).count();
        let own = usize::from(self.held.contains_key(task));
        (same_step, self.held.len() - same_step - own)
    }

    /// The resources held for other tasks than `task`.
    fn held_for_others(&self, task: &TaskRef) -> Resources {
        let others = self.held.iter().filter(|(held, _)| *held != task);
        others.fold(Resources::ZERO, |sum, (_, hold)| sum.plus(&hold.resources))
    }

    /// Records whether a run failed, and avoids the host after several failures.
    pub fn record_end(&mut self, failed: bool, now: TimeMs) {
        let mask = (1 << END_HISTORY_LEN) - 1;
        self.ends = (self.ends << 1 | u32::from(failed)) & mask;
        if failed && self.ends.count_ones() >= SUSPECT_FAILURES {
            // One failure is kept, so that a host on which runs still fail is avoided again soon.
            self.ends = 1;
            self.avoid_until = now.plus_ms(FAILURE_BACKOFF_MS);
        }
    }

    /// Records that the host rejected a run for a reason that concerns the host.
    pub fn record_rejection(&mut self, now: TimeMs) {
        self.avoid_until = self.avoid_until.max(now.plus_ms(REJECTION_BACKOFF_MS));
    }

    /// Records that a run was assigned to the host now. A run on trial closes the host to others.
    pub fn record_assignment(&mut self, on_trial: bool, now: TimeMs) {
        self.assigned_at = Some(now);
        if on_trial {
            self.trial_until = Some(now.plus_ms(TRIAL_MS));
        }
    }

    /// Whether no run was assigned to the host lately, so that a run on trial will be the last to start.
    pub fn is_quiet(&self, now: TimeMs) -> bool {
        self.assigned_at.is_none_or(|at| now.since_ms(at) >= QUIET_MS)
    }

    /// Whether a run on trial was assigned to the host so lately that nothing else may start there.
    pub fn has_trial(&self, now: TimeMs) -> bool {
        self.trial_until.is_some_and(|until| now < until)
    }

    /// Whether a trial closes the host to other tasks: one that has just begun, or one that the host is set aside for.
    pub fn is_closed(&self, now: TimeMs) -> bool {
        self.reserved_for.is_some() || self.has_trial(now)
    }

    /// The number of runs on this host of tasks in the same step and occurrence as `task`.
    pub fn count_step_tasks(&self, task: &TaskRef) -> usize {
        let first = TaskRef { index: 0, ..*task };
        let last = TaskRef { index: u32::MAX, ..*task };
        self.tasks.range(first..=last).count()
    }

    /// Whether more is committed than the host has, because its capacity has shrunk.
    pub fn is_overcommitted(&self) -> bool {
        self.info.as_ref().is_some_and(|info| !self.used.fits_in(&info.capacity))
    }

    /// Whether runs that were assigned to the host may still start there. `true` if its endpoint has not announced itself:
    /// its agent then holds starts back.
    pub fn takes_starts(&self, zones_out: &BTreeSet<String>) -> bool {
        let is_closed = |info: &HostInfo| info.draining || zones_out.contains(&info.availability_zone);
        !self.is_overcommitted() && !self.info.as_ref().is_some_and(is_closed)
    }

    /// Whether this host is eligible for a task of `step`. Ignores the processors that background tasks request; see
    /// [`Self::background_fit`].
    pub fn can_run(&self, task: &TaskRef, step: &StepSpec, service: &str, zones_out: &BTreeSet<String>) -> bool {
        let Some(info) = &self.info else { return false };
        if self.link != Link::Connected || !self.reconciled || info.draining || info.service != service {
            return false;
        }
        if zones_out.contains(&info.availability_zone) {
            return false;
        }
        // Also for a task that needs nothing of the resource that is short: no start may leave a host over its capacity.
        if self.is_overcommitted() {
            return false;
        }
        if step.label.as_ref().is_some_and(|label| !info.labels.contains(label)) {
            return false;
        }
        let of_step = || self.count_step_tasks(task) + self.count_holds(task).0;
        if step.per_host.is_some_and(|limit| of_step() >= limit as usize) {
            return false;
        }
        let mut needed = step.resources;
        if step.background {
            needed.cpu_milli = 0;
        }
        needed.fits_in(&info.capacity.minus(&self.used.plus(&self.held_for_others(task))))
    }

    /// The processors expected to be free for further background tasks, in thousandths of a core.
    fn free_background_cpu_milli(&self, total_milli: u32) -> u32 {
        let unused = self.serving_cpu_milli * SERVING_UNUSED_PERCENT / 100;
        let left = total_milli.saturating_sub(self.used.cpu_milli) + unused;
        left.saturating_sub(self.background_cpu_milli)
    }

    /// The images of background tasks and of serving tasks on the host.
    pub fn images(&self) -> (impl Iterator<Item = ClassId> + Clone, impl Iterator<Item = ClassId>) {
        (self.background_images.keys().copied(), self.headroom_milli.iter().map(|(serving, _)| *serving))
    }

    /// The committed resources, without the processors of background tasks.
    pub fn used(&self) -> Resources {
        self.used
    }

    /// Whether the uncommitted processors cover the requests of all background tasks on the host and of one more,
    /// regardless of how far the host throttles them.
    pub fn has_uncommitted_cpu(&self, step: &StepSpec) -> bool {
        let requested = self.background_cpu_milli + step.resources.cpu_milli;
        self.info.as_ref().is_some_and(|info| info.capacity.cpu_milli.saturating_sub(self.used.cpu_milli) >= requested)
    }
}
