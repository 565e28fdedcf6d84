//! A replicated log's file after power cuts.

use crate::campaign::FILE;
use crate::disk::{Disk, Fault};
use brassport_state::log::{Image, LogStore, Write};

fn entry(index: u64, what: u8) -> (u64, Vec<u8>) {
    (index, vec![what; 40])
}

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
    let entries = |range: std::ops::Range<u64>, what| range.map(|index| entry(index, what)).collect();
    vec![
        Write { votes: Some(b"term 1".to_vec()), ..Write::default() },
        Write { entries: entries(1..5, 1), votes: Some(b"term 1, 4".to_vec()), ..Write::default() },
        // Another leader's entries that replace the last two.
        Write { entries: entries(3..9, 2), votes: Some(b"term 2".to_vec()), ..Write::default() },
        Write { compact: Some((6, b"up to 5".to_vec())), ..Write::default() },
        Write { snapshot: Some(b"up to 20".to_vec()), ..Write::default() },
        Write { entries: entries(21..23, 3), ..Write::default() },
    ]
}

#[test]
fn a_log_is_read_as_it_was_written() {
    let disk = Disk::default();
    LogStore::create(&disk, FILE).expect("a new log");
    let mut expected = Image::default();
    for write in writes() {
        let (mut log, image) = LogStore::open(&disk, FILE).expect("it opens");
        assert_eq!(image, expected);
        log.write(&write).expect("it is written");
        apply(&write, &mut expected);
    }
    assert_eq!(LogStore::open(&disk, FILE).expect("it opens").1, expected);
    assert_eq!(expected.entries.len(), 2);
}

#[test]
fn a_power_cut_at_any_operation_leaves_the_log_as_before_a_write_or_as_after_it() {
    let (mut before, mut after) = (0, 0);
    for position in 0..writes().len() {
        let start = Disk::default();
        LogStore::create(&start, FILE).expect("a new log");
        let (mut old, writes) = (Image::default(), writes());
        for write in &writes[..position] {
            LogStore::open(&start, FILE).expect("it opens").0.write(write).expect("it is written");
            apply(write, &mut old);
        }
        let mut new = old.clone();
        apply(&writes[position], &mut new);
        for at in 0.. {
            let disk = start.copy();
            let (mut log, _) = LogStore::open(&disk, FILE).expect("it opens");
            disk.arm(disk.operations() + at, Fault::Cut);
            let written = log.write(&writes[position]).is_ok();
            drop(log);
            let found = disk.after_power_cut(&mut oorandom::Rand64::new(u128::from(at)));
            let image = LogStore::open(&found, FILE).expect("what a cut leaves is sound").1;
            assert!(
                image == new || image == old && !written,
                "write {position}, cut at operation {at}: {image:?}"
            );
            (before, after) = (before + u32::from(image == old), after + u32::from(image == new));
            if written {
                break;
            }
        }
    }
    println!("{before} cuts left the log as before, {after} as after the write");
    assert!(before > 20 && after >= 6);
}
