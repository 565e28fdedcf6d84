//! The size of a store is bounded, whatever the number of changes. Prints also the time to open the store.
//! `CONFIG_STORE_CHANGES` sets the largest number of changes (1,500 by default, for example 10,000 for a long run).

use crate::harness::single_voter::{body, SingleVoter};
use brassport_config_store::consensus::{
    Action, ChangeScope, Command, ConfigurationRequest, DiskId, DurableState, Record, ReplicatedState, Term,
};
use brassport_config_store::store::Store;
use std::path::Path;
use std::time::Instant;

/// Appends this many changes to a new store. Returns the total size of its files in bytes, the milliseconds to open it
/// again, and the recovered version.
fn store_after(changes: u32, folder: &Path) -> (u64, f64, u32) {
    let (mut store, _) = Store::open(folder, DiskId(7)).expect("the store opens");
    let mut voter = SingleVoter::new();
    let state = ReplicatedState::clone(voter.replica.state());
    let snapshot =
        Record::Snapshot(DurableState { promised: Term::new(1, DiskId(7)), state, accepted: None });
    store.append(&snapshot).expect("the record is stored");
    for version in 1..=changes {
        let command = Command::Configure(ConfigurationRequest {
            scope: ChangeScope::Full,
            base_version: version - 1,
            body: body(version, &"n".repeat(2_000)),
        });
        let mut actions = voter.replica.submit(voter.now, u64::from(version), command);
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            if let Action::Persist(number, record) = action {
                store.append(&record).expect("the record is stored");
                actions.extend(voter.replica.on_persisted(voter.now, number, true));
            }
        }
    }
    drop(store);
    let files = std::fs::read_dir(folder)
        .expect("the folder can be read")
        .map(|file| file.expect("the file can be listed"));
    let bytes = files.map(|file| file.metadata().expect("the file has a size").len()).sum();
    let since = Instant::now();
    let (_, found) = Store::open(folder, DiskId(7)).expect("the store opens again");
    let open_ms = since.elapsed().as_secs_f64() * 1_000.0;
    // The last change is stored as accepted: its commit would be shown by the next record.
    let version = found.state.version() + u32::from(found.accepted.is_some());
    (bytes, open_ms, version)
}

#[test]
fn the_size_of_a_store_does_not_grow_with_the_number_of_changes() {
    let largest =
        std::env::var("CONFIG_STORE_CHANGES").ok().and_then(|text| text.parse().ok()).unwrap_or(1_500);
    let measured: Vec<(u32, u64, f64)> = [10, 600, largest]
        .into_iter()
        .map(|changes| {
            let folder = std::env::temp_dir().join(format!("store-growth-{}-{changes}", std::process::id()));
            let _ = std::fs::remove_dir_all(&folder);
            std::fs::create_dir_all(&folder).expect("the folder can be created");
            let (bytes, open_ms, version) = store_after(changes, &folder);
            let _ = std::fs::remove_dir_all(&folder);
            println!("{changes} changes of 2 KB: {bytes} bytes, opened in {open_ms:.1} ms");
            assert_eq!(version, changes);
            (changes, bytes, open_ms)
        })
        .collect();
    let (_, bytes_at_600, _) = measured[1];
    let (_, bytes_at_largest, _) = measured[2];
    assert!(
        bytes_at_largest <= bytes_at_600 + bytes_at_600 / 4,
        "{bytes_at_600} bytes after 600 changes, {bytes_at_largest} after {largest}"
    );
}
