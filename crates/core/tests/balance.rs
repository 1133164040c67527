//! Selection among endpoints, through the public interface.

use std::collections::HashMap;

use fescuelead_core::{
    balance::{
        BalanceSettings, Balancer, EndpointKey, EndpointReport, EndpointRequest, EndpointSpec, Health, Outcome,
        OutcomeKind, ServiceKey, TimeUs, Unavailable,
    },
    ids::{AgentId, AvailabilityZone, ServiceName},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NORMAL_SERVICE_US: u64 = 40_000;

struct Fixture {
    balancer: Balancer,
    service: ServiceKey,
    keys: Vec<EndpointKey>,
    rng: ChaCha8Rng,
    now: u64,
}

fn spec(index: usize, zone: &str) -> EndpointSpec {
    EndpointSpec {
        service: ServiceName::new("previews").expect("valid id"),
        agent: AgentId::new(format!("agent-{index}")).expect("valid id"),
        zone: AvailabilityZone::new(zone).expect("valid id"),
        slots: 8,
        connections: 64,
        incarnation: 1,
    }
}

impl Fixture {
    /// Creates endpoints with known service times that are fully ramped up.
    fn new(zones: &[&str]) -> Self {
        let mut balancer = Balancer::new(BalanceSettings::default(), AvailabilityZone::new("a").expect("valid id"));
        let add = |(index, zone): (usize, &&str)| balancer.add(spec(index, zone), TimeUs(0));
        let keys: Vec<_> = zones.iter().enumerate().map(add).collect();
        let service = balancer.service(&spec(0, "a").service).expect("it has endpoints");
        let mut fixture = Self { balancer, service, keys, rng: ChaCha8Rng::seed_from_u64(5), now: 60_000_000 };
        fixture.serve(400, |_| Outcome::answered(NORMAL_SERVICE_US));
        fixture
    }

    fn choose(&mut self, request: &EndpointRequest) -> Result<EndpointKey, Unavailable> {
        let permit = self.balancer.choose(self.service, request, TimeUs(self.now), &mut self.rng)?;
        Ok(permit.endpoint())
    }

    /// Makes one of two endpoints fail until it is ejected. The requests run concurrently, so that both endpoints get
    /// some.
    fn eject(&mut self, bad: EndpointKey) {
        let (now, request) = (TimeUs(self.now), EndpointRequest::new(TimeUs(self.now + 400_000)));
        let choose = |_| self.balancer.choose(self.service, &request, now, &mut self.rng).expect("there is room");
        let permits: Vec<_> = (0..12).map(choose).map(|permit| permit.dispatch(now)).collect();
        for permit in permits {
            let failed = permit.endpoint() == bad;
            let outcome = if failed { Outcome::failed(1_000) } else { Outcome::answered(NORMAL_SERVICE_US) };
            self.balancer.end(permit, &outcome, now);
        }
        assert!(matches!(self.balancer.health(bad), Some(Health::Ejected { .. })));
    }

    /// Sends requests one after the other, 1 ms apart, and counts them per endpoint.
    fn serve(&mut self, requests: usize, outcome: impl Fn(EndpointKey) -> Outcome) -> HashMap<EndpointKey, usize> {
        let mut counts = HashMap::new();
        for index in 0..requests {
            self.now += 1_000;
            if index % 100 == 0 {
                self.balancer.tick(TimeUs(self.now));
            }
            let request = EndpointRequest::new(TimeUs(self.now + 400_000)).with_may_probe(true);
            let now = TimeUs(self.now);
            let permit = self.balancer.choose(self.service, &request, now, &mut self.rng).expect("an endpoint is free");
            let key = permit.endpoint();
            *counts.entry(key).or_default() += 1;
            self.balancer.end(permit.dispatch(now), &outcome(key), now);
        }
        counts
    }

    fn share(&mut self, key: EndpointKey, outcome: impl Fn(EndpointKey) -> Outcome) -> f64 {
        let counts = self.serve(1_000, outcome);
        counts.get(&key).copied().unwrap_or(0) as f64 / 1_000.0
    }
}

/// Guards against an allocation per selection, which the limit of 500 ns would not reveal on an idle machine.
#[test]
fn a_selection_does_not_allocate() {
    let mut fixture = Fixture::new(&["a"; 100]);
    let request = EndpointRequest::new(TimeUs(fixture.now + 400_000)).with_may_probe(true);
    let counts = allocation_counter::measure(|| {
        for _ in 0..1_000 {
            assert!(fixture.choose(&request).is_ok());
        }
    });
    assert_eq!(counts.count_total, 0);
}

/// Guards against an endpoint that attracts all requests because its errors are fast.
#[test]
fn an_endpoint_that_fails_quickly_gets_only_probes() {
    let mut fixture = Fixture::new(&["a"; 10]);
    let bad = fixture.keys[3];
    let outcome = |key| if key == bad { Outcome::failed(1_000) } else { Outcome::answered(NORMAL_SERVICE_US) };
    assert!(fixture.share(bad, outcome) < 0.01);
    fixture.serve(100_000, outcome);
    assert!(matches!(fixture.balancer.health(bad), Some(Health::Ejected { .. })));
    assert!(fixture.share(bad, outcome) < 0.01);
}

/// Guards against a slow endpoint that keeps its share, one that stays ejected after it recovered, and a burst of
/// requests when it returns.
#[rstest::rstest]
#[case(OutcomeKind::Answered)]
#[case(OutcomeKind::Abandoned)]
fn a_slow_endpoint_gets_only_probes_until_it_is_fast_again(#[case] kind: OutcomeKind) {
    let mut fixture = Fixture::new(&["a"; 10]);
    let slow = fixture.keys[3];
    let outcome = |key| {
        if key == slow { Outcome::new(kind, NORMAL_SERVICE_US * 10) } else { Outcome::answered(NORMAL_SERVICE_US) }
    };
    assert!(fixture.share(slow, outcome) < 0.01);
    fixture.serve(100_000, outcome);
    assert!(matches!(fixture.balancer.health(slow), Some(Health::Ejected { .. })));
    assert!(fixture.share(slow, outcome) < 0.01);
    fixture.serve(100_000, |_| Outcome::answered(NORMAL_SERVICE_US));
    assert_eq!(fixture.balancer.health(slow), Some(Health::Active));
    assert!(fixture.share(slow, |_| Outcome::answered(NORMAL_SERVICE_US)) < 0.2);
}

/// Guards against ejecting so many endpoints that the others are overloaded.
#[test]
fn no_more_than_half_of_the_endpoints_are_ejected() {
    let mut fixture = Fixture::new(&["a"; 10]);
    let bad: Vec<_> = fixture.keys[..7].to_vec();
    let outcome = |key| if bad.contains(&key) { Outcome::failed(1_000) } else { Outcome::answered(NORMAL_SERVICE_US) };
    fixture.serve(2_000, outcome);
    assert!(fixture.balancer.active(fixture.service).len() >= 5);
}

/// Guards against requests to an availability zone out of service, to a leaving endpoint or to a suspected host, and
/// against a burst when they return.
#[test]
fn closed_endpoints_get_no_requests_and_are_ramped_up_when_they_return() {
    let mut fixture = Fixture::new(&["a", "a", "a", "b", "a", "a"]);
    let answered = |_| Outcome::answered(NORMAL_SERVICE_US);
    let (zone, agent) = (AvailabilityZone::new("b").expect("valid id"), spec(1, "a").agent);
    fixture.balancer.set_zone_out(&zone, true, TimeUs(fixture.now));
    fixture.balancer.set_suspected(&agent, true, TimeUs(fixture.now));
    let leaving = EndpointReport { leaving: true, ..EndpointReport::default() };
    fixture.balancer.observe(fixture.keys[0], &leaving, TimeUs(fixture.now));
    let counts = fixture.serve(1_000, answered);
    let closed = [fixture.keys[0], fixture.keys[1], fixture.keys[3]];
    assert!(closed.iter().all(|key| !counts.contains_key(key)));

    fixture.balancer.set_suspected(&agent, false, TimeUs(fixture.now));
    let mut selected_returning = 0;
    let request = EndpointRequest::new(TimeUs(fixture.now + 400_000));
    let held: Vec<_> = (0..30)
        .map(|_| {
            fixture.balancer.choose(fixture.service, &request, TimeUs(fixture.now), &mut fixture.rng).expect("free")
        })
        .inspect(|permit| selected_returning += u32::from(permit.endpoint() == closed[1]))
        .collect();
    assert!(selected_returning <= 1, "{selected_returning}");
    drop(held);
}

/// Guards against selecting full endpoints, and against leaked places.
#[test]
fn full_endpoints_are_not_selected_and_dropped_permits_release_their_places() {
    let mut fixture = Fixture::new(&["a"; 4]);
    let request = EndpointRequest::new(TimeUs(fixture.now + 400_000));
    let mut held = Vec::new();
    let refused = loop {
        match fixture.balancer.choose(fixture.service, &request, TimeUs(fixture.now), &mut fixture.rng) {
            Ok(permit) => held.push(permit.dispatch(TimeUs(fixture.now))),
            Err(refused) => break refused,
        }
    };
    // Eight slots and a queue of four at each of four endpoints.
    assert_eq!((refused, held.len()), (Unavailable::AllFull, 48));
    held.clear();
    assert!(fixture.keys.iter().all(|key| fixture.balancer.in_flight(*key) == 0));
    assert!(fixture.choose(&request.with_free_slot()).is_ok());
}

/// Guards against unnecessary traffic between availability zones, and against overloading a nearby endpoint.
#[test]
fn endpoints_in_the_same_zone_are_preferred_while_they_have_room() {
    let mut fixture = Fixture::new(&["a", "b", "a", "b"]);
    let counts = fixture.serve(1_000, |_| Outcome::answered(2_000));
    let near = counts[&fixture.keys[0]] + counts[&fixture.keys[2]];
    assert!(near > 700, "{near}");
    let full = EndpointReport { in_flight: 20, ..EndpointReport::default() };
    for near in [0, 2] {
        fixture.balancer.observe(fixture.keys[near], &full, TimeUs(fixture.now));
    }
    let request = EndpointRequest::new(TimeUs(fixture.now + 400_000));
    assert!(
        (0..100).all(|_| fixture.choose(&request).is_ok_and(|key| key == fixture.keys[1] || key == fixture.keys[3]))
    );
}

/// Guards against a second copy at the endpoint that is already slow with the first.
#[test]
fn an_avoided_endpoint_is_selected_only_if_it_is_the_only_one() {
    let mut fixture = Fixture::new(&["a"; 2]);
    let request = EndpointRequest::new(TimeUs(fixture.now + 400_000)).with_avoid(fixture.keys[0]);
    assert!((0..100).all(|_| fixture.choose(&request) == Ok(fixture.keys[1])));
    fixture.balancer.remove(fixture.keys[1], TimeUs(fixture.now));
    assert_eq!(fixture.choose(&request), Ok(fixture.keys[0]));
    fixture.balancer.remove(fixture.keys[0], TimeUs(fixture.now));
    assert_eq!(fixture.choose(&request), Err(Unavailable::NoEndpoint));
}

/// Guards against endpoints that stay ejected after an outage of the whole service, so that the others are overloaded.
#[test]
fn an_outage_of_all_endpoints_leaves_none_ejected() {
    let mut fixture = Fixture::new(&["a"; 10]);
    fixture.serve(2_000, |_| Outcome::failed(1_000));
    assert_eq!(fixture.balancer.active(fixture.service).len(), 10);
}

/// Guards against a service without an active endpoint although one is open: it was ejected before the others left. A
/// service whose requests are not idempotent has no probes, so that the endpoint stayed ejected forever.
#[test]
fn the_last_open_endpoint_is_not_left_ejected() {
    let mut fixture = Fixture::new(&["a", "a"]);
    let [bad, other] = fixture.keys[..] else { panic!("two endpoints") };
    fixture.eject(bad);
    let leaving = EndpointReport { leaving: true, ..EndpointReport::default() };
    fixture.balancer.observe(other, &leaving, TimeUs(fixture.now));
    assert_eq!(fixture.choose(&EndpointRequest::new(TimeUs(fixture.now + 60_000_000))), Ok(bad));
}

/// Guards against an endpoint that stays ejected forever because no request of its service may be a probe.
#[test]
fn an_ejected_endpoint_returns_without_probes() {
    let mut fixture = Fixture::new(&["a", "a"]);
    let bad = fixture.keys[0];
    fixture.eject(bad);
    let request = EndpointRequest::new(TimeUs(fixture.now + 600_000_000));
    fixture.now += 20_000_000;
    fixture.balancer.tick(TimeUs(fixture.now));
    assert_ne!(fixture.choose(&request), Ok(bad));
    fixture.now += 20_000_000;
    fixture.balancer.tick(TimeUs(fixture.now));
    assert_eq!(fixture.balancer.health(bad), Some(Health::Active));
}
