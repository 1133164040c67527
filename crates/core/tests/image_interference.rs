//! Tests of background tasks on the hosts of serving tasks: learning of interference, throttling, placement and moves.

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
/// The processors that a serving task requests, in thousandths of a core.
const SERVING_CPU_MILLI: u32 = 4_000;
/// The time between two decisions of the pacer.
const DECISION_INTERVAL_MS: u64 = 500;

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

fn growth_milli(interference: &mut ImageInterference, background: &str, serving: &str) -> u32 {
    let (background, serving) = (interference.image_id(background), interference.image_id(serving));
    interference.growth_milli(background, serving)
}

/// A simulated host with one serving task and one task of each background image.
struct Host {
    /// The tail latency of the serving task without background tasks.
    baseline_ms: f32,
    /// By how much each image raises the logarithm of the latency if it uses all processors of the host.
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
        (self.baseline_ms * added.exp()) as u32
    }

    fn decide(&self, pacer: &mut Pacer, decision: u64) -> PacerOutput {
        let task = TaskRef { job: JobId(1), occurrence: 0, step: 0, index: 0 };
        let serving = [ServingReading {
            task,
            image: "web".to_owned(),
            tail_ms: self.tail_ms(pacer),
            target_ms: TARGET_MS,
            requested_cpu_milli: SERVING_CPU_MILLI,
        }];
        let background: Vec<_> = self
            .background
            .iter()
            .map(|(image, _)| BackgroundReading {
                image: (*image).to_owned(),
                used_cpu_milli: Self::WANTED_CPU_MILLI * u32::from(pacer.percent(image)) / 100,
                requested_cpu_milli: Self::WANTED_CPU_MILLI,
            })
            .collect();
        pacer.observe(HOST_CPU_MILLI, &serving, &background, TimeMs((decision + 1) * DECISION_INTERVAL_MS))
    }
}

fn pacer_with_table(rows: &[(&str, u32)]) -> Pacer {
    let mut pacer = Pacer::new();
    pacer.update_pair_table(rows.iter().map(|(image, growth_milli)| (pair(image, "web"), *growth_milli)).collect());
    pacer
}

/// Light images were throttled as much as a heavy one whose load changed at the same time.
#[test]
fn images_that_change_at_the_same_time_are_distinguished() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut interference = ImageInterference::new();
    for round in 0..80 {
        let heavy_milli = rng.random_range(-200..200);
        let light_milli = rng.random_range(-200..200);
        let noise_milli = rng.random_range(-250..250);
        let growth_milli = 5 * heavy_milli + noise_milli;
        let change = change("web", growth_milli, &[("heavy", heavy_milli), ("light", light_milli)]);
        interference.observe(&change, TimeMs(round * DECISION_INTERVAL_MS));
    }
    let heavy = growth_milli(&mut interference, "heavy", "web");
    let light = growth_milli(&mut interference, "light", "web");
    assert!((4_000..6_000).contains(&heavy), "{heavy}");
    assert!(light < 700, "{light}");
}

/// The effect of an image on one service does not predict its effect on another.
#[test]
fn pairs_are_learned_independently() {
    let mut interference = ImageInterference::new();
    let prior = growth_milli(&mut interference, "heavy", "search");
    for round in 0..20 {
        let sign = if round % 2 == 0 { 1 } else { -1 };
        let change = change("web", sign * 500, &[("heavy", sign * 100)]);
        interference.observe(&change, TimeMs(round * DECISION_INTERVAL_MS));
    }
    assert!(growth_milli(&mut interference, "heavy", "web") > 4_000);
    assert_eq!(growth_milli(&mut interference, "heavy", "search"), prior);
}

/// Without the tables of the agents, a new leader would throttle harmless images and run harmful ones until it has
/// learned all pairs again.
#[test]
fn a_new_leader_restores_pairs_from_the_tables_of_agents() {
    let mut interference = ImageInterference::new();
    let remembered = PairTable::from([(pair("heavy", "web"), 5_000), (pair("light", "web"), 0)]);
    interference.restore(&remembered, TimeMs(0));
    assert_eq!(growth_milli(&mut interference, "heavy", "web"), 5_000);
    assert_eq!(growth_milli(&mut interference, "light", "web"), 0);
    // Another agent reports an older value of the same pair; the value restored first stands.
    interference.restore(&PairTable::from([(pair("heavy", "web"), 100)]), TimeMs(0));
    assert_eq!(growth_milli(&mut interference, "heavy", "web"), 5_000);
}

/// Light images were throttled for the latency that a heavy one caused.
#[test]
fn only_the_interfering_image_is_throttled() {
    let mut pacer = pacer_with_table(&[("heavy", 6_000), ("light", 0)]);
    let host = Host { baseline_ms: 60.0, background: vec![("heavy", 6.0), ("light", 0.0)] };
    for decision in 0..6 {
        host.decide(&mut pacer, decision);
    }
    assert_eq!(pacer.percent("light"), 100);
    assert!((10..60).contains(&pacer.percent("heavy")), "{}", pacer.percent("heavy"));
    assert!(host.tail_ms(&pacer) < TARGET_MS);
}

/// The images of a new job are not in the table, and the table can be wrong. The latency of a serving task may exceed
/// its target for less than 4 s.
#[test]
fn background_tasks_are_paused_in_time_if_the_table_is_wrong() {
    let mut pacer = pacer_with_table(&[("heavy", 0)]);
    let host = Host { baseline_ms: 70.0, background: vec![("heavy", 8.0)] };
    let mut above_ms = 0;
    for decision in 0..20 {
        host.decide(&mut pacer, decision);
        above_ms = if host.tail_ms(&pacer) > TARGET_MS { above_ms + DECISION_INTERVAL_MS } else { 0 };
        assert!(above_ms < 4_000);
    }
}

/// A pair of images without measurements has a cautious prior, which must not throttle the background image for longer
/// than the latency requires.
#[test]
fn unknown_images_are_throttled_until_the_latency_is_low() {
    let mut pacer = Pacer::new();
    let mut host = Host { baseline_ms: 90.0, background: vec![("new", 1.0)] };
    for decision in 0..4 {
        host.decide(&mut pacer, decision);
    }
    assert_eq!(pacer.percent("new"), 0);
    host.baseline_ms = 30.0;
    for decision in 4..14 {
        host.decide(&mut pacer, decision);
    }
    assert_eq!(pacer.percent("new"), 100);
}

/// A serving task that was overloaded by its own requests kept all background tasks on its host paused forever.
#[test]
fn background_tasks_run_if_pausing_them_does_not_help() {
    let mut pacer = pacer_with_table(&[("heavy", 6_000)]);
    let host = Host { baseline_ms: 200.0, background: vec![("heavy", 6.0)] };
    let (mut paused, mut ran) = (0, 0);
    for decision in 0..40 {
        host.decide(&mut pacer, decision);
        match pacer.percent("heavy") {
            0 => paused += 1,
            _ => ran += 1,
        }
    }
    assert!(paused > 0);
    assert!(ran >= 15, "ran in {ran} of 40 decisions");
}

/// A paused image must run again once there is no serving task left on its host.
#[test]
fn background_tasks_run_at_full_speed_on_hosts_without_serving_tasks() {
    let mut pacer = pacer_with_table(&[("heavy", 6_000)]);
    let host = Host { baseline_ms: 90.0, background: vec![("heavy", 6.0)] };
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

/// A latency that is high all the time may be caused by the serving task itself, so only changes are reported to the
/// leader.
#[test]
fn changes_are_reported_only_when_the_background_load_changes() {
    let mut pacer = pacer_with_table(&[("heavy", 2_000)]);
    let idle_host = Host { baseline_ms: 40.0, background: vec![] };
    let busy_host = Host { baseline_ms: 40.0, background: vec![("heavy", 2.0)] };
    assert!(idle_host.decide(&mut pacer, 0).changes.is_empty());
    let changes = busy_host.decide(&mut pacer, 1).changes;
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].shares_milli, [("heavy".to_owned(), 125)]);
    assert!((200..300).contains(&changes[0].growth_milli), "{changes:?}");
    assert!(busy_host.decide(&mut pacer, 2).changes.is_empty());
}

/// Each release of a service has a new image, and an agent runs for months: without eviction its table would grow
/// without bound.
#[test]
fn pairs_of_removed_images_are_evicted() {
    let mut pacer = pacer_with_table(&[("heavy", 6_000)]);
    Host { baseline_ms: 60.0, background: vec![("heavy", 6.0)] }.decide(&mut pacer, 0);
    for release in 0..5_000 {
        let gone = pair(&format!("release-{release}"), &format!("service-{release}"));
        pacer.update_pair_table(PairTable::from([(gone, 1_000)]));
    }
    assert!(pacer.pair_table().len() <= 1_024, "{}", pacer.pair_table().len());
    assert_eq!(pacer.pair_table().get(&pair("heavy", "web")), Some(&6_000));
}

/// Measurements come from other processes; an invalid one must not crash the agent.
#[test]
fn out_of_range_readings_do_not_panic() {
    let mut pacer = Pacer::new();
    let task = TaskRef { job: JobId(1), occurrence: 0, step: 0, index: 0 };
    for decision in 1..6 {
        let odd = u32::MAX * (decision % 2);
        let serving =
            [ServingReading { task, image: "web".to_owned(), tail_ms: odd, target_ms: 0, requested_cpu_milli: odd }];
        let background =
            [BackgroundReading { image: "odd".to_owned(), used_cpu_milli: odd, requested_cpu_milli: u32::MAX }];
        pacer.observe(HOST_CPU_MILLI, &serving, &background, TimeMs(u64::from(decision) * DECISION_INTERVAL_MS));
        assert!(pacer.percent("odd") <= 100);
    }
}

fn at(ms: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + ms), unix_ms: 1_700_000_000_000 + ms }
}

/// A scheduler with two hosts of equal size. `host-a` serves the image `web` and `host-b` the image `search`, each with
/// a headroom of 500 thousandths.
fn scheduler_with_two_hosts() -> Scheduler {
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

fn start_background_tasks(scheduler: &mut Scheduler, tasks: u32) -> Vec<String> {
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

/// A heavy image would be paused next to a serving image that it interferes with, although it could run on another
/// host.
#[test]
fn background_tasks_are_placed_where_they_do_not_interfere() {
    let mut scheduler = scheduler_with_two_hosts();
    let learned = PairTable::from([(pair("heavy", "web"), 8_000), (pair("heavy", "search"), 0)]);
    scheduler.restore_pairs(&learned, at(0));
    assert_eq!(start_background_tasks(&mut scheduler, 3), ["host-b", "host-b", "host-b"]);
}

/// Tasks on a host that throttles them hold their memory, and stopping them loses work.
#[test]
fn background_tasks_wait_for_a_host_with_enough_headroom() {
    let mut scheduler = scheduler_with_two_hosts();
    let learned = PairTable::from([(pair("heavy", "web"), 1_100), (pair("heavy", "search"), 4_000)]);
    scheduler.restore_pairs(&learned, at(0));
    // Commits more than half of the service, so that there is no fallback to hosts without headroom.
    let serving = StepSpec {
        tasks: 2,
        resources: Resources::new(9_000, 100),
        tail_target_ms: Some(TARGET_MS),
        ..StepSpec::default()
    };
    scheduler.job_submitted(JobId(8), job(serving), at(5));
    scheduler.tick(at(5));
    assert_eq!(scheduler.take_batch().effects.len(), 2);
    let hosts = start_background_tasks(&mut scheduler, 12);
    let count = |name: &str| hosts.iter().filter(|host| *host == name).count();
    // Three tasks use up the headroom of host-a; a fourth would run at two thirds of its speed.
    assert_eq!((count("host-a"), count("host-b")), (3, 1));
}

/// Agents throttle images by the pairs that they received, and use the prior for all others.
#[test]
fn hosts_receive_the_pairs_of_their_images_once() {
    let mut scheduler = scheduler_with_two_hosts();
    let learned = [("heavy", "web", 0), ("heavy", "search", 8_000), ("other", "web", 100)];
    scheduler
        .restore_pairs(&learned.map(|(by, serving, growth_milli)| (pair(by, serving), growth_milli)).into(), at(0));
    assert!(scheduler.take_pair_updates(at(0)).is_empty(), "no pairs may be sent while no background task runs");
    assert_eq!(start_background_tasks(&mut scheduler, 1), ["host-a"]);
    let updates = scheduler.take_pair_updates(at(1_000));
    assert_eq!(updates, [("host-a".to_owned(), PairTable::from([(pair("heavy", "web"), 0)]))]);
    assert!(scheduler.take_pair_updates(at(2_000)).is_empty(), "unchanged pairs must not be sent again");
}

/// Starts a heavy task on `host-a`, which then pauses it. Returns the leader's effects about two seconds later.
fn effects_of_throttling(checkpoints: bool, growth_on_host_b_milli: u32) -> Vec<Effect> {
    let mut scheduler = scheduler_with_two_hosts();
    let learned = [("heavy", "web", 0), ("heavy", "search", growth_on_host_b_milli)];
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
    scheduler.host_throttling_changed(&"host-a".to_owned(), &Paces::from([("heavy".to_owned(), 0)]), at(100));
    scheduler.tick(at(600));
    assert!(scheduler.take_batch().effects.is_empty(), "brief throttling must not cause a move");
    scheduler.tick(at(2_000));
    let effects = scheduler.take_batch().effects;
    scheduler.tick(at(4_000));
    assert!(scheduler.take_batch().effects.is_empty(), "a task must be stopped only once");
    effects
}

/// A step ends with its slowest task: a paused task delayed its job by many times its run time.
#[test]
fn a_throttled_task_moves_to_a_host_with_headroom() {
    let effects = effects_of_throttling(true, 1_000);
    assert!(matches!(&effects[..], [Effect::Move { host, run: 1, .. }] if host == "host-a"), "{effects:?}");
}

/// A move without benefit costs the time of the stop and of the restore.
#[test]
fn a_throttled_task_stays_if_no_other_host_has_headroom() {
    assert!(effects_of_throttling(true, 8_000).is_empty());
}

/// Without a checkpoint, the work done so far would be repeated.
#[test]
fn a_throttled_task_without_checkpoints_stays() {
    assert!(effects_of_throttling(false, 1_000).is_empty());
}

/// A simulated host with several serving tasks of the image `web` beside one task of each background image.
struct SharedHost {
    /// The tail latency of each serving task without background tasks.
    baselines_ms: Vec<f32>,
    /// By how much each image raises the logarithm of the latencies if it uses all processors of the host.
    background: Vec<(&'static str, f32)>,
}

impl SharedHost {
    fn tails_ms(&self, pacer: &Pacer) -> Vec<u32> {
        let alone = |baseline_ms| Host { baseline_ms, background: self.background.clone() }.tail_ms(pacer);
        self.baselines_ms.iter().map(|baseline_ms| alone(*baseline_ms)).collect()
    }

    fn decide(&self, pacer: &mut Pacer, decision: u64) {
        let serving: Vec<_> = (0..)
            .zip(self.tails_ms(pacer))
            .map(|(index, tail_ms)| ServingReading {
                task: TaskRef { job: JobId(1), occurrence: 0, step: 0, index },
                image: "web".to_owned(),
                tail_ms,
                target_ms: TARGET_MS,
                requested_cpu_milli: SERVING_CPU_MILLI,
            })
            .collect();
        let background: Vec<_> = self
            .background
            .iter()
            .map(|(image, _)| BackgroundReading {
                image: (*image).to_owned(),
                used_cpu_milli: Host::WANTED_CPU_MILLI * u32::from(pacer.percent(image)) / 100,
                requested_cpu_milli: Host::WANTED_CPU_MILLI,
            })
            .collect();
        pacer.observe(HOST_CPU_MILLI, &serving, &background, TimeMs((decision + 1) * DECISION_INTERVAL_MS));
    }
}

/// Images that hardly affect a serving task were paused for as long as its own load kept it near its target.
#[test]
fn an_image_with_a_slight_effect_is_not_paused_for_a_task_near_its_target() {
    let mut pacer = pacer_with_table(&[("light", 320), ("heavy", 6_000)]);
    let host = SharedHost { baselines_ms: vec![88.0, 30.0], background: vec![("light", 0.32), ("heavy", 6.0)] };
    (0..10).for_each(|decision| host.decide(&mut pacer, decision));
    assert_eq!(pacer.percent("light"), 100);
    assert!(pacer.percent("heavy") <= 25, "{}", pacer.percent("heavy"));
    assert!(host.tails_ms(&pacer).iter().all(|tail_ms| *tail_ms <= TARGET_MS));
}

/// The highest latency of an image decided, so that one task above its target by its own load paused the images beside all
/// others.
#[test]
fn a_task_above_its_target_by_its_own_load_does_not_slow_background_tasks() {
    let mut pacer = pacer_with_table(&[("heavy", 2_000)]);
    let host = SharedHost { baselines_ms: vec![170.0, 40.0, 40.0], background: vec![("heavy", 2.0)] };
    let mut at_full_speed = 0;
    for decision in 0..40 {
        host.decide(&mut pacer, decision);
        at_full_speed += u32::from(pacer.percent("heavy") == 100);
    }
    assert!(at_full_speed >= 20, "{at_full_speed} of 40 decisions");
}

/// Two images that exceed a target only together would both go on if either were judged alone.
#[test]
fn images_that_exceed_a_target_only_together_are_throttled() {
    let mut pacer = pacer_with_table(&[("first", 3_000), ("second", 3_000), ("third", 3_000)]);
    let background = vec![("first", 3.0), ("second", 3.0), ("third", 3.0)];
    let host = SharedHost { baselines_ms: vec![60.0, 60.0, 60.0, 60.0], background };
    (0..6).for_each(|decision| host.decide(&mut pacer, decision));
    assert!(host.tails_ms(&pacer).iter().all(|tail_ms| *tail_ms <= TARGET_MS), "{:?}", pacer.paces());
    assert!(pacer.paces().values().any(|percent| *percent >= 50), "{:?}", pacer.paces());
}

/// A task that is overloaded by its own requests ended the pause for the whole host, so that another one stayed above its
/// target by the doing of background tasks that the table does not know. Loads, and what the table says, are random.
#[test]
fn no_task_stays_above_its_target_beside_background_tasks_that_cause_it() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rows = ["first", "second"].map(|image| (image, rng.random_range(0..6_000)));
        let mut pacer = pacer_with_table(&rows);
        let background = vec![("first", rng.random_range(0.0..8.0)), ("second", rng.random_range(0.0..8.0))];
        let mut host = SharedHost { baselines_ms: vec![200.0, 60.0, 40.0, 80.0], background };
        let mut above_ms = [0; 4];
        for decision in 0..120 {
            for baseline_ms in &mut host.baselines_ms {
                *baseline_ms = (*baseline_ms * rng.random_range(0.9..1.11)).clamp(20.0, 250.0);
            }
            host.decide(&mut pacer, decision);
            let is_working = pacer.paces().values().any(|percent| *percent > 0);
            let tails_ms = host.tails_ms(&pacer);
            for ((above_ms, tail_ms), baseline_ms) in above_ms.iter_mut().zip(&tails_ms).zip(&host.baselines_ms) {
                let is_caused = *tail_ms > TARGET_MS && *baseline_ms <= TARGET_MS as f32 && is_working;
                *above_ms = if is_caused { *above_ms + DECISION_INTERVAL_MS } else { 0 };
                assert!(*above_ms < 4_000, "seed {seed}: above the target for {above_ms} ms: {tails_ms:?}");
            }
        }
    }
}
