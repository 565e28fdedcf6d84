//! The stand-ins and the scripts of the second review: `standin-2 CASE RECORD` plays a case, `standin-2 backend ...` is
//! one backend. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.

mod backend;
mod client;
mod http;
mod late_beat;
mod long_answer;
mod long_upload;
mod site;

use site::{Failure, Record};
use std::path::Path;
use std::process::ExitCode;

/// Whether the rule held.
type Verdict = Result<bool, Failure>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((name, rest)) = arguments.split_first() else { return usage() };
    if name == "backend" {
        return match backend::main(rest) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("standin-2 backend: {error}");
                ExitCode::from(2)
            }
        };
    }
    let Some(path) = rest.first() else { return usage() };
    // `TROUBLE=0` plays the same without the disruption.
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = Record::create(Path::new(path)).and_then(|record| {
        record.say(&format!("case {name}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
        let verdict = match name.as_str() {
            "long-upload" => long_upload::play(record.clone(), trouble),
            "late-beat" => late_beat::play(record.clone(), trouble),
            "long-answer" => long_answer::play(record.clone(), trouble),
            _ => Err("there is no such case".to_owned()),
        };
        match &verdict {
            Ok(true) => record.say("the rule held"),
            Ok(false) => record.say("THE RULE WAS BROKEN"),
            Err(error) => record.say(&format!("the case couldn't run: {error}")),
        }
        verdict
    });
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("standin-2: {error}");
            ExitCode::from(2)
        }
    }
}

fn usage() -> ExitCode {
    eprintln!("standin-2 CASE RECORD | standin-2 backend --id ID ...");
    ExitCode::from(2)
}
