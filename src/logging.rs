//! Structured log lines on standard output: time, level, module, and a message with `name=value`
//! fields.
//!
//! A dedicated thread writes the lines, so that no other thread blocks if the reader of the output
//! is slow. Lines that exceed the rate limit, or that are logged while the queue is full, are
//! dropped and counted; a further log line reports the count.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of lines that wait to be written.
const QUEUE_CAPACITY: usize = 4096;
/// Maximum number of lines written per second at the levels info, debug and trace. Warnings and
/// errors are not limited.
const LINES_PER_SECOND_MAX: u64 = 400;
/// How long lines are collected before they are written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time that [`flush`] waits for the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

static QUEUE: OnceLock<SyncSender<Message>> = OnceLock::new();
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static RATE_LIMIT: Mutex<Option<RateWindow>> = Mutex::new(None);

/// Counts the lines of the current one-second window.
struct RateWindow {
    start: Instant,
    lines: u64,
}

/// Initializes logging at a level.
///
/// # Errors
/// If logging was initialized before, or the writer thread cannot be started.
pub fn init(level: log::LevelFilter) -> anyhow::Result<()> {
    let (send, receive) = sync_channel(QUEUE_CAPACITY);
    std::thread::Builder::new()
        .name("log".to_string())
        .spawn(move || write_lines(&receive))?;
    // If logging was initialized before, `apply` below returns an error.
    let _ = QUEUE.set(send);
    fern::Dispatch::new()
        .format(|out, message, record| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
            let seconds = since_epoch.map_or(0.0, |d| d.as_secs_f64());
            let (level, module) = (record.level(), record.target());
            out.finish(format_args!("{seconds:.3} {level} {module} {message}"));
        })
        .level(log::LevelFilter::Warn)
        .level_for("tarragoncourse", level)
        .level_for("tarragoncourse_platform", level)
        .chain(fern::Output::call(enqueue))
        .apply()?;
    Ok(())
}

/// Waits until the lines logged so far are written, at most for `FLUSH_TIMEOUT`.
pub fn flush() {
    let (send, done) = sync_channel(1);
    if let Some(queue) = QUEUE.get()
        && queue.try_send(Message::Flush(send)).is_ok()
    {
        // A timeout means that the output is not being read; the process exits anyway.
        let _ = done.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn enqueue(record: &log::Record<'_>) {
    let urgent = record.level() <= log::Level::Warn;
    let line = Message::Line(record.args().to_string());
    let sent = (urgent || within_rate_limit())
        && QUEUE
            .get()
            .is_some_and(|queue| queue.try_send(line).is_ok());
    if !sent {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

fn within_rate_limit() -> bool {
    let mut rate_limit = RATE_LIMIT.lock().unwrap_or_else(|e| e.into_inner());
    let now = Instant::now();
    let window = rate_limit.get_or_insert(RateWindow {
        start: now,
        lines: 0,
    });
    if now - window.start >= Duration::from_secs(1) {
        window.start = now;
        window.lines = 0;
    }
    window.lines += 1;
    window.lines <= LINES_PER_SECOND_MAX
}

fn write_lines(queue: &Receiver<Message>) {
    let mut text = String::new();
    loop {
        match queue.recv() {
            Ok(Message::Line(line)) => push_line(&mut text, &line),
            Ok(Message::Flush(done)) => {
                let _ = done.send(());
                continue;
            }
            Err(_) => return,
        }
        let mut flush_request = None;
        let deadline = Instant::now() + BATCH_INTERVAL;
        while flush_request.is_none() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match queue.recv_timeout(remaining) {
                Ok(Message::Line(line)) => push_line(&mut text, &line),
                Ok(Message::Flush(done)) => flush_request = Some(done),
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            push_line(&mut text, &format!("log lines left out count={dropped}"));
        }
        let mut out = std::io::stdout().lock();
        // If the output cannot be written, there is no other place to report the error.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        text.clear();
        if let Some(done) = flush_request {
            let _ = done.send(());
        }
    }
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}
