//! Profile sets: the cases under `testdata/profiles` and the ready sets under `examples/profiles`.

use std::{fs, path::PathBuf};

use fescuelead_core::profile::{Kind, ProfileSet};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Cases {
    case: Vec<Case>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    /// The failure that the case guards against.
    guards: String,
    text: String,
    /// The fields that the faults must name, in order.
    #[serde(default)]
    fields: Vec<String>,
    /// What the message of a text without a readable form must hold.
    message: Option<String>,
}

impl Case {
    fn check(&self) -> Result<(), String> {
        let error = match ProfileSet::parse(&self.text) {
            Ok(_) if self.fields.is_empty() && self.message.is_none() => return Ok(()),
            Ok(_) => return Err("it was accepted".to_owned()),
            Err(error) => error,
        };
        let fields: Vec<_> = error.faults().iter().map(|fault| fault.field.as_str()).collect();
        let as_expected = match &self.message {
            Some(message) => fields.is_empty() && error.to_string().contains(message),
            None => !fields.is_empty() && fields == self.fields,
        };
        if as_expected { Ok(()) } else { Err(error.to_string()) }
    }
}

fn texts(folder: &str) -> Vec<(PathBuf, String)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").join(folder);
    let entries = fs::read_dir(folder).expect("the folder exists");
    let mut paths: Vec<_> = entries.map(|entry| entry.expect("readable").path()).collect();
    paths.sort();
    paths.into_iter().map(|path| (path.clone(), fs::read_to_string(path).expect("readable"))).collect()
}

/// Guards against faults that are missed, blamed on the wrong field or reported one at a time.
#[test]
fn every_case_ends_as_it_says() {
    let mut wrong = Vec::new();
    for (path, text) in texts("testdata/profiles") {
        let cases: Cases = toml::from_str(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        for case in cases.case {
            if let Err(why) = case.check() {
                wrong.push(format!("{} (guards against {}): {why}", case.name, case.guards));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against ready sets that no longer parse, or that treat non-idempotent work as harmless to repeat.
#[test]
fn the_ready_sets_are_valid_and_keep_non_idempotent_work_apart() {
    let parse = |(path, text): (PathBuf, String)| {
        ProfileSet::parse(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
    };
    let sets: Vec<_> = texts("examples/profiles").into_iter().map(parse).collect();
    assert_eq!(sets.len(), 2);
    for set in &sets {
        let has = |kind| set.profiles.values().any(|profile| profile.kind == kind);
        assert!([Kind::LatencyCritical, Kind::Batch, Kind::LongRunning].into_iter().all(has));
    }
    for name in ["takedown", "structural-review"] {
        let profile = sets.iter().find_map(|set| set.profile(name)).expect("in one of the sets");
        assert!(!profile.idempotent, "{name}");
    }
}
