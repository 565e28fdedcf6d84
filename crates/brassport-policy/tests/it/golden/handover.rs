//! The hand-over state, and errors of states that cannot be applied.

use super::*;

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
        let entries = vec![server(7, Lifecycle::Draining, None), server(8, Lifecycle::Removed, None)];
        gateway.handle(3020.0, Event::Servers { kind: ListKind::Delta, entries }, &mut actions);
    }
    gateway
}

const MAX_BYTES: usize = 1 << 20;

fn successor(learned: &str) -> (Gateway, Vec<Action>) {
    let mut gateway = Gateway::new(sample_settings(), 12, 0.0).expect("sound settings");
    let mut actions = Vec::new();
    let learned = learned.to_string();
    gateway.handle(
        0.0,
        Event::ApplyHandover { state: learned, in_flight: vec![101, 101, 9999] },
        &mut actions,
    );
    (gateway, actions)
}

#[test]
fn the_handover_state_is_unchanged() {
    let text = history(false).handover_state(MAX_BYTES);
    for word in ["\"Gone\"", "\"Draining\"", "\"Ready\"", "\"held\":[1", "\"open\":1", "\"cold\":{"] {
        assert!(text.contains(word), "the history reaches {word}");
    }
    GOLDEN.same_text("heritage.json", &(text + "\n"));
}

#[test]
fn the_state_of_a_successor_is_unchanged() {
    // Attempts that wait are dropped, those that are out are counted anew, and cold servers are noted once more.
    let (gateway, actions) = successor(&history(false).handover_state(MAX_BYTES));
    assert_eq!(actions, []);
    GOLDEN.same_text("heritage-inherited.json", &(gateway.handover_state(MAX_BYTES) + "\n"));
}

#[test]
fn an_idle_gateways_state_round_trips() {
    let fixture = GOLDEN.same_text("heritage-calm.json", &(history(true).handover_state(MAX_BYTES) + "\n"));
    let mut gateway = Gateway::new(sample_settings(), 12, 0.0).expect("sound settings");
    let mut actions = Vec::new();
    let learned = fixture.trim_end().to_string();
    gateway.handle(0.0, Event::ApplyHandover { state: learned, in_flight: Vec::new() }, &mut actions);
    assert_eq!(actions, []);
    assert_eq!(gateway.handover_state(MAX_BYTES) + "\n", fixture);
    assert_eq!(gateway.handover_state(fixture.len() - 1) + "\n", fixture, "it just fits");
    assert_eq!(gateway.handover_state(fixture.len() - 2), "", "nothing of it rather than a part");
}

#[test]
fn the_state_of_a_new_gateway_is_unchanged() {
    let gateway = Gateway::new(sample_settings(), 11, 0.0).expect("sound settings");
    GOLDEN.same_text("heritage-new.json", &(gateway.handover_state(MAX_BYTES) + "\n"));
}

#[test]
fn the_errors_of_unusable_states_are_unchanged() {
    let text = history(true).handover_state(MAX_BYTES);
    let cases = [
        ("nothing", String::new()),
        ("no JSON", "?".into()),
        ("a field short", "{}".into()),
        ("another form", text.replacen("\"form\":3", "\"form\":4", 1)),
        ("other counts", text.replacen("\"counts\":[5,4]", "\"counts\":[5,3]", 1)),
        ("another period", text.replacen("\"meter_period\":500.0", "\"meter_period\":400.0", 1)),
        ("a text cut short", text[..text.len() / 2].into()),
    ];
    let reported = cases.map(|(name, learned)| match &successor(&learned).1[..] {
        [Action::Log(line)] => (name.to_string(), line.clone()),
        other => panic!("{name}: {other:?}"),
    });
    GOLDEN.same_text("heritage-refused.txt", &lines(&reported));
}

/// A line for staff that names a type of the source: apart, as it alone may change with that name.
#[test]
fn the_error_of_a_state_of_another_type_is_unchanged() {
    let reported = match &successor("[]").1[..] {
        [Action::Log(line)] => line.clone(),
        other => panic!("{other:?}"),
    };
    GOLDEN.same_text("heritage-refused-by-type.txt", &lines(&[("a list".to_string(), reported)]));
}
