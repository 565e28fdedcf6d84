//! What is looked at beside the wire: descriptors, crowds, and that nothing is left when all is quiet.

use super::Site;
use crate::kernel::{End, MS};
use crate::places::agent_addresses;
use crate::scenario::Fault;
use crate::{api, dns};
use brassport::{Control, Inspection};
use brassport_checkers::Rule;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

impl Site {
    /// A process may hold so many descriptors and no more: more would be refused, or be its end.
    pub(super) fn check_descriptors(&mut self) {
        for door in &self.doors {
            // Beside its connections: the listener, the event queue, its input and outputs.
            let held = self.kernel.sockets(door.host) + 6;
            if held > self.scenario.sockets {
                let what = format!("door {} holds {held} descriptors", door.host.0);
                self.oracle.judge.break_rule(Rule::Descriptors, self.kernel.now(), None, what);
            }
        }
    }

    /// Where nothing is wrong but that crowds connect and say nothing, who asks is served.
    pub(super) fn check_served(&mut self) {
        let only_crowds = self.scenario.faults.iter().all(|fault| matches!(fault, Fault::Crowd { .. }));
        let counts = self.oracle.judge.counts;
        if only_crowds && !self.scenario.faults.is_empty() && counts.crowded_out > 0 {
            let what =
                format!("{} answers 503 or failures at a door that a crowd stood at", counts.crowded_out);
            self.oracle.judge.break_rule(Rule::Descriptors, self.kernel.now(), None, what);
        }
    }

    /// All is quiet: nothing may be left of any request.
    pub(super) fn check_quiet(&mut self) {
        let now = self.kernel.now();
        for door in 0..self.doors.len() {
            let host = self.doors[door].host;
            let Some(process) = &mut self.doors[door].process else { continue };
            let found: Rc<RefCell<Option<Inspection>>> = Rc::default();
            let place = found.clone();
            process
                .tell(Control::Inspect(Box::new(move |inspection| *place.borrow_mut() = Some(inspection))));
            process.turn();
            let inspection = found.borrow_mut().take();
            let Some(inspection) = inspection else {
                self.oracle.judge.break_rule(
                    Rule::Leak,
                    now,
                    None,
                    format!("door {door} does not say what it holds"),
                );
                continue;
            };
            // Its own word is for what no wire shows; sockets are counted by the kernel.
            let ends: Vec<(End, SocketAddr)> = self.kernel.held_ends(host);
            let agents = agent_addresses(door);
            let strays: Vec<_> =
                ends.iter().filter(|(_, to)| !agents.contains(to) && !is_source(*to)).collect();
            let timers = self.kernel.timers(host);
            let followed = self.api.is_some() || self.dns.is_some();
            let last = self.scenario.faults.iter().map(Fault::over).max().unwrap_or(0) * MS;
            if let Some(what) = self.dns.as_ref().and_then(|dns| dns.check_quiet(host, now, last)) {
                self.oracle.judge.break_rule(Rule::Nodes, now, None, format!("door {door} {what}"));
            }
            let problem = if !strays.is_empty() {
                Some(format!("sockets {strays:?}"))
            } else if ends.len() > if followed { 4 } else { 1 } {
                Some(format!("{} connections to discovery", ends.len()))
            } else if inspection.in_flight != 0 {
                Some(format!("{} requests in flight", inspection.in_flight))
            } else if inspection.descriptors_taken > 1 {
                Some(format!("{} descriptors taken", inspection.descriptors_taken))
            } else if inspection.body_bytes != 0 {
                Some(format!("{} bytes of bodies", inspection.body_bytes))
            } else if inspection.client_connections != 0 {
                Some(format!("{} connections of clients noted", inspection.client_connections))
            } else if timers > if followed { 24 } else { 8 } {
                Some(format!("{timers} timers"))
            } else {
                None
            };
            if let Some(problem) = problem {
                self.oracle.judge.break_rule(
                    Rule::Leak,
                    now,
                    None,
                    format!("door {door} holds {problem} when all is quiet"),
                );
            }
        }
    }
}

/// Whether a source of a door's has its server there.
fn is_source(address: SocketAddr) -> bool {
    api::is_api(address) || dns::is_dns(address)
}
