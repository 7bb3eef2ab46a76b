//! An endpoint that does with each request what a script says.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::AbortHandle;

/// What an endpoint does next on a connection.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Sends bytes.
    Send(String),
    /// Waits.
    Wait(u64),
    /// Closes the connection.
    Close,
    /// Ends the endpoint: it takes no more connections, and this one closes.
    End,
}

/// A request as an endpoint read it.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Seen {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

type Script = Arc<dyn Fn(usize, &Seen) -> Vec<Step> + Send + Sync>;

#[derive(Default)]
struct Notes {
    seen: Vec<Seen>,
    connections: usize,
    gone: usize,
    accepting: Option<AbortHandle>,
    paused: bool,
}

/// Connections that wait to be taken; the system drops the first packets of
/// those beyond.
const BACKLOG: u32 = 1_024;

/// How often an endpoint that takes no connections looks whether it does again.
const PAUSED: Duration = Duration::from_millis(5);

/// A running endpoint.
#[derive(Clone)]
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    notes: Arc<Mutex<Notes>>,
}

impl Endpoint {
    /// Starts one; the script gets the number of the request, from 0.
    #[expect(
        clippy::unused_async,
        reason = "tests await it like the rest of a start"
    )]
    pub(crate) async fn start(
        script: impl Fn(usize, &Seen) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        Self::start_narrow(script, BACKLOG)
    }

    /// Starts one at which few connections can wait to be taken.
    pub(crate) fn start_narrow(
        script: impl Fn(usize, &Seen) -> Vec<Step> + Send + Sync + 'static,
        backlog: u32,
    ) -> Self {
        let listener = listen(backlog).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let notes = Arc::<Mutex<Notes>>::default();
        let (script, kept): (Script, _) = (Arc::new(script), Arc::clone(&notes));
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                while kept.lock().expect("notes").paused {
                    tokio::time::sleep(PAUSED).await;
                }
                kept.lock().expect("notes").connections += 1;
                tokio::spawn(serve(stream, Arc::clone(&script), Arc::clone(&kept)));
            }
        });
        notes.lock().expect("notes").accepting = Some(accepting.abort_handle());
        Self { address, notes }
    }

    /// Says whether it takes no new connections for now; one it takes still.
    pub(crate) fn pause(&self, paused: bool) {
        self.notes.lock().expect("notes").paused = paused;
    }

    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.notes.lock().expect("notes").seen.clone()
    }

    pub(crate) fn connections(&self) -> usize {
        self.notes.lock().expect("notes").connections
    }

    /// Returns how many callers went away while a script waited.
    pub(crate) fn gone(&self) -> usize {
        self.notes.lock().expect("notes").gone
    }
}

fn listen(backlog: u32) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    socket.listen(backlog)
}

async fn serve(mut stream: TcpStream, script: Script, notes: Arc<Mutex<Notes>>) {
    let mut buffer = Vec::new();
    while let Some(seen) = read(&mut stream, &mut buffer).await {
        let steps = {
            let mut notes = notes.lock().expect("notes");
            notes.seen.push(seen.clone());
            script(notes.seen.len() - 1, &seen)
        };
        for step in steps {
            match step {
                Step::Send(text) => {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Step::Wait(millis) => {
                    let mut byte = [0; 64];
                    let wait = Duration::from_millis(millis);
                    if let Ok(Ok(0) | Err(_)) =
                        tokio::time::timeout(wait, stream.peek(&mut byte)).await
                    {
                        notes.lock().expect("notes").gone += 1;
                        return;
                    }
                }
                Step::Close => return,
                Step::End => {
                    if let Some(accepting) = notes.lock().expect("notes").accepting.take() {
                        accepting.abort();
                    }
                    // The listener goes when its task has run once more.
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    return;
                }
            }
        }
    }
}

async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Seen> {
    loop {
        if let Some(seen) = whole(buffer) {
            return Some(seen);
        }
        let mut bytes = [0; 4096];
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&bytes[..count]),
        }
    }
}

// Takes a whole request out of the buffer; bodies have a length.
fn whole(buffer: &mut Vec<u8>) -> Option<Seen> {
    let text = String::from_utf8_lossy(buffer).into_owned();
    let end = text.find("\r\n\r\n")? + 4;
    let seen = Seen {
        head: text[..end].to_owned(),
        body: String::new(),
    };
    let length: usize = seen
        .header("content-length")
        .map_or(0, |length| length.parse().expect("a length"));
    if buffer.len() < end + length {
        return None;
    }
    let body = text[end..end + length].to_owned();
    buffer.drain(..end + length);
    Some(Seen { body, ..seen })
}

/// Returns the head and body of an answer to `seen`.
pub(crate) fn answer(seen: &Seen, status: &str, more: &str, body: &str) -> Step {
    let attempt = seen.header("x-attempt").unwrap_or_default();
    Step::Send(format!(
        "HTTP/1.1 {status}\r\nx-attempt: {attempt}\r\nx-signed: s1\r\n{more}content-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Returns an answer that is late, to another attempt than any of the tests'.
pub(crate) fn late_answer(status: &str, more: &str) -> Step {
    Step::Send(format!(
        "HTTP/1.1 {status}\r\nx-attempt: a0\r\nx-signed: s1\r\n{more}content-length: 5\r\n\r\nother"
    ))
}

/// Returns a script that answers every request with this body.
pub(crate) fn says(body: &'static str) -> impl Fn(usize, &Seen) -> Vec<Step> + Send + Sync {
    move |_, seen| vec![answer(seen, "200 OK", "", body)]
}

/// Returns the head of an event stream in chunks.
pub(crate) fn stream_head(seen: &Seen, signature: &str) -> Step {
    let attempt = seen.header("x-attempt").unwrap_or_default();
    Step::Send(format!(
        "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\nx-signed: {signature}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    ))
}

/// Returns one chunk.
pub(crate) fn chunk(text: &str) -> Step {
    Step::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Returns the events `from` to `to` as chunks.
pub(crate) fn events(from: u64, to: u64) -> Vec<Step> {
    (from..=to)
        .map(|id| chunk(&format!("id: {id}\ndata: t{id}\n\n")))
        .collect()
}

/// Returns the end of a body in chunks.
pub(crate) fn last_chunk() -> Step {
    Step::Send("0\r\n\r\n".to_owned())
}
