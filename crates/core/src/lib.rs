/*!
State machines and decisions of the fescuelead scheduler, without I/O.

Each component is a value that takes events and the current time as input and returns the actions to perform. The crate
uses no sockets, clocks or global variables, so the daemon, the tests and the benchmarks run the same code.

# Example

Two records assign the same task. The order in the stream decides, and every reader computes the same result:

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

* [`record`]: the records in the platform's log.
* [`config`] and [`cell`]: the state machines of the streams; [`cells`]: partitioning into cells.
* [`snapshot`]: snapshots of these states, and the reader that follows a stream.
* [`lease`], [`promise`], [`capacity`], [`writer`]: ownership of work and capacity.
* [`runner`] and [`entry`]: the control logic of an agent and of an entry, which combines these modules.
* [`request_keys`]: the non-idempotent requests that an agent has received or refused.
* [`jobs`]: jobs of many tasks, scheduled by one leader that persists its state in the platform's store.
* [`placement`], [`interference`], [`estimate`], [`suspect`], [`queue`]: scheduling of tasks.
* [`balance`], [`slots`], [`admission`], [`retry`], [`detect`]: routing and admission of requests.
* [`profile`]: the settings that operators publish.
* [`burn`] and [`explain`]: reports for operators.
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
pub mod trailing;
pub mod units;
pub mod writer;
