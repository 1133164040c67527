/*!
Suspicions: the runs that may have crashed an endpoint that does not answer.

An endpoint that refuses connections may have crashed, or may be cut off and run on. Its agent names the runs that had just
started, and the leader keeps them until it knows. The next incarnation proves the crash, which is then counted. If the same
incarnation reports its runs, nothing has crashed. Until then nothing is counted against the tasks and no run ends, but a task
whose run ends meanwhile, since the lease of the endpoint has ended, is on trial when it starts again.

The leader keeps suspicions in memory, so that one survives the agent. The agent repeats its own, so that it survives the
leader.
*/

use std::collections::BTreeSet;

use super::{CountedCrash, Moment, Scheduler};
use crate::jobs::{hosts::HostName, progress::TaskState, spec::TaskRef};

plain! {
    /// The runs that may have crashed an endpoint that refuses connections. No proof of a crash.
    pub struct Suspicion {
        /// The incarnation of the endpoint.
        pub incarnation: u64,
        /// The runs that had started at most [`SUSPECT_AGE_MS`](super::SUSPECT_AGE_MS) before the first failed call, in the order of
        /// their starts.
        pub suspects: Vec<(TaskRef, u32)>,
    }
}

impl Scheduler {
    /// Handles an agent's report that its endpoint refuses connections. The latest report of a host replaces earlier ones;
    /// one on an earlier incarnation than the host has reported is ignored. Linear in the number of all suspects.
    pub fn host_suspected(&mut self, name: &HostName, suspicion: Suspicion) {
        let Some(host) = self.hosts.get(name) else { return };
        let is_outdated = host.incarnation.is_some_and(|current| suspicion.incarnation < current);
        if is_outdated || suspicion.suspects.is_empty() || self.suspicions.get(name) == Some(&suspicion) {
            return;
        }
        self.suspicions.insert(name.clone(), suspicion);
        self.index_suspicions();
    }

    /// Withdraws or proves the suspicion of a host, of which `incarnation` reports that it runs `running`. Returns the crashes
    /// that were counted.
    pub(super) fn settle_suspicion(
        &mut self,
        name: &HostName,
        incarnation: u64,
        running: &[(TaskRef, u32)],
        now: Moment,
    ) -> Vec<CountedCrash> {
        let Some(suspicion) = self.suspicions.get(name).cloned() else { return Vec::new() };
        if suspicion.incarnation < incarnation {
            return self.host_restarted(name, suspicion.incarnation, &suspicion.suspects, running, now);
        }
        self.forget_suspicion(name);
        Vec::new()
    }

    /// Handles an agent's report that its endpoint has answered under the incarnation that was suspected.
    pub fn suspicion_withdrawn(&mut self, name: &HostName) {
        self.forget_suspicion(name);
    }

    /// Forgets the suspicion of a host, which was withdrawn or proved.
    pub(super) fn forget_suspicion(&mut self, name: &HostName) {
        if self.suspicions.remove(name).is_some() {
            self.index_suspicions();
        }
    }

    /// Whether a crash of this incarnation of a host may be counted against a run: it is the assigned one, or it was a suspect
    /// before it was given back.
    pub(super) fn may_have_crashed(&self, name: &HostName, incarnation: u64, task: &TaskRef, run: u32) -> bool {
        if self.is_assigned(name, incarnation, task, run) {
            return true;
        }
        let is_suspect = self.suspicions.get(name).is_some_and(|suspicion| {
            suspicion.incarnation == incarnation && suspicion.suspects.contains(&(*task, run))
        });
        let progress = self.jobs.get(&task.job).and_then(|job| job.progress.task(task));
        is_suspect && progress.is_some_and(|progress| progress.run >= run && progress.state != TaskState::Done)
    }

    /// Whether the next run of a task is on trial: a crash was counted against it or against a member of its gang, or one of
    /// their runs is suspected of a crash.
    pub(super) fn is_on_trial(&self, task: &TaskRef, gang: bool) -> bool {
        let is_suspected = self.suspected_tasks.range(task.starting_together(gang)).next().is_some();
        let job = self.jobs.get(&task.job);
        is_suspected || job.is_some_and(|job| job.progress.has_counted_crash(task, gang))
    }

    /// Whether the latest run of a task is suspected of a crash of another host than `name`.
    pub(super) fn is_suspected_elsewhere(&self, name: &HostName, task: &TaskRef) -> bool {
        let Some(progress) = self.jobs.get(&task.job).and_then(|job| job.progress.task(task)) else { return false };
        let mut elsewhere = self.suspicions.iter().filter(|(host, _)| *host != name);
        elsewhere.any(|(_, suspicion)| suspicion.suspects.contains(&(*task, progress.run)))
    }

    fn index_suspicions(&mut self) {
        let suspects = self.suspicions.values().flat_map(|suspicion| &suspicion.suspects);
        self.suspected_tasks = suspects.map(|(task, _)| *task).collect::<BTreeSet<_>>();
    }
}
