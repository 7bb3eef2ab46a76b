//! A network path from one instance to one endpoint, which can be cut.
//!
//! The instance finds the endpoint at the path's address. A cut is seen by this instance
//! alone: connections are refused or never established, and those that were open are reset
//! or fall silent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;

use crate::tunnel;

/// How long a connection is tried for until a listener's queue counts as full.
const QUEUE_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// How long an aborted task may take to close its listener.
const CLOSE_TIME: Duration = Duration::from_millis(5);

/// The accept queue of an open path.
const BACKLOG: u32 = 1_024;

#[derive(Debug, Default)]
struct State {
    accepting: Option<AbortHandle>,
    connections: JoinSet<()>,
    established: usize,
    // Connections that fill the queue of a silent path.
    waiting: Vec<TcpStream>,
}

/// A path from one instance to one endpoint.
#[derive(Clone, Debug)]
pub struct Path {
    /// The address at which the instance finds the endpoint.
    pub address: SocketAddr,
    to: SocketAddr,
    state: Arc<Mutex<State>>,
    silent: watch::Sender<bool>,
}

impl Path {
    /// Returns a path from a free address to an endpoint, on which connections are refused.
    #[must_use]
    pub fn new(address: SocketAddr, to: SocketAddr) -> Self {
        Self {
            address,
            to,
            state: Arc::default(),
            silent: watch::channel(false).0,
        }
    }

    /// Returns the number of connections that were established.
    #[must_use]
    pub fn established(&self) -> usize {
        self.lock().established
    }

    /// Lets connections through. Those that fell silent go on.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn open(&self) -> std::io::Result<()> {
        self.close().await;
        let listener = listen(self.address, BACKLOG)?;
        self.silent.send_replace(false);
        let path = self.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let forwarding = forward(stream, path.to, path.silent.subscribe());
                let mut state = path.lock();
                state.established += 1;
                state.connections.spawn(forwarding);
            }
        });
        self.lock().accepting = Some(accepting.abort_handle());
        Ok(())
    }

    /// Refuses new connections. Those that are open live on.
    pub async fn refuse(&self) {
        self.close().await;
    }

    /// Resets all connections and refuses new ones.
    pub async fn reset(&self) {
        self.close().await;
        self.lock().connections = JoinSet::new();
    }

    /// Forwards nothing, ends nothing, and establishes no connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn silence(&self) -> std::io::Result<()> {
        self.silent.send_replace(true);
        self.close().await;
        // A full queue drops the first packets of connections.
        let listener = listen(self.address, 0)?;
        let mut waiting = Vec::new();
        while let Ok(Ok(connection)) =
            timeout(QUEUE_PROBE_TIMEOUT, TcpStream::connect(self.address)).await
        {
            waiting.push(connection);
        }
        let holding = tokio::spawn(async move {
            let _listener = listener;
            std::future::pending::<()>().await;
        });
        let mut state = self.lock();
        state.waiting = waiting;
        state.accepting = Some(holding.abort_handle());
        Ok(())
    }

    // Closes the listener.
    async fn close(&self) {
        let accepting = {
            let mut state = self.lock();
            state.waiting.clear();
            state.accepting.take()
        };
        if let Some(accepting) = accepting {
            accepting.abort();
            tokio::time::sleep(CLOSE_TIME).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

async fn forward(stream: TcpStream, to: SocketAddr, silent: watch::Receiver<bool>) {
    if let Ok(endpoint) = TcpStream::connect(to).await {
        tunnel::run(stream, endpoint, |_| wait_until_audible(silent.clone())).await;
    }
}

// Waits while the path is silent. Returns whether there still is one.
async fn wait_until_audible(mut silent: watch::Receiver<bool>) -> bool {
    silent.wait_for(|silent| !silent).await.is_ok()
}
