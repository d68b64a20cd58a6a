//! A narrow link in front of one entry: what other entries answer it comes byte by byte over it.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::HashMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use bergamotshift_forward::peers::Reply;
use bergamotshift_forward::peers::State;

use crate::endpoint::head;
use crate::endpoint::header;
use crate::outside::lock;

/// Where entries tell one another what they know.
const EXCHANGE: &str = " /exchange ";

/// How much comes at a time, in bytes.
const PIECE: usize = 5_000;

/// The time between two pieces: 250 kB a second.
const GAP: Duration = Duration::from_millis(20);

/// An answer from this size on is a copy of the document and not what entries tell one another anyway, in bytes.
pub const LARGE: usize = 64 * 1_024;

/// A narrow link; all answers share its width. Whoever is behind it is heard, and knows the entries before it by the link's
/// addresses alone.
#[derive(Clone, Debug)]
pub struct Link {
    /// One address of the link for each entry before it.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    /// The link's address of each entry.
    names: HashMap<SocketAddr, SocketAddr>,
    /// Where nobody listens.
    nowhere: SocketAddr,
    /// Held by whoever has a piece on the link.
    width: Mutex<()>,
    /// Large answers that began.
    large: AtomicUsize,
    /// Whether large answers stop after their first piece.
    is_stuck: AtomicBool,
}

impl Link {
    /// Makes a link from these entries.
    pub fn from(entries: &[SocketAddr]) -> Self {
        let listeners: Vec<_> = entries
            .iter()
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free"))
            .collect();
        let address = |listener: &TcpListener| listener.local_addr().expect("it is bound");
        let addresses: Vec<SocketAddr> = listeners.iter().map(address).collect();
        let nowhere = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let link = Self {
            shared: Arc::new(Shared {
                names: entries.iter().copied().zip(addresses.iter().copied()).collect(),
                nowhere: address(&nowhere),
                width: Mutex::default(),
                large: AtomicUsize::new(0),
                is_stuck: AtomicBool::new(false),
            }),
            addresses,
        };
        for (listener, entry) in listeners.into_iter().zip(entries.iter().copied()) {
            let shared = Arc::clone(&link.shared);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let shared = Arc::clone(&shared);
                    // A connection that breaks concerns its two ends alone.
                    thread::spawn(move || drop(shared.carry(stream, entry)));
                }
            });
        }
        link
    }

    /// Stops large answers after their first piece.
    pub fn stick(&self) {
        self.shared.is_stuck.store(true, Ordering::Relaxed);
    }

    /// Returns how many large answers began.
    pub fn large(&self) -> usize {
        self.shared.large.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn carry(&self, mut near: TcpStream, entry: SocketAddr) -> io::Result<()> {
        let mut far = TcpStream::connect(entry)?;
        while let Some(question) = head(&mut near)? {
            let body = body(&mut near, &question)?;
            let is_exchange = question.contains(EXCHANGE);
            let body = if is_exchange { self.question(&body) } else { body };
            send(&mut far, &question, &body)?;
            let Some(answer) = head(&mut far)? else {
                return Ok(());
            };
            let body = self::body(&mut far, &answer)?;
            let body = if is_exchange { self.answer(&body) } else { body };
            self.send_slowly(&mut near, &answer, &body)?;
        }
        Ok(())
    }

    /// Lets nobody before the link know how to reach the entry behind it.
    fn question(&self, body: &[u8]) -> Vec<u8> {
        let mut state: State = postcard::from_bytes(body).expect("entries tell a state");
        state.address = self.nowhere;
        postcard::to_stdvec(&state).expect("it can be encoded")
    }

    /// Puts the link's addresses in the place of the entries'.
    fn answer(&self, body: &[u8]) -> Vec<u8> {
        let Ok(mut reply) = postcard::from_bytes::<Reply>(body) else {
            return body.to_vec();
        };
        let shown = |address: SocketAddr| self.names.get(&address).copied().unwrap_or(self.nowhere);
        reply.state.address = shown(reply.state.address);
        for member in &mut reply.state.members {
            member.address = shown(member.address);
        }
        postcard::to_stdvec(&reply).expect("it can be encoded")
    }

    fn send_slowly(&self, near: &mut TcpStream, answer: &str, body: &[u8]) -> io::Result<()> {
        near.write_all(with_length(answer, body.len()).as_bytes())?;
        let is_large = body.len() >= LARGE;
        if is_large {
            self.large.fetch_add(1, Ordering::Relaxed);
        }
        for piece in body.chunks(PIECE) {
            let width = lock(&self.width);
            thread::sleep(GAP.mul_f64(piece.len() as f64 / PIECE as f64));
            near.write_all(piece)?;
            drop(width);
            if is_large && self.is_stuck.load(Ordering::Relaxed) {
                // Until whoever waits for the rest hangs up.
                near.read_exact(&mut [0])?;
            }
        }
        Ok(())
    }
}

fn body(stream: &mut TcpStream, head: &str) -> io::Result<Vec<u8>> {
    let length = header(head, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok(body)
}

fn send(stream: &mut TcpStream, head: &str, body: &[u8]) -> io::Result<()> {
    stream.write_all(with_length(head, body.len()).as_bytes())?;
    stream.write_all(body)
}

/// Returns a head with the length of a body that was changed on the way.
fn with_length(head: &str, length: usize) -> String {
    let is_length = |line: &&str| line.to_ascii_lowercase().starts_with("content-length:");
    let lines = head.lines().filter(|line| !line.is_empty());
    let kept: Vec<&str> = lines.filter(|line| !is_length(line)).collect();
    format!("{}\r\ncontent-length: {length}\r\n\r\n", kept.join("\r\n"))
}
