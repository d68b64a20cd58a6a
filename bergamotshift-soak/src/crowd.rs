//! Crowds of clients that hold requests open, or send more than they may.

use core::sync::atomic::AtomicBool;
use core::sync::atomic::Ordering;
use core::time::Duration;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;

use crate::fleet::Doors;
use crate::site::HOST;
use crate::site::Kind;
use crate::site::Tenant;

/// Time after which a client gives up a write that does not go on.
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

/// Size of the writes of clients that send piece by piece, in bytes.
const PIECE: usize = 16 * 1024;

/// Shapes that hold requests open, none of which reaches an endpoint.
const UNFINISHED: [Shape; 5] = [
    Shape::Announced,
    Shape::Pieces,
    Shape::Chunks(64 << 10),
    Shape::NoRoute,
    Shape::Head,
];

/// Clients of a crowd of a run, and the largest body that they begin, in bytes.
const PRESSING: (usize, usize) = (12, 1 << 20);

/// Lets crowds press on the entries of a run, one after the other, until `ended`.
pub fn press(seed: u64, doors: &Doors, ended: &AtomicBool) {
    const PAUSE: Duration = Duration::from_millis(300);
    let (clients, limit) = PRESSING;
    let mut number = seed as usize;
    while !ended.load(Ordering::Relaxed) {
        let open = doors.open();
        if let Some(door) = open.get(number % open.len().max(1)) {
            Crowd::start(door.address, UNFINISHED[number % UNFINISHED.len()], clients, limit).settle();
        }
        number += 1;
        thread::sleep(PAUSE);
    }
}

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A body of announced length without its last byte, in one write.
    Announced,
    /// The same piece by piece.
    Pieces,
    /// A body in chunks of this size, without its last chunk.
    Chunks(usize),
    /// An announced length far over the limit, and as much of it as the other side takes.
    OversizedAnnounced,
    /// Chunks without end.
    OversizedChunks,
    /// A body of announced length without its last byte, on no route.
    NoRoute,
    /// The same with a key that nobody has.
    NoKey,
    /// A whole body.
    Complete,
    /// A head without its end.
    Head,
}

/// Clients that keep their connections open until the crowd is dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: Vec<JoinHandle<io::Result<TcpStream>>>,
    open: Vec<TcpStream>,
}

impl Crowd {
    /// Starts clients that send at once; `limit` is the largest body that the entry takes, in bytes.
    pub fn start(entry: SocketAddr, shape: Shape, clients: usize, limit: usize) -> Self {
        let client = |number| thread::spawn(move || send(entry, shape, number, limit));
        Self {
            clients: (0..clients).map(client).collect(),
            open: Vec::new(),
        }
    }

    /// Waits until every client has sent all that it could, and returns the number of connections that it holds open.
    pub fn settle(&mut self) -> usize {
        for client in self.clients.drain(..) {
            // A client that was refused or turned away holds nothing.
            self.open.extend(client.join().ok().and_then(Result::ok));
        }
        self.open.len()
    }
}

fn send(entry: SocketAddr, shape: Shape, number: usize, limit: usize) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(entry)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let dialect = bergamotshift_metadata::dialect();
    let framing = match shape {
        Shape::Chunks(_) | Shape::OversizedChunks => "transfer-encoding: chunked".to_owned(),
        Shape::OversizedAnnounced => format!("content-length: {}", limit * 64),
        _ => format!("content-length: {limit}"),
    };
    let path = if shape == Shape::NoRoute {
        "/nowhere/"
    } else {
        Kind::Checkin.prefix()
    };
    let tenant = if shape == Shape::NoKey {
        Tenant::Stranger
    } else {
        Tenant::Free
    };
    let head = format!(
        "POST {path}{number} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: {} {}\r\n{}: crowd-{number}\r\n{framing}\r\n",
        dialect.key_scheme,
        tenant.key(),
        dialect.request,
    );
    stream.write_all(head.as_bytes())?;
    if shape == Shape::Head {
        return Ok(stream);
    }
    stream.write_all(b"\r\n")?;
    match shape {
        Shape::Pieces => send_pieces(&mut stream, limit - 1)?,
        Shape::Chunks(size) => send_chunks(&mut stream, size, limit - 1)?,
        Shape::OversizedAnnounced => send_pieces(&mut stream, limit * 4)?,
        Shape::OversizedChunks => send_chunks(&mut stream, PIECE, limit * 4)?,
        Shape::Complete => {
            stream.write_all(&vec![b'x'; limit])?;
            stream.set_read_timeout(Some(WRITE_TIMEOUT))?;
            let _ = stream.read(&mut [0; 64])?;
        }
        _ => stream.write_all(&vec![b'x'; limit - 1])?,
    }
    Ok(stream)
}

fn send_pieces(stream: &mut TcpStream, length: usize) -> io::Result<()> {
    let piece = [b'x'; PIECE];
    let mut left = length;
    while left > 0 {
        let size = left.min(PIECE);
        stream.write_all(&piece[..size])?;
        left -= size;
    }
    Ok(())
}

/// Sends chunks that hold `length` bytes together, and not the last one, which is empty.
fn send_chunks(stream: &mut TcpStream, size: usize, length: usize) -> io::Result<()> {
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let at_once = (PIECE / chunk.len()).max(1);
    let chunks = chunk.repeat(at_once);
    for _ in 0..(length / size).div_ceil(at_once) {
        stream.write_all(chunks.as_bytes())?;
    }
    Ok(())
}
