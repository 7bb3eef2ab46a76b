//! The body of a response, which returns its connection to the pool at its end.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::pool::{Connection, Pool};

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length or its last chunk.
    Delimited,
    /// By the end of its connection, as in HTTP/1.0. A truncated body of this kind can't be
    /// distinguished from a complete one, so code that relays it must not present it as
    /// complete without further evidence.
    CloseDelimited,
}

impl Framing {
    /// Returns its name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Delimited => "delimited",
            Self::CloseDelimited => "close-delimited",
        }
    }
}

/// The body of a response.
///
/// Reading it to the end returns the connection to the pool. Dropping it before
/// closes the connection, so the rest of the body is never taken for the
/// response to another request.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    connection: Option<(Connection, Pool)>,
    framing: Framing,
    ended_before_request: bool,
}

impl ResponseBody {
    pub(super) fn new(
        headers: &HeaderMap,
        body: Incoming,
        mut connection: Connection,
        pool: Pool,
    ) -> Self {
        if let Some(timeout) = parse_keep_alive_timeout(headers) {
            connection.set_server_idle_timeout(timeout);
        }
        let framing = if body.size_hint().exact().is_some() || is_chunked(headers) {
            Framing::Delimited
        } else {
            Framing::CloseDelimited
        };
        let mut received = Self {
            body,
            connection: Some((connection, pool)),
            framing,
            ended_before_request: false,
        };
        received.release_at_end();
        received
    }

    /// Returns how the end of the body is marked.
    #[must_use]
    pub const fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the body ended before its request was written. The server then did not
    /// read the request to its end.
    #[must_use]
    pub const fn ended_before_request(&self) -> bool {
        self.ended_before_request
    }

    /// Boxes it as the body of another message, such as the response to the
    /// caller.
    #[must_use]
    pub fn boxed(self) -> super::Body {
        BodyExt::map_err(self, Into::into).boxed_unsync()
    }

    fn release_at_end(&mut self) {
        if self.body.is_end_stream()
            && let Some((connection, pool)) = self.connection.take()
        {
            pool.release(connection);
        }
    }
}

// Returns the time-out that the server announces in whole seconds. It is
// defined in RFC 2068, section 19.7.1.1, and still in common use.
fn parse_keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let parameter = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    parameter.trim().parse().ok().map(Duration::from_secs)
}

// Returns whether `chunked` is the last coding. Only then does it delimit the
// body (RFC 9112, section 6.3).
fn is_chunked(headers: &HeaderMap) -> bool {
    headers
        .get_all(TRANSFER_ENCODING)
        .iter()
        .next_back()
        .and_then(|value| value.to_str().ok())
        .and_then(|codings| codings.rsplit(',').next())
        .is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => {
                if let Some((connection, _)) = &self.connection {
                    connection.untaken.reset();
                }
                self.release_at_end();
            }
            Some(Err(_)) => self.connection = None,
            None => {
                if let Some((connection, pool)) = self.connection.take() {
                    self.ended_before_request = connection.unwritten.is_left();
                    pool.release(connection);
                }
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
