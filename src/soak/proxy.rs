//! A loopback link that can be slowed, reset, silenced, or cut in one direction.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes passed on at once.
const PIECE: usize = 16 << 10;

/// What a link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    Pass,
    /// Passes each piece on after a wait.
    Slow(Duration),
    /// Ends every connection, and each new one.
    Reset,
    /// Swallows what either side sends.
    Silent,
    /// Swallows what the server answers.
    NoAnswers,
    /// Swallows what the client sends.
    NoRequests,
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    Request,
    Answer,
}

impl Mode {
    fn swallows(self, direction: Direction) -> bool {
        match self {
            Mode::Silent => true,
            Mode::NoAnswers => direction == Direction::Answer,
            Mode::NoRequests => direction == Direction::Request,
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
        let (mode, watched) = watch::channel(Mode::Pass);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(join(near, server, watched.clone()));
            }
        });
        Ok(Proxy { address, mode })
    }

    /// Changes what the link does, for open connections too.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn join(near: TcpStream, server: SocketAddr, mode: watch::Receiver<Mode>) {
    let before = *mode.borrow();
    if before == Mode::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(server).await else {
        return;
    };
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    // Either end closes both.
    tokio::select! {
        () = pump(near_in, far_out, Direction::Request, mode.clone()) => {}
        () = pump(far_in, near_out, Direction::Answer, mode) => {}
    }
}

/// Passes one direction on until it ends. A stream that lost bytes ends once the link is back, as
/// a connection over a real link would.
async fn pump<R, W>(mut from: R, mut to: W, direction: Direction, mut mode: watch::Receiver<Mode>)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut piece = vec![0; PIECE];
    let mut lost = false;
    loop {
        let read = tokio::select! {
            read = from.read(&mut piece) => read,
            changed = mode.changed() => {
                let now = *mode.borrow_and_update();
                if changed.is_err() || now == Mode::Reset || lost && !now.swallows(direction) {
                    return;
                }
                continue;
            }
        };
        let Ok(length @ 1..) = read else {
            return;
        };
        let now = *mode.borrow();
        if now.swallows(direction) {
            lost = true;
            continue;
        }
        if let Mode::Slow(wait) = now {
            tokio::time::sleep(wait).await;
        }
        if lost || now == Mode::Reset || to.write_all(&piece[..length]).await.is_err() {
            return;
        }
    }
}
