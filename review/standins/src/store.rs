//! A stand-in of the platform's store with the two topics that the router reads.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Default)]
struct Topics {
    op: Vec<(String, Vec<u8>)>,
    servers: Vec<(String, Vec<u8>)>,
}

/// A handle to the store.
#[derive(Clone)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self {
            topics: Arc::default(),
            address,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record to `keyed.op` or `keyed.servers`; an empty value drops the key.
    pub fn append(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.0.lock().expect("the topics");
        let records = if topic == "keyed.op" {
            &mut topics.op
        } else {
            &mut topics.servers
        };
        records.push((key.to_owned(), value.to_vec()));
        drop(topics);
        self.topics.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let mut writer = stream.try_clone().expect("a socket");
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            let query = |name: &str| {
                let (_, query) = request.target().split_once('?')?;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
                    .map(str::to_owned)
            };
            let is_op = query("Topic").as_deref() == Some("keyed.op");
            let answer = if request.target().starts_with("/api/log-newest") {
                self.newest(is_op)
            } else if request.target().starts_with("/api/log-read") {
                let number = |name| query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = Duration::from_millis(number("WaitMs"));
                self.read(is_op, number("From") as usize, wait)
            } else {
                http::response("404 Not Found", "", b"")
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn newest(&self, is_op: bool) -> Vec<u8> {
        let topics = self.topics.0.lock().expect("the topics");
        let records = if is_op { &topics.op } else { &topics.servers };
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.clone(), (offset, value.clone()));
        }
        let entries: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let page = format!(
            "{{\"Entries\":[{}],\"Truncated\":false,\"End\":{}}}",
            entries.join(","),
            records.len()
        );
        http::response(
            "200 OK",
            "Content-Type: application/json\r\n",
            page.as_bytes(),
        )
    }

    fn read(&self, is_op: bool, from: usize, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.0.lock().expect("the topics");
        loop {
            let records = if is_op { &topics.op } else { &topics.servers };
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                break;
            }
            topics = self
                .topics
                .1
                .wait_timeout(topics, left)
                .expect("the topics")
                .0;
        }
        let records = if is_op { &topics.op } else { &topics.servers };
        let mut body = Vec::new();
        body.extend((records.len() as u64).to_be_bytes());
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        http::response("200 OK", "", &body)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for at in 0..3 {
            word = word << 8 | u32::from(chunk.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
