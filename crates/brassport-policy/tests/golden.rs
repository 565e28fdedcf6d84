//! Golden bytes: what this crate writes and reads must not change by a byte. Each case is built in code, encoded and
//! compared with a fixture in `tests/golden`; what can be decoded is decoded from the fixture and encoded again.
//! `GOLDEN_WRITE=1` writes the fixtures anew, and fails.

use brassport_policy::wire::{settings, Batch, Reply, WireEvent, EVENT};
use brassport_policy::*;
use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};

/// The fixture of this name, which the text must equal.
fn golden(name: &str, text: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1") {
        std::fs::write(&path, text).expect("the fixture can be written");
        panic!("wrote {name}: run again without GOLDEN_WRITE");
    }
    let fixture = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("fixture {name}: {error}"));
    for (number, (is, was)) in text.lines().zip(fixture.lines()).enumerate() {
        assert_eq!(is, was, "{name}, line {}", number + 1);
    }
    assert_eq!(text, fixture, "{name}");
    fixture
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = (0..text.len()).step_by(2);
    digits.map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal")).collect()
}

/// One line for each case.
fn lines<T: AsRef<str>>(cases: &[(String, T)]) -> String {
    cases.iter().map(|(name, value)| format!("{name}: {}\n", value.as_ref())).collect()
}

/// What stands in a fixture behind the name.
fn case<'a>(fixture: &'a str, name: &str) -> &'a str {
    let line = fixture.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    line.unwrap_or_else(|| panic!("no case {name}"))
}

// Upgrades.

fn sample_settings() -> Settings {
    let class = |worth, effect| Class { worth, aim: 800.0, deadline: 4000.0, late_share: 0.25, effect };
    let plan = Plan { rate: 20.0, burst: 40.0, price: 1.0, over_cost: 0.5, ..Plan::default() };
    Settings {
        gateways: 3,
        ordinal: 1,
        zone: 2,
        classes: vec![
            class(3.0, Effect::Free),
            class(1.0, Effect::Once),
            class(2.0, Effect::Keyed { scope: Scope::All, window: 1500.0 }),
            class(2.0, Effect::Keyed { scope: Scope::Zone, window: 1500.0 }),
            class(2.0, Effect::Keyed { scope: Scope::Cell, window: 1500.0 }),
        ],
        plans: vec![
            plan,
            Plan { ceiling_rate: 10.0, ceiling_burst: 12.5, ceiling_slack: 2.0, over_worth: 0.125, ..plan },
            Plan { open: 1, ..plan },
            Plan::default(),
        ],
        max_units: 4.0,
        meter_period: 500.0,
        max_attempts: 3,
        may_duplicate: true,
        may_cancel: true,
        max_retry_after: 700.0,
        drain_grace: 500.0,
        cold_from: 0.25,
        cold_for: 18_000.0,
        tip_multiple: 2.0,
        tip_after: 3000.0,
        tick: 4.0,
        list_on_request: true,
        tuning: Tuning { far: 1.5, replaces_silent: false, ..Tuning::default() },
    }
}

/// All there are; whoever adds one is made to add it here.
const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Moot,
];

fn outcome_code(outcome: Outcome) -> u16 {
    match outcome {
        Outcome::Ok => 100,
        Outcome::Error => 301,
        Outcome::Full => 302,
        Outcome::TimedOut => 303,
        Outcome::NoConnection => 304,
        Outcome::Reset => 305,
        Outcome::Cancelled => 306,
        Outcome::Moot => 307,
    }
}

const LIFECYCLES: [Lifecycle; 3] = [Lifecycle::Gone, Lifecycle::Ready, Lifecycle::Draining];

fn lifecycle_code(lifecycle: Lifecycle) -> u8 {
    match lifecycle {
        Lifecycle::Gone => 0,
        Lifecycle::Ready => 1,
        Lifecycle::Draining => 2,
    }
}

const LISTS: [ListKind; 4] = [ListKind::Delta, ListKind::Full, ListKind::Cached, ListKind::Failed];

fn list_code(kind: ListKind) -> u8 {
    match kind {
        ListKind::Delta => 0,
        ListKind::Full => 1,
        ListKind::Cached => 2,
        ListKind::Failed => 3,
    }
}

fn server(id: ServerId, lifecycle: Lifecycle, launched: Option<Millis>) -> ServerEntry {
    ServerEntry { id, zone: (id % 3) as u16, cell: (id % 2) as u16, share: 1.0, lifecycle, launched }
}

fn request(id: RequestId, plan: usize, class: usize) -> Request {
    Request {
        id,
        customer: 100 + id % 7,
        plan,
        class,
        units: 1.0,
        spread: 2,
        first: 1,
        expires_in: 4000.0,
        repeat: id % 5 == 0,
    }
}

/// A gateway behind a fixed history. A calm one has no cold server, and nothing is out at its end.
fn history(calm: bool) -> Gateway {
    let mut gateway = Gateway::new(sample_settings(), 11, 0.0).expect("sound settings");
    let mut actions = Vec::new();
    let entries = (1..9).map(|id| server(id, Lifecycle::Ready, (id < 4 && !calm).then_some(-1500.0)));
    gateway.handle(0.0, Event::Servers { kind: ListKind::Full, entries: entries.collect() }, &mut actions);
    for id in 1..=120u64 {
        let (now, plan, class) = (25.0 * id as f64, (id % 7 % 4) as usize, (id % 5) as usize);
        gateway.handle(now, Event::Request(request(id, plan, class)), &mut actions);
        let sent =
            actions.iter().any(|action| matches!(action, Action::Send { request, .. } if *request == id));
        // Some of the last stay out.
        if sent && (calm || id < 100) {
            let outcome = if id % 3 > 0 { Outcome::Ok } else { OUTCOMES[(id / 3 % 8) as usize] };
            let end = AttemptEnd {
                request: id,
                attempt: 0,
                outcome,
                elapsed: 12.5 + (id % 11) as f64,
                finished: true,
                used: (id % 4 == 0).then_some(0.375 + (id % 3) as f64 / 4.0),
            };
            gateway.handle(now + 16.0, Event::AttemptEnd(end), &mut actions);
        }
        actions.clear();
    }
    if !calm {
        let entries = vec![server(7, Lifecycle::Draining, None), server(8, Lifecycle::Gone, None)];
        gateway.handle(3020.0, Event::Servers { kind: ListKind::Delta, entries }, &mut actions);
    }
    gateway
}

const MOST: usize = 1 << 20;

fn successor(learned: &str) -> (Gateway, Vec<Action>) {
    let mut gateway = Gateway::new(sample_settings(), 12, 0.0).expect("sound settings");
    let mut actions = Vec::new();
    let learned = learned.to_string();
    gateway.handle(0.0, Event::Inherit { learned, out: vec![101, 101, 9999] }, &mut actions);
    (gateway, actions)
}

#[test]
fn what_a_gateway_hands_to_its_successor() {
    let text = history(false).heritage(MOST);
    for word in ["\"Gone\"", "\"Draining\"", "\"Ready\"", "\"held\":[1", "\"open\":1", "\"cold\":{"] {
        assert!(text.contains(word), "the history reaches {word}");
    }
    golden("heritage.json", &(text + "\n"));
}

#[test]
fn what_a_successor_makes_of_it() {
    // Attempts that wait are dropped, those that are out are counted anew, and cold servers are noted once more.
    let (gateway, actions) = successor(&history(false).heritage(MOST));
    assert_eq!(actions, []);
    golden("heritage-inherited.json", &(gateway.heritage(MOST) + "\n"));
}

#[test]
fn a_calm_gateways_text_is_written_again_as_it_was() {
    let fixture = golden("heritage-calm.json", &(history(true).heritage(MOST) + "\n"));
    let mut gateway = Gateway::new(sample_settings(), 12, 0.0).expect("sound settings");
    let mut actions = Vec::new();
    let learned = fixture.trim_end().to_string();
    gateway.handle(0.0, Event::Inherit { learned, out: Vec::new() }, &mut actions);
    assert_eq!(actions, []);
    assert_eq!(gateway.heritage(MOST) + "\n", fixture);
    assert_eq!(gateway.heritage(fixture.len() - 1) + "\n", fixture, "it just fits");
    assert_eq!(gateway.heritage(fixture.len() - 2), "", "nothing of it rather than a part");
}

#[test]
fn a_new_gateways_text() {
    let gateway = Gateway::new(sample_settings(), 11, 0.0).expect("sound settings");
    golden("heritage-new.json", &(gateway.heritage(MOST) + "\n"));
}

#[test]
fn why_a_text_is_not_taken() {
    let text = history(true).heritage(MOST);
    let cases = [
        ("nothing", String::new()),
        ("no JSON", "?".into()),
        ("a field short", "{}".into()),
        ("another form", text.replacen("\"form\":3", "\"form\":4", 1)),
        ("other counts", text.replacen("\"counts\":[5,4]", "\"counts\":[5,3]", 1)),
        ("another period", text.replacen("\"meter_period\":500.0", "\"meter_period\":400.0", 1)),
        ("a text cut short", text[..text.len() / 2].into()),
    ];
    let told = cases.map(|(name, learned)| match &successor(&learned).1[..] {
        [Action::Log(line)] => (name.to_string(), line.clone()),
        other => panic!("{name}: {other:?}"),
    });
    golden("heritage-refused.txt", &lines(&told));
}

/// A line for staff that names a type of the source: apart, as it alone may change with that name.
#[test]
fn why_a_text_of_another_shape_is_not_taken() {
    let told = match &successor("[]").1[..] {
        [Action::Log(line)] => line.clone(),
        other => panic!("{other:?}"),
    };
    golden("heritage-refused-by-type.txt", &lines(&[("a list".to_string(), told)]));
}

// The simulator's wire.

/// An event record under construction: code, instance, then fields at their positions.
#[derive(Clone)]
struct Record([u8; EVENT]);

impl Record {
    fn new(code: u8) -> Record {
        Record([0; EVENT]).put(0, &[code]).put(1, &3u16.to_be_bytes())
    }
    fn put(mut self, at: usize, bytes: &[u8]) -> Record {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
        self
    }
}

fn frame(clock: f64, records: &[Record], tail: &[u8]) -> Vec<u8> {
    let mut body = (records.len() as u32).to_be_bytes().to_vec();
    records.iter().for_each(|record| body.extend(record.0));
    body.extend(tail);
    let mut frame = clock.to_be_bytes().to_vec();
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

const TEXT: &str = "balancers=3 ordinal=1 zone=2 classes.count=5 classes.0.semantics=free classes.0.worth=3.0 \
    classes.0.slo=800.0 classes.0.deadline=4000.0 classes.0.lateShare=0.25 classes.1.semantics=single_shot \
    classes.1.worth=1.0 classes.1.slo=800.0 classes.1.deadline=4000.0 classes.1.lateShare=0.25 \
    classes.2.semantics=guarded classes.2.group=all classes.2.dedupWindow=1500.0 classes.2.worth=2.0 \
    classes.2.slo=800.0 classes.2.deadline=4000.0 classes.2.lateShare=0.25 classes.3.semantics=guarded \
    classes.3.group=zone classes.3.dedupWindow=1500.0 classes.3.worth=2.0 classes.3.slo=800.0 \
    classes.3.deadline=4000.0 classes.3.lateShare=0.25 classes.4.semantics=guarded classes.4.group=cell \
    classes.4.dedupWindow=1500.0 classes.4.worth=2.0 classes.4.slo=800.0 classes.4.deadline=4000.0 \
    classes.4.lateShare=0.25 plans.count=1 plans.0.unitsPerS=20.0 plans.0.storeSize=40.0 plans.0.concurrency=7 \
    plans.0.price=1.0 plans.0.excessWorth=0.125 plans.0.overrunCost=0.5 plans.0.neverOverRate=10.0 \
    plans.0.capDepth=12.5 plans.0.tolerance=2.0 familyInfo.mostUnits=4 familyInfo.usePeriod=500.0 \
    bounds.maxAttempts=3 bounds.mayDuplicate=true bounds.cancel=true bounds.retryAfter=true \
    bounds.maxRetryAfter=700.0 rules.stopSendingWithin=500.0 rules.coldFrom=0.25 rules.cold=18000.0 \
    rules.tipMultiple=2.0 rules.fall=3000.0 tick=4.0 registryMode=on_request some.new.key=whatever";

fn settings_text() -> String {
    TEXT.split_whitespace().collect::<Vec<_>>().join("\n")
}

fn entry_bytes(entry: &ServerEntry) -> Vec<u8> {
    let mut bytes = entry.id.to_be_bytes().to_vec();
    bytes.extend(entry.zone.to_be_bytes());
    bytes.push(0);
    bytes.extend(entry.cell.to_be_bytes());
    bytes.push(lifecycle_code(entry.lifecycle));
    bytes.extend((entry.share as f32).to_be_bytes());
    bytes.extend(entry.launched.unwrap_or(0.0).to_be_bytes());
    bytes
}

/// Each kind of record with what it means.
fn records() -> Vec<(String, Vec<u8>, WireEvent)> {
    let (id, one) = (0x0102_0304_0506_0708u64, [Record::new(17)]);
    let whole = |record: Record| frame(1.5, &[record], &[]);
    let with_id = |code: u8| whole(Record::new(code).put(3, &id.to_be_bytes()));
    let mut cases = vec![
        ("timer".to_string(), with_id(17), WireEvent::Event(Event::Timer(id))),
        ("started".to_string(), with_id(24), WireEvent::Event(Event::Started(id))),
        ("client gone".to_string(), with_id(26), WireEvent::Event(Event::ClientGone(id))),
        ("timer without token".to_string(), frame(1.5, &one, &[]), WireEvent::Event(Event::Timer(0))),
        ("detach".to_string(), whole(Record::new(23)), WireEvent::Detach),
    ];
    for code in [21, 22, 25] {
        cases.push((format!("unused {code}"), whole(Record::new(code)), WireEvent::Unused));
    }
    for repeat in [false, true] {
        let record = Record::new(18)
            .put(3, &id.to_be_bytes())
            .put(11, &2f32.to_be_bytes())
            .put(15, &1u32.to_be_bytes())
            .put(19, &12345u64.to_be_bytes())
            .put(27, &[if repeat { 6 } else { 5 }])
            .put(28, &1250.5f64.to_be_bytes())
            .put(36, &1f32.to_be_bytes())
            .put(40, &4u16.to_be_bytes())
            .put(42, &1.5f32.to_be_bytes());
        let request = Request {
            id,
            customer: 12345,
            plan: 1,
            class: 4,
            units: 1.5,
            spread: 2,
            first: 1,
            expires_in: 1250.5,
            repeat,
        };
        let event = WireEvent::Event(Event::Request(request));
        cases.push((format!("accept, repeat {repeat}"), whole(record), event));
    }
    for outcome in OUTCOMES {
        for (code, used) in [(0u16, None), (1, Some(0.0)), (251, Some(2.5))] {
            let record = Record::new(16)
                .put(3, &id.to_be_bytes())
                .put(11, &33.5f64.to_be_bytes())
                .put(19, &[u8::from(code > 0)])
                .put(22, &code.to_be_bytes())
                .put(24, &[2])
                .put(29, &outcome_code(outcome).to_be_bytes());
            let end =
                AttemptEnd { request: id, attempt: 2, outcome, elapsed: 33.5, finished: code > 0, used };
            let name = format!("attempt end {}, use {code}", outcome_code(outcome));
            cases.push((name, whole(record), WireEvent::Event(Event::AttemptEnd(end))));
        }
    }
    for kind in LISTS {
        let entries: Vec<_> = LIFECYCLES
            .iter()
            .map(|state| ServerEntry {
                share: 1.25,
                ..server(0x2c01, *state, (kind == ListKind::Full).then_some(640.5))
            })
            .collect();
        let mut tail = vec![0xee];
        entries.iter().for_each(|entry| tail.extend(entry_bytes(entry)));
        let record = Record::new(20).put(3, &[list_code(kind)]).put(12, &1u32.to_be_bytes());
        let record = record.put(16, &(entries.len() as u32).to_be_bytes());
        let event = WireEvent::Event(Event::Servers { kind, entries });
        cases.push((format!("servers {}", list_code(kind)), frame(1.5, &[record], &tail), event));
    }
    let text = settings_text();
    let born = Record::new(19).put(3, &5u64.to_be_bytes()).put(15, &(text.len() as u32).to_be_bytes());
    let settings = Box::new(Settings {
        plans: vec![Plan { open: 7, ..sample_settings().plans[1] }],
        tuning: Tuning::default(),
        ..sample_settings()
    });
    cases.push(("born".into(), frame(1.5, &[born], text.as_bytes()), WireEvent::Born { seed: 5, settings }));
    cases
}

#[test]
fn each_record_is_read_as_it_was() {
    let cases = records();
    let written: Vec<_> = cases.iter().map(|(name, bytes, _)| (name.clone(), hex(bytes))).collect();
    let fixture = golden("wire-events.hex", &lines(&written));
    for (name, _, event) in cases {
        let bytes = unhex(case(&fixture, &name));
        let batch = Batch::read(&mut &bytes[..]).expect("sound").expect("not at the end");
        assert_eq!((batch.clock, batch.count), (1.5, 1), "{name}");
        assert_eq!(batch.event(0).expect("sound"), (3, event), "{name}");
    }
}

/// Each action; whoever adds one is made to add it here.
fn actions() -> Vec<Action> {
    let all = vec![
        Action::Send { request: 9, server: 7, expire_at: Some(2.5) },
        Action::Send { request: 9, server: 0x0102_0304, expire_at: None },
        Action::Refuse { request: 9, retry_after: 8.25 },
        Action::Fail(1 << 61),
        Action::Cancel { request: 9, attempt: 1 },
        Action::Timer { at: 4.5, token: 11 },
        Action::FollowServers,
        Action::Log("a line für staff".into()),
    ];
    let place = |action: &Action| match action {
        Action::Send { .. } => 0,
        Action::Refuse { .. } => 1,
        Action::Fail(_) => 2,
        Action::Cancel { .. } => 3,
        Action::Timer { .. } => 4,
        Action::FollowServers => 5,
        Action::Log(_) => 6,
    };
    let places: std::collections::BTreeSet<_> = all.iter().map(place).collect();
    assert_eq!(places.len(), 7);
    all
}

#[test]
fn each_action_is_written_as_it_was() {
    let mut cases = vec![("nothing".to_string(), hex(&Reply::default().into_bytes()))];
    let mut together = Reply::default();
    for (number, action) in actions().iter().enumerate() {
        let mut reply = Reply::default();
        reply.push(0x0103, action);
        cases.push((format!("action {number}"), hex(&reply.into_bytes())));
        together.push(3, action);
    }
    let mut dying = Reply::default();
    dying.die(4, "cde");
    cases.push(("died".into(), hex(&dying.into_bytes())));
    together.die(4, "the last");
    together.push(5, &Action::Log("and one more".into()));
    cases.push(("all in one".into(), hex(&together.into_bytes())));
    golden("wire-actions.hex", &lines(&cases));
}

/// Runs the adapter on some input; returns its exit code, its output and its error text.
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

#[test]
fn the_adapters_answers() {
    let text = settings_text();
    let born = Record::new(19).put(3, &5u64.to_be_bytes()).put(15, &(text.len() as u32).to_be_bytes());
    let entries: Vec<_> = (1..4).map(|id| server(id, Lifecycle::Ready, None)).collect();
    let tail: Vec<u8> = entries.iter().flat_map(entry_bytes).collect();
    let list =
        |kind: ListKind, count: u32| Record::new(20).put(3, &[list_code(kind)]).put(16, &count.to_be_bytes());
    let accept = |id: u64, class: u16| {
        Record::new(18)
            .put(3, &id.to_be_bytes())
            .put(11, &1f32.to_be_bytes())
            .put(19, &77u64.to_be_bytes())
            .put(28, &2000f64.to_be_bytes())
            .put(40, &class.to_be_bytes())
            .put(42, &1f32.to_be_bytes())
    };
    let end = |id: u64, outcome: Outcome, finished: bool| {
        Record::new(16)
            .put(3, &id.to_be_bytes())
            .put(11, &20f64.to_be_bytes())
            .put(19, &[u8::from(finished)])
            .put(22, &41u16.to_be_bytes())
            .put(29, &outcome_code(outcome).to_be_bytes())
    };
    let with_id = |code: u8, id: u64| Record::new(code).put(3, &id.to_be_bytes());
    let mut batches = vec![
        ("an empty batch".to_string(), frame(0.0, &[], &[])),
        ("born".into(), frame(1.0, &[born], text.as_bytes())),
        ("a request without servers".into(), frame(2.0, &[accept(1, 0)], &[])),
        ("a cached list".into(), frame(3.0, &[list(ListKind::Cached, 0)], &[])),
        ("a failed list".into(), frame(4.0, &[list(ListKind::Failed, 0)], &[])),
        ("a full list".into(), frame(5.0, &[list(ListKind::Full, 3)], &tail)),
        ("a list's timer".into(), frame(6.0, &[with_id(17, 2)], &[])),
    ];
    for (place, outcome) in OUTCOMES.into_iter().enumerate() {
        for class in [0u16, 1, 2, 3, 4] {
            let id = 100 + 10 * place as u64 + u64::from(class);
            let now = 5.0 * id as f64;
            let records = [accept(id, class), end(id, outcome, outcome == Outcome::Ok)];
            batches
                .push((format!("class {class} ends {}", outcome_code(outcome)), frame(now, &records, &[])));
        }
    }
    batches.extend([
        ("a request that starts".into(), frame(2000.0, &[accept(300, 0), with_id(24, 300)], &[])),
        ("a client that goes".into(), frame(2100.0, &[accept(301, 0), with_id(26, 301)], &[])),
        ("a review and a deadline".into(), frame(2900.0, &[accept(302, 0), with_id(17, 302 * 4 + 1)], &[])),
        ("its deadline".into(), frame(4900.0, &[with_id(17, 302 * 4)], &[])),
        ("an unknown class".into(), frame(5000.0, &[accept(303, 9)], &[])),
        ("a drained list".into(), frame(5100.0, &[list(ListKind::Full, 0), accept(304, 0)], &[])),
        ("unused".into(), frame(5200.0, &[Record::new(21), Record::new(22), Record::new(25)], &[])),
        ("detach".into(), frame(5300.0, &[Record::new(23)], &[])),
    ]);
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
    golden("adapter.hex", &lines(&cases));
}

#[test]
fn the_adapters_complaints() {
    let reference = |code: u8, at: usize| frame(0.0, &[Record::new(code).put(at, &[0xff; 8])], &[]);
    let put = |code: u8, at: usize, bytes: &[u8]| frame(0.0, &[Record::new(code).put(at, bytes)], &[]);
    let (nan, text) = (f64::NAN.to_be_bytes(), "balancers=0");
    let no_duration = Record::new(16).put(29, &outcome_code(Outcome::Ok).to_be_bytes()).put(11, &nan);
    let no_duration = frame(0.0, &[no_duration], &[]);
    let mut oversized = frame(0.0, &[], &[]);
    oversized[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    let mut crowded = frame(0.0, &[Record::new(17)], &[]);
    crowded[12..16].copy_from_slice(&2u32.to_be_bytes());
    let born = |tail: &[u8]| frame(0.0, &[Record::new(19).put(15, &(tail.len() as u32).to_be_bytes())], tail);
    let strange = |code: u8, from: u32| {
        let mut tail = entry_bytes(&server(1, Lifecycle::Ready, None));
        tail[from as usize] = code;
        if from >= 10 {
            tail[from as usize..from as usize + 4].fill(code);
        }
        frame(0.0, &[Record::new(20).put(16, &1u32.to_be_bytes())], &tail)
    };
    let cases = [
        ("a short head", frame(0.0, &[], &[])[..7].to_vec()),
        ("a short frame", frame(0.0, &[], &[])[..14].to_vec()),
        ("no clock", frame(f64::NAN, &[], &[])),
        ("too long", oversized),
        ("too many records", crowded),
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
        ("an unknown lifecycle", strange(3, 9)),
        ("no share", strange(0xff, 10)),
        ("no launch", strange(0xff, 14)),
        ("settings that are no text", born(&[0xff, 0xfe])),
        ("no settings", born(&[])),
        ("senseless settings", born(settings_text().replacen("balancers=3", text, 1).as_bytes())),
    ];
    let told = cases.map(|(name, input)| {
        let (code, output, error) = adapter(&input);
        assert_eq!((code, output.len()), (Some(1), 0), "{name}");
        (name.to_string(), error.trim_end_matches('\n').to_string())
    });
    golden("adapter-refused.txt", &lines(&told));
}

// Settings.

#[test]
fn settings_that_are_read() {
    let read = settings(&settings_text()).expect("sound");
    let plain = settings(
        &settings_text()
            .replace("registryMode=on_request", "registryMode=pushed")
            .replace("retryAfter=true\nbounds.maxRetryAfter=700.0", "retryAfter=false"),
    );
    let write = |settings: &Settings| serde_json::to_string(settings).expect("JSON");
    let cases = [
        ("read".to_string(), write(&read)),
        ("read, pushed and without advice".to_string(), write(&plain.expect("sound"))),
        ("default".to_string(), write(&Settings::default())),
        ("sample".to_string(), write(&sample_settings())),
    ];
    let fixture = golden("settings.txt", &lines(&cases));
    for ((name, _), value) in cases.iter().zip([Some(read), None, Some(Settings::default()), None]) {
        let text = case(&fixture, name);
        let decoded: Settings = serde_json::from_str(text).expect("sound");
        assert_eq!(write(&decoded), text, "{name}");
        assert!(value.is_none_or(|value| value == decoded), "{name}");
    }
}

#[test]
fn settings_that_are_missing_or_unreadable() {
    let text = settings_text();
    let mut told = Vec::new();
    for line in text.lines().filter(|line| !line.starts_with("some.")) {
        let key = line.split('=').next().expect("a key");
        let without: Vec<_> = text.lines().filter(|other| *other != line).collect();
        let broken = text.replace(line, &format!("{key}=?"));
        for (how, text) in [("missing", without.join("\n")), ("unreadable", broken)] {
            let error = settings(&text).expect_err(key);
            told.push((format!("{key} {how}"), error.to_string()));
        }
    }
    golden("settings-unreadable.txt", &lines(&told));
}

/// One change of settings.
type Change = fn(&mut Settings, f64);

#[test]
fn settings_that_make_no_sense() {
    let changes: [Change; 28] = [
        |settings, value| settings.max_units = value,
        |settings, value| settings.meter_period = value,
        |settings, value| settings.max_retry_after = value,
        |settings, value| settings.drain_grace = value,
        |settings, value| settings.cold_from = value,
        |settings, value| settings.cold_for = value,
        |settings, value| settings.tip_multiple = value,
        |settings, value| settings.tip_after = value,
        |settings, value| settings.tick = value,
        |settings, value| settings.tuning.far = value,
        |settings, value| settings.tuning.late = value,
        |settings, value| settings.tuning.start = value,
        |settings, value| settings.tuning.retry_share = value,
        |settings, value| settings.tuning.retries = value,
        |settings, value| settings.classes[1].worth = value,
        |settings, value| settings.classes[1].aim = value,
        |settings, value| settings.classes[1].deadline = value,
        |settings, value| settings.classes[1].late_share = value,
        |settings, value| settings.classes[1].effect = Effect::Keyed { scope: Scope::All, window: value },
        |settings, value| settings.plans[1].rate = value,
        |settings, value| settings.plans[1].burst = value,
        |settings, value| settings.plans[1].price = value,
        |settings, value| settings.plans[1].over_worth = value,
        |settings, value| settings.plans[1].over_cost = value,
        |settings, value| settings.plans[1].ceiling_rate = value,
        |settings, value| settings.plans[1].ceiling_burst = value,
        |settings, value| settings.plans[1].ceiling_slack = value,
        |settings, value| {
            settings.plans[1].rate = 0.0;
            settings.plans[1].burst = value;
        },
    ];
    let verdict = |settings: Settings| match Gateway::new(settings, 1, 0.0) {
        Ok(_) => "taken".to_string(),
        Err(error) => format!("{error}; field {}", error.field),
    };
    let mut told = vec![
        ("gateways".to_string(), verdict(Settings { gateways: 0, ..sample_settings() })),
        ("attempts".to_string(), verdict(Settings { max_attempts: 0, ..sample_settings() })),
    ];
    for (number, change) in changes.iter().enumerate() {
        for value in [f64::NAN, -1.0, 0.0, 1e12, 2e12] {
            let mut settings = sample_settings();
            change(&mut settings, value);
            told.push((format!("figure {number} as {value}"), verdict(settings)));
        }
    }
    golden("settings-senseless.txt", &lines(&told));
}
