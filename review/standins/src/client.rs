//! A stand-in of a client, which keeps its connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Message};

/// A client of one instance.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    wait: Duration,
}

impl Client {
    /// Returns a client that waits so long for an answer.
    pub fn new(address: SocketAddr, wait: Duration) -> Self {
        Self {
            address,
            connection: None,
            wait,
        }
    }

    /// Sends a request and returns the whole answer, if there is one in time.
    pub fn send(&mut self, request: &[u8]) -> Option<Message> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let stream =
                    TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok()?;
                stream.set_nodelay(true).ok()?;
                BufReader::new(stream)
            }
        };
        connection
            .get_ref()
            .set_read_timeout(Some(self.wait))
            .ok()?;
        connection.get_mut().write_all(request).ok()?;
        let answer = http::read(&mut connection)?;
        let closes = answer
            .header("connection")
            .is_some_and(|text| text.eq_ignore_ascii_case("close"));
        if !closes {
            self.connection = Some(connection);
        }
        Some(answer)
    }
}

/// Returns an answer's status for the record.
pub fn status(answer: &Option<Message>) -> String {
    answer.as_ref().map_or_else(
        || "no answer".to_owned(),
        |answer| answer.status().to_string(),
    )
}
