//! The verb `run` as a process: it starts, logs at the level that the environment names, and ends upon SIGTERM.

use std::io::Read;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A node that is killed if its test fails.
struct Node {
    child: Child,
    folder: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address of the loopback network that no other test process has; `last` tells this one's nodes apart.
fn address(last: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + high % 100, low.max(1), last)
}

/// Starts a node and waits until it listens; its grace period is the shortest.
fn start(ip: Ipv4Addr, environment: &[(&str, &str)]) -> Node {
    let folder = std::env::temp_dir().join(format!("brassport-gateway-run-{ip}"));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("settings.yaml");
    let settings = format!(
        "node: n1\nip: {ip}\nzone: a\nlistenOn: {{ready: '{ip}:8081'}}\ninternalPorts: [9001]\nbounds: [graceS=0.5]\n"
    );
    std::fs::write(&file, settings).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-gateway"));
    command.arg("run").env_remove("BRASSPORT_GATEWAY_LOG").env_remove("JUNCTION_LOG");
    command.env("BRASSPORT_CONFIG", &file).envs(environment.iter().copied()).stderr(Stdio::piped());
    let node = Node { child: command.spawn().expect("it starts"), folder };
    let (ready, deadline) = (SocketAddrV4::new(ip, 8081), Instant::now() + Duration::from_secs(10));
    while TcpStream::connect(ready).is_err() {
        assert!(Instant::now() < deadline, "{ready} does not listen");
        std::thread::sleep(Duration::from_millis(20));
    }
    node
}

/// Sends SIGTERM, and returns what the node logged until it ended by itself.
fn terminate(mut node: Node) -> String {
    let id = node.child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &id]).status().expect("it runs");
    assert!(sent.success(), "no signal was sent");
    let mut log = String::new();
    node.child.stderr.take().expect("it is piped").read_to_string(&mut log).expect("text");
    let status = node.child.wait().expect("it ended");
    assert_eq!(status.code(), Some(0), "{log}");
    log
}

#[test]
fn a_node_logs_its_start_and_its_shutdown() {
    let log = terminate(start(address(1), &[]));
    assert!(log.contains("INFO node started node=n1"), "{log}");
    assert!(log.contains("INFO shutdown started grace_ms=500"), "{log}");
}

#[test]
fn the_former_log_variable_still_sets_the_level_of_a_node() {
    let log = terminate(start(address(2), &[("JUNCTION_LOG", "error")]));
    assert!(!log.contains("INFO") && !log.contains("WARN"), "{log}");
}

#[test]
fn the_present_log_variable_goes_before_the_former_one_in_a_node() {
    let both = [("JUNCTION_LOG", "error"), ("BRASSPORT_GATEWAY_LOG", "info")];
    assert!(terminate(start(address(3), &both)).contains("INFO node started"));
}
