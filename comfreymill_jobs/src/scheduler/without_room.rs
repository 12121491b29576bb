use super::interference::ImageId;
use super::workers::PoolId;
use crate::worker;

/// Needs for which no worker had room.
#[derive(Debug, Default)]
pub(super) struct WithoutRoom {
    needs: Vec<(Kind, worker::Resources)>,
}

/// What needs of the same size may be met for one step and not for another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Kind {
    pub(super) pool: PoolId,
    /// Image of fillers, which need headroom of the serving tasks beside them.
    pub(super) filler: Option<ImageId>,
    pub(super) required_label: Option<String>,
}

impl WithoutRoom {
    /// Records that no worker had room for `needs`, and so for more.
    pub(super) fn add(&mut self, kind: Kind, needs: worker::Resources) {
        self.needs.retain(|(other, more)| *other != kind || !more.covers(&needs));
        self.needs.push((kind, needs));
    }

    /// Returns whether no worker had room for `needs`, or for less.
    pub(super) fn includes(&self, kind: &Kind, needs: &worker::Resources) -> bool {
        self.needs.iter().any(|(other, less)| other == kind && needs.covers(less))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.needs.is_empty()
    }

    pub(super) fn clear(&mut self) {
        self.needs.clear();
    }
}
