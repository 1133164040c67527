//! The release binaries on loopback, measured from `/proc`.
//!
//! Build them first: `cargo build --release -p fescueleadd -p fescuelead-standin`. At most eleven processes run at a time.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;

use crate::measure::{Report, heading};

const KEYS: &str = "k1:000102030405060708090a0b0c0d0e0f";
const TOKEN: &str = "capacity-operator-token";
const ANY: &str = "127.0.0.1:0";
const AGENTS: usize = 3;
/// Running tasks of a host.
const TASKS: usize = 10;
/// How long one state is measured.
const SPAN: Duration = Duration::from_secs(8);
/// The kernel counts processor time in ticks of 10 ms.
const TICKS_PER_S: f64 = 100.0;

/// A process that ends with this value.
struct Process {
    child: Child,
    lines: Vec<String>,
}

impl Process {
    fn start(binary: &str, arguments: &[&str], lines: usize) -> anyhow::Result<Self> {
        let path = format!("{}/target/release/{binary}", env!("CARGO_MANIFEST_DIR"));
        let child = Command::new(&path)
            .args(arguments)
            .env("RUST_LOG", "warn")
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .with_context(|| format!("{path} does not start; run cargo build --release --bins first"))?;
        let mut process = Self { child, lines: Vec::new() };
        let stdout = process.child.stdout.take().context("stdout is piped")?;
        process.lines = BufReader::new(stdout).lines().take(lines).collect::<Result<_, _>>()?;
        Ok(process)
    }

    /// The address behind `key` in what it printed.
    fn address(&self, key: &str) -> anyhow::Result<SocketAddr> {
        let words = self.lines.iter().flat_map(|line| line.split([' ', '='])).collect::<Vec<_>>();
        let place = words.iter().position(|word| *word == key).with_context(|| format!("no {key} address"))?;
        Ok(words.get(place + 1).context("an address follows")?.parse()?)
    }

    fn usage(&self) -> anyhow::Result<Usage> {
        let read = |file: &str| fs::read_to_string(format!("/proc/{}/{file}", self.child.id()));
        let stat = read("stat")?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        let status = read("status")?;
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("VmRSS is in status")?;
        let kib: f64 = rss.trim().trim_end_matches(" kB").parse()?;
        Ok(Usage { cpu_s: ticks / TICKS_PER_S, rss_mib: kib / 1_024.0 })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[derive(Debug, Clone, Copy)]
struct Usage {
    cpu_s: f64,
    rss_mib: f64,
}

/// Bytes that one relayed port has carried in both directions.
type Carried = Arc<AtomicU64>;

/// Passes connections to `target` on and counts their bytes.
fn relay(target: SocketAddr, carried: &Carried) -> anyhow::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(ANY)?;
    let address = listener.local_addr()?;
    let carried = carried.clone();
    thread::spawn(move || {
        for inbound in listener.incoming().flatten() {
            let Ok(outbound) = TcpStream::connect(target) else { continue };
            let (Ok(from), Ok(to)) = (inbound.try_clone(), outbound.try_clone()) else { continue };
            let (there, back) = (carried.clone(), carried.clone());
            thread::spawn(move || copy(from, outbound, &there));
            thread::spawn(move || copy(to, inbound, &back));
        }
    });
    Ok(address)
}

fn copy(mut from: TcpStream, mut to: TcpStream, carried: &Carried) {
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let mut buffer = [0; 16 * 1_024];
    while let Ok(count @ 1..) = std::io::Read::read(&mut from, &mut buffer) {
        carried.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}

/// Entries with their log, and hosts. Agents reach the entries through counting relays.
struct Site {
    entries: Vec<Process>,
    agents: Vec<Process>,
    carried: Carried,
    others: Vec<Process>,
}

impl Site {
    fn start(entries: usize) -> anyhow::Result<Self> {
        let log = Process::start("fescuelead-standin", &["log", "--listen", ANY], 1)?;
        let mut workers = vec!["worker", "--cpu-milli", "30000", "--memory-mib", "128000"];
        (0..AGENTS).for_each(|_| workers.extend(["--listen", ANY]));
        let workers = Process::start("fescuelead-standin", &workers, AGENTS)?;
        let log_address = log.address("listening")?.to_string();
        let mut site = Self { entries: Vec::new(), agents: Vec::new(), carried: Carried::default(), others: vec![log] };
        let relays: Vec<_> = (0..entries).map(|n| site.start_entry(n, &log_address)).collect::<Result<_, _>>()?;
        for (index, line) in workers.lines.iter().enumerate() {
            site.start_agent(index, line.trim_start_matches("listening "), &relays.join(","))?;
        }
        site.others.push(workers);
        Ok(site)
    }

    /// Starts an entry and returns the address of its relay.
    fn start_entry(&mut self, number: usize, log: &str) -> anyhow::Result<String> {
        // The advertised address must be known before the entry listens, so the relay's target port is chosen first.
        let peer = std::net::TcpListener::bind(ANY)?.local_addr()?;
        let relayed = relay(peer, &self.carried)?.to_string();
        let (name, peer) = (format!("entry-{number}"), peer.to_string());
        let mut arguments = vec!["--role", "entry", "--name", &name, "--availability-zone", "az-1"];
        arguments.extend(["--peer-keys", KEYS, "--log-address", log, "--operator-token", TOKEN]);
        arguments.extend(["--peer-listen", &peer, "--peer-advertise", &relayed]);
        self.entries.push(Process::start("fescueleadd", &arguments, 2)?);
        Ok(relayed)
    }

    fn start_agent(&mut self, number: usize, worker: &str, entries: &str) -> anyhow::Result<()> {
        let name = format!("agent-{number}");
        let mut arguments = vec!["--role", "agent", "--name", &name, "--availability-zone", "az-1"];
        arguments.extend(["--peer-keys", KEYS, "--worker-address", worker, "--entries", entries]);
        self.agents.push(Process::start("fescueleadd", &arguments, 1)?);
        Ok(())
    }

    fn start_endpoints(&mut self) -> anyhow::Result<()> {
        for agent in &self.agents {
            let api = agent.address("api")?.to_string();
            let endpoint = ["endpoint", "--listen", ANY, "--service", "previews", "--agent", &api, "--work-ms", "2"];
            self.others.push(Process::start("fescuelead-standin", &endpoint, 1)?);
        }
        Ok(())
    }

    fn call(&self, listener: &str, method: &str, path: &str, body: &str) -> anyhow::Result<String> {
        let mut stream = TcpStream::connect(self.entries[0].address(listener)?)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let length = body.len();
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {TOKEN}\r\nif-match: \"0\"\r\n\
             content-type: application/json\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        )?;
        let mut answer = String::new();
        std::io::Read::read_to_string(&mut stream, &mut answer)?;
        Ok(answer)
    }

    /// Measures all processes over [`SPAN`] while `load` runs, and prints entry and agent.
    fn measure(&self, state: &str, report: &mut Report, load: impl Fn(Instant)) -> anyhow::Result<()> {
        let before: Vec<_> = self.agents.iter().map(Process::usage).collect::<Result<_, _>>()?;
        let (entry, carried) = (self.entries[0].usage()?, self.carried.load(Ordering::Relaxed));
        let start = Instant::now();
        load(start + SPAN);
        thread::sleep(SPAN.saturating_sub(start.elapsed()));
        let seconds = start.elapsed().as_secs_f64();
        let share = |before: Usage, after: Usage| 100.0 * (after.cpu_s - before.cpu_s) / seconds;
        let carried = self.carried.load(Ordering::Relaxed) - carried;
        for (number, (before, agent)) in before.iter().zip(&self.agents).enumerate() {
            let after = agent.usage()?;
            report.at_most(format!("{state}: agent {number}, processor time"), share(*before, after), 0.5, "% core");
            report.at_most(format!("{state}: agent {number}, resident memory"), after.rss_mib, 32.0, "MB");
        }
        let kb_s = carried as f64 / seconds / 1e3 / AGENTS as f64;
        report.at_most(format!("{state}: control traffic of an agent, without TCP/IP headers"), kb_s, 7.0, "KB/s");
        let after = self.entries[0].usage()?;
        report.at_most(
            format!("{state}: entry with {AGENTS} agents, processor time"),
            share(entry, after),
            2.4,
            "% core",
        );
        report.at_most(format!("{state}: entry with {AGENTS} agents, resident memory"), after.rss_mib, 128.0, "MB");
        Ok(())
    }

    fn wait_until_ready(&self) -> anyhow::Result<()> {
        for _ in 0..100 {
            if self.call("api", "GET", "/readyz", "").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200")) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        anyhow::bail!("the entry is not ready after 10 s")
    }
}

/// Measures idle and busy processes with this many entries; under a minute in all.
pub fn run(entries: usize, report: &mut Report) -> anyhow::Result<()> {
    heading("release binaries on loopback: 3 agents with 1 endpoint each");
    let mut site = Site::start(entries)?;
    site.wait_until_ready()?;
    let text = include_str!("../../examples/profiles/sursetu.toml");
    let body = serde_json::json!({ "text": text, "author": "capacity" }).to_string();
    println!("publish: {}", first_line(&site.call("api", "PUT", "/v1/config", &body)?));
    // Tasks come before the endpoints, since placement adds tasks beside a service of unknown sensitivity only slowly. A
    // worker gets three tasks until these have run for 30 s.
    thread::sleep(Duration::from_secs(1));
    let mut accepted = 0;
    for number in 0..TASKS * AGENTS {
        let payload = "{\"run_ms\":600000}";
        let task = serde_json::json!({ "key": format!("m-{number}"), "service": "watermarks", "payload": payload });
        let answer = site.call("api", "POST", "/v1/tasks", &task.to_string())?;
        accepted += usize::from(answer.starts_with("HTTP/1.1 201"));
    }
    println!("{accepted} of {} tasks accepted", TASKS * AGENTS);
    thread::sleep(Duration::from_secs(33));
    site.start_endpoints()?;
    thread::sleep(Duration::from_secs(2));
    let status = site.call("api", "GET", "/v1/status", "")?;
    println!("{entries} entries; running tasks by host: {:?}", numbers_after(&status, "\"running_tasks\":"));
    let last = format!("/v1/explain/task/c0-m-{}", TASKS * AGENTS - 1);
    println!("the last task: {}", site.call("api", "GET", &last, "")?.lines().last().unwrap_or_default());
    site.measure(&format!("{entries} entries, idle"), report, |_| {})?;
    let answered = AtomicU64::new(0);
    let busy = |until: Instant| {
        let send = || {
            while Instant::now() < until {
                let answer = site.call("request", "POST", "/s/previews/track", "sound");
                let ok = answer.is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"));
                answered.fetch_add(u64::from(ok), Ordering::Relaxed);
            }
        };
        thread::scope(|scope| (0..4).for_each(|_| drop(scope.spawn(send))));
    };
    site.measure(&format!("{entries} entries, busy"), report, busy)?;
    println!("{entries} entries: {} requests/s answered", answered.into_inner() / SPAN.as_secs());
    Ok(())
}

fn first_line(answer: &str) -> &str {
    answer.lines().next().unwrap_or_default()
}

fn numbers_after(text: &str, key: &str) -> Vec<u64> {
    let digits = |part: &str| part.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok();
    text.split(key).skip(1).filter_map(digits).collect()
}
