//! Peer requests over TCP: one authenticated request and reply for each connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::protocol::frame::{FrameCodec, HEADER_BYTES, NONCE_BYTES};
use crate::protocol::key::FleetKey;
use crate::protocol::peer::{PeerReply, PeerRequest};

/// Time within which the accepting side must have the whole request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes that an exchange moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moved {
    /// From the asking to the accepting side.
    pub sent: usize,
    /// From the accepting to the asking side.
    pub received: usize,
}

/// Asks a peer, and waits for the reply.
///
/// # Errors
/// Any socket error, a reply that is not authentic or understood, and a time-out.
pub async fn ask(
    key: &FleetKey,
    peer: SocketAddr,
    request: &PeerRequest,
    wait: Duration,
) -> io::Result<(PeerReply, Moved)> {
    tokio::time::timeout(wait, ask_now(key, peer, request))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn ask_now(
    key: &FleetKey,
    peer: SocketAddr,
    request: &PeerRequest,
) -> io::Result<(PeerReply, Moved)> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await?;
    let frame = FrameCodec::for_requests(key, nonce).seal(&request.encode());
    let frame = frame.map_err(io::Error::other)?;
    stream.write_all(&frame).await?;
    let body = receive(&mut stream, &mut FrameCodec::for_replies(key, nonce)).await?;
    let moved = Moved {
        sent: frame.len(),
        received: NONCE_BYTES + HEADER_BYTES + body.len(),
    };
    let reply = PeerReply::decode(&body).map_err(io::Error::other)?;
    Ok((reply, moved))
}

/// An accepted connection whose request was read.
#[derive(Debug)]
pub struct Asked {
    stream: TcpStream,
    lane: FrameCodec,
    /// What the peer asks.
    pub request: PeerRequest,
}

/// Reads the request of an accepted connection.
///
/// # Errors
/// Any socket error, a request that is not authentic or understood, and a time-out.
pub async fn accept(key: &FleetKey, stream: TcpStream) -> io::Result<Asked> {
    tokio::time::timeout(REQUEST_TIMEOUT, accept_now(key, stream))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn accept_now(key: &FleetKey, mut stream: TcpStream) -> io::Result<Asked> {
    stream.set_nodelay(true)?;
    let nonce: [u8; NONCE_BYTES] = fastrand::u128(..).to_le_bytes();
    stream.write_all(&nonce).await?;
    let body = receive(&mut stream, &mut FrameCodec::for_requests(key, nonce)).await?;
    let request = PeerRequest::decode(&body).map_err(io::Error::other)?;
    let lane = FrameCodec::for_replies(key, nonce);
    Ok(Asked {
        stream,
        lane,
        request,
    })
}

impl Asked {
    /// Sends the reply. Returns the bytes sent, the nonce included.
    ///
    /// # Errors
    /// Any socket error.
    pub async fn reply(mut self, reply: &PeerReply) -> io::Result<usize> {
        let frame = self.lane.seal(&reply.encode()).map_err(io::Error::other)?;
        self.stream.write_all(&frame).await?;
        self.stream.shutdown().await?;
        Ok(NONCE_BYTES + frame.len())
    }
}

async fn receive(stream: &mut TcpStream, lane: &mut FrameCodec) -> io::Result<Vec<u8>> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let length = lane.body_length(&header).map_err(io::Error::other)?;
    let mut body = Vec::new();
    // Grows with what arrives, not with what the header claims.
    (&mut *stream)
        .take(length as u64)
        .read_to_end(&mut body)
        .await?;
    if body.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    lane.verify(&header, &body).map_err(io::Error::other)?;
    Ok(body)
}
