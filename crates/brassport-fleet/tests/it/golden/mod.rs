//! The bytes of what a fleet agrees on and of what its doors write down, against committed fixtures: changes, versions and
//! their digests, grants, lines of a record and audits.
//!
//! The fixtures lie in `tests/golden/`. They are written only with `GOLDEN_WRITE=1`, and the test that writes one fails.

mod audit;
mod grants;
mod messages;
mod older;
mod record;
mod shared;

use brassport_golden::Fixtures;

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));
