/*!
The fescuelead daemon as a library, so that a small site can run in one process.

The binary `fescueleadd` reads [`settings`] and runs one of two roles until it is told to stop: an [`entry`], which takes
callers' work and decides, or an [`agent`], which owns one worker's capacity and one host's endpoints.
*/

pub mod agent;
pub mod api;
pub mod auth;
pub mod clock;
pub mod entry;
pub mod http;
pub mod lifecycle;
pub mod limit;
pub mod metrics;
pub mod relay;
pub mod reload;
pub mod rpc;
pub mod server;
pub mod settings;
pub mod threads;
pub mod tls;
