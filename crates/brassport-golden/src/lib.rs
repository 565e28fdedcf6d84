//! Golden fixtures for tests: what a package writes on the wire or on disk is compared with committed files, so that a
//! change of one byte is a failed test.
//!
//! A fixture lies in `tests/golden` of its package. It is written only where the environment variable `GOLDEN_WRITE` is
//! `1`, and the test that writes it fails: an ordinary run reads and compares, and a missing fixture is a failure.
//!
//! It is for tests alone; no program depends on it.
//!
//! ```no_run
//! use brassport_golden::Fixtures;
//! const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));
//! GOLDEN.same_text("greeting.txt", "hello\n");
//! ```

mod cases;
mod fixtures;
mod hexadecimal;

pub use cases::{json, json_of_incomparable, JsonCase};
pub use fixtures::Fixtures;
pub use hexadecimal::{hex, unhex};
