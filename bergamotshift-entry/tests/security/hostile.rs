//! An endpoint that keeps what it was sent, and answers with whatever bytes a test wants.

use core::net::SocketAddr;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Answers one request: gets the attempt and its number from 0, and writes what it wants.
type Answer = dyn Fn(&mut TcpStream, &str, usize) -> std::io::Result<()> + Send + Sync;

/// An endpoint on an ephemeral port that serves each connection on a thread of its own.
#[derive(Debug)]
pub struct Endpoint {
    address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
    failed: mpsc::Receiver<()>,
}

impl Endpoint {
    pub fn start(answer: impl Fn(&mut TcpStream, &str, usize) -> std::io::Result<()> + Send + Sync + 'static) -> Self {
        const NONE: &[u8] = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
        Self::reporting(answer, NONE.to_vec())
    }

    /// Starts one that answers whoever asks for its load with these bytes.
    pub fn reporting(
        answer: impl Fn(&mut TcpStream, &str, usize) -> std::io::Result<()> + Send + Sync + 'static,
        report: Vec<u8>,
    ) -> Self {
        let answer: Arc<Answer> = Arc::new(answer);
        let report = Arc::new(report);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let heads = Arc::new(Mutex::new(Vec::new()));
        let (sender, failed) = mpsc::channel();
        let kept = Arc::clone(&heads);
        thread::spawn(move || {
            for socket in listener.incoming() {
                let (answer, kept, sender) = (Arc::clone(&answer), Arc::clone(&kept), sender.clone());
                let report = Arc::clone(&report);
                thread::spawn(move || {
                    let mut socket = socket.unwrap();
                    while let Some(ended) = serve(&mut socket, &answer, &report, &kept) {
                        if ended.is_err() {
                            let _ = sender.send(());
                            return;
                        }
                    }
                });
            }
        });
        Self { address, heads, failed }
    }

    /// Starts one that answers each request with a text, in which `ATTEMPT` stands for the attempt.
    pub fn saying(text: impl Into<String>) -> Self {
        let text = text.into();
        Self::start(move |socket, attempt, _| socket.write_all(text.replace("ATTEMPT", attempt).as_bytes()))
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the heads of the attempts, in lower case.
    pub fn heads(&self) -> Vec<String> {
        self.heads.lock().unwrap().clone()
    }

    /// Waits until the entry has closed a connection that an answer was being written to.
    pub fn wait_until_cut(&self) {
        self.failed.recv_timeout(Duration::from_secs(20)).unwrap();
    }
}

fn serve(
    socket: &mut TcpStream,
    answer: &Arc<Answer>,
    report: &[u8],
    kept: &Mutex<Vec<String>>,
) -> Option<std::io::Result<()>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if socket.read(&mut byte).unwrap_or(0) == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::to_owned);
    let body: usize = header("content-length: ").map_or(0, |length| length.parse().unwrap());
    socket.read_exact(&mut vec![0; body]).unwrap();
    let Some(attempt) = header("x-bergamotshift-attempt: ") else {
        return Some(socket.write_all(report));
    };
    let mut heads = kept.lock().unwrap();
    let number = heads.len();
    heads.push(head);
    drop(heads);
    Some(answer(socket, &attempt, number))
}
