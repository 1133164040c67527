//! What an endpoint says of itself to the agent on its host.

use std::net::SocketAddr;

use fescuelead_core::ids::ServiceName;
use serde::{Deserialize, Serialize};

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// It takes requests.
    Up,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// An announcement, posted as JSON to `/v1/announce` of the agent and repeated as a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listens for HTTP/1.1, on the agent's host.
    pub address: SocketAddr,
    /// Requests that it works on at one time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Tells one run of the endpoint from the next.
    pub incarnation: u64,
}
