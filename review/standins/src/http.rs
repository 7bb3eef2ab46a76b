//! The part of HTTP/1.1 that the stand-ins need.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(one, _)| one.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; `None` if the connection ends or breaks before its end.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let line = |reader: &mut BufReader<TcpStream>| {
        let mut line = String::new();
        let read = reader.read_line(&mut line).ok()?;
        (read > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
    };
    let mut message = Message {
        start: line(reader)?,
        ..Message::default()
    };
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut message.body).ok()?;
    } else if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&line(reader)?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    Some(message)
}

/// Sends a request over a new connection and reads the response.
pub fn call(address: SocketAddr, request: &[u8], wait: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.write_all(request).ok()?;
    read(&mut BufReader::new(stream))
}

/// Returns a response with a length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
