//! Faults that can be injected into the ownership protocol, to check that its tests detect them. Used only by tests.

/// A rule of the ownership protocol that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The next attempt is assigned right after a fence, without waiting for the lease to expire.
    SkipWait,
    /// A lease starts at the end of the read that proves it instead of at its start.
    LeaseFromReadEnd,
    /// A candidate is admitted without acknowledgements and without waiting.
    FenceWithoutAcks,
    /// A promise covers an attempt while a fence on it is being written.
    PromiseWhileFencing,
    /// An append without a response is sent again under a new sequence number.
    RetryWithNewSequence,
    /// An older snapshot replaces a newer state.
    OlderSnapshot,
    /// Promises that name an older fencing set than the newest known one are accepted.
    StaleFencingSet,
    /// Waiting times do not take earlier lease settings into account.
    IgnoreEarlierLease,
    /// The quotas of an older configuration replace newer ones.
    OlderQuotas,
    /// The outcome of an earlier claim resolves a later one under the same key.
    EarlierClaimResolved,
    /// A reader continues past records that retention dropped, without a snapshot.
    SkipSnapshot,
    /// A peer's copy is treated as complete, and a restored state as up to date with the tail.
    TrustPeerCopy,
}
