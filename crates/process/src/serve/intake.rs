//! How many new connections are taken, and which are turned away.
//!
//! A load balancer may send most new connections of a zone to one instance, several times
//! as many as it has the processor for. If it took all of them, each would wait for the
//! others, and its request would be read after its client had left: then hardly any is
//! served at all. So only a few connections at a time are taken whose first request isn't
//! read yet; the others wait in the system's queue. If that queue hasn't been empty for
//! longer than clients wait, all that are in it are closed with their requests unread.
//! Clients then turn to another instance, with requests that must not run twice as well.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::coop::unconstrained;
use tokio::time::Instant;

/// The number of connections that are taken before the first requests of others are read.
/// With more of them a request waits at each of its steps for as many others.
const MAX_UNREAD: usize = 8;

/// So many connections are served before others are closed: what came while the process was
/// suspended for a moment is no crowd.
const MIN_SERVED: u32 = 16;

/// What becomes of the next connection.
#[derive(Debug)]
pub(super) enum Taken {
    /// It is served; it counts as unread until the permit is dropped.
    Serve(TcpStream, Option<OwnedSemaphorePermit>),
    /// It is closed unread.
    TurnAway(TcpStream),
}

/// Takes connections from a listener.
#[derive(Debug)]
pub(super) struct Intake {
    listener: TcpListener,
    unread: Arc<Semaphore>,
    // How long a connection may wait in the system's queue; `None` if none is turned away.
    max_wait: Option<Duration>,
    // When the queue was last empty, and how many connections were served since.
    empty_at: Instant,
    served: u32,
}

impl Intake {
    pub(super) fn new(listener: TcpListener, max_wait: Option<Duration>) -> Self {
        Self {
            listener,
            unread: Arc::new(Semaphore::new(MAX_UNREAD)),
            max_wait,
            empty_at: Instant::now(),
            served: 0,
        }
    }

    /// Waits for the next connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the system can't accept it.
    pub(super) async fn next(&mut self) -> std::io::Result<Taken> {
        let Some(max_wait) = self.max_wait else {
            let (stream, _) = self.listener.accept().await?;
            return Ok(Taken::Serve(stream, None));
        };
        let is_crowded = self.served >= MIN_SERVED && self.empty_at.elapsed() > max_wait;
        if is_crowded && let Some(accepted) = self.accept_waiting().await {
            return Ok(Taken::TurnAway(accepted?));
        }
        let permit = Arc::clone(&self.unread).acquire_owned().await.ok();
        let stream = match self.accept_waiting().await {
            Some(accepted) => accepted?,
            None => self.listener.accept().await?.0,
        };
        self.served = self.served.saturating_add(1);
        Ok(Taken::Serve(stream, permit))
    }

    // Accepts a connection that is in the system's queue. If none is, that is noted.
    async fn accept_waiting(&mut self) -> Option<std::io::Result<TcpStream>> {
        // The runtime's budget would make the queue look empty.
        let accepted = unconstrained(self.listener.accept());
        tokio::select! {
            biased;
            accepted = accepted => Some(accepted.map(|(stream, _)| stream)),
            () = std::future::ready(()) => {
                self.empty_at = Instant::now();
                self.served = 0;
                None
            }
        }
    }
}
