//! A receiver that takes a connection and reads nothing until it is told to.

use core::net::SocketAddr;
use core::time::Duration;
use std::io;
use std::io::Read;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

/// More bytes than the system's buffers of both ends hold together, so that a part of them waits at the sender.
pub const MORE_THAN_BUFFERED: usize = 64 << 20;

/// How long the receiver waits for more until nothing more will come.
const SILENCE: Duration = Duration::from_secs(5);

/// The size of one read, in bytes.
const READ: usize = 1 << 20;

/// What came over a connection once it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received {
    /// How many bytes.
    pub bytes: usize,
    /// How the connection failed; `None` when its sender closed it in order.
    pub failure: Option<io::ErrorKind>,
}

/// Takes one connection and reads nothing until [`Receiver::read`].
#[derive(Debug)]
pub struct Receiver {
    address: SocketAddr,
    begin: mpsc::Sender<()>,
    thread: JoinHandle<io::Result<Received>>,
}

impl Receiver {
    /// Listens on an ephemeral port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns why it cannot listen.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (begin, begins) = mpsc::channel();
        let thread = thread::spawn(move || receive(&listener, &begins));
        Ok(Self { address, begin, thread })
    }

    /// Returns where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads all that comes until the connection ends.
    ///
    /// # Errors
    ///
    /// Returns why the connection could not be taken.
    ///
    /// # Panics
    ///
    /// Panics when the receiving thread did.
    pub fn read(self) -> io::Result<Received> {
        // A thread that has ended says why when it is joined.
        let _ = self.begin.send(());
        self.thread.join().expect("the receiver does not panic")
    }
}

fn receive(listener: &TcpListener, begins: &mpsc::Receiver<()>) -> io::Result<Received> {
    let (mut stream, _) = listener.accept()?;
    stream.set_read_timeout(Some(SILENCE))?;
    // Whoever dropped the handle wants nothing read either.
    let _ = begins.recv();
    let mut bytes = 0;
    let mut buffer = vec![0; READ];
    let failure = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break None,
            Ok(length) => bytes += length,
            Err(error) => break Some(error.kind()),
        }
    };
    Ok(Received { bytes, failure })
}
