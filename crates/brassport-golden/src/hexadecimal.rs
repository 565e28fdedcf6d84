//! Bytes as text.

/// Two hexadecimal digits for each byte.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes that [`hex`] wrote.
///
/// # Panics
/// The text has other characters than hexadecimal digits, or an odd number of them.
pub fn unhex(text: &str) -> Vec<u8> {
    let digits = (0..text.len()).step_by(2);
    digits.map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("two hexadecimal digits")).collect()
}
