//! Failures of every part of a running site, one or two at a time, and the invariants that hold through them.
//!
//! Time is real, so no check depends on how long something takes: loops wait generously and only end hopeless tests.

#[path = "failures/cells.rs"]
mod cells;
#[path = "../examples/quickstart/client.rs"]
#[allow(dead_code, reason = "shared with the quickstart example")]
mod client;
#[path = "failures/endpoints.rs"]
mod endpoints;
#[path = "failures/log.rs"]
mod log;
#[path = "failures/operators.rs"]
mod operators;
#[path = "failures/processes.rs"]
mod processes;
#[path = "../examples/quickstart/site.rs"]
#[allow(dead_code, reason = "shared with the quickstart example")]
mod site;
#[path = "failures/support.rs"]
mod support;
#[path = "failures/tasks.rs"]
mod tasks;
#[path = "failures/timing.rs"]
mod timing;
#[path = "support/wait.rs"]
mod wait;
