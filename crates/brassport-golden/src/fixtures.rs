//! A package's committed fixtures.

use crate::JsonCase;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::Path;

/// The variable that lets fixtures be written, where it is `1`.
const WRITE: &str = "GOLDEN_WRITE";

/// The fixtures of one package, in its folder `tests/golden`.
#[derive(Debug, Clone, Copy)]
pub struct Fixtures {
    package: &'static str,
}

impl Fixtures {
    /// Those of the package in this folder: `env!("CARGO_MANIFEST_DIR")` in its tests.
    pub const fn of(package: &'static str) -> Fixtures {
        Fixtures { package }
    }

    /// The committed bytes of a fixture.
    ///
    /// # Panics
    /// The fixture is missing; or `GOLDEN_WRITE` is `1`, and `made` was written in its place.
    pub fn bytes(&self, name: &str, made: &[u8]) -> Vec<u8> {
        let file = Path::new(self.package).join("tests/golden").join(name);
        if std::env::var_os(WRITE).is_some_and(|value| value == "1") {
            fs::create_dir_all(file.parent().expect("it lies in a folder")).expect("the folder is made");
            fs::write(&file, made).expect("the fixture is written");
            panic!("wrote {}: look at it, commit it, and run without {WRITE}", file.display());
        }
        fs::read(&file).unwrap_or_else(|error| panic!("{}: {error}", file.display()))
    }

    /// Compares text with its fixture line by line, so that the first line that differs is named. Returns the fixture.
    ///
    /// # Panics
    /// The text differs, or as [`bytes`](Fixtures::bytes).
    pub fn same_text(&self, name: &str, made: &str) -> String {
        let committed = String::from_utf8(self.bytes(name, made.as_bytes())).expect("the fixture is text");
        for (number, (made, committed)) in made.lines().zip(committed.lines()).enumerate() {
            assert_eq!(made, committed, "{name}, line {}", number + 1);
        }
        assert_eq!(made, committed, "{name}");
        committed
    }

    /// Compares all cases with a fixture of lines `name: text`, then decodes and encodes what the fixture holds.
    ///
    /// # Panics
    /// A case differs, or as [`bytes`](Fixtures::bytes).
    pub fn same_cases(&self, name: &str, cases: &[JsonCase]) {
        let made: String = cases.iter().map(|case| format!("{}: {}\n", case.name, case.text)).collect();
        let committed = self.same_text(name, &made);
        for (line, case) in committed.lines().zip(cases) {
            let text = line.strip_prefix(&format!("{}: ", case.name)).expect("the line has its name");
            assert_eq!((case.again)(text), text, "{}", case.name);
        }
    }

    /// Compares named texts with the fixture `name.txt`, a line each; line ends and backslashes are escaped.
    ///
    /// # Panics
    /// A text differs, two cases share a name, a name has a colon, or as [`bytes`](Fixtures::bytes).
    pub fn same_lines(&self, name: &str, cases: &[(String, String)]) {
        let names: BTreeSet<&str> = cases.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(names.len(), cases.len(), "two cases of {name} have the same name");
        let mut made = String::new();
        for (case, value) in cases {
            assert!(!case.contains(':') && !case.contains('\n'), "{case:?} is no name of a case");
            let value = value.replace('\\', "\\\\").replace('\n', "\\n").replace('\r', "\\r");
            let _ = writeln!(made, "{case}: {value}");
        }
        self.same_text(&format!("{name}.txt"), &made);
    }
}
