//! A small deployment on loopback addresses: a store, executors, and the project's own processes beside them.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    executor::{Executor, Identity},
    http::{self, Request, Response, Server},
    record::Record,
    store::Store,
};

/// The host name of all routes.
pub const HOST: &str = "nony24.example";
/// How long consumers wait for an answer, in milliseconds.
const CALL_MS: u64 = 3_000;
/// How long the deployment may take until all of it is ready, in milliseconds.
const READY_MS: u64 = 20_000;

/// A queue.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub priority: u8,
}

/// The executors of a service.
pub struct Pool {
    pub service: &'static str,
    pub executors: usize,
    pub cpu: u32,
}

/// An address of the store, behind which it may turn callers away.
#[derive(Default)]
struct Door {
    away: AtomicBool,
    led_at: Mutex<Option<Instant>>,
}

impl Door {
    /// A call of a machine that is turned away is answered 503 and not carried out. So is a read that waited for records.
    fn handle(&self, store: &Store, request: &Request) -> Option<Response> {
        let refusal = || Some(Response::new(503, "{}"));
        if self.away.load(Ordering::SeqCst) {
            return refusal();
        }
        if request.query.contains_key("producer") {
            *self.led_at.lock().unwrap() = Some(Instant::now());
        }
        let response = store.handle(request);
        let is_read = request.path.ends_with("log-read");
        if is_read && self.away.load(Ordering::SeqCst) { refusal() } else { response }
    }
}

/// What runs. Ends all of it when it is dropped.
pub struct Site {
    pub executors: Vec<Executor>,
    pub record: Record,
    entries: Vec<SocketAddr>,
    processes: Vec<Child>,
    doors: Vec<Arc<Door>>,
    store_servers: Vec<Server>,
    folder: PathBuf,
    next_entry: usize,
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in &mut self.processes {
            drop(process.kill());
            drop(process.wait());
        }
        write_pids(&[]);
        self.executors.iter_mut().for_each(Executor::crash);
        self.store_servers.iter_mut().for_each(Server::end);
        if std::env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

/// Writes the ids of the processes that run, so that `run.sh` can end them if this program is ended.
fn write_pids(processes: &[Child]) {
    let Some(path) = std::env::var_os("REVIEW_PIDS") else { return };
    let ids: String = processes.iter().map(|process| format!("{}\n", process.id())).collect();
    if let Err(e) = fs::write(&path, ids) {
        eprintln!("the ids of the processes cannot be written: {e}");
    }
}

fn address(network: (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network.0, network.1, host)), port)
}

impl Site {
    /// Starts the deployment and waits until all of it is ready. Fails with what is missing.
    pub fn start(record: &Record, entries: usize, pools: &[Pool], routes: &[Route]) -> Result<Self, String> {
        let id = std::process::id();
        let network = (64 + (id >> 8) as u8 % 128, id as u8);
        let folder = std::env::temp_dir().join(format!("review-3-{id}"));
        fs::create_dir_all(&folder).map_err(|e| format!("no temporary folder: {e}"))?;
        let store = Store::new();
        let mut site = Self {
            executors: Vec::new(),
            record: record.clone(),
            entries: Vec::new(),
            processes: Vec::new(),
            doors: Vec::new(),
            store_servers: Vec::new(),
            folder,
            next_entry: 0,
        };
        let agents_store = site.open_door(&store, address(network, 250, 8_169))?;
        for index in 0..entries {
            let store_address = site.open_door(&store, address(network, 240 + index as u8, 8_169))?;
            let ip = address(network, 1 + index as u8, 0).ip();
            let frontend = SocketAddr::new(ip, 8_161);
            site.spawn("entry", &format!("edge-zone-{}-1", index + 1), ip, store_address, None, index)?;
            site.entries.push(frontend);
        }
        let mut number = 0;
        for pool in pools {
            for _ in 0..pool.executors {
                number += 1;
                let ip = address(network, 20 + number, 0).ip();
                let zone = 1 + (number as usize - 1) % entries;
                let identity = Identity {
                    name: format!("side-zone-{zone}-{number}"),
                    app: SocketAddr::new(ip, 8_165),
                    control_plane: SocketAddr::new(ip, 8_166),
                    service: pool.service.to_owned(),
                    zone: format!("zone-{zone}"),
                    rack: format!("r1-{}", 1 + (number - 1) / 3),
                    cpu: pool.cpu,
                    mem_mb: 64_000,
                };
                let name = identity.name.clone();
                let mut executor = Executor::new(identity, record.clone());
                executor.start().map_err(|e| format!("executor {name} cannot listen: {e}"))?;
                site.executors.push(executor);
                site.spawn("agent", &name, ip, agents_store, Some(SocketAddr::new(ip, 8_165)), zone - 1)?;
            }
        }
        let route = |route: &Route| {
            let Route { name, prefix, service, priority } = route;
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"non_idempotent\",\
                 \"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":{priority},\"service\":\"{service}\",\
                 \"max_attempts\":3,\"extension\":2.0}}"
            )
        };
        let routes: Vec<_> = routes.iter().map(route).collect();
        let config = format!("{{\"version\":7,\"routes\":[{}],\"services\":[],\"limits\":{{}}}}", routes.join(","));
        store.put("keyed.op", "config", &config);
        record.line(&format!("operator writes the configuration: {config}"));
        site.wait_until_ready()?;
        Ok(site)
    }

    /// Opens an address of the store.
    fn open_door(&mut self, store: &Arc<Store>, at: SocketAddr) -> Result<SocketAddr, String> {
        let door = Arc::new(Door::default());
        let (store, shared) = (store.clone(), door.clone());
        let server = Server::start(at, move |request| shared.handle(&store, request));
        self.store_servers.push(server.map_err(|e| format!("the store cannot listen on {at}: {e}"))?);
        self.doors.push(door);
        Ok(at)
    }

    /// The entry that has last written to the store under a condition.
    pub fn leader(&self) -> usize {
        let written = |door: &Arc<Door>| *door.led_at.lock().unwrap();
        (0..self.entries.len()).max_by_key(|entry| written(&self.doors[entry + 1])).unwrap_or(0)
    }

    /// Lets the store turn away an entry with 503, or serve it again.
    pub fn turn_away(&self, entry: usize, away: bool) {
        self.record.line(&format!("the store {} the entry {}", if away { "turns away" } else { "serves" }, entry + 1));
        self.doors[entry + 1].away.store(away, Ordering::SeqCst);
    }

    /// Starts one of the project's own processes with the command of the deploy file.
    fn spawn(
        &mut self,
        role: &str,
        name: &str,
        ip: IpAddr,
        store: SocketAddr,
        app: Option<SocketAddr>,
        zone: usize,
    ) -> Result<(), String> {
        let (class, cpu_share, memory_mb) = if app.is_some() { ("side", 0.15, 128) } else { ("edge", 0.25, 260) };
        let listen = match app {
            Some(_) => format!("{{\"control_plane\":\"{ip}:8166\"}}"),
            None => format!("{{\"frontend\":\"{ip}:8161\",\"readiness\":\"{ip}:8167\"}}"),
        };
        let app = app.map(|app| format!("\"app\":\"{app}\",")).unwrap_or_default();
        let settings = format!(
            "{{\"node_name\":\"{name}\",\"role\":\"{role}\",\"machine_class\":\"{class}\",\"serves\":[\"{class}\"],\
             \"ip\":\"{ip}\",\"zone\":\"zone-{}\",\"region\":\"r\",\"listen\":{listen},\
             \"internal_ports\":[7720,7735],\"seeds\":[],\"bootstrap\":true,\
             \"limits\":{{\"cpu_share\":{cpu_share},\"cores\":1,\"memory_mb\":{memory_mb},\"max_fds\":4100}},{app}\
             \"heartbeat_ms\":1500,\"bounds\":{{\"stability_window_ms\":3000,\"ack_timeout_ms\":4000,\
             \"drain_ms\":2000,\"grace_s\":6,\"hold_max_ms\":6000,\"stop_timeout_ms\":400,\"gang_timeout_ms\":3000,\
             \"cancel_ms\":3000,\"visible_ms\":3000,\"early_ms\":250,\"finish_s\":14,\"status_s\":120}},\
             \"control_mode\":\"rpc\",\"platform\":{{\"address\":\"{store}\",\"form\":\"log\",\"writes_per_s\":800,\
             \"reads_per_s\":2000,\"parts\":32,\"record_bytes\":262144,\"request_bytes\":2097152,\"keep_s\":300}}}}",
            zone + 1
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).map_err(|e| format!("settings of {name}: {e}"))?;
        let log = File::create(self.folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let program = Path::new("target/release/fescuelead-node");
        let process = Command::new(program)
            .arg(role)
            .env("FESCUELEAD_BOOT", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|e| e.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|e| format!("{} cannot be started: {e}", program.display()))?;
        self.record.line(&format!("process starts: {role} {name} on {ip}"));
        self.processes.push(process);
        write_pids(&self.processes);
        Ok(())
    }

    /// Waits until the entries answer the platform's probes with 200, and for a leader.
    fn wait_until_ready(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_millis(READY_MS);
        for entry in self.entries.clone() {
            let readiness = SocketAddr::new(entry.ip(), 8_167);
            let host = readiness.to_string();
            let is_ready = || {
                let answer = http::call(readiness, "GET", "/fescuelead/readyz", &[("Host", &host)], "", 500);
                answer.is_some_and(|(status, _)| status == 200)
            };
            while !is_ready() {
                if Instant::now() > deadline {
                    return Err(format!("the entry at {entry} is not ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        // A leader has to be elected and connected to all agents.
        thread::sleep(Duration::from_millis(5_000));
        self.record.line("the deployment is ready");
        Ok(())
    }

    /// Sends a consumer's request to an entry, each to the next one. Answers status 0 for no answer.
    pub fn call(&mut self, method: &str, path: &str, body: &str) -> (u16, String) {
        self.next_entry += 1;
        self.call_at(self.next_entry % self.entries.len(), method, path, body)
    }

    /// Sends a consumer's request to one entry.
    pub fn call_at(&mut self, entry: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let entry = self.entries[entry];
        let headers = [("Host", HOST), ("Fescuelead-Deadline-Ms", "3000")];
        let answer = http::call(entry, method, path, &headers, body, CALL_MS);
        let (status, text) = answer.unwrap_or((0, "no answer".to_owned()));
        self.record.line(&format!("{method} {path} {body} at {} -> {status} {text}", entry.ip()));
        (status, text)
    }

    /// Hands in a job; its steps are JSON. Returns whether it was accepted.
    pub fn submit(&mut self, prefix: &str, id: &str, spec: &str, steps: &str) -> bool {
        let body = format!("{{\"spec\":\"{spec}\",\"steps\":{steps}}}");
        (0..4).any(|attempt| {
            if attempt > 0 {
                thread::sleep(Duration::from_millis(300));
            }
            self.call("POST", &format!("{prefix}{id}"), &body).0 == 200
        })
    }

    /// The state of a job, or the status of the answer.
    pub fn state(&mut self, prefix: &str, id: &str) -> String {
        let (status, text) = self.call("GET", &format!("{prefix}{id}"), "");
        let state = crate::json::Json::parse(&text).and_then(|json| json.text("state").map(str::to_owned));
        state.unwrap_or(status.to_string())
    }

    /// The processes that have ended by themselves.
    pub fn ended_processes(&mut self) -> usize {
        self.processes.iter_mut().filter_map(|process| process.try_wait().ok().flatten()).count()
    }
}
