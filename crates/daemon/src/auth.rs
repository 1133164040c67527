/*!
Shared keys between processes, and the tokens of operators.

An agent proves that it has the key by signing a nonce of the entry and its hello with HMAC-SHA-256. Keys are rotated
without a stop: every process is first given the new key behind the old one, then in front of it, then alone. A session
that was attached under a key lasts when the key is dropped.
*/

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

const LEAST_KEY_BYTES: usize = 16;
const LEAST_TOKEN_CHARACTERS: usize = 16;

/// The keys of a process; the first signs, all are accepted.
#[derive(Clone)]
pub struct PeerKeys {
    keys: Vec<PeerKey>,
}

#[derive(Clone)]
struct PeerKey {
    id: String,
    secret: Vec<u8>,
}

/// A signature and the key that made it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Signature {
    /// The id of the key.
    pub key_id: String,
    /// The HMAC.
    pub mac: Vec<u8>,
}

impl PeerKeys {
    /// Reads `id:hex,id:hex`.
    ///
    /// # Errors
    ///
    /// Fails if there is no key, or one is malformed or shorter than 16 bytes.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let keys = text.split(',').map(parse_key).collect::<Result<Vec<_>, _>>()?;
        Ok(Self { keys })
    }

    /// Signs a nonce and a text with the first key.
    pub fn sign(&self, nonce: &[u8], text: &str) -> Signature {
        let key = &self.keys[0];
        let mac = hmac(&key.secret, nonce, text).finalize().into_bytes().to_vec();
        Signature { key_id: key.id.clone(), mac }
    }

    /// Whether one of the keys made the signature. Takes the same time for every wrong one.
    pub fn accepts(&self, nonce: &[u8], text: &str, signature: &Signature) -> bool {
        let known = self.keys.iter().find(|key| key.id == signature.key_id);
        known.is_some_and(|key| hmac(&key.secret, nonce, text).verify_slice(&signature.mac).is_ok())
    }
}

impl fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.keys.iter().map(|key| &key.id)).finish()
    }
}

/// The tokens that operators may present. Each is accepted, so that one can be replaced without locking anybody out.
#[derive(Clone)]
pub struct OperatorTokens {
    tokens: Vec<String>,
}

impl OperatorTokens {
    /// Reads `token,token`.
    ///
    /// # Errors
    ///
    /// Fails if a token is too short, or holds characters that no HTTP header can carry.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let tokens = text.split(',').map(parse_token).collect::<Result<Vec<_>, _>>()?;
        Ok(Self { tokens })
    }

    /// Whether `token` is one of them. The time does not depend on where it differs from one.
    pub fn accept(&self, token: &str) -> bool {
        let same = |known: &String| bool::from(known.as_bytes().ct_eq(token.as_bytes()));
        self.tokens.iter().fold(false, |accepted, known| accepted | same(known))
    }
}

impl fmt::Debug for OperatorTokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} operator tokens", self.tokens.len())
    }
}

fn parse_token(text: &str) -> Result<String, KeyError> {
    let token = text.trim();
    if token.len() < LEAST_TOKEN_CHARACTERS {
        return Err(KeyError { remedy: "use at least 16 characters for each token" });
    }
    if !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(KeyError { remedy: "use printable ASCII characters without spaces, on one line" });
    }
    Ok(token.to_owned())
}

fn hmac(secret: &[u8], nonce: &[u8], text: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes keys of any length");
    mac.update(nonce);
    mac.update(text.as_bytes());
    mac
}

fn parse_key(text: &str) -> Result<PeerKey, KeyError> {
    let (id, digits) = text.trim().split_once(':').ok_or(KeyError { remedy: "write each key as id:hex" })?;
    let secret =
        hex::decode(digits).map_err(|_| KeyError { remedy: "use an even number of hex digits for the key" })?;
    if id.is_empty() || secret.len() < LEAST_KEY_BYTES {
        return Err(KeyError { remedy: "give each key an id and at least 16 bytes (32 hex digits)" });
    }
    Ok(PeerKey { id: id.to_owned(), secret })
}

/// Says what is wrong with the keys, without showing them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyError {
    remedy: &'static str,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.remedy)
    }
}

impl std::error::Error for KeyError {}

#[cfg(test)]
mod tests {
    use super::*;

    const OLD: &str = "old:000102030405060708090a0b0c0d0e0f";
    const NEW: &str = "new:0f0e0d0c0b0a09080706050403020100";

    fn keys(text: &str) -> PeerKeys {
        PeerKeys::parse(text).expect("valid keys")
    }

    /// Guards against a rotation that locks processes out of each other.
    #[test]
    fn both_keys_are_accepted_while_they_are_rotated() {
        let (before, between) = (keys(OLD), keys(&format!("{NEW},{OLD}")));
        assert!(between.accepts(b"nonce", "hello", &before.sign(b"nonce", "hello")));
        assert!(!before.accepts(b"nonce", "hello", &between.sign(b"nonce", "hello")));
    }

    /// Guards against a signature that is used again with another nonce or hello.
    #[test]
    fn a_signature_holds_for_one_nonce_and_text() {
        let keys = keys(OLD);
        let signature = keys.sign(b"nonce", "hello");
        assert!(!keys.accepts(b"other", "hello", &signature));
        assert!(!keys.accepts(b"nonce", "other", &signature));
    }

    /// Guards against a rotation that locks operators out, and against a part of the list that is taken for a token.
    #[test]
    fn both_tokens_are_accepted_while_they_are_rotated() {
        let list = "the-first-operator-token, the-second-operator-token";
        let tokens = OperatorTokens::parse(list).expect("valid tokens");
        assert!(tokens.accept("the-first-operator-token") && tokens.accept("the-second-operator-token"));
        assert!(!tokens.accept(list) && !tokens.accept("") && !tokens.accept("the-first"));
        assert!(OperatorTokens::parse("the-first-operator-token,").is_err());
    }

    /// Guards against secrets in logs.
    #[test]
    fn secrets_are_not_printed() {
        assert_eq!(format!("{:?}", keys(OLD)), "[\"old\"]");
        let tokens = OperatorTokens::parse("the-first-operator-token").expect("a valid token");
        assert_eq!(format!("{tokens:?}"), "1 operator tokens");
    }
}
