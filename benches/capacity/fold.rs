//! Bytes and processor time of records, assignments and task lives.

use std::hint::black_box;

use fescuelead_core::{
    cell::CellState,
    entry::EntryControl,
    placement::Quotas,
    profile::LeaseSettings,
    record::{Batch, Record},
    runner::{SyncReply, TaskRunner},
    units::{Resources, TimeMs},
};

use crate::{
    measure::{Report, cpu_ns, figure, heading, slope},
    sample,
};

/// Task starts a second at the peak.
pub const STARTS_PER_S: f64 = 870.0;
const TASKS: usize = 20_000;

/// The records of one undisturbed task: submitted, assigned, finished.
fn life(number: usize) -> [Record; 3] {
    [sample::submitted(number), sample::assigned(number, number % 640), sample::finished(number)]
}

fn batch(records: Vec<Record>, sequence: u64) -> Batch {
    let mut batch = Batch::new(sample::entry(0).entry, sample::entry(0).incarnation, sequence);
    batch.records = records;
    batch
}

/// Measures records and prints what they cost at 870 task starts a second.
pub fn run(report: &mut Report) {
    heading("records and task lives");
    let names = ["TaskSubmitted", "TaskAssigned", "AttemptFinished"];
    let mut life_bytes = 0.0;
    for (index, name) in names.iter().enumerate() {
        let many: Vec<_> = (0..100).map(|n| life(n)[index].clone()).collect();
        let bytes = batch(many, 1).encode().expect("a small batch").len() as f64 / 100.0;
        life_bytes += bytes;
        println!("{name}: {} bytes (100 in a batch)", figure(bytes));
    }
    slope("decode, fold and follow-up of one task life, by records in a batch", "ns", &[3, 30, 300], life_ns);
    let record_ns = life_ns(30) / 3.0;
    println!("a task life: 3 records, {} bytes; {} ns a record", figure(life_bytes), figure(record_ns));
    let fold_share = STARTS_PER_S * 3.0 * record_ns / 1e7;
    report.at_most("fold of 870 task lives/s in one entry", fold_share, 2.4, "% core");
    println!("log read by each entry at the peak: {} KB/s", figure(STARTS_PER_S * life_bytes / 1_000.0));
    assignment();
    quotas(report);
}

/// One task life through decode, fold and the control of an entry, with appends of `records` records.
fn life_ns(records: usize) -> f64 {
    let lives = records / 3;
    let appends: Vec<_> = (0..TASKS / lives)
        .map(|index| {
            let records = (0..lives).flat_map(|n| life(index * lives + n)).collect();
            batch(records, index as u64 + 1).encode().expect("a small batch")
        })
        .collect();
    let mut cell = CellState::new(0);
    let mut control = EntryControl::new(sample::entry(0), "10.1.0.0:7000", LeaseSettings::default());
    cpu_ns(appends.len(), |index| {
        let batch = Batch::decode(&appends[index]).expect("an append of ours");
        let events = cell.apply(index as u64, &batch);
        control.folded(&cell, &events, TimeMs(index as u64));
    }) / lives as f64
}

/// Reserve at the agent, append, fold, heartbeat with the command, start.
fn assignment() {
    let mut cell = sample::cell(3, 0, 1);
    let (mut control, first) = (sample::control(&cell), cell.next_offset());
    let hello = sample::hello(0);
    let capacity = Resources::new(u32::MAX, u32::MAX);
    let mut agent = TaskRunner::new(hello.agent, 1, capacity, LeaseSettings::default());
    let count = 500;
    let ns = cpu_ns(count, |number| {
        let now = TimeMs(10 + number as u64);
        let attempt = sample::attempt(number);
        agent.reserve(&attempt, Resources::new(1, 1), now, 60_000).expect("there is room");
        let records = vec![sample::submitted(number), sample::assigned(number, 0)];
        let bytes = batch(records, number as u64 + 2).encode().expect("a small batch");
        let events = cell.apply(first + number as u64, &Batch::decode(&bytes).expect("our append"));
        control.folded(&cell, &events, now);
        let (reply, _): (SyncReply, _) = control.sync(&agent.sync_request(now), &cell, (0, false), now);
        agent.sync_reply(reply, now);
        black_box(agent.poll(now));
    });
    println!("one assignment (reserve, append, fold, start), agent with up to {count} attempts: {} ns", figure(ns));
}

/// What each start and end of a task costs the quotas of its team, beside the recount that it replaced.
fn quotas(report: &mut Report) {
    let recount = "recount of all tasks, by live tasks (not on the path of a task's end)";
    slope(recount, "ns", &[6_000, 36_000, 141_000], |tasks| {
        let cell = sample::cell(3, tasks, 16_000);
        let mut quotas = Quotas::new();
        cpu_ns(10, |_| quotas.recount([&cell]))
    });
    let (mut quotas, resources) = (Quotas::new(), Resources::new(1_000, 512));
    let ns = cpu_ns(100_000, |n| {
        quotas.hold(&sample::team(n), &resources);
        quotas.release(&sample::team(n), &resources);
    });
    println!("hold and release for one task, with making the ids: {} ns", figure(ns));
    report.at_most("quotas of 870 task lives/s", STARTS_PER_S * ns / 1e7, 2.4, "% core");
}
