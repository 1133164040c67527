//! What the request path adds to a direct call of the same endpoint. Entry, agent, endpoint and load generator are
//! processes of their own. Run `cargo bench -p fescueleadd --bench request_path -- --minutes 10` for the long version.

#[path = "../tests/support/site.rs"]
mod site;

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use fescuelead_core::ids::ServiceName;
use fescuelead_standin::{endpoint::EndpointStandin, log::LogStandin, worker::WorkerStandin};
use hdrhistogram::Histogram;
use site::{Caller, Daemon, eventually};
use tokio_util::sync::CancellationToken;

const PROFILES: &str = r#"
    [team.storefront]
    quota = { cpu_milli = 100000, memory_mib = 100000 }
    [profile.store-preview]
    kind = "latency-critical"
    team = "storefront"
    idempotent = true
    [service.previews]
    profile = "store-preview"
"#;

/// Connections of the load generator, and slots of the endpoint.
const CONNECTIONS: usize = 16;
const IDLE_CONNECTIONS: usize = 1_000;
const SHORT_S: u64 = 20;
/// Direct calls and calls through the path take turns of this length in the paired runs.
const SLICE_S: f64 = 1.0;

const MAX_ADDED_P99_US: f64 = 300.0;
const MIN_RATE_PER_CORE: f64 = 20_000.0;
const MAX_CONNECTION_BYTES: f64 = 16.0 * 1_024.0;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["endpoint", agent] => run_endpoint(agent.parse().expect("an address")),
        ["load", address, path, rate, seconds] => {
            run_load(address, path, rate.parse().expect("a rate"), seconds.parse().expect("seconds"));
        }
        ["pairs", direct, through, rate, rounds] => run_pairs(
            [(direct, "/x"), (through, "/s/previews/x")],
            rate.parse().expect("a rate"),
            rounds.parse().expect("rounds"),
        ),
        _ => compare(minutes(&words)),
    }
}

fn minutes(words: &[&str]) -> Option<u64> {
    let at = words.iter().position(|word| *word == "--minutes")?;
    words.get(at + 1)?.parse().ok()
}

/// The endpoint process: serves, announces itself and ends with its parent.
#[tokio::main(worker_threads = 2)]
async fn run_endpoint(agent: SocketAddr) {
    let endpoint = EndpointStandin::new(ServiceName::new("previews").expect("a valid name"))
        .with_slots(2 * CONNECTIONS as u32)
        .with_connections(4 * CONNECTIONS as u32);
    let token = CancellationToken::new();
    let address = endpoint.serve("127.0.0.1:0".parse().expect("an address"), token.clone()).await.expect("loopback");
    drop(endpoint.announce(address, agent, token));
    println!("{address}");
    let end = tokio::task::spawn_blocking(|| std::io::stdin().read(&mut [0]));
    drop(end.await);
}

/// The load process: blocking connections, each with its own schedule. A rate of zero sends as fast as answers come.
/// Prints the median, the 99th percentile of both halves and of all (µs), and the number of answers.
fn run_load(address: &str, path: &str, rate: f64, seconds: f64) {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let half = Instant::now() + Duration::from_secs_f64(seconds / 2.0);
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|index| {
            let mut connection = Connection::open(address, path);
            let gap = (rate > 0.0).then(|| Duration::from_secs_f64(CONNECTIONS as f64 / rate));
            std::thread::spawn(move || {
                let mut halves = [histogram(), histogram()];
                let mut next = Instant::now() + gap.unwrap_or_default() * index as u32 / CONNECTIONS as u32;
                while Instant::now() < end {
                    let due = if gap.is_some() { next } else { Instant::now() };
                    let took_us = connection.next_request_at(due);
                    halves[usize::from(due > half)].saturating_record(took_us);
                    next += gap.unwrap_or_default();
                }
                halves
            })
        })
        .collect();
    let mut halves = [histogram(), histogram()];
    for thread in threads {
        let results = thread.join().expect("a load thread");
        halves.iter_mut().zip(&results).for_each(|(sum, result)| sum.add(result).expect("the same range"));
    }
    let mut all = halves[0].clone();
    all.add(&halves[1]).expect("the same range");
    let p99 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99);
    println!("{} {} {} {} {}", all.value_at_quantile(0.5), p99(&all), p99(&halves[0]), p99(&halves[1]), all.len());
}

/// Like [`run_load`] at a rate, with two targets that take turns, so that a stall of the machine meets both. Each slice
/// sends its whole schedule, however late, and all threads begin a slice together. Prints a line for each round: the 99th
/// percentile (µs) of both targets, and the number of answers.
fn run_pairs(targets: [(&str, &str); 2], rate: f64, rounds: usize) {
    let gap = Duration::from_secs_f64(CONNECTIONS as f64 / rate);
    let requests = (SLICE_S * rate / CONNECTIONS as f64).ceil() as u32;
    let together = Arc::new(std::sync::Barrier::new(CONNECTIONS));
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|index| {
            let mut connections = targets.map(|(address, path)| Connection::open(address, path));
            let together = Arc::clone(&together);
            std::thread::spawn(move || {
                let slice = |connection: &mut Connection| {
                    let mut results = histogram();
                    together.wait();
                    let first = Instant::now() + gap * index as u32 / CONNECTIONS as u32;
                    for number in 0..requests {
                        let took_us = connection.next_request_at(first + gap * number);
                        results.saturating_record(took_us);
                    }
                    results
                };
                (0..rounds).map(|_| connections.each_mut().map(slice)).collect::<Vec<_>>()
            })
        })
        .collect();
    let mut sums = vec![[histogram(), histogram()]; rounds];
    for thread in threads {
        let results = thread.join().expect("a load thread");
        for (sum, result) in sums.iter_mut().flatten().zip(results.iter().flatten()) {
            sum.add(result).expect("the same range");
        }
    }
    for [direct, through] in sums {
        let p99 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99);
        println!("{} {} {}", p99(&direct), p99(&through), direct.len() + through.len());
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

/// A keep-alive connection that sends one small request at a time.
struct Connection {
    stream: BufReader<TcpStream>,
    request: String,
}

impl Connection {
    fn open(address: &str, path: &str) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_nodelay(true).expect("a socket");
        let request = format!("GET {path} HTTP/1.1\r\nhost: bench\r\nx-request-id: bench\r\n\r\n");
        Self { stream: BufReader::with_capacity(1_024, stream), request }
    }

    /// Asks when it is time and says how long that took (µs). Waking late is the generator's fault; an answer that delays
    /// the next request is not.
    fn next_request_at(&mut self, due: Instant) -> u64 {
        let early = due.saturating_duration_since(Instant::now());
        let start = if early.is_zero() {
            due
        } else {
            std::thread::sleep(early);
            Instant::now()
        };
        self.ask();
        u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn ask(&mut self) {
        self.stream.get_mut().write_all(self.request.as_bytes()).expect("a request");
        let (mut line, mut length, mut first) = (String::new(), 0, true);
        loop {
            line.clear();
            self.stream.read_line(&mut line).expect("a head");
            assert!(!first || line.starts_with("HTTP/1.1 200"), "{line:?}");
            first = false;
            if line == "\r\n" {
                break;
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length");
            }
        }
        self.stream.read_exact(&mut vec![0; length]).expect("a body");
    }
}

/// A process of this program in another part; ends when its handle is dropped.
struct Part {
    child: Child,
}

impl Part {
    fn start(arguments: &[&str]) -> Self {
        let child = Command::new(std::env::current_exe().expect("a path"))
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the part starts");
        Self { child }
    }

    fn line(&mut self) -> String {
        self.lines().next().expect("a line")
    }

    fn lines(&mut self) -> impl Iterator<Item = String> + use<> {
        let output = self.child.stdout.take().expect("piped output");
        BufReader::new(output).lines().map(|line| line.expect("a line"))
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// What one run of the load generator measured.
#[derive(Debug, Clone, Copy)]
struct Measured {
    p50_us: f64,
    p99_us: f64,
    halves_p99_us: [f64; 2],
    answers: f64,
}

fn load(address: SocketAddr, path: &str, rate: f64, seconds: f64) -> Measured {
    let arguments = [&address.to_string(), path, &rate.to_string(), &seconds.to_string()];
    let line = Part::start(&[&["load"][..], &arguments].concat()).line();
    let numbers: Vec<f64> = line.split(' ').map(|text| text.parse().expect("a number")).collect();
    let [p50_us, p99_us, first, second, answers] = numbers[..] else { panic!("the load generator failed: {line:?}") };
    Measured { p50_us, p99_us, halves_p99_us: [first, second], answers }
}

/// What paired rounds add at p99 (µs), in rising order.
fn added_p99_us(direct: SocketAddr, through: SocketAddr, rate: f64, rounds: u64) -> Vec<f64> {
    let arguments = [direct.to_string(), through.to_string(), rate.to_string(), rounds.to_string()];
    let mut part = Part::start(&["pairs", &arguments[0], &arguments[1], &arguments[2], &arguments[3]]);
    let mut added: Vec<f64> = part
        .lines()
        .map(|line| {
            let numbers: Vec<f64> = line.split(' ').map(|text| text.parse().expect("a number")).collect();
            let [direct, through, _] = numbers[..] else { panic!("the load generator failed: {line:?}") };
            through - direct
        })
        .collect();
    assert_eq!(added.len() as u64, rounds, "the load generator failed");
    added.sort_by(f64::total_cmp);
    added
}

/// Time that the hypervisor gave to others, summed over all cores (field 8 of the first line of /proc/stat, in ticks of 10 ms).
fn stolen_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/stat").expect("/proc/stat");
    let ticks = stat.lines().next().and_then(|line| line.split_whitespace().nth(8)).expect("the time stolen");
    ticks.parse::<f64>().expect("ticks") / 100.0
}

/// User and system time of a process, from /proc/PID/stat (fields 14 and 15, in ticks of 10 ms).
fn cpu_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("a process");
    let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ').skip(11);
    fields.take(2).map(|ticks| ticks.parse::<f64>().expect("ticks") / 100.0).sum()
}

fn rss_bytes(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("VmRSS");
    line.trim().trim_end_matches(" kB").parse::<f64>().expect("kB") * 1_024.0
}

fn report(measure: &str, value: f64, bound: Option<(f64, bool)>) {
    let (text, verdict) = match bound {
        None => ("none".to_owned(), ""),
        Some((bound, ok)) => (bound.to_string(), if ok { " ok" } else { " RED" }),
    };
    println!("request_path measure={measure} value={value:.1} bound={text}{verdict}");
}

fn at_most(measure: &str, value: f64, bound: f64) {
    report(measure, value, Some((bound, value <= bound)));
}

#[tokio::main]
async fn compare(minutes: Option<u64>) {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let token = CancellationToken::new();
    let log = LogStandin::new().serve(any, token.clone()).await.expect("loopback");
    let worker = WorkerStandin::new("worker").serve(any, token.clone()).await.expect("loopback");
    let entry = Daemon::entry("entry", "az-1", log, &[]);
    let agent = Daemon::agent("agent", "az-1", worker, &[&entry], &[]);
    let mut endpoint = Part::start(&["endpoint", &agent.api.to_string()]);
    let direct: SocketAddr = endpoint.line().parse().expect("an address");
    let caller = Caller::new();
    eventually("readiness", || async { caller.is_ready(entry.api).await == Ok(true) }).await;
    caller.publish(entry.api, PROFILES).await;
    let uri = format!("http://{}/s/previews/x", entry.request);
    eventually("an answer", || async {
        let answer = caller.send(hyper::Request::get(&uri), "").await;
        answer.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
    // Blocking from here on: the stand-ins of this process run on other threads.
    tokio::task::block_in_place(|| measure(&entry, &agent, direct, minutes));
}

fn measure(entry: &Daemon, agent: &Daemon, direct: SocketAddr, minutes: Option<u64>) {
    load(entry.request, "/s/previews/x", 0.0, 1.0);
    let before_s = [entry, agent].map(|daemon| cpu_s(daemon.pid()));
    let full = load(entry.request, "/s/previews/x", 0.0, 3.0);
    let spent_s = [cpu_s(entry.pid()) - before_s[0], cpu_s(agent.pid()) - before_s[1]];
    let rate = full.answers / 3.0;
    report("full_load_rate_s", rate, None);
    let per_core = spent_s.map(|spent_s| full.answers / spent_s.max(0.01));
    report("rate_per_entry_core_s", per_core[0], Some((MIN_RATE_PER_CORE, per_core[0] >= MIN_RATE_PER_CORE)));
    report("rate_per_agent_core_s", per_core[1], None);
    report("rate_per_core_of_both_s", full.answers / spent_s.iter().sum::<f64>().max(0.01), None);

    let seconds = minutes.map_or(SHORT_S, |minutes| minutes * 60) as f64;
    let before_bytes = rss_bytes(entry.pid());
    let (short, path) = (seconds.min(10.0), "/s/previews/x");
    let (begun, stolen_before_s) = (Instant::now(), stolen_s());
    let base = load(direct, "/x", rate / 2.0, short);
    let through = load(entry.request, path, rate / 2.0, seconds);
    report("direct_p50_us", base.p50_us, None);
    report("direct_p99_us", base.p99_us, None);
    report("added_p50_us", through.p50_us - base.p50_us, None);
    at_most("added_p99_us", through.p99_us - base.p99_us, MAX_ADDED_P99_US);
    at_most("added_p99_us_second_half", through.halves_p99_us[1] - base.p99_us, MAX_ADDED_P99_US);
    // The bound on memory a connection holds at the end of the run as at its start.
    let grown = (rss_bytes(entry.pid()) - before_bytes) / CONNECTIONS as f64;
    at_most("growth_bytes_per_connection", grown, MAX_CONNECTION_BYTES);

    let rounds = (seconds / (2.0 * SLICE_S)) as u64;
    let added = added_p99_us(direct, entry.request, rate / 2.0, rounds);
    at_most("added_p99_us_median_round", added[added.len() / 2], MAX_ADDED_P99_US);
    at_most("added_p99_us_worst_round", added[added.len() - 1], MAX_ADDED_P99_US);
    let cores = std::thread::available_parallelism().map_or(1.0, |cores| cores.get() as f64);
    let stolen = (stolen_s() - stolen_before_s) / begun.elapsed().as_secs_f64() / cores;
    report("stolen_percent_of_all_cores", stolen * 100.0, None);

    let before_bytes = rss_bytes(entry.pid());
    let address = entry.request.to_string();
    let idle: Vec<_> = (0..IDLE_CONNECTIONS)
        .map(|_| {
            let mut connection = Connection::open(&address, path);
            connection.ask();
            connection
        })
        .collect();
    let grown = (rss_bytes(entry.pid()) - before_bytes) / idle.len() as f64;
    at_most("memory_per_idle_connection_bytes", grown, MAX_CONNECTION_BYTES);
}
