//! Attempts that end without a response: whether the request may have run.

use crate::common::{bounded, incomplete_body, AttemptCount, TestProtocol};
use brassport_policy::Outcome;
use brassport_proxy::body::ResponseBody;
use brassport_proxy::clock::SystemClock;
use brassport_proxy::deadline::ResettableDeadline;
use brassport_proxy::network::Tcp;
use brassport_proxy::upstream::{
    AttemptOwner, AttemptResult, AttemptTarget, RequestBody, UpstreamPool, UpstreamRequest, UsedConnections,
};
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Response, Uri};
use std::future::{pending, ready, Future};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;

const LONG: Duration = Duration::from_secs(60);
/// When an attempt is timed out or cancelled: long after its first byte.
const END: Duration = Duration::from_millis(100);

/// A request that still has to be sent.
struct Waiting;

impl AttemptOwner for Waiting {
    fn may_send(&self) -> bool {
        true
    }

    fn forward(&self, _: Response<ResponseBody>) {}
}

/// Sends a request to a backend that takes it and stays silent.
async fn attempt(body: RequestBody, timeout: Duration, cancelled: impl Future) -> AttemptResult {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let (written, descriptors) = (Rc::new(AttemptCount::default()), Arc::new(Semaphore::new(16)));
    let pool = UpstreamPool::new(SystemClock, Tcp, descriptors, LONG, LONG, written, Rc::new(TestProtocol));
    pool.upsert(1, "n1", silent.local_addr().expect("an address"), true);
    let (method, uri, headers) = (Method::POST, Uri::from_static("/job"), HeaderMap::new());
    let request = UpstreamRequest { method, uri, headers, body };
    let deadline = ResettableDeadline::new(Instant::now() + timeout);
    let used_connections = &UsedConnections::default();
    let target = AttemptTarget { backend: 1, request: &request, deadline: &deadline, used_connections };
    pool.attempt(target, &Waiting, cancelled).await
}

#[test_case(incomplete_body(); "during its upload")]
#[test_case(RequestBody::Complete(Bytes::new()); "when it was complete")]
#[tokio::test]
async fn a_request_that_times_out_or_is_cancelled_after_its_first_byte_may_have_run(body: RequestBody) {
    bounded(async {
        let (timed_out, cancelled) = match body {
            RequestBody::Complete(_) => (body, RequestBody::Complete(Bytes::new())),
            RequestBody::Streaming(_) => (body, incomplete_body()),
        };
        let result = attempt(timed_out, END, pending::<()>()).await;
        assert_eq!((result.outcome, result.trace.evidence), (Outcome::TimedOut, None));
        let result = attempt(cancelled, LONG, sleep(END)).await;
        assert_eq!((result.outcome, result.trace.evidence), (Outcome::Cancelled, None));
    })
    .await;
}

#[tokio::test]
async fn a_request_that_is_cancelled_before_its_first_byte_was_not_sent() {
    bounded(async {
        let result = attempt(incomplete_body(), LONG, ready(())).await;
        assert_eq!(result.outcome, Outcome::NotSent);
    })
    .await;
}
