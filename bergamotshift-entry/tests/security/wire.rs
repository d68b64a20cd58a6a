//! Requests and answers as bytes on a connection.

use std::io::Read;
use std::io::Write;

/// An answer with nothing made of it.
#[derive(Debug)]
pub struct Answer {
    /// The head in lower case.
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).unwrap().parse().unwrap()
    }

    pub fn text(&self) -> &str {
        core::str::from_utf8(&self.body).unwrap()
    }
}

/// Sends a request and reads its answer up to its declared length, or to the connection's end.
pub fn exchange(connection: &mut (impl Read + Write), request: &str) -> Answer {
    connection.write_all(request.as_bytes()).unwrap();
    let head = head(connection);
    let declared = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let declared = declared.map_or(usize::MAX, |length| length.parse().unwrap());
    let mut body = Vec::new();
    let mut buffer = [0; 4096];
    while body.len() < declared {
        // A connection that is cut reads as an error over TLS; what came before it counts.
        let Ok(count @ 1..) = connection.read(&mut buffer) else {
            break;
        };
        body.extend_from_slice(&buffer[..count]);
    }
    Answer { head, body }
}

fn head(connection: &mut impl Read) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        connection.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap().to_lowercase()
}
