//! The HTTP API of an entry: tasks for callers, everything else for operators.

use base64::{Engine, prelude::BASE64_STANDARD};
use fescuelead_core::{
    burn::{Cause, RequestResult},
    config::Verdict,
    ids::{AvailabilityZone, TaskId},
};
use fescuelead_wire::api::{
    BurnReport, ConfigDocument, ExplainKind, Outcome, Problem, PublishAnswer, PublishConflict, PublishRequest, Rollout,
    TaskAnswer, TaskSubmission, ZoneAnswer, ZoneRequest,
};
use salvo::{
    Depot, FlowCtrl, Request, Response, Router, affix_state, handler,
    http::{
        HeaderValue, StatusCode,
        header::{AUTHORIZATION, CACHE_CONTROL, CONTENT_SECURITY_POLICY, WWW_AUTHENTICATE},
    },
    prelude::Text,
};
use std::sync::Arc;

use crate::{
    api::{body, common_routes, fail, fail_with, ok},
    auth::OperatorTokens,
    clock::unix_ms,
    entry::{
        commands::{ChangeAnswer, ChangeRequest, Command, ControlHandle, SubmitAnswer},
        shared::Shared,
    },
    metrics::Metrics,
    reload::Reloadable,
};

/// The longest wait for a task's end in one call.
const MAX_WAIT_MS: u64 = 60_000;
/// The time between two looks at a task that is waited for.
const LOOK_MS: u64 = 20;

#[derive(Clone)]
struct Api {
    shared: Arc<Shared>,
    control: ControlHandle,
    operator_tokens: Reloadable<OperatorTokens>,
}

/// All routes of the API.
pub fn router(
    shared: Arc<Shared>,
    control: ControlHandle,
    operator_tokens: Reloadable<OperatorTokens>,
    metrics: Metrics,
) -> Router {
    let shutdown = shared.shutdown.clone();
    let api = Api { shared, control, operator_tokens };
    let state = affix_state::insert("api", api).insert("shutdown", shutdown).insert("metrics", metrics);
    let tasks = Router::with_path("v1/tasks")
        .get(get_tasks)
        .post(post_task)
        .push(Router::with_path("{id}").get(get_task).push(Router::with_path("cancel").post(post_cancel)));
    let operators = Router::with_path("v1")
        .hoop(operators_only)
        .push(
            Router::with_path("config")
                .get(get_config)
                .put(put_config)
                .push(Router::with_path("history").get(get_history)),
        )
        .push(Router::with_path("rollout").get(get_rollout))
        .push(Router::with_path("zones/{zone}").put(put_zone))
        .push(Router::with_path("status").get(get_status))
        .push(Router::with_path("burn").get(get_burn))
        .push(Router::with_path("explain/{kind}/{id}").get(get_explanation));
    let page = Router::with_path("burn").hoop(operators_only).get(get_burn_page);
    Router::new().hoop(state).push(common_routes()).push(tasks).push(operators).push(page)
}

fn api(depot: &Depot) -> Api {
    depot.get::<Api>("api").cloned().expect("the router inserts it")
}

fn not_run(status: u16, title: &str, detail: impl Into<String>) -> Problem {
    Problem::new(status, title, Outcome::NotRun).with_detail(detail)
}

fn stopping() -> Problem {
    not_run(503, "stopping", "the entry is stopping; ask another one").with_retry_after_ms(100)
}

fn only_a_copy() -> Problem {
    let detail = "the entry has not read the log since its start and has only another entry's copy; try again when the log is back";
    not_run(503, "log not read", detail).with_retry_after_ms(2_000)
}

#[handler]
async fn operators_only(request: &mut Request, depot: &mut Depot, response: &mut Response, flow: &mut FlowCtrl) {
    let credentials = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok()).unwrap_or("");
    let is_page = request.uri().path() == "/burn";
    let token = match credentials.split_once(' ') {
        Some(("Bearer", token)) => token.to_owned(),
        // A browser can send a name and a password only. It does so by itself, so that calls that change something
        // do not take it.
        Some(("Basic", pair)) if is_page => password(pair).unwrap_or_default(),
        _ => String::new(),
    };
    if api(depot).operator_tokens.get().accept(&token) {
        return;
    }
    let detail = "operators must send Authorization: Bearer with a token from the entry's settings";
    fail(response, &not_run(401, "no operator token", detail));
    if is_page {
        let challenge = HeaderValue::from_static("Basic realm=\"fescuelead; the operator token is the password\"");
        response.headers_mut().insert(WWW_AUTHENTICATE, challenge);
    }
    flow.skip_rest();
}

/// The password of HTTP basic credentials.
fn password(pair: &str) -> Option<String> {
    let decoded = BASE64_STANDARD.decode(pair).ok()?;
    let text = String::from_utf8(decoded).ok()?;
    text.split_once(':').map(|(_, password)| password.to_owned())
}

#[handler]
async fn post_task(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    if let Err(problem) = try_submit(request, depot, response).await {
        fail(response, &problem);
    }
}

async fn try_submit(request: &mut Request, depot: &Depot, response: &mut Response) -> Result<(), Problem> {
    let api = api(depot);
    let submission: TaskSubmission = body(request).await?;
    let set = Arc::clone(&api.shared.config.borrow().set);
    let spec = submission.to_spec(&set, unix_ms())?;
    if let Some(home) = api.shared.other_home(&set, &spec.service) {
        return Err(Problem::other_cell(&format!("service {}", spec.service), home, api.shared.cell));
    }
    let key = submission.request_key()?;
    let task = TaskId::from_key(api.shared.cell, &key).map_err(|e| not_run(422, "bad key", e.to_string()))?;
    let spec = Box::new(spec);
    let asked = spec.clone();
    let answer = api.control.ask(|reply| Command::Submit { task, spec, reply }).await.ok_or_else(stopping)?;
    let turned_away = |result, cause| api.shared.observer.task_refused(&api.shared, &asked, result, cause);
    match answer {
        SubmitAnswer::Accepted { created, status } => {
            let code = if created { StatusCode::CREATED } else { StatusCode::OK };
            ok(response, code, TaskAnswer { task: status.task.clone(), created, status: *status });
            Ok(())
        }
        SubmitAnswer::Conflict => {
            Err(not_run(409, "key in use", "the key belongs to another task; choose a new key for a new task"))
        }
        SubmitAnswer::NeverRuns { reason } => Err(not_run(422, "can never run", reason)),
        SubmitAnswer::Full => {
            turned_away(RequestResult::Refused, Cause::Overload);
            Err(not_run(503, "queue full", "as many tasks wait as `max_queued` allows").with_retry_after_ms(5_000))
        }
        SubmitAnswer::OnlyACopy => {
            turned_away(RequestResult::Refused, Cause::LogOutage);
            Err(only_a_copy())
        }
        SubmitAnswer::NoAnswer => {
            turned_away(RequestResult::Unknown, Cause::LogOutage);
            Err(Problem::new(504, "no answer of the log", Outcome::Unknown)
                .with_detail("the task may yet be accepted")
                .with_remedy("submit it again with the same key; that never makes a second task"))
        }
    }
}

fn task_id(request: &Request, own_cell: u32) -> Result<TaskId, Problem> {
    let id = request.param::<String>("id").unwrap_or_default();
    let task = TaskId::new(id).map_err(|e| not_run(400, "bad task id", e.to_string()))?;
    in_cell(&task, own_cell)?;
    Ok(task)
}

/// Refuses a task of another cell.
fn in_cell(task: &TaskId, own_cell: u32) -> Result<(), Problem> {
    match task.cell().filter(|cell| *cell != own_cell) {
        Some(home) => Err(Problem::other_cell(&format!("task {task}"), home, own_cell)),
        None => Ok(()),
    }
}

fn no_task() -> Problem {
    not_run(404, "no such task", "no task has this id, or it ended long ago")
}

#[handler]
async fn get_task(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    match find_task(request, depot).await {
        Ok(status) => ok(response, StatusCode::OK, status),
        Err(problem) => fail(response, &problem),
    }
}

async fn find_task(request: &Request, depot: &Depot) -> Result<fescuelead_wire::api::TaskStatus, Problem> {
    let api = api(depot);
    let id = task_id(request, api.shared.cell)?;
    let wait_ms = request.query::<u64>("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
    let deadline = tokio::time::Instant::now() + std::time::Duration::from_millis(wait_ms);
    loop {
        let task = id.clone();
        let status = api.control.ask(|reply| Command::Task { task, reply }).await.ok_or_else(stopping)?;
        let status = status.ok_or_else(no_task)?;
        if status.phase.is_ended() || tokio::time::Instant::now() >= deadline {
            return Ok(status);
        }
        tokio::time::sleep(std::time::Duration::from_millis(LOOK_MS)).await;
    }
}

#[handler]
async fn get_tasks(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let after = request.query::<String>("after").and_then(|text| TaskId::new(text).ok());
    let limit = request.query::<usize>("limit").unwrap_or(100);
    match api(depot).control.ask(|reply| Command::Tasks { after, limit, reply }).await {
        Some(page) => ok(response, StatusCode::OK, page),
        None => fail(response, &stopping()),
    }
}

#[handler]
async fn post_cancel(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let task = match task_id(request, api(depot).shared.cell) {
        Ok(task) => task,
        Err(problem) => return fail(response, &problem),
    };
    match api(depot).control.ask(|reply| Command::Cancel { task, reply }).await {
        Some(Some(status)) => ok(response, StatusCode::OK, status),
        Some(None) => fail(response, &no_task()),
        None => fail(response, &stopping()),
    }
}

#[handler]
async fn get_config(depot: &mut Depot, response: &mut Response) {
    let config = Arc::clone(&api(depot).shared.config.borrow());
    let zones_out = config.zones_out.iter().map(ToString::to_string).collect();
    let home_cells = config.homes.iter().map(|(service, cell)| (service.to_string(), cell)).collect();
    let document = ConfigDocument { version: config.version, text: config.text.to_string(), zones_out, home_cells };
    if let Ok(tag) = format!("\"{}\"", config.version).parse() {
        response.headers_mut().insert(salvo::http::header::ETAG, tag);
    }
    ok(response, StatusCode::OK, document);
}

#[handler]
async fn get_history(depot: &mut Depot, response: &mut Response) {
    match api(depot).control.ask(|reply| Command::History { reply }).await {
        Some(history) => ok(response, StatusCode::OK, history),
        None => fail(response, &stopping()),
    }
}

#[handler]
async fn get_rollout(depot: &mut Depot, response: &mut Response) {
    match api(depot).control.ask(|reply| Command::Rollout { reply }).await {
        Some(rollout) => ok(response, StatusCode::OK, rollout),
        None => fail(response, &stopping()),
    }
}

/// Why a change is not in force.
enum Unchanged {
    Problem(Problem),
    Conflict(PublishConflict),
}

impl From<Problem> for Unchanged {
    fn from(problem: Problem) -> Self {
        Self::Problem(problem)
    }
}

impl Unchanged {
    fn render(&self, response: &mut Response) {
        match self {
            Self::Problem(problem) => fail(response, problem),
            Self::Conflict(conflict) => fail_with(response, conflict.problem.status, conflict),
        }
    }
}

async fn change(
    api: &Api,
    expected_version: Option<u64>,
    change: ChangeRequest,
    author: String,
) -> Result<(u64, Rollout), Unchanged> {
    let seen = expected_version.unwrap_or(api.shared.config.borrow().version);
    let answer = api.control.ask(|reply| Command::Change { expected_version: Some(seen), change, author, reply }).await;
    match answer.ok_or_else(stopping)? {
        ChangeAnswer::Decided { verdict: Verdict::Accepted { version }, .. } => {
            let rollout = api.control.ask(|reply| Command::Rollout { reply }).await.ok_or_else(stopping)?;
            Ok((version, rollout))
        }
        ChangeAnswer::Decided { verdict: Verdict::Conflict { standing_version }, standing_author } => {
            let conflict = PublishConflict::new(seen, standing_version);
            let author = standing_author.unwrap_or_default();
            Err(Unchanged::Conflict(conflict.with_standing_author(author)))
        }
        ChangeAnswer::Decided { verdict: Verdict::Invalid { message }, .. } => {
            Err(not_run(422, "invalid profile set", message).into())
        }
        ChangeAnswer::OnlyACopy => Err(only_a_copy().into()),
        ChangeAnswer::NoAnswer => Err(Problem::new(504, "no answer of the log", Outcome::Unknown)
            .with_detail("the change may yet take effect")
            .with_remedy("look at the configuration in force before trying again")
            .into()),
    }
}

fn if_match(request: &Request) -> Result<Option<u64>, Problem> {
    let Some(value) = request.headers().get(salvo::http::header::IF_MATCH) else { return Ok(None) };
    let version = value.to_str().ok().and_then(|text| text.trim_matches('"').parse().ok());
    version.map(Some).ok_or_else(|| not_run(400, "bad If-Match", "send the version that was read, such as \"17\""))
}

#[handler]
async fn put_config(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    match try_publish(request, depot).await {
        Ok(answer) => ok(response, StatusCode::OK, answer),
        Err(unchanged) => unchanged.render(response),
    }
}

async fn try_publish(request: &mut Request, depot: &Depot) -> Result<PublishAnswer, Unchanged> {
    let expected = if_match(request)?;
    let PublishRequest { text, author } = body(request).await?;
    if let Err(error) = fescuelead_core::profile::ProfileSet::parse(&text) {
        return Err(not_run(422, "invalid profile set", error.to_string()).into());
    }
    let (version, rollout) = change(&api(depot), expected, ChangeRequest::Publish { text }, author).await?;
    Ok(PublishAnswer { version, rollout })
}

#[handler]
async fn put_zone(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    match try_zone(request, depot).await {
        Ok(answer) => ok(response, StatusCode::OK, answer),
        Err(unchanged) => unchanged.render(response),
    }
}

async fn try_zone(request: &mut Request, depot: &Depot) -> Result<ZoneAnswer, Unchanged> {
    let name = request.param::<String>("zone").unwrap_or_default();
    let zone = AvailabilityZone::new(&name).map_err(|e| not_run(400, "bad availability zone", e.to_string()))?;
    let ZoneRequest { out, expected_version, author } = body(request).await?;
    let asked = ChangeRequest::Zone { availability_zone: zone, out };
    let (version, rollout) = change(&api(depot), expected_version, asked, author).await?;
    Ok(ZoneAnswer { availability_zone: name, out, version, rollout })
}

#[handler]
async fn get_status(depot: &mut Depot, response: &mut Response) {
    match api(depot).control.ask(|reply| Command::Status { reply }).await {
        Some(status) => ok(response, StatusCode::OK, *status),
        None => fail(response, &stopping()),
    }
}

async fn burn_report(depot: &Depot) -> Result<BurnReport, Problem> {
    let report = api(depot).control.ask(|reply| Command::Burn { reply }).await;
    report.map(|report| *report).ok_or_else(stopping)
}

#[handler]
async fn get_burn(depot: &mut Depot, response: &mut Response) {
    match burn_report(depot).await {
        Ok(report) => ok(response, StatusCode::OK, report),
        Err(problem) => fail(response, &problem),
    }
}

#[handler]
async fn get_burn_page(depot: &mut Depot, response: &mut Response) {
    let page = match burn_report(depot).await {
        Ok(report) => fescuelead_wire::api::burn_page(&report),
        Err(problem) => return fail(response, &problem),
    };
    // The page loads nothing and runs nothing.
    let policy = HeaderValue::from_static("default-src 'none'; style-src 'unsafe-inline'");
    response.headers_mut().insert(CONTENT_SECURITY_POLICY, policy);
    response.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response.render(Text::Html(page));
}

#[handler]
async fn get_explanation(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let word = request.param::<String>("kind").unwrap_or_default();
    let id = request.param::<String>("id").unwrap_or_default();
    let Some(kind) = ExplainKind::from_word(&word) else {
        return fail(response, &not_run(404, "no such kind", "ask about a task, service, worker or zone"));
    };
    if kind == ExplainKind::Task
        && let Ok(task) = TaskId::new(&id)
        && let Err(problem) = in_cell(&task, api(depot).shared.cell)
    {
        return fail(response, &problem);
    }
    match api(depot).control.ask(|reply| Command::Explain { kind, id, reply }).await {
        Some(explanation) => ok(response, StatusCode::OK, explanation),
        None => fail(response, &stopping()),
    }
}
