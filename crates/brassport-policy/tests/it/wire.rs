//! Wire codec and adapter: each record, and malformed input.

use brassport_policy::wire::{
    parse_settings, Batch, Reply, WireError, WireEvent, ACTION_RECORD_BYTES, EVENT_RECORD_BYTES,
};
use brassport_policy::*;
use std::io::Write;
use std::process::{Command, Stdio};

/// Builder of an event record: code, instance, and fields at their offsets.
struct RecordBuilder([u8; EVENT_RECORD_BYTES]);

impl RecordBuilder {
    fn new(code: u8, instance: u16) -> RecordBuilder {
        RecordBuilder([0; EVENT_RECORD_BYTES]).put(0, &[code]).put(1, &instance.to_be_bytes())
    }
    fn put(mut self, at: usize, bytes: &[u8]) -> RecordBuilder {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
        self
    }
}

fn frame(clock: f64, records: &[RecordBuilder], tail: &[u8]) -> Vec<u8> {
    let mut body = (records.len() as u32).to_be_bytes().to_vec();
    records.iter().for_each(|record| body.extend(record.0));
    body.extend(tail);
    let mut frame = clock.to_be_bytes().to_vec();
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

fn read(bytes: &[u8]) -> Result<Batch, WireError> {
    Batch::read(&mut &bytes[..]).map(|batch| batch.expect("not at the end"))
}

fn decode(record: RecordBuilder, tail: &[u8]) -> Result<(u16, WireEvent), WireError> {
    read(&frame(1.5, &[record], tail))?.event(0)
}

fn event(record: RecordBuilder) -> Event {
    match decode(record, &[]) {
        Ok((3, WireEvent::Event(event))) => event,
        other => panic!("{other:?}"),
    }
}

fn params() -> String {
    let lines = "balancers=2 ordinal=1 zone=0 classes.count=2 classes.0.semantics=free classes.0.worth=3.0 \
        classes.0.slo=700.0 classes.0.deadline=3000.0 classes.0.lateShare=0.5 classes.1.semantics=guarded \
        classes.1.group=cell classes.1.dedupWindow=900.0 classes.1.worth=1.0 classes.1.slo=700.0 \
        classes.1.deadline=3000.0 classes.1.lateShare=0.0 plans.count=1 plans.0.unitsPerS=2.5 plans.0.storeSize=9.0 \
        plans.0.concurrency=0 plans.0.price=1.0 plans.0.excessWorth=0.0 plans.0.overrunCost=0.5 \
        plans.0.neverOverRate=0.0 plans.0.capDepth=0.0 plans.0.tolerance=0.0 familyInfo.mostUnits=1 \
        familyInfo.usePeriod=400.0 bounds.maxAttempts=3 bounds.mayDuplicate=true bounds.cancel=true \
        bounds.retryAfter=false rules.stopSendingWithin=800.0 rules.coldFrom=0.3 rules.cold=9000.0 \
        rules.tipMultiple=3.0 rules.fall=2500.0 tick=4.0 registryMode=pushed some.new.key=whatever";
    lines.split_whitespace().collect::<Vec<_>>().join("\n")
}

#[test]
fn settings_are_decoded_and_unknown_keys_skipped() {
    let read = parse_settings(&params()).expect("valid");
    assert_eq!((read.gateways, read.ordinal, read.max_attempts, read.allow_hedging), (2, 1, 3, true));
    assert_eq!(read.classes[1].retry_safety, RetrySafety::Keyed { scope: Scope::Cell, window: 900.0 });
    assert_eq!(
        (read.plans[0].rate, read.plans[0].burst, read.plans[0].over_quota_cost_fraction),
        (2.5, 9.0, 0.5)
    );
    assert_eq!((read.meter_period, read.collapse_after, read.max_retry_after), (400.0, 2500.0, 0.0));
}

#[test]
fn errors_name_a_missing_or_unreadable_setting() {
    for line in params().lines().filter(|line| !line.starts_with("some.")) {
        let key = line.split('=').next().expect("a key");
        let without: Vec<_> = params().lines().filter(|other| *other != line).map(String::from).collect();
        let error = parse_settings(&without.join("\n")).expect_err(key).to_string();
        assert!(error.contains(key), "{key}: {error}");
        let broken = params().replace(line, &format!("{key}=?"));
        let error = parse_settings(&broken).expect_err(key).to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
    for (good, bad) in
        [("unitsPerS=2.5", "unitsPerS=-1"), ("balancers=2", "balancers=0"), ("slo=700.0", "slo=NaN")]
    {
        assert!(parse_settings(&params().replace(good, bad)).is_err(), "{bad}");
    }
}

#[test]
fn a_request_is_decoded() {
    let record = RecordBuilder::new(18, 3)
        .put(3, &77u64.to_be_bytes())
        .put(11, &2f32.to_be_bytes())
        .put(15, &1u32.to_be_bytes())
        .put(19, &12345u64.to_be_bytes())
        .put(27, &[6])
        .put(28, &1250.5f64.to_be_bytes())
        .put(40, &4u16.to_be_bytes())
        .put(42, &1.5f32.to_be_bytes());
    let request = Request {
        id: 77,
        customer: 12345,
        plan: 1,
        class: 4,
        units: 1.5,
        customer_gateways: 2,
        first_gateway: 0,
        expires_in: 1250.5,
        is_client_retry: true,
    };
    assert_eq!(event(record), Event::Request(request));
}

#[test]
fn an_attempt_end_is_decoded_for_each_outcome() {
    let outcomes = [
        (100u16, Outcome::Ok, false),
        (301, Outcome::Error, false),
        (302, Outcome::Overloaded, true),
        (303, Outcome::TimedOut, false),
        (304, Outcome::NoConnection, true),
        (305, Outcome::Reset, false),
        (306, Outcome::Cancelled, false),
        (307, Outcome::NotSent, true),
    ];
    for (code, outcome, never_ran) in outcomes {
        for (wire, used) in [(0u16, None), (1, Some(0.0)), (251, Some(2.5))] {
            let record = RecordBuilder::new(16, 3)
                .put(3, &9u64.to_be_bytes())
                .put(11, &33.5f64.to_be_bytes())
                .put(19, &[1])
                .put(22, &wire.to_be_bytes())
                .put(24, &[2])
                .put(29, &code.to_be_bytes());
            let end = AttemptEnd { request: 9, attempt: 2, outcome, elapsed: 33.5, finished: true, used };
            assert_eq!(event(record), Event::AttemptEnd(end));
        }
        assert_eq!(outcome.never_ran(), never_ran);
    }
    assert!(decode(RecordBuilder::new(16, 3).put(29, &999u16.to_be_bytes()), &[]).is_err());
}

#[test]
fn server_lists_are_decoded() {
    let mut tail = vec![0xee];
    tail.extend(0x2c01u32.to_be_bytes());
    tail.extend(2u16.to_be_bytes());
    tail.push(0);
    tail.extend(7u16.to_be_bytes());
    tail.push(2);
    tail.extend(1.25f32.to_be_bytes());
    tail.extend(640.0f64.to_be_bytes());
    let at =
        |count: u32| RecordBuilder::new(20, 3).put(12, &1u32.to_be_bytes()).put(16, &count.to_be_bytes());
    let entry = ServerEntry {
        id: 0x2c01,
        zone: 2,
        cell: 7,
        capacity: 1.25,
        lifecycle: Lifecycle::Draining,
        launched_at: Some(640.0),
    };
    let expected = WireEvent::Event(Event::Servers { kind: ListKind::Delta, entries: vec![entry] });
    assert_eq!(decode(at(1), &tail).expect("valid"), (3, expected));
    assert!(decode(at(2), &tail).is_err(), "a list longer than the tail");
    assert!(decode(at(u32::MAX), &tail).is_err(), "a list of the maximum length");
    assert!(decode(at(1).put(3, &[9]), &tail).is_err(), "an unknown list kind");
}

#[test]
fn the_other_events_are_decoded() {
    let id = 5u64.to_be_bytes();
    assert_eq!(event(RecordBuilder::new(17, 3).put(3, &id)), Event::Timer(5));
    assert_eq!(event(RecordBuilder::new(24, 3).put(3, &id)), Event::ResponseStarted(5));
    assert_eq!(event(RecordBuilder::new(26, 3).put(3, &id)), Event::ClientDisconnected(5));
    assert_eq!(decode(RecordBuilder::new(23, 3), &[]).expect("valid"), (3, WireEvent::Kill));
    for code in [21, 22, 25] {
        assert_eq!(decode(RecordBuilder::new(code, 3), &[]).expect("valid"), (3, WireEvent::Unused));
    }
    let text = params();
    let born = RecordBuilder::new(19, 3).put(3, &id).put(15, &(text.len() as u32).to_be_bytes());
    let expected = WireEvent::Start { seed: 5, settings: Box::new(parse_settings(&text).expect("valid")) };
    assert_eq!(decode(born, text.as_bytes()).expect("valid"), (3, expected));
}

#[test]
fn malformed_frames_are_errors_without_panics() {
    let complete = frame(1.0, &[RecordBuilder::new(17, 3)], &[]);
    for cut in 1..complete.len() {
        assert!(read(&complete[..cut]).is_err(), "cut after {cut} bytes");
    }
    assert!(Batch::read(&mut &[][..]).expect("the end of input is no error").is_none());
    let mut oversized = complete.clone();
    oversized[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    assert!(read(&oversized).is_err());
    let mut crowded = complete.clone();
    crowded[12..16].copy_from_slice(&2u32.to_be_bytes());
    assert!(read(&crowded).is_err());
    assert!(read(&frame(f64::NAN, &[], &[])).is_err());
    assert!(decode(RecordBuilder::new(99, 3), &[]).expect_err("unknown").to_string().contains("99"));
    assert!(decode(RecordBuilder::new(18, 3).put(28, &f64::INFINITY.to_be_bytes()), &[]).is_err());
}

#[test]
fn actions_are_encoded() {
    let mut reply = Reply::default();
    reply.push(3, &Action::Send { request: 9, server: 7, expire_at: Some(2.0) });
    reply.push(3, &Action::SetTimer { at: 4.0, token: 11 });
    reply.push(3, &Action::Reject { request: 9, retry_after: 8.0 });
    reply.push(3, &Action::Fail(9));
    reply.push(3, &Action::Cancel { request: 9, attempt: 1 });
    reply.push(3, &Action::WatchServers);
    reply.push(3, &Action::Log("ab".into()));
    reply.push_panic(4, "cde");
    let bytes = reply.into_bytes();
    assert_eq!(bytes.len(), 8 + 8 * ACTION_RECORD_BYTES + 5);
    assert_eq!(bytes[..8], [0, 0, 0, 8, 0, 0, 0, (8 * ACTION_RECORD_BYTES + 5) as u8]);
    let record =
        |index: usize| &bytes[8 + index * ACTION_RECORD_BYTES..8 + (index + 1) * ACTION_RECORD_BYTES];
    let codes: Vec<_> = (0..8).map(|index| record(index)[0]).collect();
    assert_eq!(codes, [91, 82, 83, 88, 86, 81, 84, 92]);
    assert_eq!(record(0)[1..3], [0, 3]);
    assert_eq!(record(0)[3..11], 9u64.to_be_bytes());
    assert_eq!(record(0)[11..15], 7u32.to_be_bytes());
    assert_eq!(record(0)[15..23], 2f64.to_be_bytes());
    assert_eq!(record(1)[3..11], 4f64.to_be_bytes());
    assert_eq!(record(1)[11..19], 11u64.to_be_bytes());
    assert_eq!(record(2)[11..19], 8f64.to_be_bytes());
    assert_eq!(record(4)[11], 1);
    assert_eq!(record(5)[3], 1);
    assert_eq!(record(7)[3..11], [0, 0, 0, 2, 0, 0, 0, 3]);
    assert_eq!(&bytes[8 + 8 * ACTION_RECORD_BYTES..], b"abcde");
}

/// Runs the adapter with an input. Returns whether it succeeded, its output and its error text.
fn adapter(input: &[u8]) -> (bool, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_brassport-policy-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input).expect("written");
    let output = child.wait_with_output().expect("it ends");
    (output.status.success(), output.stdout, String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn the_adapter_replies_to_each_batch_and_exits_at_the_end_of_input() {
    let mut input = frame(0.0, &[], &[]);
    let text = params();
    let born = RecordBuilder::new(19, 3).put(15, &(text.len() as u32).to_be_bytes());
    input.extend(frame(1.0, &[born, RecordBuilder::new(20, 3).put(3, &[2])], text.as_bytes()));
    let accept = RecordBuilder::new(18, 3).put(3, &1u64.to_be_bytes()).put(28, &500f64.to_be_bytes());
    input.extend(frame(2.0, &[accept.put(42, &1f32.to_be_bytes())], &[]));
    let (success, output, error) = adapter(&input);
    assert!(success && error.is_empty(), "{error}");
    assert_eq!(output[..16], [0; 16], "two batches without actions");
    // There is no server: a deadline timer, then a rejection.
    assert_eq!((output[16 + 3], output[16 + 8], output[16 + 8 + ACTION_RECORD_BYTES]), (2, 82, 83));
}

#[test]
fn the_adapter_reports_errors_and_exits_non_zero() {
    for (input, word) in [
        (frame(0.0, &[], &[])[..7].to_vec(), "cut short"),
        (frame(0.0, &[RecordBuilder::new(99, 3)], &[]), "99"),
        (frame(0.0, &[RecordBuilder::new(17, 3)], &[]), "not running"),
        (frame(0.0, &[RecordBuilder::new(19, 3)], &[]), "classes.count"),
        (frame(0.0, &[RecordBuilder::new(19, 3).put(11, &[0xff; 8])], &[]), "outside a tail"),
    ] {
        let (success, _, error) = adapter(&input);
        assert!(!success && error.contains(word) && !error.contains("panicked"), "{word}: {error}");
    }
}
