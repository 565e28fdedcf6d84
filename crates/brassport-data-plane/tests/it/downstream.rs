//! Requests through all phases over sockets. The bytes of the responses to clients and of the requests to backends are
//! compared with the fixture `front`, in which times that differ between runs are replaced by `#`.

use crate::sockets::{exchange, normalize, request, run_backend, ReceivedRequests};
use crate::GOLDEN;
use brassport_config_store::consensus::{Entry, ReplicatedState, VoterId};
use brassport_control_plane::backends::{Backend, BackendState};
use brassport_data_plane::{downstream, DataPlane, Options, RetryBudget};
use brassport_proxy::clock::SystemClock;
use brassport_proxy::network::Tcp;
use brassport_proxy::shutdown::Shutdown;
use brassport_types::DiskId;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

const CONFIGURATION: &str = r#"{"version":"00000001","services":[{"name":"search"},{"name":"none"}],
 "limits":{"maxBodyBytes":64},
 "customers":[{"name":"acme","keys":["k1"]},{"name":"tight","keys":["k2"],"ratePerS":0.001,"burst":0}],
 "hosts":[{"host":"shop.example","paths":[
  {"name":"all","pathStart":"/","kind":"safe","giveUpS":5,"service":"search","tries":1},
  {"name":"open","pathStart":"/open/","kind":"unsafe","giveUpS":5,"service":"search","tries":1,"public":true},
  {"name":"silent","pathStart":"/silent/","giveUpS":0.5,"service":"search","tries":1},
  {"name":"none","pathStart":"/none/","giveUpS":0.2,"service":"none","public":true}]}]}"#;

/// The names of the cases with the resulting texts.
type Cases = Vec<(String, String)>;

/// The headers of a client of the tenant `acme`, which has no rate limit.
const ACME: &str = "Authorization: Bearer k1\r\nX-Try-Id: 9c41\r\nX-Time-Left-Ms: 4000\r\n";
/// The headers of a client of the tenant `tight`, which has a very low rate limit.
const TIGHT: &str = "Authorization: Bearer k2\r\nX-Time-Left-Ms: 400\r\n";

/// The requests with the names of their cases.
fn requests() -> Vec<(&'static str, String)> {
    let forged =
        format!("{ACME}X-Customer: spoof\r\nX-Expect-Server: spoof\r\nX-More: kept\r\nTE: trailers\r\n");
    let long = "x".repeat(65);
    [
        ("served", request("GET /a?b=c", &forged, "")),
        ("served with a body", request("POST /a", ACME, "words")),
        ("public route", request("GET /open/a", "X-Try-Id: 9c42\r\n", "")),
        ("a backend's 404", request("GET /404", ACME, "")),
        ("a backend's 500", request("GET /500", ACME, "")),
        ("unknown key", request("GET /", "Authorization: Bearer no\r\n", "")),
        ("no key", request("GET /", "", "")),
        ("unknown host", request("GET /", ACME, "").replace("shop", "other")),
        ("header twice", request("GET /", &format!("{ACME}X-Try-Id: again\r\n"), "")),
        ("too long", request("POST /a", ACME, &long)),
        ("two lengths", request("POST /a", &format!("{ACME}Transfer-Encoding: chunked\r\n"), "0\r\n\r\n")),
        (
            "broken body",
            request("POST /a", &format!("{ACME}Transfer-Encoding: chunked\r\n"), "").to_owned() + "zz\r\n",
        ),
        ("no backend", request("GET /none/", "", "")),
        ("no answer of a backend", request("GET /silent/", ACME, "")),
    ]
    .map(|(name, text)| (name, text.to_owned()))
    .to_vec()
}

fn new_data_plane() -> Rc<DataPlane<SystemClock, Tcp>> {
    let options = Options {
        zone: "a".to_owned(),
        zones: vec!["a".to_owned()],
        descriptors: 64,
        drain_ms: 2_000.0,
        retry_budget: RetryBudget { ratio: 0.1, burst: 10.0 },
        seed: 5,
    };
    DataPlane::new(SystemClock, Tcp, options)
}

fn configured_state() -> ReplicatedState {
    let mut state = ReplicatedState::initial(vec![VoterId { ip: Ipv4Addr::LOCALHOST, disk: DiskId(1) }], 1);
    let body = Arc::new(CONFIGURATION.as_bytes().to_vec());
    state.apply(&Entry::Replace { base_version: 0, body });
    assert_eq!(state.version(), 1, "the configuration must be valid");
    state
}

fn backend_at(port: u16) -> Backend {
    Backend {
        id: "i-7f3a".to_owned(),
        service: "search".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        zone: "a".to_owned(),
        version: String::new(),
        capacity: 8,
        state: BackendState::Ready,
        call_count: 1,
        warmup_left_ms: 0,
        age_ms: 0,
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// The rejection by a node without a configuration. Its retry delay is constant, unlike those of the other cases.
async fn unconfigured(at: SocketAddr) -> String {
    let response = exchange(at, &request("GET /", "", "")).await;
    let found = response.to_lowercase().contains("retry-after: 0.600");
    assert!(found, "an unconfigured node must suggest a retry delay of 600 ms: {response}");
    response
}

/// The response to a tenant beyond its limit. The first requests are served, as the limit has a tolerance.
async fn beyond_the_limit(at: SocketAddr) -> String {
    let mut response = String::new();
    for _ in 0..40 {
        response = exchange(at, &request("GET /", TIGHT, "")).await;
        if response.starts_with("HTTP/1.1 429") {
            break;
        }
    }
    response
}

/// Runs all cases. Returns the responses to clients, followed by the requests that the backend received.
async fn run_cases() -> Cases {
    let data_plane = new_data_plane();
    let (listener, at) = listen().await;
    spawn_local(downstream::serve(listener, data_plane.clone(), Rc::new(Shutdown::default())));
    let port = [at.port()];
    let mut cases = vec![("no configuration yet".to_owned(), normalize(&unconfigured(at).await, &port))];
    data_plane.apply_state(&Arc::new(configured_state()));
    let (backend_listener, backend_address) = listen().await;
    let received = ReceivedRequests::default();
    spawn_local(run_backend(backend_listener, received.clone()));
    data_plane.update_backend(&backend_at(backend_address.port()));
    for (name, text) in requests() {
        cases.push((name.to_owned(), normalize(&exchange(at, &text).await, &port)));
    }
    let attempts = received.take();
    cases.push(("beyond the tenant's limit".to_owned(), normalize(&beyond_the_limit(at).await, &port)));
    for (number, text) in attempts.iter().enumerate() {
        cases.push((format!("attempt {number}"), normalize(text, &[backend_address.port()])));
    }
    cases
}

#[test]
fn the_bytes_of_responses_and_attempts_are_unchanged() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let cases = LocalSet::new().block_on(&runtime, run_cases());
    GOLDEN.same_lines("front", &cases);
}
