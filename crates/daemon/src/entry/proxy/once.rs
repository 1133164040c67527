/*!
Non-idempotent requests: claimed in the log, then sent at most once.

The claim names the agent, so that another entry can ask that agent what became of the request should this one die. An
answer is *not run* only if the log or the agent rules out that the request ever runs.
*/

use bytes::Bytes;
use fescuelead_core::{
    balance::EndpointKey,
    cell::Claim,
    ids::RequestKey,
    profile::OutagePolicy,
    record::{MAX_ANSWER_BYTES, RequestOutcome},
};
use hyper::{
    Response, StatusCode,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue},
};

use crate::{
    entry::{
        commands::{ClaimAnswer, Command},
        observe::Recording,
        proxy::{
            EntryProxy, Miss, RETRY_AFTER_MS, Tries,
            call::{Call, ClaimRef},
            exchange::{Answer, CopyError, CopyKind},
            give_up,
            lanes::Lane,
            unavailable,
        },
    },
    http::Failure,
};

type Ended = Result<Answer, Failure>;

impl EntryProxy {
    /// Claims a request's key, then sends it at most once.
    pub(super) async fn once(&self, call: &Call, lane: &mut Lane, recording: &Recording) -> Ended {
        let Some(key) = &call.key else {
            return Err(not_run(StatusCode::BAD_REQUEST, "the request has no Idempotency-Key"));
        };
        if !call.is_replayable() {
            return Err(not_run(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body of a non-idempotent request is limited to 64 KiB",
            ));
        }
        let known = self.find(key).await;
        if let Some(claim) = known.filter(|claim| claim.outcome != Some(RequestOutcome::NotRun)) {
            return self.outcome_of(call, key, &claim).await;
        }
        lane.first_send();
        let (mut tries, mut resolved) = (Tries::default(), None);
        loop {
            match self.claim_and_send(call, key, tries.avoid, &mut resolved).await? {
                Ok(answer) => return Ok(answer),
                Err(miss) => tries.wait_to_retry(miss, call, lane, recording, &self.shared).await?,
            }
        }
    }

    /// Claims the key for one endpoint and sends the request there. A miss truly did not run, so that the key may be claimed
    /// again for another endpoint; `resolved` then is the offset of the claim that was resolved as *not run*.
    async fn claim_and_send(
        &self,
        call: &Call,
        key: &RequestKey,
        avoid: Option<EndpointKey>,
        resolved: &mut Option<u64>,
    ) -> Result<Result<Answer, Miss>, Failure> {
        let permit = match self.dispatcher.choose(call, avoid, CopyKind::Only) {
            Ok(permit) => permit,
            Err(error) => return Ok(Err(unavailable(&error))),
        };
        let endpoint = permit.endpoint();
        let Some((agent, agent_incarnation)) = self.shared.endpoints().agent(endpoint) else {
            return Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "the endpoint is gone"));
        };
        let deadline_ms = call.deadline.since_us(self.shared.now_us()) / 1_000;
        let answer = self
            .control
            .ask(|reply| Command::Claim {
                key: key.clone(),
                digest: call.digest(),
                agent,
                agent_incarnation,
                deadline_ms,
                wait: call.profile.outage == OutagePolicy::WaitForDeadline,
                resolved: *resolved,
                reply,
            })
            .await;
        match answer {
            Some(ClaimAnswer::Won { offset }) => {
                let claim = ClaimRef { key: key.clone(), offset, agent_incarnation };
                match self.dispatcher.send(call, permit, Some(&claim)).await {
                    Ok(answer) => {
                        self.resolve(key, offset, outcome_of_answer(&answer)).await;
                        Ok(Ok(answer))
                    }
                    Err(error @ CopyError::NotRun { .. }) => {
                        self.resolve(key, offset, RequestOutcome::NotRun).await;
                        *resolved = Some(offset);
                        Ok(Err(Miss { endpoint: Some(endpoint), error }))
                    }
                    Err(error @ CopyError::Unknown { .. }) => Err(self.ask_agent(key, error).await),
                }
            }
            Some(ClaimAnswer::Known(claim)) => self.outcome_of(call, key, &claim).await.map(Ok),
            Some(ClaimAnswer::NotRun { reason }) => Err(not_run(StatusCode::SERVICE_UNAVAILABLE, &reason)),
            None => Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "the entry is stopping")),
        }
    }

    async fn resolve(&self, key: &RequestKey, claim_offset: u64, outcome: RequestOutcome) {
        self.control.tell(Command::Resolve { key: key.clone(), claim_offset, outcome }).await;
    }

    async fn find(&self, key: &RequestKey) -> Option<Claim> {
        self.control.ask(|reply| Command::FindClaim { key: key.clone(), reply }).await.flatten()
    }

    /// The failure of a request that may have run. Its agent is asked first whether it did.
    async fn ask_agent(&self, key: &RequestKey, error: CopyError) -> Failure {
        match self.settle(key).await {
            RequestOutcome::NotRun => not_run(StatusCode::SERVICE_UNAVAILABLE, "the agent refused the request"),
            RequestOutcome::Unknown | RequestOutcome::Answered { .. } => give_up(error, true),
        }
    }

    async fn settle(&self, key: &RequestKey) -> RequestOutcome {
        let asked = self.control.ask(|reply| Command::Settle { key: key.clone(), reply }).await;
        asked.unwrap_or(RequestOutcome::Unknown)
    }

    /// The outcome of the first request under this key, waited for until the deadline.
    async fn outcome_of(&self, call: &Call, key: &RequestKey, claim: &Claim) -> Ended {
        if claim.digest != call.digest() {
            return Err(not_run(
                StatusCode::UNPROCESSABLE_ENTITY,
                "the key was used for another request; choose a new key for a new request",
            ));
        }
        let mut known = claim.outcome.clone();
        while known.is_none() {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            if tokio::time::Instant::now() >= call.deadline_at {
                let detail = "the first request under this key has no outcome yet; ask again with the same key";
                return Err(Failure::unknown(StatusCode::GATEWAY_TIMEOUT, detail));
            }
            known = self.find(key).await.and_then(|claim| claim.outcome);
        }
        replay(known.unwrap_or(RequestOutcome::Unknown))
    }
}

fn not_run(status: StatusCode, detail: &str) -> Failure {
    Failure::not_run(status, detail).with_retry_after_ms(RETRY_AFTER_MS)
}

fn outcome_of_answer(answer: &Answer) -> RequestOutcome {
    let content_type = answer.parts.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).unwrap_or("");
    match &answer.whole {
        Some(bytes) if bytes.len() <= MAX_ANSWER_BYTES => RequestOutcome::Answered {
            status: answer.parts.status.as_u16(),
            content_type: content_type.to_owned(),
            body: bytes.to_vec(),
        },
        // It ran, but its answer cannot be kept whole, so a repeat is not given a part of it.
        _ => RequestOutcome::Unknown,
    }
}

fn replay(outcome: RequestOutcome) -> Ended {
    match outcome {
        RequestOutcome::Answered { status, content_type, body } => {
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            let headers = response.headers_mut();
            headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
            if let Ok(content_type) = HeaderValue::from_str(&content_type)
                && !content_type.is_empty()
            {
                headers.insert(CONTENT_TYPE, content_type);
            }
            let (parts, ()) = response.into_parts();
            Ok(Answer { parts, whole: Some(Bytes::from(body)), stream: None })
        }
        RequestOutcome::NotRun => Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "the first request did not run")),
        RequestOutcome::Unknown => {
            let detail = "it is unknown whether the first request under this key ran; check with the endpoint's owner";
            Err(Failure::unknown(StatusCode::BAD_GATEWAY, detail))
        }
    }
}
