use std::collections::VecDeque;

use comfreymill_types::time;

use crate::catalog;

const MAX_MIXES: usize = 32;

/// Effective load by class on one worker: reserved cores times speed, as a fraction of the VM's
/// cores.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Mix(pub(crate) Vec<(catalog::ClassIndex, f64)>);

impl Mix {
    /// Adds `load` to that of `class`.
    pub(crate) fn add(&mut self, class: catalog::ClassIndex, load: f64) {
        match self.0.iter_mut().find(|entry| entry.0 == class) {
            Some(entry) => entry.1 += load,
            None => self.0.push((class, load)),
        }
    }
}

/// Recent mixes of one worker, so that a late report is matched with the tasks that ran when it
/// was measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct MixHistory(VecDeque<(time::Monotonic, Mix)>);

impl MixHistory {
    /// Adds the mix that holds from `now` on.
    pub(crate) fn push(&mut self, now: time::Monotonic, mix: Mix) {
        if self.0.back().is_some_and(|last| last.1 == mix) {
            return;
        }
        if self.0.len() >= MAX_MIXES {
            self.0.pop_front();
        }
        self.0.push_back((now, mix));
    }

    /// Returns the mix at `at`, or `None` if it is no longer known.
    pub(crate) fn at(&self, at: time::Monotonic) -> Option<&Mix> {
        self.0.iter().rev().find(|entry| entry.0 <= at).map(|entry| &entry.1)
    }

    /// Returns the latest mix.
    pub(crate) fn latest(&self) -> Option<&Mix> {
        self.0.back().map(|entry| &entry.1)
    }
}
