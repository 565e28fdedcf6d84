//! Commands submitted to the leader: their queue and their evaluation.

use super::campaign::Role;
use super::mutants::{is_active, Mutant};
use super::replica::Replica;
use super::{ChangeScope, ConfigurationRequest, Entry, Millis, Outcome, VoterId};
use std::collections::VecDeque;

/// A command that has been pending for this time is answered with [`Outcome::Unknown`]: its caller has timed out by
/// then.
const COMMAND_TIMEOUT_MS: Millis = 2_500;

/// A command to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Changes the configuration.
    Configure(ConfigurationRequest),
    /// Reads the newest committed state.
    Read,
    /// Sets the voters and the number of quota shares. At most one voter may be added or removed.
    ChangeVoters {
        /// All voters, in the agreed order.
        voters: Vec<VoterId>,
        /// The number of equal shares into which the tenants' rate limits are divided.
        quota_shares: u32,
    },
}

/// A command that waits for its evaluation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PendingCommand {
    pub number: u64,
    pub command: Command,
    pub submitted_at: Millis,
    /// The number of the first heartbeat sent after the command was submitted. Responses of a majority to this
    /// heartbeat, or a later one, show that no other replica leads.
    pub heartbeat: u64,
}

/// Pending commands, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct CommandQueue(VecDeque<PendingCommand>);

impl CommandQueue {
    fn push(&mut self, command: PendingCommand) {
        self.0.push_back(command);
    }

    /// Removes the commands that have been pending for [`COMMAND_TIMEOUT_MS`], and returns their numbers.
    pub fn remove_overdue(&mut self, now: Millis) -> Vec<u64> {
        let is_overdue = |pending: &PendingCommand| now >= pending.submitted_at + COMMAND_TIMEOUT_MS;
        let overdue = self.0.iter().filter(|pending| is_overdue(pending));
        let overdue = overdue.map(|pending| pending.number).collect();
        self.0.retain(|pending| !is_overdue(pending));
        overdue
    }

    /// The numbers of all pending commands.
    pub fn into_numbers(self) -> impl Iterator<Item = u64> {
        self.0.into_iter().map(|pending| pending.number)
    }
}

impl Replica {
    /// Queues a command. It is evaluated once a majority has confirmed that no other replica leads.
    pub(super) fn enqueue(&mut self, number: u64, command: Command) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return self.respond(number, Outcome::Unknown) };
        if leader.transferring_since.is_some() {
            return self.respond(number, Outcome::Unknown);
        }
        let heartbeat = leader.heartbeat + 1;
        leader.commands.push(PendingCommand { number, command, submitted_at: now, heartbeat });
        self.send_heartbeat();
    }

    /// Evaluates the pending commands in order, each against the state that results from the previous one.
    pub(super) fn evaluate_pending(&mut self) {
        while let Some(PendingCommand { number, command, .. }) = self.next_command() {
            self.evaluate(number, command);
        }
    }

    /// Removes the oldest pending command, if there is no pending proposal and a majority has responded since the
    /// command was submitted.
    fn next_command(&mut self) -> Option<PendingCommand> {
        let state = self.state.clone();
        let Role::Leader(leader) = &mut self.role else { return None };
        if leader.proposal.is_some() || leader.transferring_since.is_some() {
            return None;
        }
        let since = leader.commands.0.front()?.heartbeat;
        let has_quorum = leader.progress.is_majority(&state, |progress| progress.heartbeat >= since);
        if !has_quorum && !is_active(Mutant::EvaluatesWithoutQuorum) {
            return None;
        }
        leader.commands.0.pop_front()
    }

    fn evaluate(&mut self, number: u64, command: Command) {
        match command {
            Command::Read => self.respond(number, Outcome::Current(self.state.clone())),
            Command::ChangeVoters { voters, quota_shares } => {
                self.evaluate_voters(number, voters, quota_shares);
            }
            Command::Configure(request) => self.evaluate_request(number, request),
        }
    }

    /// Rejects a change by more than one voter: majorities of the two sets need not intersect. This happens when
    /// another change was committed after this one was submitted.
    fn evaluate_voters(&mut self, number: u64, voters: Vec<VoterId>, quota_shares: u32) {
        let is_one_step = self.state.differs_by(&voters) <= 1 || is_active(Mutant::VoterChangeUnchecked);
        if is_one_step && !voters.is_empty() {
            self.propose(Entry::Voters { voters, quota_shares }, Some(number));
        } else {
            self.respond(number, Outcome::VersionConflict);
        }
    }

    fn evaluate_request(&mut self, number: u64, request: ConfigurationRequest) {
        let state = self.state.clone();
        if state.has_applied(&request.digest()) {
            return self.respond(number, Outcome::Committed);
        }
        if state.may_have_forgotten(request.base_version) {
            return self.respond(number, Outcome::Unknown);
        }
        if request.base_version != state.version() {
            return self.respond(number, Outcome::VersionConflict);
        }
        if let Err(errors) = state.evaluate(request.scope, &request.body) {
            return self.respond(number, Outcome::Invalid(errors.to_string()));
        }
        let ConfigurationRequest { scope, base_version, body } = request;
        let entry = match scope {
            ChangeScope::Full => Entry::Replace { base_version, body },
            ChangeScope::Partial => Entry::Change { base_version, body },
        };
        self.propose(entry, Some(number));
    }
}
