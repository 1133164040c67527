//! The store turns away the entry that leads, and a little later the other one, and serves both again after some seconds. In between,
//! while the other one is still served, consumers cancel jobs there.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    record::Record,
    site::{Pool, Route, Site},
};

const PREFIX: &str = "/lohu930/";
/// How often this is played.
const ROUNDS: u64 = 8;
const JOBS: u64 = 6;
/// The pause from the submission to the disruption, from there to the cancellations, and to the disruption of the other entry.
const BEFORE_MS: u64 = 300;
const CANCEL_AFTER_MS: u64 = 100;
const OTHER_AFTER_MS: u64 = 700;
/// For how long the entries are turned away; `platform_down` on some machines has up to 9 s.
const AWAY_MS: u64 = 4_000;
/// The pause until the next round.
const SETTLE_MS: u64 = 4_000;
/// When no task of a cancelled job may start any more, in seconds after the answer (`cancel_ms`).
const CANCEL_S: f64 = 3.0;

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let routes = [Route { name: "r-wrr6x73", prefix: PREFIX, service: "huvo11a", priority: 0 }];
    let mut site = Site::start(record, 2, &[Pool { service: "huvo11a", executors: 8, cpu: 16_000 }], &routes)?;
    let steps = "[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":1000},\
                 {\"count\":3,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":1000,\"depends_on\":[0]}]";
    let mut cancelled = Vec::new();
    for round in 0..ROUNDS {
        let (leader, ids) = (site.leader(), (0..JOBS).map(|job| format!("5c0e7a21{:04x}{job:04x}", round + 1)));
        let accepted: Vec<_> = ids.filter(|id| site.submit(PREFIX, id, "work_ms=1000", steps)).collect();
        thread::sleep(Duration::from_millis(BEFORE_MS));
        if trouble {
            site.turn_away(leader, true);
        }
        thread::sleep(Duration::from_millis(CANCEL_AFTER_MS));
        for id in accepted {
            let (status, _) = site.call_at(1 - leader, "DELETE", &format!("{PREFIX}{id}"), "");
            if status == 200 {
                cancelled.push((id, record.seconds()));
            }
        }
        thread::sleep(Duration::from_millis(OTHER_AFTER_MS - CANCEL_AFTER_MS));
        if trouble {
            site.turn_away(1 - leader, true);
        }
        thread::sleep(Duration::from_millis(AWAY_MS));
        if trouble {
            site.turn_away(leader, false);
            thread::sleep(Duration::from_millis(OTHER_AFTER_MS));
            site.turn_away(1 - leader, false);
        }
        thread::sleep(Duration::from_millis(SETTLE_MS));
    }
    let starts = record.starts();
    let mut late = 0;
    for start in &starts {
        let Some((id, acked_s)) = cancelled.iter().find(|(id, _)| start.task.starts_with(id.as_str())) else {
            continue;
        };
        if start.at_s > acked_s + CANCEL_S {
            late += 1;
            record.line(&format!(
                "UNASKED: {} starts on {} at {:.3}, {:.3} s after the cancelling of {id} was acknowledged",
                start.task,
                start.executor,
                start.at_s,
                start.at_s - acked_s
            ));
        }
    }
    record.line(&format!("cancelled jobs: {}; starts: {}; late ones: {late}", cancelled.len(), starts.len()));
    Ok(if late == 0 {
        Verdict::Held(format!(
            "no task of {} cancelled jobs has started more than {CANCEL_S} s after the answer",
            cancelled.len()
        ))
    } else {
        Verdict::Broken(format!(
            "UNASKED: {late} tasks have started more than {CANCEL_S} s after the cancelling of their jobs was acknowledged"
        ))
    })
}
