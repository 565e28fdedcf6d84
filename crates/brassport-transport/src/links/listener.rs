//! The receiving side of connections.

use super::{InboundFrames, IDLE_TIMEOUT};
use crate::frame::MAX_FRAME_BYTES;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Pause after a failed accept. When the process is out of file descriptors, an immediate retry would fail as well.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// A connection is closed after this time without a frame. It exceeds the sender's idle timeout, so that the sender
/// closes idle connections and does not write a frame to a connection that the receiver has closed.
const READ_IDLE_TIMEOUT: Duration = IDLE_TIMEOUT.saturating_mul(2);

/// Accepts connections, and owns the tasks that read them.
pub(super) async fn accept(listener: TcpListener, inbound: InboundFrames) {
    let mut readers = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Joins finished readers, which otherwise stay in the set.
                while readers.try_join_next().is_some() {}
                readers.spawn_local(read(stream, inbound.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Reads frames from one connection until it ends, fails, or sends an invalid length.
async fn read(mut stream: TcpStream, inbound: InboundFrames) {
    loop {
        let Ok(Ok(length)) = timeout(READ_IDLE_TIMEOUT, stream.read_u32()).await else { return };
        if length as usize > MAX_FRAME_BYTES {
            return;
        }
        let mut frame = vec![0; length as usize];
        match timeout(IDLE_TIMEOUT, stream.read_exact(&mut frame)).await {
            Ok(Ok(_)) if inbound.send(frame).is_ok() => {}
            _ => return,
        }
    }
}
