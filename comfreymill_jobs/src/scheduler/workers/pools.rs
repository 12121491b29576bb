use std::collections::BTreeMap;

use super::pool_index::PoolIndex;

/// Interned name of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::scheduler) struct PoolId(usize);

/// Indexes of all pools.
#[derive(Debug, Default)]
pub(super) struct Pools {
    ids: BTreeMap<String, PoolId>,
    indexes: Vec<PoolIndex>,
}

impl Pools {
    /// Returns the identifier of a pool, which never changes.
    pub(super) fn intern(&mut self, name: &str) -> PoolId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = PoolId(self.indexes.len());
        self.indexes.push(PoolIndex::default());
        self.ids.insert(name.to_owned(), id);
        id
    }

    pub(super) fn get(&self, id: PoolId) -> &PoolIndex {
        &self.indexes[id.0]
    }

    pub(super) fn get_mut(&mut self, id: PoolId) -> &mut PoolIndex {
        &mut self.indexes[id.0]
    }
}
