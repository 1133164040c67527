/*!
Deduplication of non-idempotent requests at one run of an agent.

An entry claims a request in the log and sends it to one agent once. An entry that cannot determine the outcome of a claim
tells the agent to refuse the key. The caller gets the answer *not run* only if the agent has not admitted the request and
guarantees that it never will.

The table is bounded. When the oldest claim is evicted, a floor rises to its offset. A claim at or below the floor that is
not in the table may have run, so it is neither admitted nor reported as *not run*.

```
use fescuelead_core::{
    ids::RequestKey,
    request_keys::{Admit, Refuse, RequestKeys},
};

let (mut keys, incarnation) = (RequestKeys::new(1, 1_000), 1);
let key = RequestKey::new("takedown-17")?;
assert_eq!(keys.refuse(&key, 40, incarnation), Refuse::Refused);
assert_eq!(keys.admit(&key, 40, incarnation), Admit::NotRun, "the request was delivered after the refusal");
# Ok::<(), fescuelead_core::ids::IdError>(())
```
*/

use std::collections::BTreeMap;

use crate::ids::RequestKey;

/// The decision of an agent on a delivered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admit {
    /// Forward it to the endpoint.
    Run,
    /// Refuse it: it did not run and never will.
    NotRun,
    /// Refuse it: it may have run before.
    Unknown,
}

/// The answer to an entry that requests the refusal of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refuse {
    /// The request did not run and never will.
    Refused,
    /// The request was admitted. Only the entry that sent it can know its response.
    Seen,
    /// The claim names another run of the agent, or may have been evicted from the table.
    Unknown,
}

/// The claims admitted and refused by one run of an agent.
#[derive(Debug, Clone)]
pub struct RequestKeys {
    incarnation: u64,
    limit: usize,
    /// True for admitted claims, false for refused ones, by offset and key.
    claims: BTreeMap<(u64, RequestKey), bool>,
    /// The highest offset of an evicted claim.
    floor: Option<u64>,
}

impl RequestKeys {
    /// Creates an empty table for `incarnation` of the agent that keeps at most `limit` claims.
    pub fn new(incarnation: u64, limit: usize) -> Self {
        Self { incarnation, limit, claims: BTreeMap::new(), floor: None }
    }

    /// Decides on a delivered request whose claim is at `claim_offset` and names `agent_incarnation`. Logarithmic in the
    /// size of the table.
    pub fn admit(&mut self, key: &RequestKey, claim_offset: u64, agent_incarnation: u64) -> Admit {
        let known = self.claims.get(&(claim_offset, key.clone())).copied();
        match known {
            Some(true) => Admit::Unknown,
            Some(false) => Admit::NotRun,
            None if self.is_unknown(claim_offset, agent_incarnation) => Admit::Unknown,
            None => {
                self.insert(key, claim_offset, true);
                Admit::Run
            }
        }
    }

    /// Refuses a key permanently unless its request was admitted. Logarithmic in the size of the table.
    pub fn refuse(&mut self, key: &RequestKey, claim_offset: u64, agent_incarnation: u64) -> Refuse {
        let known = self.claims.get(&(claim_offset, key.clone())).copied();
        match known {
            Some(true) => Refuse::Seen,
            Some(false) => Refuse::Refused,
            None if self.is_unknown(claim_offset, agent_incarnation) => Refuse::Unknown,
            None => {
                self.insert(key, claim_offset, false);
                Refuse::Refused
            }
        }
    }

    /// The number of claims in the table, at most its limit.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table has no claims, as at the start of a run.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn is_unknown(&self, claim_offset: u64, agent_incarnation: u64) -> bool {
        agent_incarnation != self.incarnation || self.floor.is_some_and(|floor| claim_offset <= floor)
    }

    fn insert(&mut self, key: &RequestKey, claim_offset: u64, admitted: bool) {
        self.claims.insert((claim_offset, key.clone()), admitted);
        while self.claims.len() > self.limit {
            if let Some(((offset, _), _)) = self.claims.pop_first() {
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

    /// Guards against "not run" for a request that ran, and for one that runs when it is delivered later.
    #[test]
    fn a_key_is_either_admitted_or_refused() {
        let mut keys = RequestKeys::new(1, 10);
        assert_eq!(keys.admit(&key("a"), 5, 1), Admit::Run);
        assert_eq!(keys.refuse(&key("a"), 5, 1), Refuse::Seen);
        assert_eq!(keys.admit(&key("a"), 5, 1), Admit::Unknown);
        assert_eq!(keys.refuse(&key("b"), 6, 1), Refuse::Refused);
        assert_eq!(keys.admit(&key("b"), 6, 1), Admit::NotRun);
    }

    /// Guards against a false "not run" for a request whose claim was evicted after it ran.
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

    /// Guards against "not run" for a request that an earlier run of the agent may have admitted.
    #[test]
    fn claims_for_an_earlier_run_are_unknown() {
        let mut keys = RequestKeys::new(2, 10);
        assert_eq!(keys.refuse(&key("a"), 5, 1), Refuse::Unknown);
        assert_eq!(keys.admit(&key("a"), 5, 1), Admit::Unknown);
    }
}
