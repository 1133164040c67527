//! Tests of runs that may no longer start after they were assigned: their host drains, its availability zone was taken out
//! of service, or their job was cancelled.

use std::{collections::BTreeSet, sync::Arc};

use fescuelead_core::{
    jobs::{
        Effect, HostInfo, JobId, JobSpec, Moment, QueueSettings, Replica, Scheduler, StartCheck, StepSpec, TaskRef,
        lease::LeasePlan,
    },
    units::{Resources, TimeMs},
};
use rstest::rstest;

const HOST: &str = "host-a";
const ZONE: &str = "zone-a";
const INCARNATION: u64 = 1_700_000_000_000;
const TASK: TaskRef = TaskRef { job: JobId(1), occurrence: 0, step: 0, index: 0 };

/// How a host is closed to further starts.
#[derive(Debug, Clone, Copy)]
enum Closing {
    Draining,
    ZoneOut,
}

impl Closing {
    fn apply(self, scheduler: &mut Scheduler) {
        match self {
            Self::Draining => scheduler.host_info_changed(&HOST.to_owned(), Some(info(true))),
            Self::ZoneOut => scheduler.set_zones_out(BTreeSet::from([ZONE.to_owned()])),
        }
    }
}

fn at(ms: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + ms), unix_ms: INCARNATION + ms }
}

fn info(draining: bool) -> HostInfo {
    HostInfo {
        service: "desk".to_owned(),
        availability_zone: ZONE.to_owned(),
        capacity: Resources::new(4_000, 8_000),
        draining,
        ..HostInfo::default()
    }
}

fn job() -> JobSpec {
    JobSpec {
        queue: "previews".to_owned(),
        settings: QueueSettings {
            service: "desk".to_owned(),
            priority: 1,
            max_failures: 3,
            stretch_percent: 150,
            latency_ms: 250,
        },
        accepted_unix_ms: INCARNATION,
        payload: String::new(),
        steps: vec![StepSpec { tasks: 1, resources: Resources::new(1_000, 1_000), ..StepSpec::default() }],
        repeat: None,
    }
}

/// A scheduler that has assigned run 1 of [`TASK`] to [`HOST`], its only host.
fn scheduler_with_an_assigned_run() -> Scheduler {
    let mut scheduler = Scheduler::new(LeasePlan::new(6_000), &Replica::new(), [], at(0));
    let host = HOST.to_owned();
    scheduler.host_connected(&host);
    scheduler.host_info_changed(&host, Some(info(false)));
    scheduler.reconcile_host(&host, INCARNATION, &[], at(0));
    scheduler.job_submitted(JobId(1), Arc::new(job()), at(10));
    scheduler.tick(at(10));
    let effects = scheduler.take_batch().effects;
    assert!(matches!(&effects[..], [Effect::Start { task: TASK, run: 1, .. }]), "{effects:?}");
    scheduler
}

fn reconnect(scheduler: &mut Scheduler, running: &[(TaskRef, u32)]) -> Vec<Effect> {
    let host = HOST.to_owned();
    scheduler.host_disconnected(&host, Some(at(20).at), at(20));
    scheduler.host_connected(&host);
    scheduler.reconcile_host(&host, INCARNATION, running, at(30));
    scheduler.take_batch().effects
}

/// Guards against a start long after a host was closed: its order was lost with the session and is given again in the next.
#[rstest]
fn a_run_that_a_closed_host_has_not_started_is_stopped(
    #[values(Closing::Draining, Closing::ZoneOut)] closing: Closing,
) {
    let mut scheduler = scheduler_with_an_assigned_run();
    closing.apply(&mut scheduler);
    let effects = reconnect(&mut scheduler, &[]);
    assert!(matches!(&effects[..], [Effect::Stop { task: TASK, run: 1, .. }]), "{effects:?}");
}

/// Guards against stopping the runs of a host that is closed to further ones.
#[rstest]
fn a_run_that_a_closed_host_has_started_goes_on(#[values(Closing::Draining, Closing::ZoneOut)] closing: Closing) {
    let mut scheduler = scheduler_with_an_assigned_run();
    closing.apply(&mut scheduler);
    let effects = reconnect(&mut scheduler, &[(TASK, 1)]);
    assert!(matches!(&effects[..], [Effect::Start { task: TASK, run: 1, reported: true, .. }]), "{effects:?}");
    let check = scheduler.check_start(&HOST.to_owned(), INCARNATION, &TASK, 1, true);
    assert_eq!(check, StartCheck::Send);
}

/// Guards against a start on a host that was closed while the record of the decision was being stored.
#[rstest]
fn a_start_is_called_off_if_its_host_is_closed_before_it_is_sent(
    #[values(Closing::Draining, Closing::ZoneOut)] closing: Closing,
) {
    let mut scheduler = scheduler_with_an_assigned_run();
    let check = |scheduler: &Scheduler| scheduler.check_start(&HOST.to_owned(), INCARNATION, &TASK, 1, false);
    assert_eq!(check(&scheduler), StartCheck::Send);
    closing.apply(&mut scheduler);
    assert_eq!(check(&scheduler), StartCheck::Stop);
}

/// Guards against a start of a job that was cancelled while the record of the decision was being stored: the stop is sent
/// only after the next records were stored.
#[test]
fn a_start_of_a_job_that_was_cancelled_meanwhile_is_dropped() {
    let mut scheduler = scheduler_with_an_assigned_run();
    scheduler.job_cancelled(JobId(1), at(20));
    let check = scheduler.check_start(&HOST.to_owned(), INCARNATION, &TASK, 1, false);
    assert_eq!(check, StartCheck::Drop);
    let effects = scheduler.take_batch().effects;
    assert!(matches!(&effects[..], [Effect::Stop { task: TASK, run: 1, .. }]), "{effects:?}");
}
