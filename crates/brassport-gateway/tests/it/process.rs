//! Tests of a node as a process, started with the subcommand `run`: it starts, logs at the level that the environment
//! sets, and exits after SIGTERM.

use std::io::Read;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A node process with its folder. Dropping it kills the process and removes the folder, also after a failed test.
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

/// Returns an address of the loopback network derived from the process ID, so that concurrent test processes use different
/// addresses. `last` distinguishes the nodes of this test process.
fn address(last: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + high % 100, low.max(1), last)
}

/// The settings of a node with the shortest grace period.
fn settings(ip: Ipv4Addr) -> String {
    format!(
        "node: n1\nip: {ip}\nzone: a\nlistenOn: {{ready: '{ip}:8081'}}\ninternalPorts: [9001]\nbounds: [graceS=0.5]\n"
    )
}

/// Starts a node, and waits until its readiness listener accepts connections.
fn start(ip: Ipv4Addr, environment: &[(&str, &str)]) -> Node {
    let node = spawn(ip, &settings(ip), environment);
    wait_until_ready(ip);
    node
}

/// Starts a node with a settings file of this text.
fn spawn(ip: Ipv4Addr, settings: &str, environment: &[(&str, &str)]) -> Node {
    let folder = std::env::temp_dir().join(format!("brassport-gateway-run-{ip}"));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let file = folder.join("settings.yaml");
    std::fs::write(&file, settings).expect("the settings are written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-gateway"));
    command.arg("run").env_remove("BRASSPORT_GATEWAY_LOG").env_remove("JUNCTION_LOG");
    command.env("BRASSPORT_CONFIG", &file).envs(environment.iter().copied()).stderr(Stdio::piped());
    Node { child: command.spawn().expect("the gateway starts"), folder }
}

fn wait_until_ready(ip: Ipv4Addr) {
    let (ready, deadline) = (SocketAddrV4::new(ip, 8081), Instant::now() + Duration::from_secs(10));
    while TcpStream::connect(ready).is_err() {
        assert!(Instant::now() < deadline, "the readiness listener at {ready} did not open within 10 s");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn send_signal(node: &Node, signal: &str) {
    let id = node.child.id().to_string();
    let sent = Command::new("kill").args([signal, &id]).status().expect("kill runs");
    assert!(sent.success(), "kill failed to send {signal}");
}

/// Sends SIGTERM, waits until the node exits, and returns its log.
fn terminate(mut node: Node) -> String {
    send_signal(&node, "-TERM");
    let mut log = String::new();
    node.child.stderr.take().expect("stderr is piped").read_to_string(&mut log).expect("the log is UTF-8");
    let status = node.child.wait().expect("the exit status is read");
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
fn a_node_reads_its_log_level_from_the_former_variable() {
    let log = terminate(start(address(2), &[("JUNCTION_LOG", "error")]));
    assert!(!log.contains("INFO") && !log.contains("WARN"), "{log}");
}

#[test]
fn a_node_prefers_the_current_log_level_variable_to_the_former_one() {
    let both = [("JUNCTION_LOG", "error"), ("BRASSPORT_GATEWAY_LOG", "info")];
    assert!(terminate(start(address(3), &both)).contains("INFO node started"));
}

#[test]
fn a_node_that_starts_while_its_settings_file_is_rewritten_survives_a_hangup() {
    let ip = address(4);
    let mut node = spawn(ip, "", &[]);
    std::thread::sleep(Duration::from_millis(200));
    send_signal(&node, "-HUP");
    std::thread::sleep(Duration::from_millis(100));
    assert!(node.child.try_wait().expect("the process is known").is_none(), "the node exited");
    std::fs::write(node.folder.join("settings.yaml"), settings(ip)).expect("the settings are written");
    wait_until_ready(ip);
    terminate(node);
}
