/*!
Which non-idempotent requests one run of an agent has let through, and which it has refused for good.

An entry claims a request in the log and sends it to one agent once. An entry that cannot learn what became of a claim
asks the agent to refuse the key. Only if the agent has never let the request through, and from then on never will, may
the answer to the caller be *not run*.

The table is bounded. When the oldest claim is dropped from it, a floor rises to its offset. A claim at or below the floor
that is not in the table may have run, so it is neither let through nor called *not run*.

```
use fescuelead_core::{
    ids::RequestKey,
    request_keys::{Admit, Refuse, RequestKeys},
};

let (mut keys, incarnation) = (RequestKeys::new(1, 1_000), 1);
let key = RequestKey::new("takedown-17")?;
assert_eq!(keys.refuse(&key, 40, incarnation), Refuse::Refused);
assert_eq!(keys.admit(&key, 40, incarnation), Admit::NotRun, "the delivery comes after the refusal");
# Ok::<(), fescuelead_core::ids::IdError>(())
```
*/

use std::collections::BTreeMap;

use crate::ids::RequestKey;

/// What an agent does with a delivered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admit {
    /// Pass it to the endpoint.
    Run,
    /// Refuse it: it did not run and never will.
    NotRun,
    /// Refuse it: it may have run before.
    Unknown,
}

/// The answer to an entry that asks to refuse a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refuse {
    /// It did not run and never will.
    Refused,
    /// It was let through; its answer is known to the entry that sent it, if at all.
    Seen,
    /// The claim was made for another run of the agent, or is too old to tell.
    Unknown,
}

/// The keys seen and refused by one run of an agent.
#[derive(Debug, Clone)]
pub struct RequestKeys {
    incarnation: u64,
    limit: usize,
    seen: BTreeMap<(u64, RequestKey), bool>,
    floor: Option<u64>,
}

impl RequestKeys {
    /// An empty table that keeps `limit` claims at most.
    pub fn new(incarnation: u64, limit: usize) -> Self {
        Self { incarnation, limit, seen: BTreeMap::new(), floor: None }
    }

    /// Decides on a delivered request whose claim is at `claim_offset` and names `agent_incarnation`. Logarithmic in the
    /// size of the table.
    pub fn admit(&mut self, key: &RequestKey, claim_offset: u64, agent_incarnation: u64) -> Admit {
        let known = self.seen.get(&(claim_offset, key.clone())).copied();
        match known {
            Some(true) => Admit::Unknown,
            Some(false) => Admit::NotRun,
            None if self.cannot_tell(claim_offset, agent_incarnation) => Admit::Unknown,
            None => {
                self.insert(key, claim_offset, true);
                Admit::Run
            }
        }
    }

    /// Refuses a key for good unless its request was let through. Logarithmic in the size of the table.
    pub fn refuse(&mut self, key: &RequestKey, claim_offset: u64, agent_incarnation: u64) -> Refuse {
        let known = self.seen.get(&(claim_offset, key.clone())).copied();
        match known {
            Some(true) => Refuse::Seen,
            Some(false) => Refuse::Refused,
            None if self.cannot_tell(claim_offset, agent_incarnation) => Refuse::Unknown,
            None => {
                self.insert(key, claim_offset, false);
                Refuse::Refused
            }
        }
    }

    /// The number of claims in the table.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn cannot_tell(&self, claim_offset: u64, agent_incarnation: u64) -> bool {
        agent_incarnation != self.incarnation || self.floor.is_some_and(|floor| claim_offset <= floor)
    }

    fn insert(&mut self, key: &RequestKey, claim_offset: u64, seen: bool) {
        self.seen.insert((claim_offset, key.clone()), seen);
        while self.seen.len() > self.limit {
            if let Some(((offset, _), _)) = self.seen.pop_first() {
                self.floor = self.floor.max(Some(offset));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(name: &str) -> RequestKey {
        RequestKey::new(name).expect("valid key")
    }

    /// Guards against "not run" for a request that ran, and for one that is delivered later.
    #[test]
    fn a_key_is_either_let_through_or_refused() {
        let mut keys = RequestKeys::new(1, 10);
        assert_eq!(keys.admit(&key("a"), 5, 1), Admit::Run);
        assert_eq!(keys.refuse(&key("a"), 5, 1), Refuse::Seen);
        assert_eq!(keys.admit(&key("a"), 5, 1), Admit::Unknown);
        assert_eq!(keys.refuse(&key("b"), 6, 1), Refuse::Refused);
        assert_eq!(keys.admit(&key("b"), 6, 1), Admit::NotRun);
    }

    /// Guards against a wrong "not run" for a key that was dropped from the table after it ran.
    #[test]
    fn a_claim_at_or_below_the_floor_is_unknown() {
        let mut keys = RequestKeys::new(1, 2);
        for (name, offset) in [("a", 1), ("b", 2), ("c", 3)] {
            assert_eq!(keys.admit(&key(name), offset, 1), Admit::Run);
        }
        assert_eq!(keys.len(), 2);
        assert_eq!(keys.refuse(&key("a"), 1, 1), Refuse::Unknown);
        assert_eq!(keys.admit(&key("late"), 1, 1), Admit::Unknown);
        assert_eq!(keys.admit(&key("new"), 4, 1), Admit::Run);
    }

    /// Guards against "not run" for a request that an earlier run of the agent may have let through.
    #[test]
    fn claims_for_an_earlier_run_are_unknown() {
        let mut keys = RequestKeys::new(2, 10);
        assert_eq!(keys.refuse(&key("a"), 5, 1), Refuse::Unknown);
        assert_eq!(keys.admit(&key("a"), 5, 1), Admit::Unknown);
    }
}
