//! Why a message was refused.

use std::fmt;

use fescuelead_core::ids::IdError;

/// Says why a message cannot be used.
#[derive(Debug, Clone)]
pub struct MessageError {
    kind: MessageErrorKind,
}

#[derive(Debug, Clone)]
enum MessageErrorKind {
    Encoding { message: String },
    Id { source: IdError },
    Address { text: String },
    TooMany { length: u32 },
    Range { field: &'static str },
}

impl MessageError {
    pub(super) fn address(text: &str) -> Self {
        Self { kind: MessageErrorKind::Address { text: text.to_owned() } }
    }

    pub(super) fn too_many(length: u32) -> Self {
        Self { kind: MessageErrorKind::TooMany { length } }
    }

    pub(super) fn range(field: &'static str) -> Self {
        Self { kind: MessageErrorKind::Range { field } }
    }
}

impl From<capnp::Error> for MessageError {
    fn from(error: capnp::Error) -> Self {
        Self { kind: MessageErrorKind::Encoding { message: error.to_string() } }
    }
}

impl From<std::str::Utf8Error> for MessageError {
    fn from(error: std::str::Utf8Error) -> Self {
        Self { kind: MessageErrorKind::Encoding { message: error.to_string() } }
    }
}

impl From<capnp::NotInSchema> for MessageError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self { kind: MessageErrorKind::Encoding { message: error.to_string() } }
    }
}

impl From<IdError> for MessageError {
    fn from(source: IdError) -> Self {
        Self { kind: MessageErrorKind::Id { source } }
    }
}

impl From<MessageError> for capnp::Error {
    fn from(error: MessageError) -> Self {
        Self::failed(error.to_string())
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            MessageErrorKind::Encoding { message } => {
                write!(f, "the message cannot be read ({message}); run the same version on both sides")
            }
            MessageErrorKind::Id { source } => write!(f, "the message holds a bad identifier: {source}"),
            MessageErrorKind::Address { text } => write!(f, "{text:?} is no address; use ip:port"),
            MessageErrorKind::TooMany { length } => {
                write!(f, "a list of {length} elements is too long; send at most {} at once", super::MAX_LIST_LENGTH)
            }
            MessageErrorKind::Range { field } => write!(f, "{field} is out of range; check the sender"),
        }
    }
}

impl std::error::Error for MessageError {}
