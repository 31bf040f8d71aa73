//! Frames on TCP connections between nodes. A frame consists of the length of the body, an
//! authentication code and the body.
//!
//! The accepting side first sends a random nonce. Each authentication code covers the nonce, the
//! direction, a counter and the body, so that frames cannot be replayed or reordered.

use super::key::{FleetKey, MAC_BYTES};
use super::wire::WireError;

/// Length of the nonce that the accepting side sends first.
pub const NONCE_BYTES: usize = 16;
/// Length of a frame's header: body length and authentication code.
pub const HEADER_BYTES: usize = 4 + MAC_BYTES;
/// Maximum size of a reply's body; enough for a complete configuration or member table.
pub const REPLY_MAX_BYTES: usize = 32 << 20;
/// Maximum size of a request's body.
pub const REQUEST_MAX_BYTES: usize = 64 << 10;

/// Writes or reads the frames in one direction of a connection.
#[derive(Debug)]
pub struct FrameCodec {
    key: FleetKey,
    nonce: [u8; NONCE_BYTES],
    direction: &'static [u8],
    counter: u64,
    max_body_bytes: usize,
}

impl FrameCodec {
    /// A codec for the frames from the connecting side to the accepting side.
    pub fn for_requests(key: &FleetKey, nonce: [u8; NONCE_BYTES]) -> FrameCodec {
        FrameCodec::new(key, nonce, b"request", REQUEST_MAX_BYTES)
    }

    /// A codec for the frames from the accepting side to the connecting side.
    pub fn for_replies(key: &FleetKey, nonce: [u8; NONCE_BYTES]) -> FrameCodec {
        FrameCodec::new(key, nonce, b"reply", REPLY_MAX_BYTES)
    }

    fn new(
        key: &FleetKey,
        nonce: [u8; NONCE_BYTES],
        direction: &'static [u8],
        max_body_bytes: usize,
    ) -> FrameCodec {
        FrameCodec {
            key: key.clone(),
            nonce,
            direction,
            counter: 0,
            max_body_bytes,
        }
    }

    /// Encodes the next frame with the given body.
    ///
    /// # Errors
    /// [`WireError::TooLong`] when the body is larger than allowed in this direction.
    pub fn seal(&mut self, body: &[u8]) -> Result<Vec<u8>, WireError> {
        if body.len() > self.max_body_bytes {
            return Err(WireError::TooLong(body.len()));
        }
        let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
        frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
        frame.extend_from_slice(&self.mac(body));
        frame.extend_from_slice(body);
        self.counter += 1;
        Ok(frame)
    }

    /// Reads the length of the body from a frame's header.
    ///
    /// # Errors
    /// [`WireError::TooLong`] when the body is larger than allowed in this direction.
    pub fn body_length(&self, header: &[u8; HEADER_BYTES]) -> Result<usize, WireError> {
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if length > self.max_body_bytes {
            return Err(WireError::TooLong(length));
        }
        Ok(length)
    }

    /// Verifies the authentication code of the next frame.
    ///
    /// # Errors
    /// [`WireError::NotAuthentic`] when this is not the frame that the peer sealed next for this
    /// direction of the connection.
    pub fn verify(&mut self, header: &[u8; HEADER_BYTES], body: &[u8]) -> Result<(), WireError> {
        let counter = self.counter.to_le_bytes();
        let parts = [&self.nonce[..], self.direction, &counter, body];
        if !self.key.verify(&parts, &header[4..]) {
            return Err(WireError::NotAuthentic);
        }
        self.counter += 1;
        Ok(())
    }

    fn mac(&self, body: &[u8]) -> [u8; MAC_BYTES] {
        let counter = self.counter.to_le_bytes();
        self.key.mac(&[&self.nonce, self.direction, &counter, body])
    }
}
