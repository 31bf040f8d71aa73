//! Requests between nodes over TCP: one authenticated request and one reply per connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::protocol::frame::{FrameCodec, HEADER_BYTES, NONCE_BYTES};
use crate::protocol::key::FleetKey;
use crate::protocol::peer::{PeerReply, PeerRequest};

/// Time limit within which the accepting node must receive the complete request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes transferred by one request and its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeBytes {
    /// Bytes sent by the requesting node.
    pub sent: usize,
    /// Bytes received by the requesting node.
    pub received: usize,
}

/// Sends a request to a peer and waits for the reply, at most for `timeout`.
///
/// # Errors
/// Any socket error, a reply that fails authentication or cannot be decoded, or a timeout.
pub async fn send_request(
    key: &FleetKey,
    peer: SocketAddr,
    request: &PeerRequest,
    timeout: Duration,
) -> io::Result<(PeerReply, ExchangeBytes)> {
    tokio::time::timeout(timeout, exchange(key, peer, request))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn exchange(
    key: &FleetKey,
    peer: SocketAddr,
    request: &PeerRequest,
) -> io::Result<(PeerReply, ExchangeBytes)> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let mut nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut nonce).await?;
    let frame = FrameCodec::for_requests(key, nonce).seal(&request.encode());
    let frame = frame.map_err(io::Error::other)?;
    stream.write_all(&frame).await?;
    let body = read_frame(&mut stream, &mut FrameCodec::for_replies(key, nonce)).await?;
    let bytes = ExchangeBytes {
        sent: frame.len(),
        received: NONCE_BYTES + HEADER_BYTES + body.len(),
    };
    let reply = PeerReply::decode(&body).map_err(io::Error::other)?;
    Ok((reply, bytes))
}

/// A request that was read from an accepted connection and has no reply yet.
#[derive(Debug)]
pub struct IncomingRequest {
    stream: TcpStream,
    codec: FrameCodec,
    /// The request.
    pub request: PeerRequest,
}

/// Reads the request of an accepted connection, at most for [`REQUEST_TIMEOUT`].
///
/// # Errors
/// Any socket error, a request that fails authentication or cannot be decoded, or a timeout.
pub async fn read_request(key: &FleetKey, stream: TcpStream) -> io::Result<IncomingRequest> {
    tokio::time::timeout(REQUEST_TIMEOUT, read_request_without_timeout(key, stream))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn read_request_without_timeout(
    key: &FleetKey,
    mut stream: TcpStream,
) -> io::Result<IncomingRequest> {
    stream.set_nodelay(true)?;
    let nonce: [u8; NONCE_BYTES] = fastrand::u128(..).to_le_bytes();
    stream.write_all(&nonce).await?;
    let body = read_frame(&mut stream, &mut FrameCodec::for_requests(key, nonce)).await?;
    let request = PeerRequest::decode(&body).map_err(io::Error::other)?;
    let codec = FrameCodec::for_replies(key, nonce);
    Ok(IncomingRequest {
        stream,
        codec,
        request,
    })
}

impl IncomingRequest {
    /// Sends the reply. Returns the number of bytes sent to the peer, including the nonce.
    ///
    /// # Errors
    /// Any socket error.
    pub async fn reply(mut self, reply: &PeerReply) -> io::Result<usize> {
        let frame = self.codec.seal(&reply.encode()).map_err(io::Error::other)?;
        self.stream.write_all(&frame).await?;
        self.stream.shutdown().await?;
        Ok(NONCE_BYTES + frame.len())
    }
}

async fn read_frame(stream: &mut TcpStream, codec: &mut FrameCodec) -> io::Result<Vec<u8>> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let length = codec.body_length(&header).map_err(io::Error::other)?;
    let mut body = Vec::new();
    // The buffer grows with the data received; the length in the header is not trusted.
    (&mut *stream)
        .take(length as u64)
        .read_to_end(&mut body)
        .await?;
    if body.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    codec.verify(&header, &body).map_err(io::Error::other)?;
    Ok(body)
}
