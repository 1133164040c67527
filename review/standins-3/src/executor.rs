//! A stand-in of an executor, as PROTOCOL.md describes it. The text `spec` of a job says how its tasks behave:
//! `work_ms=800` is the time that a task works, and `fail_ms=900` when its first run fails, if it does.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request, Response, Server},
    json::{Json, quoted},
    record::Record,
};

/// The longest lease, in milliseconds (`hold_max_ms`).
const HOLD_MAX_MS: u64 = 6_000;
/// How long a stop takes, in milliseconds; `stop_timeout_ms` allows 400.
const STOP_MS: u64 = 20;
/// The interval between liveness reports, in milliseconds (`heartbeat_ms`).
const HEARTBEAT_MS: u64 = 1_500;
/// Ends that are listed at a time.
const LISTED_ENDS: usize = 500;
/// How often runs and the lease are checked, in milliseconds.
const TICK_MS: u64 = 5;

/// What stays the same over all boots of an executor.
#[derive(Clone)]
pub struct Identity {
    pub name: String,
    pub app: SocketAddr,
    pub control_plane: SocketAddr,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u32,
    pub mem_mb: u32,
}

struct Run {
    run: u64,
    work_ms: u64,
    fail_ms: Option<u64>,
    started: Instant,
    stop_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    token: u64,
    running: BTreeMap<String, Run>,
    /// Ends that were not forgotten: number, task, run, how.
    ended: Vec<(u64, String, u64, String)>,
    last_number: u64,
    /// The highest run of each task that was stopped or has ended.
    finished: BTreeMap<String, u64>,
    lease_ms: u64,
    is_over: bool,
}

/// One boot of an executor.
struct Boot {
    id: String,
    born: u64,
    began: Instant,
    identity: Identity,
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

/// An executor, which can crash and start again at the same address.
pub struct Executor {
    pub identity: Identity,
    record: Record,
    boots: u64,
    server: Option<Server>,
    boot: Option<Arc<Boot>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

fn setting(spec: &str, name: &str) -> Option<u64> {
    spec.split(';').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Executor {
    pub fn new(identity: Identity, record: Record) -> Self {
        Self { identity, record, boots: 0, server: None, boot: None }
    }

    /// Begins a boot. Each has an id of its own.
    pub fn start(&mut self) -> std::io::Result<()> {
        self.boots += 1;
        let boot = Arc::new(Boot {
            id: format!("i-{}-{}", self.identity.name, self.boots),
            born: unix_ms(),
            began: Instant::now(),
            identity: self.identity.clone(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: self.record.clone(),
        });
        let serving = boot.clone();
        self.server = Some(Server::start(self.identity.app, move |request| serving.handle(request))?);
        self.record.line(&format!("executor {} starts: id={} born={}", self.identity.name, boot.id, boot.born));
        let ticking = boot.clone();
        thread::spawn(move || ticking.tick());
        let beating = boot.clone();
        thread::spawn(move || beating.beat());
        self.boot = Some(boot);
        Ok(())
    }

    /// Ends the boot as a crash does: nothing is sent, the connections break, and everything that runs is gone.
    pub fn crash(&mut self) {
        let Some(boot) = self.boot.take() else { return };
        let lost = {
            let mut state = boot.state.lock().unwrap();
            state.is_over = true;
            std::mem::take(&mut state.running)
        };
        boot.changed.notify_all();
        if let Some(mut server) = self.server.take() {
            server.end();
        }
        let lost: Vec<_> = lost.iter().map(|(task, run)| format!("{task} run {}", run.run)).collect();
        self.record.line(&format!("executor {} crashes; lost with it: [{}]", self.identity.name, lost.join(", ")));
    }

    /// The tasks that run, with the age of each run in milliseconds.
    pub fn running(&self) -> Vec<(String, u64)> {
        let Some(boot) = &self.boot else { return Vec::new() };
        let state = boot.state.lock().unwrap();
        state.running.iter().map(|(task, run)| (task.clone(), run.started.elapsed().as_millis() as u64)).collect()
    }
}

impl Boot {
    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1
    }

    /// Notes the end of a run. `state` is that of this boot.
    fn end(&self, state: &mut State, task: &str, how: &str) {
        let Some(run) = state.running.remove(task) else { return };
        state.last_number += 1;
        state.ended.push((state.last_number, task.to_owned(), run.run, how.to_owned()));
        let finished = state.finished.entry(task.to_owned()).or_default();
        *finished = run.run.max(*finished);
        self.record.line(&format!("run ends: task={task} run={} on={} how={how}", run.run, self.identity.name));
        self.changed.notify_all();
    }

    fn tick(&self) {
        loop {
            thread::sleep(Duration::from_millis(TICK_MS));
            let mut state = self.state.lock().unwrap();
            if state.is_over {
                return;
            }
            let (now, clock_ms) = (Instant::now(), self.clock_ms());
            let mut ends = Vec::new();
            for (task, run) in &state.running {
                let worked_ms = (now - run.started).as_millis() as u64;
                let how = match () {
                    () if run.stop_at.is_some_and(|at| now >= at) => "stopped",
                    () if run.fail_ms.is_some_and(|fail_ms| worked_ms >= fail_ms) => "failed",
                    () if worked_ms >= run.work_ms => "done",
                    () => continue,
                };
                ends.push((task.clone(), how));
            }
            if state.lease_ms < clock_ms {
                ends = state.running.keys().map(|task| (task.clone(), "lapsed")).collect();
            }
            for (task, how) in ends {
                self.end(&mut state, &task, how);
            }
        }
    }

    fn beat(&self) {
        let Identity { service, app, zone, rack, cpu, mem_mb, .. } = &self.identity;
        for sequence in 1_u64.. {
            if self.state.lock().unwrap().is_over {
                return;
            }
            let body = format!(
                "{{\"service\":{},\"address\":\"{app}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
                 \"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"gpu\":0}},\
                 \"labels\":[\"a\",{}],\"clock_ms\":{},\"born\":{},\"sequence\":{sequence}}}",
                quoted(service),
                quoted(zone),
                quoted(rack),
                self.clock_ms(),
                self.born
            );
            let path = format!("/fescuelead/instances/{}/heartbeat", self.id);
            let host = self.identity.control_plane.to_string();
            let answer = http::call(self.identity.control_plane, "POST", &path, &[("Host", &host)], &body, 1_000);
            let pause_ms = if answer.is_some_and(|(status, _)| status == 200) { HEARTBEAT_MS } else { 300 };
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if request.headers.get("fescuelead-expect-instance").is_some_and(|id| *id != self.id) {
            return Some(Response::new(421, "{}"));
        }
        let body = Json::parse(std::str::from_utf8(&request.body).ok()?)?;
        let token = body.number("fencing_token").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if state.is_over {
            return None;
        }
        let refusal = |reason: &str| {
            let clock_ms = self.clock_ms();
            Some(Response::new(409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}")))
        };
        if token < state.token {
            return refusal("fence");
        }
        state.token = token;
        let clock_ms = self.clock_ms();
        let deadline_ms = body.number("deadline_ms").map(|at| at.min(clock_ms + HOLD_MAX_MS));
        let done = || Some(Response::new(200, format!("{{\"clock_ms\":{}}}", self.clock_ms())));
        let task = body.text("task").unwrap_or_default().to_owned();
        let run = body.number("run_id").unwrap_or(0);
        match request.path.as_str() {
            "/fescuelead/run-start" => {
                if body.number("deadline_ms").is_none_or(|at| at < clock_ms) {
                    return refusal("late");
                }
                state.lease_ms = state.lease_ms.max(deadline_ms.unwrap_or(0));
                if state.running.get(&task).is_some_and(|known| known.run == run) {
                    return done();
                }
                let is_old = state.finished.get(&task).is_some_and(|finished| run <= *finished)
                    || state.running.get(&task).is_some_and(|known| run < known.run);
                if is_old {
                    return refusal("old");
                }
                let spec = body.text("spec").unwrap_or_default();
                let started = Instant::now();
                let fail_ms = setting(spec, "fail_ms").filter(|_| run == 1);
                let work_ms = setting(spec, "work_ms").unwrap_or(500);
                self.record.start(&task, run, &self.identity.name, spec);
                state.running.insert(task, Run { run, work_ms, fail_ms, started, stop_at: None });
                done()
            }
            "/fescuelead/run-stop" => {
                if let Some(known) = state.running.get_mut(&task).filter(|known| known.run == run) {
                    known.stop_at.get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
                } else {
                    let finished = state.finished.entry(task).or_default();
                    *finished = run.max(*finished);
                }
                done()
            }
            "/fescuelead/hold" => {
                state.lease_ms = state.lease_ms.max(deadline_ms.unwrap_or(0));
                let last_seen = body.number("last_seen").unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > last_seen);
                let until = Instant::now() + Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
                while state.ended.is_empty() && !state.is_over {
                    let Some(left) = until.checked_duration_since(Instant::now()) else { break };
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                if state.is_over {
                    return None;
                }
                let running = state.running.iter().map(|(task, run)| {
                    let worked_ms = run.started.elapsed().as_millis() as u64;
                    let percent = (worked_ms * 100 / run.work_ms.max(1)).min(100);
                    format!("[{},{},\"\",{percent},100]", quoted(task), run.run)
                });
                let ended = state.ended.iter().take(LISTED_ENDS);
                let ended = ended.map(|(n, task, run, how)| format!("[{n},{},{run},\"{how}\",\"\"]", quoted(task)));
                let body = format!(
                    "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
                    self.clock_ms(),
                    self.born,
                    running.collect::<Vec<_>>().join(","),
                    ended.collect::<Vec<_>>().join(",")
                );
                Some(Response::new(200, body))
            }
            "/fescuelead/pace" => done(),
            _ => Some(Response::new(404, "{}")),
        }
    }
}
