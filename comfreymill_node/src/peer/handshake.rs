use bytes::Bytes;
use prost::Message as _;

use super::connection::{FrameReader, FrameWriter};
use super::{Frame, FrameKind, Hello, Identity, PeerError};

const NONCE_BYTES: usize = 32;
const ACCEPTOR: &[u8] = b"acceptor";
const CONNECTOR: &[u8] = b"connector";

/// Side of the connection on which this process is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Side {
    /// The process that accepted the connection.
    Acceptor,
    /// The process that opened the connection.
    Connector,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Acceptor => ACCEPTOR,
            Self::Connector => CONNECTOR,
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Acceptor => Self::Connector,
            Self::Connector => Self::Acceptor,
        }
    }
}

/// Exchanges hellos and proofs and returns the peer's hello.
pub(super) async fn perform(
    side: Side,
    identity: &Identity,
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
) -> Result<Hello, PeerError> {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    let hello = Hello { nonce: Bytes::copy_from_slice(&nonce), ..identity.hello.clone() };
    let ours = Bytes::from(hello.encode_to_vec());
    writer.send(Frame::new(FrameKind::Hello, 0, ours.clone())).await?;
    let theirs = expect(reader, FrameKind::Hello).await?;
    let peer = Hello::decode(theirs.clone()).map_err(|e| PeerError::Malformed(e.to_string()))?;
    check(&hello, &peer)?;
    let proof = identity.key.sign(&[side.label(), &ours, &theirs]);
    writer.send(Frame::new(FrameKind::Proof, 0, proof.into())).await?;
    let proof = expect(reader, FrameKind::Proof).await?;
    if !identity.key.verify(&[side.other().label(), &theirs, &ours], &proof) {
        return Err(PeerError::WrongKey);
    }
    Ok(peer)
}

async fn expect(reader: &mut FrameReader, kind: FrameKind) -> Result<Bytes, PeerError> {
    let frame = reader.next().await?;
    if frame.kind() == kind {
        return Ok(frame.body);
    }
    Err(PeerError::Malformed(format!(
        "frame of kind {} received before the end of the handshake",
        frame.kind
    )))
}

fn check(ours: &Hello, theirs: &Hello) -> Result<(), PeerError> {
    if theirs.version != ours.version {
        return Err(PeerError::ForeignVersion { ours: ours.version, theirs: theirs.version });
    }
    if theirs.cluster != ours.cluster {
        let (ours, theirs) = (ours.cluster.clone(), theirs.cluster.chars().take(80).collect());
        return Err(PeerError::ForeignCluster { ours, theirs });
    }
    if theirs.nonce.len() != NONCE_BYTES {
        return Err(PeerError::Malformed("the nonce has the wrong length".to_owned()));
    }
    Ok(())
}
