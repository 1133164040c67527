//! Decisions in plain sentences.

use fescuelead_core::{
    explain as core,
    ids::{AgentId, AvailabilityZone, ServiceName, TaskId},
    plain,
    units::TimeMs,
};

use crate::api::problem::ApiError;

plain! {
    /// What is explained.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum ExplainKind {
        /// A task, by its id.
        Task,
        /// A service, by its name.
        Service,
        /// A worker, by the id of its agent.
        Worker,
        /// An availability zone, by its name.
        Zone,
    }

    /// The answer to `GET /v1/explain/{kind}/{id}`.
    pub struct Explanation {
        /// What is explained.
        pub kind: ExplainKind,
        /// Its id.
        pub id: String,
        /// What was decided, oldest first.
        pub sentences: Vec<Sentence>,
        /// Older decisions that are no longer kept.
        pub dropped: u64,
    }

    /// One decision or observation.
    pub struct Sentence {
        /// How long ago it last was.
        pub age_ms: u64,
        /// When it last was, by the clock of the entry's host.
        pub at_unix_ms: u64,
        /// Whether an operator should look at it.
        pub attention: bool,
        /// The sentence.
        pub text: String,
    }
}

impl ExplainKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Task, Self::Service, Self::Worker, Self::Zone];

    /// The word in the path.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Task => "task",
            Self::Service => "service",
            Self::Worker => "worker",
            Self::Zone => "zone",
        }
    }

    /// The kind of a word in a path.
    pub fn from_word(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == word)
    }

    /// The subject of this kind with an id.
    ///
    /// # Errors
    ///
    /// Fails if the id is no valid identifier.
    pub fn subject(self, id: &str) -> Result<core::Subject, ApiError> {
        let subject = match self {
            Self::Task => TaskId::new(id).map(core::Subject::Task),
            Self::Service => ServiceName::new(id).map(core::Subject::Service),
            Self::Worker => AgentId::new(id).map(core::Subject::Worker),
            Self::Zone => AvailabilityZone::new(id).map(core::Subject::Zone),
        };
        subject.map_err(ApiError::bad_id("id"))
    }
}

impl Explanation {
    /// Turns what the core knows into an answer. `now` and `now_unix_ms` are the same moment on the monotonic clock of
    /// the process and on the clock of its host.
    pub fn new(explanation: core::Explanation, now: TimeMs, now_unix_ms: u64) -> Self {
        let (kind, id) = match explanation.subject {
            core::Subject::Task(id) => (ExplainKind::Task, id.to_string()),
            core::Subject::Service(name) => (ExplainKind::Service, name.to_string()),
            core::Subject::Worker(id) => (ExplainKind::Worker, id.to_string()),
            core::Subject::Zone(name) => (ExplainKind::Zone, name.to_string()),
        };
        let sentence = |line: core::Line| {
            let age_ms = now.since_ms(line.last);
            let at_unix_ms = now_unix_ms.saturating_sub(age_ms);
            Sentence { age_ms, at_unix_ms, attention: line.attention, text: line.text }
        };
        Self {
            kind,
            id,
            sentences: explanation.lines.into_iter().map(sentence).collect(),
            dropped: explanation.dropped,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a decision that is shown at the wrong time or under another kind.
    #[test]
    fn a_decision_keeps_its_subject_and_age() {
        let subject = ExplainKind::Task.subject("c0-t").expect("valid id");
        let mut explainer = core::Explainer::new();
        let task = TaskId::new("c0-t").expect("valid id");
        explainer.note(TimeMs(100), core::Decision::Stalled { task, stalled_ms: 9, limit_ms: 8 });
        let answer = Explanation::new(explainer.explain(&subject), TimeMs(150), 1_000);
        assert_eq!((answer.kind, answer.id.as_str(), answer.sentences.len()), (ExplainKind::Task, "c0-t", 1));
        let first = &answer.sentences[0];
        assert_eq!((first.age_ms, first.at_unix_ms, first.attention), (50, 950, true));
        assert!(ExplainKind::Zone.subject("a/b").is_err());
    }
}
