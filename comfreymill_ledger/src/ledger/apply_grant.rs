use super::Ledger;
use crate::command::Reply;
use crate::grant;

impl Ledger {
    pub(super) fn change_grants(&mut self, changes: Vec<grant::Grant>) -> Reply {
        for change in changes {
            let epoch = self.grants.get(&change.key).map_or(0, |grant| grant.epoch);
            if change.epoch <= epoch {
                continue;
            }
            if change.slots == 0 {
                self.grants.remove(&change.key);
            } else {
                self.grants.insert(change.key.clone(), change);
            }
        }
        Reply::Done
    }
}
