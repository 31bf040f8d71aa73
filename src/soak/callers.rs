//! Callers with the habits of real ones: they keep connections or open new ones, send one request
//! behind the other, lose patience, and repeat what they were not told of.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Plan;
use super::check::Sent;
use super::fleet::{Fleet, HOST};
use crate::load::{LoadRoute, Told, send};
use crate::protocol::dialect::REQUEST_ID_HEADER;
use crate::standin::target::expected_answer;
use crate::transport::client::HttpClient;

/// Mean time between two requests of one caller.
const PERIOD: Duration = Duration::from_millis(60);
/// Time after which a patient caller gives up; longer than every route's deadline.
const PATIENCE: Duration = Duration::from_secs(6);
/// Longest time that an impatient caller waits.
const IMPATIENCE: Duration = Duration::from_millis(120);
/// Requests sent one behind the other.
const PIPELINED: usize = 3;
/// Tries with one key.
const KEY_TRIES: usize = 3;
/// Largest answer and body asked for, in bytes.
const BYTES_MAX: usize = 40_000;

/// How a caller behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    /// Opens a connection for each request.
    Fresh,
    /// Keeps its connections for as long as the node does.
    Kept,
    /// Gives up early.
    Impatient,
    /// Sends lookups one behind the other.
    Pipelined,
    /// Sends deposits with a key, and again if it was not told of an answer.
    Repeating,
}

const HABITS: [Habit; 5] = [
    Habit::Fresh,
    Habit::Kept,
    Habit::Impatient,
    Habit::Pipelined,
    Habit::Repeating,
];

/// One caller of one node.
pub struct Caller {
    node: usize,
    at: SocketAddr,
    habit: Habit,
    rng: fastrand::Rng,
    client: HttpClient,
}

impl Caller {
    /// The callers of a run: one with each habit at each node.
    pub fn draw(plan: &Plan, fleet: &Arc<Fleet>) -> Vec<Caller> {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let pairs = (0..fleet.size()).flat_map(|n| HABITS.map(|h| (n, h)));
        pairs
            .map(|(node, habit)| Caller {
                node,
                at: fleet.callers(node),
                habit,
                rng: rng.fork(),
                client: HttpClient::default(),
            })
            .collect()
    }

    /// Sends until the end, and returns what became of each request.
    pub async fn run(mut self, end: watch::Receiver<bool>) -> Vec<Sent> {
        let mut sent = Vec::new();
        while !*end.borrow() {
            tokio::time::sleep(PERIOD.mul_f64(self.rng.f64() * 2.0)).await;
            match self.habit {
                Habit::Pipelined => sent.extend(self.lookups().await),
                Habit::Repeating => sent.push(self.deposit().await),
                _ => sent.push(self.one().await),
            }
        }
        sent
    }

    async fn one(&mut self) -> Sent {
        let order = self.rng.bool();
        let impatient = self.habit == Habit::Impatient;
        let limit = match impatient {
            true => IMPATIENCE.mul_f64(self.rng.f64()),
            false => PATIENCE,
        };
        if self.habit == Habit::Fresh {
            self.client = HttpClient::default();
        }
        let body = self.rng.usize(..BYTES_MAX);
        let route = match order {
            true => self.route("POST", "/orders", body),
            false => self.route("GET", "/stock", 0),
        };
        let id = self.id();
        let began = Instant::now();
        let (id, told, _) = send(self.client.clone(), self.at, route, id, limit).await;
        Sent {
            left: impatient && told == Told::Broken,
            ..self.sent(id, !order, told, began)
        }
    }

    async fn deposit(&mut self) -> Sent {
        let id = self.id();
        let began = Instant::now();
        // Not run holds for the try that was told so; only if all were did the deposit not run.
        let mut told = Told::NotRun;
        for _ in 0..KEY_TRIES {
            let mut route = self.route("POST", "/deposits", 200);
            route.keyed = true;
            let (_, now, _) = send(self.client.clone(), self.at, route, id.clone(), PATIENCE).await;
            if now != Told::NotRun {
                told = now;
            }
            if matches!(now, Told::Answered | Told::Wrong) {
                break;
            }
            tokio::time::sleep(PERIOD).await;
        }
        self.sent(id, false, told, began)
    }

    /// Several lookups in one write; the answers must come in the same order.
    async fn lookups(&mut self) -> Vec<Sent> {
        let ids: Vec<String> = (0..PIPELINED).map(|_| self.id()).collect();
        let began = Instant::now();
        let told = tokio::time::timeout(PATIENCE, pipeline(self.at, &ids)).await;
        let told = told.unwrap_or_default();
        let told = told.into_iter().chain(std::iter::repeat(Told::Broken));
        let pairs = ids.into_iter().zip(told);
        pairs
            .map(|(id, told)| self.sent(id, true, told, began))
            .collect()
    }

    fn route(&mut self, method: &str, path: &str, body: usize) -> LoadRoute {
        LoadRoute {
            name: path.to_string(),
            method: method.parse().expect("a method"),
            host: HOST.to_string(),
            path: path.to_string(),
            weight: 1.0,
            body,
            answer: self.rng.usize(..BYTES_MAX),
            keyed: false,
        }
    }

    fn id(&mut self) -> String {
        format!("{:016x}", self.rng.u64(..))
    }

    fn sent(&self, id: String, repeatable: bool, told: Told, began: Instant) -> Sent {
        Sent {
            id,
            node: self.node,
            repeatable,
            told,
            left: false,
            began,
            ended: Instant::now(),
        }
    }
}

/// What each of several lookups was told, up to the end of the connection.
async fn pipeline(to: SocketAddr, ids: &[String]) -> Vec<Told> {
    let mut told = Vec::new();
    let Ok(mut stream) = TcpStream::connect(to).await else {
        return told;
    };
    let requests: String = ids
        .iter()
        .map(|id| {
            format!("GET /stock HTTP/1.1\r\nhost: {HOST}\r\n{REQUEST_ID_HEADER}: {id}\r\n\r\n")
        })
        .collect();
    if stream.write_all(requests.as_bytes()).await.is_err() {
        return told;
    }
    let mut bytes = Vec::new();
    for id in ids {
        let Some((head, body)) = answer(&mut stream, &mut bytes).await else {
            break;
        };
        told.push(match head.split(' ').nth(1) {
            Some("200") if body == expected_answer(id, 0) => Told::Answered,
            Some("200") => Told::Wrong,
            Some("503") => Told::NotRun,
            _ => Told::Unknown,
        });
    }
    told
}

/// Reads one answer that has a length.
async fn answer(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..at]).to_lowercase();
            let length = head.split_once("content-length: ")?.1;
            let length: usize = length.lines().next()?.trim().parse().ok()?;
            let whole = at + 4 + length;
            if bytes.len() >= whole {
                let body = bytes[at + 4..whole].to_vec();
                bytes.drain(..whole);
                return Some((head, body));
            }
        }
        if stream.read_buf(bytes).await.ok()? == 0 {
            return None;
        }
    }
}
