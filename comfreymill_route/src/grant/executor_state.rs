use std::collections::BTreeMap;

use comfreymill_types::id;

use super::Announcement;

/// Entry in one life.
pub(super) type HolderId = (id::EntryName, id::Incarnation);

/// Executor with its grants.
#[derive(Debug)]
pub(super) struct ExecutorState {
    pub(super) incarnation: id::Incarnation,
    /// What it announced, once it did so to this leader.
    pub(super) announced: Option<Announcement>,
    pub(super) leaving: bool,
    /// Whether to forget it once nobody holds a grant.
    pub(super) gone: bool,
    /// Epoch shown to entries without a grant.
    pub(super) base_epoch: u64,
    pub(super) holders: BTreeMap<HolderId, Holder>,
    /// Slots of grants of earlier lives that their entries may still use, since a new life may
    /// answer at the same address.
    pub(super) earlier: BTreeMap<(HolderId, id::Incarnation), u32>,
}

/// Grant of one entry.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    /// Slots that count as granted: the last change proposed.
    pub(super) slots: u32,
    /// Slots of the last change that was committed.
    pub(super) committed: u32,
    /// Slots that the entry is to have; fewer than `slots` while some are recalled.
    pub(super) target: u32,
    /// Epoch at which the grant began; a change of an earlier epoch is of an ended grant.
    pub(super) began: u64,
    /// Epoch of what the entry is shown.
    pub(super) view_epoch: u64,
}

impl Holder {
    /// Slots that the entry is shown.
    pub(super) fn shown(&self) -> u32 {
        self.target.min(self.committed)
    }
}

impl ExecutorState {
    pub(super) fn new(incarnation: id::Incarnation, base_epoch: u64) -> Self {
        Self {
            incarnation,
            announced: None,
            leaving: false,
            gone: false,
            base_epoch,
            holders: BTreeMap::new(),
            earlier: BTreeMap::new(),
        }
    }

    /// Whether its slots may be granted.
    pub(super) fn is_open(&self) -> bool {
        self.announced.is_some() && !self.leaving && !self.gone
    }

    pub(super) fn capacity(&self) -> u32 {
        self.announced.as_ref().map_or(0, |announced| announced.slots)
    }

    /// Slots that count as granted.
    pub(super) fn granted(&self) -> u32 {
        let present: u32 = self.holders.values().map(|holder| holder.slots).sum();
        present + self.earlier.values().sum::<u32>()
    }

    /// Whether nobody may use it.
    pub(super) fn is_unused(&self) -> bool {
        self.holders.is_empty() && self.earlier.is_empty()
    }

    /// State of a later life, which starts without grants.
    pub(super) fn next_life(&self, incarnation: id::Incarnation, base_epoch: u64) -> Self {
        let mut next = Self::new(incarnation, base_epoch);
        next.earlier = self.earlier.clone();
        let ended = self.holders.iter();
        let ended = ended.map(|(id, holder)| ((id.clone(), self.incarnation), holder.slots));
        next.earlier.extend(ended);
        next
    }

    /// Slots that can be granted at once.
    pub(super) fn free(&self) -> u32 {
        self.capacity().saturating_sub(self.granted())
    }

    /// Slots asked back and not yet returned.
    pub(super) fn recalled(&self) -> u32 {
        self.holders.values().map(|holder| holder.slots - holder.target).sum()
    }

    pub(super) fn target_of(&self, id: &HolderId) -> u32 {
        self.holders.get(id).map_or(0, |holder| holder.target)
    }
}
