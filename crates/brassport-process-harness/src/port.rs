//! Ports for processes that are still to start.

use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr};

/// An address on loopback that the system gives to nobody else while this process lives, and at which nothing listens
/// until somebody binds just this one.
///
/// Guards against two mistakes of a port that is looked up and let go: another test's peer got it, and with it the calls
/// that were to find nobody; and a connection to it, made before its process listened, got the same port at its own end,
/// met itself, and kept the process from its address.
///
/// # Panics
/// There is no free port.
pub fn reserve() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // The process binds it beside this socket, which never listens; whoever asks for any port is given another.
    socket.set_reuse_address(true).expect("the system takes the option");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a free port");
    let address = socket.local_addr().expect("an address").as_socket().expect("IPv4");
    // The descriptor stays open to the end of this process.
    std::mem::forget(socket);
    address
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;
    use std::net::{TcpListener, TcpStream};

    #[test]
    fn a_reserved_port_refuses_connections_and_is_given_to_nobody_who_asks_for_any() {
        let reserved: BTreeSet<SocketAddr> = (0..200).map(|_| reserve()).collect();
        assert_eq!(reserved.len(), 200, "each has its own");
        for address in &reserved {
            assert!(TcpStream::connect(address).is_err(), "nothing listens at {address}");
        }
        for _ in 0..20_000 {
            let other = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = other.local_addr().expect("an address");
            assert!(!reserved.contains(&address), "{address} was given away");
        }
    }

    #[test]
    fn the_process_it_is_for_can_listen_there() {
        let address = reserve();
        let listener = TcpListener::bind(address).expect("it binds beside the reservation");
        TcpStream::connect(address).expect("and listens");
        drop(listener);
        TcpListener::bind(address).expect("and so does the next one");
    }
}
