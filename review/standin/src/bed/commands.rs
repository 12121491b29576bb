use std::fs;
use std::io;

/// File that names the roles and how each is started.
const DEPLOY_FILE: &str = "deploy/system.toml";

/// Returns the words of the command that starts a role, with the path of its settings.
pub(super) fn command(role: &str, settings: &str) -> io::Result<Vec<String>> {
    let text = fs::read_to_string(DEPLOY_FILE)?;
    let section = text.split("[roles.").find(|section| section.starts_with(&format!("{role}]")));
    let lines = section.unwrap_or_default().lines();
    let run = lines.filter_map(|line| line.strip_prefix("run = \"")).next();
    let run = run.and_then(|run| run.strip_suffix('"')).ok_or(io::ErrorKind::NotFound)?;
    let words = run.split(' ').map(|word| match word {
        "/etc/comfreymill/settings.yaml" => settings.to_owned(),
        _ => word.to_owned(),
    });
    Ok(words.collect())
}
