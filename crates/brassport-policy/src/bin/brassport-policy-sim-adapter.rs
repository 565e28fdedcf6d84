//! Adapter that connects the decision module to the simulator: reads event frames from standard input and
//! writes action frames to standard output, with one [`Gateway`] per instance.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

use brassport_policy::wire::{Batch, Reply, WireError, WireEvent};
use brassport_policy::{Action, Gateway};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("brassport-policy-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to each batch of events until the end of the input.
fn serve() -> Result<(), WireError> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut gateways = BTreeMap::new();
    while let Some(batch) = Batch::read(&mut input)? {
        let mut reply = Reply::default();
        for index in 0..batch.count {
            let (instance, event) = batch.event(index)?;
            deliver(&mut gateways, batch.clock, instance, event, &mut reply)?;
        }
        output.write_all(&reply.into_bytes()).and_then(|()| output.flush()).map_err(WireError::Io)?;
    }
    Ok(())
}

/// Handles one event of an instance, and adds the resulting actions to the reply.
fn deliver(
    gateways: &mut BTreeMap<u16, Gateway>,
    clock: f64,
    instance: u16,
    event: WireEvent,
    reply: &mut Reply,
) -> Result<(), WireError> {
    match event {
        WireEvent::Start { seed, settings } => {
            let gateway = Gateway::new(*settings, seed, clock);
            gateways.insert(instance, gateway.map_err(|error| WireError::Malformed(error.to_string()))?);
        }
        WireEvent::Kill => drop(gateways.remove(&instance)),
        WireEvent::Unused => {}
        WireEvent::Event(event) => {
            let Some(gateway) = gateways.get_mut(&instance) else {
                let text = format!("event for instance {instance}, which is not running");
                return Err(WireError::Malformed(text));
            };
            let mut actions: Vec<Action> = Vec::new();
            let handled =
                panic::catch_unwind(AssertUnwindSafe(|| gateway.handle(clock, event, &mut actions)));
            match handled {
                Ok(()) => actions.iter().for_each(|action| reply.push(instance, action)),
                Err(cause) => {
                    // The state may be inconsistent after a panic, so the instance is removed.
                    gateways.remove(&instance);
                    reply.push_panic(instance, panic_message(&*cause));
                }
            }
        }
    }
    Ok(())
}

/// Returns the text of a panic payload.
fn panic_message(cause: &(dyn Any + Send)) -> &str {
    let text = cause.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| cause.downcast_ref::<&str>().copied());
    text.unwrap_or("the decision module panicked")
}
