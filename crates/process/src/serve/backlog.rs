//! What a connection's client has not taken yet.
//!
//! hyper asks for more of a body until its own buffer is full, and then not at all, so the
//! body neither knows that its client reads slowly nor sees its own timers end. Therefore
//! the connection's stream tells here whether the system takes what is written, and a body
//! that observes it gives no more until it does.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// The most bytes that a body gives before some of them are written. With one part of a
/// body on top this stays below hyper's buffer, so hyper goes on asking.
const MAX_UNWRITTEN_BYTES: usize = 16 << 10;

/// The most parts that a body gives before some of them are written. hyper queues 16 at most
/// and then doesn't ask for more.
const MAX_UNWRITTEN_PARTS: usize = 12;

/// The most wakers kept; a connection of HTTP/2 has one for each response.
const MAX_WAKERS: usize = 1_024;

/// Whether a connection's client takes what is written.
///
/// The connection's requests have it among their extensions, in an `Arc`.
#[derive(Debug, Default)]
pub struct Backlog {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    // Whether the last write took nothing.
    is_full: bool,
    // Whether the connection speaks HTTP/2.
    is_multiplexed: bool,
    // Bytes and parts given since something was last written.
    unwritten: usize,
    unwritten_parts: usize,
    is_unread: bool,
    wakers: Vec<Waker>,
}

impl Backlog {
    /// Waits until there is room for more of a body.
    pub fn poll_room(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        let has_room =
            state.unwritten < MAX_UNWRITTEN_BYTES && state.unwritten_parts < MAX_UNWRITTEN_PARTS;
        if !state.is_full && has_room {
            return Poll::Ready(());
        }
        if state.wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            return Poll::Pending;
        }
        // Bodies that were dropped leave their wakers here. All are woken at the bound, so that
        // those still waiting register again; without a waker a body would wait for ever.
        let woken = if state.wakers.len() < MAX_WAKERS {
            Vec::new()
        } else {
            std::mem::take(&mut state.wakers)
        };
        state.wakers.push(cx.waker().clone());
        drop(state);
        for waker in woken {
            waker.wake();
        }
        Poll::Pending
    }

    /// Records a part of a body that is given.
    pub fn record_given(&self, bytes: usize) {
        let mut state = self.lock();
        // A response of HTTP/2 whose window is closed isn't written, however much the client
        // reads of the others. Those would wait for it.
        if !state.is_multiplexed {
            state.unwritten += bytes;
            state.unwritten_parts += 1;
        }
    }

    /// Records that the connection speaks HTTP/2, which bounds what is given by itself.
    pub(super) fn record_multiplexed(&self) {
        self.lock().is_multiplexed = true;
    }

    /// Returns whether the connection was ended because its client read nothing for too long.
    #[must_use]
    pub fn is_unread(&self) -> bool {
        self.lock().is_unread
    }

    /// Records that the system took bytes.
    pub(super) fn record_written(&self) {
        let mut state = self.lock();
        state.is_full = false;
        state.unwritten = 0;
        state.unwritten_parts = 0;
        let wakers = std::mem::take(&mut state.wakers);
        drop(state);
        for waker in wakers {
            waker.wake();
        }
    }

    /// Records that the system took nothing.
    pub(super) fn record_full(&self) {
        self.lock().is_full = true;
    }

    /// Records that the connection ends because its client read nothing for too long.
    pub(super) fn record_unread(&self) {
        self.lock().is_unread = true;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
