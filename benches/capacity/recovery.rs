//! Loss of hosts, restarts, and outages.

use std::hint::black_box;

use fescuelead_core::{
    cell::CellState,
    ids::AttemptRef,
    lease::LeaseBook,
    profile::LeaseSettings,
    promise::Promise,
    record::{Batch, FenceReason, Record},
    units::TimeMs,
    writer::{GroupCommit, WriterEffect},
};

use crate::{
    measure::{Report, cpu_ns, figure, heading},
    sample,
};

const HELD: usize = 9;

/// Measures recovery.
pub fn run(report: &mut Report) {
    heading("loss of hosts: fences by one entry, 9 attempts a host");
    for (what, hosts) in [("host", 1), ("rack", 3), ("availability zone", 640)] {
        let (ms, records, appends, bytes) = fence_batch(hosts);
        println!("{what}: {records} fences in {appends} appends of {bytes} bytes in all, {} ms", figure(ms));
        if hosts == 640 {
            let next_ms = (appends * 10) as f64;
            report.at_most("appends of the fences of an availability zone, spacing 10 ms", next_ms, 3_000.0, "ms");
        }
    }
    tick_while_fencing(report);
    heading("restart of an entry: decode and fold of the stream, then its own indices");
    for (tasks, ended) in [(6_000, 0), (6_000, 71_000), (141_000, 0), (141_000, 71_000)] {
        let ms = restart_ms(tasks, ended);
        println!("{tasks} live tasks and {ended} ended ones in the stream: {} ms", figure(ms));
        let what = format!("restart with {tasks} live tasks, {ended} ended ones in the stream");
        report.at_most(what, ms, 1_000.0, "ms");
    }
    cut_off(report);
}

/// Processor time in ms, records, appends and bytes of the fences of all attempts of these hosts.
fn fence_batch(hosts: usize) -> (f64, usize, usize, usize) {
    let cell = sample::cell(3, hosts * HELD, hosts);
    let mut control = sample::control(&cell);
    let (mut records, mut appends, mut bytes) = (0, 0, 0);
    let ns = cpu_ns(1, |_| {
        (0..hosts)
            .for_each(|n| control.request_agent_fences(&sample::agent(n), &FenceReason::AgentLost, &cell, TimeMs(0)));
        let fences = control.poll(&cell, TimeMs(60_000));
        let mut writer = GroupCommit::new(sample::entry(0).entry, 1);
        for record in fences {
            records += usize::from(matches!(record, Record::AttemptFenced { .. }));
            writer.push(record);
        }
        while let Some(WriterEffect::Append { batch, .. }) = writer.poll(TimeMs(0)) {
            appends += 1;
            bytes += batch.encode().expect("a batch within limits").len();
            writer.appended();
        }
    });
    (ns / 1e6, records, appends, bytes)
}

/// The intents for all attempts of dead agents are made anew in every round of 20 ms until they are settled.
fn tick_while_fencing(report: &mut Report) {
    let cell = sample::cell(3, 640 * HELD, 640);
    let mut control = sample::control(&cell);
    let ns = cpu_ns(20, |_| {
        (0..640)
            .for_each(|n| control.request_agent_fences(&sample::agent(n), &FenceReason::AgentLost, &cell, TimeMs(0)));
        black_box(control.poll(&cell, TimeMs(1)));
    });
    println!("one round while 640 dead agents are fenced: {} us", figure(ns / 1e3));
    report.at_most("rounds of 20 ms while an availability zone is fenced", ns * 50.0 / 1e7, 100.0, "% core");
}

/// Milliseconds until a new entry has folded a stream with these live and ended tasks.
fn restart_ms(live: usize, ended: usize) -> f64 {
    let mut appends = sample::appends(3, live + ended, 16_000);
    let numbers: Vec<_> = (live..live + ended).collect();
    for (index, chunk) in numbers.chunks(256).enumerate() {
        let batch = Batch::new(sample::entry(0).entry, sample::entry(0).incarnation, 1_000_000 + index as u64);
        let batch = chunk.iter().fold(batch, |batch, n| batch.with_record(sample::finished(*n)));
        appends.push(batch.encode().expect("a small batch"));
    }
    cpu_ns(1, |_| {
        let mut cell = CellState::new(0);
        for (offset, bytes) in appends.iter().enumerate() {
            cell.apply(offset as u64, &Batch::decode(bytes).expect("our append"));
        }
        black_box(sample::control(&cell));
    }) / 1e6
}

/// How long an attempt runs on after its region lost the others, when the fencing set spans regions or does not.
fn cut_off(report: &mut Report) {
    heading("a region cut off from the others and the log for an hour");
    let hour_ms = 3_600_000;
    for (what, members, reachable) in [("entries of all regions", 10, 1), ("entries of its own region", 3, 3)] {
        let ms = runs_on_ms(members, reachable, hour_ms);
        println!("fencing set of the {what}: running work is frozen after {ms} ms");
        report.at_most(
            format!("freeze of running work in the hour, set of the {what}"),
            (hour_ms - ms) as f64,
            0.0,
            "ms",
        );
    }
    let catch_up_ms = restart_ms(0, 71_000) / 24.0;
    println!("catch-up after an hour at 71,000 jobs a day: {} ms of one core", figure(catch_up_ms));
}

/// Entries that are cut off from the log promise until `silence_ms` after their last read; those out of reach do not.
fn runs_on_ms(members: usize, reachable: usize, span_ms: u64) -> u64 {
    let settings = LeaseSettings::default();
    let mut book = LeaseBook::new(settings);
    let attempt: AttemptRef = sample::attempt(0);
    let set: std::collections::BTreeSet<_> = (0..members).map(sample::entry).collect();
    for now in (0..span_ms).step_by(500) {
        let connected = if now == 0 { members } else { reachable };
        for entry in (0..connected).filter(|_| now < settings.silence_ms) {
            let by = sample::entry(entry);
            let promise = Promise { by, view: 9, set_version: 9, set: set.clone(), except: Vec::new() };
            book.add_promise(promise, std::slice::from_ref(&attempt), TimeMs(now));
        }
        if !book.may_run(&attempt, TimeMs(now)) {
            return now;
        }
    }
    span_ms
}
