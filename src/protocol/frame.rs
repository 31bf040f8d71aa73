//! Frames on peer TCP connections: length, authentication code, body.
//!
//! The accepting side opens with a random nonce; every code covers the nonce, the direction and a
//! counter, so that frames can be neither replayed nor reordered.

use super::key::{FleetKey, MAC_BYTES};
use super::wire::WireError;

/// Length of the nonce that opens a connection, in bytes.
pub const NONCE_BYTES: usize = 16;
/// Length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 4 + MAC_BYTES;
/// Largest frame body, in bytes: a whole configuration or member table.
pub const FRAME_MAX_BYTES: usize = 32 << 20;
/// Largest frame body that a client may send, in bytes.
pub const REQUEST_MAX_BYTES: usize = 64 << 10;

/// One direction of a connection.
#[derive(Debug)]
pub struct FrameCodec {
    key: FleetKey,
    nonce: [u8; NONCE_BYTES],
    direction: &'static [u8],
    counter: u64,
    max_body_bytes: usize,
}

impl FrameCodec {
    /// The lane from the connecting to the accepting side.
    pub fn for_requests(key: &FleetKey, nonce: [u8; NONCE_BYTES]) -> FrameCodec {
        FrameCodec::new(key, nonce, b"request", REQUEST_MAX_BYTES)
    }

    /// The lane from the accepting to the connecting side.
    pub fn for_replies(key: &FleetKey, nonce: [u8; NONCE_BYTES]) -> FrameCodec {
        FrameCodec::new(key, nonce, b"reply", FRAME_MAX_BYTES)
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

    /// Header and body of the next frame.
    ///
    /// # Errors
    /// [`WireError::TooLong`] when the body is over the lane's bound.
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

    /// Length of the body that a header announces.
    ///
    /// # Errors
    /// [`WireError::TooLong`] when it is over the lane's bound.
    pub fn body_length(&self, header: &[u8; HEADER_BYTES]) -> Result<usize, WireError> {
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        if length > self.max_body_bytes {
            return Err(WireError::TooLong(length));
        }
        Ok(length)
    }

    /// Checks the next frame.
    ///
    /// # Errors
    /// [`WireError::NotAuthentic`] when it was not sealed as the next frame of this lane.
    pub fn open(&mut self, header: &[u8; HEADER_BYTES], body: &[u8]) -> Result<(), WireError> {
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
