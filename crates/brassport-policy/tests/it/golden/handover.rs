//! Golden tests of the hand-over state, and of the errors of states that cannot be applied.

use super::*;

/// A gateway after a fixed history. If `idle`, no server is in warm-up and no attempt is in flight at the
/// end.
fn gateway_with_history(idle: bool) -> Gateway {
    let mut gateway = Gateway::new(sample_settings(), 11, 0.0).expect("the settings are valid");
    let mut actions = Vec::new();
    let entries = (1..9).map(|id| server(id, Lifecycle::Ready, (id < 4 && !idle).then_some(-1500.0)));
    gateway.handle(0.0, Event::Servers { kind: ListKind::Full, entries: entries.collect() }, &mut actions);
    for id in 1..=120u64 {
        let (now, plan, class) = (25.0 * id as f64, (id % 7 % 4) as usize, (id % 5) as usize);
        gateway.handle(now, Event::Request(request(id, plan, class)), &mut actions);
        let sent =
            actions.iter().any(|action| matches!(action, Action::Send { request, .. } if *request == id));
        // Some of the last attempts remain in flight.
        if sent && (idle || id < 100) {
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
    if !idle {
        let entries = vec![server(7, Lifecycle::Draining, None), server(8, Lifecycle::Removed, None)];
        gateway.handle(3020.0, Event::Servers { kind: ListKind::Delta, entries }, &mut actions);
    }
    gateway
}

const MAX_BYTES: usize = 1 << 20;

fn successor(state: &str) -> (Gateway, Vec<Action>) {
    let mut gateway = Gateway::new(sample_settings(), 12, 0.0).expect("the settings are valid");
    let mut actions = Vec::new();
    let state = state.to_string();
    gateway.handle(0.0, Event::ApplyHandover { state, in_flight: vec![101, 101, 9999] }, &mut actions);
    (gateway, actions)
}

#[test]
fn the_handover_state_is_unchanged() {
    let text = gateway_with_history(false).handover_state(MAX_BYTES);
    for word in ["\"Gone\"", "\"Draining\"", "\"Ready\"", "\"held\":[1", "\"open\":1", "\"cold\":{"] {
        assert!(text.contains(word), "the history covers {word}");
    }
    GOLDEN.same_text("heritage.json", &(text + "\n"));
}

#[test]
fn the_state_of_a_successor_is_unchanged() {
    // Queued requests are dropped, attempts in flight are counted from the event, and the ends of warm-ups
    // are queued twice.
    let (gateway, actions) = successor(&gateway_with_history(false).handover_state(MAX_BYTES));
    assert_eq!(actions, []);
    GOLDEN.same_text("heritage-inherited.json", &(gateway.handover_state(MAX_BYTES) + "\n"));
}

#[test]
fn an_idle_gateways_state_round_trips() {
    let fixture = GOLDEN
        .same_text("heritage-calm.json", &(gateway_with_history(true).handover_state(MAX_BYTES) + "\n"));
    let mut gateway = Gateway::new(sample_settings(), 12, 0.0).expect("the settings are valid");
    let mut actions = Vec::new();
    let state = fixture.trim_end().to_string();
    gateway.handle(0.0, Event::ApplyHandover { state, in_flight: Vec::new() }, &mut actions);
    assert_eq!(actions, []);
    assert_eq!(gateway.handover_state(MAX_BYTES) + "\n", fixture);
    assert_eq!(gateway.handover_state(fixture.len() - 1) + "\n", fixture, "the state fits exactly");
    assert_eq!(gateway.handover_state(fixture.len() - 2), "", "a state that does not fit is empty");
}

#[test]
fn the_state_of_a_new_gateway_is_unchanged() {
    let gateway = Gateway::new(sample_settings(), 11, 0.0).expect("the settings are valid");
    GOLDEN.same_text("heritage-new.json", &(gateway.handover_state(MAX_BYTES) + "\n"));
}

#[test]
fn the_errors_of_unusable_states_are_unchanged() {
    let text = gateway_with_history(true).handover_state(MAX_BYTES);
    let cases = [
        ("nothing", String::new()),
        ("no JSON", "?".into()),
        ("a field short", "{}".into()),
        ("another form", text.replacen("\"form\":3", "\"form\":4", 1)),
        ("other counts", text.replacen("\"counts\":[5,4]", "\"counts\":[5,3]", 1)),
        ("another period", text.replacen("\"meter_period\":500.0", "\"meter_period\":400.0", 1)),
        ("a text cut short", text[..text.len() / 2].into()),
    ];
    let reported = cases.map(|(name, state)| match &successor(&state).1[..] {
        [Action::Log(line)] => (name.to_string(), line.clone()),
        other => panic!("{name}: {other:?}"),
    });
    GOLDEN.same_text("heritage-refused.txt", &lines(&reported));
}

/// A log line that contains the name of a Rust type. In a separate fixture, as only this text may change with
/// the name.
#[test]
fn the_error_of_a_state_of_another_type_is_unchanged() {
    let reported = match &successor("[]").1[..] {
        [Action::Log(line)] => line.clone(),
        other => panic!("{other:?}"),
    };
    GOLDEN.same_text("heritage-refused-by-type.txt", &lines(&[("a list".to_string(), reported)]));
}
