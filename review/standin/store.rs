//! Stand-in of the platform's metadata store: items with revisions, ranges, watches, transactions
//! and leases, as the pages describe them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, serve};
use crate::json::{Json, base64, from_base64};

#[derive(Clone)]
struct Item {
    /// Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A write or a removal.
struct Event {
    key: String,
    revision: u64,
    /// `None` if the key was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_string(), item.clone());
        self.history.push(Event {
            key: key.to_string(),
            revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.history.push(Event {
                key: key.to_string(),
                revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let attached = |(_, item): &(&String, &Item)| item.lease == lease;
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(attached)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|k| self.remove(k));
        }
        true
    }

    fn expire(&mut self, now: Instant) {
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store at a free port of an address.
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("no free port for the store");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let state = State {
            revision: 5,
            ..State::default()
        };
        let store = Store {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let handler = store.clone();
        serve(listener, move |request, connection| {
            handler.handle(&request, connection)
        });
        let expiry = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiry.shared.0.lock().unwrap().expire(Instant::now());
                expiry.shared.1.notify_all();
            }
        });
        store
    }

    /// Writes an item as the operator. Returns once it is acknowledged.
    pub fn write(&self, key: &str, text: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(text.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Returns the values of the items with a prefix, decoded.
    pub fn values(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        let items = state.items.iter().filter(|(k, _)| k.starts_with(prefix));
        items.map(|(_, item)| from_base64(&item.value)).collect()
    }

    fn handle(&self, request: &Message, connection: &mut Connection) -> bool {
        thread::sleep(Duration::from_millis(4));
        let (status, body) = match (request.method(), request.path()) {
            ("GET", "/kv-key") => self.read_key(request),
            ("GET", "/kv-range") => self.read_range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(&Json::parse(&request.body)),
            ("POST", "/kv-lease") => self.grant_lease(&Json::parse(&request.body)),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep_lease(path),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => self.end_lease(path),
            _ => (404, "{}".to_string()),
        };
        let headers = [("content-type", "application/json")];
        connection.answer(status, &headers, body.as_bytes()).is_ok()
    }

    fn read_key(&self, request: &Message) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let key = request.query("key").unwrap_or_default();
        match state.items.get(key) {
            Some(item) => (200, item_json(key, item, Some(state.revision))),
            None => (404, "{}".to_string()),
        }
    }

    fn read_range(&self, request: &Message) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let items = state
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let items: Vec<String> = items.map(|(k, i)| item_json(k, i, None)).collect();
        let (items, at) = (items.join(","), state.revision);
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"),
        )
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let number = |name| {
            request
                .query(name)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let prefix = request.query("prefix").unwrap_or_default();
        let (after, end) = (number("after"), Duration::from_millis(number("wait_ms")));
        let end = Instant::now() + end;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let new = |e: &&Event| e.revision > after && e.key.starts_with(prefix);
            let events: Vec<String> = state.history.iter().filter(new).map(event_json).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        state.expire(Instant::now());
        let expected = body.get("expected").items();
        let holds = |row: &Json| {
            let item = state.items.get(row.get("key").text());
            item.map_or(0, |i| i.revision) == row.get("revision").number()
        };
        if !expected.iter().all(holds) {
            let keys = expected.iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|k| Some(item_json(k, state.items.get(k)?, None)));
            let items = items.collect::<Vec<_>>().join(",");
            return (412, format!("{{\"items\":[{items}]}}"));
        }
        let puts = body.get("puts").items();
        let leases = puts.iter().map(|p| p.get("lease").number());
        if leases
            .into_iter()
            .any(|l| l != 0 && !state.leases.contains_key(&l))
        {
            return (404, "{}".to_string());
        }
        let keys = puts.iter().map(|p| p.get("key"));
        let mut keys = keys.chain(body.get("delete_keys").items()).map(Json::text);
        if keys.any(|k| k.starts_with("op/") || k.starts_with("servers/")) {
            return (403, "{}".to_string());
        }
        state.revision += 1;
        for put in puts {
            let value = put.get("value").text().to_string();
            state.put(put.get("key").text(), value, put.get("lease").number());
        }
        for key in body.get("delete_keys").items() {
            state.remove(key.text());
        }
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant_lease(&self, body: &Json) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let ttl_ms = body.get("ttl_ms").number().clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        state.last_lease += 1;
        let lease = state.last_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep_lease(&self, path: &str) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        state.expire(Instant::now());
        match state.leases.get_mut(&last_number(path)) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => (404, "{}".to_string()),
        }
    }

    fn end_lease(&self, path: &str) -> (u16, String) {
        let ended = self.shared.0.lock().unwrap().end_lease(last_number(path));
        self.shared.1.notify_all();
        (if ended { 200 } else { 404 }, "{}".to_string())
    }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

fn item_json(key: &str, item: &Item, at: Option<u64>) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    let at = at.map_or(String::new(), |at| format!(",\"at\":{at}"));
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created_at\":{created},\"lease\":{lease}{at}}}"
    )
}

fn event_json(event: &Event) -> String {
    match &event.item {
        Some(item) => item_json(&event.key, item, None),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
            event.key, event.revision
        ),
    }
}
