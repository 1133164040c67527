/*!
The control thread of an entry.

All control state of an entry lives on one thread, so it needs no locks: a state is borrowed, changed and given back
between two awaits. Followers of the streams fold records into it, agents' heartbeats are answered from it, a tick drives
fences and placement, and commands of the request path and the API are answered when the log shows their effect.
*/

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    sync::Arc,
};

use fescuelead_core::{
    cell::{CellEvent, CellState},
    cells::{append_spacing_ms, cell_quotas, cells_in_use},
    config::ConfigState,
    entry::EntryControl,
    ids::{AgentId, EntryRef, RequestKey},
    profile::LeaseSettings,
    record::{Record, RequestOutcome},
    snapshot::{CopyRequestSchedule, Follower},
    units::TimeMs,
    writer::GroupCommit,
};
use fescuelead_platform::log::SharedLog;
use tokio::{
    sync::{Notify, mpsc, oneshot},
    task::LocalSet,
};
use tokio_util::sync::CancellationToken;

use crate::{
    auth::Signature,
    entry::{
        commands::{ChangeAnswer, Command},
        journal::Journal,
        shared::{ConfigView, Shared},
        streams,
    },
    settings::EntrySettings,
};

mod activity;
mod agents;
mod answers;
mod burn;
mod claims;
mod copies;
mod folds;
mod held;
mod placing;
mod remedies;
mod scheduler;
mod snapshots;
mod status;

use self::{
    agents::Session, claims::OpenClaims, copies::Copies, folds::StreamHealth, held::HeldHeartbeats,
    scheduler::Scheduler, snapshots::Maintenance,
};

/// The time between two rounds of fences and placement while nothing happens.
const TICK_MS: u64 = 20;
/// How long a change that was asked for is waited for in the log.
const ANSWER_MS: u64 = 8_000;

/// The control of one entry.
pub struct Control {
    shared: Arc<Shared>,
    settings: Rc<EntrySettings>,
    peer_address: String,
    state: RefCell<State>,
    cell_outbox: Notify,
    config_outbox: Notify,
    /// Notified when the view changes, for commands that wait for their effect.
    changed: Notify,
    held: RefCell<HeldHeartbeats>,
}

struct State {
    cell: Follower<CellState>,
    config: Follower<ConfigState>,
    entry: EntryControl,
    cell_writer: GroupCommit,
    config_writer: GroupCommit,
    config_sequence: u64,
    changes: VecDeque<oneshot::Sender<ChangeAnswer>>,
    sessions: HashMap<AgentId, Session>,
    scheduler: Scheduler,
    journal: Journal,
    cell_health: StreamHealth,
    config_health: StreamHealth,
    maintenance: Maintenance,
    copies: Copies,
    open_claims: OpenClaims,
    started_at: TimeMs,
    claiming: HashMap<RequestKey, ()>,
    look_at: TimeMs,
    /// The cells of the profile set in force.
    cells: usize,
}

/// The task stream of a cell.
fn cell_stream(cell: u32) -> String {
    format!("cell-{cell}")
}

impl Control {
    /// The control of a new entry that agents reach at `peer_address`.
    pub fn new(shared: Arc<Shared>, settings: EntrySettings, peer_address: String) -> Rc<Self> {
        let me = shared.me.clone();
        let now = shared.clock.now();
        let writer = |me: &EntryRef| {
            GroupCommit::new(me.entry.clone(), me.incarnation).with_spacing_ms(settings.append_spacing_ms)
        };
        let state = State {
            cell: Follower::new(CellState::new(settings.common.cell)),
            entry: EntryControl::new(me.clone(), peer_address.clone(), LeaseSettings::default()),
            config: Follower::new(ConfigState::new()),
            cell_writer: writer(&me),
            config_writer: writer(&me),
            config_sequence: 0,
            changes: VecDeque::new(),
            sessions: HashMap::new(),
            scheduler: Scheduler::new(me, now),
            journal: Journal::new(Arc::clone(&shared)),
            cell_health: StreamHealth::new(now),
            config_health: StreamHealth::new(now),
            maintenance: Maintenance::new(now),
            copies: Copies::default(),
            open_claims: OpenClaims::new(now),
            started_at: now,
            claiming: HashMap::new(),
            look_at: now,
            cells: 1,
        };
        Rc::new(Self {
            shared,
            settings: Rc::new(settings),
            peer_address,
            state: RefCell::new(state),
            cell_outbox: Notify::new(),
            config_outbox: Notify::new(),
            changed: Notify::new(),
            held: RefCell::default(),
        })
    }

    /// Whether one of this entry's keys signed a text.
    pub(crate) fn accepts(&self, nonce: &[u8], text: &str, signature: &Signature) -> bool {
        self.settings.common.peer_keys.get().accepts(nonce, text, signature)
    }

    /// The cell that this entry belongs to.
    pub(crate) fn cell(&self) -> u32 {
        self.settings.common.cell
    }

    /// Which run of an entry this is.
    pub(crate) fn me(&self) -> &EntryRef {
        &self.shared.me
    }

    /// The most connections of agents.
    pub(crate) fn max_connections(&self) -> usize {
        self.settings.common.max_connections
    }

    /// Counts the open connections of agents.
    pub(crate) fn connections(&self) -> prometheus_client::metrics::gauge::Gauge {
        let label = crate::metrics::ListenerLabel { listener: "peer" };
        self.shared.observer.metrics.connections.get_or_create_owned(&label)
    }

    /// Runs until `stop`, then gives up its right to fence.
    pub async fn run(
        self: Rc<Self>,
        log: SharedLog,
        commands: mpsc::Receiver<Command>,
        listener: tokio::net::TcpListener,
        stop: CancellationToken,
    ) {
        let (cell, clock) = (cell_stream(self.settings.common.cell), self.shared.clock);
        let io_stop = CancellationToken::new();
        let local = LocalSet::new();
        let spawn_io = || {
            let fold = Rc::new(folds::CellFold::new(&self));
            let follow = streams::follow(log.clone(), cell.clone(), clock, fold, io_stop.clone());
            let outbox = Rc::new(folds::CellOutbox::new(&self));
            let write = streams::write(log.clone(), cell.clone(), clock, outbox, io_stop.clone());
            local.spawn_local(follow);
            local.spawn_local(write);
            let fold = Rc::new(folds::ConfigFold::new(&self));
            let follow = streams::follow(log.clone(), "config".to_owned(), clock, fold, io_stop.clone());
            let outbox = Rc::new(folds::ConfigOutbox::new(&self));
            let write = streams::write(log.clone(), "config".to_owned(), clock, outbox, io_stop.clone());
            local.spawn_local(follow);
            local.spawn_local(write);
        };
        spawn_io();
        local.spawn_local(crate::entry::peers::accept(Rc::clone(&self), listener, io_stop.clone()));
        local.spawn_local(Rc::clone(&self).answer_all(commands));
        if !self.settings.peers.is_empty() {
            let asking = Rc::clone(&self).ask_peers(CopyRequestSchedule::new(clock.now()));
            local.spawn_local(io_stop.clone().run_until_cancelled_owned(asking));
        }
        local
            .run_until(async {
                self.tick_until(stop).await;
                self.leave().await;
                io_stop.cancel();
            })
            .await;
    }

    async fn tick_until(self: &Rc<Self>, stop: CancellationToken) {
        loop {
            self.tick();
            let pause = tokio::time::sleep(std::time::Duration::from_millis(TICK_MS));
            tokio::select! {
                () = stop.cancelled() => return,
                () = pause => {}
            }
        }
    }

    /// Gives the fencing right back, if the log takes it in time.
    async fn leave(&self) {
        self.state.borrow_mut().entry.leave();
        let deadline = self.shared.clock.now().plus_ms(2_000);
        while self.shared.clock.now() < deadline {
            self.control_entry();
            let done = {
                let state = self.state.borrow();
                state.entry.is_retired(state.cell.state()) || !state.cell_health.is_reachable()
            };
            if done {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(TICK_MS)).await;
        }
    }

    fn tick(self: &Rc<Self>) {
        self.control_entry();
        self.watch_agents();
        // Nothing is decided on a copy.
        if !self.state.borrow().is_restricted() {
            self.drain_zones();
            self.wake_ordered();
            self.place();
            self.keep_up();
            self.settle_orphans();
        }
        self.update_readiness();
        self.look();
    }

    /// Lets the core's control write what is due: fences, acknowledgements, losses, heartbeats in the log.
    fn control_entry(&self) {
        let now = self.shared.clock.now();
        let records = {
            let State { entry, cell, .. } = &mut *self.state.borrow_mut();
            // A view with gaps could miss a fence.
            if !cell.is_complete() {
                return;
            }
            entry.poll(cell.state(), now)
        };
        self.append_all(records);
    }

    fn append_all(&self, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        let mut state = self.state.borrow_mut();
        for record in records {
            match record {
                Record::TaskCancelled { .. } => state.cell_writer.push_bulk(record),
                record => drop(state.cell_writer.push(record)),
            }
        }
        self.cell_outbox.notify_one();
    }

    fn append(&self, record: Record) {
        self.append_all(vec![record]);
    }

    /// An entry is ready once it has folded both streams to their tails. It stays ready while the log is down: its view
    /// was fresh once and never goes back. A peer's copy is as good: it is as fresh as the views of the entries that serve
    /// already.
    fn update_readiness(&self) {
        let state = self.state.borrow();
        let cell = state.cell_health.was_caught_up() || state.copies.has_cell();
        let ready = cell && (state.config_health.was_caught_up() || state.copies.has_config());
        self.shared.shutdown.set_ready(ready);
    }

    /// Takes in a cell that came from a snapshot or a peer's copy, as if all of it had been learned just now.
    fn cell_restored(&self) {
        let now = self.shared.clock.now();
        let state = &mut *self.state.borrow_mut();
        log::warn!("log: the cell was restored as of {}.", state.cell.state().next_offset());
        state.entry.restored(state.cell.state(), now);
        let runners: Vec<_> = state.cell.state().tasks().filter_map(|t| t.runner()).map(|r| r.agent.clone()).collect();
        runners.iter().for_each(|agent| state.watch_runner(agent, now));
        state.scheduler.restore(state.cell.state(), now);
        state.open_claims.restore(state.cell.state());
        state.space_appends(self.settings.append_spacing_ms);
        self.held.borrow().wake_all();
    }

    /// Takes in what a fold of the cell changed.
    fn cell_changed(&self, events: &[CellEvent]) {
        let now = self.shared.clock.now();
        let mut unwanted = Vec::new();
        {
            let state = &mut *self.state.borrow_mut();
            let lease = state.entry.lease();
            state.entry.folded(state.cell.state(), events, now);
            if state.entry.lease() != lease {
                self.held.borrow().wake_all();
            }
            state.space_appends(self.settings.append_spacing_ms);
            for event in events {
                state.observe_event(event, now);
                state.scheduler.on_event(event, state.cell.state(), now);
                state.open_claims.on_event(event);
                match event {
                    CellEvent::Claimed { key } => unwanted.extend(state.unwanted_claim(key)),
                    CellEvent::Assigned { runner, .. } => state.watch_runner(&runner.agent, now),
                    _ => {}
                }
            }
        }
        self.append_all(unwanted);
        if !events.is_empty() {
            events.iter().for_each(|event| self.held.borrow().wake_for(event));
            self.changed.notify_waiters();
        }
    }

    /// Publishes the configuration in force to the request path and the core.
    fn config_changed(&self) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let (version, lease) = (state.config.state().version(), state.config.state().set().lease);
        state.entry.propose_lease(version, lease);
        let quotas = cell_quotas(state.config.state().set(), self.settings.common.cell);
        state.entry.propose_quotas(version, quotas.clone());
        state.cells = cells_in_use(state.config.state().set()).len();
        state.space_appends(self.settings.append_spacing_ms);
        state.scheduler.set_config(state.config.state(), quotas, self.shared.clock.now());
        state.journal.on_config(state.config.state(), self.shared.clock.now());
        let view = ConfigView {
            version: state.config.state().version(),
            text: Arc::clone(state.config.state().text()),
            set: Arc::clone(state.config.state().set()),
            homes: Arc::clone(state.config.state().homes()),
            zones_out: state.config.state().zones_out().clone(),
        };
        let now = self.shared.now_us();
        let mut endpoints = self.shared.endpoints();
        let before = self.shared.config.borrow().zones_out.clone();
        before.symmetric_difference(&view.zones_out).for_each(|zone| {
            endpoints.balancer.set_zone_out(zone, view.zones_out.contains(zone), now);
        });
        drop(endpoints);
        self.shared.config.send_replace(Arc::new(view));
        self.held.borrow().wake_all();
        self.changed.notify_waiters();
    }
}

impl State {
    /// Keeps the appends of all entries of all cells under their limit.
    fn space_appends(&mut self, setting_ms: u64) {
        let registered = self.cell.state().fencers().registered().count();
        let spacing_ms = append_spacing_ms(setting_ms, registered, self.cells);
        self.cell_writer.set_spacing_ms(spacing_ms);
        self.config_writer.set_spacing_ms(spacing_ms);
    }

    /// A claim of ours that was given up before it reached the log: nobody sends its request, so it is resolved.
    fn unwanted_claim(&self, key: &RequestKey) -> Option<Record> {
        let claim = self.cell.state().claim(key)?;
        let ours = claim.by == *self.entry.me() && !self.claiming.contains_key(key);
        ours.then(|| Record::RequestResolved {
            key: key.clone(),
            claim_offset: claim.offset,
            outcome: RequestOutcome::NotRun,
        })
    }
}
