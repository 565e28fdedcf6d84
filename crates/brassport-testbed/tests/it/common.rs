//! What the tests share: the gateway's program, a site that serves, and one request at a node.

use brassport_testbed::backend::Backend;
use brassport_testbed::clients::{Client, Platform, RequestSpec};
use brassport_testbed::configuration::Plan;
use brassport_testbed::history::{Recorder, RequestOutcome};
use brassport_testbed::operator::Operator;
use brassport_testbed::play::backends;
use brassport_testbed::site::{Layout, Site};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, MutexGuard};

/// How long a site may take to come up.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);

/// A number that an environment variable sets.
pub fn number_from(variable: &str, otherwise: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

/// The folder that this build's programs lie in.
pub fn programs() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_brassport-testbed")).parent().expect("a folder")
}

/// The gateway's program, built as these tests are: cargo builds the programs of a test's own package only.
pub fn gateway_program() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| {
        let folder = programs();
        let mut command = Command::new(env!("CARGO"));
        command.args([
            "build",
            "--quiet",
            "--offline",
            "--package",
            "brassport-gateway",
            "--bin",
            "brassport-gateway",
        ]);
        command
            .arg("--manifest-path")
            .arg(concat!(env!("CARGO_MANIFEST_DIR"), "/../brassport-gateway/Cargo.toml"));
        command.arg("--target-dir").arg(folder.parent().expect("the target folder"));
        if folder.ends_with("release") {
            command.arg("--release");
        }
        assert!(command.status().expect("cargo runs").success(), "brassport-gateway is not built");
        folder.join("brassport-gateway")
    })
}

/// Held by a test while its site runs. Seven sites at once are 35 processes that sync their disks: their calls go
/// unanswered for more than a second, which says nothing of the gateway.
pub static ONE_SITE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// One request at one node.
pub async fn send_at(
    front: SocketAddrV4,
    seed: u64,
    recorder: &Rc<Recorder>,
    spec: &RequestSpec,
) -> RequestOutcome {
    let mut client = Client::new(seed, Platform::watch(&[]), recorder.clone());
    client.only = Some(front);
    client.send_request(spec).await
}

/// A site of five nodes with two backends a service; the first configuration is in force at all nodes.
pub struct Serving {
    pub site: Site,
    pub recorder: Rc<Recorder>,
    pub operator: Operator,
    // Dropped, they crash.
    _backends: Vec<Backend>,
    // The last field: let go of when the nodes are gone.
    _one_site: MutexGuard<'static, ()>,
}

impl Serving {
    pub async fn start() -> Serving {
        Serving::start_on(gateway_program()).await
    }

    /// The same, on a given build's program.
    pub async fn start_on(program: &Path) -> Serving {
        let one_site = ONE_SITE_AT_A_TIME.lock().await;
        let mut site = Site::new(&Layout::five_nodes(program)).expect("free ports");
        let recorder = Recorder::begin();
        let since = Instant::now();
        site.start_all().expect("the doors start");
        let backends = backends(&site, &recorder).await.expect("backends listen");
        let operator = Operator::new(site.controls(), recorder.clone());
        let mut serving = Serving { site, recorder, operator, _backends: backends, _one_site: one_site };
        serving.put(Plan::first(1)).await;
        let taken = since.elapsed();
        for node in 0..serving.site.nodes.len() {
            let is_ready = serving.site.is_ready_within(node, STARTUP_TIMEOUT).await;
            assert!(is_ready, "door {} is not ready\n{}", node + 1, serving.site.logs());
        }
        let (taken, ready) = (taken.as_secs_f64(), since.elapsed().as_secs_f64());
        println!("the first word is taken after {taken:.2} s, all doors are ready after {ready:.2} s");
        serving
    }

    /// Sends a configuration; it must be acknowledged. Returns the index of the node that did.
    pub async fn put(&mut self, plan: Plan) -> usize {
        let version = plan.version;
        let response = self.operator.put(plan, STARTUP_TIMEOUT).await;
        assert!(
            response.is_some_and(|response| response.status == 200),
            "version {version}: {response:?}\n{}",
            self.site.logs()
        );
        let by = response.expect("an answer").by;
        self.site.nodes.iter().position(|node| node.control() == by).expect("one of ours")
    }

    /// The next configuration on top of the one in force.
    pub fn next(&self) -> Plan {
        let current = self.operator.plan.as_ref().expect("the first was taken");
        current.next(current.version + 2)
    }

    /// The newest that was acknowledged must be what all nodes answer.
    pub async fn expect_read(&self, plan: &Plan, limit: Duration) {
        for node in &self.site.nodes {
            let since = Instant::now();
            let found = loop {
                let answer =
                    brassport_testbed::operator::call(node.control(), "GET", "/Config.Read", None, &[]).await;
                let found = answer
                    .filter(|(_, answer)| answer.status == 200)
                    .and_then(|(_, answer)| brassport_testbed::configuration::read(&answer.body));
                if found.is_some() || since.elapsed() > limit {
                    break found;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            };
            assert_eq!(found, Some(plan.as_read()), "read at {}\n{}", node.name, self.site.logs());
        }
    }
}
