//! The adapter: the decision module on the simulator's wire. One [`Gateway`] an instance; it translates,
//! and decides nothing.

use brassport_policy::wire::{Batch, Reply, WireError, WireEvent};
use brassport_policy::{Action, Gateway};
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

fn deliver(
    gateways: &mut BTreeMap<u16, Gateway>,
    clock: f64,
    instance: u16,
    event: WireEvent,
    reply: &mut Reply,
) -> Result<(), WireError> {
    let mut actions: Vec<Action> = Vec::new();
    let outcome = match event {
        WireEvent::Born { seed, settings } => {
            match Gateway::new(*settings, seed, clock) {
                Ok(gateway) => gateways.insert(instance, gateway),
                Err(error) => return Err(WireError::Malformed(error.to_string())),
            };
            Ok(())
        }
        WireEvent::Detach => {
            gateways.remove(&instance);
            Ok(())
        }
        WireEvent::Unused => Ok(()),
        WireEvent::Event(event) => {
            let Some(gateway) = gateways.get_mut(&instance) else {
                return Err(WireError::Malformed(format!(
                    "event for instance {instance}, which is not running"
                )));
            };
            panic::catch_unwind(AssertUnwindSafe(|| gateway.handle(clock, event, &mut actions)))
        }
    };
    match outcome {
        Ok(()) => actions.iter().for_each(|action| reply.push(instance, action)),
        Err(cause) => {
            gateways.remove(&instance);
            let text = cause.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| cause.downcast_ref::<&str>().copied());
            reply.die(instance, text.unwrap_or("the decision module panicked"));
        }
    }
    Ok(())
}
