//! Compares serialized forms with committed fixtures: changes, versions and their digests, grants, lines of a record, audits
//! and messages.
//!
//! The fixtures are in `tests/golden/`. They are written only with `GOLDEN_WRITE=1`, and the test that writes one fails.

mod audit;
mod grants;
mod messages;
mod older;
mod record;
mod shared;

use brassport_golden::Fixtures;

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));
