//! Benchmarks of one placement decision by the number of workers, and of the queue after many cancellations.
//!
//! `cargo bench -p fescuelead-core --bench decisions`

use std::hint::black_box;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use fescuelead_core::{
    ids::{AgentId, AvailabilityZone, RackId, TaskId, TeamId},
    interference::{ClassId, Interference},
    placement::{Demand, Placer, Quotas, Resident, View, WorkerTable, WorkerUpdate},
    profile::{Kind, Spread},
    queue::{Next, Queue, QueuedTask},
    suspect::{SuspectSettings, Suspicions},
    units::{Resources, TimeMs},
};

const CLASSES: u16 = 24;

/// Creates workers with two services and six batch classes each. `free` returns the free capacity of each worker.
fn table(workers: usize, free: impl Fn(usize) -> Resources) -> WorkerTable {
    let mut table = WorkerTable::new();
    for n in 0..workers {
        let class = |place: usize| ClassId(u16::try_from((n + place * 5) % usize::from(CLASSES)).unwrap_or(0));
        let service = |place| Resident {
            class: class(place),
            kind: Kind::LatencyCritical,
            weight: 1.0,
            misses_slo: false,
            budget: 1.0,
        };
        let batch =
            |place| Resident { class: class(place), kind: Kind::Batch, weight: 2.0, misses_slo: false, budget: 0.0 };
        let residents = (0..2).map(service).chain((2..8).map(batch)).collect();
        let update = WorkerUpdate {
            agent: AgentId::new(format!("agent-{n}")).expect("valid id"),
            availability_zone: AvailabilityZone::new(format!("zone-{}", n % 25)).expect("valid id"),
            rack: RackId::new(format!("rack-{}", n / 3)).expect("valid id"),
            capacity: Resources::new(30_000, 125_000),
            free: free(n),
            expected_use: Resources::new(10_000, 60_000),
            residents,
        };
        table.update(update, TimeMs(0));
    }
    table
}

/// `room` workers per thousand have room for the task.
fn with_room(room: usize) -> impl Fn(usize) -> Resources {
    move |n| if n % 1_000 < room { Resources::new(8_000, 16_000) } else { Resources::new(500, 500) }
}

/// Alternates between workers with enough processors and workers with enough memory, so that no block can be skipped.
fn alternating(n: usize) -> Resources {
    if n.is_multiple_of(2) { Resources::new(8_000, 500) } else { Resources::new(500, 16_000) }
}

fn placement(criterion: &mut Criterion) {
    let mut interference = Interference::default();
    let key = table(1, with_room(1_000)).iter().next().map(|(key, _)| key).expect("one worker");
    for class in 0..CLASSES {
        interference.record_composition(
            key,
            vec![(ClassId(class), 1.0), (ClassId((class + 1) % CLASSES), 1.0)],
            TimeMs(0),
        );
        interference.observe(key, ClassId(class), 1.0, (TimeMs(0), TimeMs(1)), 1.01);
    }
    let suspicions = Suspicions::new(SuspectSettings::default());
    let quotas = Quotas::new();
    let demand = Demand {
        class: ClassId(3),
        kind: Kind::Batch,
        team: TeamId::new("labels").expect("valid id"),
        declared: Resources::new(2_000, 4_000),
        expected: Resources::new(2_000, 4_000),
        spread: Spread::Rack,
        avoid: Vec::new(),
    };
    let cases: [(&str, &dyn Fn(usize) -> Resources); 4] = [
        ("roomy", &with_room(1_000)),
        ("nearly-full", &with_room(4)),
        ("full", &with_room(0)),
        ("crossed", &alternating),
    ];
    for (name, free) in cases {
        let mut group = criterion.benchmark_group(format!("place/{name}"));
        for workers in [10, 100, 640, 4_000, 16_000] {
            let table = table(workers, free);
            let view = View { table: &table, interference: &interference, suspicions: &suspicions, quotas: &quotas };
            let mut placer = Placer::new(7);
            group.bench_function(BenchmarkId::from_parameter(workers), |b| {
                b.iter(|| placer.place(black_box(&demand), &view, TimeMs(1_000)));
            });
        }
    }
}

/// Selects an urgent task after 50,000 tasks were cancelled.
fn cancellations(criterion: &mut Criterion) {
    let waiting = |n: u32, priority: u8| QueuedTask {
        task: TaskId::new(format!("c0-{n}")).expect("valid id"),
        kind: Kind::Batch,
        priority,
        team: TeamId::new(format!("team-{}", n % 220)).expect("valid id"),
        class: ClassId(u16::try_from(n % 24).unwrap_or(0)),
        resources: Resources::new(1_000, 512),
        since: TimeMs(0),
    };
    let mut full = Queue::new();
    let cancelled: Vec<_> = (0..50_000).map(|n| waiting(n, 5)).collect();
    cancelled.iter().for_each(|w| _ = full.push(w.clone()));
    criterion.bench_function("queue/urgent-behind-50000-cancellations", |b| {
        b.iter_batched_ref(
            || full.clone(),
            |queue| {
                cancelled.iter().for_each(|w| _ = queue.cancel(&w.task));
                queue.push(waiting(60_000, 9));
                assert!(matches!(queue.next(Kind::Batch, TimeMs(0)), Next::Task(_)));
            },
            BatchSize::LargeInput,
        );
    });
    criterion.bench_function("queue/next-with-220-teams", |b| {
        b.iter(|| full.next(Kind::Batch, TimeMs(0)));
    });
}

criterion_group! {
    name = decisions;
    config = Criterion::default().sample_size(20).without_plots();
    targets = placement, cancellations
}
criterion_main!(decisions);
