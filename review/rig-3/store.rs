//! A stand-in of the platform's store: keys with revisions, watches, transactions and leases, in memory.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::json::Json;

/// First revision of the store.
const FIRST_REVISION: u64 = 100;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    items: BTreeMap<String, Item>,
    /// Each change: its revision, the key, and the value or `None` if the key was removed.
    events: Vec<(u64, String, Option<String>)>,
    revision: u64,
    /// Time to live and end of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl Data {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        let removed = self.items.remove(key);
        if let Some(value) = &value {
            let (value, revision) = (value.clone(), self.revision);
            let item = Item {
                value,
                revision,
                lease,
            };
            self.items.insert(key.to_string(), item);
        } else if removed.is_none() {
            return;
        }
        self.events.push((self.revision, key.to_string(), value));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.write(key, None, 0));
    }

    fn events_after(&self, prefix: &str, after: u64) -> Vec<String> {
        let events = self.events.iter();
        events
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
            .map(|(revision, key, value)| match value {
                Some(value) => format!(
                    "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created_at\":{revision},\"lease\":0}}"
                ),
                None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
            })
            .collect()
    }
}

/// The store.
#[derive(Default)]
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

impl Store {
    /// Starts a store on a free port of the loopback address.
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store::default());
        store.lock().revision = FIRST_REVISION;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, text: &str) {
        let mut data = self.lock();
        data.revision += 1;
        data.write(key, Some(encode_base64(text.as_bytes())), 0);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        let mut data = self.data.lock().unwrap_or_else(|e| e.into_inner());
        data.expire();
        data
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let length = body.len();
            let text = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            let found = pairs.find(|(n, _)| *n == name);
            found.map_or("", |(_, value)| value).replace("%2F", "/")
        };
        let number = |name: &str| parameter(name).parse::<u64>().unwrap_or(0);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), path) {
            ("GET", "/kv-key") => self.read(&parameter("key")),
            ("GET", "/kv-range") => self.range(&parameter("prefix"), &parameter("after")),
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(number("wait_ms"));
                self.watch(&parameter("prefix"), number("after"), wait)
            }
            ("POST", "/kv-txn") => self.transact(&Json::parse(&body).unwrap_or(Json::Null)),
            ("POST", "/kv-lease") => {
                let body = Json::parse(&body).unwrap_or(Json::Null);
                self.grant(body.field("ttl_ms").number())
            }
            (method, path) => self.change_lease(method, path),
        }
    }

    fn read(&self, key: &str) -> (u16, String) {
        let data = self.lock();
        match data.items.get(key) {
            Some(item) => (200, item_json(key, item, Some(data.revision))),
            None => (404, format!("{{\"at\":{}}}", data.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let data = self.lock();
        let items = data.items.iter();
        let found: Vec<String> = items
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_json(key, item, None))
            .collect();
        let at = data.revision;
        let items = found.join(",");
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut data = self.lock();
        loop {
            let events = data.events_after(prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), data.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            let waited = self.changed.wait_timeout(data, left);
            data = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn transact(&self, call: &Json) -> (u16, String) {
        let mut data = self.lock();
        let matches = |row: &Json| {
            let item = data.items.get(row.field("key").text());
            item.map_or(0, |i| i.revision) == row.field("revision").number()
        };
        if !call.field("expected").list().iter().all(matches) {
            return (412, "{\"items\":[]}".to_string());
        }
        let lease_of = |put: &Json| put.field("lease").number();
        let puts = call.field("puts").list();
        let is_unknown = |lease: u64| lease != 0 && !data.leases.contains_key(&lease);
        if puts.iter().any(|put| is_unknown(lease_of(put))) {
            return (404, "{}".to_string());
        }
        data.revision += 1;
        for put in puts {
            let value = put.field("value").text().to_string();
            data.write(put.field("key").text(), Some(value), lease_of(put));
        }
        for key in call.field("delete_keys").list() {
            data.write(key.text(), None, 0);
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", data.revision))
    }

    fn grant(&self, ttl_ms: u64) -> (u16, String) {
        let mut data = self.lock();
        data.last_lease += 1;
        let (lease, ttl) = (data.last_lease, Duration::from_millis(ttl_ms));
        data.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn change_lease(&self, method: &str, path: &str) -> (u16, String) {
        let lease = path.rsplit('/').next().and_then(|l| l.parse().ok());
        let mut data = self.lock();
        let Some(lease) = lease.filter(|l| data.leases.contains_key(l)) else {
            return (404, "{}".to_string());
        };
        if method == "DELETE" {
            data.end_lease(lease);
        } else if let Some((ttl, end)) = data.leases.get_mut(&lease) {
            *end = Instant::now() + *ttl;
        }
        self.changed.notify_all();
        (200, "{}".to_string())
    }
}

fn item_json(key: &str, item: &Item, at: Option<u64>) -> String {
    let at = at.map_or(String::new(), |at| format!(",\"at\":{at}"));
    let (value, revision, lease) = (&item.value, item.revision, item.lease);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created_at\":{revision},\"lease\":{lease}{at}}}"
    )
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(chunk.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n) & 63) as usize];
            text.push(if n <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
