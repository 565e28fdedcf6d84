//! What operators call, and what consensus asks of its host.

use crate::call::Reply;
use crate::control::{Action, ControlPlane};
use crate::peer_message::PeerMessage;
use brassport_config_store::consensus::{self, Command, Outcome};
use brassport_quota::RateLimit;
use brassport_types::TenantId;
use std::sync::Arc;

impl ControlPlane {
    pub(crate) fn ask_leader(&mut self, number: u64, command: Command) {
        if self.replica.is_leader() {
            // Guards a word against being kept by fewer than it takes to bear a loss, while the core still meets.
            if !self.bears_losses() && self.now < self.born + 4_000 {
                return self.reply(number, Reply::Unavailable("the core still meets"));
            }
            let done = self.replica.submit(self.now, number, command);
            return self.carry_out(done);
        }
        match self.leader() {
            Some((_, ip)) if ip != self.options.node.ip => self.reply(number, Reply::Redirect(ip)),
            _ => self.reply(number, Reply::Unavailable("nobody leads")),
        }
    }

    pub(crate) fn carry_out(&mut self, actions: Vec<consensus::Action>) {
        let mut moved = Vec::new();
        for action in actions {
            match action {
                consensus::Action::Send(to, message) => {
                    let disk = self.options.node.disk;
                    self.send(to, PeerMessage::Consensus(disk, message));
                }
                consensus::Action::Persist(number, record) => {
                    self.actions.push(Action::Persist(number, record))
                }
                consensus::Action::FetchLog(from) => self.fetch(from),
                consensus::Action::Applied(entry) => moved.push(entry),
                consensus::Action::Respond(number, outcome) if self.own.remove(&number) => drop(outcome),
                consensus::Action::Respond(number, outcome) => {
                    let reply = match outcome {
                        Outcome::Committed => Reply::Done(Arc::new(b"{}".to_vec())),
                        Outcome::VersionConflict => Reply::VersionConflict,
                        Outcome::Invalid(why) => Reply::Invalid(why),
                        Outcome::Unknown => Reply::Unavailable("the outcome is open"),
                        Outcome::Current(state) => Reply::Done(Arc::new(state.document.to_bytes())),
                    };
                    self.reply(number, reply);
                }
            }
        }
        if !moved.is_empty() {
            let state = self.replica.state().clone();
            self.limits = state
                .document
                .configuration()
                .tenants
                .values()
                .map(|tenant| {
                    let limit = RateLimit { rate_per_s: tenant.rate_per_s, burst: tenant.burst };
                    (TenantId::of_name(&tenant.name), limit)
                })
                .collect();
            // Before any answer to the operator: this door goes by the configuration that it acknowledges.
            self.actions.insert(0, Action::StateAdvanced(state));
            self.spread_entries(moved.into_iter().flatten().collect());
        }
    }
}
