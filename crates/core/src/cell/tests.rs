//! Tests of how records change the state of a cell.

use super::*;
use crate::{ids::EntryId, testing};

fn entry(name: &str) -> EntryId {
    EntryId::new(name).expect("valid id")
}

fn task() -> TaskId {
    TaskId::new("c0-t").expect("valid id")
}

fn assigned(attempt: u32, agent: &str) -> Record {
    let agent = AgentId::new(agent).expect("valid id");
    Record::TaskAssigned { task: task(), attempt, agent, agent_incarnation: 1 }
}

fn fenced(attempt: u32) -> Record {
    Record::AttemptFenced { task: task(), attempt, reason: FenceReason::AgentLost }
}

fn running_cell() -> CellState {
    let mut cell = CellState::new(0);
    let start = Batch::new(entry("a"), 1, 1)
        .with_record(Record::EntryRegistered { peer_address: "127.0.0.1:1".to_owned() })
        .with_record(Record::FencerAdmitted)
        .with_record(Record::TaskSubmitted { task: task(), spec: testing::task_spec() })
        .with_record(assigned(1, "agent-1"));
    cell.apply(0, &start);
    cell
}

fn runner(cell: &CellState) -> Option<&str> {
    cell.task(&task()).and_then(Task::runner).map(|r| r.agent.as_str())
}

/// A writer that loses the response to an append sends the append again; it must take effect only once.
#[test]
fn a_repeated_sequence_is_dropped() {
    let mut cell = running_cell();
    let stop = Record::AttemptStopped { task: task(), attempt: 1, started: true, checkpoint: None };
    let batch = Batch::new(entry("a"), 1, 2).with_record(stop).with_record(assigned(2, "agent-2"));
    cell.apply(1, &batch);
    assert!(cell.apply(2, &batch).is_empty());
    assert_eq!((runner(&cell), cell.repeated()), (Some("agent-2"), 1));
}

/// Guards against a valid fence by an entry that is only a candidate or was removed.
#[test]
fn only_members_of_the_fencing_set_can_fence() {
    let mut cell = running_cell();
    let register = Record::EntryRegistered { peer_address: "127.0.0.1:2".to_owned() };
    assert!(!matches!(
        cell.apply(1, &Batch::new(entry("b"), 1, 1).with_record(register).with_record(fenced(1))).last(),
        Some(CellEvent::Fenced { .. })
    ));
    let remove = Record::EntryRemoved { entry: EntryRef::new(entry("a"), 1) };
    cell.apply(2, &Batch::new(entry("b"), 1, 2).with_record(Record::FencerAdmitted).with_record(remove));
    assert!(cell.apply(3, &Batch::new(entry("a"), 1, 2).with_record(fenced(1))).is_empty());
    assert_eq!(runner(&cell), Some("agent-1"));
}

/// Guards against work that is done twice because the report of its completion follows a fence in the stream.
#[test]
fn a_fenced_attempt_can_finish_until_the_next_attempt_is_assigned() {
    let mut cell = running_cell();
    let done = Record::AttemptFinished { task: task(), attempt: 1, outcome: Outcome::Succeeded };
    let mut late = cell.clone();
    cell.apply(1, &Batch::new(entry("a"), 1, 2).with_record(fenced(1)).with_record(done.clone()));
    assert!(cell.task(&task()).is_some_and(|t| t.phase.is_ended()));
    late.apply(1, &Batch::new(entry("a"), 1, 2).with_record(fenced(1)).with_record(assigned(2, "agent-2")));
    assert!(late.apply(2, &Batch::new(entry("a"), 1, 3).with_record(done)).is_empty());
    assert_eq!(runner(&late), Some("agent-2"));
}

/// Ended tasks are dropped by a record and not by the clock of each reader. Otherwise two readers could drop a task at
/// different offsets, and disagree on whether a later submission of its id is new.
#[test]
fn ended_tasks_are_dropped_by_an_expiry_record() {
    let mut cell = running_cell();
    let done = Record::AttemptFinished { task: task(), attempt: 1, outcome: Outcome::Succeeded };
    let expired = |now_unix_ms| Record::Expired { now_unix_ms };
    cell.apply(1, &Batch::new(entry("a"), 1, 2).with_record(done).with_record(expired(u64::MAX - 1)));
    assert!(cell.task(&task()).is_some(), "its deadline has not passed");
    assert!(cell.has_expired(u64::MAX));
    cell.apply(2, &Batch::new(entry("a"), 1, 3).with_record(expired(u64::MAX)));
    assert!(cell.task(&task()).is_none());
}

/// Guards against two entries that together exceed a team's quota, and against quota that an ended task never releases.
#[test]
fn an_assignment_over_quota_has_no_effect() {
    let mut cell = running_cell();
    let (second, team) = (TaskId::new("c0-u").expect("valid id"), testing::task_spec().team);
    let quotas = |config_version, share: u32| {
        let quota = Resources::new(1_000 * share, 512 * share);
        Record::QuotasSet { config_version, quotas: [(team.clone(), quota)].into() }
    };
    let agent = AgentId::new("agent-2").expect("valid id");
    let assign = Record::TaskAssigned { task: second.clone(), attempt: 1, agent, agent_incarnation: 1 };
    let submit = Record::TaskSubmitted { task: second.clone(), spec: testing::task_spec() };
    let batch = Batch::new(entry("b"), 1, 1).with_record(quotas(2, 1)).with_record(quotas(1, 9));
    cell.apply(1, &batch.with_record(submit).with_record(assign.clone()));
    assert_eq!(cell.task(&second).and_then(Task::runner), None, "the first task uses the whole quota");
    let image = cell.to_image().expect("encodes");
    let mut cell = CellState::from_image(&image).expect("decodes");
    let done = Record::AttemptFinished { task: task(), attempt: 1, outcome: Outcome::Succeeded };
    cell.apply(2, &Batch::new(entry("b"), 1, 2).with_record(assign.clone()));
    assert_eq!(cell.task(&second).and_then(Task::runner), None, "a snapshot preserves quota usage");
    cell.apply(3, &Batch::new(entry("b"), 1, 3).with_record(done).with_record(assign));
    assert!(cell.task(&second).and_then(Task::runner).is_some());
}

/// Guards against a late outcome of an earlier claim that resolves a later claim under the same key.
#[test]
fn an_outcome_resolves_only_its_own_claim() {
    let key = RequestKey::new("takedown-1").expect("valid id");
    let claim = || Record::RequestClaimed {
        key: key.clone(),
        digest: 1,
        agent: AgentId::new("agent-1").expect("valid id"),
        agent_incarnation: 1,
        deadline_unix_ms: u64::MAX,
    };
    let not_run =
        |claim_offset| Record::RequestResolved { key: key.clone(), claim_offset, outcome: RequestOutcome::NotRun };
    let mut cell = CellState::new(0);
    cell.apply(0, &Batch::new(entry("a"), 1, 1).with_record(claim()).with_record(not_run(0)));
    cell.apply(1, &Batch::new(entry("b"), 1, 1).with_record(claim()));
    assert!(cell.apply(2, &Batch::new(entry("a"), 1, 2).with_record(not_run(0))).is_empty());
    assert_eq!(cell.claim(&key).map(|c| (c.offset, c.outcome.clone())), Some((1, None)));
}

/// Guards against an answer that is lost because another entry had recorded `Unknown`, and against a recorded answer
/// that changes.
#[test]
fn an_answer_replaces_only_unknown() {
    let key = RequestKey::new("takedown-1").expect("valid id");
    let agent = AgentId::new("agent-1").expect("valid id");
    let claim =
        Record::RequestClaimed { key: key.clone(), digest: 1, agent, agent_incarnation: 1, deadline_unix_ms: u64::MAX };
    let resolved = |outcome| Record::RequestResolved { key: key.clone(), claim_offset: 0, outcome };
    let answer = |status| RequestOutcome::Answered { status, content_type: String::new(), body: Vec::new() };
    let batch = Batch::new(entry("a"), 1, 1)
        .with_record(claim)
        .with_record(resolved(RequestOutcome::Unknown))
        .with_record(resolved(RequestOutcome::NotRun))
        .with_record(resolved(answer(200)))
        .with_record(resolved(answer(500)));
    let mut cell = CellState::new(0);
    cell.apply(0, &batch);
    assert_eq!(cell.claim(&key).and_then(|c| c.outcome.clone()), Some(answer(200)));
}

/// Guards against a new task that is mistaken for an earlier one with the same key.
#[test]
fn the_same_key_with_another_payload_is_a_conflict() {
    let mut cell = running_cell();
    let mut other = testing::task_spec();
    other.payload = b"other".to_vec();
    let batch = Batch::new(entry("a"), 1, 2).with_record(Record::TaskSubmitted { task: task(), spec: other });
    assert_eq!(cell.apply(1, &batch), [CellEvent::SubmissionConflict { task: task() }]);
}
