//! From the file's fields to checked settings: one function a group of fields, and every problem reported at once.

use super::error::Problem;
use super::layout::Layout;
use super::{ListenOn, Settings};
use brassport_control_plane::FaultTolerance;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// Descriptors of a process, and megabytes, where `limits` says nothing.
const DEFAULT_OPEN_FILES: f64 = 1024.0;
const DEFAULT_MEMORY_MB: f64 = 256.0;

/// Checks all fields.
///
/// # Errors
/// Every problem that was found, in the order of the fields.
pub(super) fn check(layout: Layout) -> Result<Settings, Vec<Problem>> {
    let mut problems = Vec::new();
    let ip = ip(&layout.ip, &mut problems);
    let listen_on = listeners(&layout.listen_on, &mut problems);
    let seeds = seeds(&layout.seeds, &mut problems);
    let port = internal_port(&layout.internal_ports, &mut problems);
    let bounds = bounds(&layout.bounds, &mut problems);
    let reached_at = reached_at(&layout.reached_at, &mut problems);
    if !problems.is_empty() {
        return Err(problems);
    }
    let limit = |name: &str, default: f64| layout.limits.get(name).copied().flatten().unwrap_or(default);
    Ok(Settings {
        ip,
        port,
        seeds,
        bounds,
        reached_at,
        listen_on,
        fault_tolerance: fault_tolerance(&layout),
        open_files: limit("openFiles", DEFAULT_OPEN_FILES) as usize,
        memory_mb: limit("memoryMb", DEFAULT_MEMORY_MB),
        node: layout.node,
        zones: layout.zones.into_keys().collect(),
        zone: layout.zone,
        first_start: layout.first_start,
        is_core: layout.counted,
        data_folder: layout.data_folder.map(PathBuf::from),
        heartbeat_interval_s: layout.report_every_s,
    })
}

fn ip(text: &str, problems: &mut Vec<Problem>) -> Ipv4Addr {
    text.parse().unwrap_or_else(|_| {
        problems.push(Problem::Ip(text.to_owned()));
        Ipv4Addr::UNSPECIFIED
    })
}

fn listeners(entries: &BTreeMap<String, Option<String>>, problems: &mut Vec<Problem>) -> ListenOn {
    let mut listener = |name: &'static str| -> Option<SocketAddrV4> {
        let text = entries.get(name)?.as_ref()?;
        let address = text.parse().ok();
        if address.is_none() {
            problems.push(Problem::Listener { name, text: text.clone() });
        }
        address
    };
    // In this order: so are the problems.
    ListenOn { downstream: listener("front"), ready: listener("ready"), control: listener("control") }
}

fn seeds(entries: &[String], problems: &mut Vec<Problem>) -> Vec<Ipv4Addr> {
    let mut seeds = Vec::with_capacity(entries.len());
    for (index, text) in entries.iter().enumerate() {
        match text.parse::<SocketAddrV4>() {
            Ok(address) => seeds.push(*address.ip()),
            Err(_) => problems.push(Problem::Seed { index, text: text.clone() }),
        }
    }
    seeds
}

fn internal_port(ports: &[u16], problems: &mut Vec<Problem>) -> u16 {
    ports.first().copied().unwrap_or_else(|| {
        problems.push(Problem::NoInternalPort);
        0
    })
}

fn bounds(entries: &[String], problems: &mut Vec<Problem>) -> BTreeMap<String, f64> {
    let mut bounds = BTreeMap::new();
    for (index, text) in entries.iter().enumerate() {
        let Some((name, value)) = text.split_once('=') else {
            problems.push(Problem::Bound { index, text: text.clone() });
            continue;
        };
        let figure = match value.trim() {
            "true" => Some(1.0),
            "false" => Some(0.0),
            other => other.parse().ok(),
        };
        // The list is shared with other programs: a value that is neither a number nor true or false is theirs.
        bounds.extend(figure.map(|figure| (name.trim().to_owned(), figure)));
    }
    bounds
}

fn reached_at(
    entries: &BTreeMap<String, String>,
    problems: &mut Vec<Problem>,
) -> BTreeMap<Ipv4Addr, Ipv4Addr> {
    let mut reached_at = BTreeMap::new();
    for (node, address) in entries {
        match (node.parse::<Ipv4Addr>(), address.parse::<Ipv4Addr>()) {
            (Ok(node), Ok(address)) => drop(reached_at.insert(node, address)),
            _ => problems.push(Problem::ReachedAt { node: node.clone(), address: address.clone() }),
        }
    }
    reached_at
}

fn fault_tolerance(layout: &Layout) -> FaultTolerance {
    let count = |name: &str| layout.survive.get(name).copied().unwrap_or_default();
    FaultTolerance {
        machines: count("machines"),
        zones: count("zones"),
        regions: count("regions"),
        region_of: layout.zones.clone(),
    }
}
