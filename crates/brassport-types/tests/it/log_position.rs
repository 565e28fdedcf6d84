//! Tests of terms and log indexes.

use crate::cbor;
use brassport_types::{DiskId, LogIndex, Term};

#[test]
fn a_term_is_encoded_as_an_array_of_number_and_disk() {
    let term = Term::new(3, DiskId(900));
    assert_eq!(cbor(&term), cbor(&(3_u64, 900_u64)));
    assert_eq!(
        ciborium::from_reader::<Term, _>(&cbor(&(3_u64, 900_u64))[..])
            .expect("the array can be decoded as a term"),
        term
    );
}

#[test]
fn terms_are_ordered_by_number_and_then_by_disk() {
    assert!(Term::new(2, DiskId(1)) > Term::new(1, DiskId(9)));
    assert!(Term::new(2, DiskId(9)) > Term::new(2, DiskId(1)));
    assert!(Term::ZERO < Term::new(0, DiskId(1)));
}

#[test]
fn an_index_is_encoded_as_a_plain_number() {
    assert_eq!(cbor(&LogIndex(64)), cbor(&64_u64));
}

#[test]
fn the_distance_between_indexes_never_goes_below_zero() {
    assert_eq!(LogIndex(7).saturating_sub(LogIndex(3)), 4);
    assert_eq!(LogIndex(3).saturating_sub(LogIndex(7)), 0);
    assert_eq!(LogIndex(7) - LogIndex(3), 4);
}
