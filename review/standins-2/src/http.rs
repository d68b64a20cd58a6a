//! The little HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Names, in lower case, and values.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if the line has none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; returns `None` if the connection ends before its first byte.
///
/// # Errors
///
/// Returns the error of the connection, also if it ends within the head.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Ok(None);
    }
    head.line = text.trim_end().to_owned();
    loop {
        text.clear();
        if reader.read_line(&mut text)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = text.trim_end().split_once(':') else {
            return Ok(Some(head));
        };
        head.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the body that a length announces.
///
/// # Errors
///
/// Returns the error of the connection, also if it ends within the body.
pub fn read_sized(reader: &mut impl Read, head: &Head) -> io::Result<Vec<u8>> {
    let length = head.field("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Answer as a caller gets it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: String,
    /// Time after which the caller may try again, in seconds.
    pub retry_after: Option<f64>,
}

/// Connection of a caller, which it keeps for several requests.
#[derive(Debug)]
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer.
    pub fn ask(&mut self, request: &str) -> io::Result<Answer> {
        self.reader.get_mut().write_all(request.as_bytes())?;
        let head = loop {
            let head = read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if head.status() >= 200 {
                break head;
            }
        };
        let body = if head.field("transfer-encoding") == Some("chunked") {
            self.read_chunks()?
        } else {
            read_sized(&mut self.reader, &head)?
        };
        Ok(Answer {
            status: head.status(),
            body: String::from_utf8_lossy(&body).into_owned(),
            retry_after: head.field("retry-after").and_then(|text| text.parse().ok()),
        })
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            self.reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}
