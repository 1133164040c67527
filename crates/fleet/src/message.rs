/*!
The protocol between the leader and an agent. Each frame is a length in four bytes, big-endian, followed by a message in
the postcard format.

Frames are used instead of capnp-rpc because a host has a seventh of a core for everything, the messages are one-way and
need no object references, and a frame costs one system call.
*/

use std::io;

use fescuelead_core::{
    jobs::{
        HostInfo, JobId, Rejection, RunEnd, RunProgress, Suspicion, TaskRef,
        image_interference::{Change, PairTable},
        pace::{Headroom, Paces},
    },
    plain,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The maximum size of the message in a frame, in bytes. The largest message reports all 500 ended runs that an
/// endpoint lists at a time.
const MAX_FRAME_BYTES: usize = 1 << 20;

plain! {
    /// A message from the leader to an agent.
    pub enum ToAgent {
        /// Opens a session. An agent refuses a leader whose epoch is lower than the highest that it has seen.
        Hello {
            /// The epoch of the leader, which is higher than that of earlier leaders.
            epoch: u64,
            /// The name of the leader's entry, for logs.
            leader: String,
        },
        /// Answers [`ToLeader::Ask`]: the agent may extend the endpoint's lease.
        Grant {
            /// When the agent sent the request, in milliseconds on the agent's clock.
            asked_ms: u64,
            /// How long the grant lasts from `asked_ms` on, in milliseconds. Zero if the leader is not certain to lead.
            grant_ms: u64,
        },
        /// Start a run unless it is already running.
        Start(Start),
        /// Stop a run, or prevent it from starting.
        Stop {
            /// The task whose run is stopped.
            task: TaskRef,
            /// The number of the run. Other runs of the task are not affected.
            run: u32,
        },
        /// Interference estimates for the images on this host that have changed.
        Pairs(PairTable),
        /// The leader has stored the ended runs up to this number, so that the endpoint may forget them.
        Forget {
            /// The incarnation of the endpoint that numbered the ended runs.
            incarnation: u64,
            /// The highest such number.
            up_to: u64,
        },
    }

    /// An order to start a run.
    pub struct Start {
        /// The incarnation of the endpoint to start on. Agents ignore the order for any other incarnation.
        pub incarnation: u64,
        /// The task to run.
        pub task: TaskRef,
        /// The number of the run, which grows with each run of the task.
        pub run: u32,
        /// The job's payload, which only the task interprets.
        pub payload: String,
        /// The checkpoint to resume from; `None` to run from the beginning.
        pub checkpoint: Option<String>,
        /// The processors that the task requests, in thousandths of a core.
        pub cpu_milli: u32,
        /// Whether the task only uses processor time that other tasks leave, and is slowed if it disturbs them.
        pub background: bool,
        /// The upper bound of the tail latency of a task that serves users, in milliseconds; `None` for other tasks.
        pub tail_target_ms: Option<u32>,
        /// The image that the task runs; `None` if the job names none. Interference is estimated for each pair of
        /// images.
        pub image: Option<String>,
        /// The memory that the task requests, in MiB. Earlier versions neither send nor read this field and the next one; 0 if
        /// the leader is of an earlier version.
        #[serde(deserialize_with = "fescuelead_core::trailing::or_default")]
        pub memory_mib: u32,
        /// The accelerators that the task requests.
        #[serde(deserialize_with = "fescuelead_core::trailing::or_default")]
        pub accelerators: u32,
        /// When the order expires, in milliseconds on the agent's clock: what the leader has read from the store is too old then.
        /// `None` if the leader is of an earlier version, which does not send this field.
        #[serde(deserialize_with = "fescuelead_core::trailing::or_default")]
        pub expires_at_ms: Option<u64>,
    }

    /// A message from an agent to the leader.
    pub enum ToLeader {
        /// The agent has seen a leader with a higher epoch and refuses this session.
        Superseded {
            /// The epoch of the later leader.
            epoch: u64,
        },
        /// Requests a grant. Sent at a fixed interval, so that it also serves as a heartbeat.
        Ask {
            /// When the request was sent, in milliseconds on the agent's clock.
            asked_ms: u64,
            /// The jobs of which tasks have started since the request before, or in this session at all in its first one.
            /// Earlier versions neither send nor read this field.
            #[serde(deserialize_with = "fescuelead_core::trailing::or_default")]
            started: Vec<JobId>,
            /// The runs that may have crashed the endpoint, while it refuses connections or has not answered since. Repeated in
            /// each request, since a later leader does not know them; `None` once the same incarnation has answered. Earlier
            /// versions neither send nor read this field.
            #[serde(deserialize_with = "fescuelead_core::trailing::or_default")]
            suspicion: Option<Suspicion>,
            /// The progress of runs that has changed since it was last sent in this session. Earlier versions neither send nor read
            /// this field.
            #[serde(deserialize_with = "fescuelead_core::trailing::or_default")]
            progress: Vec<RunProgress>,
        },
        /// The endpoint's latest announcement; `None` if there is none yet, or while the endpoint refuses connections or is lost.
        Info(Option<HostInfo>),
        /// All runs on the endpoint. Sent when a session opens and when the endpoint answers again after a restart or a
        /// loss, in both cases after the ended runs that are known. The endpoint lists a limited number of them at a time, so
        /// a run that is in neither may have ended.
        Runs {
            /// The incarnation of the endpoint.
            incarnation: u64,
            /// The tasks and numbers of runs that are running or being started.
            running: Vec<(TaskRef, u32)>,
        },
        /// A run has ended.
        Ended {
            /// The incarnation of the endpoint, within which ended runs are numbered.
            incarnation: u64,
            /// The run and how it ended.
            ended: RunEnd,
        },
        /// A run has not started and never will.
        Rejected {
            /// The incarnation of the endpoint.
            incarnation: u64,
            /// The task whose run was rejected.
            task: TaskRef,
            /// The number of the run.
            run: u32,
            /// Why the run was rejected.
            reason: Rejection,
        },
        /// A run has saved a checkpoint.
        Checkpoint {
            /// The incarnation of the endpoint.
            incarnation: u64,
            /// The task whose run saved the checkpoint.
            task: TaskRef,
            /// The number of the run.
            run: u32,
            /// The checkpoint, from which a later run can resume.
            checkpoint: String,
        },
        /// How far background tasks may increase the latencies of serving tasks on this host.
        Headroom(Headroom),
        /// The shares of their full speed at which background images run on this host.
        Paces(Paces),
        /// Changes of latencies on this host, each with the change of background work at the same time.
        Changes(Vec<Change>),
        /// The interference estimates that earlier leaders sent to this agent.
        Remembered(PairTable),
        /// All runs on this incarnation have ended, because the next one answers or the lease has expired.
        Gone {
            /// The incarnation of the endpoint that was lost; [`UNKNOWN_INCARNATION`](fescuelead_core::jobs::UNKNOWN_INCARNATION) if this agent has not heard of it.
            incarnation: u64,
            /// The runs that had started at most [`SUSPECT_AGE_MS`](fescuelead_core::jobs::SUSPECT_AGE_MS) before the endpoint crashed, in the order of their
            /// starts. Empty unless the next incarnation has proved the crash. Earlier versions neither send nor read this field.
            #[serde(deserialize_with = "fescuelead_core::trailing::or_default")]
            suspects: Vec<(TaskRef, u32)>,
            /// The runs that exist or may exist on the next incarnation, which has restarted at once; their tasks are not started
            /// elsewhere. Earlier versions neither send nor read this field.
            #[serde(deserialize_with = "fescuelead_core::trailing::or_default")]
            taken_over: Vec<(TaskRef, u32)>,
        },
    }
}

/// Encodes messages as frames into one buffer.
///
/// # Errors
///
/// Fails if a message exceeds 1 MiB or cannot be encoded.
pub fn encode<M: Serialize>(messages: &[M]) -> io::Result<Vec<u8>> {
    let mut buffer = Vec::new();
    for message in messages {
        let start = buffer.len();
        buffer.extend_from_slice(&[0; 4]);
        buffer = postcard::to_extend(message, buffer).map_err(io::Error::other)?;
        let length = buffer.len() - start - 4;
        if length > MAX_FRAME_BYTES {
            return Err(io::Error::other(format!("a message of {length} bytes exceeds {MAX_FRAME_BYTES}")));
        }
        buffer[start..start + 4].copy_from_slice(&(length as u32).to_be_bytes());
    }
    Ok(buffer)
}

/// Writes messages as frames in one call.
///
/// # Errors
///
/// Fails if the connection fails or a message cannot be encoded, as for [`encode`].
pub async fn write<M: Serialize>(writer: &mut (impl AsyncWrite + Unpin), messages: &[M]) -> io::Result<()> {
    writer.write_all(&encode(messages)?).await
}

/// Reads one frame and decodes its message.
///
/// # Errors
///
/// Fails if the connection fails, the frame exceeds 1 MiB, or the bytes are not a message of this version.
pub async fn read<M: DeserializeOwned>(reader: &mut (impl AsyncRead + Unpin)) -> io::Result<M> {
    read_within(reader, MAX_FRAME_BYTES).await
}

/// Reads one frame of at most `max_bytes` and decodes its message.
///
/// # Errors
///
/// Fails like [`read`], but for frames that exceed `max_bytes`.
pub async fn read_within<M: DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> io::Result<M> {
    let length = reader.read_u32().await? as usize;
    if length > max_bytes {
        return Err(io::Error::other(format!("a frame of {length} bytes exceeds {max_bytes}")));
    }
    let mut frame = vec![0; length];
    reader.read_exact(&mut frame).await?;
    postcard::from_bytes(&frame).map_err(io::Error::other)
}
