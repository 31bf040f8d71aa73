//! HTTP/1.1 as the stand-ins need it: reads requests and answers, and writes them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of an answer; zero if there is none.
    pub fn status(&self) -> u16 {
        let text = self.first.split(' ').nth(1).unwrap_or_default();
        text.parse().unwrap_or(0)
    }
}

/// Reads a message whose body has a length or chunks. An answer without either ends with its connection.
///
/// # Errors
/// If the connection ends before the message does.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    let is_answer = message.first.starts_with("HTTP/");
    if message.header("transfer-encoding") == "chunked" {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            read_line(reader)?;
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length").to_string();
    if let Ok(length) = length.parse() {
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    } else if is_answer {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(message)
}

/// Reads the first line and the headers of a message.
///
/// # Errors
/// If the connection ends before the head does.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message {
        first: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        match line.split_once(':') {
            Some((name, value)) => {
                let header = (name.to_ascii_lowercase(), value.trim().to_string());
                message.headers.push(header);
            }
            None => return Ok(message),
        }
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end().to_string()),
    }
}

/// Sends a request on a new connection and reads the answer.
///
/// # Errors
/// If there is no whole answer within the time.
pub fn exchange(to: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    read_message(&mut BufReader::new(stream))
}

/// Sends a request until it is answered with 200, for at most `limit`. Returns whether it was.
pub fn wait_for_ok(to: SocketAddr, request: &str, limit: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        let answer = exchange(to, request, Duration::from_secs(2));
        if answer.is_ok_and(|a| a.status() == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
