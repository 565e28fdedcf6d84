//! Tests of the model: the effect of changes on a state and the changes that it rejects.

use brassport_state::model::{Action, Change, Lifecycle, NewNode, Refusal, State};

fn change(id: &str, seen: Option<u64>, action: Action) -> Change {
    Change { id: id.into(), who: "test".into(), at_ms: 1000, seen, action }
}

fn add(name: &str) -> Action {
    let endpoint = "127.0.0.1:9000".parse().expect("a valid address");
    Action::AddNode { name: name.into(), endpoint, zone: String::new(), group: 0, size: 1.0, warm: false }
}

fn import(nodes: &[(&str, &str)]) -> Action {
    let node = |(name, endpoint): &(&str, &str)| NewNode {
        name: (*name).into(),
        endpoint: endpoint.parse().expect("a valid address"),
        zone: String::new(),
        group: 0,
        size: 1.0,
    };
    Action::ImportNodes { nodes: nodes.iter().map(node).collect() }
}

fn state_after(actions: &[Action]) -> State {
    actions.iter().fold(State::default(), |state, action| {
        state.after(&change("x", None, action.clone())).expect("the change is valid")
    })
}

#[test]
fn of_two_concurrent_changes_of_a_node_the_second_is_rejected_as_a_conflict() {
    let state = state_after(&[add("a")]);
    let seen = Some(state.nodes["a"].revision);
    let first = state
        .after(&change("1", seen, Action::DrainNode { name: "a".into() }))
        .expect("the first change is valid");
    let second = first.after(&change("2", seen, Action::RemoveNode { name: "a".into() }));
    assert_eq!(second, Err(Refusal::Conflict { name: "a".into(), revision: 2 }));
}

#[test]
fn an_import_replaces_the_list_and_undoes_no_drain() {
    let drain = |name: &str| Action::DrainNode { name: name.into() };
    let state = state_after(&[add("a"), add("b"), add("c"), drain("a"), drain("c")]);
    let list = import(&[("a", "127.0.0.1:9000"), ("c", "127.0.0.1:9999"), ("d", "127.0.0.1:9001")]);
    let state = state.after(&change("9", None, list)).expect("the list is valid");
    assert_eq!(state.nodes.keys().collect::<Vec<_>>(), ["a", "c", "d"]);
    assert_eq!(state.nodes["a"].lifecycle, Lifecycle::Draining);
    assert_eq!(state.nodes["c"].lifecycle, Lifecycle::Ready, "a new endpoint is a different machine");
}

#[test]
fn an_import_with_one_invalid_node_changes_nothing() {
    let state = state_after(&[add("a")]);
    let list = import(&[("b", "127.0.0.1:9000"), ("b", "127.0.0.1:9001")]);
    assert!(matches!(state.after(&change("1", None, list)), Err(Refusal::Invalid(_))));
    let list = import(&[("b", "127.0.0.1:9000"), ("no good", "127.0.0.1:9001")]);
    assert!(matches!(state.after(&change("1", None, list)), Err(Refusal::Invalid(_))));
}

#[test]
fn invalid_changes_are_rejected() {
    let state = state_after(&[add("a")]);
    let code = |action| state.after(&change("1", None, action)).expect_err("the change is invalid").code();
    assert_eq!(code(add("a")), "exists");
    assert_eq!(code(add("")), "invalid");
    assert_eq!(code(add("a\u{1b}[2J")), "invalid");
    assert_eq!(code(Action::DrainNode { name: "b".into() }), "no_such_node");
    assert_eq!(code(Action::SetPlan { studio: 1, plan: Some("a b".into()) }), "invalid");
    assert!(state.after(&change("", None, add("b"))).is_err(), "a change without an id is rejected");
}
