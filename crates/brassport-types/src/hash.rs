//! A hash that is the same on every machine and in every version of the programs.

/// The 32-bit FNV-1a hash of a text (Fowler, Noll and Vo). Not for untrusted input where collisions would do harm.
pub fn fnv1a_32(text: &str) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}
