//! The body of a message between instances: a typed head and raw bytes.
//!
//! Layout: the length of the head as four bytes, big-endian; the head in MessagePack;
//! the raw body.

use bytes::{BufMut, Bytes, BytesMut};
use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Size of the field that holds the length of the head.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A message: a typed head and the bytes that follow it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame<H> {
    /// The typed head.
    pub head: H,
    /// Raw bytes that follow it, such as the body of a request.
    pub body: Bytes,
}

/// The reason for which bytes are not a valid frame.
#[derive(Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the message ends within its head: the sender did not finish it; send it again
    Short,
    /// the head can't be read ({0}): run one version of the router on both instances
    Head(String),
}

impl std::error::Error for Error {}

impl<H: Serialize> Frame<H> {
    /// Encodes the frame.
    ///
    /// # Panics
    ///
    /// Panics if the head can't be serialized as MessagePack. Heads are plain structs,
    /// so this would be a bug in the type.
    pub fn encode(&self) -> Bytes {
        let head = rmp_serde::to_vec(&self.head).expect("a plain struct is always encodable");
        let length = u32::try_from(head.len()).expect("a head is far below 4 GiB");
        let mut bytes = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + head.len() + self.body.len());
        bytes.put_u32(length);
        bytes.put_slice(&head);
        bytes.put_slice(&self.body);
        bytes.freeze()
    }
}

impl<H: DeserializeOwned> Frame<H> {
    /// Decodes a frame. The body shares the memory of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes end within the head, or if the head has another
    /// type.
    pub fn decode(bytes: &Bytes) -> Result<Self, Error> {
        let length: [u8; LENGTH_PREFIX_BYTES] = bytes
            .get(..LENGTH_PREFIX_BYTES)
            .and_then(|length| length.try_into().ok())
            .ok_or(Error::Short)?;
        let length = u32::from_be_bytes(length) as usize;
        let end = LENGTH_PREFIX_BYTES
            .checked_add(length)
            .ok_or(Error::Short)?;
        let head = bytes.get(LENGTH_PREFIX_BYTES..end).ok_or(Error::Short)?;
        let head = rmp_serde::from_slice(head).map_err(|error| Error::Head(error.to_string()))?;
        Ok(Self {
            head,
            body: bytes.slice(end..),
        })
    }
}

#[cfg(test)]
mod tests;
