//! A TCP proxy on loopback that simulates link faults: delay, closed connections, and data loss in
//! one or both directions.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the forwarding buffer.
const BUFFER_BYTES: usize = 16 << 10;

/// How the proxy treats traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards everything.
    Forward,
    /// Forwards each chunk after a delay.
    Delay(Duration),
    /// Closes all connections, and closes new ones as soon as they are accepted.
    Close,
    /// Discards data in both directions.
    DropAll,
    /// Discards data from the server.
    DropResponses,
    /// Discards data from the client.
    DropRequests,
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Request,
    Response,
}

impl Mode {
    fn drops(self, direction: Direction) -> bool {
        match self {
            Mode::DropAll => true,
            Mode::DropResponses => direction == Direction::Response,
            Mode::DropRequests => direction == Direction::Request,
            _ => false,
        }
    }
}

/// A TCP proxy in front of one server.
#[derive(Debug)]
pub struct Proxy {
    /// Address that clients connect to.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Starts a proxy for `server` on a free port.
    ///
    /// # Errors
    /// Any socket error.
    pub async fn start(server: SocketAddr) -> anyhow::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, receiver) = watch::channel(Mode::Forward);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward_connection(client, server, receiver.clone()));
            }
        });
        Ok(Proxy { address, mode })
    }

    /// Sets the mode, also for connections that are already open.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn forward_connection(client: TcpStream, server: SocketAddr, mode: watch::Receiver<Mode>) {
    let initial = *mode.borrow();
    if initial == Mode::Close {
        return;
    }
    let Ok(upstream) = TcpStream::connect(server).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    // When one direction ends, both connections are closed.
    tokio::select! {
        () = forward(client_read, upstream_write, Direction::Request, mode.clone()) => {}
        () = forward(upstream_read, client_write, Direction::Response, mode) => {}
    }
}

/// Forwards one direction until it ends. If bytes were discarded, the connection is closed as soon
/// as the mode no longer discards this direction: the stream has a gap, and a real link would not
/// deliver the bytes after it either.
async fn forward<R, W>(
    mut reader: R,
    mut writer: W,
    direction: Direction,
    mut mode: watch::Receiver<Mode>,
) where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut dropped = false;
    loop {
        let read = tokio::select! {
            read = reader.read(&mut buffer) => read,
            changed = mode.changed() => {
                let next = *mode.borrow_and_update();
                if changed.is_err() || next == Mode::Close || dropped && !next.drops(direction) {
                    return;
                }
                continue;
            }
        };
        let Ok(length @ 1..) = read else {
            return;
        };
        let current = *mode.borrow();
        if current.drops(direction) {
            dropped = true;
            continue;
        }
        if let Mode::Delay(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if dropped || current == Mode::Close || writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
