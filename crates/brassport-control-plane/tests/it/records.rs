//! A single node that receives records of backends from its peers.

use brassport_control_plane::backends::{Backend, BackendState};
use brassport_control_plane::peer_message::{Envelope, PeerMessage};
use brassport_control_plane::{Action, ControlPlane, Event, FaultTolerance, Millis, Options};
use brassport_transport::peer_sampling::PeerRecord;
use brassport_types::{DiskId, Incarnation};
use std::net::Ipv4Addr;

const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const TICK_MS: Millis = 60;

struct Node {
    control: ControlPlane,
    now: Millis,
}

impl Node {
    fn start() -> Node {
        let node = PeerRecord {
            ip: Ipv4Addr::new(10, 0, 0, 1),
            incarnation: Incarnation(1),
            zone: "a".to_owned(),
            disk: DiskId::NONE,
            is_core: false,
        };
        let options = Options {
            node,
            seeds: vec![PEER],
            first_start: false,
            fault_tolerance: FaultTolerance::machines(1),
            heartbeat_interval_ms: 1_000,
            seed: 1,
        };
        Node { control: ControlPlane::new(options, 0), now: 0 }
    }

    /// Runs until a time, with ticks. Returns the names of the backends that expired.
    fn run_until(&mut self, end: Millis) -> Vec<String> {
        let mut expired = Vec::new();
        while self.now < end {
            self.now += TICK_MS;
            let actions = self.control.handle(self.now, Event::Tick);
            expired.extend(actions.into_iter().filter_map(|action| match action {
                Action::BackendExpired(id) => Some(id),
                _ => None,
            }));
        }
        expired
    }

    /// Receives a record from the peer. Returns the changes that the node reports.
    fn receive(&mut self, record: Backend) -> Vec<Backend> {
        let message = PeerMessage::BackendRecords(vec![record], None);
        let envelope = Envelope { from: PEER, incarnation: Incarnation(2), message };
        let actions = self.control.handle(self.now, Event::PeerMessage(envelope));
        let changes = actions.into_iter().filter_map(|action| match action {
            Action::BackendChanged(backend) => Some(backend),
            _ => None,
        });
        changes.collect()
    }
}

fn record(state: BackendState, call_count: u64, age_ms: u32) -> Backend {
    Backend {
        id: "b1".to_owned(),
        service: "svc".to_owned(),
        address: "10.128.0.9:8080".parse().expect("an address"),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        capacity: 4,
        state,
        call_count,
        warmup_left_ms: 0,
        age_ms,
    }
}

/// The record that a node makes for a deregistration if it does not know the backend.
fn termination_without_details() -> Backend {
    Backend {
        service: String::new(),
        address: "0.0.0.0:0".parse().expect("an address"),
        zone: String::new(),
        version: String::new(),
        capacity: 1,
        ..record(BackendState::Terminated, 0, 0)
    }
}

/// Guards against requests to a backend after its acknowledged deregistration: a node that had just restarted took the
/// deregistration, and its record without a service erased the service at all other nodes.
#[test]
fn a_termination_without_details_keeps_the_details_of_the_record() {
    let mut node = Node::start();
    assert_eq!(node.receive(record(BackendState::Ready, 3, 0)).len(), 1);
    let changes = node.receive(termination_without_details());
    assert_eq!(changes, [Backend { call_count: 0, ..record(BackendState::Terminated, 0, 0) }]);
}

/// Guards against a terminated backend that becomes ready again: the termination of a backend whose record was older than
/// the lease of terminations was forgotten at once, and the copy of a node that had not learned of it was taken for new.
#[test]
fn the_termination_of_an_old_record_is_remembered() {
    let mut node = Node::start();
    node.receive(record(BackendState::Ready, 1, 0));
    node.run_until(60_000);
    let changes = node.receive(record(BackendState::Terminated, 1, 0));
    assert_eq!(changes.iter().map(|backend| backend.state).collect::<Vec<_>>(), [BackendState::Terminated]);
    node.run_until(62_000);
    assert_eq!(node.receive(record(BackendState::Ready, 1, 62_000)), [], "the backend is ready again");
    // It is forgotten once its lease has expired, without a report.
    assert_eq!(node.run_until(92_000), Vec::<String>::new());
    assert_eq!(node.control.status()["backends"]["ready"], 0);
}
