//! What backends see once the client that they work for has left.

use crate::common::{bounded, TestProxy};
use brassport_policy::RetrySafety;
use brassport_proxy::dispatch::RequestOutcome;
use http_body_util::BodyExt;
use hyper::header::HeaderMap;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

/// No response at all.
const SILENCE: &str = "";
/// The first bytes of a response that is forwarded as it arrives, with no more after them.
const LONG: &str = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nthe first bytes";

#[tokio::test]
async fn an_idempotent_attempt_is_cancelled_when_its_client_leaves() {
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::Idempotent, &[SILENCE; 2]).await;
        let pending = proxy.admit(HeaderMap::new());
        proxy.script.requests_received(1).await;
        drop(pending);
        proxy.script.connections_closed(1).await;
        assert_eq!(proxy.dispatcher.in_flight(), 0);
        assert_eq!(proxy.script.heads.borrow().len(), 1, "nobody waits for a further attempt");
        assert_eq!(*proxy.released.borrow(), [7], "the customer of the attempt, once");
    })
    .await;
}

#[tokio::test]
async fn an_attempt_with_an_effect_runs_on_when_its_client_leaves() {
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::NonIdempotent, &[SILENCE; 2]).await;
        let pending = proxy.admit(HeaderMap::new());
        proxy.script.requests_received(1).await;
        drop(pending);
        // Whatever the dispatcher does at once has been done when another request has come.
        let other = proxy.admit(HeaderMap::new());
        proxy.script.requests_received(2).await;
        assert_eq!((proxy.script.closed.get(), proxy.dispatcher.in_flight()), (0, 2));
        drop(other);
    })
    .await;
}

#[tokio::test]
async fn a_streamed_response_ends_when_its_client_leaves_though_its_backend_stalls() {
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::Idempotent, &[LONG]).await;
        let RequestOutcome::Served(mut response) = proxy.request(HeaderMap::new()).await else {
            panic!("not served")
        };
        let first = response.body_mut().frame().await.expect("some of it").expect("it is sound");
        assert_eq!(&first.into_data().expect("bytes")[..], b"the first bytes");
        let more = poll_fn(|context| {
            let body = Pin::new(response.body_mut());
            Poll::Ready(hyper::body::Body::poll_frame(body, context).is_ready())
        });
        assert!(!more.await, "nothing more has come");
        drop(response);
        proxy.script.connections_closed(1).await;
        assert_eq!(proxy.dispatcher.in_flight(), 0);
    })
    .await;
}
