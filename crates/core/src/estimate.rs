/*!
Estimated sizes and run times of tasks, learned from usage per class.

Reservations use declared sizes. The estimates here only rank workers and are shown to operators. They are upper
quantiles over two generations of samples, so that old behaviour ages out.
*/

use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::{interference::ClassId, units::Resources};

/// Samples per generation. When the current one is full, the previous one is dropped.
const GENERATION_SAMPLES: u64 = 512;
/// The minimum number of samples for an estimate; with fewer, the declared value is used.
const MIN_SAMPLES: u64 = 8;
/// Larger values are counted as this one. A day in seconds and 16 TiB in MiB both fit.
const MAX_VALUE: u64 = 1 << 24;

#[derive(Debug, Clone)]
struct Sketch {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl Sketch {
    fn new() -> Self {
        // One significant digit keeps a histogram near 1 KiB. Its error of 10% is below the variation of real usage.
        let empty = Histogram::new_with_bounds(1, MAX_VALUE, 1).expect("constant bounds are valid");
        Self { current: empty.clone(), previous: empty }
    }

    fn record(&mut self, value: u64) {
        self.current.saturating_record(value.clamp(1, MAX_VALUE));
        if self.current.len() >= GENERATION_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    fn quantile(&self, quantile: f64) -> Option<u64> {
        let samples = self.current.len() + self.previous.len();
        (samples >= MIN_SAMPLES).then(|| {
            let of = |h: &Histogram<u32>| if h.is_empty() { 0 } else { h.value_at_quantile(quantile) };
            // A new generation has too few samples for its own quantile; the larger value of both is the safe one.
            of(&self.current).max(of(&self.previous))
        })
    }
}

#[derive(Debug, Clone)]
struct ClassSketch {
    cpu_milli: Sketch,
    memory_mib: Sketch,
    run_s: Sketch,
}

/// Usage and run time histograms of all classes.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    classes: HashMap<ClassId, ClassSketch>,
}

impl Estimates {
    /// Creates estimates without samples; declared values apply.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the mean use of one task over an interval. Constant time.
    pub fn observe_usage(&mut self, class: ClassId, cpu_milli: u32, memory_mib: u32) {
        let sketch = self.sketch(class);
        sketch.cpu_milli.record(u64::from(cpu_milli));
        sketch.memory_mib.record(u64::from(memory_mib));
    }

    /// Records the run time of a task that ended, with a resolution of one second. Constant time.
    pub fn observe_run(&mut self, class: ClassId, run_ms: u64) {
        self.sketch(class).run_s.record(run_ms / 1_000);
    }

    /// The expected use of a task of the class, at a quantile between 0 and 1 such as 0.9, or its declared size while
    /// there are too few samples. Accelerators are always as declared.
    pub fn size(&self, class: ClassId, declared: Resources, quantile: f64) -> Resources {
        let Some(sketch) = self.classes.get(&class) else { return declared };
        let or = |sketch: &Sketch, value: u32| {
            sketch.quantile(quantile).map_or(value, |v| u32::try_from(v).unwrap_or(u32::MAX))
        };
        Resources {
            cpu_milli: or(&sketch.cpu_milli, declared.cpu_milli),
            memory_mib: or(&sketch.memory_mib, declared.memory_mib),
            accelerators: declared.accelerators,
        }
    }

    /// The expected run time of a task of the class in milliseconds, at a quantile between 0 and 1, or its declared run
    /// time while there are too few samples.
    pub fn run_ms(&self, class: ClassId, declared_ms: u64, quantile: f64) -> u64 {
        self.classes.get(&class).and_then(|s| s.run_s.quantile(quantile)).map_or(declared_ms, |s| s * 1_000)
    }

    fn sketch(&mut self, class: ClassId) -> &mut ClassSketch {
        self.classes.entry(class).or_insert_with(|| ClassSketch {
            cpu_milli: Sketch::new(),
            memory_mib: Sketch::new(),
            run_s: Sketch::new(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against ranking workers by declared sizes that are far from the actual use.
    #[test]
    fn the_estimate_follows_usage_and_drops_old_samples() {
        let (class, declared) = (ClassId(0), Resources::new(1_000, 1_000));
        let mut estimates = Estimates::new();
        (0..4).for_each(|_| estimates.observe_usage(class, 4_000, 200));
        assert_eq!(estimates.size(class, declared, 0.9), declared);
        (0..2_000).for_each(|_| estimates.observe_usage(class, 4_000, 200));
        let size = estimates.size(class, declared, 0.9);
        assert!((3_600..=4_400).contains(&size.cpu_milli) && (180..=220).contains(&size.memory_mib), "{size}");
        (0..2_000).for_each(|_| estimates.observe_usage(class, 500, 200));
        assert!(estimates.size(class, declared, 0.9).cpu_milli < 600);
    }
}
