//! Stand-ins of the review: gateway processes with their settings, backends, clients, an operator and slow links, and
//! the scenarios of the cases. `review-standin CASE FOLDER` plays one case and writes `record.txt` into the folder.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod backend;
mod client;
mod http;
mod late_beat;
mod link;
mod record;
mod silent_answer;
mod site;
mod unknown_signoff;

use record::Record;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Kept,
    /// The rule was broken.
    Broken,
}

/// A reason why a case could not run.
pub type Failure = String;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, disruption: {is_troubled}"));
    let played = catch_unwind(AssertUnwindSafe(|| play(case, &record, is_troubled)));
    site::end_all();
    let result = played.unwrap_or_else(|_| Err("the scenario panicked".to_owned()));
    match result {
        Ok(Verdict::Kept) => {
            record.line("verdict: the rule held".to_owned());
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken".to_owned());
            ExitCode::from(1)
        }
        Err(failure) => {
            record.line(format!("verdict: the case could not run: {failure}"));
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, record: &Arc<Record>, is_troubled: bool) -> Result<Verdict, Failure> {
    match case {
        "late-beat" => late_beat::play(record, is_troubled),
        "silent-answer" => silent_answer::play(record, is_troubled),
        "unknown-signoff" => unknown_signoff::play(record, is_troubled),
        other => Err(format!("there is no case {other}")),
    }
}
