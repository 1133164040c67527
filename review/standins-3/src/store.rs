//! A stand-in of the platform's store, as PROTOCOL.md describes it: a log with keyed topics. It keeps all records.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Request, Response};

/// The time that an append takes, in milliseconds.
const APPEND_MS: u64 = 2;
/// Appends of a producer of which a repeat gets the first response again.
const REMEMBERED_APPENDS: usize = 5;
/// Records in a page of the newest ones.
const PAGE_ITEMS: usize = 500;

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: u64,
    answers: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Partition {
    /// The content of each record after its length.
    records: Vec<Vec<u8>>,
    /// The newest value of each key with its offset.
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
    producers: BTreeMap<String, Producer>,
}

impl Partition {
    fn append(&mut self, records: Vec<Vec<u8>>) -> String {
        let offset = self.records.len();
        for content in records {
            let at = self.records.len() as u64;
            if let Some((&key_length, rest)) = content.split_first()
                && let Some((key, value)) = rest.split_at_checked(key_length as usize)
            {
                if value.is_empty() {
                    self.newest.remove(key);
                } else {
                    self.newest.insert(key.to_vec(), (value.to_vec(), at));
                }
            }
            self.records.push(content);
        }
        format!("{{\"offset\":{offset},\"end_offset\":{}}}", self.records.len())
    }
}

/// The store.
#[derive(Default)]
pub struct Store {
    partitions: Mutex<BTreeMap<(String, u64), Partition>>,
    appended: Condvar,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(char::from(DIGITS[(n >> (18 - 6 * digit) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Writes a record of the operator.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let mut partitions = self.partitions.lock().unwrap();
        partitions.entry((topic.to_owned(), 0)).or_default().append(vec![content]);
        self.appended.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Option<Response> {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let key = (topic, request.number("part").unwrap_or(0));
        match request.path.as_str() {
            "/fescuelead/log-append" => Some(self.append(key, request)),
            "/fescuelead/log-read" => Some(self.read(key, request)),
            "/fescuelead/log-newest" => Some(self.newest(key, request)),
            _ => Some(Response::new(404, "{}")),
        }
    }

    fn append(&self, key: (String, u64), request: &Request) -> Response {
        thread::sleep(Duration::from_millis(APPEND_MS));
        let (mut records, mut body) = (Vec::new(), request.body.as_slice());
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let Some((content, rest)) = rest.split_at_checked(u32::from_be_bytes(*length) as usize) else {
                return Response::new(400, "{}");
            };
            records.push(content.to_vec());
            body = rest;
        }
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(key).or_default();
        let Some(name) = request.query.get("producer") else {
            let answer = partition.append(records);
            self.appended.notify_all();
            return Response::new(200, answer);
        };
        let (epoch, sequence) = (request.number("epoch").unwrap_or(0), request.number("sequence").unwrap_or(0));
        let producer = partition.producers.entry(name.clone()).or_default();
        if epoch < producer.epoch {
            return Response::new(409, "{\"reason\":\"fenced\"}");
        }
        if epoch == producer.epoch {
            if let Some((_, answer)) = producer.answers.iter().find(|(known, _)| *known == sequence) {
                return Response::new(200, answer.clone());
            }
            if sequence != producer.sequence + 1 {
                let expected = producer.sequence + 1;
                return Response::new(409, format!("{{\"reason\":\"seq\",\"sequence\":{expected}}}"));
            }
        }
        if epoch > producer.epoch {
            producer.answers.clear();
        }
        (producer.epoch, producer.sequence) = (epoch, sequence);
        let answer = partition.append(records);
        if let Some(producer) = partition.producers.get_mut(name) {
            producer.answers.push_back((sequence, answer.clone()));
            if producer.answers.len() > REMEMBERED_APPENDS {
                producer.answers.pop_front();
            }
        }
        self.appended.notify_all();
        Response::new(200, answer)
    }

    fn read(&self, key: (String, u64), request: &Request) -> Response {
        let from = request.number("from_rev").unwrap_or(0) as usize;
        let max_bytes = request.number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let mut partitions = self.partitions.lock().unwrap();
        loop {
            let records = &partitions.entry(key.clone()).or_default().records;
            let now = Instant::now();
            if records.len() > from || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() + record.len() > max_bytes && body.len() > 16 {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Response::new(200, body);
            }
            partitions = self.appended.wait_timeout(partitions, until - now).unwrap().0;
        }
    }

    fn newest(&self, key: (String, u64), request: &Request) -> Response {
        let after = request.query.get("depends_on").map(|key| key.as_bytes().to_vec());
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry(key).or_default();
        let rest: Vec<_> = partition.newest.iter().filter(|(key, _)| after.as_ref().is_none_or(|a| *key > a)).collect();
        let items: Vec<_> = rest
            .iter()
            .take(PAGE_ITEMS)
            .map(|(key, (value, offset))| {
                let key = crate::json::quoted(&String::from_utf8_lossy(key));
                format!("{{\"key\":{key},\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let has_more = rest.len() > PAGE_ITEMS;
        let end = partition.records.len();
        Response::new(200, format!("{{\"items\":[{}],\"has_more\":{has_more},\"end_offset\":{end}}}", items.join(",")))
    }
}
