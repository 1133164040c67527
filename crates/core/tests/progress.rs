//! The progress of tasks, whose space grows with what has started.

use fescuelead_core::jobs::{
    JobProgress, JobSpec, QueueSettings, StepSpec, TaskState,
    progress::{TaskProgress, Tasks},
};
use rstest::rstest;

const TASKS: u32 = 4_096;

fn job(tasks: u32) -> JobProgress {
    let settings = QueueSettings {
        service: "desk".to_owned(),
        priority: 0,
        max_failures: 3,
        stretch_percent: 150,
        latency_ms: 250,
    };
    JobProgress::new(&JobSpec {
        queue: "queue-1".to_owned(),
        settings,
        accepted_unix_ms: 0,
        payload: String::new(),
        steps: vec![StepSpec { tasks, ..StepSpec::default() }],
        repeat: None,
    })
}

/// Guards against records that other versions cannot read: tasks without a run are encoded like all others.
#[rstest]
#[case::none_has_started(None)]
#[case::one_has_started(Some(7))]
fn tasks_are_encoded_as_a_sequence(#[case] started: Option<usize>) {
    let mut progress = job(TASKS);
    let mut rows = vec![TaskProgress::new(); TASKS as usize];
    if let Some(index) = started {
        progress.occurrences[0][0][index].state = TaskState::Done;
        rows[index].state = TaskState::Done;
    }
    let encoded = postcard::to_allocvec(&progress.occurrences).expect("encoded");
    assert_eq!(encoded, postcard::to_allocvec(&vec![vec![rows]]).expect("encoded"));
    let decoded: Vec<Vec<Tasks>> = postcard::from_bytes(&encoded).expect("decoded");
    assert_eq!(decoded, progress.occurrences);
}

/// Guards against tasks that differ by how they are held.
#[test]
fn tasks_without_a_run_equal_those_that_were_borrowed_as_mutable() {
    let (not_started, mut borrowed) = (Tasks::new(3), Tasks::new(3));
    assert!(borrowed.started_mut().is_empty());
    assert_eq!(borrowed.iter_mut().count(), 3);
    assert_eq!(borrowed.started_mut().len(), 3);
    assert_eq!(not_started, borrowed);
    assert_ne!(not_started, Tasks::new(2));
    assert_eq!(not_started, Tasks::from(borrowed.to_vec()));
}

/// Guards against a step that loses its tasks because another writer has stored more than are allowed.
#[test]
fn more_tasks_than_allowed_are_held() {
    assert_eq!(Tasks::new(TASKS as usize + 1).len(), TASKS as usize + 1);
}
