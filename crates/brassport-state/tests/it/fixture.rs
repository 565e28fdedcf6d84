//! Comparison with the committed fixtures in `tests/golden/`.
//!
//! They are written only with `GOLDEN_WRITE=1`, and the test that writes one fails.

use brassport_golden::Fixtures;
use brassport_state::files::Directory;
use std::fs;
use std::path::PathBuf;

pub const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));

/// A folder of its own for one test, gone at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("brassport-state-golden-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    pub fn directory(&self) -> Directory {
        Directory::open(&self.0).expect("it is there")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
