use std::io;

use log::Log as _;

use crate::settings;

use super::appender;

/// Logger of the process.
///
/// Messages may contain untrusted text. In text lines, control characters are escaped, so that such
/// text cannot forge a log line or control a terminal; the JSON formats escape them anyway.
#[derive(Debug)]
pub struct Logger {
    inner: log4rs::Logger,
    format: settings::LogFormat,
}

impl Logger {
    /// Creates a logger that passes every level; the level is set in the `log` facade.
    ///
    /// # Errors
    ///
    /// Fails if the log file cannot be opened.
    pub fn new(cfg: &settings::LogSettings) -> io::Result<Self> {
        let config = appender::build_config(cfg)?;
        Ok(Self { inner: log4rs::Logger::new(config), format: cfg.get_format() })
    }

    fn log_escaped(&self, record: &log::Record<'_>) {
        let message = record.args().to_string();
        if !message.contains(char::is_control) {
            self.inner.log(record);
            return;
        }
        let escaped = escape(&message);
        self.inner.log(&record.to_builder().args(format_args!("{escaped}")).build());
    }
}

impl log::Log for Logger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        match self.format {
            settings::LogFormat::Text => self.log_escaped(record),
            settings::LogFormat::Json | settings::LogFormat::Events => self.inner.log(record),
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() {
            escaped.extend(c.escape_default());
        } else {
            escaped.push(c);
        }
    }
    escaped
}
