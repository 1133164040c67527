/*!
The ledger of one worker's capacity.

Only the agent of the worker keeps it. A reservation is made before an assignment is written and has a deadline; it
becomes a commitment when the attempt starts. The sum of both never exceeds the worker's capacity, also not while an
agent that was restarted adopts what the worker still runs.
*/

use std::{collections::BTreeMap, fmt};

use crate::{
    ids::AttemptRef,
    units::{Resources, TimeMs},
};

/// Whether an attempt holds its share until a deadline or until it is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hold {
    Reserved { deadline: TimeMs },
    Committed,
}

#[derive(Debug, Clone, Copy)]
struct Share {
    resources: Resources,
    hold: Hold,
}

/// The capacity of one worker and who holds it.
#[derive(Debug, Clone)]
pub struct Capacity {
    total: Resources,
    used: Resources,
    shares: BTreeMap<AttemptRef, Share>,
}

impl Capacity {
    /// A worker with nothing on it.
    pub fn new(total: Resources) -> Self {
        Self { total, used: Resources::ZERO, shares: BTreeMap::new() }
    }

    /// All that the worker has.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Reserved and committed together.
    pub fn used(&self) -> Resources {
        self.used
    }

    /// What can still be reserved.
    pub fn free(&self) -> Resources {
        self.total.minus(&self.used)
    }

    /// Reserves `resources` for an attempt until `deadline`. Repeating the call for an attempt that holds the same amount
    /// moves its deadline.
    ///
    /// # Errors
    ///
    /// Fails if too little is free, or if the attempt holds another amount.
    pub fn reserve(
        &mut self,
        attempt: &AttemptRef,
        resources: Resources,
        deadline: TimeMs,
    ) -> Result<(), CapacityError> {
        if let Some(share) = self.shares.get_mut(attempt) {
            if share.resources != resources {
                return Err(CapacityError::new(CapacityErrorKind::OtherAmount { held: share.resources }));
            }
            if let Hold::Reserved { deadline: held } = &mut share.hold {
                *held = deadline.max(*held);
            }
            return Ok(());
        }
        let free = self.free();
        if !resources.fits_in(&free) {
            return Err(CapacityError::new(CapacityErrorKind::Full { free }));
        }
        self.insert(attempt.clone(), Share { resources, hold: Hold::Reserved { deadline } });
        Ok(())
    }

    /// Turns a reservation into a commitment, just before the attempt starts.
    ///
    /// # Errors
    ///
    /// Fails if the attempt holds no reservation, or if it has run out at `now`.
    pub fn commit(&mut self, attempt: &AttemptRef, now: TimeMs) -> Result<(), CapacityError> {
        match self.shares.get_mut(attempt) {
            Some(share) => match share.hold {
                Hold::Reserved { deadline } if deadline <= now => {
                    Err(CapacityError::new(CapacityErrorKind::NotReserved))
                }
                Hold::Reserved { .. } | Hold::Committed => {
                    share.hold = Hold::Committed;
                    Ok(())
                }
            },
            None => Err(CapacityError::new(CapacityErrorKind::NotReserved)),
        }
    }

    /// Commits what a worker reports running after the agent was restarted. It is counted even if it exceeds the total,
    /// so that nothing new is let in until it has ended.
    pub fn adopt(&mut self, attempt: AttemptRef, resources: Resources) {
        self.release(&attempt);
        self.insert(attempt, Share { resources, hold: Hold::Committed });
    }

    /// Gives back what an attempt holds and says whether it held anything.
    pub fn release(&mut self, attempt: &AttemptRef) -> bool {
        let share = self.shares.remove(attempt);
        if let Some(share) = share {
            self.used = self.used.minus(&share.resources);
        }
        share.is_some()
    }

    /// Drops reservations whose deadline has passed. Linear in the number of holders.
    pub fn expire(&mut self, now: TimeMs) -> Vec<AttemptRef> {
        let run_out = |share: &Share| matches!(share.hold, Hold::Reserved { deadline } if deadline <= now);
        let gone: Vec<_> = self.shares.iter().filter(|(_, s)| run_out(s)).map(|(a, _)| a.clone()).collect();
        gone.iter().for_each(|attempt| {
            self.release(attempt);
        });
        gone
    }

    /// The deadline of an attempt's reservation, if it holds one that is not a commitment.
    pub fn deadline(&self, attempt: &AttemptRef) -> Option<TimeMs> {
        match self.shares.get(attempt)?.hold {
            Hold::Reserved { deadline } => Some(deadline),
            Hold::Committed => None,
        }
    }

    /// Whether an attempt holds a reservation or a commitment.
    pub fn holds(&self, attempt: &AttemptRef) -> bool {
        self.shares.contains_key(attempt)
    }

    fn insert(&mut self, attempt: AttemptRef, share: Share) {
        self.used = self.used.plus(&share.resources);
        self.shares.insert(attempt, share);
    }
}

/// Says why capacity was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityError {
    kind: CapacityErrorKind,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum CapacityErrorKind {
    Full { free: Resources },
    OtherAmount { held: Resources },
    NotReserved,
    AlreadyStarted,
}

impl CapacityError {
    fn new(kind: CapacityErrorKind) -> Self {
        Self { kind }
    }

    /// The attempt was started, or ended, under an earlier reservation.
    pub(crate) fn already_started() -> Self {
        Self::new(CapacityErrorKind::AlreadyStarted)
    }
}

impl fmt::Display for CapacityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            CapacityErrorKind::Full { free } => write!(f, "the worker has only {free} free; try another worker"),
            CapacityErrorKind::OtherAmount { held } => {
                write!(f, "the attempt already holds {held}; release it before asking for another amount")
            }
            CapacityErrorKind::NotReserved => write!(f, "the attempt holds no reservation; reserve again"),
            CapacityErrorKind::AlreadyStarted => {
                f.write_str("the attempt is past its reservation; fold the stream before assigning it again")
            }
        }
    }
}

impl std::error::Error for CapacityError {}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::TaskId;

    fn attempt(name: &str) -> AttemptRef {
        AttemptRef::new(TaskId::new(name).expect("valid id"), 1)
    }

    /// Guards against two entries that fill the same worker twice.
    #[test]
    fn reservations_never_exceed_the_total() {
        let mut capacity = Capacity::new(Resources::new(1_000, 1_000));
        assert!(capacity.reserve(&attempt("a"), Resources::new(600, 10), TimeMs(10)).is_ok());
        assert!(capacity.reserve(&attempt("b"), Resources::new(600, 10), TimeMs(10)).is_err());
        assert!(capacity.reserve(&attempt("a"), Resources::new(600, 10), TimeMs(20)).is_ok());
        assert_eq!(capacity.used(), Resources::new(600, 10));
    }

    /// Guards against a start on a reservation that has run out and may have been given to another attempt.
    #[test]
    fn a_reservation_that_has_run_out_cannot_be_committed() {
        let mut capacity = Capacity::new(Resources::new(1_000, 1_000));
        assert!(capacity.reserve(&attempt("a"), Resources::new(600, 10), TimeMs(10)).is_ok());
        assert!(capacity.commit(&attempt("a"), TimeMs(10)).is_err());
        assert_eq!(capacity.expire(TimeMs(10)), [attempt("a")]);
        assert_eq!(capacity.used(), Resources::ZERO);
    }

    /// Guards against new work on a worker whose agent was restarted and does not know all that runs there.
    #[test]
    fn adopted_attempts_keep_their_share() {
        let mut capacity = Capacity::new(Resources::new(1_000, 1_000));
        capacity.adopt(attempt("a"), Resources::new(900, 10));
        assert!(capacity.reserve(&attempt("b"), Resources::new(200, 10), TimeMs(10)).is_err());
    }
}
