//! `burn`.

use clap::ArgMatches;
use fescuelead_wire::api::{BurnCause, BurnItem, BurnReport, MissingEntry, burn_page};

use crate::{
    client::{Call, Client},
    command::Settings,
    failure::{Exit, Failure},
    render::{Table, or_dash, output, printable, span},
};

/// Shows the burn report, or writes it as a web page.
pub async fn run(client: &Client, settings: &Settings, args: &ArgMatches) -> Result<String, Failure> {
    let report: BurnReport = client.fetch(Call::get("/v1/burn")).await?;
    match args.get_one::<String>("html").map(String::as_str) {
        None => output(settings, &report, text),
        Some("-") => Ok(burn_page(&report)),
        Some(file) => {
            std::fs::write(file, burn_page(&report))
                .map_err(|error| Failure::new(Exit::Failure, format!("cannot write {file}: {error}")))?;
            Ok(format!("The burn report is in {file}.\n"))
        }
    }
}

fn text(report: &BurnReport) -> String {
    let missing = |MissingEntry { entry, reason }: &MissingEntry| {
        format!("Entry {} is not counted, because it could not be asked: {}\n", printable(entry), printable(reason))
    };
    let missing: String = report.missing.iter().map(missing).collect();
    format!("Cell {}.\n{missing}{}", report.cell, tables(report))
}

fn tables(report: &BurnReport) -> String {
    let row = |item: &BurnItem| {
        let rate = |i: usize| or_dash(item.burn_rates.get(i).map(|rate| format!("{:.2}", rate.rate)));
        [
            item.service.clone(),
            item.profile.clone(),
            item.team.clone(),
            format!("{}% in {}", percent(item.slo_target), span(item.slo_latency_ms)),
            format!("{:.1}%", item.budget_left_ratio * 100.0),
            rate(0),
            rate(1),
            rate(2),
            rate(3),
            or_dash(item.exhausted_in_ms.map(span)),
            or_dash(item.latency_ms.map(|latency| format!("{:.1}", latency.p99))),
            item.alert.clone(),
        ]
    };
    let header = ["service", "profile", "team", "slo", "left", "5m", "1h", "6h", "3d", "gone in", "p99 ms", "alert"];
    let table = Table::new(header).with_rows(&report.items, row).render();
    let causes = Table::new(["service", "cause", "missed", "actions"]);
    let rows: Vec<_> =
        report.items.iter().flat_map(|item| item.causes.iter().map(move |cause| (item, cause))).collect();
    if rows.is_empty() {
        return table;
    }
    format!("{table}\n{}", causes.with_rows(&rows, |(item, cause)| cause_row(item, cause)).render())
}

fn cause_row(item: &BurnItem, cause: &BurnCause) -> [String; 4] {
    let with = cause.with.as_ref().map(|with| format!(" ({with})")).unwrap_or_default();
    let actions: Vec<_> = cause.actions.iter().map(|action| format!("{} {}", action.action, action.count)).collect();
    let actions = if actions.is_empty() { "-".to_owned() } else { actions.join(", ") };
    [item.service.clone(), format!("{}{with}", cause.kind), cause.requests.to_string(), actions]
}

/// The ratio in percent, without the noise of binary fractions.
fn percent(ratio: f64) -> f64 {
    (ratio * 1e6).round() / 1e4
}
