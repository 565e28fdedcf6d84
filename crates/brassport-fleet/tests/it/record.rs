//! Reading of records that were truncated, altered or written by a newer program.

use brassport_fleet::record::{by_process, read, At, Chain, Event, Fault};
use brassport_fleet::shared::hexadecimal;
use proptest::prelude::*;
use sha2::{Digest as _, Sha256};

fn digest(text: &str) -> String {
    hexadecimal(&Sha256::digest(text.as_bytes()))
}

fn at(steady_ms: u64) -> At {
    At { process: 7, steady_ms, wall_ms: 1_000 + steady_ms }
}

/// The text of a record with `count` lines.
fn written(count: u64) -> String {
    let mut chain = Chain::default();
    let began = Event::Began { door: "d".into(), program: "0".into() };
    let rest = (1..count).map(|n| Event::WentOn { from_admission: n });
    std::iter::once(began).chain(rest).enumerate().map(|(n, event)| chain.add(at(n as u64), event)).collect()
}

proptest! {
    #[test]
    fn a_truncated_record_keeps_its_complete_lines_and_can_be_continued(count in 1u64..12, fraction in 0.0..1.0f64) {
        let text = written(count);
        let cut = (fraction * text.len() as f64) as usize;
        let (lines, fault, valid_bytes, chain) = read(&text[..cut]);
        let complete = text[..cut].matches('\n').count();
        prop_assert_eq!(lines.len(), complete);
        prop_assert_eq!(fault.is_none(), valid_bytes == cut);
        // The record is valid again after the truncated line is removed and another line is appended.
        let mut chain = chain;
        let more = chain.add(at(99), Event::WentOn { from_admission: 99 });
        let repaired = text[..valid_bytes].to_string() + &more;
        prop_assert!(read(&repaired).1.is_none());
    }

    #[test]
    fn a_flipped_bit_is_detected(count in 2u64..12, fraction in 0.0..1.0f64, bit in 0u8..7) {
        let text = written(count);
        let mut bytes = text.clone().into_bytes();
        let offset = (fraction * bytes.len() as f64) as usize;
        bytes[offset] ^= 1 << bit;
        let Ok(flipped) = String::from_utf8(bytes) else { return Ok(()) };
        let (lines, fault, ..) = read(&flipped);
        let last = text.trim_end().rfind('\n').map_or(0, |end| end + 1);
        // A flipped bit in the last line may go undetected, because no later line has its digest.
        if offset < last {
            prop_assert!(fault.is_some(), "no fault is detected, {} lines of {} are valid", lines.len(), count);
        }
    }
}

#[test]
fn a_line_of_a_newer_program_is_kept_in_the_chain() {
    let mut chain = Chain::default();
    let first = chain.add(at(1), Event::WentOn { from_admission: 1 });
    let newer = format!(
        "{{\"number\":1,\"before\":\"{}\",\"process\":7,\"steady_ms\":2,\"wall_ms\":3,\"what\":\"dreamt\",\"of\":[1]}}\n",
        digest(first.trim_end())
    );
    let (lines, fault, ..) = read(&(first + &newer));
    assert_eq!((lines.len(), fault), (2, None));
    assert_eq!(lines[1].what, Event::Unknown);
}

#[test]
fn lines_are_split_by_process() {
    let mut chain = Chain::default();
    let mut line = |process| chain.add(At { process, ..at(1) }, Event::WentOn { from_admission: 1 });
    let (a, b, c) = (line(1), line(1), line(2));
    let text = a.clone() + &b + &c;
    assert_eq!(by_process(&text[..]), [(1, &*(a + &b)), (2, &*c)]);
    assert_eq!(by_process(&text[..text.len() - 1]).len(), 1);
}

#[test]
fn a_removed_line_is_detected_with_its_number() {
    let text = written(5);
    let without: String =
        text.split_inclusive('\n').enumerate().filter(|(n, _)| *n != 2).map(|(_, l)| l).collect();
    assert_eq!(read(&without).1, Some(Fault::Unlinked { line: 3 }));
}
