//! The bounded log: what happens to lines while their output is slow or stuck.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
};

use fescuelead_fleet::logs::logger_with_capacity;
use log::{Level, Log, Record};

/// An output that holds up writers until it is opened, and keeps what it was given.
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

fn say(logger: &dyn Log, level: Level, message: &str) {
    logger.log(&Record::builder().level(level).target("test").args(format_args!("{message}")).build());
}

/// A reader that stands still must not stop the thread that decides, and its lines must not fill the memory.
#[test]
fn a_stuck_output_holds_nobody_up_and_what_is_lost_is_counted() {
    let output = Output::default();
    let (logger, flusher) = logger_with_capacity(output.clone(), 64);
    for n in 0..10_000 {
        say(&*logger, Level::Info, &format!("line {n}"));
    }
    output.open();
    drop(flusher);
    let text = output.text();
    let written = text.lines().filter(|line| line.contains("line ")).count();
    let left_out: usize = text
        .lines()
        .filter_map(|line| line.strip_prefix("log lines dropped: count="))
        .map(|count| count.parse::<usize>().expect("a number"))
        .sum();
    assert_eq!(written + left_out, 10_000);
    // The queue, and what the writer had taken out of it when the output stood still.
    assert!(written <= 128, "{written}");
}

/// The cause of a fault is in the warnings; they must not be lost to a flood of lines that say that all is well.
#[test]
fn warnings_are_kept_while_other_lines_are_sampled() {
    let output = Output::default();
    let (logger, flusher) = logger_with_capacity(output.clone(), 64);
    (0..1_000).for_each(|n| say(&*logger, Level::Info, &format!("line {n}")));
    say(&*logger, Level::Warn, "store lost");
    output.open();
    drop(flusher);
    assert!(output.text().contains("store lost"));
}

/// A process that ends at once after a line would not show why it ended.
#[test]
fn the_last_lines_are_written_at_the_end() {
    let output = Output::default();
    output.open();
    let (logger, flusher) = logger_with_capacity(output.clone(), 64);
    say(&*logger, Level::Info, "agent stopping");
    drop(flusher);
    assert!(output.text().contains("agent stopping"));
}
