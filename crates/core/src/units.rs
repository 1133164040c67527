//! Units of time and resources.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A time on the monotonic clock of one process, in milliseconds. Values of different processes must not be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// The time `span_ms` later, saturating at `u64::MAX`.
    pub fn plus_ms(self, span_ms: u64) -> Self {
        Self(self.0.saturating_add(span_ms))
    }

    /// The time from `earlier` to `self` in milliseconds, or zero if `earlier` is after `self`.
    pub fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// An amount of a host's resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// The number of accelerators. They are not shared between tasks.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Zero in all components.
    pub const ZERO: Self = Self { cpu_milli: 0, memory_mib: 0, accelerators: 0 };

    /// Creates an amount without accelerators.
    pub fn new(cpu_milli: u32, memory_mib: u32) -> Self {
        Self { cpu_milli, memory_mib, accelerators: 0 }
    }

    /// Returns the same CPU and memory with the given number of accelerators.
    pub fn with_accelerators(self, accelerators: u32) -> Self {
        Self { accelerators, ..self }
    }

    /// Whether no component of `self` exceeds that of `free`.
    pub fn fits_in(&self, free: &Self) -> bool {
        self.cpu_milli <= free.cpu_milli && self.memory_mib <= free.memory_mib && self.accelerators <= free.accelerators
    }

    /// The component-wise maximum.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The component-wise sum, saturating at `u32::MAX`.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The component-wise difference, saturating at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} mcpu, {} MiB, {} accelerators", self.cpu_milli, self.memory_mib, self.accelerators)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a reservation that is accepted although one of its components exceeds the free amount.
    #[test]
    fn every_component_must_fit() {
        let free = Resources::new(1000, 512);
        assert!(Resources::new(1000, 512).fits_in(&free));
        assert!(!Resources::new(1001, 1).fits_in(&free));
        assert!(!Resources::new(1, 513).fits_in(&free));
        assert!(!Resources::new(1, 1).with_accelerators(1).fits_in(&free));
    }
}
