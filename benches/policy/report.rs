//! What the scenarios hand back and how it is printed.

use std::fmt;

/// One measured value against its bound.
#[derive(Debug, Clone)]
pub struct Measure {
    /// The scenario, such as `zone-out`.
    pub scenario: String,
    /// What was measured, such as `completed`.
    pub measure: String,
    /// The value of fescuelead's own policy.
    pub value: f64,
    /// The same value of the baselines and the oracle, for comparison.
    pub baselines: Vec<(String, f64)>,
    /// What the value is held against.
    pub bound: Bound,
    /// Whether the bound holds.
    pub ok: bool,
}

/// On which side of the limit a value must stay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// The value must not exceed the limit.
    AtMost(f64),
    /// The value must not fall below the limit.
    AtLeast(f64),
    /// Printed for comparison only. The worst of several seeds is the smallest.
    None,
}

impl Bound {
    /// Whether `value` keeps to the bound. A value that is no number never does.
    pub fn holds(self, value: f64) -> bool {
        match self {
            Self::AtMost(limit) => value <= limit,
            Self::AtLeast(limit) => value >= limit,
            Self::None => true,
        }
    }

    /// Whether `value` is further from the bound, on the bad side, than `other`.
    pub fn is_worse(self, value: f64, other: f64) -> bool {
        match self {
            Self::AtMost(_) => value.is_nan() || value > other,
            Self::AtLeast(_) | Self::None => value.is_nan() || value < other,
        }
    }
}

impl Measure {
    /// Holds `value` against `bound`.
    pub fn new(scenario: &str, measure: &str, value: f64, bound: Bound) -> Self {
        let (scenario, measure) = (scenario.to_owned(), measure.to_owned());
        Self { scenario, measure, value, baselines: Vec::new(), bound, ok: bound.holds(value) }
    }

    /// Adds the value of a baseline.
    pub fn with_baseline(mut self, name: &str, value: f64) -> Self {
        self.baselines.push((name.to_owned(), value));
        self
    }
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "policy scenario={} measure={} value={:.4}", self.scenario, self.measure, self.value)?;
        self.baselines.iter().try_for_each(|(name, value)| write!(f, " {name}={value:.4}"))?;
        match self.bound {
            Bound::None => return f.write_str(" bound=none"),
            Bound::AtMost(limit) => write!(f, " bound=<={limit}")?,
            Bound::AtLeast(limit) => write!(f, " bound=>={limit}")?,
        }
        f.write_str(if self.ok { " ok" } else { " RED" })
    }
}
