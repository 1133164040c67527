/*!
The JSON types of the entry's HTTP API.

Requests refuse unknown fields, so that a misspelt field is never silently ignored. Answers may gain fields, so that a
tool of an earlier release reads the answers of a later entry. Points in time are milliseconds since the Unix epoch
(`_unix_ms`); all other times are spans (`_ms`), because the monotonic clocks of two processes are never compared.

```
use fescuelead_wire::api::{Outcome, Problem};

let problem = Problem::new(503, "log service unavailable", Outcome::NotRun)
    .with_detail("appends have failed for 12 s")
    .with_retry_after_ms(1_000);
let json = serde_json::to_string(&problem)?;
assert!(json.contains(r#""outcome":"not-run""#));
assert_eq!(serde_json::from_str::<Problem>(&json)?, problem);
# Ok::<(), serde_json::Error>(())
```
*/

mod burn;
mod burn_page;
mod config;
mod explain;
mod problem;
mod status;
mod task;

pub use self::{
    burn::{ActionCount, BurnCause, BurnItem, BurnPoint, BurnRate, BurnReport, LatencyMs, MissingEntry},
    burn_page::burn_page,
    config::{
        ConfigChange, ConfigDocument, ConfigHistory, ConfigHistoryItem, Laggard, PublishAnswer, PublishConflict,
        PublishRequest, Role, Rollout, ZoneAnswer, ZoneRequest,
    },
    explain::{ExplainKind, Explanation, Sentence},
    problem::{ApiError, Outcome, PROBLEM_MEDIA_TYPE, Problem},
    status::{
        EndpointStatus, EntryStatus, HostStatus, LogState, LogStatus, PeerCopy, ResourceAmount, Status, TaskCounts,
    },
    task::{Phase, Progress, TaskAnswer, TaskPage, TaskStatus, TaskSubmission},
};
