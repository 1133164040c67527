//! Problem details (RFC 9457) with the outcome of the request.

use std::fmt;

use fescuelead_core::{ids::IdError, plain};

/// The media type of a [`Problem`].
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

plain! {
    /// What became of a request that was not answered.
    #[derive(Copy)]
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// It truly did not run.
        NotRun,
        /// It ran and failed.
        Failed,
        /// It is unknown whether it ran.
        Unknown,
    }

    /// The body of every failed answer.
    pub struct Problem {
        /// A URI that identifies the type of the problem.
        #[serde(rename = "type", default = "about_blank")]
        pub type_uri: String,
        /// The type of the problem in a few words.
        pub title: String,
        /// The HTTP status.
        pub status: u16,
        /// What happened this time.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub detail: String,
        /// What became of the request.
        pub outcome: Outcome,
        /// When the caller may try again.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub retry_after_ms: Option<u64>,
        /// The cell where the request would be accepted, with status 421.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub home_cell: Option<u16>,
        /// What the caller can do about it.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub remedy: String,
    }
}

fn about_blank() -> String {
    "about:blank".to_owned()
}

impl Outcome {
    /// The value of the header `fescuelead-outcome`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Problem {
    /// Starts a problem of the type `about:blank` with an HTTP status and a title.
    pub fn new(status: u16, title: impl Into<String>, outcome: Outcome) -> Self {
        Self {
            type_uri: about_blank(),
            title: title.into(),
            status,
            detail: String::new(),
            outcome,
            retry_after_ms: None,
            home_cell: None,
            remedy: String::new(),
        }
    }

    /// A request that an entry of another cell must answer: `what` has its home in `home_cell`. It did not run.
    pub fn other_cell(what: &str, home_cell: u32, own_cell: u32) -> Self {
        Self::new(421, "other cell", Outcome::NotRun)
            .with_detail(format!("{what} has its home in cell {home_cell}; this entry is of cell {own_cell}"))
            .with_home_cell(home_cell)
    }

    /// Names the cell where the request would be accepted, with the remedy.
    pub fn with_home_cell(self, home_cell: u32) -> Self {
        Self { home_cell: u16::try_from(home_cell).ok(), remedy: format!("ask an entry of cell {home_cell}"), ..self }
    }

    /// Sets the URI of the type.
    pub fn with_type_uri(self, type_uri: impl Into<String>) -> Self {
        Self { type_uri: type_uri.into(), ..self }
    }

    /// Sets what happened this time.
    pub fn with_detail(self, detail: impl Into<String>) -> Self {
        Self { detail: detail.into(), ..self }
    }

    /// Sets when the caller may try again.
    pub fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self { retry_after_ms: Some(retry_after_ms), ..self }
    }

    /// Sets what the caller can do about it.
    pub fn with_remedy(self, remedy: impl Into<String>) -> Self {
        Self { remedy: remedy.into(), ..self }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}, {})", self.title, self.status, self.outcome)?;
        for part in [&self.detail, &self.remedy].into_iter().filter(|part| !part.is_empty()) {
            write!(f, "; {part}")?;
        }
        self.retry_after_ms.map_or(Ok(()), |ms| write!(f, "; try again in {ms} ms"))
    }
}

/// Says why a request cannot be turned into core types. It becomes a [`Problem`] with status 422.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiError {
    kind: ApiErrorKind,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ApiErrorKind {
    BadId { field: &'static str, error: IdError },
    NoServiceOrProfile,
    UnknownService { service: String },
    UnknownProfile { profile: String },
    AmbiguousProfile { profile: String, services: usize },
    DeadlineOutOfRange { deadline_ms: u64, limit_ms: u64 },
    PayloadTooLarge { length_bytes: usize, limit_bytes: usize },
}

impl From<ApiErrorKind> for ApiError {
    fn from(kind: ApiErrorKind) -> Self {
        Self { kind }
    }
}

impl ApiError {
    pub(super) fn bad_id(field: &'static str) -> impl FnOnce(IdError) -> Self {
        move |error| ApiErrorKind::BadId { field, error }.into()
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ApiErrorKind::BadId { field, error } => write!(f, "field {field}: {error}"),
            ApiErrorKind::NoServiceOrProfile => write!(f, "neither service nor profile is named; name at least one"),
            ApiErrorKind::UnknownService { service } => {
                write!(f, "service {service:?} does not exist; add it to the profile set or name another")
            }
            ApiErrorKind::UnknownProfile { profile } => {
                write!(f, "profile {profile:?} does not exist; add it to the profile set or name another")
            }
            ApiErrorKind::AmbiguousProfile { profile, services } => {
                write!(f, "profile {profile:?} is used by {services} services, not by one; name the service")
            }
            ApiErrorKind::DeadlineOutOfRange { deadline_ms, limit_ms } => {
                write!(f, "deadline_ms is {deadline_ms}; use 1 to {limit_ms}")
            }
            ApiErrorKind::PayloadTooLarge { length_bytes, limit_bytes } => {
                write!(
                    f,
                    "the payload has {length_bytes} bytes; store it elsewhere and pass a name (limit {limit_bytes})"
                )
            }
        }
    }
}

impl std::error::Error for ApiError {}

impl From<ApiError> for Problem {
    fn from(error: ApiError) -> Self {
        Self::new(422, "invalid request", Outcome::NotRun).with_detail(error.to_string())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a caller that repeats a request because the outcome was lost on the wire.
    #[test]
    fn the_members_keep_their_names() {
        let problem = Problem::new(429, "too many requests", Outcome::NotRun).with_retry_after_ms(250);
        let json = serde_json::to_value(&problem).expect("serializable");
        assert_eq!(
            json,
            serde_json::json!({
                "type": "about:blank", "title": "too many requests", "status": 429,
                "outcome": "not-run", "retry_after_ms": 250,
            })
        );
    }
}
