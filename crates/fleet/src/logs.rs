/*!
A logger that never blocks the thread that logs.

Lines pass through a bounded queue to a writer thread, which writes several at once. While the queue is more than half
full, only one in sixteen lines below the level of a warning is kept; the last quarter of the queue is reserved for
warnings and errors. Dropped lines are counted, and the count is logged.
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

/// The maximum number of queued lines. At 200 bytes a line this is 800 KiB, a hundredth of a small machine's memory.
pub const QUEUE_LINES: usize = 4_096;
/// One in this many lines below the level of a warning is kept while the queue is more than half full.
const SAMPLE_ONE_IN: usize = 16;
/// How long lines are collected before they are written, in milliseconds. This saves tens of writes, and a process that
/// is killed loses few lines.
const BATCH_MS: u64 = 20;
/// The maximum size of one write, in bytes, unless a single line is longer. Collectors that read this much of a write at most would
/// lose the rest.
const MAX_WRITE_BYTES: usize = 8 * 1024;
/// How long the end of the process waits until the last lines are written, in milliseconds.
const FLUSH_TIMEOUT_MS: u64 = 500;

/// A message to the writer thread.
enum Line {
    Text(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The counters that the logging threads share with the writer thread.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicUsize,
    dropped: AtomicUsize,
    /// The number of lines that were logged, including dropped ones; selects the lines to sample.
    attempts: AtomicUsize,
}

impl Counts {
    /// Returns whether a line of this level may be queued, and counts it as dropped if not.
    fn admits(&self, level: Level, capacity: usize) -> bool {
        let queued = self.queued.load(Ordering::Relaxed);
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let admitted = match level {
            _ if queued < capacity / 2 => true,
            Level::Error | Level::Warn => queued < capacity,
            _ => queued < capacity / 4 * 3 && attempt.is_multiple_of(SAMPLE_ONE_IN),
        };
        if !admitted {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }
}

/// Queues formatted lines for the writer thread.
struct Queue {
    lines: SyncSender<Line>,
    counts: Arc<Counts>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Counted before it is sent, because the writer thread may receive the line, and count it down, at once.
        self.counts.queued.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(Line::Text(line.to_vec())).is_err() {
            self.counts.queued.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Drops lines that the queue does not admit before they are formatted.
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

/// Waits until all queued lines are written when it is dropped.
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
        // If the queue is full, the output is blocked and the last lines are lost.
        if self.lines.try_send(Line::Flush(done)).is_ok()
            && written.recv_timeout(Duration::from_millis(FLUSH_TIMEOUT_MS)) == Err(RecvTimeoutError::Timeout)
        {
            eprintln!("the last log lines were not written within {FLUSH_TIMEOUT_MS} ms");
        }
    }
}

/// Creates a logger that writes to `output` from a separate thread. The filter comes from the environment variable
/// `RUST_LOG` and is `info` if that is not set. Drop the [`Flusher`] at the end of the process to write the last lines.
pub fn logger(output: impl Write + Send + 'static) -> (Box<dyn Log>, Flusher) {
    logger_with_capacity(output, QUEUE_LINES)
}

/// Creates a logger like [`logger`], whose queue holds at most `capacity` lines.
pub fn logger_with_capacity(output: impl Write + Send + 'static, capacity: usize) -> (Box<dyn Log>, Flusher) {
    let (lines, receiver) = sync_channel(capacity);
    let counts = Arc::new(Counts::default());
    let queue = Queue { lines: lines.clone(), counts: counts.clone() };
    let inner = env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .build();
    let writer_counts = counts.clone();
    thread::spawn(move || write_lines(output, &receiver, &writer_counts, capacity));
    (Box::new(Sampler { inner, counts, capacity }), Flusher { lines })
}

/// Installs a logger that writes to standard output as the global logger.
///
/// # Errors
///
/// Fails if a global logger is already installed.
pub fn init() -> Result<Flusher, log::SetLoggerError> {
    let (logger, flusher) = logger(io::stdout());
    log::set_boxed_logger(logger)?;
    log::set_max_level(log::LevelFilter::Trace);
    Ok(flusher)
}

/// Writes lines until all senders are dropped, at most `batch` at once.
fn write_lines(mut output: impl Write, lines: &Receiver<Line>, counts: &Counts, batch: usize) {
    let mut reported_dropped = 0;
    while let Ok(first) = lines.recv() {
        if matches!(first, Line::Text(_)) {
            thread::sleep(Duration::from_millis(BATCH_MS));
        }
        let mut text = Vec::new();
        let mut flushes = Vec::new();
        for line in std::iter::once(first).chain(lines.try_iter().take(batch - 1)) {
            match line {
                Line::Text(line) => {
                    counts.queued.fetch_sub(1, Ordering::Relaxed);
                    text.extend_from_slice(&line);
                }
                Line::Flush(done) => flushes.push(done),
            }
        }
        let dropped = counts.dropped.load(Ordering::Relaxed);
        if dropped > reported_dropped {
            text.extend_from_slice(format!("log lines dropped: count={}\n", dropped - reported_dropped).as_bytes());
            reported_dropped = dropped;
        }
        if let Err(e) = write_parts(&mut output, &text) {
            eprintln!("log lines cannot be written: error={e}");
        }
        for done in flushes {
            if done.send(()).is_err() {
                eprintln!("the last log lines were written after the flush had timed out");
            }
        }
    }
}

/// Writes whole lines in parts of at most [`MAX_WRITE_BYTES`].
fn write_parts(output: &mut impl Write, mut text: &[u8]) -> io::Result<()> {
    while !text.is_empty() {
        let (part, rest) = text.split_at(part_len(text));
        output.write_all(part)?;
        output.flush()?;
        text = rest;
    }
    Ok(())
}

/// The length of the longest run of whole lines at the start of `text` that may be written at once, or of the first line if
/// that is longer.
fn part_len(text: &[u8]) -> usize {
    if text.len() <= MAX_WRITE_BYTES {
        return text.len();
    }
    let is_line_end = |byte: &u8| *byte == b'\n';
    let last = text[..MAX_WRITE_BYTES].iter().rposition(is_line_end);
    last.or_else(|| text.iter().position(is_line_end)).map_or(text.len(), |end| end + 1)
}
