//! What is observed of a site beside its clients: the version that each node reports, and what an operator reads.

use brassport_checkers::versions::{Answered, Asked, Operation};
use brassport_testbed::configuration::read;
use brassport_testbed::history::{History, ObservedVersion, Recorder};
use brassport_testbed::operator::{call, node_status};
use brassport_testbed::site::is_ready;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Between two queries of a node's version, and between two reads.
const OBSERVE_EVERY: Duration = Duration::from_millis(100);

/// Queries one node's own version, again and again.
pub async fn observe(
    recorder: Rc<Recorder>,
    ready: SocketAddrV4,
    control: SocketAddrV4,
    is_over: Rc<Cell<bool>>,
) {
    while !is_over.get() {
        let began = recorder.now();
        let is_ready = is_ready(ready).await;
        if let Some(status) = node_status(control).await {
            let (version, ended) = (status.version, recorder.now());
            let observed = ObservedVersion { node: control, began, ended, version, is_ready };
            recorder.record(|history| history.observed_versions.push(observed));
        }
        sleep(OBSERVE_EVERY).await;
    }
}

/// Reads the configuration at one node after another.
pub async fn read_on(
    recorder: Rc<Recorder>,
    controls: Vec<SocketAddrV4>,
    is_over: Rc<Cell<bool>>,
    reads: Rc<RefCell<Vec<Operation>>>,
) {
    for control in controls.iter().cycle() {
        if is_over.get() {
            break;
        }
        let began = micros(recorder.now());
        let answer = call(*control, "GET", "/Config.Read", None, &[]).await;
        let found = answer.filter(|(_, answer)| answer.status == 200).and_then(|(_, it)| read(&it.body));
        if let Some(found) = found {
            let (ended, answered) = (micros(recorder.now()), Answered::Newest(found.version));
            reads.borrow_mut().push(Operation { began, ended, asked: Asked::Read, answered });
        }
        sleep(OBSERVE_EVERY).await;
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// The operator's writes as the judge of linearizability takes them. Each stands on the one before: all are acknowledged.
pub fn writes(history: &History) -> Vec<Operation> {
    let built_on = std::iter::once(0).chain(history.sent.iter().map(|sent| sent.plan.version));
    let of_sent = history.sent.iter().zip(built_on).map(|(sent, built_on)| Operation {
        began: micros(sent.at),
        ended: sent.acknowledged.map_or(u64::MAX, micros),
        asked: Asked::Write { version: sent.plan.version, built_on },
        answered: if sent.acknowledged.is_some() { Answered::Taken } else { Answered::Open },
    });
    of_sent.collect()
}
