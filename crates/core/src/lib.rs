/*!
Decisions and state of the fescuelead scheduler, without any I/O.

Every engine in this crate is a value that takes a state, an event and a time, and returns what should be done. There
are no sockets, clocks or global variables here, so that the daemon, the tests and the benches run the same code.

# Example

Two records race for the same task. The order of the stream decides, and every reader comes to the same result:

```
use fescuelead_core::{
    cell::CellState,
    ids::{AgentId, EntryId, TaskId},
    record::{Batch, Record},
    testing,
};

let mut cell = CellState::new(0);
let task = TaskId::new("c0-master-17")?;
let writer = EntryId::new("entry-a")?;
let submitted = Record::TaskSubmitted { task: task.clone(), spec: testing::task_spec() };
let assigned = |agent: &str| -> Result<Record, fescuelead_core::ids::IdError> {
    Ok(Record::TaskAssigned {
        task: task.clone(),
        attempt: 1,
        agent: AgentId::new(agent)?,
        agent_incarnation: 1,
    })
};
let batch = Batch::new(writer, 1, 1)
    .with_record(submitted)
    .with_record(assigned("agent-1")?)
    .with_record(assigned("agent-2")?);
cell.apply(0, &batch);
assert_eq!(cell.task(&task).and_then(|t| t.runner()).map(|r| r.agent.as_str()), Some("agent-1"));
# Ok::<(), Box<dyn std::error::Error>>(())
```

# Modules

* [`record`]: what is written to the platform's log.
* [`config`] and [`cell`]: folds of the streams.
* [`snapshot`]: state carried past retention, and the reader that follows a stream.
* [`lease`], [`promise`], [`capacity`], [`writer`]: ownership of work and capacity.
* [`runner`] and [`entry`]: the control of an agent and of an entry, put together from these.
* [`request_keys`]: which non-idempotent requests an agent has seen or refused.
* [`jobs`]: jobs of many tasks, decided by one leader over the platform's store.
* [`placement`], [`interference`], [`estimate`], [`suspect`], [`queue`]: decisions on tasks.
* [`balance`], [`slots`], [`admission`], [`retry`], [`detect`]: the path of requests.
* [`profile`]: what operators publish.
* [`burn`] and [`explain`]: what operators see.
*/

#[macro_use]
mod macros;

pub mod admission;
pub mod balance;
pub mod burn;
pub mod capacity;
pub mod cell;
pub mod cells;
pub mod config;
pub mod detect;
pub mod entry;
pub mod estimate;
pub mod explain;
pub mod ids;
pub mod interference;
pub mod jobs;
pub mod lease;
#[doc(hidden)]
pub mod mutation;
pub mod placement;
pub mod profile;
pub mod promise;
pub mod queue;
pub mod record;
pub mod request_keys;
pub mod retry;
pub mod runner;
pub mod slots;
pub mod snapshot;
pub mod suspect;
pub mod testing;
pub mod units;
pub mod writer;
