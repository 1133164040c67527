//! Benchmarks of endpoint selection and of admission control.

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use fescuelead_core::{
    admission::{Admission, AdmissionSettings, Completion, LaneKey, LaneSettings, Offer},
    balance::{BalanceSettings, Balancer, EndpointReport, EndpointRequest, EndpointSpec, Outcome, ServiceKey, TimeUs},
    ids::{AgentId, AvailabilityZone, ProfileName, ServiceName},
    profile::Kind,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: TimeUs = TimeUs(60_000_000);
const DEADLINE: TimeUs = TimeUs(60_400_000);

/// Creates endpoints in three availability zones. `load` draws the number of requests in flight at each.
fn balancer(endpoints: usize, mut load: impl FnMut(&mut ChaCha8Rng) -> u32) -> (Balancer, ServiceKey) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let zone = |index: usize| AvailabilityZone::new(format!("zone-{}", index % 3)).expect("valid id");
    let service = ServiceName::new("previews").expect("valid id");
    let mut balancer = Balancer::new(BalanceSettings::default(), zone(0));
    for index in 0..endpoints {
        let spec = EndpointSpec {
            service: service.clone(),
            agent: AgentId::new(format!("agent-{index}")).expect("valid id"),
            zone: zone(index),
            slots: 8,
            connections: 64,
            incarnation: 1,
        };
        let key = balancer.add(spec, TimeUs(0));
        let service_us = Some(rng.random_range(30_000..50_000));
        let report = EndpointReport { in_flight: load(&mut rng), service_us, ..EndpointReport::default() };
        balancer.observe(key, &report, NOW);
    }
    balancer.tick(NOW);
    let key = balancer.service(&service).expect("it has endpoints");
    (balancer, key)
}

fn choice(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    for endpoints in [10, 100, 1_000] {
        let (mut balancer, service) = balancer(endpoints, |rng| rng.random_range(0..8));
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let request = EndpointRequest::new(DEADLINE).with_may_probe(true);
        group.bench_function(format!("half-loaded/{endpoints}"), |b| {
            b.iter(|| balancer.choose(service, black_box(&request), NOW, &mut rng).map(|permit| permit.endpoint()));
        });
    }
    for endpoints in [10, 100, 1_000] {
        let (mut balancer, service) = balancer(endpoints, |rng| if rng.random_range(0..20) == 0 { 7 } else { 20 });
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let request = EndpointRequest::new(DEADLINE).with_may_probe(true);
        group.bench_function(format!("nineteen-of-twenty-full/{endpoints}"), |b| {
            b.iter(|| balancer.choose(service, black_box(&request), NOW, &mut rng).map(|permit| permit.endpoint()));
        });
    }
    for endpoints in [10, 100, 1_000] {
        let (mut balancer, service) = balancer(endpoints, |rng| rng.random_range(0..8));
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let request = EndpointRequest::new(DEADLINE);
        let outcome =
            Outcome::answered(40_000).with_report(EndpointReport { in_flight: 4, ..EndpointReport::default() });
        group.bench_function(format!("choose-dispatch-end/{endpoints}"), |b| {
            b.iter(|| {
                let permit =
                    balancer.choose(service, black_box(&request), NOW, &mut rng).expect("half of the slots are free");
                balancer.end(permit.dispatch(NOW), &outcome, NOW);
            });
        });
        group.bench_function(format!("tick/{endpoints}"), |b| b.iter(|| balancer.tick(NOW)));
    }
    group.finish();
}

fn admission(slots: u32) -> (Admission, LaneKey) {
    let mut admission = Admission::new(AdmissionSettings::default());
    let profile = ProfileName::new("store-preview").expect("valid id");
    let settings = LaneSettings::new(profile, Kind::LatencyCritical);
    let lane = admission.set_lane(&ServiceName::new("previews").expect("valid id"), &settings);
    admission.set_slots(lane, slots);
    (admission, lane)
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("admission");
    let (mut free, lane) = admission(80);
    group.bench_function("offer-and-finish", |b| {
        b.iter(|| {
            let Ok(Offer::Run(permit)) = free.offer(lane, black_box(DEADLINE), NOW) else { panic!("a place is free") };
            free.finish(permit, Completion::Answered { took_us: 40_000 }, NOW);
        });
    });
    let overloaded = || {
        let (mut full, lane) = admission(80);
        (0..80).for_each(|_| {
            if let Ok(Offer::Run(permit)) = full.offer(lane, DEADLINE, NOW) {
                full.finish(permit, Completion::Answered { took_us: 40_000 }, NOW);
            }
        });
        let permits: Vec<_> = (0..80).map(|_| full.offer(lane, DEADLINE, NOW)).collect();
        // Fills the queue until requests are refused.
        let mut deadline = DEADLINE;
        while full.offer(lane, deadline, NOW).is_ok() {
            deadline = deadline.plus_us(1);
        }
        (full, lane, permits)
    };
    let (mut full, lane, _permits) = overloaded();
    group.bench_function("refuse-too-late", |b| b.iter(|| full.offer(lane, black_box(DEADLINE), NOW).is_err()));
    group.bench_function("queue-and-withdraw", |b| {
        let early = TimeUs(DEADLINE.0 - 1);
        b.iter_batched_ref(
            || (),
            |()| {
                if let Ok(Offer::Wait(key)) = full.offer(lane, black_box(early), NOW) {
                    full.withdraw(lane, key);
                }
            },
            BatchSize::SmallInput,
        );
    });
    group.finish();
}

criterion_group!(benches, choice, decisions);
criterion_main!(benches);
