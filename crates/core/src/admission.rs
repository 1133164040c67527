/*!
Admission control of an entry: which requests it accepts, which wait, and which it rejects early as *not run*.

The number of requests at the entry is limited per profile and per kind, so that a flood of one cannot starve another.
Each service has an adaptive limit of requests in flight to its endpoints, and a bounded queue in front of it, ordered by
deadline. A request that could not be answered in time is refused at once, with an estimate of when to retry, so that
the endpoints only work on requests that can still be answered.

```
use fescuelead_core::{
    admission::{Admission, AdmissionSettings, Completion, LaneSettings, Offer},
    balance::TimeUs,
    ids::{ProfileName, ServiceName},
    profile::Kind,
};

let mut admission = Admission::new(AdmissionSettings::default());
let profile = ProfileName::new("store-preview")?;
let lane = admission.set_lane(&ServiceName::new("previews")?, &LaneSettings::new(profile, Kind::LatencyCritical));
admission.set_slots(lane, 80);
let Ok(Offer::Run(permit)) = admission.offer(lane, TimeUs(2_000_000), TimeUs(0)) else { panic!("the entry is idle") };
admission.finish(permit, Completion::Answered { took_us: 20_000 }, TimeUs(20_000));
assert!(admission.next(lane, TimeUs(20_000)).is_none(), "nothing waits");
# Ok::<(), fescuelead_core::ids::IdError>(())
```
*/

mod lane;
mod limit;

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

use self::lane::{Lane, Waiting};
use crate::{
    balance::{
        TimeUs,
        permit::{Guard, InFlight},
    },
    ids::{ProfileName, ServiceName},
    profile::{Kind, Profile},
};

/// The maximum pause of a queue after no endpoint had room, in microseconds.
const MAX_PAUSE_US: u64 = 2_000;

new_key_type! {
    /// Key of a service in an [`Admission`].
    pub struct LaneKey;
}

/// Limits of one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// The maximum number of requests of latency-critical profiles at the entry, running and waiting.
    pub latency_critical: u32,
    /// The same for batch profiles.
    pub batch: u32,
    /// The same for long-running profiles.
    pub long_running: u32,
    /// The maximum number of waiting requests of one service.
    pub max_waiting: usize,
    /// The share of its spare time that a request may spend waiting, in percent. The spare time is the time until its
    /// deadline minus the upper bound of the time of an answer.
    pub wait_percent: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { latency_critical: 8_192, batch: 2_048, long_running: 2_048, max_waiting: 1_024, wait_percent: 25 }
    }
}

impl AdmissionSettings {
    /// Sets the share of its spare time that a request may spend waiting, in percent.
    pub fn with_wait_percent(self, wait_percent: u32) -> Self {
        Self { wait_percent, ..self }
    }

    /// Sets the limits of the three kinds, in requests.
    pub fn with_kinds(self, latency_critical: u32, batch: u32, long_running: u32) -> Self {
        Self { latency_critical, batch, long_running, ..self }
    }

    fn limit_for(&self, kind: Kind) -> u32 {
        match kind {
            Kind::LatencyCritical => self.latency_critical,
            Kind::Batch => self.batch,
            Kind::LongRunning => self.long_running,
        }
    }
}

/// The settings of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LaneSettings {
    /// The profile of the service. Services with the same profile share its limit.
    pub profile: ProfileName,
    /// The kind of the profile. Services of the same kind share its limit.
    pub kind: Kind,
    /// The maximum number of requests of the profile at the entry, running and waiting.
    pub max_in_flight: u32,
}

impl LaneSettings {
    /// Creates the settings of a service with the default limit of 1,024 requests.
    pub fn new(profile: ProfileName, kind: Kind) -> Self {
        Self { profile, kind, max_in_flight: 1_024 }
    }

    /// Creates the settings of a service from its profile.
    pub fn of(name: ProfileName, profile: &Profile) -> Self {
        Self { profile: name, kind: profile.kind, max_in_flight: profile.max_in_flight }
    }

    /// Sets the maximum number of requests of the profile at the entry.
    pub fn with_max_in_flight(self, max_in_flight: u32) -> Self {
        Self { max_in_flight, ..self }
    }
}

/// Identifies a waiting request. Keys are ordered by deadline, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitKey {
    deadline: TimeUs,
    sequence: u64,
}

/// Counts a request against the limits of its kind and profile from its arrival to its end.
#[derive(Debug)]
struct Presence {
    _kind: Guard,
    _profile: Guard,
}

/// Permission to send a request to an endpoint. Dropping it releases its place in all limits; passing it to
/// [`Admission::finish`] also adapts the limit of the service.
#[derive(Debug)]
#[must_use = "a permit holds a place until it is finished or dropped"]
pub struct AdmissionPermit {
    lane: LaneKey,
    presence: Presence,
    _running: Guard,
    /// How many times to halve the latency estimate if the request is answered. Above zero only for a request that
    /// probes a service with an outdated estimate.
    probe_halvings: u32,
}

impl AdmissionPermit {
    /// The service that the request was admitted to.
    pub fn lane(&self) -> LaneKey {
        self.lane
    }
}

/// The decision on a request that was not refused.
#[derive(Debug)]
pub enum Offer {
    /// Send the request now.
    Run(AdmissionPermit),
    /// Keep the request until [`Admission::next`] returns the key.
    Wait(WaitKey),
}

/// The decision on a request that waited.
#[derive(Debug)]
pub enum Next {
    /// Send the request now.
    Run(WaitKey, AdmissionPermit),
    /// Refuse the request as *not run*.
    Refuse(WaitKey, Refusal),
}

/// How a request that was sent ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The request was answered.
    Answered {
        /// The time from admission to the answer, in microseconds.
        took_us: u64,
    },
    /// The request was not answered, for whatever reason.
    Failed,
}

/// A refusal of a request, which did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// The value for `Retry-After` in milliseconds, at least 1. Callers that are refused together get different values,
    /// so that they do not return together.
    pub retry_after_ms: u64,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Reason {
    /// No profile names the service.
    #[error("the service has no profile; publish one that names it")]
    UnknownService,
    /// The limit of the kind is reached.
    #[error("the entry has as many requests of this kind as it takes; send the request later")]
    KindLimit,
    /// The limit of the profile is reached.
    #[error("the entry has as many requests of this profile as `max_in_flight` allows; send the request later")]
    ProfileLimit,
    /// The queue of the service is full.
    #[error("the queue of the service is full; send the request later")]
    QueueFull,
    /// The answer could not arrive before the deadline.
    #[error("the answer could not come before the deadline; give the request more time or send it later")]
    TooLate,
}

#[derive(Debug, Default)]
struct ProfileState {
    in_flight: InFlight,
    limit: u32,
}

/// Admission control of one entry. Calls take constant time except for a binary search in the queue and an insertion.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    kinds: [InFlight; 3],
    profiles: HashMap<ProfileName, ProfileState>,
    lanes: SlotMap<LaneKey, Lane>,
    names: HashMap<ServiceName, LaneKey>,
    sequence: u64,
    refusals: u64,
}

impl Admission {
    /// Creates the state of an entry without services.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            kinds: Default::default(),
            profiles: HashMap::new(),
            lanes: SlotMap::with_key(),
            names: HashMap::new(),
            sequence: 0,
            refusals: 0,
        }
    }

    /// Adds a service or changes its profile. Requests already at the entry keep their places.
    pub fn set_lane(&mut self, service: &ServiceName, settings: &LaneSettings) -> LaneKey {
        let profile = self.profiles.entry(settings.profile.clone()).or_default();
        profile.limit = settings.max_in_flight;
        let in_flight = profile.in_flight.clone();
        if let Some(key) = self.names.get(service).copied()
            && let Some(lane) = self.lanes.get_mut(key)
        {
            lane.set_profile(settings.kind, in_flight, settings.max_in_flight);
            return key;
        }
        let key = self.lanes.insert(Lane::new(settings.kind, in_flight, settings.max_in_flight));
        self.names.insert(service.clone(), key);
        key
    }

    /// The key of a service; `None` if it has no settings.
    pub fn lane(&self, service: &ServiceName) -> Option<LaneKey> {
        self.names.get(service).copied()
    }

    /// Removes a service and returns its waiting requests, which the caller has to refuse as *not run*.
    pub fn remove_lane(&mut self, service: &ServiceName) -> Vec<WaitKey> {
        let lane = self.names.remove(service).and_then(|key| self.lanes.remove(key));
        lane.map_or_else(Vec::new, Lane::into_waiting)
    }

    /// Sets how many requests the active endpoints of a service accept at one time, counting both slots and waiting
    /// requests. The adaptive limit never exceeds it.
    pub fn set_slots(&mut self, lane: LaneKey, slots: u32) {
        if let Some(lane) = self.lanes.get_mut(lane) {
            lane.limit.set_max(slots);
        }
    }

    /// The adaptive limit of a service in requests; zero if it is unknown.
    pub fn limit(&self, lane: LaneKey) -> u32 {
        self.lanes.get(lane).map_or(0, |lane| lane.limit.get())
    }

    /// The numbers of running and of waiting requests of a service; zeros if it is unknown.
    pub fn load(&self, lane: LaneKey) -> (u32, usize) {
        self.lanes.get(lane).map_or((0, 0), |lane| (lane.running.get(), lane.waiting.len()))
    }

    /// Admits a request, queues it, or refuses it. A service that has been idle for long is probed with a request that
    /// its outdated latency estimate would refuse.
    ///
    /// # Errors
    ///
    /// Returns a refusal if a limit is reached or the answer could not arrive by `deadline`. The request did not run.
    pub fn offer(&mut self, key: LaneKey, deadline: TimeUs, now: TimeUs) -> Result<Offer, Refusal> {
        let reason = match self.check(key, deadline, now) {
            Ok(()) => return Ok(self.take(key, deadline, 0)),
            Err(reason) => reason,
        };
        if reason == Reason::TooLate
            && let Some(halvings) = self.lanes.get_mut(key).and_then(|lane| lane.begin_probe(deadline, now))
        {
            return Ok(self.take(key, deadline, halvings));
        }
        Err(self.refuse(key, reason))
    }

    fn check(&self, key: LaneKey, deadline: TimeUs, now: TimeUs) -> Result<(), Reason> {
        let lane = self.lanes.get(key).ok_or(Reason::UnknownService)?;
        if self.kinds[lane.kind as usize].get() >= self.settings.limit_for(lane.kind) {
            return Err(Reason::KindLimit);
        }
        if lane.profile.get() >= lane.profile_limit {
            return Err(Reason::ProfileLimit);
        }
        let spare_us = deadline.since_us(now).checked_sub(lane.latency_bound_us()).ok_or(Reason::TooLate)?;
        if spare_us == 0 {
            return Err(Reason::TooLate);
        }
        if lane.is_free() {
            return Ok(());
        }
        if lane.waiting.len() >= self.settings.max_waiting {
            return Err(Reason::QueueFull);
        }
        let wait_us = lane.wait_us(deadline);
        if wait_us > spare_us * u64::from(self.settings.wait_percent) / 100 { Err(Reason::TooLate) } else { Ok(()) }
    }

    fn take(&mut self, key: LaneKey, deadline: TimeUs, probe_halvings: u32) -> Offer {
        let lane = &mut self.lanes[key];
        let presence = Presence { _kind: self.kinds[lane.kind as usize].enter(), _profile: lane.profile.enter() };
        if lane.is_free() {
            return Offer::Run(AdmissionPermit { lane: key, presence, _running: lane.running.enter(), probe_halvings });
        }
        self.sequence += 1;
        let wait = WaitKey { deadline, sequence: self.sequence };
        lane.enqueue(Waiting { key: wait, presence });
        Offer::Wait(wait)
    }

    /// Decides on the first waiting request; `None` if it has to keep waiting. To be called until it returns `None`
    /// whenever a request of the service ended, and about every 10 ms while requests wait.
    pub fn next(&mut self, key: LaneKey, now: TimeUs) -> Option<Next> {
        let lane = self.lanes.get_mut(key)?;
        let first = lane.waiting.front()?.key;
        if first.deadline.since_us(now) <= lane.latency_bound_us() {
            lane.waiting.pop_front();
            let refusal = self.refuse(key, Reason::TooLate);
            return Some(Next::Refuse(first, refusal));
        }
        if !lane.has_room() || now < lane.paused_until {
            return None;
        }
        let Waiting { key: wait, presence } = lane.waiting.pop_front()?;
        Some(Next::Run(
            wait,
            AdmissionPermit { lane: key, presence, _running: lane.running.enter(), probe_halvings: 0 },
        ))
    }

    /// Removes a waiting request whose caller has disconnected. Returns whether it was still waiting.
    pub fn withdraw(&mut self, lane: LaneKey, wait: WaitKey) -> bool {
        self.lanes.get_mut(lane).is_some_and(|lane| lane.withdraw(wait))
    }

    /// Ends a request that was sent, and adapts the limit of its service.
    pub fn finish(&mut self, permit: AdmissionPermit, completion: Completion, now: TimeUs) {
        if let Some(lane) = self.lanes.get_mut(permit.lane) {
            lane.finish(completion, permit.probe_halvings, now);
        }
    }

    /// Lowers the limit because an agent refused a request for lack of a free slot, whether or not the request is sent
    /// again.
    pub fn record_slot_refusal(&mut self, lane: LaneKey, now: TimeUs) {
        if let Some(lane) = self.lanes.get_mut(lane) {
            lane.limit.slot_refused(now);
        }
    }

    /// Queues an admitted request again because no endpoint had room for it. The queue then pauses until a request of
    /// the service ends, for at most 2 ms.
    pub fn requeue(&mut self, permit: AdmissionPermit, deadline: TimeUs, now: TimeUs) -> WaitKey {
        self.sequence += 1;
        let wait = WaitKey { deadline, sequence: self.sequence };
        if let Some(lane) = self.lanes.get_mut(permit.lane) {
            lane.paused_until = now.plus_us(MAX_PAUSE_US);
            lane.enqueue(Waiting { key: wait, presence: permit.presence });
        }
        wait
    }

    fn refuse(&mut self, key: LaneKey, reason: Reason) -> Refusal {
        self.refusals = self.refusals.wrapping_add(1);
        let drain_time_us = self.lanes.get(key).map_or(1_000_000, Lane::drain_time_us);
        // Multiples of the golden ratio distribute the times evenly over one to three times the estimate.
        let spread = self.refusals.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 54;
        let retry_after_ms = (drain_time_us + drain_time_us * spread / 512).div_ceil(1_000).max(1);
        Refusal { reason, retry_after_ms }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DEADLINE: TimeUs = TimeUs(400_000);

    fn lane(admission: &mut Admission, name: &str, kind: Kind, max_in_flight: u32) -> LaneKey {
        let profile = ProfileName::new(format!("profile-of-{name}")).expect("valid id");
        let settings = LaneSettings::new(profile, kind).with_max_in_flight(max_in_flight);
        let lane = admission.set_lane(&ServiceName::new(name).expect("valid id"), &settings);
        admission.set_slots(lane, 8);
        lane
    }

    /// Sets the latency estimate of the service to 40 ms.
    fn train(admission: &mut Admission, lane: LaneKey) {
        for _ in 0..200 {
            let Ok(Offer::Run(permit)) = admission.offer(lane, DEADLINE, TimeUs(0)) else {
                panic!("the entry is idle")
            };
            admission.finish(permit, Completion::Answered { took_us: 40_000 }, TimeUs(0));
        }
    }

    /// Guards against a flood of batch requests that takes the places of latency-critical ones.
    #[test]
    fn a_flood_of_one_kind_or_profile_does_not_use_the_limits_of_others() {
        let mut admission = Admission::new(AdmissionSettings::default().with_kinds(100, 50, 50));
        let floods =
            [lane(&mut admission, "masters", Kind::Batch, 40), lane(&mut admission, "statements", Kind::Batch, 1_000)];
        let flood = floods.map(|lane| (0..500).map(|_| admission.offer(lane, DEADLINE, TimeUs(0))).collect::<Vec<_>>());
        let reasons = flood.each_ref().map(|all| all.iter().filter_map(|o| o.as_ref().err()).map(|r| r.reason).next());
        assert_eq!(reasons, [Some(Reason::ProfileLimit), Some(Reason::KindLimit)]);
        let urgent = lane(&mut admission, "previews", Kind::LatencyCritical, 100);
        assert!(matches!(admission.offer(urgent, DEADLINE, TimeUs(0)), Ok(Offer::Run(_))));
        drop(flood);
        assert!(admission.offer(floods[0], DEADLINE, TimeUs(0)).is_ok(), "dropped permits release their places");
    }

    /// Guards against a queue so long that its requests are answered too late, and against callers that all retry at
    /// the same time.
    #[test]
    fn requests_that_could_not_be_answered_in_time_are_refused_early() {
        let mut admission = Admission::new(AdmissionSettings::default());
        let lane = lane(&mut admission, "previews", Kind::LatencyCritical, 10_000);
        train(&mut admission, lane);
        let offers: Vec<_> = (0..200).map(|_| admission.offer(lane, DEADLINE, TimeUs(0))).collect();
        let waiting = offers.iter().filter(|offer| matches!(offer, Ok(Offer::Wait(_)))).count();
        // A quarter of the spare 360 ms at 5 ms per request.
        assert!((14..=18).contains(&waiting), "{waiting}");
        let refusals: Vec<_> = offers.iter().filter_map(|offer| offer.as_ref().err()).collect();
        assert!(refusals.iter().all(|refusal| refusal.reason == Reason::TooLate));
        let distinct: std::collections::HashSet<_> = refusals.iter().map(|refusal| refusal.retry_after_ms).collect();
        assert!(distinct.len() > 50, "{}", distinct.len());
        let short = admission.offer(lane, TimeUs(30_000), TimeUs(0));
        assert!(short.is_err_and(|refusal| refusal.reason == Reason::TooLate), "an answer takes longer than that");
    }

    /// Guards against using a slot for a request that can no longer meet its deadline, before one that can.
    #[test]
    fn the_queue_serves_the_earliest_deadline_that_can_still_be_met() {
        let mut admission = Admission::new(AdmissionSettings::default());
        let lane = lane(&mut admission, "previews", Kind::LatencyCritical, 100);
        train(&mut admission, lane);
        let running: Vec<_> =
            (0..8).map(|_| admission.offer(lane, DEADLINE, TimeUs(0)).expect("a place is free")).collect();
        let mut wait = |due| match admission.offer(lane, TimeUs(due), TimeUs(0)) {
            Ok(Offer::Wait(key)) => key,
            other => panic!("it can wait: {other:?}"),
        };
        let (late, lost, soon) = (wait(400_000), wait(90_000), wait(200_000));
        drop(running);
        assert!(matches!(admission.next(lane, TimeUs(60_000)), Some(Next::Refuse(key, _)) if key == lost));
        assert!(matches!(admission.next(lane, TimeUs(60_000)), Some(Next::Run(key, _)) if key == soon));
        assert!(admission.withdraw(lane, late));
        assert!(admission.next(lane, TimeUs(60_000)).is_none());
    }

    /// Guards against a limit that stays above what the endpoints accept, or that never rises again.
    #[test]
    fn refusals_and_latency_lower_the_limit_and_answers_raise_it() {
        let mut admission = Admission::new(AdmissionSettings::default());
        let lane = lane(&mut admission, "previews", Kind::LatencyCritical, 1_000);
        admission.set_slots(lane, 80);
        train(&mut admission, lane);
        (0..40).for_each(|_| admission.record_slot_refusal(lane, TimeUs(0)));
        assert_eq!(admission.limit(lane), 60);
        let mut answer = |took_us, from: u64| {
            for round in from..from + 400 {
                let now = TimeUs(round * 40_000);
                let due = now.plus_us(10_000_000);
                let offers = (0..80).map_while(|_| admission.offer(lane, due, now).ok()).collect::<Vec<_>>();
                for offer in offers {
                    if let Offer::Run(permit) = offer {
                        admission.finish(permit, Completion::Answered { took_us }, now);
                    }
                }
                while admission.load(lane).1 > 0 {
                    match admission.next(lane, now) {
                        Some(Next::Run(_, permit)) => admission.finish(permit, Completion::Failed, now),
                        _ => break,
                    }
                }
            }
            admission.limit(lane)
        };
        assert_eq!(answer(40_000, 0), 80, "it rises to the slots and no further");
        let crowded = answer(400_000, 400);
        assert!(crowded < 80, "{crowded}");
    }

    /// Guards against lowering the limit of a service that answers within a fraction of a millisecond although its
    /// endpoints have room. Under `load`, answers take three times as long as the fastest ones, and the host pauses
    /// every 50 rounds.
    #[rstest::rstest]
    #[case::all_places_in_use(48, 450, 450)]
    #[case::a_third_of_the_places_in_use(16, 450, 30_000)]
    fn jitter_and_pauses_do_not_lower_the_limit_of_a_fast_service(
        #[case] load: usize,
        #[case] took_us: u64,
        #[case] paused_us: u64,
    ) {
        let mut admission = Admission::new(AdmissionSettings::default());
        let lane = lane(&mut admission, "previews", Kind::LatencyCritical, 1_000);
        admission.set_slots(lane, 48);
        let mut now = TimeUs(0);
        for round in 0..5_000 {
            let (in_flight, took_us) = match round {
                0..100 => (1, 150),
                _ if round % 50 == 0 => (load, paused_us),
                _ => (load, took_us),
            };
            let due = now.plus_us(2_000_000);
            let offers: Vec<_> = (0..in_flight).map(|_| admission.offer(lane, due, now)).collect();
            now = now.plus_us(took_us);
            for offer in offers {
                let Ok(Offer::Run(permit)) = offer else { panic!("round {round}: {offer:?}") };
                admission.finish(permit, Completion::Answered { took_us }, now);
            }
        }
        assert_eq!(admission.limit(lane), 48);
    }
}
