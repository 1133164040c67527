//! Failures and the exit codes that they end in.

use std::io;

use fescuelead_wire::api::{ApiError, Outcome, Problem};

/// The exit codes; the help text lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command failed.
    Failure = 1,
    /// The arguments cannot work.
    Usage = 2,
    /// Another operator's change came first.
    Conflict = 3,
    /// The request did not run, or no entry could be reached.
    NotRun = 4,
    /// It is unknown whether the request ran.
    Unknown = 5,
}

/// Why a command ended without success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    exit: Exit,
    message: String,
    problem: Option<Box<Problem>>,
}

impl Failure {
    /// Makes a failure that ends in this exit code.
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { exit, message: message.into(), problem: None }
    }

    /// Arguments that cannot work.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::new(Exit::Usage, message)
    }

    /// Names what the failure is about in front of the message.
    pub fn with_prefix(self, prefix: &str) -> Self {
        Self { message: format!("{prefix}: {}", self.message), ..self }
    }

    /// The exit code.
    pub fn exit(&self) -> Exit {
        self.exit
    }

    /// What went wrong, with the remedy.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// One JSON object on one line.
    pub fn to_json(&self) -> String {
        serde_json::json!({
            "error": self.message,
            "exit_code": self.exit as u8,
            "problem": self.problem,
        })
        .to_string()
    }
}

impl From<Problem> for Failure {
    fn from(problem: Problem) -> Self {
        let exit = match (problem.status, problem.outcome) {
            (409 | 412, _) => Exit::Conflict,
            (_, Outcome::Unknown) => Exit::Unknown,
            // The request was understood and turned down; another try would end the same way.
            (400..=428 | 430..=499, _) | (_, Outcome::Failed) => Exit::Failure,
            (_, Outcome::NotRun) => Exit::NotRun,
        };
        Self { exit, message: problem.to_string(), problem: Some(Box::new(problem)) }
    }
}

impl From<ApiError> for Failure {
    fn from(error: ApiError) -> Self {
        Self::usage(error.to_string())
    }
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Self::new(Exit::Failure, error.to_string())
    }
}
