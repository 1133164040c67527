//! The resources that orders commit on the endpoint.

use fescuelead_core::{jobs::TaskRef, units::Resources};

use super::{Order, State};
use crate::message::Start;

impl Start {
    /// The resources that the task requests.
    pub(super) fn resources(&self) -> Resources {
        Resources::new(self.cpu_milli, self.memory_mib).with_accelerators(self.accelerators)
    }
}

impl Order {
    /// What the run takes of the endpoint's capacity. Background tasks only use processor time that others leave.
    fn committed(&self) -> Resources {
        let cpu_milli = if self.background { 0 } else { self.resources.cpu_milli };
        Resources { cpu_milli, ..self.resources }
    }
}

impl State {
    /// Whether the order for `task` fits into the capacity that the endpoint last announced, beside all other orders. A
    /// run that is being stopped counts until its end is reported. `true` if the endpoint has not announced itself.
    pub(super) fn has_room(&self, task: TaskRef) -> bool {
        let (Some(info), Some(order)) = (&self.current.info, self.current.orders.get(&task)) else { return true };
        let others = self
            .current
            .orders
            .iter()
            .filter(|(other, _)| **other != task)
            .fold(Resources::ZERO, |sum, (_, other)| sum.plus(&other.committed()));
        order.committed().fits_in(&info.capacity.minus(&others))
    }
}
