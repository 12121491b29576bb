use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};

/// Ids of the processes that run.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Ends all processes that were started and still run.
pub(crate) fn end_all() {
    for id in RUNNING.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        // One that has just ended cannot be killed.
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

/// Program of the deploy file, with the settings and the log of one process.
#[derive(Debug)]
pub(super) struct Process {
    words: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Prepares the role `role` of the deploy file, without starting it.
    pub(super) fn new(deploy: &str, role: &str, settings: &Path, log: PathBuf) -> io::Result<Self> {
        let section = deploy.split("[roles.").find(|section| section.starts_with(role));
        let run = section.and_then(|section| section.split("run = \"").nth(1));
        let run = run.and_then(|run| run.split('"').next());
        let run = run.ok_or_else(|| io::Error::other(format!("no command of role {role}")))?;
        let platform_path = run.split(' ').next_back().unwrap_or_default();
        let settings = settings.display().to_string();
        let words = run.replace(platform_path, &settings);
        let words = words.split(' ').map(str::to_owned).collect();
        Ok(Self { words, log, child: None })
    }

    pub(super) fn start(&mut self) -> io::Result<()> {
        let log = fs::File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.words[0]);
        command.args(&self.words[1..]).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        RUNNING.lock().unwrap_or_else(PoisonError::into_inner).insert(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process with SIGKILL, if it runs.
    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // One that has ended by itself cannot be killed.
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap_or_else(PoisonError::into_inner).remove(&child.id());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
