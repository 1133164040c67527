//! Tests of profile sets: the cases in `testdata/profiles`, and the examples in `examples/profiles`.

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
    /// The fields with invalid values, in the order of the error.
    #[serde(default)]
    fields: Vec<String>,
    /// A part of the error message, for a text that cannot be parsed.
    message: Option<String>,
}

impl Case {
    fn check(&self) -> Result<(), String> {
        let error = match ProfileSet::parse(&self.text) {
            Ok(_) if self.fields.is_empty() && self.message.is_none() => return Ok(()),
            Ok(_) => return Err("the set was accepted".to_owned()),
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

/// Guards against invalid values that are accepted, attributed to the wrong field, or reported one at a time.
#[test]
fn every_case_has_the_expected_result() {
    let mut failures = Vec::new();
    for (path, text) in texts("testdata/profiles") {
        let cases: Cases = toml::from_str(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        for case in cases.case {
            if let Err(error) = case.check() {
                failures.push(format!("{} (guards against {}): {error}", case.name, case.guards));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against example sets that no longer parse, or that mark non-idempotent work as idempotent.
#[test]
fn the_example_sets_are_valid_and_mark_non_idempotent_work() {
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
