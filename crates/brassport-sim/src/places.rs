//! Where the machines of the site are.

use std::net::SocketAddr;

/// Where the addresses of nodes that moved begin.
pub const MOVED: usize = 100;

/// Where a front door listens.
pub fn door_address(door: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, door as u8 + 1], 8443))
}

/// Where a node listens.
pub fn node_address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 2, node as u8 + 1], 9000))
}

/// Where a door's discovery agents listen.
pub fn agent_addresses(door: usize) -> [SocketAddr; 2] {
    [8500, 8501].map(|port| SocketAddr::from(([127, 0, 3, door as u8 + 1], port)))
}

/// The node at an address, if it is one of a node's.
pub fn node_of_answer(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(at) if at.ip().octets()[2] == 2 => Some(usize::from(at.ip().octets()[3]) - 1),
        _ => None,
    }
}

/// Through how many doors a customer's requests come.
pub fn spread_of(customer: u64, doors: usize) -> usize {
    (1 + customer as usize / 3 % 3).min(doors)
}
