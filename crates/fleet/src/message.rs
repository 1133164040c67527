/*!
What the leader and an agent say to each other: frames of a length of four bytes, big-endian, and a message in postcard.

A hand-written frame and not capnp-rpc: a host has a seventh of a core for everything, the messages are one-way and need
no object references, and a frame costs one system call.
*/

use std::io;

use fescuelead_core::{
    jobs::{
        HostInfo, Rejection, RunEnd, TaskRef,
        image_interference::{Change, PairTable},
        pace::{Headroom, Paces},
    },
    plain,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The largest frame in bytes. The largest message reports every end that an endpoint lists at a time, 500.
const MAX_FRAME_BYTES: usize = 1 << 20;

plain! {
    /// From the leader to an agent.
    pub enum ToAgent {
        /// Opens a session. An agent serves the highest epoch that it has seen.
        Hello {
            /// The leader's epoch.
            epoch: u64,
            /// The leader's name, for logs.
            leader: String,
        },
        /// Answers [`ToLeader::Ask`]: the lease may go on.
        Grant {
            /// When the question was sent, on the agent's clock.
            asked_ms: u64,
            /// How long the grant lasts from then, in milliseconds.
            grant_ms: u64,
        },
        /// Start a run, unless it is there already.
        Start(Start),
        /// Stop a run, or keep it from starting.
        Stop {
            /// The task.
            task: TaskRef,
            /// The run.
            run: u32,
        },
        /// What was learned of the images on this host.
        Pairs(PairTable),
        /// The ends up to this number are stored.
        Forget {
            /// The incarnation of the endpoint.
            incarnation: u64,
            /// The number.
            up_to: u64,
        },
    }

    /// An order to start a run.
    pub struct Start {
        /// The incarnation of the endpoint that is meant.
        pub incarnation: u64,
        /// The task.
        pub task: TaskRef,
        /// The run.
        pub run: u32,
        /// What the task is to do.
        pub payload: String,
        /// The checkpoint to go on from.
        pub checkpoint: Option<String>,
        /// The processors that the task asks for, in thousandths of a core.
        pub cpu_milli: u32,
        /// Whether the task only uses processor time that others leave.
        pub background: bool,
        /// The bound on the tail latency of a task that serves users, in milliseconds.
        pub tail_target_ms: Option<u32>,
        /// What the task runs.
        pub image: Option<String>,
    }

    /// From an agent to the leader.
    pub enum ToLeader {
        /// A leader with a higher epoch has been here.
        Superseded {
            /// That epoch.
            epoch: u64,
        },
        /// Asks for a grant. Sent at a fixed interval; shows that the agent lives.
        Ask {
            /// When it was sent, on the agent's clock.
            asked_ms: u64,
        },
        /// What the endpoint says of itself; `None` if it is silent.
        Info(Option<HostInfo>),
        /// What runs, after all ends that there are.
        Runs {
            /// The incarnation of the endpoint.
            incarnation: u64,
            /// The runs that are there or being started.
            running: Vec<(TaskRef, u32)>,
        },
        /// A run ended.
        Ended {
            /// The incarnation of the endpoint.
            incarnation: u64,
            /// The end.
            ended: RunEnd,
        },
        /// A run does not exist and never will.
        Rejected {
            /// The incarnation of the endpoint.
            incarnation: u64,
            /// The task.
            task: TaskRef,
            /// The run.
            run: u32,
            /// Why.
            reason: Rejection,
        },
        /// A run has saved a checkpoint.
        Checkpoint {
            /// The incarnation of the endpoint.
            incarnation: u64,
            /// The task.
            task: TaskRef,
            /// The run.
            run: u32,
            /// The checkpoint.
            checkpoint: String,
        },
        /// What background tasks may add to the latencies of serving tasks here.
        Headroom(Headroom),
        /// The shares at which background images run here.
        Paces(Paces),
        /// How latencies and the work of background tasks changed together.
        Changes(Vec<Change>),
        /// What an earlier leader had learned of the images here.
        Remembered(PairTable),
        /// Nothing that was started on this incarnation runs any more.
        Gone {
            /// The incarnation of the endpoint.
            incarnation: u64,
        },
    }
}

/// Encodes messages as frames into one buffer.
///
/// # Errors
///
/// Fails if a message is too large.
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

/// Writes messages.
///
/// # Errors
///
/// Fails if the connection does or a message is too large.
pub async fn write<M: Serialize>(writer: &mut (impl AsyncWrite + Unpin), messages: &[M]) -> io::Result<()> {
    writer.write_all(&encode(messages)?).await
}

/// Reads one message.
///
/// # Errors
///
/// Fails if the connection does or the bytes are no message of this version.
pub async fn read<M: DeserializeOwned>(reader: &mut (impl AsyncRead + Unpin)) -> io::Result<M> {
    let length = reader.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::other(format!("a frame of {length} bytes exceeds {MAX_FRAME_BYTES}")));
    }
    let mut frame = vec![0; length];
    reader.read_exact(&mut frame).await?;
    postcard::from_bytes(&frame).map_err(io::Error::other)
}
