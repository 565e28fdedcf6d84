//! The side of connections that receives.

use super::{InboundFrames, IDLE_TIMEOUT};
use crate::frame::MAX_FRAME_BYTES;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Pause after a failed accept: without file descriptors left it would fail again at once.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// A connection without a frame for so long is closed. Longer than the other side keeps an idle one, so that it is the side
/// that sends which closes, and no frame meets a closed connection.
const READ_IDLE_TIMEOUT: Duration = IDLE_TIMEOUT.saturating_mul(2);

/// Accepts connections and owns their readers.
pub(super) async fn accept(listener: TcpListener, inbound: InboundFrames) {
    let mut readers = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Readers that ended stay in the set until they are joined.
                while readers.try_join_next().is_some() {}
                readers.spawn_local(read(stream, inbound.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Reads one connection's frames until its end or a fault.
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
