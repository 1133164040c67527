//! Identifiers of tasks, processes, teams and locations.

use std::fmt;

/// The maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

string_ids! {
    /// Id of a task. Starts with the number of its home cell, as in `c0-…`.
    TaskId;
    /// Id of an agent. Each host runs one agent.
    AgentId;
    /// Id of an entry, from its settings. Stays the same when the process restarts.
    EntryId;
    /// Id of a team, to which quotas apply.
    TeamId;
    /// Name of a profile in a profile set.
    ProfileName;
    /// Name of a service in a profile set.
    ServiceName;
    /// Name of an availability zone.
    AvailabilityZone;
    /// Id of a rack of hosts.
    RackId;
    /// Idempotency key of a request or a task, chosen by the caller.
    RequestKey;
}

/// One incarnation of an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct EntryRef {
    /// The id from the settings.
    pub entry: EntryId,
    /// A random number, chosen when the process starts.
    pub incarnation: u64,
}

impl EntryRef {
    /// Creates a reference to one incarnation of `entry`.
    pub fn new(entry: EntryId, incarnation: u64) -> Self {
        Self { entry, incarnation }
    }
}

impl fmt::Display for EntryRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.entry, self.incarnation)
    }
}

/// One attempt to run a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
pub struct AttemptRef {
    /// Id of the task.
    pub task: TaskId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

impl AttemptRef {
    /// Creates a reference to attempt number `attempt` of `task`.
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
    /// Creates the id of a task from its home cell and the caller's idempotency key.
    ///
    /// # Errors
    ///
    /// Fails if the result is longer than [`MAX_ID_BYTES`].
    pub fn from_key(cell: u32, key: &RequestKey) -> Result<Self, IdError> {
        Self::new(format!("c{cell}-{key}"))
    }

    /// The number of the home cell, or `None` if the id does not start with `c`, a cell number and `-`.
    pub fn cell(&self) -> Option<u32> {
        let rest = self.as_str().strip_prefix('c')?;
        let (number, _) = rest.split_once('-')?;
        number.parse().ok()
    }
}

/// A string is not a valid identifier. The message includes a remedy.
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

fn validate<'t>(type_name: &'static str, text: &'t str) -> Result<&'t str, IdError> {
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

    /// Guards against ids that corrupt URLs or log lines.
    #[test]
    fn invalid_ids_are_rejected() {
        assert!(TeamId::new("labels/1").is_err());
        assert!(TeamId::new("").is_err());
        assert!(TeamId::new("x".repeat(MAX_ID_BYTES + 1)).is_err());
        assert_eq!(TeamId::new("labels-1").map(|id| id.to_string()), Ok("labels-1".to_owned()));
    }

    /// Guards against tasks that change their cell when the number of cells changes.
    #[test]
    fn a_task_id_contains_its_cell() {
        let key = RequestKey::new("statement-2026-11").expect("valid key");
        let id = TaskId::from_key(3, &key).expect("valid id");
        assert_eq!(id.cell(), Some(3));
    }
}
