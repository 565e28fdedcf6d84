//! Tests of the shared identifiers: ordering, arithmetic and wire encoding.

mod ids;
mod log_position;

/// Returns the wire encoding of a value.
fn cbor(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to a vector does not fail");
    bytes
}
