/*!
Fields that a later version adds at the end of a message or record.

The postcard format does not mark fields, and a decoder ignores bytes after the last field that it knows. A field that is
added at the very end can therefore be read by both versions: an earlier one ignores it, and a later one takes its default
if it is missing.
*/

use serde::{Deserialize, Deserializer};

/// Deserializes the last field of a message, and takes the default if the message ends before it. For use with
/// `#[serde(deserialize_with)]`.
///
/// # Errors
///
/// Never fails: a malformed field also gives the default.
pub fn or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(deserializer: D) -> Result<T, D::Error> {
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
