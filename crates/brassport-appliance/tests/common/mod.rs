//! A site under test: the built program, a node that answers when told to, and a client.

#![allow(dead_code)]

use brassport_process_harness::port::reserve;
use brassport_state::files::Directory;
use brassport_state::store::Store;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Nothing here takes that long unless it fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub struct Site {
    pub directory: TempDir,
    pub listen: SocketAddr,
    pub process: Option<Child>,
}

pub fn program(directory: &Path, words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-appliance"));
    command.env_remove("BRASSPORT_STATE").arg("--state").arg(directory).args(words).stdin(Stdio::null());
    command
}

pub fn exit(output: &Output) -> i32 {
    output.status.code().expect("it ends by itself")
}

impl Site {
    /// A new state; nothing runs yet.
    pub fn new() -> Site {
        let directory = tempfile::tempdir().expect("a directory");
        let listen = reserve();
        let site = Site { directory, listen, process: None };
        let output = site.command(&["init", "--listen", &listen.to_string()]);
        assert_eq!(exit(&output), 0, "{output:?}");
        site
    }

    pub fn path(&self) -> &Path {
        self.directory.path()
    }

    pub fn command(&self, words: &[&str]) -> Output {
        program(self.path(), words).output().expect("the program starts")
    }

    pub fn json(&self, words: &[&str]) -> Value {
        let output = self.command(&[&["--json"], words].concat());
        assert_eq!(exit(&output), 0, "{words:?}: {output:?}");
        serde_json::from_slice(&output.stdout).expect("an answer in JSON")
    }

    pub fn start(&mut self) {
        self.start_by(program(self.path(), &["run"]));
    }

    pub fn start_by(&mut self, mut command: Command) {
        let process = command.stdin(Stdio::null()).stderr(Stdio::null()).spawn().expect("it starts");
        self.process = Some(process);
        drop(self.connect());
    }

    /// A connection to the control socket, once there is one.
    pub fn connect(&mut self) -> Control {
        let path = self.path().join("control.sock");
        let began = Instant::now();
        loop {
            if let Ok(stream) = UnixStream::connect(&path) {
                stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
                stream.set_write_timeout(Some(PATIENCE)).expect("a time-out");
                return Control { stream: BufReader::new(stream), next: 0 };
            }
            let process = self.process.as_mut().expect("it was started");
            assert!(process.try_wait().expect("a state").is_none(), "it ended at once");
            assert!(began.elapsed() < PATIENCE, "no control socket");
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn kill(&mut self) {
        let mut process = self.process.take().expect("it runs");
        process.kill().expect("killed");
        process.wait().expect("ended");
    }

    /// Waits for its end.
    pub fn ended(&mut self) -> bool {
        self.process.take().expect("it runs").wait().expect("ended").success()
    }

    pub fn state(&self) -> Store {
        let directory = Directory::open(self.path()).expect("the directory");
        Store::open(&directory, "state.redb").unwrap_or_else(|error| panic!("{error}"))
    }

    pub fn add(&self, name: &str, endpoint: SocketAddr) {
        let output = self.command(&["nodes", "add", name, &endpoint.to_string(), "--warm"]);
        assert_eq!(exit(&output), 0, "{output:?}");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if self.process.is_some() {
            self.kill();
        }
    }
}

pub struct Control {
    pub stream: BufReader<UnixStream>,
    pub next: u64,
}

impl Control {
    pub fn tell(&mut self, mut question: Value) -> std::io::Result<()> {
        self.next += 1;
        question["v"] = json!(1);
        question["id"] = json!(self.next);
        self.stream.get_mut().write_all(format!("{question}\n").as_bytes())
    }

    /// `None` if the other side has closed.
    pub fn hear(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(1..) if line.ends_with('\n') => serde_json::from_str(&line).ok(),
            _ => None,
        }
    }

    pub fn ask(&mut self, question: Value) -> Value {
        self.tell(question).expect("it listens");
        self.hear().expect("it answers")
    }
}

/// A node that answers when the test says so.
pub struct Node {
    pub address: SocketAddr,
    pub requests: Receiver<Held>,
}

pub struct Held {
    pub head: String,
    pub stream: TcpStream,
}

impl Node {
    pub fn start() -> Node {
        // Behind a slow write 200 attempts connect in the same instant. The system's queue of 128 would drop some of their
        // opening packets, and an attempt whose connection does not come up was never sent.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(&any_port.into()).expect("a free port");
        socket.listen(1024).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let (sender, requests) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let sender = sender.clone();
                thread::spawn(move || read_head(stream, &sender));
            }
        });
        Node { address, requests }
    }

    pub fn next(&self) -> Held {
        self.requests.recv_timeout(PATIENCE).expect("a request comes")
    }
}

pub fn read_head(stream: TcpStream, sender: &Sender<Held>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        match reader.read_line(&mut head) {
            Ok(1..) => {}
            _ => return,
        }
    }
    // A test that has ended listens no more.
    let _ = sender.send(Held { head, stream });
}

impl Held {
    pub fn answer(mut self) {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone";
        self.stream.write_all(answer).expect("the answer goes out");
    }
}

/// A client's request; its answer is read by [`status`].
pub fn send(at: SocketAddr, class: &str, id: &str) -> TcpStream {
    send_of(7, at, class, id)
}

pub fn send_of(studio: u64, at: SocketAddr, class: &str, id: &str) -> TcpStream {
    let method = if class == "frame" { "GET" } else { "POST" };
    let mut stream = TcpStream::connect(at).expect("the door is open");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let head = format!(
        "{method} /{class}/x HTTP/1.1\r\nHost: door\r\nX-Request-Id: {id}\r\nCookie: client={studio:016x}\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the request goes out");
    stream
}

/// The status of the one answer on this connection.
pub fn status(mut stream: TcpStream) -> u16 {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let answer = String::from_utf8(answer).expect("text");
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "one answer: {answer:?}");
    answer[9..12].parse().expect("a status")
}
