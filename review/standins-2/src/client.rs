//! A stand-in of a client.

use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// What a client got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status, or 0 without a head.
    pub status: u16,
    pub has_stamp: bool,
    pub retry_after: Option<f64>,
    pub body: Vec<u8>,
    pub is_whole: bool,
    /// How it ended.
    pub end: String,
}

impl Answer {
    pub fn none(end: &str) -> Self {
        Self {
            status: 0,
            has_stamp: false,
            retry_after: None,
            body: Vec::new(),
            is_whole: false,
            end: end.to_owned(),
        }
    }
}

/// How a client reads, and how long it waits.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The most bytes that are read at a time, and the pause after each time.
    pub bytes: usize,
    pub pause: Duration,
    /// The longest gap that it bears.
    pub gap: Duration,
    /// How long it waits in all.
    pub deadline: Duration,
}

/// A request.
pub struct Request<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub id: &'a str,
    pub headers: &'a str,
    pub body: &'a [u8],
}

pub fn connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on an open connection and reads the answer.
pub fn exchange(stream: &mut TcpStream, request: &Request<'_>, pace: Pace) -> Answer {
    let length = if request.body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", request.body.len())
    };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: ficu95.example\r\nGodwitpost-Attempt-Id: {}\r\n\
         Godwitpost-Deadline-Ms: {}\r\n{}{length}\r\n",
        request.method,
        request.target,
        request.id,
        pace.deadline.as_millis(),
        request.headers
    );
    let message = [head.as_bytes(), request.body].concat();
    if let Err(error) = stream.write_all(&message) {
        return Answer::none(&format!("not sent: {error}"));
    }
    read_answer(stream, pace)
}

/// Reads the answer to a request that was sent.
pub fn read_answer(stream: &mut TcpStream, pace: Pace) -> Answer {
    let until = Instant::now() + pace.deadline;
    let mut bytes = Vec::new();
    let mut part = vec![0; pace.bytes];
    let end = loop {
        if let Some(answer) = parse(&bytes, "whole").filter(|answer| answer.is_whole) {
            return answer;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break "deadline".to_owned();
        }
        drop(stream.set_read_timeout(Some(pace.gap.min(left))));
        match stream.read(&mut part) {
            Ok(0) => break "closed".to_owned(),
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                break "gap or deadline".to_owned();
            }
            Err(error) => break error.to_string(),
        }
        std::thread::sleep(pace.pause);
    };
    parse(&bytes, &end).unwrap_or_else(|| Answer::none(&end))
}

// Returns the answer so far; `None` before the end of its head.
fn parse(bytes: &[u8], end: &str) -> Option<Answer> {
    let head_end = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let rest = &bytes[head_end..];
    let header = |name: &str| {
        let lines = head.split("\r\n").skip(1);
        let mut pairs = lines.filter_map(|line| line.split_once(':'));
        pairs
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim().to_owned())
    };
    let (body, is_whole) = match header("content-length").and_then(|text| text.parse().ok()) {
        Some(length) => (
            rest[..rest.len().min(length)].to_vec(),
            rest.len() >= length,
        ),
        None if header("transfer-encoding").is_some() => dechunk(rest),
        None => (rest.to_vec(), end == "closed"),
    };
    Some(Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        has_stamp: header("godwitpost-server-stamp").is_some(),
        retry_after: header("retry-after").and_then(|text| text.parse().ok()),
        body,
        is_whole,
        end: end.to_owned(),
    })
}

// Returns the data of the chunks so far, and whether the last one is there.
fn dechunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut data = Vec::new();
    while let Some(line_end) = bytes.windows(2).position(|part| part == b"\r\n") {
        let line = String::from_utf8_lossy(&bytes[..line_end]).into_owned();
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return (data, false);
        };
        let start = line_end + 2;
        if bytes.len() < start + size + 2 {
            let there = bytes.len().saturating_sub(start).min(size);
            data.extend_from_slice(&bytes[start..start + there]);
            return (data, false);
        }
        data.extend_from_slice(&bytes[start..start + size]);
        bytes = &bytes[start + size + 2..];
        if size == 0 {
            return (data, true);
        }
    }
    (data, false)
}
