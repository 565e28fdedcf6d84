//! What a door's backends see once the client that they work for has left.

mod common;

use brassport_policy::Effect;
use brassport_proxy::dispatch::RequestOutcome;
use common::{bounded, Site};
use http_body_util::BodyExt;
use hyper::header::HeaderMap;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

/// No answer at all.
const SILENCE: &str = "";
/// The first bytes of an answer that is passed on as it comes, with no more behind them.
const LONG: &str = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nthe first bytes";

#[tokio::test]
async fn a_repeatable_attempt_ends_with_its_client() {
    bounded(async {
        let site = Site::new(Effect::Free, &[SILENCE; 2]).await;
        let pending = site.admit(HeaderMap::new());
        site.script.has_come(1).await;
        drop(pending);
        site.script.has_closed(1).await;
        assert_eq!(site.door.in_flight(), 0);
        assert_eq!(site.script.heads.borrow().len(), 1, "nobody waits for a further attempt");
        assert_eq!(*site.released.borrow(), [7], "the customer of the attempt, once");
    })
    .await;
}

#[tokio::test]
async fn an_attempt_with_an_effect_outlives_its_client() {
    bounded(async {
        let site = Site::new(Effect::Once, &[SILENCE; 2]).await;
        let pending = site.admit(HeaderMap::new());
        site.script.has_come(1).await;
        drop(pending);
        // Whatever the door does at once has been done when another request has come.
        let other = site.admit(HeaderMap::new());
        site.script.has_come(2).await;
        assert_eq!((site.script.closed.get(), site.door.in_flight()), (0, 2));
        drop(other);
    })
    .await;
}

#[tokio::test]
async fn a_long_answer_ends_with_its_client_though_its_backend_stands_still() {
    bounded(async {
        let site = Site::new(Effect::Free, &[LONG]).await;
        let RequestOutcome::Served(mut answer) = site.ask(HeaderMap::new()).await else {
            panic!("not served")
        };
        let first = answer.body_mut().frame().await.expect("some of it").expect("it is sound");
        assert_eq!(&first.into_data().expect("bytes")[..], b"the first bytes");
        let more = poll_fn(|context| {
            let body = Pin::new(answer.body_mut());
            Poll::Ready(hyper::body::Body::poll_frame(body, context).is_ready())
        });
        assert!(!more.await, "nothing more has come");
        drop(answer);
        site.script.has_closed(1).await;
        assert_eq!(site.door.in_flight(), 0);
    })
    .await;
}
