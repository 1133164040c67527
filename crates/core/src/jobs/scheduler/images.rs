//! Exchange of interference data with the hosts: headrooms, throttling and the growth of pairs of images.

use std::collections::BTreeSet;

use super::{Moment, Scheduler, moving};
use crate::jobs::{
    hosts::{HostName, Link},
    image_interference::{Change, PairTable},
    pace::{Headroom, Paces},
};

/// How often the growth of pairs of images is sent to the hosts, in milliseconds: as often as the hosts decide on
/// throttling.
const SEND_INTERVAL_MS: u64 = 500;
/// The growth of a pair of images is sent again only if it changed by more than this, in thousandths.
const MIN_SENT_CHANGE_MILLI: u32 = 100;
/// The growth of a pair of images is sent again only if it changed by more than its value divided by this.
const MIN_SENT_CHANGE_DIVISOR: u32 = 10;

impl Scheduler {
    /// Handles a host's report of how much background tasks may raise the tail latencies of its serving images.
    pub fn host_headroom_changed(&mut self, name: &HostName, headroom: &Headroom) {
        let headroom_milli =
            headroom.iter().map(|(image, milli)| (self.interference.image_id(image), *milli)).collect();
        if let Some(host) = self.hosts.get_mut(name) {
            host.headroom_milli = headroom_milli;
            self.host_changed(name);
        }
    }

    /// Handles a host's report of how far it throttles its background images, as the share of full speed of each in
    /// percent. Images that are missing run at full speed.
    pub fn host_throttling_changed(&mut self, name: &HostName, paces: &Paces, now: Moment) {
        let throttled: BTreeSet<_> = paces
            .iter()
            .filter(|(_, percent)| **percent < moving::THROTTLED_PERCENT)
            .map(|(image, _)| self.interference.image_id(image))
            .collect();
        if let Some(host) = self.hosts.get_mut(name) {
            host.throttled_since.retain(|image, _| throttled.contains(image));
            for image in throttled {
                host.throttled_since.entry(image).or_insert(now.at);
            }
        }
    }

    /// Updates the estimated growth of pairs of images by changes measured on a host.
    pub fn learn_interference(&mut self, changes: &[Change], now: Moment) {
        changes.iter().for_each(|change| self.interference.observe(change, now.at));
    }

    /// Restores pairs of images from the table that a host received from an earlier leader.
    pub fn restore_pairs(&mut self, table: &PairTable, now: Moment) {
        self.interference.restore(table, now.at);
    }

    /// The pairs of images to send to each host: those that run on it and are new or have changed considerably. Marks
    /// them as sent.
    pub fn take_pair_updates(&mut self, now: Moment) -> Vec<(HostName, PairTable)> {
        if now.at < self.send_pairs_at {
            return Vec::new();
        }
        self.send_pairs_at = now.at.plus_ms(SEND_INTERVAL_MS);
        let Self { hosts, interference, .. } = self;
        let mut updates = Vec::new();
        for (name, host) in hosts.iter_mut().filter(|(_, host)| host.link == Link::Connected) {
            let (background, serving) = host.images();
            let mut table = interference.known_pairs(background, serving, now.at);
            table.retain(|pair, growth_milli| {
                let min_change_milli = MIN_SENT_CHANGE_MILLI.max(*growth_milli / MIN_SENT_CHANGE_DIVISOR);
                host.sent_pairs.get(pair).is_none_or(|sent| sent.abs_diff(*growth_milli) > min_change_milli)
            });
            if !table.is_empty() {
                host.sent_pairs.extend(table.clone());
                updates.push((name.clone(), table));
            }
        }
        updates
    }
}
