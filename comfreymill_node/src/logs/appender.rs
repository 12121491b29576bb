use std::io;

use log4rs::append;
use log4rs::append::console;
use log4rs::append::rolling_file;
use log4rs::append::rolling_file::policy::compound;
use log4rs::config;
use log4rs::encode;

use super::event_queue::EventQueue;
use crate::settings;

const APPENDER: &str = "main";
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:5} {t}: {m}{n}";

/// Builds a log4rs configuration that passes every level; the level is set in the `log` facade.
///
/// # Errors
///
/// Fails if the log file cannot be opened.
pub(super) fn build_config(cfg: &settings::LogSettings) -> io::Result<config::Config> {
    let appender = match cfg.get_file() {
        None if cfg.get_format() == settings::LogFormat::Events => Box::new(EventQueue::start()?),
        Some(file) => build_file(file, build_encoder(cfg.get_format()))?,
        None => build_console(build_encoder(cfg.get_format())),
    };
    let appender = config::Appender::builder().build(APPENDER, appender);
    let root = config::Root::builder().appender(APPENDER).build(log::LevelFilter::Trace);
    config::Config::builder().appender(appender).build(root).map_err(io::Error::other)
}

fn build_encoder(format: settings::LogFormat) -> Box<dyn encode::Encode> {
    match format {
        settings::LogFormat::Text => Box::new(encode::pattern::PatternEncoder::new(TEXT_PATTERN)),
        settings::LogFormat::Json | settings::LogFormat::Events => {
            Box::new(encode::json::JsonEncoder::new())
        }
    }
}

fn build_console(encoder: Box<dyn encode::Encode>) -> Box<dyn append::Append> {
    let console = console::ConsoleAppender::builder();
    Box::new(console.target(console::Target::Stderr).encoder(encoder).build())
}

fn build_file(
    file: &settings::LogFile,
    encoder: Box<dyn encode::Encode>,
) -> io::Result<Box<dyn append::Append>> {
    let rotated_pattern = format!("{}.{{}}", file.path.display());
    let roller = compound::roll::fixed_window::FixedWindowRoller::builder()
        .build(&rotated_pattern, file.count)
        .map_err(io::Error::other)?;
    let trigger = compound::trigger::size::SizeTrigger::new(file.size.get());
    let policy = compound::CompoundPolicy::new(Box::new(trigger), Box::new(roller));
    let appender = rolling_file::RollingFileAppender::builder()
        .encoder(encoder)
        .build(&file.path, Box::new(policy))?;
    Ok(Box::new(appender))
}
