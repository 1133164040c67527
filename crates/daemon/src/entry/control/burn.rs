//! The burn report over all entries.
//!
//! An entry keeps its own counts in memory. The one that is asked for a report asks the other registered entries for theirs
//! and adds them up, histograms bucket by bucket, so that the tail of each entry stays in the report.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use fescuelead_core::{burn::BurnTracker, ids::EntryRef, units::TimeMs};
use fescuelead_wire::api::{BurnReport, MissingEntry};
use futures::future::join_all;

use crate::{
    clock::unix_ms,
    entry::{control::Control, observe::BurnCopy, peers},
};

/// How long another entry may take. All are asked at once, so that this is also how long a report takes at most when some
/// of them are gone; the tool waits for 5 s.
const ASK_TIMEOUT_MS: u64 = 1_500;

impl Control {
    /// Asks the other registered entries and merges what they have counted with what this one has.
    pub(super) async fn burn(&self) -> BurnReport {
        let others = self.other_entries();
        let asked = join_all(others.into_iter().map(|(entry, address)| self.ask(entry, address))).await;
        let (copies, missing): (Vec<_>, Vec<_>) = asked.into_iter().partition(Result::is_ok);
        let copies: Vec<BurnCopy> = copies.into_iter().flatten().collect();
        let mut missing: Vec<_> = missing.into_iter().filter_map(Result::err).collect();
        let mut entries: Vec<_> = copies.iter().map(|copy| copy.entry.entry.to_string()).collect();
        let shared = Arc::clone(&self.shared);
        // Books of many keys take too long to merge for this thread, which answers heartbeats.
        let merged = tokio::task::spawn_blocking(move || shared.observer.report_with(&shared, &copies)).await;
        let report = merged.unwrap_or_else(|error| {
            let reason = format!("its counts cannot be merged: {error}");
            missing.extend(entries.drain(..).map(|entry| MissingEntry { entry, reason: reason.clone() }));
            self.shared.observer.report(&self.shared)
        });
        BurnReport::new(report, self.shared.me.entry.as_str(), unix_ms())
            .with_cell(self.shared.cell)
            .with_entries(entries)
            .with_missing(missing)
    }

    /// The counts of this entry as bytes, with the time of the copy.
    pub(crate) async fn burn_copy(&self) -> Result<(TimeMs, Vec<u8>), String> {
        let shared = Arc::clone(&self.shared);
        let copied = tokio::task::spawn_blocking(move || {
            let BurnCopy { taken, book, .. } = shared.observer.copy(&shared);
            book.to_bytes().map(|bytes| (taken, bytes))
        });
        copied.await.map_err(|e| e.to_string())?.map_err(|e| e.to_string())
    }

    fn other_entries(&self) -> Vec<(EntryRef, String)> {
        let state = self.state.borrow();
        let known = state.cell.state().fencers().peer_addresses();
        let others = known.filter(|(entry, _)| **entry != self.shared.me);
        others.map(|(entry, address)| (entry.clone(), address.to_owned())).collect()
    }

    async fn ask(&self, entry: EntryRef, address: String) -> Result<BurnCopy, MissingEntry> {
        let missing = |reason: String| MissingEntry { entry: entry.entry.to_string(), reason };
        let address: SocketAddr =
            address.parse().map_err(|_| missing(format!("{address:?} is no address; check its --peer-advertise")))?;
        let keys = self.settings.common.peer_keys.get();
        let timeout = Duration::from_millis(ASK_TIMEOUT_MS);
        let (taken, bytes) = tokio::time::timeout(timeout, peers::fetch_burn(&entry, address, &keys))
            .await
            .map_err(|_| missing(format!("no answer of {address} within {ASK_TIMEOUT_MS} ms; check that it runs")))?
            .map_err(|error| missing(format!("{address}: {error}")))?;
        // Reading the counts of 2,048 keys, the most that an entry follows, takes longer than heartbeats may wait.
        let book = tokio::task::spawn_blocking(move || BurnTracker::from_bytes(&bytes))
            .await
            .map_err(|error| missing(format!("its counts cannot be read: {error}")))?
            .map_err(|error| missing(format!("its counts cannot be read ({error}); check that it has this version")))?;
        Ok(BurnCopy { entry, taken, arrived: self.shared.clock.now(), book })
    }
}

#[cfg(test)]
mod tests;
