//! The burn report as a web page.

use std::{
    fmt::{self, Display, Formatter, Write as _},
    time::{Duration, UNIX_EPOCH},
};

use crate::api::burn::{BurnCause, BurnItem, BurnPoint, BurnRate, BurnReport, MissingEntry};

const STYLE: &str = r"
:root{color-scheme:light dark;--bg:#fff;--card:#f5f6f8;--text:#1b1f24;--dim:#57606a;--line:#c4cad1;--ok:#1a7f5a;--warn:#9a6200;--bad:#c2273a}
@media(prefers-color-scheme:dark){:root{--bg:#14171b;--card:#1e2329;--text:#e8eaed;--dim:#a3acb6;--line:#444c56;--ok:#43c08f;--warn:#e3a83b;--bad:#ff6b78}}
*{box-sizing:border-box}
body{margin:0 auto;padding:1rem;max-width:72rem;background:var(--bg);color:var(--text);font:1rem/1.45 system-ui,sans-serif}
h1{font-size:1.4rem;margin:0 0 .25rem}h2{font-size:1.1rem;margin:0;overflow-wrap:anywhere}h3{font-size:.9rem;margin:1rem 0 .25rem;color:var(--dim)}
p{margin:.25rem 0}.dim{color:var(--dim);font-size:.9rem}
main{display:grid;gap:1rem;grid-template-columns:repeat(auto-fit,minmax(min(100%,24rem),1fr));margin-top:1rem}
article{background:var(--card);border:1px solid var(--line);border-radius:.5rem;padding:1rem;min-width:0}
.badge{display:inline-block;border:1px solid currentColor;border-radius:1rem;padding:0 .6rem;font-size:.85rem;font-weight:600}
.none{color:var(--ok)}.slow{color:var(--warn)}.fast{color:var(--bad)}
table{border-collapse:collapse;width:100%;font-size:.9rem}th,td{text-align:left;padding:.2rem .4rem .2rem 0;border-bottom:1px solid var(--line);overflow-wrap:anywhere}
td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}.n+:not(.n){padding-left:1rem}
svg{display:block;width:100%;height:auto}svg text{fill:var(--dim);font:11px system-ui,sans-serif}
.track{fill:var(--line)}.f-ok{fill:var(--ok)}.f-warn{fill:var(--warn)}.f-bad{fill:var(--bad)}.axis{stroke:var(--dim);stroke-width:1}.limit{stroke:var(--text);stroke-width:1;stroke-dasharray:4 3}
";

/// Renders a burn report as one HTML page that loads nothing else. It follows the reader's choice of a light or dark
/// scheme and fits a phone. Linear in the size of the report.
pub fn burn_page(report: &BurnReport) -> String {
    let mut page = String::new();
    // Writing to a string cannot fail.
    let _ = write_page(&mut page, report);
    page
}

fn write_page(page: &mut String, report: &BurnReport) -> fmt::Result {
    let time = humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(report.as_of_unix_ms));
    // An entry of an earlier version names none and counts its own requests only.
    let counted = if report.entries.is_empty() { report.entry.clone() } else { report.entries.join(", ") };
    write!(
        page,
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\
         <title>fescuelead burn report</title><style>{STYLE}</style></head><body>\
         <h1>Error budgets</h1><p class=\"dim\">As of {time}, by entry {} of cell {}, for the requests of {}. \
         A burn rate of 1 uses the budget up exactly at the end of its window.</p>",
        Escaped(&report.entry),
        report.cell,
        Escaped(&counted),
    )?;
    for MissingEntry { entry, reason } in &report.missing {
        let (entry, reason) = (Escaped(entry), Escaped(reason));
        write!(page, "<p class=\"fast\">Entry {entry} is not counted, because it could not be asked: {reason}</p>")?;
    }
    if report.untracked > 0 {
        write!(page, "<p class=\"fast\">{} requests are not counted: too many keys are in use.</p>", report.untracked)?;
    }
    if report.items.is_empty() {
        page.push_str("<p>No requests have been counted yet.</p>");
    }
    page.push_str("<main>");
    report.items.iter().try_for_each(|item| write_item(page, item))?;
    page.push_str("</main></body></html>\n");
    Ok(())
}

fn write_item(page: &mut String, item: &BurnItem) -> fmt::Result {
    let (class, badge) = match item.alert.as_str() {
        "fast" => ("fast", "fast burn"),
        "slow" => ("slow", "slow burn"),
        _ => ("none", "within budget"),
    };
    write!(
        page,
        "<article><h2>{}</h2><p class=\"dim\">profile {}, team {}</p><p><span class=\"badge {class}\">{badge}</span></p>",
        Escaped(&item.service),
        Escaped(&item.profile),
        Escaped(&item.team),
    )?;
    write!(
        page,
        "<p>SLO: {}% within {}. {} requests in {}, {} missed it ({} failed, {} late, {} refused).</p>",
        round(item.slo_target * 100.0, 4),
        span(item.slo_latency_ms),
        item.requests(),
        span(item.observed_ms),
        item.missed(),
        item.bad,
        item.late,
        item.refused,
    )?;
    write_budget(page, item)?;
    write_rates(page, &item.burn_rates)?;
    write_course(page, item)?;
    write_latency(page, item)?;
    write_causes(page, &item.causes)?;
    page.push_str("</article>");
    Ok(())
}

fn write_budget(page: &mut String, item: &BurnItem) -> fmt::Result {
    let left_percent = round(item.budget_left_ratio * 100.0, 1);
    let width = (item.budget_left_ratio.clamp(0.0, 1.0) * 320.0).round();
    let fill = match item.budget_left_ratio {
        left if left <= 0.1 => "f-bad",
        left if left <= 0.5 => "f-warn",
        _ => "f-ok",
    };
    let end = match item.exhausted_in_ms {
        Some(0) => "The budget is used up.".to_owned(),
        Some(ms) => format!("At the rate of the last hour it is used up in {}.", span(ms)),
        None => "At the rate of the last hour it is not used up.".to_owned(),
    };
    write!(
        page,
        "<h3>Error budget of {}: {left_percent}% left</h3>\
         <svg viewBox=\"0 0 320 12\" role=\"img\" aria-label=\"{left_percent}% of the error budget left\">\
         <rect class=\"track\" width=\"320\" height=\"12\" rx=\"3\"/>\
         <rect class=\"{fill}\" width=\"{width}\" height=\"12\" rx=\"3\"/></svg><p>{end}</p>",
        span(item.budget_window_ms),
    )
}

fn write_rates(page: &mut String, rates: &[BurnRate]) -> fmt::Result {
    let scale = rates.iter().map(|rate| rate.rate).fold(2.0, f64::max);
    let height = rates.len() * 22;
    write!(page, "<h3>Burn rate</h3><svg viewBox=\"0 0 320 {height}\" role=\"img\" aria-label=\"Burn rates\">")?;
    for (row, rate) in rates.iter().enumerate() {
        let y = row * 22;
        let width = (rate.rate / scale * 200.0).round();
        write!(
            page,
            "<text x=\"0\" y=\"{}\">{}</text><rect class=\"{}\" x=\"48\" y=\"{}\" width=\"{width}\" height=\"14\"/>\
             <text x=\"320\" y=\"{}\" text-anchor=\"end\">{}</text>",
            y + 15,
            span(rate.window_ms),
            fill_of(rate.rate),
            y + 4,
            y + 15,
            round(rate.rate, 2),
        )?;
    }
    let limit = 48.0 + (200.0 / scale).round();
    write!(page, "<line class=\"limit\" x1=\"{limit}\" x2=\"{limit}\" y1=\"0\" y2=\"{height}\"/></svg>")
}

fn write_course(page: &mut String, item: &BurnItem) -> fmt::Result {
    let allowed = (1.0 - item.slo_target).max(1e-9);
    let rate = |point: &BurnPoint| match point.good + point.missed {
        0 => 0.0,
        requests => point.missed as f64 / requests as f64 / allowed,
    };
    let Some(oldest_ms) = item.points.iter().map(|point| point.age_ms).max() else { return Ok(()) };
    // The newest span has only begun; it gets its whole width, so that what happens now is seen.
    let newest_ms = item.points.iter().map(|point| point.age_ms).min().unwrap_or(0);
    let span_ms = item.points.iter().map(|point| point.span_ms).max().unwrap_or(1);
    let course_ms = (oldest_ms - newest_ms + span_ms).max(1) as f64;
    let scale = item.points.iter().map(rate).fold(2.0, f64::max);
    write!(
        page,
        "<h3>Burn rate over the last {}</h3>\
         <svg viewBox=\"0 0 320 112\" role=\"img\" aria-label=\"Burn rate over time, at most {}\">",
        span(oldest_ms),
        round(scale, 1),
    )?;
    for point in &item.points {
        let height = (rate(point) / scale * 80.0).max(if point.good + point.missed > 0 { 1.0 } else { 0.0 });
        let x = 30.0 + 290.0 * (oldest_ms - point.age_ms) as f64 / course_ms;
        let width = 290.0 * point.span_ms as f64 / course_ms * 0.85;
        let (y, fill) = (92.0 - height, fill_of(rate(point)));
        write!(page, "<rect class=\"{fill}\" x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\"/>")?;
    }
    let limit = 92.0 - 80.0 / scale;
    write!(
        page,
        "<line class=\"axis\" x1=\"30\" x2=\"320\" y1=\"92\" y2=\"92\"/>\
         <line class=\"limit\" x1=\"30\" x2=\"320\" y1=\"{limit:.1}\" y2=\"{limit:.1}\"/>\
         <text x=\"0\" y=\"16\">{}</text><text x=\"0\" y=\"96\">0</text>\
         <text x=\"30\" y=\"108\">{} ago</text><text x=\"320\" y=\"108\" text-anchor=\"end\">now</text></svg>",
        round(scale, 1),
        span(oldest_ms),
    )
}

fn write_latency(page: &mut String, item: &BurnItem) -> fmt::Result {
    let Some(latency) = item.latency_ms else { return Ok(()) };
    page.push_str("<h3>Latency of the last hour, ms</h3><table><tr>");
    let cells = [("p50", latency.p50), ("p99", latency.p99), ("p99.9", latency.p999), ("max", latency.max)];
    cells.iter().try_for_each(|(name, _)| write!(page, "<th class=\"n\">{name}</th>"))?;
    page.push_str("</tr><tr>");
    cells.iter().try_for_each(|(_, ms)| write!(page, "<td class=\"n\">{}</td>", round(*ms, 2)))?;
    page.push_str("</tr></table>");
    Ok(())
}

fn write_causes(page: &mut String, causes: &[BurnCause]) -> fmt::Result {
    if causes.is_empty() {
        return Ok(());
    }
    page.push_str(
        "<h3>Causes, and what was done</h3><table><tr><th>cause</th><th class=\"n\">missed</th><th>actions</th></tr>",
    );
    for cause in causes {
        let actions: Vec<_> = cause.actions.iter().map(|a| format!("{} {}", a.action, a.count)).collect();
        let with = cause.with.as_ref().map(|with| format!(" ({with})")).unwrap_or_default();
        write!(
            page,
            "<tr><td>{}{}</td><td class=\"n\">{}</td><td>{}</td></tr>",
            Escaped(&cause.kind),
            Escaped(&with),
            cause.requests,
            Escaped(&actions.join(", ")),
        )?;
    }
    page.push_str("</table>");
    Ok(())
}

fn fill_of(rate: f64) -> &'static str {
    match rate {
        rate if rate > 6.0 => "f-bad",
        rate if rate > 1.0 => "f-warn",
        _ => "f-ok",
    }
}

/// The largest two units of a span.
fn span(span_ms: u64) -> String {
    let rounded_ms = if span_ms < 1_000 { span_ms } else { span_ms / 1_000 * 1_000 };
    let text = humantime::format_duration(Duration::from_millis(rounded_ms)).to_string();
    let spaced = |part: &str| match part.find("day") {
        Some(at) => format!("{} {}", &part[..at], &part[at..]),
        None => part.to_owned(),
    };
    text.split(' ').take(2).map(spaced).collect::<Vec<_>>().join(" ")
}

fn round(value: f64, digits: u32) -> f64 {
    let scale = 10f64.powi(digits as i32);
    // Adding zero turns -0 into 0.
    (value * scale).round() / scale + 0.0
}

struct Escaped<'t>(&'t str);

impl Display for Escaped<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.chars().try_for_each(|c| match c {
            '&' => f.write_str("&amp;"),
            '<' => f.write_str("&lt;"),
            '>' => f.write_str("&gt;"),
            '"' => f.write_str("&quot;"),
            '\'' => f.write_str("&#39;"),
            c => f.write_char(c),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::burn::{ActionCount, LatencyMs};

    fn report() -> BurnReport {
        let item = BurnItem {
            service: "previews".to_owned(),
            profile: "store-preview".to_owned(),
            team: "<script>alert(1)</script>".to_owned(),
            slo_target: 0.999,
            slo_latency_ms: 150,
            budget_window_ms: 259_200_000,
            observed_ms: 86_400_000,
            good: 9_990,
            bad: 1,
            late: 6,
            refused: 3,
            budget_left_ratio: -0.25,
            burn_rates: vec![BurnRate { window_ms: 300_000, rate: 12.0, requests: 100 }],
            exhausted_in_ms: Some(0),
            alert: "fast".to_owned(),
            latency_ms: Some(LatencyMs { p50: 3.0, p99: 80.0, p999: 200.5, max: 900.0 }),
            causes: vec![BurnCause {
                kind: "interference".to_owned(),
                with: Some("master".to_owned()),
                requests: 6,
                actions: vec![ActionCount { action: "throttled".to_owned(), count: 2 }],
            }],
            points: vec![
                BurnPoint { age_ms: 0, span_ms: 300_000, good: 0, missed: 0 },
                BurnPoint { age_ms: 300_000, span_ms: 300_000, good: 99, missed: 1 },
            ],
        };
        BurnReport {
            as_of_unix_ms: 1_790_000_000_000,
            entry: "entry-a".to_owned(),
            cell: 0,
            entries: vec!["entry-a".to_owned()],
            missing: vec![MissingEntry { entry: "entry-b".to_owned(), reason: "no <answer> in time".to_owned() }],
            items: vec![item],
            untracked: 0,
        }
    }

    /// Guards against a page that runs scripts from names or needs other resources, which an operator's phone may not
    /// reach.
    #[test]
    fn the_page_is_self_contained_and_escaped() {
        let page = burn_page(&report());
        assert!(page.contains("&lt;script&gt;"));
        for forbidden in ["<script", "http://", "https://", "url(", "@import", "<link", "<img", "NaN", "inf\""] {
            assert!(!page.contains(forbidden), "{forbidden}");
        }
    }

    /// Guards against an item whose numbers are missing from the page, and an empty report that looks broken.
    #[test]
    fn the_page_shows_what_the_report_says() {
        let page = burn_page(&report());
        for shown in [
            "Entry entry-b is not counted, because it could not be asked: no &lt;answer&gt; in time",
            "previews",
            "fast burn",
            "-25% left",
            "used up",
            "10 missed",
            "interference (master)",
            "throttled 2",
            "200.5",
        ] {
            assert!(page.contains(shown), "{shown}");
        }
        assert!(burn_page(&BurnReport { items: Vec::new(), ..report() }).contains("No requests"));
    }
}
