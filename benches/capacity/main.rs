//! Measures how the cost of each role grows, and checks it against the target size of the design page.
//!
//! `cargo bench --bench capacity` measures in memory. `-- resync` compares ways to re-synchronize endpoint tables,
//! `-- jobs` measures the leader of jobs alone, and `-- processes N` measures the release binaries with N entries. Times are
//! processor time of the measuring thread, so that other work on the machine disturbs them little.

use std::alloc::System;

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

mod decisions;
mod fanout;
mod fold;
mod heartbeat;
mod jobs;
mod measure;
mod processes;
mod recovery;
mod resync;
mod sample;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).filter(|argument| argument != "--bench").collect();
    let mut report = measure::Report::default();
    match arguments.first().map(String::as_str) {
        Some("resync") => resync::run(),
        Some("processes") => {
            let entries = arguments.get(1).map_or(Ok(1), |count| count.parse())?;
            processes::run(entries, &mut report)?;
        }
        Some("jobs") => jobs::run(&mut report),
        Some(other) => anyhow::bail!("{other:?} is not known; use resync, processes, jobs or nothing"),
        None => {
            heartbeat::run(&mut report);
            fold::run(&mut report);
            decisions::run(&mut report);
            fanout::run(&mut report);
            recovery::run(&mut report);
            jobs::run(&mut report);
        }
    }
    report.print_budgets();
    Ok(())
}
