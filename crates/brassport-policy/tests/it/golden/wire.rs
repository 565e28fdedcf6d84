//! Golden tests of event and action records of the simulator's wire format.

use super::*;
use brassport_policy::wire::{Batch, Reply, WireEvent};

/// Name of a case, a frame of one record, and the decoded event.
type Case = (String, Vec<u8>, WireEvent);

const ID: u64 = 0x0102_0304_0506_0708;

fn frame_of(record: Record) -> Vec<u8> {
    frame(1.5, &[record], &[])
}

/// All kinds of event records.
fn records() -> Vec<Case> {
    let (id, one) = (ID, [Record::new(17)]);
    let with_id = |code: u8| frame_of(Record::new(code).put(3, &id.to_be_bytes()));
    let mut cases = vec![
        ("timer".to_string(), with_id(17), WireEvent::Event(Event::Timer(id))),
        ("started".to_string(), with_id(24), WireEvent::Event(Event::ResponseStarted(id))),
        ("client gone".to_string(), with_id(26), WireEvent::Event(Event::ClientDisconnected(id))),
        ("timer without token".to_string(), frame(1.5, &one, &[]), WireEvent::Event(Event::Timer(0))),
        ("detach".to_string(), frame_of(Record::new(23)), WireEvent::Kill),
    ];
    for code in [21, 22, 25] {
        cases.push((format!("unused {code}"), frame_of(Record::new(code)), WireEvent::Unused));
    }
    cases.extend(request_records());
    cases.extend(attempt_end_records());
    cases.extend(list_records());
    cases.push(born_record());
    cases
}

fn request_records() -> Vec<Case> {
    let (id, mut cases) = (ID, Vec::new());
    for is_client_retry in [false, true] {
        let record = Record::new(18)
            .put(3, &id.to_be_bytes())
            .put(11, &2f32.to_be_bytes())
            .put(15, &1u32.to_be_bytes())
            .put(19, &12345u64.to_be_bytes())
            .put(27, &[if is_client_retry { 6 } else { 5 }])
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
            customer_gateways: 2,
            first_gateway: 1,
            expires_in: 1250.5,
            is_client_retry,
        };
        let event = WireEvent::Event(Event::Request(request));
        cases.push((format!("accept, repeat {is_client_retry}"), frame_of(record), event));
    }
    cases
}

fn attempt_end_records() -> Vec<Case> {
    let (id, mut cases) = (ID, Vec::new());
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
            cases.push((name, frame_of(record), WireEvent::Event(Event::AttemptEnd(end))));
        }
    }
    cases
}

fn list_records() -> Vec<Case> {
    let mut cases = Vec::new();
    for kind in LISTS {
        let entries: Vec<_> = LIFECYCLES
            .iter()
            .map(|state| ServerEntry {
                capacity: 1.25,
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
    cases
}

fn born_record() -> Case {
    let text = settings_text();
    let born = Record::new(19).put(3, &5u64.to_be_bytes()).put(15, &(text.len() as u32).to_be_bytes());
    let settings = Box::new(Settings {
        plans: vec![Plan { max_in_flight: 7, ..sample_settings().plans[1] }],
        tuning: Tuning::default(),
        ..sample_settings()
    });
    ("born".into(), frame(1.5, &[born], text.as_bytes()), WireEvent::Start { seed: 5, settings })
}

#[test]
fn each_event_record_decodes_as_before() {
    let cases = records();
    let written: Vec<_> = cases.iter().map(|(name, bytes, _)| (name.clone(), hex(bytes))).collect();
    let fixture = GOLDEN.same_text("wire-events.hex", &lines(&written));
    for (name, _, event) in cases {
        let bytes = unhex(case(&fixture, &name));
        let batch = Batch::read(&mut &bytes[..]).expect("valid").expect("not at the end");
        assert_eq!((batch.clock, batch.count), (1.5, 1), "{name}");
        assert_eq!(batch.event(0).expect("valid"), (3, event), "{name}");
    }
}

/// All actions. The compiler reports a missing one in `index`, and the assertion one that is not in the list.
fn actions() -> Vec<Action> {
    let all = vec![
        Action::Send { request: 9, server: 7, expire_at: Some(2.5) },
        Action::Send { request: 9, server: 0x0102_0304, expire_at: None },
        Action::Reject { request: 9, retry_after: 8.25 },
        Action::Fail(1 << 61),
        Action::Cancel { request: 9, attempt: 1 },
        Action::SetTimer { at: 4.5, token: 11 },
        Action::WatchServers,
        Action::Log("a line für staff".into()),
    ];
    let index = |action: &Action| match action {
        Action::Send { .. } => 0,
        Action::Reject { .. } => 1,
        Action::Fail(_) => 2,
        Action::Cancel { .. } => 3,
        Action::SetTimer { .. } => 4,
        Action::WatchServers => 5,
        Action::Log(_) => 6,
    };
    let indices: std::collections::BTreeSet<_> = all.iter().map(index).collect();
    assert_eq!(indices.len(), 7);
    all
}

#[test]
fn each_action_record_encodes_as_before() {
    let mut cases = vec![("nothing".to_string(), hex(&Reply::default().into_bytes()))];
    let mut together = Reply::default();
    for (number, action) in actions().iter().enumerate() {
        let mut reply = Reply::default();
        reply.push(0x0103, action);
        cases.push((format!("action {number}"), hex(&reply.into_bytes())));
        together.push(3, action);
    }
    let mut panicked = Reply::default();
    panicked.push_panic(4, "cde");
    cases.push(("died".into(), hex(&panicked.into_bytes())));
    together.push_panic(4, "the last");
    together.push(5, &Action::Log("and one more".into()));
    cases.push(("all in one".into(), hex(&together.into_bytes())));
    GOLDEN.same_text("wire-actions.hex", &lines(&cases));
}
