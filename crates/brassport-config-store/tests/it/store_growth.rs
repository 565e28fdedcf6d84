//! A store stays bounded, and how long it takes to open does not grow with the number of changes.
//! `CONFIG_STORE_CHANGES=10000` plays more.

use crate::harness::single_voter::{body, Alone};
use brassport_config_store::consensus::{
    Action, ChangeScope, Command, ConfigurationRequest, DiskId, DurableState, Record, ReplicatedState, Term,
};
use brassport_config_store::store::Store;
use std::path::Path;
use std::time::Instant;

/// What a folder holds after so many changes: bytes in its files, milliseconds to open it again, and the version found.
fn after(changes: u32, folder: &Path) -> (u64, f64, u32) {
    let (mut store, _) = Store::open(folder, DiskId(7)).expect("the store opens");
    let mut alone = Alone::new();
    let state = ReplicatedState::clone(alone.replica.state());
    let whole = Record::Snapshot(DurableState { promised: Term::new(1, DiskId(7)), state, accepted: None });
    store.append(&whole).expect("it is kept");
    for version in 1..=changes {
        let command = Command::Configure(ConfigurationRequest {
            scope: ChangeScope::Full,
            base_version: version - 1,
            body: body(version, &"n".repeat(2_000)),
        });
        let mut actions = alone.replica.submit(alone.now, u64::from(version), command);
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            if let Action::Persist(number, record) = action {
                store.append(&record).expect("it is kept");
                actions.extend(alone.replica.on_persisted(alone.now, number, true));
            }
        }
    }
    drop(store);
    let files = std::fs::read_dir(folder).expect("the folder").map(|file| file.expect("a file"));
    let bytes = files.map(|file| file.metadata().expect("its size").len()).sum();
    let since = Instant::now();
    let (_, found) = Store::open(folder, DiskId(7)).expect("it opens again");
    let took = since.elapsed().as_secs_f64() * 1_000.0;
    // The last change is accepted; that it is chosen would be told by the next.
    let version = found.state.version() + u32::from(found.accepted.is_some());
    (bytes, took, version)
}

#[test]
fn the_size_of_a_store_does_not_grow_with_the_number_of_changes() {
    let many = std::env::var("CONFIG_STORE_CHANGES").ok().and_then(|text| text.parse().ok()).unwrap_or(1_500);
    let measured: Vec<(u32, u64, f64)> = [10, 600, many]
        .into_iter()
        .map(|changes| {
            let folder = std::env::temp_dir().join(format!("store-growth-{}-{changes}", std::process::id()));
            let _ = std::fs::remove_dir_all(&folder);
            std::fs::create_dir_all(&folder).expect("a folder");
            let (bytes, took, version) = after(changes, &folder);
            let _ = std::fs::remove_dir_all(&folder);
            println!("{changes} changes of 2 KB: {bytes} bytes, opened in {took:.1} ms");
            assert_eq!(version, changes);
            (changes, bytes, took)
        })
        .collect();
    let (_, some, _) = measured[1];
    let (_, most, _) = measured[2];
    assert!(most <= some + some / 4, "{some} bytes after 600 changes, {most} after {many}");
}
