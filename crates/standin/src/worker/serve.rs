//! The HTTP side of the worker.

use std::{io, net::SocketAddr};

use fescuelead_core::ids::{AttemptRef, TaskId};
use fescuelead_platform::worker::http::{AttemptCall, Checkpointed, RenewCall, StartCall, ThrottleCall};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use tokio_util::sync::CancellationToken;

use crate::{
    serve::{AnswerBody, Disconnect, collect_json, json, serve, text},
    worker::{WorkerStandin, host::Refusal},
};

const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;

/// A refusal by the worker, or a status for a call that cannot be understood.
enum Rejection {
    Refused(Refusal),
    Status(StatusCode),
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<StatusCode> for Rejection {
    fn from(status: StatusCode) -> Self {
        Self::Status(status)
    }
}

impl WorkerStandin {
    /// Serves the HTTP protocol on `address` until `token` is cancelled, and returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr, token: CancellationToken) -> io::Result<SocketAddr> {
        let (gate, worker) = (self.clone(), self.clone());
        let connected = move || if gate.faults().get().down { Err(Disconnect) } else { Ok(()) };
        serve(address, token, connected, move |request| {
            let worker = worker.clone();
            Box::pin(async move { answer(worker.route(request).await) })
        })
        .await
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, Rejection> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (head.method, segments.as_slice()) {
            (Method::POST, ["claim"]) => Ok(json(&self.perform(true, |host| Ok(host.claim())).await?)),
            (Method::GET, ["tasks"]) => Ok(json(&self.perform(false, |host| Ok(host.report())).await?)),
            (Method::GET, ["usage"]) => Ok(json(&self.perform(false, |host| Ok(host.usage())).await?)),
            (Method::POST, ["renew"]) => {
                let call: RenewCall = collect_json(body, MAX_CALL_BYTES).await?;
                let renewed = self.perform(true, move |host| {
                    host.renew(call.incarnation, &call.attempts, call.lease_until_ms as f64)
                });
                Ok(json(&renewed.await?))
            }
            (Method::PUT, ["tasks", task]) => {
                let call: StartCall = collect_json(body, MAX_CALL_BYTES).await?;
                if call.task.attempt.task.as_str() != *task {
                    return Err(StatusCode::BAD_REQUEST.into());
                }
                let started = self.perform(true, move |host| host.start(call.incarnation, call.task));
                Ok(json(&started.await?))
            }
            (Method::POST, ["tasks", task, "throttle"]) => {
                let ThrottleCall { incarnation, attempt, percent } = collect_json(body, MAX_CALL_BYTES).await?;
                let attempt = attempt_ref(task, attempt)?;
                let throttled = self.perform(true, move |host| host.throttle(incarnation, &attempt, percent));
                Ok(json(&throttled.await?))
            }
            (Method::POST, ["tasks", task, verb]) => {
                let AttemptCall { incarnation, attempt } = collect_json(body, MAX_CALL_BYTES).await?;
                self.attempt_call(verb, incarnation, attempt_ref(task, attempt)?).await
            }
            _ => Err(StatusCode::METHOD_NOT_ALLOWED.into()),
        }
    }

    async fn attempt_call(
        &self,
        verb: &str,
        incarnation: u64,
        attempt: AttemptRef,
    ) -> Result<Response<AnswerBody>, Rejection> {
        match verb {
            "checkpoint" => {
                let checkpoint = self.perform(true, move |host| host.checkpoint(incarnation, &attempt)).await?;
                Ok(json(&Checkpointed { checkpoint }))
            }
            "stop" => Ok(json(&self.perform(true, move |host| host.stop(incarnation, &attempt)).await?)),
            "forget" => Ok(json(&self.perform(true, move |host| host.forget(incarnation, &attempt)).await?)),
            _ => Err(StatusCode::METHOD_NOT_ALLOWED.into()),
        }
    }
}

fn attempt_ref(task: &str, attempt: u32) -> Result<AttemptRef, Rejection> {
    let task = TaskId::new(task).map_err(|_| StatusCode::BAD_REQUEST)?;
    Ok(AttemptRef::new(task, attempt))
}

fn answer(result: Result<Response<AnswerBody>, Rejection>) -> Result<Response<AnswerBody>, Disconnect> {
    let (status, message) = match result {
        Ok(response) => return Ok(response),
        Err(Rejection::Status(status)) => (status, String::new()),
        Err(Rejection::Refused(Refusal::Down | Refusal::AnswerLost)) => return Err(Disconnect),
        Err(Rejection::Refused(Refusal::Superseded)) => (StatusCode::CONFLICT, String::new()),
        Err(Rejection::Refused(Refusal::UnknownTask)) => (StatusCode::NOT_FOUND, String::new()),
        Err(Rejection::Refused(Refusal::Other(message))) => (StatusCode::UNPROCESSABLE_ENTITY, message),
    };
    Ok(text(status, message))
}
