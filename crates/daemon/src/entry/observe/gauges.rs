//! Gauges and context that are read from the shared state.

use std::{collections::HashMap, sync::Arc};

use fescuelead_core::{burn::BURN_WINDOWS_MS, ids::ServiceName};

use crate::{
    entry::{observe::Observer, shared::Shared},
    metrics::{BudgetLabels, ServiceLabel, WindowLabels},
};

const WINDOW_WORDS: [&str; BURN_WINDOWS_MS.len()] = ["5m", "1h", "6h", "3d"];

impl Observer {
    /// Reads what causes are found from.
    pub(super) fn refresh(&self, shared: &Shared) {
        let config = Arc::clone(&shared.config.borrow());
        let zones_out = if config.zones_out.is_empty() {
            HashMap::new()
        } else {
            shared.endpoints().services_in(&config.zones_out)
        };
        self.context.lock().zones_out = zones_out;
    }

    /// Brings all gauges that are read from the shared state up to date. Linear in endpoints and services.
    pub fn set_gauges(&self, shared: &Shared) {
        let config = Arc::clone(&shared.config.borrow());
        self.metrics.config_version.set(i64::try_from(config.version).unwrap_or(i64::MAX));
        self.set_slots(shared);
        self.set_burn(shared);
    }

    fn set_slots(&self, shared: &Shared) {
        let config = Arc::clone(&shared.config.borrow());
        let mut sums: HashMap<String, (u64, u64)> = HashMap::new();
        for endpoint in shared.endpoints().list() {
            let known = ServiceName::new(&endpoint.service).is_ok_and(|name| config.set.services.contains_key(&name));
            let name = if known { endpoint.service } else { super::OTHER.to_owned() };
            let sum = sums.entry(name).or_default();
            sum.0 += u64::from(endpoint.slots);
            sum.1 += u64::from(endpoint.in_flight);
        }
        // Services that have left the configuration leave the metrics too.
        self.metrics.slots.clear();
        self.metrics.slots_in_use.clear();
        for (service, (slots, in_use)) in sums {
            let label = ServiceLabel { service };
            self.metrics.slots.get_or_create(&label).set(slots as i64);
            self.metrics.slots_in_use.get_or_create(&label).set(in_use as i64);
        }
    }

    fn set_burn(&self, shared: &Shared) {
        let report = self.report(shared);
        self.metrics.burn_rate.clear();
        self.metrics.budget_left.clear();
        for item in report.items {
            let (service, profile) = (item.key.service.to_string(), item.key.profile.to_string());
            for (rate, window) in item.rates.iter().zip(WINDOW_WORDS) {
                let labels = WindowLabels { service: service.clone(), profile: profile.clone(), window };
                self.metrics.burn_rate.get_or_create(&labels).set(rate.rate);
            }
            self.metrics.budget_left.get_or_create(&BudgetLabels { service, profile }).set(item.budget_left_ratio);
        }
    }
}
