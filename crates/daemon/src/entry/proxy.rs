/*!
The request path of an entry: from a caller to an endpoint and back.

The stages are: read the head, admit, choose an endpoint, send, verify, answer. Each is in a module of its own. A copy that
truly did not run is sent again where there is budget for it; one that may have run only if the profile is idempotent.
*/

use std::sync::Arc;

use fescuelead_core::{
    admission::Completion,
    balance::{EndpointKey, Unavailable},
    retry::{Decision, Delivery, FailedRequest, GiveUp},
};
use fescuelead_wire::api::Outcome;
use futures::future::{Either, select};
use hyper::{Request, Response, StatusCode, body::Incoming, header::HeaderValue};

use crate::{
    entry::{commands::ControlHandle, observe::Recording, shared::Shared},
    http::{Body, Failure, LOAD, OUTCOME, REQUEST_ID},
};

pub mod call;
pub mod exchange;
pub mod lanes;
mod once;

use self::{
    call::Call,
    exchange::{Answer, CopyError, CopyKind, Dispatcher},
    lanes::{Lane, Lanes},
};

/// Passes callers' requests on to endpoints.
pub struct EntryProxy {
    shared: Arc<Shared>,
    lanes: Arc<Lanes>,
    dispatcher: Dispatcher,
    control: ControlHandle,
}

/// The time between two turns of the queues.
const TURN: std::time::Duration = std::time::Duration::from_millis(10);
/// Turns between two looks at what is usual.
const TURNS_PER_TICK: u32 = 10;

/// A copy that brought no answer, and where it was sent.
struct Miss {
    endpoint: Option<EndpointKey>,
    error: CopyError,
}

impl EntryProxy {
    /// A proxy for this entry.
    pub fn new(shared: Arc<Shared>, control: ControlHandle) -> Arc<Self> {
        let lanes = Lanes::new(Arc::clone(&shared));
        let dispatcher = Dispatcher::new(Arc::clone(&shared));
        Arc::new(Self { shared, lanes, dispatcher, control })
    }

    /// Gives queues their turns and keeps the balancer's view of what is usual up to date, forever.
    pub async fn keep_up(self: Arc<Self>) {
        let mut round: u32 = 0;
        loop {
            tokio::time::sleep(TURN).await;
            self.lanes.pump_all();
            round = round.wrapping_add(1);
            if round.is_multiple_of(TURNS_PER_TICK) {
                let now = self.shared.now_us();
                self.shared.endpoints().balancer.tick(now);
                self.lanes.take_slots();
            }
        }
    }

    /// Answers one request.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let recording = Recording::new(Arc::clone(&self.shared));
        match self.serve(request, &recording).await {
            Ok((answer, caller_id)) => {
                let (failed, streams) = (answer.parts.status.is_server_error(), answer.stream.is_some());
                let response = dress(answer, caller_id);
                if streams {
                    return response.map(|body| recording.follow(body, failed));
                }
                recording.answered(failed);
                response
            }
            Err(failure) => {
                recording.failed(&failure);
                failure.into_response()
            }
        }
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        recording: &Recording,
    ) -> Result<(Answer, Option<HeaderValue>), Failure> {
        let config = Arc::clone(&self.shared.config.borrow());
        let call = Call::read(request, &config, &self.shared).await?;
        recording.set_service(&call.service);
        let lane = self.lanes.enter(&config, &call.service, call.deadline, call.deadline_at).await;
        recording.admitted();
        let mut lane = lane.map_err(|refusal| recording.refused(&refusal))?;
        let start = self.shared.now_us();
        let result = match call.profile.idempotent {
            true => self.repeat(&call, &mut lane, recording).await,
            false => self.once(&call, &mut lane, recording).await.inspect_err(|_| recording.claim_failed()),
        };
        match result {
            Ok(answer) => {
                lane.finish(Completion::Answered { took_us: self.shared.now_us().since_us(start) });
                Ok((answer, call.caller_id))
            }
            Err(failure) => {
                lane.finish(Completion::Failed);
                Err(failure)
            }
        }
    }

    /// Sends an idempotent request as often as the retry budget allows.
    async fn repeat(&self, call: &Call, lane: &mut Lane, recording: &Recording) -> Result<Answer, Failure> {
        lane.first_send();
        let mut tries = Tries::default();
        loop {
            match self.hedged(call, lane, tries.avoid, recording).await {
                Ok(answer) => return Ok(answer),
                Err(miss) => tries.wait_to_retry(miss, call, lane, recording, &self.shared).await?,
            }
        }
    }

    /// Sends one copy, and a second one elsewhere if the first is slow and the hedge budget allows it.
    async fn hedged(
        &self,
        call: &Call,
        lane: &Lane,
        avoid: Option<EndpointKey>,
        recording: &Recording,
    ) -> Result<Answer, Miss> {
        let permit = self.dispatcher.choose(call, avoid, CopyKind::First).map_err(|e| unavailable(&e))?;
        let endpoint = permit.endpoint();
        let missed = |error| Miss { endpoint: Some(endpoint), error };
        let first = self.dispatcher.send(call, permit, None);
        let Some(hedge_us) = lane.hedge_after_us().filter(|_| call.is_replayable()) else {
            return first.await.map_err(missed);
        };
        tokio::pin!(first);
        tokio::select! {
            result = &mut first => return result.map_err(missed),
            () = tokio::time::sleep(std::time::Duration::from_micros(hedge_us)) => {}
        }
        // A hedge must not take a slot that a waiting request could have.
        let hedge = || self.dispatcher.choose(call, Some(endpoint), CopyKind::Hedge).ok();
        let second = lane.is_queue_empty().then(hedge).flatten().filter(|permit| permit.endpoint() != endpoint);
        let Some(second) = second.filter(|_| lane.take_hedge(call.deadline)) else {
            return first.await.map_err(missed);
        };
        recording.hedged();
        let second = self.dispatcher.send(call, second, None);
        tokio::pin!(second);
        let (result, other) = match select(first, second).await {
            Either::Left((result, other)) => (result, Either::Left(other)),
            Either::Right((result, other)) => (result, Either::Right(other)),
        };
        match result {
            Ok(answer) => Ok(answer),
            Err(error) => {
                let last = match other {
                    Either::Left(other) => other.await,
                    Either::Right(other) => other.await,
                };
                // Both copies must not have run for the request not to have run.
                last.map_err(|last| missed(if last.is_not_run() { error } else { last }))
            }
        }
    }
}

/// How often a request was sent, and what came of it.
#[derive(Debug, Default)]
struct Tries {
    attempts: u32,
    may_have_run: bool,
    /// The endpoint that missed last; the next copy goes elsewhere if it can.
    avoid: Option<EndpointKey>,
}

impl Tries {
    /// Waits until a request that brought no answer may be sent again.
    ///
    /// # Errors
    ///
    /// Fails with the answer for the caller if the request is not sent again.
    async fn wait_to_retry(
        &mut self,
        miss: Miss,
        call: &Call,
        lane: &mut Lane,
        recording: &Recording,
        shared: &Shared,
    ) -> Result<(), Failure> {
        if miss.endpoint.is_none() && miss.error.is_full() {
            return self.wait_for_turn(call, lane, recording).await;
        }
        self.attempts += 1;
        if miss.error.is_full() {
            lane.note_full();
        }
        self.may_have_run |= !miss.error.is_not_run();
        self.avoid = miss.endpoint.or(self.avoid);
        let delivery = if miss.error.is_not_run() { Delivery::NotRun } else { Delivery::Possible };
        let failed = FailedRequest { attempts: self.attempts, delivery, deadline: call.deadline };
        match lane.decide(&failed) {
            Some(Decision::Retry { at }) if call.is_replayable() => {
                recording.retried();
                let wait_us = at.since_us(shared.now_us());
                tokio::time::sleep(std::time::Duration::from_micros(wait_us)).await;
                Ok(())
            }
            // The entries' views of an endpoint lag, so that a burst meets full endpoints several times in a row.
            // Such a request waits for its turn like one that the entry itself finds no room for.
            Some(Decision::GiveUp(GiveUp::Attempts | GiveUp::Budget))
                if miss.error.is_full() && call.is_replayable() =>
            {
                self.wait_for_turn(call, lane, recording).await
            }
            decision => {
                recording.gave_up(decision, &miss.error);
                Err(give_up(miss.error, self.may_have_run))
            }
        }
    }

    async fn wait_for_turn(&self, call: &Call, lane: &mut Lane, recording: &Recording) -> Result<(), Failure> {
        let turn = lane.wait_again(call.deadline, call.deadline_at).await;
        recording.admitted();
        turn.map_err(|refusal| stronger(recording.refused(&refusal), self.may_have_run))
    }
}

fn unavailable(error: &Unavailable) -> Miss {
    let full = *error == Unavailable::AllFull;
    let error = CopyError::NotRun { status: StatusCode::SERVICE_UNAVAILABLE, detail: error.to_string(), full };
    Miss { endpoint: None, error }
}

/// A request that found no room for another copy. An earlier copy may have run.
fn stronger(refused: Failure, may_have_run: bool) -> Failure {
    if may_have_run { Failure::unknown(refused.status, refused.detail) } else { refused }
}

/// How soon a caller may try again when no endpoint could take its request.
const RETRY_AFTER_MS: u64 = 1_000;

fn give_up(error: CopyError, may_have_run: bool) -> Failure {
    match error {
        CopyError::NotRun { detail, .. } if !may_have_run => {
            Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, detail).with_retry_after_ms(RETRY_AFTER_MS)
        }
        CopyError::NotRun { status, detail, .. } | CopyError::Unknown { status, detail } => {
            Failure::unknown(status, detail)
        }
    }
}

/// Gives the answer the id that the caller knows, and marks an endpoint's own error as *ran and failed*.
fn dress(mut answer: Answer, caller_id: Option<HeaderValue>) -> Response<Body> {
    let headers = &mut answer.parts.headers;
    headers.remove(LOAD);
    if let Some(id) = caller_id {
        headers.insert(REQUEST_ID, id);
    }
    if answer.parts.status.is_server_error() {
        headers.insert(OUTCOME, HeaderValue::from_static(Outcome::Failed.as_str()));
    }
    answer.into_response()
}
