//! The shared identifiers: their order, and their form on the wire.

mod ids;
mod log_position;

/// The bytes of a value on the wire.
fn cbor(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("a vector takes all that is written to it");
    bytes
}
