//! Admission control when answers are slow for a while, for example because of a slow log service.

use fescuelead_core::{
    admission::{Admission, AdmissionPermit, AdmissionSettings, Completion, LaneKey, LaneSettings, Offer, Reason},
    balance::TimeUs,
    ids::{ProfileName, ServiceName},
    profile::Kind,
};

const DEADLINE_US: u64 = 5_000_000;

fn service() -> (Admission, LaneKey) {
    let mut admission = Admission::new(AdmissionSettings::default());
    let profile = ProfileName::new("review").expect("a valid name");
    let service = ServiceName::new("reviews").expect("a valid name");
    let lane = admission.set_lane(&service, &LaneSettings::new(profile, Kind::LatencyCritical));
    admission.set_slots(lane, 80);
    (admission, lane)
}

/// Offers a request that arrives now with a deadline in 5 s.
fn offer(admission: &mut Admission, lane: LaneKey, now: TimeUs) -> Result<AdmissionPermit, Reason> {
    match admission.offer(lane, now.plus_us(DEADLINE_US), now) {
        Ok(Offer::Run(permit)) => Ok(permit),
        Ok(Offer::Wait(_)) => panic!("a place is free"),
        Err(refusal) => Err(refusal.reason),
    }
}

/// Processes requests one after the other, each answered after `took_us`.
fn answer(admission: &mut Admission, lane: LaneKey, took_us: u64, count: usize, from: TimeUs) -> TimeUs {
    (0..count).fold(from, |now, _| {
        let Ok(permit) = offer(admission, lane, now) else { return now };
        let ended = now.plus_us(took_us);
        admission.finish(permit, Completion::Answered { took_us }, ended);
        ended
    })
}

/// Guards against refusing requests with a deadline of 5 s after one answer of 1.3 s, by also taking 1.3 s as the
/// deviation.
#[test]
fn one_slow_answer_does_not_cause_refusals() {
    let (mut admission, lane) = service();
    let now = answer(&mut admission, lane, 1_300_000, 1, TimeUs(0));
    assert!(offer(&mut admission, lane, now).is_ok());
}

/// Guards against refusing all requests of a service forever: without requests, no answer corrects the latency estimate
/// that causes the refusals.
#[test]
fn a_service_whose_answers_were_late_is_probed_again() {
    let (mut admission, lane) = service();
    let mut now = answer(&mut admission, lane, 40_000, 1, TimeUs(0));
    let running: Vec<_> = (0..40).map(|_| offer(&mut admission, lane, now).expect("a place is free")).collect();
    now = now.plus_us(6_000_000);
    for permit in running {
        admission.finish(permit, Completion::Answered { took_us: 6_000_000 }, now);
    }
    assert_eq!(offer(&mut admission, lane, now).err(), Some(Reason::TooLate));
    let mut probes = 0;
    for _ in 0..60 {
        now = now.plus_us(1_000_000);
        if let Ok(permit) = offer(&mut admission, lane, now) {
            // Only one request at a time probes the service.
            assert_eq!(offer(&mut admission, lane, now).err(), Some(Reason::TooLate));
            probes += 1;
            admission.finish(permit, Completion::Answered { took_us: 40_000 }, now.plus_us(40_000));
            break;
        }
    }
    assert_eq!(probes, 1, "no request was admitted within a minute");
    // Fast answers lower the estimate, so that each probe follows after a shorter time.
    let mut answered = 0;
    for _ in 0..600 {
        now = now.plus_us(1_000_000);
        if let Ok(permit) = offer(&mut admission, lane, now) {
            answered += 1;
            admission.finish(permit, Completion::Answered { took_us: 40_000 }, now.plus_us(40_000));
        }
    }
    assert!(answered > 500, "{answered} of 600 were admitted");
}

/// Guards against admitting requests that wait until their deadline although the service is known to be slow.
#[test]
fn a_service_that_stays_slow_is_rarely_probed() {
    let (mut admission, lane) = service();
    let mut now = answer(&mut admission, lane, 6_000_000, 3, TimeUs(0));
    let (mut probes, mut refused) = (0, 0);
    for _ in 0..600 {
        now = now.plus_us(100_000);
        match offer(&mut admission, lane, now) {
            Ok(permit) => {
                probes += 1;
                now = now.plus_us(6_000_000);
                admission.finish(permit, Completion::Answered { took_us: 6_000_000 }, now);
            }
            Err(reason) => {
                refused += 1;
                assert_eq!(reason, Reason::TooLate);
            }
        }
    }
    assert!(probes >= 1 && refused > 20 * probes, "probes {probes}, refused {refused}");
}
