//! Connections of the HTTP server around a stop.

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use hyper::{Request, Response, StatusCode};
use tarragoncourse::transport::http::{Endpoint, ServeLimits, body_response, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Answers each request after 20 ms.
struct Slow;

impl Endpoint for Slow {
    async fn call(self: Arc<Self>, _request: Request<Body>) -> Response<Body> {
        tokio::time::sleep(Duration::from_millis(20)).await;
        body_response(StatusCode::OK, "text/plain", "done")
    }
}

async fn open_request(to: std::net::SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    stream
}

async fn read_all(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let read = stream.read_to_string(&mut text);
    let read = tokio::time::timeout(Duration::from_secs(5), read).await;
    format!(
        "{text}{}",
        if matches!(read, Ok(Ok(_))) {
            ""
        } else {
            " (cut)"
        }
    )
}

/// Guards against a stop under load that cuts off callers whose connections the system has
/// established, but the process has not accepted yet.
#[tokio::test]
async fn a_stop_answers_the_connections_that_wait_to_be_accepted() {
    // With one connection allowed, the others wait behind it.
    for max_connections in [1, 100] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let limits = ServeLimits {
            max_connections,
            drain_timeout: Duration::from_secs(5),
        };
        let mut streams = Vec::new();
        for _ in 0..30 {
            streams.push(open_request(address).await);
        }
        let server = tokio::spawn(serve(listener, Arc::new(Slow), limits, stopped));
        tokio::time::sleep(Duration::from_millis(5)).await;
        stop.send(true).unwrap();
        for stream in streams {
            let text = read_all(stream).await;
            assert!(
                text.starts_with("HTTP/1.1 200"),
                "{max_connections}: {text:?}"
            );
            assert!(text.contains("connection: close"), "{text:?}");
            assert!(text.ends_with("done"), "{text:?}");
        }
        assert!(server.await.unwrap(), "the server did not drain");
    }
}
