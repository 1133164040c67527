//! Plays one case of the review: `review-standins-3 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. `TROUBLE=0` leaves out the disruption.

mod closed;
mod crashes;
mod executor;
mod http;
mod ids;
mod json;
mod record;
mod site;
mod stale;
mod store;

use std::process::ExitCode;

/// What a case has shown.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match record::Record::create(&path) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{path} cannot be written: {e}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "crashes" => crashes::play(&record, trouble, false),
        "closed" => closed::play(&record, trouble),
        "ids" => ids::play(&record, trouble),
        "stale" => stale::play(&record, trouble),
        "lasting" => crashes::play(&record, trouble, true),
        _ => Err(format!("there is no case {case}")),
    };
    let (text, code) = match verdict {
        Ok(Verdict::Held(text)) => (format!("the rule held: {text}"), 0),
        Ok(Verdict::Broken(text)) => (format!("the rule was broken: {text}"), 1),
        Err(text) => (format!("the case could not run: {text}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
