/*!
Runs the job scheduler of [`fescuelead_core::jobs`] on several machines.

There are two kinds of processes. An [`entry`] accepts jobs from clients, appends them to the platform's [`store`], and
replicates the state of all jobs; one of the entries is the [`leader`], which schedules tasks on all hosts. An [`agent`]
runs beside each [`endpoint`]: it is the only process that sends orders to that endpoint, renews its lease, and reports
the runs that have ended.

The platform is accessed only through the traits [`store::Store`] and [`endpoint::Endpoint`]. Each process is
single-threaded, except for the writer of its log lines.
*/

pub mod agent;
pub mod announce;
pub mod clock;
pub mod endpoint;
pub mod entry;
pub mod leader;
pub mod logs;
pub mod message;
pub mod metrics;
pub mod routing;
mod session;
pub mod store;
