//! A TCP proxy whose links can be cut, wholly or in one direction.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

pub const PASS: u8 = 0;
/// Every connection is closed, in both directions.
pub const CUT: u8 = 1;
/// What the far side answers is swallowed.
pub const NO_ANSWERS: u8 = 2;
/// What the near side sends is swallowed.
pub const NO_REQUESTS: u8 = 3;

pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Proxy {
    pub fn to(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
        let address = listener.local_addr().expect("an address");
        let mode = Arc::new(AtomicU8::new(PASS));
        let shared = mode.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if let Ok(far) = TcpStream::connect(target) {
                    link(&near, &far, NO_REQUESTS, shared.clone());
                    link(&far, &near, NO_ANSWERS, shared.clone());
                }
            }
        });
        Proxy { address, mode }
    }

    pub fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }
}

/// Copies one direction until it ends or is cut; `swallow` is the mode that drops its bytes.
fn link(from: &TcpStream, to: &TcpStream, swallow: u8, mode: Arc<AtomicU8>) {
    let (mut from, mut to) = (
        from.try_clone().expect("a copy"),
        to.try_clone().expect("a copy"),
    );
    from.set_read_timeout(Some(Duration::from_millis(20)))
        .expect("a time-out");
    std::thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        loop {
            let now = mode.load(Ordering::SeqCst);
            if now == CUT {
                break;
            }
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(n) if now != swallow => {
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
