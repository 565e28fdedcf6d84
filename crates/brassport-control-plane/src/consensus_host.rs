//! Connects the control plane to its consensus replica: submits commands and executes the replica's actions.

use crate::call::Reply;
use crate::control_plane::ControlPlane;
use crate::event::Action;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_config_store::consensus::{self, Command, Outcome};
use std::collections::BTreeSet;
use std::sync::Arc;

/// For this long after its start, a leader rejects commands while the voters are too few to be fault tolerant: the core
/// is still forming.
const CORE_FORMATION_MS: Millis = 4_000;
/// The first number of this node's own commands: far above the numbers of calls, which the host counts from 1.
const FIRST_OWN_NUMBER: u64 = 1 << 62;

/// The pending commands that this node submitted on its own behalf. Their outcomes answer no call.
#[derive(Debug)]
pub(crate) struct OwnProposals {
    pending: BTreeSet<u64>,
    last: u64,
}

impl Default for OwnProposals {
    fn default() -> OwnProposals {
        OwnProposals { pending: BTreeSet::new(), last: FIRST_OWN_NUMBER }
    }
}

impl OwnProposals {
    /// Registers a new command and returns its number.
    pub(crate) fn begin(&mut self) -> u64 {
        self.last += 1;
        self.pending.insert(self.last);
        self.last
    }

    pub(crate) fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Removes a command that has its outcome. Returns whether it was pending here.
    fn conclude(&mut self, number: u64) -> bool {
        self.pending.remove(&number)
    }
}

/// The reply to the call that submitted a command.
fn reply_of(outcome: Outcome) -> Reply {
    match outcome {
        Outcome::Committed => Reply::Done(Arc::new(b"{}".to_vec())),
        Outcome::VersionConflict => Reply::VersionConflict,
        Outcome::Invalid(why) => Reply::Invalid(why),
        Outcome::Unknown => Reply::Unavailable("the outcome is open"),
        Outcome::Current(state) => Reply::Done(Arc::new(state.document.to_bytes())),
    }
}

impl ControlPlane {
    /// Submits an operator's command if this node leads; otherwise redirects the call to the leader.
    pub(crate) fn submit(&mut self, call: u64, command: Command) {
        if self.replica.is_leader() {
            // A configuration committed now would be on too few disks to survive a loss.
            if !self.is_fault_tolerant() && self.clock.is_within_start(CORE_FORMATION_MS) {
                return self.outbox.respond(call, Reply::Unavailable("the core still meets"));
            }
            let actions = self.replica.submit(self.clock.now(), call, command);
            return self.execute(actions);
        }
        let reply = match self.leader() {
            Some((_, ip)) if ip != self.options.node.ip => Reply::Redirect(ip),
            _ => Reply::Unavailable("nobody leads"),
        };
        self.outbox.respond(call, reply);
    }

    /// Executes the replica's actions.
    pub(crate) fn execute(&mut self, actions: Vec<consensus::Action>) {
        let mut applied = Vec::new();
        for action in actions {
            match action {
                consensus::Action::Send(to, message) => {
                    let disk = self.options.node.disk;
                    self.outbox.send(to, PeerMessage::Consensus(disk, message));
                }
                consensus::Action::Persist(number, record) => {
                    self.outbox.push(Action::Persist(number, record));
                }
                consensus::Action::FetchLog(from) => self.fetch_entries(from),
                consensus::Action::Applied(entry) => applied.push(entry),
                consensus::Action::Respond(number, outcome) => {
                    if !self.own_proposals.conclude(number) {
                        self.outbox.respond(number, reply_of(outcome));
                    }
                }
            }
        }
        if applied.is_empty() {
            return;
        }
        let state = self.replica.state().clone();
        self.quota.configure(state.document.configuration());
        // Placed before any reply, so that this node applies a configuration before it acknowledges it.
        self.outbox.push_front(Action::StateAdvanced(state));
        self.disseminate_entries(applied.into_iter().flatten().collect());
    }
}
