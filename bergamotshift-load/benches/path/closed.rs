//! A closed loop that costs little: connections that each send the next request once the last one is answered.

use core::net::SocketAddr;
use core::time::Duration;
use std::thread;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Returns answers per second over `threads` with `connections` each.
pub fn throughput(address: SocketAddr, request: &str, threads: usize, connections: usize, span: Duration) -> f64 {
    let start = Instant::now();
    let end = start + span;
    let workers: Vec<_> = (0..threads)
        .map(|_| {
            let request = request.to_owned();
            thread::spawn(move || work(address, &request, connections, end))
        })
        .collect();
    let answers: u64 = workers
        .into_iter()
        .map(|worker| worker.join().expect("no connection breaks"))
        .sum();
    answers as f64 / start.elapsed().as_secs_f64()
}

fn work(address: SocketAddr, request: &str, connections: usize, end: Instant) -> u64 {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async {
        let loops = (0..connections).map(|_| exchange(address, request.as_bytes(), end));
        futures_util::future::join_all(loops).await.into_iter().sum()
    })
}

async fn exchange(address: SocketAddr, request: &[u8], end: Instant) -> u64 {
    let mut stream = TcpStream::connect(address).await.expect("the path takes connections");
    stream.set_nodelay(true).expect("a socket option");
    let mut buffer = vec![0; 8 * 1024];
    let mut count = 0;
    while Instant::now() < end {
        stream.write_all(request).await.expect("the request goes out");
        let mut filled = 0;
        while !is_whole(&buffer[..filled]) {
            let read = stream.read(&mut buffer[filled..]).await.expect("the answer comes in");
            assert!(read > 0, "the connection stays open");
            filled += read;
        }
        assert!(
            buffer.starts_with(b"HTTP/1.1 200"),
            "{}",
            String::from_utf8_lossy(&buffer[..filled])
        );
        count += 1;
    }
    count
}

/// Returns whether the bytes hold a whole answer, sized or in chunks.
fn is_whole(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return false;
    };
    let head = core::str::from_utf8(&bytes[..end]).unwrap_or_default();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    });
    match length {
        Some(length) => bytes.len() >= end + 4 + length,
        None => bytes.ends_with(b"\r\n0\r\n\r\n"),
    }
}
