//! Switches that a test sets while a stand-in runs.

use std::sync::Arc;

use tokio::sync::watch;

/// A cheap, cloneable handle on the faults of one stand-in. `T` is a plain struct whose default means no faults.
#[derive(Debug, Clone)]
pub struct FaultSwitch<T> {
    current: Arc<watch::Sender<T>>,
}

impl<T: Clone + Default> Default for FaultSwitch<T> {
    fn default() -> Self {
        Self { current: Arc::new(watch::Sender::new(T::default())) }
    }
}

impl<T: Clone + Default> FaultSwitch<T> {
    /// The faults in force.
    pub fn get(&self) -> T {
        self.current.borrow().clone()
    }

    /// Replaces all faults.
    pub fn set(&self, faults: T) {
        self.current.send_replace(faults);
    }

    /// Changes some faults.
    pub fn update(&self, change: impl FnOnce(&mut T)) {
        self.current.send_modify(change);
    }

    /// Ends all faults.
    pub fn clear(&self) {
        self.set(T::default());
    }

    /// Counts one down from a fault that affects the next few calls, and says whether this call is one of them.
    pub fn take(&self, counter: impl FnOnce(&mut T) -> &mut u64) -> bool {
        let mut taken = false;
        self.current.send_if_modified(|faults| {
            let left = counter(faults);
            taken = *left > 0;
            *left = left.saturating_sub(1);
            taken
        });
        taken
    }

    /// Sees every later change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<T> {
        self.current.subscribe()
    }
}
