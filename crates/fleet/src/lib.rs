/*!
Drives the job scheduler of [`fescuelead_core::jobs`].

Two programs run it. An [`entry`] takes jobs from clients, puts them into the platform's [`store`], and keeps a copy of
all jobs; one of the entries is the [`leader`] and decides for all hosts. An [`agent`] stands beside each
[`endpoint`]: it alone gives orders to that endpoint, keeps its lease, and reports what ends there.

The platform is met through the traits [`store::Store`] and [`endpoint::Endpoint`] only. Everything runs on one thread.
*/

pub mod agent;
pub mod clock;
pub mod directory;
pub mod endpoint;
pub mod entry;
pub mod leader;
pub mod logs;
pub mod message;
pub mod metrics;
mod session;
pub mod store;
