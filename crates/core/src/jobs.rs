/*!
Jobs: steps of tasks that run on hosts under leases.

One process, the leader, decides for all hosts of a cell. Everything it has decided about a job is one [`JobProgress`],
which the platform's store keeps under the job's id. A later record replaces an earlier one, so a reader needs no history:
the newest record of every key is the whole state, and the order of the records settles every race between leaders.

* [`spec`]: what a client submits.
* [`progress`]: what is kept of a job.
* [`replica`]: the copy of all jobs that every entry holds.
* [`scheduler`]: the leader's decisions; it takes events and a time and returns records and effects.
* [`hosts`]: the leader's view of the hosts and of what is assigned to them.
* [`lease`]: how long an agent may let tasks run, and when a leader may take a silent host's tasks elsewhere.
* [`image_interference`]: how much background tasks of one image disturb serving tasks of another, learned from readings.
* [`pace`]: how far background tasks are slowed for the sake of the tasks that serve beside them.

No order leaves the leader before the record that explains it is in the store. A leader that takes over therefore knows
every run that may exist, and asks the hosts only which of them do.
*/

pub mod hosts;
pub mod image_interference;
pub mod lease;
pub mod pace;
pub mod progress;
pub mod replica;
pub mod scheduler;
pub mod spec;

pub use self::{
    hosts::{HostInfo, HostName},
    progress::{JobProgress, Phase, TaskState},
    replica::{JobStatus, Replica},
    scheduler::{Batch, Effect, Moment, Rejection, RunEnd, RunOutcome, Scheduler},
    spec::{JobId, JobSpec, QueueSettings, StepSpec, TaskRef},
};
