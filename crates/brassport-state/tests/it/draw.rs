//! Random batches drawn from a seed, and the durable content that the model expects after them.

use brassport_state::known::{KnownList, KnownNode};
use brassport_state::model::{Action, Change, NewNode, State};
use brassport_state::store::{Batch, Sent, Store, StoreError};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// The content that a restart has to find: the state, the change ids of the history in order, the last-known list, and
/// the requests that may have been executed.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Durable {
    pub state: State,
    pub history: Vec<String>,
    pub known: KnownList,
    pub may_have_run: BTreeSet<String>,
}

/// Returns the durable content of an open store.
pub fn durable(store: &Store) -> Result<Durable, String> {
    let text = |error: StoreError| error.to_string();
    let history = store.history(u64::MAX, usize::MAX).map_err(text)?;
    let unfinished = store.unfinished().map_err(text)?;
    Ok(Durable {
        state: store.state().clone(),
        history: history.into_iter().rev().map(|entry| entry.change.id).collect(),
        known: store.known().clone(),
        may_have_run: unfinished.into_iter().map(|(_, sent)| sent.request).collect(),
    })
}

/// Returns a random change that is likely to be valid.
fn draw_change(random: &mut Rand64, number: u64) -> Change {
    let name = |random: &mut Rand64| format!("n{}", random.rand_range(0..6));
    let endpoint = |random: &mut Rand64| {
        format!("127.0.0.1:{}", 9000 + random.rand_range(0..8)).parse().expect("a valid address")
    };
    let action = match random.rand_range(0..8) {
        0..=2 => Action::AddNode {
            name: name(random),
            endpoint: endpoint(random),
            zone: String::new(),
            group: 0,
            size: 1.0,
            warm: false,
        },
        3 | 4 => Action::DrainNode { name: name(random) },
        5 => Action::RemoveNode { name: name(random) },
        6 => {
            let mut nodes = BTreeMap::new();
            for _ in 0..random.rand_range(1..40) {
                let name = format!("m{}", random.rand_range(0..60));
                let endpoint = endpoint(random);
                nodes.insert(
                    name.clone(),
                    NewNode { name, endpoint, zone: String::new(), group: 0, size: 1.0 },
                );
            }
            Action::ImportNodes { nodes: nodes.into_values().collect() }
        }
        _ => Action::SetPlan {
            studio: random.rand_range(0..4),
            plan: (random.rand_range(0..3) > 0).then(|| "gold".to_string()),
        },
    };
    Change {
        id: format!("c{number}"),
        who: "seed".into(),
        at_ms: random.rand_range(0..1000),
        seen: None,
        action,
    }
}

/// Returns a random last-known list. All rows of a list share one random listing time, so that two lists rarely have a
/// row in common.
fn draw_last_known(random: &mut Rand64) -> KnownList {
    let last_listed_ms = random.rand_range(0..1_000_000);
    let node = |random: &mut Rand64| KnownNode {
        endpoint: format!("127.0.0.1:{}", 9000 + random.rand_range(0..8)).parse().expect("a valid address"),
        zone: String::new(),
        group: 0,
        size: 1.0,
        started_ms: last_listed_ms as f64,
        draining: random.rand_range(0..3) == 0,
        last_listed_ms,
    };
    let count = random.rand_range(0..30);
    (0..count).map(|_| (format!("k{}", random.rand_range(0..40)), node(random))).collect()
}

/// Returns a random batch: up to three changes, sometimes the first one repeated, and requests that start and end.
pub fn draw_batch(random: &mut Rand64, number: &mut u64, in_flight: &BTreeSet<String>) -> Batch {
    let mut batch = Batch::default();
    for _ in 0..random.rand_range(0..4) {
        *number += 1;
        batch.changes.push(draw_change(random, *number));
        if random.rand_range(0..5) == 0 {
            batch.changes.push(batch.changes[0].clone());
        }
    }
    for _ in 0..random.rand_range(0..3) {
        *number += 1;
        batch.sending.push(Sent {
            request: format!("r{number}"),
            class: "job-submit".into(),
            studio: 1,
            node: "n1".into(),
            at_ms: 0,
        });
    }
    if random.rand_range(0..3) == 0 {
        batch.known = Some(draw_last_known(random));
    }
    batch.ended = in_flight.iter().filter(|_| random.rand_range(0..2) == 0).cloned().collect();
    batch
}

/// Returns the durable content that the model expects after a batch.
pub fn after(old: &Durable, batch: &Batch) -> Durable {
    let mut new = old.clone();
    for change in &batch.changes {
        if new.history.contains(&change.id) {
            continue;
        }
        if let Ok(next) = new.state.after(change) {
            new.state = next;
            new.history.push(change.id.clone());
        }
    }
    if let Some(known) = &batch.known {
        new.known.clone_from(known);
    }
    new.may_have_run.extend(batch.sending.iter().map(|sent| sent.request.clone()));
    new.may_have_run.retain(|request| !batch.ended.contains(request));
    new
}
