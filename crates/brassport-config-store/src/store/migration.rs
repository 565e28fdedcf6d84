//! Migration of files of format 1, in which requests were identified by digests of 64 bits.
//!
//! These digests don't identify requests any more. The requests are marked as forgotten, so that a repeated request is
//! answered with an unknown outcome instead of a wrong one.

use super::rows::{DecodeError, Rows};
use crate::consensus::ShortDigestState;

/// The format in which requests were identified by digests of 64 bits.
pub(super) const SHORT_DIGEST_FORMAT: u32 = 1;

/// Reads the state from a file of format 1, if it has one.
pub(super) fn read_short_digest_state(rows: &Rows<'_>) -> Result<Option<ShortDigestState>, DecodeError> {
    rows.state()
}
