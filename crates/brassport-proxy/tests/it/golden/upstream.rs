//! The bytes of requests sent to backends.

use super::{lines, printable, GOLDEN};
use crate::common::{bounded, class, dispatcher_with_backends, policy_request, AttemptCount};
use brassport_policy::{Plan, RetrySafety, Settings};
use brassport_proxy::clock::SystemClock;
use brassport_proxy::dispatch::{Dispatcher, RequestOutcome};
use brassport_proxy::network::Tcp;
use brassport_proxy::upstream::{RequestBody, UpstreamRequest};
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Serves one connection at a time: reports each received request and responds to it.
async fn backend(listener: TcpListener, received: mpsc::UnboundedSender<Vec<u8>>) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = Vec::new();
        while let Ok(byte) = stream.read_u8().await {
            request.push(byte);
            let Some(end) = request.windows(4).position(|part| part == b"\r\n\r\n") else { continue };
            let (head, body) = request.split_at(end + 4);
            // All request bodies in this test end with a full stop.
            let has_body = printable(head).to_ascii_lowercase().contains("content-length: ");
            if has_body && !body.ends_with(b".") {
                continue;
            }
            let body = if head.starts_with(b"HEAD ") { "" } else { "ok" };
            let _ = received.send(std::mem::take(&mut request));
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{body}");
            stream.write_all(response.as_bytes()).await.expect("the response is written");
        }
    }
}

/// A client's request with a custom header and two cookie headers.
fn message(method: Method, uri: &'static str, body: &'static str) -> UpstreamRequest {
    let mut headers = HeaderMap::new();
    headers.insert("x-one", HeaderValue::from_static("1"));
    headers.append("cookie", HeaderValue::from_static("a=b"));
    headers.append("cookie", HeaderValue::from_static("c=d"));
    let body = RequestBody::Complete(Bytes::from_static(body.as_bytes()));
    UpstreamRequest { method, uri: Uri::from_static(uri), headers, body }
}

/// Dispatches a request and returns its outcome as text for the fixture.
async fn outcome(dispatcher: &Rc<Dispatcher<SystemClock, Tcp>>, message: UpstreamRequest) -> String {
    let timeout = Duration::from_secs(60);
    let pending = dispatcher.admit(policy_request(), dispatcher.generate_id(), message, timeout);
    match pending.expect("a unique name").outcome().await {
        RequestOutcome::Served(response) => response.status().to_string(),
        RequestOutcome::Rejected(wait_ms) => format!("refused for {wait_ms}"),
        RequestOutcome::Failed => "failed".to_string(),
    }
}

#[tokio::test]
async fn the_bytes_of_requests_to_backends_are_unchanged() {
    bounded(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (report, mut received) = mpsc::unbounded_channel();
        spawn_local(backend(listener, report));
        let (classes, plans) = (vec![class(RetrySafety::NonIdempotent)], vec![Plan::default()]);
        let settings = Settings { classes, plans, ..Settings::default() };
        let written = Rc::new(AttemptCount::default());
        let dispatcher = dispatcher_with_backends(&[address], settings, written, |_| ());
        let mut cases = Vec::new();
        for (name, method, uri, body) in [
            ("get", Method::GET, "/", ""),
            ("get with a query", Method::GET, "/a/b%20c?d=e&f", ""),
            ("head", Method::HEAD, "/x", ""),
            ("post", Method::POST, "/job", "the body."),
            ("put", Method::PUT, "/job/7", "\u{fc}ber."),
            ("delete", Method::DELETE, "/job/7", ""),
            ("a method of its own", Method::from_bytes(b"FETCH").expect("a valid method"), "/x", ""),
        ] {
            let outcome = outcome(&dispatcher, message(method, uri, body)).await;
            let request = received.recv().await.expect("a received request");
            cases.push((name.to_string(), format!("{} -> {outcome}", printable(&request))));
        }
        GOLDEN.same_text("requests.txt", &lines(&cases));
    })
    .await;
}
