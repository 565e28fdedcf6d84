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

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::fs;
use std::path::Path;

/// The committed bytes of a fixture; with `GOLDEN_WRITE=1` they become `made`, and the test fails.
fn fixture(name: &str, made: &[u8]) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("GOLDEN_WRITE").is_some_and(|value| value == "1") {
        fs::create_dir_all(path.parent().expect("it lies in a folder")).expect("the folder is made");
        fs::write(&path, made).expect("the fixture is written");
        panic!("wrote {}: look at it, commit it, and run without GOLDEN_WRITE", path.display());
    }
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Compares text with its fixture line by line, so that the first line that differs is named.
fn same_text(name: &str, made: &str) -> String {
    let committed = String::from_utf8(fixture(name, made.as_bytes())).expect("the fixture is text");
    for (number, (made, committed)) in made.lines().zip(committed.lines()).enumerate() {
        assert_eq!(made, committed, "{name}, line {}", number + 1);
    }
    assert_eq!(made, committed, "{name}");
    committed
}

/// One value in its form in JSON.
struct Case {
    name: String,
    text: String,
    /// Reads a text, which has to give the value, and encodes what was read.
    again: Box<dyn Fn(&str) -> String>,
}

fn json<T: Serialize + DeserializeOwned + PartialEq + Debug + 'static>(name: &str, value: T) -> Case {
    let encode = |value: &T| serde_json::to_string(value).expect("plain data has a form in JSON");
    let text = encode(&value);
    let again = move |text: &str| {
        let read: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"));
        assert_eq!(read, value);
        encode(&read)
    };
    Case { name: name.into(), text, again: Box::new(again) }
}

/// Compares all cases with a fixture of lines `name: text`, then reads and encodes what the fixture holds.
fn same_cases(name: &str, cases: &[Case]) {
    let made: String = cases.iter().map(|case| format!("{}: {}\n", case.name, case.text)).collect();
    let committed = same_text(name, &made);
    for (line, case) in committed.lines().zip(cases) {
        let text = line.strip_prefix(&format!("{}: ", case.name)).expect("the line has its name");
        assert_eq!((case.again)(text), text, "{}", case.name);
    }
}
