//! The HTTP side of the log service.

use std::{io, net::SocketAddr, time::Duration};

use fescuelead_platform::log::http::{
    Appended, CLIENT_HEADER, FIRST_OFFSET_HEADER, TAIL_OFFSET_HEADER, encode_records,
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use tokio_util::sync::CancellationToken;

use crate::{
    log::{Failure, LogStandin},
    serve::{AnswerBody, Disconnect, collect, json, serve, text},
};

// Longer than any deadline that clients use in tests.
const CUT_OFF_HOLD: Duration = Duration::from_secs(600);

impl LogStandin {
    /// Serves the HTTP protocol on `address` until `token` is cancelled, and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr, token: CancellationToken) -> io::Result<SocketAddr> {
        let (gate, log) = (self.clone(), self.clone());
        let connected = move || if gate.faults().get().down { Err(Disconnect) } else { Ok(()) };
        serve(address, token, connected, move |request| {
            let log = log.clone();
            Box::pin(async move { log.handle(request).await })
        })
        .await
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, Disconnect> {
        let (head, body) = request.into_parts();
        let client = client_name(&head.headers);
        let Some(stream) = head.uri.path().strip_prefix("/streams/").filter(|name| !name.contains('/')) else {
            return Ok(text(StatusCode::NOT_FOUND, "there are only /streams/{stream}"));
        };
        let result = match head.method {
            Method::POST => match collect(body, self.shared.max_record_bytes).await {
                Ok(bytes) => {
                    let appended = self.serve_append(client.as_deref(), stream, bytes).await;
                    appended.map(|offset| json(&Appended { offset }))
                }
                Err(_) => Err(Failure::TooLarge),
            },
            Method::GET => match Query::parse(head.uri.query().unwrap_or_default()) {
                Some(Query { from, max_bytes, wait_ms }) => {
                    let page = self.serve_read(client.as_deref(), stream, (from, max_bytes, wait_ms)).await;
                    page.map(|page| {
                        let mut response = text(StatusCode::OK, encode_records(&page.records));
                        let headers = response.headers_mut();
                        headers.insert(FIRST_OFFSET_HEADER, HeaderValue::from(page.first_offset));
                        headers.insert(TAIL_OFFSET_HEADER, HeaderValue::from(page.tail_offset));
                        response
                    })
                }
                None => Ok(text(StatusCode::BAD_REQUEST, "the query must hold numbers: from, max_bytes, wait_ms")),
            },
            _ => Ok(text(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST")),
        };
        match result {
            Ok(response) => Ok(response),
            Err(Failure::RateExceeded) => Ok(text(StatusCode::TOO_MANY_REQUESTS, "too many appends")),
            Err(Failure::TooLarge) => Ok(text(StatusCode::PAYLOAD_TOO_LARGE, "the record is too large")),
            Err(Failure::Down | Failure::AnswerLost) => Err(Disconnect),
            Err(Failure::CutOff) => {
                tokio::time::sleep(CUT_OFF_HOLD).await;
                Err(Disconnect)
            }
        }
    }
}

fn client_name(headers: &HeaderMap) -> Option<String> {
    headers.get(CLIENT_HEADER).and_then(|name| name.to_str().ok()).map(ToOwned::to_owned)
}

struct Query {
    from: u64,
    max_bytes: usize,
    wait_ms: u64,
}

impl Query {
    fn parse(query: &str) -> Option<Self> {
        let mut parsed = Self { from: 0, max_bytes: 1024 * 1024, wait_ms: 0 };
        for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "from" => parsed.from = value.parse().ok()?,
                "max_bytes" => parsed.max_bytes = value.parse().ok()?,
                "wait_ms" => parsed.wait_ms = value.parse().ok()?,
                _ => {}
            }
        }
        Some(parsed)
    }
}
