//! Load on the log service, and the way of a configuration change to all agents.

use std::{fmt::Write as _, hint::black_box, sync::Arc};

use fescuelead_core::{
    cells::append_spacing_ms,
    config::ConfigState,
    ids::{EntryId, TaskId},
    record::{Batch, Record},
    units::TimeMs,
    writer::{GroupCommit, Ticket, WriterEffect},
};

use crate::{
    fold::STARTS_PER_S,
    heartbeat::BEATS_PER_S,
    measure::{Report, cpu_ns, figure, heading},
    sample,
};

/// The time of one append at the log service.
const APPEND_MS: u64 = 5;
/// Configuration changes a second: 47,000 a day.
const CHANGES_PER_S: f64 = 47_000.0 / 86_400.0;
/// How long a read waits at the tail of a stream.
const TAIL_WAIT_MS: u64 = 100;
const AGENTS: f64 = 16_000.0;

/// A writer in virtual time.
struct Writer {
    commit: GroupCommit,
    answer_at: Option<TimeMs>,
    appends: usize,
}

impl Writer {
    fn new(number: usize, spacing_ms: u64) -> Self {
        let id: EntryId = sample::entry(number).entry;
        Self { commit: GroupCommit::new(id, 1).with_spacing_ms(spacing_ms), answer_at: None, appends: 0 }
    }

    fn step(&mut self, now: TimeMs) {
        if self.answer_at.is_some_and(|at| at <= now) {
            self.answer_at = None;
            self.commit.appended();
        }
        if let Some(WriterEffect::Append { .. }) = self.commit.poll(now) {
            self.appends += 1;
            self.answer_at = Some(now.plus_ms(APPEND_MS));
        }
    }
}

/// Appends a second, and the longest time that a record waits, with 2,610 records a second over `entries` writers.
fn group_commit(entries: usize, spacing_ms: u64) -> (f64, u64) {
    let mut writers: Vec<_> = (0..entries).map(|n| Writer::new(n, spacing_ms)).collect();
    let mut open: Vec<(usize, Ticket, u64)> = Vec::new();
    let (mut pushed, mut longest_ms) = (0, 0);
    let span_ms = 5_000;
    for now in 0..span_ms {
        while (pushed as f64) < STARTS_PER_S * 3.0 * now as f64 / 1_000.0 {
            let ticket = writers[pushed % entries].commit.push(sample::finished(pushed));
            open.push((pushed % entries, ticket, now));
            pushed += 1;
        }
        writers.iter_mut().for_each(|writer| writer.step(TimeMs(now)));
        open.retain(|(writer, ticket, since)| {
            let done = writers[*writer].commit.is_done(*ticket);
            longest_ms = longest_ms.max(if done { now - since } else { 0 });
            !done
        });
    }
    (writers.iter().map(|w| w.appends).sum::<usize>() as f64 * 1_000.0 / span_ms as f64, longest_ms)
}

/// How long a submission waits that an entry appends right behind `wave` cancellations.
fn behind_cancellations_ms(wave: usize, spacing_ms: u64) -> u64 {
    let mut writer = Writer::new(0, spacing_ms);
    let cancel = |n| Record::TaskCancelled { task: TaskId::new(format!("c0-{n}")).expect("valid id") };
    (0..wave).for_each(|n| writer.commit.push_bulk(cancel(n)));
    let urgent = writer.commit.push(sample::submitted(wave));
    (0..1_000_000)
        .find(|now| {
            writer.step(TimeMs(*now));
            writer.commit.is_done(urgent)
        })
        .unwrap_or(u64::MAX)
}

/// A profile set with this many teams and as many profiles.
fn profiles(teams: usize) -> String {
    let mut text = String::new();
    for n in 0..teams {
        let _ = write!(
            text,
            "[team.team-{n:03}]\nquota = {{ cpu_milli = 40000, memory_mib = 131072 }}\n\
             [profile.work-{n:03}]\nkind = \"batch\"\nteam = \"team-{n:03}\"\nidempotent = true\n\
             deadline_ms = 21600000\nslo_latency_ms = 60000\nslo_target = 0.95\n\
             resources = {{ cpu_milli = 4000, memory_mib = 8192 }}\nrun_ms = 480000\nattempts = 4\n\n"
        );
    }
    text
}

/// Measures the log's load and configuration changes.
pub fn run(report: &mut Report) {
    heading("appends by group commit at 870 task lives/s (2,610 records/s), 5 ms an append");
    for entries in [1, 3, 10, 25, 50] {
        for spacing_ms in [10, 40, 100, 200] {
            let (rate, longest_ms) = group_commit(entries, spacing_ms);
            println!(
                "{entries:>3} entries, spacing {spacing_ms:>3} ms: {rate:>6.0} appends/s, longest wait {longest_ms} ms"
            );
        }
    }
    for (entries, spacing_ms) in [(3, 10), (10, 10), (10, 40), (50, 10), (50, 200)] {
        let what = format!("appends with {entries} writing entries, spacing {spacing_ms} ms");
        report.at_most(what, group_commit(entries, spacing_ms).0, 300.0, "/s");
    }
    for (entries, cells) in [(3, 1), (10, 1), (3, 10)] {
        let spacing_ms = append_spacing_ms(10, entries, cells);
        let (rate, longest_ms) = group_commit(entries * cells, spacing_ms);
        println!("{cells} cells of {entries} entries: spacing {spacing_ms} ms, longest wait {longest_ms} ms");
        report.at_most(format!("appends of {cells} cells with {entries} entries each"), rate, 300.0, "/s");
    }
    for spacing_ms in [10, 200] {
        let delay = behind_cancellations_ms(50_000, spacing_ms) - behind_cancellations_ms(0, spacing_ms);
        let what = format!("delay of a submission behind 50,000 cancellations, spacing {spacing_ms} ms");
        report.at_most(what, delay as f64, 100.0, "ms");
    }
    changes(report);
    held_heartbeats(report);
}

fn changes(report: &mut Report) {
    heading("configuration change: log, entries, agents by heartbeat");
    for (spacing_ms, heartbeat_ms) in [(10, 200), (10, 500), (200, 500), (200, 2_000)] {
        // A change waits for the spacing, the append, a read at the tail and, if the entry had just answered, a
        // heartbeat. A heartbeat that is held is answered at once.
        let worst_ms = spacing_ms + APPEND_MS + TAIL_WAIT_MS + heartbeat_ms;
        println!(
            "spacing {spacing_ms} ms, heartbeat {heartbeat_ms} ms: in force everywhere after at most {worst_ms} ms"
        );
        let what =
            format!("change in force, spacing {spacing_ms} ms, heartbeat {heartbeat_ms} ms, without processor time");
        report.at_most(what, worst_ms as f64, 10_000.0, "ms");
    }
    for teams in [20, 110, 220] {
        let (text, mut config) = (profiles(teams), ConfigState::new());
        let ns = cpu_ns(20, |n| {
            let record = Record::ProfilesPublished {
                expected_version: config.version(),
                text: text.clone(),
                author: "operator".to_owned(),
            };
            let batch = Batch::new(sample::entry(0).entry, 1, n as u64 + 1).with_record(record);
            black_box(config.apply(n as u64, &batch));
        });
        println!(
            "{teams} teams and profiles: {} bytes a change, {} us to check and fold",
            text.len(),
            figure(ns / 1e3)
        );
        assert_eq!(config.set().teams.len(), teams, "the sample profile set is accepted");
        black_box(Arc::clone(config.text()));
        if teams == 220 {
            report.at_most("check and fold of 47,000 changes a day", CHANGES_PER_S * ns / 1e7, 2.4, "% core");
            let kb = CHANGES_PER_S * text.len() as f64 / 1e3;
            println!("47,000 changes a day of the whole text: {} KB/s to each entry", figure(kb));
        }
    }
}

/// A folded event wakes the held heartbeat of the agent that it names, which is answered anew to see whether it may go. One
/// append of the target size names as many agents as it has records: 2,610 a second over 300 appends.
fn held_heartbeats(report: &mut Report) {
    heading("held heartbeats woken by appends");
    let cell = sample::cell(3, 9 * 640, 640);
    let mut control = sample::control(&cell);
    let held = |n: usize| (0..9).map(|t| sample::attempt(t * 640 + n)).collect();
    let beats: Vec<_> = (0..640).map(|n| sample::heartbeat(n, held(n), 3)).collect();
    let ns = cpu_ns(6_400, |n| _ = black_box(sample::reply(&mut control, &beats[n % 640], &cell)));
    println!("one look at a held heartbeat: {} ns", figure(ns));
    let named = STARTS_PER_S * 3.0 / 300.0;
    for (agents, appends) in [(10.0, 5.0), (640.0, 30.0), (640.0, 300.0), (AGENTS, 300.0)] {
        let what = format!("held heartbeats of {agents} agents at {appends} appends/s");
        report.at_most(what, f64::min(agents, named) * appends * ns / 1e7, 2.4, "% core");
    }
    // A held heartbeat that nothing woke is answered anew at its deadline.
    let what = "replies computed again at the deadline of held heartbeats, 640 agents";
    report.at_most(what, 640.0 * BEATS_PER_S * ns / 1e7, 2.4, "% core");
    report.at_most(
        "replies to 16,000 agents at 47,000 changes a day",
        AGENTS * CHANGES_PER_S * ns / 1e7,
        2.4,
        "% core",
    );
}
