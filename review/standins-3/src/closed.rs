//! Large jobs come at once while each executor runs a long task. Small jobs go on coming, and a task that lasts fails once and has to
//! be started again.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    record::Record,
    site::{Pool, Route, Site},
};

const SMALL: &str = "/lohu930/";
const LARGE: &str = "/pufi791/";
const WATCH: &str = "/pule252/";
const WATCH_ID: &str = "00000000000000cc";
const EXECUTORS: usize = 8;
const CPU: u32 = 16_000;
/// How long small jobs come, in milliseconds, and the pause between two.
const TRAFFIC_MS: u64 = 22_000;
const PAUSE_MS: u64 = 200;
/// When the first run of the task that lasts fails, in milliseconds.
const FAILS_AFTER_MS: u64 = 12_000;
/// For how long nothing of a task that lasts may be at work, in milliseconds: 3 s, from 6 s after its last run on, and a margin.
const ALLOWED_MS: u64 = 6_000 + 3_000 + 500;

pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let route = |name, prefix| Route { name, prefix, service: "huvo11a", priority: 0 };
    let routes = [route("r-wrr6x73", SMALL), route("r-d3zji9n", LARGE), route("r-73hh2b9", WATCH)];
    let mut site = Site::start(record, 2, &[Pool { service: "huvo11a", executors: EXECUTORS, cpu: CPU }], &routes)?;
    let long = "[{\"count\":8,\"cpu\":6000,\"mem_mb\":256,\"estimate_ms\":100000,\"anti_affinity\":1}]";
    let watch = "[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":400,\"long_running\":true}]";
    let watch_spec = format!("work_ms=1000000;fail_ms={FAILS_AFTER_MS}");
    if !site.submit(LARGE, "00000000000000aa", "work_ms=100000", long)
        || !site.submit(WATCH, WATCH_ID, &watch_spec, watch)
    {
        return Err("the long jobs were not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        let large = "[{\"count\":4,\"cpu\":12000,\"mem_mb\":1024,\"estimate_ms\":2000}]";
        for id in ["00000000000000b1", "00000000000000b2"] {
            if !site.submit(LARGE, id, "work_ms=2000", large) {
                return Err("a large job was not accepted".to_owned());
            }
        }
    }
    let small = "[{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":300}]";
    let is_watched = |site: &Site| {
        site.executors.iter().any(|executor| executor.running().iter().any(|(task, _)| task.starts_with(WATCH_ID)))
    };
    let began = Instant::now();
    let (mut accepted, mut unwatched_since, mut unwatched_ms) = (0_u64, None::<Instant>, 0);
    while began.elapsed() < Duration::from_millis(TRAFFIC_MS) {
        let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + accepted);
        accepted += u64::from(site.submit(SMALL, &id, "work_ms=300", small));
        thread::sleep(Duration::from_millis(PAUSE_MS));
        if is_watched(&site) {
            unwatched_since = None;
        } else {
            let since = *unwatched_since.get_or_insert_with(Instant::now);
            unwatched_ms = unwatched_ms.max(since.elapsed().as_millis() as u64);
        }
    }
    let state = site.state(WATCH, WATCH_ID);
    let mut waiting = 0;
    for number in 0..accepted {
        waiting += u64::from(site.state(SMALL, &format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number)) == "queued");
    }
    record.line(&format!(
        "the job that lasts is shown as {state}; its task was not at work for up to {unwatched_ms} ms on end; \
         small jobs that wait: {waiting} of {accepted}"
    ));
    let in_use = site.executors.iter().flat_map(|executor| executor.running()).count() as u32 * 6;
    record.line(&format!("cores in use: at most {in_use} of {}", EXECUTORS as u32 * CPU / 1_000));
    Ok(if unwatched_ms <= ALLOWED_MS {
        Verdict::Held(format!("the task that lasts was away for at most {unwatched_ms} ms"))
    } else {
        Verdict::Broken(format!(
            "LOST: the task that lasts was not at work for {unwatched_ms} ms, and {waiting} of {accepted} small jobs wait, \
             while at most {in_use} of {} cores are in use",
            EXECUTORS as u32 * CPU / 1_000
        ))
    })
}
