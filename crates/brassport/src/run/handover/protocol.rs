//! The handover protocol between the two processes of an upgrade. No I/O.
//!
//! Both sides are state machines, which map inputs to actions. At whatever step one side ends, at most one of the two
//! processes owns the budgets that must not be spent twice.

use crate::discovery::LastRevision;
use crate::nodes::bans::Bans;
use crate::run::active_settings::ActiveSettings;
use brassport_membership::book::{Entry, State};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the protocol. The old process closes the link to a process with another version.
pub const VERSION: u32 = 1;

/// One message. `Offer` carries the listening socket, `Client` the client's. Messages are serialized under the names
/// of the variants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// New to old: requests the handover.
    Ask { version: u32 },
    /// Old to new: the state to continue from.
    Offer(Box<Offer>),
    /// New to old: the offer is accepted.
    Took,
    /// Old to new: the old process has stopped accepting connections; the new one serves now.
    Go,
    /// Old to new: a client connection without a request in flight, the bytes read from it that are not used yet, and
    /// the number of requests it has had.
    Client { read: Vec<u8>, asked: u32 },
    /// Old to new: the old process frees this number of descriptors, which the new one may use.
    Descriptors(usize),
    /// Old to new: an attempt of this customer that was in flight at the offer has ended.
    Released(u64),
    /// Either way: an operator disabled a backend, which is listed with this time of start.
    Ban { node: String, boot_ms: Option<f64> },
    /// Either way: an operator enabled a backend at this Unix time, in milliseconds.
    CallBack { node: String, at_ms: f64 },
}

/// The state of the old process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// The policy's time now, and the Unix time of its start, both in milliseconds.
    pub now_ms: f64,
    pub start_unix_ms: f64,
    pub bans: Bans,
    /// The list of backends as received last.
    pub listed: Vec<Listed>,
    /// The revision of that list, if discovery has delivered one.
    #[serde(rename = "newest")]
    pub last_revision: Option<LastRevision>,
    /// The text of the configuration applied last.
    #[serde(rename = "file")]
    pub config_text: String,
    /// The settings in force.
    #[serde(rename = "terms")]
    pub active_settings: ActiveSettings,
    /// The policy's serialized state.
    #[serde(rename = "learned")]
    pub policy_state: String,
    /// Customers of the attempts in flight, one entry for each attempt.
    #[serde(rename = "out")]
    pub in_flight: Vec<u64>,
    /// Number of descriptors that the new process may use at first.
    pub descriptors: usize,
}

/// A backend's entry in the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    id: String,
    address: Option<SocketAddr>,
    zone: String,
    group: u64,
    size: f64,
    boot_ms: f64,
    state: State,
    revision: u64,
}

impl From<&Entry> for Listed {
    fn from(entry: &Entry) -> Listed {
        let Entry { id, address, zone, group, size, boot_ms, state, revision, note: _ } = entry;
        Listed {
            id: id.to_string(),
            address: *address,
            zone: zone.clone(),
            group: *group,
            size: *size,
            boot_ms: *boot_ms,
            state: *state,
            revision: *revision,
        }
    }
}

impl From<Listed> for Entry {
    fn from(listed: Listed) -> Entry {
        let Listed { id, address, zone, group, size, boot_ms, state, revision } = listed;
        Entry { id: id.into(), address, zone, group, size, boot_ms, state, revision, note: String::new() }
    }
}

/// An input of either side.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Input<'a> {
    Message(&'a Message),
    /// The other process has ended, or sent an invalid frame.
    LinkClosed,
    /// A message that was due did not come in time.
    TimedOut,
}

/// State of the old process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum OldProcess {
    /// It serves and owns all budgets.
    #[default]
    Serving,
    /// It has sent its offer, and spends no budget that must not be spent twice.
    Offered,
    /// The new process serves; this one completes the requests it has.
    HandedOver,
}

/// An action of the old process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OldProcessAction {
    /// Stop spending budgets and send the offer.
    Offer,
    /// Stop accepting connections, send `Go`, and hand over the client connections.
    HandOver,
    /// Serve again, as before the offer.
    Resume,
    /// Apply the ban change that the new process sent.
    ApplyBan,
    /// Close the link.
    CloseLink,
}

impl OldProcess {
    /// Whether the new process owes a message, so that a timeout applies.
    pub fn expects_message(self) -> bool {
        self != OldProcess::HandedOver
    }

    /// Handles an input and returns the actions to perform.
    pub fn handle(&mut self, input: Input) -> Vec<OldProcessAction> {
        use OldProcessAction::*;
        let (next, actions) = match (*self, input) {
            (OldProcess::Serving, Input::Message(Message::Ask { version: VERSION })) => {
                (OldProcess::Offered, vec![Offer])
            }
            (OldProcess::Offered, Input::Message(Message::Took)) => (OldProcess::HandedOver, vec![HandOver]),
            (OldProcess::HandedOver, Input::Message(Message::Ban { .. } | Message::CallBack { .. })) => {
                (OldProcess::HandedOver, vec![ApplyBan])
            }
            (OldProcess::Serving, _) => (OldProcess::Serving, vec![CloseLink]),
            (OldProcess::Offered | OldProcess::HandedOver, _) => {
                (OldProcess::Serving, vec![Resume, CloseLink])
            }
        };
        *self = next;
        actions
    }
}

/// State of the new process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum NewProcess {
    /// It has sent `Ask`.
    #[default]
    Requesting,
    /// It has accepted the offer.
    Accepted,
    /// It serves.
    Serving,
    /// It starts without the state of another process.
    Standalone,
}

/// An action of the new process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewProcessAction {
    /// Send `Took` and keep the offer.
    Accept,
    /// Serve with the state of the offer.
    Serve,
    /// Queue the message until this process serves.
    Queue,
    /// Apply the message.
    Apply,
    /// Take over the descriptors and attempts of the old process, which has ended.
    InheritRest,
    /// Close the link, drop the offer and start without it.
    StartStandalone,
}

impl NewProcess {
    /// Handles an input and returns the action to perform.
    pub fn handle(&mut self, input: Input) -> NewProcessAction {
        use NewProcessAction::*;
        let is_update = |message: &Message| {
            !matches!(message, Message::Ask { .. } | Message::Offer(_) | Message::Took | Message::Go)
        };
        let (next, action) = match (*self, input) {
            (NewProcess::Requesting, Input::Message(Message::Offer(_))) => (NewProcess::Accepted, Accept),
            (NewProcess::Accepted, Input::Message(Message::Go)) => (NewProcess::Serving, Serve),
            (NewProcess::Accepted, Input::Message(message)) if is_update(message) => {
                (NewProcess::Accepted, Queue)
            }
            (NewProcess::Serving, Input::Message(message)) if is_update(message) => {
                (NewProcess::Serving, Apply)
            }
            (NewProcess::Serving, _) => (NewProcess::Serving, InheritRest),
            _ => (NewProcess::Standalone, StartStandalone),
        };
        *self = next;
        action
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::VecDeque;

    fn offer() -> Message {
        let (names, settings) = Default::default();
        Message::Offer(Box::new(Offer {
            now_ms: 1.0,
            start_unix_ms: 2.0,
            bans: Bans::default(),
            listed: Vec::new(),
            last_revision: Some(LastRevision { agent: ([127, 0, 0, 1], 9).into(), revision: 7 }),
            config_text: String::new(),
            active_settings: ActiveSettings::new(names, settings),
            policy_state: String::new(),
            in_flight: vec![7],
            descriptors: 9,
        }))
    }

    /// Both sides, and the messages in transit between them.
    struct Pair {
        old: OldProcess,
        new: NewProcess,
        to_old: VecDeque<Message>,
        to_new: VecDeque<Message>,
        old_is_alive: bool,
        new_is_alive: bool,
        old_is_linked: bool,
        new_is_linked: bool,
    }

    impl Pair {
        fn start() -> Pair {
            Pair {
                old: OldProcess::default(),
                new: NewProcess::default(),
                to_old: [Message::Ask { version: VERSION }].into(),
                to_new: VecDeque::new(),
                old_is_alive: true,
                new_is_alive: true,
                old_is_linked: true,
                new_is_linked: true,
            }
        }

        fn deliver_to_old(&mut self, input: Input) {
            for action in self.old.handle(input) {
                match action {
                    OldProcessAction::Offer => self.to_new.push_back(offer()),
                    OldProcessAction::HandOver => self.to_new.push_back(Message::Go),
                    OldProcessAction::CloseLink => self.old_is_linked = false,
                    OldProcessAction::Resume | OldProcessAction::ApplyBan => {}
                }
            }
        }

        fn deliver_to_new(&mut self, input: Input) {
            match self.new.handle(input) {
                NewProcessAction::Accept => self.to_old.push_back(Message::Took),
                NewProcessAction::StartStandalone | NewProcessAction::InheritRest => {
                    self.new_is_linked = false
                }
                NewProcessAction::Serve | NewProcessAction::Queue | NewProcessAction::Apply => {}
            }
        }

        /// Delivers one message or the end of a link. Returns false if there is none.
        fn step(&mut self) -> bool {
            if self.old_is_alive && self.old_is_linked {
                if let Some(message) = self.to_old.pop_front() {
                    self.deliver_to_old(Input::Message(&message));
                    return true;
                }
                if !(self.new_is_alive && self.new_is_linked) {
                    self.deliver_to_old(Input::LinkClosed);
                    return true;
                }
            }
            if self.new_is_alive && self.new_is_linked {
                if let Some(message) = self.to_new.pop_front() {
                    self.deliver_to_new(Input::Message(&message));
                    return true;
                }
                if !(self.old_is_alive && self.old_is_linked) {
                    self.deliver_to_new(Input::LinkClosed);
                    return true;
                }
            }
            false
        }

        /// Whether the old and the new process own the budgets that must not be spent twice.
        fn owners(&self) -> (bool, bool) {
            // A standalone process owns none of the offered budgets: it starts with empty ones of its own.
            (
                self.old_is_alive && self.old == OldProcess::Serving,
                self.new_is_alive && self.new == NewProcess::Serving,
            )
        }

        fn check(&self) {
            let owners = self.owners();
            assert_ne!(owners, (true, true), "both own the budgets: {:?} {:?}", self.old, self.new);
        }

        fn run_to_end(&mut self) {
            let mut steps = 0;
            while self.step() {
                self.check();
                steps += 1;
                assert!(steps < 50, "the exchange does not end");
            }
        }
    }

    #[test]
    fn a_complete_handover_moves_the_budgets() {
        let mut pair = Pair::start();
        pair.run_to_end();
        assert_eq!((pair.old, pair.new), (OldProcess::HandedOver, NewProcess::Serving));
        assert_eq!(pair.owners(), (false, true));
    }

    #[test]
    fn if_one_process_ends_at_any_step_the_other_serves_and_never_do_both_own() {
        for steps in 0..6 {
            for old_ends in [true, false] {
                let mut pair = Pair::start();
                for _ in 0..steps {
                    pair.step();
                    pair.check();
                }
                if old_ends {
                    pair.old_is_alive = false;
                    pair.run_to_end();
                    assert!(
                        matches!(pair.new, NewProcess::Serving | NewProcess::Standalone),
                        "after {steps}: {:?}",
                        pair.new
                    );
                } else {
                    pair.new_is_alive = false;
                    pair.run_to_end();
                    assert_eq!(pair.old, OldProcess::Serving, "after {steps} steps");
                }
            }
        }
    }

    #[test]
    fn after_a_timeout_at_any_step_one_process_serves_and_never_do_both_own() {
        for steps in 0..6 {
            for by_old in [true, false] {
                let mut pair = Pair::start();
                for _ in 0..steps {
                    pair.step();
                }
                // Only a side that expects a message can time out.
                if by_old && pair.old.expects_message() {
                    pair.deliver_to_old(Input::TimedOut);
                } else if !by_old && pair.new != NewProcess::Serving {
                    pair.deliver_to_new(Input::TimedOut);
                }
                pair.check();
                pair.run_to_end();
                let serves = pair.old == OldProcess::Serving
                    || matches!(pair.new, NewProcess::Serving | NewProcess::Standalone);
                assert!(serves, "after {steps} steps: {:?} {:?}", pair.old, pair.new);
            }
        }
    }

    #[test]
    fn another_version_and_unexpected_messages_change_nothing() {
        for message in [Message::Ask { version: VERSION + 1 }, Message::Took, Message::Go, offer()] {
            let mut old = OldProcess::default();
            assert_eq!(old.handle(Input::Message(&message)), [OldProcessAction::CloseLink], "{message:?}");
            assert_eq!(old, OldProcess::Serving);
        }
        for message in [Message::Go, Message::Took, Message::Descriptors(1)] {
            let mut new = NewProcess::default();
            assert_eq!(
                new.handle(Input::Message(&message)),
                NewProcessAction::StartStandalone,
                "{message:?}"
            );
        }
    }

    #[test]
    fn a_ban_received_before_the_new_process_serves_is_queued() {
        let ban = Message::Ban { node: "n1".into(), boot_ms: Some(5.0) };
        let mut new = NewProcess::default();
        new.handle(Input::Message(&offer()));
        assert_eq!(new.handle(Input::Message(&ban)), NewProcessAction::Queue);
        assert_eq!(new.handle(Input::Message(&Message::Go)), NewProcessAction::Serve);
        assert_eq!(new.handle(Input::Message(&ban)), NewProcessAction::Apply);
        assert_eq!(new.handle(Input::LinkClosed), NewProcessAction::InheritRest);
    }

    #[test]
    fn messages_round_trip() {
        let client = Message::Client { read: b"GET /x".to_vec(), asked: 3 };
        let ban = Message::Ban { node: "n1".into(), boot_ms: None };
        for message in [offer(), client, ban, Message::Go, Message::Released(1 << 40)] {
            let text = serde_json::to_string(&message).expect("JSON");
            assert_eq!(serde_json::from_str::<Message>(&text).expect("a message"), message);
        }
    }
}
