/*!
What an entry observes of itself: service-level burn, metrics and decisions.

The request path only pushes a few words onto a list that its thread has for itself; see [`Observer::push`]. A task of its
own takes the lists in every [`GATHER_MS`] and whenever somebody asks, counts the requests against their SLOs, finds the
causes of those that missed it, and updates the metrics.
*/

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use fescuelead_core::{
    burn::{Action, BurnKey, BurnReport, BurnTracker, Cause, Observation, RequestResult, Slo},
    explain::{Decision, Explainer},
    ids::{AvailabilityZone, EntryRef, ProfileName, ServiceName},
    record::TaskSpec,
    units::TimeMs,
};
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::{
    entry::shared::{ConfigView, Shared},
    metrics::{EntryMetrics, OutcomeLabels, RefusalLabels, ServiceLabel},
};

mod causes;
mod gauges;
mod recording;

pub use self::{
    causes::{Context, Why},
    recording::Recording,
};

/// The time between two rounds of taking in what the request path has observed.
pub const GATHER_MS: u64 = 250;
/// Threads beyond this number share lists.
const SHARDS: usize = 32;
/// A thread whose list is this long takes all lists in by itself.
const MAX_LIST: usize = 65_536;
/// A list that has grown beyond this is not used again. At 20,000 requests/s one thread fills a quarter of it in a round.
const MAX_KEPT_LIST: usize = 20_480;
/// The label of requests to services that are not in the configuration.
const OTHER: &str = "other";

/// One request as the request path saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The service; nothing if the request named none that is known.
    pub service: Option<ServiceName>,
    /// How it ended.
    pub end: End,
    /// Why it was refused or failed.
    pub why: Why,
    /// From its arrival to its end.
    pub latency_us: u64,
    /// How long it waited to be admitted.
    pub waited_us: u64,
    /// Copies that were sent again.
    pub retries: u8,
    /// Second copies that were sent.
    pub hedges: u8,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// As far as the SLO is concerned.
    Counted(RequestResult),
    /// The caller's own mistake; it does not count against the SLO.
    Rejected,
    /// The caller went away; it does not count against the SLO.
    Abandoned,
}

/// Observes one entry. Shared by all its threads.
#[derive(Debug)]
pub struct Observer {
    lists: [Mutex<Vec<Seen>>; SHARDS],
    /// An empty list that is swapped for the first thread's, so that lists are not grown anew in each round and freed by
    /// another thread than the one that grew them.
    spare: Mutex<Vec<Seen>>,
    book: Mutex<BurnTracker>,
    explainer: Mutex<Explainer>,
    context: Mutex<Context>,
    log_down: AtomicBool,
    appended_at: AtomicU64,
    /// The metrics of the entry.
    pub metrics: EntryMetrics,
}

/// What one entry has counted.
#[derive(Debug)]
pub struct BurnCopy {
    /// The entry.
    pub entry: EntryRef,
    /// When the copy was taken, on that entry's clock.
    pub taken: TimeMs,
    /// When it arrived here.
    pub arrived: TimeMs,
    /// The counts.
    pub book: BurnTracker,
}

/// The sums of one service in one round.
#[derive(Debug, Default)]
struct Tally {
    outcomes: HashMap<&'static str, u64>,
    refusals: HashMap<Why, u32>,
    retries: u32,
    hedges: u32,
    budget_spent: u32,
}

impl Observer {
    /// An observer that has seen nothing.
    pub fn new() -> Self {
        Self {
            lists: std::array::from_fn(|_| Mutex::new(Vec::new())),
            spare: Mutex::new(Vec::new()),
            book: Mutex::new(BurnTracker::new()),
            explainer: Mutex::new(Explainer::new()),
            context: Mutex::new(Context::default()),
            log_down: AtomicBool::new(false),
            appended_at: AtomicU64::new(0),
            metrics: EntryMetrics::new(),
        }
    }

    /// Takes note of one request. Locks nothing that another thread usually holds.
    pub fn push(&self, shared: &Shared, seen: Seen) {
        let mut list = self.lists[shard()].lock();
        list.push(seen);
        if list.len() >= MAX_LIST {
            drop(list);
            self.gather(shared);
        }
    }

    /// Keeps a decision for [`explain`](Self::explainer).
    pub fn note(&self, now: TimeMs, decision: Decision) {
        self.explainer.lock().note(now, decision);
    }

    /// The decisions that are kept. Held for a short time, never over an await.
    pub fn explainer(&self) -> parking_lot::MutexGuard<'_, Explainer> {
        self.explainer.lock()
    }

    /// Says whether the log service answers.
    pub fn set_log_down(&self, down: bool) {
        self.log_down.store(down, Ordering::Relaxed);
        self.metrics.log_up.set(i64::from(!down));
    }

    /// Whether the log service does not answer.
    pub fn is_log_down(&self) -> bool {
        self.log_down.load(Ordering::Relaxed)
    }

    /// Says that an append succeeded.
    pub fn appended(&self, now: TimeMs) {
        self.appended_at.store(now.0, Ordering::Relaxed);
    }

    /// When an append last succeeded.
    pub fn appended_at(&self) -> Option<TimeMs> {
        Some(TimeMs(self.appended_at.load(Ordering::Relaxed))).filter(|at| at.0 > 0)
    }

    /// Says which profile slows which other one down.
    pub fn set_harmed(&self, harmed: HashMap<ProfileName, ProfileName>) {
        self.context.lock().harmed = harmed;
    }

    /// Counts what was done about a cause on behalf of a service.
    pub fn act(&self, shared: &Shared, service: &ServiceName, cause: &Cause, action: Action) {
        let config = Arc::clone(&shared.config.borrow());
        if let Some((key, _)) = key_of(&config, service) {
            self.book.lock().record_action(shared.clock.now(), &key, cause, action);
        }
    }

    /// Counts the delay of a task's start against the SLO of its profile.
    pub fn task_started(&self, shared: &Shared, spec: &TaskSpec, delay_ms: u64) {
        let config = Arc::clone(&shared.config.borrow());
        let label = match config.set.profiles.get(&spec.profile) {
            Some(profile) => {
                let key = BurnKey::new(spec.service.clone(), spec.profile.clone(), spec.team.clone());
                let cause = self.context.lock().cause_of_delay(&config, self.is_log_down());
                let seen = Observation::new(RequestResult::Answered, delay_ms.saturating_mul(1_000)).with_cause(cause);
                self.book.lock().observe(shared.clock.now(), &key, Slo::from(profile), &seen);
                (&spec.profile).into()
            }
            None => crate::metrics::ProfileLabel { profile: OTHER.to_owned() },
        };
        self.metrics.start_delay_seconds.get_or_create(&label).observe(delay_ms as f64 / 1_000.0);
    }

    /// Counts a task that was turned away although its caller did nothing wrong.
    pub fn task_refused(&self, shared: &Shared, spec: &TaskSpec, result: RequestResult, cause: Cause) {
        let config = Arc::clone(&shared.config.borrow());
        if let Some(profile) = config.set.profiles.get(&spec.profile) {
            let key = BurnKey::new(spec.service.clone(), spec.profile.clone(), spec.team.clone());
            let seen = Observation::new(result, 0).with_cause(cause);
            self.book.lock().observe(shared.clock.now(), &key, Slo::from(profile), &seen);
        }
    }

    /// The burn report as of now.
    pub fn report(&self, shared: &Shared) -> BurnReport {
        self.gather(shared);
        self.book.lock().report(shared.clock.now())
    }

    /// A copy of what this entry has counted, for another entry.
    pub fn copy(&self, shared: &Shared) -> BurnCopy {
        self.gather(shared);
        let (taken, book) = (shared.clock.now(), self.book.lock().clone());
        BurnCopy { entry: shared.me.clone(), taken, arrived: taken, book }
    }

    /// The burn report over this entry and the copies of others.
    pub fn report_with(&self, shared: &Shared, copies: &[BurnCopy]) -> BurnReport {
        let BurnCopy { mut book, taken: now, .. } = self.copy(shared);
        for copy in copies {
            book.merge(now, &copy.book, copy.taken, now.since_ms(copy.arrived));
        }
        book.report(now)
    }

    /// Takes in what the request path has observed. Linear in the number of requests since the last call.
    pub fn gather(&self, shared: &Shared) {
        let config = Arc::clone(&shared.config.borrow());
        let now = shared.clock.now();
        let mut tallies: HashMap<Option<ServiceName>, Tally> = HashMap::new();
        let mut spare = std::mem::take(&mut *self.spare.lock());
        for list in &self.lists {
            {
                let mut list = list.lock();
                if list.is_empty() {
                    continue;
                }
                std::mem::swap(&mut *list, &mut spare);
            }
            self.take_in(&config, &mut spare, now, &mut tallies);
            if spare.capacity() > MAX_KEPT_LIST {
                spare = Vec::new();
            }
        }
        *self.spare.lock() = spare;
        for (service, tally) in tallies {
            self.publish(service.as_ref(), &tally, now);
        }
    }

    /// Empties `batch`.
    fn take_in(
        &self,
        config: &ConfigView,
        batch: &mut Vec<Seen>,
        now: TimeMs,
        tallies: &mut HashMap<Option<ServiceName>, Tally>,
    ) {
        let context = self.context.lock().clone();
        let mut book = self.book.lock();
        for seen in batch.drain(..) {
            let known = seen.service.as_ref().and_then(|service| key_of(config, service));
            // Only services of the configuration become labels, whatever callers ask for.
            let tally = tallies.entry(seen.service.clone().filter(|_| known.is_some())).or_default();
            let slo = known.as_ref().map(|(_, slo)| *slo);
            tally.count(&seen, slo);
            if let (Some((key, slo)), End::Counted(result)) = (&known, seen.end) {
                let cause = context.cause_of(&seen, key);
                let observation = Observation::new(result, seen.latency_us).with_cause(cause.clone());
                book.observe(now, key, *slo, &observation);
                seen.actions().for_each(|action| book.record_action(now, key, &cause, action));
                if result == RequestResult::Answered {
                    let histogram = self.metrics.request_seconds.get_or_create(&(&key.service).into());
                    histogram.observe(seen.latency_us as f64 / 1e6);
                }
            }
        }
    }

    fn publish(&self, service: Option<&ServiceName>, tally: &Tally, now: TimeMs) {
        let metrics = &self.metrics;
        let name = service.map_or_else(|| OTHER.to_owned(), ToString::to_string);
        for (outcome, count) in &tally.outcomes {
            let labels = OutcomeLabels { service: name.clone(), outcome };
            metrics.requests.get_or_create(&labels).inc_by(*count);
        }
        for (why, count) in &tally.refusals {
            let labels = RefusalLabels { service: name.clone(), reason: why.as_str() };
            metrics.refusals.get_or_create(&labels).inc_by(u64::from(*count));
        }
        let label = ServiceLabel { service: name };
        metrics.retries.get_or_create(&label).inc_by(u64::from(tally.retries));
        metrics.hedges.get_or_create(&label).inc_by(u64::from(tally.hedges));
        if let Some(service) = service {
            self.explain(service, tally, now);
        }
    }

    fn explain(&self, service: &ServiceName, tally: &Tally, now: TimeMs) {
        let mut explainer = self.explainer.lock();
        for (why, count) in &tally.refusals {
            let refusing = Decision::Refusing { service: service.clone(), reason: why.sentence().to_owned() };
            explainer.note_times(now, refusing, *count);
        }
        explainer.note_times(now, Decision::Retried { service: service.clone() }, tally.retries);
        explainer.note_times(now, Decision::Hedged { service: service.clone() }, tally.hedges);
        let spent = Decision::BudgetSpent { service: service.clone(), budget: "retry".to_owned() };
        explainer.note_times(now, spent, tally.budget_spent);
    }
}

impl Default for Observer {
    fn default() -> Self {
        Self::new()
    }
}

impl Tally {
    fn count(&mut self, seen: &Seen, slo: Option<Slo>) {
        let late = slo.is_some_and(|slo| seen.latency_us > slo.latency_ms.saturating_mul(1_000));
        let outcome = match seen.end {
            End::Counted(RequestResult::Answered) if late => "late",
            End::Counted(RequestResult::Answered) => "good",
            End::Counted(RequestResult::Refused) => "refused",
            End::Counted(RequestResult::Failed) => "failed",
            End::Counted(RequestResult::Unknown) => "unknown",
            End::Rejected => "rejected",
            End::Abandoned => "abandoned",
        };
        *self.outcomes.entry(outcome).or_default() += 1;
        if seen.end == End::Counted(RequestResult::Refused) {
            *self.refusals.entry(seen.why).or_default() += 1;
        }
        self.retries += u32::from(seen.retries);
        self.hedges += u32::from(seen.hedges);
        self.budget_spent += u32::from(seen.why == Why::BudgetSpent);
    }
}

impl Seen {
    /// What the request path did for the request.
    fn actions(&self) -> impl Iterator<Item = Action> + use<> {
        let refused = self.end == End::Counted(RequestResult::Refused);
        let retries = std::iter::repeat_n(Action::Retried, self.retries.into());
        let hedges = std::iter::repeat_n(Action::Hedged, self.hedges.into());
        retries.chain(hedges).chain(refused.then_some(Action::Refused))
    }
}

fn key_of(config: &ConfigView, service: &ServiceName) -> Option<(BurnKey, Slo)> {
    let picked = config.set.services.get(service)?;
    let profile = config.set.profiles.get(&picked.profile)?;
    Some((BurnKey::new(service.clone(), picked.profile.clone(), profile.team.clone()), Slo::from(profile)))
}

/// The list of this thread.
fn shard() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static OWN: usize = NEXT.fetch_add(1, Ordering::Relaxed) % SHARDS;
    }
    OWN.with(|own| *own)
}

/// Takes in observations and updates the gauges until `stop`.
pub async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(GATHER_MS)) => {}
        }
        shared.observer.refresh(&shared);
        shared.observer.gather(&shared);
    }
}

/// The availability zone that takes capacity from a service, if any of its endpoints is in one that is out.
type ZonesOut = HashMap<ServiceName, AvailabilityZone>;

#[cfg(test)]
pub(crate) mod tests;
