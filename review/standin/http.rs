//! A small HTTP/1.1 implementation over blocking sockets, for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The three words of the first line.
    pub start: [String; 3],
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        &self.start[0]
    }

    /// The path with the query.
    pub fn target(&self) -> &str {
        &self.start[1]
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }
}

/// A connection that reads whole messages.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&to, timeout)?))
    }

    /// Reads more bytes. Returns whether there were any.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a message; `None` if the connection ended before it began.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end);
        let mut lines = head.split("\r\n");
        let mut words = lines
            .next()
            .unwrap_or_default()
            .splitn(3, ' ')
            .map(str::to_string);
        let mut word = || words.next().unwrap_or_default();
        let mut message = Message {
            start: [word(), word(), word()],
            ..Message::default()
        };
        for line in lines.filter(|l| !l.is_empty()) {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_string(), value.trim().to_string()));
            }
        }
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"));
        message.body = if chunked {
            self.read_chunks()?
        } else {
            let length = message
                .header("content-length")
                .and_then(|v| v.parse().ok());
            self.take(length.unwrap_or(0))?
        };
        Ok(Some(message))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                if let Some(at) = find(&self.buffer, b"\r\n") {
                    break at;
                }
                if !self.fill()? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line: Vec<u8> = self.buffer.drain(..line_end + 2).collect();
            let text = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(text.trim().split(';').next().unwrap_or("0"), 16);
            let size = size.map_err(io::Error::other)?;
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Writes a request.
    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            text.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Writes a response.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!(
            "HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Whether the peer has closed the connection. Bytes that have arrived are kept.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(1)));
        let closed = match self.fill() {
            Ok(more) => !more,
            Err(e) => !matches!(
                e.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ),
        };
        let _ = self.stream.set_read_timeout(None);
        closed
    }
}

/// Sends one request on a connection of its own, and waits for the response until the timeout.
pub fn exchange(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Option<Message>> {
    let started = Instant::now();
    let mut connection = Connection::connect(to, timeout.min(Duration::from_secs(1)))?;
    let left = timeout
        .saturating_sub(started.elapsed())
        .max(Duration::from_millis(1));
    connection.stream.set_read_timeout(Some(left))?;
    connection.send(method, target, headers, body)?;
    connection.read()
}

/// Accepts connections, and handles each in a thread until `handle` returns false.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(Message, &mut Connection) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read() {
                    if !handle(request, &mut connection) {
                        return;
                    }
                }
            });
        }
    });
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}
