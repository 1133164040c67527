/*!
The log service over HTTP/1.1.

| call | answer |
|---|---|
| `POST /streams/{stream}`, body = the record | 200, JSON `{"offset": 17}` |
| `GET /streams/{stream}?from=&max_bytes=&wait_ms=` | 200, headers `x-first-offset` and `x-tail-offset`, body = records in [frames](encode_records) |

A status from 400 to 499 says that the call had no effect; 429 asks for fewer appends. Any other status leaves the effect
open. The header `x-client` names the caller.
*/

use std::net::SocketAddr;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    http::{Answer, Call, HttpClient, HttpError, is_path_segment},
    log::{AppendError, LogError, LogPage, LogRecord, LogService},
};

/// The header with the oldest offset that is kept.
pub const FIRST_OFFSET_HEADER: &str = "x-first-offset";
/// The header with the offset of the next append.
pub const TAIL_OFFSET_HEADER: &str = "x-tail-offset";
/// The header that names the client.
pub const CLIENT_HEADER: &str = "x-client";
/// What a frame adds to the bytes of its record. It counts towards `max_bytes`.
pub const FRAME_HEADER_BYTES: usize = 12;

const MAX_APPEND_ANSWER_BYTES: usize = 4 * 1024;

/// The answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Where the record stands.
    pub offset: u64,
}

/// Encodes records as frames: the offset as u64, the length as u32, both big-endian, and the bytes.
pub fn encode_records(records: &[LogRecord]) -> Bytes {
    let length = records.iter().map(|record| FRAME_HEADER_BYTES + record.bytes.len()).sum();
    let mut out = BytesMut::with_capacity(length);
    for record in records {
        out.put_u64(record.offset);
        out.put_u32(u32::try_from(record.bytes.len()).unwrap_or(u32::MAX));
        out.put_slice(&record.bytes);
    }
    out.freeze()
}

/// Decodes [frames](encode_records). The records share the memory of `body`.
///
/// # Errors
///
/// Fails if a frame breaks off or the offsets do not grow.
pub fn decode_records(mut body: Bytes) -> Result<Vec<LogRecord>, LogError> {
    let mut records: Vec<LogRecord> = Vec::new();
    while !body.is_empty() {
        if body.len() < FRAME_HEADER_BYTES {
            return Err(LogError::new("a frame breaks off in its header"));
        }
        let offset = body.get_u64();
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err(LogError::new(format!("the frame of offset {offset} breaks off")));
        }
        if records.last().is_some_and(|last| last.offset >= offset) {
            return Err(LogError::new(format!("offset {offset} is out of order")));
        }
        records.push(LogRecord { offset, bytes: body.split_to(length) });
    }
    Ok(records)
}

/// Settings of an [`HttpLog`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpLogConfig {
    address: SocketAddr,
    client_name: Option<String>,
    connect_timeout_ms: u64,
    append_timeout_ms: u64,
    read_timeout_ms: u64,
    max_record_bytes: usize,
}

impl HttpLogConfig {
    /// A log service at `address` with 500 ms for a connect, 2 s for an append and for a read, and records of at most
    /// 1 MiB.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client_name: None,
            connect_timeout_ms: 500,
            append_timeout_ms: 2_000,
            read_timeout_ms: 2_000,
            max_record_bytes: 1024 * 1024,
        }
    }

    /// Names this client to the service.
    pub fn with_client_name(mut self, name: impl Into<String>) -> Self {
        self.client_name = Some(name.into());
        self
    }

    /// Sets the time for a connect.
    pub fn with_connect_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.connect_timeout_ms = timeout_ms;
        self
    }

    /// Sets the time for an append with its answer.
    pub fn with_append_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.append_timeout_ms = timeout_ms;
        self
    }

    /// Sets the time for a read, beyond the time that it waits for a record.
    pub fn with_read_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.read_timeout_ms = timeout_ms;
        self
    }

    /// Sets the largest record. Larger appends are refused without being sent.
    pub fn with_max_record_bytes(mut self, max_record_bytes: usize) -> Self {
        self.max_record_bytes = max_record_bytes;
        self
    }
}

/// A client of the log service. Cheap to clone.
#[derive(Debug, Clone)]
pub struct HttpLog {
    config: HttpLogConfig,
    client: HttpClient,
}

impl HttpLog {
    /// Makes a client. It connects with the first call.
    pub fn new(config: HttpLogConfig) -> Self {
        let client = HttpClient::new(config.address, config.connect_timeout_ms);
        Self { config, client }
    }

    fn call(&self, method: Method, path: String) -> Call {
        let call = Call::new(method, path);
        match &self.config.client_name {
            Some(name) => call.with_header(CLIENT_HEADER, name),
            None => call,
        }
    }
}

#[async_trait::async_trait]
impl LogService for HttpLog {
    async fn append(&self, stream: &str, bytes: Bytes) -> Result<u64, AppendError> {
        if !is_path_segment(stream) {
            return Err(AppendError::refused(format!("invalid stream name {stream:?}")));
        }
        if bytes.len() > self.config.max_record_bytes {
            let limit = self.config.max_record_bytes;
            return Err(AppendError::refused(format!("the record has {} bytes of at most {limit}", bytes.len())));
        }
        let call = self
            .call(Method::POST, format!("/streams/{stream}"))
            .with_body(bytes)
            .with_timeout_ms(self.config.append_timeout_ms)
            .with_max_answer_bytes(MAX_APPEND_ANSWER_BYTES);
        match self.client.send(call).await {
            Ok(answer) => appended(&answer),
            Err(HttpError::NotSent(message)) => Err(AppendError::refused(message)),
            Err(HttpError::AnswerLost(message)) => Err(AppendError::answer_lost(message)),
        }
    }

    async fn read(&self, stream: &str, from: u64, max_bytes: usize, wait_ms: u64) -> Result<LogPage, LogError> {
        if !is_path_segment(stream) {
            return Err(LogError::new(format!("invalid stream name {stream:?}")));
        }
        let path = format!("/streams/{stream}?from={from}&max_bytes={max_bytes}&wait_ms={wait_ms}");
        // One record may exceed `max_bytes`, because a read returns at least one.
        let max_answer_bytes = max_bytes.max(self.config.max_record_bytes).saturating_add(FRAME_HEADER_BYTES);
        let call = self
            .call(Method::GET, path)
            .with_timeout_ms(self.config.read_timeout_ms.saturating_add(wait_ms))
            .with_max_answer_bytes(max_answer_bytes);
        let answer = self.client.send(call).await.map_err(|error| LogError::new(error.to_string()))?;
        page(&answer, from)
    }
}

fn appended(answer: &Answer) -> Result<u64, AppendError> {
    if answer.status == StatusCode::OK {
        let appended: Result<Appended, _> = serde_json::from_slice(&answer.body);
        return appended
            .map(|appended| appended.offset)
            .map_err(|error| AppendError::answer_lost(format!("the answer holds no offset: {error}")));
    }
    if answer.status.is_client_error() {
        return Err(AppendError::refused(answer.message()));
    }
    Err(AppendError::answer_lost(answer.message()))
}

fn page(answer: &Answer, from: u64) -> Result<LogPage, LogError> {
    if answer.status != StatusCode::OK {
        return Err(LogError::new(answer.message()));
    }
    let first_offset = offset_header(answer, FIRST_OFFSET_HEADER)?;
    let tail_offset = offset_header(answer, TAIL_OFFSET_HEADER)?;
    let records = decode_records(answer.body.clone())?;
    let outside = |record: &LogRecord| record.offset < from || record.offset >= tail_offset;
    if let Some(record) = records.iter().find(|record| outside(record)) {
        return Err(LogError::new(format!("offset {} lies outside {from}..{tail_offset}", record.offset)));
    }
    Ok(LogPage { records, first_offset, tail_offset })
}

fn offset_header(answer: &Answer, name: &str) -> Result<u64, LogError> {
    let text = answer.headers.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).ok_or_else(|| LogError::new(format!("the answer has no header {name}")))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn records() -> Vec<LogRecord> {
        vec![LogRecord { offset: 7, bytes: Bytes::from_static(b"first") }, LogRecord { offset: 9, bytes: Bytes::new() }]
    }

    /// Guards against records that change on their way.
    #[test]
    fn frames_decode_to_what_was_encoded() {
        assert_eq!(decode_records(encode_records(&records())), Ok(records()));
    }

    /// Guards against a shortened page being taken for a whole one, and against reordered records.
    #[test]
    fn broken_frames_are_refused() {
        let whole = encode_records(&records());
        for length in 1..whole.len() {
            let at_frame_end = length == FRAME_HEADER_BYTES + 5;
            assert_eq!(decode_records(whole.slice(..length)).is_ok(), at_frame_end, "length {length}");
        }
        let reversed: Vec<LogRecord> = records().into_iter().rev().collect();
        assert!(decode_records(encode_records(&reversed)).is_err());
    }
}
