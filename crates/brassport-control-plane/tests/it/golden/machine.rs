//! A single node that a test drives event by event.

use super::*;

/// A node with the messages and replies that it sent. Its records are synced at once.
pub struct Machine {
    pub control: ControlPlane,
    now: Millis,
    pub sent: Vec<(Ipv4Addr, PeerMessage)>,
    replies: BTreeMap<u64, Reply>,
}

impl Machine {
    pub fn new(ip: Ipv4Addr, seeds: Vec<Ipv4Addr>, first_start: bool) -> Machine {
        let control = ControlPlane::new(options(ip, seeds, first_start, 0), 0);
        Machine { control, now: 0, sent: Vec::new(), replies: BTreeMap::new() }
    }

    /// A node that leads a cluster of its own.
    pub fn leading() -> Machine {
        let mut machine = Machine::new(MACHINE, vec![MACHINE], true);
        machine.take(Event::StoreOpened(DiskId(77), DurableState::empty()));
        machine.run(8_000);
        assert!(machine.control.leader().is_some(), "the node leads");
        machine
    }

    pub fn take(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.control.handle(self.now, event) {
                match action {
                    Action::Persist(number, _) => events.insert(0, Event::Persisted(number, true)),
                    Action::Send(to, message) => self.sent.push((to, message)),
                    Action::Respond(number, reply) => drop(self.replies.insert(number, reply)),
                    Action::StateAdvanced(_)
                    | Action::BackendChanged(_)
                    | Action::BackendExpired(_)
                    | Action::QuotaGranted(_) => {}
                }
            }
        }
    }

    pub fn run(&mut self, millis: Millis) {
        let until = self.now + millis;
        while self.now < until {
            self.now += 50;
            self.take(Event::Tick);
        }
    }

    pub fn call(&mut self, number: u64, call: Call) {
        self.take(Event::Call(number, call));
    }

    pub fn reply(&self, number: u64) -> String {
        self.replies.get(&number).map_or_else(|| "none".to_owned(), text)
    }
}

/// A reply as one line, as in the fixtures.
pub fn text(reply: &Reply) -> String {
    match reply {
        Reply::Done(body) => format!("done {}", String::from_utf8_lossy(body)),
        Reply::Redirect(ip) => format!("at {ip}"),
        Reply::Invalid(why) => format!("invalid {why}"),
        Reply::VersionConflict => "outdated".to_owned(),
        Reply::Unavailable(why) => format!("not now {why}"),
    }
}
