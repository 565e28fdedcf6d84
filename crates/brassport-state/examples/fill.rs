//! Fills a state with generated nodes and changes, to measure the restart time and the file size.
//!
//! Usage: `fill DIRECTORY NODES CHANGES`. The directory must contain a `state.redb`.

use brassport_state::files::Directory;
use brassport_state::model::{Action, Change, NewNode};
use brassport_state::store::{Batch, Store};
use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [directory, nodes, changes] = arguments.as_slice() else {
        return Err("usage: fill DIRECTORY NODES CHANGES".into());
    };
    let (nodes, changes): (u64, u64) = (nodes.parse()?, changes.parse()?);
    let files = Directory::open(Path::new(directory))?;
    let mut store = Store::open(&files, "state.redb")?;
    let node = |number: u64| NewNode {
        name: format!("node-{number:04}"),
        endpoint: ([127, 0, 1, 1], 9000 + number as u16).into(),
        zone: String::new(),
        group: 0,
        size: 1.0,
    };
    let list = Action::ImportNodes { nodes: (0..nodes).map(node).collect() };
    let drain = |number: u64| match number % 2 {
        1 => Action::DrainNode { name: format!("node-{:04}", number / 2 % nodes) },
        _ => Action::ResumeNode { name: format!("node-{:04}", (number / 2 - 1) % nodes) },
    };
    let change = |number: u64| Change {
        id: format!("fill-{number}"),
        who: "fill".into(),
        at_ms: number,
        seen: None,
        action: if number == 0 { list.clone() } else { drain(number) },
    };
    for first in (0..changes).step_by(1000) {
        let batch =
            Batch { changes: (first..changes.min(first + 1000)).map(change).collect(), ..Batch::default() };
        for outcome in store.write(&batch)? {
            outcome?;
        }
    }
    println!("revision {}", store.state().revision);
    Ok(())
}
