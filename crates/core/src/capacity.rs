/*!
Accounting of one worker's capacity.

Only the agent of the worker keeps this account. A reservation is made before an assignment is written and has a deadline;
it becomes a commitment when the attempt starts. New reservations never raise the sum of both above the worker's capacity,
even after a restarted agent has adopted the tasks that the worker still runs.
*/

use std::{collections::BTreeMap, fmt};

use crate::{
    ids::AttemptRef,
    units::{Resources, TimeMs},
};

/// How long an attempt holds its capacity: until a deadline, or until it is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Tenure {
    Reserved { deadline: TimeMs },
    Committed,
}

#[derive(Debug, Clone, Copy)]
struct Holding {
    resources: Resources,
    tenure: Tenure,
}

/// The total capacity of one worker and the amounts that attempts hold.
#[derive(Debug, Clone)]
pub struct Capacity {
    total: Resources,
    used: Resources,
    holdings: BTreeMap<AttemptRef, Holding>,
}

impl Capacity {
    /// Creates the account of a worker without any task.
    pub fn new(total: Resources) -> Self {
        Self { total, used: Resources::ZERO, holdings: BTreeMap::new() }
    }

    /// Capacity of the worker, whether held or free.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Sum of reservations and commitments. Exceeds the total only after [`adopt`](Self::adopt).
    pub fn used(&self) -> Resources {
        self.used
    }

    /// Capacity that can still be reserved.
    pub fn free(&self) -> Resources {
        self.total.minus(&self.used)
    }

    /// Reserves `resources` for an attempt until `deadline`. Repeating the call for an attempt that holds the same amount
    /// extends its deadline.
    ///
    /// # Errors
    ///
    /// Fails if too little is free, or if the attempt holds a different amount.
    pub fn reserve(
        &mut self,
        attempt: &AttemptRef,
        resources: Resources,
        deadline: TimeMs,
    ) -> Result<(), CapacityError> {
        if let Some(holding) = self.holdings.get_mut(attempt) {
            if holding.resources != resources {
                return Err(CapacityError::new(CapacityErrorKind::AmountMismatch { held: holding.resources }));
            }
            if let Tenure::Reserved { deadline: held } = &mut holding.tenure {
                *held = deadline.max(*held);
            }
            return Ok(());
        }
        let free = self.free();
        if !resources.fits_in(&free) {
            return Err(CapacityError::new(CapacityErrorKind::Full { free }));
        }
        self.insert(attempt.clone(), Holding { resources, tenure: Tenure::Reserved { deadline } });
        Ok(())
    }

    /// Turns a reservation into a commitment, just before the attempt starts.
    ///
    /// # Errors
    ///
    /// Fails if the attempt holds no reservation, or if its deadline has passed at `now`.
    pub fn commit(&mut self, attempt: &AttemptRef, now: TimeMs) -> Result<(), CapacityError> {
        match self.holdings.get_mut(attempt) {
            Some(holding) => match holding.tenure {
                Tenure::Reserved { deadline } if deadline <= now => {
                    Err(CapacityError::new(CapacityErrorKind::NotReserved))
                }
                Tenure::Reserved { .. } | Tenure::Committed => {
                    holding.tenure = Tenure::Committed;
                    Ok(())
                }
            },
            None => Err(CapacityError::new(CapacityErrorKind::NotReserved)),
        }
    }

    /// Commits the capacity of a task that the worker reported to a restarted agent. It is counted even if it exceeds the
    /// total, so that nothing new is reserved before enough tasks have ended.
    pub fn adopt(&mut self, attempt: AttemptRef, resources: Resources) {
        self.release(&attempt);
        self.insert(attempt, Holding { resources, tenure: Tenure::Committed });
    }

    /// Frees the capacity that an attempt holds, and returns whether it held any.
    pub fn release(&mut self, attempt: &AttemptRef) -> bool {
        let holding = self.holdings.remove(attempt);
        if let Some(holding) = holding {
            self.used = self.used.minus(&holding.resources);
        }
        holding.is_some()
    }

    /// Frees reservations whose deadline has passed, and returns their attempts. Linear in the number of holders.
    pub fn expire(&mut self, now: TimeMs) -> Vec<AttemptRef> {
        let is_expired = |holding: &Holding| matches!(holding.tenure, Tenure::Reserved { deadline } if deadline <= now);
        let expired: Vec<_> = self.holdings.iter().filter(|(_, s)| is_expired(s)).map(|(a, _)| a.clone()).collect();
        expired.iter().for_each(|attempt| {
            self.release(attempt);
        });
        expired
    }

    /// The deadline of an attempt's reservation; `None` if it holds a commitment or nothing.
    pub fn deadline(&self, attempt: &AttemptRef) -> Option<TimeMs> {
        match self.holdings.get(attempt)?.tenure {
            Tenure::Reserved { deadline } => Some(deadline),
            Tenure::Committed => None,
        }
    }

    /// Whether an attempt holds a reservation or a commitment.
    pub fn holds(&self, attempt: &AttemptRef) -> bool {
        self.holdings.contains_key(attempt)
    }

    fn insert(&mut self, attempt: AttemptRef, holding: Holding) {
        self.used = self.used.plus(&holding.resources);
        self.holdings.insert(attempt, holding);
    }
}

/// The cause of a refused reservation or commitment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityError {
    kind: CapacityErrorKind,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum CapacityErrorKind {
    Full { free: Resources },
    AmountMismatch { held: Resources },
    NotReserved,
    AlreadyStarted,
}

impl CapacityError {
    fn new(kind: CapacityErrorKind) -> Self {
        Self { kind }
    }

    /// An error for an attempt that has left the reserved stage: it was assigned, started or ended already.
    pub(crate) fn already_started() -> Self {
        Self::new(CapacityErrorKind::AlreadyStarted)
    }
}

impl fmt::Display for CapacityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            CapacityErrorKind::Full { free } => write!(f, "the worker has only {free} free; try another worker"),
            CapacityErrorKind::AmountMismatch { held } => {
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

    /// Guards against an overcommitted worker when two entries reserve at the same time.
    #[test]
    fn reservations_never_exceed_the_total() {
        let mut capacity = Capacity::new(Resources::new(1_000, 1_000));
        assert!(capacity.reserve(&attempt("a"), Resources::new(600, 10), TimeMs(10)).is_ok());
        assert!(capacity.reserve(&attempt("b"), Resources::new(600, 10), TimeMs(10)).is_err());
        assert!(capacity.reserve(&attempt("a"), Resources::new(600, 10), TimeMs(20)).is_ok());
        assert_eq!(capacity.used(), Resources::new(600, 10));
    }

    /// Guards against a start on an expired reservation, whose capacity may have been reserved for another attempt.
    #[test]
    fn an_expired_reservation_cannot_be_committed() {
        let mut capacity = Capacity::new(Resources::new(1_000, 1_000));
        assert!(capacity.reserve(&attempt("a"), Resources::new(600, 10), TimeMs(10)).is_ok());
        assert!(capacity.commit(&attempt("a"), TimeMs(10)).is_err());
        assert_eq!(capacity.expire(TimeMs(10)), [attempt("a")]);
        assert_eq!(capacity.used(), Resources::ZERO);
    }

    /// Guards against an overcommitted worker after a restart of its agent.
    #[test]
    fn adopted_attempts_keep_their_capacity() {
        let mut capacity = Capacity::new(Resources::new(1_000, 1_000));
        capacity.adopt(attempt("a"), Resources::new(900, 10));
        assert!(capacity.reserve(&attempt("b"), Resources::new(200, 10), TimeMs(10)).is_err());
    }
}
