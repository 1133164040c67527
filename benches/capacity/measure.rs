//! Processor time, heap growth, slopes and the comparison with budgets.

use cpu_time::ThreadTime;
use stats_alloc::Region;

use crate::ALLOCATOR;

/// What was found against the budgets of the design page.
#[derive(Debug, Default)]
pub struct Report {
    budgets: Vec<Budget>,
}

#[derive(Debug)]
struct Budget {
    what: String,
    value: f64,
    limit: f64,
    unit: &'static str,
}

impl Report {
    /// Compares a figure with the most that it may be.
    pub fn at_most(&mut self, what: impl Into<String>, value: f64, limit: f64, unit: &'static str) {
        self.budgets.push(Budget { what: what.into(), value, limit, unit });
    }

    /// Prints a verdict for each budget.
    pub fn print_budgets(&self) {
        if self.budgets.is_empty() {
            return;
        }
        println!("\n{:<76} {:>12} {:>12}  {:<6} verdict", "budget", "measured", "at most", "unit");
        for Budget { what, value, limit, unit } in &self.budgets {
            let verdict = if value <= limit { "ok" } else { "does not fit today" };
            println!("{what:<76} {:>12} {:>12}  {unit:<6} {verdict}", figure(*value), figure(*limit));
        }
    }
}

/// Processor time of this thread in nanoseconds for one call of `work`, the mean over `count` calls.
pub fn cpu_ns(count: usize, mut work: impl FnMut(usize)) -> f64 {
    let start = ThreadTime::now();
    (0..count).for_each(&mut work);
    start.elapsed().as_nanos() as f64 / count as f64
}

/// Heap bytes that `make` leaves in use, with what it made.
pub fn heap_bytes<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let made = make();
    let change = region.change();
    (made, change.bytes_allocated as f64 - change.bytes_deallocated as f64)
}

/// A straight line through points, by least squares.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    /// The value at zero.
    pub base: f64,
    /// The growth per unit.
    pub slope: f64,
}

impl Line {
    /// The line through `(x, y)` points.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let (mean_x, mean_y) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0 / n, y + p.1 / n));
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        Self { base: mean_y - slope * mean_x, slope }
    }

    /// The value at `x`.
    pub fn at(self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Measures `value` at each size, prints the points with their slope, and returns the line.
pub fn slope(what: &str, unit: &str, sizes: &[usize], mut value: impl FnMut(usize) -> f64) -> Line {
    let points: Vec<_> = sizes.iter().map(|size| (*size as f64, value(*size))).collect();
    let line = Line::through(&points);
    let text: Vec<_> = points.iter().map(|(x, y)| format!("{x:.0}: {}", figure(*y))).collect();
    println!("{what} [{unit}] at {}; {} + {} each", text.join(", "), figure(line.base), figure(line.slope));
    line
}

/// Prints a heading.
pub fn heading(text: &str) {
    println!("\n== {text}");
}

/// A figure with about three digits.
pub fn figure(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
