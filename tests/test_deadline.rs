//! Answers that end at the deadline of their request, in each framing, while others wait behind them on
//! the caller's connection.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use support::{NodeProcess, SETTINGS, Workdir};

/// Deadline of the request that is answered late.
const DEADLINE: Duration = Duration::from_millis(500);
/// Requests behind it, which are answered at once.
const BEHIND: usize = 3;
/// Length of a response that is too long to be held in memory, in bytes.
const LONG: usize = 100_000;

/// An answer of the target: what it sends, and when, from the arrival of the request. It then closes the
/// connection.
#[derive(Clone)]
struct Answer {
    name: &'static str,
    parts: Vec<(Duration, String)>,
}

fn answers() -> Vec<Answer> {
    let at = |ms| Duration::from_millis(ms);
    let late = |name, head: &str, begin: String, rest: String| Answer {
        name,
        parts: vec![
            (at(470), format!("HTTP/1.1 200 OK\r\n{head}\r\n{begin}")),
            (at(540), rest),
        ],
    };
    let mut answers = vec![
        late("unsized", "", "begin".into(), "end".into()),
        late(
            "chunked",
            "transfer-encoding: chunked\r\n",
            "5\r\nbegin\r\n".into(),
            "3\r\nend\r\n0\r\n\r\n".into(),
        ),
        late(
            "long",
            &format!("content-length: {LONG}\r\n"),
            "x".repeat(LONG / 2),
            "x".repeat(LONG / 2),
        ),
        late(
            "long-chunked",
            "transfer-encoding: chunked\r\n",
            format!("{LONG:x}\r\n{}", "x".repeat(LONG / 2)),
            format!("{}\r\n0\r\n\r\n", "x".repeat(LONG / 2)),
        ),
    ];
    for ms in 498..504 {
        let text = "HTTP/1.1 504 Gateway Timeout\r\n\r\ntime is up".to_string();
        answers.push(Answer {
            name: ["f498", "f499", "f500", "f501", "f502", "f503"][ms as usize - 498],
            parts: vec![(at(ms), text)],
        });
    }
    answers
}

/// Reads the head of a request without a body, and returns its path.
fn read_path(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let mut line = String::new();
    while reader.read_line(&mut line).ok()? > 2 {
        line.clear();
    }
    first.split(' ').nth(1).map(str::to_string)
}

/// Serves one connection: `/cutting/NAME` with the answer of that name, and any other path at once.
fn serve(stream: TcpStream, answers: &[Answer]) -> Option<()> {
    let mut reader = BufReader::new(stream);
    while let Some(path) = read_path(&mut reader) {
        let arrived = Instant::now();
        let answer = answers
            .iter()
            .find(|a| path.ends_with(&format!("/{}", a.name)));
        let Some(answer) = answer else {
            let text = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nquick";
            reader.get_mut().write_all(text.as_bytes()).ok()?;
            continue;
        };
        for (at, text) in &answer.parts {
            std::thread::sleep(at.saturating_sub(arrived.elapsed()));
            reader.get_mut().write_all(text.as_bytes()).ok()?;
        }
        return None;
    }
    None
}

fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_nodelay(true).unwrap();
            std::thread::spawn(move || serve(stream, &answers()));
        }
    });
    address
}

/// Sends a request that gets the answer `name`, and others behind it on the same connection. Returns all
/// that arrives in a second after the deadline.
fn send_batch(node: &NodeProcess, name: &str) -> String {
    let mut stream = TcpStream::connect(node.callers).unwrap();
    let request = |path: &str, deadline: Duration| {
        format!(
            "GET /cutting/{path} HTTP/1.1\r\nhost: guild.example\r\ntarragon-deadline-ms: {}\r\n\r\n",
            deadline.as_millis()
        )
    };
    let quick = request("quick", 4 * DEADLINE);
    let batch = request(name, DEADLINE) + &quick.repeat(BEHIND);
    stream.write_all(batch.as_bytes()).unwrap();
    let until = Instant::now() + DEADLINE + Duration::from_secs(1);
    let mut received = Vec::new();
    let mut buffer = [0; 64 << 10];
    while String::from_utf8_lossy(&received).matches("quick").count() < BEHIND {
        let left = until.saturating_duration_since(Instant::now());
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .unwrap();
        match stream.read(&mut buffer) {
            Ok(read @ 1..) => received.extend_from_slice(&buffer[..read]),
            Ok(0) | Err(_) => break,
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against answers that are lost because the one before them on the connection is cut off at its
/// deadline.
#[test]
fn an_answer_that_ends_at_the_deadline_costs_none_of_those_behind_it() {
    let mut workdir = Workdir::new("deadline");
    let _platform = workdir.start_platform();
    let service = Some(("guild/services/cutbook", start_target()));
    let node = workdir.start_node("cutbook-1", "hamilton", service);
    let other = workdir.start_node("entry", "matamata", None);
    workdir.wait_until_joined(&[&node, &other]);
    workdir.write("settings.yaml", SETTINGS);
    workdir.run_cli_ok(Some(&node), &["apply", "--wait", "-f", "settings.yaml"]);
    let mut failures = Vec::new();
    for (entry, node) in [("local", &node), ("other", &other)] {
        for answer in answers() {
            let received = send_batch(node, answer.name);
            let behind = received.matches("quick").count();
            let status = received.split(' ').nth(1).unwrap_or("none").to_string();
            println!(
                "{} at the {entry} node: {status}, then {behind}",
                answer.name
            );
            let is_final = ["200", "504"].contains(&status.as_str());
            if behind != BEHIND || !is_final {
                failures.push(format!(
                    "{} at the {entry} node: {status}, then {behind}",
                    answer.name
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
