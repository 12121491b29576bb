use comfreymill_group::store;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// In-memory disk on which a power loss keeps, drops or tears each unsynced change independently.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForgetfulDisk {
    state: Arc<Mutex<State>>,
}

/// What a power loss does with changes that were not synced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Loss {
    /// All are dropped, except the names of new files that were synced.
    All,
    /// None is dropped.
    None,
    /// Each is kept or dropped; writes may be torn, and a renamed file may keep its old name too.
    Any,
    /// Like `Any`, and a new file also needs a sync of the folder to keep its name.
    AnyName,
}

impl Loss {
    pub(crate) const ALL: [Self; 4] = [Self::All, Self::None, Self::Any, Self::AnyName];
}

#[derive(Debug, Default)]
struct State {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    /// Names at the last sync of the folder.
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the last sync of the folder.
    changes: Vec<Change>,
    operations: u64,
    /// Number of operations that succeed before all others fail.
    limit: Option<u64>,
}

#[derive(Debug, Default)]
struct File {
    synced: Vec<u8>,
    unsynced: Vec<Vec<u8>>,
    was_synced: bool,
}

#[derive(Clone, Debug)]
enum Change {
    Create { name: String, id: usize },
    Rename { from: String, to: String, id: usize },
    Remove { name: String },
}

impl ForgetfulDisk {
    /// Lets the next `count` operations succeed, and all operations after them fail.
    pub(crate) fn fail_after(&self, count: u64) {
        let mut state = self.lock();
        state.limit = Some(state.operations + count);
    }

    /// Lets all operations succeed again. The files are those of a killed process.
    pub(crate) fn restart(&self) {
        self.lock().limit = None;
    }

    /// Cuts the power, and lets all operations succeed again.
    pub(crate) fn lose_power(&self, loss: Loss, rng: &mut ChaCha8Rng) {
        let mut state = self.lock();
        let changes = std::mem::take(&mut state.changes);
        let mut names = std::mem::take(&mut state.durable_names);
        for change in changes {
            change.apply(&mut names, |id| state.files[id].was_synced, loss, rng);
        }
        for file in &mut state.files {
            file.lose_power(loss, rng);
        }
        state.names.clone_from(&names);
        state.durable_names = names;
        state.limit = None;
    }

    /// Cuts the power, or kills the process.
    pub(crate) fn crash(&self, rng: &mut ChaCha8Rng) {
        match rng.random_range(0..5) {
            4 => self.restart(),
            loss => self.lose_power(Loss::ALL[loss], rng),
        }
    }

    /// Returns the number of operations so far.
    pub(crate) fn operations(&self) -> u64 {
        self.lock().operations
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

impl Change {
    fn apply<F>(
        self,
        names: &mut BTreeMap<String, usize>,
        was_synced: F,
        loss: Loss,
        rng: &mut ChaCha8Rng,
    ) where
        F: Fn(usize) -> bool,
    {
        let is_kept = match loss {
            Loss::All => false,
            Loss::None => true,
            Loss::Any | Loss::AnyName => rng.random(),
        };
        match self {
            Self::Create { name, id } => {
                if is_kept || (loss != Loss::AnyName && was_synced(id)) {
                    names.insert(name, id);
                }
            }
            Self::Rename { from, to, id } if is_kept => {
                let keeps_old = loss != Loss::None && rng.random_bool(0.3);
                if !keeps_old && names.get(&from) == Some(&id) {
                    names.remove(&from);
                }
                names.insert(to, id);
            }
            Self::Remove { name } if is_kept => {
                names.remove(&name);
            }
            Self::Rename { .. } | Self::Remove { .. } => {}
        }
    }
}

impl File {
    fn content(&self) -> Vec<u8> {
        let unsynced = self.unsynced.iter().flatten();
        self.synced.iter().chain(unsynced).copied().collect()
    }

    fn lose_power(&mut self, loss: Loss, rng: &mut ChaCha8Rng) {
        let mut offset = self.synced.len();
        for write in std::mem::take(&mut self.unsynced) {
            let kept = match loss {
                Loss::All => 0..0,
                Loss::None => 0..write.len(),
                Loss::Any | Loss::AnyName => match rng.random_range(0..4) {
                    0 => 0..0,
                    1 => 0..write.len(),
                    2 => 0..rng.random_range(0..=write.len()),
                    _ => rng.random_range(0..=write.len())..write.len(),
                },
            };
            if !kept.is_empty() {
                // What a lost write leaves before a kept one reads as zeros.
                self.synced.resize(offset + kept.end, 0);
                self.synced[offset + kept.start..].copy_from_slice(&write[kept]);
            }
            offset += write.len();
        }
    }
}

impl State {
    fn begin(&mut self) -> io::Result<()> {
        if self.limit.is_some_and(|limit| self.operations >= limit) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.operations += 1;
        Ok(())
    }

    fn id(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl store::Disk for ForgetfulDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut state = self.lock();
        state.begin()?;
        Ok(state.names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let mut state = self.lock();
        state.begin()?;
        let id = state.id(name)?;
        Ok(state.files[id].content())
    }

    fn append(&mut self, name: &str, buf: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        state.begin()?;
        let id = state.id(name).unwrap_or_else(|_| {
            let id = state.files.len();
            state.files.push(File::default());
            state.names.insert(name.to_owned(), id);
            state.changes.push(Change::Create { name: name.to_owned(), id });
            id
        });
        state.files[id].unsynced.push(buf.to_vec());
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.begin()?;
        let id = state.id(name)?;
        let file = &mut state.files[id];
        file.synced = file.content();
        file.unsynced.clear();
        file.was_synced = true;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.begin()?;
        let id = state.id(from)?;
        state.names.remove(from);
        state.names.insert(to.to_owned(), id);
        let (from, to) = (from.to_owned(), to.to_owned());
        state.changes.push(Change::Rename { from, to, id });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.begin()?;
        state.id(name)?;
        state.names.remove(name);
        state.changes.push(Change::Remove { name: name.to_owned() });
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.lock();
        state.begin()?;
        state.durable_names = state.names.clone();
        state.changes.clear();
        Ok(())
    }
}
