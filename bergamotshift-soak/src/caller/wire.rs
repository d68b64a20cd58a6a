//! Parts of answers as they are read from a connection.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;
use std::time::Instant;

pub(super) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}

pub(super) fn number(text: &str, radix: u32) -> io::Result<usize> {
    usize::from_str_radix(text, radix).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

pub(super) fn line(stream: &mut BufReader<TcpStream>, text: &mut String, until: Instant) -> io::Result<usize> {
    if Instant::now() >= until {
        return Err(io::ErrorKind::TimedOut.into());
    }
    stream.read_line(text)
}

pub(super) fn sized(stream: &mut BufReader<TcpStream>, length: usize) -> io::Result<Vec<u8>> {
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

pub(super) fn chunked(stream: &mut BufReader<TcpStream>, until: Instant, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut size = String::new();
        if line(stream, &mut size, until)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = number(size.trim(), 16)?;
        let mut piece = sized(stream, size + 2)?;
        if size == 0 {
            return Ok(());
        }
        piece.truncate(size);
        body.extend(piece);
    }
}
