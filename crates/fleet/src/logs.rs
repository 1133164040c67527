/*!
Log lines that never hold up the thread that decides.

Lines go through a bounded queue to a thread of its own, which writes several at once. While the queue is more than half full,
only one in sixteen lines below a warning is kept; the last quarter is for warnings alone. What was left out is
counted and said.
*/

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use log::{Level, Log, Metadata, Record};

/// How many lines wait at most. At 200 bytes a line this is 800 KiB, a hundredth of a small machine's memory.
pub const QUEUE_LINES: usize = 4_096;
/// The part of the lines below a warning that is kept while the queue is more than half full.
const KEPT_ONE_IN: usize = 16;
/// How long lines are gathered before they are written, in milliseconds: one write in place of tens, and hardly anything is lost
/// with a process that is killed.
const GATHER_MS: u64 = 20;
/// How long the end of the process waits for the last lines, in milliseconds.
const FLUSH_MS: u64 = 500;

enum Line {
    Text(Vec<u8>),
    Flush(SyncSender<()>),
}

/// How many lines wait, and how many were left out.
#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicUsize,
    left_out: AtomicUsize,
    offered: AtomicUsize,
}

impl Counts {
    /// Whether a line of this level may be queued.
    fn admits(&self, level: Level, capacity: usize) -> bool {
        let waiting = self.waiting.load(Ordering::Relaxed);
        let nth = self.offered.fetch_add(1, Ordering::Relaxed);
        let admitted = match level {
            _ if waiting < capacity / 2 => true,
            Level::Error | Level::Warn => waiting < capacity,
            _ => waiting < capacity / 4 * 3 && nth.is_multiple_of(KEPT_ONE_IN),
        };
        if !admitted {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }
}

/// Queues lines for the writing thread.
struct Queue {
    lines: SyncSender<Line>,
    counts: Arc<Counts>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Counted first, as the writer may take the line before this thread goes on.
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(Line::Text(line.to_vec())).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
            self.counts.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Decides which lines are worth formatting.
struct Sampler {
    inner: env_logger::Logger,
    counts: Arc<Counts>,
    capacity: usize,
}

impl Log for Sampler {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if self.inner.matches(record) && self.counts.admits(record.level(), self.capacity) {
            self.inner.log(record);
        }
    }

    fn flush(&self) {}
}

/// Writes the last lines when it is dropped.
#[derive(Debug)]
pub struct Flusher {
    lines: SyncSender<Line>,
}

impl std::fmt::Debug for Line {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Text(text) => write!(f, "Text({} bytes)", text.len()),
            Self::Flush(_) => f.write_str("Flush"),
        }
    }
}

impl Drop for Flusher {
    fn drop(&mut self) {
        let (done, written) = sync_channel(1);
        // A full queue means that the output is stuck; the last lines are lost with it.
        if self.lines.try_send(Line::Flush(done)).is_ok()
            && written.recv_timeout(Duration::from_millis(FLUSH_MS)) == Err(RecvTimeoutError::Timeout)
        {
            eprintln!("the last log lines could not be written within {FLUSH_MS} ms");
        }
    }
}

/// A logger with the filter of the environment, `info` if that is not set, which writes to `output` from a thread of its own,
/// and what writes its last lines.
pub fn logger(output: impl Write + Send + 'static) -> (Box<dyn Log>, Flusher) {
    logger_with_capacity(output, QUEUE_LINES)
}

/// A logger whose queue holds at most `capacity` lines.
pub fn logger_with_capacity(output: impl Write + Send + 'static, capacity: usize) -> (Box<dyn Log>, Flusher) {
    let (lines, waiting) = sync_channel(capacity);
    let counts = Arc::new(Counts::default());
    let queue = Queue { lines: lines.clone(), counts: counts.clone() };
    let inner = env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .build();
    let writer_counts = counts.clone();
    thread::spawn(move || write_lines(output, &waiting, &writer_counts, capacity));
    (Box::new(Sampler { inner, counts, capacity }), Flusher { lines })
}

/// Makes a logger of the process's standard output the one that all log macros use.
///
/// # Errors
///
/// Fails if there is a logger already.
pub fn init() -> Result<Flusher, log::SetLoggerError> {
    let (logger, flusher) = logger(io::stdout());
    log::set_boxed_logger(logger)?;
    log::set_max_level(log::LevelFilter::Trace);
    Ok(flusher)
}

/// Writes lines until all senders are gone, at most `batch` at once.
fn write_lines(mut output: impl Write, lines: &Receiver<Line>, counts: &Counts, batch: usize) {
    let mut told_left_out = 0;
    while let Ok(first) = lines.recv() {
        if matches!(first, Line::Text(_)) {
            thread::sleep(Duration::from_millis(GATHER_MS));
        }
        let mut text = Vec::new();
        let mut flushes = Vec::new();
        for line in std::iter::once(first).chain(lines.try_iter().take(batch - 1)) {
            match line {
                Line::Text(line) => {
                    counts.waiting.fetch_sub(1, Ordering::Relaxed);
                    text.extend_from_slice(&line);
                }
                Line::Flush(done) => flushes.push(done),
            }
        }
        let left_out = counts.left_out.load(Ordering::Relaxed);
        if left_out > told_left_out {
            text.extend_from_slice(format!("log lines left out: count={}\n", left_out - told_left_out).as_bytes());
            told_left_out = left_out;
        }
        if let Err(e) = output.write_all(&text).and_then(|()| output.flush()) {
            eprintln!("log lines cannot be written: error={e}");
        }
        for done in flushes {
            if done.send(()).is_err() {
                eprintln!("the last log lines came too late for the end of the process");
            }
        }
    }
}
