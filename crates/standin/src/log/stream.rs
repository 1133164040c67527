//! The records of one stream, and the limit on the append rate.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use fescuelead_platform::log::{LogPage, LogRecord, http::FRAME_HEADER_BYTES};
use tokio::time::Instant;

use crate::log::Retention;

#[derive(Debug, Default)]
pub(super) struct Stream {
    records: VecDeque<(Instant, Bytes)>,
    first_offset: u64,
}

impl Stream {
    pub(super) fn push(&mut self, bytes: Bytes, now: Instant) -> u64 {
        self.records.push_back((now, bytes));
        self.tail_offset() - 1
    }

    pub(super) fn expire(&mut self, retention: Retention, now: Instant) {
        let expired = |stream: &Self| {
            let over_count = retention.count.is_some_and(|count| stream.records.len() > count);
            let oldest = stream.records.front().map(|(appended, _)| now.duration_since(*appended));
            let over_age = retention.age_ms.zip(oldest).is_some_and(|(limit, age)| age > Duration::from_millis(limit));
            over_count || over_age
        };
        while !self.records.is_empty() && expired(self) {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }

    /// The records from `from` on, or from the oldest one if that is later.
    pub(super) fn page(&self, from: u64, max_bytes: usize) -> LogPage {
        let skipped = usize::try_from(from.saturating_sub(self.first_offset)).unwrap_or(usize::MAX);
        let mut size = 0;
        let mut records = Vec::new();
        for (offset, (_, bytes)) in (self.first_offset..).zip(&self.records).skip(skipped) {
            size += bytes.len() + FRAME_HEADER_BYTES;
            if size > max_bytes && !records.is_empty() {
                break;
            }
            records.push(LogRecord { offset, bytes: bytes.clone() });
        }
        LogPage { records, first_offset: self.first_offset, tail_offset: self.tail_offset() }
    }

    fn tail_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}

/// A token bucket that holds the appends of one second.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    tokens: f64,
    refilled: Option<Instant>,
}

impl RateLimit {
    pub(super) fn admit(&mut self, per_s: u32, now: Instant) -> bool {
        let capacity = f64::from(per_s);
        self.tokens = match self.refilled {
            Some(before) => (self.tokens + now.duration_since(before).as_secs_f64() * capacity).min(capacity),
            None => capacity,
        };
        self.refilled = Some(now);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}
