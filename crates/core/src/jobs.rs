/*!
Jobs: steps of tasks that run on hosts under leases.

One process, the leader, schedules the jobs of a cell on all its hosts. Its decisions on a job are one [`JobProgress`]
record, stored under the job's id. A later record replaces an earlier one, so the latest record of each key is the whole
state, and the order of the records in the store resolves races between leaders.

* [`spec`]: the job that a client submits.
* [`progress`]: the stored state of a job.
* [`replica`]: the copy of all jobs that every entry holds.
* [`scheduler`]: the leader's state machine; it takes events and a time and returns records and effects.
* [`hosts`]: the leader's view of the hosts and of the runs assigned to them.
* [`lease`]: how long an agent may run tasks without contact to the leader, and when a leader may reassign the tasks of
  an unreachable host.
* [`image_interference`]: how much background tasks of one image raise the tail latency of serving tasks of another,
  learned from measurements.
* [`run_times`]: what runs took, and when those under way are expected to end.
* [`pace`]: how far background tasks are throttled to protect the serving tasks on their host.

The leader sends no command before the record of the decision is stored. A new leader therefore knows every run that may
exist, and only has to ask the hosts which of these runs do.
*/

pub mod hosts;
pub mod image_interference;
pub mod lease;
pub mod pace;
pub mod progress;
pub mod replica;
pub mod run_times;
pub mod scheduler;
pub mod spec;

pub use self::{
    hosts::{HostInfo, HostName, UNKNOWN_INCARNATION},
    progress::{JobProgress, Phase, TaskState},
    replica::{JobStatus, Replica},
    run_times::RunProgress,
    scheduler::{
        Batch, CountedCrash, Effect, MAX_BACKFILL_MS, MAX_PASSED_OVER_MS, Moment, MoveReason, Rejection,
        ReservationChange, RunEnd, RunOutcome, SUSPECT_AGE_MS, Scheduler, StartCheck, StepRef, Suspicion, TRIAL_MS,
    },
    spec::{JobId, JobSpec, QueueSettings, StepSpec, TaskRef},
};
