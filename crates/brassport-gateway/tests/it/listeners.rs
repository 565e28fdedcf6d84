//! Tests of the responses of the control, readiness and metrics listeners, which are compared byte by byte with the
//! fixtures `control` and `ready_and_metrics`.

use crate::common::{exchange, listener, malformed, request, run, GOLDEN};
use brassport_config_store::consensus::{ChangeScope, ConfigurationRequest, Entry, Message};
use brassport_control_plane::call::{Call, Reply};
use brassport_control_plane::peer_message::{Envelope, PeerMessage};
use brassport_gateway::listeners::{self, PendingCall};
use brassport_transport::frame;
use brassport_types::{DiskId, Incarnation, LogIndex, Term};
use std::net::Ipv4Addr;
use std::sync::Arc;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::spawn_local;

/// Returns the name of a kind of reply in the fixture `control`. The match has no default branch, so that a new kind
/// fails to compile here until it is named; it must then be added to [`replies`] as well.
fn fixture_name(reply: &Reply) -> &'static str {
    match reply {
        Reply::Done(_) => "done",
        Reply::Redirect(_) => "at",
        Reply::Invalid(_) => "invalid",
        Reply::VersionConflict => "outdated",
        Reply::Unavailable(_) => "not now",
    }
}

/// Guards against a configuration that stops the control plane: the listener took a body that fits into no frame between
/// nodes, so that its proposal never reached another voter and blocked all later ones.
#[test]
fn the_longest_configuration_fits_into_a_frame_between_nodes() {
    let disk = DiskId(u64::MAX);
    let body = Arc::new(vec![b'x'; listeners::MAX_BODY_BYTES]);
    let entry = Entry::Replace { base_version: u32::MAX, body };
    let accept = Message::Accept { term: Term::new(u64::MAX, disk), index: LogIndex(u64::MAX), entry };
    let message = PeerMessage::Consensus(disk, accept);
    let from = Ipv4Addr::new(10, 0, 2, 9);
    let frame = frame::encode(&Envelope { from, incarnation: Incarnation(u64::MAX), message });
    assert!(frame.len() <= frame::MAX_FRAME_BYTES, "{} bytes", frame.len());
}

fn replies() -> [Reply; 5] {
    [
        Reply::Done(Arc::new(br#"{"version":"00000001"}"#.to_vec())),
        Reply::Redirect(Ipv4Addr::new(10, 0, 2, 9)),
        Reply::Invalid("version: is missing (add the field)".to_owned()),
        Reply::VersionConflict,
        Reply::Unavailable("nobody leads"),
    ]
}

async fn control_responses() -> Vec<(String, String)> {
    let mut cases = Vec::new();
    for reply in replies() {
        let (listener, address) = listener();
        let (calls, mut pending) = unbounded_channel::<PendingCall>();
        spawn_local(listeners::serve_control(listener, calls));
        let name = fixture_name(&reply).to_owned();
        spawn_local(async move {
            while let Some(PendingCall { call, reply_to }) = pending.recv().await {
                let body = Arc::new(b"{}".to_vec());
                let request = ConfigurationRequest { scope: ChangeScope::Full, base_version: 31, body };
                assert_eq!(call, Call::Configure(request));
                let _ = reply_to.send(reply.clone());
            }
        });
        let replace = request("POST /Config.Replace?x=1", "X-Built-On: 0000001F\r\n", "{}");
        cases.push((format!("reply {name}"), exchange(address, &replace).await));
    }
    let (listener, address) = listener();
    let (calls, pending) = unbounded_channel::<PendingCall>();
    drop(pending);
    spawn_local(listeners::serve_control(listener, calls));
    let requests = [
        ("unknown call", request("GET /Config.Replace", "", "")),
        ("unknown path", request("POST /", "", "")),
        ("malformed call", request("POST /Config.Replace", "", "{}")),
        ("malformed beat", request("POST /Servers.CheckIn/i-1", "", "{}")),
        (
            "too long",
            request("POST /Config.Replace", "X-Built-On: 0\r\n", &"x".repeat(listeners::MAX_BODY_BYTES + 1)),
        ),
        ("bad body", malformed("Transfer-Encoding: chunked\r\n", "zz\r\n")),
        ("does not come", malformed("Content-Length: 5\r\n", "ab")),
        ("it ends", request("GET /Config.Read", "", "")),
    ];
    for (name, request) in requests {
        cases.push((name.to_owned(), exchange(address, &request).await));
    }
    cases
}

#[test]
fn control_responses_have_the_expected_bytes() {
    GOLDEN.same_lines("control", &run(control_responses()));
}

async fn ready_and_metrics_responses() -> Vec<(String, String)> {
    let mut cases = Vec::new();
    for (name, is_ready) in [("ready", true), ("not ready", false)] {
        let (listener, address) = listener();
        spawn_local(listeners::serve_ready(listener, move || is_ready));
        cases.push((name.to_owned(), exchange(address, &request("GET /ready", "", "")).await));
        cases.push((format!("{name}, other path"), exchange(address, &request("GET /", "", "")).await));
    }
    let (listener, address) = listener();
    spawn_local(listeners::serve_metrics(listener, || "brassport_x 1\n".to_owned()));
    cases.push(("metrics".to_owned(), exchange(address, &request("GET /metrics", "", "")).await));
    cases.push(("metrics, other path".to_owned(), exchange(address, &request("GET /", "", "")).await));
    cases
}

#[test]
fn readiness_and_metrics_responses_have_the_expected_bytes() {
    GOLDEN.same_lines("ready_and_metrics", &run(ready_and_metrics_responses()));
}
