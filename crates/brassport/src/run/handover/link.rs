//! The Unix socket between the two processes of an upgrade: messages, and the sockets passed with them.
//!
//! A frame is the message's length in four bytes (little-endian), one byte that is not 0 if a socket is attached, and
//! the message as JSON. The socket (SCM_RIGHTS, unix(7)) is attached to the frame's first byte.

use super::protocol::Message;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Maximum size of a message, in bytes: enough for the policy's state of 50,000 customers, and little enough for the
/// memory of both processes of an upgrade.
const MAX_MESSAGE_BYTES: usize = 32 << 20;
/// Size of a frame's header, in bytes.
const HEADER_BYTES: usize = 5;
/// Maximum number of bytes of one read.
const READ_CHUNK_BYTES: usize = 64 * 1024;
/// Maximum number of sockets of one read. The kernel ends a read after a message with attached sockets.
const MAX_SOCKETS_PER_READ: usize = 8;

/// The sending side of a link; clones send on the same link. Messages sent after the link's end are dropped.
#[derive(Debug, Clone)]
pub struct Sender(mpsc::UnboundedSender<(Message, Option<OwnedFd>)>);

impl Sender {
    pub fn send(&self, message: Message, socket: Option<OwnedFd>) {
        let _ = self.0.send((message, socket));
    }
}

/// One end of the link.
#[derive(Debug)]
pub struct Link {
    stream: Rc<UnixStream>,
    sender: Sender,
    /// Bytes received that are not parsed yet.
    buffer: Vec<u8>,
    /// Sockets received whose messages are not parsed yet.
    sockets: VecDeque<OwnedFd>,
}

impl Link {
    /// Creates a link over a connected stream. Must be client within a `LocalSet`.
    pub fn new(stream: UnixStream) -> Link {
        let stream = Rc::new(stream);
        let (sender, mut queue) = mpsc::unbounded_channel::<(Message, Option<OwnedFd>)>();
        let to = stream.clone();
        spawn_local(async move {
            while let Some((message, socket)) = queue.recv().await {
                if write(&to, &message, socket).await.is_err() {
                    return;
                }
            }
        });
        Link { stream, sender: Sender(sender), buffer: Vec::new(), sockets: VecDeque::new() }
    }

    pub fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// Receives the next message, and its socket if one is attached; `None` once the other side has closed the link
    /// or sent an invalid frame. Cancel safe.
    pub async fn receive(&mut self) -> Option<(Message, Option<OwnedFd>)> {
        loop {
            if let Some(header) = self.buffer.first_chunk::<HEADER_BYTES>() {
                let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
                let with_socket = header[4] != 0;
                if length > MAX_MESSAGE_BYTES {
                    return None;
                }
                if let Some(text) = self.buffer.get(HEADER_BYTES..HEADER_BYTES + length) {
                    let message = serde_json::from_slice(text).ok()?;
                    self.buffer.drain(..HEADER_BYTES + length);
                    let socket = if with_socket { Some(self.sockets.pop_front()?) } else { None };
                    return Some((message, socket));
                }
            }
            self.read_more().await.ok()?;
        }
    }

    async fn read_more(&mut self) -> io::Result<()> {
        loop {
            self.stream.readable().await?;
            let (buffer, sockets) = (&mut self.buffer, &mut self.sockets);
            let stream = &self.stream;
            let got = stream.try_io(Interest::READABLE, || {
                let mut bytes = [0; READ_CHUNK_BYTES];
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS_PER_READ))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut parts = [IoSliceMut::new(&mut bytes)];
                let got = recvmsg(stream.as_fd(), &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes;
                for message in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(rights) = message {
                        sockets.extend(rights);
                    }
                }
                buffer.extend_from_slice(&bytes[..got]);
                Ok(got)
            });
            match got {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
}

async fn write(to: &UnixStream, message: &Message, socket: Option<OwnedFd>) -> io::Result<()> {
    let text = serde_json::to_vec(message)?;
    let length = u32::try_from(text.len()).map_err(io::Error::other)?;
    let mut frame = Vec::with_capacity(HEADER_BYTES + text.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.push(u8::from(socket.is_some()));
    frame.extend_from_slice(&text);
    let mut socket = socket;
    let mut written = 0;
    while written < frame.len() {
        to.writable().await?;
        let sent = to.try_io(Interest::WRITABLE, || {
            let rights = socket.as_ref().map(|socket| [socket.as_fd()]);
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            if let Some(rights) = &rights {
                control.push(SendAncillaryMessage::ScmRights(rights));
            }
            let rest = [IoSlice::new(&frame[written..])];
            Ok(sendmsg(to.as_fd(), &rest, &mut control, SendFlags::NOSIGNAL)?)
        });
        match sent {
            Ok(sent) => {
                written += sent;
                socket = None;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Listens at this path, accessible to this user only, and replaces an earlier listener. May block for seconds if the
/// directory is on a busy disk, so it must not be client on the thread that serves requests.
///
/// # Errors
/// The directory cannot be written, or the system does not support Unix sockets.
pub fn listen(path: &Path) -> io::Result<std::os::unix::net::UnixListener> {
    use std::os::unix::fs::PermissionsExt;
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(format!(".{}", std::process::id()));
    let temporary = PathBuf::from(temporary);
    // A file of an earlier process with the same process id.
    let _ = std::fs::remove_file(&temporary);
    let listener = std::os::unix::net::UnixListener::bind(&temporary)?;
    listener.set_nonblocking(true)?;
    std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(0o600))?;
    // The rename is atomic: a client connects either to the old listener or to this one.
    std::fs::rename(&temporary, path)?;
    Ok(listener)
}

/// Whether the process at the other end runs as the same user as this one.
pub fn is_same_user(stream: &UnixStream) -> bool {
    stream.peer_cred().is_ok_and(|peer| peer.uid() == rustix::process::geteuid().as_raw())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use tokio::task::LocalSet;

    fn pair() -> (UnixStream, UnixStream) {
        UnixStream::pair().expect("a pair")
    }

    async fn in_local_set<T>(work: impl std::future::Future<Output = T>) -> T {
        LocalSet::new().run_until(work).await
    }

    #[tokio::test]
    async fn messages_and_attached_sockets_arrive_in_order() {
        in_local_set(async {
            let (one, other) = pair();
            let (one, mut other) = (Link::new(one), Link::new(other));
            let mut kept = Vec::new();
            for number in 0..20u8 {
                let (mine, theirs) = std::os::unix::net::UnixStream::pair().expect("a pair");
                kept.push(mine);
                one.sender().send(Message::Client { read: vec![number; 5], asked: 1 }, Some(theirs.into()));
                one.sender().send(Message::Descriptors(usize::from(number)), None);
            }
            for number in 0..20u8 {
                let (message, socket) = other.receive().await.expect("a client");
                assert_eq!(message, Message::Client { read: vec![number; 5], asked: 1 });
                let mut socket = std::os::unix::net::UnixStream::from(socket.expect("a socket"));
                socket.write_all(&[number]).expect("it is open");
                let mut byte = [0];
                kept[usize::from(number)].read_exact(&mut byte).expect("a byte");
                assert_eq!(byte, [number], "each message has its own socket");
                assert_eq!(
                    other.receive().await.expect("a number").0,
                    Message::Descriptors(usize::from(number))
                );
            }
            drop(one);
            assert!(other.receive().await.is_none());
        })
        .await;
    }

    #[tokio::test]
    async fn a_message_longer_than_one_read_arrives_complete() {
        in_local_set(async {
            let (one, other) = pair();
            let (one, mut other) = (Link::new(one), Link::new(other));
            let long = Message::Client { read: vec![7; 300_000], asked: 0 };
            one.sender().send(long.clone(), None);
            assert_eq!(other.receive().await.expect("a message").0, long);
        })
        .await;
    }

    #[tokio::test]
    async fn an_invalid_frame_ends_the_link() {
        in_local_set(async {
            for bytes in
                [&b"\xff\xff\xff\xff\x00"[..], b"\x03\0\0\0\x00{}}", b"\x04\0\0\0\x01\"Go\"", b"\x02"]
            {
                let (one, other) = pair();
                let mut other = Link::new(other);
                let mut one = one.into_std().expect("a stream");
                one.write_all(bytes).expect("it is written");
                drop(one);
                assert!(other.receive().await.is_none(), "{bytes:?}");
            }
        })
        .await;
    }

    #[tokio::test]
    async fn a_new_listener_replaces_the_old_one_and_only_the_owner_has_access() {
        use std::os::unix::fs::PermissionsExt;
        let path = std::env::temp_dir().join(format!("brassport-link-test-{}.sock", std::process::id()));
        let first = listen(&path).expect("it listens");
        drop(first);
        let second = listen(&path).expect("it listens in place of the closed one");
        let second = tokio::net::UnixListener::from_std(second).expect("a listener");
        let mode = std::fs::metadata(&path).expect("a file").permissions().mode();
        assert_eq!(mode & 0o777, 0o600);
        let client = UnixStream::connect(&path).await.expect("a connection");
        let (accepted, _) = second.accept().await.expect("an accepted connection");
        assert!(is_same_user(&accepted) && is_same_user(&client));
        std::fs::remove_file(&path).expect("the socket file exists");
    }
}
