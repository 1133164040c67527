//! What operators have set, as the entries use it.

use std::collections::BTreeMap;

use fescuelead_core::{jobs::QueueSettings, plain};

plain! {
    /// The way to a queue.
    pub struct Route {
        /// The name of the queue.
        pub queue: String,
        /// The host name that clients send.
        pub host: String,
        /// What the path begins with.
        pub path_prefix: String,
        /// The settings of the queue.
        pub settings: QueueSettings,
    }

    /// A configuration.
    #[derive(Default)]
    pub struct Directory {
        /// Grows with each configuration.
        pub version: u64,
        routes: BTreeMap<String, Vec<Route>>,
    }

    /// What an operator changed.
    pub enum OperatorChange {
        /// There is a new configuration.
        Configured(Directory),
        /// Nothing may start in an availability zone.
        ZoneOut(String),
        /// Tasks may start again in an availability zone.
        ZoneIn(String),
        /// Nothing that concerns the entries.
        Other,
    }
}

impl Directory {
    /// Makes a configuration of routes.
    pub fn new(version: u64, routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { version, routes: by_host }
    }

    /// The route with the longest prefix of `path`. Linear in the routes of one host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The settings of all queues by name.
    pub fn queues(&self) -> BTreeMap<String, QueueSettings> {
        self.routes.values().flatten().map(|route| (route.queue.clone(), route.settings.clone())).collect()
    }
}
