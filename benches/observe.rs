//! The cost of observation on the request path: recording a request, and folding what was recorded. The bound is 2% of the
//! 50 µs that a request may cost at 20,000 requests/s per core, that is 1 µs for both together.

use std::{sync::Arc, time::Instant};

use fescuelead_core::{
    ids::{AvailabilityZone, EntryId, EntryRef, ServiceName},
    profile::ProfileSet,
};
use fescueleadd::{
    entry::{
        observe::Recording,
        shared::{ConfigView, Shared},
    },
    lifecycle::Shutdown,
};

const BOUND_NS: f64 = 1_000.0;
const ROUNDS: usize = 20;
const REQUESTS: usize = 20_000;
const SET: &str = include_str!("../examples/profiles/sursetu.toml");

fn shared() -> anyhow::Result<Arc<Shared>> {
    let me = EntryRef::new(EntryId::new("entry-a")?, 1);
    let shared = Shared::new(me, AvailabilityZone::new("az-1")?, Shutdown::new());
    let set = Arc::new(ProfileSet::parse(SET)?);
    shared.config.send_replace(Arc::new(ConfigView { version: 1, set, ..ConfigView::default() }));
    Ok(Arc::new(shared))
}

fn main() -> anyhow::Result<()> {
    let shared = shared()?;
    let service = ServiceName::new("previews")?;
    let (mut record_ns, mut fold_ns) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let begun = Instant::now();
        for _ in 0..REQUESTS {
            let recording = Recording::new(Arc::clone(&shared));
            recording.set_service(&service);
            recording.admitted();
            recording.answered(false);
        }
        record_ns.push(begun.elapsed().as_nanos() as f64 / REQUESTS as f64);
        let begun = Instant::now();
        shared.observer.gather(&shared);
        fold_ns.push(begun.elapsed().as_nanos() as f64 / REQUESTS as f64);
    }
    let median = |times: &mut Vec<f64>| {
        times.sort_by(f64::total_cmp);
        times[times.len() / 2]
    };
    let (record, fold) = (median(&mut record_ns), median(&mut fold_ns));
    println!("record {record:.0} ns, fold {fold:.0} ns a request; together {:.0} ns of {BOUND_NS} ns", record + fold);
    anyhow::ensure!(record + fold <= BOUND_NS, "observation costs more than 2% of a request");
    Ok(())
}
