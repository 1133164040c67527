//! What the leader learns from the hosts about images, and what it tells them.

use std::collections::BTreeSet;

use super::{Moment, Scheduler, moving};
use crate::jobs::{
    hosts::{HostName, Link},
    image_interference::{Change, PairTable},
    pace::{Headroom, Paces},
};

/// How often hosts are told what was learned of images, in milliseconds: as often as they decide on paces.
const TELL_MS: u64 = 500;
/// Hosts are told of a pair again if it changed by more than this, in thousandths, and by more than a tenth.
const TOLD_STEP_MILLI: u32 = 100;
const TOLD_STEP_PART: u32 = 10;

impl Scheduler {
    /// What background tasks may add on a host to the latencies of the tasks that serve there.
    pub fn host_headroom_changed(&mut self, name: &HostName, headroom: &Headroom) {
        let headroom_milli =
            headroom.iter().map(|(image, milli)| (self.disturbances.image_id(image), *milli)).collect();
        if let Some(host) = self.hosts.get_mut(name) {
            host.headroom_milli = headroom_milli;
            self.host_changed(name);
        }
    }

    /// The shares at which a host lets background images run, in percent; images that are not named run at full speed.
    pub fn host_paces_changed(&mut self, name: &HostName, paces: &Paces, now: Moment) {
        let slow: BTreeSet<_> = paces
            .iter()
            .filter(|(_, percent)| **percent < moving::SLOW_PERCENT)
            .map(|(image, _)| self.disturbances.image_id(image))
            .collect();
        if let Some(host) = self.hosts.get_mut(name) {
            host.slow_since.retain(|image, _| slow.contains(image));
            for image in slow {
                host.slow_since.entry(image).or_insert(now.at);
            }
        }
    }

    /// Learns from what changed on a host.
    pub fn learn_interference(&mut self, changes: &[Change], now: Moment) {
        changes.iter().for_each(|change| self.disturbances.observe(change, now.at));
    }

    /// Takes over what a host remembers of pairs of images from the time of an earlier leader.
    pub fn restore_pairs(&mut self, table: &PairTable, now: Moment) {
        self.disturbances.restore(table, now.at);
    }

    /// What the hosts should be told of the pairs of images that they run. Only pairs of which more is known than before.
    pub fn take_pair_updates(&mut self, now: Moment) -> Vec<(HostName, PairTable)> {
        if now.at < self.tell_at {
            return Vec::new();
        }
        self.tell_at = now.at.plus_ms(TELL_MS);
        let Self { hosts, disturbances, .. } = self;
        let mut news = Vec::new();
        for (name, host) in hosts.iter_mut().filter(|(_, host)| host.link == Link::Connected) {
            let (background, serving) = host.images();
            let mut table = disturbances.known_pairs(background, serving, now.at);
            table.retain(|pair, growth_milli| {
                let step_milli = TOLD_STEP_MILLI.max(*growth_milli / TOLD_STEP_PART);
                host.told.get(pair).is_none_or(|told| told.abs_diff(*growth_milli) > step_milli)
            });
            if !table.is_empty() {
                host.told.extend(table.clone());
                news.push((name.clone(), table));
            }
        }
        news
    }
}
