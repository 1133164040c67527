use super::*;
use crate::auth::{KeyError, OperatorTokens, PeerKeys};

const OLD: &str = "old:000102030405060708090a0b0c0d0e0f";
const NEW: &str = "new:0f0e0d0c0b0a09080706050403020100";

/// A secret that is read from a file.
fn from_file<T: 'static>(
    path: &Path,
    parse: fn(&str) -> Result<T, KeyError>,
    fallback: Option<T>,
) -> Result<Reloadable<T>, FileError> {
    let parse = move |[text]: [&str; 1]| parse(text).map_err(|error| FileError::wrong("keys-file", &error));
    Reloadable::from_files([("keys-file", path)], parse, fallback)
}

/// A file that is removed when this is dropped.
struct TestFile(PathBuf);

impl TestFile {
    fn new(name: &str, text: &str) -> Self {
        let file = Self(std::env::temp_dir().join(format!("fescuelead-{}-{name}", std::process::id())));
        file.write(text);
        file
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("the temporary folder is writable");
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        // A test may have removed it.
        drop(std::fs::remove_file(&self.0));
    }
}

/// Guards against a rotation that locks processes out of each other, and against an old key that stays accepted.
#[test]
fn old_and_new_keys_are_in_force_in_turn() {
    let file = TestFile::new("rotation", OLD);
    let keys = from_file(&file.0, PeerKeys::parse, None).expect("a good file");
    let mut watch = keys.source.as_ref().expect("named").watch();
    let (old, new) = [OLD, NEW].map(|text| PeerKeys::parse(text).expect("valid")).into();
    let accepted = |by: &PeerKeys| keys.get().accepts(b"nonce", "hello", &by.sign(b"nonce", "hello"));
    let signs = |id: &str| keys.get().sign(b"nonce", "hello").key_id == id;
    assert!(accepted(&old) && !accepted(&new) && signs("old"));
    file.write(&format!("{NEW},{OLD}\n"));
    keys.check(&mut watch);
    assert!(accepted(&old) && accepted(&new) && signs("new"));
    file.write(NEW);
    keys.check(&mut watch);
    assert!(!accepted(&old) && accepted(&new) && signs("new"));
}

/// Guards against an operator's mistake in the file that locks everybody out, or that needs a restart afterwards.
#[test]
fn a_file_that_is_wrong_or_missing_changes_nothing() {
    let file = TestFile::new("mistake", "the-first-operator-token\n");
    let token = from_file(&file.0, OperatorTokens::parse, None).expect("a good file");
    let mut watch = token.source.as_ref().expect("named").watch();
    for wrong in [
        "",
        "short",
        "two tokens on one line of text",
        "the-first-operator-token,short",
        "\u{fffd} is no ASCII, but is long enough",
    ] {
        file.write(wrong);
        token.check(&mut watch);
        assert!(watch.failed, "{wrong:?}");
        assert!(token.get().accept("the-first-operator-token"));
    }
    std::fs::remove_file(&file.0).expect("it exists");
    token.check(&mut watch);
    assert!(token.get().accept("the-first-operator-token"));
    file.write("the-second-operator-token");
    token.check(&mut watch);
    assert!(token.get().accept("the-second-operator-token") && !token.get().accept("the-first-operator-token"));
}

/// Guards against a process that starts without a secret, or does not start although the flag gives one.
#[test]
fn the_flag_is_in_force_while_the_file_cannot_be_read() {
    let nowhere = Path::new("/nonexistent/fescuelead-keys");
    assert!(from_file(nowhere, PeerKeys::parse, None).is_err());
    let fallback = PeerKeys::parse(OLD).ok();
    let keys = from_file(nowhere, PeerKeys::parse, fallback).expect("the flag gives keys");
    assert_eq!(format!("{:?}", keys.get()), "[\"old\"]");
}
