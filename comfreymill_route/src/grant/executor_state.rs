use std::collections::BTreeMap;

use comfreymill_types::id;

use super::Announcement;

/// Entry and its incarnation.
pub(super) type HolderId = (id::EntryName, id::Incarnation);

/// State of an executor and the grants on its slots.
#[derive(Debug)]
pub(super) struct ExecutorState {
    pub(super) incarnation: id::Incarnation,
    /// Latest announcement to this leader; `None` before the first one.
    pub(super) announced: Option<Announcement>,
    pub(super) leaving: bool,
    /// Whether the executor stopped announcing itself; removed once nobody holds a grant.
    pub(super) lost: bool,
    /// Epoch of the view shown to entries without a grant.
    pub(super) base_epoch: u64,
    pub(super) holders: BTreeMap<HolderId, Holder>,
    /// Granted slots of earlier incarnations that their entries may still use, because a new
    /// incarnation may answer at the same address.
    pub(super) earlier: BTreeMap<(HolderId, id::Incarnation), u32>,
}

/// Grant held by one entry.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    /// Slots that count as granted, from the last change proposed.
    pub(super) slots: u32,
    /// Slots from the last change committed.
    pub(super) committed: u32,
    /// Slots that the entry should hold; fewer than `slots` while some are being recalled.
    pub(super) target: u32,
    /// Epoch at which the grant began; a change with a lower epoch belongs to an ended grant.
    pub(super) start_epoch: u64,
    /// Epoch of the view shown to the entry.
    pub(super) view_epoch: u64,
}

impl Holder {
    /// Returns the number of slots that the entry is allowed to see and use.
    pub(super) fn visible_slots(&self) -> u32 {
        self.target.min(self.committed)
    }
}

impl ExecutorState {
    pub(super) fn new(incarnation: id::Incarnation, base_epoch: u64) -> Self {
        Self {
            incarnation,
            announced: None,
            leaving: false,
            lost: false,
            base_epoch,
            holders: BTreeMap::new(),
            earlier: BTreeMap::new(),
        }
    }

    /// Returns whether the executor's slots may be granted.
    pub(super) fn is_open(&self) -> bool {
        self.announced.is_some() && !self.leaving && !self.lost
    }

    pub(super) fn capacity(&self) -> u32 {
        self.announced.as_ref().map_or(0, |announced| announced.slots)
    }

    /// Returns the number of slots that count as granted, earlier incarnations included.
    pub(super) fn granted(&self) -> u32 {
        let present: u32 = self.holders.values().map(|holder| holder.slots).sum();
        present + self.earlier.values().sum::<u32>()
    }

    /// Returns whether no entry may use the executor.
    pub(super) fn is_unused(&self) -> bool {
        self.holders.is_empty() && self.earlier.is_empty()
    }

    /// Returns the state of a later incarnation, which starts without grants of its own.
    pub(super) fn next_incarnation(&self, incarnation: id::Incarnation, base_epoch: u64) -> Self {
        let mut next = Self::new(incarnation, base_epoch);
        next.earlier = self.earlier.clone();
        let ended = self.holders.iter();
        let ended = ended.map(|(id, holder)| ((id.clone(), self.incarnation), holder.slots));
        next.earlier.extend(ended);
        next
    }

    /// Returns the number of slots that can be granted immediately.
    pub(super) fn free(&self) -> u32 {
        self.capacity().saturating_sub(self.granted())
    }

    /// Returns the number of slots recalled and not yet returned.
    pub(super) fn recalled(&self) -> u32 {
        self.holders.values().map(|holder| holder.slots - holder.target).sum()
    }

    pub(super) fn target_of(&self, id: &HolderId) -> u32 {
        self.holders.get(id).map_or(0, |holder| holder.target)
    }
}
