//! The small-site appliance: the front door of the crate `brassport`, under the same decision module and the same
//! rules, with a state directory instead of a platform.
#![forbid(unsafe_code)]

mod board;
mod client;
mod command;
mod console;
mod control;
mod keeper;
mod last_known;
mod looker;
mod place;
mod protocol;
mod run;
mod serve;
mod site;
mod sources;
mod trial;

use clap::Parser;
use protocol::Problem;
use std::process::ExitCode;

/// Why a command did not do what it was asked, with the program's exit code.
#[derive(Debug)]
pub struct Failure {
    exit: u8,
    problem: Problem,
}

impl Failure {
    fn failed(message: String) -> Failure {
        Failure { exit: 1, problem: Problem::new("failed", message) }
    }

    fn not_running(place: &place::Place) -> Failure {
        let message = format!("no appliance runs on {}; start it with `run`", place.path.display());
        Failure { exit: 3, problem: Problem::new("not_running", message) }
    }

    fn held(message: String) -> Failure {
        Failure { exit: 6, problem: Problem::new("in_use", message) }
    }

    fn of(problem: &Problem) -> Failure {
        let exit = match problem.code.as_str() {
            "invalid" | "exists" | "no_such_node" | "conflict" | "id_used" => 4,
            "missing" | "damaged" | "newer" => 5,
            "in_use" => 6,
            "rule_broken" => 7,
            _ => 1,
        };
        Failure { exit, problem: problem.clone() }
    }
}

fn main() -> ExitCode {
    let line = command::Line::parse();
    let json = line.json;
    match command::carry_out(line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            if json {
                eprintln!("{}", serde_json::json!({ "error": failure.problem }));
            } else {
                eprintln!("brassport: {}", failure.problem.message);
            }
            ExitCode::from(failure.exit)
        }
    }
}
