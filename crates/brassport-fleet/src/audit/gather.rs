//! Combines records of many gateway instances, from parts that may overlap, with times on one clock.

use super::Audit;
use crate::clocks::Clocks;
use crate::record::{self, Event, Fault, Line};
use std::collections::BTreeMap;

/// The lines of one gateway instance's record, by process and line number.
type LinesByProcess = BTreeMap<u64, BTreeMap<u64, Line>>;

/// The parts of all records, without duplicate lines.
#[derive(Default)]
struct Parts<'a> {
    doors: BTreeMap<&'a str, LinesByProcess>,
    faults: BTreeMap<&'a str, Fault>,
}

impl<'a> Parts<'a> {
    fn add(&mut self, door: &'a str, text: &str) {
        let (lines, fault, ..) = record::read(text);
        if let Some(fault) = fault {
            self.faults.insert(door, fault);
        }
        for line in lines {
            let process = self.doors.entry(door).or_default().entry(line.at.process).or_default();
            process.insert(line.number, line);
        }
    }

    /// The aligned clock readings from all lines.
    fn clocks(&self) -> Clocks {
        let mut clocks = Clocks::default();
        for line in self.doors.values().flat_map(BTreeMap::values).flat_map(BTreeMap::values) {
            if let Event::Clock(mark) = &line.what {
                clocks.add(line.at.process, line.at.steady_ms, mark.clone());
            }
        }
        clocks.align();
        clocks
    }
}

impl Audit {
    /// Adds parts of many gateway instances' records, each as the gateway instance's name and the text. Several parts
    /// may contain the same lines.
    pub fn gather<'a>(&mut self, parts: impl Iterator<Item = (&'a str, &'a str)>) {
        let mut gathered = Parts::default();
        parts.for_each(|(door, text)| gathered.add(door, text));
        let clocks = gathered.clocks();
        self.clock = clocks.reference().map(String::from);
        for (door, processes) in gathered.doors {
            let processes = in_order(processes, &clocks);
            if processes.iter().any(|lines| has_gap(lines)) {
                self.missing(door, "lines are missing between two known lines");
            }
            self.add(door, &processes.concat(), gathered.faults.get(door));
        }
        self.set_moments(&clocks);
        for instance in clocks.jumped() {
            self.missing(
                instance,
                "its wall clock jumped: times of doors that read only this clock are on the doors' own clocks",
            );
        }
    }

    fn set_moments(&mut self, clocks: &Clocks) {
        for span in &mut self.spans {
            span.began = clocks.moment(span.process, span.steady_ms.0);
        }
        for sent in &mut self.sent {
            sent.at = clocks.moment(sent.process, sent.steady_ms);
        }
    }
}

/// The lines of each process, in the order in which the processes started: by the common clock where a reading relates the
/// process to it, and by the process's own wall clock otherwise.
fn in_order(processes: LinesByProcess, clocks: &Clocks) -> Vec<Vec<Line>> {
    let began_ms = |lines: &Vec<Line>| {
        let at = lines.first()?.at;
        let moment = clocks.moment(at.process, at.steady_ms);
        Some(moment.map_or(at.wall_ms as i64, |moment| moment.from_ms))
    };
    let mut processes: Vec<Vec<Line>> =
        processes.into_values().map(|lines| lines.into_values().collect()).collect();
    processes.sort_by_key(began_ms);
    processes
}

fn has_gap(lines: &[Line]) -> bool {
    lines.windows(2).any(|pair| pair[1].number != pair[0].number + 1)
}
