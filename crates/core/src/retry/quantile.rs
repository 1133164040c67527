//! Quantiles of recent latencies.

/// Buckets per doubling of the latency. The relative error of a quantile is at most the inverse of this.
const BUCKETS_PER_DOUBLING: usize = 16;
/// The number of doublings, starting at 16 µs. The last bucket takes all latencies above about 17 minutes.
const DOUBLINGS: usize = 26;
/// The number of records at which all counts are halved, so that old latencies lose weight.
const MAX_RECORDS: u32 = 4_096;
/// The minimum number of records for a quantile.
const MIN_RECORDS: u32 = 64;
/// The number of records after which the quantiles are recomputed.
const REFRESH_EVERY: u32 = 64;
/// The precomputed quantiles in percent.
const TRACKED_PERCENT: [u32; 6] = [50, 95, 96, 97, 98, 99];

/// A histogram with decaying counts and a few precomputed quantiles.
#[derive(Debug, Clone)]
pub(super) struct Quantiles {
    counts: Vec<u32>,
    total: u32,
    since_refresh: u32,
    tracked_us: Option<[u64; TRACKED_PERCENT.len()]>,
}

impl Default for Quantiles {
    fn default() -> Self {
        Self { counts: vec![0; BUCKETS_PER_DOUBLING * DOUBLINGS], total: 0, since_refresh: 0, tracked_us: None }
    }
}

impl Quantiles {
    pub(super) fn record(&mut self, us: u64) {
        self.counts[bucket(us)] += 1;
        self.total += 1;
        self.since_refresh += 1;
        if self.total >= MIN_RECORDS && (self.tracked_us.is_none() || self.since_refresh >= REFRESH_EVERY) {
            self.since_refresh = 0;
            self.tracked_us = Some(TRACKED_PERCENT.map(|percent| self.compute(percent)));
        }
        if self.total >= MAX_RECORDS {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// The smallest precomputed quantile of at least `percent`, in microseconds. `None` if there are too few records or
    /// no such quantile.
    pub(super) fn quantile(&self, percent: u32) -> Option<u64> {
        let index = TRACKED_PERCENT.iter().position(|tracked| *tracked >= percent)?;
        self.tracked_us.map(|tracked| tracked[index])
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
    let us = us.max(BUCKETS_PER_DOUBLING as u64);
    let doubling = us.ilog2() as usize - BUCKETS_PER_DOUBLING.ilog2() as usize;
    let step = (us >> doubling) as usize - BUCKETS_PER_DOUBLING;
    (doubling * BUCKETS_PER_DOUBLING + step).min(BUCKETS_PER_DOUBLING * DOUBLINGS - 1)
}

fn upper_us(bucket: usize) -> u64 {
    ((BUCKETS_PER_DOUBLING + bucket % BUCKETS_PER_DOUBLING + 1) as u64) << (bucket / BUCKETS_PER_DOUBLING)
}
