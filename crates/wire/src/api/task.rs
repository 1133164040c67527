//! Tasks: submission, status and list.

use std::fmt;

use fescuelead_core::{
    cell::{Task, TaskPhase},
    ids::{ProfileName, RequestKey, ServiceName},
    plain,
    profile::{Kind, MAX_SPAN_MS, Profile, ProfileSet},
    record::{MAX_PAYLOAD_BYTES, TaskSpec},
};

use crate::api::problem::{ApiError, ApiErrorKind};

plain! {
    /// The body of `POST /v1/tasks`.
    #[serde(deny_unknown_fields)]
    pub struct TaskSubmission {
        /// The idempotency key. Submitting the same key with the same work again changes nothing.
        pub key: String,
        /// The service whose code the task runs. May be left out if one service alone uses the profile.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub service: Option<String>,
        /// The profile. May be left out; the service's own is used then.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub profile: Option<String>,
        /// What the task is told, as text of at most [`MAX_PAYLOAD_BYTES`] bytes.
        #[serde(default)]
        pub payload: String,
        /// The time that the task may take in all. May be left out; the profile's own is used then.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub deadline_ms: Option<u64>,
    }

    /// The answer to `POST /v1/tasks`, given once the submission is in the log.
    pub struct TaskAnswer {
        /// The id of the task.
        pub task: String,
        /// Whether this submission made the task; false if the same key was submitted before.
        pub created: bool,
        /// Where the task stands.
        pub status: TaskStatus,
    }

    /// Where a task stands.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Phase {
        /// It waits for its next attempt.
        Pending,
        /// Its current attempt belongs to an agent.
        Assigned,
        /// Its current attempt is fenced; the next one starts after the wait.
        Fenced,
        /// It did its work.
        Succeeded,
        /// It ran and failed in all its attempts.
        Failed,
        /// Its caller cancelled it.
        Cancelled,
        /// It is non-idempotent, and it is unknown whether it ran.
        Unknown,
    }

    /// The progress that a running task last reported.
    #[derive(Copy)]
    pub struct Progress {
        /// A counter that grows while the task makes progress.
        pub counter: u64,
        /// How long ago it last grew.
        pub age_ms: u64,
    }

    /// One task.
    pub struct TaskStatus {
        /// Its id.
        pub task: String,
        /// The service whose code it runs.
        pub service: String,
        /// The profile that it was submitted under.
        pub profile: String,
        /// The team whose quota counts.
        pub team: String,
        /// The kind of work.
        pub kind: Kind,
        /// Where it stands.
        pub phase: Phase,
        /// The number of the current attempt, or of the next one while it waits; counts from 1.
        pub attempt: u32,
        /// The agent of the current attempt.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub agent: Option<String>,
        /// Attempts that were stopped or fenced after they had started.
        pub evictions: u32,
        /// Attempts that ran and failed.
        pub failures: u32,
        /// Whether its caller cancelled it; it ends once its attempt is stopped.
        #[serde(default)]
        pub cancel_requested: bool,
        /// The progress that its current attempt last reported.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub progress: Option<Progress>,
        /// Why it failed, or what it waits for.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub reason: Option<String>,
        /// When its result is no longer useful.
        pub deadline_unix_ms: u64,
    }

    /// The answer to `GET /v1/tasks`.
    pub struct TaskPage {
        /// The tasks, in the order of their ids.
        pub items: Vec<TaskStatus>,
        /// The value of `after` for the next page; none on the last page.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub next: Option<String>,
    }
}

impl TaskSubmission {
    /// Starts a submission under an idempotency key.
    pub fn new(key: impl Into<String>) -> Self {
        Self { key: key.into(), service: None, profile: None, payload: String::new(), deadline_ms: None }
    }

    /// Sets the service.
    pub fn with_service(self, service: impl Into<String>) -> Self {
        Self { service: Some(service.into()), ..self }
    }

    /// Sets the profile.
    pub fn with_profile(self, profile: impl Into<String>) -> Self {
        Self { profile: Some(profile.into()), ..self }
    }

    /// Sets what the task is told.
    pub fn with_payload(self, payload: impl Into<String>) -> Self {
        Self { payload: payload.into(), ..self }
    }

    /// Sets the time that the task may take in all.
    pub fn with_deadline_ms(self, deadline_ms: u64) -> Self {
        Self { deadline_ms: Some(deadline_ms), ..self }
    }

    /// The idempotency key, checked.
    ///
    /// # Errors
    ///
    /// Fails if the key is no valid identifier.
    pub fn request_key(&self) -> Result<RequestKey, ApiError> {
        RequestKey::new(&self.key).map_err(ApiError::bad_id("key"))
    }

    /// The task under the profile set in force, with its deadline counted from `now_unix_ms`.
    ///
    /// # Errors
    ///
    /// Fails if the service or profile is missing, unknown or not unique, the payload is too large or the deadline is
    /// out of range.
    pub fn to_spec(&self, set: &ProfileSet, now_unix_ms: u64) -> Result<TaskSpec, ApiError> {
        let (service, name, profile) = self.resolve(set)?;
        let deadline_ms = self.deadline_ms.unwrap_or(profile.deadline_ms);
        if !(1..=MAX_SPAN_MS).contains(&deadline_ms) {
            return Err(ApiErrorKind::DeadlineOutOfRange { deadline_ms, limit_ms: MAX_SPAN_MS }.into());
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            let length_bytes = self.payload.len();
            return Err(ApiErrorKind::PayloadTooLarge { length_bytes, limit_bytes: MAX_PAYLOAD_BYTES }.into());
        }
        Ok(TaskSpec {
            service,
            profile: name,
            team: profile.team.clone(),
            kind: profile.kind,
            idempotent: profile.idempotent,
            resources: profile.resources,
            run_ms: profile.run_ms,
            priority: profile.priority,
            attempts: profile.attempts,
            deadline_unix_ms: now_unix_ms.saturating_add(deadline_ms),
            progress_deadline_ms: profile.progress_deadline_ms,
            payload: self.payload.clone().into_bytes(),
        })
    }

    fn resolve<'s>(&self, set: &'s ProfileSet) -> Result<(ServiceName, ProfileName, &'s Profile), ApiError> {
        let service = match (&self.service, &self.profile) {
            (Some(service), _) => ServiceName::new(service).map_err(ApiError::bad_id("service"))?,
            (None, Some(profile)) => only_service(set, profile)?,
            (None, None) => return Err(ApiErrorKind::NoServiceOrProfile.into()),
        };
        let known = set.services.get(&service);
        let known = known.ok_or_else(|| ApiErrorKind::UnknownService { service: service.to_string() })?;
        let name = match &self.profile {
            Some(profile) => ProfileName::new(profile).map_err(ApiError::bad_id("profile"))?,
            None => known.profile.clone(),
        };
        let profile = set.profiles.get(&name);
        let profile = profile.ok_or_else(|| ApiErrorKind::UnknownProfile { profile: name.to_string() })?;
        Ok((service, name, profile))
    }
}

fn only_service(set: &ProfileSet, profile: &str) -> Result<ServiceName, ApiError> {
    let mut users = set.services.iter().filter(|(_, service)| service.profile.as_str() == profile);
    match (users.next(), users.count()) {
        (Some((service, _)), 0) => Ok(service.clone()),
        _ if set.profile(profile).is_none() => Err(ApiErrorKind::UnknownProfile { profile: profile.to_owned() }.into()),
        (first, others) => {
            let services = others + usize::from(first.is_some());
            Err(ApiErrorKind::AmbiguousProfile { profile: profile.to_owned(), services }.into())
        }
    }
}

impl Phase {
    /// Whether the task will not run again.
    pub fn is_ended(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled | Self::Unknown)
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pending => "pending",
            Self::Assigned => "assigned",
            Self::Fenced => "fenced",
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Unknown => "unknown",
        })
    }
}

impl From<&TaskPhase> for Phase {
    fn from(phase: &TaskPhase) -> Self {
        match phase {
            TaskPhase::Pending => Self::Pending,
            TaskPhase::Assigned { .. } => Self::Assigned,
            TaskPhase::Fenced { .. } => Self::Fenced,
            TaskPhase::Succeeded => Self::Succeeded,
            TaskPhase::Failed { .. } => Self::Failed,
            TaskPhase::Cancelled => Self::Cancelled,
            TaskPhase::Unknown => Self::Unknown,
        }
    }
}

/// The log holds no progress; the entry adds it with [`TaskStatus::with_progress`] from the agent's reports.
impl From<&Task> for TaskStatus {
    fn from(task: &Task) -> Self {
        let reason = match &task.phase {
            TaskPhase::Failed { reason } => Some(reason.clone()),
            _ => None,
        };
        Self {
            task: task.id.to_string(),
            service: task.spec.service.to_string(),
            profile: task.spec.profile.to_string(),
            team: task.spec.team.to_string(),
            kind: task.spec.kind,
            phase: (&task.phase).into(),
            attempt: task.attempt,
            agent: task.runner().map(|runner| runner.agent.to_string()),
            evictions: task.evictions,
            failures: task.failures,
            cancel_requested: task.cancel_requested,
            progress: None,
            reason,
            deadline_unix_ms: task.spec.deadline_unix_ms,
        }
    }
}

impl TaskStatus {
    /// Adds the progress that the agent reported.
    pub fn with_progress(self, progress: Progress) -> Self {
        Self { progress: Some(progress), ..self }
    }

    /// Adds why the task failed, or what it waits for.
    pub fn with_reason(self, reason: impl Into<String>) -> Self {
        Self { reason: Some(reason.into()), ..self }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SET: &str = r#"
        [team.labels]
        quota = { cpu_milli = 8000, memory_mib = 16384 }
        [profile.master]
        kind = "batch"
        team = "labels"
        deadline_ms = 60000
        resources = { cpu_milli = 2000, memory_mib = 4096 }
        [service.masters]
        profile = "master"
    "#;

    fn set() -> ProfileSet {
        ProfileSet::parse(SET).expect("valid set")
    }

    /// Guards against a misspelt deadline that is silently replaced by the profile's own.
    #[test]
    fn unknown_fields_in_a_submission_are_refused() {
        let error = serde_json::from_str::<TaskSubmission>(r#"{"key":"k","service":"masters","deadline":5}"#);
        assert!(error.expect_err("unknown field").to_string().contains("deadline"));
    }

    /// Guards against a task that runs under another profile or deadline than its caller asked for.
    #[test]
    fn a_submission_takes_the_rest_from_its_profile() {
        let by_profile = TaskSubmission::new("k").with_profile("master").to_spec(&set(), 1_000).expect("valid");
        let by_service = TaskSubmission::new("k").with_service("masters").to_spec(&set(), 1_000).expect("valid");
        assert_eq!(by_profile, by_service);
        assert_eq!((by_profile.service.as_str(), by_profile.deadline_unix_ms), ("masters", 61_000));
        let short = TaskSubmission::new("k").with_service("masters").with_deadline_ms(5).to_spec(&set(), 1_000);
        assert_eq!(short.map(|spec| spec.deadline_unix_ms), Ok(1_005));
    }

    /// Guards against a task that is accepted and could never run.
    #[test]
    fn a_submission_that_names_nothing_known_is_refused() {
        for (submission, word) in [
            (TaskSubmission::new("k"), "neither"),
            (TaskSubmission::new("k").with_service("covers"), "covers"),
            (TaskSubmission::new("k").with_profile("cover"), "cover"),
            (TaskSubmission::new("k").with_service("masters").with_deadline_ms(0), "deadline_ms"),
            (TaskSubmission::new("k").with_service("masters").with_payload("x".repeat(20_000)), "20000 bytes"),
        ] {
            let error = submission.to_spec(&set(), 0).expect_err("invalid");
            assert!(error.to_string().contains(word), "{error}");
        }
    }
}
