//! Measures the decisions against the bounds of the design page, in virtual time.
//!
//! `cargo bench --bench policy -- --seed N` runs one seed, `--seeds N` the worst of N seeds from `--seed` on (101 by
//! default), `--only TEXT` the scenarios whose name holds the text, and `--ablation` what each mechanism earns.

use std::{collections::BTreeMap, fs, ops::Range, process::ExitCode, thread};

use report::Measure;

mod driver;
mod fake;
mod report;
mod requests;
mod tasks;

const KNOWN_RED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/KNOWN-RED.txt");

/// Seeds are independent. CI runs six of them on hosts of eight cores.
const THREADS: usize = 6;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let number = |flag: &str| {
        let place = arguments.iter().position(|a| a == flag)?;
        arguments.get(place + 1)?.parse::<u64>().ok()
    };
    let first = number("--seed").unwrap_or(101);
    if arguments.iter().any(|a| a == "--ablation") {
        tasks::ablation(first);
        requests::ablation(first);
        return ExitCode::SUCCESS;
    }
    let seeds = number("--seeds").unwrap_or(1);
    let measures = worst(by_seed(first..first + seeds).into_iter().flatten());
    verdict(&measures)
}

/// The measures of each seed, in the order of the seeds, computed on a few threads.
fn by_seed(seeds: Range<u64>) -> Vec<Vec<Measure>> {
    let seeds: Vec<u64> = seeds.collect();
    let run = |seed: &u64| {
        let mut measures = tasks::run(*seed);
        measures.extend(requests::run(*seed));
        measures
    };
    let part = seeds.len().div_ceil(THREADS).max(1);
    thread::scope(|scope| {
        let parts = seeds.chunks(part).map(|seeds| scope.spawn(move || seeds.iter().map(run).collect::<Vec<_>>()));
        let parts: Vec<_> = parts.collect();
        parts.into_iter().flat_map(|part| part.join().expect("a scenario panicked")).collect()
    })
}

/// The worst value of each measure, in the order in which the measures first came.
fn worst(measures: impl Iterator<Item = Measure>) -> Vec<Measure> {
    let mut order = Vec::new();
    let mut worst: BTreeMap<(String, String), Measure> = BTreeMap::new();
    for measure in measures {
        let key = (measure.scenario.clone(), measure.measure.clone());
        match worst.get(&key) {
            Some(known) if !measure.bound.is_worse(measure.value, known.value) => {}
            known => {
                if known.is_none() {
                    order.push(key.clone());
                }
                worst.insert(key, measure);
            }
        }
    }
    order.iter().filter_map(|key| worst.remove(key)).collect()
}

/// Prints all measures. Fails on a red one that is not listed as known, and on a listed one that is no longer red, so
/// that the list stays true.
fn verdict(measures: &[Measure]) -> ExitCode {
    let known = fs::read_to_string(KNOWN_RED).unwrap_or_default();
    let listed = |m: &Measure| {
        let entry = format!("policy {} {}", m.scenario, m.measure);
        known.lines().any(|line| line.trim() == entry)
    };
    let mut failed = false;
    for measure in measures {
        println!("{measure}");
        match (measure.ok, listed(measure)) {
            (false, false) => {
                println!("policy: {} {} is red and not listed", measure.scenario, measure.measure);
                failed = true;
            }
            (true, true) => {
                println!("policy: {} {} is ok; take it off KNOWN-RED.txt", measure.scenario, measure.measure);
                failed = true;
            }
            _ => {}
        }
    }
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
