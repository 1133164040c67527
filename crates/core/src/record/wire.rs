//! Encoding of a batch: one version byte, then postcard.
//!
//! Identifiers are validated while decoding, so a malformed record is rejected here and never changes any state.

use serde::{Deserialize, Serialize};

use crate::{
    ids::EntryId,
    record::{Batch, MAX_BATCH_BYTES, Record, RecordError, RecordErrorKind},
};

const FORMAT_VERSION: u8 = 1;

/// The encoded form of a batch, with borrowed fields.
#[derive(Serialize)]
struct BatchRef<'b> {
    writer: &'b str,
    incarnation: u64,
    sequence: u64,
    records: &'b [Record],
}

/// A decoded batch whose writer is not validated yet.
#[derive(Deserialize)]
struct RawBatch {
    writer: String,
    incarnation: u64,
    sequence: u64,
    records: Vec<Record>,
}

impl<'b> From<&'b Batch> for BatchRef<'b> {
    fn from(batch: &'b Batch) -> Self {
        Self {
            writer: batch.writer.as_str(),
            incarnation: batch.incarnation,
            sequence: batch.sequence,
            records: &batch.records,
        }
    }
}

impl TryFrom<RawBatch> for Batch {
    type Error = RecordError;

    fn try_from(raw: RawBatch) -> Result<Self, RecordError> {
        let writer = EntryId::new(raw.writer).map_err(|e| malformed(&e))?;
        Ok(Self { writer, incarnation: raw.incarnation, sequence: raw.sequence, records: raw.records })
    }
}

pub(super) fn encode(batch: &Batch) -> Result<Vec<u8>, RecordError> {
    let header = vec![FORMAT_VERSION];
    let bytes = postcard::to_extend(&BatchRef::from(batch), header).map_err(|e| malformed(&e))?;
    if bytes.len() > MAX_BATCH_BYTES {
        return Err(RecordError::new(RecordErrorKind::TooLarge { length_bytes: bytes.len() }));
    }
    Ok(bytes)
}

pub(super) fn decode(bytes: &[u8]) -> Result<Batch, RecordError> {
    match bytes.split_first() {
        Some((&FORMAT_VERSION, body)) if bytes.len() <= MAX_BATCH_BYTES => {
            let (raw, rest) = postcard::take_from_bytes::<RawBatch>(body).map_err(|e| malformed(&e))?;
            if rest.is_empty() { raw.try_into() } else { Err(malformed(&"trailing bytes")) }
        }
        Some((&version, _)) if version > FORMAT_VERSION => {
            Err(RecordError::new(RecordErrorKind::NewerVersion { version }))
        }
        Some(_) => Err(malformed(&"unknown format or too long")),
        None => Err(malformed(&"empty")),
    }
}

fn malformed(cause: &dyn std::fmt::Display) -> RecordError {
    RecordError::new(RecordErrorKind::Malformed { message: cause.to_string() })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{ids::TaskId, testing};

    fn batch() -> Batch {
        let task = TaskId::new("c0-a").expect("valid id");
        let writer = EntryId::new("entry-a").expect("valid id");
        Batch::new(writer, 7, 1).with_record(Record::TaskSubmitted { task, spec: testing::task_spec() })
    }

    /// Guards against a field that is lost in encoding or decoding.
    #[test]
    fn a_batch_survives_the_round_trip() {
        let bytes = batch().encode().expect("encodes");
        assert_eq!(Batch::decode(&bytes), Ok(batch()));
    }

    /// Damaged appends and those of a newer version yield errors, so that readers can skip them instead of stopping.
    #[test]
    fn damaged_and_newer_appends_are_rejected() {
        let mut bytes = batch().encode().expect("encodes");
        bytes.pop();
        assert!(!Batch::decode(&bytes).expect_err("truncated").is_newer_version());
        bytes[0] = FORMAT_VERSION + 1;
        assert!(Batch::decode(&bytes).expect_err("newer").is_newer_version());
        assert!(Batch::decode(&[]).is_err());
    }
}
