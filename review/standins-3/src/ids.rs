//! Consumers of two queues, of two services, choose the same id for their jobs.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    record::Record,
    site::{Pool, Route, Site},
};

const FIRST: &str = "/lohu930/";
const SECOND: &str = "/pufi791/";
const ID: &str = "0000000000000001";
const OTHER_ID: &str = "0000000000000002";

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let routes = [
        Route { name: "r-wrr6x73", prefix: FIRST, service: "huvo11a", priority: 0 },
        Route { name: "r-d3zji9n", prefix: SECOND, service: "kelu20b", priority: 0 },
    ];
    let pools = [
        Pool { service: "huvo11a", executors: 2, cpu: 16_000 },
        Pool { service: "kelu20b", executors: 2, cpu: 16_000 },
    ];
    let mut site = Site::start(record, 2, &pools, &routes)?;
    let step = "[{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":1000}]";
    let second_id = if trouble { ID } else { OTHER_ID };
    if !site.submit(FIRST, ID, "first;work_ms=1000", step)
        || !site.submit(SECOND, second_id, "second;work_ms=1000", step)
    {
        return Err("a job was not accepted".to_owned());
    }
    let until = Instant::now() + Duration::from_secs(20);
    let mut has_run = false;
    let mut state = String::new();
    while Instant::now() < until {
        has_run |= site.executors.iter().filter(|e| e.identity.service == "kelu20b").any(|e| !e.running().is_empty());
        state = site.state(SECOND, second_id);
        if state == "completed" {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(2));
    has_run |= site.executors.iter().filter(|e| e.identity.service == "kelu20b").any(|e| !e.running().is_empty());
    record.line(&format!("the second job: shown as {state}, a task of it has run: {has_run}"));
    Ok(if has_run && state == "completed" {
        Verdict::Held("both jobs have run".to_owned())
    } else {
        Verdict::Broken(format!("MIXED: the accepted second job is shown as {state}, and no task of it has run"))
    })
}
