//! A streamed response body: how the reader detects the end of the writer, and the writer that of the reader.

use brassport_proxy::body::{BodyError, ResponseBody, StreamedBody, MAX_PENDING_CHUNKS};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::task::Poll;

/// Reads a body to its end. Returns its bytes and whether the body was complete.
async fn read(mut body: StreamedBody, ended: &Rc<Cell<Option<bool>>>) -> (Vec<u8>, bool) {
    let ended = ended.clone();
    body.on_end(move |is_complete| ended.set(Some(is_complete)));
    let mut all = Vec::new();
    let mut body = ResponseBody::Streaming(body);
    loop {
        match body.frame().await {
            None => return (all, true),
            Some(Err(BodyError)) => return (all, false),
            Some(Ok(frame)) => all.extend_from_slice(&frame.into_data().expect("a data frame")),
        }
    }
}

#[tokio::test]
async fn a_body_is_incomplete_if_its_writer_is_dropped_before_the_end() {
    for length in [None, Some(10)] {
        let ended = Rc::default();
        let (sender, body) = StreamedBody::new(length);
        let write = async move {
            assert!(sender.send(Bytes::from_static(b"12345")).await);
        };
        let ((), (all, is_complete)) = tokio::join!(write, read(body, &ended));
        assert_eq!((&all[..], is_complete, ended.get()), (&b"12345"[..], false, Some(false)), "{length:?}");
    }
}

#[tokio::test]
async fn a_body_is_complete_at_its_declared_length_or_when_the_writer_finishes_it() {
    for length in [None, Some(10)] {
        let ended = Rc::default();
        let (sender, body) = StreamedBody::new(length);
        let write = async move {
            for chunk in [&b"123"[..], b"", b"4567890"] {
                assert!(sender.send(Bytes::from_static(chunk)).await);
            }
            sender.finish().await;
        };
        let ((), (all, is_complete)) = tokio::join!(write, read(body, &ended));
        assert_eq!(
            (&all[..], is_complete, ended.get()),
            (&b"1234567890"[..], true, Some(true)),
            "{length:?}"
        );
    }
}

#[tokio::test]
async fn dropping_the_reader_fails_the_writer_and_ends_the_body_as_incomplete() {
    let (sender, mut body) = StreamedBody::new(Some(10));
    let ended = Rc::new(Cell::new(None));
    let reported = ended.clone();
    body.on_end(move |is_complete| reported.set(Some(is_complete)));
    drop(body);
    assert!(!sender.send(Bytes::from_static(b"1")).await);
    assert_eq!(ended.get(), Some(false));
}

#[tokio::test]
async fn a_writer_blocks_when_the_client_does_not_read() {
    let (sender, _body) = StreamedBody::new(None);
    let mut written = 0;
    loop {
        let mut write = std::pin::pin!(sender.send(Bytes::from_static(b"x")));
        let is_ready = std::future::poll_fn(|context| Poll::Ready(write.as_mut().poll(context).is_ready()));
        if !is_ready.await {
            break;
        }
        written += 1;
    }
    assert_eq!(written, MAX_PENDING_CHUNKS);
}
