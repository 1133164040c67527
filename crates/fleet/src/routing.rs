//! The part of the operators' configuration that entries use: the routes from requests to queues.

use std::collections::BTreeMap;

use fescuelead_core::{jobs::QueueSettings, plain};

plain! {
    /// Maps requests to a queue by host name and path prefix.
    pub struct Route {
        /// The name of the queue.
        pub queue: String,
        /// The host name in the client's request, without a port.
        pub host: String,
        /// The prefix of the path in the client's request.
        pub path_prefix: String,
        /// The service, priority, failure limit and time targets of the queue's jobs.
        pub settings: QueueSettings,
    }

    /// One version of the configuration.
    #[derive(Default)]
    pub struct RoutingConfig {
        /// Grows with each configuration that operators publish; an older version never replaces a newer one.
        pub version: u64,
        routes: BTreeMap<String, Vec<Route>>,
    }

    /// A change that an operator made.
    pub enum OperatorChange {
        /// A configuration was published.
        Configured(RoutingConfig),
        /// An availability zone was taken out of service: no task may start in it.
        ZoneOut(String),
        /// An availability zone was put back into service.
        ZoneIn(String),
        /// A change that does not affect entries.
        Other,
    }
}

impl RoutingConfig {
    /// Creates a configuration from routes in any order.
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

    /// The route whose prefix of `path` is the longest; `None` if no route matches. Linear in the routes of one host
    /// name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The settings of all queues by name.
    pub fn queues(&self) -> BTreeMap<String, QueueSettings> {
        self.routes.values().flatten().map(|route| (route.queue.clone(), route.settings.clone())).collect()
    }
}
