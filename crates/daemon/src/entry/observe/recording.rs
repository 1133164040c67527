//! One request on its way through the request path.

use std::{
    pin::Pin,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use fescuelead_core::{
    admission::Refusal,
    balance::TimeUs,
    burn::RequestResult,
    ids::ServiceName,
    retry::{Decision, GiveUp},
};
use fescuelead_wire::api::Outcome;
use http_body_util::BodyExt;
use hyper::{
    StatusCode,
    body::{Body as HttpBody, Frame, SizeHint},
};

use crate::{
    entry::{
        observe::{End, Seen, Why},
        proxy::exchange::CopyError,
        shared::Shared,
    },
    http::{Body, BodyError, Failure},
};

/// What is seen of one request. Counts it as abandoned if it is dropped without an end.
#[derive(Debug)]
pub struct Recording {
    shared: Arc<Shared>,
    begun: TimeUs,
    service: OnceLock<ServiceName>,
    why: OnceLock<Why>,
    waited_us: AtomicU64,
    retries: AtomicU8,
    hedges: AtomicU8,
    ended: bool,
}

impl Recording {
    /// Begins with the arrival of a request.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            begun: shared.now_us(),
            shared,
            service: OnceLock::new(),
            why: OnceLock::new(),
            waited_us: AtomicU64::new(0),
            retries: AtomicU8::new(0),
            hedges: AtomicU8::new(0),
            ended: false,
        }
    }

    /// Names the service.
    pub fn set_service(&self, service: &ServiceName) {
        let _ = self.service.set(service.clone());
    }

    /// Says why the request is refused or fails; the first reason stays.
    pub fn set_why(&self, why: Why) {
        let _ = self.why.set(why);
    }

    /// Says that the request was admitted, or refused, now.
    pub fn admitted(&self) {
        self.waited_us.store(self.shared.now_us().since_us(self.begun), Ordering::Relaxed);
    }

    /// Says that admission refused the request, and makes the failure for its caller.
    pub fn refused(&self, refusal: &Refusal) -> Failure {
        self.set_why(Why::Admission(refusal.reason));
        Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, refusal.reason.to_string())
            .with_retry_after_ms(refusal.retry_after_ms)
    }

    /// Says that a request that has to be claimed in the log ended without an answer.
    pub fn claim_failed(&self) {
        if self.shared.observer.is_log_down() {
            self.set_why(Why::LogDown);
        }
    }

    /// Says that the last copy of a request failed.
    pub fn gave_up(&self, decision: Option<Decision>, error: &CopyError) {
        if decision == Some(Decision::GiveUp(GiveUp::Budget)) {
            self.set_why(Why::BudgetSpent);
        } else if error.is_full() {
            self.set_why(Why::EndpointsFull);
        }
    }

    /// Counts a copy that is sent again.
    pub fn retried(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a second copy.
    pub fn hedged(&self) {
        self.hedges.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends with a failure.
    pub fn failed(self, failure: &Failure) {
        let end = match failure.outcome {
            // The caller asked for something that cannot be; its own mistake burns nobody's budget.
            Outcome::NotRun if failure.status.is_client_error() => End::Rejected,
            Outcome::NotRun => End::Counted(RequestResult::Refused),
            Outcome::Failed => End::Counted(RequestResult::Failed),
            Outcome::Unknown => End::Counted(RequestResult::Unknown),
        };
        self.set_why(Why::NoEndpoint);
        self.end(end);
    }

    /// Ends with a whole answer.
    pub fn answered(self, is_server_error: bool) {
        let result = if is_server_error { RequestResult::Failed } else { RequestResult::Answered };
        self.end(End::Counted(result));
    }

    /// Ends with the end of an answer that is still coming in.
    pub fn follow(self, body: Body, is_server_error: bool) -> Body {
        Followed { body, recording: Some(self), is_server_error }.boxed()
    }

    fn end(mut self, end: End) {
        self.push(end);
    }

    fn push(&mut self, end: End) {
        self.ended = true;
        let seen = Seen {
            service: self.service.take(),
            end,
            why: self.why.take().unwrap_or(Why::Open),
            latency_us: self.shared.now_us().since_us(self.begun),
            waited_us: *self.waited_us.get_mut(),
            retries: *self.retries.get_mut(),
            hedges: *self.hedges.get_mut(),
        };
        self.shared.observer.push(&self.shared, seen);
    }
}

impl Drop for Recording {
    fn drop(&mut self) {
        if !self.ended {
            self.push(End::Abandoned);
        }
    }
}

/// An answer's body that ends a recording with its own end.
struct Followed {
    body: Body,
    recording: Option<Recording>,
    is_server_error: bool,
}

impl Followed {
    fn end(&mut self) {
        if let Some(recording) = self.recording.take() {
            recording.answered(self.is_server_error);
        }
    }
}

impl HttpBody for Followed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(Some(Err(_))) => {
                if let Some(recording) = self.recording.take() {
                    recording.end(End::Counted(RequestResult::Unknown));
                }
            }
            Poll::Ready(None) => self.end(),
            // A server does not poll again after the last byte of a known length.
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.end(),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
