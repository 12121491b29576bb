use std::fs;
use std::path;

use comfreymill_types::error;

use super::Output;

/// Log line that mentions the id.
struct Event {
    unix_ms: u64,
    process: String,
    text: String,
}

/// Runs `story`: renders the log lines that mention an id, in order of time.
///
/// Lines that are not events are skipped, since a file may begin or end in the middle of a line.
///
/// # Errors
///
/// Fails if no file is given, a file cannot be read, or no line mentions the id.
pub(super) fn execute(id: &str, files: &[path::PathBuf]) -> Output {
    let bad_request = |message: String| error::Error::new(error::ErrorKind::BadRequest, message);
    if files.is_empty() {
        return Err(bad_request("no log file is given".to_owned()).field("files"));
    }
    let mut events = Vec::new();
    for file in files {
        let text = fs::read(file).map_err(|error| {
            bad_request(format!("`{}` cannot be read: {error}", file.display())).field("files")
        })?;
        let text = String::from_utf8_lossy(&text);
        let process = file.file_stem().map(|stem| stem.to_string_lossy().into_owned());
        let process = process.unwrap_or_default();
        events.extend(text.lines().filter_map(|line| parse_event(id, &process, line)));
    }
    if events.is_empty() {
        let message = format!("no line mentions `{id}`");
        return Err(error::Error::new(error::ErrorKind::NotFound, message).field("id"));
    }
    events.sort_by_key(|event| event.unix_ms);
    let first = events[0].unix_ms;
    let line = |event: &Event| {
        let after_ms = event.unix_ms - first;
        let (secs, millis) = (after_ms / 1_000, after_ms % 1_000);
        format!("{secs:>6}.{millis:03} s  {}  {}\n", event.process, event.text)
    };
    Ok(events.iter().map(line).collect())
}

/// Parses a log line; `None` if it is not an event or does not mention the id.
fn parse_event(id: &str, process: &str, line: &str) -> Option<Event> {
    let json = line.get(line.find('{')?..)?;
    let fields: serde_json::Map<String, serde_json::Value> = serde_json::from_str(json).ok()?;
    let mentions_id =
        |value: &serde_json::Value| value.as_str().is_some_and(|text| text.contains(id));
    if !fields.values().any(mentions_id) {
        return None;
    }
    let message = fields.get("event").and_then(serde_json::Value::as_str).unwrap_or_default();
    let mut text = message.to_owned();
    for (name, value) in &fields {
        if !["unix_ms", "level", "event"].contains(&name.as_str()) {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            text.push_str(&format!(", {name} {value}"));
        }
    }
    let unix_ms = fields.get("unix_ms").and_then(serde_json::Value::as_u64)?;
    Some(Event { unix_ms, process: process.to_owned(), text: text.escape_debug().to_string() })
}
