//! The program `brassport-gateway`; all of it is in the library.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::process::ExitCode;

fn main() -> ExitCode {
    // Guards against requests stranded by a task that has panicked: a broken invariant ends the process.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    brassport_gateway::command::main(&arguments)
}
