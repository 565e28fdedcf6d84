//! Golden bytes: frames, members of views, and what stands on the wire before a frame, held against fixtures in
//! `tests/golden`.

#[path = "common/fixture.rs"]
mod fixture;
#[path = "common/hex.rs"]
mod hex;

use brassport_transport::frame;
use brassport_transport::links::Links;
use brassport_transport::peer_sampling::{AgedRecord, PartialView, PeerRecord};
use brassport_types::{DiskId, Incarnation};
use hex::hex;
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::time::timeout;

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");

fn framed<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) -> (String, String) {
    let bytes = frame::encode(value);
    let read: T = frame::decode(&bytes).expect("the frame can be read");
    assert_eq!(&read, value, "{name}");
    assert_eq!(frame::encode(&read), bytes, "{name}");
    (name.to_owned(), hex(&bytes))
}

fn member(number: u8) -> PeerRecord {
    let zone = format!("zone-{number}");
    PeerRecord {
        ip: [10, 0, 0, number].into(),
        incarnation: Incarnation(u64::MAX),
        zone,
        disk: DiskId(u64::from(number) - 1),
        is_core: number > 1,
    }
}

#[test]
fn frames_have_their_bytes() {
    let aged = AgedRecord { peer: member(2), age_ms: 8_999 };
    let mut views = PartialView::new(Ipv4Addr::new(10, 0, 0, 9), 5);
    for number in 1..4 {
        views.merge(1_000, AgedRecord { peer: member(number), age_ms: 100 });
    }
    let swapped = views.sample_for_exchange(1_250, member(1).ip);
    assert_eq!(swapped.len(), 2);
    let cases = [
        framed("member without a disk", &member(1)),
        framed("member with a disk", &member(2)),
        framed("aged", &aged),
        framed("swapped", &swapped),
        framed("nothing", &None::<AgedRecord>),
        framed("number", &u64::MAX),
        framed("text", &"zone-a".to_owned()),
    ];
    fixture::check(PACKAGE, "frames", &cases);
    assert_eq!(frame::decode::<PeerRecord>(b"\x01"), None);
    assert_eq!(frame::MAX_FRAME_BYTES, 16 << 20);
}

const DOOR: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const PEER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const PATIENCE: Duration = Duration::from_secs(5);

/// A door's links and what comes in, and a peer's sockets at the same port.
async fn linked() -> (Rc<Links>, UnboundedReceiver<Vec<u8>>, UdpSocket, TcpListener) {
    for _ in 0..20 {
        let datagrams = UdpSocket::bind((PEER, 0)).await.expect("a port");
        let port = datagrams.local_addr().expect("it has one").port();
        let Ok(listener) = TcpListener::bind((PEER, port)).await else { continue };
        let (inbound, came) = unbounded_channel();
        // The machine 10.0.0.2 is reached at the peer's address.
        let reached_at = BTreeMap::from([(Ipv4Addr::new(10, 0, 0, 2), PEER)]);
        if let Ok(links) = Links::open(DOOR, port, reached_at, inbound).await {
            return (links, came, datagrams, listener);
        }
    }
    panic!("no port is free at both addresses");
}

/// A frame of so many bytes.
fn counted(length: usize) -> Vec<u8> {
    (0..length).map(|place| place as u8).collect()
}

async fn wire() {
    let (links, mut came, datagrams, listener) = linked().await;
    let to = Ipv4Addr::new(10, 0, 0, 2);
    let mut buffer = vec![0; 4096];
    let mut cases = Vec::new();
    for (name, frame) in [("short", frame::encode(&member(2))), ("longest datagram", counted(1_200))] {
        // A datagram that the system does not take at once is dropped, as one right behind the start.
        let mut length = 0;
        for _ in 0..100 {
            links.send(to, frame.clone());
            if let Ok(came) = timeout(Duration::from_millis(50), datagrams.recv_from(&mut buffer)).await {
                (length, _) = came.expect(name);
            }
            if buffer[..length] == frame {
                break;
            }
        }
        assert_eq!(buffer[..length], frame, "{name}");
        cases.push((name.to_owned(), hex(&buffer[..length])));
    }
    // Two on one connection.
    links.send(to, counted(1_201));
    links.send(to, counted(1_300));
    let (mut stream, _) = timeout(PATIENCE, listener.accept()).await.expect("in time").expect("a connection");
    let mut bytes = vec![0; 4 + 1_201 + 4 + 1_300];
    timeout(PATIENCE, stream.read_exact(&mut bytes)).await.expect("in time").expect("both");
    cases.push(("two long ones".to_owned(), hex(&bytes)));
    fixture::check(PACKAGE, "wire", &cases);
    // And the same bytes are read.
    let door = SocketAddrV4::new(DOOR, datagrams.local_addr().expect("it has one").port());
    datagrams.send_to(b"a datagram", door).await.expect("sent");
    let frame = timeout(PATIENCE, came.recv()).await.expect("in time");
    assert_eq!(frame.as_deref(), Some(&b"a datagram"[..]));
    let mut stream = TcpStream::connect(door).await.expect("the door listens");
    stream.write_all(&bytes).await.expect("sent");
    for length in [1_201, 1_300] {
        let frame = timeout(PATIENCE, came.recv()).await.expect("in time");
        assert_eq!(frame, Some(counted(length)));
    }
}

#[test]
fn links_put_the_same_bytes_on_the_wire() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, wire());
}
