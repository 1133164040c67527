//! `task submit`, `status`, `list`, `cancel`, `wait`.

use std::time::Duration;

use clap::ArgMatches;
use fescuelead_core::ids::TaskId;
use fescuelead_wire::api::{Phase, TaskAnswer, TaskPage, TaskStatus, TaskSubmission};
use tokio::time::Instant;

use crate::{
    client::{Call, Client},
    command::{Settings, elapsed_ms, text, wait_timeout_ms},
    config::read_file,
    failure::{Exit, Failure},
    render::{Table, or_dash, output, printable, span, time},
};

/// How long one request waits at the entry for a task to end.
const WAIT_AT_ENTRY_MS: u64 = 20_000;

/// Runs one of the task commands.
pub async fn run(client: &Client, settings: &Settings, args: &ArgMatches) -> Result<String, Failure> {
    match args.subcommand() {
        Some(("submit", args)) => submit(client, settings, args).await,
        Some(("status", args)) => {
            let call = Call::get(format!("/v1/tasks/{}", task_id(args)?));
            output(settings, &client.fetch(call).await?, describe)
        }
        Some(("list", args)) => list(client, settings, args).await,
        Some(("cancel", args)) => {
            let call = Call::post(format!("/v1/tasks/{}/cancel", task_id(args)?));
            output(settings, &client.fetch(call).await?, describe)
        }
        Some(("wait", args)) => wait(client, settings, args).await,
        _ => Err(Failure::usage("say `task submit`, `status`, `list`, `cancel` or `wait`")),
    }
}

async fn submit(client: &Client, settings: &Settings, args: &ArgMatches) -> Result<String, Failure> {
    let optional = |name: &str| args.get_one::<String>(name).cloned();
    let payload = match optional("payload_file") {
        Some(file) => read_file(&file)?,
        None => optional("payload").unwrap_or_default(),
    };
    let submission = TaskSubmission {
        key: text(args, "key")?.to_owned(),
        service: optional("service"),
        profile: optional("profile"),
        payload,
        deadline_ms: args.get_one("deadline_ms").copied(),
    };
    submission.request_key()?;
    if submission.service.is_none() && submission.profile.is_none() {
        return Err(Failure::usage("neither --service nor --profile is named; name at least one"));
    }
    let answer: TaskAnswer = client.fetch(Call::post("/v1/tasks").with_json(&submission)?).await?;
    output(settings, &answer, |answer| {
        let word = if answer.created { "accepted" } else { "known already" };
        format!("Task {} is {word}.\n{}", printable(&answer.task), describe(&answer.status))
    })
}

async fn list(client: &Client, settings: &Settings, args: &ArgMatches) -> Result<String, Failure> {
    let limit = args.get_one::<u32>("limit").copied().unwrap_or(100);
    let after = match args.get_one::<String>("after") {
        Some(after) => format!("&after={}", checked(after)?),
        None => String::new(),
    };
    let page: TaskPage = client.fetch(Call::get(format!("/v1/tasks?limit={limit}{after}"))).await?;
    output(settings, &page, |page| {
        let more = page.next.as_ref().map(|next| format!("more: --after {}\n", printable(next))).unwrap_or_default();
        format!("{}{more}", table(&page.items))
    })
}

async fn wait(client: &Client, settings: &Settings, args: &ArgMatches) -> Result<String, Failure> {
    let (id, limit_ms, begun) = (task_id(args)?, wait_timeout_ms(args), Instant::now());
    loop {
        let left_ms = limit_ms.saturating_sub(elapsed_ms(begun)).min(WAIT_AT_ENTRY_MS);
        let path = format!("/v1/tasks/{id}?wait_ms={left_ms}");
        let task: TaskStatus = client.fetch(Call::get(path).with_extra_ms(left_ms)).await?;
        if task.phase.is_ended() {
            return ended(settings, &task);
        }
        if elapsed_ms(begun) >= limit_ms {
            let message = format!("task {id} is still {} after {limit_ms} ms", task.phase);
            return Err(Failure::new(Exit::Failure, message));
        }
        // An entry that answers at once must not be asked in a tight loop.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn ended(settings: &Settings, task: &TaskStatus) -> Result<String, Failure> {
    let reason = task.reason.as_ref().map(|reason| format!(": {reason}")).unwrap_or_default();
    match task.phase {
        Phase::Succeeded => output(settings, task, describe),
        Phase::Unknown => {
            let message =
                format!("it is unknown whether task {} ran; check its effects before repeating it", task.task);
            Err(Failure::new(Exit::Unknown, message))
        }
        phase => Err(Failure::new(Exit::Failure, format!("task {} {phase}{reason}", task.task))),
    }
}

fn task_id(args: &ArgMatches) -> Result<TaskId, Failure> {
    checked(text(args, "id")?)
}

fn checked(id: &str) -> Result<TaskId, Failure> {
    TaskId::new(id).map_err(|error| Failure::usage(error.to_string()))
}

fn table(tasks: &[TaskStatus]) -> String {
    let row = |task: &TaskStatus| {
        [
            task.task.clone(),
            task.service.clone(),
            task.kind.to_string(),
            task.phase.to_string(),
            task.attempt.to_string(),
            or_dash(task.agent.as_ref()),
            task.evictions.to_string(),
            task.failures.to_string(),
            or_dash(task.reason.as_ref()),
        ]
    };
    let header = ["task", "service", "kind", "phase", "attempt", "agent", "evictions", "failures", "reason"];
    Table::new(header).with_rows(tasks, row).render()
}

fn describe(task: &TaskStatus) -> String {
    let progress = task.progress.map(|p| format!("{}, last grown {} ago", p.counter, span(p.age_ms)));
    let cancel = if task.cancel_requested && !task.phase.is_ended() { " (cancel requested)" } else { "" };
    let lines = [
        ("task", task.task.clone()),
        ("service", format!("{}, profile {}, team {}, {}", task.service, task.profile, task.team, task.kind)),
        ("phase", format!("{}{cancel}", task.phase)),
        ("attempt", format!("{} on {}", task.attempt, or_dash(task.agent.as_ref()))),
        ("evictions", task.evictions.to_string()),
        ("failures", task.failures.to_string()),
        ("progress", or_dash(progress)),
        ("reason", or_dash(task.reason.as_ref())),
        ("deadline", time(task.deadline_unix_ms)),
    ];
    lines.iter().map(|(name, value)| format!("{name:<10} {}\n", printable(value))).collect()
}
