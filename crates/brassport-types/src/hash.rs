//! A hash function whose results are equal on all machines and in all versions of the programs.

/// Returns the 32-bit FNV-1a hash (Fowler, Noll and Vo) of a text. Not for untrusted input whose collisions
/// would be harmful.
pub fn fnv1a_32(text: &str) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}
