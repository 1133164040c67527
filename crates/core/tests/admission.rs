//! Admission when answers become slow for a while, as behind a slow log service.

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

/// Offers a request that arrives now with the usual deadline.
fn offer(admission: &mut Admission, lane: LaneKey, now: TimeUs) -> Result<AdmissionPermit, Reason> {
    match admission.offer(lane, now.plus_us(DEADLINE_US), now) {
        Ok(Offer::Run(pass)) => Ok(pass),
        Ok(Offer::Wait(_)) => panic!("a place is free"),
        Err(refusal) => Err(refusal.reason),
    }
}

/// Answers the requests that arrive one after the other, each after `took_us`.
fn answer(admission: &mut Admission, lane: LaneKey, took_us: u64, count: usize, from: TimeUs) -> TimeUs {
    (0..count).fold(from, |now, _| {
        let Ok(pass) = offer(admission, lane, now) else { return now };
        let ended = now.plus_us(took_us);
        admission.finish(pass, Completion::Answered { took_us }, ended);
        ended
    })
}

/// Guards against a first answer of 1.3 s that is taken for a deviation of 1.3 s as well, so that a deadline of 5 s counts
/// as too short.
#[test]
fn one_slow_answer_does_not_close_a_service() {
    let (mut admission, lane) = service();
    let now = answer(&mut admission, lane, 1_300_000, 1, TimeUs(0));
    assert!(offer(&mut admission, lane, now).is_ok());
}

/// Guards against a service that refuses everything forever: with all requests refused, no answer corrects the estimate
/// that refuses them.
#[test]
fn a_service_whose_answers_were_late_is_tried_again() {
    let (mut admission, lane) = service();
    let mut now = answer(&mut admission, lane, 40_000, 1, TimeUs(0));
    let running: Vec<_> = (0..40).map(|_| offer(&mut admission, lane, now).expect("a place is free")).collect();
    now = now.plus_us(6_000_000);
    for pass in running {
        admission.finish(pass, Completion::Answered { took_us: 6_000_000 }, now);
    }
    assert_eq!(offer(&mut admission, lane, now).err(), Some(Reason::TooLate));
    let mut tried = 0;
    for _ in 0..60 {
        now = now.plus_us(1_000_000);
        if let Ok(pass) = offer(&mut admission, lane, now) {
            // The service is tried with one request at a time.
            assert_eq!(offer(&mut admission, lane, now).err(), Some(Reason::TooLate));
            tried += 1;
            admission.finish(pass, Completion::Answered { took_us: 40_000 }, now.plus_us(40_000));
            break;
        }
    }
    assert_eq!(tried, 1, "no request was let through within a minute");
    // Quick answers bring the service back, each after a shorter wait.
    let mut answered = 0;
    for _ in 0..600 {
        now = now.plus_us(1_000_000);
        if let Ok(pass) = offer(&mut admission, lane, now) {
            answered += 1;
            admission.finish(pass, Completion::Answered { took_us: 40_000 }, now.plus_us(40_000));
        }
    }
    assert!(answered > 500, "{answered} of 600 were let through");
}

/// Guards against requests that are let through only to wait out their deadline, while the service is known to be slow.
#[test]
fn a_service_that_stays_slow_is_tried_rarely() {
    let (mut admission, lane) = service();
    let mut now = answer(&mut admission, lane, 6_000_000, 3, TimeUs(0));
    let (mut tried, mut refused) = (0, 0);
    for _ in 0..600 {
        now = now.plus_us(100_000);
        match offer(&mut admission, lane, now) {
            Ok(pass) => {
                tried += 1;
                now = now.plus_us(6_000_000);
                admission.finish(pass, Completion::Answered { took_us: 6_000_000 }, now);
            }
            Err(reason) => {
                refused += 1;
                assert_eq!(reason, Reason::TooLate);
            }
        }
    }
    assert!(tried >= 1 && refused > 20 * tried, "tried {tried}, refused {refused}");
}
