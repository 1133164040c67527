/*!
Small stand-ins of the platform for tests and examples: the [log service](log), a [worker] with its [ledger], and an
[endpoint].

The log service and the worker can be used in memory through the traits of `fescuelead-platform`, so that tests run on
paused time without sockets, or over HTTP. Each stand-in has a [`FaultSwitch`](faults::FaultSwitch) that can be set while
it runs. Clocks are those of `tokio::time`.
*/

pub mod control;
pub mod endpoint;
pub mod faults;
pub mod ledger;
pub mod log;
mod serve;
pub mod worker;
