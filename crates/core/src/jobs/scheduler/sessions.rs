//! The sessions with hosts: what the start and the end of one mean for the runs on its host.

use super::{Moment, Scheduler};
use crate::{
    jobs::{
        hosts::{Host, HostName, Link},
        progress::Phase,
        spec::TaskRef,
    },
    units::TimeMs,
};

plain! {
    /// What to do with a start that is about to be sent to a host.
    #[derive(Copy)]
    pub enum StartCheck {
        /// Send it.
        Send,
        /// Stop the run instead, so that its task goes to another host: no run may start on this one any more.
        Stop,
        /// Send nothing: the run is not assigned to the host, its job has ended, or the host has not reported its runs in
        /// the open session. The start is then out of date, or is sent when the host is reconciled.
        Drop,
    }
}

impl Scheduler {
    /// Adds a host without a session, unless it is known already.
    pub fn host_discovered(&mut self, host: &HostName) {
        self.hosts.entry(host.clone()).or_insert_with(|| Host::new(Link::Lost));
    }

    /// Handles the start of a session with a host. No run starts there before [`Self::reconcile_host`].
    pub fn host_connected(&mut self, name: &HostName) {
        let host = self.hosts.entry(name.clone()).or_insert_with(|| Host::new(Link::Lost));
        host.link_before = (host.link != Link::Connected).then_some(host.link);
        host.link = Link::Connected;
        host.reconciled = false;
        host.sent_pairs.clear();
    }

    /// Handles the end of the session with a host. `answered` is when the leader last granted the host a lease in it, if it
    /// did.
    ///
    /// A session in which the host neither got a lease nor was reconciled does not change when the host counts as lost:
    /// connections to a host are also accepted while its agent is frozen, or by another program at its address.
    pub fn host_disconnected(&mut self, name: &HostName, answered: Option<TimeMs>, now: Moment) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        let link_before = host.link_before.take().filter(|_| !host.reconciled);
        host.link = match (answered, link_before) {
            (Some(answered), _) => Link::Unreachable { lost_at: self.plan.lost_after_answer(answered) },
            (None, Some(link_before)) => link_before,
            (None, None) => Link::Unreachable { lost_at: self.plan.lost_after_takeover(now.at) },
        };
        host.reconciled = false;
    }

    /// Checks a start just before it is sent: since it was decided, its records were stored, which may have taken long.
    /// `reported` says whether the host has reported the run.
    pub fn check_start(
        &self,
        name: &HostName,
        incarnation: u64,
        task: &TaskRef,
        run: u32,
        reported: bool,
    ) -> StartCheck {
        let host = self.hosts.get(name).filter(|host| host.link == Link::Connected && host.reconciled);
        // A job that has ended since has its runs stopped by a later batch.
        let is_active = self.jobs.get(&task.job).is_some_and(|job| job.progress.phase == Phase::Active);
        let Some(host) = host.filter(|_| is_active && self.is_assigned(name, incarnation, task, run)) else {
            return StartCheck::Drop;
        };
        if reported || host.takes_starts(&self.zones_out) { StartCheck::Send } else { StartCheck::Stop }
    }

    /// Whether a run is the one that is assigned to this incarnation of a host's endpoint.
    pub(super) fn is_assigned(&self, name: &HostName, incarnation: u64, task: &TaskRef, run: u32) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|job| job.progress.task(task)).is_some_and(|task| task.is_assigned_to(name, incarnation, run))
    }
}
