//! Executors crash, one after the other, while they run the task of a job that could be done. `lasts` says whether the task is one
//! that lasts.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    record::Record,
    site::{Pool, Route, Site},
};

const PREFIX: &str = "/lohu930/";
const JOB: &str = "5c0e7a21d94b36f8";
/// Executors of the service. A crash of one is an eighth of them; the site's `srv_crash` goes up to 0.14.
const EXECUTORS: usize = 8;
/// How long a crashed executor is down, in milliseconds; `srv_crash` has up to 4.5 s.
const DOWN_MS: u64 = 800;
/// How long the task has run when its executor crashes, in milliseconds.
const AGE_MS: u64 = 200;
/// The time for a task to start, in milliseconds: well beyond the end of a lease.
const START_MS: u64 = 15_000;

/// The executor that runs a task of the job, once it has run there for [`AGE_MS`].
fn executor_at_work(site: &Site) -> Option<usize> {
    let until = Instant::now() + Duration::from_millis(START_MS);
    while Instant::now() < until {
        for (index, executor) in site.executors.iter().enumerate() {
            if executor.running().iter().any(|(task, age_ms)| task.starts_with(JOB) && *age_ms >= AGE_MS) {
                return Some(index);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

pub fn play(record: &Record, trouble: bool, lasts: bool) -> Result<Verdict, String> {
    let routes = [Route { name: "r-wrr6x73", prefix: PREFIX, service: "huvo11a", priority: 0 }];
    let mut site = Site::start(record, 2, &[Pool { service: "huvo11a", executors: EXECUTORS, cpu: 16_000 }], &routes)?;
    let step = if lasts {
        "[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":3000,\"long_running\":true}]"
    } else {
        "[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":3000}]"
    };
    let spec = if lasts { "work_ms=1000000" } else { "work_ms=3000" };
    if !site.submit(PREFIX, JOB, spec, step) {
        return Err("the job was not accepted".to_owned());
    }
    if trouble {
        for _ in 0..2 {
            let Some(index) = executor_at_work(&site) else { return Err("the task did not start".to_owned()) };
            site.executors[index].crash();
            thread::sleep(Duration::from_millis(DOWN_MS));
            site.executors[index].start().map_err(|e| e.to_string())?;
        }
    }
    // The job is asked for until 20 s after the last crash: the task takes 3 s, and all executors are up.
    let until = Instant::now() + Duration::from_secs(20);
    let mut state = String::new();
    while Instant::now() < until {
        state = site.state(PREFIX, JOB);
        let is_at_work = lasts && executor_at_work(&site).is_some();
        if state == "failed" || state == "cancelled" || state == "completed" || (is_at_work && state == "active") {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    // What is shown is final.
    thread::sleep(Duration::from_secs(3));
    state = if site.state(PREFIX, JOB) == state { state } else { format!("{state}, then another") };
    let ended = site.ended_processes();
    record.line(&format!("the job is shown as: {state}; processes that ended by themselves: {ended}"));
    let wanted = if lasts { "active" } else { "completed" };
    Ok(match state.as_str() {
        state if state == wanted => Verdict::Held(format!("the job is shown as {state}")),
        state => Verdict::Broken(format!(
            "LOST: the job is shown as {state}; no run of it has ended as failed, and nobody has cancelled it"
        )),
    })
}
