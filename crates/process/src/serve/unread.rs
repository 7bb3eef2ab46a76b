//! Limits how long a client may take nothing of what is written to it.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use super::SlowClients;
use super::backlog::Backlog;

/// The writes of one connection.
pub(super) struct Writes {
    backlog: Arc<Backlog>,
    limits: Option<SlowClients>,
    // Runs since the first write of those in a row that took nothing.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Writes {
    pub(super) const fn new(backlog: Arc<Backlog>, limits: Option<SlowClients>) -> Self {
        Self {
            backlog,
            limits,
            timer: None,
        }
    }

    /// Records the result of a write.
    ///
    /// # Errors
    ///
    /// Returns the error of the write, or one if the client took nothing for too long.
    pub(super) fn record(
        &mut self,
        written: Poll<Result<usize>>,
        stream: &TcpStream,
        cx: &mut Context<'_>,
    ) -> Poll<Result<usize>> {
        match written {
            Poll::Ready(Ok(1..)) => {
                self.timer = None;
                self.backlog.record_written();
            }
            Poll::Ready(_) => {}
            Poll::Pending => {
                self.backlog.record_full();
                if self.is_unread(cx) {
                    return Poll::Ready(Err(self.end(stream)));
                }
            }
        }
        written
    }

    fn is_unread(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(limits) = &self.limits else {
            return false;
        };
        let max_unread = limits.max_unread;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep(max_unread)));
        timer.as_mut().poll(cx).is_ready()
    }

    // Has the connection reset when it is dropped. If it were closed in order, the system
    // would keep what is unread.
    fn end(&self, stream: &TcpStream) -> Error {
        self.backlog.record_unread();
        if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
            log::debug!(error:% = error; "linger time not set");
        }
        if let Some(limits) = &self.limits {
            (limits.disconnected)();
        }
        Error::new(ErrorKind::TimedOut, "client reads nothing")
    }
}
