//! The whole program with `--config`, its nodes told by a stand-in of DNS over UDP and TCP.

mod common;

use brassport::clock::SystemClock;
use brassport::network::Tcp;
use brassport_fakes::cluster::Cluster;
use brassport_fakes::dns::{Data, Resolvers, Trouble, Zone};
use brassport_fakes::nomad::Servers;
use common::{program, send, status, PATIENCE};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::{spawn_local, LocalSet};

const SERVICE: &str = "_render._tcp.render.example.org";

type Job = Box<dyn FnOnce(&Resolvers<SystemClock>, &Servers<SystemClock>) + Send>;

/// Two resolvers and a Nomad on a thread of their own.
struct Dns {
    addresses: Vec<SocketAddr>,
    nomad: SocketAddr,
    jobs: UnboundedSender<Job>,
}

/// An address whose port is free for UDP and TCP alike, and stays so until it is bound: no two calls give the same, and
/// it lies below the ports that the system gives to whoever asks for any. One of those, let go, was another test's
/// connection or listener before its own door came up.
fn free() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        // Another process of these tests begins elsewhere.
        let number = std::process::id().wrapping_mul(97).wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + (number % 20_000) as u16));
        if UdpSocket::bind(at).is_ok() && TcpListener::bind(at).is_ok() {
            return at;
        }
    }
}

impl Dns {
    fn start(zone: Zone) -> Dns {
        let (addresses, nomad) = (vec![free(), free()], free());
        let (jobs, mut asked) = unbounded_channel::<Job>();
        let at = addresses.clone();
        thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            LocalSet::new().block_on(&runtime, async move {
                let resolvers = Resolvers::new(SystemClock, zone, at.len());
                for (server, at) in at.into_iter().enumerate() {
                    let resolvers = resolvers.clone();
                    spawn_local(
                        async move { resolvers.serve(Tcp, at, server).await.expect("the port is free") },
                    );
                }
                let servers = Servers::new(SystemClock, Cluster::new(false), 1, Duration::from_secs(1));
                let serving = servers.clone();
                spawn_local(async move { serving.serve(Tcp, nomad, 0).await.expect("the port is free") });
                while let Some(job) = asked.recv().await {
                    job(&resolvers, &servers);
                }
            });
        });
        Dns { addresses, nomad, jobs }
    }

    fn tell(&self, job: impl FnOnce(&Resolvers<SystemClock>) + Send + 'static) {
        self.tell_both(move |resolvers, _| job(resolvers));
    }

    fn tell_both(&self, job: impl FnOnce(&Resolvers<SystemClock>, &Servers<SystemClock>) + Send + 'static) {
        self.jobs.send(Box::new(job)).unwrap_or_else(|_| panic!("the stand-in has ended"));
    }

    /// Changes Nomad's state.
    fn nomad(&self, change: impl FnOnce(&mut Cluster) + Send + 'static) {
        self.tell_both(move |_, servers| servers.change(change));
    }

    fn trouble(&self, trouble: Trouble) {
        self.tell(move |resolvers| resolvers.trouble(None, &trouble));
    }

    /// Questions that were asked so far, of both.
    fn asked(&self) -> u64 {
        let (reply, asked) = channel();
        self.tell(move |resolvers| {
            let sum = resolvers.asked.borrow().iter().sum();
            // A test that has failed meanwhile asks no more.
            let _ = reply.send(sum);
        });
        asked.recv_timeout(PATIENCE).expect("the stand-in answers")
    }

    /// Waits until so many more have been asked.
    fn until_asked(&self, more: u64) {
        let first = self.asked();
        until("questions are asked", || self.asked() >= first + more);
    }
}

fn until(what: &str, is: impl Fn() -> bool) {
    let begun = Instant::now();
    while !is() {
        assert!(begun.elapsed() < PATIENCE, "{what}: not within {PATIENCE:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A node that answers everything at once.
fn node() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
                while let Ok(read @ 1..) = stream.read(&mut part) {
                    bytes.extend_from_slice(&part[..read]);
                    while let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                        bytes.drain(..end + 4);
                        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}

struct Site {
    dns: Dns,
    door: SocketAddr,
    file: PathBuf,
    state: PathBuf,
    process: Option<Child>,
    _directory: TempDir,
}

impl Site {
    /// A site whose nodes stand in DNS; `more` goes into its source.
    fn new(nodes: &[SocketAddr], ttl: u32, more: &str) -> Site {
        let mut zone = Zone::new(ttl);
        for (number, at) in nodes.iter().enumerate() {
            zone.add_node(SERVICE, &format!("n{number}.render.example.org"), *at);
        }
        let dns = Dns::start(zone);
        let directory = tempfile::tempdir().expect("a directory");
        let (file, state) = (directory.path().join("brassport.toml"), directory.path().join("state"));
        let door = free();
        let resolvers: Vec<String> = dns.addresses.iter().map(|at| format!("'{at}'")).collect();
        let text = format!(
            "listen = '{door}'\nstate = '{}'\ndefault_plan = 'p'\n[[class]]\nname = 'frame'\nrepeat = 'safe'\n\
             worth = 3.0\naim_ms = 500.0\ndeadline_ms = 3000.0\n[[plan]]\nname = 'p'\nunits_per_s = 0.0\n\
             [[source]]\nkind = 'dns'\nname = 'dns'\nservices = ['{SERVICE}']\nresolvers = [{}]\n\
             patience_ms = 200\n{more}\n",
            state.display(),
            resolvers.join(", "),
        );
        std::fs::write(&file, text).expect("written");
        Site { dns, door, file, state, process: None, _directory: directory }
    }

    fn start(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-appliance"));
        command.args(["serve", "--config"]).arg(&self.file).stdin(Stdio::null());
        self.process = Some(command.stderr(Stdio::null()).spawn().expect("it starts"));
    }

    fn kill(&mut self) {
        let mut process = self.process.take().expect("it runs");
        process.kill().expect("killed");
        process.wait().expect("ended");
    }

    /// What a command answers; `None` while it cannot.
    fn ask(&self, words: &[&str]) -> Option<Value> {
        let output =
            program(&self.state, &[&["--json"], words].concat()).output().expect("the program starts");
        output.status.success().then(|| serde_json::from_slice(&output.stdout).expect("an answer in JSON"))
    }

    /// Nodes in the book, with the state of each.
    fn book(&self) -> Vec<(String, String)> {
        let book = self.ask(&["nodes", "book"]).unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        let rows = book["nodes"].as_array().cloned().unwrap_or_default();
        rows.iter().map(|row| (text(&row["id"]), text(&row["state"]))).collect()
    }

    fn ready(&self) -> usize {
        self.book().iter().filter(|(_, state)| state == "ready").count()
    }

    /// Whether a request is served.
    fn serves(&self, id: &str) -> bool {
        TcpStream::connect(self.door).is_ok() && status(send(self.door, "frame", id)) == 200
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if self.process.is_some() {
            self.kill();
        }
    }
}

const ALLOWED: &str = "allow = ['127.0.0.0/8']\nfirst_list = 'warm'\naddresses = 'ipv4'";

#[test]
fn no_node_drops_out_by_a_truncated_answer_a_failure_or_a_forged_one() {
    let nodes: Vec<SocketAddr> = (0..3).map(|_| node()).collect();
    let mut site = Site::new(&nodes, 1, ALLOWED);
    site.start();
    until("all are listed", || site.ready() == 3);
    assert!(site.serves("first"));
    for trouble in [
        Trouble { truncates: Some(1), no_streams: true, ..Trouble::default() },
        Trouble { truncates: Some(1), truncates_streams: true, ..Trouble::default() },
        Trouble { truncates: Some(1), cuts_streams: true, ..Trouble::default() },
        Trouble { code: Some(2), ..Trouble::default() },
        Trouble { empty: true, ..Trouble::default() },
        Trouble { silent: true, ..Trouble::default() },
        Trouble { forges: 3, forges_sender: true, wrong_question: true, twice: true, ..Trouble::default() },
    ] {
        site.dns.trouble(trouble.clone());
        site.dns.until_asked(9);
        assert_eq!(site.ready(), 3, "{trouble:?}");
        assert!(site.book().iter().all(|(id, _)| !id.contains("evil")), "{trouble:?}");
    }
    // Truncated over UDP and whole over TCP, a node more is found.
    let fourth = node();
    site.dns.trouble(Trouble { truncates: Some(1), ..Trouble::default() });
    site.dns.tell(move |resolvers| {
        resolvers.change(|zone| zone.add_node(SERVICE, "n3.render.example.org", fourth));
    });
    until("the fourth is listed", || site.ready() == 4);
    site.dns.tell(|resolvers| resolvers.change(|zone| zone.remove_node(SERVICE, "n0.render.example.org")));
    until("the first has gone", || site.ready() == 3);
    assert!(site.serves("last"));
}

#[test]
fn with_every_source_dead_a_restart_serves_from_the_last_known_list() {
    let nodes: Vec<SocketAddr> = (0..3).map(|_| node()).collect();
    let mut site = Site::new(&nodes, 3600, ALLOWED);
    site.start();
    until("the list is durable", || site.ask(&["status"]).is_some_and(|status| status["last_known"] == 3));
    site.kill();
    site.dns.trouble(Trouble { silent: true, ..Trouble::default() });
    let begun = Instant::now();
    site.start();
    until("a request is served", || site.serves("again"));
    println!("first request served {} ms behind the start, all sources dead", begun.elapsed().as_millis());
    let book = site.ask(&["nodes", "book"]).expect("it runs");
    let because = book["nodes"][0]["because"].as_str().unwrap_or_default().to_string();
    assert!(because.contains("last-known"), "{because}");
    // The sources are back, with one node less.
    site.dns.tell(|resolvers| resolvers.change(|zone| zone.remove_node(SERVICE, "n0.render.example.org")));
    site.dns.trouble(Trouble::default());
    until("the list is the sources' again", || {
        let book = site.book();
        book.len() == 2 && book.iter().all(|(_, state)| state == "ready")
    });
}

#[test]
fn an_address_that_no_foreign_list_may_name_stands_in_the_book_with_its_reason() {
    let secret = node();
    let mut site = Site::new(&[secret], 1, "addresses = 'ipv4'");
    site.start();
    until("it is listed", || site.book().len() == 1);
    assert_eq!(site.ready(), 0);
    let book = site.ask(&["nodes", "book"]).expect("it runs");
    let because = book["nodes"][0]["because"].as_str().unwrap_or_default().to_string();
    assert!(because.contains("loopback") && because.contains("'allow'"), "{because}");
    assert!(!site.serves("no"));
}

#[test]
fn sighup_asks_anew_at_once_and_cuts_no_connection() {
    let mut site = Site::new(&[node()], 3600, ALLOWED);
    site.start();
    until("it is listed", || site.ready() == 1);
    let mut standing = TcpStream::connect(site.door).expect("the door is open");
    let second = node();
    site.dns.tell(move |resolvers| {
        resolvers.change(|zone| {
            zone.add(SERVICE, Data::Srv(10, 1, second.port(), "n0.render.example.org".into()))
        });
    });
    let pid = site.process.as_ref().expect("it runs").id().to_string();
    assert!(Command::new("kill").args(["-HUP", &pid]).status().expect("kill runs").success());
    until("the second is listed", || site.ready() == 2);
    let head =
        "GET /frame/x HTTP/1.1\r\nHost: door\r\nX-Request-Id: on\r\nCookie: client=0000000000000007\r\n\r\n";
    standing.write_all(head.as_bytes()).expect("the connection stands");
    let mut answer = [0; 12];
    standing.read_exact(&mut answer).expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200");
}

#[test]
fn one_resolver_that_lies_or_is_behind_drops_nothing_and_a_list_comes_back_with_half_of_it_elsewhere() {
    let nodes: Vec<SocketAddr> = (0..4).map(|_| node()).collect();
    let mut site = Site::new(&nodes, 1, ALLOWED);
    site.start();
    until("all are listed", || site.ready() == 4);
    site.dns.tell(|resolvers| resolvers.trouble(Some(0), &Trouble { lies: 2, ..Trouble::default() }));
    site.dns.until_asked(20);
    assert_eq!(site.ready(), 4, "behind lies");
    // The first resolver is a change behind; the change is a node more.
    let fifth = node();
    site.dns.tell(move |resolvers| {
        resolvers.change(|zone| zone.add_node(SERVICE, "n4.render.example.org", fifth));
        resolvers.trouble(Some(0), &Trouble { behind: 1, ..Trouble::default() });
    });
    until("the fifth is listed", || site.ready() == 5);
    site.dns.until_asked(20);
    assert_eq!(site.ready(), 5, "beside a resolver that is behind");
    // All is silent for longer than the lifetimes, and two nodes are elsewhere when it comes back.
    site.dns.trouble(Trouble { silent: true, ..Trouble::default() });
    site.dns.until_asked(12);
    assert_eq!(site.ready(), 5, "stale");
    let moved = [node(), node()];
    site.dns.tell(move |resolvers| {
        resolvers.change(|zone| {
            for (number, at) in moved.iter().enumerate() {
                zone.remove_node(SERVICE, &format!("n{number}.render.example.org"));
                zone.add_node(SERVICE, &format!("n{number}.render.example.org"), *at);
            }
        });
        resolvers.trouble(None, &Trouble::default());
    });
    let expected: Vec<String> =
        moved.iter().enumerate().map(|(n, at)| format!("n{n}.render.example.org:{}", at.port())).collect();
    until("the moved ones are listed where they are, and nowhere else", || {
        let book = site.book();
        book.len() == 5
            && expected.iter().all(|id| book.iter().any(|(listed, state)| listed == id && state == "ready"))
    });
    assert!(site.serves("behind-all-that"));
}

#[test]
fn what_nomad_drained_and_forgot_stays_out_while_dns_lists_it() {
    let nodes = [node(), node()];
    let mut site = Site::new(&nodes, 1, ALLOWED);
    let nomad = format!(
        "[[source]]\nkind = 'nomad'\nname = 'nomad'\nservice = 'render'\nservers = ['http://{}']\nallow = ['127.0.0.0/8']\n",
        site.dns.nomad
    );
    let text = std::fs::read_to_string(&site.file).expect("the file");
    std::fs::write(&site.file, text + &nomad).expect("written");
    let first = nodes[0];
    site.dns.nomad(move |cluster| cluster.start("alloc", "client", first, &[], 1));
    site.start();
    let state = |site: &Site, id: &str| {
        site.book().into_iter().find(|(listed, _)| listed == id).map(|(_, state)| state)
    };
    let (drained, other) = (
        format!("n0.render.example.org:{}", nodes[0].port()),
        format!("n1.render.example.org:{}", nodes[1].port()),
    );
    until("both sources are heard", || {
        state(&site, "alloc").as_deref() == Some("ready") && state(&site, &other).as_deref() == Some("ready")
    });
    assert_eq!(state(&site, &drained).as_deref(), Some("draining"), "Nomad's node has the address");
    site.dns.nomad(|cluster| cluster.drain("client", "alloc"));
    until("the drain is heard", || state(&site, "alloc").as_deref() == Some("draining"));
    site.dns.nomad(|cluster| cluster.stop("alloc"));
    until("Nomad has forgotten it", || state(&site, "alloc").is_none());
    site.dns.until_asked(6);
    assert_eq!(state(&site, &drained).as_deref(), Some("draining"), "DNS lists it all the same");
    let why = site.ask(&["nodes", "why", &drained]).expect("it is listed");
    assert!(why["because"].as_str().unwrap_or_default().contains("'nomad' said"), "{why}");
}

#[test]
fn a_thousand_targets_come_over_tcp_and_are_asked_for_at_the_rate_that_is_set() {
    let mut site =
        Site::new(&[node()], 3600, "allow = ['127.0.0.0/8']\naddresses = 'ipv4'\nqueries_per_s = 400");
    site.dns.tell(|resolvers| {
        resolvers.change(|zone| {
            for number in 0..999_u16 {
                let at = SocketAddr::from(([127, 8, (number >> 8) as u8, number as u8], 9));
                zone.add_node(SERVICE, &format!("m{number}.render.example.org"), at);
            }
        });
    });
    let begun = Instant::now();
    site.start();
    until("all are listed", || site.book().len() == 1000);
    let (took, asked) = (begun.elapsed(), site.dns.asked());
    println!("1,000 targets known {} ms behind the start, {asked} queries over UDP", took.as_millis());
    assert!((1000..1200).contains(&asked), "{asked}");
    // A tenth of a second's queries may begin at once.
    assert!(took >= Duration::from_millis(2300), "faster than it may ask: {took:?}");
}

#[test]
fn an_address_that_another_target_reuses_belongs_to_one_node_at_a_time() {
    let reused = node();
    let mut site = Site::new(&[reused], 1, ALLOWED);
    site.start();
    until("the first is listed", || site.ready() == 1);
    site.dns.tell(move |resolvers| {
        resolvers.change(|zone| {
            zone.remove_node(SERVICE, "n0.render.example.org");
            zone.add_node(SERVICE, "n9.render.example.org", reused);
        });
    });
    let second = format!("n9.render.example.org:{}", reused.port());
    until("the second alone is listed", || {
        let book = site.book();
        let ready = book.iter().filter(|(_, state)| state == "ready").count();
        assert_eq!(ready, 1, "one node has the address: {book:?}");
        book.len() == 1 && book[0].0 == second
    });
    // The second is a new node: cold, and alone. The cold rule gives it requests by turns from a random start,
    // so that the first ones may be refused.
    until("the second serves", || site.serves("reused"));
}
