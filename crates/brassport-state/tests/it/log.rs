//! Tests of the replicated log's file, also after power failures.

use crate::campaign::FILE;
use crate::disk::{Disk, Fault};
use brassport_state::log::{Image, LogStore, Write};

/// An entry of 40 equal bytes.
fn entry(index: u64, byte: u8) -> (u64, Vec<u8>) {
    (index, vec![byte; 40])
}

/// Applies a write to the expected content of the log.
fn apply(write: &Write, image: &mut Image) {
    if let Some(snapshot) = &write.snapshot {
        image.entries.clear();
        image.snapshot = Some(snapshot.clone());
    }
    if let Some((first, _)) = write.entries.first() {
        image.entries.retain(|(index, _)| index < first);
    }
    image.entries.extend(write.entries.iter().cloned());
    image.votes = write.votes.clone().or(image.votes.take());
    if let Some((below, snapshot)) = &write.compact {
        image.entries.retain(|(index, _)| index >= below);
        image.snapshot = Some(snapshot.clone());
    }
}

fn writes() -> Vec<Write> {
    let entries = |range: std::ops::Range<u64>, byte| range.map(|index| entry(index, byte)).collect();
    vec![
        Write { votes: Some(b"term 1".to_vec()), ..Write::default() },
        Write { entries: entries(1..5, 1), votes: Some(b"term 1, 4".to_vec()), ..Write::default() },
        // Entries of another leader that replace entries 3 and 4.
        Write { entries: entries(3..9, 2), votes: Some(b"term 2".to_vec()), ..Write::default() },
        Write { compact: Some((6, b"up to 5".to_vec())), ..Write::default() },
        Write { snapshot: Some(b"up to 20".to_vec()), ..Write::default() },
        Write { entries: entries(21..23, 3), ..Write::default() },
    ]
}

#[test]
fn a_log_is_read_as_it_was_written() {
    let disk = Disk::default();
    LogStore::create(&disk, FILE).expect("the log can be created");
    let mut expected = Image::default();
    for write in writes() {
        let (mut log, image) = LogStore::open(&disk, FILE).expect("the log opens");
        assert_eq!(image, expected);
        log.write(&write).expect("the write succeeds");
        apply(&write, &mut expected);
    }
    assert_eq!(LogStore::open(&disk, FILE).expect("the log opens").1, expected);
    assert_eq!(expected.entries.len(), 2);
}

#[test]
fn a_power_cut_at_any_operation_leaves_the_log_as_before_a_write_or_as_after_it() {
    let (mut unchanged, mut written_fully) = (0, 0);
    for position in 0..writes().len() {
        let start = Disk::default();
        LogStore::create(&start, FILE).expect("the log can be created");
        let (mut old, writes) = (Image::default(), writes());
        for write in &writes[..position] {
            LogStore::open(&start, FILE).expect("the log opens").0.write(write).expect("the write succeeds");
            apply(write, &mut old);
        }
        let mut new = old.clone();
        apply(&writes[position], &mut new);
        for at in 0.. {
            let disk = start.copy();
            let (mut log, _) = LogStore::open(&disk, FILE).expect("the log opens");
            disk.schedule_fault(disk.operations() + at, Fault::PowerCut);
            let written = log.write(&writes[position]).is_ok();
            drop(log);
            let restarted = disk.after_power_cut(&mut oorandom::Rand64::new(u128::from(at)));
            let image = LogStore::open(&restarted, FILE).expect("the log opens after a power cut").1;
            assert!(
                image == new || image == old && !written,
                "write {position}, cut at operation {at}: {image:?}"
            );
            (unchanged, written_fully) =
                (unchanged + u32::from(image == old), written_fully + u32::from(image == new));
            if written {
                break;
            }
        }
    }
    println!("power cuts that left the log as before the write: {unchanged}, as after it: {written_fully}");
    assert!(unchanged > 20 && written_fully >= 6);
}
