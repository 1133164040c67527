//! Quantiles of recent latencies.

/// Buckets for each doubling of the latency; the error of a quantile is at most one part in this many.
const STEPS: usize = 16;
/// Doublings from 16 µs on; the last bucket takes all that is longer than about 17 minutes.
const DOUBLINGS: usize = 26;
/// After this many records all counts are halved, so that old latencies fade.
const HALVE_AT: u32 = 4_096;
/// Too few records for a quantile.
const MIN_RECORDS: u32 = 64;
/// Quantiles are computed anew after this many records.
const REFRESH_EVERY: u32 = 64;
/// The quantiles that are kept, in percent.
const KEPT: [u32; 6] = [50, 95, 96, 97, 98, 99];

/// A histogram that fades, with a few quantiles computed ahead.
#[derive(Debug, Clone)]
pub(super) struct Quantiles {
    counts: Vec<u32>,
    total: u32,
    fresh: u32,
    kept_us: Option<[u64; KEPT.len()]>,
}

impl Default for Quantiles {
    fn default() -> Self {
        Self { counts: vec![0; STEPS * DOUBLINGS], total: 0, fresh: 0, kept_us: None }
    }
}

impl Quantiles {
    pub(super) fn record(&mut self, us: u64) {
        self.counts[bucket(us)] += 1;
        self.total += 1;
        self.fresh += 1;
        if self.total >= MIN_RECORDS && (self.kept_us.is_none() || self.fresh >= REFRESH_EVERY) {
            self.fresh = 0;
            self.kept_us = Some(KEPT.map(|percent| self.compute(percent)));
        }
        if self.total >= HALVE_AT {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// The smallest kept quantile of at least `percent`, in microseconds.
    pub(super) fn quantile(&self, percent: u32) -> Option<u64> {
        let index = KEPT.iter().position(|kept| *kept >= percent)?;
        self.kept_us.map(|kept| kept[index])
    }

    fn compute(&self, percent: u32) -> u64 {
        let rank = (u64::from(self.total) * u64::from(percent)).div_ceil(100);
        let mut seen = 0;
        let reached = self.counts.iter().position(|count| {
            seen += u64::from(*count);
            seen >= rank
        });
        upper_us(reached.unwrap_or(self.counts.len() - 1))
    }
}

fn bucket(us: u64) -> usize {
    let us = us.max(STEPS as u64);
    let doubling = us.ilog2() as usize - STEPS.ilog2() as usize;
    let step = (us >> doubling) as usize - STEPS;
    (doubling * STEPS + step).min(STEPS * DOUBLINGS - 1)
}

fn upper_us(bucket: usize) -> u64 {
    ((STEPS + bucket % STEPS + 1) as u64) << (bucket / STEPS)
}
