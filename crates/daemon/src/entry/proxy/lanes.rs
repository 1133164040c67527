//! Admission and retry budgets of the services, as the request path uses them.

use std::{collections::HashMap, sync::Arc};

use fescuelead_core::{
    admission::{
        Admission, AdmissionPermit, AdmissionSettings, Completion, LaneKey, LaneSettings, Next, Offer, Refusal, WaitKey,
    },
    balance::TimeUs,
    ids::ServiceName,
    profile::Profile,
    retry::{Decision, FailedRequest, Retrier, RetrySettings},
};
use parking_lot::Mutex;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{sync::oneshot, time::Instant};

use crate::entry::shared::{ConfigView, Shared};

/// A little longer than the pause that admission makes after no endpoint had room.
const QUEUE_PAUSE: std::time::Duration = std::time::Duration::from_micros(2_500);

struct State {
    version: u64,
    admission: Admission,
    waiting: HashMap<WaitKey, oneshot::Sender<Result<AdmissionPermit, Refusal>>>,
    retriers: HashMap<ServiceName, Retrier>,
    rng: SmallRng,
}

/// The lanes of all services.
pub struct Lanes {
    state: Mutex<State>,
    shared: Arc<Shared>,
}

/// The right to send one request; ends through [`finish`](Self::finish) or by being dropped.
pub struct Lane {
    lanes: Arc<Lanes>,
    key: LaneKey,
    service: ServiceName,
    pass: Option<AdmissionPermit>,
}

impl Lanes {
    /// Lanes without services; they follow the configuration in `shared`.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        let state = State {
            version: 0,
            admission: Admission::new(AdmissionSettings::default()),
            waiting: HashMap::new(),
            retriers: HashMap::new(),
            rng: SmallRng::seed_from_u64(shared.me.incarnation),
        };
        Arc::new(Self { state: Mutex::new(state), shared })
    }

    /// Waits for the right to send a request.
    ///
    /// # Errors
    ///
    /// Fails if a limit is reached or the answer could not come in time. The request did not run.
    pub async fn enter(
        self: &Arc<Self>,
        config: &ConfigView,
        service: &ServiceName,
        deadline: TimeUs,
        deadline_at: Instant,
    ) -> Result<Lane, Refusal> {
        let (key, offer) = {
            let mut state = self.state.lock();
            self.refresh(&mut state, config);
            let key = state.admission.lane(service).unwrap_or_default();
            match state.admission.offer(key, deadline, self.shared.now_us())? {
                Offer::Run(pass) => (key, Ok(pass)),
                Offer::Wait(wait) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert(wait, sender);
                    (key, Err((wait, receiver)))
                }
            }
        };
        let pass = match offer {
            Ok(pass) => pass,
            Err((wait, receiver)) => self.wait(key, wait, receiver, deadline_at).await?,
        };
        Ok(Lane { lanes: Arc::clone(self), key, service: service.clone(), pass: Some(pass) })
    }

    async fn wait(
        self: &Arc<Self>,
        key: LaneKey,
        wait: WaitKey,
        mut receiver: oneshot::Receiver<Result<AdmissionPermit, Refusal>>,
        deadline_at: Instant,
    ) -> Result<AdmissionPermit, Refusal> {
        if let Ok(Ok(answer)) = tokio::time::timeout_at(deadline_at, &mut receiver).await {
            return answer;
        }
        {
            let mut state = self.state.lock();
            state.admission.withdraw(key, wait);
            state.waiting.remove(&wait);
        }
        match receiver.try_recv() {
            Ok(answer) => answer,
            Err(_) => Err(Refusal { reason: fescuelead_core::admission::Reason::TooLate, retry_after_ms: 1 }),
        }
    }

    /// Gives every queue its turn.
    pub fn pump_all(&self) {
        self.lane_keys().into_iter().for_each(|(_, key)| self.pump(key));
    }

    /// Tells admission how much the active endpoints of each service take at one time. A service whose endpoints are not
    /// known yet is left alone.
    pub fn take_slots(&self) {
        for (service, key) in self.lane_keys() {
            let slots = {
                let endpoints = self.shared.endpoints();
                endpoints.balancer.service(&service).map(|service| endpoints.balancer.active_slots(service))
            };
            if let Some(slots) = slots.filter(|slots| *slots > 0) {
                // The agents let half as many again wait beside those that run.
                self.state.lock().admission.set_slots(key, slots + slots / 2);
            }
        }
    }

    fn lane_keys(&self) -> Vec<(ServiceName, LaneKey)> {
        let state = self.state.lock();
        state.retriers.keys().filter_map(|service| Some((service.clone(), state.admission.lane(service)?))).collect()
    }

    fn pump(&self, key: LaneKey) {
        loop {
            let mut state = self.state.lock();
            let Some(next) = state.admission.next(key, self.shared.now_us()) else { return };
            let (wait, answer) = match next {
                Next::Run(wait, pass) => (wait, Ok(pass)),
                Next::Refuse(wait, refusal) => (wait, Err(refusal)),
            };
            let waiting = state.waiting.remove(&wait);
            drop(state);
            // If the receiver is gone, the pass is dropped here and the next one gets the place.
            drop(waiting.map(|sender| sender.send(answer)));
        }
    }

    fn refresh(&self, state: &mut State, config: &ConfigView) {
        if state.version == config.version {
            return;
        }
        state.version = config.version;
        for (service, picked) in &config.set.services {
            if let Some(profile) = config.set.profiles.get(&picked.profile) {
                let lane = LaneSettings::of(picked.profile.clone(), profile);
                let key = state.admission.set_lane(service, &lane);
                state.admission.set_slots(key, u32::MAX);
                set_retrier(&mut state.retriers, service, profile);
            }
        }
        let gone: Vec<_> =
            state.retriers.keys().filter(|service| !config.set.services.contains_key(*service)).cloned().collect();
        for service in gone {
            state.retriers.remove(&service);
            for wait in state.admission.remove_lane(&service) {
                state.waiting.remove(&wait);
            }
        }
    }
}

fn set_retrier(retriers: &mut HashMap<ServiceName, Retrier>, service: &ServiceName, profile: &Profile) {
    let settings = RetrySettings::from(profile);
    match retriers.get_mut(service) {
        Some(retrier) => retrier.set_settings(settings),
        None => {
            retriers.insert(service.clone(), Retrier::new(settings));
        }
    }
}

impl Lane {
    /// Counts a request that is sent for the first time.
    pub fn first_send(&self) {
        self.with_retrier(|retrier, _, now| retrier.request(now));
    }

    /// Decides what to do with a failed request.
    pub fn decide(&self, failed: &FailedRequest) -> Option<Decision> {
        self.with_retrier(|retrier, rng, now| retrier.decide(failed, now, rng))
    }

    /// How long to wait before a request is hedged.
    pub fn hedge_after_us(&self) -> Option<u64> {
        self.with_retrier(|retrier, _, _| retrier.hedge_after_us()).flatten()
    }

    /// Whether no other request of the service waits.
    pub fn is_queue_empty(&self) -> bool {
        self.lanes.state.lock().admission.load(self.key).1 == 0
    }

    /// Takes one hedge from the budget.
    pub fn take_hedge(&self, deadline: TimeUs) -> bool {
        self.with_retrier(|retrier, _, now| retrier.take_hedge(deadline, now)).unwrap_or(false)
    }

    /// Lowers the limit because an agent refused the request for want of a slot.
    pub fn note_full(&self) {
        self.lanes.state.lock().admission.record_slot_refusal(self.key, self.lanes.shared.now_us());
    }

    /// Goes back into the queue because no endpoint had room, and waits for another turn.
    ///
    /// # Errors
    ///
    /// Fails if the deadline comes first. The request did not run.
    pub async fn wait_again(&mut self, deadline: TimeUs, deadline_at: Instant) -> Result<(), Refusal> {
        let Some(pass) = self.pass.take() else { return Ok(()) };
        let (wait, receiver) = {
            let mut state = self.lanes.state.lock();
            let wait = state.admission.requeue(pass, deadline, self.lanes.shared.now_us());
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(wait, sender);
            (wait, receiver)
        };
        // The queue pauses; if no request ends meanwhile, nothing else would look at it again.
        let (lanes, key) = (Arc::clone(&self.lanes), self.key);
        tokio::spawn(async move {
            tokio::time::sleep(QUEUE_PAUSE).await;
            lanes.pump(key);
        });
        self.pass = Some(self.lanes.wait(self.key, wait, receiver, deadline_at).await?);
        Ok(())
    }

    /// Ends the request.
    pub fn finish(mut self, ended: Completion) {
        if let Some(pass) = self.pass.take() {
            let now = self.lanes.shared.now_us();
            let mut state = self.lanes.state.lock();
            state.admission.finish(pass, ended, now);
            if let (Completion::Answered { took_us }, Some(retrier)) = (ended, state.retriers.get_mut(&self.service)) {
                retrier.answered(took_us);
            }
        }
    }

    fn with_retrier<T>(&self, run: impl FnOnce(&mut Retrier, &mut SmallRng, TimeUs) -> T) -> Option<T> {
        let now = self.lanes.shared.now_us();
        let mut state = self.lanes.state.lock();
        let State { retriers, rng, .. } = &mut *state;
        retriers.get_mut(&self.service).map(|retrier| run(retrier, rng, now))
    }
}

impl Drop for Lane {
    fn drop(&mut self) {
        drop(self.pass.take());
        self.lanes.pump(self.key);
    }
}
