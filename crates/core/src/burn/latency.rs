//! Latency histograms that can be merged without loss.

use std::fmt;

use hdrhistogram::{
    Histogram,
    serialization::{Deserializer as HistogramReader, Serializer as _, V2Serializer},
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _, ser::Error as _};

use crate::burn::ring::Merge;

/// With two digits, values are accurate to 1% and a histogram of latencies up to 2 s takes about 8 KB. Three digits would
/// take 50 KB.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Latency quantiles in microseconds. They are rounded up, so none is below the exact value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyQuantiles {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// A latency histogram that resizes itself to the largest value. It allocates no memory before the first value.
#[derive(Clone, Default)]
pub struct Latency {
    histogram: Option<Histogram<u32>>,
}

impl Latency {
    /// Adds a latency in microseconds.
    pub fn record(&mut self, latency_us: u64) {
        if let Some(histogram) = self.histogram() {
            // Cannot fail: the histogram resizes itself, and the value is capped at half of the range.
            let _ = histogram.record(latency_us.min(u64::MAX / 2));
        }
    }

    /// The quantiles, or `None` if no latency was recorded.
    pub fn quantiles(&self) -> Option<LatencyQuantiles> {
        let histogram = self.histogram.as_ref().filter(|h| !h.is_empty())?;
        Some(LatencyQuantiles {
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        })
    }

    fn histogram(&mut self) -> Option<&mut Histogram<u32>> {
        if self.histogram.is_none() {
            self.histogram = Histogram::new(SIGNIFICANT_DIGITS).ok().map(|mut h| {
                h.auto(true);
                h
            });
        }
        self.histogram.as_mut()
    }
}

impl Merge for Latency {
    fn merge(&mut self, other: &Self) {
        let Some(theirs) = &other.histogram else { return };
        if let Some(ours) = self.histogram() {
            // Cannot fail: the histogram resizes itself to the range of the other one.
            let _ = ours.add(theirs);
        }
    }
}

impl fmt::Debug for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Latency").field(&self.quantiles()).finish()
    }
}

impl Serialize for Latency {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::new();
        if let Some(histogram) = &self.histogram {
            V2Serializer::new().serialize(histogram, &mut bytes).map_err(S::Error::custom)?;
        }
        bytes.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Latency {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = Vec::<u8>::deserialize(deserializer)?;
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let mut histogram: Histogram<u32> =
            HistogramReader::new().deserialize(&mut bytes.as_slice()).map_err(D::Error::custom)?;
        histogram.auto(true);
        Ok(Self { histogram: Some(histogram) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against high latencies that are lost in serialization.
    #[test]
    fn serialization_preserves_all_quantiles() {
        let mut latency = Latency::default();
        [1, 500, 90_000_000, u64::MAX].into_iter().for_each(|us| latency.record(us));
        let bytes = postcard::to_stdvec(&latency).expect("serializable");
        let copy: Latency = postcard::from_bytes(&bytes).expect("decodes");
        assert_eq!(copy.quantiles(), latency.quantiles());
        assert!(copy.quantiles().is_some_and(|q| q.max_us >= u64::MAX / 2));
        assert!(postcard::from_bytes::<Latency>(&[3, 1, 2, 3]).is_err());
    }
}
