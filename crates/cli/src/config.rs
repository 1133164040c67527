//! Profile sets: `validate`, `publish`, `show`, `history`.

use std::io::Read;

use clap::ArgMatches;
use fescuelead_core::{cells::home_cell_change_message, profile::ProfileSet};
use fescuelead_wire::api::{
    ConfigChange, ConfigDocument, ConfigHistory, ConfigHistoryItem, PublishAnswer, PublishConflict, PublishRequest,
};
use serde_json::json;

use crate::{
    client::{Call, Client, failure_of},
    command::{Settings, text},
    failure::{Exit, Failure},
    render::{Table, output},
};

/// Checks a profile set. No entry is asked, unless it is to be compared with the configuration in force.
pub fn validate(settings: &Settings, args: &ArgMatches) -> Result<String, Failure> {
    report_valid(settings, &parse(&read_file(text(args, "file")?)?)?)
}

/// Checks a profile set, also against the home cells of the services in force and of those that were removed.
pub async fn validate_standing(client: &Client, settings: &Settings, args: &ArgMatches) -> Result<String, Failure> {
    let set = parse(&read_file(text(args, "file")?)?)?;
    let homes = read(client).await?.home_cells;
    let moved = set.services.iter().filter_map(|(name, service)| {
        let home = homes.get(name.as_str()).filter(|home| **home != service.cell)?;
        Some(home_cell_change_message(name.as_str(), *home, service.cell))
    });
    let moved: Vec<_> = moved.collect();
    if moved.is_empty() { report_valid(settings, &set) } else { Err(Failure::new(Exit::Failure, moved.join("\n"))) }
}

fn report_valid(settings: &Settings, set: &ProfileSet) -> Result<String, Failure> {
    let counts = json!({
        "valid": true,
        "teams": set.teams.len(),
        "profiles": set.profiles.len(),
        "services": set.services.len(),
    });
    output(settings, &counts, |_| {
        let (teams, profiles, services) = (set.teams.len(), set.profiles.len(), set.services.len());
        format!("The profile set is valid: {teams} teams, {profiles} profiles, {services} services.\n")
    })
}

/// Publishes a profile set against the version that the operator saw.
pub async fn publish(client: &Client, settings: &Settings, args: &ArgMatches) -> Result<String, Failure> {
    let text = read_file(text(args, "file")?)?;
    parse(&text)?;
    let expected = match args.get_one::<u64>("expect_version") {
        Some(version) => *version,
        None => read(client).await?.version,
    };
    let request = PublishRequest { text, author: settings.author.clone() };
    let call = Call::put_once("/v1/config").with_json(&request)?.with_if_match(expected);
    let answer = match client.send(call).await {
        Ok(answer) => answer,
        Err(failure) if failure.exit() == Exit::Unknown => return resolve(client, settings, expected, &request).await,
        Err(failure) => return Err(failure),
    };
    match answer.status() {
        200..=299 => output(settings, &answer.json::<PublishAnswer>()?, |published| {
            let rollout = &published.rollout;
            format!(
                "Version {} is published; in force in {} of {} processes of cell {}.\n",
                published.version, rollout.in_force, rollout.processes, rollout.cell
            )
        }),
        409 | 412 => Err(conflict(&answer.json()?)),
        _ => Err(failure_of(&answer)),
    }
}

/// Prints the configuration in force.
pub async fn show(client: &Client, settings: &Settings) -> Result<String, Failure> {
    let document = read(client).await?;
    output(settings, &document, |document| {
        let zones = if document.zones_out.is_empty() { "none".to_owned() } else { document.zones_out.join(", ") };
        format!("# version {}; availability zones out: {zones}\n{}", document.version, ended(&document.text))
    })
}

/// Lists accepted changes.
pub async fn history(client: &Client, settings: &Settings) -> Result<String, Failure> {
    let history: ConfigHistory = client.fetch(Call::get("/v1/config/history")).await?;
    output(settings, &history, |history| {
        let row = |item: &ConfigHistoryItem| {
            let mark = if item.version == history.version { "*" } else { "" };
            [format!("{}{mark}", item.version), item.author.clone(), change(&item.change)]
        };
        Table::new(["version", "author", "change"]).with_rows(&history.items, row).render()
    })
}

/// The configuration in force.
pub async fn read(client: &Client) -> Result<ConfigDocument, Failure> {
    client.fetch(Call::get("/v1/config")).await
}

/// The failure of a change that lost.
pub fn conflict(conflict: &PublishConflict) -> Failure {
    let author = conflict.standing_author.as_ref().map(|author| format!(" by {author}")).unwrap_or_default();
    let message = format!(
        "conflict: version {}{author} stands; nothing was changed. Look at it with `fescuelead show`, merge, and publish \
         again",
        conflict.standing_version
    );
    Failure::new(Exit::Conflict, message)
}

/// Finds out what became of a profile set after the answer was lost.
async fn resolve(
    client: &Client,
    settings: &Settings,
    expected: u64,
    request: &PublishRequest,
) -> Result<String, Failure> {
    let unknown = |why: &str| {
        let message = format!("it is unknown whether the profile set was published: {why}. See `fescuelead history`");
        Failure::new(Exit::Unknown, message)
    };
    let standing = read(client).await.map_err(|failure| unknown(failure.message()))?;
    if standing.version > expected && standing.text == request.text {
        return output(settings, &json!({ "version": standing.version }), |_| {
            format!("The answer was lost, but the profile set is in force in version {}.\n", standing.version)
        });
    }
    Err(unknown(&format!("the answer was lost, and version {} stands", standing.version)))
}

fn parse(text: &str) -> Result<ProfileSet, Failure> {
    ProfileSet::parse(text).map_err(|error| Failure::new(Exit::Failure, error.to_string()))
}

/// The text of a file, or of stdin if its name is `-`.
pub fn read_file(name: &str) -> Result<String, Failure> {
    let mut text = String::new();
    let read = if name == "-" {
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(name)
    };
    read.map_err(|error| Failure::new(Exit::Failure, format!("cannot read {name}: {error}")))
}

fn change(change: &ConfigChange) -> String {
    match change {
        ConfigChange::Profiles => "profile set".to_owned(),
        ConfigChange::Zone { availability_zone, out: true } => format!("availability zone {availability_zone} out"),
        ConfigChange::Zone { availability_zone, out: false } => format!("availability zone {availability_zone} in"),
    }
}

fn ended(text: &str) -> String {
    if text.is_empty() || text.ends_with('\n') { text.to_owned() } else { format!("{text}\n") }
}
