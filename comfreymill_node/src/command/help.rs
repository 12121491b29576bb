use std::ffi;
use std::fmt::Write as _;

use comfreymill_types::error;

use super::flags::{env, general, job, zone};

const PROGRAM: &str = "comfreymill";
const VERSION_FLAG: &str = "--version";
const NAME_COLUMN: usize = 16;

/// Help of one command, extracted from the help text of its grammar.
struct Section {
    /// Words of the command after the program name; empty for the program itself.
    words: String,
    /// Lines after the heading.
    body: String,
}

/// Renders the help of the command that `words` name.
///
/// # Errors
///
/// Fails with `bad-request` if there is no such command.
pub(super) fn render(words: &[&str]) -> Result<String, error::Error> {
    let sections = list_sections();
    let path = find_path(&sections, words);
    if let (true, Some(word)) = (path.is_empty(), words.first()) {
        let message = format!("unexpected argument: {word:?}; see `{PROGRAM} --help`");
        return Err(error::Error::new(error::ErrorKind::BadRequest, message));
    }
    let own = sections.iter().find(|section| section.words == path);
    let body = own.map_or("", |section| &section.body);
    let mut text = format!("{}\n{body}", join(&path));
    push_commands(&mut text, &sections, &path);
    if !path.is_empty() {
        push_common_options(&mut text, &sections);
    }
    Ok(text)
}

/// Returns the program name and the command that `words` name, as far as it is known.
pub(super) fn known_path(words: &[&str]) -> String {
    join(&find_path(&list_sections(), words))
}

fn join(path: &str) -> String {
    if path.is_empty() { PROGRAM.to_owned() } else { format!("{PROGRAM} {path}") }
}

fn find_path(sections: &[Section], words: &[&str]) -> String {
    let two = words.get(..2).map(|words| words.join(" "));
    let one = words.first().map(|word| (*word).to_owned());
    let known = |path: &String| sections.iter().any(|section| section.words == *path);
    two.into_iter().chain(one).find(known).unwrap_or_default()
}

fn push_commands(text: &mut String, sections: &[Section], path: &str) {
    let listed: Vec<_> =
        sections.iter().filter(|section| is_listed(&section.words, path)).collect();
    if listed.is_empty() {
        return;
    }
    text.push_str("\nCOMMANDS:\n");
    for section in listed {
        let brief = section.body.lines().next().unwrap_or_default().trim();
        let name = &section.words;
        // Writing to a string cannot fail.
        let _ = writeln!(text, "    {name:<NAME_COLUMN$}{brief}");
    }
}

fn is_listed(words: &str, path: &str) -> bool {
    let count = words.split_whitespace().count();
    if path.is_empty() { count == 1 } else { count == 2 && words.starts_with(&format!("{path} ")) }
}

fn push_common_options(text: &mut String, sections: &[Section]) {
    let root = sections.iter().find(|section| section.words.is_empty());
    let options = root.and_then(|section| section.body.split_once("OPTIONS:\n"));
    if let Some((_, options)) = options {
        let common = options.split("\n\n").filter(|option| !option.contains(VERSION_FLAG));
        text.push_str("\nOPTIONS OF EVERY COMMAND:\n");
        text.push_str(&common.collect::<Vec<_>>().join("\n\n"));
    }
}

fn list_sections() -> Vec<Section> {
    let general = split(&help_text(general::Comfreymill::from_vec), PROGRAM);
    let groups = [
        help_text(env::Env::from_vec),
        help_text(job::Job::from_vec),
        help_text(zone::Zone::from_vec),
    ];
    let group_sections = groups.iter().flat_map(|text| split(text, ""));
    let nested = group_sections.filter(|section| section.words.contains(' '));
    general.into_iter().chain(nested).collect()
}

fn help_text<T, F>(parse: F) -> String
where
    F: FnOnce(Vec<ffi::OsString>) -> xflags::Result<T>,
{
    parse(vec!["--help".into()]).err().map(|error| error.to_string()).unwrap_or_default()
}

/// Splits the help text of a grammar at its headings, the lines that name a command.
fn split(text: &str, program: &str) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    for line in text.lines() {
        let is_heading = line.starts_with(|c: char| c.is_ascii_lowercase());
        if is_heading {
            let words = line.strip_prefix(program).unwrap_or(line).trim().to_owned();
            sections.push(Section { words, body: String::new() });
        } else if let Some(section) = sections.last_mut()
            && line != "SUBCOMMANDS:"
        {
            section.body.push_str(line);
            section.body.push('\n');
        }
    }
    for section in &mut sections {
        section.body.truncate(section.body.trim_end().len());
        section.body.push('\n');
    }
    sections
}
