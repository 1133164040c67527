/*!
Fault switches and counts over HTTP, for stand-ins that run in a process of their own.

| call | what |
|---|---|
| `POST /faults`, `POST /faults/{index}` | sets the fields of the JSON body in the faults of all stand-ins or of one, and leaves the others as they are |
| `DELETE /faults`, `DELETE /faults/{index}` | ends the faults |
| `POST /actions/{index}/crash` | lets the host of a worker die |
| `POST /actions/{index}/leave` | lets an endpoint leave |
| `GET /counts` | names, faults and counts of all stand-ins, and what the [ledger](crate::ledger) holds |

The fields are those of [`LogFaults`](crate::log::LogFaults), [`WorkerFaults`](crate::worker::WorkerFaults) and
[`EndpointFaults`](crate::endpoint::EndpointFaults), for example `{"down": true}` or `{"lose_answers": 3}`.
*/

use std::{io, net::SocketAddr, sync::Arc};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value, json};
use tokio_util::sync::CancellationToken;

use crate::{
    endpoint::EndpointStandin,
    faults::FaultSwitch,
    ledger::Ledger,
    log::LogStandin,
    serve::{AnswerBody, collect_json, json as json_answer, serve, text},
    worker::WorkerStandin,
};

const MAX_CALL_BYTES: usize = 64 * 1024;

/// What can be done to any stand-in.
trait Controlled: Send + Sync {
    fn describe(&self) -> Value;
    fn merge(&self, fields: &Map<String, Value>) -> Result<(), String>;
    fn clear(&self);
    fn act(&self, _action: &str) -> bool {
        false
    }
}

impl Controlled for LogStandin {
    fn describe(&self) -> Value {
        json!({ "kind": "log", "faults": self.faults().get(), "counts": self.counts() })
    }

    fn merge(&self, fields: &Map<String, Value>) -> Result<(), String> {
        merge(&self.faults(), fields)
    }

    fn clear(&self) {
        self.faults().clear();
    }
}

impl Controlled for WorkerStandin {
    fn describe(&self) -> Value {
        json!({ "kind": "worker", "faults": self.faults().get(), "counts": self.counts() })
    }

    fn merge(&self, fields: &Map<String, Value>) -> Result<(), String> {
        merge(&self.faults(), fields)
    }

    fn clear(&self) {
        self.faults().clear();
    }

    fn act(&self, action: &str) -> bool {
        let known = action == "crash";
        if known {
            self.crash();
        }
        known
    }
}

impl Controlled for EndpointStandin {
    fn describe(&self) -> Value {
        json!({ "kind": "endpoint", "faults": self.faults().get(), "counts": self.counts() })
    }

    fn merge(&self, fields: &Map<String, Value>) -> Result<(), String> {
        merge(&self.faults(), fields)
    }

    fn clear(&self) {
        self.faults().clear();
    }

    fn act(&self, action: &str) -> bool {
        let known = action == "leave";
        if known {
            self.leave();
        }
        known
    }
}

fn merge<T>(switch: &FaultSwitch<T>, fields: &Map<String, Value>) -> Result<(), String>
where
    T: Clone + Default + Serialize + DeserializeOwned,
{
    let mut result = Ok(());
    switch.update(|faults| {
        result = serde_json::to_value(&*faults)
            .and_then(|mut value| {
                if let Value::Object(current) = &mut value {
                    current.extend(fields.clone());
                }
                serde_json::from_value(value)
            })
            .map(|merged| *faults = merged)
            .map_err(|error| error.to_string());
    });
    result
}

/// The stand-ins that one control listener serves, in the order of their indices.
#[derive(Default)]
pub struct Control {
    standins: Vec<Box<dyn Controlled>>,
    ledger: Option<Ledger>,
}

impl Control {
    /// Controls nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a log service.
    pub fn with_log(mut self, log: &LogStandin) -> Self {
        self.standins.push(Box::new(log.clone()));
        self
    }

    /// Adds a worker and shows its ledger.
    pub fn with_worker(mut self, worker: &WorkerStandin) -> Self {
        self.ledger = Some(worker.ledger());
        self.standins.push(Box::new(worker.clone()));
        self
    }

    /// Adds an endpoint.
    pub fn with_endpoint(mut self, endpoint: &EndpointStandin) -> Self {
        self.standins.push(Box::new(endpoint.clone()));
        self
    }

    /// Serves the calls on `address` until `token` is cancelled, and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve(self, address: SocketAddr, token: CancellationToken) -> io::Result<SocketAddr> {
        let control = Arc::new(self);
        serve(
            address,
            token,
            || Ok(()),
            move |request| {
                let control = control.clone();
                Box::pin(async move { Ok(control.handle(request).await) })
            },
        )
        .await
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (head.method, segments.as_slice()) {
            (Method::GET, ["counts"]) => json_answer(&self.describe()),
            (Method::POST, ["faults", index @ ..]) => match collect_json(body, MAX_CALL_BYTES).await {
                Ok(fields) => self.on_each(index, |standin| standin.merge(&fields)),
                Err(status) => text(status, "the body must be a JSON object"),
            },
            (Method::DELETE, ["faults", index @ ..]) => self.on_each(index, |standin| {
                standin.clear();
                Ok(())
            }),
            (Method::POST, ["actions", index, action]) => self.on_each(&[index], |standin| {
                if standin.act(action) { Ok(()) } else { Err(format!("unknown action {action:?}")) }
            }),
            _ => text(StatusCode::NOT_FOUND, "see the documentation of fescuelead-standin's module control"),
        }
    }

    fn on_each(&self, index: &[&str], act: impl Fn(&dyn Controlled) -> Result<(), String>) -> Response<AnswerBody> {
        let chosen = match index {
            [] => self.standins.as_slice(),
            [index] => match index.parse::<usize>().ok().and_then(|index| self.standins.get(index..=index)) {
                Some(chosen) => chosen,
                None => return text(StatusCode::NOT_FOUND, "there is no stand-in with this index"),
            },
            _ => return text(StatusCode::NOT_FOUND, "the path holds at most one index"),
        };
        match chosen.iter().try_for_each(|standin| act(standin.as_ref())) {
            Ok(()) => json_answer(&self.describe()),
            Err(message) => text(StatusCode::BAD_REQUEST, message),
        }
    }

    fn describe(&self) -> Value {
        let standins: Vec<Value> = self.standins.iter().map(|standin| standin.describe()).collect();
        let ledger = self.ledger.as_ref().map(|ledger| {
            json!({
                "total": ledger.total(),
                "overlaps": ledger.overlaps(),
                "repeated_successes": ledger.repeated_successes(),
            })
        });
        json!({ "standins": standins, "ledger": ledger })
    }
}

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Control").field("standins", &self.standins.len()).finish_non_exhaustive()
    }
}
