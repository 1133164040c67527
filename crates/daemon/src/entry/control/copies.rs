//! Copies of the state from and for other entries, for an entry that starts while the log is down.
//!
//! A copy is not a proof. While a view is only a copy, the entry routes idempotent requests by it; it writes nothing and
//! proves nothing to agents.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fescuelead_core::{
    cell::CellState,
    config::ConfigState,
    ids::EntryRef,
    snapshot::{CopyImage, CopyRequestSchedule, Fold, Follower, newest_copy},
    units::TimeMs,
};
use fescuelead_wire::{api::PeerCopy, messages::EntryAddress};
use futures::future::join_all;

use crate::{
    entry::{
        control::{Control, State, folds::StreamHealth},
        peers::{self, CopyAsk, FetchedCopies, FetchedCopy},
    },
    limited,
    metrics::StreamLabel,
};

/// How long a peer may take to give its copies.
const ASK_TIMEOUT_MS: u64 = 2_000;
/// How long agents are told of a newcomer after it last asked for a copy.
const NEWCOMER_MS: u64 = 600_000;
/// Newcomers that agents are told of at most.
const MAX_NEWCOMERS: usize = 32;

/// Where the view of a stream came from, until the log was read to its tail.
#[derive(Debug, Clone, Copy)]
struct Adopted {
    peer: SocketAddr,
    age_at_peer_ms: u64,
    at: TimeMs,
}

impl Adopted {
    fn age_ms(&self, now: TimeMs) -> u64 {
        self.age_at_peer_ms.saturating_add(now.since_ms(self.at))
    }
}

#[derive(Debug)]
struct Newcomer {
    entry: EntryRef,
    address: SocketAddr,
    until: TimeMs,
}

/// Copies taken and given.
#[derive(Debug, Default)]
pub(super) struct Copies {
    cell: Option<Adopted>,
    config: Option<Adopted>,
    cell_read: bool,
    config_read: bool,
    /// Whether the control has yet to take in the tasks of the copied cell.
    cell_pending: bool,
    newcomers: Vec<Newcomer>,
}

impl Copies {
    /// Notes a page of the cell, and says whether the view began as a copy that the control has not taken in so far.
    pub(super) fn cell_page(&mut self, complete: bool) -> bool {
        self.cell_read = true;
        complete && std::mem::take(&mut self.cell_pending)
    }

    pub(super) fn config_page(&mut self) {
        self.config_read = true;
    }

    /// The view of the cell was proven by a read of the tail.
    pub(super) fn cell_is_fresh(&mut self) {
        if self.cell.take().is_some() {
            log::info!("log: the cell was read again; the view is no longer a peer's copy.");
        }
    }

    pub(super) fn config_is_fresh(&mut self) {
        self.config = None;
    }

    pub(super) fn has_cell(&self) -> bool {
        self.cell.is_some()
    }

    pub(super) fn has_config(&self) -> bool {
        self.config.is_some()
    }

    pub(super) fn newcomers(&self, now: TimeMs) -> impl Iterator<Item = EntryAddress> + '_ {
        let told = self.newcomers.iter().filter(move |newcomer| newcomer.until > now);
        told.map(|newcomer| EntryAddress { entry: newcomer.entry.clone(), address: newcomer.address })
    }

    /// Tells agents of a newcomer from now on. Returns whether it is a new one.
    fn note_newcomer(&mut self, entry: &EntryRef, address: SocketAddr, now: TimeMs) -> bool {
        let known = self.newcomers.iter().any(|known| known.entry == *entry && known.address == address);
        // A later run of the same entry replaces an earlier one.
        self.newcomers.retain(|known| known.entry.entry != entry.entry && known.until > now);
        if self.newcomers.len() == MAX_NEWCOMERS {
            self.newcomers.remove(0);
        }
        self.newcomers.push(Newcomer { entry: entry.clone(), address, until: now.plus_ms(NEWCOMER_MS) });
        !known
    }
}

impl State {
    /// Whether the view of the cell is nothing but a peer's copy.
    pub(super) fn has_only_a_copy(&self) -> bool {
        self.copies.has_cell() && !self.cell.is_complete()
    }

    /// Whether a decision that goes to the log would rest on a copy.
    pub(super) fn is_restricted(&self) -> bool {
        self.has_only_a_copy() || (self.copies.has_config() && !self.config.is_complete())
    }

    pub(super) fn peer_copy(&self, now: TimeMs) -> Option<PeerCopy> {
        let copy = self.copies.cell.filter(|_| self.has_only_a_copy())?;
        Some(PeerCopy {
            peer: copy.peer.to_string(),
            age_at_peer_ms: copy.age_at_peer_ms,
            held_ms: now.since_ms(copy.at),
        })
    }
}

fn cell_stream(cell: &CellState) -> String {
    format!("cell-{}", cell.cell())
}

/// An image of a view that may be given out, with the time since it was last known to be fresh. A view with gaps is not, and
/// neither is one that was never read to the tail.
fn image_of<S: Fold>(
    follower: &Follower<S>,
    health: &StreamHealth,
    adopted: Option<Adopted>,
    now: TimeMs,
) -> Result<(Rc<CopyImage>, u64), String> {
    let read_age_ms = health.caught_up_at().filter(|_| follower.is_complete()).map(|at| now.since_ms(at));
    let age_ms = read_age_ms.or(adopted.map(|copy| copy.age_ms(now)));
    let age_ms = age_ms.ok_or("this entry has no complete view of the stream; ask another one")?;
    let image = CopyImage::new(follower.state()).map_err(|error| error.to_string())?;
    Ok((Rc::new(image), age_ms))
}

impl Control {
    /// The newest copy of a stream for `from`, whose address agents are told from now on.
    pub(crate) fn give_copy(
        &self,
        stream: &str,
        from: &EntryRef,
        address: SocketAddr,
    ) -> Result<(Rc<CopyImage>, u64), String> {
        let now = self.shared.clock.now();
        let mut state = self.state.borrow_mut();
        let copy = match stream {
            "config" => image_of(&state.config, &state.config_health, state.copies.config, now)?,
            name if name == cell_stream(state.cell.state()) => {
                image_of(&state.cell, &state.cell_health, state.copies.cell, now)?
            }
            name => return Err(format!("this entry has no stream {name}; name entries of the same cell in --peers")),
        };
        if *from != self.shared.me && state.copies.note_newcomer(from, address, now) {
            limited!(Info, "entry: {} takes a copy of {stream}; agents are told of {address}.", from.entry);
            self.held.borrow().wake_all();
        }
        self.shared.observer.metrics.copies_given.get_or_create(&StreamLabel { stream: stream.to_owned() }).inc();
        Ok(copy)
    }

    /// Asks the peers for copies until both streams have been read.
    pub(super) async fn ask_peers(self: Rc<Self>, mut plan: CopyRequestSchedule) {
        loop {
            tokio::time::sleep_until(self.shared.clock.instant(plan.next_request_at())).await;
            {
                let copies = &self.state.borrow().copies;
                if copies.cell_read && copies.config_read {
                    return;
                }
            }
            if plan.is_due(self.shared.clock.now()) {
                self.ask_round().await;
            }
        }
    }

    async fn ask_round(&self) {
        let keys = self.settings.common.peer_keys.get();
        let ask = {
            let state = self.state.borrow();
            let have = (state.cell.state().next_offset(), state.config.state().next_offset());
            let (from, address) = (self.shared.me.clone(), self.peer_address.clone());
            CopyAsk { from, address, cell_stream: cell_stream(state.cell.state()), have }
        };
        let timeout = Duration::from_millis(ASK_TIMEOUT_MS);
        let asked = self.settings.peers.iter().map(|peer| {
            let fetched = tokio::time::timeout(timeout, peers::fetch_copies(*peer, &keys, &ask));
            async move { (*peer, fetched.await) }
        });
        let (mut cells, mut configs) = (Vec::new(), Vec::new());
        for (peer, answer) in join_all(asked).await {
            match answer {
                Ok(Ok(FetchedCopies { cell, config })) => {
                    cells.push((peer, cell));
                    configs.push((peer, config));
                }
                Ok(Err(error)) => limited!(Warn, "entry: {peer} of --peers gives no copy: {error}"),
                Err(_) => limited!(Warn, "entry: {peer} of --peers gave no copy within {ASK_TIMEOUT_MS} ms."),
            }
        }
        let now = self.shared.clock.now();
        self.adopt_config(newest(configs), now);
        self.adopt_cell(newest(cells), now);
    }

    fn adopt_cell(&self, offer: Option<(SocketAddr, FetchedCopy<CellState>)>, now: TimeMs) {
        let Some((peer, copy)) = offer else { return };
        let state = &mut *self.state.borrow_mut();
        // A read that succeeded meanwhile is worth more than any copy.
        if state.copies.cell_read {
            return;
        }
        if adopt(&mut state.cell, &mut state.copies.cell, peer, copy, now) {
            state.copies.cell_pending = true;
            self.adopted(&cell_stream(state.cell.state()));
        }
    }

    fn adopt_config(&self, offer: Option<(SocketAddr, FetchedCopy<ConfigState>)>, now: TimeMs) {
        let Some((peer, copy)) = offer else { return };
        {
            let state = &mut *self.state.borrow_mut();
            if state.copies.config_read || !adopt(&mut state.config, &mut state.copies.config, peer, copy, now) {
                return;
            }
        }
        self.adopted("config");
        self.config_changed();
    }

    fn adopted(&self, stream: &str) {
        self.shared.observer.metrics.copies_adopted.get_or_create(&StreamLabel { stream: stream.to_owned() }).inc();
        self.held.borrow().wake_all();
    }
}

fn newest<S>(offers: Vec<(SocketAddr, FetchedCopy<S>)>) -> Option<(SocketAddr, FetchedCopy<S>)> {
    newest_copy(offers, |(_, copy)| (copy.as_of, copy.age_ms))
}

/// Takes an offer in and says whether the state changed. One as of the state's own offset only tells how old it is.
fn adopt<S: Fold>(
    follower: &mut Follower<S>,
    adopted: &mut Option<Adopted>,
    peer: SocketAddr,
    copy: FetchedCopy<S>,
    now: TimeMs,
) -> bool {
    let taken = Adopted { peer, age_at_peer_ms: copy.age_ms, at: now };
    let same = copy.as_of == follower.state().next_offset();
    let newer = copy.state.is_some_and(|state| follower.adopt(state));
    if newer {
        limited!(Info, "entry: a copy as of {} is taken from {peer}, {} ms old there.", copy.as_of, copy.age_ms);
        *adopted = Some(taken);
    } else if same {
        *adopted = adopted.map(|known| if known.age_ms(now) > copy.age_ms { taken } else { known });
    }
    newer
}

#[cfg(test)]
mod tests;
