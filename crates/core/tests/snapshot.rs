//! Tests that readers which restore a snapshot compute the same state as a reader of the whole stream.

use fescuelead_core::{
    cell::CellState,
    ids::{AgentId, EntryId, RequestKey, TaskId},
    record::{Batch, FenceReason, Outcome, Record, RequestOutcome},
    snapshot::{Assembler, Follower, Page, chunks},
    testing,
    units::TimeMs,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const APPENDS: usize = 400;

fn entry(number: u32) -> EntryId {
    EntryId::new(format!("entry-{number}")).expect("valid id")
}

fn record(rng: &mut ChaCha8Rng) -> Record {
    let task = TaskId::new(format!("c0-t{}", rng.random_range(0..40))).expect("valid id");
    let attempt = rng.random_range(1..4);
    let agent = AgentId::new(format!("agent-{}", rng.random_range(0..5))).expect("valid id");
    let key = RequestKey::new(format!("key-{}", rng.random_range(0..40))).expect("valid key");
    match rng.random_range(0..10) {
        0 => Record::TaskSubmitted { task, spec: testing::task_spec() },
        1 | 2 => Record::TaskAssigned { task, attempt, agent, agent_incarnation: 1 },
        3 | 4 => Record::AttemptFenced { task, attempt, reason: FenceReason::AgentLost },
        5 => Record::AttemptStopped { task, attempt, started: true, checkpoint: Some("at 7".to_owned()) },
        6 => Record::AttemptFinished { task, attempt, outcome: Outcome::Failed { reason: "crash".to_owned() } },
        7 => Record::RequestClaimed { key, digest: 1, agent, agent_incarnation: 1, deadline_unix_ms: 9 },
        8 => Record::RequestResolved { key, claim_offset: rng.random_range(0..40), outcome: RequestOutcome::Unknown },
        _ if rng.random_bool(0.5) => Record::EntryRegistered { peer_address: "127.0.0.1:1".to_owned() },
        _ => Record::FencerAdmitted,
    }
}

/// Generates a stream of two concurrent writers. Both sometimes write snapshots in small chunks, interleaved with the
/// appends of the other one. Some snapshots are incomplete or damaged, and some appends cannot be decoded.
fn stream(rng: &mut ChaCha8Rng) -> Vec<Vec<u8>> {
    let mut log: Vec<Vec<u8>> = Vec::new();
    let mut reader = CellState::new(0);
    let mut pending: [Vec<Record>; 2] = [Vec::new(), Vec::new()];
    let mut sequences = [0; 2];
    while log.len() < APPENDS {
        let writer = rng.random_range(0..2);
        if rng.random_bool(0.05) {
            pending[writer] = small_chunks(&reader, rng);
        }
        sequences[writer] += u64::from(rng.random_bool(0.95));
        let mut batch = Batch::new(entry(u32::try_from(writer).expect("small")), 1, sequences[writer]);
        batch.records = (0..rng.random_range(0..4)).map(|_| record(rng)).collect();
        batch.records.extend(pending[writer].pop());
        let bytes = if rng.random_bool(0.03) { vec![9, 9, 9] } else { batch.encode().expect("encodes") };
        let offset = log.len() as u64;
        match Batch::decode(&bytes) {
            Ok(batch) => {
                reader.apply(offset, &batch);
            }
            Err(_) => reader.skip(offset),
        }
        log.push(bytes);
    }
    log
}

fn small_chunks(state: &CellState, rng: &mut ChaCha8Rng) -> Vec<Record> {
    let snapshot = chunks(state).expect("encodes");
    let mut bytes: Vec<u8> = snapshot
        .into_iter()
        .flat_map(|chunk| match chunk {
            Record::SnapshotChunk { bytes, .. } => bytes,
            other => panic!("not a chunk: {other:?}"),
        })
        .collect();
    if rng.random_bool(0.3) {
        let position = rng.random_range(0..bytes.len());
        bytes[position] ^= 1;
    }
    let parts: Vec<_> = bytes.chunks(bytes.len() / 3 + 1).collect();
    let (as_of, count) = (state.next_offset(), u32::try_from(parts.len()).expect("few"));
    let chunk = |(index, part): (u32, &&[u8])| Record::SnapshotChunk { as_of, index, count, bytes: part.to_vec() };
    (0..).zip(&parts).map(chunk).collect()
}

/// Reads pages of random length up to the tail, from a log that ends at `tail` and retains the records from `first`.
fn read_to_tail(
    follower: &mut Follower<CellState>,
    log: &[Vec<u8>],
    (first, tail): (usize, usize),
    rng: &mut ChaCha8Rng,
) {
    for _ in 0..10 * APPENDS {
        let from = (follower.read_from() as usize).max(first);
        let end = (from + rng.random_range(1..60)).min(tail);
        let records: Vec<_> = (from..end).map(|offset| (offset as u64, log[offset].as_slice())).collect();
        let (first_offset, tail_offset) = (first as u64, tail as u64);
        let before = follower.state().next_offset();
        follower.apply_page(&Page { start: TimeMs(tail_offset), records: &records, first_offset, tail_offset });
        assert!(follower.state().next_offset() >= before, "the offset of the state decreased");
        if end == tail && (follower.fresh_at() == Some(TimeMs(tail_offset)) || follower.needs_snapshot()) {
            return;
        }
    }
    panic!("the reader did not reach the tail");
}

/// Guards against a reader whose state differs from that of a reader of the whole stream after it restored a snapshot, and
/// against a reader that reports its state as complete while records are missing.
#[rstest]
fn a_reader_from_a_snapshot_computes_the_same_state(#[values(1, 2, 3, 4, 5, 6, 7, 8)] block: u64) {
    let (mut restored, mut without_snapshot) = (0, 0);
    for seed in block * 100..block * 100 + 50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let log = stream(&mut rng);
        let mut reference = Follower::new(CellState::new(0));
        let mut intermittent = Follower::new(CellState::new(0));
        let mut first = 0;
        for tail in [100, 200, 300, APPENDS] {
            read_to_tail(&mut reference, &log, (0, tail), &mut rng);
            if rng.random_bool(0.5) {
                first = rng.random_range(first..tail);
                read_to_tail(&mut intermittent, &log, (first, tail), &mut rng);
                let mut new = Follower::new(CellState::new(0));
                read_to_tail(&mut new, &log, (first, tail), &mut rng);
                for reader in [&intermittent, &new] {
                    let same = reader.state().to_image() == reference.state().to_image();
                    assert!(same || !reader.is_complete(), "seed {seed}: the states differ at {tail}");
                    restored += u64::from(reader.is_complete() && first > 0);
                    without_snapshot += u64::from(reader.needs_snapshot());
                }
            }
        }
        assert!(reference.state().skipped() > 0);
    }
    assert!(
        restored > 20 && without_snapshot > 0,
        "{restored} readers restored a snapshot, {without_snapshot} found none"
    );
}

/// Guards against a snapshot that is assembled from the chunks of two writers.
#[test]
fn chunks_of_two_writers_are_not_mixed() {
    let chunk = |index: u32, bytes: &[u8]| Record::SnapshotChunk { as_of: 5, index, count: 2, bytes: bytes.to_vec() };
    let mut state = CellState::new(0);
    state.skip(4);
    let Some(Record::SnapshotChunk { bytes, .. }) = chunks(&state).expect("encodes").pop() else {
        panic!("not a chunk")
    };
    let (left, right) = bytes.split_at(6);
    let mut assembler = Assembler::new();
    let write = |number: u32, record: Record| Batch::new(entry(number), 1, 1).with_record(record);
    assembler.take(&write(0, chunk(0, left)));
    assembler.take(&write(1, chunk(1, right)));
    assert!(assembler.newest().is_none());
    assembler.take(&write(1, chunk(0, left)));
    assert_eq!(assembler.newest().map(|(as_of, _)| as_of), Some(5));
}

/// Guards against an older copy that replaces a newer state, and against an adopted copy that counts as complete.
#[test]
fn an_older_copy_is_ignored() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let log = stream(&mut rng);
    let mut follower = Follower::new(CellState::new(0));
    read_to_tail(&mut follower, &log, (0, 100), &mut rng);
    let old = follower.state().clone();
    read_to_tail(&mut follower, &log, (0, 200), &mut rng);
    assert!(!follower.adopt(old.clone()));
    assert_eq!(follower.state().next_offset(), 200);
    let mut new = Follower::new(CellState::new(0));
    assert!(new.adopt(old));
    assert!(!new.is_complete(), "the copy is not known to be complete");
    read_to_tail(&mut new, &log, (0, 200), &mut rng);
    assert_eq!(new.state().to_image(), follower.state().to_image());
}
