//! The scripted clients: they send requests over kept connections, give up, leave, and try again.

use crate::http::{Message, Parser};
use crate::kernel::{End, Host, Kernel, Nanos, Script, MS};
use crate::oracle::Oracle;
use crate::places::{door_address, spread_of};
use crate::random::Random;
use crate::scenario::RequestPlan;
use crate::script::Kind;
use brassport_checkers::event::{Seen, Sent};
use std::collections::BTreeMap;

/// A further try comes through the next front door of the customer's set, this much later when nothing is advised.
const BACK_OFF: (Nanos, Nanos) = (5 * MS, 100 * MS);

/// One try of a request.
struct Try {
    plan: usize,
    number: u32,
    id: String,
    door: usize,
    /// When the client gives the whole request up.
    until: Nanos,
    end: Option<End>,
    /// It is to be sent once more on a new connection, as the first was closed on it; and it was.
    resend: bool,
    resent: bool,
}

struct Pooled {
    client: usize,
    door: usize,
    parser: Parser,
    /// The try that is open on it.
    open: Option<u64>,
    up: bool,
    /// Answered before.
    used: bool,
    /// It sends what makes no sense.
    rude: bool,
}

/// What clients saw.
#[derive(Debug, Clone, Default)]
pub struct Totals {
    /// Requests, over all their tries.
    pub requests: u64,
    /// Tries.
    pub tries: u64,
    /// Requests whose last try was refused.
    pub refused: u64,
    /// Time from its first try to the answer of each that was served.
    pub served: Vec<Nanos>,
}

/// All clients.
pub struct Clients {
    /// What they saw so far.
    pub totals: Totals,
    doors: usize,
    plans: Vec<RequestPlan>,
    tries: BTreeMap<u64, Try>,
    next: u64,
    conns: BTreeMap<End, Pooled>,
    random: Random,
}

/// The machine of a client.
pub fn client_host(client: usize) -> Host {
    Host(300 + client as u32)
}

impl Clients {
    /// Clients that will send these requests.
    pub fn start(kernel: &Kernel, doors: usize, plans: Vec<RequestPlan>, random: Random) -> Clients {
        for client in 0..=64 {
            kernel.add_machine(client_host(client), false);
        }
        for (number, plan) in plans.iter().enumerate() {
            let begin = Script { kind: Kind::RequestDue as u32, whose: 0, which: number as u64 };
            kernel.plan(plan.at_us * 1000, begin);
        }
        let (tries, conns, totals) = (BTreeMap::new(), BTreeMap::new(), Totals::default());
        Clients { totals, doors, plans, tries, next: 0, conns, random }
    }

    /// A request is to be sent for the first time.
    pub fn begin(&mut self, kernel: &Kernel, oracle: &mut Oracle, plan: usize) {
        let request = &self.plans[plan];
        let until = kernel.now() + request.patience_ms * MS;
        self.totals.requests += 1;
        // The customer's set of doors, one of which is its usual one.
        let spread = spread_of(request.customer, self.doors);
        let own = self.random.index(spread);
        let first = request.customer as usize % self.doors;
        self.try_at(kernel, oracle, plan, 0, (first + own) % self.doors, until);
    }

    fn try_at(
        &mut self,
        kernel: &Kernel,
        oracle: &mut Oracle,
        plan: usize,
        number: u32,
        door: usize,
        until: Nanos,
    ) {
        self.next += 1;
        self.totals.tries += 1;
        let id = format!("r{plan:05}-{number}");
        self.tries.insert(
            self.next,
            Try { plan, number, id, door, until, end: None, resend: false, resent: false },
        );
        let open = self.next;
        let over = Script { kind: Kind::PatienceOver as u32, whose: 0, which: open };
        // A client closes once its time is up; the answer that comes within the rule's grace still counts.
        kernel.plan(until + 60 * MS, over);
        if let Some(leaves) = self.plans[plan].leaves_us.filter(|_| number == 0) {
            kernel.plan(
                kernel.now() + leaves * 1000,
                Script { kind: Kind::ClientLeaves as u32, whose: 0, which: open },
            );
        }
        self.send(kernel, oracle, open);
    }

    /// Sends on an idle connection, or opens one.
    fn send(&mut self, kernel: &Kernel, oracle: &mut Oracle, open: u64) {
        let Some(tried) = self.tries.get(&open) else { return };
        let (client, door) = (self.plans[tried.plan].client, tried.door);
        let idle = |(_, conn): &(&End, &mut Pooled)| {
            conn.client == client && conn.door == door && conn.up && conn.open.is_none() && !conn.rude
        };
        let end = if tried.resent { None } else { self.conns.iter_mut().find(idle).map(|(end, _)| *end) };
        match end {
            Some(end) => self.write(kernel, oracle, open, end),
            None => {
                let end = kernel.connect(client_host(client), door_address(door));
                let pooled = Pooled {
                    client,
                    door,
                    parser: Parser::default(),
                    open: Some(open),
                    up: false,
                    used: false,
                    rude: false,
                };
                self.conns.insert(end, pooled);
                if let Some(tried) = self.tries.get_mut(&open) {
                    tried.end = Some(end);
                }
            }
        }
    }

    fn write(&mut self, kernel: &Kernel, oracle: &mut Oracle, open: u64, end: End) {
        let (Some(tried), Some(conn)) = (self.tries.get_mut(&open), self.conns.get_mut(&end)) else { return };
        let (plan, now) = (&self.plans[tried.plan], kernel.now());
        (tried.end, conn.open) = (Some(end), Some(open));
        let patience = tried.until.saturating_sub(now);
        let (class, method) =
            if plan.unsafe_to_repeat { ("job-submit", "POST") } else { ("preview-fetch", "GET") };
        let name = ["starter", "studio", "practice"][(plan.customer % 3) as usize];
        let (spread, first) = (spread_of(plan.customer, self.doors), plan.customer as usize % self.doors);
        let body = if plan.unsafe_to_repeat { "b".repeat(plan.body) } else { String::new() };
        let length =
            if plan.unsafe_to_repeat { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
        let text = format!(
            "{method} /{class}/x HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {}\r\nX-Class: {class}\r\n\
             Plan: {name}\r\nCookie: client={:016x}\r\nX-Deadline: {}u\r\n{length}\
             Quota-Info: units=1,spread={spread},first={first}\r\n\r\n{body}",
            tried.id,
            plan.customer,
            (patience / 1000).max(1),
        );
        let (unsafe_to_repeat, customer) = (plan.unsafe_to_repeat, plan.customer);
        let sent = Sent { at: now, patience, unsafe_to_repeat, customer, has_ceiling: customer % 3 == 2 };
        oracle.judge.see(now, &tried.id, Seen::Sent(sent));
        kernel.write_all(end, text.as_bytes());
    }

    /// A connection came up, or was refused.
    pub fn connected(&mut self, kernel: &Kernel, oracle: &mut Oracle, end: End, up: bool) {
        let Some(conn) = self.conns.get_mut(&end) else { return };
        conn.up = up;
        let open = conn.open;
        if up {
            if let Some(open) = open {
                self.write(kernel, oracle, open, end);
            }
            return;
        }
        self.conns.remove(&end);
        if let Some(open) = open {
            self.try_again(kernel, open, None);
        }
    }

    /// Sends noise, or half of a request, on a connection of its own.
    pub fn be_rude(&mut self, kernel: &Kernel, door: usize, bytes: usize) {
        let end = kernel.connect(client_host(64), door_address(door));
        let pooled = Pooled {
            client: 64,
            door,
            parser: Parser::default(),
            open: None,
            up: true,
            used: false,
            rude: true,
        };
        self.conns.insert(end, pooled);
        let text =
            "GET /preview-fetch HTTP/1.1\r\nX-Request-Id: none\r\nX-Class: preview-fetch\r\nPlan: nobody\r\n\
                    Content-Length: -3\r\nCookie: client=zz\r\n\r\n";
        kernel.write_all(end, &text.as_bytes()[..bytes.min(text.len())]);
    }

    /// Bytes have come.
    pub fn data(&mut self, kernel: &Kernel, end: End) {
        let bytes = kernel.read_all(end);
        let Some(conn) = self.conns.get_mut(&end) else { return };
        conn.parser.push(&bytes);
        let Some(Ok(message)) = conn.parser.next_message() else { return };
        conn.used = true;
        let open = conn.open.take();
        if message.header("connection") == "close" {
            self.conns.remove(&end);
            kernel.close(end, false);
        }
        let Some(open) = open else { return };
        let Some(tried) = self.tries.get(&open) else { return };
        let again = match message.status() {
            429 | 503 => true,
            200 => false,
            _ => !self.plans[tried.plan].unsafe_to_repeat,
        };
        if message.status() == 200 {
            let first = tried.until.saturating_sub(self.plans[tried.plan].patience_ms * MS);
            self.totals.served.push(kernel.now() - first);
        }
        if again {
            self.try_again(kernel, open, Some(&message));
        } else {
            self.tries.remove(&open);
        }
    }

    fn try_again(&mut self, kernel: &Kernel, open: u64, told: Option<&Message>) {
        let Some(tried) = self.tries.get_mut(&open) else { return };
        tried.end = None;
        if tried.number >= self.plans[tried.plan].retries {
            self.totals.refused += u64::from(told.is_some_and(|told| matches!(told.status(), 429 | 503)));
            self.tries.remove(&open);
            return;
        }
        let advised = told.and_then(|message| message.header("retry-after").parse::<f64>().ok());
        let wait = match advised {
            Some(seconds) => (seconds * 1e9) as Nanos,
            None => self.random.between(BACK_OFF.0, BACK_OFF.1),
        };
        kernel.plan(kernel.now() + wait, Script { kind: Kind::TryAgain as u32, whose: 0, which: open });
    }

    /// A further try is due.
    pub fn again(&mut self, kernel: &Kernel, oracle: &mut Oracle, open: u64) {
        let Some(tried) = self.tries.remove(&open) else { return };
        if kernel.now() >= tried.until {
            return;
        }
        if tried.resend {
            // The same one once more: its connection was closed on it.
            self.tries.insert(open, Try { resend: false, resent: true, ..tried });
            self.send(kernel, oracle, open);
            return;
        }
        let plan = &self.plans[tried.plan];
        let spread = spread_of(plan.customer, self.doors);
        let first = plan.customer as usize % self.doors;
        let place = (tried.door + self.doors - first) % self.doors;
        let next = (first + (place + 1) % spread) % self.doors;
        self.try_at(kernel, oracle, tried.plan, tried.number + 1, next, tried.until);
    }

    /// A connection has ended, or broken.
    pub fn gone(&mut self, kernel: &Kernel, end: End, reset: bool) {
        kernel.close(end, false);
        let Some(conn) = self.conns.remove(&end) else { return };
        let Some(open) = conn.open else { return };
        let Some(tried) = self.tries.get_mut(&open) else { return };
        if conn.used && !reset && !tried.resent && !conn.parser.begun() {
            // The close crossed the request.
            tried.resend = true;
            kernel.plan(kernel.now(), Script { kind: Kind::TryAgain as u32, whose: 0, which: open });
        } else if !self.plans[tried.plan].unsafe_to_repeat {
            self.try_again(kernel, open, None);
        } else {
            self.tries.remove(&open);
        }
    }

    /// A client's time is up, or it leaves before that.
    pub fn leave(&mut self, kernel: &Kernel, oracle: &mut Oracle, open: u64, early: bool) {
        let Some(tried) = self.tries.remove(&open) else { return };
        let Some(end) = tried.end else { return };
        if early {
            oracle.judge.see(kernel.now(), &tried.id, Seen::Left);
        }
        self.conns.remove(&end);
        kernel.close(end, early && self.plans[tried.plan].leaves_rudely);
    }
}
