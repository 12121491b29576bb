use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_node::peer;
use comfreymill_node::runtime;
use comfreymill_types::error;
use monoio::io::AsyncWriteRentExt as _;
use monoio::net::{TcpListener, TcpStream};

const KEY: &str = "the key of this cluster";
const LIMIT: Duration = Duration::from_secs(30);

fn identity(cluster: &str, version: u32, key: &'static str) -> peer::Identity {
    let hello = peer::Hello {
        version,
        cluster: cluster.to_owned(),
        name: "control-1".to_owned(),
        role: peer::Role::Control.into(),
        incarnation: 1,
        region: "tas-south".to_owned(),
        zone: "hobart-a".to_owned(),
        replica: 1,
        nonce: Bytes::new(),
    };
    peer::Identity { hello, key: peer::ClusterKey::new(key) }
}

fn ours() -> peer::Identity {
    identity("derwent-hull", peer::Hello::VERSION, KEY)
}

type Handshake = Result<peer::Connection, peer::PeerError>;

/// Connects a peer and returns the result of each side, the acceptor's first.
async fn handshake(theirs: peer::Identity) -> (Handshake, Handshake) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let accept = async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        peer::Connection::accept(stream, &ours()).await
    };
    let accepted = monoio::spawn(accept);
    let connected = peer::Connection::connect(address, &theirs, LIMIT).await;
    (accepted.await, connected)
}

#[test]
fn peers_with_the_same_key_exchange_frames() {
    runtime::block_on(async {
        let (accepted, connected) = handshake(ours()).await;
        let (mut accepted, mut connected) =
            (accepted.expect("accepted"), connected.expect("connected"));
        let body = Bytes::from(vec![7; 100_000]);
        let frame = peer::Frame::new(peer::FrameKind::Call, 5, body);
        connected.writer.send(frame.clone()).await.expect("sent");
        assert_eq!(accepted.reader.next().await.expect("a frame"), frame);
        accepted.writer.send(frame.clone()).await.expect("sent");
        assert_eq!(connected.reader.next().await.expect("a frame"), frame);
    })
    .expect("a runtime");
}

#[test]
fn unauthenticated_peers_are_refused_with_the_reason() {
    let cases = [
        (identity("other", peer::Hello::VERSION, KEY), "cluster `other`"),
        (identity("derwent-hull", peer::Hello::VERSION + 1, KEY), "protocol version"),
        (identity("derwent-hull", peer::Hello::VERSION, "another key"), "does not hold"),
    ];
    for (theirs, reason) in cases {
        runtime::block_on(async {
            let (accepted, _) = handshake(theirs).await;
            let error = accepted.expect_err("a refusal");
            assert!(error.to_string().contains(reason), "{error}");
        })
        .expect("a runtime");
    }
}

/// Sends bytes as an unauthenticated peer and returns the error of the acceptor.
async fn refuse(bytes: Vec<u8>, closes: bool) -> peer::PeerError {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let accept = async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        peer::Connection::accept(stream, &ours()).await.map(|_| ())
    };
    let accepted = monoio::spawn(accept);
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(bytes).await.0.expect("written");
    if closes {
        drop(stream);
        return accepted.await.expect_err("a refusal");
    }
    let error = accepted.await.expect_err("a refusal");
    drop(stream);
    error
}

#[test]
fn invalid_handshake_bytes_are_refused() {
    let huge = vec![0xff; 64];
    let empty_frame = vec![0, 0, 0, 0];
    let wrong_kind = vec![0, 0, 0, 2, 0x08, 0x03];
    let invalid_prost = vec![0, 0, 0, 3, 0xff, 0xff, 0xff];
    for (bytes, closes) in [
        (huge, false),
        (empty_frame, false),
        (wrong_kind, false),
        (invalid_prost, false),
        (vec![0], true),
    ] {
        runtime::block_on(async {
            let shown = format!("{bytes:?}");
            let error = refuse(bytes, closes).await;
            let is_named = matches!(
                error.get_kind(),
                error::ErrorKind::BadRequest | error::ErrorKind::Unreachable
            );
            assert!(is_named, "{shown}: {error}");
        })
        .expect("a runtime");
    }
}

#[test]
fn a_peer_that_sends_no_handshake_times_out() {
    runtime::block_on(async {
        let error = refuse(Vec::new(), false).await;
        assert!(matches!(error, peer::PeerError::TimedOut), "{error}");
    })
    .expect("a runtime");
}

/// The link to a machine that was gone for good went on connecting for as long as the process ran.
#[test]
fn a_link_that_is_not_needed_ends_without_having_connected() {
    runtime::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let (tx, rx) = flume::bounded(1);
        let link = monoio::spawn(peer::link("gone", address, ours(), rx));
        monoio::time::sleep(Duration::from_millis(200)).await;
        drop(tx);
        monoio::time::timeout(LIMIT, link).await.expect("the link ends");
    })
    .expect("a runtime");
}
