//! Golden text: the settings file and its refusals, what the listeners answer, byte by byte, and what `brassport-gateway status`
//! asks and prints, held against fixtures in `tests/golden`.

#[path = "../../brassport-transport/tests/common/fixture.rs"]
mod fixture;

use brassport_config_store::consensus::{ChangeScope, ConfigurationRequest};
use brassport_config_store::store::FILE_NAME;
use brassport_control_plane::call::{Call, Reply};
use brassport_gateway::listeners::{self, Called};
use brassport_gateway::settings::{Fault, Settings};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
const LOOPBACK: Ipv4Addr = Ipv4Addr::LOCALHOST;

const SETTINGS: &str = "node: n1
ip: 10.0.1.7
zone: a
zones: {a: north, b: south}
listenOn: {front: '10.0.1.7:8080', ready: '10.0.1.7:8081', control: '10.0.1.7:8381'}
internalPorts: [9001, 9002]
seeds: ['10.0.1.7:9001', '10.0.2.9:9001']
firstStart: true
counted: true
limits: {openFiles: 4096, memoryMb: 512.5}
dataFolder: /var/lib/brassport-gateway
reportEveryS: 2.5
survive: {machines: 1, zones: 1, regions: 1}
bounds: [drainS=3.5, retryRatio = 0.2, strict=true, loose=false, note=words]
reachedAt: {10.0.2.9: 192.0.2.1}
unknown: passed over
";

#[test]
fn a_settings_file_has_the_same_meaning() {
    let settings = Settings::parse(SETTINGS).expect("it is sound");
    let at = |text: &str| text.parse::<SocketAddrV4>().ok();
    assert_eq!((settings.node.as_str(), settings.zone.as_str()), ("n1", "a"));
    assert_eq!(settings.ip, Ipv4Addr::new(10, 0, 1, 7));
    assert_eq!(settings.zones, ["a", "b"]);
    assert_eq!((settings.front, settings.ready), (at("10.0.1.7:8080"), at("10.0.1.7:8081")));
    assert_eq!((settings.control, settings.port), (at("10.0.1.7:8381"), 9001));
    assert_eq!(settings.seeds, [Ipv4Addr::new(10, 0, 1, 7), Ipv4Addr::new(10, 0, 2, 9)]);
    assert!(settings.first_start && settings.counted);
    assert_eq!((settings.open_files, settings.memory_mb), (4096, 512.5));
    assert_eq!(settings.data_folder, Some(PathBuf::from("/var/lib/brassport-gateway")));
    assert_eq!(settings.report_every_s, 2.5);
    let survive = &settings.survive;
    assert_eq!((survive.machines, survive.zones, survive.regions), (1, 1, 1));
    assert_eq!((survive.region_of["a"].as_str(), survive.region_of["b"].as_str()), ("north", "south"));
    let bounds = [("drainS", 3.5), ("loose", 0.0), ("retryRatio", 0.2), ("strict", 1.0)];
    assert_eq!(settings.bounds, BTreeMap::from(bounds.map(|(name, figure)| (name.to_owned(), figure))));
    assert_eq!((settings.bound("drainS", 2.0), settings.bound("note", 7.0)), (3.5, 7.0));
    let reached_at = (Ipv4Addr::new(10, 0, 2, 9), Ipv4Addr::new(192, 0, 2, 1));
    assert_eq!(settings.reached_at, BTreeMap::from([reached_at]));
    // The least that is needed, and what then holds.
    let least = Settings::parse("ip: 10.0.1.7\ninternalPorts: [9001]\n").expect("it is enough");
    assert_eq!((least.front, least.ready, least.control, least.data_folder), (None, None, None, None));
    assert_eq!((least.open_files, least.memory_mb, least.report_every_s), (1024, 256.0, 1.5));
    assert!(!least.first_start && !least.counted && least.seeds.is_empty() && least.bounds.is_empty());
}

#[test]
fn faulty_settings_are_refused_in_the_same_words() {
    let but = |from: &str, to: &str| SETTINGS.replace(from, to);
    let cases = [
        ("nothing", String::new()),
        ("no YAML", "node: [".to_owned()),
        ("a list", "- a\n".to_owned()),
        ("ip", but("ip: 10.0.1.7", "ip: 10.0.1")),
        ("listenOn", but("'10.0.1.7:8080'", "here").replace("'10.0.1.7:8381'", "there")),
        ("seeds", but("'10.0.2.9:9001'", "10.0.2.9")),
        ("no internalPorts", but("internalPorts: [9001, 9002]", "")),
        ("internalPorts", but("[9001, 9002]", "[70000]")),
        ("bounds", but("strict=true", "strict")),
        ("reachedAt", but("192.0.2.1", "elsewhere")),
        ("firstStart", but("firstStart: true", "firstStart: 3")),
        ("limits", but("4096", "many")),
        ("survive", but("machines: 1", "machines: -1")),
        ("reportEveryS", but("reportEveryS: 2.5", "reportEveryS: often")),
        ("zones", but("{a: north, b: south}", "[a, b]")),
        ("all at once", but("10.0.1.7", "x").replace("strict=true", "strict").replace("9001, 9002", "")),
    ];
    let refused = |(name, text): (&str, String)| {
        let problems = Settings::parse(&text).expect_err(name);
        (name.to_owned(), problems.join("\n"))
    };
    let mut told: Vec<(String, String)> = cases.map(refused).to_vec();
    let problems = vec!["one".to_owned(), "two".to_owned()];
    let fault = Fault { file: PathBuf::from("settings.yaml"), problems };
    let help = miette::Diagnostic::help(&fault).map(|help| help.to_string()).unwrap_or_default();
    told.push(("display".to_owned(), fault.to_string()));
    told.push(("help".to_owned(), help));
    fixture::check(PACKAGE, "settings_faults", &told);
}

/// All that comes back upon these bytes until the connection closes; the listener's port as `PORT`.
async fn exchange(at: SocketAddrV4, request: &str) -> String {
    let mut stream = TcpStream::connect(at).await.expect("it listens");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut text = String::new();
    let read = timeout(Duration::from_secs(10), stream.read_to_string(&mut text)).await;
    read.expect("in time").expect("text");
    text.replace(&at.port().to_string(), "PORT")
}

fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = listeners::bind(SocketAddrV4::new(LOOPBACK, 0)).expect("a port");
    let port = listener.local_addr().expect("it has one").port();
    (listener, SocketAddrV4::new(LOOPBACK, port))
}

fn request(line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("{line} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// As [`request`], with a body of which more or less comes than is told.
fn coming(headers: &str, body: &str) -> String {
    let head = "POST /Config.Replace HTTP/1.1\r\nHost: door\r\nConnection: close\r\nX-Built-On: 0\r\n";
    format!("{head}{headers}\r\n{body}")
}

/// The kind of a reply; one that is new does not compile here until [`replies`] has it too.
fn name_of(reply: &Reply) -> &'static str {
    match reply {
        Reply::Done(_) => "done",
        Reply::Redirect(_) => "at",
        Reply::Invalid(_) => "invalid",
        Reply::VersionConflict => "outdated",
        Reply::Unavailable(_) => "not now",
    }
}

fn replies() -> [Reply; 5] {
    [
        Reply::Done(Arc::new(br#"{"version":"00000001"}"#.to_vec())),
        Reply::Redirect(Ipv4Addr::new(10, 0, 2, 9)),
        Reply::Invalid("version: is missing (add the field)".to_owned()),
        Reply::VersionConflict,
        Reply::Unavailable("nobody leads"),
    ]
}

fn run<T>(of: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, of)
}

async fn control() -> Vec<(String, String)> {
    let mut cases = Vec::new();
    for reply in replies() {
        let (listener, at) = listener();
        let (calls, mut called) = unbounded_channel::<Called>();
        spawn_local(listeners::control(listener, calls));
        let name = name_of(&reply).to_owned();
        spawn_local(async move {
            while let Some((call, to)) = called.recv().await {
                let body = Arc::new(b"{}".to_vec());
                let request = ConfigurationRequest { scope: ChangeScope::Full, base_version: 31, body };
                assert_eq!(call, Call::Configure(request));
                let _ = to.send(reply.clone());
            }
        });
        let put = request("POST /Config.Replace?x=1", "X-Built-On: 0000001F\r\n", "{}");
        cases.push((format!("reply {name}"), exchange(at, &put).await));
    }
    let (listener, at) = listener();
    let (calls, called) = unbounded_channel::<Called>();
    drop(called);
    spawn_local(listeners::control(listener, calls));
    let requests = [
        ("unknown call", request("GET /Config.Replace", "", "")),
        ("unknown path", request("POST /", "", "")),
        ("malformed call", request("POST /Config.Replace", "", "{}")),
        ("malformed beat", request("POST /Servers.CheckIn/i-1", "", "{}")),
        ("too long", request("POST /Config.Replace", "X-Built-On: 0\r\n", &"x".repeat((24 << 20) + 1))),
        ("bad body", coming("Transfer-Encoding: chunked\r\n", "zz\r\n")),
        ("does not come", coming("Content-Length: 5\r\n", "ab")),
        ("it ends", request("GET /Config.Read", "", "")),
    ];
    for (name, text) in requests {
        cases.push((name.to_owned(), exchange(at, &text).await));
    }
    cases
}

#[test]
fn callers_are_answered_with_the_same_bytes() {
    fixture::check(PACKAGE, "control", &run(control()));
}

async fn platform_and_operators() -> Vec<(String, String)> {
    let mut cases = Vec::new();
    for (name, is_ready) in [("ready", true), ("not ready", false)] {
        let (listener, at) = listener();
        spawn_local(listeners::ready(listener, move || is_ready));
        cases.push((name.to_owned(), exchange(at, &request("GET /ready", "", "")).await));
        cases.push((format!("{name}, other path"), exchange(at, &request("GET /", "", "")).await));
    }
    let (listener, at) = listener();
    spawn_local(listeners::metrics(listener, || "brassport_x 1\n".to_owned()));
    cases.push(("metrics".to_owned(), exchange(at, &request("GET /metrics", "", "")).await));
    cases.push(("metrics, other path".to_owned(), exchange(at, &request("GET /", "", "")).await));
    cases
}

#[test]
fn the_platform_and_operators_are_answered_with_the_same_bytes() {
    fixture::check(PACKAGE, "ready_and_metrics", &run(platform_and_operators()));
}

const STATUS: &str = r#"{"ip":"10.0.1.7","zone":"zone-a","version":"00000001","index":2,"votes":true,"leader":{"ip":"10.0.1.7","term":1},"voters":[{"ip":"10.0.1.7","disk":"000000000000004d"},{"ip":"10.0.2.9","disk":"000000000000004e"}],"parts":1,"snapshot":null,"doors":[{"ip":"10.0.2.9","zone":"zone-a","index":1,"behind":1,"heardMsAgo":7},{"ip":"10.0.2.8","zone":"zone-a","index":2,"behind":0,"heardMsAgo":9}],"backends":{"ready":1,"silent":2,"emptying":3}}"#;

/// Runs the program against a door that answers so: what it asked, its exit code, output and errors.
fn status(answer: &str, words: &[&str]) -> String {
    let door = std::net::TcpListener::bind((LOOPBACK, 0)).expect("a port");
    let at = door.local_addr().expect("it has one");
    let answer = answer.to_owned();
    let asked = std::thread::spawn(move || {
        let (mut stream, _) = door.accept().expect("it asks");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a head");
            head.extend(byte);
        }
        stream.write_all(answer.as_bytes()).expect("answered");
        String::from_utf8_lossy(&head).into_owned()
    });
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-gateway"));
    let output = command.arg("status").args(words).arg(at.to_string()).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let asked = asked.join().expect("it asked");
    let told = format!(
        "asked {asked}code {:?}\nout {}err {}",
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr)
    );
    told.replace(&at.port().to_string(), "PORT")
}

#[test]
fn the_status_is_asked_for_and_printed_in_the_same_words() {
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{body}");
    let nobody = STATUS.replace(r#"{"ip":"10.0.1.7","term":1}"#, "null");
    let cases = [
        ("for people", status(&answer(STATUS), &[])),
        ("json", status(&answer(STATUS), &["--json"])),
        ("nobody leads", status(&answer(&nobody), &[])),
        ("no JSON", status(&answer("well"), &[])),
        ("refused", status("HTTP/1.1 503 Service Unavailable\r\n\r\nno answer in time\n", &[])),
    ];
    fixture::check(PACKAGE, "status", &cases.map(|(name, text)| (name.to_owned(), text)));
}

/// Runs the program on files of a folder: exit code, output and errors; the folder as `FOLDER`.
fn run_on(folder: &Path, verb: &str, files: &[&str]) -> String {
    let files = files.iter().map(|file| folder.join(file));
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-gateway"));
    let output = command.arg(verb).args(files).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    let told = format!("code {:?}\nout {out}err {err}", output.status.code());
    told.replace(&folder.display().to_string(), "FOLDER")
}

#[test]
fn files_are_checked_in_the_same_words() {
    let folder = std::env::temp_dir().join(format!("brassport-gateway-golden-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("data")).expect("a folder");
    let older = r#"{"version":"00000001","services":[{"name":"a"}],"hosts":[]}"#;
    let newer = r#"{"version":"00000002","services":[{"name":"b"}],"hosts":[]}"#;
    let files =
        [("settings.yaml", SETTINGS), ("older.json", older), ("newer.json", newer), ("bad.json", "{}")];
    for (file, text) in files {
        std::fs::write(folder.join(file), text).expect("written");
    }
    let store = Path::new(PACKAGE).join("../brassport-config-store/tests/golden/store-2.sqlite");
    std::fs::copy(store, folder.join("data").join(FILE_NAME)).expect("the fixture is there");
    let cases = [
        ("check", run_on(&folder, "check", &["settings.yaml"])),
        ("check-configuration", run_on(&folder, "check-configuration", &["older.json"])),
        ("check-configuration of a bad one", run_on(&folder, "check-configuration", &["bad.json"])),
        ("difference", run_on(&folder, "difference", &["older.json", "newer.json"])),
        ("difference of one", run_on(&folder, "difference", &["older.json"])),
        ("store", run_on(&folder, "store", &["data"])),
        ("no store", run_on(&folder, "store", &["."])),
    ];
    let _ = std::fs::remove_dir_all(&folder);
    fixture::check(PACKAGE, "files", &cases.map(|(name, text)| (name.to_owned(), text)));
}
