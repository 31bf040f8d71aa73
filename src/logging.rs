//! Structured log lines on standard output: time, level, module, message with `name=value` fields.
//!
//! A thread of its own writes them, so that nothing waits for whoever reads the output. Lines
//! beyond the bound of a second, or that find the queue full, are counted and left out; a line
//! tells how many.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Lines that wait to be written.
const QUEUE_MAX: usize = 4096;
/// Lines below the level of warnings that are written in a second.
const LINES_PER_SECOND: u64 = 400;
/// Time for which lines gather before they are written together.
const GATHER: Duration = Duration::from_millis(100);
/// Longest wait for the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

enum Message {
    Line(String),
    Flush(SyncSender<()>),
}

static QUEUE: OnceLock<SyncSender<Message>> = OnceLock::new();
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
static BOUND: Mutex<Option<Bound>> = Mutex::new(None);

/// Lines written in the present second.
struct Bound {
    began: Instant,
    lines: u64,
}

/// Starts logging at a level.
///
/// # Errors
/// When logging was started before, or the writing thread cannot be started.
pub fn init(level: log::LevelFilter) -> anyhow::Result<()> {
    let (send, receive) = sync_channel(QUEUE_MAX);
    std::thread::Builder::new()
        .name("log".to_string())
        .spawn(move || write_lines(&receive))?;
    // A second start is refused by the logger below.
    let _ = QUEUE.set(send);
    fern::Dispatch::new()
        .format(|out, message, record| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH);
            let seconds = since.map_or(0.0, |d| d.as_secs_f64());
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

/// Waits, for a short while, until the lines so far are written.
pub fn flush() {
    let (send, written) = sync_channel(1);
    if let Some(queue) = QUEUE.get()
        && queue.try_send(Message::Flush(send)).is_ok()
    {
        // Whoever reads the output may have stopped; the process ends all the same.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn enqueue(record: &log::Record<'_>) {
    let urgent = record.level() <= log::Level::Warn;
    let line = Message::Line(record.args().to_string());
    let sent = (urgent || within_bound())
        && QUEUE
            .get()
            .is_some_and(|queue| queue.try_send(line).is_ok());
    if !sent {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
    }
}

fn within_bound() -> bool {
    let mut bound = BOUND.lock().unwrap_or_else(|e| e.into_inner());
    let now = Instant::now();
    let present = bound.get_or_insert(Bound {
        began: now,
        lines: 0,
    });
    if now - present.began >= Duration::from_secs(1) {
        present.began = now;
        present.lines = 0;
    }
    present.lines += 1;
    present.lines <= LINES_PER_SECOND
}

fn write_lines(queue: &Receiver<Message>) {
    let mut text = String::new();
    loop {
        match queue.recv() {
            Ok(Message::Line(line)) => push(&mut text, &line),
            Ok(Message::Flush(done)) => {
                let _ = done.send(());
                continue;
            }
            Err(_) => return,
        }
        let mut flushed = None;
        let until = Instant::now() + GATHER;
        while flushed.is_none() {
            let left = until.saturating_duration_since(Instant::now());
            match queue.recv_timeout(left) {
                Ok(Message::Line(line)) => push(&mut text, &line),
                Ok(Message::Flush(done)) => flushed = Some(done),
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        let left_out = LEFT_OUT.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            push(&mut text, &format!("log lines left out count={left_out}"));
        }
        let mut out = std::io::stdout().lock();
        // With nobody left to read the output there is nowhere to say so.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        text.clear();
        if let Some(done) = flushed {
            let _ = done.send(());
        }
    }
}

fn push(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}
