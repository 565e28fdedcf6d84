//! The entry point of the `brassport-gateway` executable; everything else is in the library.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use std::process::ExitCode;

fn main() -> ExitCode {
    // Aborts the process on any panic: otherwise the requests of a panicked task would stay unanswered while the node
    // continued to run with a broken invariant.
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::abort();
    }));
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    brassport_gateway::command::main(&arguments)
}
