//! What happens to attempts and backend connections when the client disconnects.

use crate::common::{bounded, TestProxy};
use brassport_policy::RetrySafety;
use brassport_proxy::dispatch::RequestOutcome;
use http_body_util::BodyExt;
use hyper::header::HeaderMap;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

/// The backend sends no response.
const NO_RESPONSE: &str = "";
/// The first bytes of a long response; the backend sends no more.
const PARTIAL_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nthe first bytes";

#[tokio::test]
async fn an_attempt_of_an_idempotent_request_is_cancelled_when_its_client_disconnects() {
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::Idempotent, &[NO_RESPONSE; 2]).await;
        let pending = proxy.admit(HeaderMap::new());
        proxy.script.requests_received(1).await;
        drop(pending);
        proxy.script.connections_closed(1).await;
        assert_eq!(proxy.dispatcher.in_flight(), 0);
        assert_eq!(proxy.script.heads.borrow().len(), 1, "there must be no second attempt");
        assert_eq!(*proxy.ended_attempts.borrow(), [7], "one attempt of customer 7 has ended");
    })
    .await;
}

#[tokio::test]
async fn an_attempt_of_a_non_idempotent_request_continues_when_its_client_disconnects() {
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::NonIdempotent, &[NO_RESPONSE; 2]).await;
        let pending = proxy.admit(HeaderMap::new());
        proxy.script.requests_received(1).await;
        drop(pending);
        // When a second request has reached a backend, the dispatcher has processed the disconnect of the first client.
        let other = proxy.admit(HeaderMap::new());
        proxy.script.requests_received(2).await;
        assert_eq!((proxy.script.closed.get(), proxy.dispatcher.in_flight()), (0, 2));
        drop(other);
    })
    .await;
}

#[tokio::test]
async fn a_streamed_response_ends_when_its_client_disconnects_even_if_its_backend_stalls() {
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::Idempotent, &[PARTIAL_RESPONSE]).await;
        let RequestOutcome::Served(mut response) = proxy.request(HeaderMap::new()).await else {
            panic!("the request was not served")
        };
        let first = response.body_mut().frame().await.expect("a first frame").expect("no body error");
        assert_eq!(&first.into_data().expect("a data frame")[..], b"the first bytes");
        let more = poll_fn(|context| {
            let body = Pin::new(response.body_mut());
            Poll::Ready(hyper::body::Body::poll_frame(body, context).is_ready())
        });
        assert!(!more.await, "the body must be pending after its first bytes");
        drop(response);
        proxy.script.connections_closed(1).await;
        assert_eq!(proxy.dispatcher.in_flight(), 0);
    })
    .await;
}
