//! The refusal of an agent by an entry of another cell.

use std::fmt;

/// Says that an agent attached to an entry of another cell, and how to correct it. It travels as the text of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OtherCell {
    /// The cell that the agent named.
    pub agent_cell: u32,
    /// The cell of the entry.
    pub entry_cell: u32,
}

const AGENT: &str = "the agent is of cell ";
const ENTRY: &str = " and the entry of cell ";
const REMEDY: &str = "; give both the same --cell, or name entries of the agent's cell in its --entries";

impl OtherCell {
    /// Reads the refusal back from an error that came over the wire; nothing if it is another error.
    pub fn from_error(error: &capnp::Error) -> Option<Self> {
        let (_, text) = error.extra.split_once(AGENT)?;
        let (agent_cell, text) = text.split_once(ENTRY)?;
        let (entry_cell, _) = text.split_once(REMEDY)?;
        Some(Self { agent_cell: agent_cell.parse().ok()?, entry_cell: entry_cell.parse().ok()? })
    }
}

impl fmt::Display for OtherCell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{AGENT}{}{ENTRY}{}{REMEDY}", self.agent_cell, self.entry_cell)
    }
}

impl std::error::Error for OtherCell {}

impl From<OtherCell> for capnp::Error {
    fn from(refusal: OtherCell) -> Self {
        Self::failed(refusal.to_string())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against an agent that takes the refusal for a broken connection, and comes back at once.
    #[test]
    fn the_refusal_is_read_back_from_the_wire() {
        let refusal = OtherCell { agent_cell: 1, entry_cell: 12 };
        let error = capnp::Error::failed(format!("remote exception: {refusal}"));
        assert_eq!(OtherCell::from_error(&error), Some(refusal));
        assert_eq!(OtherCell::from_error(&capnp::Error::failed("no accepted key".to_owned())), None);
    }
}
