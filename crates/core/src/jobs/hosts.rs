//! The leader's view of the hosts and of what is assigned to them.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    image_interference::{ImageInterference, PairTable},
    spec::{StepSpec, TaskRef},
};
use crate::{
    interference::ClassId,
    units::{Resources, TimeMs},
};

/// The name of a host: that of the agent on it.
pub type HostName = String;

/// How many ends of runs are remembered to tell whether a host fails what it runs.
const REMEMBERED_ENDS: u32 = 8;
/// A host with this many failures among the remembered ends is avoided.
const SUSPECT_FAILURES: u32 = 3;
/// How much of the processors committed to tasks that serve users they leave unused on average, in percent. Services are
/// sized for their peaks.
const SERVING_UNUSED_PERCENT: u32 = 50;
/// For how long a host is avoided after a refusal that was not for want of room, in milliseconds.
const REFUSAL_MS: u64 = 1_000;
/// For how long a host that fails runs is avoided before it is tried again, in milliseconds.
const SUSPICION_MS: u64 = 4_000;
/// What a background task may add to the logarithm of a tail latency without being counted, in thousandths.
const NEGLIGIBLE_MILLI: u64 = 10;

plain! {
    /// What an endpoint says of itself.
    #[derive(Default)]
    pub struct HostInfo {
        /// The service that it belongs to.
        pub service: String,
        /// Its availability zone.
        pub availability_zone: String,
        /// Its labels; the rack is one of them.
        pub labels: BTreeSet<String>,
        /// What it has.
        pub capacity: Resources,
        /// Whether it has announced that it is leaving.
        pub draining: bool,
    }
}

/// A run that may exist on a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Placed {
    pub run: u32,
    pub resources: Resources,
    pub background: bool,
    pub serves: bool,
    pub image: Option<ClassId>,
    /// Whether it was stopped to go on elsewhere.
    pub moving: bool,
}

/// How a host is connected to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Link {
    /// A session is open.
    Connected,
    /// The host's tasks are surely gone at this time.
    Silent { lost_at: TimeMs },
    /// The host's tasks are gone.
    Lost,
}

/// One host.
#[derive(Debug, Clone)]
pub(super) struct Host {
    pub link: Link,
    pub incarnation: Option<u64>,
    pub info: Option<HostInfo>,
    /// Whether the leader has compared what the host runs with what is assigned to it.
    pub reconciled: bool,
    pub tasks: BTreeMap<TaskRef, Placed>,
    used: Resources,
    background_cpu_milli: u32,
    /// The processors that background tasks asked for, by image, in thousandths of a core.
    background_images: BTreeMap<ClassId, u32>,
    serving: u32,
    serving_cpu_milli: u32,
    /// What background tasks may add to the logarithm of the latency of each serving image, in thousandths.
    pub headroom_milli: Vec<(ClassId, i32)>,
    /// The background images that are slowed so much that their tasks are better off elsewhere, and since when.
    pub slow_since: BTreeMap<ClassId, TimeMs>,
    /// What the agent was told of pairs of images.
    pub told: PairTable,
    /// The latest ends, one bit each; 1 is a failure.
    ends: u32,
    avoid_until: TimeMs,
}

impl Host {
    pub fn new(link: Link) -> Self {
        Self {
            link,
            incarnation: None,
            info: None,
            reconciled: false,
            tasks: BTreeMap::new(),
            used: Resources::ZERO,
            background_cpu_milli: 0,
            background_images: BTreeMap::new(),
            serving: 0,
            serving_cpu_milli: 0,
            headroom_milli: Vec::new(),
            slow_since: BTreeMap::new(),
            told: PairTable::new(),
            ends: 0,
            avoid_until: TimeMs::default(),
        }
    }

    /// Commits resources to a run of a step with this image.
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
            self.serving_cpu_milli += step.resources.cpu_milli;
        }
        self.used = self.used.plus(&resources);
        let placed =
            Placed { run, resources: step.resources, background: step.background, serves, image, moving: false };
        if let Some(earlier) = self.tasks.insert(task, placed) {
            self.release(&earlier);
        }
    }

    /// Frees the resources of a run that is gone.
    pub fn remove(&mut self, task: &TaskRef) -> Option<Placed> {
        let placed = self.tasks.remove(task)?;
        self.release(&placed);
        Some(placed)
    }

    fn release(&mut self, placed: &Placed) {
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
            self.serving_cpu_milli -= placed.resources.cpu_milli;
        }
        self.used = self.used.minus(&resources);
    }

    /// Remembers how a run ended.
    pub fn ended(&mut self, failed: bool, now: TimeMs) {
        let mask = (1 << REMEMBERED_ENDS) - 1;
        self.ends = (self.ends << 1 | u32::from(failed)) & mask;
        if failed && self.ends.count_ones() >= SUSPECT_FAILURES {
            // One failure is kept, so that a host which still fails is avoided again soon.
            self.ends = 1;
            self.avoid_until = now.plus_ms(SUSPICION_MS);
        }
    }

    /// The host refused a start for another reason than room.
    pub fn refused(&mut self, now: TimeMs) {
        self.avoid_until = self.avoid_until.max(now.plus_ms(REFUSAL_MS));
    }

    /// How many tasks of a step of one occurrence are assigned to the host.
    pub fn tasks_of(&self, task: &TaskRef) -> usize {
        let first = TaskRef { index: 0, ..*task };
        let last = TaskRef { index: u32::MAX, ..*task };
        self.tasks.range(first..=last).count()
    }

    /// Whether a task of `step` can be started here. The processors of background tasks are not looked at; see
    /// [`Self::background_speed_percent`].
    pub fn can_take(&self, task: &TaskRef, step: &StepSpec, service: &str, zones_out: &BTreeSet<String>) -> bool {
        let Some(info) = &self.info else { return false };
        if self.link != Link::Connected || !self.reconciled || info.draining || info.service != service {
            return false;
        }
        if zones_out.contains(&info.availability_zone) {
            return false;
        }
        if step.label.as_ref().is_some_and(|label| !info.labels.contains(label)) {
            return false;
        }
        if step.per_host.is_some_and(|most| self.tasks_of(task) >= most as usize) {
            return false;
        }
        let mut needed = step.resources;
        if step.background {
            needed.cpu_milli = 0;
        }
        needed.fits_in(&info.capacity.minus(&self.used))
    }

    /// Processors for more background tasks, in thousandths of a core: what the other tasks probably leave.
    fn background_room(&self, total_milli: u32) -> u32 {
        let unused = self.serving_cpu_milli * SERVING_UNUSED_PERCENT / 100;
        let left = total_milli.saturating_sub(self.used.cpu_milli) + unused;
        left.saturating_sub(self.background_cpu_milli)
    }

    /// The speed at which one more background task of `step` would probably run here, in percent: as far as there are
    /// processors, and as far as the serving tasks beside it bear it. Linear in the pairs of images on the host.
    pub fn background_speed_percent(
        &self,
        step: &StepSpec,
        image: Option<ClassId>,
        disturbances: &ImageInterference,
    ) -> u32 {
        let Some(info) = &self.info else { return 0 };
        let total = u64::from(info.capacity.cpu_milli.max(1));
        let wanted = u64::from(step.resources.cpu_milli.max(1));
        let mut speed = (u64::from(self.background_room(info.capacity.cpu_milli)) * 100 / wanted).min(100);
        let Some(image) = image else { return speed as u32 };
        for &(serving, headroom_milli) in &self.headroom_milli {
            let growth = |image: ClassId, cpu_milli: u64| {
                u64::from(disturbances.growth_milli(image, serving)) * cpu_milli / total
            };
            let added_milli = growth(image, wanted);
            if added_milli < NEGLIGIBLE_MILLI {
                continue;
            }
            let present: u64 =
                self.background_images.iter().map(|(image, cpu_milli)| growth(*image, u64::from(*cpu_milli))).sum();
            let left_milli = (i64::from(headroom_milli) - present as i64).max(0) as u64;
            speed = speed.min(left_milli * 100 / added_milli);
        }
        speed as u32
    }

    /// The images of background tasks and of serving tasks on the host.
    pub fn images(&self) -> (impl Iterator<Item = ClassId> + Clone, impl Iterator<Item = ClassId>) {
        (self.background_images.keys().copied(), self.headroom_milli.iter().map(|(serving, _)| *serving))
    }

    /// What is committed to tasks with processors of their own.
    pub fn used(&self) -> Resources {
        self.used
    }

    /// Whether processors that are not committed are left for one more background task, at whatever speed the host runs
    /// these now.
    pub fn has_uncommitted(&self, step: &StepSpec) -> bool {
        let wanted = self.background_cpu_milli + step.resources.cpu_milli;
        self.info.as_ref().is_some_and(|info| info.capacity.cpu_milli.saturating_sub(self.used.cpu_milli) >= wanted)
    }

    /// How good a place this is for a task of `step`; higher is better.
    ///
    /// Background tasks disturb tasks that serve users, and are paced down beside them. Serving tasks are therefore packed
    /// onto few hosts, which leaves the others to background tasks; all other tasks go rather to the hosts that serve.
    pub fn score(&self, step: &StepSpec, background_speed_percent: u32, now: TimeMs) -> i64 {
        let Some(info) = &self.info else { return i64::MIN };
        let total = i64::from(info.capacity.cpu_milli.max(1));
        let serves = step.tail_target_ms.is_some();
        let mut score = if step.background {
            i64::from(background_speed_percent) * 10
                + i64::from(self.background_room(info.capacity.cpu_milli)) * 1_000 / total
        } else {
            let demand = i64::from(self.used.cpu_milli) + i64::from(self.background_cpu_milli);
            1_000 - (demand + i64::from(step.resources.cpu_milli)) * 1_000 / total
        };
        match (self.serving > 0, step.background, serves) {
            (true, true, _) => score -= 300,
            (true, false, true) => score += 1_000,
            (true, false, false) => score += 300,
            (false, ..) => {}
        }
        if serves {
            score -= 2 * i64::from(self.background_cpu_milli) * 1_000 / total;
        }
        if step.rack.as_ref().is_some_and(|rack| info.labels.contains(rack)) {
            score += 500;
        }
        if now < self.avoid_until {
            score -= 10_000;
        }
        score
    }
}
