//! Watches whether the process that writes a response runs on.
//!
//! A process that ends closes all of its connections at once, in order, and another one may take
//! its place within milliseconds. So a second connection, on which nothing is sent, is kept
//! open beside a response whose end only its connection marks. If it is open a moment after the
//! response has ended, the process runs. A process that was told to leave may close its
//! connections itself before it ends, one after the other, so that moment is longer then.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How long the connection may take. A live machine accepts within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long after the end of the response the connection has to stay open.
pub(super) const SETTLING_TIME: Duration = Duration::from_millis(2);

/// The same for a process that is leaving: it may close a hundred connections, one after the
/// other, with some milliseconds between two of them.
pub(super) const LEAVING_SETTLING_TIME: Duration = Duration::from_millis(500);

/// How long before the end of the response the connection may have been lost as the process
/// ended.
const SAME_TIME: Duration = Duration::from_millis(10);

/// The pause before a lost connection is replaced.
const REPLACEMENT_PAUSE: Duration = Duration::from_millis(200);

/// What became of a process by the end of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It runs.
    Runs,
    /// It ended with the response.
    Ended,
    /// It accepts no connections.
    Refuses,
    /// It can't be told.
    Unknown,
}

/// A connection beside a response.
#[derive(Debug)]
pub(super) struct Witness {
    // Once the response has ended, how long the connection has to stay open.
    settling_time: watch::Sender<Option<Duration>>,
    task: JoinHandle<Fate>,
}

impl Witness {
    /// Opens a connection to the address.
    pub(super) fn start(address: SocketAddr) -> Self {
        let (settling_time, end) = watch::channel(None);
        let task = tokio::spawn(watch_process(address, end));
        Self {
            settling_time,
            task,
        }
    }

    /// Waits for what became of the process, after the response has ended. The connection has to
    /// stay open for the time that the first call names.
    pub(super) fn poll_fate(
        &mut self,
        settling_time: Duration,
        cx: &mut Context<'_>,
    ) -> Poll<Fate> {
        self.settling_time.send_if_modified(|time| {
            let has_ended = time.is_some();
            time.get_or_insert(settling_time);
            !has_ended
        });
        let fate = Pin::new(&mut self.task).poll(cx);
        fate.map(|fate| fate.unwrap_or(Fate::Unknown))
    }
}

impl Drop for Witness {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn watch_process(address: SocketAddr, mut end: watch::Receiver<Option<Duration>>) -> Fate {
    loop {
        let lost = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                tokio::select! {
                    biased;
                    () = closed(&stream) => Fate::Ended,
                    settling_time = ended(&mut end) => {
                        let closed = timeout(settling_time, closed(&stream)).await;
                        return closed.map_or(Fate::Runs, |()| Fate::Ended);
                    }
                }
            }
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Fate::Refuses,
            Ok(Err(_)) | Err(_) => Fate::Unknown,
        };
        if ends_within(&mut end, SAME_TIME).await {
            return lost;
        }
        ends_within(&mut end, REPLACEMENT_PAUSE).await;
    }
}

async fn ends_within(end: &mut watch::Receiver<Option<Duration>>, time: Duration) -> bool {
    timeout(time, ended(end)).await.is_ok()
}

// Returns when the response has ended, or nobody waits for its end any more, and how long the
// connection has to stay open then.
async fn ended(end: &mut watch::Receiver<Option<Duration>>) -> Duration {
    let settling_time = end.wait_for(Option::is_some).await;
    settling_time.map_or(SETTLING_TIME, |time| time.unwrap_or(SETTLING_TIME))
}

// Returns when the other side has closed the connection.
async fn closed(stream: &TcpStream) {
    let mut bytes = [0; 64];
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut bytes) {
            Ok(0) => return,
            Err(error) if error.kind() != ErrorKind::WouldBlock => return,
            Ok(_) | Err(_) => {}
        }
    }
}
