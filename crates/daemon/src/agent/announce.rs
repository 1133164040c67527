//! The API of an agent: announcements of endpoints, probes and metrics.

use std::sync::Arc;

use fescuelead_platform::announce::Announcement;
use fescuelead_wire::api::{Outcome, Problem};
use salvo::{Depot, Request, Response, Router, affix_state, handler, http::StatusCode};
use tokio::sync::mpsc;

use crate::{
    agent::endpoints::HostEndpoints,
    api::{body, common_routes, fail},
    lifecycle::Shutdown,
    metrics::Metrics,
};

/// The most slots or connections of an endpoint that are believed.
const MAX_SLOTS: u32 = 65_536;

#[derive(Clone)]
struct Announcements {
    host: Arc<HostEndpoints>,
    changed: mpsc::Sender<()>,
}

/// All routes of the API. `changed` is told when entries should learn of an announcement at once.
pub fn router(host: Arc<HostEndpoints>, changed: mpsc::Sender<()>, shutdown: Shutdown, metrics: Metrics) -> Router {
    let state = affix_state::insert("announcements", Announcements { host, changed })
        .insert("shutdown", shutdown)
        .insert("metrics", metrics);
    Router::new().hoop(state).push(common_routes()).push(Router::with_path("v1/announce").post(post_announcement))
}

#[handler]
async fn post_announcement(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let announcement = match body::<Announcement>(request).await.and_then(checked) {
        Ok(announcement) => announcement,
        Err(problem) => return fail(response, &problem),
    };
    if let Ok(announcements) = depot.get::<Announcements>("announcements")
        && announcements.host.announce(announcement)
    {
        // A full channel means that the entries are about to be told anyway.
        let _ = announcements.changed.try_send(());
    }
    response.status_code(StatusCode::NO_CONTENT);
}

fn checked(announcement: Announcement) -> Result<Announcement, Problem> {
    let sane = |number| (1..=MAX_SLOTS).contains(&number);
    if sane(announcement.slots) && sane(announcement.connections) && announcement.slots <= announcement.connections {
        return Ok(announcement);
    }
    let detail = format!("slots must be 1 to the number of connections, and connections at most {MAX_SLOTS}");
    Err(Problem::new(422, "bad announcement", Outcome::NotRun).with_detail(detail))
}
