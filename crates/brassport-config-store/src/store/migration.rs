//! Conversion of files of format 1, in which requests were remembered under digests of 64 bits.
//!
//! They can't be told from others any more: they are noted as forgotten, so that a request that is sent again gets no
//! clear answer rather than a wrong one.

use super::rows::{DecodeError, Rows};
use crate::consensus::ShortDigestState;

/// The format in which requests were remembered by shorter digests.
pub(super) const SHORT_DIGEST_FORMAT: u32 = 1;

/// The state of a file of format 1, if it has one.
pub(super) fn read_short_digest_state(rows: &Rows<'_>) -> Result<Option<ShortDigestState>, DecodeError> {
    rows.state()
}
