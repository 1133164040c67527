//! Conversions between the plain types and the generated readers and builders.

use std::{net::SocketAddr, sync::Arc};

use capnp::{struct_list, text, traits::OwnedStruct};
use fescuelead_core::{
    ids::{AgentId, AttemptRef, AvailabilityZone, EntryId, EntryRef, ProfileName, RackId, ServiceName, TaskId, TeamId},
    profile::{Kind, LeaseSettings},
    promise::Promise,
    record::{Outcome, TaskSpec},
    runner::{Command, Report, SyncReply, SyncRequest},
    units::Resources,
};

use crate::{
    messages::{
        AgentHello, EndpointReport, EntryAddress, Heartbeat, HeartbeatReply, KeyAnswer, MAX_LIST_LENGTH, MessageError,
        RunningAttempt, UsageReport,
    },
    peer_capnp as p,
};

type Checked<T> = Result<T, MessageError>;

/// Reads an attempt.
///
/// # Errors
///
/// Fails if the task's id is malformed.
pub fn read_attempt(reader: p::attempt_ref::Reader<'_>) -> Checked<AttemptRef> {
    Ok(AttemptRef::new(TaskId::new(reader.get_task()?.to_str()?)?, reader.get_attempt()))
}

/// Writes an attempt.
pub fn write_attempt(attempt: &AttemptRef, mut builder: p::attempt_ref::Builder<'_>) {
    builder.set_task(attempt.task.as_str());
    builder.set_attempt(attempt.attempt);
}

/// Reads an amount of resources.
pub fn read_resources(reader: p::resources::Reader<'_>) -> Resources {
    Resources::new(reader.get_cpu_milli(), reader.get_memory_mib()).with_accelerators(reader.get_accelerators())
}

/// Writes an amount of resources.
pub fn write_resources(resources: &Resources, mut builder: p::resources::Builder<'_>) {
    builder.set_cpu_milli(resources.cpu_milli);
    builder.set_memory_mib(resources.memory_mib);
    builder.set_accelerators(resources.accelerators);
}

/// Reads which run of an entry is meant.
///
/// # Errors
///
/// Fails if the entry's id is malformed.
pub fn read_entry(reader: p::entry_ref::Reader<'_>) -> Checked<EntryRef> {
    Ok(EntryRef::new(EntryId::new(reader.get_entry()?.to_str()?)?, reader.get_incarnation()))
}

/// Writes which run of an entry is meant.
pub fn write_entry(entry: &EntryRef, mut builder: p::entry_ref::Builder<'_>) {
    builder.set_entry(entry.entry.as_str());
    builder.set_incarnation(entry.incarnation);
}

fn read_address(reader: text::Reader<'_>) -> Checked<SocketAddr> {
    let text = reader.to_str()?;
    text.parse().map_err(|_| MessageError::address(text))
}

fn read_optional(reader: text::Reader<'_>) -> Checked<Option<String>> {
    let text = reader.to_str()?;
    Ok((!text.is_empty()).then(|| text.to_owned()))
}

fn read_percent(percent: u8) -> Checked<u8> {
    if percent <= 100 { Ok(percent) } else { Err(MessageError::range("percent")) }
}

fn read_list<'a, S, T, C>(list: struct_list::Reader<'a, S>, read: impl Fn(S::Reader<'a>) -> Checked<T>) -> Checked<C>
where
    S: OwnedStruct,
    C: FromIterator<T>,
{
    if list.len() > MAX_LIST_LENGTH {
        return Err(MessageError::too_many(list.len()));
    }
    list.iter().map(read).collect()
}

/// Writes the elements of an exact-size collection into a list of the same length.
macro_rules! write_list {
    ($builder:expr, $init:ident, $items:expr, $write:expr) => {{
        let mut list = $builder.reborrow().$init($items.len() as u32);
        for (index, item) in $items.iter().enumerate() {
            $write(item, list.reborrow().get(index as u32));
        }
    }};
}

impl TryFrom<p::agent_hello::Reader<'_>> for AgentHello {
    type Error = MessageError;

    fn try_from(reader: p::agent_hello::Reader<'_>) -> Checked<Self> {
        Ok(Self {
            agent: AgentId::new(reader.get_agent()?.to_str()?)?,
            incarnation: reader.get_incarnation(),
            availability_zone: AvailabilityZone::new(reader.get_availability_zone()?.to_str()?)?,
            rack: RackId::new(reader.get_rack()?.to_str()?)?,
            request_address: read_address(reader.get_request_address()?)?,
            capacity: read_resources(reader.get_capacity()?),
            cell: reader.get_cell(),
        })
    }
}

impl AgentHello {
    /// Writes the message.
    pub fn write(&self, mut builder: p::agent_hello::Builder<'_>) {
        builder.set_agent(self.agent.as_str());
        builder.set_incarnation(self.incarnation);
        builder.set_availability_zone(self.availability_zone.as_str());
        builder.set_rack(self.rack.as_str());
        builder.set_request_address(self.request_address.to_string());
        write_resources(&self.capacity, builder.reborrow().init_capacity());
        builder.set_cell(self.cell);
    }
}

impl TryFrom<p::endpoint_report::Reader<'_>> for EndpointReport {
    type Error = MessageError;

    fn try_from(reader: p::endpoint_report::Reader<'_>) -> Checked<Self> {
        Ok(Self {
            service: ServiceName::new(reader.get_service()?.to_str()?)?,
            slots: reader.get_slots(),
            connections: reader.get_connections(),
            in_flight: reader.get_in_flight(),
            leaving: reader.get_leaving(),
            incarnation: reader.get_incarnation(),
            service_time_us: reader.get_service_time_us(),
            served_requests: reader.get_served_requests(),
            served_total_us: reader.get_served_total_us(),
        })
    }
}

fn write_endpoint(endpoint: &EndpointReport, mut builder: p::endpoint_report::Builder<'_>) {
    builder.set_service(endpoint.service.as_str());
    builder.set_slots(endpoint.slots);
    builder.set_connections(endpoint.connections);
    builder.set_in_flight(endpoint.in_flight);
    builder.set_leaving(endpoint.leaving);
    builder.set_incarnation(endpoint.incarnation);
    builder.set_service_time_us(endpoint.service_time_us);
    builder.set_served_requests(endpoint.served_requests);
    builder.set_served_total_us(endpoint.served_total_us);
}

impl TryFrom<p::running_attempt::Reader<'_>> for RunningAttempt {
    type Error = MessageError;

    fn try_from(reader: p::running_attempt::Reader<'_>) -> Checked<Self> {
        Ok(Self {
            attempt: read_attempt(reader.get_attempt()?)?,
            profile: ProfileName::new(reader.get_profile()?.to_str()?)?,
            resources: read_resources(reader.get_resources()?),
            throttle_percent: read_percent(reader.get_throttle_percent())?,
            progress: reader.get_progress(),
            frozen: reader.get_frozen(),
        })
    }
}

fn write_running(running: &RunningAttempt, mut builder: p::running_attempt::Builder<'_>) {
    write_attempt(&running.attempt, builder.reborrow().init_attempt());
    builder.set_profile(running.profile.as_str());
    write_resources(&running.resources, builder.reborrow().init_resources());
    builder.set_throttle_percent(running.throttle_percent);
    builder.set_progress(running.progress);
    builder.set_frozen(running.frozen);
}

fn read_report(reader: p::attempt_report::Reader<'_>) -> Checked<Report> {
    use p::attempt_report::Which;

    let attempt = read_attempt(reader.get_attempt()?)?;
    Ok(match reader.which()? {
        Which::Stopped(stopped) => Report::Stopped {
            attempt,
            started: stopped.get_started(),
            checkpoint: read_optional(stopped.get_checkpoint()?)?,
        },
        Which::Succeeded(()) => Report::Finished { attempt, outcome: Outcome::Succeeded },
        Which::Failed(reason) => {
            Report::Finished { attempt, outcome: Outcome::Failed { reason: reason?.to_str()?.to_owned() } }
        }
    })
}

fn write_report(report: &Report, mut builder: p::attempt_report::Builder<'_>) {
    write_attempt(report.attempt(), builder.reborrow().init_attempt());
    match report {
        Report::Stopped { started, checkpoint, .. } => {
            let mut stopped = builder.init_stopped();
            stopped.set_started(*started);
            stopped.set_checkpoint(checkpoint.as_deref().unwrap_or(""));
        }
        Report::Finished { outcome: Outcome::Succeeded, .. } => builder.set_succeeded(()),
        Report::Finished { outcome: Outcome::Failed { reason }, .. } => builder.set_failed(reason.as_str()),
    }
}

impl TryFrom<p::usage_sample::Reader<'_>> for UsageReport {
    type Error = MessageError;

    fn try_from(reader: p::usage_sample::Reader<'_>) -> Checked<Self> {
        let slowdown = reader.get_slowdown();
        if !slowdown.is_finite() || slowdown < 0.0 {
            return Err(MessageError::range("slowdown"));
        }
        Ok(Self {
            attempt: read_attempt(reader.get_attempt()?)?,
            profile: ProfileName::new(reader.get_profile()?.to_str()?)?,
            age_ms: reader.get_age_ms(),
            interval_ms: reader.get_interval_ms(),
            cpu_milli: reader.get_cpu_milli(),
            memory_mib: reader.get_memory_mib(),
            slowdown,
        })
    }
}

fn write_usage(usage: &UsageReport, mut builder: p::usage_sample::Builder<'_>) {
    write_attempt(&usage.attempt, builder.reborrow().init_attempt());
    builder.set_profile(usage.profile.as_str());
    builder.set_age_ms(usage.age_ms);
    builder.set_interval_ms(usage.interval_ms);
    builder.set_cpu_milli(usage.cpu_milli);
    builder.set_memory_mib(usage.memory_mib);
    builder.set_slowdown(usage.slowdown);
}

impl TryFrom<p::sync_request::Reader<'_>> for Heartbeat {
    type Error = MessageError;

    fn try_from(reader: p::sync_request::Reader<'_>) -> Checked<Self> {
        let sync = SyncRequest {
            agent: AgentId::new(reader.get_agent()?.to_str()?)?,
            incarnation: reader.get_incarnation(),
            number: reader.get_number(),
            held: read_list(reader.get_held()?, read_attempt)?,
            reports: read_list(reader.get_reports()?, read_report)?,
            free: read_resources(reader.get_free()?),
        };
        Ok(Self {
            sync,
            running: read_list(reader.get_running()?, TryFrom::try_from)?,
            endpoints: read_list(reader.get_endpoints()?, TryFrom::try_from)?,
            usage: read_list(reader.get_usage()?, TryFrom::try_from)?,
            config_version: reader.get_config_version(),
            wait_ms: reader.get_wait_ms(),
        })
    }
}

impl Heartbeat {
    /// Writes the message.
    pub fn write(&self, mut builder: p::sync_request::Builder<'_>) {
        builder.set_agent(self.sync.agent.as_str());
        builder.set_incarnation(self.sync.incarnation);
        builder.set_number(self.sync.number);
        write_list!(builder, init_held, self.sync.held, write_attempt);
        write_list!(builder, init_reports, self.sync.reports, write_report);
        write_resources(&self.sync.free, builder.reborrow().init_free());
        write_list!(builder, init_running, self.running, write_running);
        write_list!(builder, init_endpoints, self.endpoints, write_endpoint);
        write_list!(builder, init_usage, self.usage, write_usage);
        builder.set_config_version(self.config_version);
        builder.set_wait_ms(self.wait_ms);
    }
}

fn read_promise(reader: p::promise::Reader<'_>) -> Checked<Promise> {
    Ok(Promise {
        by: read_entry(reader.get_by()?)?,
        view: reader.get_view(),
        set_version: reader.get_set_version(),
        set: read_list(reader.get_set()?, read_entry)?,
        except: read_list(reader.get_except()?, read_attempt)?,
    })
}

fn write_promise(promise: &Promise, mut builder: p::promise::Builder<'_>) {
    write_entry(&promise.by, builder.reborrow().init_by());
    builder.set_view(promise.view);
    builder.set_set_version(promise.set_version);
    write_list!(builder, init_set, promise.set, write_entry);
    write_list!(builder, init_except, promise.except, write_attempt);
}

fn read_spec(reader: p::task_spec::Reader<'_>) -> Checked<TaskSpec> {
    let progress_deadline_ms = reader.get_progress_deadline_ms();
    Ok(TaskSpec {
        service: ServiceName::new(reader.get_service()?.to_str()?)?,
        profile: ProfileName::new(reader.get_profile()?.to_str()?)?,
        team: TeamId::new(reader.get_team()?.to_str()?)?,
        kind: read_kind(reader.get_kind()?),
        idempotent: reader.get_idempotent(),
        resources: read_resources(reader.get_resources()?),
        run_ms: reader.get_run_ms(),
        priority: reader.get_priority(),
        attempts: reader.get_attempts(),
        deadline_unix_ms: reader.get_deadline_unix_ms(),
        progress_deadline_ms: (progress_deadline_ms > 0).then_some(progress_deadline_ms),
        payload: reader.get_payload()?.to_vec(),
    })
}

fn write_spec(spec: &TaskSpec, mut builder: p::task_spec::Builder<'_>) {
    builder.set_service(spec.service.as_str());
    builder.set_profile(spec.profile.as_str());
    builder.set_team(spec.team.as_str());
    builder.set_kind(write_kind(spec.kind));
    builder.set_idempotent(spec.idempotent);
    write_resources(&spec.resources, builder.reborrow().init_resources());
    builder.set_run_ms(spec.run_ms);
    builder.set_priority(spec.priority);
    builder.set_attempts(spec.attempts);
    builder.set_deadline_unix_ms(spec.deadline_unix_ms);
    builder.set_progress_deadline_ms(spec.progress_deadline_ms.unwrap_or(0));
    builder.set_payload(&spec.payload);
}

fn read_kind(kind: p::Kind) -> Kind {
    match kind {
        p::Kind::LatencyCritical => Kind::LatencyCritical,
        p::Kind::Batch => Kind::Batch,
        p::Kind::LongRunning => Kind::LongRunning,
    }
}

fn write_kind(kind: Kind) -> p::Kind {
    match kind {
        Kind::LatencyCritical => p::Kind::LatencyCritical,
        Kind::Batch => p::Kind::Batch,
        Kind::LongRunning => p::Kind::LongRunning,
    }
}

fn read_command(reader: p::command::Reader<'_>) -> Checked<Command> {
    use p::command::Which;

    let attempt = read_attempt(reader.get_attempt()?)?;
    Ok(match reader.which()? {
        Which::Start(start) => Command::Start {
            attempt,
            agent_incarnation: start.get_agent_incarnation(),
            spec: Arc::new(read_spec(start.get_spec()?)?),
            checkpoint: read_optional(start.get_checkpoint()?)?,
        },
        Which::Stop(agent_incarnation) => Command::Stop { attempt, agent_incarnation },
        Which::Throttle(percent) => Command::Throttle { attempt, percent: read_percent(percent)? },
        Which::Checkpoint(()) => Command::Checkpoint { attempt },
    })
}

fn write_command(command: &Command, mut builder: p::command::Builder<'_>) {
    match command {
        Command::Start { attempt, agent_incarnation, spec, checkpoint } => {
            write_attempt(attempt, builder.reborrow().init_attempt());
            let mut start = builder.init_start();
            start.set_agent_incarnation(*agent_incarnation);
            write_spec(spec, start.reborrow().init_spec());
            start.set_checkpoint(checkpoint.as_deref().unwrap_or(""));
        }
        Command::Stop { attempt, agent_incarnation } => {
            write_attempt(attempt, builder.reborrow().init_attempt());
            builder.set_stop(*agent_incarnation);
        }
        Command::Throttle { attempt, percent } => {
            write_attempt(attempt, builder.reborrow().init_attempt());
            builder.set_throttle(*percent);
        }
        Command::Checkpoint { attempt } => {
            write_attempt(attempt, builder.reborrow().init_attempt());
            builder.set_checkpoint(());
        }
    }
}

fn read_entry_address(reader: p::entry_address::Reader<'_>) -> Checked<EntryAddress> {
    Ok(EntryAddress { entry: read_entry(reader.get_entry()?)?, address: read_address(reader.get_address()?)? })
}

fn write_entry_address(entry: &EntryAddress, mut builder: p::entry_address::Builder<'_>) {
    write_entry(&entry.entry, builder.reborrow().init_entry());
    builder.set_address(entry.address.to_string());
}

fn some_number(number: u64) -> Option<u64> {
    (number > 0).then_some(number)
}

impl TryFrom<p::sync_reply::Reader<'_>> for HeartbeatReply {
    type Error = MessageError;

    fn try_from(reader: p::sync_reply::Reader<'_>) -> Checked<Self> {
        let promise = reader.has_promise().then(|| read_promise(reader.get_promise()?)).transpose()?;
        let sync = SyncReply {
            by: read_entry(reader.get_by()?)?,
            incarnation: reader.get_incarnation(),
            number: reader.get_number(),
            view: reader.get_view(),
            not_assigned: read_list(reader.get_not_assigned()?, read_attempt)?,
            cell_read_after: some_number(reader.get_cell_read_after()),
            config_read_after: some_number(reader.get_config_read_after()),
            config_version: reader.get_config_version(),
            zone_out: reader.get_zone_out(),
            lease: LeaseSettings {
                lease_ms: reader.get_lease_ms(),
                silence_ms: reader.get_silence_ms(),
                drift_ppm: reader.get_drift_ppm(),
            },
            promise,
            commands: read_list(reader.get_commands()?, read_command)?,
            accepted: read_list(reader.get_accepted()?, read_attempt)?,
        };
        Ok(Self { sync, entries: read_list(reader.get_entries()?, read_entry_address)? })
    }
}

impl HeartbeatReply {
    /// Writes the message.
    pub fn write(&self, mut builder: p::sync_reply::Builder<'_>) {
        let sync = &self.sync;
        write_entry(&sync.by, builder.reborrow().init_by());
        builder.set_incarnation(sync.incarnation);
        builder.set_number(sync.number);
        builder.set_view(sync.view);
        write_list!(builder, init_not_assigned, sync.not_assigned, write_attempt);
        builder.set_cell_read_after(sync.cell_read_after.unwrap_or(0));
        builder.set_config_read_after(sync.config_read_after.unwrap_or(0));
        builder.set_config_version(sync.config_version);
        builder.set_zone_out(sync.zone_out);
        builder.set_lease_ms(sync.lease.lease_ms);
        builder.set_silence_ms(sync.lease.silence_ms);
        builder.set_drift_ppm(sync.lease.drift_ppm);
        if let Some(promise) = &sync.promise {
            write_promise(promise, builder.reborrow().init_promise());
        }
        write_list!(builder, init_commands, sync.commands, write_command);
        write_list!(builder, init_accepted, sync.accepted, write_attempt);
        write_list!(builder, init_entries, self.entries, write_entry_address);
    }
}

impl From<p::KeyAnswer> for KeyAnswer {
    fn from(answer: p::KeyAnswer) -> Self {
        match answer {
            p::KeyAnswer::Refused => Self::Refused,
            p::KeyAnswer::Seen => Self::Seen,
            p::KeyAnswer::Unknown => Self::Unknown,
        }
    }
}

impl From<KeyAnswer> for p::KeyAnswer {
    fn from(answer: KeyAnswer) -> Self {
        match answer {
            KeyAnswer::Refused => Self::Refused,
            KeyAnswer::Seen => Self::Seen,
            KeyAnswer::Unknown => Self::Unknown,
        }
    }
}

#[cfg(test)]
mod tests {
    use fescuelead_core::testing;

    use super::*;

    fn attempt() -> AttemptRef {
        AttemptRef::new(TaskId::new("c0-t").expect("valid id"), 2)
    }

    fn heartbeat() -> Heartbeat {
        let checkpoint = Some("at-7".to_owned());
        let sync = SyncRequest {
            agent: AgentId::new("agent-1").expect("valid id"),
            incarnation: 3,
            number: 4,
            held: vec![attempt()],
            reports: vec![Report::Stopped { attempt: attempt(), started: true, checkpoint }],
            free: Resources::new(1, 2).with_accelerators(3),
        };
        Heartbeat { sync, running: vec![], endpoints: vec![], usage: vec![], config_version: 9, wait_ms: 100 }
    }

    fn round_trip(request: &Heartbeat) -> Checked<Heartbeat> {
        let mut message = capnp::message::Builder::new_default();
        request.write(message.init_root());
        message.get_root_as_reader::<p::sync_request::Reader<'_>>()?.try_into()
    }

    /// Guards against a field that is written but not read.
    #[test]
    fn a_heartbeat_survives_the_round_trip() {
        assert_eq!(round_trip(&heartbeat()).expect("valid message"), heartbeat());
    }

    /// Guards against a reply that loses a command or a proof.
    #[test]
    fn a_reply_survives_the_round_trip() {
        let entry = EntryRef::new(EntryId::new("entry-a").expect("valid id"), 5);
        let set = [entry.clone()].into();
        let start = Command::Start {
            attempt: attempt(),
            agent_incarnation: 3,
            spec: Arc::new(testing::task_spec()),
            checkpoint: None,
        };
        let sync = SyncReply {
            by: entry.clone(),
            incarnation: 3,
            number: 4,
            view: 17,
            not_assigned: vec![attempt()],
            cell_read_after: Some(2),
            config_read_after: None,
            config_version: 6,
            zone_out: true,
            lease: LeaseSettings::default(),
            promise: Some(Promise { by: entry, view: 17, set_version: 3, set, except: vec![attempt()] }),
            commands: vec![start, Command::Throttle { attempt: attempt(), percent: 40 }],
            accepted: vec![attempt()],
        };
        let reply = HeartbeatReply { sync, entries: vec![] };
        let mut message = capnp::message::Builder::new_default();
        reply.write(message.init_root());
        let reader = message.get_root_as_reader::<p::sync_reply::Reader<'_>>().expect("valid message");
        assert_eq!(HeartbeatReply::try_from(reader).expect("valid message"), reply);
    }

    /// Guards against a value that a peer should never have sent.
    #[test]
    fn impossible_values_are_refused() {
        let usage = UsageReport {
            attempt: attempt(),
            profile: ProfileName::new("master").expect("valid id"),
            age_ms: 0,
            interval_ms: 1,
            cpu_milli: 1,
            memory_mib: 1,
            slowdown: f64::NAN,
        };
        assert!(round_trip(&Heartbeat { usage: vec![usage], ..heartbeat() }).is_err());
    }
}
