//! A network path to an endpoint that can be cut.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;

use crate::fleet::free_addresses;

/// How long a connection is tried for until a listener's queue counts as full.
const QUEUE_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

#[derive(Default)]
struct PathState {
    accepting: Option<AbortHandle>,
    connections: usize,
    // Connections that fill the queue of a silent path.
    waiting: Vec<TcpStream>,
}

/// A path from one instance to one endpoint.
#[derive(Clone)]
pub(crate) struct Path {
    /// The address at which the instance finds the endpoint.
    pub(crate) address: SocketAddr,
    to: SocketAddr,
    state: Arc<Mutex<PathState>>,
}

impl Path {
    /// Returns an open path to an endpoint.
    pub(crate) fn open(to: SocketAddr) -> Self {
        let path = Self::refused(to);
        path.heal();
        path
    }

    /// Returns a path on which connections are refused.
    pub(crate) fn refused(to: SocketAddr) -> Self {
        let [address] = free_addresses();
        Self {
            address,
            to,
            state: Arc::default(),
        }
    }

    /// Returns a path on which connections are never established.
    pub(crate) async fn silent(to: SocketAddr) -> Self {
        let path = Self::refused(to);
        path.silence().await;
        path
    }

    /// Returns the number of connections that were let through.
    pub(crate) fn connections(&self) -> usize {
        self.state.lock().expect("path lock").connections
    }

    /// Resets all connections and refuses new ones.
    pub(crate) async fn reset(&self) {
        let accepting = {
            let mut state = self.state.lock().expect("path lock");
            state.waiting.clear();
            state.accepting.take()
        };
        if let Some(accepting) = accepting {
            accepting.abort();
        }
        // The listener is closed when its aborted task has been polled once more.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    /// Ends all connections, and establishes no new ones.
    pub(crate) async fn silence(&self) {
        self.reset().await;
        let listener = self.listen(0);
        let mut waiting = Vec::new();
        while let Ok(Ok(connection)) =
            timeout(QUEUE_PROBE_TIMEOUT, TcpStream::connect(self.address)).await
        {
            waiting.push(connection);
        }
        let mut state = self.state.lock().expect("path lock");
        state.waiting = waiting;
        let holding = tokio::spawn(async move {
            let _listener = listener;
            std::future::pending::<()>().await;
        });
        state.accepting = Some(holding.abort_handle());
    }

    /// Lets connections through.
    pub(crate) fn heal(&self) {
        let listener = self.listen(1_024);
        let to = self.to;
        let counted = Arc::clone(&self.state);
        let accepting = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                counted.lock().expect("path lock").connections += 1;
                connections.spawn(connect_through(stream, to));
            }
        });
        self.state.lock().expect("path lock").accepting = Some(accepting.abort_handle());
    }

    fn listen(&self, backlog: u32) -> TcpListener {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an open socket");
        socket.bind(self.address).expect("a free address");
        socket.listen(backlog).expect("a listener")
    }
}

async fn connect_through(mut stream: TcpStream, to: SocketAddr) {
    // With a linger time of zero, dropping a socket resets its connection.
    stream.set_zero_linger().expect("an open socket");
    if let Ok(mut endpoint) = TcpStream::connect(to).await {
        endpoint.set_zero_linger().expect("an open socket");
        drop(copy_bidirectional(&mut stream, &mut endpoint).await);
    }
}
