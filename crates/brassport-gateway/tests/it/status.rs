//! Tests of the subcommand `status`: its request, and what it prints for each answer, are compared with the fixture
//! `status`.

use crate::common::{GOLDEN, LOOPBACK};
use std::io::{Read, Write};
use std::process::Command;

const STATUS: &str = r#"{"ip":"10.0.1.7","zone":"zone-a","version":"00000001","index":2,"votes":true,"leader":{"ip":"10.0.1.7","term":1},"voters":[{"ip":"10.0.1.7","disk":"000000000000004d"},{"ip":"10.0.2.9","disk":"000000000000004e"}],"parts":1,"snapshot":null,"doors":[{"ip":"10.0.2.9","zone":"zone-a","index":1,"behind":1,"heardMsAgo":7},{"ip":"10.0.2.8","zone":"zone-a","index":2,"behind":0,"heardMsAgo":9}],"backends":{"ready":1,"silent":2,"emptying":3}}"#;

/// Runs `status` with `options` against a server that sends `answer`. Returns the request, the exit code, standard
/// output and standard error, with the port of the server replaced by `PORT`.
fn status(answer: &str, options: &[&str]) -> String {
    let listener = std::net::TcpListener::bind((LOOPBACK, 0)).expect("a free port is bound");
    let address = listener.local_addr().expect("the listener has an address");
    let answer = answer.to_owned();
    let request = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the gateway connects");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("the request head arrives");
            head.extend(byte);
        }
        stream.write_all(answer.as_bytes()).expect("the answer is sent");
        String::from_utf8_lossy(&head).into_owned()
    });
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-gateway"));
    let output =
        command.arg("status").args(options).arg(address.to_string()).output().expect("the gateway runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let request = request.join().expect("the server received a request");
    let text = format!(
        "asked {request}code {:?}\nout {}err {}",
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr)
    );
    text.replace(&address.port().to_string(), "PORT")
}

#[test]
fn status_sends_the_expected_request_and_prints_the_expected_texts() {
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{body}");
    let without_leader = STATUS.replace(r#"{"ip":"10.0.1.7","term":1}"#, "null");
    let cases = [
        ("for people", status(&answer(STATUS), &[])),
        ("json", status(&answer(STATUS), &["--json"])),
        ("nobody leads", status(&answer(&without_leader), &[])),
        ("no JSON", status(&answer("well"), &[])),
        ("refused", status("HTTP/1.1 503 Service Unavailable\r\n\r\nno answer in time\n", &[])),
    ];
    GOLDEN.same_lines("status", &cases.map(|(name, text)| (name.to_owned(), text)));
}
