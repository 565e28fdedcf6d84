//! Links: the lifetime of connections and sockets.

use crate::harness::{block_on, in_time, sequential_bytes, Setup, PEER};
use brassport_transport::frame::MAX_FRAME_BYTES;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::timeout;

/// Whether the remote side has closed the connection.
async fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(in_time(stream.read(&mut [0; 16])).await, Ok(0) | Err(_))
}

#[test]
fn a_length_above_the_limit_closes_the_connection() {
    block_on(async {
        let mut setup = Setup::open().await;
        let mut stream = setup.connect().await;
        stream.write_u32(MAX_FRAME_BYTES as u32 + 1).await.expect("the length is written");
        assert!(is_closed(&mut stream).await);
        // Other connections are not affected.
        let mut stream = setup.connect().await;
        stream.write_all(&[0, 0, 0, 3, 7, 8, 9]).await.expect("the frame is written");
        assert_eq!(setup.next_frame().await, Some(vec![7, 8, 9]));
    });
}

#[test]
fn a_connection_that_the_peer_closed_is_replaced() {
    block_on(async {
        let setup = Setup::open().await;
        setup.links.send(PEER, sequential_bytes(2_000));
        drop(setup.accept().await);
        // Writes succeed until the kernel learns of the close; those frames are lost.
        let mut second = None;
        for _ in 0..100 {
            setup.links.send(PEER, sequential_bytes(2_000));
            second = timeout(Duration::from_millis(20), setup.peer_listener.accept()).await.ok();
            if second.is_some() {
                break;
            }
        }
        let (mut stream, _) = second.expect("a second connection").expect("the connection is accepted");
        let mut frame = vec![0; 4 + 2_000];
        in_time(stream.read_exact(&mut frame)).await.expect("a complete frame");
        assert_eq!(frame[4..], sequential_bytes(2_000));
    });
}

#[test]
fn dropped_links_close_all_their_sockets() {
    block_on(async {
        let setup = Setup::open().await;
        let local = setup.links_address();
        let mut incoming = setup.connect().await;
        incoming.write_all(&[0, 0, 0, 1]).await.expect("the length is written");
        setup.links.send(PEER, sequential_bytes(2_000));
        let mut outgoing = setup.accept().await;
        in_time(outgoing.read_exact(&mut [0; 4 + 2_000])).await.expect("a complete frame");
        let Setup { links, mut inbound, .. } = setup;
        drop(links);
        assert_eq!(in_time(inbound.recv()).await, None);
        assert!(is_closed(&mut incoming).await);
        assert!(is_closed(&mut outgoing).await);
        assert!(TcpStream::connect(local).await.is_err());
        UdpSocket::bind(local).await.expect("the port is free");
    });
}
