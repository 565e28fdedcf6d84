//! Golden tests: the encoding of frames and peer records, and the framing on the wire, compared with the fixtures in
//! `tests/golden`. The names of the cases match those in the fixtures.

use crate::harness::{block_on, in_time, peer_record, sequential_bytes, Setup, PEER};
use brassport_golden::hex;
use brassport_golden::Fixtures;
use brassport_transport::frame;
use brassport_transport::peer_sampling::{AgedRecord, PartialView, PeerRecord};
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use std::net::Ipv4Addr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));

/// Encodes a value, checks that it survives a round trip, and returns the case's name and the bytes in hexadecimal.
fn encoded_case<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    name: &str,
    value: &T,
) -> (String, String) {
    let bytes = frame::encode(value);
    let decoded: T = frame::decode(&bytes).expect("the frame can be decoded");
    assert_eq!(&decoded, value, "{name}");
    assert_eq!(frame::encode(&decoded), bytes, "{name}");
    (name.to_owned(), hex(&bytes))
}

#[test]
fn frames_match_the_golden_bytes() {
    let aged = AgedRecord { peer: peer_record(2), age_ms: 8_999 };
    let mut view = PartialView::new(Ipv4Addr::new(10, 0, 0, 9), 5);
    for number in 1..4 {
        view.merge(1_000, AgedRecord { peer: peer_record(number), age_ms: 100 });
    }
    let shuffled = view.shuffle_sample(1_250, peer_record(1).ip);
    assert_eq!(shuffled.len(), 2);
    let cases = [
        encoded_case("member without a disk", &peer_record(1)),
        encoded_case("member with a disk", &peer_record(2)),
        encoded_case("aged", &aged),
        encoded_case("swapped", &shuffled),
        encoded_case("nothing", &None::<AgedRecord>),
        encoded_case("number", &u64::MAX),
        encoded_case("text", &"zone-a".to_owned()),
    ];
    GOLDEN.same_lines("frames", &cases);
    assert_eq!(frame::decode::<PeerRecord>(b"\x01"), None);
    assert_eq!(frame::MAX_FRAME_BYTES, 16 << 20);
}

async fn exchange_over_links() {
    let mut setup = Setup::open().await;
    let mut cases = Vec::new();
    for (name, frame) in
        [("short", frame::encode(&peer_record(2))), ("longest datagram", sequential_bytes(1_200))]
    {
        let received = setup.exchange_datagram(&frame).await;
        assert_eq!(received, frame, "{name}");
        cases.push((name.to_owned(), hex(&received)));
    }
    // Two frames on one connection.
    setup.links.send(PEER, sequential_bytes(1_201));
    setup.links.send(PEER, sequential_bytes(1_300));
    let mut stream = setup.accept().await;
    let mut bytes = vec![0; 4 + 1_201 + 4 + 1_300];
    in_time(stream.read_exact(&mut bytes)).await.expect("both frames");
    cases.push(("two long ones".to_owned(), hex(&bytes)));
    GOLDEN.same_lines("wire", &cases);
    // The links decode the same bytes when they receive them.
    setup.peer_datagrams.send_to(b"a datagram", setup.links_address()).await.expect("the datagram is sent");
    assert_eq!(setup.next_frame().await.as_deref(), Some(&b"a datagram"[..]));
    let mut stream = setup.connect().await;
    stream.write_all(&bytes).await.expect("the frames are written");
    for length in [1_201, 1_300] {
        assert_eq!(setup.next_frame().await, Some(sequential_bytes(length)));
    }
}

#[test]
fn links_match_the_golden_bytes_on_the_wire() {
    block_on(exchange_over_links());
}
