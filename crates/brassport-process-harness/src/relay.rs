//! A link between two processes, over loopback, with faults for each direction.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// What a direction does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Way {
    #[default]
    Open,
    /// Bytes stay here until it is open again, as behind a silent network.
    Held,
    /// Bytes go on so much later.
    Late(Duration),
}

/// The state of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Link {
    /// New connections are refused by an end at once, and standing ones are closed.
    pub cut: bool,
    /// From the one that connects, and back.
    pub there: Way,
    pub back: Way,
}

#[derive(Debug, Default)]
struct State {
    link: Mutex<Link>,
    changed: Condvar,
}

/// A relay. Whoever is to talk over the link connects to [`Relay::address`].
#[derive(Debug, Clone)]
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    /// A relay to this address.
    ///
    /// # Panics
    /// There is no free port.
    pub fn to(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State::default());
        let relay = Relay { address, state: state.clone() };
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || carry(near, target, &state));
            }
        });
        relay
    }

    pub fn set(&self, link: Link) {
        *self.state.link.lock().expect("no holder panics") = link;
        self.state.changed.notify_all();
    }
}

fn carry(near: TcpStream, target: SocketAddr, state: &Arc<State>) {
    if state.link.lock().expect("no holder panics").cut {
        return;
    }
    let Ok(far) = TcpStream::connect(target) else { return };
    let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { return };
    let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
    let there = state.clone();
    thread::spawn(move || pump(near, far, &there, |link| link.there));
    pump(far_too, near_too, state, |link| link.back);
}

fn pump(mut from: TcpStream, mut to: TcpStream, state: &State, way: impl Fn(&Link) -> Way) {
    // Looks at the link also while nothing comes, so that a cut closes idle connections too.
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let mut bytes = [0; 16 * 1024];
    loop {
        let read = from.read(&mut bytes);
        let mut link = state.link.lock().expect("no holder panics");
        while way(&link) == Way::Held && !link.cut {
            link = state.changed.wait(link).expect("no holder panics");
        }
        let (cut, way) = (link.cut, way(&link));
        drop(link);
        let length = match read {
            _ if cut => 0,
            Ok(length) => length,
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                continue
            }
            Err(_) => 0,
        };
        if length == 0 {
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
            return;
        }
        if let Way::Late(by) = way {
            thread::sleep(by);
        }
        if to.write_all(&bytes[..length]).is_err() {
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn echo() -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                thread::spawn(move || {
                    let mut byte = [0];
                    while stream.read_exact(&mut byte).is_ok() && stream.write_all(&byte).is_ok() {}
                });
            }
        });
        address
    }

    fn asks(relay: &Relay) -> TcpStream {
        let stream = TcpStream::connect(relay.address).expect("it connects");
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
        stream
    }

    #[test]
    fn what_is_held_arrives_once_the_way_is_open_and_what_is_cut_never() {
        let relay = Relay::to(echo());
        let mut stream = asks(&relay);
        let mut byte = [0];
        stream.write_all(b"a").expect("written");
        stream.read_exact(&mut byte).expect("it comes back");
        relay.set(Link { back: Way::Held, ..Link::default() });
        stream.write_all(b"b").expect("written");
        stream.read_exact(&mut byte).expect_err("it is held");
        relay.set(Link::default());
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
        stream.read_exact(&mut byte).expect("it comes now");
        assert_eq!(&byte, b"b");
        relay.set(Link { cut: true, ..Link::default() });
        assert!(matches!(stream.read(&mut byte), Ok(0) | Err(_)), "the connection is closed");
        let mut new = asks(&relay);
        assert!(matches!(new.read(&mut byte), Ok(0) | Err(_)), "and a new one too");
    }
}
