//! Validation of the parsed settings file: one function for each group of fields. All problems are collected and reported
//! together.

use super::error::Problem;
use super::layout::Layout;
use super::{ListenAddresses, Settings};
use brassport_control_plane::FaultTolerance;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

/// The limit on open file descriptors where `limits.openFiles` is not set.
const DEFAULT_OPEN_FILES: f64 = 1024.0;
/// The memory limit where `limits.memoryMb` is not set.
const DEFAULT_MEMORY_MB: f64 = 256.0;

/// Validates all fields.
///
/// # Errors
/// All problems found, in the order in which the fields are checked.
pub(super) fn validate(layout: Layout) -> Result<Settings, Vec<Problem>> {
    let mut problems = Vec::new();
    let ip = parse_ip(&layout.ip, &mut problems);
    let listen_on = parse_listen_addresses(&layout.listen_on, &mut problems);
    let seeds = parse_seeds(&layout.seeds, &mut problems);
    let internal_port = first_internal_port(&layout.internal_ports, &mut problems);
    let parameters = parse_parameters(&layout.bounds, &mut problems);
    let address_overrides = parse_address_overrides(&layout.reached_at, &mut problems);
    if !problems.is_empty() {
        return Err(problems);
    }
    let limit = |name: &str, default: f64| layout.limits.get(name).copied().flatten().unwrap_or(default);
    Ok(Settings {
        ip,
        internal_port,
        seeds,
        parameters,
        address_overrides,
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

fn parse_ip(text: &str, problems: &mut Vec<Problem>) -> Ipv4Addr {
    text.parse().unwrap_or_else(|_| {
        problems.push(Problem::Ip(text.to_owned()));
        Ipv4Addr::UNSPECIFIED
    })
}

fn parse_listen_addresses(
    entries: &BTreeMap<String, Option<String>>,
    problems: &mut Vec<Problem>,
) -> ListenAddresses {
    let mut parse_listener = |name: &'static str| -> Option<SocketAddrV4> {
        let text = entries.get(name)?.as_ref()?;
        let address = text.parse().ok();
        if address.is_none() {
            problems.push(Problem::Listener { name, text: text.clone() });
        }
        address
    };
    // Problems are reported in the order of these calls.
    ListenAddresses {
        downstream: parse_listener("front"),
        ready: parse_listener("ready"),
        control: parse_listener("control"),
    }
}

fn parse_seeds(entries: &[String], problems: &mut Vec<Problem>) -> Vec<Ipv4Addr> {
    let mut seeds = Vec::with_capacity(entries.len());
    for (index, text) in entries.iter().enumerate() {
        match text.parse::<SocketAddrV4>() {
            Ok(address) => seeds.push(*address.ip()),
            Err(_) => problems.push(Problem::Seed { index, text: text.clone() }),
        }
    }
    seeds
}

fn first_internal_port(ports: &[u16], problems: &mut Vec<Problem>) -> u16 {
    ports.first().copied().unwrap_or_else(|| {
        problems.push(Problem::NoInternalPort);
        0
    })
}

fn parse_parameters(entries: &[String], problems: &mut Vec<Problem>) -> BTreeMap<String, f64> {
    let mut parameters = BTreeMap::new();
    for (index, text) in entries.iter().enumerate() {
        let Some((name, value)) = text.split_once('=') else {
            problems.push(Problem::Bound { index, text: text.clone() });
            continue;
        };
        let number = match value.trim() {
            "true" => Some(1.0),
            "false" => Some(0.0),
            other => other.parse().ok(),
        };
        // Other programs read the same list: a value that is neither a number nor a boolean is meant for another
        // program and is skipped.
        parameters.extend(number.map(|number| (name.trim().to_owned(), number)));
    }
    parameters
}

fn parse_address_overrides(
    entries: &BTreeMap<String, String>,
    problems: &mut Vec<Problem>,
) -> BTreeMap<Ipv4Addr, Ipv4Addr> {
    let mut overrides = BTreeMap::new();
    for (node, address) in entries {
        match (node.parse::<Ipv4Addr>(), address.parse::<Ipv4Addr>()) {
            (Ok(node), Ok(address)) => drop(overrides.insert(node, address)),
            _ => problems.push(Problem::ReachedAt { node: node.clone(), address: address.clone() }),
        }
    }
    overrides
}

fn fault_tolerance(layout: &Layout) -> FaultTolerance {
    let tolerated = |name: &str| layout.survive.get(name).copied().unwrap_or_default();
    FaultTolerance {
        machines: tolerated("machines"),
        zones: tolerated("zones"),
        regions: tolerated("regions"),
        region_of: layout.zones.clone(),
    }
}
