//! A loopback link that can be slowed, reset, silenced, or cut in one direction.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes passed on at once.
const BUFFER_BYTES: usize = 16 << 10;

/// What a link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    Forward,
    /// Passes each piece on after a wait.
    Delay(Duration),
    /// Ends every connection, and each new one.
    Close,
    /// Swallows what either side sends.
    DropAll,
    /// Swallows what the server answers.
    DropResponses,
    /// Swallows what the client sends.
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

/// A proxy before one server.
#[derive(Debug)]
pub struct Proxy {
    /// Where clients connect.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Listens on a free port before a server.
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

    /// Changes what the link does, for open connections too.
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
    // Either end closes both.
    tokio::select! {
        () = forward(client_read, upstream_write, Direction::Request, mode.clone()) => {}
        () = forward(upstream_read, client_write, Direction::Response, mode) => {}
    }
}

/// Passes one direction on until it ends. A stream that lost bytes ends once the link is back, as
/// a connection over a real link would.
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
