//! Bytes as text, for golden fixtures.

/// Two hexadecimal digits for each byte.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
