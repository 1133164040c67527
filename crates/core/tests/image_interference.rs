//! Background tasks beside tasks that serve users: what is learned of pairs of images, which images are slowed, and where
//! background tasks go.

use std::sync::Arc;

use fescuelead_core::{
    jobs::{
        Effect, HostInfo, JobId, JobSpec, Moment, QueueSettings, Replica, Scheduler, StepSpec, TaskRef,
        image_interference::{Change, ImageInterference, Pair, PairTable},
        lease::LeasePlan,
        pace::{BackgroundReading, Headroom, Pacer, PacerOutput, Paces, ServingReading},
    },
    units::{Resources, TimeMs},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOST_CPU_MILLI: u32 = 16_000;
const TARGET_MS: u32 = 100;
/// The time between two decisions on paces.
const DECISION_MS: u64 = 500;

fn pair(background: &str, serving: &str) -> Pair {
    Pair { background: background.to_owned(), serving: serving.to_owned() }
}

fn change(serving: &str, growth_milli: i32, shares_milli: &[(&str, i32)]) -> Change {
    Change {
        serving: serving.to_owned(),
        growth_milli,
        shares_milli: shares_milli.iter().map(|(image, milli)| ((*image).to_owned(), *milli)).collect(),
    }
}

fn growth_milli(disturbances: &mut ImageInterference, background: &str, serving: &str) -> u32 {
    let (background, serving) = (disturbances.image_id(background), disturbances.image_id(serving));
    disturbances.growth_milli(background, serving)
}

/// Readings of a host whose one serving task has a latency of its own, beside one task of each background image. `growth` is
/// what a whole host of the image adds to the logarithm of the latency.
struct Host {
    own_ms: f32,
    background: Vec<(&'static str, f32)>,
}

impl Host {
    const WANTED_CPU_MILLI: u32 = 2_000;

    fn tail_ms(&self, pacer: &Pacer) -> u32 {
        let share = Self::WANTED_CPU_MILLI as f32 / HOST_CPU_MILLI as f32;
        let added: f32 = self
            .background
            .iter()
            .map(|(image, growth)| growth * share * f32::from(pacer.percent(image)) / 100.0)
            .sum();
        (self.own_ms * added.exp()) as u32
    }

    fn decide(&self, pacer: &mut Pacer, decision: u64) -> PacerOutput {
        let task = TaskRef { job: JobId(1), occurrence: 0, step: 0, index: 0 };
        let serving =
            [ServingReading { task, image: "web".to_owned(), tail_ms: self.tail_ms(pacer), target_ms: TARGET_MS }];
        let background: Vec<_> = self
            .background
            .iter()
            .map(|(image, _)| BackgroundReading {
                image: (*image).to_owned(),
                used_cpu_milli: Self::WANTED_CPU_MILLI * u32::from(pacer.percent(image)) / 100,
                requested_cpu_milli: Self::WANTED_CPU_MILLI,
            })
            .collect();
        pacer.observe(HOST_CPU_MILLI, &serving, &background, TimeMs((decision + 1) * DECISION_MS))
    }
}

fn told(rows: &[(&str, u32)]) -> Pacer {
    let mut pacer = Pacer::new();
    pacer.update_table(rows.iter().map(|(image, growth_milli)| (pair(image, "web"), *growth_milli)).collect());
    pacer
}

/// All background tasks were slowed alike, because one heavy image was beside them.
#[test]
fn a_heavy_image_is_told_apart_from_one_that_ends_at_the_same_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut disturbances = ImageInterference::new();
    for round in 0..80 {
        let heavy_milli = rng.random_range(-200..200);
        let light_milli = rng.random_range(-200..200);
        let noise_milli = rng.random_range(-250..250);
        let growth_milli = 5 * heavy_milli + noise_milli;
        let change = change("web", growth_milli, &[("heavy", heavy_milli), ("light", light_milli)]);
        disturbances.observe(&change, TimeMs(round * DECISION_MS));
    }
    let heavy = growth_milli(&mut disturbances, "heavy", "web");
    let light = growth_milli(&mut disturbances, "light", "web");
    assert!((4_000..6_000).contains(&heavy), "{heavy}");
    assert!(light < 700, "{light}");
}

/// What one image does to a service says nothing of another service.
#[test]
fn pairs_are_learned_apart() {
    let mut disturbances = ImageInterference::new();
    let unseen = growth_milli(&mut disturbances, "heavy", "search");
    for round in 0..20 {
        let sign = if round % 2 == 0 { 1 } else { -1 };
        let change = change("web", sign * 500, &[("heavy", sign * 100)]);
        disturbances.observe(&change, TimeMs(round * DECISION_MS));
    }
    assert!(growth_milli(&mut disturbances, "heavy", "web") > 4_000);
    assert_eq!(growth_milli(&mut disturbances, "heavy", "search"), unseen);
}

/// A new leader would slow harmless images, and run harmful ones, until it had learned everything again.
#[test]
fn a_new_leader_goes_on_from_what_agents_remember() {
    let mut disturbances = ImageInterference::new();
    let remembered = PairTable::from([(pair("heavy", "web"), 5_000), (pair("light", "web"), 0)]);
    disturbances.restore(&remembered, TimeMs(0));
    assert_eq!(growth_milli(&mut disturbances, "heavy", "web"), 5_000);
    assert_eq!(growth_milli(&mut disturbances, "light", "web"), 0);
    // Another agent remembers older figures.
    disturbances.restore(&PairTable::from([(pair("heavy", "web"), 100)]), TimeMs(0));
    assert_eq!(growth_milli(&mut disturbances, "heavy", "web"), 5_000);
}

/// Light images lost their processors to the latency that a heavy one causes.
#[test]
fn only_the_image_that_disturbs_is_slowed() {
    let mut pacer = told(&[("heavy", 6_000), ("light", 0)]);
    let host = Host { own_ms: 60.0, background: vec![("heavy", 6.0), ("light", 0.0)] };
    for decision in 0..6 {
        host.decide(&mut pacer, decision);
    }
    assert_eq!(pacer.percent("light"), 100);
    assert!((10..60).contains(&pacer.percent("heavy")), "{}", pacer.percent("heavy"));
    assert!(host.tail_ms(&pacer) < TARGET_MS);
}

/// Nothing is known of the images of a new job, and the table can be wrong. A serving task may suffer for 4 s at most.
#[test]
fn background_tasks_stop_in_time_where_the_table_is_wrong() {
    let mut pacer = told(&[("heavy", 0)]);
    let host = Host { own_ms: 70.0, background: vec![("heavy", 8.0)] };
    let mut above_ms = 0;
    for decision in 0..20 {
        host.decide(&mut pacer, decision);
        above_ms = if host.tail_ms(&pacer) > TARGET_MS { above_ms + DECISION_MS } else { 0 };
        assert!(above_ms < 4_000);
    }
}

/// Images that were never seen together are slowed with caution, and run again once the serving task is well.
#[test]
fn unknown_images_are_slowed_until_serving_tasks_are_well() {
    let mut pacer = Pacer::new();
    let mut host = Host { own_ms: 90.0, background: vec![("new", 1.0)] };
    for decision in 0..4 {
        host.decide(&mut pacer, decision);
    }
    assert_eq!(pacer.percent("new"), 0);
    host.own_ms = 30.0;
    for decision in 4..14 {
        host.decide(&mut pacer, decision);
    }
    assert_eq!(pacer.percent("new"), 100);
}

/// A serving task that is overloaded by its own users kept all background tasks of its host still for good.
#[test]
fn background_tasks_run_where_pausing_them_does_not_help() {
    let mut pacer = told(&[("heavy", 6_000)]);
    let host = Host { own_ms: 200.0, background: vec![("heavy", 6.0)] };
    let (mut still, mut ran) = (0, 0);
    for decision in 0..40 {
        host.decide(&mut pacer, decision);
        match pacer.percent("heavy") {
            0 => still += 1,
            _ => ran += 1,
        }
    }
    assert!(still > 0);
    assert!(ran >= 15, "ran in {ran} of 40 decisions");
}

/// Nothing is left to protect once the serving tasks have gone.
#[test]
fn background_tasks_run_freely_on_hosts_that_serve_nobody() {
    let mut pacer = told(&[("heavy", 6_000)]);
    let host = Host { own_ms: 90.0, background: vec![("heavy", 6.0)] };
    (0..3).for_each(|decision| _ = host.decide(&mut pacer, decision));
    assert_eq!(pacer.percent("heavy"), 0);
    let reading = [BackgroundReading {
        image: "heavy".to_owned(),
        used_cpu_milli: 0,
        requested_cpu_milli: Host::WANTED_CPU_MILLI,
    }];
    let findings = pacer.observe(HOST_CPU_MILLI, &[], &reading, TimeMs(10_000));
    assert_eq!(pacer.percent("heavy"), 100);
    assert_eq!(findings.headroom, Some(Headroom::new()));
}

/// The leader learns from changes only: a latency that is high all the time may be the serving task's own.
#[test]
fn readings_teach_only_when_background_work_changes() {
    let mut pacer = told(&[("heavy", 2_000)]);
    let calm = Host { own_ms: 40.0, background: vec![] };
    let busy = Host { own_ms: 40.0, background: vec![("heavy", 2.0)] };
    assert!(calm.decide(&mut pacer, 0).changes.is_empty());
    let changes = busy.decide(&mut pacer, 1).changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].shares_milli, [("heavy".to_owned(), 125)]);
    assert!((200..300).contains(&changes[0].growth_milli), "{changes:?}");
    assert!(busy.decide(&mut pacer, 2).changes.is_empty());
}

/// Images come and go with each release of a service, and an agent runs for months.
#[test]
fn pairs_of_images_that_are_gone_are_forgotten() {
    let mut pacer = told(&[("heavy", 6_000)]);
    Host { own_ms: 60.0, background: vec![("heavy", 6.0)] }.decide(&mut pacer, 0);
    for release in 0..5_000 {
        let gone = pair(&format!("release-{release}"), &format!("service-{release}"));
        pacer.update_table(PairTable::from([(gone, 1_000)]));
    }
    assert!(pacer.table().len() <= 1_024, "{}", pacer.table().len());
    assert_eq!(pacer.table().get(&pair("heavy", "web")), Some(&6_000));
}

/// Readings come from outside; a wrong one must not end the agent.
#[test]
fn absurd_readings_are_survived() {
    let mut pacer = Pacer::new();
    let task = TaskRef { job: JobId(1), occurrence: 0, step: 0, index: 0 };
    for decision in 1..6 {
        let odd = u32::MAX * (decision % 2);
        let serving = [ServingReading { task, image: "web".to_owned(), tail_ms: odd, target_ms: 0 }];
        let background =
            [BackgroundReading { image: "odd".to_owned(), used_cpu_milli: odd, requested_cpu_milli: u32::MAX }];
        pacer.observe(HOST_CPU_MILLI, &serving, &background, TimeMs(u64::from(decision) * DECISION_MS));
        assert!(pacer.percent("odd") <= 100);
    }
}

fn at(ms: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + ms), unix_ms: 1_700_000_000_000 + ms }
}

/// A leader with two hosts of equal size. On `host-a` the service `web` runs, on `host-b` the service `search`, each with
/// room for half of its latency goal.
fn leader() -> Scheduler {
    let mut scheduler = Scheduler::new(LeasePlan::new(6_000), &Replica::new(), [], at(0));
    for (host, serving) in [("host-a", "web"), ("host-b", "search")] {
        let host = host.to_owned();
        scheduler.host_connected(&host);
        let capacity = Resources::new(HOST_CPU_MILLI, 64_000);
        let info = HostInfo { service: "desk".to_owned(), capacity, ..HostInfo::default() };
        scheduler.host_info_changed(&host, Some(info));
        scheduler.reconcile_host(&host, 1, &[], at(0));
        scheduler.host_headroom_changed(&host, &Headroom::from([(serving.to_owned(), 500)]));
    }
    scheduler
}

fn job(step: StepSpec) -> Arc<JobSpec> {
    let settings = QueueSettings {
        service: "desk".to_owned(),
        priority: 1,
        max_failures: 3,
        stretch_percent: 150,
        latency_ms: 250,
    };
    Arc::new(JobSpec {
        queue: "reviews".to_owned(),
        settings,
        accepted_unix_ms: 1_700_000_000_000,
        payload: String::new(),
        steps: vec![step],
        repeat: None,
    })
}

fn heavy_step(tasks: u32) -> StepSpec {
    StepSpec {
        tasks,
        resources: Resources::new(2_000, 100),
        background: true,
        image: Some("heavy".to_owned()),
        ..StepSpec::default()
    }
}

fn background(tasks: u32) -> Arc<JobSpec> {
    job(heavy_step(tasks))
}

fn hosts_of(scheduler: &mut Scheduler, tasks: u32) -> Vec<String> {
    scheduler.job_submitted(JobId(9), background(tasks), at(10));
    scheduler.tick(at(10));
    let effects = scheduler.take_batch().effects.into_iter();
    effects
        .filter_map(|effect| match effect {
            Effect::Start { host, .. } => Some(host),
            _ => None,
        })
        .collect()
}

/// A heavy image next to the service that suffers from it is paused there, while another host would let it run.
#[test]
fn background_tasks_go_where_they_do_not_disturb() {
    let mut scheduler = leader();
    let learned = PairTable::from([(pair("heavy", "web"), 8_000), (pair("heavy", "search"), 0)]);
    scheduler.restore_pairs(&learned, at(0));
    assert_eq!(hosts_of(&mut scheduler, 3), ["host-b", "host-b", "host-b"]);
}

/// Tasks on a host that cannot let them run hold their memory, and cannot be had back without loss.
#[test]
fn background_tasks_wait_for_a_host_that_lets_them_run() {
    let mut scheduler = leader();
    let learned = PairTable::from([(pair("heavy", "web"), 1_100), (pair("heavy", "search"), 4_000)]);
    scheduler.restore_pairs(&learned, at(0));
    // More than half of the service is committed.
    let serving = StepSpec {
        tasks: 2,
        resources: Resources::new(9_000, 100),
        tail_target_ms: Some(TARGET_MS),
        ..StepSpec::default()
    };
    scheduler.job_submitted(JobId(8), job(serving), at(5));
    scheduler.tick(at(5));
    assert_eq!(scheduler.take_batch().effects.len(), 2);
    let hosts = hosts_of(&mut scheduler, 12);
    let count = |name: &str| hosts.iter().filter(|host| *host == name).count();
    // Three tasks fill what is left on host-a; the fourth would run at two thirds of its speed.
    assert_eq!((count("host-a"), count("host-b")), (3, 1));
}

/// Agents slow images by what they were told; what never comes is assumed.
#[test]
fn hosts_are_told_of_the_pairs_that_they_run() {
    let mut scheduler = leader();
    let learned = [("heavy", "web", 0), ("heavy", "search", 8_000), ("other", "web", 100)];
    scheduler
        .restore_pairs(&learned.map(|(by, serving, growth_milli)| (pair(by, serving), growth_milli)).into(), at(0));
    assert!(scheduler.take_pair_updates(at(0)).is_empty(), "no background task runs");
    assert_eq!(hosts_of(&mut scheduler, 1), ["host-a"]);
    let news = scheduler.take_pair_updates(at(1_000));
    assert_eq!(news, [("host-a".to_owned(), PairTable::from([(pair("heavy", "web"), 0)]))]);
    assert!(scheduler.take_pair_updates(at(2_000)).is_empty(), "nothing new was learned");
}

/// Starts a heavy task on `host-a`, which then slows it. Returns what the leader does about it two seconds later.
fn slowed(checkpoints: bool, growth_elsewhere_milli: u32) -> Vec<Effect> {
    let mut scheduler = leader();
    let learned = [("heavy", "web", 0), ("heavy", "search", growth_elsewhere_milli)];
    scheduler
        .restore_pairs(&learned.map(|(by, serving, growth_milli)| (pair(by, serving), growth_milli)).into(), at(0));
    for (host, milli) in [("host-a", 500), ("host-b", 0)] {
        let serving = if host == "host-a" { "web" } else { "search" };
        scheduler.host_headroom_changed(&host.to_owned(), &Headroom::from([(serving.to_owned(), milli)]));
    }
    scheduler.job_submitted(JobId(9), job(StepSpec { checkpoints, ..heavy_step(1) }), at(10));
    scheduler.tick(at(10));
    let started = scheduler.take_batch().effects;
    assert!(matches!(&started[..], [Effect::Start { host, .. }] if host == "host-a"), "{started:?}");
    let host_b = "host-b".to_owned();
    scheduler.host_headroom_changed(&host_b, &Headroom::from([("search".to_owned(), 500)]));
    scheduler.host_headroom_changed(&"host-a".to_owned(), &Headroom::from([("web".to_owned(), 0)]));
    scheduler.host_paces_changed(&"host-a".to_owned(), &Paces::from([("heavy".to_owned(), 0)]), at(100));
    scheduler.tick(at(600));
    assert!(scheduler.take_batch().effects.is_empty(), "most images are slow for a moment only");
    scheduler.tick(at(2_000));
    let effects = scheduler.take_batch().effects;
    scheduler.tick(at(4_000));
    assert!(scheduler.take_batch().effects.is_empty(), "a task is stopped once");
    effects
}

/// A step ends with its slowest task; one that was paused held up its job for many times its run time.
#[test]
fn a_slowed_task_goes_on_where_it_may_run() {
    let effects = slowed(true, 1_000);
    assert!(matches!(&effects[..], [Effect::Move { host, run: 1, .. }] if host == "host-a"), "{effects:?}");
}

/// A task that is stopped without need loses the time of the stop and of the restore.
#[test]
fn a_slowed_task_stays_where_no_other_host_lets_it_run() {
    assert!(slowed(true, 8_000).is_empty());
}

/// Work that is not saved would be done twice.
#[test]
fn a_slowed_task_without_checkpoints_stays() {
    assert!(slowed(false, 1_000).is_empty());
}
