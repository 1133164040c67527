//! Ways to bring two copies of an endpoint table together after a partition: the whole table, what changed since a
//! version, random linear combinations over GF(2^8), and an invertible Bloom lookup table.
//!
//! A difference is an endpoint whose state changed at one side. Records have one fixed length, as all four ways but the
//! first two need it.

use std::collections::{BTreeMap, HashSet};

use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

use crate::measure::{cpu_ns, figure, heading};

mod iblt;
mod span;

/// Bytes of an endpoint's record: its agent's and service's numbers, incarnation, address, slots, connections, requests
/// in flight, service time, and flags.
pub const RECORD_BYTES: usize = 40;

/// One endpoint with its state.
pub type EndpointRecord = [u8; RECORD_BYTES];

/// What one way cost.
struct Cost {
    bytes: usize,
    cpu_ns: f64,
    exact: bool,
}

/// Two tables that differ in `differences` records, and which of them changed.
struct Pair {
    ours: Vec<EndpointRecord>,
    theirs: Vec<EndpointRecord>,
    changed: Vec<usize>,
}

impl Pair {
    fn new(size: usize, differences: usize, random: &mut StdRng) -> Self {
        let ours: Vec<EndpointRecord> = (0..size).map(|number| record(number, random)).collect();
        let mut theirs = ours.clone();
        let changed: Vec<usize> = rand::seq::index::sample(random, size, differences).into_iter().collect();
        // The state stands behind the 8 bytes of the endpoint's number.
        changed.iter().for_each(|place| random.fill_bytes(&mut theirs[*place][24..36]));
        Self { ours, theirs, changed }
    }

    fn is_same(&self, found: &HashSet<EndpointRecord>) -> bool {
        self.theirs.iter().all(|record| found.contains(record))
    }
}

fn record(number: usize, random: &mut StdRng) -> EndpointRecord {
    let mut record = [0; RECORD_BYTES];
    record[..8].copy_from_slice(&(number as u64).to_le_bytes());
    random.fill_bytes(&mut record[8..36]);
    record
}

/// Compares the ways for the sizes of today and of the target.
pub fn run() {
    heading("re-synchronizing endpoint tables: bytes, and processor time of both sides");
    println!("{:>9} {:>11}  {:<22} {:>10} {:>12}", "endpoints", "differences", "way", "bytes", "us");
    for (size, counts) in [(20, &[1, 10][..]), (44_000, &[1, 10, 100, 1_000][..])] {
        for differences in counts {
            let pair = Pair::new(size, *differences, &mut StdRng::seed_from_u64(11));
            print_cost(size, *differences, "whole table", &whole(&pair));
            print_cost(size, *differences, "since a version", &since_version(&pair));
            print_cost(size, *differences, "lookup table", &lookup_table(&pair));
            if size <= 1_000 {
                print_cost(size, *differences, "linear combinations", &combinations(&pair));
            }
        }
    }
    growth();
}

fn print_cost(size: usize, differences: usize, way: &str, cost: &Cost) {
    let note = if cost.exact { "" } else { "  (not exact)" };
    println!("{size:>9} {differences:>11}  {way:<22} {:>10} {:>12}{note}", cost.bytes, figure(cost.cpu_ns / 1e3));
}

/// Linear combinations at sizes that take seconds, and what follows for the target size.
fn growth() {
    heading("linear combinations by size");
    let mut last = (0, 0.0);
    for size in [20, 250, 500, 1_000, 2_000] {
        for differences in [1, 10, 100].into_iter().filter(|count| *count <= size) {
            let pair = Pair::new(size, differences, &mut StdRng::seed_from_u64(11));
            let cost = combinations(&pair);
            print_cost(size, differences, "linear combinations", &cost);
            if differences == 10 {
                last = (size, cost.cpu_ns);
            }
        }
    }
    let (size, ns) = last;
    let factor = (44_000.0 / size as f64).powi(2);
    println!("44,000 endpoints, 10 differences, by the square of the size: {} s", figure(ns * factor / 1e9));
}

/// (a) Sends all records.
fn whole(pair: &Pair) -> Cost {
    let mut found = HashSet::new();
    let cpu_ns = cpu_ns(1, |_| {
        let sent: Vec<u8> = pair.theirs.iter().flatten().copied().collect();
        found = sent.chunks_exact(RECORD_BYTES).map(|c| c.try_into().expect("a whole record")).collect();
    });
    Cost { bytes: pair.theirs.len() * RECORD_BYTES, cpu_ns, exact: pair.is_same(&found) }
}

/// (b) Sends what changed since the version that the other side acknowledged last. The sender keeps the version of each
/// record, in order; the request is one version of 8 bytes.
fn since_version(pair: &Pair) -> Cost {
    let acknowledged = pair.theirs.len() as u64;
    let mut versions: BTreeMap<u64, usize> = (0..pair.theirs.len()).map(|place| (place as u64, place)).collect();
    for (index, place) in pair.changed.iter().enumerate() {
        versions.remove(&(*place as u64));
        versions.insert(acknowledged + index as u64, *place);
    }
    let mut table = pair.ours.clone();
    let mut sent = 0;
    let cpu_ns = cpu_ns(1, |_| {
        for (_, place) in versions.range(acknowledged..) {
            table[*place] = pair.theirs[*place];
            sent += 1;
        }
    });
    let found = table.into_iter().collect();
    Cost { bytes: 8 + sent * RECORD_BYTES, cpu_ns, exact: pair.is_same(&found) }
}

/// (c) Random linear combinations of all of their vectors, until ours span theirs, and then the other way round.
fn combinations(pair: &Pair) -> Cost {
    let mut random = StdRng::seed_from_u64(12);
    let places = pair.ours.len() + pair.changed.len();
    let ours: Vec<_> = pair.ours.iter().enumerate().collect();
    let mut theirs: Vec<_> = pair.theirs.iter().enumerate().collect();
    let new_places = pair.ours.len()..places;
    new_places.zip(&pair.changed).for_each(|(place, changed)| theirs[*changed].0 = place);
    let (mut bytes, mut exact) = (0, true);
    let cpu_ns = cpu_ns(1, |_| {
        let learned = span::exchange(&theirs, &ours, places, &mut random);
        let returned = span::exchange(&ours, &theirs, places, &mut random);
        bytes = learned.bytes + returned.bytes;
        exact = learned.complete && returned.complete;
    });
    Cost { bytes, cpu_ns, exact }
}

/// (d) An invertible Bloom lookup table that is doubled until it can be listed.
fn lookup_table(pair: &Pair) -> Cost {
    let (mut bytes, mut exact) = (0, false);
    let cpu_ns = cpu_ns(1, |_| {
        let mut cells = 32;
        while !exact && cells <= 1 << 20 {
            let mut table = iblt::Table::new(cells);
            pair.theirs.iter().for_each(|record| table.add(record, 1));
            bytes += table.bytes();
            pair.ours.iter().for_each(|record| table.add(record, -1));
            if let Some((theirs_only, ours_only)) = table.list() {
                let mut found: HashSet<_> = pair.ours.iter().copied().collect();
                ours_only.iter().for_each(|record| _ = found.remove(record));
                found.extend(theirs_only);
                exact = pair.is_same(&found);
            }
            cells *= 2;
        }
    });
    Cost { bytes, cpu_ns, exact }
}

/// A random byte that is not zero.
fn coefficient(random: &mut impl Rng) -> u8 {
    random.random_range(1..=u8::MAX)
}
