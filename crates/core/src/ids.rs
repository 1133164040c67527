//! Identifiers of tasks, processes, teams and places.

use std::fmt;

/// The longest identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

id! {
    /// A task. It starts with the number of its home cell: `c0-…`.
    TaskId;
    /// An agent, one a host.
    AgentId;
    /// An entry process.
    EntryId;
    /// A team with a quota.
    TeamId;
    /// A named profile.
    ProfileName;
    /// A service that callers send requests to.
    ServiceName;
    /// An availability zone of the platform.
    AvailabilityZone;
    /// A rack of hosts.
    RackId;
    /// The idempotency key of a request or a task.
    RequestKey;
}

/// A running entry: its id, and the random number that tells this run of the process from any other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct EntryRef {
    /// The id from the settings.
    pub entry: EntryId,
    /// Identifies one run of the process.
    pub incarnation: u64,
}

impl EntryRef {
    /// Names one run of `entry`.
    pub fn new(entry: EntryId, incarnation: u64) -> Self {
        Self { entry, incarnation }
    }
}

impl fmt::Display for EntryRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.entry, self.incarnation)
    }
}

/// One run of a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct AttemptRef {
    /// The task.
    pub task: TaskId,
    /// Counts from 1.
    pub attempt: u32,
}

impl AttemptRef {
    /// Names attempt number `attempt` of `task`.
    pub fn new(task: TaskId, attempt: u32) -> Self {
        Self { task, attempt }
    }
}

impl fmt::Display for AttemptRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}

impl TaskId {
    /// Makes the id of a task from its home cell and the caller's idempotency key.
    ///
    /// # Errors
    ///
    /// Fails if the key is too long or holds characters that identifiers may not have.
    pub fn from_key(cell: u32, key: &RequestKey) -> Result<Self, IdError> {
        Self::new(format!("c{cell}-{key}"))
    }

    /// The number of the home cell, if the id has one.
    pub fn cell(&self) -> Option<u32> {
        let rest = self.as_str().strip_prefix('c')?;
        let (number, _) = rest.split_once('-')?;
        number.parse().ok()
    }
}

/// Says why a text is no identifier and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdError {
    kind: IdErrorKind,
    type_name: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum IdErrorKind {
    Empty,
    TooLong { length_bytes: usize },
    BadCharacter { character: char },
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.type_name;
        match &self.kind {
            IdErrorKind::Empty => write!(f, "{name} is empty; give it 1 to {MAX_ID_BYTES} characters"),
            IdErrorKind::TooLong { length_bytes } => {
                write!(f, "{name} has {length_bytes} bytes; shorten it to {MAX_ID_BYTES}")
            }
            IdErrorKind::BadCharacter { character } => {
                write!(f, "{name} holds {character:?}; use letters, digits, '.', '_', '-' and ':' only")
            }
        }
    }
}

impl std::error::Error for IdError {}

fn check<'t>(type_name: &'static str, text: &'t str) -> Result<&'t str, IdError> {
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':');
    let kind = if text.is_empty() {
        IdErrorKind::Empty
    } else if text.len() > MAX_ID_BYTES {
        IdErrorKind::TooLong { length_bytes: text.len() }
    } else if let Some(character) = text.chars().find(|c| !allowed(c)) {
        IdErrorKind::BadCharacter { character }
    } else {
        return Ok(text);
    };
    Err(IdError { kind, type_name })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against ids that would break URLs or log lines.
    #[test]
    fn ids_with_odd_characters_are_refused() {
        assert!(TeamId::new("labels/1").is_err());
        assert!(TeamId::new("").is_err());
        assert!(TeamId::new("x".repeat(MAX_ID_BYTES + 1)).is_err());
        assert_eq!(TeamId::new("labels-1").map(|id| id.to_string()), Ok("labels-1".to_owned()));
    }

    /// Guards against a task changing its cell when the number of cells grows.
    #[test]
    fn a_task_id_carries_its_cell() {
        let key = RequestKey::new("statement-2026-11").expect("valid key");
        let id = TaskId::from_key(3, &key).expect("valid id");
        assert_eq!(id.cell(), Some(3));
    }
}
