//! Broken rules, for tests that prove that a broken rule is found. Nothing but tests uses them.

/// One rule of the ownership protocol that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The next attempt does not wait after a fence.
    SkipWait,
    /// A lease counts from the end of the read.
    LeaseFromReadEnd,
    /// A candidate is admitted without acknowledgements and waits.
    FenceWithoutAcks,
    /// A promise covers an attempt whose fence is on its way.
    PromiseWhileFencing,
    /// An append without an answer is repeated under a new sequence number.
    RetryWithNewSequence,
    /// An older snapshot replaces a newer state.
    OlderSnapshot,
    /// Promises are put together under a set older than the newest known.
    StaleFencingSet,
    /// Waits do not count the lease times that were in force before.
    IgnoreEarlierLease,
    /// The quotas of an older configuration replace newer ones.
    OlderQuotas,
    /// The outcome of an earlier claim ends a later one under the same key.
    EarlierClaimResolved,
    /// A reader goes on past records that retention dropped, without a snapshot.
    SkipSnapshot,
    /// A peer's copy counts as complete, and a restored state as a read of the tail.
    TrustPeerCopy,
}
