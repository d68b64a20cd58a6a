//! Ports on the loopback device that nobody else gets.

use core::mem::ManuallyDrop;
use core::net::SocketAddr;
use std::io;
use std::net::TcpListener;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Port that nobody else gets for as long as the process runs. It refuses connections while its owner does not listen.
#[derive(Debug)]
pub struct Reservation {
    /// Address of the port.
    pub address: SocketAddr,
    /// Bound socket that neither listens nor closes.
    holder: ManuallyDrop<Socket>,
}

impl Reservation {
    /// Reserves a port that is free.
    ///
    /// # Errors
    ///
    /// Returns what the system says when no port is free.
    pub fn any() -> io::Result<Self> {
        let holder = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        holder.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = holder.local_addr()?.as_socket();
        Ok(Self {
            address: address.ok_or(io::ErrorKind::AddrNotAvailable)?,
            holder: ManuallyDrop::new(holder),
        })
    }

    /// Lets sockets with `SO_REUSEADDR` bind to the port.
    ///
    /// # Errors
    ///
    /// Returns what the system says when it refuses the option.
    pub fn open(&self) -> io::Result<()> {
        self.holder.set_reuse_address(true)
    }

    /// Lets no further socket bind to the port. One that listens on it goes on.
    ///
    /// # Errors
    ///
    /// Returns what the system says when it refuses the option.
    pub fn close(&self) -> io::Result<()> {
        self.holder.set_reuse_address(false)
    }

    /// Listens on the port.
    ///
    /// # Errors
    ///
    /// Returns what the system says when somebody listens already.
    pub fn listen(&self, backlog: i32) -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        self.open()?;
        socket.bind(&self.address.into())?;
        socket.listen(backlog)?;
        self.close()?;
        Ok(socket.into())
    }
}
