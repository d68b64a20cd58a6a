//! Minimal HTTP/1.1 reading and writing over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header fields in the order received, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first field with a lower-case name.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if its status line has none.
    #[must_use]
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    #[must_use]
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    /// Returns whether the sender closes the connection after it.
    #[must_use]
    pub fn is_last(&self) -> bool {
        let connection = self.field("connection").unwrap_or_default();
        connection
            .split(',')
            .any(|option| option.trim().eq_ignore_ascii_case("close"))
    }
}

/// Reads a head; returns `None` if the connection ends before its first byte.
///
/// # Errors
///
/// Returns an error if the connection breaks, or ends within the head.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    line.trim_end().clone_into(&mut message.start);
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let field = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.fields.push(field);
        }
    }
}

/// Reads a message whose body has a length; returns `None` if the connection ends before its first byte.
///
/// # Errors
///
/// Returns an error if the connection breaks, or ends within the message.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message.field("content-length").and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a JSON response.
///
/// # Errors
///
/// Returns an error if the connection breaks.
pub fn write_json(stream: &mut TcpStream, status: u16, body: &serde_json::Value) -> io::Result<()> {
    let body = body.to_string();
    let length = body.len();
    let text =
        format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}
