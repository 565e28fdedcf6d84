//! Golden fixtures: one text file for a group of cases, one line `name: value` for each. They are written only when
//! GOLDEN_WRITE=1 is set, and the test fails then: an ordinary run reads and compares.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;

/// Compares cases with the fixture of this name in the package's `tests/golden`.
pub fn check(package: &str, name: &str, cases: &[(String, String)]) {
    let names: BTreeSet<&str> = cases.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names.len(), cases.len(), "two cases of {name} have the same name");
    let mut text = String::new();
    for (case, value) in cases {
        assert!(!case.contains(':') && !case.contains('\n'), "{case:?} is no name of a case");
        let value = value.replace('\\', "\\\\").replace('\n', "\\n").replace('\r', "\\r");
        let _ = writeln!(text, "{case}: {value}");
    }
    let file = Path::new(package).join("tests/golden").join(format!("{name}.txt"));
    if std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1") {
        std::fs::write(&file, text).expect("the fixture can be written");
        panic!("{}: written, as GOLDEN_WRITE=1 asks; run again without it", file.display());
    }
    let expected = std::fs::read_to_string(&file)
        .unwrap_or_else(|error| panic!("{}: the fixture is missing: {error}", file.display()));
    for (found, expected) in text.lines().zip(expected.lines()) {
        assert_eq!(found, expected, "{}: a case has changed", file.display());
    }
    assert_eq!(text, expected, "{}: the cases are others", file.display());
}
