use std::fs;
use std::path;

use comfreymill_types::error;

use super::Output;

/// Line of a log that speaks of the id.
struct Chapter {
    unix_ms: u64,
    process: String,
    text: String,
}

/// Tells what the files say of an id, in order of time.
///
/// Lines that are no events are passed over: a file may begin or end within one.
///
/// # Errors
///
/// No file is named, one cannot be read, or none speaks of the id.
pub(super) fn tell(id: &str, files: &[path::PathBuf]) -> Output {
    let fault = |message: String| error::Error::new(error::ErrorKind::BadRequest, message);
    if files.is_empty() {
        return Err(fault("no log file is named".to_owned()).field("files"));
    }
    let mut chapters = Vec::new();
    for file in files {
        let text = fs::read(file).map_err(|error| {
            fault(format!("`{}` cannot be read: {error}", file.display())).field("files")
        })?;
        let text = String::from_utf8_lossy(&text);
        let process = file.file_stem().map(|it| it.to_string_lossy().into_owned());
        let process = process.unwrap_or_default();
        chapters.extend(text.lines().filter_map(|line| chapter(id, &process, line)));
    }
    if chapters.is_empty() {
        let message = format!("no line speaks of `{id}`");
        return Err(error::Error::new(error::ErrorKind::NotFound, message).field("id"));
    }
    chapters.sort_by_key(|it| it.unix_ms);
    let first = chapters[0].unix_ms;
    let line = |it: &Chapter| {
        let after_ms = it.unix_ms - first;
        format!("{:>6}.{:03} s  {}  {}\n", after_ms / 1_000, after_ms % 1_000, it.process, it.text)
    };
    Ok(chapters.iter().map(line).collect())
}

fn chapter(id: &str, process: &str, line: &str) -> Option<Chapter> {
    let json = line.get(line.find('{')?..)?;
    let event: serde_json::Map<String, serde_json::Value> = serde_json::from_str(json).ok()?;
    let speaks = |value: &serde_json::Value| value.as_str().is_some_and(|it| it.contains(id));
    if !event.values().any(speaks) {
        return None;
    }
    let said = event.get("event").and_then(serde_json::Value::as_str).unwrap_or_default();
    let mut text = said.to_owned();
    for (name, value) in &event {
        if !["unix_ms", "level", "event"].contains(&name.as_str()) {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            text.push_str(&format!(", {name} {value}"));
        }
    }
    let unix_ms = event.get("unix_ms").and_then(serde_json::Value::as_u64)?;
    Some(Chapter { unix_ms, process: process.to_owned(), text: text.escape_debug().to_string() })
}
