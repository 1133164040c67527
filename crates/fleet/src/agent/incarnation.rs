//! What an agent knows of the present incarnation of its endpoint.

use std::collections::BTreeMap;

use fescuelead_core::{
    jobs::{HostInfo, RunEnd, TaskRef},
    units::TimeMs,
};

use super::Order;
use crate::endpoint::{EndList, Running};

/// What one incarnation of the endpoint has said and runs. A new incarnation starts with a new value, so that nothing of an
/// earlier one is taken for its own.
#[derive(Debug, Default)]
pub(super) struct IncarnationState {
    /// What it has announced, without the time that it has left; `None` before its first announcement and after its loss.
    pub(super) info: Option<HostInfo>,
    /// Until when it continues at least, as it has announced while it drains; `None` if it has not stated it.
    pub(super) ends_at: Option<TimeMs>,
    /// Whether it has announced that it ends.
    pub(super) departing: bool,
    /// Up to when answered report calls have extended the lease, in milliseconds on the endpoint's clock.
    pub(super) confirmed_lease_end_ms: u64,
    /// Its clock in the latest report, in milliseconds, and when that report arrived.
    pub(super) endpoint_clock: Option<(u64, TimeMs)>,
    /// When the call was sent that the latest report answered; 0 before the first report.
    pub(super) report_sent_at: TimeMs,
    /// Whether the latest report lists all ended runs.
    pub(super) end_list: EndList,
    /// The runs in the latest report.
    pub(super) running: BTreeMap<TaskRef, Running>,
    /// The orders that have not ended.
    pub(super) orders: BTreeMap<TaskRef, Order>,
    /// Ends that the leader has not confirmed as stored, by number.
    pub(super) ends: BTreeMap<u64, RunEnd>,
    /// The leader has stored the ends up to this number, so the endpoint may forget them.
    pub(super) forget_up_to: u64,
}
