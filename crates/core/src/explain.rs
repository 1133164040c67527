/*!
Explanations of scheduling decisions for operators.

An [`Explainer`] stores the last decisions per task, service, worker and availability zone, and renders them as sentences.
Memory is bounded by [`MAX_DECISIONS`] per subject and [`DEFAULT_MAX_SUBJECTS`] subjects, of which the least recently used
one is evicted. Consecutive equal decisions are stored once, with their count. [`ProgressWatch`] detects tasks that make
no progress.

```
use fescuelead_core::{
    explain::{Decision, Explainer, Subject},
    ids::{AgentId, TaskId},
    units::TimeMs,
};

let (task, worker) = (TaskId::new("c0-statement-7")?, AgentId::new("agent-3")?);
let mut explainer = Explainer::new();
let why = "cost 0.20 = spread 0.20".to_owned();
let placed = Decision::Placed { task: task.clone(), attempt: 1, worker: worker.clone(), why };
explainer.note(TimeMs(40), placed);
for subject in [Subject::Task(task), Subject::Worker(worker)] {
    let text = &explainer.explain(&subject).lines[0].text;
    assert_eq!(text, "Attempt 1 of task c0-statement-7 was placed on worker agent-3: cost 0.20 = spread 0.20.");
}
# Ok::<(), fescuelead_core::ids::IdError>(())
```
*/

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fmt,
};

use crate::{
    ids::{AgentId, AvailabilityZone, ServiceName, TaskId},
    units::TimeMs,
};

mod decision;
mod progress;

pub use self::{
    decision::Decision,
    progress::{ProgressWatch, Stall},
};

/// The maximum number of decisions per subject.
pub const MAX_DECISIONS: usize = 32;
/// The default maximum number of subjects.
pub const DEFAULT_MAX_SUBJECTS: usize = 20_000;

/// An object that decisions can be about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A task, by its id.
    Task(TaskId),
    /// A service, by its name in the profile set.
    Service(ServiceName),
    /// A worker, by the id of its agent.
    Worker(AgentId),
    /// An availability zone, by its name.
    Zone(AvailabilityZone),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Task(id) => write!(f, "task {id}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Worker(id) => write!(f, "worker {id}"),
            Self::Zone(name) => write!(f, "availability zone {name}"),
        }
    }
}

plain! {
    /// One decision, rendered as a sentence.
    pub struct Line {
        /// The time of the first of `count` equal decisions.
        pub first: TimeMs,
        /// The time of the last of `count` equal decisions.
        pub last: TimeMs,
        /// The number of consecutive equal decisions.
        pub count: u32,
        /// Whether an operator should check the subject.
        pub attention: bool,
        /// The sentence, followed by the count if that is above 1.
        pub text: String,
    }
}

/// The stored decisions about one subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// The subject that was asked for.
    pub subject: Subject,
    /// The last decisions, oldest first.
    pub lines: Vec<Line>,
    /// The number of older decisions that were dropped.
    pub dropped: u64,
}

#[derive(Debug, Clone)]
struct RecordedDecision {
    first: TimeMs,
    last: TimeMs,
    count: u32,
    decision: Decision,
}

impl RecordedDecision {
    fn line(&self) -> Line {
        let text = match self.count {
            1 => self.decision.to_string(),
            count => format!("{} ({count} times)", self.decision),
        };
        Line { first: self.first, last: self.last, count: self.count, attention: self.decision.needs_attention(), text }
    }
}

#[derive(Debug, Clone, Default)]
struct Journal {
    decisions: VecDeque<RecordedDecision>,
    dropped: u64,
    /// Key of the journal in [`Explainer::by_use`].
    last_use: u64,
}

impl Journal {
    fn note(&mut self, now: TimeMs, decision: &Decision, times: u32) {
        if let Some(last) = self.decisions.back_mut().filter(|last| last.decision == *decision) {
            last.last = now;
            last.count = last.count.saturating_add(times);
            return;
        }
        if self.decisions.len() == MAX_DECISIONS {
            self.decisions.pop_front();
            self.dropped += 1;
        }
        self.decisions.push_back(RecordedDecision { first: now, last: now, count: times, decision: decision.clone() });
    }
}

/// Stores the last decisions of one entry by subject.
#[derive(Debug, Clone)]
pub struct Explainer {
    journals: HashMap<Subject, Journal>,
    /// Subjects by last use, least recent first.
    by_use: BTreeMap<u64, Subject>,
    next_use: u64,
    max_subjects: usize,
}

impl Default for Explainer {
    fn default() -> Self {
        Self::new()
    }
}

impl Explainer {
    /// Creates an empty explainer for at most [`DEFAULT_MAX_SUBJECTS`] subjects.
    pub fn new() -> Self {
        Self { journals: HashMap::new(), by_use: BTreeMap::new(), next_use: 0, max_subjects: DEFAULT_MAX_SUBJECTS }
    }

    /// Sets the maximum number of subjects. Zero is raised to 1.
    pub fn with_max_subjects(self, max_subjects: usize) -> Self {
        Self { max_subjects: max_subjects.max(1), ..self }
    }

    /// The number of subjects with stored decisions.
    pub fn subjects(&self) -> usize {
        self.journals.len()
    }

    /// Stores a decision under each subject that it is about. Logarithmic in the number of subjects.
    pub fn note(&mut self, now: TimeMs, decision: Decision) {
        self.note_times(now, decision, 1);
    }

    /// Stores a decision that was made `times` times. Does nothing if `times` is zero.
    pub fn note_times(&mut self, now: TimeMs, decision: Decision, times: u32) {
        if times == 0 {
            return;
        }
        for subject in decision.subjects() {
            self.journal(subject).note(now, &decision, times);
        }
    }

    /// Returns the stored decisions about a subject, without lines if there are none. Linear in their number.
    pub fn explain(&self, subject: &Subject) -> Explanation {
        let journal = self.journals.get(subject);
        Explanation {
            subject: subject.clone(),
            lines: journal.map(|j| j.decisions.iter().map(RecordedDecision::line).collect()).unwrap_or_default(),
            dropped: journal.map_or(0, |j| j.dropped),
        }
    }

    /// Returns the journal of a subject and marks it as used. If it is new, the least recently used one may be evicted.
    fn journal(&mut self, subject: Subject) -> &mut Journal {
        let last_use = self.next_use;
        self.next_use += 1;
        match self.journals.get(&subject) {
            Some(journal) => {
                self.by_use.remove(&journal.last_use);
            }
            None if self.journals.len() >= self.max_subjects => {
                if let Some((_, oldest)) = self.by_use.pop_first() {
                    self.journals.remove(&oldest);
                }
            }
            None => {}
        }
        self.by_use.insert(last_use, subject.clone());
        let journal = self.journals.entry(subject).or_default();
        journal.last_use = last_use;
        journal
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn task(name: &str) -> TaskId {
        TaskId::new(name).expect("valid id")
    }

    fn waits(name: &str, reason: &str) -> Decision {
        Decision::Waiting { task: task(name), reason: reason.to_owned() }
    }

    /// Guards against a waiting task whose repeated decision replaces all earlier ones about it.
    #[test]
    fn a_repeated_decision_is_stored_once_with_its_count() {
        let mut explainer = Explainer::new();
        (0..500).for_each(|i| explainer.note(TimeMs(i), waits("t", "the team's quota is used up")));
        let lines = explainer.explain(&Subject::Task(task("t"))).lines;
        assert_eq!((lines.len(), lines[0].first, lines[0].last, lines[0].count), (1, TimeMs(0), TimeMs(499), 500));
        assert_eq!(lines[0].text, "Task t waits: the team's quota is used up. (500 times)");
    }

    /// Guards against memory that grows with the number of tasks or decisions.
    #[test]
    fn decisions_and_subjects_are_bounded() {
        let mut explainer = Explainer::new().with_max_subjects(2);
        (0..100).for_each(|i| explainer.note(TimeMs(i), waits("a", &i.to_string())));
        let a = explainer.explain(&Subject::Task(task("a")));
        assert_eq!((a.lines.len(), a.dropped), (MAX_DECISIONS, 100 - MAX_DECISIONS as u64));
        explainer.note(TimeMs(100), waits("b", "x"));
        explainer.note(TimeMs(101), waits("a", "x"));
        explainer.note(TimeMs(102), waits("c", "x"));
        let known = |name: &str| !explainer.explain(&Subject::Task(task(name))).lines.is_empty();
        assert_eq!((known("a"), known("b"), known("c"), explainer.subjects()), (true, false, true, 2));
    }
}
