//! The Unix socket between the two processes of an upgrade: messages, and sockets that go over with them.
//!
//! A frame is four bytes of length (little-endian), one byte that says whether a socket comes with it, and the message
//! as JSON. The socket (SCM_RIGHTS, unix(7)) goes with the frame's first byte.

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

/// Most bytes of a message: what is learned of 50,000 customers, and no more than an upgrade's memory can hold.
const MOST: usize = 32 << 20;
const HEAD: usize = 5;
/// Read at once.
const CHUNK: usize = 64 * 1024;
/// Sockets that one read may bring: the kernel parts reads behind each message that has some.
const MOST_SOCKETS: usize = 8;

/// The sending side; clones send on the same link. What is sent after the link has ended is lost.
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
    read: Vec<u8>,
    sockets: VecDeque<OwnedFd>,
}

impl Link {
    /// Over a stream that is up. Must be called within a `LocalSet`.
    pub fn over(stream: UnixStream) -> Link {
        let stream = Rc::new(stream);
        let (sender, mut waiting) = mpsc::unbounded_channel::<(Message, Option<OwnedFd>)>();
        let to = stream.clone();
        spawn_local(async move {
            while let Some((message, socket)) = waiting.recv().await {
                if write(&to, &message, socket).await.is_err() {
                    return;
                }
            }
        });
        Link { stream, sender: Sender(sender), read: Vec::new(), sockets: VecDeque::new() }
    }

    pub fn sender(&self) -> Sender {
        self.sender.clone()
    }

    /// The next message, with its socket if it has one; `None` once the other side has ended or makes no sense.
    /// Dropping the future before it is ready loses nothing.
    pub async fn receive(&mut self) -> Option<(Message, Option<OwnedFd>)> {
        loop {
            if let Some(head) = self.read.first_chunk::<HEAD>() {
                let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
                let with_socket = head[4] != 0;
                if length > MOST {
                    return None;
                }
                if let Some(text) = self.read.get(HEAD..HEAD + length) {
                    let message = serde_json::from_slice(text).ok()?;
                    self.read.drain(..HEAD + length);
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
            let (read, sockets) = (&mut self.read, &mut self.sockets);
            let stream = &self.stream;
            let got = stream.try_io(Interest::READABLE, || {
                let mut bytes = [0; CHUNK];
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_SOCKETS))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut parts = [IoSliceMut::new(&mut bytes)];
                let got = recvmsg(stream.as_fd(), &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes;
                for message in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(rights) = message {
                        sockets.extend(rights);
                    }
                }
                read.extend_from_slice(&bytes[..got]);
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
    let mut frame = Vec::with_capacity(HEAD + text.len());
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

/// Listens at this path, for this user alone, in the place of whoever listened there. A folder on a busy disk may make
/// this wait for seconds: not for the thread that serves.
///
/// # Errors
/// The folder cannot be written, or the system has no such sockets.
pub fn listen(at: &Path) -> io::Result<std::os::unix::net::UnixListener> {
    use std::os::unix::fs::PermissionsExt;
    let mut fresh = at.as_os_str().to_owned();
    fresh.push(format!(".{}", std::process::id()));
    let fresh = PathBuf::from(fresh);
    // Of an earlier process of this number.
    let _ = std::fs::remove_file(&fresh);
    let listener = std::os::unix::net::UnixListener::bind(&fresh)?;
    listener.set_nonblocking(true)?;
    std::fs::set_permissions(&fresh, std::fs::Permissions::from_mode(0o600))?;
    // At once and whole: a caller finds the old one or this one.
    std::fs::rename(&fresh, at)?;
    Ok(listener)
}

/// Whether the other side is of this process's user.
pub fn is_own(stream: &UnixStream) -> bool {
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

    async fn within<T>(work: impl std::future::Future<Output = T>) -> T {
        LocalSet::new().run_until(work).await
    }

    #[tokio::test]
    async fn messages_and_their_sockets_arrive_in_order() {
        within(async {
            let (one, other) = pair();
            let (one, mut other) = (Link::over(one), Link::over(other));
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
                assert_eq!(byte, [number], "the sockets are in their order");
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
    async fn a_long_message_comes_whole() {
        within(async {
            let (one, other) = pair();
            let (one, mut other) = (Link::over(one), Link::over(other));
            let long = Message::Client { read: vec![7; 300_000], asked: 0 };
            one.sender().send(long.clone(), None);
            assert_eq!(other.receive().await.expect("a message").0, long);
        })
        .await;
    }

    #[tokio::test]
    async fn what_makes_no_sense_ends_the_link() {
        within(async {
            for bytes in
                [&b"\xff\xff\xff\xff\x00"[..], b"\x03\0\0\0\x00{}}", b"\x04\0\0\0\x01\"Go\"", b"\x02"]
            {
                let (one, other) = pair();
                let mut other = Link::over(other);
                let mut one = one.into_std().expect("a stream");
                one.write_all(bytes).expect("it is written");
                drop(one);
                assert!(other.receive().await.is_none(), "{bytes:?}");
            }
        })
        .await;
    }

    #[tokio::test]
    async fn the_newest_listener_has_the_path_and_nobody_else_may_call() {
        use std::os::unix::fs::PermissionsExt;
        let path = std::env::temp_dir().join(format!("brassport-link-test-{}.sock", std::process::id()));
        let first = listen(&path).expect("it listens");
        drop(first);
        let second = listen(&path).expect("it listens where a dead one did");
        let second = tokio::net::UnixListener::from_std(second).expect("a listener");
        let mode = std::fs::metadata(&path).expect("a file").permissions().mode();
        assert_eq!(mode & 0o777, 0o600);
        let called = UnixStream::connect(&path).await.expect("a call");
        let (caller, _) = second.accept().await.expect("the call comes");
        assert!(is_own(&caller) && is_own(&called));
        std::fs::remove_file(&path).expect("it was there");
    }
}
