use fescuelead_core::{
    ids::{EntryId, EntryRef},
    profile::ProfileSet,
};

use super::*;
use crate::lifecycle::Shutdown;

pub(crate) const SET: &str = r#"
    [team.storefront]
    quota = { cpu_milli = 8000, memory_mib = 16384 }
    [profile.store-preview]
    kind = "latency-critical"
    team = "storefront"
    idempotent = true
    slo_latency_ms = 100
    [service.previews]
    profile = "store-preview"
"#;

fn shared() -> Arc<Shared> {
    let me = EntryRef::new(EntryId::new("entry-a").expect("valid id"), 1);
    let zone = AvailabilityZone::new("az-1").expect("valid id");
    let shared = Shared::new(me, zone, Shutdown::new());
    let set = Arc::new(ProfileSet::parse(SET).expect("valid set"));
    let view = ConfigView { version: 1, set, ..ConfigView::default() };
    shared.config.send_replace(Arc::new(view));
    Arc::new(shared)
}

fn recording(shared: &Arc<Shared>, service: &str) -> Recording {
    let recording = Recording::new(Arc::clone(shared));
    recording.set_service(&ServiceName::new(service).expect("valid id"));
    recording
}

/// Guards against requests that are lost between the lists of threads and the report, and against callers' own mistakes
/// that burn a budget.
#[test]
fn what_threads_saw_is_counted_once() {
    let shared = shared();
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || (0..250).for_each(|_| recording(&shared, "previews").answered(false)))
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().expect("no panic"));
    let refused = crate::http::Failure::not_run(hyper::StatusCode::SERVICE_UNAVAILABLE, "full");
    let mistake = crate::http::Failure::not_run(hyper::StatusCode::BAD_REQUEST, "no key");
    let full = recording(&shared, "previews");
    full.set_why(Why::EndpointsFull);
    full.failed(&refused);
    recording(&shared, "previews").failed(&mistake);
    drop(recording(&shared, "previews"));
    let report = shared.observer.report(&shared);
    let item = &report.items[0];
    assert_eq!((item.counts.good, item.counts.refused, item.counts.total()), (1_000, 1, 1_001));
    assert_eq!(item.causes[0].cause, Cause::Overload);
    assert_eq!(item.causes[0].actions.get(&Action::Refused), Some(&1));
    assert_eq!(shared.observer.report(&shared).items[0].counts.total(), 1_001, "counted twice");
}

/// Guards against label values that callers choose.
#[test]
fn unknown_services_share_one_label() {
    let shared = shared();
    for number in 0..100 {
        recording(&shared, &format!("made-up-{number}")).answered(false);
    }
    let metrics = crate::metrics::Metrics::new();
    metrics.register(|registry| shared.observer.metrics.register(registry));
    shared.observer.gather(&shared);
    let text = metrics.encode();
    assert!(text.contains(r#"fescuelead_requests_total{service="other",outcome="good"} 100"#), "{text}");
    assert!(!text.contains("made-up"), "{text}");
}

/// Guards against operators who are sent to the wrong cause.
#[test]
fn causes_follow_what_the_entry_knows() {
    let shared = shared();
    let config = Arc::clone(&shared.config.borrow());
    let (key, _) = key_of(&config, &ServiceName::new("previews").expect("valid id")).expect("known");
    let seen =
        |why, end, waited_us| Seen { service: None, end, why, latency_us: 1_000, waited_us, retries: 0, hedges: 0 };
    let answered = End::Counted(RequestResult::Answered);
    let refused = End::Counted(RequestResult::Refused);
    let mut context = Context::default();
    assert_eq!(context.cause_of(&seen(Why::Open, answered, 900), &key), Cause::Overload);
    assert_eq!(context.cause_of(&seen(Why::Open, answered, 0), &key), Cause::EndpointFault);
    assert_eq!(context.cause_of(&seen(Why::LogDown, refused, 0), &key), Cause::LogOutage);
    let master = ProfileName::new("master").expect("valid id");
    context.harmed.insert(key.profile.clone(), master.clone());
    assert_eq!(context.cause_of(&seen(Why::Open, answered, 0), &key), Cause::Interference { profile: master });
    let zone = AvailabilityZone::new("az-1").expect("valid id");
    context.zones_out.insert(key.service.clone(), zone.clone());
    let out = Cause::ZoneOut { availability_zone: zone };
    assert_eq!(context.cause_of(&seen(Why::NoEndpoint, refused, 0), &key), out);
}

/// Guards against lists that are made anew in each round, which grew the heap under a steady load, and against one that
/// keeps the size of a burst.
#[test]
fn lists_are_used_again_up_to_a_size() {
    let shared = shared();
    let capacity = |shared: &Shared| shared.observer.lists.iter().map(|list| list.lock().capacity()).sum::<usize>();
    let round = |requests: usize| {
        (0..requests).for_each(|_| recording(&shared, "previews").answered(false));
        shared.observer.gather(&shared);
        capacity(&shared) + shared.observer.spare.lock().capacity()
    };
    round(1_000);
    let steady = round(1_000);
    assert!(steady > 0, "the lists are kept");
    for _ in 0..10 {
        assert_eq!(round(1_000), steady);
    }
    assert!(round(2 * MAX_KEPT_LIST) <= steady, "the list of a burst is not kept");
}
