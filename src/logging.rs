//! Structured log lines on standard error: time, level, module, message with `name=value` fields.

use std::time::{SystemTime, UNIX_EPOCH};

/// Starts logging at a level.
///
/// # Errors
/// When logging was started before.
pub fn start(level: log::LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH);
            let seconds = since.map_or(0.0, |d| d.as_secs_f64());
            let (level, module) = (record.level(), record.target());
            out.finish(format_args!("{seconds:.3} {level} {module} {message}"));
        })
        .level(log::LevelFilter::Warn)
        .level_for("tarragoncourse", level)
        .chain(std::io::stderr())
        .apply()
}
