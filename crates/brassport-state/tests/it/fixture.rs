//! Comparison with the committed fixtures in `tests/golden/`.
//!
//! Fixtures are written only with `GOLDEN_WRITE=1`, and a test that writes one fails.

use brassport_golden::Fixtures;
use brassport_state::files::Directory;
use std::fs;
use std::path::PathBuf;

pub const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));

/// A temporary folder for a single test, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("brassport-state-golden-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder can be created");
        Folder(path)
    }

    pub fn directory(&self) -> Directory {
        Directory::open(&self.0).expect("the folder exists")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
