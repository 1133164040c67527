//! `explain`.

use clap::ArgMatches;
use fescuelead_wire::api::{ExplainKind, Explanation, Sentence};

use crate::{
    client::{Call, Client},
    command::{Settings, text},
    failure::Failure,
    render::{output, printable, time},
};

/// Shows what was decided about a task, service, worker or availability zone.
pub async fn run(client: &Client, settings: &Settings, args: &ArgMatches) -> Result<String, Failure> {
    let kind = ExplainKind::from_word(text(args, "kind")?).ok_or_else(|| Failure::usage("say what to explain"))?;
    let id = text(args, "id")?;
    kind.subject(id)?;
    let explanation: Explanation = client.fetch(Call::get(format!("/v1/explain/{}/{id}", kind.as_str()))).await?;
    output(settings, &explanation, describe)
}

fn describe(explanation: &Explanation) -> String {
    let dropped = match explanation.dropped {
        0 => String::new(),
        dropped => format!("({dropped} earlier decisions are no longer kept)\n"),
    };
    let line = |sentence: &Sentence| {
        let mark = if sentence.attention { "!" } else { " " };
        format!("{} {mark} {}\n", time(sentence.at_unix_ms), printable(&sentence.text))
    };
    let lines: String = explanation.sentences.iter().map(line).collect();
    if lines.is_empty() {
        let kind = explanation.kind.as_str();
        return format!("Nothing is known of {kind} {}; another entry may know more.\n", printable(&explanation.id));
    }
    format!("{dropped}{lines}")
}
