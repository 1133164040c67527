//! Simulation tests of the ownership protocol: production code under seeded schedules of faults in virtual time.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use fescuelead_core::mutation::Mutation;
use rstest::rstest;

mod model {
    pub mod host;
    pub mod monitor;
    pub mod node;
    pub mod world;
}

use model::{monitor::Counts, world::World};

const DEFAULT_SCHEDULES: u64 = 100_000;
const THREADS: u64 = 4;

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|number| number.parse().ok())
}

/// Runs `schedules` seeds on several threads until one violates an invariant. Returns the lowest violating seed found, with
/// its message.
fn explore(schedules: u64, mutation: Option<Mutation>) -> (Counts, Option<(u64, String)>) {
    let first = setting("FESCUELEAD_FIRST_SEED").unwrap_or(0);
    let (next, schedules) = (AtomicU64::new(first), first + schedules);
    let work = || {
        let mut counts = Counts::default();
        let mut found = None;
        while found.is_none() {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= schedules {
                break;
            }
            let mut world = World::new(seed, mutation);
            found = world.run().map(|violation| (seed, violation));
            counts.add(&world.monitor.counts);
        }
        if found.is_some() {
            next.fetch_max(schedules, Ordering::Relaxed);
        }
        (counts, found)
    };
    let results: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic in a schedule")).collect()
    });
    let mut counts = Counts::default();
    results.iter().for_each(|(part, _)| counts.add(part));
    (counts, results.into_iter().filter_map(|(_, found)| found).min())
}

/// Guards against a violation of an invariant under faults, and against schedules that do not exercise the rules.
#[test]
fn no_schedule_breaks_an_invariant() {
    let schedules = setting("FESCUELEAD_SCHEDULES").unwrap_or(DEFAULT_SCHEDULES);
    let (counts, found) = explore(schedules, None);
    println!("{counts:#?}");
    assert_eq!(found, None);
    let minimum = schedules / 4;
    let exercised = [
        counts.fences,
        counts.reassignments,
        counts.freezes,
        counts.thaws,
        counts.finishes,
        counts.admissions,
        counts.removals,
        counts.adoptions,
        counts.requests_run,
        counts.lease_changes,
        counts.quota_changes,
        counts.claims_repeated,
        counts.restores,
    ];
    assert!(
        exercised.iter().all(|count| *count >= minimum),
        "some rule was exercised in too few schedules: {exercised:?}"
    );
    assert!(counts.requests_refused > 0 && counts.quota_refusals > 0 && counts.late_appends > 0);
}

/// Guards against a simulation that does not detect a broken rule.
#[rstest]
#[case(Mutation::SkipWait)]
#[case(Mutation::LeaseFromReadEnd)]
#[case(Mutation::FenceWithoutAcks)]
#[case(Mutation::PromiseWhileFencing)]
#[case(Mutation::RetryWithNewSequence)]
#[case(Mutation::OlderSnapshot)]
#[case(Mutation::StaleFencingSet)]
#[case(Mutation::IgnoreEarlierLease)]
#[case(Mutation::OlderQuotas)]
#[case(Mutation::EarlierClaimResolved)]
#[case(Mutation::SkipSnapshot)]
#[case(Mutation::TrustPeerCopy)]
fn a_broken_rule_is_found(#[case] mutation: Mutation) {
    let (counts, found) = explore(20_000, Some(mutation));
    println!("{mutation:?}: {found:?} after {} schedules", counts.schedules);
    assert!(found.is_some(), "{mutation:?} was not found in {} schedules", counts.schedules);
}

/// Reproduces one seed, with its trace on request:
/// `FESCUELEAD_SEED=7 FESCUELEAD_TRACE=1 cargo test ... one_seed -- --nocapture`.
#[test]
fn one_seed() {
    let seed = setting("FESCUELEAD_SEED").unwrap_or(0);
    assert_eq!(World::new(seed, None).run(), None);
}
