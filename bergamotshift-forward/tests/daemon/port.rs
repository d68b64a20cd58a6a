//! Ports that refuse connections for as long as the test process runs.
//!
//! All tests run in one process, and entries go on contacting one that has ended. If its port were assigned to an entry
//! or an endpoint of another test, that test would get their messages.

use core::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::endpoint::Endpoint;
use crate::link::Link;
use crate::site::Site;
use crate::site::wait_until;

/// Port that is assigned to nobody else, and refuses connections.
#[derive(Debug)]
pub struct Reservation {
    pub address: SocketAddr,
    /// Bound socket that does not listen.
    socket: Socket,
}

impl Reservation {
    /// Reserves a port that is free.
    pub fn any() -> Self {
        Self::new(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free")
    }

    /// Reserves the port of a listener that is about to close.
    pub fn after_listener(address: SocketAddr) -> Self {
        let mut reserved = None;
        wait_until("the listener is closed", || {
            reserved = Self::new(address);
            reserved.is_some()
        });
        reserved.expect("it was reserved")
    }

    /// Listens on the port.
    pub fn listen(self, backlog: i32) -> TcpListener {
        // Connections that it accepts may outlive the listener, and must not keep the port from being reserved again.
        self.socket.set_reuse_address(true).expect("a socket takes the option");
        self.socket.listen(backlog).expect("a bound socket listens");
        self.socket.into()
    }

    fn new(address: SocketAddr) -> Option<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        // Connections of the listener before may still be closing.
        socket.set_reuse_address(true).expect("a socket takes the option");
        socket.bind(&address.into()).ok()?;
        // With the option, another socket could be bound to the port.
        socket.set_reuse_address(false).expect("a socket takes the option");
        let address = socket.local_addr().ok()?.as_socket()?;
        Some(Self { address, socket })
    }
}

/// Asserts that an address refuses connections and cannot be bound by anyone else.
fn assert_reserved(address: SocketAddr) {
    assert!(TcpStream::connect(address).is_err(), "someone listens on {address}");
    assert!(TcpListener::bind(address).is_err(), "{address} can be bound");
}

/// Guards against an entry behind a link whose port is assigned to an endpoint of another test, which then counts the
/// messages of entries as requests.
#[test]
fn the_port_of_an_entry_behind_a_link_stays_reserved() {
    assert_reserved(Link::from(&[]).refusing_address());
}

/// Guards against a stopped entry whose port is assigned to an entry of another test, which then joins the fleet of the
/// stopped one.
#[test]
fn the_port_of_an_entry_that_has_ended_stays_reserved() {
    let endpoint = Endpoint::plain("e1", "done");
    let daemon = Site::new(&[&endpoint]).start();
    let address = daemon.listen.peers;
    daemon.stop();
    assert_eq!(daemon.join(), 0);
    assert_reserved(address);
}
