//! Virtual time and the network: what the operating systems and the wires of the simulated site do.
//!
//! One queue of events drives everything. Two events due at the same instant run in the order that the seed's
//! [`Ties`] gives; the same seed gives the same order always.

use crate::random::Random;
use brassport_checkers::event::{Connection, Door, Node};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Waker;

/// Virtual time since the start of the run, in nanoseconds.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;

/// A machine of the simulated site: a front door, a node, a discovery agent or a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Host(pub u32);

impl Host {
    /// This machine as a front door of the history.
    pub fn door(self) -> Door {
        Door(self.0)
    }

    /// This machine as a node of the history.
    pub fn node(self) -> Node {
        Node(self.0)
    }
}

/// A connection; never reused within a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub usize);

/// One end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct End {
    /// The connection.
    pub conn: ConnId,
    /// 0 for the one that connected, 1 for the one that accepted.
    pub side: usize,
}

impl End {
    /// This end in the history, and back.
    pub fn connection(self) -> Connection {
        Connection((self.conn.0 as u64) << 1 | self.side as u64)
    }

    /// The end that stands in the history as this.
    pub fn of(Connection(number): Connection) -> End {
        End { conn: ConnId((number >> 1) as usize), side: (number & 1) as usize }
    }

    /// The other end.
    pub fn peer(self) -> End {
        End { conn: self.conn, side: 1 - self.side }
    }
}

/// The order of events that are due at the same instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ties {
    /// In the order in which they were scheduled.
    First,
    /// The other way round.
    Last,
    /// Drawn from the seed, event by event.
    Drawn,
}

/// What happens at an instant.
pub enum Occurrence {
    /// A timer of a front door's is due.
    Timer(u64),
    /// The next segment that this end has sent arrives.
    Arrive(End),
    /// A connection request reaches its host.
    Syn(ConnId),
    /// Its answer is back.
    SynAck(ConnId),
    /// A datagram arrives.
    Datagram(Packet),
    /// Something that the site's scripts planned.
    Script(Script),
}

/// A datagram under way.
pub struct Packet {
    from: SocketAddr,
    to: SocketAddr,
    hosts: [Host; 2],
    bytes: Vec<u8>,
}

/// A socket for datagrams.
struct Port {
    host: Host,
    inbox: VecDeque<(Vec<u8>, SocketAddr)>,
    reader: Option<Waker>,
}

/// Datagrams that a socket holds for its owner; more are lost.
const INBOX: usize = 64;
/// Ports that are drawn from.
const PORTS: (u64, u64) = (32_768, 60_999);

/// What the scripts of the site plan, by numbers that only they read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Script {
    /// What.
    pub kind: u32,
    /// Whose.
    pub whose: u64,
    /// Which.
    pub which: u64,
}

/// What a scripted host sees of the network.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// A connection that it asked for is up, or was refused.
    Connected(End, bool),
    /// Somebody connected.
    Accepted(End),
    /// Bytes are there to be read.
    Data(End),
    /// The other end sends no more.
    Eof(End),
    /// The connection broke.
    Reset(End),
}

/// What passed on the wire at an end of a front door's, in order: the oracle's only source beside the nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Passed {
    /// The door's system accepted the connection.
    Taken(End),
    /// The door wrote these bytes.
    Wrote(End, Vec<u8>),
    /// These bytes arrived at the door's machine.
    Came(End, Vec<u8>),
    /// The other end's sending ended, and the door's machine knows.
    Ended(End),
    /// The connection broke, and the door's machine knows.
    Broke(End),
    /// The door closed its end.
    Closed(End),
    /// The door ended its sending.
    Finished(End),
}

enum Segment {
    Data(Vec<u8>),
    Fin,
    Rst,
}

/// How a connection is cut in the middle of what an end sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Both ends see a reset.
    Reset,
    /// Nothing passes any more, either way, and nobody is told.
    Silent,
}

#[derive(Default)]
struct Side {
    /// Arrived and not read.
    inbox: VecDeque<u8>,
    eof: bool,
    broken: bool,
    /// Dropped by its owner.
    closed: bool,
    /// Takes a descriptor of its owner's: it was opened, or accepted.
    owned: bool,
    finished: bool,
    /// Bytes sent so far, and those of them that the peer has not read.
    sent: u64,
    unread: usize,
    /// Sent and under way, and how many of those wait for a partition to heal.
    transit: VecDeque<Segment>,
    held: usize,
    cut: Option<(u64, Cut)>,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

struct Conn {
    hosts: [Host; 2],
    to: SocketAddr,
    latency: Nanos,
    window: usize,
    silent: bool,
    /// `None` while the connection is coming up.
    up: Option<bool>,
    sides: [Side; 2],
    connector: Option<Waker>,
}

struct Listening {
    host: Host,
    /// Connections that wait to be accepted, for a host that accepts by itself.
    backlog: VecDeque<ConnId>,
    accepting: Option<Waker>,
    /// Scripted hosts take every connection at once.
    scripted: bool,
}

#[derive(Default)]
struct Machine {
    dead: bool,
    frozen: bool,
    door: bool,
    /// A program runs on it, which is woken; not a script, which is notified.
    program: bool,
    /// Wakers that wait for a thaw.
    held: Vec<Waker>,
    /// Sockets that its processes hold.
    sockets: usize,
}

struct Timer {
    at: Nanos,
    host: Host,
    waker: Option<Waker>,
    due: bool,
}

/// Figures that the network draws from.
#[derive(Debug, Clone, Copy)]
pub struct Wires {
    /// One-way time of a connection, from and to.
    pub latency: (Nanos, Nanos),
    /// Probability that a connection has a small window, so that writes are partial.
    pub small_window: f64,
    /// Probability that a datagram is lost, and that it comes twice.
    pub lost: f64,
    pub twice: f64,
}

struct Inner {
    now: Nanos,
    sequence: u64,
    ties: Ties,
    random: Random,
    queue: BinaryHeap<Reverse<Queued>>,
    conns: Vec<Conn>,
    listeners: BTreeMap<SocketAddr, Listening>,
    machines: BTreeMap<Host, Machine>,
    blocked: BTreeSet<(Host, Host)>,
    timers: BTreeMap<u64, Timer>,
    next_timer: u64,
    notices: VecDeque<(Host, Notice)>,
    passed: Vec<(Nanos, Passed)>,
    wires: Wires,
    /// Cuts for the next connections that come up between two hosts of these kinds.
    planned_cuts: Vec<PlannedCut>,
    ports: BTreeMap<SocketAddr, Port>,
    /// For datagrams alone: runs without them draw what they drew before there were any.
    drawn: Random,
}

/// A cut that waits for the next connection to an address.
#[derive(Debug, Clone, Copy)]
pub struct PlannedCut {
    /// Connections to this address.
    pub to: SocketAddr,
    /// From this host only, if one is named.
    pub from: Option<Host>,
    /// Which end's sending is cut: 0 for the one that connects.
    pub side: usize,
    /// Behind so many bytes.
    pub after: u64,
    /// How.
    pub how: Cut,
}

struct Queued {
    key: (Nanos, u64, u64),
    what: Occurrence,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        self.key == other.key
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

/// A handle of the one kernel of a run.
#[derive(Clone)]
pub struct Kernel(Rc<RefCell<Inner>>);

impl Kernel {
    /// A kernel at time 0.
    pub fn new(ties: Ties, random: Random, drawn: Random, wires: Wires) -> Kernel {
        Kernel(Rc::new(RefCell::new(Inner {
            ports: BTreeMap::new(),
            drawn,
            now: 0,
            sequence: 0,
            ties,
            random,
            queue: BinaryHeap::new(),
            conns: Vec::new(),
            listeners: BTreeMap::new(),
            machines: BTreeMap::new(),
            blocked: BTreeSet::new(),
            timers: BTreeMap::new(),
            next_timer: 0,
            notices: VecDeque::new(),
            passed: Vec::new(),
            wires,
            planned_cuts: Vec::new(),
        })))
    }

    /// The time now.
    pub fn now(&self) -> Nanos {
        self.0.borrow().now
    }

    /// Plans a script's event.
    pub fn plan(&self, at: Nanos, script: Script) {
        self.0.borrow_mut().schedule(at, Occurrence::Script(script));
    }

    /// Makes a machine known. `door` ends are recorded for the oracle.
    pub fn add_machine(&self, host: Host, door: bool) {
        self.0.borrow_mut().machines.insert(host, Machine { door, program: door, ..Machine::default() });
    }

    /// Makes a machine known that runs a program, whose ends are not recorded.
    pub fn add_server(&self, host: Host) {
        self.0.borrow_mut().machines.insert(host, Machine { program: true, ..Machine::default() });
    }

    /// Goes on to the next event and carries it out, if it is due by `until`. `None` when there is none; a
    /// script's event is handed back to be carried out by its owner.
    pub fn step(&self, until: Nanos) -> Option<Option<Script>> {
        let mut inner = self.0.borrow_mut();
        if inner.queue.peek()?.0.key.0 > until {
            return None;
        }
        let Reverse(Queued { key, what }) = inner.queue.pop()?;
        inner.now = key.0;
        match what {
            Occurrence::Timer(id) => inner.timer_due(id),
            Occurrence::Arrive(end) => inner.arrive(end),
            Occurrence::Syn(conn) => inner.syn(conn),
            Occurrence::SynAck(conn) => inner.syn_ack(conn),
            Occurrence::Datagram(packet) => inner.deliver(packet),
            Occurrence::Script(script) => return Some(Some(script)),
        }
        Some(None)
    }

    /// The next notice for a scripted host.
    pub fn notice(&self) -> Option<(Host, Notice)> {
        self.0.borrow_mut().notices.pop_front()
    }

    /// What passed at the doors' ends since the last call.
    pub fn passed(&self) -> Vec<(Nanos, Passed)> {
        std::mem::take(&mut self.0.borrow_mut().passed)
    }

    // ---- Sockets. ----

    /// A scripted host listens: it takes every connection at once.
    pub fn listen_scripted(&self, host: Host, at: SocketAddr) {
        self.0.borrow_mut().listen(host, at, true);
    }

    /// A front door listens. False if somebody does already.
    pub fn listen(&self, host: Host, at: SocketAddr) -> bool {
        let mut inner = self.0.borrow_mut();
        if inner.listeners.contains_key(&at) {
            return false;
        }
        inner.listen(host, at, false);
        true
    }

    /// Stops listening. Connections that nobody accepted are reset.
    pub fn unlisten(&self, at: SocketAddr) {
        let mut inner = self.0.borrow_mut();
        if let Some(listening) = inner.listeners.remove(&at) {
            for conn in listening.backlog {
                inner.close(End { conn, side: 1 }, true);
            }
        }
    }

    /// The next connection that waits to be accepted.
    pub fn accept(&self, at: SocketAddr, waker: &Waker) -> Option<End> {
        let mut inner = self.0.borrow_mut();
        let listening = inner.listeners.get_mut(&at)?;
        match listening.backlog.pop_front() {
            Some(conn) => {
                let end = End { conn, side: 1 };
                inner.hold(end);
                Some(end)
            }
            None => {
                listening.accepting = Some(waker.clone());
                None
            }
        }
    }

    /// Begins to connect.
    pub fn connect(&self, from: Host, to: SocketAddr) -> End {
        self.0.borrow_mut().connect(from, to)
    }

    /// Whether a connection came up, once that is known.
    pub fn connected(&self, end: End, waker: &Waker) -> Option<bool> {
        let mut inner = self.0.borrow_mut();
        let conn = &mut inner.conns[end.conn.0];
        if conn.up.is_none() {
            conn.connector = Some(waker.clone());
        }
        conn.up
    }

    /// Reads what has arrived. `Some(0)`: the other end sends no more. `Err`: the connection broke.
    pub fn read(&self, end: End, buffer: &mut [u8], waker: Option<&Waker>) -> Result<Option<usize>, Broken> {
        self.0.borrow_mut().read(end, buffer, waker)
    }

    /// Reads all that has arrived, for a scripted host.
    pub fn read_all(&self, end: End) -> Vec<u8> {
        let mut inner = self.0.borrow_mut();
        let waiting = inner.conns[end.conn.0].sides[end.side].inbox.len();
        let mut bytes = vec![0; waiting];
        let read = inner.read(end, &mut bytes, None).ok().flatten().unwrap_or(0);
        bytes.truncate(read);
        bytes
    }

    /// Writes as much as the window takes. `None`: nothing now.
    pub fn write(&self, end: End, bytes: &[u8], waker: Option<&Waker>) -> Result<Option<usize>, Broken> {
        self.0.borrow_mut().write(end, bytes, waker)
    }

    /// Writes all, whatever the window, for a scripted host.
    pub fn write_all(&self, end: End, bytes: &[u8]) {
        let mut inner = self.0.borrow_mut();
        let window = std::mem::replace(&mut inner.conns[end.conn.0].window, usize::MAX);
        // A connection that broke tells its owner by itself.
        let _ = inner.write(end, bytes, None);
        inner.conns[end.conn.0].window = window;
    }

    /// Ends the sending.
    pub fn finish(&self, end: End) {
        self.0.borrow_mut().finish(end);
    }

    /// Closes an end, as a process does; with a reset if asked for or if it has bytes unread.
    pub fn close(&self, end: End, reset: bool) {
        self.0.borrow_mut().close(end, reset);
    }

    /// Where a connection was made to, and by whom.
    pub fn peers(&self, conn: ConnId) -> ([Host; 2], SocketAddr) {
        let inner = self.0.borrow();
        (inner.conns[conn.0].hosts, inner.conns[conn.0].to)
    }

    /// Whether a connection was cut so that nothing passes and nobody is told.
    pub fn is_silent(&self, conn: ConnId) -> bool {
        let inner = self.0.borrow();
        let conn = &inner.conns[conn.0];
        let cut = |side: &Side| side.cut.is_some_and(|(after, how)| how == Cut::Silent && side.sent >= after);
        conn.silent || conn.sides.iter().any(cut)
    }

    /// How many connections a host's processes hold.
    pub fn sockets(&self, host: Host) -> usize {
        self.0.borrow().machines.get(&host).map_or(0, |machine| machine.sockets)
    }

    /// Those connections, and where each was made to.
    pub fn held_ends(&self, host: Host) -> Vec<(End, SocketAddr)> {
        let inner = self.0.borrow();
        let mut ends = Vec::new();
        for (number, conn) in inner.conns.iter().enumerate() {
            for side in (0..2).filter(|side| conn.hosts[*side] == host && conn.sides[*side].owned) {
                ends.push((End { conn: ConnId(number), side }, conn.to));
            }
        }
        ends
    }

    // ---- Datagrams. ----

    /// Opens a socket at an address; one with port 0 gets a port that is drawn. `None` if somebody is there.
    pub fn open_datagrams(&self, host: Host, at: SocketAddr) -> Option<SocketAddr> {
        let mut inner = self.0.borrow_mut();
        let mut at = at;
        if at.port() == 0 {
            // Machines have addresses of their own here: a socket at any address of its machine is at this one.
            if at.ip().is_loopback() && at.ip().to_string() == "127.0.0.1" {
                at.set_ip([127, 0, 9, (host.0 % 250) as u8 + 1].into());
            }
            loop {
                at.set_port(inner.drawn.between(PORTS.0, PORTS.1) as u16);
                if !inner.ports.contains_key(&at) {
                    break;
                }
            }
        }
        if inner.ports.contains_key(&at) {
            return None;
        }
        inner.ports.insert(at, Port { host, inbox: VecDeque::new(), reader: None });
        if let Some(machine) = inner.machines.get_mut(&host) {
            machine.sockets += 1;
        }
        Some(at)
    }

    /// Sends a datagram: it is lost, comes once, or twice, each after a time of its own.
    pub fn send_datagram(&self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let mut inner = self.0.borrow_mut();
        let Some(host) = inner.ports.get(&from).map(|port| port.host) else { return };
        inner.send_packet(host, from, to, bytes);
    }

    /// The next datagram that came to a socket.
    pub fn take_datagram(&self, at: SocketAddr, waker: &Waker) -> Option<(Vec<u8>, SocketAddr)> {
        let mut inner = self.0.borrow_mut();
        let port = inner.ports.get_mut(&at)?;
        let taken = port.inbox.pop_front();
        if taken.is_none() {
            port.reader = Some(waker.clone());
        }
        taken
    }

    /// Closes a socket.
    pub fn close_datagrams(&self, at: SocketAddr) {
        let mut inner = self.0.borrow_mut();
        if let Some(port) = inner.ports.remove(&at) {
            if let Some(machine) = inner.machines.get_mut(&port.host) {
                machine.sockets -= 1;
            }
        }
    }

    // ---- Timers. ----

    /// Sets a timer of a front door's.
    pub fn set_timer(&self, host: Host, at: Nanos) -> u64 {
        let mut inner = self.0.borrow_mut();
        let id = inner.next_timer;
        inner.next_timer += 1;
        let at = at.max(inner.now);
        inner.timers.insert(id, Timer { at, host, waker: None, due: false });
        inner.schedule(at, Occurrence::Timer(id));
        id
    }

    /// Whether it is due.
    pub fn timer_due(&self, id: u64, waker: &Waker) -> bool {
        let mut inner = self.0.borrow_mut();
        let now = inner.now;
        let Some(timer) = inner.timers.get_mut(&id) else { return true };
        // Guards against a host that was frozen past the instant: its clock says so before its timer does.
        if timer.due || timer.at < now {
            return true;
        }
        timer.waker = Some(waker.clone());
        false
    }

    /// Takes a timer off.
    pub fn drop_timer(&self, id: u64) {
        self.0.borrow_mut().timers.remove(&id);
    }

    /// Timers that a host has set.
    pub fn timers(&self, host: Host) -> usize {
        self.0.borrow().timers.values().filter(|timer| timer.host == host).count()
    }

    // ---- Faults. ----

    /// Stops a machine's processes; its system goes on taking what comes.
    pub fn freeze(&self, host: Host) {
        if let Some(machine) = self.0.borrow_mut().machines.get_mut(&host) {
            machine.frozen = true;
        }
    }

    /// Lets a machine's processes go on. What woke its tasks meanwhile does so in an order drawn by chance, as a
    /// poll of many ready sockets may return them in any order.
    pub fn thaw(&self, host: Host) {
        let mut inner = self.0.borrow_mut();
        let inner = &mut *inner;
        let Some(machine) = inner.machines.get_mut(&host) else { return };
        machine.frozen = false;
        let mut held = std::mem::take(&mut machine.held);
        inner.random.shuffle(&mut held);
        held.into_iter().for_each(Waker::wake);
    }

    /// Whether a machine is frozen.
    pub fn is_frozen(&self, host: Host) -> bool {
        self.0.borrow().machines.get(&host).is_some_and(|machine| machine.frozen)
    }

    /// Ends a machine's processes: its listeners are gone and its connections reset.
    pub fn kill(&self, host: Host) {
        let mut inner = self.0.borrow_mut();
        inner.listeners.retain(|_, listening| listening.host != host);
        for number in 0..inner.conns.len() {
            for side in 0..2 {
                if inner.conns[number].hosts[side] == host {
                    inner.close(End { conn: ConnId(number), side }, true);
                }
            }
        }
        if let Some(machine) = inner.machines.get_mut(&host) {
            (machine.frozen, machine.held) = (false, Vec::new());
        }
    }

    /// Makes a machine vanish, or come back: nothing reaches it or leaves it, and nobody is told.
    pub fn vanish(&self, host: Host, dead: bool) {
        let mut inner = self.0.borrow_mut();
        if let Some(machine) = inner.machines.get_mut(&host) {
            machine.dead = dead;
        }
        for conn in inner.conns.iter_mut().filter(|conn| dead && conn.hosts.contains(&host)) {
            conn.silent = true;
        }
    }

    /// Cuts two machines off from each other, or heals that. What was under way arrives after the healing.
    pub fn partition(&self, one: Host, other: Host, cut: bool) {
        let mut inner = self.0.borrow_mut();
        let pair = (one.min(other), one.max(other));
        if cut {
            inner.blocked.insert(pair);
            return;
        }
        inner.blocked.remove(&pair);
        for number in 0..inner.conns.len() {
            let conn = &mut inner.conns[number];
            if (conn.hosts[0].min(conn.hosts[1]), conn.hosts[0].max(conn.hosts[1])) != pair {
                continue;
            }
            let at = conn.latency;
            for side in 0..2 {
                let held = std::mem::take(&mut inner.conns[number].sides[side].held);
                let now = inner.now;
                for _ in 0..held {
                    inner.schedule(now + at, Occurrence::Arrive(End { conn: ConnId(number), side }));
                }
            }
        }
    }

    /// Plans a cut for the next connection to an address.
    pub fn cut_next(&self, cut: PlannedCut) {
        self.0.borrow_mut().planned_cuts.push(cut);
    }

    /// Cuts a standing connection behind so many more bytes of an end's.
    pub fn cut(&self, end: End, after: u64, how: Cut) {
        let mut inner = self.0.borrow_mut();
        let side = &mut inner.conns[end.conn.0].sides[end.side];
        side.cut = Some((side.sent + after, how));
    }
}

/// The connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Broken;

impl Inner {
    fn schedule(&mut self, at: Nanos, what: Occurrence) {
        self.sequence += 1;
        let tie = match self.ties {
            Ties::First => 0,
            Ties::Last => u64::MAX - self.sequence,
            Ties::Drawn => self.random.number(),
        };
        self.queue.push(Reverse(Queued { key: (at.max(self.now), tie, self.sequence), what }));
    }

    fn pass(&mut self, end: End, what: impl FnOnce() -> Passed) {
        let host = self.conns[end.conn.0].hosts[end.side];
        if self.machines.get(&host).is_some_and(|machine| machine.door) {
            self.passed.push((self.now, what()));
        }
    }

    /// An end takes a descriptor of its host's.
    fn hold(&mut self, end: End) {
        let conn = &mut self.conns[end.conn.0];
        conn.sides[end.side].owned = true;
        let host = conn.hosts[end.side];
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.sockets += 1;
        }
    }

    fn runs_program(&self, host: Host) -> bool {
        self.machines.get(&host).is_some_and(|machine| machine.program)
    }

    /// Wakes a task of a host, or notes the waker until the host's thaw.
    fn wake(&mut self, host: Host, waker: Option<Waker>) {
        let Some(waker) = waker else { return };
        match self.machines.get_mut(&host) {
            Some(machine) if machine.frozen => machine.held.push(waker),
            _ => waker.wake(),
        }
    }

    fn timer_due(&mut self, id: u64) {
        let Some(timer) = self.timers.get_mut(&id) else { return };
        timer.due = true;
        let (host, waker) = (timer.host, timer.waker.take());
        self.wake(host, waker);
    }

    fn listen(&mut self, host: Host, at: SocketAddr, scripted: bool) {
        self.listeners.insert(at, Listening { host, backlog: VecDeque::new(), accepting: None, scripted });
    }

    fn connect(&mut self, from: Host, to: SocketAddr) -> End {
        let conn = ConnId(self.conns.len());
        let (least, most) = self.wires.latency;
        let latency = self.random.between(least, most);
        let window = if self.random.chance(self.wires.small_window) {
            self.random.between(16, 400) as usize
        } else {
            65_536
        };
        let mut sides = [Side::default(), Side::default()];
        let fits = |cut: &PlannedCut| cut.to == to && cut.from.is_none_or(|host| host == from);
        if let Some(place) = self.planned_cuts.iter().position(fits) {
            let cut = self.planned_cuts.remove(place);
            sides[cut.side].cut = Some((cut.after, cut.how));
        }
        let host = self.listeners.get(&to).map_or(Host(u32::MAX), |listening| listening.host);
        let hosts = [from, host];
        self.conns.push(Conn { hosts, to, latency, window, silent: false, up: None, sides, connector: None });
        let at = self.now + latency;
        self.schedule(at, Occurrence::Syn(conn));
        let end = End { conn, side: 0 };
        self.hold(end);
        end
    }

    fn send_packet(&mut self, host: Host, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let Wires { latency, lost, twice, .. } = self.wires;
        let copies = match self.drawn.part() {
            part if part < lost => 0,
            part if part < lost + twice => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let at = self.now + self.drawn.between(latency.0, latency.1.max(latency.0 + 1));
            let there = self.ports.get(&to).map_or(Host(u32::MAX), |port| port.host);
            let packet = Packet { from, to, hosts: [host, there], bytes: bytes.to_vec() };
            self.schedule(at, Occurrence::Datagram(packet));
        }
    }

    fn deliver(&mut self, packet: Packet) {
        let Packet { from, to, hosts: [one, other], bytes } = packet;
        let is_dead = |host: &Host| self.machines.get(host).is_some_and(|machine| machine.dead);
        if self.blocked.contains(&(one.min(other), one.max(other))) || is_dead(&one) || is_dead(&other) {
            return;
        }
        let Some(port) = self.ports.get_mut(&to).filter(|port| port.inbox.len() < INBOX) else { return };
        port.inbox.push_back((bytes, from));
        let (host, waker) = (port.host, port.reader.take());
        self.wake(host, waker);
    }

    fn blocked(&self, conn: ConnId) -> bool {
        let [one, other] = self.conns[conn.0].hosts;
        self.blocked.contains(&(one.min(other), one.max(other)))
    }

    fn syn(&mut self, id: ConnId) {
        let (to, latency) = (self.conns[id.0].to, self.conns[id.0].latency);
        let listening = self.listeners.get(&to).map(|listening| (listening.host, listening.scripted));
        if let Some((host, _)) = listening {
            self.conns[id.0].hosts[1] = host;
        }
        let [from, host] = self.conns[id.0].hosts;
        let lost =
            [from, host].iter().any(|host| self.machines.get(host).is_some_and(|machine| machine.dead));
        // A request that is lost is not sent again here: nobody waits longer for it than for a second one.
        if lost || self.blocked(id) {
            return;
        }
        let now = self.now;
        match listening {
            None => self.conns[id.0].up = Some(false),
            Some((host, scripted)) => {
                self.conns[id.0].up = Some(true);
                let end = End { conn: id, side: 1 };
                self.pass(end, || Passed::Taken(end));
                if scripted {
                    self.notices.push_back((host, Notice::Accepted(end)));
                } else if let Some(listening) = self.listeners.get_mut(&to) {
                    listening.backlog.push_back(id);
                    let waker = listening.accepting.take();
                    self.wake(host, waker);
                }
            }
        }
        self.schedule(now + latency, Occurrence::SynAck(id));
    }

    fn syn_ack(&mut self, id: ConnId) {
        let conn = &mut self.conns[id.0];
        let (host, up, waker) = (conn.hosts[0], conn.up == Some(true), conn.connector.take());
        if conn.sides[0].closed {
            // Given up while it came up.
            if up {
                self.send(End { conn: id, side: 0 }, Segment::Rst);
            }
            return;
        }
        if self.runs_program(host) {
            self.wake(host, waker);
        } else {
            self.notices.push_back((host, Notice::Connected(End { conn: id, side: 0 }, up)));
        }
    }

    /// Puts a segment on its way.
    fn send(&mut self, end: End, segment: Segment) {
        let conn = &mut self.conns[end.conn.0];
        if conn.silent {
            return;
        }
        conn.sides[end.side].transit.push_back(segment);
        let at = self.now + conn.latency;
        self.schedule(at, Occurrence::Arrive(end));
    }

    fn arrive(&mut self, from: End) {
        if self.blocked(from.conn) {
            self.conns[from.conn.0].sides[from.side].held += 1;
            return;
        }
        let conn = &mut self.conns[from.conn.0];
        let Some(segment) = conn.sides[from.side].transit.pop_front() else { return };
        if conn.silent {
            return;
        }
        let to = from.peer();
        let host = conn.hosts[to.side];
        if conn.sides[to.side].broken {
            return;
        }
        if conn.sides[to.side].closed {
            // What comes for a socket that is no more is answered by a reset.
            if !matches!(segment, Segment::Rst) {
                conn.sides[from.side].transit.clear();
                self.send(to, Segment::Rst);
            }
            return;
        }
        let notice = match segment {
            Segment::Data(bytes) => {
                conn.sides[to.side].inbox.extend(&bytes);
                self.pass(to, || Passed::Came(to, bytes));
                Notice::Data(to)
            }
            Segment::Fin => {
                conn.sides[to.side].eof = true;
                self.pass(to, || Passed::Ended(to));
                Notice::Eof(to)
            }
            Segment::Rst => {
                conn.sides[to.side].broken = true;
                self.pass(to, || Passed::Broke(to));
                Notice::Reset(to)
            }
        };
        let side = &mut self.conns[to.conn.0].sides[to.side];
        let reader = side.reader.take();
        let writer = if side.broken { side.writer.take() } else { None };
        if self.runs_program(host) {
            self.wake(host, reader);
            self.wake(host, writer);
        } else {
            self.notices.push_back((host, notice));
        }
    }

    fn read(&mut self, end: End, buffer: &mut [u8], waker: Option<&Waker>) -> Result<Option<usize>, Broken> {
        let conn = &mut self.conns[end.conn.0];
        let side = &mut conn.sides[end.side];
        let read = buffer.len().min(side.inbox.len());
        if read > 0 {
            for (place, byte) in buffer.iter_mut().zip(side.inbox.drain(..read)) {
                *place = byte;
            }
            let peer = &mut conn.sides[1 - end.side];
            peer.unread -= read;
            let (host, writer) = (conn.hosts[1 - end.side], peer.writer.take());
            self.wake(host, writer);
            return Ok(Some(read));
        }
        if side.broken {
            return Err(Broken);
        }
        if side.eof {
            return Ok(Some(0));
        }
        side.reader = waker.cloned();
        Ok(None)
    }

    fn write(&mut self, end: End, bytes: &[u8], waker: Option<&Waker>) -> Result<Option<usize>, Broken> {
        let conn = &mut self.conns[end.conn.0];
        let window = conn.window;
        let side = &mut conn.sides[end.side];
        if side.broken || side.finished || side.closed {
            return Err(Broken);
        }
        let taken = bytes.len().min(window.saturating_sub(side.unread));
        if taken == 0 && !bytes.is_empty() {
            side.writer = waker.cloned();
            return Ok(None);
        }
        let bytes = &bytes[..taken];
        // The part that still goes out before the connection is cut.
        let whole =
            side.cut.map_or(taken as u64, |(after, _)| after.saturating_sub(side.sent).min(taken as u64));
        let cut = side.cut.filter(|(after, _)| side.sent + taken as u64 > *after).map(|(_, how)| how);
        side.sent += taken as u64;
        side.unread += taken;
        self.pass(end, || Passed::Wrote(end, bytes.to_vec()));
        if whole > 0 {
            self.send(end, Segment::Data(bytes[..whole as usize].to_vec()));
        }
        match cut {
            Some(Cut::Reset) => {
                self.send(end, Segment::Rst);
                self.send(end.peer(), Segment::Rst);
            }
            Some(Cut::Silent) => {
                // What went before the cut still arrives: only what is sent from here on is lost.
                let transit = &self.conns[end.conn.0].sides;
                if transit.iter().all(|side| side.transit.is_empty()) {
                    self.conns[end.conn.0].silent = true;
                } else {
                    for side in 0..2 {
                        let sent = self.conns[end.conn.0].sides[side].sent;
                        self.conns[end.conn.0].sides[side].cut = Some((sent, Cut::Silent));
                    }
                }
            }
            None => {}
        }
        Ok(Some(taken))
    }

    fn finish(&mut self, end: End) {
        let side = &mut self.conns[end.conn.0].sides[end.side];
        if side.finished || side.closed || side.broken {
            return;
        }
        side.finished = true;
        self.pass(end, || Passed::Finished(end));
        self.send(end, Segment::Fin);
    }

    fn close(&mut self, end: End, reset: bool) {
        let conn = &mut self.conns[end.conn.0];
        let side = &mut conn.sides[end.side];
        if side.closed {
            return;
        }
        side.closed = true;
        (side.reader, side.writer) = (None, None);
        if std::mem::take(&mut side.owned) {
            let host = conn.hosts[end.side];
            if let Some(machine) = self.machines.get_mut(&host) {
                machine.sockets -= 1;
            }
        }
        let conn = &mut self.conns[end.conn.0];
        let side = &mut conn.sides[end.side];
        let (broken, finished, unread) = (side.broken, side.finished, !side.inbox.is_empty());
        let up = conn.up;
        self.pass(end, || Passed::Closed(end));
        if up != Some(true) || broken {
            return;
        }
        if reset || unread {
            self.send(end, Segment::Rst);
        } else if !finished {
            self.send(end, Segment::Fin);
        }
    }
}
