//! Tests of how the end of one connection of a tunnel shows on the other.

use std::net::SocketAddr;

use godwitpost_standin::tunnel;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Returns a caller and an endpoint that are connected by a tunnel.
async fn connect() -> (TcpStream, TcpStream, JoinHandle<()>) {
    let (outer, outer_address) = listen().await;
    let (inner, inner_address) = listen().await;
    let tunnel = tokio::spawn(async move {
        let (caller, _) = outer.accept().await.expect("a caller");
        let endpoint = TcpStream::connect(inner_address).await;
        tunnel::run(caller, endpoint.expect("an endpoint"), async |_| true).await;
    });
    let caller = TcpStream::connect(outer_address).await.expect("a tunnel");
    let (endpoint, _) = inner.accept().await.expect("a tunnel");
    (caller, endpoint, tunnel)
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

// Reads what the endpoint has sent before its end.
async fn read_half(caller: &mut TcpStream) {
    let mut half = [0; 4];
    caller.read_exact(&mut half).await.expect("what was sent");
    assert_eq!(&half, b"half");
}

#[tokio::test]
async fn an_orderly_end_arrives_as_such_and_the_other_way_stays_open() {
    let (mut caller, mut endpoint, tunnel) = connect().await;
    endpoint.write_all(b"half").await.expect("an open tunnel");
    endpoint.shutdown().await.expect("an open tunnel");
    read_half(&mut caller).await;
    assert_eq!(caller.read(&mut [0]).await.expect("an orderly end"), 0);
    caller.write_all(b"late").await.expect("an open tunnel");
    caller.shutdown().await.expect("an open tunnel");
    let mut text = String::new();
    endpoint.read_to_string(&mut text).await.expect("an end");
    assert_eq!(text, "late");
    tunnel.await.expect("a tunnel that ends");
}

/// Guards against a reset that arrives as an orderly end, which makes a part of a response
/// look whole.
#[tokio::test]
async fn a_reset_arrives_as_a_reset() {
    let (mut caller, mut endpoint, _tunnel) = connect().await;
    endpoint.write_all(b"half").await.expect("an open tunnel");
    read_half(&mut caller).await;
    endpoint.set_zero_linger().expect("an open socket");
    drop(endpoint);
    caller.read(&mut [0]).await.expect_err("a reset");
}

/// Guards against the same where the tunnel itself is cut.
#[tokio::test]
async fn a_dropped_tunnel_resets_both_connections() {
    let (mut caller, mut endpoint, tunnel) = connect().await;
    endpoint.write_all(b"half").await.expect("an open tunnel");
    read_half(&mut caller).await;
    tunnel.abort();
    caller.read(&mut [0]).await.expect_err("a reset");
    endpoint.read(&mut [0]).await.expect_err("a reset");
}
