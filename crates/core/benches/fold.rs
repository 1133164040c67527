//! Benchmarks of applying log records: processor time and bytes per record, and restart of a reader from a snapshot and
//! the records after it.

use std::hint::black_box;

use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use fescuelead_core::{
    cell::CellState,
    ids::{AgentId, EntryId, TaskId},
    record::{Batch, Outcome, Record},
    snapshot::{Follower, Page, chunks},
    testing,
    units::TimeMs,
};

/// Records per append, about the size of a group commit at the peak rate of the target system.
const RECORDS_PER_APPEND: usize = 32;
/// Appends after the snapshot: two minutes at 10 appends per second.
const TAIL_APPENDS: usize = 1_200;

fn task(number: usize) -> TaskId {
    TaskId::new(format!("c0-royalty-statement-2026-11-{number:08}")).expect("valid id")
}

fn agent(number: usize) -> AgentId {
    AgentId::new(format!("agent-{:05}", number % 16_000)).expect("valid id")
}

/// The records of one task: submitted, assigned, and finished if `finishes` is `true`.
fn task_records(number: usize, finishes: bool) -> Vec<Record> {
    let mut spec = testing::task_spec();
    spec.payload = vec![7; 200];
    let mut records = vec![
        Record::TaskSubmitted { task: task(number), spec },
        Record::TaskAssigned { task: task(number), attempt: 1, agent: agent(number), agent_incarnation: 1 },
    ];
    if finishes {
        records.push(Record::AttemptFinished { task: task(number), attempt: 1, outcome: Outcome::Succeeded });
    }
    records
}

fn encode(records: &[Record], sequence: u64) -> Vec<u8> {
    let writer = EntryId::new("entry-a").expect("valid id");
    let batch = Batch { records: records.to_vec(), ..Batch::new(writer, 1, sequence) };
    batch.encode().expect("fits")
}

fn appends(records: &[Record], from_sequence: u64) -> Vec<Vec<u8>> {
    let batches = records.chunks(RECORDS_PER_APPEND).zip(from_sequence..);
    batches.map(|(records, sequence)| encode(records, sequence)).collect()
}

fn fold(cell: &mut CellState, log: &[Vec<u8>]) {
    for bytes in log {
        let batch = Batch::decode(bytes).expect("decodes");
        black_box(cell.apply(cell.next_offset(), &batch));
    }
}

fn per_record(c: &mut Criterion) {
    let records: Vec<_> = (0..10_000).flat_map(|number| task_records(number, true)).collect();
    let count = records.len() as u64;
    let log = appends(&records, 1);
    let bytes: usize = log.iter().map(Vec::len).sum();
    println!("bytes per record: {:.1}", bytes as f64 / count as f64);
    let mut group = c.benchmark_group("fold");
    group.throughput(Throughput::Elements(count));
    group.bench_function("decode and apply 30,000 records", |b| {
        b.iter_batched_ref(|| CellState::new(0), |cell| fold(cell, &log), BatchSize::LargeInput);
    });
    group.finish();
}

fn restart(c: &mut Criterion) {
    let mut group = c.benchmark_group("restart");
    group.sample_size(10);
    for live in [6_000, 141_000] {
        let records: Vec<_> = (0..live).flat_map(|number| task_records(number, false)).collect();
        let mut cell = CellState::new(0);
        fold(&mut cell, &appends(&records, 1));
        let (first_offset, sequence) = (cell.next_offset(), cell.next_offset() + 1);
        // Each chunk is an append of its own.
        let snapshot = chunks(&cell).expect("encodes");
        let mut log: Vec<_> = snapshot
            .iter()
            .zip(sequence..)
            .map(|(chunk, sequence)| encode(std::slice::from_ref(chunk), sequence))
            .collect();
        let tail_records = TAIL_APPENDS * RECORDS_PER_APPEND;
        let tail: Vec<_> = (live..).flat_map(|number| task_records(number, true)).take(tail_records).collect();
        log.extend(appends(&tail, sequence + log.len() as u64));
        let bytes: usize = log.iter().map(Vec::len).sum();
        println!("{live} live tasks: {} chunks, {bytes} bytes of snapshot and tail", snapshot.len());
        group.bench_function(format!("snapshot and tail, {live} live tasks"), |b| {
            b.iter(|| black_box(read_all(&log, first_offset)));
        });
        group.bench_function(format!("write a snapshot, {live} live tasks"), |b| {
            b.iter(|| black_box(chunks(&cell).expect("encodes")));
        });
    }
    group.finish();
}

/// Reads the retained log in pages until the view is complete and current.
fn read_all(log: &[Vec<u8>], first_offset: u64) -> Follower<CellState> {
    let tail_offset = first_offset + log.len() as u64;
    let mut follower = Follower::new(CellState::new(0));
    while follower.fresh_at().is_none() {
        let from = follower.read_from().max(first_offset);
        let place = |offset: u64| usize::try_from(offset - first_offset).expect("small");
        let page = (from..tail_offset).take(64).map(|offset| (offset, log[place(offset)].as_slice()));
        let records: Vec<_> = page.collect();
        follower.apply_page(&Page { start: TimeMs(1), records: &records, first_offset, tail_offset });
    }
    follower
}

criterion_group!(benches, per_record, restart);
criterion_main!(benches);
