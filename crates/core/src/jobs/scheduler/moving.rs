/*!
Moves throttled background tasks to other hosts.

A step ends with its slowest task. A task whose image is paused to protect the serving tasks on its host can delay its
job by many times its run time, although it could run on another host.
*/

use std::collections::BTreeSet;

use super::{Effect, MoveReason, Scheduler, placing::Requirements};
use crate::units::TimeMs;

/// An image that runs at a smaller share of its full speed than this counts as throttled, in percent.
pub(super) const THROTTLED_PERCENT: u8 = 30;
/// How long an image must be throttled before its tasks are moved, in milliseconds: two decisions of the agent, because
/// throttling often ends sooner.
const MIN_THROTTLED_MS: u64 = 1_000;
/// The minimum expected speed on the target host, in percent. A move costs a stop and a restore.
const MIN_TARGET_SPEED_PERCENT: u32 = 80;
/// How often the leader searches for tasks to move, in milliseconds.
const MOVE_INTERVAL_MS: u64 = 500;

impl Scheduler {
    /// Stops throttled tasks that save checkpoints, if they can run on another host. Each host is the target of at most
    /// one move per call, since that task may use up its headroom. Linear in the number of throttled tasks times the
    /// number of hosts.
    pub(super) fn move_throttled(&mut self, now: TimeMs) {
        if now < self.move_at {
            return;
        }
        self.move_at = now.plus_ms(MOVE_INTERVAL_MS);
        let mut throttled = Vec::new();
        for (name, host) in &self.hosts {
            for (task, placed) in host.tasks.iter().filter(|(_, placed)| placed.background && !placed.moving) {
                let since = placed.image.and_then(|image| host.throttled_since.get(&image));
                if since.is_some_and(|since| now.since_ms(*since) >= MIN_THROTTLED_MS) {
                    throttled.push((name.clone(), *task, placed.run));
                }
            }
        }
        let mut targets = BTreeSet::new();
        for (from, task, run) in throttled {
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let spec = job.spec.clone();
            let Some(step) = spec.steps.get(task.step as usize).filter(|step| step.checkpoints && !step.gang) else {
                continue;
            };
            let service = self.settings(&spec).service.clone();
            // That the host throttles the image counts for more than the estimate that it need not.
            let requirements = Requirements::new(step, &service, &mut self.interference)
                .with_min_speed(MIN_TARGET_SPEED_PERCENT)
                .with_excluded(&from);
            let target = self.best_host(&task, &requirements, now);
            let Some(target) = target.filter(|target| !targets.contains(target)) else { continue };
            if let Some(placed) = self.hosts.get_mut(&from).and_then(|host| host.tasks.get_mut(&task)) {
                placed.moving = true;
                targets.insert(target);
                self.effects.push(Effect::Move { host: from, task, run, reason: MoveReason::Throttled });
            }
        }
    }
}
