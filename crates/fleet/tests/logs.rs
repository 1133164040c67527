//! Tests of the logger's bounded queue while the output is slow or blocked.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
};

use fescuelead_fleet::logs::logger_with_capacity;
use log::{Level, Log, Record};

/// An output that blocks writes until it is opened, and keeps the written text.
#[derive(Clone, Default)]
struct Output {
    open: Arc<(Mutex<bool>, Condvar)>,
    text: Arc<Mutex<String>>,
}

impl Output {
    fn open(&self) {
        *self.open.0.lock().expect("no panic") = true;
        self.open.1.notify_all();
    }

    fn text(&self) -> String {
        self.text.lock().expect("no panic").clone()
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let open = self.open.0.lock().expect("no panic");
        drop(self.open.1.wait_while(open, |open| !*open).expect("no panic"));
        self.text.lock().expect("no panic").push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_line(logger: &dyn Log, level: Level, message: &str) {
    logger.log(&Record::builder().level(level).target("test").args(format_args!("{message}")).build());
}

/// Guards against a reader of the log that stops reading: it must neither block the logging thread nor let the queue
/// grow.
#[test]
fn a_blocked_output_does_not_block_logging_and_dropped_lines_are_counted() {
    let output = Output::default();
    let (logger, flusher) = logger_with_capacity(output.clone(), 64);
    for n in 0..10_000 {
        log_line(&*logger, Level::Info, &format!("line {n}"));
    }
    output.open();
    drop(flusher);
    let text = output.text();
    let written = text.lines().filter(|line| line.contains("line ")).count();
    let dropped: usize = text
        .lines()
        .filter_map(|line| line.strip_prefix("log lines dropped: count="))
        .map(|count| count.parse::<usize>().expect("a number"))
        .sum();
    assert_eq!(written + dropped, 10_000);
    // The capacity of the queue, and the lines that the writer thread had taken when the output blocked.
    assert!(written <= 128, "{written}");
}

/// Guards against losing warnings, which name the cause of a fault, when many lines of lower levels fill the queue.
#[test]
fn warnings_are_kept_while_other_lines_are_sampled() {
    let output = Output::default();
    let (logger, flusher) = logger_with_capacity(output.clone(), 64);
    (0..1_000).for_each(|n| log_line(&*logger, Level::Info, &format!("line {n}")));
    log_line(&*logger, Level::Warn, "store unreachable");
    output.open();
    drop(flusher);
    assert!(output.text().contains("store unreachable"));
}

/// Guards against losing the lines that a process logs just before it ends, which name the reason.
#[test]
fn the_last_lines_are_written_when_the_flusher_is_dropped() {
    let output = Output::default();
    output.open();
    let (logger, flusher) = logger_with_capacity(output.clone(), 64);
    log_line(&*logger, Level::Info, "agent stopping");
    drop(flusher);
    assert!(output.text().contains("agent stopping"));
}

/// An output that keeps only the beginning of each write.
#[derive(Clone, Default)]
struct TruncatingOutput(Arc<Mutex<String>>);

impl Write for TruncatingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let kept = &bytes[..bytes.len().min(8 * 1024)];
        self.0.lock().expect("no panic").push_str(&String::from_utf8_lossy(kept));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are lost in a collector which reads only the first 8 KiB of a write, as on days on which a leader
/// orders more than 60 runs at a time: the orders were missing from the log.
#[test]
fn a_burst_of_lines_is_written_in_small_parts() {
    let output = TruncatingOutput::default();
    let (logger, flusher) = logger_with_capacity(output.clone(), 1_024);
    let padding = "x".repeat(100);
    (0..200).for_each(|n| log_line(&*logger, Level::Info, &format!("line {n} {padding}")));
    drop(flusher);
    let text = output.0.lock().expect("no panic").clone();
    assert_eq!(text.lines().filter(|line| line.ends_with(&padding)).count(), 200);
}
