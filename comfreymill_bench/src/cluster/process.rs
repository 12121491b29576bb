use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

/// Addresses on which an entry listens.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For executors and workers.
    pub upstreams: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Control process or entry, which is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    pub(super) binary: PathBuf,
    pub(super) program: &'static str,
    pub(super) settings: PathBuf,
    pub(super) log: PathBuf,
    pub(super) child: Option<Child>,
}

impl Process {
    /// Starts the process. It must not be running.
    ///
    /// # Errors
    ///
    /// The binary cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.binary);
        command.arg(self.program).arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Returns a process with the same settings and log that is not started.
    #[must_use]
    pub fn unstarted_copy(&self) -> Self {
        Self {
            binary: self.binary.clone(),
            program: self.program,
            settings: self.settings.clone(),
            log: self.log.clone(),
            child: None,
        }
    }

    /// Returns the process id, or `None` before the start and after [`Self::kill`] or
    /// [`Self::wait`].
    pub fn get_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Sends a signal to the process, if it was started.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.get_id().and_then(|id| i32::try_from(id).ok()) {
            signal::kill(Pid::from_raw(id), signal).ok();
        }
    }

    /// Waits until the process has exited by itself, and returns its exit status.
    ///
    /// # Errors
    ///
    /// The system does not report the exit status.
    pub fn wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.take().map(|mut child| child.wait()).transpose()
    }

    /// Returns the process's log, or an empty text if it cannot be read.
    pub fn get_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
