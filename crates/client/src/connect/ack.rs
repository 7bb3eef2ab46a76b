//! Limits how long sent data may stay unacknowledged, without limiting silence.
//!
//! `TCP_USER_TIMEOUT` also decides when keep-alive gives up: as soon as one probe stays
//! unanswered and the peer has been silent for longer than the limit. A limit below the
//! interval of the probes would end a silent stream for a single lost packet. So it holds
//! only from a write until all that was written is acknowledged or the connection is gone.

use std::io::Result;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// How much longer than the limit it holds after a write: the system ends the connection at
/// the limit, a little late.
const HOLD_FACTOR: u32 = 2;

/// The limit of one connection.
#[derive(Debug)]
pub(super) struct AckTimeout {
    limit: Duration,
    // When the limit ends, if it holds.
    end: Option<Pin<Box<Sleep>>>,
}

impl AckTimeout {
    pub(super) const fn new(limit: Duration) -> Self {
        Self { limit, end: None }
    }

    /// Has the limit hold for data that was just written. The task is woken when its time is
    /// over, though nothing is read until then.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses the limit.
    pub(super) fn start(&mut self, stream: &TcpStream, cx: &mut Context<'_>) -> Result<()> {
        let end = Instant::now() + self.limit * HOLD_FACTOR;
        if let Some(sleep) = &mut self.end {
            sleep.as_mut().reset(end);
        } else {
            self.end = Some(Box::pin(sleep_until(end)));
            SockRef::from(stream).set_tcp_user_timeout(Some(self.limit))?;
        }
        self.poll_end(stream, cx)
    }

    /// Lifts the limit if its time is over; otherwise the task is woken then.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses to.
    pub(super) fn poll_end(&mut self, stream: &TcpStream, cx: &mut Context<'_>) -> Result<()> {
        let is_over = |sleep: &mut Pin<Box<Sleep>>| sleep.as_mut().poll(cx) == Poll::Ready(());
        if !self.end.as_mut().is_some_and(is_over) {
            return Ok(());
        }
        self.end = None;
        SockRef::from(stream).set_tcp_user_timeout(None)
    }
}
