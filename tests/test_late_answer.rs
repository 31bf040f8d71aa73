//! Targets that send a second copy of an answer on a connection that is already in use for the next
//! request.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use support::{SETTINGS, Workdir, http_request};

/// Reads one request without a body and returns its id and that of the attempt, or `None` at the end
/// of the connection.
fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        request.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
    let value = |name: &str| {
        let value = text.lines().find_map(|l| l.strip_prefix(name));
        value.unwrap_or("none").to_string()
    };
    Some((value("x-request-id: "), value("tarragon-attempt: ")))
}

/// Answers each request with its id, but sends the answer to the request before it first. Repeats
/// the id of the attempt in a header if `echoes`.
fn start_target(echoes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut before = None;
                while let Some((id, attempt)) = read_request(&mut stream) {
                    let echo = match echoes {
                        true => format!("tarragon-attempt: {attempt}\r\n"),
                        false => String::new(),
                    };
                    let length = id.len();
                    let answer =
                        format!("HTTP/1.1 200 OK\r\n{echo}content-length: {length}\r\n\r\n{id}");
                    let text = format!("{}{answer}", before.unwrap_or_default());
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    before = Some(answer);
                }
            });
        }
    });
    address
}

/// Guards against a caller that gets the answer to the request before its own.
#[test]
fn a_second_copy_of_an_answer_reaches_no_other_caller() {
    for echoes in [true, false] {
        let mut workdir = Workdir::new(&format!("late-answer-{echoes}"));
        let _platform = workdir.start_platform();
        let service = Some(("guild/services/cutbook", start_target(echoes)));
        let node = workdir.start_node("cutbook-1", "hamilton", service);
        workdir.wait_until_joined(&[&node]);
        workdir.write("settings.yaml", SETTINGS);
        workdir.run_cli_ok(Some(&node), &["apply", "--wait", "-f", "settings.yaml"]);
        let mut answered = 0;
        for n in 0..20 {
            let id = format!("order-{n}");
            let headers = [("x-request-id", id.as_str())];
            let response = http_request(
                node.callers,
                "POST",
                "guild.example",
                "/cutting/1",
                &headers,
                "",
            )
            .expect("the node answers");
            if response.status == 200 {
                assert_eq!(response.body, id, "echoes: {echoes}");
                answered += 1;
            } else {
                assert_eq!(response.status, 502, "echoes: {echoes}");
            }
        }
        assert!(answered >= 10, "echoes {echoes}: {answered} of 20 answered");
        println!("echoes {echoes}: {answered} of 20 answered");
    }
}
