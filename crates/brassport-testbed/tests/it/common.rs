//! What the tests share: the gateway's program, a site that serves, and one request at a door.

use brassport_testbed::backend::Backend;
use brassport_testbed::configuration::Plan;
use brassport_testbed::history::Journal;
use brassport_testbed::operator::Operator;
use brassport_testbed::play::backends;
use brassport_testbed::site::{Layout, Site};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, MutexGuard};

/// How long a site may take to come up.
pub const TO_COME_UP: Duration = Duration::from_secs(15);

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
pub static ALONE: Mutex<()> = Mutex::const_new(());

/// A site of five doors with two backends a service; the first configuration is in force at all doors.
pub struct Serving {
    pub site: Site,
    pub journal: Rc<Journal>,
    pub operator: Operator,
    // Dropped, they crash.
    _backends: Vec<Backend>,
    // The last field: let go of when the doors are gone.
    _alone: MutexGuard<'static, ()>,
}

impl Serving {
    pub async fn start() -> Serving {
        Serving::start_on(gateway_program()).await
    }

    /// The same, on a given build's program.
    pub async fn start_on(program: &Path) -> Serving {
        let alone = ALONE.lock().await;
        let mut site = Site::lay(&Layout::of_five(program)).expect("free ports");
        let journal = Journal::begin();
        let since = Instant::now();
        site.start_all().expect("the doors start");
        let backends = backends(&site, &journal).await.expect("backends listen");
        let operator = Operator::new(site.controls(), journal.clone());
        let mut serving = Serving { site, journal, operator, _backends: backends, _alone: alone };
        serving.put(Plan::first(1)).await;
        let taken = since.elapsed();
        for door in 0..serving.site.doors.len() {
            let is_ready = serving.site.is_ready_within(door, TO_COME_UP).await;
            assert!(is_ready, "door {} is not ready\n{}", door + 1, serving.site.said());
        }
        let (taken, ready) = (taken.as_secs_f64(), since.elapsed().as_secs_f64());
        println!("the first word is taken after {taken:.2} s, all doors are ready after {ready:.2} s");
        serving
    }

    /// Sends a configuration; it must be taken. Who acknowledged it, as a place among the doors.
    pub async fn put(&mut self, plan: Plan) -> usize {
        let version = plan.version;
        let said = self.operator.put(plan, TO_COME_UP).await;
        assert!(
            said.is_some_and(|said| said.status == 200),
            "version {version}: {said:?}\n{}",
            self.site.said()
        );
        let by = said.expect("an answer").by;
        self.site.doors.iter().position(|door| door.control() == by).expect("one of ours")
    }

    /// The next configuration on top of the one in force.
    pub fn next(&self) -> Plan {
        let current = self.operator.plan.as_ref().expect("the first was taken");
        current.next(current.version + 2)
    }

    /// The newest that was acknowledged must be what all doors answer.
    pub async fn expect_read(&self, plan: &Plan, patience: Duration) {
        for door in &self.site.doors {
            let since = Instant::now();
            let found = loop {
                let answer =
                    brassport_testbed::operator::call(door.control(), "GET", "/Config.Read", None, &[]).await;
                let found = answer
                    .filter(|(_, answer)| answer.status == 200)
                    .and_then(|(_, answer)| brassport_testbed::configuration::read(&answer.body));
                if found.is_some() || since.elapsed() > patience {
                    break found;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            };
            assert_eq!(found, Some(plan.as_read()), "read at {}\n{}", door.name, self.site.said());
        }
    }
}
