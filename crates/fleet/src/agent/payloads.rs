//! The payloads of starts that are under way: one for each job, and a bound on the calls that copy them.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::{Rc, Weak},
    sync::Arc,
};

use fescuelead_core::jobs::JobId;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of payloads in calls to the endpoint at a time. A larger payload is sent alone.
const MAX_CALL_BYTES: usize = 1 << 20;
/// The bytes that a permit stands for.
const PERMIT_BYTES: usize = 1_024;

/// The payloads of starts that are under way.
#[derive(Debug)]
pub(super) struct Payloads {
    by_job: RefCell<BTreeMap<JobId, Weak<str>>>,
    calls: Arc<Semaphore>,
}

impl Default for Payloads {
    fn default() -> Self {
        Self { by_job: RefCell::default(), calls: Arc::new(Semaphore::new(MAX_CALL_BYTES / PERMIT_BYTES)) }
    }
}

impl Payloads {
    /// The payload of a job, shared with other starts of the job. Linear in the number of jobs with starts under way.
    pub(super) fn share(&self, job: JobId, payload: &str) -> Rc<str> {
        let mut by_job = self.by_job.borrow_mut();
        by_job.retain(|_, shared| shared.strong_count() > 0);
        if let Some(shared) = by_job.get(&job).and_then(Weak::upgrade).filter(|shared| **shared == *payload) {
            return shared;
        }
        let shared: Rc<str> = payload.into();
        by_job.insert(job, Rc::downgrade(&shared));
        shared
    }

    /// Waits until a call may copy a payload of `bytes`; it may until the result is dropped.
    pub(super) async fn begin_call(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let permits = (bytes / PERMIT_BYTES + 1).min(MAX_CALL_BYTES / PERMIT_BYTES);
        self.calls.clone().acquire_many_owned(permits as u32).await.ok()
    }
}
