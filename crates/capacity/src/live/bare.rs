//! A relay that does nothing but pass bytes on: what the router is held
//! against.
//!
//! It uses the same server, connector and runtime as the router, reads the
//! caller's body whole as the router does, and decides nothing.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{Body, Connector, Settings};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};

/// The name of its threads.
pub const THREAD: &str = "bare";

const WAIT: Duration = Duration::from_secs(20);

/// A bare relay; it stops when dropped.
#[derive(Debug)]
pub struct Bare {
    address: SocketAddr,
    // Taken when dropped: a runtime may not wait for itself to end inside
    // another one.
    runtime: Option<Runtime>,
}

impl Drop for Bare {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Bare {
    /// Starts a relay to one endpoint, on some threads of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free or threads can't be started.
    pub fn start(to: SocketAddr, threads: usize) -> std::io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name(THREAD)
            .enable_all()
            .build()?;
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        runtime.spawn(run(listener, to));
        Ok(Self {
            address,
            runtime: Some(runtime),
        })
    }

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn run(listener: std::net::TcpListener, to: SocketAddr) {
    let connector = Connector::new(Settings::default());
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    while let Ok((stream, _)) = listener.accept().await {
        drop(stream.set_nodelay(true));
        let connector = connector.clone();
        let service = service_fn(move |request| relay(connector.clone(), to, request));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn relay(
    connector: Connector,
    to: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (parts, incoming) = request.into_parts();
    let body = incoming
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    let body = full(body.unwrap_or_default());
    let sent = connector.send(to, Request::from_parts(parts, body), WAIT);
    let response = match sent.await {
        Ok(response) => response.map(godwitpost_client::connect::ResponseBody::boxed),
        Err(_failed) => {
            let mut response = Response::new(full(Bytes::new()));
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        }
    };
    Ok(response)
}

/// Returns a body of these bytes.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
