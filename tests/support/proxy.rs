//! TCP proxy that can close its connections or drop the bytes of one direction.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// Forwards both directions.
pub const FORWARD: u8 = 0;
/// Closes every connection.
pub const CLOSE: u8 = 1;
/// Drops the bytes that the server sends.
pub const DROP_RESPONSES: u8 = 2;
/// Drops the bytes that the client sends.
pub const DROP_REQUESTS: u8 = 3;

/// TCP proxy in front of one server.
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy on a free local port, in mode [`FORWARD`].
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the proxy");
        let address = listener.local_addr().expect("local address of the proxy");
        let mode = Arc::new(AtomicU8::new(FORWARD));
        let shared_mode = mode.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if let Ok(server) = TcpStream::connect(target) {
                    copy_direction(&client, &server, DROP_REQUESTS, shared_mode.clone());
                    copy_direction(&server, &client, DROP_RESPONSES, shared_mode.clone());
                }
            }
        });
        Proxy { address, mode }
    }

    /// Sets the mode of all connections, including open ones.
    pub fn set_mode(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }
}

/// Starts a thread that copies bytes in one direction, until the connection ends or the mode is
/// [`CLOSE`]. While the mode is `drop_mode`, the bytes are read and dropped.
fn copy_direction(from: &TcpStream, to: &TcpStream, drop_mode: u8, mode: Arc<AtomicU8>) {
    let (mut from, mut to) = (
        from.try_clone().expect("clone the socket"),
        to.try_clone().expect("clone the socket"),
    );
    from.set_read_timeout(Some(Duration::from_millis(20)))
        .expect("set the read timeout");
    std::thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        loop {
            let current = mode.load(Ordering::SeqCst);
            if current == CLOSE {
                break;
            }
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(n) if current != drop_mode => {
                    if to.write_all(&buffer[..n]).is_err() {
                        break;
                    }
                }
                Ok(_) => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}
