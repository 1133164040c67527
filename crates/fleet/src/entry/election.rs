//! The election of the leader among the entries.

use std::{rc::Rc, time::Duration};

use rand::RngExt;
use tokio::{sync::mpsc, time::sleep};
use tokio_util::sync::CancellationToken;

use super::{EPOCHS_PER_MS, Entry};
use crate::{
    leader::{self, LeaderEvent},
    session::Leadership,
    store::Stream,
};

/// Another entry takes over when the leader has stored no record for this long, in milliseconds: five heartbeats. Work
/// that lost its host waits for that long, and a needless change of the leader costs less.
const LEADER_TIMEOUT_MS: u64 = 1_000;
/// A leader counts as silent only if the store holds nothing new of it for the time of this many further reads: an append
/// of the leader may wait for an earlier one, and takes longer than a read.
const SLOW_STORE_READS: u64 = 4;
/// The upper bound of the random delay before an entry takes over, in milliseconds. It keeps entries from taking over
/// at the same time; if two still do, the store refuses the one with the lower epoch.
const TAKEOVER_JITTER_MS: u64 = 200;
/// The upper bound of that delay after the leader has resigned, in milliseconds.
const SUCCESSION_JITTER_MS: u64 = 100;
/// How often a follower checks whether it should take over, in milliseconds.
const ELECTION_POLL_MS: u64 = 30;

impl Entry {
    /// Takes over the leadership whenever no other entry leads, until `stop` is cancelled.
    pub(super) async fn run_election(self: Rc<Self>, stop: CancellationToken) {
        let clock = self.config.clock;
        self.state.borrow_mut().leader_silent_since = clock.now();
        while !stop.is_cancelled() {
            let jitter_ms = rand::rng().random_range(0..=TAKEOVER_JITTER_MS);
            let succession_ms = jitter_ms * SUCCESSION_JITTER_MS / TAKEOVER_JITTER_MS;
            let mut resigned_at = None;
            loop {
                sleep(Duration::from_millis(ELECTION_POLL_MS)).await;
                if stop.is_cancelled() {
                    return;
                }
                let now = clock.now();
                let state = self.state.borrow();
                if state.resigned {
                    let at = *resigned_at.get_or_insert(now);
                    if now.since_ms(at) >= succession_ms {
                        break;
                    }
                } else {
                    resigned_at = None;
                }
                if now.since_ms(state.leader_silent_since) >= LEADER_TIMEOUT_MS + jitter_ms {
                    break;
                }
            }
            if self.is_ready() && self.leadership_is_vacant().await {
                let random_part = rand::rng().random_range(0..EPOCHS_PER_MS);
                let floor = {
                    let state = self.state.borrow();
                    state.epoch.max(state.epoch_floor) + 1 + random_part
                };
                let epoch = (clock.unix_ms() * EPOCHS_PER_MS + random_part).max(floor);
                let leadership = Leadership::new(self.config.name.clone(), epoch, self.config.plan, clock);
                leader::lead(self.clone(), Rc::new(leadership), stop.clone()).await;
            }
            let mut state = self.state.borrow_mut();
            state.leader_silent_since = clock.now();
            state.resigned = false;
        }
    }

    /// Reads the newest records and returns whether there still is no leader; another entry may just have taken over. If the
    /// store is slow, so are the leader's records: the answer then comes after a pause in which they can arrive.
    async fn leadership_is_vacant(&self) -> bool {
        let (before, leader_silent_since) = {
            let state = self.state.borrow();
            (state.epoch, state.leader_silent_since)
        };
        let asked_at = self.config.clock.now();
        for read in 0..2 {
            if let Err(error) = self.catch_up(Stream::Progress).await {
                log::warn!("cannot take over: entry={} error={error}", self.config.name);
                return false;
            }
            let resigned = {
                let state = self.state.borrow();
                if state.epoch != before || !(state.resigned || state.leader_silent_since == leader_silent_since) {
                    return false;
                }
                state.resigned
            };
            if resigned {
                break;
            }
            if read == 0 {
                let took_ms = self.config.clock.now().since_ms(asked_at);
                sleep(Duration::from_millis(took_ms * SLOW_STORE_READS)).await;
            }
        }
        true
    }

    /// Makes all later epochs of this entry higher than `epoch`.
    pub(crate) fn raise_epoch_floor(&self, epoch: u64) {
        let mut state = self.state.borrow_mut();
        state.epoch_floor = state.epoch_floor.max(epoch);
    }

    /// Whether the latest leader read from the store has this name and epoch.
    pub(crate) fn is_leader(&self, name: &str, epoch: u64) -> bool {
        let state = self.state.borrow();
        state.epoch == epoch && state.leader_name == name
    }

    /// Sets or clears the channel through which the leader's task receives changes. The entry leads while there is one.
    pub(crate) fn set_leading(&self, sender: Option<mpsc::UnboundedSender<LeaderEvent>>) {
        self.leading.set(sender.is_some());
        self.state.borrow_mut().leader_events = sender;
        self.leading_changed.notify_waiters();
    }
}
