//! Lines that the code under test logs, captured for the thread of a test.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::sync::Once;

static START: Once = Once::new();

thread_local! {
    static LINES: RefCell<Option<Vec<String>>> = const { RefCell::new(None) };
}

/// Logger that keeps the lines of threads that capture them.
struct Capture;

impl log::Log for Capture {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.with_borrow_mut(|lines| {
            let Some(lines) = lines else { return };
            let mut line = format!("{} {}", record.level(), record.args());
            record.key_values().visit(&mut Fields(&mut line)).expect("written");
            lines.push(line);
        });
    }

    fn flush(&self) {}
}

/// Appends the fields of a record to its line, in the order in which they are logged.
struct Fields<'l>(&'l mut String);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        write!(self.0, "; {key}={value}")?;
        Ok(())
    }
}

/// Begins to capture the lines of this thread.
pub(super) fn capture() {
    START.call_once(|| {
        log::set_logger(&Capture).expect("the only logger");
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.set(Some(Vec::new()));
}

/// Returns the lines of this thread since the last call that contain `event`.
pub(super) fn take(event: &str) -> Vec<String> {
    let lines = LINES.with_borrow_mut(|lines| lines.as_mut().map(std::mem::take));
    let lines = lines.unwrap_or_default();
    lines.into_iter().filter(|line| line.contains(event)).collect()
}
