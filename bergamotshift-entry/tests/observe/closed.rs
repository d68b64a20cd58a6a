//! A port at which nothing listens.

use core::net::SocketAddr;

use tokio::net::TcpSocket;

/// Holds a port without listening, so that no other test's server can get it.
#[derive(Debug)]
pub struct Port(TcpSocket);

impl Port {
    pub fn hold() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        Self(socket)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }
}
