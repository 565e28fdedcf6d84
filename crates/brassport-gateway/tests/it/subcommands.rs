//! Tests of the subcommands that take files: their exit codes, standard output and standard error are compared with the
//! fixture `files`.

use crate::common::{GOLDEN, PACKAGE, SETTINGS};
use brassport_config_store::store::FILE_NAME;
use std::path::Path;
use std::process::Command;

/// Runs a subcommand on files in `folder`, and returns the exit code, standard output and standard error, with the path
/// of the folder replaced by `FOLDER`.
fn run_on(folder: &Path, subcommand: &str, files: &[&str]) -> String {
    let files = files.iter().map(|file| folder.join(file));
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-gateway"));
    let output = command.arg(subcommand).args(files).output().expect("the gateway runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    let text = format!("code {:?}\nout {out}err {err}", output.status.code());
    text.replace(&folder.display().to_string(), "FOLDER")
}

#[test]
fn subcommands_on_files_print_the_expected_texts() {
    let folder = std::env::temp_dir().join(format!("brassport-gateway-golden-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(folder.join("data")).expect("the folder is created");
    let older = r#"{"version":"00000001","services":[{"name":"a"}],"hosts":[]}"#;
    let newer = r#"{"version":"00000002","services":[{"name":"b"}],"hosts":[]}"#;
    let files =
        [("settings.yaml", SETTINGS), ("older.json", older), ("newer.json", newer), ("bad.json", "{}")];
    for (file, text) in files {
        std::fs::write(folder.join(file), text).expect("the file is written");
    }
    let store_fixture = Path::new(PACKAGE).join("../brassport-config-store/tests/golden/store-2.sqlite");
    std::fs::copy(store_fixture, folder.join("data").join(FILE_NAME)).expect("the fixture is copied");
    let cases = [
        ("check", run_on(&folder, "check", &["settings.yaml"])),
        ("check-configuration", run_on(&folder, "check-configuration", &["older.json"])),
        ("check-configuration of a bad one", run_on(&folder, "check-configuration", &["bad.json"])),
        ("difference", run_on(&folder, "difference", &["older.json", "newer.json"])),
        ("difference of one", run_on(&folder, "difference", &["older.json"])),
        ("store", run_on(&folder, "store", &["data"])),
        ("no store", run_on(&folder, "store", &["."])),
    ];
    let _ = std::fs::remove_dir_all(&folder);
    GOLDEN.same_lines("files", &cases.map(|(name, text)| (name.to_owned(), text)));
}
