//! Compares the log's file format with committed fixtures: a file of an earlier version reads to the expected content,
//! and the same writes produce the same rows.

use crate::fixture::{Folder, GOLDEN};
use brassport_state::log::{Image, LogStore, Write};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::fmt::Write as _;
use std::fs;
use std::path::Path;

const LOG: &str = "log.redb";

/// Writes that cover a snapshot, new entries, replaced entries, votes and a compacting snapshot.
fn writes() -> Vec<Write> {
    let entry = |index: u64| (index, vec![index as u8, 0, 0xff, b'e']);
    vec![
        Write { snapshot: Some(b"snapshot one\0".to_vec()), ..Write::default() },
        Write { entries: (2..8).map(entry).collect(), votes: Some(vec![1, 0, 255]), ..Write::default() },
        Write { entries: vec![(6, b"another leader's".to_vec()), (7, Vec::new())], ..Write::default() },
        Write { compact: Some((4, b"snapshot two".to_vec())), votes: Some(vec![2; 40]), ..Write::default() },
    ]
}

fn expected_image() -> Image {
    Image {
        votes: Some(vec![2; 40]),
        snapshot: Some(b"snapshot two".to_vec()),
        entries: vec![
            (4, vec![4, 0, 0xff, b'e']),
            (5, vec![5, 0, 0xff, b'e']),
            (6, b"another leader's".to_vec()),
            (7, Vec::new()),
        ],
    }
}

fn write_log(folder: &Folder) {
    let files = folder.directory();
    LogStore::create(&files, LOG).expect("the log can be created");
    let (mut log, image) = LogStore::open(&files, LOG).expect("the log opens");
    assert_eq!(image, Image::default());
    for write in writes() {
        log.write(&write).expect("the write succeeds");
    }
}

/// Returns all rows of a log file as text, with the values in hexadecimal.
fn log_rows(file: &Path) -> String {
    let database = Database::open(file).expect("redb opens the file");
    let transaction = database.begin_read().expect("the file can be read");
    let hexadecimal = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let mut text = String::new();
    let facts = TableDefinition::<&str, &[u8]>::new("facts");
    for row in transaction.open_table(facts).expect("the table exists").iter().expect("the rows can be read")
    {
        let (key, value) = row.expect("the row can be read");
        writeln!(text, "facts {}: {}", key.value(), hexadecimal(value.value()))
            .expect("writing to a string succeeds");
    }
    let entries = TableDefinition::<u64, &[u8]>::new("entries");
    for row in
        transaction.open_table(entries).expect("the table exists").iter().expect("the rows can be read")
    {
        let (key, value) = row.expect("the row can be read");
        writeln!(text, "entries {}: {}", key.value(), hexadecimal(value.value()))
            .expect("writing to a string succeeds");
    }
    text
}

#[test]
fn a_committed_log_has_its_rows_and_opens_to_what_was_written() {
    let written = Folder::new("log-made");
    write_log(&written);
    let committed = GOLDEN.bytes(LOG, &fs::read(written.0.join(LOG)).expect("the log was written"));
    let folder = Folder::new("log-committed");
    fs::write(folder.0.join(LOG), committed).expect("the fixture can be copied");
    assert_eq!(log_rows(&folder.0.join(LOG)), log_rows(&written.0.join(LOG)));
    let (_, image) = LogStore::open(&folder.directory(), LOG).expect("the log opens");
    assert_eq!(image, expected_image());
}

#[test]
fn a_log_that_is_written_afresh_has_the_committed_rows() {
    let folder = Folder::new("log-rows");
    write_log(&folder);
    GOLDEN.same_text("log.txt", &log_rows(&folder.0.join(LOG)));
}
