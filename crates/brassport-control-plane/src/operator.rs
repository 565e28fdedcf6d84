//! What operators call, and what consensus asks of its host.

use crate::call::Reply;
use crate::control::{Action, Control};
use crate::peer_message::PeerMessage;
use brassport_config_store::consensus::{self, Command, Outcome};
use brassport_quota::Limit;
use std::sync::Arc;

impl Control {
    pub(crate) fn ask_leader(&mut self, number: u64, command: Command) {
        if self.replica.leads() {
            // Guards a word against being kept by fewer than it takes to bear a loss, while the core still meets.
            if !self.bears_losses() && self.now < self.born + 4_000 {
                return self.reply(number, Reply::NotNow("the core still meets"));
            }
            let done = self.replica.ask(self.now, number, command);
            return self.carry_out(done);
        }
        match self.leader() {
            Some((_, ip)) if ip != self.start.member.ip => self.reply(number, Reply::At(ip)),
            _ => self.reply(number, Reply::NotNow("nobody leads")),
        }
    }

    pub(crate) fn carry_out(&mut self, actions: Vec<consensus::Action>) {
        let mut moved = Vec::new();
        for action in actions {
            match action {
                consensus::Action::Send(to, message) => {
                    let disk = self.start.member.disk;
                    self.send(to, PeerMessage::Consensus(disk, message));
                }
                consensus::Action::Write(number, record) => self.actions.push(Action::Write(number, record)),
                consensus::Action::Fetch(from) => self.fetch(from),
                consensus::Action::Moved(entry) => moved.push(entry),
                consensus::Action::Answer(number, outcome) if self.own.remove(&number) => drop(outcome),
                consensus::Action::Answer(number, outcome) => {
                    let reply = match outcome {
                        Outcome::Taken => Reply::Done(Arc::new(b"{}".to_vec())),
                        Outcome::Outdated => Reply::Outdated,
                        Outcome::Invalid(why) => Reply::Invalid(why),
                        Outcome::Open => Reply::NotNow("the outcome is open"),
                        Outcome::Newest(state) => Reply::Done(Arc::new(state.document.to_bytes())),
                    };
                    self.reply(number, reply);
                }
            }
        }
        if !moved.is_empty() {
            let state = self.replica.state().clone();
            self.limits = state
                .document
                .parsed()
                .tenants
                .values()
                .map(|tenant| {
                    let limit = Limit { rate: tenant.rate_per_s, burst: tenant.burst };
                    (brassport_quota::tenant_id(&tenant.name), limit)
                })
                .collect();
            // Before any answer to the operator: this door goes by the configuration that it acknowledges.
            self.actions.insert(0, Action::Configuration(state));
            self.spread_entries(moved.into_iter().flatten().collect());
        }
    }
}
