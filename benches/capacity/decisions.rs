//! Placement, quotas, endpoint choice and the queue at the target size.

use std::hint::black_box;

use fescuelead_core::{
    interference::{ClassId, Interference, InterferenceSettings},
    placement::{Decision, Demand, Placer, Quotas, View, WorkerTable},
    profile::{Kind, Spread, Team},
    queue::{Next, Queue, QueuedTask},
    suspect::{SuspectSettings, Suspicions},
    units::{Resources, TimeMs},
};

use crate::{
    measure::{Report, cpu_ns, figure, heading, slope},
    sample,
};

/// What a placement reads.
struct Site {
    table: WorkerTable,
    interference: Interference,
    suspicions: Suspicions,
    quotas: Quotas,
}

impl Site {
    fn new(workers: usize) -> Self {
        let mut site = Self {
            table: WorkerTable::new(),
            interference: Interference::new(InterferenceSettings::default()),
            suspicions: Suspicions::new(SuspectSettings::default()),
            quotas: Quotas::new(),
        };
        for number in 0..workers {
            let update = sample::worker(number);
            let weights: Vec<_> = update.residents.iter().map(|r| (r.class, r.weight)).collect();
            let key = site.table.update(update, TimeMs(0));
            site.interference.record_composition(key, weights, TimeMs(0));
        }
        let team = Team::new(Resources::new(u32::MAX, u32::MAX));
        (0..sample::TEAMS).for_each(|n| site.quotas.set_quota(sample::team(n), &team));
        site
    }

    fn view(&self) -> View<'_> {
        View {
            table: &self.table,
            interference: &self.interference,
            suspicions: &self.suspicions,
            quotas: &self.quotas,
        }
    }
}

fn demand(number: usize, declared: Resources) -> Demand {
    Demand {
        class: ClassId((number % 12) as u16),
        kind: Kind::Batch,
        team: sample::team(number),
        declared,
        expected: declared,
        spread: Spread::Rack,
        avoid: Vec::new(),
    }
}

fn place_us(workers: usize, declared: Resources) -> f64 {
    let site = Site::new(workers);
    let mut placer = Placer::new(7);
    let view = site.view();
    cpu_ns(5_000, |number| {
        black_box(placer.place(&demand(number, declared), &view, TimeMs(1)));
    }) / 1e3
}

/// Measures the decisions against their budgets.
pub fn run(report: &mut Report) {
    heading("decisions");
    let small = Resources::new(1_000, 512);
    slope("placement of a common size by workers", "us", &[640, 4_000, 16_000], |n| place_us(n, small));
    report.at_most("placement with 640 workers in view", place_us(640, small), 20.0, "us");
    report.at_most("placement with 16,000 workers in view", place_us(16_000, small), 60.0, "us");
    let rare = Resources::new(23_500, 90_000);
    slope("placement of a size that few workers have free", "us", &[640, 4_000, 16_000], |n| place_us(n, rare));
    report.at_most("the same, a size that few workers have free", place_us(16_000, rare), 60.0, "us");
    let none = Resources::new(25_000, 97_000);
    report.at_most("the same, a size that no worker has free", place_us(16_000, none), 60.0, "us");
    let site = Site::new(640);
    let quota_ns = cpu_ns(100_000, |n| _ = black_box(site.quotas.allows(&sample::team(n), &small)));
    println!("quota check of 220 teams, with making the id: {} ns", figure(quota_ns));
    queue(report);
}

fn waiting(number: usize, priority: u8) -> QueuedTask {
    QueuedTask {
        task: sample::task(number),
        kind: Kind::Batch,
        priority,
        team: sample::team(number),
        class: ClassId((number % 12) as u16),
        resources: Resources::new(1_000, 512),
        since: TimeMs(number as u64),
    }
}

fn queue(report: &mut Report) {
    slope("push and take of a waiting task, by tasks waiting", "ns", &[1_000, 10_000, 50_000], |count| {
        let mut queue = Queue::new();
        (0..count).for_each(|n| _ = queue.push(waiting(n, 5)));
        cpu_ns(2_000, |n| {
            queue.push(waiting(count + n, 5));
            if let Next::Task(key) = queue.next(Kind::Batch, TimeMs(0)) {
                queue.remove(key);
            }
        })
    });
    let site = Site::new(16_000);
    let mut placer = Placer::new(7);
    let start_us = |wave: usize, placer: &mut Placer| {
        let mut queue = Queue::new();
        (0..wave).for_each(|n| _ = queue.push(waiting(n, 5)));
        cpu_ns(1, |_| {
            (0..wave).for_each(|n| _ = queue.cancel(&sample::task(n)));
            queue.push(waiting(wave, 9));
            let placed = loop {
                match queue.next(Kind::Batch, TimeMs(0)) {
                    Next::Task(_) => {
                        break placer.place(&demand(1, Resources::new(1_000, 512)), &site.view(), TimeMs(1));
                    }
                    Next::More => {}
                    Next::Idle => break Decision::Wait { reason: fescuelead_core::placement::WaitReason::Capacity },
                }
            };
            black_box(placed);
        }) / 1e3
    };
    slope("urgent start right behind a wave of cancellations", "us", &[500, 5_000, 50_000], |n| {
        start_us(n, &mut placer)
    });
    let delay_ms = (start_us(50_000, &mut placer) - start_us(1, &mut placer)) / 1e3;
    report.at_most("delay of an urgent start by 50,000 cancellations, queue alone", delay_ms, 100.0, "ms");
}
