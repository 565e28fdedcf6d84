//! The gateway: one program with verbs.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    // Guards against requests stranded by a task that is no more: a broken invariant ends the process.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    brassport_gateway::command::main(std::env::args().skip(1).collect())
}
