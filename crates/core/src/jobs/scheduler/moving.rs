/*!
Background tasks that are slowed go on elsewhere.

A step ends with its slowest task. A task whose image is paused on its host for the sake of the tasks that serve there can hold
up its job for many times its run time, while another host would let it run.
*/

use std::collections::BTreeSet;

use super::{Effect, Scheduler, placing::Wanted};
use crate::units::TimeMs;

/// An image that runs at less than this share is slow, in percent.
pub(super) const SLOW_PERCENT: u8 = 30;
/// How long an image is slow until its tasks are moved, in milliseconds: two decisions of the agent, as many end sooner.
const SLOW_MS: u64 = 1_000;
/// The speed that another host has to offer, in percent. A move costs a stop and a restore.
const OFFERED_PERCENT: u32 = 80;
/// How often the leader looks for tasks to move, in milliseconds.
const LOOK_MS: u64 = 500;

impl Scheduler {
    /// Stops slowed tasks that save checkpoints, if another host lets them run. Each host takes one in a round, since the next
    /// might not run there any more. Linear in the slow tasks times the hosts.
    pub(super) fn move_slowed(&mut self, now: TimeMs) {
        if now < self.move_at {
            return;
        }
        self.move_at = now.plus_ms(LOOK_MS);
        let mut slow = Vec::new();
        for (name, host) in &self.hosts {
            for (task, placed) in host.tasks.iter().filter(|(_, placed)| placed.background && !placed.moving) {
                let since = placed.image.and_then(|image| host.slow_since.get(&image));
                if since.is_some_and(|since| now.since_ms(*since) >= SLOW_MS) {
                    slow.push((name.clone(), *task, placed.run));
                }
            }
        }
        let mut taken = BTreeSet::new();
        for (from, task, run) in slow {
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let spec = job.spec.clone();
            let Some(step) = spec.steps.get(task.step as usize).filter(|step| step.checkpoints && !step.gang) else {
                continue;
            };
            let service = self.settings(&spec).service.clone();
            let wanted = Wanted::new(step, &service, &mut self.disturbances).with_least_speed(OFFERED_PERCENT);
            let target = self.best_host(&task, &wanted, now);
            let Some(target) = target.filter(|target| *target != from && !taken.contains(target)) else { continue };
            if let Some(placed) = self.hosts.get_mut(&from).and_then(|host| host.tasks.get_mut(&task)) {
                placed.moving = true;
                taken.insert(target);
                self.effects.push(Effect::Move { host: from, task, run });
            }
        }
    }
}
