//! An endpoint that costs next to nothing: it answers from memory.
//!
//! It takes the place of plain services and of engines at once: a path with
//! `/stream` in it, or a chat, is answered by an event stream of tokens, each
//! written by itself as engines do; reports and cache events are answered so
//! that the router's probes find it well.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Tokens of one streamed answer: the letter's tokens over its requests.
pub const TOKENS: u32 = 376;

/// An event with one token, about as long as stock engines write them.
const EVENT: &[u8] = b"data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" ice\"},\"finish_reason\":null}]}\n\n";
const LAST: &[u8] = b"data: [DONE]\n\n";

/// A plain confirmation.
const ANSWER: &[u8] = b"{\"order\":\"accepted\",\"copies\":40}";

const REPORT: &str = "{\"taken_ms\":1,\"incarnation\":1,\"standing\":\"live\",\"requests\":0,\"work\":0,\"models\":[\"writer@7\"],\"role\":\"mixed\"}";
const EVENTS: &str = "{\"first\":0,\"next\":0,\"events\":[]}";

/// Starts the endpoint on the current runtime; returns where it listens.
///
/// # Errors
///
/// Returns an error if no port of the loopback address is free.
pub async fn start() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            drop(stream.set_nodelay(true));
            let service = service_fn(answer);
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    Ok(address)
}

async fn answer(
    request: Request<Incoming>,
) -> Result<Response<UnsyncBoxBody<Bytes, Infallible>>, Infallible> {
    let path = request.uri().path().to_owned();
    // Read to the end, so that the connection can be used again.
    drop(request.into_body().collect().await);
    let streamed = path.contains("/stream") || path == "/v1/chat/completions";
    let mut response = if streamed {
        Response::new(
            Stream {
                left: TOKENS + 1,
                flushing: false,
            }
            .boxed_unsync(),
        )
    } else {
        let bytes = match path.as_str() {
            "/v1/report" => Bytes::from_static(REPORT.as_bytes()),
            "/v1/cache-events" => Bytes::from_static(EVENTS.as_bytes()),
            _ => Bytes::from_static(ANSWER),
        };
        Response::new(Full::new(bytes).boxed_unsync())
    };
    let kind = if streamed {
        "text/event-stream"
    } else {
        "application/json"
    };
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static(kind));
    Ok(response)
}

/// A stream of events, each its own write.
struct Stream {
    left: u32,
    // Whether the last event still has to go out before the next is made.
    flushing: bool,
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        // A pending body makes hyper write what it holds. Tokens come one by
        // one from an engine, so they must not be gathered here either.
        if std::mem::replace(&mut self.flushing, true) {
            self.flushing = false;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.left -= 1;
        let event = if self.left == 0 { LAST } else { EVENT };
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(event)))))
    }
}
