use std::fs::File;
use std::io;
use std::process::{Child, Command, Stdio};

/// Process of the project, which is killed when this is dropped.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
}

impl Process {
    pub(super) fn start(words: &[String], log: &str) -> io::Result<Self> {
        let (program, arguments) = words.split_first().ok_or(io::ErrorKind::InvalidInput)?;
        let log = File::create(log)?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        Ok(Self { child: command.spawn()? })
    }

    /// Sends a signal by its name, such as `STOP`.
    pub(super) fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("the signal was not sent")) }
    }

    pub(super) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing a process that has already ended fails.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
