/// Fault at the end of a play.
#[derive(Clone, Copy, Debug)]
pub(super) enum FinalFault {
    /// All processes are killed.
    All,
    /// Two disks are lost.
    Disks,
    /// Two disks are lost, and all other schedulers are killed.
    DisksAndSchedulers,
    /// Two disks are lost, and all other processes are killed.
    DisksAndAll,
}

impl FinalFault {
    /// Returns the fault of a seed.
    pub(super) fn of(seed: u64) -> Self {
        match seed % 4 {
            1 => Self::All,
            2 => Self::Disks,
            3 => Self::DisksAndSchedulers,
            _ => Self::DisksAndAll,
        }
    }

    pub(super) fn loses_disks(self) -> bool {
        !matches!(self, Self::All)
    }

    pub(super) fn kills_schedulers(self) -> bool {
        !matches!(self, Self::Disks)
    }

    pub(super) fn kills_gateways(self) -> bool {
        matches!(self, Self::All | Self::DisksAndAll)
    }
}
