//! Golden tests of the adapter's replies and errors.

use super::*;
use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter with an input. Returns its exit code, its output and its error text.
fn adapter(input: &[u8]) -> (Option<i32>, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_brassport-policy-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input).expect("written");
    let output = child.wait_with_output().expect("it ends");
    (output.status.code(), output.stdout, String::from_utf8_lossy(&output.stderr).into_owned())
}

/// A record of a request's arrival.
fn request_record(id: u64, class: u16) -> Record {
    Record::new(18)
        .put(3, &id.to_be_bytes())
        .put(11, &1f32.to_be_bytes())
        .put(19, &77u64.to_be_bytes())
        .put(28, &2000f64.to_be_bytes())
        .put(40, &class.to_be_bytes())
        .put(42, &1f32.to_be_bytes())
}

/// A record of the end of a request's first attempt after 20 ms.
fn attempt_end(id: u64, outcome: Outcome, finished: bool) -> Record {
    Record::new(16)
        .put(3, &id.to_be_bytes())
        .put(11, &20f64.to_be_bytes())
        .put(19, &[u8::from(finished)])
        .put(22, &41u16.to_be_bytes())
        .put(29, &outcome_code(outcome).to_be_bytes())
}

/// A record of a server list that starts at the beginning of the tail.
fn list(kind: ListKind, count: u32) -> Record {
    Record::new(20).put(3, &[list_code(kind)]).put(16, &count.to_be_bytes())
}

/// A batch for each class and outcome: a request, and the end of its attempt.
fn attempt_ends() -> Vec<(String, Vec<u8>)> {
    let mut batches = Vec::new();
    for (index, outcome) in OUTCOMES.into_iter().enumerate() {
        for class in [0u16, 1, 2, 3, 4] {
            let id = 100 + 10 * index as u64 + u64::from(class);
            let now = 5.0 * id as f64;
            let records = [request_record(id, class), attempt_end(id, outcome, outcome == Outcome::Ok)];
            batches
                .push((format!("class {class} ends {}", outcome_code(outcome)), frame(now, &records, &[])));
        }
    }
    batches
}

/// All batches of valid input, by case name.
fn batches() -> Vec<(String, Vec<u8>)> {
    let text = settings_text();
    let born = Record::new(19).put(3, &5u64.to_be_bytes()).put(15, &(text.len() as u32).to_be_bytes());
    let entries: Vec<_> = (1..4).map(|id| server(id, Lifecycle::Ready, None)).collect();
    let tail: Vec<u8> = entries.iter().flat_map(entry_bytes).collect();
    let with_id = |code: u8, id: u64| Record::new(code).put(3, &id.to_be_bytes());
    let mut batches = vec![
        ("an empty batch".to_string(), frame(0.0, &[], &[])),
        ("born".into(), frame(1.0, &[born], text.as_bytes())),
        ("a request without servers".into(), frame(2.0, &[request_record(1, 0)], &[])),
        ("a cached list".into(), frame(3.0, &[list(ListKind::Cached, 0)], &[])),
        ("a failed list".into(), frame(4.0, &[list(ListKind::Failed, 0)], &[])),
        ("a full list".into(), frame(5.0, &[list(ListKind::Full, 3)], &tail)),
        ("a list's timer".into(), frame(6.0, &[with_id(17, 2)], &[])),
    ];
    batches.extend(attempt_ends());
    batches.extend([
        ("a request that starts".into(), frame(2000.0, &[request_record(300, 0), with_id(24, 300)], &[])),
        ("a client that goes".into(), frame(2100.0, &[request_record(301, 0), with_id(26, 301)], &[])),
        (
            "a review and a deadline".into(),
            frame(2900.0, &[request_record(302, 0), with_id(17, 302 * 4 + 1)], &[]),
        ),
        ("its deadline".into(), frame(4900.0, &[with_id(17, 302 * 4)], &[])),
        ("an unknown class".into(), frame(5000.0, &[request_record(303, 9)], &[])),
        ("a drained list".into(), frame(5100.0, &[list(ListKind::Full, 0), request_record(304, 0)], &[])),
        ("unused".into(), frame(5200.0, &[Record::new(21), Record::new(22), Record::new(25)], &[])),
        ("detach".into(), frame(5300.0, &[Record::new(23)], &[])),
    ]);
    batches
}

#[test]
fn the_adapters_replies_are_unchanged() {
    let batches = batches();
    let input: Vec<u8> = batches.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
    let (code, output, error) = adapter(&input);
    assert_eq!((code, error.as_str()), (Some(0), ""));
    let mut rest = &output[..];
    let mut cases = Vec::new();
    for (name, bytes) in &batches {
        let length = 8 + u32::from_be_bytes([rest[4], rest[5], rest[6], rest[7]]) as usize;
        let (reply, behind) = rest.split_at(length);
        cases.push((format!("{name}, in"), hex(bytes)));
        cases.push((format!("{name}, out"), hex(reply)));
        rest = behind;
    }
    assert!(rest.is_empty());
    GOLDEN.same_text("adapter.hex", &lines(&cases));
}

/// A list with one server entry that is invalid: the byte at offset `from`, or the first four bytes of the
/// number there, are set to `code`.
fn invalid_list(code: u8, from: u32) -> Vec<u8> {
    let mut tail = entry_bytes(&server(1, Lifecycle::Ready, None));
    tail[from as usize] = code;
    if from >= 10 {
        tail[from as usize..from as usize + 4].fill(code);
    }
    frame(0.0, &[Record::new(20).put(16, &1u32.to_be_bytes())], &tail)
}

/// Malformed input by case name.
fn malformed_input() -> Vec<(&'static str, Vec<u8>)> {
    let reference = |code: u8, at: usize| frame(0.0, &[Record::new(code).put(at, &[0xff; 8])], &[]);
    let put = |code: u8, at: usize, bytes: &[u8]| frame(0.0, &[Record::new(code).put(at, bytes)], &[]);
    let (nan, text) = (f64::NAN.to_be_bytes(), "balancers=0");
    let no_duration = Record::new(16).put(29, &outcome_code(Outcome::Ok).to_be_bytes()).put(11, &nan);
    let no_duration = frame(0.0, &[no_duration], &[]);
    let mut oversized = frame(0.0, &[], &[]);
    oversized[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    let mut excess_records = frame(0.0, &[Record::new(17)], &[]);
    excess_records[12..16].copy_from_slice(&2u32.to_be_bytes());
    let born = |tail: &[u8]| frame(0.0, &[Record::new(19).put(15, &(tail.len() as u32).to_be_bytes())], tail);
    vec![
        ("a short head", frame(0.0, &[], &[])[..7].to_vec()),
        ("a short frame", frame(0.0, &[], &[])[..14].to_vec()),
        ("no clock", frame(f64::NAN, &[], &[])),
        ("too long", oversized),
        ("too many records", excess_records),
        ("an unknown code", put(99, 3, &[])),
        ("nobody's event", put(17, 3, &[])),
        ("an unknown outcome", put(16, 29, &999u16.to_be_bytes())),
        ("no duration", no_duration),
        ("no time left", put(18, 28, &nan)),
        ("no weight", put(18, 42, &[0x7f, 0xc0, 0, 0])),
        ("no spread", put(18, 11, &[0x7f, 0xc0, 0, 0])),
        ("no first", put(18, 36, &[0x7f, 0xc0, 0, 0])),
        ("an unknown list", put(20, 3, &[4])),
        ("a list outside", reference(20, 12)),
        ("a message outside", reference(21, 5)),
        ("settings outside", reference(19, 11)),
        ("an unknown lifecycle", invalid_list(3, 9)),
        ("no share", invalid_list(0xff, 10)),
        ("no launch", invalid_list(0xff, 14)),
        ("settings that are no text", born(&[0xff, 0xfe])),
        ("no settings", born(&[])),
        ("senseless settings", born(settings_text().replacen("balancers=3", text, 1).as_bytes())),
    ]
}

#[test]
fn the_adapters_errors_are_unchanged() {
    let reported = malformed_input().into_iter().map(|(name, input)| {
        let (code, output, error) = adapter(&input);
        assert_eq!((code, output.len()), (Some(1), 0), "{name}");
        (name.to_string(), error.trim_end_matches('\n').to_string())
    });
    GOLDEN.same_text("adapter-refused.txt", &lines(&reported.collect::<Vec<_>>()));
}
