//! Authentication between instances with a key shared by the fleet.
//!
//! Without it, anyone who can reach the peer port of an instance could bypass the
//! limits of workspaces, or reassign chats with forged gossip. A seal is a keyed BLAKE3
//! hash over the method, path, sender, receiver, time and body. A message that was
//! modified, sent to another instance, or replayed after [`REPLAY_WINDOW`] is rejected.
//!
//! A message replayed to the same instance within the window is accepted. This is
//! harmless: unrepeatable requests are claimed by their key, and gossip and claims are
//! idempotent.

use std::fmt;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use displaydoc::Display;
use godwitpost_types::clock::Moment;
use http::{HeaderMap, HeaderValue};

use crate::header;

/// Maximum difference between the clocks of two instances plus the time in transit. A
/// longer window allows a recorded message to be replayed for longer.
pub const REPLAY_WINDOW: Duration = Duration::from_secs(30);

/// Size of a fleet key.
pub const KEY_BYTES: usize = 32;

/// The key shared by all instances of a fleet.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

/// The reason for which a message is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the message has no seal: only instances of the fleet may use this port
    Unsealed,
    /// the seal's time is outside the window: set both instances' clocks by one source
    Stale,
    /// the seal doesn't fit the message: give both instances the same `fleet_key`
    Forged,
}

impl std::error::Error for Error {}

/// The parts of a message that a seal covers.
#[derive(Clone, Copy, Debug)]
pub struct Message<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path, with its query.
    pub path: &'a str,
    /// The name of the sending instance.
    pub sender: &'a str,
    /// The name of the receiving instance.
    pub receiver: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Key {
    /// Creates a key from bytes.
    #[must_use]
    pub const fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Parses a key in base64.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = STANDARD.decode(text.trim()).ok()?;
        Some(Self(bytes.try_into().ok()?))
    }

    /// Adds the headers of a seal to a message.
    ///
    /// # Panics
    ///
    /// Panics if the sender's name is not a valid header value; settings reject such
    /// names.
    pub fn seal(&self, message: &Message<'_>, now: Moment, headers: &mut HeaderMap) {
        let time = now.as_millis().to_string();
        let seal = STANDARD.encode(self.hash(message, &time).as_bytes());
        let value = |text: &str| HeaderValue::from_str(text).expect("checked by settings");
        headers.insert(header::SENDER, value(message.sender));
        headers.insert(header::TIME, value(&time));
        headers.insert(header::SEAL, value(&seal));
    }

    /// Checks the seal of a message to `receiver` and returns the name of its sender.
    ///
    /// # Errors
    ///
    /// Returns an error if the seal is missing, too old or too new, or was not made
    /// with this key for this message.
    pub fn check<'h>(
        &self,
        (method, path, receiver): (&str, &str, &str),
        body: &[u8],
        now: Moment,
        headers: &'h HeaderMap,
    ) -> Result<&'h str, Error> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let sender = text(header::SENDER).ok_or(Error::Unsealed)?;
        let time = text(header::TIME).ok_or(Error::Unsealed)?;
        let seal = text(header::SEAL).ok_or(Error::Unsealed)?;
        let sealed = time.parse().map_err(|_not_a_number| Error::Stale)?;
        if now.abs_diff(Duration::from_millis(sealed)) > REPLAY_WINDOW {
            return Err(Error::Stale);
        }
        let message = Message {
            method,
            path,
            sender,
            receiver,
            body,
        };
        let given: [u8; blake3::OUT_LEN] = STANDARD
            .decode(seal)
            .ok()
            .and_then(|bytes| bytes.try_into().ok())
            .ok_or(Error::Forged)?;
        // `blake3::Hash` compares in constant time, so timing reveals nothing about
        // the correct seal.
        if self.hash(&message, time) == blake3::Hash::from_bytes(given) {
            Ok(sender)
        } else {
            Err(Error::Forged)
        }
    }

    fn hash(&self, message: &Message<'_>, time: &str) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        let fields = [
            message.method,
            message.path,
            message.sender,
            message.receiver,
            time,
        ];
        for field in fields {
            // The lengths make the boundaries between fields unambiguous.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(message.body);
        hasher.finalize()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(redacted)")
    }
}

#[cfg(test)]
mod tests;
