use std::env;
use std::ffi::OsString;
use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

/// Longest time in milliseconds for which a sync is held up, unless the environment sets another one.
const LONGEST_MS: &str = "3000";

/// Library that replaces the syncs of the processes that are started with it, so that only what a test
/// sets holds them up.
pub(super) struct SlowSync {
    library: OsString,
}

impl SlowSync {
    /// Builds the library in a folder.
    pub(super) fn build(folder: &Path) -> Self {
        let (source, library) = (folder.join("slow_sync.c"), folder.join("slow_sync.so"));
        fs::write(&source, include_str!("slow_sync.c")).expect("the source is written");
        let mut compiler = Command::new("cc");
        compiler.args(["-std=gnu11", "-O1", "-shared", "-fPIC", "-o"]).arg(&library).arg(&source);
        let status = compiler.status().expect("a C compiler");
        assert!(status.success(), "the library is built");
        Self { library: library.into_os_string() }
    }

    /// Returns the variables of a process whose syncs take no time.
    pub(super) fn fast(&self) -> Vec<(&'static str, OsString)> {
        vec![("LD_PRELOAD", self.library.clone())]
    }

    /// Returns the variables of a process whose syncs are held up from a time after its start;
    /// `COMFREYMILL_SLOW_SYNC_MS` sets for how long at most.
    pub(super) fn slow(&self, after: Duration) -> Vec<(&'static str, OsString)> {
        let longest = env::var_os("COMFREYMILL_SLOW_SYNC_MS");
        let longest = longest.unwrap_or_else(|| LONGEST_MS.into());
        let after = after.as_millis().to_string().into();
        let mut variables = self.fast();
        variables.push(("SLOW_SYNC_MS", longest));
        variables.push(("SLOW_SYNC_AFTER_MS", after));
        variables
    }
}
